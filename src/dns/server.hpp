// DNS server sockets: UDP in batches, and TCP with several queries per connection (RFC 7766).
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "dns/responder.hpp"
#include "net/socket.hpp"

namespace gorsemount::dns {

struct ServerSettings {
  Endpoint listen;
  std::size_t max_tcp_connections = 256;
  Span tcp_idle_timeout = Span::seconds(10);
};

class Server {
 public:
  using OnLookup = std::function<void(ProxyId)>;
  // Throws std::system_error if it can't listen.
  Server(net::Loop& loop, Responder& responder, ServerSettings settings, OnLookup on_lookup);

  // Answers all pending queries, then closes; TCP connections close once their responses are written.
  void stop();
  [[nodiscard]] std::uint64_t dropped_datagrams() const { return udp_.dropped(); }
  [[nodiscard]] std::uint64_t rejected_connections() const { return rejected_connections_; }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  void accept(net::Fd fd, const Endpoint& from);
  std::size_t handle_tcp_data(std::uint64_t connection_id, const Address& from, std::string_view bytes);

  net::Loop& loop_;
  Responder& responder_;
  ServerSettings settings_;
  OnLookup on_lookup_;
  net::UdpServer udp_;
  std::unique_ptr<net::Listener> tcp_;
  std::map<std::uint64_t, std::shared_ptr<net::Connection>> connections_;
  std::uint64_t last_connection_id_ = 0, rejected_connections_ = 0;
  std::vector<std::uint8_t> tcp_answer_;
};

}  // namespace gorsemount::dns
