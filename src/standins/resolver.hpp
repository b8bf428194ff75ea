// A stand-in stub resolver on ldns: asks coordinators over UDP, and over TCP where an answer is truncated.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/socket.hpp"

namespace gorsemount::standins {

struct Target {
  Endpoint at;
  double weight = 1;  // RFC 2782; 1 for addresses
  unsigned priority = 0;
};
struct Answer {
  bool answered = false;     // some server answered with sense
  bool unavailable = false;  // it said that the service is not available: rate-limited
  std::vector<Target> targets;
  Span lifetime;
};

class Resolver {
 public:
  using Done = std::function<void(Answer)>;
  // Asks `servers` in turn, each for `patience`. `port`: for addresses, which tell none.
  Resolver(net::Loop& loop, const Address& from, std::vector<Endpoint> servers, Span patience,
           std::uint16_t port);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  // One question at a time for each resolver; `srv`: SRV records, else addresses.
  void ask(const std::string& name, bool srv, Done done);
  [[nodiscard]] bool busy() const { return static_cast<bool>(done_); }

 private:
  void send();
  void received();
  bool take(const std::uint8_t* data, std::size_t size);
  void over_tcp();
  void end(Answer answer);

  net::Loop& loop_;
  Address from_;
  std::vector<Endpoint> servers_;
  Span patience_;
  std::uint16_t port_;
  net::Fd fd_;
  std::string name_;
  bool srv_ = false;
  Done done_;
  std::size_t tried_ = 0, first_ = 0;
  std::uint16_t id_ = 0;
  net::Loop::Timer timeout_;
  std::shared_ptr<void> attempt_;
  std::shared_ptr<net::Connection> tcp_;
};

}  // namespace gorsemount::standins
