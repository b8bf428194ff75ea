#include "net/socket.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <vector>

namespace gorsemount::net {

namespace {

[[noreturn]] void throw_errno(const std::string& what) {
  throw std::system_error{errno, std::generic_category(), what};
}

struct SockAddr {
  sockaddr_storage store{};
  socklen_t size = 0;
};

SockAddr to_sockaddr(const Endpoint& e) {
  SockAddr s;
  if (e.address.v6) {
    sockaddr_in6 a{};
    a.sin6_family = AF_INET6, a.sin6_port = htons(e.port);
    std::memcpy(&a.sin6_addr, e.address.bytes.data(), 16);
    std::memcpy(&s.store, &a, s.size = sizeof a);
  } else {
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_port = htons(e.port);
    std::memcpy(&a.sin_addr, e.address.bytes.data(), 4);
    std::memcpy(&s.store, &a, s.size = sizeof a);
  }
  return s;
}

Endpoint to_endpoint(const sockaddr_storage& s) {
  Endpoint e;
  if (s.ss_family == AF_INET6) {
    sockaddr_in6 a{};
    std::memcpy(&a, &s, sizeof a);
    e.address.v6 = true, e.port = ntohs(a.sin6_port);
    std::memcpy(e.address.bytes.data(), &a.sin6_addr, 16);
  } else {
    sockaddr_in a{};
    std::memcpy(&a, &s, sizeof a);
    e.port = ntohs(a.sin_port);
    std::memcpy(e.address.bytes.data(), &a.sin_addr, 4);
  }
  return e;
}

Fd make_socket(const Address& a, int type) {
  Fd fd{::socket(a.v6 ? AF_INET6 : AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  if (!fd) throw_errno("socket");
  return fd;
}

void set_option(const Fd& fd, int level, int name, int value) {
  setsockopt(fd.get(), level, name, &value, sizeof value);
}

void bind_to(const Fd& fd, const Endpoint& at) {
  const SockAddr s = to_sockaddr(at);
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&s.store), s.size) != 0)
    throw_errno("bind " + at.text());
}

// The kernel's default holds a few hundred datagrams, fewer than a burst of lookups after a table change.
constexpr int kSocketBufferBytes = 4 << 20;
constexpr int kAcceptsPerTurn = 64;   // connections accepted before yielding to the loop
constexpr int kBatchesPerTurn = 16;   // batches before yielding to the loop: about 1 ms of responses
constexpr int kListenBacklog = 4096;  // a whole fleet may connect at once

}  // namespace

Fd udp_socket(const Endpoint& at) {
  Fd fd = make_socket(at.address, SOCK_DGRAM);
  set_option(fd, SOL_SOCKET, SO_RCVBUF, kSocketBufferBytes),
      set_option(fd, SOL_SOCKET, SO_SNDBUF, kSocketBufferBytes);
  bind_to(fd, at);
  return fd;
}

struct UdpServer::Buffers {
  std::array<std::array<std::uint8_t, kMaxRequestBytes>, kBatch> in;
  std::array<std::array<std::uint8_t, kMaxResponseBytes>, kBatch> out;
  std::array<sockaddr_storage, kBatch> from;
  std::array<iovec, kBatch> in_iovecs, out_iovecs;
  std::array<mmsghdr, kBatch> in_headers, out_headers;
};

UdpServer::UdpServer(Loop& loop, const Endpoint& at, Answer answer)
    : loop_{loop}, fd_{udp_socket(at)}, answer_{std::move(answer)}, buffers_{std::make_unique<Buffers>()} {
  loop_.watch(fd_.get(), EPOLLIN, [this](std::uint32_t) { handle_readable(); });
}

UdpServer::~UdpServer() {
  *alive_ = false;
  loop_.unwatch(fd_.get());
}

Endpoint UdpServer::at() const {
  sockaddr_storage s{};
  socklen_t size = sizeof s;
  getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&s), &size);
  return to_endpoint(s);
}

