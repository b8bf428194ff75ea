// Parsing of backend lists, and Watch against a fake discovery service on loopback.
#include "discovery/watch.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

#include "net/http_stream.hpp"
#include "support/thread_time.hpp"

namespace gorsemount::discovery {
namespace {

std::string row_json(const std::string& host, const std::string& health = "Ready",
                     const std::string& born_ms = "0") {
  return R"({"host":")" + host + R"(","dial":"10.1.0.18:7070","site":"a","class":"m2","block":3,"health":")" +
         health + R"(","share":1.5,"born_ms":)" + born_ms + "}";
}
std::string list_json(int seq, bool full, const std::string& hosts) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (full ? "true" : "false") + R"(,"hosts":[)" +
         hosts + "]}";
}

TEST(BackendListParsing, ReadsRowsAndRejectsInvalidLists) {
  const auto parsed = read_backend_list(
      list_json(41, true, row_json("s-1", "Terminating", "1700000000123") + "," + row_json("s-2")));
  EXPECT_EQ(parsed.version, 41U);
  ASSERT_EQ(parsed.rows.size(), 2U);
  EXPECT_EQ(parsed.rows[0].health, Health::draining);
  EXPECT_EQ(parsed.rows[0].started_ms, 1700000000123);
  EXPECT_EQ(parsed.rows[1].weight, 1.5);
  EXPECT_EQ(
      read_backend_list(R"({"seq":1,"whole":false,"hosts":[{"host":"s-9","health":"Gone"}]})").rows[0].health,
      Health::gone);
  for (const char* invalid :
       {"", "{", "[]", R"({"seq":1,"whole":true})", R"({"seq":-1,"whole":true,"hosts":[]})",
        R"({"seq":1,"whole":true,"hosts":[{"host":"a b","health":"Ready","site":"a"}]})",
        R"({"seq":1,"whole":true,"hosts":[{"host":"a","health":"Odd","site":"a"}]})"})
    EXPECT_THROW((void)read_backend_list(std::string_view{invalid}), std::exception) << invalid;
}

const Endpoint kEndpoint = *Endpoint::parse("127.7.7.9:17020"),
               kOtherEndpoint = *Endpoint::parse("127.7.7.9:17021");

// A fake discovery service that responds as the test sets it up and records the last request line.
struct FakeService {
  FakeService(net::Loop& event_loop, const Endpoint& endpoint) : loop{event_loop} {
    listener = std::make_unique<net::Listener>(event_loop, endpoint, [this](net::Fd fd, const Endpoint&) {
      ++calls;
      connection = net::Connection::make(
          loop, std::move(fd), {},
          [this](std::string_view in) {
            request_line = std::string{in.substr(0, in.find('\r'))};
            if (respond) respond(*connection);
            return in.size();
          },
          [this](const char*) { ++closed_calls; });
    });
  }
  static std::string head() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", text.size());
    return size + ("\r\n" + text + "\r\n");
  }
  net::Loop& loop;
  int calls = 0, closed_calls = 0;
  std::string request_line;
  std::function<void(net::Connection&)> respond;
  std::shared_ptr<net::Connection> connection;
  std::unique_ptr<net::Listener> listener;
};

Watch::Timeouts timeouts() {
  const auto timeout = Span::seconds(0.3);
  return {timeout, timeout, timeout, Span::seconds(0.7), Span::seconds(1.5), Span::seconds(0.2)};
}

struct Fixture {
  explicit Fixture(Watch::Timeouts watch_timeouts = timeouts()) {
    watch = std::make_unique<Watch>(
        loop, kEndpoint, watch_timeouts, 7,
        Watch::Callbacks{[this](BackendList l) { lists.push_back(std::move(l)); },
                         [this](const std::string& reason) { failures.push_back(reason); }});
  }
  void run(double seconds) {
    loop.after(Span::seconds(seconds), [this] { loop.stop(); });
    loop.run();
  }
  net::Loop loop;
  std::vector<BackendList> lists;
  std::vector<std::string> failures;
  std::unique_ptr<Watch> watch;
};

