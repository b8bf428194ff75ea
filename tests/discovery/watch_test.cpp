// The list's codec, and the watch against a stand-in of discovery on loopback.
#include "discovery/watch.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

#include "net/http_stream.hpp"

namespace gorsemount::discovery {
namespace {

std::string entry(const std::string& host, const std::string& health = "Ready",
                  const std::string& born = "0") {
  return R"({"host":")" + host + R"(","dial":"10.1.0.18:7070","site":"a","class":"m2","block":3,"health":")" +
         health + R"(","share":1.5,"born_ms":)" + born + "}";
}
std::string list(int seq, bool whole, const std::string& hosts) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" +
         hosts + "]}";
}

TEST(List, ReadsRowsAndNamesWhatIsWrong) {
  const auto l =
      read_backend_list(list(41, true, entry("s-1", "Terminating", "1700000000123") + "," + entry("s-2")));
  EXPECT_EQ(l.version, 41U);
  ASSERT_EQ(l.rows.size(), 2U);
  EXPECT_EQ(l.rows[0].health, Health::draining);
  EXPECT_EQ(l.rows[0].started_ms, 1700000000123);
  EXPECT_EQ(l.rows[1].weight, 1.5);
  EXPECT_EQ(
      read_backend_list(R"({"seq":1,"whole":false,"hosts":[{"host":"s-9","health":"Gone"}]})").rows[0].health,
      Health::gone);
  for (const char* bad : {"", "{", "[]", R"({"seq":1,"whole":true})", R"({"seq":-1,"whole":true,"hosts":[]})",
                          R"({"seq":1,"whole":true,"hosts":[{"host":"a b","health":"Ready","site":"a"}]})",
                          R"({"seq":1,"whole":true,"hosts":[{"host":"a","health":"Odd","site":"a"}]})"})
    EXPECT_THROW((void)read_backend_list(std::string_view{bad}), std::exception) << bad;
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

Watch::Timeouts timeouts() {
  const auto s = Span::seconds(0.3);
  return {s, s, s, Span::seconds(0.7), Span::seconds(1.5), Span::seconds(0.2)};
}

struct Rig {
  Rig() {
    watch = std::make_unique<Watch>(
        loop, kAt, timeouts(), 7,
        Watch::Callbacks{[this](BackendList l) { lists.push_back(std::move(l)); },
                         [this](const std::string& why) { failures.push_back(why); }});
  }
  void run(double s) {
    loop.after(Span::seconds(s), [this] { loop.stop(); });
    loop.run();
  }
  net::Loop loop;
  std::vector<BackendList> lists;
  std::vector<std::string> failures;
  std::unique_ptr<Watch> watch;
};

TEST(Watch, BringsChangesAfterWhatIsKnownInWhateverPiecesTheyCome) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) {
    c.send(Service::head() + Service::chunk(list(43, false, entry("s-1")) + "\n" +
                                            list(44, false, entry("s-2", "Gone")).substr(0, 9)));
  };
  r.watch->resume_from(41);
  r.watch->subscribe();
  r.watch->subscribe();  // one call at a time
  r.run(0.1);
  EXPECT_EQ(s.asked, "GET /api/targets?watch=1&from=41 HTTP/1.1");
  ASSERT_EQ(r.lists.size(), 1U);
  EXPECT_TRUE(r.watch->established());
  s.connection->send(Service::chunk(list(44, false, entry("s-2", "Gone")).substr(9) + "\n") +
                     Service::chunk("\r\n"));
  r.run(0.1);
  ASSERT_EQ(r.lists.size(), 2U);
  EXPECT_EQ(r.watch->version(), 44U);
  EXPECT_EQ(s.calls, 1);
  EXPECT_TRUE(r.failures.empty());
}

TEST(Watch, EmptyLinesKeepItAliveAndASilentOneIsGivenUp) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk(list(1, true, "") + "\n")); };
  r.watch->subscribe();
  for (int k = 0; k < 4; ++k) {
    r.run(0.2);
    s.connection->send(Service::chunk("\n"));
  }
  EXPECT_TRUE(r.watch->established());
  EXPECT_EQ(s.calls, 1);
  const auto old = s.connection;
  s.answer = nullptr;  // it takes calls and says nothing
  r.run(0.4);          // a silence and some: another is asked for beside it
  EXPECT_EQ(s.calls, 2);
  EXPECT_TRUE(r.watch->established());
  r.run(1.2);
  EXPECT_FALSE(r.watch->established());
  EXPECT_EQ(r.failures, std::vector<std::string>{"silent"});
}

