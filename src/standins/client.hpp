// A stand-in for a clinic's record system: resolves a name, caches the answer, selects a target as in RFC
// 2782, calls a worker, and retries only what is safe to repeat. Some deliberately cache answers beyond their
// TTL.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/http.hpp"
#include "script/day.hpp"
#include "standins/records.hpp"
#include "standins/resolver.hpp"

namespace gorsemount::standins {

struct ClientSettings {
  std::string name, zone, origin;
  Address address;
  std::vector<Endpoint> servers;
  std::vector<DayOperation> operations;
  double rate = 1;
  bool by_address = false;
  std::optional<Endpoint> forwarder;  // forwarder to call in place of a DNS lookup
  bool honours_ttl = true;            // false: caches answers for ten times their TTL
  bool retry_all = false;             // false: retries side-effecting work only when it provably never ran
};

class Client {
 public:
  Client(net::Loop& loop, Recorder& recorder, ClientSettings settings, std::uint64_t seed);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  void set_rate_factor(double factor);  // 0: no new invocations
  [[nodiscard]] std::size_t open() const { return open_.size(); }

 private:
  struct Invocation {
    std::string id;
    std::size_t operation = 0;
    Instant started_at;
    int tries = 0;
    std::vector<Endpoint> tried;
  };
  struct Cache {
    std::vector<Target> targets;
    Instant expires_at;
    std::vector<std::uint64_t> waiting;  // numbers of the invocations that wait for the pending lookup
    bool lookup_pending = false;
  };
  struct Pooled {
    std::unique_ptr<net::HttpClient> http;
  };
  void schedule_next();
  void invoke();
  void resolve_and_send(std::uint64_t number);
  void start_lookup(std::size_t operation);
  void send(std::uint64_t number, const Endpoint& to);
  void on_reply(std::uint64_t number, const Endpoint& to, const net::HttpClient::Result& result);
  void finish(std::uint64_t number, const char* outcome);
  [[nodiscard]] const Target* select_target(const Cache& cache, const Invocation& invocation);

  net::Loop& loop_;
  Recorder& recorder_;
  ClientSettings s_;
  std::mt19937 random_;
  double rate_factor_ = 1;
  net::Loop::Timer timer_;
  std::vector<std::unique_ptr<Resolver>> resolvers_;  // one for each operation
  std::vector<Cache> caches_;
  std::map<std::uint64_t, Invocation> open_;
  std::map<Endpoint, std::vector<std::unique_ptr<net::HttpClient>>> pool_;
  std::uint64_t number_ = 0;
};

}  // namespace gorsemount::standins