TEST(Watch, DeliversChangesAfterTheKnownVersionHoweverTheyAreSplit) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) {
    c.send(FakeService::head() +
           FakeService::chunk(list_json(43, false, row_json("s-1")) + "\n" +
                              list_json(44, false, row_json("s-2", "Gone")).substr(0, 9)));
  };
  fixture.watch->resume_from(41);
  fixture.watch->subscribe();
  fixture.watch->subscribe();  // one call at a time
  fixture.run(0.1);
  EXPECT_EQ(service.request_line, "GET /api/targets?watch=1&from=41 HTTP/1.1");
  ASSERT_EQ(fixture.lists.size(), 1U);
  EXPECT_TRUE(fixture.watch->established());
  service.connection->send(
      FakeService::chunk(list_json(44, false, row_json("s-2", "Gone")).substr(9) + "\n") +
      FakeService::chunk("\r\n"));
  fixture.run(0.1);
  ASSERT_EQ(fixture.lists.size(), 2U);
  EXPECT_EQ(fixture.watch->version(), 44U);
  EXPECT_EQ(service.calls, 1);
  EXPECT_TRUE(fixture.failures.empty());
}

// Guards against searching a partial line from its beginning for every piece that arrives.
TEST(Watch, ALongLineInSmallPiecesIsReadInTime) {
  constexpr std::size_t kPieceBytes = 200;
  constexpr std::size_t kLineBytes = (4U << 20U) - 4096;  // below the limit with the rest of the list
  Fixture fixture{Watch::Timeouts{}};
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(1, true, "") + "\n"));
  };
  fixture.watch->subscribe();
  fixture.run(0.05);
  ASSERT_TRUE(fixture.watch->established());
  const std::string line = list_json(2, false, row_json("s-2")) + std::string(kLineBytes, ' ') + "\n";
  std::size_t sent = 0;
  const std::function<void()> send_piece = [&] {
    service.connection->send(FakeService::chunk(line.substr(sent, kPieceBytes)));
    sent += kPieceBytes;
    if (sent < line.size()) fixture.loop.call_soon(send_piece);
  };
  fixture.loop.call_soon(send_piece);
  Span spent;
  for (int run = 0; run < 50 && fixture.lists.size() < 2; ++run)
    spent = spent + testing::thread_time([&] { fixture.run(0.1); });
  EXPECT_EQ(fixture.lists.size(), 2U);
  EXPECT_LT(spent, testing::kMaxReadTime) << spent.seconds() << " s";
}

TEST(Watch, EmptyLinesKeepItAliveAndSilenceExpiresIt) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(1, true, "") + "\n"));
  };
  fixture.watch->subscribe();
  for (int k = 0; k < 4; ++k) {
    fixture.run(0.2);
    service.connection->send(FakeService::chunk("\n"));
  }
  EXPECT_TRUE(fixture.watch->established());
  EXPECT_EQ(service.calls, 1);
  const auto old = service.connection;
  service.respond = nullptr;  // accepts calls without responding
  fixture.run(0.4);           // longer than the silence timeout: a second watch is requested
  EXPECT_EQ(service.calls, 2);
  EXPECT_TRUE(fixture.watch->established());
  fixture.run(1.2);
  EXPECT_FALSE(fixture.watch->established());
  EXPECT_EQ(fixture.failures, std::vector<std::string>{"silent"});
}

// The service accepts no more calls and the established watch stays silent: the watch expires and its own
// reason is reported.
TEST(Watch, SilentWatchExpiresWhenNoReplacementConnects) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(1, true, "") + "\n"));
  };
  fixture.watch->subscribe();
  fixture.run(0.05);
  const auto old = service.connection;
  service.listener.reset();
  fixture.run(0.5);
  EXPECT_TRUE(fixture.watch->established());
  EXPECT_TRUE(fixture.failures.empty());
  fixture.run(0.25);
  EXPECT_FALSE(fixture.watch->established());
  EXPECT_EQ(fixture.failures, std::vector<std::string>{"silent"});
}

TEST(Watch, SilentWatchStillDeliversWhileAReplacementIsRequested) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(1, true, "") + "\n"));
  };
  fixture.watch->subscribe();
  fixture.run(0.05);
  const auto old = service.connection;
  service.respond = nullptr;
  fixture.run(0.4);
  ASSERT_EQ(service.calls, 2);
  old->send(FakeService::chunk(list_json(2, false, row_json("s-2")) + "\n"));  // late, on the old watch
  fixture.run(0.05);
  ASSERT_EQ(fixture.lists.size(), 2U);
  service.connection->send(FakeService::head() +
                           FakeService::chunk(list_json(3, false, row_json("s-3")) + "\n"));
  fixture.run(0.05);
  EXPECT_EQ(fixture.lists.size(), 3U);
  EXPECT_EQ(service.closed_calls, 1);  // the old watch, closed once the new one responded
  EXPECT_TRUE(fixture.watch->established());
  EXPECT_TRUE(fixture.failures.empty());
}

