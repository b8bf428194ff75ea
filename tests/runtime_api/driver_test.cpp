// The driver against stand-in forwarders on real sockets, with their faults; the operators' commands.
#include "runtime_api/driver.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <random>

#include "../coordinator/fixture.hpp"
#include "runtime_api/operator_console.hpp"
#include "standins/auditor.hpp"
#include "standins/forwarder.hpp"

namespace gorsemount::runtime_api {
namespace {

using coordinator::DesiredLine;
using coordinator::DesiredTable;
using standins::Forwarder;
using standins::InjectedFaultKind;

std::shared_ptr<DesiredTable> table(std::uint64_t version, std::vector<double> weights) {
  auto t = std::make_shared<DesiredTable>();
  t->version = version;
  t->operations.push_back({"read", {}, {}, -1});
  for (std::size_t k = 0; k < weights.size(); ++k) {
    const std::string name = "w" + std::to_string(k);
    t->known_backends.push_back(name);
    if (weights[k] > 0)
      t->operations[0].lines.push_back({BackendId{static_cast<std::uint32_t>(k)}, name,
                                        *Endpoint::parse("127.6.0." + std::to_string(k + 1) + ":9000"),
                                        weights[k], false});
  }
  return t;
}

struct Stage {
  explicit Stage(std::size_t n) : recorder{file.string()} {
    standins::DayOperation op{"read", "idempotent", 1, {}, Span::seconds(1), Span::seconds(2), 1};
    DriverSettings s;
    for (std::size_t k = 0; k < n; ++k) {
      const std::string ip = "127.6.1." + std::to_string(k + 1);
      standins::ForwarderSettings f{"f" + std::to_string(k),
                                    "a",
                                    *Endpoint::parse(ip + ":18000"),
                                    *Endpoint::parse(ip + ":19999"),
                                    {op},
                                    {{"w0", "a", *Endpoint::parse("127.6.0.1:9000"), 1, false}},
                                    false};
      forwarders.push_back(std::make_unique<Forwarder>(loop, recorder, f, k));
      s.targets.push_back({ProxyId{static_cast<std::uint16_t>(30000 + k)}, f.name, f.runtime, ""});
    }
    s.operations = {"read"};
    s.stats_interval = Span::seconds(0.05), s.verify_interval = Span::seconds(0.1);
    s.response_timeout = Span::seconds(0.5), s.reconnect_delay = Span::seconds(0.05);
    driver = std::make_unique<Driver>(
        loop, s,
        DriverHooks{[this](coordinator::Input i) {
                      if (std::holds_alternative<coordinator::ForwarderJoined>(i)) ++joined;
                      if (std::holds_alternative<coordinator::ForwarderLeft>(i)) ++left;
                      if (const auto* j = std::get_if<coordinator::ForwarderJoined>(&i);
                          j != nullptr && wanted)
                        driver->deliver(j->forwarder, wanted);
                    },
                    [](const std::string&) { return BackendId{1}; },
                    [this](bool, const std::string& event,
                           const std::vector<std::pair<std::string, std::string>>& fields) {
                      ++events[event];
                      for (const auto& [key, value] : fields) said += event + " " + key + "=" + value + "\n";
                    },
                    {},
                    [this](ProxyId id, std::uint64_t version, Span took, std::size_t) {
                      holds[id] = version, slowest = std::max(slowest, took);
                    }});
  }
  ~Stage() {
    driver.reset();
    forwarders.clear();
    std::filesystem::remove(file);
  }
  void run(double s) {
    loop.after(Span::seconds(s), [this] { loop.stop(); });
    loop.run();
  }
  void deliver(std::shared_ptr<DesiredTable> t) {
    wanted = std::move(t);
    for (std::size_t k = 0; k < forwarders.size(); ++k)
      driver->deliver(ProxyId{static_cast<std::uint16_t>(30000 + k)}, wanted);
  }
  // What a person at the forwarder's socket would see.
  forwarders::ActualTable seen(std::size_t k) {
    std::string text;
    const auto attempt = net::connect(loop, forwarders[k]->settings().runtime, {}, [&](net::Fd fd, int) {
      peer = net::Connection::make(
          loop, std::move(fd), {1U << 20U, 1U << 20U, Span::seconds(9)},
          [&](std::string_view in) { return text += in, in.size(); }, [](const char*) {});
      peer->send("show servers state\n");
    });
    run(0.05);
    const auto read = read_servers_state(text);
    return std::holds_alternative<forwarders::ActualTable>(read) ? std::get<forwarders::ActualTable>(read)
                                                                 : forwarders::ActualTable{};
  }
  void say(std::size_t k, const std::string& command) {
    const auto attempt = net::connect(loop, forwarders[k]->settings().runtime, {}, [&](net::Fd fd, int) {
      peer = net::Connection::make(
          loop, std::move(fd), {1U << 20U, 1U << 20U, Span::seconds(9)},
          [](std::string_view in) { return in.size(); }, [](const char*) {});
      peer->send(command + "\n");
    });
    run(0.05);
  }
  int weight(std::size_t k, const std::string& worker) {
    const auto held = seen(k);
    const auto it = held.lines.find({"read", worker});
    return it == held.lines.end() ? -1 : it->second.effective_weight();
  }

