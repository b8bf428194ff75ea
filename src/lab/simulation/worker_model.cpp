#include "lab/simulation/worker_model.hpp"

#include <algorithm>

namespace gorsemount::lab {

using script::InjectedFaultKind;

namespace {

const Span kLoadOver = Span::seconds(0.5);  // as the stand-in sums up its use of processors

}  // namespace

void WorkerModel::start(Instant now, bool cold) {
  up_ = true, fallen_ = false, trouble_.reset();
  started_ = at_ = now, warm_at_ = cold ? now + k_.cold_for : now;
  ++boots_;
  running_.clear(), queue_.clear(), queued_ = 0;
  for (auto& c : counts_) c = {};
  busy_ = 0, busy_log_.clear(), brought_.clear(), brought_sum_ = 0;
}

std::vector<WorkerModel::Job> WorkerModel::crash(Instant now) {
  advance(now);
  up_ = false, trouble_.reset();
  std::vector<Job> lost;
  for (const auto& [v, job] : running_) lost.push_back(job);
  lost.insert(lost.end(), queue_.begin(), queue_.end());
  running_.clear(), queue_.clear(), queued_ = 0;
  return lost;
}

void WorkerModel::trouble(Instant now, InjectedFaultKind kind, double size) {
  if (!up_) return;
  advance(now);
  trouble_ = kind, trouble_size_ = size, struck_at_ = now;
}

std::vector<WorkerModel::Job> WorkerModel::recover(Instant now) {
  std::vector<Job> lost;
  if (!up_ || !trouble_) return lost;
  const auto was = *trouble_;
  advance(now);
  trouble_.reset();
  if (was == InjectedFaultKind::silent || was == InjectedFaultKind::hang) {
    for (const auto& [v, job] : running_) lost.push_back(job);
    lost.insert(lost.end(), queue_.begin(), queue_.end());
    running_.clear(), queue_.clear(), queued_ = 0;
    if (was == InjectedFaultKind::silent) start(now, true);
  }
  return lost;
}

double WorkerModel::warmth(Instant now) const {
  if (now >= warm_at_) return 1;
  return k_.cold_from + (1 - k_.cold_from) * (now - started_).seconds() / k_.cold_for.seconds();
}

double WorkerModel::rate(Instant now) const {
  const auto n = static_cast<double>(running_.size());
  if (n <= 0 || stuck()) return 0;
  double r =
      k_.speed * warmth(now) * std::min(1.0, k_.cores / n) / (1 + k_.loss * std::max(0.0, n / k_.cores - 1));
  if (trouble_ == InjectedFaultKind::slow) r /= std::max(1e-3, trouble_size_);
  return r;
}

void WorkerModel::advance(Instant now) {
  const double over = (now - at_).seconds();
  if (over > 0) {
    // Warmth in the middle of the span: events come far more often than it changes.
    served_ += rate(at_ + Span::seconds(over / 2)) * over;
    busy_ += std::min(k_.cores, static_cast<double>(running_.size())) * over;
    at_ = now;
  }
  if (busy_log_.empty() || now - busy_log_.back().first >= Span::seconds(0.05))
    busy_log_.emplace_back(now, busy_);
  while (busy_log_.size() > 2 && now - busy_log_[1].first >= kLoadOver) busy_log_.pop_front();
}

std::optional<Instant> WorkerModel::next_finish(Instant now) {
  advance(now);
  if (running_.empty() || stuck()) return {};
  const double r = rate(now);
  if (r <= 0) return {};
  const double left = std::max(0.0, running_.begin()->first - served_) / r;
  // While it warms up its rate grows; looked at again in good time.
  return now + Span::seconds(std::max(1e-6, cold(now) ? std::min(left, 0.25) : left));
}

// Rule 4: more than the multiple of what it can do, for long enough, and it falls over and stays down.
void WorkerModel::brought(Instant now, double work) {
  if (now >= warm_at_) return;
  brought_.emplace_back(now, work), brought_sum_ += work;
  while (now - brought_.front().first > k_.tip_after)
    brought_sum_ -= brought_.front().second, brought_.pop_front();
  const double able = warmth(now) * k_.cores * k_.speed * k_.tip_after.seconds();
  worst_brought_ = std::max(worst_brought_, brought_sum_ / able);
  if (brought_sum_ > k_.tip_multiple * able) fallen_ = true;
}

std::optional<double> WorkerModel::health(Instant now) {
  if (!up_ || stuck()) return {};
  advance(now);
  const double able = k_.cores * k_.speed * warmth(now) /
                      (trouble_ == InjectedFaultKind::slow ? std::max(1e-3, trouble_size_) : 1);
  const bool full = running_.size() >= static_cast<std::size_t>(k_.slots);
  return 0.002 / (k_.speed * warmth(now)) + (full ? queued_ / able : 0);
}

double WorkerModel::able(Instant now) const {
  if (!up_ || stuck() || trouble_ == InjectedFaultKind::refuse || trouble_ == InjectedFaultKind::drain)
    return 0;
  double able = k_.cores * k_.speed * warmth(now);
  if (trouble_ == InjectedFaultKind::slow) able /= std::max(1e-3, trouble_size_);
  if (trouble_ == InjectedFaultKind::errors) able *= 1 - trouble_size_;
  return able;
}

coordinator::LoadSample WorkerModel::load(Instant now) {
  advance(now);
  coordinator::LoadSample s;
  s.boot = name_ + "-" + std::to_string(boots_);
  s.uptime = (now - started_).seconds() + (warm_at_ == started_ ? 1e6 : 0);
  s.draining = trouble_ == InjectedFaultKind::drain;
  const auto& [from, was] = busy_log_.front();
  const double over = (now - from).seconds();
  s.util = std::min(
      1.0, told_util_ * (over > 0.05 ? (busy_ - was) / over / k_.cores
                                     : std::min(k_.cores, static_cast<double>(running_.size())) / k_.cores));
  s.queue = static_cast<double>(queue_.size());
  for (std::size_t k = 0; k < counts_.size(); ++k) {
    const Counts& c = counts_[k];
    if (c.taken + c.refused == 0) continue;
    s.counts.push_back({OperationId{static_cast<std::uint8_t>(k % operations_)}, sources_[k / operations_],
                        c.taken, c.succeeded, c.errored, c.refused, c.latency});
  }
  return s;
}

}  // namespace gorsemount::lab
