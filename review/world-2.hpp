// Stand-ins for cases 6 to 10: the platform around coordinators that run as processes of their own.
// Discovery, proxies, collectors and backends live in one process with one thread, on loopback sockets and
// the real clock. A case derives its scene from World, changes the fleet at given times and checks one rule.
//
// Proxies, collectors and discovery speak the platform's line protocol and HTTP/1.1. A message of a
// coordinator enters its channel when its last byte has arrived, leaves it at `push-rate` lines a second
// after those before it, and takes effect `propagation-s` later. Requests stay inside the process: a proxy
// picks a line of its table, and the backend counts what reaches it.
#pragma once

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace world {

// Thrown when the case can't run: exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline double steady() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline long long unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline std::string format(const char* pattern, ...) __attribute__((format(printf, 1, 2)));
inline std::string format(const char* pattern, ...) {
  char text[2048];
  va_list arguments;
  va_start(arguments, pattern);
  vsnprintf(text, sizeof text, pattern, arguments);
  va_end(arguments);
  return text;
}

inline std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  for (std::size_t at = 0; at <= text.size();) {
    const std::size_t end = std::min(text.find(separator, at), text.size());
    if (end > at) parts.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return parts;
}

// ---- Sockets
// -------------------------------------------------------------------------------------------------------

struct Fd {
  int number = -1;
  Fd() = default;
  explicit Fd(int n) : number{n} {}
  Fd(Fd&& other) noexcept : number{std::exchange(other.number, -1)} {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) reset(), number = std::exchange(other.number, -1);
    return *this;
  }
  ~Fd() { reset(); }
  void reset() {
    if (number >= 0) ::close(number);
    number = -1;
  }
  explicit operator bool() const { return number >= 0; }
};

// An address of this run: 127.64.0.0 to 127.127.255.255, by the process. `host` tells its parties apart.
// Clients dial from 127.0.0.1, so that their ports can't take those of a coordinator that is down for a
// moment.
inline std::uint32_t address_of(int host) {
  const auto process = static_cast<std::uint32_t>(getpid());
  return 0x7f000000U | (64 + process / 256 % 64) << 16U | process % 256 << 8U |
         static_cast<std::uint32_t>(host);
}
inline std::string address_text(int host) {
  in_addr address{};
  address.s_addr = htonl(address_of(host));
  char text[INET_ADDRSTRLEN];
  return inet_ntop(AF_INET, &address, text, sizeof text);
}
inline sockaddr_in loopback(int host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(address_of(host));
  return address;
}

