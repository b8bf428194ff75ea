#include "streams/stream_server.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace gorsemount::streams {

namespace {

constexpr std::size_t kMaxDiscardedBytes = 256U << 10U;  // input drained from a closing peer, see refuse()
const Span kRefusalDrainTime = Span::seconds(0.3);
// Of the input that has arrived when the server shuts down: what is handled of one peer's, and of all. A
// reset would discard what a peer hasn't read, so the rest is read too, but not handled.
constexpr std::size_t kShutdownBytesPerPeer = 4096, kShutdownBytes = 1U << 20U;
// A message is charged against its peer's rate as one, and one more for each of these bytes.
constexpr double kBytesPerMessage = 512;
constexpr double kMalformedCharge = 10;           // messages that a malformed one is charged as
constexpr std::size_t kMaxReasons = 64;           // further reasons are counted as "other"
constexpr std::size_t kMaxCollectorsPerZone = 2;  // the active one, and one whose close is not yet seen

void count(std::map<std::string, std::uint64_t>& by_reason, std::string reason) {
  if (by_reason.size() >= kMaxReasons && !by_reason.contains(reason)) reason = "other";
  ++by_reason[reason];
}

}  // namespace

StreamServer::StreamServer(net::Loop& loop, const Endpoint& endpoint, Limits limits, Callbacks callbacks)
    : loop_{loop}, limits_{limits}, callbacks_{std::move(callbacks)} {
  listener_ = std::make_unique<net::Listener>(loop_, endpoint,
                                              [this](net::Fd fd, const Endpoint&) { accept(std::move(fd)); });
}

StreamServer::~StreamServer() {
  listener_.reset();
  loop_.cancel(shutdown_timer_);
  for (auto& [id, peer] : peers_) loop_.cancel(peer.deadline);
}

std::size_t StreamServer::pending_capacity() const {
  const std::size_t left =
      limits_.max_connections > joined_count() ? limits_.max_connections - joined_count() : 0;
  return std::clamp(left, kMinPending, std::max(limits_.max_pending, kMinPending));
}

void StreamServer::shut_down(Span timeout, std::function<void()> on_done) {
  if (std::exchange(shutting_down_, true)) return;
  on_done_ = std::move(on_done);
  shutdown_timer_ = loop_.after(timeout, [this] {
    while (!peers_.empty()) drop(peers_.begin()->first);
    finish();
  });
  listener_->accept_all();  // closing the listener resets connections still in its queue
  listener_.reset();
  std::vector<StreamId> all;
  for (const auto& [id, peer] : peers_) all.push_back(id);
  std::size_t handled_bytes = 0;
  for (const StreamId id : all) handled_bytes += begin_close(id, handled_bytes < kShutdownBytes);
  if (peers_.empty()) finish();
}

void StreamServer::finish() {
  loop_.cancel(shutdown_timer_);
  if (const auto on_done = std::exchange(on_done_, {})) on_done();
}

// Handles the beginning of the pending input, if `handle_input`, and half-closes the connection. Returns the
// number of bytes handled. What follows is read and discarded, since closing a socket with unread input sends
// a reset, which discards output that the peer has not read.
std::size_t StreamServer::begin_close(StreamId id, bool handle_input) {
  const auto find = [&] { return peers_.find(id); };
  auto it = find();
  if (it == peers_.end()) return 0;
  const auto connection = it->second.connection;
  const std::size_t handled = handle_input ? connection->read_now(kShutdownBytesPerPeer) : 0;
  if (it = find(); it == peers_.end() || it->second.role == Role::closing) return handled;
  if (it->second.role == Role::pending) {
    refuse(id, "shutting down");
    return handled;
  }
  if (it->second.role == Role::collector) std::erase(collectors_[it->second.zone], id);
  it->second.role = Role::closing;
  pending_.insert(id);
  connection->half_close();
  return handled;
}