bool UdpServer::answer_batch() {
  Buffers& buffers = *buffers_;
  for (std::size_t index = 0; index < kBatch; ++index) {
    buffers.in_iovecs[index] = {buffers.in[index].data(), kMaxRequestBytes};
    buffers.in_headers[index] = {};
    buffers.in_headers[index].msg_hdr.msg_iov = &buffers.in_iovecs[index],
    buffers.in_headers[index].msg_hdr.msg_iovlen = 1;
    buffers.in_headers[index].msg_hdr.msg_name = &buffers.from[index],
    buffers.in_headers[index].msg_hdr.msg_namelen = sizeof buffers.from[index];
  }
  const int received = recvmmsg(fd_.get(), buffers.in_headers.data(), kBatch, MSG_DONTWAIT, nullptr);
  if (received <= 0) return received < 0 && errno == EINTR;
  unsigned responses = 0;
  for (std::size_t index = 0; index < static_cast<std::size_t>(received); ++index) {
    // Truncated by the kernel: longer than the largest valid request.
    if ((buffers.in_headers[index].msg_hdr.msg_flags & MSG_TRUNC) != 0) continue;
    const std::size_t size = answer_({buffers.in[index].data(), buffers.in_headers[index].msg_len},
                                     to_endpoint(buffers.from[index]), buffers.out[responses]);
    if (size == 0) continue;
    buffers.out_iovecs[responses] = {buffers.out[responses].data(), size};
    buffers.out_headers[responses] = {};
    buffers.out_headers[responses].msg_hdr.msg_iov = &buffers.out_iovecs[responses],
    buffers.out_headers[responses].msg_hdr.msg_iovlen = 1;
    buffers.out_headers[responses].msg_hdr.msg_name = &buffers.from[index];
    buffers.out_headers[responses].msg_hdr.msg_namelen = buffers.in_headers[index].msg_hdr.msg_namelen;
    ++responses;
  }
  for (unsigned at = 0; at < responses;) {
    const int sent = sendmmsg(fd_.get(), buffers.out_headers.data() + at, responses - at, MSG_DONTWAIT);
    if (sent > 0) {
      at += static_cast<unsigned>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      dropped_ += responses - at;
      break;
    } else if (errno != EINTR) {
      ++dropped_, ++at;  // this peer is unreachable; continue with the next
    }
  }
  return received == static_cast<int>(kBatch);
}

void UdpServer::handle_readable() {
  for (int index = 0; index < kBatchesPerTurn; ++index)
    if (!answer_batch()) return;
  loop_.call_soon([this, alive = alive_] {
    if (*alive) handle_readable();
  });
}

void UdpServer::drain() {
  for (int index = 0; index < kBatchesPerTurn && answer_batch(); ++index) {
  }
}

// ---- Listeners and outgoing connections ---------------------------------------------------------------

