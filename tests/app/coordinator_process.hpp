// `gorsemount coordinator` as a process, with a fake discovery service and clients on loopback.
#pragma once

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
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "net/loop.hpp"
#include "net/socket.hpp"

namespace gorsemount::app::testing {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

inline std::string backend_row(const std::string& host) {
  return R"({"host":")" + host +
         R"(","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1.0,"born_ms":0})";
}
inline std::string full_list(int seq, const std::string& rows) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":true,"hosts":[)" + rows + "]}";
}

inline const char* const kSettings =
    R"({"discovery":"subscribe","family-info":{"backlog":4000,"intake-per-s":1000,"level-kind":"rate","messages-most":0,"per-message":4,"proxies":1,)"
    R"("push-rate":4000,"report-every-s":2,"update-window-s":10,"usual-how":1},)"
    R"("lanes":[{"effect":"read_like","goal-time-s":1,"worth":1,"name":"lookup"}],)"
    R"("fleet-size":1,"limits":{"keepalive-s":15},"rules":{"ask-within-s":10,"cold-from":0.2,"cold-s":15,"drain-grace-s":2,"tip-multiple":4},"zones":["a"]})";

inline std::string config(const std::string& discovery, const std::string& settings = kSettings) {
  return R"({"name":"n0","listen":"127.7.7.11:17031","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":)" +
         full_list(1, backend_row("s-1")) + R"(,"settings":)" + settings + "}";
}

// A fake discovery service on its own thread: sends its list to each watch, then an empty line every 50 ms.
class FakeDiscovery {
 public:
  FakeDiscovery(const std::string& at, std::string list)
      : thread_{[this, at, list = std::move(list)] {
          net::Loop loop;
          std::vector<std::shared_ptr<net::Connection>> watch_connections;
          net::Listener listener{
              loop, *Endpoint::parse(at), [&](net::Fd fd, const Endpoint&) {
                const auto slot = watch_connections.size();
                watch_connections.push_back(net::Connection::make(
                    loop, std::move(fd), {},
                    [&, slot](std::string_view in) {
                      char size[16];
                      std::snprintf(size, sizeof size, "%zx", list.size() + 1);
                      watch_connections[slot]->send(
                          std::string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"} + size +
                          "\r\n" + list + "\n\r\n");
                      ++requests;
                      return in.size();
                    },
                    [](const char*) {}));
              }};
          std::function<void()> send_heartbeat = [&] {
            const auto lines = take_changes() + "\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", lines.size());
            for (const auto& w : watch_connections) w->send(std::string{size} + "\r\n" + lines + "\r\n");
            if (stop_) return loop.stop();
            loop.after(Span::seconds(0.05), send_heartbeat);
          };
          send_heartbeat();
          loop.run();
        }} {}
  ~FakeDiscovery() {
    stop_ = true;
    thread_.join();
  }
  // Sends a line with changes to all watches, with the next empty line.
  void change(const std::string& line) {
    const std::lock_guard lock{changes_mutex_};
    changes_ += line + "\n";
  }
  std::atomic<int> requests = 0;

 private:
  std::string take_changes() {
    const std::lock_guard lock{changes_mutex_};
    return std::exchange(changes_, {});
  }

  std::mutex changes_mutex_;
  std::string changes_;
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
  // The most memory that the process has had in use so far, in KiB.
  [[nodiscard]] std::size_t peak_memory_kib() const {
    std::ifstream status{"/proc/" + std::to_string(pid_) + "/status"};
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6));
    return 0;
  }
  int wait() {  // exit code; -1: ended by a signal, or still running after 5 s
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

class ProxyStream {
 public:
  ProxyStream() {
    sockaddr_in to{};
    to.sin_family = AF_INET, to.sin_port = htons(17031);
    inet_pton(AF_INET, "127.7.7.11", &to.sin_addr);
    for (int k = 0; k < 500; ++k) {  // until the coordinator listens
      fd_ = net::Fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
      if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return;
      std::this_thread::sleep_for(10ms);
    }
    ADD_FAILURE() << "the coordinator does not listen";
  }
  void send(const std::string& text) { (void)!::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL); }
  // Waits until `text` has been received, for at most `timeout`.
  bool receives(const std::string& text, std::chrono::seconds timeout = 4s) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (received_.find(text) == std::string::npos && std::chrono::steady_clock::now() < end) {
      pollfd p{fd_.get(), POLLIN, 0};
      char buffer[4096];
      if (::poll(&p, 1, 50) > 0) {
        const ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
        if (n <= 0) return closed_ = true, false;
        received_.append(buffer, static_cast<std::size_t>(n));
      }
    }
    return received_.find(text) != std::string::npos;
  }
  bool is_closed() const { return closed_; }
  bool closes_cleanly() {  // closed by FIN, not by RST
    pollfd p{fd_.get(), POLLIN, 0};
    char buffer[4096];
    ssize_t n = 1;
    while (n > 0 && ::poll(&p, 1, 2000) > 0) n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    return n == 0;
  }

 private:
  net::Fd fd_;
  std::string received_;
  bool closed_ = false;
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
  bool wait_for_log(const std::string& text) const {
    for (int k = 0; k < 200 && log().find(text) == std::string::npos; ++k) std::this_thread::sleep_for(20ms);
    return log().find(text) != std::string::npos;
  }
};

}  // namespace gorsemount::app::testing
