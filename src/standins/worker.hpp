// A stand-in refill worker on real sockets. Its work is time that passes, not processor time: cores, a queue,
// a cold start, draining, and faults on command.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "net/http.hpp"
#include "script/day.hpp"
#include "standins/records.hpp"

namespace gorsemount::standins {

struct WorkerSettings {
  std::string name, zone;
  Endpoint at;
  double cores = 2, speed = 1;
  int queue_most = 64;
  std::vector<DayOperation> operations;
  Span drain_grace, cold_for, tip_after;
  double cold_from = 0.2, tip_multiple = 3;
};

class Worker {
 public:
  Worker(net::Loop& loop, Recorder& recorder, WorkerSettings settings, std::uint64_t seed, bool cold);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void crash();                                       // down, with resets
  void start();                                       // up again, cold
  void trouble(InjectedFaultKind kind, double size);  // hang, errors, slow, silent, refuse, drain
  void recover();                                     // the trouble is over; what hung is lost
  [[nodiscard]] bool well() const { return up_ && !trouble_; }
  [[nodiscard]] const WorkerSettings& settings() const { return s_; }

 private:
  struct Job {
    std::weak_ptr<net::Connection> connection;
    int operation = -1;  // -1: a health call
    std::string id;
    Prefix source;
    double work = 0;
    Instant came;
  };
  struct Counts {
    std::uint64_t taken = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;
  };
  struct Peer;
  void listen();
  void request(const std::shared_ptr<net::Connection>& connection, const Address& from,
               const net::Request& request);
  void invoke(const std::shared_ptr<net::Connection>& connection, const Address& from, int operation,
              const net::Request& request);
  void pump();
  void finish(std::uint64_t number);
  void answer(const Job& job, unsigned status, bool never_ran = false);
  [[nodiscard]] std::string load();
  [[nodiscard]] double warmth() const;
  void brought(double work);
  void account();

  net::Loop& loop_;
  Recorder& recorder_;
  WorkerSettings s_;
  std::mt19937 chance_;
  bool up_ = false, fallen_ = false;
  std::optional<InjectedFaultKind> trouble_;
  double trouble_size_ = 1;
  Instant started_, drained_, warm_at_;
  int boots_ = 0;
  std::string boot_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::shared_ptr<Peer>> peers_;
  std::deque<Job> queue_;
  std::map<std::uint64_t, Job> running_;
  std::map<std::uint64_t, net::Loop::Timer> timers_;
  std::map<std::pair<int, Prefix>, Counts> counts_;
  std::deque<std::pair<Instant, double>> brought_;  // within the window of rule 4
  double busy_ = 0;                                 // core seconds in use so far
  Instant accounted_;
  std::deque<std::pair<Instant, double>> busy_log_;
  std::uint64_t number_ = 0;
};

}  // namespace gorsemount::standins
