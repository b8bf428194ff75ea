// A stand-in for a refill worker on real sockets. Work is simulated by timers instead of processor time. It
// has cores, a queue, a cold start, draining, and injectable faults.
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
  Endpoint endpoint;
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

  void crash();                                            // closes the listener and resets all connections
  void start();                                            // starts again, cold
  void inject_fault(InjectedFaultKind kind, double size);  // hang, errors, slow, silent, refuse, drain
  void recover();                                          // ends the fault; invocations that hung are lost
  [[nodiscard]] bool healthy() const { return up_ && !fault_; }
  [[nodiscard]] const WorkerSettings& settings() const { return s_; }

 private:
  struct Job {
    std::weak_ptr<net::Connection> connection;
    int operation = -1;  // -1: a health check
    std::string id;
    Prefix source;
    double work = 0;
    Instant arrived_at;
  };
  struct Counts {
    std::uint64_t accepted = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;
  };
  struct ClientConnection;
  void listen();
  void request(const std::shared_ptr<net::Connection>& connection, const Address& from,
               const net::Request& request);
  void invoke(const std::shared_ptr<net::Connection>& connection, const Address& from, int operation,
              const net::Request& request);
  void start_queued();
  void finish(std::uint64_t number);
  void answer(const Job& job, unsigned status, bool never_ran = false);
  [[nodiscard]] std::string load_report();
  [[nodiscard]] double capacity_factor() const;
  void check_overload(double work);
  void update_busy_time();

  net::Loop& loop_;
  Recorder& recorder_;
  WorkerSettings s_;
  std::mt19937 random_;
  bool up_ = false, overloaded_ = false;
  std::optional<InjectedFaultKind> fault_;
  double fault_size_ = 1;
  Instant started_, drain_started_, warm_at_;
  int boot_count_ = 0;
  std::string boot_id_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::shared_ptr<ClientConnection>> peers_;
  std::deque<Job> queue_;
  std::map<std::uint64_t, Job> running_;
  std::map<std::uint64_t, net::Loop::Timer> timers_;
  std::map<std::pair<int, Prefix>, Counts> counts_;
  std::deque<std::pair<Instant, double>> arrivals_;  // arrivals within the overload window
  double busy_seconds_ = 0;                          // core seconds used so far
  Instant busy_updated_;
  std::deque<std::pair<Instant, double>> busy_log_;
  std::uint64_t number_ = 0;
};

}  // namespace gorsemount::standins
