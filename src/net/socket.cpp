#include "net/socket.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

[[noreturn]] void fail(const std::string& what) {
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
  if (!fd) fail("socket");
  return fd;
}

void set(const Fd& fd, int level, int name, int value) {
  setsockopt(fd.get(), level, name, &value, sizeof value);
}

void bind_to(const Fd& fd, const Endpoint& at) {
  const SockAddr s = to_sockaddr(at);
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&s.store), s.size) != 0) fail("bind " + at.text());
}

// The kernel's default holds some hundred datagrams; a burst of lookups at a change of tables is more.
constexpr int kSocketBuffer = 4 << 20;
constexpr int kAccepts = 64;  // connections taken before the loop goes round
constexpr int kTurns = 16;    // batches before the loop goes round: about a millisecond of answers
constexpr int kReads = 16;    // of one connection before the loop goes round: 256 KiB
constexpr int kQueue = 4096;  // connections that wait to be accepted: a whole fleet may dial at once

}  // namespace

Fd udp_socket(const Endpoint& at) {
  Fd fd = make_socket(at.address, SOCK_DGRAM);
  set(fd, SOL_SOCKET, SO_RCVBUF, kSocketBuffer), set(fd, SOL_SOCKET, SO_SNDBUF, kSocketBuffer);
  bind_to(fd, at);
  return fd;
}

struct UdpServer::Buffers {
  std::array<std::array<std::uint8_t, kInMost>, kBatch> in;
  std::array<std::array<std::uint8_t, kOutMost>, kBatch> out;
  std::array<sockaddr_storage, kBatch> from;
  std::array<iovec, kBatch> in_parts, out_parts;
  std::array<mmsghdr, kBatch> in_heads, out_heads;
};