void StreamServer::accept(net::Fd fd) {
  evict_pending();
  ++counts_.accepted;
  const StreamId id = ++last_stream_;
  Peer& peer = peers_[id];
  pending_.insert(id);
  peer.deadline = loop_.after(limits_.join_timeout, [this, id] { refuse(id, "no join in time"); });
  // Joined streams may be idle for long, so there is no idle timeout; the deadline applies to pending
  // connections only.
  peer.connection = net::Connection::make(
      loop_, std::move(fd),
      {limits_.max_partial_bytes + (16U << 10U), limits_.max_unread_bytes, Span{}, true},
      [this, id](std::string_view bytes) { return on_data(id, bytes); },
      [this, id](const char* reason) { on_closed(id, reason); });
  // The join has usually arrived already. Reading it at once keeps a flood of later connections from evicting
  // this one as the oldest pending connection.
  const auto connection = peer.connection;
  connection->read_now(limits_.max_partial_bytes);
}

void StreamServer::evict_pending() {
  while (pending_.size() >= pending_capacity()) {
    const auto first = [&](auto&& matches) {
      return std::find_if(pending_.begin(), pending_.end(), matches);
    };
    auto it = first([&](StreamId id) { return peers_.at(id).role == Role::closing; });
    if (it == pending_.end()) it = first([&](StreamId id) { return !peers_.at(id).has_valid_prefix; });
    if (it == pending_.end()) it = pending_.begin();
    const StreamId id = *it;
    if (peers_.at(id).role == Role::pending) {
      peers_.at(id).connection->send(encode_refusal("no room"));
      count(counts_.refusals, "no room"), ++counts_.refused;
    }
    drop(id);
  }
}

std::size_t StreamServer::on_data(StreamId id, std::string_view bytes) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return bytes.size();
  Peer& peer = it->second;
  if (peer.role == Role::closing) {
    peer.discarded_bytes += bytes.size();
    if (peer.discarded_bytes > kMaxDiscardedBytes) drop(id);
    return bytes.size();
  }
  const std::size_t checked_bytes = std::exchange(peer.checked_bytes, 0);
  const auto end = bytes.find('\n', checked_bytes);
  const auto prefix = bytes.substr(0, end);
  const bool pending = peer.role == Role::pending;
  if (is_invalid_prefix(prefix, checked_bytes) || (pending && prefix.size() > limits_.max_partial_bytes)) {
    pending ? refuse(id, "not a message") : protocol_error(id, "not a message");
    return bytes.size();
  }
  peer.has_valid_prefix = true;
  if (end == std::string_view::npos) {
    // Only the line's end may follow a carriage return, so one at the end is checked again.
    peer.checked_bytes = prefix.ends_with('\r') ? prefix.size() - 1 : prefix.size();
    return 0;
  }
  auto line = prefix;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (!pending && !charge_message(id, peer, end + 1)) return bytes.size();
  handle_message(id, peer, parse_message(line));
  return end + 1;
}

void StreamServer::handle_message(StreamId id, Peer& peer, const Message& message) {
  const bool pending = peer.role == Role::pending;
  if (std::holds_alternative<Ping>(message)) {
    ++counts_.pings;
    peer.connection->send(kPong);
    return;
  }
  if (const auto* error = std::get_if<ProtocolError>(&message))
    return pending ? refuse(id, error->reason.c_str()) : protocol_error(id, error->reason.c_str());
  if (const auto* error = std::get_if<Malformed>(&message))
    return pending ? refuse(id, "a message that lacks what it must have") : skip_malformed(peer, *error);
  if (const auto* joined = std::get_if<ProxyJoin>(&message)) {
    if (!pending) return count_malformed("joined", "joined already");
    if (shutting_down_) return refuse(id, "shutting down");
    // Joining a proxy that is gone would only order tables for it, and end the stream of its successor.
    if (peer.connection->peer_has_closed()) return refuse(id, "closed already");
    const auto result = callbacks_.on_join(id, *joined);
    if (result.refusal != nullptr) return refuse(id, result.refusal);
    if (result.replaced_stream) close_replaced(*result.replaced_stream);
    ++counts_.joins;
    return complete_join(id, peer, Role::stream);
  }
  if (const auto* collector = std::get_if<CollectorJoin>(&message)) {
    if (!pending) return count_malformed("collector", "joined already");
    if (shutting_down_) return refuse(id, "shutting down");
    if (const char* reason = callbacks_.on_collector(*collector)) return refuse(id, reason);
    peer.zone = collector->zone;
    auto& in_zone = collectors_[peer.zone];
    in_zone.push_back(id);
    complete_join(id, peer, Role::collector);
    if (in_zone.size() > kMaxCollectorsPerZone) drop(in_zone.front());
    return;
  }
  if (pending) return refuse(id, "a report without a join");
  ++counts_.reports;
  const auto from = peer.role == Role::stream ? std::optional{id} : std::nullopt;
  if (const char* reason = callbacks_.on_report(from, message)) count_malformed("report", reason);
}

