// Benchmarks parts of the program, as ratios within one run: DNS answers a second relative to a plain UDP
// echo with the same batching, latency at half of that load, the pause in answering caused by a table change,
// and the cost of coordinator steps by fleet size. Takes about 25 s, on loopback only.
#include <netinet/in.h>
#include <pthread.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <functional>
#include <optional>
#include <thread>

#include "coordinator/coordinator.hpp"
#include "dns/responder.hpp"
#include "dns/server.hpp"
#include "record/recorder.hpp"
#include "runtime_api/driver.hpp"
#include "standins/forwarder.hpp"

namespace {

using namespace gorsemount;
using coordinator::Coordinator;
using coordinator::Input;
using coordinator::Settings;

Settings settings() {
  Settings s;
  s.zones = {"a", "b", "c"};
  s.operations = {{"refill-check", Effect::idempotent, Span::seconds(1.5), Span::seconds(4), 2},
                  {"stock-lookup", Effect::idempotent, Span::seconds(1.2), Span::seconds(3), 1},
                  {"place-order", Effect::side_effecting, Span::seconds(1.2), Span::seconds(3), 3}};
  for (std::uint16_t z = 0; z < 3; ++z)
    s.groups.push_back(
        {s.zones[z], ZoneId{z}, {{*Address::parse("127." + std::to_string(1 + z) + ".0.0"), 16}}, 700});
  s.groups.push_back({"elsewhere", ZoneId{0}, {}, 1});
  s.report_every = Span::seconds(0.5), s.late_after = Span::seconds(0.5);
  s.backlog = 20000, s.lines_per_second = 20000, s.per_message = 4, s.messages_window = Span::seconds(10);
  s.keepalive = Span::seconds(15), s.unserved = Span::seconds(3), s.drain_grace = Span::seconds(5);
  s.cold_for = Span::seconds(15), s.cold_from = 0.2, s.tip_multiple = 3;
  s.use_after = Span::seconds(0.5), s.lifetime_most = Span::seconds(5), s.group_idle = Span::seconds(60);
  s.lines_most = 16, s.addresses_most = 2;
  return s;
}

dns::ResponderSettings responder_settings(const Settings& s) {
  dns::ResponderSettings f{
      "refill.test", "h.refill.test", {"ns.refill.test"}, *Address::parse("127.0.0.1"), 1, 1232, {}, 16, 2};
  for (const auto& op : s.operations) f.operations.push_back(op.name);
  return f;
}

// A coordinator core with n workers that report once a second. It is stepped like the event loop does: every
// 4 ms, or at its requested wakeup.
class CoreBench {
 public:
  explicit CoreBench(std::size_t n) : s{settings()}, core{s, coordinator::policy_decision_maker(s)} {
    for (std::size_t k = 0; k < n; ++k) {
      coordinator::RosterEntry e;
      e.name = "w" + std::to_string(k), e.zone = ZoneId{static_cast<std::uint16_t>(k % 3)};
      e.at.address = *Address::parse("127.1." + std::to_string(k / 200) + "." + std::to_string(1 + k % 200)),
      e.at.port = 9000;
      roster.push_back(e);
    }
    step({coordinator::RosterUpdate{roster}});
    counts.resize(n);
  }
  void step(const std::vector<Input>& inputs) {
    auto e = core.step(now, inputs);
    if (stepped) stepped(inputs, e);
    if (e.published) published = e.published;
    wake = e.next_wakeup;
  }
  void run_for(double seconds) {
    const std::size_t n = roster.size();
    for (const Instant end = now + Span::seconds(seconds); now < end;) {
      const Instant next = now + Span::seconds(0.004);
      std::vector<Input> inputs;
      // Spreads the workers' reports evenly over each second.
      const std::size_t from = turn % 250 * n / 250, to = (turn % 250 + 1) * n / 250;
      for (std::size_t k = from; k < to; ++k) {
        counts[k] += 5;
        coordinator::LoadSample sample{"b", (next - Instant{}).seconds() + 1e6, false, 0.4, 0.0, {}};
        for (std::uint8_t op = 0; op < 3; ++op)
          for (int z = 1; z < 4; ++z)
            sample.counts.push_back({OperationId{op},
                                     {*Address::parse("127." + std::to_string(z) + ".0.0"), 24},
                                     counts[k],
                                     counts[k],
                                     0,
                                     0,
                                     0.2 * static_cast<double>(counts[k])});
        inputs.emplace_back(
            coordinator::LoadReport{BackendId{static_cast<std::uint32_t>(k + 1)}, next, std::move(sample)});
      }
      if (turn % 250 == 0)
        for (std::uint16_t g = 0; g < 4; ++g) inputs.emplace_back(coordinator::GroupLookup{ProxyId{g}});
      ++turn;
      now = next;
      const auto began = std::chrono::steady_clock::now();
      if (!inputs.empty()) step(inputs);
      while (wake <= now) step({});
      const auto took = std::chrono::steady_clock::now() - began;
      step_time += took, longest_step = std::max(longest_step, took);
    }
  }
  std::function<void(const std::vector<Input>&, const coordinator::Effects&)> stepped;
  Settings s;
  Coordinator core;
  std::vector<coordinator::RosterEntry> roster;
  std::vector<std::uint64_t> counts;
  Instant now = Instant::at_seconds(1000), wake;
  std::shared_ptr<const coordinator::PublishedState> published;
  std::size_t turn = 0;
  std::chrono::steady_clock::duration step_time{}, longest_step{};
};

std::string encode_query(const std::string& name, std::uint16_t type) {
  std::string out{"\0\0\1\0\0\1\0\0\0\0\0\1", 12};
  out += dns::to_wire(name);
  out += std::string{static_cast<char>(type >> 8U), static_cast<char>(type), 0, 1};
  return out + std::string{"\0\0\x29\x04\xd0\0\0\0\0\0\0", 11};
}

void pin(std::thread& thread, int core) {
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(core, &set);
  pthread_setaffinity_np(thread.native_handle(), sizeof set, &set);
}

struct Load {
  double per_second = 0;
  std::vector<double> latencies;  // s, sorted
};

// One load generator: keeps `window` queries in flight, or sends `rate` a second, and counts the responses.
Load generate(const Endpoint& to, const std::string& text, std::size_t window, double rate, double seconds,
              int address_suffix) {
  Load load;
  const net::Fd fd = net::udp_socket({*Address::parse("127.1.0." + std::to_string(address_suffix)), 0});
  sockaddr_in a{};
  a.sin_family = AF_INET, a.sin_port = htons(to.port);
  std::memcpy(&a.sin_addr, to.address.bytes.data(), 4);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) return load;
  constexpr unsigned kBatch = 64;
  std::vector<std::string> out(kBatch, text);
  std::vector<std::array<char, 2048>> in(kBatch);
  std::array<iovec, kBatch> out_parts, in_parts;
  std::array<mmsghdr, kBatch> out_headers{}, in_headers{};
  for (unsigned k = 0; k < kBatch; ++k) {
    out_parts[k] = {out[k].data(), out[k].size()}, in_parts[k] = {in[k].data(), in[k].size()};
    out_headers[k].msg_hdr.msg_iov = &out_parts[k], out_headers[k].msg_hdr.msg_iovlen = 1;
    in_headers[k].msg_hdr.msg_iov = &in_parts[k], in_headers[k].msg_hdr.msg_iovlen = 1;
  }
  std::vector<Instant> sent_at(65536);
  std::uint16_t id = 0;
  std::size_t sent = 0, got = 0;
  const Instant begin = net::monotonic_now(), end = begin + Span::seconds(seconds);
  for (Instant now = begin; now < end; now = net::monotonic_now()) {
    const auto wanted = rate > 0 ? static_cast<std::size_t>(rate * (now - begin).seconds()) : got + window;
    const std::size_t due = std::min<std::size_t>(wanted - std::min(wanted, sent), kBatch);
    for (std::size_t k = 0; k < due; ++k) {
      out[k][0] = static_cast<char>(id >> 8U), out[k][1] = static_cast<char>(id);
      sent_at[id++] = now;
    }
    if (due > 0) {
      const int n = sendmmsg(fd.get(), out_headers.data(), static_cast<unsigned>(due), 0);
      sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    const int n = recvmmsg(fd.get(), in_headers.data(), kBatch, MSG_DONTWAIT, nullptr);
    const Instant received_at = net::monotonic_now();
    for (int k = 0; k < n; ++k) {
      ++got;
      const auto& b = in[static_cast<std::size_t>(k)];
      const auto which = static_cast<std::uint16_t>(static_cast<unsigned char>(b[0]) << 8U |
                                                    static_cast<unsigned char>(b[1]));
      if (rate > 0) load.latencies.push_back((received_at - sent_at[which]).seconds());
    }
    // Lost queries no longer count as in flight.
    if (rate <= 0 && n <= 0 && sent - got >= window &&
        (received_at - sent_at[static_cast<std::uint16_t>(id - 1)]).seconds() > 0.05)
      got = sent;
  }
  load.per_second = static_cast<double>(got) / seconds;
  return load;
}

Load run_load(const Endpoint& to, const std::string& text, double rate, double seconds) {
  Load sum;
  std::vector<Load> parts(2);
  std::vector<std::thread> threads;
  for (int k = 0; k < 2; ++k)
    threads.emplace_back(
        [&, k] { parts[static_cast<std::size_t>(k)] = generate(to, text, 256, rate / 2, seconds, 10 + k); });
  for (int k = 0; k < 2; ++k) pin(threads[static_cast<std::size_t>(k)], k + 1);
  for (auto& t : threads) t.join();
  for (const auto& p : parts) {
    sum.per_second += p.per_second;
    sum.latencies.insert(sum.latencies.end(), p.latencies.begin(), p.latencies.end());
  }
  std::sort(sum.latencies.begin(), sum.latencies.end());
  return sum;
}

double quantile(const std::vector<double>& sorted, double part) {
  return sorted.empty()
             ? 0
             : sorted[std::min(sorted.size() - 1,
                               static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

// A UDP server on its own core; `each` runs on its thread every 50 ms.
class UdpServerThread {
 public:
  UdpServerThread(Endpoint endpoint, net::UdpServer::Answer answer, std::function<void()> each = {})
      : thread_{[this, endpoint, answer, each] {
          net::Loop loop;
          net::UdpServer server{loop, endpoint, answer};
          std::function<void()> watch = [&] {
            if (stop_) return loop.stop();
            if (each) each();
            loop.after(Span::seconds(0.05), watch);
          };
          watch();
          ready_ = true;
          loop.run();
        }} {
    pin(thread_, 0);
    while (!ready_) std::this_thread::yield();
  }
  ~UdpServerThread() {
    stop_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stop_{false}, ready_{false};
  std::thread thread_;
};

double millis(std::chrono::steady_clock::duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

void bench_answers() {
  CoreBench bench{16};
  bench.run_for(3);
  dns::Responder responder{responder_settings(bench.s), bench.core.group_map()};
  responder.publish(bench.published, bench.core.group_map());
  const Endpoint endpoint = *Endpoint::parse("127.0.0.1:17353");
  const std::string srv = encode_query("_place-order._tcp.refill.test", 33),
                    address = encode_query("place-order.refill.test", 1);
  const auto serve = [&](std::span<const std::uint8_t> in, const Endpoint& from,
                         std::span<std::uint8_t> out) {
    return responder.answer(in, from.address, true, out).size;
  };
  const auto echo = [](std::span<const std::uint8_t> in, const Endpoint&, std::span<std::uint8_t> out) {
    std::copy(in.begin(), in.end(), out.begin());
    return in.size();
  };
  std::printf(
      "Answers a second on one core, median of 3 rounds taken in turn, beside a bare echo with the same "
      "batching\n");
  std::vector<double> echoes, srvs, addresses;
  for (int round = 0; round < 3; ++round) {
    {
      const UdpServerThread s{endpoint, echo};
      echoes.push_back(run_load(endpoint, srv, 0, 1).per_second);
    }
    const UdpServerThread s{endpoint, serve};
    srvs.push_back(run_load(endpoint, srv, 0, 1).per_second);
    addresses.push_back(run_load(endpoint, address, 0, 1).per_second);
  }
  for (auto* v : {&echoes, &srvs, &addresses}) std::sort(v->begin(), v->end());
  std::printf("  echo %.0f   SRV of 16 lines %.0f (%.2f of echo)   A %.0f (%.2f of echo)\n", echoes[1],
              srvs[1], srvs[1] / echoes[1], addresses[1], addresses[1] / echoes[1]);
  {
    const UdpServerThread s{endpoint, serve};
    const auto half = run_load(endpoint, srv, srvs[1] / 2, 2);
    std::printf("SRV at half of that load: p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms\n",
                1e3 * quantile(half.latencies, 0.5), 1e3 * quantile(half.latencies, 0.99),
                1e3 * quantile(half.latencies, 0.999));
  }
}

// The roster changes all weights of a fleet of 600 every 50 ms while queries are answered, so the policy
// orders every line again. The pause is the core's step and the publication that follows it.
void bench_changes() {
  CoreBench bench{600};
  bench.run_for(3);
  dns::Responder responder{responder_settings(bench.s), bench.core.group_map()};
  responder.publish(bench.published, bench.core.group_map());
  std::vector<double> steps, pauses;
  std::uint64_t orders = bench.core.counters().orders;
  const auto change = [&] {
    for (auto& entry : bench.roster) entry.weight *= 1.01;
    bench.now = bench.now + Span::seconds(1);
    const Input heard = coordinator::RosterUpdate{bench.roster};
    const auto began = std::chrono::steady_clock::now();
    bench.step({heard});
    const auto stepped = std::chrono::steady_clock::now();
    responder.publish(bench.published, bench.core.group_map());
    steps.push_back(millis(stepped - began));
    pauses.push_back(millis(std::chrono::steady_clock::now() - began));
    // The channel's messages arrive slightly later, each publishing another version.
    for (int k = 0; k < 3; ++k) bench.now = bench.now + Span::seconds(0.2), bench.step({});
    responder.publish(bench.published, bench.core.group_map());
  };
  const Endpoint endpoint = *Endpoint::parse("127.0.0.1:17354");
  const std::string srv = encode_query("_place-order._tcp.refill.test", 33);
  Load load;
  {
    const UdpServerThread s{
        endpoint,
        [&](std::span<const std::uint8_t> in, const Endpoint& from, std::span<std::uint8_t> out) {
          return responder.answer(in, from.address, true, out).size;
        },
        change};
    load = run_load(endpoint, srv, 20000, 2);
  }
  std::sort(pauses.begin(), pauses.end()), std::sort(steps.begin(), steps.end());
  orders = (bench.core.counters().orders - orders) / pauses.size();
  std::printf(
      "A change of 600 lines (%llu orders) every 50 ms: pause p50 %.3f ms (the step %.3f), worst %.3f ms of "
      "%zu; answers "
      "meanwhile p50 %.3f ms, p99.9 %.3f ms\n",
      static_cast<unsigned long long>(orders), quantile(pauses, 0.5), quantile(steps, 0.5), pauses.back(),
      pauses.size(), 1e3 * quantile(load.latencies, 0.5), 1e3 * quantile(load.latencies, 0.999));
}

// Answers queries while the core of a fleet of 300 runs, with and without recording each step.
void bench_recording() {
  const auto folder = std::filesystem::temp_directory_path() / "gorsemount-bench-record";
  std::filesystem::create_directories(folder);
  const Endpoint endpoint = *Endpoint::parse("127.0.0.1:17356");
  const std::string srv = encode_query("_place-order._tcp.refill.test", 33);
  std::array<std::vector<double>, 2> per_second;
  std::array<double, 2> longest_step{};
  std::array<std::size_t, 2> turns{};
  std::uint64_t steps = 0, bytes = 0, dropped = 0;
  for (int round = 0; round < 10; ++round) {
    const bool with = (round + round / 2) % 2 == 1;  // alternates which variant runs first
    CoreBench bench{300};
    bench.run_for(3);
    dns::Responder responder{responder_settings(bench.s), bench.core.group_map()};
    responder.publish(bench.published, bench.core.group_map());
    const auto file = (folder / "bench.h5").string();
    {
      background::Executor background{net::monotonic_now};
      std::optional<record::Recorder> recorder;
      if (with) {
        recorder.emplace(
            background, record::RecorderSettings{file, 2ULL << 30U, 4096}, record::Header{}, Instant{},
            [](const std::string& why) { std::printf("  recording stopped: %s\n", why.c_str()); });
        bench.stepped = [&](const std::vector<Input>& inputs, const coordinator::Effects& effects) {
          recorder->step(bench.now, inputs, effects), ++steps;
        };
      }
      bench.longest_step = {}, bench.turn = 0;
      const UdpServerThread s{
          endpoint,
          [&](std::span<const std::uint8_t> in, const Endpoint& from, std::span<std::uint8_t> out) {
            return responder.answer(in, from.address, true, out).size;
          },
          [&, last = net::monotonic_now()]() mutable {
            // The number of steps follows the clock, so both variants run equally many even if the loop is
            // late.
            const Instant now = net::monotonic_now();
            bench.run_for((now - std::exchange(last, now)).seconds());
            responder.publish(bench.published, bench.core.group_map());
          }};
      per_second[with ? 1 : 0].push_back(run_load(endpoint, srv, 0, 2).per_second);
      longest_step[with ? 1 : 0] = std::max(longest_step[with ? 1 : 0], millis(bench.longest_step)),
                              turns[with ? 1 : 0] += bench.turn;
      if (recorder)
        for (const auto& [what, n] : recorder->dropped_counts()) dropped += n;
    }
    if (with) bytes += std::filesystem::file_size(file);
  }
  std::filesystem::remove_all(folder);
  for (auto& v : per_second) std::sort(v.begin(), v.end());
  std::printf(
      "Recording the steps of 300 workers: answers a second %.0f, %.3f of without (%.0f), median of 5 rounds "
      "taken in turn; longest step %.2f ms "
      "(%.2f); %zu turns of the loop (%zu); %llu steps, %.0f bytes each, %llu left out\n",
      per_second[1][2], per_second[1][2] / per_second[0][2], per_second[0][2], longest_step[1],
      longest_step[0], turns[1], turns[0], static_cast<unsigned long long>(steps),
      static_cast<double>(bytes) / static_cast<double>(std::max<std::uint64_t>(1, steps)),
      static_cast<unsigned long long>(dropped));
}

void bench_steps() {
  std::printf("The core's steps, a report from each worker a second, 30 s of virtual time\n");
  double base = 0;
  for (const std::size_t n : {100U, 300U, 1000U}) {
    CoreBench bench{n};
    bench.run_for(5);
    bench.step_time = bench.longest_step = {};
    bench.run_for(30);
    const double part = millis(bench.step_time) / 30000;
    if (n == 100) base = part;
    std::printf(
        "  %4zu workers: %.2f%% of a core, %.2f times a hundredth of it for each worker at 100; longest step "
        "%.2f ms\n",
        n, 100 * part, part / base / (static_cast<double>(n) / 100), millis(bench.longest_step));
  }
}

}  // namespace

// ---- Forwarders ----------------------------------------------------------------------------------------

// Stand-in forwarders on their own core. `slow`: the first one stops responding after stop_first().
class ForwarderThread {
 public:
  ForwarderThread(std::size_t n, bool slow) : at(n) {
    for (std::size_t k = 0; k < n; ++k)
      at[k] = *Endpoint::parse("127.6.3." + std::to_string(k + 1) + ":19999");
    thread_ = std::thread{[this, n, slow] {
      net::Loop loop;
      const std::string file = (std::filesystem::temp_directory_path() / "gorsemount-bench.records").string();
      standins::Recorder recorder{file};
      std::vector<std::unique_ptr<standins::Forwarder>> forwarders;
      for (std::size_t k = 0; k < n; ++k) {
        Endpoint listen = at[k];
        listen.port = 18000;
        forwarders.push_back(std::make_unique<standins::Forwarder>(
            loop, recorder,
            standins::ForwarderSettings{"f" + std::to_string(k),
                                        "a",
                                        listen,
                                        at[k],
                                        {{"refill-check", "idempotent", 1, {}, {}, Span::seconds(2), 1}},
                                        {},
                                        false},
            k));
      }
      std::function<void()> watch = [&] {
        if (stop_) return loop.stop();
        if (slow && stop_first_) forwarders[0]->inject_fault(standins::InjectedFaultKind::forwarder_slow);
        loop.after(Span::seconds(0.01), watch);
      };
      watch();
      ready_ = true;
      loop.run();
      forwarders.clear();
      std::filesystem::remove(file);
    }};
    pin(thread_, 3);
    while (!ready_) std::this_thread::yield();
  }
  ~ForwarderThread() {
    stop_ = true;
    thread_.join();
  }
  void stop_first() { stop_first_ = true; }
  std::vector<Endpoint> at;

 private:
  std::atomic<bool> stop_{false}, ready_{false}, stop_first_{false};
  std::thread thread_;
};

std::shared_ptr<coordinator::DesiredTable> make_table(std::uint64_t version, std::size_t lines) {
  auto t = std::make_shared<coordinator::DesiredTable>();
  t->version = version;
  t->operations.push_back({"refill-check", {}, {}, -1});
  for (std::size_t k = 0; k < lines; ++k) {
    const std::string name = "w" + std::to_string(k);
    t->known_backends.push_back(name);
    const double weight = k == 0 ? 1 : 0.1 + 0.8 * static_cast<double>((k * 7 + version * 13) % 97) / 97;
    t->operations[0].lines.push_back({BackendId{static_cast<std::uint32_t>(k)}, name,
                                      *Endpoint::parse("127.6.0." + std::to_string(k % 250 + 1) + ":9000"),
                                      weight, false});
  }
  return t;
}

// A driver on an event loop that records which table versions came into force, and how fast.
struct DriverBench {
  DriverBench(net::Loop& on, const std::vector<Endpoint>& at) : loop{on} {
    runtime_api::DriverSettings s;
    for (std::size_t k = 0; k < at.size(); ++k)
      s.targets.push_back(
          {ProxyId{static_cast<std::uint16_t>(30000 + k)}, "f" + std::to_string(k), at[k], ""});
    s.operations = {"refill-check"};
    s.stats_interval = Span::seconds(1), s.verify_interval = Span::seconds(0.5);
    s.response_timeout = Span::seconds(1), s.reconnect_delay = Span::seconds(0.2);
    driver = std::make_unique<runtime_api::Driver>(
        loop, s,
        runtime_api::DriverHooks{
            [this](Input i) { joined += std::holds_alternative<coordinator::ForwarderJoined>(i) ? 1 : 0; },
            [](const std::string&) { return std::nullopt; },
            [](bool, const std::string&, const std::vector<std::pair<std::string, std::string>>&) {},
            {},
            [this](ProxyId, std::uint64_t version, Span took, std::size_t changes) {
              if (version == wanted_version) ++in_force, times.push_back(took.seconds()), sent += changes;
            }});
  }
  void deliver(std::size_t n, std::size_t lines) {
    const auto t = make_table(++wanted_version, lines);
    in_force = sent = 0;
    for (std::size_t k = 0; k < n; ++k) driver->deliver(ProxyId{static_cast<std::uint16_t>(30000 + k)}, t);
  }
  // Runs until n forwarders have the wanted version, or the time limit in seconds has passed. Returns the
  // elapsed seconds.
  double wait_in_force(std::size_t n, double timeout) {
    const Instant began = net::monotonic_now();
    std::function<void()> watch = [&] {
      if (in_force >= n || (net::monotonic_now() - began).seconds() > timeout) return loop.stop();
      loop.after(Span::seconds(0.0005), watch);
    };
    watch();
    loop.run();
    return (net::monotonic_now() - began).seconds();
  }
  void run(double s) {
    loop.after(Span::seconds(s), [this] { loop.stop(); });
    loop.run();
  }
  net::Loop& loop;
  std::unique_ptr<runtime_api::Driver> driver;
  std::size_t joined = 0, in_force = 0, sent = 0;
  std::uint64_t wanted_version = 0;
  std::vector<double> times;
};

double thread_seconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}

// The time to write the same number of bytes to n sockets whose readers discard them, s.
double plain_write_seconds(std::size_t n, std::size_t bytes) {
  const Endpoint at = *Endpoint::parse("127.6.4.1:19997");
  std::atomic<std::size_t> got{0};
  std::atomic<bool> stop{false}, ready{false};
  std::thread sink{[&] {
    net::Loop loop;
    std::vector<std::shared_ptr<net::Connection>> peers;
    net::Listener listener{
        loop, at, [&](net::Fd fd, const Endpoint&) {
          peers.push_back(net::Connection::make(
              loop, std::move(fd), {1U << 20U, 1U << 20U, Span::seconds(60)},
              [&](std::string_view in) { return got += in.size(), in.size(); }, [](const char*) {}));
        }};
    std::function<void()> watch = [&] {
      if (stop) return loop.stop();
      loop.after(Span::seconds(0.01), watch);
    };
    watch();
    ready = true;
    loop.run();
  }};
  pin(sink, 3);
  while (!ready) std::this_thread::yield();
  net::Loop loop;
  std::vector<std::shared_ptr<void>> attempts;
  std::vector<std::shared_ptr<net::Connection>> out;
  for (std::size_t k = 0; k < n; ++k)
    attempts.push_back(net::connect(loop, at, {}, [&](net::Fd fd, int) {
      out.push_back(net::Connection::make(
          loop, std::move(fd), {1U << 20U, 64U << 20U, Span::seconds(60)},
          [](std::string_view in) { return in.size(); }, [](const char*) {}));
    }));
  loop.after(Span::seconds(0.3), [&] { loop.stop(); });
  loop.run();
  const std::string text(bytes / n, 'x');
  const Instant began = net::monotonic_now();
  for (const auto& c : out) c->send(text);
  std::function<void()> watch = [&] {
    if (got >= text.size() * n || (net::monotonic_now() - began).seconds() > 5) return loop.stop();
    loop.after(Span::seconds(0.0002), watch);
  };
  watch();
  loop.run();
  const double took = (net::monotonic_now() - began).seconds();
  stop = true;
  sink.join();
  return took;
}

void bench_forwarders() {
  constexpr std::size_t kForwarders = 150, kLines = 100;
  const auto in_force = [&](bool slow, double& p50, double& p99) {
    ForwarderThread forwarders{kForwarders, slow};
    net::Loop loop;
    DriverBench driver_bench{loop, forwarders.at};
    driver_bench.run(0.5);
    driver_bench.deliver(kForwarders, kLines);
    driver_bench.wait_in_force(kForwarders, 5);
    forwarders.stop_first();
    driver_bench.run(0.1);
    driver_bench.times.clear();
    for (int k = 0; k < 40; ++k) {
      driver_bench.deliver(kForwarders, 10);
      driver_bench.wait_in_force(slow ? kForwarders - 1 : kForwarders, 0.5);
      driver_bench.run(0.02);
    }
    std::sort(driver_bench.times.begin(), driver_bench.times.end());
    p50 = quantile(driver_bench.times, 0.5), p99 = quantile(driver_bench.times, 0.99);
  };
  {
    ForwarderThread forwarders{kForwarders, false};
    net::Loop loop;
    DriverBench driver_bench{loop, forwarders.at};
    driver_bench.run(0.5);
    driver_bench.deliver(kForwarders, kLines);
    driver_bench.wait_in_force(kForwarders, 5);
    std::vector<double> times, own, plain;
    std::size_t lines = 0;
    for (int k = 0; k < 5; ++k) {
      const double before = thread_seconds();
      const Instant began = net::monotonic_now();
      driver_bench.deliver(kForwarders, kLines);
      driver_bench.wait_in_force(kForwarders, 5);
      times.push_back((net::monotonic_now() - began).seconds());
      own.push_back(thread_seconds() - before);
      lines = driver_bench.sent;
      plain.push_back(plain_write_seconds(
          kForwarders, lines * std::string{"set server refill-check/w50 weight 128\n"}.size()));
    }
    std::sort(times.begin(), times.end()), std::sort(plain.begin(), plain.end()),
        std::sort(own.begin(), own.end());
    std::printf(
        "The driver's own processor time allows %.0f lines a second, planned, written and confirmed\n",
        static_cast<double>(lines) / own[2]);
    std::printf(
        "Lines to %zu forwarders, each confirmed: %.0f a second; a bare write of the same bytes, read: %.0f "
        "(%.2f of it)\n",
        kForwarders, static_cast<double>(lines) / times[2], static_cast<double>(lines) / plain[2],
        plain[2] / times[2]);
  }
  double p50 = 0, p99 = 0, slow50 = 0, slow99 = 0;
  in_force(false, p50, p99);
  in_force(true, slow50, slow99);
  std::printf(
      "From order to in force, 10 lines to each of %zu: p50 %.2f ms, p99 %.2f ms; with one that does not "
      "answer p50 %.2f ms, "
      "p99 %.2f ms (%.2f and %.2f of without)\n",
      kForwarders, 1e3 * p50, 1e3 * p99, 1e3 * slow50, 1e3 * slow99, slow50 / p50, slow99 / p99);
  // DNS answers on the event loop that drives the forwarders, with and without changing all of them four
  // times a second.
  CoreBench bench{16};
  bench.run_for(3);
  dns::Responder responder{responder_settings(bench.s), bench.core.group_map()};
  responder.publish(bench.published, bench.core.group_map());
  const std::string srv = encode_query("_place-order._tcp.refill.test", 33);
  const Endpoint endpoint = *Endpoint::parse("127.0.0.1:17355");
  double without = 0, with = 0;
  for (const bool changing : {false, true, false, true}) {
    ForwarderThread forwarders{kForwarders, false};
    std::atomic<bool> stop{false}, ready{false};
    std::thread server{[&] {
      net::Loop loop;
      DriverBench driver_bench{loop, forwarders.at};
      net::UdpServer udp{
          loop, endpoint,
          [&](std::span<const std::uint8_t> in, const Endpoint& from, std::span<std::uint8_t> out) {
            return responder.answer(in, from.address, true, out).size;
          }};
      std::function<void()> turn = [&] {
        if (stop) return loop.stop();
        if (changing) driver_bench.deliver(kForwarders, 10);
        loop.after(Span::seconds(0.25), turn);
      };
      loop.after(Span::seconds(0.5), [&] { ready = true, turn(); });
      loop.run();
    }};
    pin(server, 0);
    while (!ready) std::this_thread::yield();
    (changing ? with : without) += run_load(endpoint, srv, 0, 1.5).per_second / 2;
    stop = true;
    server.join();
  }
  std::printf(
      "DNS answers a second while 150 forwarders get 10 lines four times a second: %.0f, %.2f of without "
      "(%.0f)\n",
      with, with / without, without);
}

// Runs all parts, or only the one named: answers, changes, steps, recording or forwarders.
int main(int argc, char** argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  for (const auto& [name, part] : {std::pair<const char*, void (*)()>{"answers", bench_answers},
                                   {"changes", bench_changes},
                                   {"steps", bench_steps},
                                   {"recording", bench_recording},
                                   {"forwarders", bench_forwarders}})
    if (only.empty() || only == name) part();
  return 0;
}
