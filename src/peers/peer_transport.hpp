// TCP between controllers: a stream to each for what we say, and streams from them for what they say. Frames
// that are not as they should be are dropped, counted, and named once a peer; too large a frame ends its
// stream.
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
  using Take = std::function<void(const cluster::Message&)>;
  using Dropped = std::function<void(const std::string& from, const char* why)>;

  // Throws std::system_error if it can't listen.
  PeerTransport(net::Loop& loop, cluster::FrameCodec& frames, const Endpoint& listen,
                std::map<cluster::MemberId, Endpoint> others, Take take, Dropped dropped);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Lost if there is no stream: what is said here is said again by whoever means it.
  void send(const cluster::Message& message);
  [[nodiscard]] std::uint64_t drops() const { return drops_; }
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_; }

 private:
  struct Link {
    Endpoint at;
    std::shared_ptr<void> attempt;
    std::shared_ptr<net::Connection> connection;
    net::Loop::Timer again;
  };
  void dial(cluster::MemberId member);
  std::size_t data(const std::shared_ptr<net::Connection>& connection, const std::string& from,
                   std::string_view bytes);
  void drop(const std::string& from, cluster::Drop why);

  net::Loop& loop_;
  cluster::FrameCodec& frames_;
  Take take_;
  Dropped dropped_;
  std::map<cluster::MemberId, Link> links_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::shared_ptr<net::Connection>> incoming_;
  std::set<std::pair<std::string, cluster::Drop>> named_;
  std::uint64_t number_ = 0, drops_ = 0, bytes_ = 0;
};

}  // namespace gorsemount::peers
