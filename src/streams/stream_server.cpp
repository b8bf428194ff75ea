#include "streams/stream_server.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace gorsemount::streams {

namespace {

constexpr std::size_t kDiscardMost = 256U << 10U;  // read from one that leaves, so that it sees why
const Span kLeaveWithin = Span::seconds(0.3);
constexpr std::size_t kReasonsMost = 64;    // kept apart in the counts; the rest together
constexpr std::size_t kCollectorsMost = 2;  // of a zone: the one in use, and one whose end was not seen

void count(std::map<std::string, std::uint64_t>& by_reason, std::string reason) {
  if (by_reason.size() >= kReasonsMost && !by_reason.contains(reason)) reason = "other";
  ++by_reason[reason];
}

}  // namespace

StreamServer::StreamServer(net::Loop& loop, const Endpoint& at, Limits limits, Callbacks callbacks)
    : loop_{loop}, limits_{limits}, callbacks_{std::move(callbacks)} {
  listener_ = std::make_unique<net::Listener>(loop_, at,
                                              [this](net::Fd fd, const Endpoint&) { accept(std::move(fd)); });
}

StreamServer::~StreamServer() {
  listener_.reset();
  loop_.cancel(end_);
  for (auto& [id, peer] : peers_) loop_.cancel(peer.deadline);
}

std::size_t StreamServer::room() const {
  const std::size_t left = limits_.peers > joined() ? limits_.peers - joined() : 0;
  return std::clamp(left, kPendingLeast, std::max(limits_.pending, kPendingLeast));
}

void StreamServer::shut_down(Span within, std::function<void()> done) {
  if (std::exchange(shutting_down_, true)) return;
  done_ = std::move(done);
  end_ = loop_.after(within, [this] {
    while (!peers_.empty()) drop(peers_.begin()->first);
    finish();
  });
  listener_->accept_all();  // the kernel resets whoever still waits there when it closes
  listener_.reset();
  std::vector<StreamId> all;
  for (const auto& [id, peer] : peers_) all.push_back(id);
  for (const StreamId id : all) close_peer(id);
  if (peers_.empty()) finish();
}

void StreamServer::finish() {
  loop_.cancel(end_);
  if (const auto done = std::exchange(done_, {})) done();
}

// Reads what has come, since a close with input unread is a reset that eats what was written; then ends its
// own side.
void StreamServer::close_peer(StreamId id) {
  const auto find = [&] { return peers_.find(id); };
  auto it = find();
  if (it == peers_.end()) return;
  const auto connection = it->second.connection;
  connection->read_now();
  if (it = find(); it == peers_.end() || it->second.role == Role::closing) return;
  if (it->second.role == Role::pending) return refuse(id, "shutting down");
  if (it->second.role == Role::collector) std::erase(collectors_[it->second.zone], id);
  it->second.role = Role::closing;
  pending_.insert(id);
  connection->half_close();
}

void StreamServer::accept(net::Fd fd) {
  make_room();
  ++counts_.accepted;
  const StreamId id = ++last_;
  Peer& peer = peers_[id];
  pending_.insert(id);
  peer.deadline = loop_.after(limits_.joins_within, [this, id] { refuse(id, "no join in time"); });
  // A quiet stream is not a dead one, so nothing here closes for quiet; the deadline bounds pending
  // connections.
  peer.connection = net::Connection::make(
      loop_, std::move(fd), {limits_.half_message + (16U << 10U), limits_.unread, Span{}, true},
      [this, id](std::string_view bytes) { return data(id, bytes); },
      [this, id](const char* why) { closed(id, why); });
  // Its join is mostly here already: read it before a flood behind it can make it the oldest pending
  // connection.
  const auto connection = peer.connection;
  connection->read_now();
}

void StreamServer::make_room() {
  while (pending_.size() >= room()) {
    const auto first = [&](auto&& is) { return std::find_if(pending_.begin(), pending_.end(), is); };
    auto it = first([&](StreamId id) { return peers_.at(id).role == Role::closing; });
    if (it == pending_.end()) it = first([&](StreamId id) { return !peers_.at(id).hopeful; });
    if (it == pending_.end()) it = pending_.begin();
    const StreamId id = *it;
    if (peers_.at(id).role == Role::pending) {
      peers_.at(id).connection->send(write_refused("no room"));
      count(counts_.refusals, "no room"), ++counts_.refused;
    }
    drop(id);
  }
}

