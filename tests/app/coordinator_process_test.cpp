// `gorsemount coordinator` as a process: its configuration, SIGHUP, SIGTERM, a kill, beside a stand-in of
// discovery.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include "app/coordinator_config.hpp"
#include "net/loop.hpp"
#include "net/socket.hpp"

namespace gorsemount::app {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

std::string row(const std::string& host) {
  return R"({"host":")" + host +
         R"(","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1.0,"born_ms":0})";
}
std::string whole(int seq, const std::string& rows) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":true,"hosts":[)" + rows + "]}";
}

const char* const kSettings =
    R"({"discovery":"subscribe","family-info":{"backlog":4000,"intake-per-s":1000,"level-kind":"rate","messages-most":0,"per-message":4,"proxies":1,)"
    R"("push-rate":4000,"report-every-s":2,"update-window-s":10,"usual-how":1},)"
    R"("lanes":[{"effect":"read_like","goal-time-s":1,"worth":1,"name":"lookup"}],)"
    R"("fleet-size":1,"limits":{"keepalive-s":15},"rules":{"ask-within-s":10,"cold-from":0.2,"cold-s":15,"drain-grace-s":2,"tip-multiple":4},"zones":["a"]})";

std::string config(const std::string& discovery, const std::string& settings = kSettings) {
  return R"({"name":"n0","listen":"127.7.7.11:17031","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":)" +
         whole(1, row("s-1")) + R"(,"settings":)" + settings + "}";
}

// ---- The configuration ------------------------------------------------------------------------------------

TEST(CoordinatorConfig, VariablesStandInForWhatTheFileLeavesOut) {
  const auto text = R"({"seed":"ff","settings":)" + std::string{kSettings} + "}";
  const auto c = parse_coordinator_config(text, [](const char* name) -> std::optional<std::string> {
    const std::string n = name;
    return n == "GW_LISTEN" ? "127.0.0.4:7070" : n == "GW_DISCOVERY" ? "127.0.0.5:8500" : "n3";
  });
  EXPECT_EQ(c.name, "n3");
  EXPECT_EQ(c.listen.text(), "127.0.0.4:7070");
  EXPECT_EQ(c.seed, 255U);
  EXPECT_FALSE(c.known);
}

TEST(CoordinatorConfig, TheExampleIsWhole) {
  const auto c = read_coordinator_config(
      [](const char*) { return std::optional<std::string>{GORSEMOUNT_EXAMPLE_FILE}; });
  EXPECT_EQ(c.known->rows.size(), 2U);
  EXPECT_EQ(c.labels.operations.size(), c.settings.operations.size());
}

TEST(CoordinatorConfig, FaultsSayWhatAndWhere) {
  const auto fault = [](std::string text, const std::string& from, const std::string& to) -> std::string {
    if (const auto at = text.find(from); at != std::string::npos) text.replace(at, from.size(), to);
    try {
      (void)parse_coordinator_config(text, [](const char*) { return std::nullopt; });
    } catch (const std::exception& e) {
      return e.what();
    }
    return "none";
  };
  const auto good = config("127.7.7.11:17032");
  EXPECT_EQ(fault(good, "", ""), "none");
  EXPECT_EQ(fault(good, "127.7.7.11:17031", "here"), "config: 'listen' is no address and port: here");
  EXPECT_EQ(fault(good, R"("discovery":"127.7.7.11:17032",)", ""),
            "config: 'discovery' is missing, and so is GW_DISCOVERY");
  EXPECT_EQ(fault(good, "8c1f", "xyzw"), "config: 'seed' is no number in hex of 64 bits");
  EXPECT_EQ(fault(good, R"("share":1.0)", R"("share":"x")"),
            "config.known.hosts[0]: 'share' is not a number");
  EXPECT_EQ(fault(good, R"("lanes")", R"("lines")"), "config.settings: 'lanes' is missing");
  EXPECT_NE(fault(good, "}", ""), "none");
  // Kinds that are not supported are named, not taken for a default.
  EXPECT_EQ(fault(good, R"("discovery":"subscribe")", R"("discovery":"hourly")"),
            "config.settings: 'discovery' is not known: hourly");
  EXPECT_EQ(fault(good, R"("level-kind":"rate")", R"("level-kind":"turns")"),
            "config.settings.family-info: 'level-kind' is not known: turns");
  EXPECT_EQ(fault(good, R"("proxies":1,)", R"("proxies":1,"ranges":12,)"),
            "config.settings.family-info: 'ranges' is above 0: key ranges are not supported");
  EXPECT_EQ(fault(good, R"("proxies":1,)", R"("proxies":1,"one-owner":true,)"),
            "config.settings.family-info: 'one-owner' is true: owners of key ranges are not supported");
  EXPECT_EQ(fault(good, R"("proxies":1,)", R"("proxies":70000,)"),
            "config.settings.family-info: 'proxies' is above 65536");
  EXPECT_EQ(fault(good, R"("fleet-size":1)", R"("fleet-size":0)"),
            "config.settings: 'fleet-size' is below 1");
  EXPECT_EQ(fault(good, R"("zones":["a"])", R"("zones":["a","b","a"])"),
            "config.settings: 'zones' holds a name twice");
  EXPECT_EQ(fault(good, R"("zones":["a"])", R"("zones":[])"), "config.settings: 'zones' is empty");
}