// Nobody takes calls any more, and the watch that stands says nothing: it ends by itself, and its reason is
// told.
TEST(Watch, ASilentOneWithNoOtherToBeHadEndsForSilence) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk(list(1, true, "") + "\n")); };
  r.watch->subscribe();
  r.run(0.05);
  const auto old = s.connection;
  s.listener.reset();
  r.run(0.5);
  EXPECT_TRUE(r.watch->established());
  EXPECT_TRUE(r.failures.empty());
  r.run(0.25);
  EXPECT_FALSE(r.watch->established());
  EXPECT_EQ(r.failures, std::vector<std::string>{"silent"});
}

TEST(Watch, WhileItIsSilentAnotherIsAskedForAndTheOldOnesLinesStillCount) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk(list(1, true, "") + "\n")); };
  r.watch->subscribe();
  r.run(0.05);
  const auto old = s.connection;
  s.answer = nullptr;
  r.run(0.4);
  ASSERT_EQ(s.calls, 2);
  old->send(Service::chunk(list(2, false, entry("s-2")) + "\n"));  // late, but here
  r.run(0.05);
  ASSERT_EQ(r.lists.size(), 2U);
  s.connection->send(Service::head() + Service::chunk(list(3, false, entry("s-3")) + "\n"));
  r.run(0.05);
  EXPECT_EQ(r.lists.size(), 3U);
  EXPECT_EQ(s.ends, 1);  // the old one's, once the new one has answered
  EXPECT_TRUE(r.watch->established());
  EXPECT_TRUE(r.failures.empty());
}

TEST(Watch, OneThatHasNothingYetToTellStands) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk("\n")); };
  r.watch->resume_from(41);
  r.watch->subscribe();
  r.run(0.05);
  EXPECT_TRUE(r.watch->established());
  for (int k = 0; k < 4; ++k) {
    r.run(0.2);
    s.connection->send(Service::chunk("\r\n"));
  }
  EXPECT_EQ(s.calls, 1);
  EXPECT_TRUE(r.failures.empty() && r.lists.empty());
  EXPECT_EQ(r.watch->version(), 41U);
}

// Sends `text` piece by piece, then does `then`.
void drip(net::Loop& loop, const std::shared_ptr<net::Connection>& to, std::string text, std::size_t piece,
          Span every, std::function<void()> then = {}) {
  if (text.empty() || !to->open()) return then ? then() : void();
  to->send(text.substr(0, piece));
  loop.after(every, [&loop, to, rest = text.substr(std::min(piece, text.size())), piece, every, then] {
    drip(loop, to, rest, piece, every, then);
  });
}

TEST(Watch, AnAnswerInPiecesIsTakenHoweverLongItTakesAndOneWithoutEndIsNot) {
  Rig r;
  Service s{r.loop, kAt};
  const auto whole = list(9, true, entry("s-1"));
  std::vector<std::string> asked;
  s.answer = [&](net::Connection&) {
    asked.push_back(s.asked);
    if (asked.size() == 1)
      return s.connection->send(Service::head() +
                                Service::chunk("{\n"));  // from now on the whole list is asked for
    if (asked.size() == 2)                               // five times as long as an answer may be waited for
      return drip(r.loop, s.connection,
                  "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + whole,
                  25, Span::seconds(0.1));
    drip(r.loop, s.connection, Service::head() + Service::chunk("{\"seq\":" + std::string(500, '1')), 5,
         Span::seconds(0.1));
  };
  r.watch->subscribe();
  r.run(0.05);
  r.watch->subscribe();
  r.run(1.4);
  ASSERT_EQ(r.lists.size(), 1U);
  EXPECT_EQ(r.lists[0].rows.size(), 1U);
  EXPECT_EQ(r.failures.size(), 1U);
  r.run(2);  // the watch after it never comes to the end of its first line
  EXPECT_EQ(r.failures.size(), 2U);
  EXPECT_EQ(asked,
            (std::vector<std::string>{"GET /api/targets?watch=1&from=0 HTTP/1.1", "GET /api/targets HTTP/1.1",
                                      "GET /api/targets?watch=1&from=9 HTTP/1.1"}));
}

