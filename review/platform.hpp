// Stand-ins for the platform around one coordinator, on loopback addresses and the real clock: discovery over HTTP, proxies
// with their streams, a collector for each zone, and backends. The coordinator is a process of its own, started by the
// command of the deploy file. Backends live inside this process: a coordinator never contacts them, it only hears of them.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace standin {

inline double clock_seconds(clockid_t clock) {
  timespec t{};
  clock_gettime(clock, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
inline double now() {
  static const double begin = clock_seconds(CLOCK_MONOTONIC);
  return clock_seconds(CLOCK_MONOTONIC) - begin;
}
inline std::int64_t unix_ms() { return static_cast<std::int64_t>(clock_seconds(CLOCK_REALTIME) * 1000); }

// What has to be undone however the case ends: the coordinator's process and the temporary folder.
struct Cleanup {
  static inline volatile sig_atomic_t interrupted = 0;
  static inline pid_t coordinator = -1;
  static inline char folder[64] = "";

  static void run() {
    if (coordinator > 0) kill(coordinator, SIGKILL), waitpid(coordinator, nullptr, 0);
    coordinator = -1;
    if (folder[0] == '\0') return;
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    folder[0] = '\0';
  }
  // Signals, and the end of the time for a case, let it end as one that couldn't run.
  static void install() {
    std::atexit(run);
    std::set_terminate([] {
      run();
      _exit(2);
    });
    for (const int signal : {SIGINT, SIGTERM, SIGHUP, SIGALRM}) {
      struct sigaction action {};
      action.sa_handler = [](int number) { interrupted = number; };
      sigaction(signal, &action, nullptr);
    }
    std::signal(SIGPIPE, SIG_IGN);
    alarm(110);
  }
};

// The case could not run: exit code 2.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "case can't run: %s\n", why.c_str());
  std::exit(2);
}

// record.txt: one line for each thing that happened, with seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_{std::fopen(path.c_str(), "w")} {
    if (file_ == nullptr) cannot_run("no record at " + path);
  }
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    std::fprintf(file_, "%9.3f ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
  }

 private:
  std::FILE* file_;
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET, a.sin_port = htons(port), a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}
inline int listen_on_free_port(std::uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in a = loopback(0);
  socklen_t size = sizeof a;
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0 || listen(fd, 256) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size) != 0)
    cannot_run("no port to listen on");
  port = ntohs(a.sin_port);
  return fd;
}
inline std::uint16_t free_port() {
  std::uint16_t port = 0;
  close(listen_on_free_port(port));
  return port;
}

// One connection with a write buffer. `on_bytes` gets all that was read so far and returns how much it used.
struct Connection {
  int fd = -1;
  std::string in, out;
  std::function<std::size_t(const std::string&)> on_bytes;
  std::function<void()> on_end;
  bool ended = false;
  ~Connection() {
    if (fd >= 0) close(fd);
  }
  void send(const std::string& bytes) {
    out += bytes;
    flush();
  }
  void flush() {
    while (!out.empty() && !ended) {
      const ssize_t n = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        out.erase(0, static_cast<std::size_t>(n));
      } else {
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN)) return;
        return end();
      }
    }
  }
  void read_all() {
    char chunk[65536];
    while (!ended) {
      const ssize_t n = ::read(fd, chunk, sizeof chunk);
      if (n > 0) {
        in.append(chunk, static_cast<std::size_t>(n));
        while (!ended && !in.empty()) {
          const std::size_t used = on_bytes(in);
          if (used == 0) break;
          in.erase(0, used);
        }
      } else if (n == 0) {
        end();
      } else {
        if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
        end();
      }
    }
  }
  void end() {
    if (std::exchange(ended, true)) return;
    if (const auto callback = std::move(on_end)) callback();
  }
  // Ends it with a reset, as the end of a process with unread input does.
  void reset() {
    on_end = {};
    const linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ended = true;
  }
};

