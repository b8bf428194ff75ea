#include "dns/server.hpp"

namespace gorsemount::dns {

namespace {

constexpr std::size_t kMaxTcpMessageBytes = 65535;    // RFC 7766, section 8: the length is 16 bits
constexpr std::size_t kMaxUnsentBytes = 512U << 10U;  // responses that a peer has not read yet

}  // namespace

Server::Server(net::Loop& loop, Responder& responder, ServerSettings settings, OnLookup on_lookup)
    : loop_{loop},
      responder_{responder},
      settings_{settings},
      on_lookup_{std::move(on_lookup)},
      udp_{loop, settings_.listen,
           [this](std::span<const std::uint8_t> in, const Endpoint& from, std::span<std::uint8_t> out) {
             const auto answer = responder_.answer(in, from.address, true, out);
             if (answer.queried_group) on_lookup_(*answer.queried_group);
             return answer.size;
           }},
      tcp_{std::make_unique<net::Listener>(
          loop, settings_.listen, [this](net::Fd fd, const Endpoint& from) { accept(std::move(fd), from); })},
      tcp_answer_(kMaxTcpMessageBytes) {}

void Server::accept(net::Fd fd, const Endpoint& from) {
  // A connection over the limit is closed at once; open connections and UDP are not affected.
  if (connections_.size() >= settings_.max_tcp_connections) {
    ++rejected_connections_;
    return;
  }
  const std::uint64_t connection_id = ++last_connection_id_;
  connections_[connection_id] = net::Connection::make(
      loop_, std::move(fd), {kMaxTcpMessageBytes + 2, kMaxUnsentBytes, settings_.tcp_idle_timeout},
      [this, connection_id, source = from.address](std::string_view bytes) {
        return handle_tcp_data(connection_id, source, bytes);
      },
      [this, connection_id](const char*) { connections_.erase(connection_id); });
}

std::size_t Server::handle_tcp_data(std::uint64_t connection_id, const Address& from,
                                    std::string_view bytes) {
  if (bytes.size() < 2) return 0;
  const auto* header = reinterpret_cast<const std::uint8_t*>(bytes.data());
  const std::size_t size = static_cast<std::size_t>(header[0]) << 8U | header[1];
  if (bytes.size() < 2 + size) return 0;
  const auto it = connections_.find(connection_id);
  if (it == connections_.end()) return bytes.size();
  const auto connection = it->second;
  // Backpressure: while too many responses are unread, further queries stay in the receive buffer.
  if (connection->unsent() > kMaxUnsentBytes / 2) return 0;
  const auto answer = responder_.answer({header + 2, size}, from, false, tcp_answer_);
  if (answer.queried_group) on_lookup_(*answer.queried_group);
  if (answer.size == 0) {
    // No response is possible, and the bytes that follow can no longer be split into queries.
    connection->close("malformed query");
    return bytes.size();
  }
  std::string framed;
  framed.push_back(static_cast<char>(answer.size >> 8U)), framed.push_back(static_cast<char>(answer.size));
  framed.append(reinterpret_cast<const char*>(tcp_answer_.data()), answer.size);
  connection->send(framed);
  return 2 + size;
}

void Server::stop() {
  udp_.drain();
  tcp_.reset();
  const auto open_connections = connections_;
  for (const auto& [connection_id, connection] : open_connections) connection->finish();
}

}  // namespace gorsemount::dns
