#include "peers/peer_transport.hpp"

namespace gorsemount::peers {

namespace {

constexpr std::size_t kUnsentMost = 64U << 10U;  // a peer that reads no more hears nothing for a while
constexpr std::size_t kIncomingMost = 256;
const Span kDialAgain = Span::seconds(0.2);
const Span kDialMost = Span::seconds(1);

}  // namespace

PeerTransport::PeerTransport(net::Loop& loop, cluster::FrameCodec& frames, const Endpoint& listen,
                             std::map<cluster::MemberId, Endpoint> others, Take take, Dropped dropped)
    : loop_{loop}, frames_{frames}, take_{std::move(take)}, dropped_{std::move(dropped)} {
  listener_ = std::make_unique<net::Listener>(loop_, listen, [this](net::Fd fd, const Endpoint& from) {
    if (incoming_.size() >= kIncomingMost) return;
    const std::uint64_t number = ++number_;
    incoming_[number] = net::Connection::make(
        loop_, std::move(fd), {cluster::kFrameMost + 2, 1024, Span::seconds(30)},
        [this, number, peer = from.address.text()](std::string_view bytes) {
          const auto it = incoming_.find(number);
          return it == incoming_.end() ? bytes.size() : data(it->second, peer, bytes);
        },
        [this, number](const char*) { incoming_.erase(number); });
  });
  for (const auto& [member, at] : others) {
    links_[member].at = at;
    dial(member);
  }
}

PeerTransport::~PeerTransport() {
  for (auto& [member, link] : links_) {
    loop_.cancel(link.again);
    if (link.connection) link.connection->abort();
  }
  for (const auto& [number, connection] : std::exchange(incoming_, {})) connection->abort();
}

void PeerTransport::dial(cluster::MemberId member) {
  Link& link = links_.at(member);
  const auto again = [this, member](Span wait) {
    Link& l = links_.at(member);
    l.attempt.reset();
    loop_.cancel(l.again);
    l.again = loop_.after(wait, [this, member] { dial(member); });
  };
  link.attempt = net::connect(loop_, link.at, {}, [this, member, again](net::Fd fd, int) {
    Link& l = links_.at(member);
    if (!fd) return again(kDialAgain);
    loop_.cancel(l.again);
    l.attempt.reset();
    // Nothing is ever said back on this stream.
    l.connection = net::Connection::make(
        loop_, std::move(fd), {1024, kUnsentMost, Span::seconds(30)},
        [](std::string_view bytes) { return bytes.size(); }, [again](const char*) { again(kDialAgain); });
  });
  // A connection that neither stands nor fails: a path that swallows everything.
  loop_.cancel(link.again);
  link.again = loop_.after(kDialMost, [this, member] { dial(member); });
}

void PeerTransport::send(const cluster::Message& message) {
  const auto it = links_.find(message.to);
  if (it == links_.end() || !it->second.connection || !it->second.connection->open()) return;
  const std::string frame = frames_.seal(message);
  if (it->second.connection->unsent() + frame.size() > kUnsentMost) return;
  bytes_ += frame.size();
  it->second.connection->send(frame);
}

void PeerTransport::drop(const std::string& from, cluster::Drop why) {
  ++drops_;
  if (named_.size() < 1000 && named_.emplace(from, why).second) dropped_(from, cluster::name_of(why));
}

std::size_t PeerTransport::data(const std::shared_ptr<net::Connection>& connection, const std::string& from,
                                std::string_view bytes) {
  const auto size = cluster::FrameCodec::length(bytes);
  if (!size) return 0;
  // No frame's end can be told any more.
  if (*size > cluster::kFrameMost || *size < 2) {
    drop(from, cluster::Drop::too_large);
    connection->close("not a frame");
    return bytes.size();
  }
  if (bytes.size() < *size) return 0;
  const auto opened = frames_.open(bytes.substr(0, *size));
  if (const auto* message = std::get_if<cluster::Message>(&opened)) {
    take_(*message);
  } else {
    drop(from, std::get<cluster::Drop>(opened));
  }
  return *size;
}

}  // namespace gorsemount::peers
