// StreamServer on loopback sockets: joins, refusals, and the input of joined streams.
#include "streams/stream_server.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <functional>
#include <list>

#include "support/thread_time.hpp"

namespace gorsemount::streams {
namespace {

const Endpoint kEndpoint = *Endpoint::parse("127.7.7.9:17019");

class Client {
 public:
  Client() {
    fd_ = net::Fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    sockaddr_in address{};
    address.sin_family = AF_INET, address.sin_port = htons(kEndpoint.port);
    inet_pton(AF_INET, "127.7.7.9", &address.sin_addr);
    EXPECT_EQ(::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  }
  explicit Client(const std::string& text) : Client{} { send(text); }
  void send(const std::string& text) {
    (void)!::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  // Everything received so far.
  std::string read() {
    char buffer[4096];
    ssize_t count = 0;
    while ((count = ::recv(fd_.get(), buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
      received_.append(buffer, static_cast<std::size_t>(count));
    if (count == 0 || (count < 0 && errno != EAGAIN)) closed_ = true;
    if (count < 0 && errno == ECONNRESET) reset_ = true;
    return received_;
  }
  bool reset() { return read(), reset_; }
  bool closed() { return read(), closed_; }
  void close() { fd_.reset(); }
  void close_with_reset() {
    const linger reset_on_close{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    fd_.reset();
  }

 private:
  net::Fd fd_;
  std::string received_;
  bool closed_ = false, reset_ = false;
};

struct Fixture {
  explicit Fixture(StreamServer::Limits limits = {}) {
    server = std::make_unique<StreamServer>(
        loop, kEndpoint, limits,
        StreamServer::Callbacks{
            [this](StreamId id, const ProxyJoin& message) -> PolicyHost::JoinResult {
              if (message.proxy > 100) return {"no such proxy", {}};
              PolicyHost::JoinResult result;
              if (const auto it = stream_by_proxy.find(message.proxy); it != stream_by_proxy.end())
                result.replaced_stream = it->second;
              stream_by_proxy[message.proxy] = id;
              return result;
            },
            [](const CollectorJoin& message) { return message.zone == "a" ? nullptr : "no such zone"; },
            [this](std::optional<StreamId> from, const Message& message) -> const char* {
              if (const auto* usage = std::get_if<ProxyUsage>(&message)) arrived += usage->arrived;
              if (std::holds_alternative<BackendStats>(message)) ++backend_stats;
              return from || std::holds_alternative<BackendStats>(message) ? nullptr
                                                                           : "not accepted from collectors";
            },
            [this](StreamId id) { left.push_back(id); }});
  }
  void run(double seconds = 0.05) {
    loop.after(Span::seconds(seconds), [this] { loop.stop(); });
    loop.run();
  }
  net::Loop loop;
  std::map<std::uint16_t, StreamId> stream_by_proxy;
  std::vector<StreamId> left;
  int arrived = 0, backend_stats = 0;
  std::unique_ptr<StreamServer> server;
};

std::string joined(int proxy) {
  return "joined sidecar=" + std::to_string(proxy) + " az=a share=1 standing=1\r\n";
}

TEST(StreamServer, StreamJoinsReportsAndReceivesUpdates) {
  Fixture fixture;
  Client client{"ping\r\n" + joined(7) + "usage sidecar=7 kind=x n=19 bad=0 window=1000.0\r\n"};
  fixture.run();
  ASSERT_TRUE(fixture.stream_by_proxy.contains(7));
  EXPECT_EQ(fixture.arrived, 19);
  fixture.server->send(fixture.stream_by_proxy[7], "update full=1\r\n");
  fixture.run();
  EXPECT_EQ(client.read(), "pong\r\nupdate full=1\r\n");
  client.close();
  fixture.run();
  EXPECT_EQ(fixture.left, std::vector<StreamId>{fixture.stream_by_proxy[7]});
}

TEST(StreamServer, MessageSplitByteByByteIsRead) {
  Fixture fixture;
  Client client;
  for (const char byte : joined(9) + "usage sidecar=9 kind=x n=3 bad=0 window=1.0\r\n") {
    client.send(std::string(1, byte));
    fixture.run(0.002);
  }
  EXPECT_TRUE(fixture.stream_by_proxy.contains(9));
  EXPECT_EQ(fixture.arrived, 3);
}

// Guards against scanning a partial line from its beginning for every piece that arrives.
TEST(StreamServer, ALongLineInSmallPiecesIsReadInTime) {
  constexpr std::size_t kPieceBytes = 100;
  Fixture fixture;
  Client client{joined(7)};
  fixture.run();
  ASSERT_TRUE(fixture.stream_by_proxy.contains(7));
  std::string line = "usage sidecar=7 kind=x n=19 bad=0 window=1000.0 note=";
  line.resize(kMaxMessageBytes - 2, 'x');
  line += "\r\n";
  std::size_t sent = 0;
  const std::function<void()> send_piece = [&] {
    client.send(line.substr(sent, kPieceBytes));
    sent += kPieceBytes;
    if (sent < line.size()) fixture.loop.call_soon(send_piece);
  };
  fixture.loop.call_soon(send_piece);
  Span spent;
  for (int run = 0; run < 100 && fixture.arrived == 0; ++run)
    spent = spent + testing::thread_time([&] { fixture.run(0.2); });
  EXPECT_EQ(fixture.arrived, 19);
  EXPECT_LT(spent, testing::kMaxReadTime) << spent.seconds() << " s";
}

TEST(StreamServer, JoinTimeoutClosesOnlyPendingConnections) {
  StreamServer::Limits limits;
  limits.join_timeout = Span::seconds(0.1);
  Fixture fixture{limits};
  Client stream{joined(1)}, collector{"collector az=a\r\n"}, silent, half{"joined sid"}, pinger{"ping\r\n"};
  fixture.run(0.3);
  EXPECT_FALSE(stream.closed());
  EXPECT_FALSE(collector.closed());
  EXPECT_NE(silent.read().find("refused"), std::string::npos);
  EXPECT_NE(half.read().find("refused"), std::string::npos);
  EXPECT_EQ(pinger.read().find("pong\r\nrefused"), 0U);  // a ping does not extend the join timeout
  fixture.run(0.5);
  EXPECT_TRUE(silent.closed() && half.closed() && pinger.closed());
  EXPECT_EQ(fixture.server->connection_count(), 2U);
  EXPECT_TRUE(fixture.left.empty());
}

TEST(StreamServer, AnythingButAValidJoinIsRefused) {
  Fixture fixture;
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
  fixture.run(0.1);
  // The last client sends more than the server drains, so it may see a reset instead of the refusal.
  for (auto it = clients.begin(); std::next(it) != clients.end(); ++it)
    EXPECT_EQ(it->read().find("refused reason="), 0U);
  fixture.run(0.5);
  for (auto& client : clients) EXPECT_TRUE(client.closed());
  EXPECT_EQ(fixture.server->connection_count(), 0U);
  EXPECT_TRUE(fixture.stream_by_proxy.empty());
}

TEST(StreamServer, MalformedReportsAreCountedAndKeepTheStream) {
  Fixture fixture;
  Client client{joined(1) +
                "usage sidecar=1 kind=x n=-4 bad=0 window=1\r\nusage sidecar=1\r\nusage sidecar=1 kind=x n=4 "
                "bad=0 window=1\r\npong\r\n" +
                joined(1)};
  fixture.run();
  EXPECT_FALSE(client.closed());
  EXPECT_EQ(fixture.arrived, 4);
  EXPECT_TRUE(fixture.left.empty());
  EXPECT_EQ(fixture.server->counts().malformed.at("usage: n"), 1U);
}

TEST(StreamServer, ProtocolErrorOnAStreamClosesItAndReportsALeave) {
  Fixture fixture;
  Client complete_line{joined(1) + "nonsense that ends\r\n"}, partial_line{joined(2) + "\x16\x03\x01"};
  fixture.run();
  EXPECT_EQ(fixture.left.size(), 2U);
  EXPECT_TRUE(complete_line.closed() && partial_line.closed());
}

TEST(StreamServer, ProtocolErrorOfACollectorReportsNoLeave) {
  Fixture fixture;
  Client client{"collector az=a\r\nheard az=a host=s n=1 bad=0 avg=1 window=9\r\n%%%\r\n"};
  fixture.run();
  EXPECT_EQ(fixture.backend_stats, 1);
  EXPECT_TRUE(client.closed());
  EXPECT_TRUE(fixture.left.empty());
}

TEST(StreamServer, SecondJoinOfAProxyReplacesItsStreamWithoutALeave) {
  Fixture fixture;
  Client old{joined(5)};
  fixture.run();
  Client successor{joined(5)};
  fixture.run();
  EXPECT_TRUE(old.closed());
  EXPECT_FALSE(successor.closed());
  EXPECT_TRUE(fixture.left.empty());  // on_join already reported the replaced stream
}

TEST(StreamServer, FloodOfPendingConnectionsEvictsNoJoinedProxy) {
  StreamServer::Limits limits;
  limits.max_pending = 20;
  Fixture fixture{limits};
  std::list<Client> flood;
  std::list<Client> proxies;
  for (int k = 0; k < 300; ++k) {
    if (k % 10 == 0) proxies.emplace_back(joined(k / 10));
    k % 2 == 0 ? flood.emplace_back() : flood.emplace_back("joined side");
  }
  fixture.run(0.2);
  EXPECT_EQ(fixture.stream_by_proxy.size(), 30U);
  EXPECT_LE(fixture.server->pending_count(), 20U);
  fixture.run(1.8);
  for (auto& client : flood) EXPECT_TRUE(client.closed());
  for (auto& client : proxies) EXPECT_FALSE(client.closed());
  EXPECT_EQ(fixture.server->connection_count(), 30U);
}

// All clients connect and send half of the join before any sends the rest, so all are pending at once.
TEST(StreamServer, ManySimultaneousPartialJoinsAreAccepted) {
  StreamServer::Limits limits;
  limits.max_connections = 100, limits.max_pending = 80;
  Fixture fixture{limits};
  std::list<Client> joined_before, reconnecting;
  for (int k = 0; k < 20; ++k) joined_before.emplace_back(joined(k));
  fixture.run();
  for (int k = 20; k < 80; ++k) reconnecting.emplace_back(joined(k).substr(0, 20));
  fixture.run();
  EXPECT_EQ(fixture.server->pending_count(), 60U);
  int k = 20;
  for (auto& client : reconnecting) client.send(joined(k++).substr(20));
  fixture.run();
  EXPECT_EQ(fixture.stream_by_proxy.size(), 80U);
  for (auto& client : joined_before) EXPECT_FALSE(client.closed());
}

TEST(StreamServer, ConnectionsBeyondTheLimitAreRefusedAndStreamsStay) {
  StreamServer::Limits limits;
  limits.max_connections = 30, limits.max_pending = 30;
  Fixture fixture{limits};
  std::list<Client> streams, flood;
  for (int k = 0; k < 22; ++k) streams.emplace_back(joined(k));
  fixture.run();
  EXPECT_TRUE(fixture.server->is_full());
  for (int k = 0; k < 60; ++k) flood.emplace_back("joined side");
  fixture.run();
  EXPECT_EQ(fixture.server->pending_count(), 8U);
  int refused = 0;
  for (auto& client : flood) refused += client.read().find("refused reason=no-room") == 0 ? 1 : 0;
  EXPECT_EQ(refused, 52);
  for (auto& client : streams) EXPECT_FALSE(client.closed());
  EXPECT_TRUE(fixture.left.empty());
}

// Covers unread input on each kind of connection, and connections that are not accepted yet.
TEST(StreamServer, ShutdownHandlesReceivedInputAndClosesGracefully) {
  Fixture fixture;
  Client stream{joined(1)}, collector{"collector az=a\r\n"}, half;
  fixture.run();
  half.send("joined sid");
  fixture.run();
  fixture.server->send(fixture.stream_by_proxy[1], "update full=1\r\n");
  // The loop does not run from here to shut_down, so all of this input is still unread then.
  stream.send("usage sidecar=1 kind=x n=4 bad=0 window=1\r\nping\r\n");
  collector.send("heard az=a host=s n=1 bad=0 avg=1 window=9\r\n");
  Client pinging{"ping\r\n"}, joining{joined(2)}, silent, garbage{std::string(3000, 'x')};
  bool done = false;
  Instant ended;
  const Instant begun = fixture.loop.now();
  fixture.server->shut_down(Span::seconds(0.3), [&] {
    done = true, ended = net::monotonic_now();
    fixture.loop.stop();
  });
  fixture.server->shut_down(Span::seconds(0.3), [&] { ADD_FAILURE() << "called a second time"; });
  fixture.loop.after(Span::seconds(2), [&] { fixture.loop.stop(); });
  fixture.loop.run();
  EXPECT_TRUE(done);
  EXPECT_LT((ended - begun).seconds(), 0.45);
  EXPECT_EQ(fixture.arrived, 4);
  EXPECT_EQ(fixture.backend_stats, 1);
  EXPECT_FALSE(fixture.stream_by_proxy.contains(2));
  EXPECT_EQ(stream.read(), "update full=1\r\npong\r\n");
  EXPECT_EQ(pinging.read(), "pong\r\nrefused reason=shutting-down\r\n");
  for (Client* client : {&half, &joining, &silent})
    EXPECT_EQ(client->read(), "refused reason=shutting-down\r\n");
  EXPECT_EQ(garbage.read().find("refused"), 0U);
  for (Client* client : {&stream, &collector, &half, &pinging, &joining, &silent, &garbage})
    EXPECT_TRUE(client->closed() && !client->reset());
}

TEST(StreamServer, ShutdownEndsWithTheLastPeerOrAtItsTimeout) {
  {
    Fixture fixture;
    Client stream{joined(1)};
    fixture.run();
    bool done = false;
    fixture.server->shut_down(Span::seconds(5), [&] { done = true, fixture.loop.stop(); });
    stream.close();
    fixture.run(0.05);
    EXPECT_TRUE(done);
    EXPECT_TRUE(fixture.left.empty());  // on_leave is not called during shutdown
  }
  Fixture fixture;
  Client not_reading{joined(1)};
  fixture.run();
  const std::string chunk(60000, 'u');
  for (int k = 0; k < 200 && fixture.server->counts().bytes_sent < (8U << 20U); ++k)
    fixture.server->send(fixture.stream_by_proxy[1], chunk);
  bool done = false;
  fixture.server->shut_down(Span::seconds(0.1), [&] { done = true, fixture.loop.stop(); });
  fixture.run(0.3);
  EXPECT_TRUE(done);
}

std::string repeated(const std::string& line, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) text += line;
  return text;
}
const std::string kUsage = "usage sidecar=1 kind=x n=1 bad=0 window=1\r\n";

// Guards against work for input whose sender is gone: a stream's end is its leaving, so what it left unread
// is neither handled nor waited for.
TEST(StreamServer, InputThatAClosedStreamLeftUnreadIsNotHandled) {
  for (const bool reset : {false, true}) {
    Fixture fixture;
    Client stream{joined(1)};
    fixture.run();
    stream.send(repeated(kUsage, 50'000));
    reset ? stream.close_with_reset() : stream.close();
    fixture.run();
    EXPECT_EQ(fixture.left.size(), 1U);
    EXPECT_EQ(fixture.arrived, 0);
  }
}

// Guards against a join of a proxy that has left, which would end the live stream of its successor.
TEST(StreamServer, AJoinWhoseSenderHasClosedIsNotTaken) {
  for (const bool reset : {false, true}) {
    Fixture fixture;
    Client live{joined(1)};
    fixture.run();
    const StreamId live_stream = fixture.stream_by_proxy.at(1);
    Client gone{joined(1) + kUsage};
    reset ? gone.close_with_reset() : gone.close();
    fixture.run();
    EXPECT_EQ(fixture.stream_by_proxy.at(1), live_stream);
    EXPECT_EQ(fixture.arrived, 0);
    EXPECT_TRUE(fixture.left.empty());
    EXPECT_FALSE(live.closed());
    live.send(kUsage);
    fixture.run();
    EXPECT_EQ(fixture.arrived, 1);
  }
}

// A collector's reports stay valid after its end.
TEST(StreamServer, ReportsOfACollectorThatHasClosedAreHandled) {
  Fixture fixture;
  Client collector{"collector az=a\r\n"};
  fixture.run();
  collector.send("heard az=a host=s n=1 bad=0 avg=1 window=9\r\n");
  collector.close();
  fixture.run();
  EXPECT_EQ(fixture.backend_stats, 1);
}

// Guards against a turn of the event loop that lasts until all input of all peers has been handled.
TEST(StreamServer, ATurnHandlesABoundedPartOfTheInput) {
  Fixture fixture;
  std::vector<std::unique_ptr<Client>> streams;
  for (int proxy = 0; proxy < 20; ++proxy) streams.push_back(std::make_unique<Client>(joined(proxy)));
  fixture.run();
  const std::string report =
      "usage sidecar=1 kind=x n=1 bad=0 window=1 pad=" + std::string(1000, 'x') + "\r\n";
  for (const auto& stream : streams) stream->send(repeated(report, 100'000));
  const auto turns_before = fixture.loop.turns();
  const auto reports_before = fixture.server->counts().reports;
  fixture.run();
  const auto turns = fixture.loop.turns() - turns_before;
  const auto reports = fixture.server->counts().reports - reports_before;
  EXPECT_GT(reports * report.size(), 20 * 100'000U / 2);
  constexpr std::size_t kBytesPerTurn = (128U << 10U) + 3 * net::Connection::kReadBytes;
  EXPECT_LE(reports * report.size(), turns * kBytesPerTurn);
}

// A peer that sends more than its rate for long is cut; one that catches up after a pause, or keeps within
// its rate, is not. Malformed messages count as several.
TEST(StreamServer, APeerFarOverItsRateIsCut) {
  StreamServer::Limits limits;
  limits.max_message_rate = 100;
  Fixture fixture{limits};
  Client sound{joined(1)}, malformed{joined(2)}, steady{joined(3)};
  fixture.run();
  constexpr int kTenSeconds = 1000;  // messages at the rate above
  for (int k = 0; k < kTenSeconds / 2; ++k) sound.send(kUsage);
  steady.send("usage sidecar=3 kind=x n=1 bad=0 window=1\r\n");
  fixture.run();
  EXPECT_TRUE(fixture.left.empty());
  EXPECT_EQ(fixture.arrived, kTenSeconds / 2 + 1);
  for (int k = 0; k < kTenSeconds; ++k) sound.send(kUsage);
  for (int k = 0; k < kTenSeconds / 5; ++k) malformed.send("usage sidecar=x\r\n");
  fixture.run();
  EXPECT_EQ(fixture.left.size(), 2U);
  EXPECT_EQ(fixture.server->counts().over_rate, 2U);
  EXPECT_FALSE(steady.closed());
}

// Guards against memory that many unfinished messages take together, each below the longest message.
TEST(StreamServer, UnfinishedMessagesTogetherStayWithinTheBufferLimit) {
  constexpr std::size_t kLimit = 4U << 20U, kHalfMessage = 300'000;
  Fixture fixture;
  fixture.loop.buffers().set_limit(kLimit);
  Client whole{joined(99)}, joining{"joined sidecar=98 az=a sh"};
  std::vector<std::unique_ptr<Client>> unfinished;
  for (int proxy = 0; proxy < 40; ++proxy) {
    unfinished.push_back(std::make_unique<Client>(joined(proxy)));
    fixture.run(0.002);
    const std::string text = "usage kind=" + std::string(kHalfMessage, 'x');
    for (std::size_t sent = 0; sent < text.size(); sent += 30'000) {
      unfinished.back()->send(text.substr(sent, 30'000));
      whole.send("usage sidecar=99 kind=x n=1 bad=0 window=1\r\n");
      fixture.run(0.001);
      ASSERT_LE(fixture.loop.buffers().held(), kLimit);
    }
  }
  EXPECT_GT(fixture.server->counts().over_memory, 20U);
  EXPECT_EQ(fixture.left.size(), fixture.server->counts().over_memory);
  joining.send("are=1 standing=1\r\n");
  fixture.run();
  EXPECT_TRUE(fixture.stream_by_proxy.contains(98));
  EXPECT_FALSE(whole.closed());
  EXPECT_EQ(fixture.arrived, 40 * 11);
}

// Capacity that a long message leaves behind counts as well, so it is given back.
TEST(StreamServer, ALongMessageLeavesNoBufferBehind) {
  Fixture fixture;
  Client stream{joined(1)};
  fixture.run();
  const std::string text = "usage kind=" + std::string(900'000, 'x') + "\r\n";
  for (std::size_t sent = 0; sent < text.size(); sent += 30'000) {
    stream.send(text.substr(sent, 30'000));
    fixture.run(0.002);
  }
  EXPECT_EQ(fixture.server->counts().malformed.size(), 1U);
  EXPECT_LT(fixture.loop.buffers().held(), 100'000U);
  EXPECT_FALSE(stream.closed());
}

TEST(StreamServer, ProxyThatDoesNotReadIsClosedAtTheOutputLimit) {
  StreamServer::Limits limits;
  limits.max_unread_bytes = 64U << 10U;
  Fixture fixture{limits};
  Client client{joined(1)};
  fixture.run();
  const std::string chunk(60000, 'u');
  for (int k = 0; k < 400 && fixture.left.empty(); ++k) {
    fixture.server->send(fixture.stream_by_proxy[1], chunk);
    if (k == 100) client.send("usage sidecar=1 kind=x n=6 bad=0 window=1\r\n");
    fixture.run(0.002);
  }
  EXPECT_EQ(fixture.left.size(), 1U);
  EXPECT_EQ(fixture.server->counts().slow_consumers, 1U);
}

// The clients close or reset before the loop runs, so accept returns connections that have already ended.
TEST(StreamServer, ConnectionsClosedBeforeAcceptLeaveNoPeer) {
  Fixture fixture;
  for (int k = 0; k < 60; ++k) {
    Client client;
    if (k % 3 == 1) client.send("joined sidecar=7 az=a");
    if (k % 3 == 2) client.send(joined(7));
    k % 2 == 0 ? client.close() : client.close_with_reset();
  }
  fixture.run();
  EXPECT_EQ(fixture.server->connection_count(), 0U);
  EXPECT_EQ(fixture.server->pending_count(), 0U);
  Client later{joined(8)};
  fixture.run();
  EXPECT_TRUE(fixture.stream_by_proxy.contains(8));
  EXPECT_EQ(fixture.server->connection_count(), 1U);
}

TEST(StreamServer, QueuedConnectionsAreClosedWhenDescriptorsRunOut) {
  Fixture fixture;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  std::list<Client> clients;
  for (int k = 0; k < 12; ++k) clients.emplace_back();  // in the listen queue, not accepted
  const net::Fd highest{::dup(0)};
  const rlimit lowered{static_cast<rlim_t>(highest.get()), before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &lowered);
  fixture.run(0.1);
  setrlimit(RLIMIT_NOFILE, &before);
  fixture.run(0.1);
  int closed = 0;
  for (auto& client : clients) closed += client.closed() ? 1 : 0;
  EXPECT_GE(closed, 11);
  Client later{joined(1)};
  fixture.run();
  EXPECT_TRUE(fixture.stream_by_proxy.contains(1));
}

}  // namespace
}  // namespace gorsemount::streams
