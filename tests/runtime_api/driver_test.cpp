// Tests the driver against stand-in forwarders on real sockets with injected faults, and the operator
// console.
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
  auto desired = std::make_shared<DesiredTable>();
  desired->version = version;
  desired->operations.push_back({"read", {}, {}, -1});
  for (std::size_t k = 0; k < weights.size(); ++k) {
    const std::string name = "w" + std::to_string(k);
    desired->known_backends.push_back(name);
    if (weights[k] > 0)
      desired->operations[0].lines.push_back({BackendId{static_cast<std::uint32_t>(k)}, name,
                                              *Endpoint::parse("127.6.0." + std::to_string(k + 1) + ":9000"),
                                              weights[k], false});
  }
  return desired;
}

struct DriverFixture {
  explicit DriverFixture(std::size_t n) : recorder{file.string()} {
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
                          j != nullptr && desired)
                        driver->deliver(j->forwarder, desired);
                    },
                    [](const std::string&) { return BackendId{1}; },
                    [this](bool, const std::string& event,
                           const std::vector<std::pair<std::string, std::string>>& fields) {
                      ++events[event];
                      for (const auto& [key, value] : fields)
                        log_text += event + " " + key + "=" + value + "\n";
                    },
                    {},
                    [this](ProxyId id, std::uint64_t version, Span latency, std::size_t) {
                      applied_versions[id] = version, max_latency = std::max(max_latency, latency);
                    }});
  }
  ~DriverFixture() {
    driver.reset();
    forwarders.clear();
    std::filesystem::remove(file);
  }
  void run(double s) {
    loop.after(Span::seconds(s), [this] { loop.stop(); });
    loop.run();
  }
  void deliver(std::shared_ptr<DesiredTable> table) {
    desired = std::move(table);
    for (std::size_t k = 0; k < forwarders.size(); ++k)
      driver->deliver(ProxyId{static_cast<std::uint16_t>(30000 + k)}, desired);
  }
  // Reads the actual table over a separate connection.
  forwarders::ActualTable read_table(std::size_t k) {
    std::string text;
    const auto attempt = net::connect(loop, forwarders[k]->settings().runtime, {}, [&](net::Fd fd, int) {
      peer = net::Connection::make(
          loop, std::move(fd), {1U << 20U, 1U << 20U, Span::seconds(9)},
          [&](std::string_view in) { return text += in, in.size(); }, [](const char*) {});
      peer->send("show servers state\n");
    });
    run(0.05);
    const auto read = parse_servers_state(text);
    return std::holds_alternative<forwarders::ActualTable>(read) ? std::get<forwarders::ActualTable>(read)
                                                                 : forwarders::ActualTable{};
  }
  void send_command(std::size_t k, const std::string& command) {
    const auto attempt = net::connect(loop, forwarders[k]->settings().runtime, {}, [&](net::Fd fd, int) {
      peer = net::Connection::make(
          loop, std::move(fd), {1U << 20U, 1U << 20U, Span::seconds(9)},
          [](std::string_view in) { return in.size(); }, [](const char*) {});
      peer->send(command + "\n");
    });
    run(0.05);
  }
  int weight(std::size_t k, const std::string& worker) {
    const auto actual = read_table(k);
    const auto it = actual.lines.find({"read", worker});
    return it == actual.lines.end() ? -1 : it->second.effective_weight();
  }

  std::filesystem::path file =
      std::filesystem::temp_directory_path() / ("driver-test-" + std::to_string(getpid()));
  net::Loop loop;
  standins::Recorder recorder;
  std::vector<std::unique_ptr<Forwarder>> forwarders;
  std::shared_ptr<net::Connection> peer;
  std::shared_ptr<DesiredTable> desired;
  std::unique_ptr<Driver> driver;
  std::map<std::string, int> events;
  std::map<ProxyId, std::uint64_t> applied_versions;
  std::string log_text;
  Span max_latency;
  int joined = 0, left = 0;
};

