#include "dns/server.hpp"

namespace gorsemount::dns {

namespace {

constexpr std::size_t kTcpMost = 65535;          // RFC 7766, section 8: the length is 16 bits
constexpr std::size_t kUnsentMost = 512 * 1024;  // answers that a peer has not read yet

}  // namespace

Server::Server(net::Loop& loop, Responder& responder, ServerSettings settings, LookedUp looked_up)
    : loop_{loop},
      responder_{responder},
      s_{settings},
      looked_up_{std::move(looked_up)},
      udp_{loop, s_.listen,
           [this](std::span<const std::uint8_t> in, const Endpoint& from, std::span<std::uint8_t> out) {
             const auto answered = responder_.answer(in, from.address, true, out);
             if (answered.looked_up) looked_up_(*answered.looked_up);
             return answered.size;
           }},
      tcp_{std::make_unique<net::Listener>(
          loop, s_.listen, [this](net::Fd fd, const Endpoint& from) { accept(std::move(fd), from); })},
      out_(kTcpMost) {}

void Server::accept(net::Fd fd, const Endpoint& from) {
  // One too many is closed at once: whoever is served keeps being served, and UDP goes on.
  if (connections_.size() >= s_.tcp_most) {
    ++turned_away_;
    return;
  }
  const std::uint64_t number = ++number_;
  connections_[number] = net::Connection::make(
      loop_, std::move(fd), {kTcpMost + 2, kUnsentMost, s_.tcp_idle},
      [this, number, source = from.address](std::string_view bytes) {
        return tcp_data(number, source, bytes);
      },
      [this, number](const char*) { connections_.erase(number); });
}

std::size_t Server::tcp_data(std::uint64_t number, const Address& from, std::string_view bytes) {
  if (bytes.size() < 2) return 0;
  const auto* raw = reinterpret_cast<const std::uint8_t*>(bytes.data());
  const std::size_t size = static_cast<std::size_t>(raw[0]) << 8U | raw[1];
  if (bytes.size() < 2 + size) return 0;
  const auto it = connections_.find(number);
  if (it == connections_.end()) return bytes.size();
  const auto connection = it->second;
  // What a peer has not read yet bounds what it may ask: the rest waits in its own buffers.
  if (connection->unsent() > kUnsentMost / 2) return 0;
  const auto answered = responder_.answer({raw + 2, size}, from, false, out_);
  if (answered.looked_up) looked_up_(*answered.looked_up);
  if (answered.size == 0) {
    connection->close("no question");  // nothing that could be answered: what follows can't be told apart
    return bytes.size();
  }
  std::string framed;
  framed.push_back(static_cast<char>(answered.size >> 8U)),
      framed.push_back(static_cast<char>(answered.size));
  framed.append(reinterpret_cast<const char*>(out_.data()), answered.size);
  connection->send(framed);
  return 2 + size;
}

void Server::stop() {
  udp_.drain();
  tcp_.reset();
  const auto open = connections_;
  for (const auto& [number, connection] : open) connection->finish();
}

}  // namespace gorsemount::dns
