// Sockets on the event loop: batched UDP, TCP and UNIX listeners, and connections with bounded buffers.
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

// A TCP or UNIX stream connection. Received bytes go to `on_data`, which returns how many it consumed.
// - It closes when `on_data` leaves more than `max_unconsumed` bytes ("too much").
// - Reading pauses while the send buffer is over half of `max_unsent`; it closes beyond `max_unsent`
//   ("not reading"). With `always_read` reading never pauses, and beyond `max_unsent` it is reset.
// - Input is read in pieces of kReadBytes by the loop's queue of reads, in the order of `priority`.
// - With `discard_after_close`, input that is still unread when the peer's close is seen is discarded.
// - The loop's account of buffers may close it ("over the memory limit").
// - It closes after `idle_timeout` without progress ("idle"); an incomplete message is no progress.
//   Zero: no timeout.
class Connection : public std::enable_shared_from_this<Connection>, private BufferAccount::Holder {
 public:
  struct Limits {
    std::size_t max_unconsumed = 64U << 10U, max_unsent = 256U << 10U;
    Span idle_timeout = Span::seconds(30);
    bool always_read = false;
    ReadPriority priority = ReadPriority::normal;
    bool discard_after_close = false;
  };
  static constexpr std::size_t kReadBytes = 16U << 10U;
  using OnData = std::function<std::size_t(std::string_view)>;
  using OnClose = std::function<void(const char* why)>;

  [[nodiscard]] static std::shared_ptr<Connection> make(Loop& loop, Fd fd, Limits limits, OnData on_data,
                                                        OnClose on_close);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void send(std::string_view bytes);
  void finish();              // closes once the send buffer is written
  void half_close();          // ends sending after the send buffer; goes on reading
  void limit(Limits limits);  // replaces the limits
  void set_priority(ReadPriority priority) { limits_.priority = priority; }
  // Reads up to `max_bytes` of what has arrived now, ahead of other reads. Returns the number of bytes read.
  std::size_t read_now(std::size_t max_bytes = kReadBytes);
  // The peer has closed its side, so no more input follows that which is being delivered.
  [[nodiscard]] bool peer_has_closed() const { return peer_has_closed_; }
  void close(const char* why);  // at once; calls on_close
  void abort();                 // at once, with a reset; does not call on_close
  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }
  [[nodiscard]] std::size_t unsent() const { return output_.size() - sent_bytes_; }

 private:
  Connection(Loop& loop, Fd fd, Limits limits, OnData on_data, OnClose on_close);
  void handle_events(std::uint32_t events);
  void queue_read();
  std::size_t read(std::size_t max_bytes);
  void deliver_input();
  void update_account();
  [[nodiscard]] std::size_t unfinished_input_bytes() const override { return input_.size(); }
  [[nodiscard]] std::size_t unread_output_bytes() const override { return unsent(); }
  void close_over_limit() override { close("over the memory limit"); }
  void flush();
  void shutdown_send();
  void restart_idle_timer();
  void reset_on_close();
  void release();

  Loop& loop_;
  Fd fd_;
  Limits limits_;
  OnData on_data_;
  OnClose on_close_;
  std::string input_, output_;
  std::size_t sent_bytes_ = 0;
  bool finishing_ = false, half_closing_ = false, send_shut_down_ = false, reading_ = false,
       reading_paused_ = false, read_queued_ = false, peer_has_closed_ = false;
  Loop::Timer idle_timer_;
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
