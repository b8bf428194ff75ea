// Stream connections on the event loop, with bounded buffers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/buffer_account.hpp"
#include "net/fd.hpp"
#include "net/loop.hpp"

namespace gorsemount::net {

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

}  // namespace gorsemount::net
