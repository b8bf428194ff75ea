// The list's codec, and the watch against a stand-in of discovery on loopback.
#include "discovery/watch.hpp"

#include <gtest/gtest.h>

#include "net/http_stream.hpp"

namespace gorsemount::discovery {
namespace {

std::string entry(const std::string& host, const std::string& health = "Ready", const std::string& born = "0") {
  return R"({"host":")" + host + R"(","dial":"10.1.0.18:7070","site":"a","class":"m2","block":3,"health":")" + health +
         R"(","share":1.5,"born_ms":)" + born + "}";
}
std::string list(int seq, bool whole, const std::string& hosts) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" + hosts + "]}";
}

TEST(List, ReadsRowsAndNamesWhatIsWrong) {
  const auto l = read_listing(list(41, true, entry("s-1", "Terminating", "1700000000123") + "," + entry("s-2")));
  EXPECT_EQ(l.version, 41U);
  ASSERT_EQ(l.rows.size(), 2U);
  EXPECT_EQ(l.rows[0].health, Health::draining);
  EXPECT_EQ(l.rows[0].started_ms, 1700000000123);
  EXPECT_EQ(l.rows[1].weight, 1.5);
  EXPECT_EQ(read_listing(R"({"seq":1,"whole":false,"hosts":[{"host":"s-9","health":"Gone"}]})").rows[0].health, Health::gone);
  for (const char* bad : {"", "{", "[]", R"({"seq":1,"whole":true})", R"({"seq":-1,"whole":true,"hosts":[]})",
                          R"({"seq":1,"whole":true,"hosts":[{"host":"a b","health":"Ready","site":"a"}]})",
                          R"({"seq":1,"whole":true,"hosts":[{"host":"a","health":"Odd","site":"a"}]})"})
    EXPECT_THROW((void)read_listing(std::string_view{bad}), std::exception) << bad;
}

const Endpoint kAt = *Endpoint::parse("127.7.7.9:17020"), kElsewhere = *Endpoint::parse("127.7.7.9:17021");

// Answers as a test says, and remembers what it was asked.
struct Service {
  Service(net::Loop& on, const Endpoint& at) : loop{on} {
    listener = std::make_unique<net::Listener>(on, at, [this](net::Fd fd, const Endpoint&) {
      ++calls;
      connection = net::Connection::make(
          loop, std::move(fd), {},
          [this](std::string_view in) {
            asked = std::string{in.substr(0, in.find('\r'))};
            if (answer) answer(*connection);
            return in.size();
          },
          [this](const char*) { ++ends; });
    });
  }
  static std::string head() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", text.size());
    return size + ("\r\n" + text + "\r\n");
  }
  net::Loop& loop;
  int calls = 0, ends = 0;
  std::string asked;
  std::function<void(net::Connection&)> answer;
  std::shared_ptr<net::Connection> connection;
  std::unique_ptr<net::Listener> listener;
};

struct Rig {
  Rig() {
    watch = std::make_unique<Watch>(loop, kAt, Watch::Patience{Span::seconds(0.3), Span::seconds(0.3), Span::seconds(0.3)},
                                    Watch::Told{[this](Listing l) { lists.push_back(std::move(l)); },
                                                [this](const std::string& why) { failures.push_back(why); }});
  }
  void run(double s) {
    loop.after(Span::seconds(s), [this] { loop.stop(); });
    loop.run();
  }
  net::Loop loop;
  std::vector<Listing> lists;
  std::vector<std::string> failures;
  std::unique_ptr<Watch> watch;
};

TEST(Watch, BringsChangesAfterWhatIsKnownInWhateverPiecesTheyCome) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) {
    c.send(Service::head() + Service::chunk(list(43, false, entry("s-1")) + "\n" + list(44, false, entry("s-2", "Gone")).substr(0, 9)));
  };
  r.watch->know(41);
  r.watch->follow();
  r.watch->follow();  // one call at a time
  r.run(0.1);
  EXPECT_EQ(s.asked, "GET /api/targets?watch=1&from=41 HTTP/1.1");
  ASSERT_EQ(r.lists.size(), 1U);
  EXPECT_TRUE(r.watch->following());
  s.connection->send(Service::chunk(list(44, false, entry("s-2", "Gone")).substr(9) + "\n") + Service::chunk("\r\n"));
  r.run(0.1);
  ASSERT_EQ(r.lists.size(), 2U);
  EXPECT_EQ(r.watch->version(), 44U);
  EXPECT_EQ(s.calls, 1);
  EXPECT_TRUE(r.failures.empty());
}