// ---- The process ------------------------------------------------------------------------------------------

// Discovery on a thread: gives its list to whoever watches, then an empty line now and then.
class Discovery {
 public:
  Discovery(const std::string& at, std::string list)
      : thread_{[this, at, list = std::move(list)] {
          net::Loop loop;
          std::vector<std::shared_ptr<net::Connection>> watches;
          net::Listener listener{
              loop, *Endpoint::parse(at), [&](net::Fd fd, const Endpoint&) {
                const auto slot = watches.size();
                watches.push_back(net::Connection::make(
                    loop, std::move(fd), {},
                    [&, slot](std::string_view in) {
                      char size[16];
                      std::snprintf(size, sizeof size, "%zx", list.size() + 1);
                      watches[slot]->send(
                          std::string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"} + size +
                          "\r\n" + list + "\n\r\n");
                      ++asked;
                      return in.size();
                    },
                    [](const char*) {}));
              }};
          std::function<void()> beat = [&] {
            for (const auto& w : watches) w->send("1\r\n\n\r\n");
            if (stop_) return loop.stop();
            loop.after(Span::seconds(0.05), beat);
          };
          beat();
          loop.run();
        }} {}
  ~Discovery() {
    stop_ = true;
    thread_.join();
  }
  std::atomic<int> asked = 0;

 private:
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

class Process {
 public:
  explicit Process(const std::string& path) {
    pid_ = ::fork();
    if (pid_ == 0) {
      const std::string variable = "GW_CONFIG=" + path;
      const int log = ::open((path + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, 2);
      const char* const arguments[] = {GORSEMOUNT_PROGRAM_FILE, "coordinator", nullptr};
      const char* const variables[] = {variable.c_str(), nullptr};
      ::execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(variables));
      ::_exit(99);
    }
  }
  ~Process() {
    if (pid_ > 0) signal(SIGKILL), (void)wait();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void signal(int number) const { ::kill(pid_, number); }
  int wait() {  // its exit code; -1: a signal ended it, or it did not end within 5 s
    int status = 0;
    for (int k = 0; k < 500; ++k) {
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      }
      std::this_thread::sleep_for(10ms);
    }
    return -1;
  }

 private:
  pid_t pid_ = 0;
};

class Stream {
 public:
  Stream() {
    sockaddr_in to{};
    to.sin_family = AF_INET, to.sin_port = htons(17031);
    inet_pton(AF_INET, "127.7.7.11", &to.sin_addr);
    for (int k = 0; k < 500; ++k) {  // until it listens
      fd_ = net::Fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
      if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return;
      std::this_thread::sleep_for(10ms);
    }
    ADD_FAILURE() << "nobody listens";
  }
  void send(const std::string& text) { (void)!::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL); }
  // Waits until `text` has come, 4 s at most.
  bool sees(const std::string& text, std::chrono::seconds most = 4s) {
    const auto end = std::chrono::steady_clock::now() + most;
    while (got_.find(text) == std::string::npos && std::chrono::steady_clock::now() < end) {
      pollfd p{fd_.get(), POLLIN, 0};
      char part[4096];
      if (::poll(&p, 1, 50) > 0) {
        const ssize_t n = ::recv(fd_.get(), part, sizeof part, 0);
        if (n <= 0) return ended_ = true, false;
        got_.append(part, static_cast<std::size_t>(n));
      }
    }
    return got_.find(text) != std::string::npos;
  }
  bool ended() const { return ended_; }
  bool ends_in_order() {  // an end, not a reset
    pollfd p{fd_.get(), POLLIN, 0};
    char part[4096];
    ssize_t n = 1;
    while (n > 0 && ::poll(&p, 1, 2000) > 0) n = ::recv(fd_.get(), part, sizeof part, 0);
    return n == 0;
  }

