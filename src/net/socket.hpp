// Sockets on the event loop: batched UDP, TCP and UNIX listeners, and outgoing connections.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/address.hpp"
#include "net/connection.hpp"
#include "net/fd.hpp"
#include "net/loop.hpp"

namespace gorsemount::net {

// Answers datagrams in batches (recvmmsg, sendmmsg). After a limited number of batches it yields to the loop,
// so that a flood does not starve other handlers. A response that does not fit into the send buffer is
// dropped and counted; the client retries.
class UdpServer {
 public:
  static constexpr std::size_t kBatch = 64;
  static constexpr std::size_t kMaxRequestBytes = 4096, kMaxResponseBytes = 4096;
  // Writes the response into `out` and returns its size; 0: no response.
  using Answer = std::function<std::size_t(std::span<const std::uint8_t> in, const Endpoint& from,
                                           std::span<std::uint8_t> out)>;

  UdpServer(Loop& loop, const Endpoint& at, Answer answer);  // throws std::system_error
  ~UdpServer();
  UdpServer(const UdpServer&) = delete;
  UdpServer& operator=(const UdpServer&) = delete;
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
  [[nodiscard]] Endpoint at() const;
  // Answers pending datagrams before a graceful stop.
  void drain();

 private:
  struct Buffers;
  bool answer_batch();  // true: more may be pending
  void handle_readable();

  Loop& loop_;
  Fd fd_;
  Answer answer_;
  std::unique_ptr<Buffers> buffers_;
  std::uint64_t dropped_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts connections. When the process is out of descriptors, it accepts pending connections on a reserved
// descriptor and closes them at once, so that the queue neither stalls nor keeps the loop busy.
class Listener {
 public:
  using OnAccept = std::function<void(Fd, const Endpoint& from)>;
  Listener(Loop& loop, const Endpoint& at, OnAccept on_accept);  // throws std::system_error
  // Listens on a UNIX socket with the given mode bits. A stale socket file is replaced; throws if another
  // process listens on it. Peers have no address.
  Listener(Loop& loop, const std::string& path, unsigned mode, OnAccept on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  void accept_all();  // accepts all pending connections before a close, which would reset them

 private:
  void start(OnAccept on_accept);
  void handle_readable();
  bool accept_batch();  // true: more may be pending

  Loop& loop_;
  Fd fd_, reserved_fd_;
  OnAccept on_accept_;
  std::string path_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Starts to connect; `done` gets the connected socket, or an empty one and the errno. Destroying the returned
// handle cancels the attempt. `source`: the source address, if it matters.
[[nodiscard]] std::shared_ptr<void> connect(Loop& loop, const Endpoint& to, std::optional<Address> source,
                                            std::function<void(Fd, int error)> done);

// Connects to a UNIX socket.
[[nodiscard]] std::shared_ptr<void> connect(Loop& loop, const std::string& path,
                                            std::function<void(Fd, int)> done);

// A bound non-blocking UDP socket. Throws std::system_error.
[[nodiscard]] Fd udp_socket(const Endpoint& at);

}  // namespace gorsemount::net
