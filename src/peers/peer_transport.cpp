#include "peers/peer_transport.hpp"

namespace gorsemount::peers {

namespace {

constexpr std::size_t kMaxUnsentBytes = 64U << 10U;  // per peer; frames beyond it are discarded
constexpr std::size_t kMaxIncomingConnections = 256;
const Span kRedialDelay = Span::seconds(0.2);
const Span kDialTimeout = Span::seconds(1);

}  // namespace

PeerTransport::PeerTransport(net::Loop& loop, cluster::FrameCodec& codec, const Endpoint& listen,
                             const std::map<cluster::MemberId, Endpoint>& peers, OnMessage on_message,
                             OnDrop on_drop)
    : loop_{loop}, codec_{codec}, on_message_{std::move(on_message)}, on_drop_{std::move(on_drop)} {
  listener_ = std::make_unique<net::Listener>(loop_, listen, [this](net::Fd fd, const Endpoint& from) {
    if (incoming_.size() >= kMaxIncomingConnections) return;
    const std::uint64_t connection_id = ++last_connection_id_;
    incoming_[connection_id] = net::Connection::make(
        loop_, std::move(fd), {cluster::kMaxFrameBytes + 2, 1024, Span::seconds(30)},
        [this, connection_id, peer = from.address.text()](std::string_view bytes) {
          const auto it = incoming_.find(connection_id);
          return it == incoming_.end() ? bytes.size() : on_bytes(it->second, peer, bytes);
        },
        [this, connection_id](const char*) { incoming_.erase(connection_id); });
  });
  for (const auto& [member, endpoint] : peers) {
    outgoing_[member].endpoint = endpoint;
    dial(member);
  }
}

PeerTransport::~PeerTransport() {
  for (auto& [member, outgoing] : outgoing_) {
    loop_.cancel(outgoing.retry_timer);
    if (outgoing.connection) outgoing.connection->abort();
  }
  for (const auto& [connection_id, connection] : std::exchange(incoming_, {})) connection->abort();
}

void PeerTransport::dial(cluster::MemberId member) {
  Outgoing& outgoing = outgoing_.at(member);
  const auto retry = [this, member](Span wait) {
    Outgoing& target = outgoing_.at(member);
    target.pending_dial.reset();
    loop_.cancel(target.retry_timer);
    target.retry_timer = loop_.after(wait, [this, member] { dial(member); });
  };
  outgoing.pending_dial = net::connect(loop_, outgoing.endpoint, {}, [this, member, retry](net::Fd fd, int) {
    Outgoing& target = outgoing_.at(member);
    if (!fd) return retry(kRedialDelay);
    loop_.cancel(target.retry_timer);
    target.pending_dial.reset();
    // The peer never sends on this stream; it answers on its own.
    target.connection = net::Connection::make(
        loop_, std::move(fd), {1024, kMaxUnsentBytes, Span::seconds(30)},
        [](std::string_view bytes) { return bytes.size(); }, [retry](const char*) { retry(kRedialDelay); });
  });
  // A path that silently drops packets neither completes nor fails the connection attempt.
  loop_.cancel(outgoing.retry_timer);
  outgoing.retry_timer = loop_.after(kDialTimeout, [this, member] { dial(member); });
}

void PeerTransport::send(const cluster::Message& message) {
  const auto it = outgoing_.find(message.to);
  if (it == outgoing_.end() || !it->second.connection || !it->second.connection->open()) return;
  const std::string frame = codec_.seal(message);
  if (it->second.connection->unsent() + frame.size() > kMaxUnsentBytes) return;
  bytes_sent_ += frame.size();
  it->second.connection->send(frame);
}

void PeerTransport::report_drop(const std::string& from, cluster::DropReason reason) {
  ++dropped_frames_;
  if (reported_.size() < 1000 && reported_.emplace(from, reason).second)
    on_drop_(from, cluster::name_of(reason));
}

std::size_t PeerTransport::on_bytes(const std::shared_ptr<net::Connection>& connection,
                                    const std::string& from, std::string_view bytes) {
  const auto size = cluster::FrameCodec::frame_length(bytes);
  if (!size) return 0;
  // Without a valid length the start of the next frame is unknown.
  if (*size > cluster::kMaxFrameBytes || *size < 2) {
    report_drop(from, cluster::DropReason::too_large);
    connection->close("invalid frame length");
    return bytes.size();
  }
  if (bytes.size() < *size) return 0;
  const auto opened = codec_.open(bytes.substr(0, *size));
  if (const auto* message = std::get_if<cluster::Message>(&opened)) {
    on_message_(*message);
  } else {
    report_drop(from, std::get<cluster::DropReason>(opened));
  }
  return *size;
}

}  // namespace gorsemount::peers
