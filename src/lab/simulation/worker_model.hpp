// A simulated worker: the invocations in its slots share its cores evenly (processor sharing), the others
// wait in a bounded FIFO queue. It also models a cold start and injected faults. With as many slots as cores
// it serves in order of arrival.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "coordinator/types.hpp"
#include "script/day.hpp"

namespace gorsemount::lab {

struct WorkerSpec {
  std::size_t zone = 0;
  double cores = 2, speed = 1;
  int slots = 2, queue_most = 64;
  double connect_cost = 0;  // work that a new connection adds, in seconds
  double loss = 0;          // efficiency lost for each further core's worth of concurrent invocations
  bool cancels = true;      // drops a queued job whose caller has given up
  Span cold_for, tip_after, drain_grace;
  double cold_from = 0.2, tip_multiple = 3;
};

class WorkerModel {
 public:
  struct Job {
    std::uint32_t invocation = 0, generation = 0;
    std::uint8_t operation = 0,
                 source = 0;  // source: index of the client zone; forwarders share the last one
    double work = 0;          // seconds of one core at speed 1
    Instant arrived_at;
  };
  struct Finished {
    Job job;
    bool errored = false;
  };

  WorkerModel(std::string name, WorkerSpec spec, std::vector<Prefix> sources, std::size_t operations)
      : name_{std::move(name)},
        spec_{spec},
        sources_{std::move(sources)},
        counts_(sources_.size() * operations),
        operations_{operations} {}

  void start(Instant now, bool cold);
  // Returns the running and queued jobs, which are lost.
  std::vector<Job> crash(Instant now);
  void inject_fault(Instant now, script::InjectedFaultKind kind, double size);
  std::vector<Job> recover(Instant now);  // returns the jobs lost in a hang or a silent fault
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool healthy() const { return up_ && !fault_; }
  [[nodiscard]] std::optional<script::InjectedFaultKind> fault() const { return fault_; }
  [[nodiscard]] double fault_size() const { return fault_size_; }

  enum class Admission { accepted, refused, errored, dropped };
  // `caller_waiting` tells whether a job's caller still waits for it. Jobs that start running are appended to
  // `started`.
  template <class CallerWaiting>
  Admission submit(Instant now, Job job, std::mt19937& rng, CallerWaiting caller_waiting,
                   std::vector<Job>& started) {
    if (fault_ == script::InjectedFaultKind::silent) return Admission::dropped;
    Counts& counts = count(job);
    const bool drain_over =
        fault_ == script::InjectedFaultKind::drain && now - fault_started_ > spec_.drain_grace;
    if (drain_over || fault_ == script::InjectedFaultKind::refuse ||
        queue_.size() >= static_cast<std::size_t>(spec_.queue_most)) {
      ++counts.refused;
      return Admission::refused;
    }
    ++counts.accepted;
    if (fault_ == script::InjectedFaultKind::errors &&
        std::uniform_real_distribution<>{}(rng) < fault_size_) {
      ++counts.errored;
      return Admission::errored;
    }
    track_cold_load(now, job.work);
    advance(now);
    queued_work_ += job.work;
    queue_.push_back(job);
    start_queued(now, caller_waiting, started);
    return Admission::accepted;
  }
  // When the next job finishes if nothing changes; empty while the worker is stalled or idle.
  [[nodiscard]] std::optional<Instant> next_finish(Instant now);
  template <class CallerWaiting>
  void finish(Instant now, CallerWaiting caller_waiting, std::vector<Job>& finished,
              std::vector<Job>& started) {
    advance(now);
    while (!running_.empty() && running_.begin()->first <= attained_service_ + 1e-7 && !stalled()) {
      const Job job = running_.begin()->second;
      running_.erase(running_.begin());
      Counts& counts = count(job);
      ++counts.succeeded, counts.latency += (now - job.arrived_at).seconds();
      finished.push_back(job);
    }
    start_queued(now, caller_waiting, started);
  }

  [[nodiscard]] coordinator::LoadSample load_sample(Instant now);
  // Latency of a health check in seconds; empty while the worker is stalled or down.
  [[nodiscard]] std::optional<double> health_latency(Instant now);
  [[nodiscard]] double warm_up_factor(Instant now) const;
  [[nodiscard]] bool cold(Instant now) const { return up_ && now < warm_at_; }
  [[nodiscard]] bool collapsed() const { return collapsed_; }
  // The highest ratio so far of work that arrived while it was cold to its capacity then.
  [[nodiscard]] double peak_cold_load() const { return peak_cold_load_; }
  [[nodiscard]] const WorkerSpec& spec() const { return spec_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] Instant fault_started() const { return fault_started_; }
  void scale_speed(double factor) { spec_.speed *= factor; }
  void set_reported_util_factor(double factor) { reported_util_factor_ = factor; }
  // Work per second that it can complete now; 0 while it completes none.
  [[nodiscard]] double capacity(Instant now) const;

 private:
  struct Counts {
    std::uint64_t accepted = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;
  };
  Counts& count(const Job& job) { return counts_[job.source * operations_ + job.operation]; }
  [[nodiscard]] bool stalled() const {
    return fault_ == script::InjectedFaultKind::hang || fault_ == script::InjectedFaultKind::silent;
  }
  [[nodiscard]] double rate_per_job(Instant now) const;  // work per second of each running job
  void advance(Instant now);
  void track_cold_load(Instant now, double work);
  template <class CallerWaiting>
  void start_queued(Instant, CallerWaiting caller_waiting, std::vector<Job>& started) {
    if (stalled()) return;
    while (!queue_.empty() && running_.size() < static_cast<std::size_t>(spec_.slots)) {
      const Job job = queue_.front();
      queue_.pop_front();
      queued_work_ = std::max(0.0, queued_work_ - job.work);
      if (spec_.cancels && !caller_waiting(job)) {
        ++count(job).errored;
        continue;
      }
      running_.emplace(attained_service_ + job.work, job);
      started.push_back(job);
    }
  }

  std::string name_;
  WorkerSpec spec_;
  std::vector<Prefix> sources_;
  bool up_ = false, collapsed_ = false;
  std::optional<script::InjectedFaultKind> fault_;
  double fault_size_ = 1;
  Instant booted_at_, warm_at_, fault_started_, advanced_to_;
  int boot_count_ = 0;
  double attained_service_ = 0, queued_work_ = 0;  // attained_service_: work done for each running job so far
  std::multimap<double, Job> running_;             // by the attained service at which the job is done
  std::deque<Job> queue_;
  std::vector<Counts> counts_;
  std::size_t operations_;
  double busy_core_seconds_ = 0, reported_util_factor_ = 1;
  std::deque<std::pair<Instant, double>> busy_samples_, recent_cold_work_;
  double recent_cold_work_sum_ = 0, peak_cold_load_ = 0;
};

}  // namespace gorsemount::lab