TEST(Driver, ReadsTheTableThenSendsTheDifferenceAndConfirms) {
  DriverFixture s{1};
  s.run(0.1);
  EXPECT_EQ(s.joined, 1);
  EXPECT_EQ(s.weight(0, "w0"), 100) << "unchanged until a table is delivered";
  s.deliver(table(7, {1, 0.5, 0.25}));
  s.run(0.1);
  EXPECT_EQ((s.applied_versions[ProxyId{30000}]), 7U);
  EXPECT_EQ(s.weight(0, "w0"), 256);
  EXPECT_EQ(s.weight(0, "w1"), 128);
  s.deliver(table(8, {0, 0.5, 0.25}));
  s.run(0.1);
  EXPECT_EQ(s.weight(0, "w0"), 0);
}

TEST(Driver, WorksOverAUnixSocket) {
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
  std::uint64_t applied_version = 0;
  driver = std::make_unique<Driver>(
      loop, s,
      DriverHooks{[&](coordinator::Input i) {
                    if (std::holds_alternative<coordinator::ForwarderJoined>(i))
                      driver->deliver(ProxyId{30000}, table(5, {1, 1}));
                  },
                  [](const std::string&) { return std::nullopt; },
                  [](bool, const std::string&, const auto&) {},
                  {},
                  [&](ProxyId, std::uint64_t version, Span, std::size_t) { applied_version = version; }});
  loop.after(Span::seconds(0.1), [&] { loop.stop(); });
  loop.run();
  EXPECT_EQ(applied_version, 5U);
}

TEST(Driver, DetectsAndRepairsDrift) {
  DriverFixture s{1};
  s.deliver(table(1, {1, 1}));
  s.run(0.2);
  s.deliver(table(2, {1, 1}));
  s.run(0.1);
  s.send_command(0, "set server read/w1 weight 3");
  s.run(0.3);
  EXPECT_EQ(s.weight(0, "w1"), 256);
  EXPECT_EQ(s.events["forwarder_drifted"], 1);
  EXPECT_NE(s.log_text.find("read/w1 has weight 3"), std::string::npos) << s.log_text;
}