class Network {
 public:
  using Accepted = std::function<void(std::shared_ptr<Connection>)>;
  ~Network() {
    for (const auto& [fd, accepted] : listeners_) close(fd);
  }
  std::uint16_t listen(Accepted accepted) {
    std::uint16_t port = 0;
    listeners_[listen_on_free_port(port)] = std::move(accepted);
    return port;
  }
  std::shared_ptr<Connection> connect(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) cannot_run("no socket");
    const sockaddr_in a = loopback(port);
    auto connection = adopt(fd);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS)
      connection->ended = true;
    return connection;
  }
  // Waits for events until `until`.
  void turn(double until) {
    std::vector<pollfd> polled;
    std::vector<std::shared_ptr<Connection>> polled_connections;
    std::erase_if(connections_, [](const auto& c) { return c->ended; });
    for (const auto& [fd, accepted] : listeners_) polled.push_back({fd, POLLIN, 0});
    const std::size_t listeners = polled.size();
    for (const auto& c : connections_) {
      polled.push_back({c->fd, static_cast<short>(POLLIN | (c->out.empty() ? 0 : POLLOUT)), 0});
      polled_connections.push_back(c);
    }
    const double left = std::max(0.0, until - now());
    if (Cleanup::interrupted != 0) cannot_run("interrupted by signal " + std::to_string(Cleanup::interrupted));
    poll(polled.data(), polled.size(), static_cast<int>(std::ceil(left * 1000)));
    for (std::size_t k = 0; k < polled.size(); ++k) {
      if (polled[k].revents == 0) continue;
      if (k < listeners) {
        const auto accepted = listeners_.at(polled[k].fd);
        for (int fd; (fd = accept4(polled[k].fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) accepted(adopt(fd));
      } else {
        const auto& c = polled_connections[k - listeners];
        if ((polled[k].revents & POLLOUT) != 0) c->flush();
        if (!c->ended) c->read_all();
      }
    }
  }

 private:
  std::shared_ptr<Connection> adopt(int fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto connection = std::make_shared<Connection>();
    connection->fd = fd;
    connection->on_bytes = [](const std::string& bytes) { return bytes.size(); };
    connections_.push_back(connection);
    return connection;
  }
  std::map<int, Accepted> listeners_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

// ---- Backends and discovery ----------------------------------------------------------------------------------

enum class Health { ready, terminating, gone };
struct Backend {
  std::string host, zone;
  Health health = Health::ready;
  std::int64_t born_ms = 0;
  double fails = 0;     // the share of its tries that it fails quickly
  bool hangs = false;   // takes tries and answers none
  double told_out = 0;  // when discovery had written to the coordinator that it drains or is gone; 0: not
  double told_in = 0;   // when it was first told as ready
};

class Discovery {
 public:
  Discovery(Network& network, Record& record, std::map<std::string, Backend>& backends)
      : network_{network}, record_{record}, backends_{backends} {
    port_ = network_.listen([this](std::shared_ptr<Connection> c) {
      c->on_bytes = [this, raw = c.get(), weak = std::weak_ptr{c}](const std::string& bytes) -> std::size_t {
        const auto end = bytes.find("\r\n\r\n");
        if (end == std::string::npos) return 0;
        answer(weak.lock(), bytes.substr(0, bytes.find("\r\n")));
        return end + 4;
      };
    });
  }
  std::uint16_t port() const { return port_; }
  std::string json(const std::vector<std::string>& hosts, bool whole) const {
    std::string text = "{\"seq\":" + std::to_string(seq_) + ",\"whole\":" + (whole ? "true" : "false") + ",\"hosts\":[";
    bool first = true;
    for (const auto& host : hosts) {
      const Backend& b = backends_.at(host);
      if (whole && b.health == Health::gone) continue;
      const char* health = b.health == Health::ready ? "Ready" : b.health == Health::terminating ? "Terminating" : "Gone";
      text += std::string{first ? "" : ","} + "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:9\",\"site\":\"" + b.zone +
              "\",\"class\":\"standard\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" +
              std::to_string(b.born_ms) + "}";
      first = false;
    }
    return text + "]}";
  }
  std::string whole_list() const {
    std::vector<std::string> all;
    for (const auto& [host, b] : backends_) all.push_back(host);
    return json(all, true);
  }
  // Tells that these backends have changed.
  void changed(const std::vector<std::string>& hosts) {
    ++seq_;
    for (const auto& host : hosts) changed_at_[host] = seq_;
    for (const auto& c : watches_)
      if (!c->ended) write_line(*c, hosts, false);
  }
  // An empty line every 2 s while nothing changes.
  void tick() {
    std::erase_if(watches_, [](const auto& c) { return c->ended; });
    if (now() < next_empty_) return;
    next_empty_ = now() + 2;
    for (const auto& c : watches_) c->send("2\r\n\r\n\r\n");
  }
  std::size_t watches() const { return watches_.size(); }

 private:
  void answer(const std::shared_ptr<Connection>& c, const std::string& request) {
    record_.line("discovery: %s", request.c_str());
    const auto from = request.find("watch=1&from=");
    if (from == std::string::npos) {
      const std::string body = whole_list();
      c->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      return;
    }
    const std::uint64_t version = std::strtoull(request.c_str() + from + 13, nullptr, 10);
    c->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::vector<std::string> hosts;
    for (const auto& [host, seq] : changed_at_)
      if (seq > version) hosts.push_back(host);
    write_line(*c, hosts, false);
    watches_.push_back(c);
  }
  void write_line(Connection& c, const std::vector<std::string>& hosts, bool whole) {
    const std::string text = json(hosts, whole) + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    c.send(size + text + "\r\n");
    if (!c.out.empty()) return;  // not all of it is written yet
    for (const auto& host : hosts) {
      Backend& b = backends_.at(host);
      if (b.health != Health::ready && b.told_out == 0) {
        b.told_out = now();
        record_.line("told: %s is %s", host.c_str(), b.health == Health::gone ? "gone" : "draining");
      } else if (b.health == Health::ready && b.told_in == 0) {
        b.told_in = now();
        record_.line("told: %s is ready", host.c_str());
      }
    }
  }
  Network& network_;
  Record& record_;
  std::map<std::string, Backend>& backends_;
  std::uint16_t port_ = 0;
  std::uint64_t seq_ = 1;
  std::map<std::string, std::uint64_t> changed_at_;
  std::vector<std::shared_ptr<Connection>> watches_;
  double next_empty_ = 0;
};

// ---- Proxies and collectors ----------------------------------------------------------------------------------

struct ClassSettings {
  std::string name;
  double share = 1;  // of all requests
  bool own_zone = false;
  double give_up = 1.2;  // seconds until a try without an answer is given up
};

struct Proxy {
  int id = 0;
  std::string zone;
  double rate = 0;
  std::shared_ptr<Connection> stream;
  double redial_at = 0;
  bool joined = false;
  std::map<std::string, double> table;  // the standing table first, then what was ordered
  std::string parts;                    // of a message that continues
  std::vector<double> messages;         // when each message of this stream came
  std::map<std::string, int> failures;  // in a row, by backend
  std::map<std::string, double> avoid_until;
  std::map<std::string, std::pair<int, int>> usage;  // by class: requests, and admitted ones without an answer
};

struct Coordinator {
  pid_t pid = -1;
  std::uint16_t port = 0;
  std::string name = "n0", folder;
};

class Platform {
 public:
  // `trouble`: whether the case's disruption takes place.
  Platform(bool with_trouble, std::uint64_t seed)
      : record{variable("CASE_RECORD")}, rng{seed}, discovery{network, record, backends}, trouble{with_trouble} {
    Cleanup::install();
    root_ = variable("CASE_ROOT"), run_ = variable("CASE_RUN");
    const std::string pattern = (std::filesystem::temp_directory_path() / "gorsemount-review-XXXXXX").string();
    if (pattern.size() >= sizeof Cleanup::folder) cannot_run("the path of the temporary folder is too long");
    std::memcpy(Cleanup::folder, pattern.c_str(), pattern.size() + 1);
    if (mkdtemp(Cleanup::folder) == nullptr) Cleanup::folder[0] = '\0', cannot_run("no temporary folder");
    coordinator.folder = Cleanup::folder;
    record.line("disruption: %s", trouble ? "on" : "off");
  }
  ~Platform() {
    stop();
    Cleanup::run();
  }
  static std::string variable(const char* name) {
    const char* value = std::getenv(name);
    if (value == nullptr || *value == '\0') cannot_run("start it by run.sh");
    return value;
  }
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  Record record;
  std::mt19937_64 rng;
  Network network;
  std::map<std::string, Backend> backends;
  Discovery discovery;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<ClassSettings> classes;
  std::vector<std::string> zones;
  std::map<std::string, std::shared_ptr<Connection>> collectors;
  std::map<std::string, double> collector_redial_at;
  Coordinator coordinator;
  bool trouble;
  double report_every = 2, report_late = 0.8, redial = 0.2, eject_after = 5, eject_for = 4;
  double first_answer = 0;                // when the coordinator first gave its sign of life
  double last_pong = 0, longest_silence = 0;  // of the pings that are sent every half second
  std::function<void(Proxy&, const std::string& host)> on_request;  // a try is sent
  std::function<void(const std::string& host, bool ok)> on_answer;  // a try has ended
  std::function<void()> on_tick;                                    // every 50 ms
  std::uint64_t sent = 0, answered = 0, failed = 0, refused = 0;

  void write_config(const std::string& settings, int sockets, int memory_mb) {
    coordinator.port = free_port();
    std::ofstream file{coordinator.folder + "/config.json"};
    file << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" << coordinator.port << "\",\"discovery\":\"127.0.0.1:" << discovery.port()
         << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << memory_mb << ",\"sockets\":" << sockets
         << "},\"known\":" << discovery.whole_list() << ",\"settings\":" << settings << "}\n";
    if (!file.flush()) cannot_run("no configuration written");
  }
  void start() {
    const pid_t parent = getpid();
    coordinator.pid = fork();
    Cleanup::coordinator = coordinator.pid;
    if (coordinator.pid < 0) cannot_run("fork failed");
    if (coordinator.pid == 0) {
      for (const int signal : {SIGINT, SIGTERM, SIGHUP, SIGALRM, SIGPIPE}) std::signal(signal, SIG_DFL);
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      const int log = open((coordinator.folder + "/log.txt").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(log, 1), dup2(log, 2);
      if (chdir(root_.c_str()) != 0) _exit(127);
      setenv("GW_CONFIG", (coordinator.folder + "/config.json").c_str(), 1);
      setenv("GW_NAME", coordinator.name.c_str(), 1);
      setenv("GW_LISTEN", ("127.0.0.1:" + std::to_string(coordinator.port)).c_str(), 1);
      setenv("GW_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery.port())).c_str(), 1);
      setenv("TMPDIR", coordinator.folder.c_str(), 1);
      execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    record.line("coordinator started as process %d: %s", static_cast<int>(coordinator.pid), run_.c_str());
    // It is in use once it has answered a ping.
    const double limit = now() + 10;
    while (first_answer == 0) {
      if (now() > limit || !alive()) cannot_run("the coordinator did not start; see the build of the deploy file");
      auto c = network.connect(coordinator.port);
      c->on_bytes = [this](const std::string& bytes) {
        if (bytes.find("pong\r\n") != std::string::npos) first_answer = now();
        return bytes.size();
      };
      c->send("ping\r\n");
      const double until = now() + 0.1;
      while (now() < until && first_answer == 0) {
        discovery.tick();
        network.turn(until);
        if (!c->out.empty()) c->flush();
      }
      c->reset();
    }
    last_pong = now();
    record.line("coordinator in use: it answered a ping");
  }
  bool alive() {
    if (coordinator.pid <= 0) return false;
    int status = 0;
    if (waitpid(coordinator.pid, &status, WNOHANG) != coordinator.pid) return true;
    record.line("coordinator ended: %s %d", WIFSIGNALED(status) ? "signal" : "code",
                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    coordinator.pid = Cleanup::coordinator = -1;
    return false;
  }
  // Ends the coordinator and puts the last lines of its log into the record.
  void stop() {
    if (coordinator.pid > 0) kill(coordinator.pid, SIGKILL), waitpid(coordinator.pid, nullptr, 0);
    coordinator.pid = Cleanup::coordinator = -1;
    std::ifstream log{coordinator.folder + "/log.txt"};
    std::deque<std::string> last;
    for (std::string line; std::getline(log, line); last.push_back(line))
      if (last.size() > 2) last.pop_front();
    for (const auto& line : last) record.line("log of the coordinator: %s", line.c_str());
  }
  // Processor time that the coordinator has used, in seconds.
  double processor_time() const {
    std::ifstream file{"/proc/" + std::to_string(coordinator.pid) + "/stat"};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    const auto close_bracket = text.rfind(')');
    if (close_bracket == std::string::npos) return 0;
    long user = 0, system = 0;
    std::sscanf(text.c_str() + close_bracket + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user, &system);
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

  void add_proxy(const std::string& zone, double rate, std::size_t standing) {
    auto p = std::make_unique<Proxy>();
    p->id = static_cast<int>(proxies.size()), p->zone = zone, p->rate = rate;
    // A standing table: drawn from the list at the proxy's start, within its zone if three are there.
    std::vector<std::string> own, all;
    for (const auto& [host, b] : backends) {
      if (b.health != Health::ready) continue;
      all.push_back(host);
      if (b.zone == zone) own.push_back(host);
    }
    auto& drawn = own.size() >= 3 ? own : all;
    std::shuffle(drawn.begin(), drawn.end(), rng);
    for (std::size_t k = 0; k < drawn.size() && k < standing; ++k) p->table[drawn[k]] = 1;
    proxies.push_back(std::move(p));
  }

  // Plays until `end`.
  void play(double end) {
    const double begin = now();
    if (next_request_.empty())
      for (auto& p : proxies) next_request_.push_back(begin + draw_gap(p->rate));
    if (next_report_ == 0) next_report_ = begin + report_every;
    while (now() < end) {
      if (!alive()) return;
      const double t = now();
      for (auto& p : proxies)
        if (!p->stream && t >= p->redial_at) dial(*p);
      for (const auto& zone : zones)
        if (!collectors[zone] && t >= collector_redial_at[zone]) dial_collector(zone);
      ping(t);
      discovery.tick();
      for (std::size_t k = 0; k < proxies.size(); ++k)
        for (; next_request_[k] <= t; next_request_[k] += draw_gap(proxies[k]->rate)) request(*proxies[k]);
      while (!outcomes_.empty() && outcomes_.top().at <= t) {
        const Outcome o = outcomes_.top();
        outcomes_.pop();
        finish(o);
      }
      if (t >= next_report_) next_report_ += report_every, gather();
      while (!late_lines_.empty() && late_lines_.front().first <= t) {
        if (const auto& c = collectors[late_lines_.front().second.first]) c->send(late_lines_.front().second.second);
        late_lines_.pop_front();
      }
      if (on_tick && t >= next_tick_) next_tick_ = t + 0.05, on_tick();
      double next = std::min({end, t + 0.02, next_report_});
      for (const double at : next_request_) next = std::min(next, at);
      network.turn(next);
    }
  }

  // When the current period of the reports ends.
  double period_end() const { return next_report_; }

  // A line that the proxy may pick for the class, whether it avoids the backend for now or not.
  bool has_line(const Proxy& p, const ClassSettings& c) const {
    for (const auto& [host, weight] : p.table)
      if (weight > 0 && (!c.own_zone || backends.at(host).zone == p.zone)) return true;
    return false;
  }

 private:
  struct Outcome {
    double at = 0, began = 0;
    Proxy* proxy = nullptr;
    std::string host;
    std::size_t operation = 0;
    bool ok = false;
    std::uint64_t number = 0;
    bool operator<(const Outcome& other) const { return at > other.at; }
  };
  struct Sum {
    int tries = 0, bad = 0;
    double latency = 0;
  };

  double draw_gap(double rate) { return std::exponential_distribution<>{std::max(rate, 1e-6)}(rng); }

  void dial(Proxy& p) {
    p.stream = network.connect(coordinator.port);
    p.joined = true, p.parts.clear(), p.messages.clear();
    Proxy* raw = &p;
    p.stream->on_bytes = [this, raw](const std::string& bytes) -> std::size_t {
      const auto end = bytes.find("\r\n");
      if (end == std::string::npos) return 0;
      take_line(*raw, bytes.substr(0, end));
      return end + 2;
    };
    p.stream->on_end = [this, raw] {
      record.line("proxy %d: the coordinator ended its stream", raw->id);
      raw->stream.reset(), raw->redial_at = now() + redial;
    };
    record.line("proxy %d (%s) joins", p.id, p.zone.c_str());
    char line[128];
    std::snprintf(line, sizeof line, "joined sidecar=%d az=%s share=%.1f standing=%d\r\n", p.id, p.zone.c_str(), p.rate,
                  ordered_.contains(p.id) ? 0 : 1);
    p.stream->send(line);
  }
  void take_line(Proxy& p, const std::string& line) {
    if (line.rfind("update", 0) != 0) {
      record.line("proxy %d: got '%s'", p.id, line.substr(0, 80).c_str());
      return;
    }
    p.parts += (p.parts.empty() ? "" : "\n") + line;
    if (line.find(" continued=1") != std::string::npos) return;
    const std::string message = std::exchange(p.parts, {});
    p.messages.push_back(now());
    ordered_.insert(p.id);
    int lines = 0;
    for (std::size_t at = 0; at < message.size();) {
      const auto stop = std::min(message.find('\n', at), message.size());
      const std::string part = message.substr(at, stop - at);
      at = stop + 1;
      if (part.find(" full=1") != std::string::npos) p.table.clear();
      const auto endpoints = part.find(" endpoints=");
      if (endpoints == std::string::npos) continue;
      const std::string list = part.substr(endpoints + 11, part.find(' ', endpoints + 1) - endpoints - 11);
      for (std::size_t k = 0; k < list.size();) {
        const auto comma = std::min(list.find(',', k), list.size());
        const std::string pair = list.substr(k, comma - k);
        k = comma + 1, ++lines;
        const auto colon = pair.find(':');
        const double weight = std::strtod(pair.c_str() + colon + 1, nullptr);
        if (weight > 0) {
          p.table[pair.substr(0, colon)] = weight;
        } else {
          p.table.erase(pair.substr(0, colon));
        }
      }
    }
    record.line("proxy %d: message %zu: %s", p.id, p.messages.size(), message.c_str());
  }
  void dial_collector(const std::string& zone) {
    auto c = network.connect(coordinator.port);
    c->on_end = [this, zone] {
      record.line("collector of %s: the coordinator ended its connection", zone.c_str());
      collectors[zone].reset(), collector_redial_at[zone] = now() + redial;
    };
    c->send("collector az=" + zone + "\r\n");
    collectors[zone] = c;
  }

  // A sign of life is asked for every half second, each time on a new connection.
  void ping(double t) {
    longest_silence = std::max(longest_silence, t - last_pong);
    if (t < next_ping_) return;
    next_ping_ = t + 0.5;
    auto c = network.connect(coordinator.port);
    std::weak_ptr<Connection> weak = c;
    c->on_bytes = [this, weak](const std::string& bytes) {
      if (bytes.find("pong\r\n") != std::string::npos) last_pong = now();
      if (const auto strong = weak.lock()) strong->reset();
      return bytes.size();
    };
    c->send("ping\r\n");
  }

  void request(Proxy& p) {
    double draw = std::uniform_real_distribution<>{0, 1}(rng);
    std::size_t k = 0;
    for (double total = 0; k + 1 < classes.size() && draw >= (total += classes[k].share); ++k) {
    }
    const ClassSettings& c = classes[k];
    ++p.usage[c.name].first;
    std::vector<std::pair<std::string, double>> lines, avoided;
    for (const auto& [host, weight] : p.table)
      if (weight > 0 && (!c.own_zone || backends.at(host).zone == p.zone))
        (p.avoid_until[host] > now() ? avoided : lines).emplace_back(host, weight);
    if (lines.empty()) lines = avoided;
    if (lines.empty()) {
      ++refused;
      record.line("request: proxy %d %s refused, no line", p.id, c.name.c_str());
      return;
    }
    double total = 0;
    for (const auto& [host, weight] : lines) total += weight;
    double at = std::uniform_real_distribution<>{0, total}(rng);
    std::size_t chosen = 0;
    while (chosen + 1 < lines.size() && (at -= lines[chosen].second) >= 0) ++chosen;
    const std::string& host = lines[chosen].first;
    const Backend& b = backends.at(host);
    Outcome o;
    o.began = now(), o.proxy = &p, o.host = host, o.operation = k, o.number = ++sent;
    o.ok = !b.hangs && b.health != Health::gone && std::uniform_real_distribution<>{0, 1}(rng) >= b.fails;
    o.at = o.began + (b.hangs ? c.give_up : o.ok ? std::uniform_real_distribution<>{0.2, 0.4}(rng) : 0.01);
    record.line("request %llu: proxy %d %s sent to %s", static_cast<unsigned long long>(o.number), p.id, c.name.c_str(), host.c_str());
    if (on_request) on_request(p, host);
    outcomes_.push(o);
  }
  void finish(const Outcome& o) {
    Proxy& p = *o.proxy;
    Sum& sum = sums_[{p.zone, o.host}];
    ++sum.tries;
    if (on_answer) on_answer(o.host, o.ok);
    record.line("request %llu: %s", static_cast<unsigned long long>(o.number), o.ok ? "run and answered" : "no good answer");
    if (o.ok) {
      ++answered, sum.latency += o.at - o.began, p.failures[o.host] = 0;
    } else {
      ++failed, ++sum.bad, ++p.usage[classes[o.operation].name].second;
      if (++p.failures[o.host] >= eject_after) p.failures[o.host] = 0, p.avoid_until[o.host] = now() + eject_for;
    }
  }
  // The sums of one period: usage on the streams, the rest through the collectors, late.
  void gather() {
    for (auto& [key, sum] : std::exchange(sums_, {})) {
      char line[256];
      const double mean = sum.tries > sum.bad ? 1000 * sum.latency / (sum.tries - sum.bad) : 0;
      std::snprintf(line, sizeof line, "heard az=%s host=%s n=%d bad=%d avg=%.1f window=%.1f report=util:0.40,queue:0\r\n",
                    key.first.c_str(), key.second.c_str(), sum.tries, sum.bad, mean, report_every * 1000);
      late_lines_.emplace_back(now() + report_late, std::pair{key.first, std::string{line}});
    }
    for (auto& p : proxies)
      for (auto& [name, counts] : std::exchange(p->usage, {})) {
        char line[256];
        std::snprintf(line, sizeof line, "usage sidecar=%d kind=%s n=%d bad=%d window=%.1f\r\n", p->id, name.c_str(), counts.first,
                      counts.second, report_every * 1000);
        if (p->stream) p->stream->send(line);
      }
  }

  std::string root_, run_;
  std::vector<double> next_request_;
  std::priority_queue<Outcome> outcomes_;
  std::map<std::pair<std::string, std::string>, Sum> sums_;  // by zone of the proxies and backend
  std::deque<std::pair<double, std::pair<std::string, std::string>>> late_lines_;
  std::set<int> ordered_;  // proxies that hold a table that was ordered
  double next_report_ = 0, next_tick_ = 0, next_ping_ = 0;
};

}  // namespace standin