  std::filesystem::path file =
      std::filesystem::temp_directory_path() / ("driver-test-" + std::to_string(getpid()));
  net::Loop loop;
  standins::Recorder recorder;
  std::vector<std::unique_ptr<Forwarder>> forwarders;
  std::shared_ptr<net::Connection> peer;
  std::shared_ptr<DesiredTable> wanted;
  std::unique_ptr<Driver> driver;
  std::map<std::string, int> events;
  std::map<ProxyId, std::uint64_t> holds;
  std::string said;
  Span slowest;
  int joined = 0, left = 0;
};

TEST(Driver, LearnsFirstThenSendsTheDifferenceAndConfirms) {
  Stage s{1};
  s.run(0.1);
  EXPECT_EQ(s.joined, 1);
  EXPECT_EQ(s.weight(0, "w0"), 100) << "never wiped, nor touched before anything is wanted";
  s.deliver(table(7, {1, 0.5, 0.25}));
  s.run(0.1);
  EXPECT_EQ((s.holds[ProxyId{30000}]), 7U);
  EXPECT_EQ(s.weight(0, "w0"), 256);
  EXPECT_EQ(s.weight(0, "w1"), 128);
  s.deliver(table(8, {0, 0.5, 0.25}));
  s.run(0.1);
  EXPECT_EQ(s.weight(0, "w0"), 0);
}

TEST(Driver, LeadsOverAUnixSocketToo) {
  net::Loop loop;
  forwarders::ActualTable seen;
  CommandServer server{loop,
                       [&](std::uint64_t, const std::string& c, const std::string&) -> std::string {
                         if (c == "show servers state")
                           return "1\n# be_name srv_name srv_addr srv_admin_state srv_uweight srv_port\nread "
                                  "w0 127.6.0.1 0 7 9000\n";
                         return c == "show stat" ? "# pxname,svname,stot\n" : "";
                       },
                       {}};
  const std::string path =
      (std::filesystem::temp_directory_path() / ("driver-" + std::to_string(getpid()))).string();
  server.listen(path, 0600);
  DriverSettings s{{{ProxyId{30000}, "f", {}, path}},
                   {"read"},
                   false,
                   Span::seconds(1),
                   Span::seconds(1),
                   Span::seconds(0.5),
                   Span::seconds(0.1)};
  std::unique_ptr<Driver> driver;
  std::uint64_t holds = 0;
  driver = std::make_unique<Driver>(
      loop, s,
      DriverHooks{[&](coordinator::Input i) {
                    if (std::holds_alternative<coordinator::ForwarderJoined>(i))
                      driver->deliver(ProxyId{30000}, table(5, {1, 1}));
                  },
                  [](const std::string&) { return std::nullopt; },
                  [](bool, const std::string&, const auto&) {},
                  {},
                  [&](ProxyId, std::uint64_t version, Span, std::size_t) { holds = version; }});
  loop.after(Span::seconds(0.1), [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(holds, 5U);
}

TEST(Driver, FindsAndRepairsWhatSomebodyElseChanged) {
  Stage s{1};
  s.deliver(table(1, {1, 1}));
  s.run(0.2);
  s.deliver(table(2, {1, 1}));
  s.run(0.1);
  s.say(0, "set server read/w1 weight 3");
  s.run(0.3);
  EXPECT_EQ(s.weight(0, "w1"), 256);
  EXPECT_EQ(s.events["forwarder_drifted"], 1);
  EXPECT_NE(s.said.find("read/w1 has weight 3"), std::string::npos) << s.said;
}

TEST(Driver, AForwarderThatRestartsIsLearnedAnewAndLedAgain) {
  Stage s{1};
  s.run(0.1);
  s.deliver(table(1, {0, 1, 1}));
  s.run(0.1);
  EXPECT_EQ(s.weight(0, "w0"), 0);
  s.forwarders[0]->restart();  // its own configuration lists w0
  s.run(0.3);
  EXPECT_EQ(s.left, 1);
  EXPECT_EQ(s.joined, 2);
  EXPECT_EQ(s.weight(0, "w0"), 0);
  EXPECT_EQ(s.weight(0, "w1"), 256);
}

TEST(Driver, ARestartBetweenReadingAndSettingEndsWithWhatIsWanted) {
  Stage s{1};
  s.deliver(table(1, {1, 1, 1, 1}));
  s.run(0.2);
  // Lines vanish behind the driver's back: the next set is answered 'No such server'.
  s.say(0, "set server read/w3 state maint; del server read/w3");
  s.deliver(table(2, {1, 1, 1, 0.5}));
  s.run(0.8);
  EXPECT_EQ(s.weight(0, "w3"), 128);
}

TEST(Driver, HalfAnAnswerIsNotTakenForTheWhole) {
  Stage s{1};
  s.run(0.1);
  s.deliver(table(1, {1, 1, 1, 1, 1, 1, 1, 1}));
  s.run(0.1);
  s.forwarders[0]->inject_fault(InjectedFaultKind::forwarder_half);
  s.run(0.6);
  s.forwarders[0]->inject_fault(std::nullopt);
  s.run(0.8);
  for (int k = 0; k < 8; ++k) EXPECT_EQ(s.weight(0, "w" + std::to_string(k)), 256);
  EXPECT_GE(s.left + s.events["forwarder_drifted"], 1);
}

TEST(Driver, RefusedCommandsAreSaidAndTriedAgain) {
  Stage s{1};
  s.run(0.1);
  s.forwarders[0]->inject_fault(InjectedFaultKind::forwarder_refuse);
  s.deliver(table(1, {1, 1}));
  s.run(0.6);
  EXPECT_GE(s.events["command_refused"], 2);
  EXPECT_TRUE(s.holds.empty()) << "in force only when the forwarder says so";
  s.forwarders[0]->inject_fault(std::nullopt);
  s.run(0.6);
  EXPECT_EQ((s.holds[ProxyId{30000}]), 1U);
}

TEST(Driver, OneThatDoesNotAnswerIsGivenUpAndDelaysNobody) {
  Stage s{20};
  s.run(0.2);
  s.forwarders[3]->inject_fault(InjectedFaultKind::forwarder_slow);
  s.deliver(table(1, {1, 1, 1}));
  s.run(0.2);
  EXPECT_EQ(s.holds.size(), 19U);
  EXPECT_LT(s.slowest, Span::seconds(0.2));
  s.run(0.6);
  EXPECT_GE(s.left, 1);
  EXPECT_NE(s.said.find("no answer in time"), std::string::npos);
}

TEST(Driver, LiesAreDoubted) {
  Stage s{1};
  s.run(0.1);
  s.say(0, "show info");
  // A call that fails makes tries; then it claims fifty errors for each.
  const auto attempt = net::connect(s.loop, s.forwarders[0]->settings().listen, {}, [&](net::Fd fd, int) {
    s.peer = net::Connection::make(
        s.loop, std::move(fd), {}, [](std::string_view in) { return in.size(); }, [](const char*) {});
    s.peer->send("POST /invoke/read HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1");
  });
  s.run(0.1);
  s.forwarders[0]->inject_fault(InjectedFaultKind::forwarder_lie);
  s.run(0.2);
  EXPECT_GE(s.events["report_doubted"], 1);
}

// A change cut off at some moment, by breaking the stream: the forwarder always has a worker, and ends as
// wanted. The property over every prefix of the commands is Plan.IsSafeAtEveryPrefix.
TEST(Driver, AChangeCutAnywhereEndsWhole) {
  std::mt19937 chance{3};
  Stage s{1};
  s.run(0.1);
  for (int round = 0; round < 40; ++round) {
    std::vector<double> weights(12);
    for (auto& w : weights) w = chance() % 3 == 0 ? 0 : 0.05 * (1 + chance() % 20);
    weights[chance() % 12] = 1;
    s.deliver(table(static_cast<std::uint64_t>(10 + round), weights));
    s.run(0.0002 * (chance() % 8));
    s.forwarders[0]->break_streams();
    const auto held = s.seen(0);
    int picked = 0;
    for (const auto& [key, line] : held.lines) picked += line.effective_weight();
    EXPECT_GT(picked, 0) << "round " << round;
  }
  s.run(0.5);
  const auto held = s.seen(0);
  for (const auto& line : s.wanted->operations[0].lines)
    EXPECT_GT(held.lines.at({"read", line.name}).effective_weight(), 0);
}

// Two controllers that both believe to lead: the forwarder obeys the later one. Without its fence the auditor
// finds the break.
std::string two_that_believe(bool fences) {
  const auto folder =
      std::filesystem::temp_directory_path() / ("fence-" + std::to_string(getpid()) + (fences ? "a" : "b"));
  std::filesystem::create_directories(folder);
  net::Loop loop;
  {
    standins::Recorder recorder{(folder / "f.records").string()};
    standins::DayOperation op{"read", "idempotent", 1, {}, Span::seconds(1), Span::seconds(2), 1};
    const Endpoint at = *Endpoint::parse("127.6.5.1:19999");
    Forwarder forwarder{loop,
                        recorder,
                        {"f",
                         "a",
                         *Endpoint::parse("127.6.5.1:18000"),
                         at,
                         {op},
                         {{"w0", "a", *Endpoint::parse("127.6.0.1:9000"), 1, false}},
                         false,
                         fences},
                        1};
    const auto make = [&] {
      return std::make_unique<Driver>(loop,
                                      DriverSettings{{{ProxyId{30000}, "f", at, ""}},
                                                     {"read"},
                                                     true,
                                                     Span::seconds(1),
                                                     Span::seconds(0.1),
                                                     Span::seconds(0.5),
                                                     Span::seconds(0.05)},
                                      DriverHooks{[](coordinator::Input) {},
                                                  [](const std::string&) { return std::nullopt; },
                                                  [](bool, const std::string&, const auto&) {},
                                                  {},
                                                  [](ProxyId, std::uint64_t, Span, std::size_t) {}});
    };
    const auto run = [&](double s) {
      loop.after(Span::seconds(s), [&] { loop.stop(); });
      loop.run();
    };
    const auto older = make(), later = make();
    older->set_term(ProxyId{30000}, 5);
    run(0.05);
    older->deliver(ProxyId{30000}, table(1, {1, 0.5}));
    run(0.1);
    later->set_term(ProxyId{30000}, 6);
    run(0.05);
    later->deliver(ProxyId{30000}, table(2, {0.25, 1}));
    run(0.1);
    older->deliver(ProxyId{30000}, table(3, {1, 0.1}));  // it stood still, and wakes
    run(0.4);
  }
  standins::Day day;
  day.shared = true, day.forwarders.resize(1);
  std::string broken;
  for (const auto& v : standins::audit(day, standins::read_records(folder.string())).verdicts)
    if (!v.kept) broken += v.rule;
  std::filesystem::remove_all(folder);
  return broken;
}

TEST(Fence, OfTwoThatBothBelieveTheLaterIsObeyed) {
  EXPECT_EQ(two_that_believe(true), "");
  EXPECT_EQ(two_that_believe(false), "terms only grow at a forwarder");
}

// The language's manners on the server's side.
TEST(CommandServer, OneShotInteractiveJoinedAndPayload) {
  net::Loop loop;
  std::string payloads;
  CommandServer server{loop,
                       [&](std::uint64_t, const std::string& c, const std::string& p) {
                         payloads += p;
                         return "<" + c + ">";
                       },
                       {4, 200, 100, Span::seconds(5)}};
  const Endpoint at = *Endpoint::parse("127.6.2.1:19998");
  server.listen(at);
  const auto talk = [&](const std::string& text) {
    std::string got;
    std::shared_ptr<net::Connection> c;
    const auto attempt = net::connect(loop, at, {}, [&](net::Fd fd, int) {
      c = net::Connection::make(
          loop, std::move(fd), {}, [&](std::string_view in) { return got += in, in.size(); },
          [&](const char*) { got += "|closed"; });
      c->send(text);
    });
    loop.after(Span::seconds(0.03), [&] { loop.stop(); });
    loop.run();
    return got;
  };
  EXPECT_EQ(talk("a; b\n"), "<a>\n\n<b>\n\n|closed");
  EXPECT_EQ(talk("prompt\na\nb;c\n"), "\n> <a>\n\n> <b>\n<c>\n\n> ");
  EXPECT_EQ(talk("prompt\na\nquit\n"), "\n> <a>\n\n> |closed");
  EXPECT_EQ(talk("load <<\nx\ny\n\n"), "<load>\n\n|closed");
  EXPECT_EQ(payloads, "x\ny\n");
  EXPECT_EQ(talk("half a li"), "");
  EXPECT_EQ(talk(std::string(300, 'x')), "Line too long.\n|closed");
}

struct Desk : ::testing::Test {
  Desk()
      : operators{rig.core,
                  [this](const coordinator::OperatorCommand& o) {
                    const auto e = rig.step({o});
                    return e.command_results.empty() ? "" : e.command_results.back();
                  },
                  [] { return std::vector<Driver::Status>{}; }, "a-secret-of-sixteen"} {
    rig.seconds(4);
  }
  std::string ask(const std::string& command) { return operators.handle(1, true, command); }
  coordinator::Rig rig{12};
  OperatorConsole operators;
};

TEST_F(Desk, ShowsWhatIs) {
  EXPECT_NE(ask("show table 1").find("w11"), std::string::npos);
  EXPECT_NE(ask("show backend w3").find("127.0.1.4:9000"), std::string::npos);
  EXPECT_NE(ask("show zones").find("0.3333"), std::string::npos);
  EXPECT_NE(ask("show table").find("w11"), std::string::npos);
  EXPECT_NE(ask("show proxies").find("ga"), std::string::npos);
  EXPECT_NE(ask("show channel json").find("\"backlog\":\"2000\""), std::string::npos);
  EXPECT_EQ(ask("show ladder"), "none\n");
  EXPECT_NE(ask("help").find("drain zone ZONE"), std::string::npos);
}

TEST_F(Desk, BadInputIsOneLineAndChangesNothing) {
  for (const char* bad : {"shw zones", "show zons", "show backend w99", "show table 77", "set weight w1",
                          "set weight w1 x", "set weight w1 nan", "set weight w1 -1", "set weight w1 0",
                          "set weight w1 2 for ever", "set weight w99 1", "drain zone nowhere", "drain",
                          "disable backend", "disable backend w99", "\x01\xff", "hold on"}) {
    const auto answer = ask(bad);
    EXPECT_FALSE(answer.empty()) << bad;
    EXPECT_EQ(std::count(answer.begin(), answer.end(), '\n'), 1) << bad << ": " << answer;
  }
  rig.seconds(2);
  for (unsigned k = 0; k < 12; ++k) EXPECT_EQ(rig.weight(0, k), 1);
}

TEST_F(Desk, AWeightHoldsForItsLifetime) {
  EXPECT_EQ(ask("set weight w1 0.5 for 5s"), "");
  rig.seconds(2);
  EXPECT_DOUBLE_EQ(rig.weight(0, 1), 0.5);
  EXPECT_NE(ask("show backend w1").find("yes"), std::string::npos);
  rig.seconds(6);
  EXPECT_DOUBLE_EQ(rig.weight(0, 1), 1);
}

TEST_F(Desk, AZoneIsDrainedInStepsAndComesBackInTrials) {
  EXPECT_EQ(ask("drain zone a"), "");
  rig.seconds(1);
  EXPECT_NEAR(rig.weight(0, 0), 2.0 / 3, 1e-6);
  rig.seconds(2);
  EXPECT_NEAR(rig.weight(0, 0), 1.0 / 3, 1e-6);
  rig.seconds(2.5);
  EXPECT_EQ(rig.weight(0, 0), 0);
  EXPECT_EQ(ask("drain zone b"), "");
  EXPECT_NE(ask("drain zone c").find("no ready backend"), std::string::npos) << "the last one is refused";
  EXPECT_NE(ask("disable backend w99").find("no backend is called"), std::string::npos);
  EXPECT_EQ(ask("undrain zone a"), "");
  rig.seconds(1);
  EXPECT_NEAR(rig.weight(0, 0), 0.01, 1e-6);
  rig.seconds(35);
  EXPECT_NEAR(rig.weight(0, 0), 1, 1e-6);
}

TEST_F(Desk, APersonsDrainDuringAnAutomaticOne) {
  for (unsigned k = 0; k < 12; k += 3) rig.workers[k].error_part = 0.9;  // zone a goes bad by itself
  rig.seconds(3);
  EXPECT_EQ(ask("drain zone a"), "");
  rig.seconds(6);
  for (unsigned k = 0; k < 12; k += 3) EXPECT_EQ(rig.weight(0, k), 0);
  for (unsigned k = 0; k < 12; k += 3) rig.workers[k].error_part = 0;
  rig.seconds(20);
  for (unsigned k = 0; k < 12; k += 3)
    EXPECT_EQ(rig.weight(0, k), 0) << "well again, but a person's order stands";
  EXPECT_EQ(ask("undrain zone a"), "");
  rig.seconds(60);
  EXPECT_GT(rig.weight(0, 0), 0.9);
}

TEST_F(Desk, HoldFreezesAllButWhatRulesForce) {
  EXPECT_EQ(ask("hold"), "");
  rig.workers[1].error_part = 0.9;
  auto roster = rig.roster;
  roster[2].availability = Availability::draining;
  rig.step({coordinator::RosterUpdate{roster}});
  rig.seconds(5);
  EXPECT_EQ(rig.weight(0, 1), 1) << "a decision, held";
  EXPECT_EQ(rig.weight(0, 2), 0) << "rule 3";
  EXPECT_EQ(ask("release"), "");
  rig.seconds(1);
  EXPECT_LT(rig.weight(0, 1), 1);
}

TEST_F(Desk, OverTcpNothingIsToldBeforeTheToken) {
  EXPECT_NE(operators.handle(5, false, "show zones").find("denied"), std::string::npos);
  EXPECT_NE(operators.handle(5, false, "token a-secret-of-sixteeN").find("denied"), std::string::npos);
  EXPECT_EQ(operators.handle(5, false, "token a-secret-of-sixteen"), "");
  EXPECT_EQ(operators.handle(5, false, "show zones").find("denied"), std::string::npos);
  operators.disconnected(5);
  EXPECT_NE(operators.handle(5, false, "show zones").find("denied"), std::string::npos);
}

// One set of inputs, both fronts: the shares are the same, but for the rounding to whole weights.
TEST(Fronts, PublishTheSameShares) {
  auto s = coordinator::test_settings();
  s.forwarders = {{"f", ZoneId{0}, {}, 20}};
  coordinator::Rig rig{12, s};
  std::shared_ptr<const DesiredTable> held;
  const auto play = [&](double length) {
    for (double t = 0; t < length; t += 0.1) {
      rig.seconds(0.1);
      for (const auto& d :
           rig.step({coordinator::ForwarderJoined{ProxyId{coordinator::kFirstForwarderId}}}).deliveries)
        held = d.table;
      for (const auto& d : rig.deliveries) held = d.table;
      rig.deliveries.clear();
    }
  };
  play(4);
  rig.workers[4].down = true, rig.workers[7].error_part = 0.9;
  rig.restart(2, "second");
  for (int moment = 0; moment < 8; ++moment) {
    play(1);
    ASSERT_TRUE(held);
    const auto numbers = forwarders::integer_weights(held->operations[0].lines);
    double sum = 0;
    for (const int n : numbers) sum += n;
    std::map<std::string, double> part;
    for (std::size_t k = 0; k < numbers.size(); ++k)
      part[held->operations[0].lines[k].name] = numbers[k] / sum;
    for (unsigned k = 0; k < 12; ++k)
      EXPECT_NEAR(part["w" + std::to_string(k)], rig.weight(0, k) / rig.total(0), 0.004)
          << "moment " << moment << " worker " << k;
  }
}

// Forwarders of two zones contradict each other about a third's workers: the way is to blame, not the
// workers.
TEST(Fronts, ContradictingReportsAreAnsweredByTheLink) {
  auto s = coordinator::test_settings();
  s.groups.resize(1), s.groups[0].name = "elsewhere", s.groups[0].sources.clear();
  for (std::uint16_t k = 0; k < 4; ++k)
    s.forwarders.push_back({"f" + std::to_string(k), ZoneId{static_cast<std::uint16_t>(k % 2)}, {}, 60});
  coordinator::Rig rig{12, s};
  rig.rate = 0;
  std::map<ProxyId, std::shared_ptr<const DesiredTable>> held;
  for (int round = 0; round < 24; ++round) {
    std::vector<coordinator::Input> inputs;
    for (std::uint16_t k = 0; k < 4; ++k) {
      const ProxyId id{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k)};
      inputs.emplace_back(coordinator::ForwarderJoined{id});
      coordinator::ForwarderReport met{id, {}, {{OperationId{0}, 30}}};
      for (unsigned w = 0; w < 12; ++w)
        met.rows.push_back({*rig.core.backend_id("w" + std::to_string(w)), OperationId{0}, 8,
                            k % 2 == 0 && w % 3 == 2 && round > 8 ? 8 : 0, Span::seconds(0.2)});
      inputs.emplace_back(std::move(met));
    }
    rig.step(inputs);
    rig.seconds(0.5);
    for (const auto& d : rig.deliveries) held[d.forwarder] = d.table;
    rig.deliveries.clear();
  }
  const auto lines_of_c = [&](std::uint16_t k) {
    std::size_t n = 0;
    for (const auto& line :
         held[ProxyId{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k)}]->operations[0].lines)
      n += std::stoi(line.name.substr(1)) % 3 == 2;
    return n;
  };
  EXPECT_EQ(lines_of_c(0), 0U);
  EXPECT_EQ(lines_of_c(1), 4U);
}

// 150 forwarders that join at once: the channel and the cap on messages hold, and all are led in the end.
TEST(Fronts, AStormOfJoinsKeepsTheChannel) {
  auto s = coordinator::test_settings();
  s.backlog = 1500, s.lines_per_second = 1500, s.messages_most = 30;
  for (int k = 0; k < 150; ++k)
    s.forwarders.push_back({"f" + std::to_string(k), ZoneId{static_cast<std::uint16_t>(k % 3)}, {}, 5});
  coordinator::Rig rig{60, s};
  std::set<ProxyId> led;
  for (int storm = 0; storm < 2; ++storm) {
    std::vector<coordinator::Input> joins;
    for (std::uint16_t k = 0; k < 150; ++k) {
      const ProxyId id{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k)};
      joins.emplace_back(coordinator::ForwarderLeft{id});
      joins.emplace_back(coordinator::ForwarderJoined{id});
    }
    rig.step(joins);
    led.clear();
    for (int t = 0; t < 200; ++t) {
      rig.seconds(0.1);
      for (const auto& d : rig.deliveries) led.insert(d.forwarder);
      rig.deliveries.clear();
    }
    EXPECT_EQ(led.size(), 150U);
  }
  EXPECT_LE(rig.core.counters().peak_backlog, 1500);
}

}  // namespace
}  // namespace gorsemount::runtime_api