Listener::Listener(Loop& loop, const Endpoint& at, OnAccept on_accept) : loop_{loop} {
  fd_ = make_socket(at.address, SOCK_STREAM);
  set_option(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
  bind_to(fd_, at);
  if (::listen(fd_.get(), kListenBacklog) != 0) throw_errno("listen " + at.text());
  start(std::move(on_accept));
}

Listener::Listener(Loop& loop, const std::string& path, unsigned mode, OnAccept on_accept) : loop_{loop} {
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof a.sun_path) {
    errno = ENAMETOOLONG;
    throw_errno("listen " + path);
  }
  std::memcpy(a.sun_path, path.data(), path.size());
  const auto* raw = reinterpret_cast<const sockaddr*>(&a);
  const Fd probe{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  if (::connect(probe.get(), raw, sizeof a) == 0) {
    errno = EADDRINUSE;
    throw_errno("listen " + path);
  }
  ::unlink(path.c_str());
  fd_ = Fd{::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  // The umask keeps the socket from being accessible with wider permissions, even briefly.
  const mode_t previous_mask = ::umask(static_cast<mode_t>(~mode & 0777U));
  const int bound = ::bind(fd_.get(), raw, sizeof a);
  ::umask(previous_mask);
  if (bound != 0 || ::listen(fd_.get(), 64) != 0) throw_errno("listen " + path);
  path_ = path;
  start(std::move(on_accept));
}

void Listener::start(OnAccept on_accept) {
  on_accept_ = std::move(on_accept);
  reserved_fd_ = Fd{::open("/dev/null", O_RDONLY | O_CLOEXEC)};
  loop_.watch(fd_.get(), EPOLLIN, [this](std::uint32_t) { handle_readable(); });
}

void Listener::handle_readable() {
  const auto alive = alive_;
  if (accept_batch() && *alive)
    loop_.call_soon([this, alive] {  // yield, so that a flood of connections does not starve other handlers
      if (*alive) handle_readable();
    });
}

void Listener::accept_all() {
  for (int n = 0; n < kListenBacklog / kAcceptsPerTurn && accept_batch(); ++n) {
  }
}

bool Listener::accept_batch() {
  const auto alive = alive_;
  for (int n = 0; n < kAcceptsPerTurn && *alive; ++n) {
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    Fd accepted{accept4(fd_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (accepted) {
      on_accept_(std::move(accepted), to_endpoint(from));
    } else if (errno == EMFILE || errno == ENFILE) {
      reserved_fd_.reset();
      Fd rejected{accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)};
      const bool queue_empty = !rejected;
      rejected.reset();
      reserved_fd_ = Fd{::open("/dev/null", O_RDONLY | O_CLOEXEC)};
      if (queue_empty) return false;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return false;
    }
  }
  return *alive;
}

Listener::~Listener() {
  *alive_ = false;
  loop_.unwatch(fd_.get());
  if (!path_.empty()) ::unlink(path_.c_str());
}

namespace {

struct ConnectAttempt {
  ConnectAttempt(Loop& on, Fd socket) : loop{on}, fd{std::move(socket)} {}
  ConnectAttempt(const ConnectAttempt&) = delete;
  ConnectAttempt& operator=(const ConnectAttempt&) = delete;
  Loop& loop;
  Fd fd;
  ~ConnectAttempt() {
    if (fd) loop.unwatch(fd.get());
  }
};
using Done = std::function<void(Fd, int)>;

// Calls `done` from the loop, never from within connect().
std::shared_ptr<void> complete_later(const std::shared_ptr<ConnectAttempt>& attempt, Fd fd, int error,
                                     Done done) {
  attempt->loop.call_soon([weak = std::weak_ptr<ConnectAttempt>{attempt}, done = std::move(done), error,
                           connected = std::make_shared<Fd>(std::move(fd))] {
    if (weak.lock()) done(std::move(*connected), error);
  });
  return attempt;
}

std::shared_ptr<void> start_connect(const std::shared_ptr<ConnectAttempt>& attempt, const sockaddr* to,
                                    socklen_t size, Done done) {
  const int result = ::connect(attempt->fd.get(), to, size);
  if (result == 0) return complete_later(attempt, std::move(attempt->fd), 0, std::move(done));
  if (errno != EINPROGRESS) return complete_later(attempt, Fd{}, errno, std::move(done));
  attempt->loop.watch(attempt->fd.get(), EPOLLOUT,
                      [weak = std::weak_ptr<ConnectAttempt>{attempt}, done = std::move(done)](std::uint32_t) {
                        const auto strong = weak.lock();
                        if (!strong || !strong->fd) return;
                        int error = 0;
                        socklen_t length = sizeof error;
                        getsockopt(strong->fd.get(), SOL_SOCKET, SO_ERROR, &error, &length);
                        const auto callback = done;  // unwatch() destroys this handler and its captures
                        strong->loop.unwatch(strong->fd.get());
                        Fd fd = std::move(strong->fd);
                        callback(error == 0 ? std::move(fd) : Fd{}, error);
                      });
  return attempt;
}

}  // namespace

std::shared_ptr<void> connect(Loop& loop, const Endpoint& to, std::optional<Address> source, Done done) {
  auto attempt = std::make_shared<ConnectAttempt>(loop, Fd{});
  try {
    attempt->fd = make_socket(to.address, SOCK_STREAM);
    if (source) {
      set_option(attempt->fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
      bind_to(attempt->fd, {*source, 0});
    }
  } catch (const std::system_error& error) {
    return complete_later(attempt, Fd{}, error.code().value(), std::move(done));
  }
  const SockAddr s = to_sockaddr(to);
  return start_connect(attempt, reinterpret_cast<const sockaddr*>(&s.store), s.size, std::move(done));
}

std::shared_ptr<void> connect(Loop& loop, const std::string& path, Done done) {
  auto attempt = std::make_shared<ConnectAttempt>(
      loop, Fd{::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)});
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (!attempt->fd || path.size() >= sizeof a.sun_path)
    return complete_later(attempt, Fd{}, attempt->fd ? ENAMETOOLONG : errno, std::move(done));
  std::memcpy(a.sun_path, path.data(), path.size());
  return start_connect(attempt, reinterpret_cast<const sockaddr*>(&a), sizeof a, std::move(done));
}

}  // namespace gorsemount::net