TEST(Driver, ReconfiguresARestartedForwarder) {
  DriverFixture s{1};
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

TEST(Driver, ConvergesWhenALineVanishesBetweenReadAndChange) {
  DriverFixture s{1};
  s.deliver(table(1, {1, 1, 1, 1}));
  s.run(0.2);
  // The line is deleted over another connection, so the next change is answered 'No such server'.
  s.send_command(0, "set server read/w3 state maint; del server read/w3");
  s.deliver(table(2, {1, 1, 1, 0.5}));
  s.run(0.8);
  EXPECT_EQ(s.weight(0, "w3"), 128);
}

TEST(Driver, RecoversFromTruncatedAnswers) {
  DriverFixture s{1};
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

TEST(Driver, LogsAndRetriesRefusedCommands) {
  DriverFixture s{1};
  s.run(0.1);
  s.forwarders[0]->inject_fault(InjectedFaultKind::forwarder_refuse);
  s.deliver(table(1, {1, 1}));
  s.run(0.6);
  EXPECT_GE(s.events["command_refused"], 2);
  EXPECT_TRUE(s.applied_versions.empty()) << "applied only when the forwarder confirms it";
  s.forwarders[0]->inject_fault(std::nullopt);
  s.run(0.6);
  EXPECT_EQ((s.applied_versions[ProxyId{30000}]), 1U);
}

TEST(Driver, DisconnectsAnUnresponsiveForwarderWithoutDelayingOthers) {
  DriverFixture s{20};
  s.run(0.2);
  s.forwarders[3]->inject_fault(InjectedFaultKind::forwarder_slow);
  s.deliver(table(1, {1, 1, 1}));
  s.run(0.2);
  EXPECT_EQ(s.applied_versions.size(), 19U);
  EXPECT_LT(s.max_latency, Span::seconds(0.2));
  s.run(0.6);
  EXPECT_GE(s.left, 1);
  EXPECT_NE(s.log_text.find("no answer in time"), std::string::npos);
}

TEST(Driver, RejectsInconsistentCounters) {
  DriverFixture s{1};
  s.run(0.1);
  s.send_command(0, "show info");
  // A failed request is counted as tries; the fault then reports fifty errors for each.
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

// The connection breaks during a change: the forwarder always has a worker to select, and reaches the desired
// table in the end. Plan.IsSafeAtEveryPrefix covers every prefix of the commands.
TEST(Driver, ConvergesAfterInterruptedChanges) {
  std::mt19937 random{3};
  DriverFixture s{1};
  s.run(0.1);
  for (int round = 0; round < 40; ++round) {
    std::vector<double> weights(12);
    for (auto& w : weights) w = random() % 3 == 0 ? 0 : 0.05 * (1 + random() % 20);
    weights[random() % 12] = 1;
    s.deliver(table(static_cast<std::uint64_t>(10 + round), weights));
    s.run(0.0002 * (random() % 8));
    s.forwarders[0]->break_streams();
    const auto actual = s.read_table(0);
    int picked = 0;
    for (const auto& [key, line] : actual.lines) picked += line.effective_weight();
    EXPECT_GT(picked, 0) << "round " << round;
  }
  s.run(0.5);
  const auto actual = s.read_table(0);
  for (const auto& line : s.desired->operations[0].lines)
    EXPECT_GT(actual.lines.at({"read", line.name}).effective_weight(), 0);
}

// Two controllers believe that they manage the forwarder at the same time. With fencing it obeys only the
// higher term; without fencing the auditor reports the violation.
std::string audit_two_controllers(bool fencing) {
  const auto folder =
      std::filesystem::temp_directory_path() / ("fence-" + std::to_string(getpid()) + (fencing ? "a" : "b"));
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
                         fencing},
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
    older->deliver(ProxyId{30000}, table(3, {1, 0.1}));  // resumes after a stall, with a stale term
    run(0.4);
  }
  standins::Day day;
  day.shared = true, day.forwarders.resize(1);
  std::string violations;
  for (const auto& v : standins::audit(day, standins::read_records(folder.string())).verdicts)
    if (!v.kept) violations += v.rule;
  std::filesystem::remove_all(folder);
  return violations;
}

TEST(Fencing, ForwarderObeysTheHigherTerm) {
  EXPECT_EQ(audit_two_controllers(true), "");
  EXPECT_EQ(audit_two_controllers(false), "terms only grow at a forwarder");
}

TEST(CommandServer, SupportsOneShotInteractiveJoinedAndPayloadCommands) {
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
  const auto exchange = [&](const std::string& text) {
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
  EXPECT_EQ(exchange("a; b\n"), "<a>\n\n<b>\n\n|closed");
  EXPECT_EQ(exchange("prompt\na\nb;c\n"), "\n> <a>\n\n> <b>\n<c>\n\n> ");
  EXPECT_EQ(exchange("prompt\na\nquit\n"), "\n> <a>\n\n> |closed");
  EXPECT_EQ(exchange("load <<\nx\ny\n\n"), "<load>\n\n|closed");
  EXPECT_EQ(payloads, "x\ny\n");
  EXPECT_EQ(exchange("half a li"), "");
  EXPECT_EQ(exchange(std::string(300, 'x')), "Line too long.\n|closed");
}

struct OperatorConsoleTest : ::testing::Test {
  OperatorConsoleTest()
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

TEST_F(OperatorConsoleTest, ShowsTheState) {
  EXPECT_NE(ask("show table 1").find("w11"), std::string::npos);
  EXPECT_NE(ask("show backend w3").find("127.0.1.4:9000"), std::string::npos);
  EXPECT_NE(ask("show zones").find("0.3333"), std::string::npos);
  EXPECT_NE(ask("show table").find("w11"), std::string::npos);
  EXPECT_NE(ask("show proxies").find("ga"), std::string::npos);
  EXPECT_NE(ask("show channel json").find("\"backlog\":\"2000\""), std::string::npos);
  EXPECT_EQ(ask("show ladder"), "none\n");
  EXPECT_NE(ask("help").find("drain zone ZONE"), std::string::npos);
}

TEST_F(OperatorConsoleTest, InvalidCommandsGetOneLineAndChangeNothing) {
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

TEST_F(OperatorConsoleTest, AWeightOverrideExpires) {
  EXPECT_EQ(ask("set weight w1 0.5 for 5s"), "");
  rig.seconds(2);
  EXPECT_DOUBLE_EQ(rig.weight(0, 1), 0.5);
  EXPECT_NE(ask("show backend w1").find("yes"), std::string::npos);
  rig.seconds(6);
  EXPECT_DOUBLE_EQ(rig.weight(0, 1), 1);
}

TEST_F(OperatorConsoleTest, DrainsAZoneInStepsAndRestoresItInTrials) {
  EXPECT_EQ(ask("drain zone a"), "");
  rig.seconds(1);
  EXPECT_NEAR(rig.weight(0, 0), 2.0 / 3, 1e-6);
  rig.seconds(2);
  EXPECT_NEAR(rig.weight(0, 0), 1.0 / 3, 1e-6);
  rig.seconds(2.5);
  EXPECT_EQ(rig.weight(0, 0), 0);
  EXPECT_EQ(ask("drain zone b"), "");
  EXPECT_NE(ask("drain zone c").find("no ready backend"), std::string::npos)
      << "the last zone may not be drained";
  EXPECT_NE(ask("disable backend w99").find("no backend is called"), std::string::npos);
  EXPECT_EQ(ask("undrain zone a"), "");
  rig.seconds(1);
  EXPECT_NEAR(rig.weight(0, 0), 0.01, 1e-6);
  rig.seconds(35);
  EXPECT_NEAR(rig.weight(0, 0), 1, 1e-6);
}

TEST_F(OperatorConsoleTest, AnOperatorDrainOutlastsAnAutomaticOne) {
  for (unsigned k = 0; k < 12; k += 3) rig.workers[k].error_part = 0.9;  // zone a is drained automatically
  rig.seconds(3);
  EXPECT_EQ(ask("drain zone a"), "");
  rig.seconds(6);
  for (unsigned k = 0; k < 12; k += 3) EXPECT_EQ(rig.weight(0, k), 0);
  for (unsigned k = 0; k < 12; k += 3) rig.workers[k].error_part = 0;
  rig.seconds(20);
  for (unsigned k = 0; k < 12; k += 3)
    EXPECT_EQ(rig.weight(0, k), 0) << "healthy again, but the operator drain stands";
  EXPECT_EQ(ask("undrain zone a"), "");
  rig.seconds(60);
  EXPECT_GT(rig.weight(0, 0), 0.9);
}

TEST_F(OperatorConsoleTest, HoldFreezesAllButRequiredChanges) {
  EXPECT_EQ(ask("hold"), "");
  rig.workers[1].error_part = 0.9;
  auto roster = rig.roster;
  roster[2].availability = Availability::draining;
  rig.step({coordinator::RosterUpdate{roster}});
  rig.seconds(5);
  EXPECT_EQ(rig.weight(0, 1), 1) << "decision deferred by hold";
  EXPECT_EQ(rig.weight(0, 2), 0) << "a draining backend gets no weight even during hold";
  EXPECT_EQ(ask("release"), "");
  rig.seconds(1);
  EXPECT_LT(rig.weight(0, 1), 1);
}

TEST_F(OperatorConsoleTest, TcpConnectionsMustAuthenticate) {
  EXPECT_NE(operators.handle(5, false, "show zones").find("denied"), std::string::npos);
  EXPECT_NE(operators.handle(5, false, "token a-secret-of-sixteeN").find("denied"), std::string::npos);
  EXPECT_EQ(operators.handle(5, false, "token a-secret-of-sixteen"), "");
  EXPECT_EQ(operators.handle(5, false, "show zones").find("denied"), std::string::npos);
  operators.disconnected(5);
  EXPECT_NE(operators.handle(5, false, "show zones").find("denied"), std::string::npos);
}

// Forwarders and client groups get the same shares from the same inputs, up to integer rounding.
TEST(Forwarders, GetTheSameSharesAsGroups) {
  auto s = coordinator::test_settings();
  s.forwarders = {{"f", ZoneId{0}, {}, 20}};
  coordinator::Rig rig{12, s};
  std::shared_ptr<const DesiredTable> delivered;
  const auto run = [&](double length) {
    for (double t = 0; t < length; t += 0.1) {
      rig.seconds(0.1);
      for (const auto& d :
           rig.step({coordinator::ForwarderJoined{ProxyId{coordinator::kFirstForwarderId}}}).deliveries)
        delivered = d.table;
      for (const auto& d : rig.deliveries) delivered = d.table;
      rig.deliveries.clear();
    }
  };
  run(4);
  rig.workers[4].down = true, rig.workers[7].error_part = 0.9;
  rig.restart(2, "second");
  for (int round = 0; round < 8; ++round) {
    run(1);
    ASSERT_TRUE(delivered);
    const auto weights = forwarders::integer_weights(delivered->operations[0].lines);
    double sum = 0;
    for (const int n : weights) sum += n;
    std::map<std::string, double> shares;
    for (std::size_t k = 0; k < weights.size(); ++k)
      shares[delivered->operations[0].lines[k].name] = weights[k] / sum;
    for (unsigned k = 0; k < 12; ++k)
      EXPECT_NEAR(shares["w" + std::to_string(k)], rig.weight(0, k) / rig.total(0), 0.004)
          << "round " << round << " worker " << k;
  }
}

// Forwarders in two zones contradict each other about the workers of a third zone, so the link between zones
// is at fault and not the workers.
TEST(Forwarders, ContradictingReportsReduceTheLink) {
  auto s = coordinator::test_settings();
  s.groups.resize(1), s.groups[0].name = "elsewhere", s.groups[0].sources.clear();
  for (std::uint16_t k = 0; k < 4; ++k)
    s.forwarders.push_back({"f" + std::to_string(k), ZoneId{static_cast<std::uint16_t>(k % 2)}, {}, 60});
  coordinator::Rig rig{12, s};
  rig.rate = 0;
  std::map<ProxyId, std::shared_ptr<const DesiredTable>> delivered;
  for (int round = 0; round < 24; ++round) {
    std::vector<coordinator::Input> inputs;
    for (std::uint16_t k = 0; k < 4; ++k) {
      const ProxyId id{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k)};
      inputs.emplace_back(coordinator::ForwarderJoined{id});
      coordinator::ForwarderReport report{id, {}, {{OperationId{0}, 30}}};
      for (unsigned w = 0; w < 12; ++w)
        report.rows.push_back({*rig.core.backend_id("w" + std::to_string(w)), OperationId{0}, 8,
                               k % 2 == 0 && w % 3 == 2 && round > 8 ? 8 : 0, Span::seconds(0.2)});
      inputs.emplace_back(std::move(report));
    }
    rig.step(inputs);
    rig.seconds(0.5);
    for (const auto& d : rig.deliveries) delivered[d.forwarder] = d.table;
    rig.deliveries.clear();
  }
  const auto lines_of_c = [&](std::uint16_t k) {
    std::size_t n = 0;
    for (const auto& line : delivered[ProxyId{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k)}]
                                ->operations[0]
                                .lines)
      n += std::stoi(line.name.substr(1)) % 3 == 2;
    return n;
  };
  EXPECT_EQ(lines_of_c(0), 0U);
  EXPECT_EQ(lines_of_c(1), 4U);
}

// 150 forwarders join at once: the backlog and message limits hold, and each forwarder gets its table.
TEST(Forwarders, MassJoinsStayWithinTheChannelLimits) {
  auto s = coordinator::test_settings();
  s.backlog = 1500, s.lines_per_second = 1500, s.messages_most = 30;
  for (int k = 0; k < 150; ++k)
    s.forwarders.push_back({"f" + std::to_string(k), ZoneId{static_cast<std::uint16_t>(k % 3)}, {}, 5});
  coordinator::Rig rig{60, s};
  std::set<ProxyId> configured;
  for (int round = 0; round < 2; ++round) {
    std::vector<coordinator::Input> joins;
    for (std::uint16_t k = 0; k < 150; ++k) {
      const ProxyId id{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k)};
      joins.emplace_back(coordinator::ForwarderLeft{id});
      joins.emplace_back(coordinator::ForwarderJoined{id});
    }
    rig.step(joins);
    configured.clear();
    for (int t = 0; t < 200; ++t) {
      rig.seconds(0.1);
      for (const auto& d : rig.deliveries) configured.insert(d.forwarder);
      rig.deliveries.clear();
    }
    EXPECT_EQ(configured.size(), 150U);
  }
  EXPECT_LE(rig.core.counters().peak_backlog, 1500);
}

}  // namespace
}  // namespace gorsemount::runtime_api