std::size_t StreamServer::data(StreamId id, std::string_view bytes) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return bytes.size();
  Peer& peer = it->second;
  if (peer.role == Role::closing) {
    peer.discarded += bytes.size();
    if (peer.discarded > kDiscardMost) drop(id);
    return bytes.size();
  }
  const auto end = bytes.find('\n');
  const auto part = bytes.substr(0, end);
  const bool pending = peer.role == Role::pending;
  if (hopeless(part) || (pending && part.size() > limits_.half_message)) {
    pending ? refuse(id, "not a message") : protocol_error(id, "not a message");
    return bytes.size();
  }
  peer.hopeful = true;
  if (end == std::string_view::npos) return 0;
  auto line = part;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  message(id, peer, read_message(line));
  return end + 1;
}

void StreamServer::message(StreamId id, Peer& peer, const Message& m) {
  const bool pending = peer.role == Role::pending;
  if (std::holds_alternative<Ping>(m)) {
    ++counts_.pings;
    peer.connection->send(kPong);
    return;
  }
  if (const auto* bad = std::get_if<ProtocolError>(&m))
    return pending ? refuse(id, bad->why.c_str()) : protocol_error(id, bad->why.c_str());
  if (const auto* bad = std::get_if<Malformed>(&m))
    return pending ? refuse(id, "a message that lacks what it must have") : malformed(bad->kind, bad->field);
  if (const auto* joined = std::get_if<ProxyJoin>(&m)) {
    if (!pending) return malformed("joined", "joined already");
    if (shutting_down_) return refuse(id, "shutting down");
    const auto result = callbacks_.joined(id, *joined);
    if (result.refused != nullptr) return refuse(id, result.refused);
    if (result.succeeds) end(*result.succeeds);
    ++counts_.joins;
    return settled(id, peer, Role::stream);
  }
  if (const auto* collector = std::get_if<CollectorJoin>(&m)) {
    if (!pending) return malformed("collector", "joined already");
    if (shutting_down_) return refuse(id, "shutting down");
    if (const char* why = callbacks_.collector(*collector)) return refuse(id, why);
    peer.zone = collector->zone;
    auto& same = collectors_[peer.zone];
    same.push_back(id);
    settled(id, peer, Role::collector);
    if (same.size() > kCollectorsMost) drop(same.front());
    return;
  }
  if (pending) return refuse(id, "a report without a join");
  ++counts_.reports;
  const auto from = peer.role == Role::stream ? std::optional{id} : std::nullopt;
  if (const char* why = callbacks_.report(from, m)) malformed("report", why);
}

void StreamServer::settled(StreamId id, Peer& peer, Role role) {
  peer.role = role;
  pending_.erase(id);
  loop_.cancel(peer.deadline);
  peer.connection->limit({kMessageMost + (16U << 10U), limits_.unread, Span{}, true});
}

// Says why and goes: what still comes is read for a moment, so that a reset does not eat the answer.
void StreamServer::refuse(StreamId id, const char* why) {
  const auto it = peers_.find(id);
  if (it == peers_.end() || it->second.role != Role::pending) return;
  count(counts_.refusals, why), ++counts_.refused;
  Peer& peer = it->second;
  peer.role = Role::closing;
  loop_.cancel(peer.deadline);
  peer.deadline = loop_.after(kLeaveWithin, [this, id] { drop(id); });
  const auto connection = peer.connection;
  connection->send(write_refused(why));
  connection->half_close();
}

void StreamServer::protocol_error(StreamId id, const char* why) {
  ++counts_.protocol_errors;
  count(counts_.malformed, std::string{"protocol error: "} + why);
  const bool stream = peers_.at(id).role == Role::stream;
  drop(id);
  if (stream) callbacks_.left(id);
}

void StreamServer::malformed(const std::string& kind, const std::string& why) {
  count(counts_.malformed, kind + ": " + why);
}

void StreamServer::closed(StreamId id, const char* why) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  const bool stream = it->second.role == Role::stream;
  if (std::string_view{why} == "not reading") ++counts_.slow_consumers;
  drop(id);
  if (stream) callbacks_.left(id);
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

void StreamServer::end(StreamId stream) { drop(stream); }

}  // namespace gorsemount::streams
