// The loop, connections with their bounds, HTTP on them, and what workers say.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "dns/server.hpp"
#include "net/http.hpp"
#include "probes/load_reply.hpp"

namespace gorsemount::net {
namespace {

const Endpoint kAt = *Endpoint::parse("127.7.7.7:17007");

// A server on the loop that does with its connections as a test says, and a client's end beside it.
struct Pair {
  explicit Pair(Connection::Limits limits, Connection::OnData on_data = {}) {
    listener = std::make_unique<Listener>(loop, kAt, [this, limits, on_data](Fd fd, const Endpoint&) {
      served = Connection::make(
          loop, std::move(fd), limits,
          [this, on_data](std::string_view in) { return on_data ? on_data(in) : (got += in, in.size()); },
          [this](const char* reason) { why = reason; });
    });
    attempt = connect(loop, kAt, {}, [this](Fd fd, int) { client = std::move(fd); });
    run(0.05);
  }
  void run(double s) {
    loop.after(Span::seconds(s), [this] { loop.stop(); });
    loop.run();
  }
  Loop loop;
  std::unique_ptr<Listener> listener;
  std::shared_ptr<void> attempt;
  std::shared_ptr<Connection> served;
  Fd client;
  std::string got, why;
};

TEST(Loop, TimersFireInOrderAndCancelledOnesDoNot) {
  Loop loop;
  std::string seen;
  loop.after(Span::seconds(0.02), [&] { seen += "b"; });
  loop.after(Span::seconds(0.01), [&] { seen += "a"; });
  auto never = loop.after(Span::seconds(0.015), [&] { seen += "x"; });
  loop.cancel(never);
  loop.after(Span::seconds(0.03), [&] { loop.stop(); });
  loop.call_soon([&] { seen += "0"; });
  loop.run();
  EXPECT_EQ(seen, "0ab");
}

TEST(Connection, ClosesAPeerThatSendsTooMuchWithoutAMessage) {
  Pair p{{1000, 1000, Span::seconds(5)}, [](std::string_view) { return std::size_t{0}; }};
  ASSERT_TRUE(p.client);
  const std::string flood(5000, 'x');
  EXPECT_GT(::send(p.client.get(), flood.data(), flood.size(), MSG_NOSIGNAL), 0);
  p.run(0.05);
  EXPECT_EQ(p.why, "too much");
}

TEST(Connection, ClosesAPeerThatSendsHalfAMessageAndNoMore) {
  Pair p{{1000, 1000, Span::seconds(0.1)}, [](std::string_view) { return std::size_t{0}; }};
  EXPECT_EQ(::send(p.client.get(), "half", 4, MSG_NOSIGNAL), 4);
  p.run(0.2);
  EXPECT_EQ(p.why, "idle");
}

TEST(Connection, ClosesAPeerThatDoesNotRead) {
  Pair p{{1000, 1U << 20U, Span::seconds(5)}};
  const std::string part(100000, 'y');
  for (int k = 0; k < 200 && p.served->open(); ++k) p.served->send(part);
  EXPECT_EQ(p.why, "not reading");
}

// Both descriptors are ready in one batch; the first handler lets go of the second and takes its number anew.
TEST(Loop, AnEventOfADescriptorBeforeDoesNotReachTheNextOfItsNumber) {
  Loop loop;
  int ends[2][2];
  for (auto& pair : ends) ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
  int other[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, other), 0);
  int first = -1, stale = 0;
  for (int k = 0; k < 2; ++k)
    loop.watch(ends[k][0], EPOLLIN, [&, k](std::uint32_t) {
      if (first >= 0) return;
      first = k;
      const int number = ends[1 - k][0];
      loop.unwatch(number);
      ASSERT_EQ(::dup2(other[0], number), number);  // closes it; the number stands for another socket now
      loop.watch(number, EPOLLIN, [&](std::uint32_t) { ++stale; });
    });
  for (const auto& pair : ends) ASSERT_EQ(::send(pair[1], "x", 1, MSG_NOSIGNAL), 1);
  loop.after(Span::seconds(0.02), [&] { loop.stop(); });
  loop.run();
  EXPECT_GE(first, 0);
  EXPECT_EQ(stale, 0);
  ASSERT_EQ(::send(other[1], "x", 1, MSG_NOSIGNAL), 1);  // its own event does reach it
  loop.after(Span::seconds(0.02), [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(stale, 1);
  for (const auto& pair : ends) ::close(pair[0]), ::close(pair[1]);
  ::close(other[0]), ::close(other[1]);
}

// The peer has always sent more by the time all is read. Bounded, so that without the limit it ends too.
TEST(Connection, APeerThatSendsAsFastAsItIsReadDoesNotHoldUpTheLoop) {
  bool timer_fired = false;
  int fed = 0;
  Fd* feeder = nullptr;
  const std::string part(1000, 'x');
  Pair p{{1U << 20U, 1000, Span::seconds(5)}, [&](std::string_view in) {
           if (!timer_fired && fed < 20000 && feeder != nullptr)
             ++fed, (void)!::send(feeder->get(), part.data(), part.size(), MSG_NOSIGNAL);
           return in.size();
         }};
  ASSERT_TRUE(p.client);
  feeder = &p.client;
  p.loop.after(Span::seconds(0.005), [&] { timer_fired = true; });
  ASSERT_GT(::send(p.client.get(), part.data(), part.size(), MSG_NOSIGNAL), 0);
  p.run(0.1);
  EXPECT_TRUE(timer_fired);
  EXPECT_GT(fed, 16);
  EXPECT_LT(fed, 20000);
}

// The kernel wakes whoever polls a socket at each shutdown of it, so one at every wake-up never comes to
// rest.
TEST(Connection, HalfClosedItRestsUntilThePeerGoes) {
  for (const bool unsent_at_first : {false, true}) {
    Pair p{{1000, 4U << 20U, Span::seconds(5), true}};
    ASSERT_TRUE(p.client);
    if (unsent_at_first) p.served->send(std::string(3U << 20U, 'x'));  // more than the kernel takes at once
    p.served->send("bye");
    p.served->half_close();
    std::string read(4U << 20U, ' ');
    std::size_t came = 0;
    bool end = false;
    for (int k = 0; k < 100 && !end; ++k) {
      for (ssize_t n = 0; (n = ::recv(p.client.get(), read.data(), read.size(), MSG_DONTWAIT)) >= 0;) {
        came += static_cast<std::size_t>(n);
        if ((end = n == 0)) break;
      }
      p.run(0.01);
    }
    EXPECT_TRUE(end);
    EXPECT_EQ(came, 3U + (unsent_at_first ? 3U << 20U : 0U));
    const auto before = p.loop.turns();
    p.run(0.2);
    EXPECT_LT(p.loop.turns() - before, 10U);
    EXPECT_TRUE(p.served->open());
    EXPECT_GT(::send(p.client.get(), "more", 4, MSG_NOSIGNAL), 0);  // and it still reads
    p.run(0.02);
    EXPECT_EQ(p.got, "more");
    p.client.reset();
    p.run(0.02);
    EXPECT_EQ(p.why, "closed by the peer");
  }
}

TEST(Connection, WritesAllThatItTookBeforeItFinishes) {
  Pair p{{1000, 4U << 20U, Span::seconds(5)}};
  const std::string large(3U << 20U, 'z');
  p.served->send(large);
  p.served->finish();
  std::string got;
  char part[65536];
  for (int k = 0; k < 1000; ++k) {
    p.run(0.001);
    for (ssize_t n = 0; (n = ::recv(p.client.get(), part, sizeof part, MSG_DONTWAIT)) > 0;)
      got.append(part, static_cast<std::size_t>(n));
    if (p.why == "finished") break;
  }
  for (ssize_t n = 0; (n = ::recv(p.client.get(), part, sizeof part, MSG_DONTWAIT)) > 0;)
    got.append(part, static_cast<std::size_t>(n));
  EXPECT_EQ(got.size(), large.size());
  EXPECT_EQ(p.why, "finished");
}

// A worker's endpoint that says the given bytes to whatever it is asked.
HttpClient::Result say(const std::string& bytes, bool close = false) {
  Loop loop;
  std::shared_ptr<Connection> held;
  Listener listener{loop, kAt, [&](Fd fd, const Endpoint&) {
                      held = Connection::make(
                          loop, std::move(fd), {},
                          [&](std::string_view in) {
                            held->send(bytes);
                            if (close) held->finish();
                            return in.size();
                          },
                          [](const char*) {});
                    }};
  HttpClient client{loop, kAt, {}, 1000};
  HttpClient::Result result;
  client.send({}, Span::seconds(0.2), [&](HttpClient::Result r) {
    result = std::move(r);
    loop.stop();
  });
  loop.run();
  return result;
}

TEST(HttpClient, TellsEveryKindOfTroubleApart) {
  using Outcome = HttpClient::Outcome;
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").response.body, "hi");
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n").response.body,
            "hi");
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\n\r\nto the end", true).response.body, "to the end");
  EXPECT_EQ(say("").outcome, Outcome::timed_out);
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi").outcome, Outcome::timed_out);
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true).outcome, Outcome::reset);
  EXPECT_EQ(say("", true).outcome, Outcome::reset);
  EXPECT_EQ(say("SSH-2.0-x\r\n\r\n").outcome, Outcome::garbled);
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n").outcome, Outcome::garbled);
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n").outcome, Outcome::garbled)
      << "over the bound";
  EXPECT_EQ(say("HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x') + "\r\n\r\n").outcome, Outcome::garbled);
  Loop loop;
  HttpClient nobody{loop, *Endpoint::parse("127.7.7.8:17008")};
  HttpClient::Result result;
  nobody.send({}, Span::seconds(1), [&](HttpClient::Result r) { result = std::move(r), loop.stop(); });
  loop.run();
  EXPECT_EQ(result.outcome, Outcome::refused);
  EXPECT_FALSE(result.sent);
}

TEST(LoadReply, SaysWhatIsWrongAndWhere) {
  const std::vector<coordinator::OperationInfo> ops{{"read", Effect::idempotent, {}, {}, 1}};
  const auto fault = [&](const std::string& text) {
    const auto r = probes::read_load(text, ops);
    return std::holds_alternative<std::string>(r) ? std::get<std::string>(r) : "";
  };
  const std::string count =
      R"({"operation":"read","source":"10.0.0.0/8","taken":3,"succeeded":2,"errored":1,"refused":0,"latency_s":0.5})";
  EXPECT_EQ(fault(R"({"boot":"b","uptime_s":1,"util":null,"more":[1],"counts":[)" + count + "]}"), "");
  EXPECT_EQ(fault("{"), "is not JSON");
  EXPECT_EQ(fault("[]"), "is not a JSON object");
  EXPECT_EQ(fault("{}"), "'boot' is missing");
  EXPECT_EQ(fault(R"({"boot":"","uptime_s":1})"), "'boot' is not a string of 1 to 200 characters");
  EXPECT_EQ(fault(R"({"boot":"b","uptime_s":"1"})"), "'uptime_s' is not a number");
  EXPECT_EQ(fault(R"({"boot":"b","uptime_s":1,"state":"happy"})"), "'state' is neither ready nor draining");
  EXPECT_EQ(fault(R"({"boot":"b","uptime_s":1,"util":"full"})"), "'util' is not a number");
  EXPECT_EQ(fault(R"({"boot":"b","uptime_s":1,"counts":[3]})"), "counts[0]: is not an object");
  std::string negative = count;
  negative.replace(negative.find("3"), 1, "-3");
  EXPECT_EQ(fault(R"({"boot":"b","uptime_s":1,"counts":[)" + count + "," + negative + "]}"),
            "counts[1]: 'taken' is not a whole number from 0");
  std::string stray = count;
  stray.replace(stray.find("10.0.0.0/8"), 10, "10.0.0.1/8");
  EXPECT_EQ(fault(R"({"boot":"b","uptime_s":1,"counts":[)" + stray + "]}"),
            "counts[0]: 'source' is not an address prefix");
}

// DNS over TCP on real sockets: several questions in one go, one byte at a time, and one peer too many.
TEST(DnsServer, TcpTakesSeveralQuestionsAndTurnsAwayOneTooMany) {
  Loop loop;
  coordinator::Settings s;
  s.groups = {{"all", {}, {}, 1}};
  auto groups = std::make_shared<const coordinator::GroupMap>(s);
  dns::Responder responder{
      {"x.test", "h.x.test", {"ns.x.test"}, *Address::parse("127.0.0.1"), 1, 1232, {}, 16, 2}, groups};
  auto published = std::make_shared<coordinator::PublishedState>();
  published->directory = std::make_shared<const std::map<BackendId, coordinator::DirectoryEntry>>();
  published->views.resize(1);
  responder.publish(published, groups);
  dns::Server server{loop, responder, {kAt, 1, Span::seconds(5)}, [](ProxyId) {}};
  std::string one{"\0\x18\x12\x34\1\0\0\1\0\0\0\0\0\0\1x\4test\0\0\6\0\1", 26};
  Fd fd;
  auto attempt = connect(loop, kAt, {}, [&](Fd got, int) { fd = std::move(got); });
  const auto run = [&](double t) {
    loop.after(Span::seconds(t), [&] { loop.stop(); });
    loop.run();
  };
  run(0.03);
  ASSERT_TRUE(fd);
  const std::string three = one + one + one;
  for (const char c : three) {
    ASSERT_EQ(::send(fd.get(), &c, 1, MSG_NOSIGNAL), 1);
    run(0.0005);
  }
  run(0.3);  // the kernel may gather single bytes for a while
  char out[4096];
  const ssize_t n = ::recv(fd.get(), out, sizeof out, MSG_DONTWAIT);
  ASSERT_GT(n, 0);
  const auto size = static_cast<std::size_t>(static_cast<unsigned char>(out[0]) << 8U |
                                             static_cast<unsigned char>(out[1])) +
                    2;
  EXPECT_EQ(static_cast<std::size_t>(n), 3 * size);
  Fd second;
  auto more = connect(loop, kAt, {}, [&](Fd got, int) { second = std::move(got); });
  run(0.03);
  EXPECT_EQ(server.turned_away(), 1U);
  EXPECT_EQ(::recv(second.get(), out, sizeof out, MSG_DONTWAIT), 0) << "closed at once";
  server.stop();
  run(0.02);
  EXPECT_EQ(server.connections(), 0U);
}

}  // namespace
}  // namespace gorsemount::net
