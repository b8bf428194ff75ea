// A stub resolver on ldns: queries coordinators over UDP, and over TCP when an answer is truncated.
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
  bool answered = false;      // a server replied with NOERROR or NXDOMAIN
  bool rate_limited = false;  // the SRV target was "." (service not available)
  std::vector<Target> targets;
  Span ttl;
};

class Resolver {
 public:
  using Callback = std::function<void(Answer)>;
  // Queries `servers` in turn, each with the timeout `timeout`. `port`: the port of address records' targets.
  Resolver(net::Loop& loop, const Address& from, std::vector<Endpoint> servers, Span timeout,
           std::uint16_t port);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  // Runs one query at a time. `srv`: asks for SRV records, otherwise for address records.
  void query(const std::string& name, bool srv, Callback callback);
  [[nodiscard]] bool busy() const { return static_cast<bool>(callback_); }

 private:
  void send();
  void on_readable();
  bool handle_packet(const std::uint8_t* data, std::size_t size);
  void retry_over_tcp();
  void finish(Answer answer);

  net::Loop& loop_;
  Address from_;
  std::vector<Endpoint> servers_;
  Span server_timeout_;
  std::uint16_t port_;
  net::Fd fd_;
  std::string name_;
  bool srv_ = false;
  Callback callback_;
  std::size_t servers_tried_ = 0, first_server_ = 0;
  std::uint16_t query_id_ = 0;
  net::Loop::Timer timer_;
  std::shared_ptr<void> tcp_connect_;
  std::shared_ptr<net::Connection> tcp_;
};

}  // namespace gorsemount::standins
