// A stand-in clinic record system: looks up, caches, picks as RFC 2782 says, calls a worker, and repeats only
// what may run again. Some keep answers far too long on purpose.
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
  Address at;
  std::vector<Endpoint> servers;
  std::vector<DayOperation> operations;
  double rate = 1;
  bool by_address = false;
  std::optional<Endpoint> via;  // calls this forwarder, and looks nothing up
  bool obeys = true;            // false: keeps answers ten times as long as it may
  bool repeat_all = false;      // false: repeats side-effecting work only on proof that it never ran
};

class Client {
 public:
  Client(net::Loop& loop, Recorder& recorder, ClientSettings settings, std::uint64_t seed);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  void pace(double times);  // 0: no new work
  [[nodiscard]] std::size_t open() const { return open_.size(); }

 private:
  struct Invocation {
    std::string id;
    std::size_t operation = 0;
    Instant came;
    int tries = 0;
    std::vector<Endpoint> tried;
  };
  struct Cache {
    std::vector<Target> targets;
    Instant until;
    std::vector<std::uint64_t> waiting;  // invocations, for the lookup under way
    bool asking = false;
  };
  struct Pooled {
    std::unique_ptr<net::HttpClient> http;
  };
  void next();
  void invoke();
  void with_answer(std::uint64_t number);
  void look_up(std::size_t operation);
  void send(std::uint64_t number, const Endpoint& to);
  void replied(std::uint64_t number, const Endpoint& to, const net::HttpClient::Result& result);
  void done(std::uint64_t number, const char* outcome);
  [[nodiscard]] const Target* pick(const Cache& cache, const Invocation& inv);

  net::Loop& loop_;
  Recorder& recorder_;
  ClientSettings s_;
  std::mt19937 chance_;
  double pace_ = 1;
  net::Loop::Timer next_;
  std::vector<std::unique_ptr<Resolver>> resolvers_;  // one an operation
  std::vector<Cache> caches_;
  std::map<std::uint64_t, Invocation> open_;
  std::map<Endpoint, std::vector<std::unique_ptr<net::HttpClient>>> pool_;
  std::uint64_t number_ = 0;
};

}  // namespace gorsemount::standins