TEST(Watch, AWholeListOlderThanOursCountsOnlyWhenItComesAgain) {
  Rig r;
  Service s{r.loop, kAt};
  std::string told = list(3, true, entry("s-old"));
  s.answer = [&](net::Connection& c) {
    if (s.asked.find("watch") == std::string::npos)
      return c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(told.size()) + "\r\n\r\n" + told);
    c.send(Service::head() + Service::chunk(told + "\n"));
  };
  r.watch->resume_from(41);
  r.watch->subscribe();
  r.run(0.05);
  EXPECT_TRUE(r.lists.empty());
  EXPECT_EQ(r.failures, std::vector<std::string>{"a whole list older than ours"});
  told = list(42, true, entry("s-1"));  // it lagged: the next answer is newer
  r.watch->subscribe();
  r.run(0.05);
  ASSERT_FALSE(r.lists.empty());
  EXPECT_EQ(r.watch->version(), 42U);
  const auto before = r.lists.size();
  told = list(7, true, entry("s-2"));  // it began anew, and says so twice
  s.connection->send(Service::chunk(told + "\n"));
  r.run(0.05);
  EXPECT_EQ(r.lists.size(), before);
  r.watch->subscribe();
  r.run(0.05);
  ASSERT_GT(r.lists.size(), before);
  EXPECT_EQ(r.watch->version(), 7U);
}

// The answer is cut at every byte, by an orderly end and by a reset: a failure is told once, or the list is
// taken.
TEST(Watch, AnAnswerThatIsCutAnywhereIsOneFailureAndTheNextCallIsWhole) {
  for (const bool reset : {false, true}) {
    Rig r;
    Service s{r.loop, kAt};
    const auto whole = list(9, true, entry("s-1"));
    const std::string text =
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + whole;  // its length is told by its end alone
    std::size_t cut = 0;
    bool resync = false;
    s.answer = [&](net::Connection& c) {
      if (!resync) return c.send(Service::head() + Service::chunk("{\n"));
      if (s.asked.find("watch") != std::string::npos) return c.finish();
      c.send(std::string_view{text}.substr(0, cut));
      reset ? c.abort() : c.finish();
    };
    const auto until_failure = [&] {  // a second at most
      auto bound = r.loop.after(Span::seconds(1), [&] { r.loop.stop(); });
      r.loop.run();
      r.loop.cancel(bound);
    };
    for (; cut <= text.size() && !HasFailure(); cut += reset ? 7 : 1) {
      r.watch = std::make_unique<Watch>(
          r.loop, kAt, timeouts(), 7,
          Watch::Callbacks{[&](BackendList l) { r.lists.push_back(std::move(l)); },
                           [&](const std::string& why) { r.failures.push_back(why), r.loop.stop(); }});
      r.lists.clear(), r.failures.clear();
      resync = false;
      r.watch->subscribe(), until_failure();
      resync = true;
      r.watch->subscribe(), until_failure();
      EXPECT_EQ(r.failures.size(), 2U) << cut;
      // Only a whole answer that ended in order is taken.
      EXPECT_EQ(r.lists.size(), !reset && cut == text.size() ? 1U : 0U) << cut;
    }
  }
}

TEST(Watch, AddressesThatChangeTwiceInARowLeaveOneCallEach) {
  Rig r;
  Service first{r.loop, kAt}, second{r.loop, kElsewhere};
  first.answer = second.answer = [](net::Connection& c) {
    c.send(Service::head() + Service::chunk(list(1, true, entry("s-1")) + "\n"));
  };
  r.watch->subscribe();
  r.run(0.05);
  r.watch->set_endpoint(kElsewhere);  // in one turn: there and back
  r.watch->set_endpoint(kAt);
  r.run(0.1);
  EXPECT_TRUE(r.watch->established());
  EXPECT_EQ(first.calls, 1);
  EXPECT_EQ(r.lists.size(), 1U);
  r.watch->set_endpoint(kElsewhere);
  r.run(0.1);
  EXPECT_EQ(r.lists.size(), 2U);
  EXPECT_EQ(first.ends, 1);
  EXPECT_TRUE(r.failures.empty());
}

// The old watch ends while the new address takes calls and never answers.
TEST(Watch, AnAddressThatNeverAnswersIsAFailureOnceTheOldWatchHasEnded) {
  Rig r;
  Service old{r.loop, kAt}, mute{r.loop, kElsewhere};
  old.answer = [](net::Connection& c) {
    c.send(Service::head() + Service::chunk(list(1, true, entry("s-1")) + "\n"));
  };
  r.watch->subscribe();
  r.run(0.05);
  r.watch->set_endpoint(kElsewhere);
  r.run(0.1);
  old.connection->abort();
  r.run(0.05);
  EXPECT_TRUE(r.failures.empty());  // one call is under way
  r.run(0.4);
  EXPECT_EQ(r.failures, std::vector<std::string>{"no answer in time"});
  EXPECT_FALSE(r.watch->established());
}

