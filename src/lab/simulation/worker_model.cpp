#include "lab/simulation/worker_model.hpp"

#include <algorithm>

namespace gorsemount::lab {

using script::InjectedFaultKind;

namespace {

const Span kLoadWindow = Span::seconds(0.5);  // the stand-in worker averages its CPU use over the same time

}  // namespace

void WorkerModel::start(Instant now, bool cold) {
  up_ = true, collapsed_ = false, fault_.reset();
  booted_at_ = advanced_to_ = now, warm_at_ = cold ? now + spec_.cold_for : now;
  ++boot_count_;
  running_.clear(), queue_.clear(), queued_work_ = 0;
  for (auto& counts : counts_) counts = {};
  busy_core_seconds_ = 0, busy_samples_.clear(), recent_cold_work_.clear(), recent_cold_work_sum_ = 0;
}

std::vector<WorkerModel::Job> WorkerModel::crash(Instant now) {
  advance(now);
  up_ = false, fault_.reset();
  std::vector<Job> lost;
  for (const auto& [attained, job] : running_) lost.push_back(job);
  lost.insert(lost.end(), queue_.begin(), queue_.end());
  running_.clear(), queue_.clear(), queued_work_ = 0;
  return lost;
}

void WorkerModel::inject_fault(Instant now, InjectedFaultKind kind, double size) {
  if (!up_) return;
  advance(now);
  fault_ = kind, fault_size_ = size, fault_started_ = now;
}

std::vector<WorkerModel::Job> WorkerModel::recover(Instant now) {
  std::vector<Job> lost;
  if (!up_ || !fault_) return lost;
  const auto before = *fault_;
  advance(now);
  fault_.reset();
  if (before == InjectedFaultKind::silent || before == InjectedFaultKind::hang) {
    for (const auto& [attained, job] : running_) lost.push_back(job);
    lost.insert(lost.end(), queue_.begin(), queue_.end());
    running_.clear(), queue_.clear(), queued_work_ = 0;
    if (before == InjectedFaultKind::silent) start(now, true);
  }
  return lost;
}

double WorkerModel::warm_up_factor(Instant now) const {
  if (now >= warm_at_) return 1;
  return spec_.cold_from + (1 - spec_.cold_from) * (now - booted_at_).seconds() / spec_.cold_for.seconds();
}

double WorkerModel::rate_per_job(Instant now) const {
  const auto running = static_cast<double>(running_.size());
  if (running <= 0 || stalled()) return 0;
  double rate = spec_.speed * warm_up_factor(now) * std::min(1.0, spec_.cores / running) /
                (1 + spec_.loss * std::max(0.0, running / spec_.cores - 1));
  if (fault_ == InjectedFaultKind::slow) rate /= std::max(1e-3, fault_size_);
  return rate;
}

void WorkerModel::advance(Instant now) {
  const double elapsed = (now - advanced_to_).seconds();
  if (elapsed > 0) {
    // The warm-up factor in the middle of the span is close enough: events are far more frequent than its
    // changes.
    attained_service_ += rate_per_job(advanced_to_ + Span::seconds(elapsed / 2)) * elapsed;
    busy_core_seconds_ += std::min(spec_.cores, static_cast<double>(running_.size())) * elapsed;
    advanced_to_ = now;
  }
  if (busy_samples_.empty() || now - busy_samples_.back().first >= Span::seconds(0.05))
    busy_samples_.emplace_back(now, busy_core_seconds_);
  while (busy_samples_.size() > 2 && now - busy_samples_[1].first >= kLoadWindow) busy_samples_.pop_front();
}

std::optional<Instant> WorkerModel::next_finish(Instant now) {
  advance(now);
  if (running_.empty() || stalled()) return {};
  const double rate = rate_per_job(now);
  if (rate <= 0) return {};
  const double remaining = std::max(0.0, running_.begin()->first - attained_service_) / rate;
  // The rate grows during warm-up, so the estimate is renewed after a quarter of a second at the latest.
  return now + Span::seconds(std::max(1e-6, cold(now) ? std::min(remaining, 0.25) : remaining));
}

// A cold worker collapses, and stays down, once the work that arrived within `tip_after` exceeds
// `tip_multiple` times its capacity.
void WorkerModel::track_cold_load(Instant now, double work) {
  if (now >= warm_at_) return;
  recent_cold_work_.emplace_back(now, work), recent_cold_work_sum_ += work;
  while (now - recent_cold_work_.front().first > spec_.tip_after)
    recent_cold_work_sum_ -= recent_cold_work_.front().second, recent_cold_work_.pop_front();
  const double capacity = warm_up_factor(now) * spec_.cores * spec_.speed * spec_.tip_after.seconds();
  peak_cold_load_ = std::max(peak_cold_load_, recent_cold_work_sum_ / capacity);
  if (recent_cold_work_sum_ > spec_.tip_multiple * capacity) collapsed_ = true;
}

std::optional<double> WorkerModel::health_latency(Instant now) {
  if (!up_ || stalled()) return {};
  advance(now);
  const double capacity = spec_.cores * spec_.speed * warm_up_factor(now) /
                          (fault_ == InjectedFaultKind::slow ? std::max(1e-3, fault_size_) : 1);
  const bool full = running_.size() >= static_cast<std::size_t>(spec_.slots);
  return 0.002 / (spec_.speed * warm_up_factor(now)) + (full ? queued_work_ / capacity : 0);
}

double WorkerModel::capacity(Instant now) const {
  if (!up_ || stalled() || fault_ == InjectedFaultKind::refuse || fault_ == InjectedFaultKind::drain)
    return 0;
  double capacity = spec_.cores * spec_.speed * warm_up_factor(now);
  if (fault_ == InjectedFaultKind::slow) capacity /= std::max(1e-3, fault_size_);
  if (fault_ == InjectedFaultKind::errors) capacity *= 1 - fault_size_;
  return capacity;
}

coordinator::LoadSample WorkerModel::load_sample(Instant now) {
  advance(now);
  coordinator::LoadSample sample;
  sample.boot = name_ + "-" + std::to_string(boot_count_);
  sample.uptime = (now - booted_at_).seconds() + (warm_at_ == booted_at_ ? 1e6 : 0);
  sample.draining = fault_ == InjectedFaultKind::drain;
  const auto& [from, before] = busy_samples_.front();
  const double elapsed = (now - from).seconds();
  sample.util = std::min(
      1.0, reported_util_factor_ *
               (elapsed > 0.05 ? (busy_core_seconds_ - before) / elapsed / spec_.cores
                               : std::min(spec_.cores, static_cast<double>(running_.size())) / spec_.cores));
  sample.queue = static_cast<double>(queue_.size());
  for (std::size_t index = 0; index < counts_.size(); ++index) {
    const Counts& counts = counts_[index];
    if (counts.accepted + counts.refused == 0) continue;
    sample.counts.push_back({OperationId{static_cast<std::uint8_t>(index % operations_)},
                             sources_[index / operations_], counts.accepted, counts.succeeded, counts.errored,
                             counts.refused, counts.latency});
  }
  return sample;
}

}  // namespace gorsemount::lab
