// The gate on real sockets: who joins, who is refused, and what a joined stream may and may not send.
#include "streams/stream_server.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <list>

namespace gorsemount::streams {
namespace {

const Endpoint kAt = *Endpoint::parse("127.7.7.9:17019");

class Client {
 public:
  Client() {
    fd_ = net::Fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    sockaddr_in to{};
    to.sin_family = AF_INET, to.sin_port = htons(kAt.port);
    inet_pton(AF_INET, "127.7.7.9", &to.sin_addr);
    EXPECT_EQ(::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
  }
  explicit Client(const std::string& text) : Client{} { send(text); }
  void send(const std::string& text) {
    (void)!::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  // All that came so far.
  std::string read() {
    char part[4096];
    ssize_t n = 0;
    while ((n = ::recv(fd_.get(), part, sizeof part, MSG_DONTWAIT)) > 0)
      got_.append(part, static_cast<std::size_t>(n));
    if (n == 0 || (n < 0 && errno != EAGAIN)) closed_ = true;
    if (n < 0 && errno == ECONNRESET) reset_ = true;
    return got_;
  }
  bool reset() { return read(), reset_; }
  bool closed() { return read(), closed_; }
  void hang_up() { fd_.reset(); }
  void hang_up_hard() {  // with a reset
    const linger hard{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    fd_.reset();
  }

 private:
  net::Fd fd_;
  std::string got_;
  bool closed_ = false, reset_ = false;
};

struct Rig {
  explicit Rig(StreamServer::Limits limits = {}) {
    gate = std::make_unique<StreamServer>(
        loop, kAt, limits,
        StreamServer::Callbacks{
            [this](StreamId id, const ProxyJoin& m) -> PolicyHost::JoinResult {
              if (m.proxy > 100) return {"no such proxy", {}};
              PolicyHost::JoinResult result;
              if (const auto it = on.find(m.proxy); it != on.end()) result.succeeds = it->second;
              on[m.proxy] = id;
              return result;
            },
            [](const CollectorJoin& m) { return m.zone == "a" ? nullptr : "no such zone"; },
            [this](std::optional<StreamId> from, const Message& m) -> const char* {
              if (const auto* usage = std::get_if<Usage>(&m)) arrived += usage->arrived;
              if (std::holds_alternative<Heard>(m)) ++heard;
              return from || std::holds_alternative<Heard>(m) ? nullptr : "not a collector's to tell";
            },
            [this](StreamId id) { left.push_back(id); }});
  }
  void run(double s = 0.05) {
    loop.after(Span::seconds(s), [this] { loop.stop(); });
    loop.run();
  }
  net::Loop loop;
  std::map<std::uint16_t, StreamId> on;
  std::vector<StreamId> left;
  int arrived = 0, heard = 0;
  std::unique_ptr<StreamServer> gate;
};

std::string joined(int proxy) {
  return "joined sidecar=" + std::to_string(proxy) + " az=a share=1 standing=1\r\n";
}

TEST(StreamServer, AStreamJoinsReportsAndGetsItsOrders) {
  Rig r;
  Client c{"ping\r\n" + joined(7) + "usage sidecar=7 kind=x n=19 bad=0 window=1000.0\r\n"};
  r.run();
  ASSERT_TRUE(r.on.contains(7));
  EXPECT_EQ(r.arrived, 19);
  r.gate->send(r.on[7], "update full=1\r\n");
  r.run();
  EXPECT_EQ(c.read(), "pong\r\nupdate full=1\r\n");
  c.hang_up();
  r.run();
  EXPECT_EQ(r.left, std::vector<StreamId>{r.on[7]});
}

TEST(StreamServer, BytesInPiecesAreTheSameMessage) {
  Rig r;
  Client c;
  for (const char byte : joined(9) + "usage sidecar=9 kind=x n=3 bad=0 window=1.0\r\n") {
    c.send(std::string(1, byte));
    r.run(0.002);
  }
  EXPECT_TRUE(r.on.contains(9));
  EXPECT_EQ(r.arrived, 3);
}

TEST(StreamServer, AQuietStreamAndAQuietCollectorStayBeyondThePendingOnesDeadline) {
  StreamServer::Limits limits;
  limits.joins_within = Span::seconds(0.1);
  Rig r{limits};
  Client stream{joined(1)}, collector{"collector az=a\r\n"}, silent, half{"joined sid"}, pinger{"ping\r\n"};
  r.run(0.3);
  EXPECT_FALSE(stream.closed());
  EXPECT_FALSE(collector.closed());
  EXPECT_NE(silent.read().find("refused"), std::string::npos);
  EXPECT_NE(half.read().find("refused"), std::string::npos);
  EXPECT_EQ(pinger.read().find("pong\r\nrefused"), 0U);  // a sign of life, and no more time for it
  r.run(0.5);
  EXPECT_TRUE(silent.closed() && half.closed() && pinger.closed());
  EXPECT_EQ(r.gate->connection_count(), 2U);
  EXPECT_TRUE(r.left.empty());
}

TEST(StreamServer, WhatIsNoJoiningIsRefusedAtOnce) {
  Rig r;
  const std::string bad[] = {"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                             "update full=1 endpoints=s-1:1\r\n",
                             "refused\r\n",
                             joined(500),
                             "collector az=nowhere\r\n",
                             "heard az=a host=s n=1 bad=0 avg=1 window=9\r\n",
                             "joined sidecar=x az=a share=1 standing=1\r\n",
                             std::string("\x00\x01\xff\xfe", 4),
                             "joined " + std::string(9000, 'x'),
                             std::string(300000, 'y')};
  std::list<Client> clients;
  for (const auto& text : bad) clients.emplace_back(text);
  r.run(0.1);
  // Whoever sends on beyond what is read to the end may see a reset in place of the answer; all others see
  // it.
  for (auto it = clients.begin(); std::next(it) != clients.end(); ++it)
    EXPECT_EQ(it->read().find("refused reason="), 0U);
  r.run(0.5);
  for (auto& c : clients) EXPECT_TRUE(c.closed());
  EXPECT_EQ(r.gate->connection_count(), 0U);
  EXPECT_TRUE(r.on.empty());
}

TEST(StreamServer, MalformedReportsAreCountedAndTheirStreamLives) {
  Rig r;
  Client c{joined(1) +
           "usage sidecar=1 kind=x n=-4 bad=0 window=1\r\nusage sidecar=1\r\nusage sidecar=1 kind=x n=4 "
           "bad=0 window=1\r\npong\r\n" +
           joined(1)};
  r.run();
  EXPECT_FALSE(c.closed());
  EXPECT_EQ(r.arrived, 4);
  EXPECT_TRUE(r.left.empty());
  EXPECT_EQ(r.gate->counts().malformed.at("usage: n"), 1U);
}

TEST(StreamServer, AStreamThatContinuesWithWhatCanNotBeReadHasLeftAtOnce) {
  Rig r;
  Client whole_line{joined(1) + "nonsense that ends\r\n"}, no_end{joined(2) + "\x16\x03\x01"};
  r.run();
  EXPECT_EQ(r.left.size(), 2U);
  EXPECT_TRUE(whole_line.closed() && no_end.closed());
}

TEST(StreamServer, AUnreadableCollectorGoesAndNoProxyLeaves) {
  Rig r;
  Client c{"collector az=a\r\nheard az=a host=s n=1 bad=0 avg=1 window=9\r\n%%%\r\n"};
  r.run();
  EXPECT_EQ(r.heard, 1);
  EXPECT_TRUE(c.closed());
  EXPECT_TRUE(r.left.empty());
}

TEST(StreamServer, ASuccessorEndsTheStreamBeforeItAndNobodyIsTold) {
  Rig r;
  Client old{joined(5)};
  r.run();
  Client fresh{joined(5)};
  r.run();
  EXPECT_TRUE(old.closed());
  EXPECT_FALSE(fresh.closed());
  EXPECT_TRUE(r.left.empty());  // the callbacks said so itself
}

TEST(StreamServer, AFloodOfPendingOnesCostsNoProxyItsPlace) {
  StreamServer::Limits limits;
  limits.pending = 20;
  Rig r{limits};
  std::list<Client> flood;
  std::list<Client> proxies;
  for (int k = 0; k < 300; ++k) {
    if (k % 10 == 0) proxies.emplace_back(joined(k / 10));
    k % 2 == 0 ? flood.emplace_back() : flood.emplace_back("joined side");
  }
  r.run(0.2);
  EXPECT_EQ(r.on.size(), 30U);
  EXPECT_LE(r.gate->pending_count(), 20U);
  r.run(1.8);
  for (auto& c : flood) EXPECT_TRUE(c.closed());
  for (auto& c : proxies) EXPECT_FALSE(c.closed());
  EXPECT_EQ(r.gate->connection_count(), 30U);
}

// All have connected and sent the first half before any sends the second: who joins needs a place meanwhile.
TEST(StreamServer, AHerdWhoseJoinsComeInPiecesIsTakenInWhereDescriptorsAllowIt) {
  StreamServer::Limits limits;
  limits.peers = 100, limits.pending = 80;
  Rig r{limits};
  std::list<Client> early, herd;
  for (int k = 0; k < 20; ++k) early.emplace_back(joined(k));
  r.run();
  for (int k = 20; k < 80; ++k) herd.emplace_back(joined(k).substr(0, 20));
  r.run();
  EXPECT_EQ(r.gate->pending_count(), 60U);
  int k = 20;
  for (auto& c : herd) c.send(joined(k++).substr(20));
  r.run();
  EXPECT_EQ(r.on.size(), 80U);
  for (auto& c : early) EXPECT_FALSE(c.closed());
}

TEST(StreamServer, WhoIsTooManyIsToldAndNoJoinedStreamLosesItsPlace) {
  StreamServer::Limits limits;
  limits.peers = 30, limits.pending = 30;
  Rig r{limits};
  std::list<Client> streams, flood;
  for (int k = 0; k < 22; ++k) streams.emplace_back(joined(k));
  r.run();
  EXPECT_TRUE(r.gate->is_full());
  for (int k = 0; k < 60; ++k) flood.emplace_back("joined side");
  r.run();
  EXPECT_EQ(r.gate->pending_count(), 8U);
  int told = 0;
  for (auto& c : flood) told += c.read().find("refused reason=no-room") == 0 ? 1 : 0;
  EXPECT_EQ(told, 52);
  for (auto& c : streams) EXPECT_FALSE(c.closed());
  EXPECT_TRUE(r.left.empty());
}

// What comes with the end: unread bytes on every kind of connection, and some that are not accepted yet.
TEST(StreamServer, ShuttingDownItAnswersAllThatHasComeAndClosesInOrder) {
  Rig r;
  Client stream{joined(1)}, collector{"collector az=a\r\n"}, half;
  r.run();
  half.send("joined sid");
  r.run();
  r.gate->send(r.on[1], "update full=1\r\n");
  // From here on nothing is read before shut_down: no turn of the loop comes between.
  stream.send("usage sidecar=1 kind=x n=4 bad=0 window=1\r\nping\r\n");
  collector.send("heard az=a host=s n=1 bad=0 avg=1 window=9\r\n");
  Client asks{"ping\r\n"}, joins{joined(2)}, silent, garbage{std::string(3000, 'x')};
  bool done = false;
  Instant ended;
  const Instant begun = r.loop.now();
  r.gate->shut_down(Span::seconds(0.3), [&] {
    done = true, ended = net::monotonic_now();
    r.loop.stop();
  });
  r.gate->shut_down(Span::seconds(0.3), [&] { ADD_FAILURE() << "twice"; });
  r.loop.after(Span::seconds(2), [&] { r.loop.stop(); });
  r.loop.run();
  EXPECT_TRUE(done);
  EXPECT_LT((ended - begun).seconds(), 0.45);
  EXPECT_EQ(r.arrived, 4);
  EXPECT_EQ(r.heard, 1);
  EXPECT_FALSE(r.on.contains(2));
  EXPECT_EQ(stream.read(), "update full=1\r\npong\r\n");
  EXPECT_EQ(asks.read(), "pong\r\nrefused reason=shutting-down\r\n");
  for (Client* c : {&half, &joins, &silent}) EXPECT_EQ(c->read(), "refused reason=shutting-down\r\n");
  EXPECT_EQ(garbage.read().find("refused"), 0U);
  for (Client* c : {&stream, &collector, &half, &asks, &joins, &silent, &garbage})
    EXPECT_TRUE(c->closed() && !c->reset());
}

TEST(StreamServer, ShuttingDownItIsDoneAtOnceWhereAllPeersLeaveAndInTimeWhereOneDoesNotRead) {
  {
    Rig r;
    Client stream{joined(1)};
    r.run();
    bool done = false;
    r.gate->shut_down(Span::seconds(5), [&] { done = true, r.loop.stop(); });
    stream.hang_up();
    r.run(0.05);
    EXPECT_TRUE(done);
    EXPECT_TRUE(r.left.empty());  // nobody is told any more
  }
  Rig r;
  Client deaf{joined(1)};
  r.run();
  const std::string much(60000, 'u');
  for (int k = 0; k < 200 && r.gate->counts().bytes_sent < (8U << 20U); ++k) r.gate->send(r.on[1], much);
  bool done = false;
  r.gate->shut_down(Span::seconds(0.1), [&] { done = true, r.loop.stop(); });
  r.run(0.3);
  EXPECT_TRUE(done);
}

TEST(StreamServer, AProxyThatDoesNotReadIsStillReadAndResetAtTheLimit) {
  StreamServer::Limits limits;
  limits.unread = 64U << 10U;
  Rig r{limits};
  Client c{joined(1)};
  r.run();
  const std::string much(60000, 'u');
  for (int k = 0; k < 400 && r.left.empty(); ++k) {
    r.gate->send(r.on[1], much);
    if (k == 100) c.send("usage sidecar=1 kind=x n=6 bad=0 window=1\r\n");
    r.run(0.002);
  }
  EXPECT_EQ(r.left.size(), 1U);
  EXPECT_EQ(r.gate->counts().slow_consumers, 1U);
}

// All of it happens before the loop's first turn, so that accept finds connections that are closed or reset
// already.
TEST(StreamServer, ConnectionsThatAreGoneBeforeTheFirstReadLeaveNothingBehind) {
  Rig r;
  for (int k = 0; k < 60; ++k) {
    Client c;
    if (k % 3 == 1) c.send("joined sidecar=7 az=a");
    if (k % 3 == 2) c.send(joined(7));
    k % 2 == 0 ? c.hang_up() : c.hang_up_hard();
  }
  r.run();
  EXPECT_EQ(r.gate->connection_count(), 0U);
  EXPECT_EQ(r.gate->pending_count(), 0U);
  Client later{joined(8)};
  r.run();
  EXPECT_TRUE(r.on.contains(8));
  EXPECT_EQ(r.gate->connection_count(), 1U);
}

TEST(StreamServer, WithoutDescriptorsNobodyWaitsInTheQueueForEver) {
  Rig r;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  std::list<Client> clients;
  for (int k = 0; k < 12; ++k) clients.emplace_back();  // connected by the kernel, not yet accepted
  const net::Fd highest{::dup(0)};
  const rlimit few{static_cast<rlim_t>(highest.get()), before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &few);
  r.run(0.1);
  setrlimit(RLIMIT_NOFILE, &before);
  r.run(0.1);
  int closed = 0;
  for (auto& c : clients) closed += c.closed() ? 1 : 0;
  EXPECT_GE(closed, 11);
  Client later{joined(1)};
  r.run();
  EXPECT_TRUE(r.on.contains(1));
}

}  // namespace
}  // namespace gorsemount::streams