TEST(Watch, RedialsAreSpreadByTheSeedWithinBounds) {
  std::vector<std::vector<int>> took;  // ms between calls
  for (const std::uint64_t seed : {1U, 2U}) {
    net::Loop loop;
    Service old{loop, kAt}, busy{loop, kElsewhere};
    std::vector<Instant> calls;
    old.answer = [](net::Connection& c) {
      c.send(Service::head() + Service::chunk(list(1, true, "") + "\n"));
    };
    busy.answer = [&](net::Connection& c) {
      calls.push_back(loop.now());
      old.connection->send(Service::chunk("\n"));
      c.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      if (calls.size() == 6) loop.stop();
    };
    Watch watch{loop, kAt, timeouts(), seed, Watch::Callbacks{[](BackendList) {}, [](const std::string&) {}}};
    watch.subscribe();
    loop.after(Span::seconds(0.05), [&] { watch.set_endpoint(kElsewhere); });
    loop.after(Span::seconds(5), [&] { loop.stop(); });
    loop.run();
    ASSERT_EQ(calls.size(), 6U);
    auto& gaps = took.emplace_back();
    for (std::size_t k = 1; k < calls.size(); ++k) {
      gaps.push_back(static_cast<int>((calls[k] - calls[k - 1]).seconds() * 1000));
      EXPECT_GE(gaps.back(), 99);  // half of `again`
    }
  }
  int apart = 0;
  for (std::size_t k = 0; k < took[0].size(); ++k) apart += std::abs(took[0][k] - took[1][k]) > 5 ? 1 : 0;
  EXPECT_GE(apart, 3);
}

TEST(Watch, FailuresAreToldOnceEach) {
  Rig r;
  r.watch->subscribe();  // nobody listens
  r.run(0.1);
  EXPECT_EQ(r.failures, std::vector<std::string>{"connection refused"});
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); };
  r.watch->subscribe();
  r.run(0.1);
  EXPECT_EQ(r.failures.back(), "status 503");
  s.answer = nullptr;  // it takes the call and says nothing
  r.watch->subscribe();
  r.run(0.5);
  EXPECT_EQ(r.failures.back(), "no answer in time");
  s.answer = [](net::Connection& c) { c.abort(); };
  r.watch->subscribe();
  r.run(0.1);
  EXPECT_EQ(r.failures.size(), 4U);
  EXPECT_EQ(s.calls, 3);
}

TEST(Watch, AfterWhatCanNotBeReadTheWholeListIsAskedFor) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) { c.send(Service::head() + Service::chunk("{\"seq\":7,\"who\n")); };
  r.watch->resume_from(5);
  r.watch->subscribe();
  r.run(0.1);
  ASSERT_EQ(r.failures.size(), 1U);
  std::vector<std::string> asked;
  s.answer = [&](net::Connection& c) {
    asked.push_back(s.asked);
    if (asked.size() > 1)
      return c.send(Service::head() + Service::chunk("\n") + Service::chunk(list(9, false, "") + "\n"));
    const auto text = list(9, true, entry("s-1"));
    c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
  };
  r.watch->subscribe();
  r.run(0.1);
  EXPECT_EQ(asked, (std::vector<std::string>{"GET /api/targets HTTP/1.1",
                                             "GET /api/targets?watch=1&from=9 HTTP/1.1"}));
  ASSERT_EQ(r.lists.size(), 2U);
  EXPECT_TRUE(r.lists[0].whole);
  EXPECT_TRUE(r.watch->established());
}

TEST(Watch, ChangesToAnOlderListAreNotTaken) {
  Rig r;
  Service s{r.loop, kAt};
  s.answer = [](net::Connection& c) {
    c.send(Service::head() + Service::chunk(list(3, false, entry("s-1")) + "\n"));
  };
  r.watch->resume_from(41);
  r.watch->subscribe();
  r.run(0.1);
  EXPECT_TRUE(r.lists.empty());
  EXPECT_EQ(r.failures, std::vector<std::string>{"changes to an older list"});
}

TEST(Watch, AMoveKeepsTheOldWatchTillTheNewOneAnswers) {
  Rig r;
  Service old{r.loop, kAt};
  old.answer = [](net::Connection& c) {
    c.send(Service::head() + Service::chunk(list(1, true, entry("s-1")) + "\n"));
  };
  r.watch->subscribe();
  r.run(0.05);
  r.watch->set_endpoint(kElsewhere);  // nobody listens there yet
  r.run(0.1);
  old.connection->send(Service::chunk(list(2, false, entry("s-2")) + "\n"));
  r.run(0.1);
  ASSERT_EQ(r.lists.size(), 2U);
  EXPECT_TRUE(r.watch->established());
  Service fresh{r.loop, kElsewhere};
  fresh.answer = [](net::Connection& c) {
    c.send(Service::head() + Service::chunk(list(3, false, entry("s-3")) + "\n"));
  };
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
