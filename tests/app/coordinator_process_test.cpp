// `gorsemount coordinator` as a process: configuration, reload, shutdown, kill.
#include "app/coordinator_process.hpp"

#include "app/coordinator_config.hpp"

namespace gorsemount::app {
namespace {

using namespace testing;

// ---- The configuration ------------------------------------------------------------------------------------

TEST(CoordinatorConfig, EnvironmentVariablesReplaceMissingFields) {
  const auto text = R"({"seed":"ff","settings":)" + std::string{kSettings} + "}";
  const auto c = parse_coordinator_config(text, [](const char* name) -> std::optional<std::string> {
    const std::string n = name;
    return n == "GW_LISTEN" ? "127.0.0.4:7070" : n == "GW_DISCOVERY" ? "127.0.0.5:8500" : "n3";
  });
  EXPECT_EQ(c.name, "n3");
  EXPECT_EQ(c.listen.text(), "127.0.0.4:7070");
  EXPECT_EQ(c.seed, 255U);
  EXPECT_FALSE(c.initial_backends);
}

TEST(CoordinatorConfig, ExampleFileIsValid) {
  const auto c = read_coordinator_config(
      [](const char*) { return std::optional<std::string>{GORSEMOUNT_EXAMPLE_FILE}; });
  EXPECT_EQ(c.initial_backends->rows.size(), 2U);
  EXPECT_EQ(c.id_names.operations.size(), c.settings.operations.size());
}

TEST(CoordinatorConfig, ErrorsNameTheFieldAndTheReason) {
  const auto parse_error = [](std::string text, const std::string& from,
                              const std::string& to) -> std::string {
    if (const auto at = text.find(from); at != std::string::npos) text.replace(at, from.size(), to);
    try {
      (void)parse_coordinator_config(text, [](const char*) { return std::nullopt; });
    } catch (const std::exception& e) {
      return e.what();
    }
    return "none";
  };
  const auto good = config("127.7.7.11:17032");
  EXPECT_EQ(parse_error(good, "", ""), "none");
  EXPECT_EQ(parse_error(good, "127.7.7.11:17031", "here"),
            "config: 'listen' is not an address and port: here");
  EXPECT_EQ(parse_error(good, R"("discovery":"127.7.7.11:17032",)", ""),
            "config: 'discovery' is missing, and so is GW_DISCOVERY");
  EXPECT_EQ(parse_error(good, R"("memory_mb":64)", R"("memory_mb":0)"), "config.limits: 'memory_mb' is 0");
  EXPECT_EQ(parse_error(good, "8c1f", "xyzw"), "config: 'seed' is not a 64-bit hexadecimal number");
  EXPECT_EQ(parse_error(good, R"("share":1.0)", R"("share":"x")"),
            "config.known.hosts[0]: 'share' is not a number");
  EXPECT_EQ(parse_error(good, R"("lanes")", R"("lines")"), "config.settings: 'lanes' is missing");
  EXPECT_NE(parse_error(good, "}", ""), "none");
  // Unsupported values are rejected, not replaced by a default.
  EXPECT_EQ(parse_error(good, R"("discovery":"subscribe")", R"("discovery":"hourly")"),
            "config.settings: 'discovery' is not known: hourly");
  EXPECT_EQ(parse_error(good, R"("level-kind":"rate")", R"("level-kind":"turns")"),
            "config.settings.family-info: 'level-kind' is not known: turns");
  EXPECT_EQ(parse_error(good, R"("proxies":1,)", R"("proxies":1,"ranges":12,)"),
            "config.settings.family-info: 'ranges' is above 0: key ranges are not supported");
  EXPECT_EQ(parse_error(good, R"("proxies":1,)", R"("proxies":1,"one-owner":true,)"),
            "config.settings.family-info: 'one-owner' is true: owners of key ranges are not supported");
  EXPECT_EQ(parse_error(good, R"("proxies":1,)", R"("proxies":1,"zone-bound":true,)"),
            "config.settings.family-info: 'zone-bound' is not an array");
  EXPECT_EQ(parse_error(good, R"("proxies":1,)", R"("proxies":1,"zone-bound":[true,false,true],)"),
            "config.settings.family-info: 'zone-bound' does not have one entry for each of the lanes");
  EXPECT_EQ(parse_error(good, R"("proxies":1,)", R"("proxies":1,"zone-bound":[1],)"),
            "config.settings.family-info: 'zone-bound' contains a value that is not a boolean");
  EXPECT_EQ(parse_error(good, R"("proxies":1,)", R"("proxies":1,"zone-bound":[true],)"), "none");
  EXPECT_EQ(parse_error(good, R"("proxies":1,)", R"("proxies":70000,)"),
            "config.settings.family-info: 'proxies' is above 65536");
  EXPECT_EQ(parse_error(good, R"("fleet-size":1)", R"("fleet-size":0)"),
            "config.settings: 'fleet-size' is below 1");
  EXPECT_EQ(parse_error(good, R"("zones":["a"])", R"("zones":["a","b","a"])"),
            "config.settings: 'zones' holds a name twice");
  EXPECT_EQ(parse_error(good, R"("zones":["a"])", R"("zones":[])"), "config.settings: 'zones' is empty");
}

TEST_F(CoordinatorProcess, InvalidConfigurationAtStartIsReportedWithExitCode2) {
  EXPECT_EQ(Process{file}.wait(), 2);
  EXPECT_NE(log().find("config.json: can't be read"), std::string::npos);
  write("{\"name\":");
  EXPECT_EQ(Process{file}.wait(), 2);
  EXPECT_NE(log().find("parse error"), std::string::npos);
  write(config("127.7.7.11:17032", "{}"));
  EXPECT_EQ(Process{file}.wait(), 2);
  EXPECT_NE(log().find("config.settings: 'family-info' is missing"), std::string::npos);
}

TEST_F(CoordinatorProcess, ServesReloadsAndStopsOnSigterm) {
  FakeDiscovery old{"127.7.7.11:17032", full_list(2, backend_row("s-1") + "," + backend_row("s-2"))};
  write(config("127.7.7.11:17032"));
  Process process{file};
  ProxyStream s;
  s.send("ping\r\n");
  ASSERT_TRUE(s.receives("pong\r\n"));
  s.send("joined sidecar=0 az=a share=5 standing=1\r\n");
  ASSERT_TRUE(s.receives("full=1"));
  EXPECT_TRUE(s.receives("s-2:"));

  write("not a configuration");
  process.signal(SIGHUP);
  EXPECT_TRUE(wait_for_log("reload_refused"));
  FakeDiscovery fresh{"127.7.7.11:17033",
                      full_list(3, backend_row("s-1") + "," + backend_row("s-2") + "," + backend_row("s-3"))};
  write(config("127.7.7.11:17033"));
  process.signal(SIGHUP);
  EXPECT_TRUE(s.receives("s-3:"));  // the stream stays open and gets the list of the new address
  EXPECT_EQ(fresh.requests, 1);
  EXPECT_FALSE(s.is_closed());

  const auto before = std::chrono::steady_clock::now();
  process.signal(SIGTERM);
  EXPECT_EQ(process.wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - before, 600ms);
}

// A signal that arrives before the event loop runs must not kill the process. The configuration file is a
// FIFO: once it is open for writing, the process is known to be reading it and not yet in its loop.
TEST_F(CoordinatorProcess, SigtermBeforeTheEventLoopRunsExitsCleanly) {
  for (const std::vector<int>& signals :
       {std::vector{SIGTERM}, std::vector{SIGHUP, SIGTERM}, std::vector{SIGTERM, SIGTERM, SIGINT, SIGHUP}}) {
    ASSERT_EQ(::mkfifo(file.c_str(), 0600), 0);
    Process process{file};
    const net::Fd pipe{::open(file.c_str(), O_WRONLY | O_CLOEXEC)};
    const auto text = config("127.7.7.11:17032");
    write(text);  // read on SIGHUP
    for (const int signal : signals) process.signal(signal);
    ASSERT_EQ(::write(pipe.get(), text.data(), text.size()), static_cast<ssize_t>(text.size()));
    const_cast<net::Fd&>(pipe).reset();
    EXPECT_EQ(process.wait(), 0);
    fs::remove(file);
  }
}

// The process is paused while data, connections and signals arrive, so that it handles all of them in one
// loop iteration after SIGCONT.
TEST_F(CoordinatorProcess, SigtermWithPendingInputAnswersAllConnections) {
  FakeDiscovery discovery{"127.7.7.11:17032", full_list(2, backend_row("s-1"))};
  auto text = config("127.7.7.11:17032");
  text.replace(text.find("\"proxies\":1,"), 12, "\"proxies\":2,");
  write(text);
  Process process{file};
  ProxyStream stream, partial;
  stream.send("joined sidecar=0 az=a share=5 standing=1\r\n");
  ASSERT_TRUE(stream.receives("s-1:"));
  partial.send("ping\r\njoined side");
  ASSERT_TRUE(partial.receives("pong\r\n"));
  process.signal(SIGSTOP);
  stream.send("usage sidecar=0 kind=lookup n=4 bad=0 window=1\r\nping\r\n");
  ProxyStream pinging, joining, silent;  // in the listen backlog
  pinging.send("ping\r\n");
  joining.send("joined sidecar=1 az=a share=5 standing=1\r\n");
  write(config("127.7.7.11:17033"));  // no listener there: a connection attempt is in progress too
  process.signal(SIGHUP);
  process.signal(SIGTERM);
  const auto before = std::chrono::steady_clock::now();
  process.signal(SIGCONT);
  EXPECT_TRUE(stream.receives("pong\r\n"));
  EXPECT_TRUE(pinging.receives("pong\r\nrefused"));
  for (ProxyStream* s : {&partial, &silent}) EXPECT_TRUE(s->receives("refused reason=shutting-down\r\n"));
  // The order of ready descriptors is up to the kernel: `joining` may be accepted before the signal is read.
  for (ProxyStream* s : {&stream, &pinging, &partial, &joining, &silent}) EXPECT_TRUE(s->closes_cleanly());
  EXPECT_EQ(process.wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - before, 600ms);
}

TEST_F(CoordinatorProcess, ProxiesBeyondTheDescriptorLimitAreRefused) {
  FakeDiscovery discovery{"127.7.7.11:17032", full_list(2, backend_row("s-1"))};
  auto text = config("127.7.7.11:17032");
  const auto replace = [&](const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
  };
  replace("\"proxies\":1,", "\"proxies\":2400,");
  replace("\"sockets\":256", "\"sockets\":64");
  write(text);
  Process process{file};
  std::vector<std::unique_ptr<ProxyStream>> streams;
  for (int k = 0; k < 30; ++k) {
    streams.push_back(std::make_unique<ProxyStream>());
    streams.back()->send("ping\r\njoined sidecar=" + std::to_string(k));
    ASSERT_TRUE(streams.back()->receives("pong\r\n"));
  }
  for (const auto& s : streams) s->send(" az=a share=5 standing=1\r\n");
  for (const auto& s : streams) EXPECT_TRUE(s->receives("full=1"));
  int refused = 0;
  for (int k = 30; k < 50; ++k) {
    streams.push_back(std::make_unique<ProxyStream>());
    ProxyStream& late = *streams.back();
    late.send("joined sidecar=" + std::to_string(k) + " az=a share=5 standing=1\r\n");
    ASSERT_TRUE(late.receives("\r\n"));
    refused += late.receives("refused reason=no-room\r\n", 0s) ? 1 : 0;
  }
  EXPECT_EQ(refused, 18);  // 40 connections, 8 of them reserved for pending ones: 32 streams
  streams.resize(30);
  for (const auto& s : streams) EXPECT_FALSE(s->is_closed());
}

TEST_F(CoordinatorProcess, RestartsWithoutStateAfterSigkill) {
  FakeDiscovery discovery{"127.7.7.11:17032", full_list(2, backend_row("s-1"))};
  write(config("127.7.7.11:17032"));
  for (int run = 0; run < 3; ++run) {
    Process process{file};
    ProxyStream s;
    s.send("joined sidecar=0 az=a share=5 standing=1\r\n");
    ASSERT_TRUE(s.receives("s-1:")) << run;
    process.signal(SIGKILL);
    EXPECT_EQ(process.wait(), -1);
  }
}

TEST_F(CoordinatorProcess, AddressInUseIsReported) {
  write(config("127.7.7.11:17032"));
  Process first{file};
  ProxyStream s;
  s.send("ping\r\n");
  ASSERT_TRUE(s.receives("pong\r\n"));
  EXPECT_EQ(Process{file}.wait(), 3);
  EXPECT_TRUE(wait_for_log("127.7.7.11:17031"));
}

}  // namespace
}  // namespace gorsemount::app