 private:
  net::Fd fd_;
  std::string got_;
  bool ended_ = false;
};

struct CoordinatorProcess : ::testing::Test {
  fs::path folder = fs::temp_directory_path() / ("gorsemount-coordinator-" + std::to_string(::getpid()));
  std::string file = (folder / "config.json").string();
  CoordinatorProcess() { fs::create_directories(folder); }
  ~CoordinatorProcess() override { fs::remove_all(folder); }
  void write(const std::string& text) const {
    std::ofstream{file + ".new"} << text;
    fs::rename(file + ".new", file);
  }
  std::string log() const {
    std::ostringstream all;
    all << std::ifstream{file + ".log"}.rdbuf();
    return all.str();
  }
  bool logs(const std::string& text) const {
    for (int k = 0; k < 200 && log().find(text) == std::string::npos; ++k) std::this_thread::sleep_for(20ms);
    return log().find(text) != std::string::npos;
  }
};

TEST_F(CoordinatorProcess, ABadConfigurationAtTheStartIsNamedAndHasItsOwnExitCode) {
  EXPECT_EQ(Process{file}.wait(), 2);
  EXPECT_NE(log().find("config.json: can't be read"), std::string::npos);
  write("{\"name\":");
  EXPECT_EQ(Process{file}.wait(), 2);
  EXPECT_NE(log().find("parse error"), std::string::npos);
  write(config("127.7.7.11:17032", "{}"));
  EXPECT_EQ(Process{file}.wait(), 2);
  EXPECT_NE(log().find("config.settings: 'family-info' is missing"), std::string::npos);
}

TEST_F(CoordinatorProcess, ServesReloadsAndEndsOnSigterm) {
  Discovery old{"127.7.7.11:17032", whole(2, row("s-1") + "," + row("s-2"))};
  write(config("127.7.7.11:17032"));
  Process p{file};
  Stream s;
  s.send("ping\r\n");
  ASSERT_TRUE(s.sees("pong\r\n"));
  s.send("joined sidecar=0 az=a share=5 standing=1\r\n");
  ASSERT_TRUE(s.sees("full=1"));
  EXPECT_TRUE(s.sees("s-2:"));

  write("not a configuration");
  p.signal(SIGHUP);
  EXPECT_TRUE(logs("reload_refused"));
  Discovery fresh{"127.7.7.11:17033", whole(3, row("s-1") + "," + row("s-2") + "," + row("s-3"))};
  write(config("127.7.7.11:17033"));
  p.signal(SIGHUP);
  EXPECT_TRUE(s.sees("s-3:"));  // the stream lives on and hears what the new address lists
  EXPECT_EQ(fresh.asked, 1);
  EXPECT_FALSE(s.ended());

  const auto before = std::chrono::steady_clock::now();
  p.signal(SIGTERM);
  EXPECT_EQ(p.wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - before, 600ms);
}

// The file is a pipe: whoever has it open for writing knows that the process is reading it, before its first
// turn.
TEST_F(CoordinatorProcess, SigtermBeforeTheFirstTurnEndsItWell) {
  for (const std::vector<int>& signals :
       {std::vector{SIGTERM}, std::vector{SIGHUP, SIGTERM}, std::vector{SIGTERM, SIGTERM, SIGINT, SIGHUP}}) {
    ASSERT_EQ(::mkfifo(file.c_str(), 0600), 0);
    Process p{file};
    const net::Fd pipe{::open(file.c_str(), O_WRONLY | O_CLOEXEC)};
    const auto text = config("127.7.7.11:17032");
    write(text);  // what SIGHUP finds
    for (const int signal : signals) p.signal(signal);
    ASSERT_EQ(::write(pipe.get(), text.data(), text.size()), static_cast<ssize_t>(text.size()));
    const_cast<net::Fd&>(pipe).reset();
    EXPECT_EQ(p.wait(), 0);
    fs::remove(file);
  }
}