TEST(Watch, WatchWithoutChangesIsEstablished) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) { c.send(FakeService::head() + FakeService::chunk("\n")); };
  fixture.watch->resume_from(41);
  fixture.watch->subscribe();
  fixture.run(0.05);
  EXPECT_TRUE(fixture.watch->established());
  for (int k = 0; k < 4; ++k) {
    fixture.run(0.2);
    service.connection->send(FakeService::chunk("\r\n"));
  }
  EXPECT_EQ(service.calls, 1);
  EXPECT_TRUE(fixture.failures.empty() && fixture.lists.empty());
  EXPECT_EQ(fixture.watch->version(), 41U);
}

// Sends `text` in pieces at an interval, then calls `then`.
void send_slowly(net::Loop& loop, const std::shared_ptr<net::Connection>& connection, std::string text,
                 std::size_t piece_bytes, Span interval, std::function<void()> then = {}) {
  if (text.empty() || !connection->open()) return then ? then() : void();
  connection->send(text.substr(0, piece_bytes));
  loop.after(interval,
             [&loop, connection, rest = text.substr(std::min(piece_bytes, text.size())), piece_bytes,
              interval, then] { send_slowly(loop, connection, rest, piece_bytes, interval, then); });
}

TEST(Watch, SlowResponseIsAcceptedAndAnEndlessOneIsNot) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  const auto full = list_json(9, true, row_json("s-1"));
  std::vector<std::string> requests;
  service.respond = [&](net::Connection&) {
    requests.push_back(service.request_line);
    if (requests.size() == 1)
      return service.connection->send(
          FakeService::head() + FakeService::chunk("{\n"));  // invalid: the next call requests the full list
    if (requests.size() == 2)  // takes longer in total than the response timeout
      return send_slowly(
          fixture.loop, service.connection,
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(full.size()) + "\r\n\r\n" + full, 25,
          Span::seconds(0.1));
    send_slowly(fixture.loop, service.connection,
                FakeService::head() + FakeService::chunk("{\"seq\":" + std::string(500, '1')), 5,
                Span::seconds(0.1));
  };
  fixture.watch->subscribe();
  fixture.run(0.05);
  fixture.watch->subscribe();
  fixture.run(1.4);
  ASSERT_EQ(fixture.lists.size(), 1U);
  EXPECT_EQ(fixture.lists[0].rows.size(), 1U);
  EXPECT_EQ(fixture.failures.size(), 1U);
  fixture.run(2);  // the next watch never completes its first line
  EXPECT_EQ(fixture.failures.size(), 2U);
  EXPECT_EQ(requests,
            (std::vector<std::string>{"GET /api/targets?watch=1&from=0 HTTP/1.1", "GET /api/targets HTTP/1.1",
                                      "GET /api/targets?watch=1&from=9 HTTP/1.1"}));
}

TEST(Watch, OlderFullListIsAcceptedOnlyTheSecondTime) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  std::string current_list = list_json(3, true, row_json("s-old"));
  service.respond = [&](net::Connection& c) {
    if (service.request_line.find("watch") == std::string::npos)
      return c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(current_list.size()) + "\r\n\r\n" +
                    current_list);
    c.send(FakeService::head() + FakeService::chunk(current_list + "\n"));
  };
  fixture.watch->resume_from(41);
  fixture.watch->subscribe();
  fixture.run(0.05);
  EXPECT_TRUE(fixture.lists.empty());
  EXPECT_EQ(fixture.failures, std::vector<std::string>{"full list is older than the current list"});
  current_list = list_json(42, true, row_json("s-1"));  // the first response was stale, this one is newer
  fixture.watch->subscribe();
  fixture.run(0.05);
  ASSERT_FALSE(fixture.lists.empty());
  EXPECT_EQ(fixture.watch->version(), 42U);
  const auto before = fixture.lists.size();
  current_list = list_json(7, true, row_json("s-2"));  // the service restarted with lower versions
  service.connection->send(FakeService::chunk(current_list + "\n"));
  fixture.run(0.05);
  EXPECT_EQ(fixture.lists.size(), before);
  fixture.watch->subscribe();
  fixture.run(0.05);
  ASSERT_GT(fixture.lists.size(), before);
  EXPECT_EQ(fixture.watch->version(), 7U);
}