void StreamServer::complete_join(StreamId id, Peer& peer, Role role) {
  peer.role = role;
  pending_.erase(id);
  loop_.cancel(peer.deadline);
  peer.excess_at = loop_.now();
  peer.connection->limit(joined_limits(role));
}

// The end of a proxy's stream is its leaving, so what it left unread is of no use. A collector's reports stay
// valid after its end.
net::Connection::Limits StreamServer::joined_limits(Role role) const {
  net::Connection::Limits limits{kMaxMessageBytes + (16U << 10U), limits_.max_unread_bytes, Span{}, true};
  limits.discard_after_close = role == Role::stream;
  return limits;
}

bool StreamServer::charge_message(StreamId id, Peer& peer, std::size_t bytes) {
  const double elapsed = (loop_.now() - peer.excess_at).seconds();
  peer.excess_at = loop_.now();
  peer.excess_messages = std::max(0.0, peer.excess_messages - elapsed * limits_.max_message_rate) + 1 +
                         static_cast<double>(bytes) / kBytesPerMessage;
  if (peer.excess_messages > kMaxExcessSeconds * limits_.max_message_rate) {
    ++counts_.over_rate;
    protocol_error(id, "over its rate");
    return false;
  }
  const bool over_burst = peer.excess_messages > kBurstSeconds * limits_.max_message_rate;
  peer.connection->set_priority(over_burst ? net::ReadPriority::low : net::ReadPriority::normal);
  return true;
}

// Sends the reason and half-closes. Input is drained for a short time, since a reset would discard the
// reason.
void StreamServer::refuse(StreamId id, const char* reason) {
  const auto it = peers_.find(id);
  if (it == peers_.end() || it->second.role != Role::pending) return;
  count(counts_.refusals, reason), ++counts_.refused;
  Peer& peer = it->second;
  peer.role = Role::closing;
  loop_.cancel(peer.deadline);
  peer.deadline = loop_.after(kRefusalDrainTime, [this, id] { drop(id); });
  const auto connection = peer.connection;
  connection->send(encode_refusal(reason));
  connection->half_close();
}

void StreamServer::protocol_error(StreamId id, const char* reason) {
  ++counts_.protocol_errors;
  count(counts_.malformed, std::string{"protocol error: "} + reason);
  const bool stream = peers_.at(id).role == Role::stream;
  drop(id);
  if (stream) callbacks_.on_leave(id);
}

void StreamServer::skip_malformed(Peer& peer, const Malformed& error) {
  peer.excess_messages += kMalformedCharge - 1;
  count_malformed(error.kind, error.field);
}

void StreamServer::count_malformed(const std::string& kind, const std::string& reason) {
  count(counts_.malformed, kind + ": " + reason);
}

void StreamServer::on_closed(StreamId id, const char* reason) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  const bool stream = it->second.role == Role::stream;
  if (std::string_view{reason} == "not reading") ++counts_.slow_consumers;
  if (std::string_view{reason} == "over the memory limit") ++counts_.over_memory;
  drop(id);
  if (stream) callbacks_.on_leave(id);
}

void StreamServer::drop(StreamId id) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  loop_.cancel(it->second.deadline);
  if (it->second.role == Role::collector) std::erase(collectors_[it->second.zone], id);
  pending_.erase(id);
  const auto connection = std::move(it->second.connection);
  peers_.erase(it);
  if (connection) connection->close("done");
  if (shutting_down_ && peers_.empty()) finish();
}

void StreamServer::send(StreamId stream, std::string_view bytes) {
  const auto it = peers_.find(stream);
  if (it == peers_.end()) return;
  ++counts_.messages_sent, counts_.bytes_sent += bytes.size();
  const auto connection = it->second.connection;
  connection->send(bytes);
}

void StreamServer::close_replaced(StreamId stream) { drop(stream); }

}  // namespace gorsemount::streams