inline Fd stream_socket() {
  Fd fd{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  if (!fd) throw CannotRun{"no socket"};
  const int one = 1;
  setsockopt(fd.number, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline int port_of(const Fd& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd.number, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline Fd listen_on(int host, int port) {
  Fd fd = stream_socket();
  const int one = 1;
  setsockopt(fd.number, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = loopback(host, port);
  if (bind(fd.number, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd.number, 1024) != 0)
    throw CannotRun{"no port to listen on"};
  return fd;
}

constexpr int kDiscoveryHost = 1, kFirstCoordinatorHost = 2;

// A port that nobody listens on.
inline int free_port(int host) { return port_of(listen_on(host, 0)); }

// ---- The deployment
// ------------------------------------------------------------------------------------------------

struct Class {
  std::string name, effect;
  double aim_s = 1.2, limit_s = 3, worth = 1, share = 1;  // share of the requests
  bool own_zone = false, writes = false;
};

struct Deployment {
  std::vector<std::string> zones;
  std::vector<Class> classes;
  int coordinators = 1, proxies = 12;
  double rate_per_proxy = 1;     // requests a second
  double backend_capacity = 10;  // requests a second, warm
  double push_rate = 4700, per_message = 4, backlog = 9400, propagation_s = 0.187;
  int messages_most = 0;
  double report_every_s = 2, report_late_s = 0.8, unserved_max_s = 2.9;
  double drain_grace_s = 1.5, cold_from = 0.18, cold_s = 15, tip_multiple = 4, tip_after_s = 2;
  double redial_from_s = 0.07, redial_to_s = 0.37;
  int sockets = 1024;  // descriptors of a coordinator
  bool removal_binds = true;
  int outlier_after = 0;  // 0: never
  double keep_away_s = 5;
  std::string discovery_mode = "subscribe", level_kind = "rate", selects_by = "weighted";
};

struct Backend {
  std::string host;
  std::size_t zone = 0;
  std::string health = "Ready";  // as discovery lists it
  long long born_ms = 0;         // 0: long ago
  bool alive = true;
  double errored_share = 0;     // of its requests, that it fails quickly
  double started = -1e9;        // on the steady clock
  std::deque<double> arrivals;  // of the last seconds
  long long taken = 0, turned_away = 0;
};

struct Table {
  std::map<std::string, double> lines;
  std::map<std::string, double> credit;  // of the even pick
  std::map<std::string, int> failed_in_a_row;
  double level = -1;  // what is let in: a share, or requests a second; below 0: all
  double tokens = 0, filled_at = 0;
  std::map<std::string, double> kept_away_until;  // after `outlier-after` own tries in a row that failed
};

// ---- The world
// -----------------------------------------------------------------------------------------------------

class World {
 public:
  World(Deployment settings, std::string folder, std::string record_path, std::string run_command)
      : d{std::move(settings)}, folder_{std::move(folder)}, run_command_{std::move(run_command)} {
    signal(SIGPIPE, SIG_IGN);
    record_ = fopen(record_path.c_str(), "we");
    if (record_ == nullptr) throw CannotRun{"record.txt can't be written"};
    begin_ = steady();
    discovery_ = listen_on(kDiscoveryHost, 0);
    discovery_port_ = port_of(discovery_);
    heard_.resize(d.zones.size());
  }
  virtual ~World() {
    for (auto& coordinator : coordinators) stop_now(coordinator);
    if (record_ != nullptr) fclose(record_);
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  struct Coordinator {
    std::string name;
    int host = 0, port = 0;
    pid_t pid = -1;
    bool expected_to_run = false, ready = false;
    double ready_at = 0;
    int incarnation = 0;
    double channel_free_at = 0;
    std::uint64_t known_version = 0;
    std::string known;  // the list that the last incarnation had
    Fd probe;
    bool probe_connected = false;
    std::vector<Fd> collectors;  // by zone
    std::vector<bool> collector_told;
    double retry_at = 0;
  };
  struct Arrival {
    double at;
    int incarnation;
    std::vector<std::string> parts;
  };
  struct Proxy {
    std::size_t number = 0, zone = 0;
    std::size_t home = 0;  // the coordinator that it dials
    Fd fd;
    bool connecting = false, joined = false;
    double dial_at = 0, joined_at = 0;
    double refused_at =
        0;  // when a coordinator first did not take its joining; 0: none since its last stream
    std::size_t refused_by = 0;
    int stream = 0;  // counts its streams
    int incarnation = 0;
    std::string input;
    std::vector<std::string> parts;
    std::deque<Arrival> under_way;
    std::vector<Table> tables;  // by class
    std::vector<double> next_request, usage, usage_bad;
  };

  double now() const { return steady() - begin_; }
  void note(const std::string& text) { record(text), fflush(record_); }
  void record(const std::string& text) { fprintf(record_, "%9.3f %s\n", now(), text.c_str()); }

  // ---- What a case does ----

  std::size_t add_backend(std::size_t zone) {
    Backend backend;
    backend.host = format("s-%08x", static_cast<unsigned>(0x5be2a07cU + 2654435761U * backends.size()));
    backend.zone = zone;
    backends.push_back(backend);
    index_[backend.host] = backends.size() - 1;
    return backends.size() - 1;
  }
  // A backend that starts now, cold.
  std::size_t start_backend(std::size_t zone) {
    const std::size_t number = add_backend(zone);
    begin_life(number);
    return number;
  }
  void begin_life(std::size_t number) {
    Backend& backend = backends[number];
    backend.alive = true, backend.health = "Ready";
    backend.born_ms = unix_ms(), backend.started = now();
    backend.arrivals.clear();
  }
  // Discovery writes one line with these backends to every watch.
  void tell(const std::vector<std::size_t>& changed) {
    ++version_;
    std::string rows;
    for (const std::size_t number : changed) {
      rows += (rows.empty() ? "" : ",") + row(number);
      listed_at[number][backends[number].health] = now();
    }
    changes_.emplace_back(version_, rows);
    const std::string line = list_text(version_, false, rows);
    note("discovery tells " + line);
    for (auto& call : calls_)
      if (call.watching && earlier_list_.empty()) write_chunk(call, line + "\n");
  }

  // From now on discovery gives the list that it had when `remembered` was taken by remember_list(), or its
  // own again if that is empty. Its watches end at the change.
  [[nodiscard]] std::string remember_list() const { return whole_list(); }
  void serve_list(const std::string& remembered) {
    earlier_list_ = remembered;
    for (auto& call : calls_) call.fd.reset();
    note(remembered.empty() ? "discovery has its own list again" : "discovery gives an earlier list");
  }

  void start_coordinator(std::size_t number) {
    Coordinator& c = coordinators[number];
    c.host = static_cast<int>(number) + kFirstCoordinatorHost;
    if (c.port == 0) c.port = free_port(c.host);
    if (c.known.empty()) c.known = whole_list();
    const std::string config_path = folder_ + "/" + c.name + ".json";
    FILE* file = fopen(config_path.c_str(), "w");
    if (file == nullptr) throw CannotRun{"the configuration can't be written"};
    fputs(config_text(c, number).c_str(), file);
    fclose(file);
    const std::string log_path = folder_ + "/" + c.name + "." + std::to_string(c.incarnation) + ".log";
    ++c.incarnation;
    const std::string listen = address_text(c.host) + ":" + std::to_string(c.port);
    const std::string discovery = address_text(kDiscoveryHost) + ":" + std::to_string(discovery_port_);
    c.pid = fork();
    if (c.pid < 0) throw CannotRun{"no process"};
    if (c.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      const int null = ::open("/dev/null", O_RDONLY);
      dup2(null, 0), dup2(log, 1), dup2(log, 2);
      setenv("GW_NAME", c.name.c_str(), 1), setenv("GW_LISTEN", listen.c_str(), 1);
      setenv("GW_DISCOVERY", discovery.c_str(), 1), setenv("GW_CONFIG", config_path.c_str(), 1);
      setenv("TMPDIR", folder_.c_str(), 1);
      execl("/bin/sh", "sh", "-c", run_command_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    c.expected_to_run = true, c.ready = false, c.retry_at = 0;
    c.channel_free_at = 0;
    note(format("%s starts, process %d", c.name.c_str(), static_cast<int>(c.pid)));
  }
  void signal_coordinator(std::size_t number, int which) {
    Coordinator& c = coordinators[number];
    if (which == SIGTERM || which == SIGKILL) c.expected_to_run = false, c.known = whole_list();
    if (c.pid > 0) kill(c.pid, which);
    note(format("%s gets signal %d", c.name.c_str(), which));
  }
  bool running(std::size_t number) const { return coordinators[number].pid > 0; }

  // Runs the loop until the clock stands at `until`.
  void run_until(double until) {
    while (now() < until) turn();
  }
  void run_while(const std::function<bool()>& condition, double limit, const char* what) {
    const double until = now() + limit;
    while (condition()) {
      if (now() > until) throw CannotRun{what};
      turn();
    }
  }

  void add_proxy(std::size_t zone, std::size_t home, double dial_at) {
    Proxy p;
    p.number = proxies.size(), p.zone = zone, p.home = home, p.dial_at = dial_at;
    p.tables.resize(d.classes.size());
    // A standing table: up to eight listed backends of its zone.
    std::vector<std::string> in_zone;
    for (const auto& backend : backends)
      if (backend.zone == zone) in_zone.push_back(backend.host);
    std::shuffle(in_zone.begin(), in_zone.end(), random);
    in_zone.resize(std::min<std::size_t>(in_zone.size(), 8));
    for (auto& table : p.tables)
      for (const auto& host : in_zone) table.lines[host] = 1;
    p.next_request.resize(d.classes.size()), p.usage.resize(d.classes.size()),
        p.usage_bad.resize(d.classes.size());
    for (std::size_t k = 0; k < d.classes.size(); ++k)
      p.next_request[k] = now() + uniform(0, 1) / (d.rate_per_proxy * d.classes[k].share);
    proxies.push_back(std::move(p));
  }
  double uniform(double from, double to) { return std::uniform_real_distribution<>{from, to}(random); }

  double capacity(const Backend& backend, double at) const {
    const double age = at - backend.started;
    if (age >= d.cold_s) return d.backend_capacity;
    return d.backend_capacity * (d.cold_from + (1 - d.cold_from) * std::max(0.0, age) / d.cold_s);
  }

  // ---- What a case checks ----

  virtual void on_request(Proxy&, std::size_t /*cls*/, Backend&, double /*at*/) {}
  virtual void on_message(Proxy&, double /*at*/) {}  // one has arrived whole
  virtual void on_tick(double /*at*/) {}

  Deployment d;
  std::vector<Backend> backends;
  std::vector<Coordinator> coordinators;
  std::vector<Proxy> proxies;
  // When discovery last told each backend's states.
  std::map<std::size_t, std::map<std::string, double>> listed_at;
  std::mt19937 random{20261204};
  bool crashed = false;
  long long requests = 0, unserved = 0, refused = 0, messages = 0, joins = 0;
  bool goes_elsewhere = true;  // a proxy whose stream breaks dials the next coordinator

 private:
  struct Call {
    Fd fd;
    std::string input, output;
    bool watching = false, close_when_sent = false;
    double last_line = 0;
  };

  // ---- Discovery ----

  std::string row(std::size_t number) const {
    const Backend& b = backends[number];
    return format(
        R"({"host":"%s","dial":"127.0.0.1:%zu","site":"%s","class":"m","block":0,"health":"%s","share":1.0,"born_ms":%lld})",
        b.host.c_str(), 20000 + number % 20000, d.zones[b.zone].c_str(), b.health.c_str(), b.born_ms);
  }
  static std::string list_text(std::uint64_t version, bool whole, const std::string& rows) {
    return "{\"seq\":" + std::to_string(version) + ",\"whole\":" + (whole ? "true" : "false") +
           ",\"hosts\":[" + rows + "]}";
  }
  std::string whole_list() const {
    std::string rows;
    for (std::size_t number = 0; number < backends.size(); ++number)
      if (backends[number].health != "Gone") rows += (rows.empty() ? "" : ",") + row(number);
    return list_text(version_, true, rows);
  }
  static void write_chunk(Call& call, const std::string& text) {
    call.output += format("%zx\r\n", text.size()) + text + "\r\n";
    call.last_line = steady();
  }
  void answer(Call& call) {
    const auto end = call.input.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string target = split(call.input.substr(0, call.input.find("\r\n")), ' ').at(1);
    call.input.erase(0, end + 4);
    note("discovery is asked " + target);
    const auto from_at = target.find("from=");
    if (target.find("watch=1") == std::string::npos) {
      const std::string body = (earlier_list_.empty() ? whole_list() : earlier_list_) + "\n";
      call.output +=
          format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                 body.size()) +
          body;
      return;
    }
    call.output += "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    call.watching = true;
    if (!earlier_list_.empty()) return write_chunk(call, earlier_list_ + "\n");
    const std::uint64_t from =
        from_at == std::string::npos ? 0 : std::strtoull(target.c_str() + from_at + 5, nullptr, 10);
    std::string rows;
    for (const auto& [version, text] : changes_)
      if (version > from) rows += (rows.empty() ? "" : ",") + text;
    write_chunk(call, rows.empty() ? "\n" : list_text(version_, false, rows) + "\n");
  }

  // ---- Configuration ----

  static const char* flag(bool value) { return value ? "true" : "false"; }
  std::string config_text(const Coordinator& c, std::size_t position) const {
    std::string lanes, own_zone, writers, zones;
    for (const auto& k : d.classes) {
      const char* comma = lanes.empty() ? "" : ",";
      lanes +=
          comma +
          format(
              R"({"name":"%s","effect":"%s","goal-time-s":%g,"hard-limit-s":%g,"group":"all","late-worth":0.1,"window-s":5,"worth":%g})",
              k.name.c_str(), k.effect.c_str(), k.aim_s, k.limit_s, k.worth);
      own_zone += std::string{comma} + flag(k.own_zone), writers += std::string{comma} + flag(k.writes);
    }
    for (const auto& zone : d.zones) zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
    std::string text =
        format(R"({"name":"%s","listen":"%s:%d","discovery":"%s:%d","seed":"%016x",)", c.name.c_str(),
               address_text(c.host).c_str(), c.port, address_text(kDiscoveryHost).c_str(), discovery_port_,
               static_cast<unsigned>(77 + 13 * position + c.incarnation));
    text +=
        format(R"("limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":)", d.sockets) + c.known + ",";
    text += R"("settings":{"discovery":")" + d.discovery_mode + R"(","family":"control","family-info":{)";
    text += format(
        R"("backlog":%g,"in-flight-max-s":3.0,"initial-set":8,"intake-per-s":1000,"level-kind":"%s","local-first":false,)",
        d.backlog, d.level_kind.c_str());
    text += format(
        R"("messages-most":%d,"min-conn-cap":200,"one-owner":false,"outlier-after":%d,"per-message":%g,"propagation-s":%g,)",
        d.messages_most, d.outlier_after, d.per_message, d.propagation_s);
    text += format(
        R"("proxies":%d,"push-price":0.04,"push-rate":%g,"ranges":0,"report-every-s":%g,"selects-by":"%s",)",
        d.proxies, d.push_rate, d.report_every_s, d.selects_by.c_str());
    text += format(
        R"("try-aims":1.2,"unserved-max-s":%g,"update-window-s":10,"usual-how":1,"worst-transit-s":%g,)",
        d.unserved_max_s, 2.5 * d.propagation_s);
    text += R"("writers":[)" + writers + R"(],"zone-bound":[)" + own_zone + "]},";
    text += format(
        R"("fleet-size":%d,"lanes":[%s],"limits":{"connect-timeout-s":0.3,"cpu-us-per-s":400000,"keepalive-s":15,"may-probe":false,"may-tell":false,"streams-per-conn":100},)",
        d.coordinators, lanes.c_str());
    text += format(
        R"("models":["m"],"position":%zu,"resolution-s":0.002,"rules":{"ask-within-s":10,"cold-from":%g,"cold-s":%g,"drain-grace-s":%g,"removal-not-binding":%s,"tip-after-s":%g,"tip-multiple":%g},)",
        position, d.cold_from, d.cold_s, d.drain_grace_s, flag(!d.removal_binds), d.tip_after_s,
        d.tip_multiple);
    text += format(
        R"("telemetry":{"fields":["cpu"],"source":"inline"},"weight-kind":"off","worth-by":"request","zone":%zu,"zones":[%s]}})",
        position % d.zones.size(), zones.c_str());
    return text;
  }

  // ---- The loop ----

  void turn() {
    tick();
    std::vector<pollfd> wanted;
    std::vector<std::function<void(short)>> handlers;
    const auto watch = [&](int fd, short events, std::function<void(short)> handler) {
      wanted.push_back({fd, events, 0}), handlers.push_back(std::move(handler));
    };
    watch(discovery_.number, POLLIN, [this](short) { accept_calls(); });
    for (auto& call : calls_)
      watch(call.fd.number, static_cast<short>(POLLIN | (call.output.empty() ? 0 : POLLOUT)),
            [this, &call](short) { serve_call(call); });
    for (auto& c : coordinators) {
      if (c.probe)
        watch(c.probe.number, static_cast<short>(c.probe_connected ? POLLIN : POLLOUT),
              [this, &c](short) { serve_probe(c); });
      for (auto& collector : c.collectors)
        if (collector) watch(collector.number, POLLIN, [this, &collector](short) { drain(collector); });
    }
    for (auto& p : proxies)
      if (p.fd)
        watch(p.fd.number, static_cast<short>(p.connecting ? POLLOUT : POLLIN),
              [this, &p](short) { serve_proxy(p); });
    if (poll(wanted.data(), wanted.size(), 5) <= 0) return;
    for (std::size_t k = 0; k < wanted.size(); ++k)
      if (wanted[k].revents != 0) handlers[k](wanted[k].revents);
    calls_.remove_if([](const Call& call) { return !call.fd; });
  }

  void tick() {
    const double at = now();
    for (std::size_t k = 0; k < coordinators.size(); ++k) {
      Coordinator& c = coordinators[k];
      if (c.pid > 0 && waitpid(c.pid, &exit_status_, WNOHANG) == c.pid) {
        note(format("%s has ended, status %d", c.name.c_str(), exit_status_));
        c.pid = -1, c.ready = false;
        c.probe.reset(), c.collectors.clear();
        if (c.expected_to_run) crashed = true;
      }
      if (c.pid > 0 && c.expected_to_run && at >= c.retry_at) keep_connected(c);
    }
    for (auto& p : proxies) {
      if (!p.fd && at >= p.dial_at) dial(p);
      while (!p.under_way.empty() && p.under_way.front().at <= at) {
        for (const auto& part : p.under_way.front().parts) apply(p, part);
        p.under_way.pop_front();
      }
      for (std::size_t k = 0; k < d.classes.size(); ++k)
        while (p.next_request[k] <= at) {
          request(p, k, at);
          p.next_request[k] += 1 / (d.rate_per_proxy * d.classes[k].share);
        }
    }
    for (auto& call : calls_)
      if (call.watching && steady() - call.last_line > 2) write_chunk(call, "\n"), serve_call(call);
    report(at);
    on_tick(at);
  }

  // ---- Requests ----

  void request(Proxy& p, std::size_t cls, double at) {
    ++requests, ++p.usage[cls];
    Table& table = p.tables[cls];
    const std::string picked = let_in(table, at) ? pick(table, at) : std::string{};
    if (picked.empty()) {
      ++refused, ++unserved, ++p.usage_bad[cls];
      record(format("proxy %zu refuses %s", p.number, d.classes[cls].name.c_str()));
      return;
    }
    Backend& backend = backends[index_.at(picked)];
    on_request(p, cls, backend, at);
    auto& heard = heard_[p.zone][{p.home, picked}];
    ++heard.first;
    backend.arrivals.push_back(at);
    while (backend.arrivals.front() < at - 4) backend.arrivals.pop_front();
    const auto recent =
        std::count_if(backend.arrivals.begin(), backend.arrivals.end(), [&](double t) { return t > at - 1; });
    const bool full = static_cast<double>(recent) > 1.5 * capacity(backend, at) + 2;
    const bool failed =
        !backend.alive || full || (backend.errored_share > 0 && uniform(0, 1) < backend.errored_share);
    record(format("proxy %zu sends %s to %s: %s", p.number, d.classes[cls].name.c_str(), picked.c_str(),
                  failed ? "failed" : "answered"));
    if (failed) {
      ++heard.second, ++unserved, ++p.usage_bad[cls], ++backend.turned_away;
      if (d.outlier_after > 0 && ++table.failed_in_a_row[picked] >= d.outlier_after)
        table.failed_in_a_row[picked] = 0, table.kept_away_until[picked] = at + d.keep_away_s;
    } else {
      ++backend.taken;
      table.failed_in_a_row.erase(picked);
    }
  }
  bool let_in(Table& table, double at) {
    if (table.level < 0 || d.level_kind == "off") return true;
    if (d.level_kind == "share") return table.level >= 1 || uniform(0, 1) < table.level;
    table.tokens = std::min(table.tokens + (at - table.filled_at) * table.level, std::max(1.0, table.level));
    table.filled_at = at;
    if (table.tokens < 1) return false;
    table.tokens -= 1;
    return true;
  }
  // The line that the next request takes; none if the table is empty. A backend that the proxy keeps away
  // from is taken only if there is no other.
  std::string pick(Table& table, double at) {
    std::erase_if(table.kept_away_until, [at](const auto& entry) { return entry.second <= at; });
    std::map<std::string, double> lines = table.lines;
    std::erase_if(lines, [&](const auto& line) { return table.kept_away_until.contains(line.first); });
    if (lines.empty()) lines = table.lines;
    double sum = 0;
    for (const auto& [host, weight] : lines) sum += weight;
    std::string picked;
    if (sum <= 0) return picked;
    if (d.selects_by == "round") {  // evenly by weight
      double most = -1e18;
      for (const auto& [host, weight] : lines)
        if (double& credit = table.credit[host] += weight / sum; credit > most) most = credit, picked = host;
      table.credit[picked] -= 1;
      return picked;
    }
    double rest = uniform(0, sum);
    for (const auto& [host, weight] : lines) {
      picked = host;
      if ((rest -= weight) < 0) break;
    }
    return picked;
  }

  void report(double at) {
    if (at >= next_report_) {
      next_report_ = at + d.report_every_s;
      for (std::size_t zone = 0; zone < d.zones.size(); ++zone) {
        for (const auto& [key, count] : heard_[zone]) {
          const Backend& backend = backends[index_.at(key.second)];
          const auto recent = std::count_if(backend.arrivals.begin(), backend.arrivals.end(),
                                            [&](double t) { return t > at - 2; });
          std::string line = format("heard az=%s host=%s n=%d bad=%d", d.zones[zone].c_str(),
                                    key.second.c_str(), count.first, count.second);
          line += count.first > count.second ? " avg=180.0" : " avg=0";
          line += format(" window=%.1f", 1000 * d.report_every_s);
          if (count.first > count.second)
            line += format(" report=util:%.2f",
                           std::min(1.0, static_cast<double>(recent) / 2 / capacity(backend, at)));
          due_.push_back({at + d.report_late_s, key.first, zone, -1, 0, line + "\r\n"});
        }
        heard_[zone].clear();
      }
      for (auto& p : proxies)
        for (std::size_t k = 0; k < d.classes.size(); ++k) {
          if (p.joined && p.usage[k] > 0)
            due_.push_back(
                {at + d.report_late_s, p.home, p.zone, static_cast<int>(p.number), p.stream,
                 format("usage sidecar=%zu kind=%s n=%.0f bad=%.0f window=%.1f\r\n", p.number,
                        d.classes[k].name.c_str(), p.usage[k], p.usage_bad[k], 1000 * d.report_every_s)});
          p.usage[k] = p.usage_bad[k] = 0;
        }
    }
    while (!due_.empty() && due_.front().at <= at) {
      const Report& r = due_.front();
      if (r.proxy >= 0) {
        Proxy& p = proxies[static_cast<std::size_t>(r.proxy)];
        if (p.joined && p.stream == r.stream) write_report(p.fd, r.text);
      } else if (Coordinator& c = coordinators[r.coordinator];
                 c.ready && r.zone < c.collectors.size() && c.collectors[r.zone]) {
        write_report(c.collectors[r.zone], r.text);
      }
      due_.pop_front();
    }
  }

  // ---- Streams ----

  void write_report(Fd& fd, const std::string& text) {
    record("report: " + text.substr(0, text.size() - 2));
    write_all(fd, text);
  }
  static void write_all(Fd& fd, const std::string& text) {
    if (fd) static_cast<void>(!::send(fd.number, text.data(), text.size(), MSG_NOSIGNAL));
  }
  static void drain(Fd& fd) {
    char bytes[4096];
    const ssize_t n = ::read(fd.number, bytes, sizeof bytes);
    if (n == 0 || (n < 0 && errno != EAGAIN)) fd.reset();
  }
  static Fd dial(const Coordinator& c) {
    Fd fd = stream_socket();
    const sockaddr_in address = loopback(c.host, c.port);
    if (connect(fd.number, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS)
      fd.reset();
    return fd;
  }
  static int connect_error(const Fd& fd) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd.number, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }

  // The sign of life after a start, then a collector for each zone.
  void keep_connected(Coordinator& c) {
    if (!c.ready) {
      if (!c.probe) c.probe = dial(c), c.probe_connected = false;
      return;
    }
    c.collectors.resize(d.zones.size());
    for (std::size_t zone = 0; zone < d.zones.size(); ++zone)
      if (!c.collectors[zone]) {
        c.collectors[zone] = dial(c);
        pollfd ready{c.collectors[zone].number, POLLOUT, 0};
        poll(&ready, 1, 50);
        write_all(c.collectors[zone], "collector az=" + d.zones[zone] + "\r\n");
      }
    c.retry_at = now() + 0.2;
  }
  void serve_probe(Coordinator& c) {
    if (!c.probe_connected) {
      if (connect_error(c.probe) != 0) return c.probe.reset(), void(c.retry_at = now() + 0.05);
      c.probe_connected = true;
      return write_all(c.probe, "ping\r\n");
    }
    char bytes[256];
    const ssize_t n = ::read(c.probe.number, bytes, sizeof bytes);
    const bool pong =
        n > 0 && std::string_view{bytes, static_cast<std::size_t>(n)}.find("pong") != std::string_view::npos;
    c.probe.reset();
    c.retry_at = now() + (pong ? 0 : 0.05);
    if (!pong || c.ready) return;
    c.ready = true, c.ready_at = now();
    note(c.name + " answers");
  }

  void dial(Proxy& p) {
    Coordinator& c = coordinators[p.home];
    if (!c.expected_to_run || !c.ready) return leave(p, "nobody to dial");
    p.fd = dial(c);
    p.connecting = static_cast<bool>(p.fd);
    if (!p.fd) leave(p, "dial failed");
  }
  void leave(Proxy& p, const char* why) {
    if (p.joined) note(format("proxy %zu leaves %s: %s", p.number, coordinators[p.home].name.c_str(), why));
    p.fd.reset();
    p.connecting = p.joined = false;
    p.input.clear(), p.parts.clear(), p.under_way.clear();
    p.dial_at = now() + uniform(d.redial_from_s, d.redial_to_s);
    if (goes_elsewhere) p.home = (p.home + 1) % coordinators.size();
  }
  void serve_proxy(Proxy& p) {
    Coordinator& c = coordinators[p.home];
    if (p.connecting) {
      if (connect_error(p.fd) != 0) return leave(p, "connect failed");
      p.connecting = false, p.joined = true, p.joined_at = now();
      ++p.stream, ++joins;
      p.incarnation = c.incarnation;
      write_all(p.fd, format("joined sidecar=%zu az=%s share=%.2f standing=%d\r\n", p.number,
                             d.zones[p.zone].c_str(), d.rate_per_proxy, p.stream == 1 ? 1 : 0));
      return note(format("proxy %zu joins %s", p.number, c.name.c_str()));
    }
    char bytes[16384];
    const ssize_t n = ::read(p.fd.number, bytes, sizeof bytes);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) return leave(p, n == 0 ? "closed" : "reset");
    p.input.append(bytes, static_cast<std::size_t>(n));
    for (std::size_t end; (end = p.input.find("\r\n")) != std::string::npos;) {
      const std::string line = p.input.substr(0, end);
      p.input.erase(0, end + 2);
      if (line.starts_with("refused")) {
        note(format("%s does not take proxy %zu: ", c.name.c_str(), p.number) + line);
        if (p.refused_at == 0) p.refused_at = p.joined_at, p.refused_by = p.home;
        return leave(p, line.c_str());
      }
      take_part(p, c, line);
    }
  }
  void take_part(Proxy& p, Coordinator& c, const std::string& line) {
    p.refused_at = 0;
    p.parts.push_back(line);
    if (line.find(" continued=1") != std::string::npos) return;
    double cost = d.per_message;
    for (const auto& part : p.parts)
      for (const auto& word : split(part, ' ')) {
        if (word.starts_with("endpoints="))
          cost += 1 + static_cast<double>(std::count(word.begin(), word.end(), ','));
        if (word.starts_with("admit=") || word.starts_with("full=") || word.starts_with("nonce_out=")) ++cost;
      }
    const double at = now();
    c.channel_free_at = std::max(c.channel_free_at, at) + cost / d.push_rate;
    ++messages;
    std::string text;
    for (const auto& part : p.parts) text += " | " + part;
    note(format("%s to proxy %zu, %.0f lines, in effect at %.3f", c.name.c_str(), p.number, cost,
                c.channel_free_at + d.propagation_s) +
         text);
    p.under_way.push_back({c.channel_free_at + d.propagation_s, p.incarnation, std::move(p.parts)});
    p.parts.clear();
    on_message(p, at);
  }
  void apply(Proxy& p, const std::string& part) {
    const auto words = split(part, ' ');
    if (words.empty() || words[0] != "update") throw CannotRun{"a line that no proxy reads: " + part};
    std::set<std::string> routes;
    bool full = false;
    double level = -1;
    std::vector<std::pair<std::string, double>> lines;
    for (const auto& word : words) {
      const auto equals = word.find('=');
      if (equals == std::string::npos) continue;
      const std::string name = word.substr(0, equals), value = word.substr(equals + 1);
      if (name == "full") full = true;
      if (name == "admit") level = std::strtod(value.c_str(), nullptr);
      if (name == "routes")
        for (const auto& route : split(value, '+')) routes.insert(route);
      if (name == "endpoints")
        for (const auto& line : split(value, ',')) {
          const auto colon = line.find(':');
          lines.emplace_back(line.substr(0, colon), std::strtod(line.c_str() + colon + 1, nullptr));
        }
    }
    for (std::size_t k = 0; k < d.classes.size(); ++k) {
      if (!routes.empty() && !routes.contains(d.classes[k].name)) continue;
      Table& table = p.tables[k];
      if (full) table.lines.clear(), table.credit.clear(), table.level = -1;
      if (level >= 0) table.level = level;
      for (const auto& [host, weight] : lines) {
        if (weight > 0)
          table.lines[host] = weight;
        else
          table.lines.erase(host), table.credit.erase(host);
      }
    }
  }

  void accept_calls() {
    for (;;) {
      Fd fd{accept4(discovery_.number, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
      if (!fd) return;
      calls_.emplace_back();
      calls_.back().fd = std::move(fd);
    }
  }
  void serve_call(Call& call) {
    if (!call.fd) return;
    char bytes[4096];
    const ssize_t n = ::read(call.fd.number, bytes, sizeof bytes);
    if (n == 0 || (n < 0 && errno != EAGAIN)) return call.fd.reset();
    if (n > 0) call.input.append(bytes, static_cast<std::size_t>(n)), answer(call);
    if (call.output.empty()) return;
    const ssize_t sent = ::send(call.fd.number, call.output.data(), call.output.size(), MSG_NOSIGNAL);
    if (sent > 0) call.output.erase(0, static_cast<std::size_t>(sent));
  }

  void stop_now(Coordinator& c) {
    if (c.pid <= 0) return;
    kill(c.pid, SIGKILL);
    waitpid(c.pid, nullptr, 0);
    c.pid = -1;
  }

  struct Report {
    double at;
    std::size_t coordinator, zone;
    int proxy, stream;
    std::string text;
  };
  std::string folder_, run_command_;
  FILE* record_ = nullptr;
  double begin_ = 0, next_report_ = 2;
  Fd discovery_;
  int discovery_port_ = 0, exit_status_ = 0;
  std::uint64_t version_ = 41;
  std::string earlier_list_;
  std::vector<std::pair<std::uint64_t, std::string>> changes_;
  std::list<Call> calls_;
  std::map<std::string, std::size_t> index_;
  std::vector<std::map<std::pair<std::size_t, std::string>, std::pair<int, int>>> heard_;  // by proxy zone
  std::deque<Report> due_;
};

// What run.sh passes on, and the exit code.
template <class Scene>
int main_of(int argc, char** argv) {
  if (argc != 4) {
    fprintf(stderr, "usage: case FOLDER RECORD RUN-COMMAND, from the repository's root\n");
    return 2;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the script, however that ends
  alarm(115);
  const char* trouble = std::getenv("TROUBLE");
  try {
    Scene scene{argv[1], argv[2], argv[3]};
    const int code = scene.play(trouble == nullptr || std::string_view{trouble} != "0");
    return scene.crashed ? 2 : code;
  } catch (const std::exception& error) {
    fprintf(stderr, "can't run: %s\n", error.what());
    return 2;
  }
}

}  // namespace world