// The response is truncated at each byte by a close, and at every seventh by a reset: either one failure is
// reported or the list is accepted.
TEST(Watch, TruncatedResponseIsOneFailure) {
  for (const bool reset : {false, true}) {
    Fixture fixture;
    FakeService service{fixture.loop, kEndpoint};
    const auto full = list_json(9, true, row_json("s-1"));
    const std::string text =
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + full;  // its length is given only by the close
    std::size_t length = 0;
    bool resync = false;
    service.respond = [&](net::Connection& c) {
      if (!resync) return c.send(FakeService::head() + FakeService::chunk("{\n"));
      if (service.request_line.find("watch") != std::string::npos) return c.finish();
      c.send(std::string_view{text}.substr(0, length));
      reset ? c.abort() : c.finish();
    };
    const auto until_failure = [&] {  // waits for 1 s at most
      auto bound = fixture.loop.after(Span::seconds(1), [&] { fixture.loop.stop(); });
      fixture.loop.run();
      fixture.loop.cancel(bound);
    };
    for (; length <= text.size() && !HasFailure(); length += reset ? 7 : 1) {
      fixture.watch = std::make_unique<Watch>(
          fixture.loop, kEndpoint, timeouts(), 7,
          Watch::Callbacks{
              [&](BackendList l) { fixture.lists.push_back(std::move(l)); },
              [&](const std::string& reason) { fixture.failures.push_back(reason), fixture.loop.stop(); }});
      fixture.lists.clear(), fixture.failures.clear();
      resync = false;
      fixture.watch->subscribe(), until_failure();
      resync = true;
      fixture.watch->subscribe(), until_failure();
      EXPECT_EQ(fixture.failures.size(), 2U) << length;
      // Only a complete response that ended with a close is accepted.
      EXPECT_EQ(fixture.lists.size(), !reset && length == text.size() ? 1U : 0U) << length;
    }
  }
}

TEST(Watch, EndpointChangedTwiceInOneTurnMakesOneCallEach) {
  Fixture fixture;
  FakeService first{fixture.loop, kEndpoint}, second{fixture.loop, kOtherEndpoint};
  first.respond = second.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(1, true, row_json("s-1")) + "\n"));
  };
  fixture.watch->subscribe();
  fixture.run(0.05);
  fixture.watch->set_endpoint(kOtherEndpoint);  // there and back within one turn of the loop
  fixture.watch->set_endpoint(kEndpoint);
  fixture.run(0.1);
  EXPECT_TRUE(fixture.watch->established());
  EXPECT_EQ(first.calls, 1);
  EXPECT_EQ(fixture.lists.size(), 1U);
  fixture.watch->set_endpoint(kOtherEndpoint);
  fixture.run(0.1);
  EXPECT_EQ(fixture.lists.size(), 2U);
  EXPECT_EQ(first.closed_calls, 1);
  EXPECT_TRUE(fixture.failures.empty());
}

// The old watch ends while the new endpoint accepts the call and never responds.
TEST(Watch, UnresponsiveEndpointFailsOnceTheOldWatchHasEnded) {
  Fixture fixture;
  FakeService old{fixture.loop, kEndpoint}, unresponsive{fixture.loop, kOtherEndpoint};
  old.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(1, true, row_json("s-1")) + "\n"));
  };
  fixture.watch->subscribe();
  fixture.run(0.05);
  fixture.watch->set_endpoint(kOtherEndpoint);
  fixture.run(0.1);
  old.connection->abort();
  fixture.run(0.05);
  EXPECT_TRUE(fixture.failures.empty());  // a call is still pending
  fixture.run(0.4);
  EXPECT_EQ(fixture.failures, std::vector<std::string>{"response timed out"});
  EXPECT_FALSE(fixture.watch->established());
}

TEST(Watch, RetryDelaysAreJitteredBySeedWithinBounds) {
  std::vector<std::vector<int>> gaps_by_seed;  // ms between calls
  for (const std::uint64_t seed : {1U, 2U}) {
    net::Loop loop;
    FakeService old{loop, kEndpoint}, unavailable{loop, kOtherEndpoint};
    std::vector<Instant> calls;
    old.respond = [](net::Connection& c) {
      c.send(FakeService::head() + FakeService::chunk(list_json(1, true, "") + "\n"));
    };
    unavailable.respond = [&](net::Connection& c) {
      calls.push_back(loop.now());
      old.connection->send(FakeService::chunk("\n"));
      c.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      if (calls.size() == 6) loop.stop();
    };
    Watch watch{loop, kEndpoint, timeouts(), seed,
                Watch::Callbacks{[](BackendList) {}, [](const std::string&) {}}};
    watch.subscribe();
    loop.after(Span::seconds(0.05), [&] { watch.set_endpoint(kOtherEndpoint); });
    loop.after(Span::seconds(5), [&] { loop.stop(); });
    loop.run();
    ASSERT_EQ(calls.size(), 6U);
    auto& gaps = gaps_by_seed.emplace_back();
    for (std::size_t k = 1; k < calls.size(); ++k) {
      gaps.push_back(static_cast<int>((calls[k] - calls[k - 1]).seconds() * 1000));
      EXPECT_GE(gaps.back(), 99);  // half of the retry delay
    }
  }
  int differing = 0;
  for (std::size_t k = 0; k < gaps_by_seed[0].size(); ++k)
    differing += std::abs(gaps_by_seed[0][k] - gaps_by_seed[1][k]) > 5 ? 1 : 0;
  EXPECT_GE(differing, 3);
}

