// DNS on sockets: UDP in batches, and TCP with several questions on a connection (RFC 7766).
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "dns/responder.hpp"
#include "net/socket.hpp"

namespace gorsemount::dns {

struct ServerSettings {
  Endpoint listen;
  std::size_t tcp_most = 256;
  Span tcp_idle = Span::seconds(10);
};

class Server {
 public:
  using LookedUp = std::function<void(ProxyId)>;
  // Throws std::system_error if it can't listen.
  Server(net::Loop& loop, Responder& responder, ServerSettings settings, LookedUp looked_up);

  // Answers what has come in, then closes: a TCP connection once its answers are written.
  void stop();
  [[nodiscard]] std::uint64_t dropped_datagrams() const { return udp_.dropped(); }
  [[nodiscard]] std::uint64_t turned_away() const { return turned_away_; }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  void accept(net::Fd fd, const Endpoint& from);
  std::size_t tcp_data(std::uint64_t number, const Address& from, std::string_view bytes);

  net::Loop& loop_;
  Responder& responder_;
  ServerSettings s_;
  LookedUp looked_up_;
  net::UdpServer udp_;
  std::unique_ptr<net::Listener> tcp_;
  std::map<std::uint64_t, std::shared_ptr<net::Connection>> connections_;
  std::uint64_t number_ = 0, turned_away_ = 0;
  std::vector<std::uint8_t> out_;
};

}  // namespace gorsemount::dns