TEST(Watch, ASilentOneIsGivenUpAndEmptyLinesKeepItAlive) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk(list(1, true, "") + "\n")); };
  r.watch->follow();
  for (int k = 0; k < 4; ++k) {
    r.run(0.2);
    s.connection->send(Service::chunk("\n"));
  }
  EXPECT_TRUE(r.watch->following());
  r.run(0.5);
  EXPECT_FALSE(r.watch->following());
  EXPECT_EQ(r.failures, std::vector<std::string>{"silent"});
}

TEST(Watch, FailuresAreToldOnceEach) {
  Rig r;
  r.watch->follow();  // nobody listens
  r.run(0.1);
  EXPECT_EQ(r.failures, std::vector<std::string>{"connection refused"});
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); };
  r.watch->follow();
  r.run(0.1);
  EXPECT_EQ(r.failures.back(), "status 503");
  s.answer = nullptr;  // it takes the call and says nothing
  r.watch->follow();
  r.run(0.5);
  EXPECT_EQ(r.failures.back(), "no answer in time");
  s.answer = [](net::Connection& c) { c.abort(); };
  r.watch->follow();
  r.run(0.1);
  EXPECT_EQ(r.failures.size(), 4U);
  EXPECT_EQ(s.calls, 3);
}

TEST(Watch, AfterWhatCanNotBeReadTheWholeListIsAskedFor) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk("{\"seq\":7,\"who\n")); };
  r.watch->know(5);
  r.watch->follow();
  r.run(0.1);
  ASSERT_EQ(r.failures.size(), 1U);
  std::vector<std::string> asked;
  s.answer = [&](net::Connection& c) {
    asked.push_back(s.asked);
    if (asked.size() > 1) return c.send(Service::head() + Service::chunk("\n") + Service::chunk(list(9, false, "") + "\n"));
    const auto text = list(9, true, entry("s-1"));
    c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
  };
  r.watch->follow();
  r.run(0.1);
  EXPECT_EQ(asked, (std::vector<std::string>{"GET /api/targets HTTP/1.1", "GET /api/targets?watch=1&from=9 HTTP/1.1"}));
  ASSERT_EQ(r.lists.size(), 2U);
  EXPECT_TRUE(r.lists[0].whole);
  EXPECT_TRUE(r.watch->following());
}

TEST(Watch, ChangesToAnOlderListAreNotTaken) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk(list(3, false, entry("s-1")) + "\n")); };
  r.watch->know(41);
  r.watch->follow();
  r.run(0.1);
  EXPECT_TRUE(r.lists.empty());
  EXPECT_EQ(r.failures, std::vector<std::string>{"changes to an older list"});
}

TEST(Watch, AMoveKeepsTheOldWatchTillTheNewOneAnswers) {
  Rig r;
  Service old{r.loop, kAt};
  old.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk(list(1, true, entry("s-1")) + "\n")); };
  r.watch->follow();
  r.run(0.05);
  r.watch->move(kElsewhere);  // nobody listens there yet
  r.run(0.1);
  old.connection->send(Service::chunk(list(2, false, entry("s-2")) + "\n"));
  r.run(0.1);
  ASSERT_EQ(r.lists.size(), 2U);
  EXPECT_TRUE(r.watch->following());
  Service fresh{r.loop, kElsewhere};
  fresh.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk(list(3, false, entry("s-3")) + "\n")); };
  old.connection->send(Service::chunk("\n"));
  r.run(0.25);
  EXPECT_EQ(fresh.asked, "GET /api/targets?watch=1&from=2 HTTP/1.1");
  EXPECT_EQ(r.watch->version(), 3U);
  EXPECT_GE(old.ends, 1);
  for (int k = 0; k < 3; ++k) {  // nothing is asked twice for the retry that was under way
    fresh.connection->send(Service::chunk("\n"));
    r.run(0.15);
  }
  EXPECT_EQ(fresh.calls, 1);
  EXPECT_TRUE(r.failures.empty());
}

}  // namespace
}  // namespace gorsemount::discovery
