// Exchanges cluster messages over TCP: one outgoing stream to each peer for sending, and incoming streams
// from the peers for receiving. Invalid frames are dropped, counted, and reported once per peer and reason; a
// frame with an invalid length closes its stream.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "cluster/frame_codec.hpp"
#include "net/socket.hpp"

namespace gorsemount::peers {

class PeerTransport {
 public:
  using OnMessage = std::function<void(const cluster::Message&)>;
  using OnDrop = std::function<void(const std::string& from, const char* reason)>;

  // Throws std::system_error if it can't listen.
  PeerTransport(net::Loop& loop, cluster::FrameCodec& codec, const Endpoint& listen,
                const std::map<cluster::MemberId, Endpoint>& peers, OnMessage on_message, OnDrop on_drop);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Discards the message if there is no stream, or too much unsent; callers retransmit what matters.
  void send(const cluster::Message& message);
  [[nodiscard]] std::uint64_t dropped_frames() const { return dropped_frames_; }
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Outgoing {
    Endpoint endpoint;
    std::shared_ptr<void> pending_dial;
    std::shared_ptr<net::Connection> connection;
    net::Loop::Timer retry_timer;
  };
  void dial(cluster::MemberId member);
  std::size_t on_bytes(const std::shared_ptr<net::Connection>& connection, const std::string& from,
                       std::string_view bytes);
  void report_drop(const std::string& from, cluster::DropReason reason);

  net::Loop& loop_;
  cluster::FrameCodec& codec_;
  OnMessage on_message_;
  OnDrop on_drop_;
  std::map<cluster::MemberId, Outgoing> outgoing_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::shared_ptr<net::Connection>> incoming_;
  std::set<std::pair<std::string, cluster::DropReason>> reported_;
  std::uint64_t last_connection_id_ = 0, dropped_frames_ = 0, bytes_sent_ = 0;
};

}  // namespace gorsemount::peers