TEST(Watch, EachFailureIsReportedOnce) {
  Fixture fixture;
  fixture.watch->subscribe();  // no listener
  fixture.run(0.1);
  EXPECT_EQ(fixture.failures, std::vector<std::string>{"connection refused"});
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) { c.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); };
  fixture.watch->subscribe();
  fixture.run(0.1);
  EXPECT_EQ(fixture.failures.back(), "status 503");
  service.respond = nullptr;  // accepts the call without responding
  fixture.watch->subscribe();
  fixture.run(0.5);
  EXPECT_EQ(fixture.failures.back(), "response timed out");
  service.respond = [](net::Connection& c) { c.abort(); };
  fixture.watch->subscribe();
  fixture.run(0.1);
  EXPECT_EQ(fixture.failures.size(), 4U);
  EXPECT_EQ(service.calls, 3);
}

TEST(Watch, InvalidListTriggersAResync) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk("{\"seq\":7,\"who\n"));
  };
  fixture.watch->resume_from(5);
  fixture.watch->subscribe();
  fixture.run(0.1);
  ASSERT_EQ(fixture.failures.size(), 1U);
  std::vector<std::string> requests;
  service.respond = [&](net::Connection& c) {
    requests.push_back(service.request_line);
    if (requests.size() > 1)
      return c.send(FakeService::head() + FakeService::chunk("\n") +
                    FakeService::chunk(list_json(9, false, "") + "\n"));
    const auto text = list_json(9, true, row_json("s-1"));
    c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
  };
  fixture.watch->subscribe();
  fixture.run(0.1);
  EXPECT_EQ(requests, (std::vector<std::string>{"GET /api/targets HTTP/1.1",
                                                "GET /api/targets?watch=1&from=9 HTTP/1.1"}));
  ASSERT_EQ(fixture.lists.size(), 2U);
  EXPECT_TRUE(fixture.lists[0].full);
  EXPECT_TRUE(fixture.watch->established());
}

TEST(Watch, ChangesToAnOlderListAreRejected) {
  Fixture fixture;
  FakeService service{fixture.loop, kEndpoint};
  service.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(3, false, row_json("s-1")) + "\n"));
  };
  fixture.watch->resume_from(41);
  fixture.watch->subscribe();
  fixture.run(0.1);
  EXPECT_TRUE(fixture.lists.empty());
  EXPECT_EQ(fixture.failures, std::vector<std::string>{"changes are older than the current list"});
}

TEST(Watch, EndpointChangeKeepsTheOldWatchUntilTheNewOneResponds) {
  Fixture fixture;
  FakeService old{fixture.loop, kEndpoint};
  old.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(1, true, row_json("s-1")) + "\n"));
  };
  fixture.watch->subscribe();
  fixture.run(0.05);
  fixture.watch->set_endpoint(kOtherEndpoint);  // no listener there yet
  fixture.run(0.1);
  old.connection->send(FakeService::chunk(list_json(2, false, row_json("s-2")) + "\n"));
  fixture.run(0.1);
  ASSERT_EQ(fixture.lists.size(), 2U);
  EXPECT_TRUE(fixture.watch->established());
  FakeService moved{fixture.loop, kOtherEndpoint};
  moved.respond = [](net::Connection& c) {
    c.send(FakeService::head() + FakeService::chunk(list_json(3, false, row_json("s-3")) + "\n"));
  };
  old.connection->send(FakeService::chunk("\n"));
  fixture.run(0.25);
  EXPECT_EQ(moved.request_line, "GET /api/targets?watch=1&from=2 HTTP/1.1");
  EXPECT_EQ(fixture.watch->version(), 3U);
  EXPECT_GE(old.closed_calls, 1);
  for (int k = 0; k < 3; ++k) {  // the retry that was scheduled makes no second call
    moved.connection->send(FakeService::chunk("\n"));
    fixture.run(0.15);
  }
  EXPECT_EQ(moved.calls, 1);
  EXPECT_TRUE(fixture.failures.empty());
}

}  // namespace
}  // namespace gorsemount::discovery