// It is stopped while all this comes, so that it wakes to the signal and to everything else in one turn.
TEST_F(CoordinatorProcess, SigtermAmidEverythingAnswersWhoWaits) {
  Discovery discovery{"127.7.7.11:17032", whole(2, row("s-1"))};
  auto text = config("127.7.7.11:17032");
  text.replace(text.find("\"proxies\":1,"), 12, "\"proxies\":2,");
  write(text);
  Process p{file};
  Stream stream, half;
  stream.send("joined sidecar=0 az=a share=5 standing=1\r\n");
  ASSERT_TRUE(stream.sees("s-1:"));
  half.send("ping\r\njoined side");
  ASSERT_TRUE(half.sees("pong\r\n"));
  p.signal(SIGSTOP);
  stream.send("usage sidecar=0 kind=lookup n=4 bad=0 window=1\r\nping\r\n");
  Stream asks, joins, silent;  // in the kernel's queue
  asks.send("ping\r\n");
  joins.send("joined sidecar=1 az=a share=5 standing=1\r\n");
  write(config("127.7.7.11:17033"));  // where nobody listens: a dial is under way too
  p.signal(SIGHUP);
  p.signal(SIGTERM);
  const auto before = std::chrono::steady_clock::now();
  p.signal(SIGCONT);
  EXPECT_TRUE(stream.sees("pong\r\n"));
  EXPECT_TRUE(asks.sees("pong\r\nrefused"));
  for (Stream* s : {&half, &silent}) EXPECT_TRUE(s->sees("refused reason=shutting-down\r\n"));
  // Which of the descriptors that are ready comes first is the kernel's: it may have joined before the signal
  // is read.
  for (Stream* s : {&stream, &asks, &half, &joins, &silent}) EXPECT_TRUE(s->ends_in_order());
  EXPECT_EQ(p.wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - before, 600ms);
}

TEST_F(CoordinatorProcess, AFleetBeyondTheDescriptorsIsTakenInAsFarAsTheyGoAndTheRestIsTold) {
  Discovery discovery{"127.7.7.11:17032", whole(2, row("s-1"))};
  auto text = config("127.7.7.11:17032");
  const auto replace = [&](const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
  };
  replace("\"proxies\":1,", "\"proxies\":2400,");
  replace("\"sockets\":256", "\"sockets\":64");
  write(text);
  Process p{file};
  std::vector<std::unique_ptr<Stream>> herd;
  for (int k = 0; k < 30; ++k) {
    herd.push_back(std::make_unique<Stream>());
    herd.back()->send("ping\r\njoined sidecar=" + std::to_string(k));
    ASSERT_TRUE(herd.back()->sees("pong\r\n"));
  }
  for (const auto& s : herd) s->send(" az=a share=5 standing=1\r\n");
  for (const auto& s : herd) EXPECT_TRUE(s->sees("full=1"));
  int told = 0;
  for (int k = 30; k < 50; ++k) {
    herd.push_back(std::make_unique<Stream>());
    Stream& late = *herd.back();
    late.send("joined sidecar=" + std::to_string(k) + " az=a share=5 standing=1\r\n");
    ASSERT_TRUE(late.sees("\r\n"));
    told += late.sees("refused reason=no-room\r\n", 0s) ? 1 : 0;
  }
  EXPECT_EQ(told, 18);  // 40 places, of which 8 are kept for who has not joined: 32 streams
  herd.resize(30);
  for (const auto& s : herd) EXPECT_FALSE(s->ended());
}

TEST_F(CoordinatorProcess, AKilledOneStartsAgainFromNothing) {
  Discovery discovery{"127.7.7.11:17032", whole(2, row("s-1"))};
  write(config("127.7.7.11:17032"));
  for (int life = 0; life < 3; ++life) {
    Process p{file};
    Stream s;
    s.send("joined sidecar=0 az=a share=5 standing=1\r\n");
    ASSERT_TRUE(s.sees("s-1:")) << life;
    p.signal(SIGKILL);
    EXPECT_EQ(p.wait(), -1);
  }
}

TEST_F(CoordinatorProcess, AnAddressInUseIsNamed) {
  write(config("127.7.7.11:17032"));
  Process first{file};
  Stream s;
  s.send("ping\r\n");
  ASSERT_TRUE(s.sees("pong\r\n"));
  EXPECT_EQ(Process{file}.wait(), 3);
  EXPECT_TRUE(logs("127.7.7.11:17031"));
}

}  // namespace
}  // namespace gorsemount::app
