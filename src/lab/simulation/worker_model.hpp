// A worker under a virtual clock: some cores shared evenly by the invocations in its slots, a queue before
// them, a cold start, and what goes wrong with it. With as many slots as cores it serves first come, first
// served.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "coordinator/types.hpp"
#include "script/day.hpp"

namespace gorsemount::lab {

struct WorkerKind {
  std::size_t zone = 0;
  double cores = 2, speed = 1;
  int slots = 2, queue_most = 64;
  double connect_cost = 0;  // s of work for a new connection
  double loss = 0;          // of efficiency: each further core's worth of invocations at once costs this part
  bool cancels = true;      // what was given up before it began is never begun
  Span cold_for, tip_after, drain_grace;
  double cold_from = 0.2, tip_multiple = 3;
};

class WorkerModel {
 public:
  struct Job {
    std::uint32_t invocation = 0, generation = 0;
    std::uint8_t operation = 0, source = 0;  // source: a group's place, or that of all forwarders behind them
    double work = 0;                         // s of one core at speed 1
    Instant came;
  };
  struct Finished {
    Job job;
    bool errored = false;
  };

  WorkerModel(std::string name, WorkerKind kind, std::vector<Prefix> sources, std::size_t operations)
      : name_{std::move(name)},
        k_{kind},
        sources_{std::move(sources)},
        counts_(sources_.size() * operations),
        operations_{operations} {}

  void start(Instant now, bool cold);
  // What was inside is lost with the connections; returns it.
  std::vector<Job> crash(Instant now);
  void trouble(Instant now, script::InjectedFaultKind kind, double size);
  std::vector<Job> recover(Instant now);  // what hung is lost
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool well() const { return up_ && !trouble_; }
  [[nodiscard]] std::optional<script::InjectedFaultKind> struck() const { return trouble_; }
  [[nodiscard]] double trouble_size() const { return trouble_size_; }

  enum class Taken { taken, refused, errored, swallowed };
  // `left`: whether a job's caller is still there. `began` gets those that begin.
  template <class There>
  Taken offer(Instant now, Job job, std::mt19937& chance, There there, std::vector<Job>& began) {
    if (trouble_ == script::InjectedFaultKind::silent) return Taken::swallowed;
    Counts& c = count(job);
    const bool drained = trouble_ == script::InjectedFaultKind::drain && now - struck_at_ > k_.drain_grace;
    if (drained || trouble_ == script::InjectedFaultKind::refuse ||
        queue_.size() >= static_cast<std::size_t>(k_.queue_most)) {
      ++c.refused;
      return Taken::refused;
    }
    ++c.taken;
    if (trouble_ == script::InjectedFaultKind::errors &&
        std::uniform_real_distribution<>{}(chance) < trouble_size_) {
      ++c.errored;
      return Taken::errored;
    }
    brought(now, job.work);
    advance(now);
    queued_ += job.work;
    queue_.push_back(job);
    pump(now, there, began);
    return Taken::taken;
  }
  // When the next one is done, if nothing changes; nothing while it hangs or is empty.
  [[nodiscard]] std::optional<Instant> next_finish(Instant now);
  template <class There>
  void finish(Instant now, There there, std::vector<Job>& finished, std::vector<Job>& began) {
    advance(now);
    while (!running_.empty() && running_.begin()->first <= served_ + 1e-7 && !stuck()) {
      const Job job = running_.begin()->second;
      running_.erase(running_.begin());
      Counts& c = count(job);
      ++c.succeeded, c.latency += (now - job.came).seconds();
      finished.push_back(job);
    }
    pump(now, there, began);
  }

  [[nodiscard]] coordinator::LoadSample load(Instant now);
  // How long a health call would wait; none while it hangs, is silent or down.
  [[nodiscard]] std::optional<double> health(Instant now);
  [[nodiscard]] double warmth(Instant now) const;
  [[nodiscard]] bool cold(Instant now) const { return up_ && now < warm_at_; }
  [[nodiscard]] bool fallen() const { return fallen_; }
  // The most that came to it while cold, for what it could do then; since its start.
  [[nodiscard]] double worst_brought() const { return worst_brought_; }
  [[nodiscard]] const WorkerKind& kind() const { return k_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] Instant struck_at() const { return struck_at_; }
  void age(double factor) { k_.speed *= factor; }
  void lie(double factor) { told_util_ = factor; }  // what it tells of its processors, times this
  // What it can do now, in work a second; nothing while it answers no work.
  [[nodiscard]] double able(Instant now) const;

 private:
  struct Counts {
    std::uint64_t taken = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;
  };
  Counts& count(const Job& job) { return counts_[job.source * operations_ + job.operation]; }
  [[nodiscard]] bool stuck() const {
    return trouble_ == script::InjectedFaultKind::hang || trouble_ == script::InjectedFaultKind::silent;
  }
  [[nodiscard]] double rate(Instant now) const;  // of work for each running one
  void advance(Instant now);
  void brought(Instant now, double work);
  template <class There>
  void pump(Instant, There there, std::vector<Job>& began) {
    if (stuck()) return;
    while (!queue_.empty() && running_.size() < static_cast<std::size_t>(k_.slots)) {
      const Job job = queue_.front();
      queue_.pop_front();
      queued_ = std::max(0.0, queued_ - job.work);
      if (k_.cancels && !there(job)) {
        ++count(job).errored;
        continue;
      }
      running_.emplace(served_ + job.work, job);
      began.push_back(job);
    }
  }

  std::string name_;
  WorkerKind k_;
  std::vector<Prefix> sources_;
  bool up_ = false, fallen_ = false;
  std::optional<script::InjectedFaultKind> trouble_;
  double trouble_size_ = 1;
  Instant started_, warm_at_, struck_at_, at_;
  int boots_ = 0;
  double served_ = 0, queued_ = 0;  // served_: work that each running one has got so far
  std::multimap<double, Job> running_;
  std::deque<Job> queue_;
  std::vector<Counts> counts_;
  std::size_t operations_;
  double busy_ = 0, told_util_ = 1;
  std::deque<std::pair<Instant, double>> busy_log_, brought_;
  double brought_sum_ = 0, worst_brought_ = 0;
};

}  // namespace gorsemount::lab
