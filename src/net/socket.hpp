// Sockets on the loop: UDP in batches, TCP listeners, and buffered TCP connections with bounds.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/address.hpp"
#include "net/fd.hpp"
#include "net/loop.hpp"

namespace gorsemount::net {

// Answers datagrams in batches (recvmmsg, sendmmsg). A flood gets its turn and no more: after some batches
// the loop goes round. An answer that the kernel has no room for is dropped and counted; a client asks again.
class UdpServer {
 public:
  static constexpr std::size_t kBatch = 64;
  static constexpr std::size_t kInMost = 4096, kOutMost = 4096;
  // Writes an answer into `out` and returns its size; 0: none.
  using Answer = std::function<std::size_t(std::span<const std::uint8_t> in, const Endpoint& from,
                                           std::span<std::uint8_t> out)>;

  UdpServer(Loop& loop, const Endpoint& at, Answer answer);  // throws std::system_error
  ~UdpServer();
  UdpServer(const UdpServer&) = delete;
  UdpServer& operator=(const UdpServer&) = delete;
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
  [[nodiscard]] Endpoint at() const;
  // Answers all that waits, for a stop that finishes what it took.
  void drain();

 private:
  struct Buffers;
  bool batch();  // true: there may be more
  void work();

  Loop& loop_;
  Fd fd_;
  Answer answer_;
  std::unique_ptr<Buffers> buffers_;
  std::uint64_t dropped_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A TCP connection. Bytes that came are offered to `on_data`, which returns how many it used. A peer
// - that sends more than `read_most` without a whole message is closed ("too much"),
// - that stops reading is no longer read from at half of `write_most`, and closed beyond it ("not reading"),
// - that makes no progress for `idle` is closed ("idle"): half a message is no progress. Zero: it may be
// quiet. With `always_read` a peer that does not read is read from all the same, and reset beyond
// `write_most`.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Limits {
    std::size_t read_most = 64U << 10U, write_most = 256U << 10U;
    Span idle = Span::seconds(30);
    bool always_read = false;
  };
  using OnData = std::function<std::size_t(std::string_view)>;
  using OnClose = std::function<void(const char* why)>;

  [[nodiscard]] static std::shared_ptr<Connection> make(Loop& loop, Fd fd, Limits limits, OnData on_data,
                                                        OnClose on_close);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void send(std::string_view bytes);
  void finish();                // close once all is written
  void half_close();            // no more is sent; what still comes is read
  void limit(Limits limits);    // others from now on
  void read_now();              // what has come already, without waiting for the loop's next turn
  void close(const char* why);  // at once; on_close is called
  void abort();                 // at once, with a reset; on_close is not called
  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }
  [[nodiscard]] std::size_t unsent() const { return out_.size() - sent_; }

 private:
  Connection(Loop& loop, Fd fd, Limits limits, OnData on_data, OnClose on_close);
  void ready(std::uint32_t events);
  void read_all();
  void offer();
  void flush();
  void shut();
  void progress();
  void reset_on_close();
  void let_go();

  Loop& loop_;
  Fd fd_;
  Limits limits_;
  OnData on_data_;
  OnClose on_close_;
  std::string in_, out_;
  std::size_t sent_ = 0;
  bool finishing_ = false, half_closing_ = false, shut_ = false, reading_ = false, paused_ = false,
       more_ = false;
  Loop::Timer idle_;
};

// Where no descriptor is free, whoever waits is accepted on one held in reserve and closed at once, so that
// the queue neither stalls nor spins.
class Listener {
 public:
  using OnAccept = std::function<void(Fd, const Endpoint& from)>;
  Listener(Loop& loop, const Endpoint& at, OnAccept on_accept);  // throws std::system_error
  // A UNIX socket with the given mode bits. One that is left behind is replaced; one that somebody listens on
  // is not: that throws. Peers have no address.
  Listener(Loop& loop, const std::string& path, unsigned mode, OnAccept on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  void accept_all();  // whoever waits now, before it closes: those would be reset

 private:
  void start(OnAccept on_accept);
  void work();
  bool accept_some();  // true: there may be more

  Loop& loop_;
  Fd fd_, reserve_;
  OnAccept on_accept_;
  std::string path_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Begins a connection; `done` gets it once it stands, or an empty one and the errno that says why not.
// Returns a handle that cancels it. `from`: the source address, where it matters.
[[nodiscard]] std::shared_ptr<void> connect(Loop& loop, const Endpoint& to, std::optional<Address> from,
                                            std::function<void(Fd, int fault)> done);

// The same to a UNIX socket.
[[nodiscard]] std::shared_ptr<void> connect(Loop& loop, const std::string& path,
                                            std::function<void(Fd, int)> done);

// A bound non-blocking UDP socket. Throws std::system_error.
[[nodiscard]] Fd udp_socket(const Endpoint& at);

}  // namespace gorsemount::net
