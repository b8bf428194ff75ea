#include "net/connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace gorsemount::net {

namespace {

// Frees what a long message has left behind.
void release_unused(std::string& buffer) {
  constexpr std::size_t kKeptCapacity = 64U << 10U;  // bytes
  if (buffer.capacity() > kKeptCapacity && buffer.size() < buffer.capacity() / 4) buffer.shrink_to_fit();
}

}  // namespace

Connection::Connection(Loop& loop, Fd fd, Limits limits, OnData on_data, OnClose on_close)
    : loop_{loop},
      fd_{std::move(fd)},
      limits_{limits},
      on_data_{std::move(on_data)},
      on_close_{std::move(on_close)} {}

std::shared_ptr<Connection> Connection::make(Loop& loop, Fd fd, Limits limits, OnData on_data,
                                             OnClose on_close) {
  const int no_delay = 1;  // no effect on a UNIX socket
  setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
  std::shared_ptr<Connection> connection{
      new Connection{loop, std::move(fd), limits, std::move(on_data), std::move(on_close)}};
  loop.watch(connection->fd_.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP,
             [weak = std::weak_ptr{connection}](std::uint32_t events) {
               if (const auto strong = weak.lock()) strong->handle_events(events);
             });
  connection->restart_idle_timer();
  return connection;
}

Connection::~Connection() { release(); }

void Connection::release() {
  if (!fd_) return;
  loop_.cancel(idle_timer_);
  loop_.unwatch(fd_.get());
  loop_.buffers().remove(*this);
  fd_.reset();
}

void Connection::close(const char* why) {
  if (!fd_) return;
  const auto self = weak_from_this().lock();
  release();
  const auto callback = std::exchange(on_close_, {});
  if (callback) callback(why);
}

void Connection::reset_on_close() {
  const linger reset_option{1, 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset_option, sizeof reset_option);
}

void Connection::abort() {
  if (!fd_) return;
  reset_on_close();
  on_close_ = {};
  release();
}

void Connection::limit(Limits limits) {
  limits_ = limits;
  if (fd_) restart_idle_timer();
}

std::size_t Connection::read_now(std::size_t max_bytes) {
  const auto self = shared_from_this();
  const std::size_t bytes = read(max_bytes);
  update_account();
  return bytes;
}

void Connection::half_close() {
  if (!fd_ || half_closing_) return;
  half_closing_ = true;
  if (unsent() == 0) shutdown_send();
}

// Only once: each shutdown wakes the poller of the socket, so a call at every wake-up would loop forever.
void Connection::shutdown_send() {
  if (!std::exchange(send_shut_down_, true)) ::shutdown(fd_.get(), SHUT_WR);
}

void Connection::restart_idle_timer() {
  loop_.cancel(idle_timer_);
  if (limits_.idle_timeout <= Span{}) return;
  idle_timer_ = loop_.after(limits_.idle_timeout, [weak = weak_from_this()] {
    if (const auto strong = weak.lock()) strong->close("idle");
  });
}

void Connection::handle_events(std::uint32_t events) {
  const auto self = shared_from_this();
  if ((events & EPOLLOUT) != 0) flush();
  if (!fd_) return;
  const bool peer_closed = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (peer_closed && limits_.discard_after_close) return close("closed by the peer");
  if (peer_closed || (events & EPOLLIN) != 0) queue_read();
}

void Connection::queue_read() {
  if (std::exchange(read_queued_, true)) return;
  loop_.queue_read(limits_.priority, [weak = weak_from_this()]() -> std::size_t {
    const auto strong = weak.lock();
    if (!strong) return 0;
    strong->read_queued_ = false;
    const std::size_t bytes = strong->read(kReadBytes);
    strong->update_account();
    return bytes;
  });
}

// Reads until nothing is left or `max_bytes` are read, and queues itself for the rest. Returns the number of
// bytes read. Input is delivered after the read that finds the end, so that peer_has_closed() is known then.
std::size_t Connection::read(std::size_t max_bytes) {
  if (!fd_ || reading_) return 0;
  if (!limits_.always_read && unsent() > limits_.max_unsent / 2) {
    reading_paused_ = true;  // backpressure: process no more input until the peer reads its responses
    return 0;
  }
  reading_ = true;
  std::array<char, kReadBytes> chunk;
  std::size_t bytes = 0;
  const char* end = nullptr;
  bool would_block = false, reset = false;
  while (bytes < max_bytes && end == nullptr && !would_block) {
    const ssize_t n = ::read(fd_.get(), chunk.data(), std::min(chunk.size(), max_bytes - bytes));
    if (n > 0) {
      input_.append(chunk.data(), static_cast<std::size_t>(n));
      bytes += static_cast<std::size_t>(n);
    } else if (n == 0) {
      end = "closed by the peer";
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      would_block = true;
    } else if (errno != EINTR) {
      end = "reset";
      reset = true;
    }
  }
  peer_has_closed_ = end != nullptr;
  const bool discarded = reset || (peer_has_closed_ && limits_.discard_after_close);
  if (bytes > 0 && !discarded) deliver_input();
  if (fd_) flush();
  if (fd_ && end != nullptr) close(end);
  if (fd_ && !would_block) queue_read();
  reading_ = false;
  return bytes;
}

void Connection::deliver_input() {
  std::size_t used = 0;
  while (fd_ && used < input_.size()) {
    const std::size_t n = on_data_(std::string_view{input_}.substr(used));
    if (n == 0) break;
    used += n;
  }
  if (!fd_) return;
  input_.erase(0, used);
  release_unused(input_);
  if (used > 0) restart_idle_timer();
  if (input_.size() > limits_.max_unconsumed) close("too much");
}

void Connection::update_account() {
  if (fd_) loop_.buffers().update(*this, input_.capacity() + output_.capacity());
}

void Connection::send(std::string_view bytes) {
  if (!fd_ || finishing_ || half_closing_) return;
  if (unsent() + bytes.size() > limits_.max_unsent) {
    if (limits_.always_read) reset_on_close();
    return close("not reading");
  }
  const auto self = weak_from_this().lock();
  const bool idle = unsent() == 0;
  output_.append(bytes);
  if (idle && !reading_) flush();  // while reading, responses are collected and written together
  update_account();
}

void Connection::flush() {
  while (fd_ && unsent() > 0) {
    const ssize_t n = ::send(fd_.get(), output_.data() + sent_bytes_, unsent(), MSG_NOSIGNAL);
    if (n > 0) {
      sent_bytes_ += static_cast<std::size_t>(n);
      restart_idle_timer();
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      return close("reset");
    }
  }
  if (!fd_) return;
  if (unsent() == 0) {
    output_.clear(), sent_bytes_ = 0;
    release_unused(output_);
    if (finishing_) return close("finished");
    if (half_closing_) shutdown_send();
  } else if (sent_bytes_ > 65536) {
    output_.erase(0, sent_bytes_), sent_bytes_ = 0;
  }
  if (reading_paused_ && unsent() <= limits_.max_unsent / 2) {
    reading_paused_ = false;
    loop_.call_soon([weak = weak_from_this()] {
      const auto strong = weak.lock();
      if (!strong || !strong->fd_) return;
      strong->deliver_input();
      if (strong->fd_) strong->queue_read();
    });
  }
}

void Connection::finish() {
  finishing_ = true;
  if (!reading_) flush();
}

}  // namespace gorsemount::net