UdpServer::UdpServer(Loop& loop, const Endpoint& at, Answer answer)
    : loop_{loop}, fd_{udp_socket(at)}, answer_{std::move(answer)}, buffers_{std::make_unique<Buffers>()} {
  loop_.watch(fd_.get(), EPOLLIN, [this](std::uint32_t) { work(); });
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

bool UdpServer::batch() {
  Buffers& b = *buffers_;
  for (std::size_t k = 0; k < kBatch; ++k) {
    b.in_parts[k] = {b.in[k].data(), kInMost};
    b.in_heads[k] = {};
    b.in_heads[k].msg_hdr.msg_iov = &b.in_parts[k], b.in_heads[k].msg_hdr.msg_iovlen = 1;
    b.in_heads[k].msg_hdr.msg_name = &b.from[k], b.in_heads[k].msg_hdr.msg_namelen = sizeof b.from[k];
  }
  const int got = recvmmsg(fd_.get(), b.in_heads.data(), kBatch, MSG_DONTWAIT, nullptr);
  if (got <= 0) return got < 0 && errno == EINTR;
  unsigned n = 0;
  for (std::size_t k = 0; k < static_cast<std::size_t>(got); ++k) {
    // Cut off by the kernel: longer than any question may be, and not whole.
    if ((b.in_heads[k].msg_hdr.msg_flags & MSG_TRUNC) != 0) continue;
    const std::size_t size =
        answer_({b.in[k].data(), b.in_heads[k].msg_len}, to_endpoint(b.from[k]), b.out[n]);
    if (size == 0) continue;
    b.out_parts[n] = {b.out[n].data(), size};
    b.out_heads[n] = {};
    b.out_heads[n].msg_hdr.msg_iov = &b.out_parts[n], b.out_heads[n].msg_hdr.msg_iovlen = 1;
    b.out_heads[n].msg_hdr.msg_name = &b.from[k];
    b.out_heads[n].msg_hdr.msg_namelen = b.in_heads[k].msg_hdr.msg_namelen;
    ++n;
  }
  for (unsigned at = 0; at < n;) {
    const int sent = sendmmsg(fd_.get(), b.out_heads.data() + at, n - at, MSG_DONTWAIT);
    if (sent > 0) {
      at += static_cast<unsigned>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      dropped_ += n - at;
      break;
    } else if (errno != EINTR) {
      ++dropped_, ++at;  // this peer can't be reached; the next may
    }
  }
  return got == static_cast<int>(kBatch);
}

void UdpServer::work() {
  for (int k = 0; k < kTurns; ++k)
    if (!batch()) return;
  loop_.call_soon([this, alive = alive_] {
    if (*alive) work();
  });
}

void UdpServer::drain() {
  for (int k = 0; k < kTurns && batch(); ++k) {
  }
}

// ---- Connections ---------------------------------------------------------------------------------------

Connection::Connection(Loop& loop, Fd fd, Limits limits, OnData on_data, OnClose on_close)
    : loop_{loop},
      fd_{std::move(fd)},
      limits_{limits},
      on_data_{std::move(on_data)},
      on_close_{std::move(on_close)} {}

std::shared_ptr<Connection> Connection::make(Loop& loop, Fd fd, Limits limits, OnData on_data,
                                             OnClose on_close) {
  set(fd, IPPROTO_TCP, TCP_NODELAY, 1);  // does nothing on a UNIX socket
  std::shared_ptr<Connection> c{
      new Connection{loop, std::move(fd), limits, std::move(on_data), std::move(on_close)}};
  loop.watch(c->fd_.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, [weak = std::weak_ptr{c}](std::uint32_t events) {
    if (const auto strong = weak.lock()) strong->ready(events);
  });
  c->progress();
  return c;
}

Connection::~Connection() { let_go(); }

void Connection::let_go() {
  if (!fd_) return;
  loop_.cancel(idle_);
  loop_.unwatch(fd_.get());
  fd_.reset();
}

void Connection::close(const char* why) {
  if (!fd_) return;
  const auto keep = weak_from_this().lock();
  let_go();
  const auto tell = std::exchange(on_close_, {});
  if (tell) tell(why);
}

void Connection::reset_on_close() {
  const linger hard{1, 0};
  setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

void Connection::abort() {
  if (!fd_) return;
  reset_on_close();
  on_close_ = {};
  let_go();
}

void Connection::limit(Limits limits) {
  limits_ = limits;
  if (fd_) progress();
}

void Connection::read_now() {
  const auto keep = shared_from_this();
  read_all();
}

void Connection::half_close() {
  if (!fd_ || half_closing_) return;
  half_closing_ = true;
  if (unsent() == 0) shut();
}

// Once only: the kernel wakes the socket's poller at each shutdown, so one at every wake-up would spin.
void Connection::shut() {
  if (!std::exchange(shut_, true)) ::shutdown(fd_.get(), SHUT_WR);
}

void Connection::progress() {
  loop_.cancel(idle_);
  if (limits_.idle <= Span{}) return;
  idle_ = loop_.after(limits_.idle, [weak = weak_from_this()] {
    if (const auto strong = weak.lock()) strong->close("idle");
  });
}

void Connection::ready(std::uint32_t events) {
  const auto keep = shared_from_this();
  if ((events & EPOLLOUT) != 0) flush();
  if (fd_ && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) read_all();
}

void Connection::read_all() {
  if (reading_) return;
  reading_ = true;
  std::array<char, 16384> part;
  for (int reads = 0; fd_; ++reads) {
    if (reads == kReads) {  // a peer that sends as fast as it is read gets its turn and no more
      if (!std::exchange(more_, true))
        loop_.call_soon([weak = weak_from_this()] {
          if (const auto strong = weak.lock()) strong->more_ = false, strong->read_all();
        });
      break;
    }
    if (!limits_.always_read && unsent() > limits_.write_most / 2) {
      paused_ = true;  // a peer that does not read its answers gets no more of them
      break;
    }
    const ssize_t n = ::read(fd_.get(), part.data(), part.size());
    if (n > 0) {
      in_.append(part.data(), static_cast<std::size_t>(n));
      offer();
      if (fd_) flush();
    } else if (n == 0) {
      close("closed by the peer");
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      close("reset");
    }
  }
  reading_ = false;
}

void Connection::offer() {
  std::size_t used = 0;
  while (fd_ && used < in_.size()) {
    const std::size_t n = on_data_(std::string_view{in_}.substr(used));
    if (n == 0) break;
    used += n;
  }
  if (!fd_) return;
  in_.erase(0, used);
  if (used > 0) progress();
  if (in_.size() > limits_.read_most) close("too much");
}

void Connection::send(std::string_view bytes) {
  if (!fd_ || finishing_ || half_closing_) return;
  if (unsent() + bytes.size() > limits_.write_most) {
    if (limits_.always_read) reset_on_close();
    return close("not reading");
  }
  const bool idle = unsent() == 0;
  out_.append(bytes);
  if (idle && !reading_) flush();  // answers to what came together leave together
}

void Connection::flush() {
  while (fd_ && unsent() > 0) {
    const ssize_t n = ::send(fd_.get(), out_.data() + sent_, unsent(), MSG_NOSIGNAL);
    if (n > 0) {
      sent_ += static_cast<std::size_t>(n);
      progress();
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      return close("reset");
    }
  }
  if (!fd_) return;
  if (unsent() == 0) {
    out_.clear(), sent_ = 0;
    if (finishing_) return close("finished");
    if (half_closing_) shut();
  } else if (sent_ > 65536) {
    out_.erase(0, sent_), sent_ = 0;
  }
  if (paused_ && unsent() <= limits_.write_most / 2) {
    paused_ = false;
    loop_.call_soon([weak = weak_from_this()] {
      if (const auto strong = weak.lock(); strong && strong->fd_) strong->offer(), strong->read_all();
    });
  }
}

void Connection::finish() {
  finishing_ = true;
  if (!reading_) flush();
}

Listener::Listener(Loop& loop, const Endpoint& at, OnAccept on_accept) : loop_{loop} {
  fd_ = make_socket(at.address, SOCK_STREAM);
  set(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
  bind_to(fd_, at);
  if (::listen(fd_.get(), kQueue) != 0) fail("listen " + at.text());
  start(std::move(on_accept));
}

Listener::Listener(Loop& loop, const std::string& path, unsigned mode, OnAccept on_accept) : loop_{loop} {
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof a.sun_path) {
    errno = ENAMETOOLONG;
    fail("listen " + path);
  }
  std::memcpy(a.sun_path, path.data(), path.size());
  const auto* raw = reinterpret_cast<const sockaddr*>(&a);
  const Fd probe{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  if (::connect(probe.get(), raw, sizeof a) == 0) {
    errno = EADDRINUSE;
    fail("listen " + path);
  }
  ::unlink(path.c_str());
  fd_ = Fd{::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  // Never open wider than asked for, not even for a moment.
  const mode_t before = ::umask(static_cast<mode_t>(~mode & 0777U));
  const int bound = ::bind(fd_.get(), raw, sizeof a);
  ::umask(before);
  if (bound != 0 || ::listen(fd_.get(), 64) != 0) fail("listen " + path);
  path_ = path;
  start(std::move(on_accept));
}

void Listener::start(OnAccept on_accept) {
  on_accept_ = std::move(on_accept);
  reserve_ = Fd{::open("/dev/null", O_RDONLY | O_CLOEXEC)};
  loop_.watch(fd_.get(), EPOLLIN, [this](std::uint32_t) { work(); });
}

void Listener::work() {
  const auto alive = alive_;
  if (accept_some() && *alive)
    loop_.call_soon([this, alive] {  // a flood gets its turn and no more
      if (*alive) work();
    });
}

void Listener::accept_all() {
  for (int n = 0; n < kQueue / kAccepts && accept_some(); ++n) {
  }
}

bool Listener::accept_some() {
  const auto alive = alive_;
  for (int n = 0; n < kAccepts && *alive; ++n) {
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    Fd got{accept4(fd_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (got) {
      on_accept_(std::move(got), to_endpoint(from));
    } else if (errno == EMFILE || errno == ENFILE) {
      reserve_.reset();
      Fd turned_away{accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)};
      const bool none = !turned_away;
      turned_away.reset();
      reserve_ = Fd{::open("/dev/null", O_RDONLY | O_CLOEXEC)};
      if (none) return false;
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

struct Attempt {
  Loop& loop;
  Fd fd;
  ~Attempt() {
    if (fd) loop.unwatch(fd.get());
  }
};
using Done = std::function<void(Fd, int)>;

// Tells the outcome in the next turn, never from within the call.
std::shared_ptr<void> outcome(const std::shared_ptr<Attempt>& attempt, Fd fd, int fault, Done done) {
  attempt->loop.call_soon([weak = std::weak_ptr<Attempt>{attempt}, done = std::move(done), fault,
                           held = std::make_shared<Fd>(std::move(fd))] {
    if (weak.lock()) done(std::move(*held), fault);
  });
  return attempt;
}

std::shared_ptr<void> dial(const std::shared_ptr<Attempt>& attempt, const sockaddr* to, socklen_t size,
                           Done done) {
  const int code = ::connect(attempt->fd.get(), to, size);
  if (code == 0) return outcome(attempt, std::move(attempt->fd), 0, std::move(done));
  if (errno != EINPROGRESS) return outcome(attempt, Fd{}, errno, std::move(done));
  attempt->loop.watch(attempt->fd.get(), EPOLLOUT,
                      [weak = std::weak_ptr<Attempt>{attempt}, done = std::move(done)](std::uint32_t) {
                        const auto strong = weak.lock();
                        if (!strong || !strong->fd) return;
                        int fault = 0;
                        socklen_t length = sizeof fault;
                        getsockopt(strong->fd.get(), SOL_SOCKET, SO_ERROR, &fault, &length);
                        const auto tell = done;  // unwatching ends this handler's own copy
                        strong->loop.unwatch(strong->fd.get());
                        Fd fd = std::move(strong->fd);
                        tell(fault == 0 ? std::move(fd) : Fd{}, fault);
                      });
  return attempt;
}

}  // namespace

std::shared_ptr<void> connect(Loop& loop, const Endpoint& to, std::optional<Address> from, Done done) {
  auto attempt = std::make_shared<Attempt>(loop, Fd{});
  try {
    attempt->fd = make_socket(to.address, SOCK_STREAM);
    if (from) {
      set(attempt->fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
      bind_to(attempt->fd, {*from, 0});
    }
  } catch (const std::system_error& fault) {
    return outcome(attempt, Fd{}, fault.code().value(), std::move(done));
  }
  const SockAddr s = to_sockaddr(to);
  return dial(attempt, reinterpret_cast<const sockaddr*>(&s.store), s.size, std::move(done));
}

std::shared_ptr<void> connect(Loop& loop, const std::string& path, Done done) {
  auto attempt =
      std::make_shared<Attempt>(loop, Fd{::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)});
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (!attempt->fd || path.size() >= sizeof a.sun_path)
    return outcome(attempt, Fd{}, attempt->fd ? ENAMETOOLONG : errno, std::move(done));
  std::memcpy(a.sun_path, path.data(), path.size());
  return dial(attempt, reinterpret_cast<const sockaddr*>(&a), sizeof a, std::move(done));
}

}  // namespace gorsemount::net
