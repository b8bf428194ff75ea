// Measures the running program's parts, as ratios within one run: answers a second beside a bare UDP echo with
// the same batching, latency at half of that load, the pause that a change of tables puts on answers, and the
// core's step for growing fleets. Bounded: about 25 s. Loopback only.
#include <netinet/in.h>
#include <pthread.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <thread>

#include "coordinator/coordinator.hpp"
#include "dns/front.hpp"
#include "dns/server.hpp"

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
    s.groups.push_back({s.zones[z], ZoneId{z}, {{*Address::parse("127." + std::to_string(1 + z) + ".0.0"), 16}}, 700});
  s.groups.push_back({"elsewhere", ZoneId{0}, {}, 1});
  s.report_every = Span::seconds(0.5), s.late_after = Span::seconds(0.5);
  s.backlog = 20000, s.lines_per_second = 20000, s.per_message = 4, s.messages_window = Span::seconds(10);
  s.keepalive = Span::seconds(15), s.unserved = Span::seconds(3), s.drain_grace = Span::seconds(5);
  s.cold_for = Span::seconds(15), s.cold_from = 0.2, s.tip_multiple = 3;
  s.use_after = Span::seconds(0.5), s.lifetime_most = Span::seconds(5), s.group_idle = Span::seconds(60);
  s.lines_most = 16, s.addresses_most = 2;
  return s;
}

dns::FrontSettings front_settings(const Settings& s) {
  dns::FrontSettings f{"refill.test", "h.refill.test", {"ns.refill.test"}, *Address::parse("127.0.0.1"), 1, 1232, {}, 16, 2};
  for (const auto& op : s.operations) f.operations.push_back(op.name);
  return f;
}

// A core with n workers that report once a second; stepped as the loop would: every 4 ms, or when it asks.
class Rig {
 public:
  explicit Rig(std::size_t n) : s{settings()}, core{s, coordinator::module_of(s)} {
    for (std::size_t k = 0; k < n; ++k) {
      coordinator::RosterEntry e;
      e.name = "w" + std::to_string(k), e.zone = ZoneId{static_cast<std::uint16_t>(k % 3)};
      e.at.address = *Address::parse("127.1." + std::to_string(k / 200) + "." + std::to_string(1 + k % 200)), e.at.port = 9000;
      roster.push_back(e);
    }
    step({coordinator::RosterHeard{roster}});
    counts.resize(n);
  }
  void step(const std::vector<Input>& inputs) {
    auto e = core.step(now, inputs);
    if (e.published) published = e.published;
    wake = e.wake_at;
  }
  void play(double seconds) {
    const std::size_t n = roster.size();
    for (const Instant end = now + Span::seconds(seconds); now < end;) {
      const Instant next = now + Span::seconds(0.004);
      std::vector<Input> inputs;
      // Each worker's turn comes once a second, evenly spread.
      const std::size_t from = turn % 250 * n / 250, to = (turn % 250 + 1) * n / 250;
      for (std::size_t k = from; k < to; ++k) {
        counts[k] += 5;
        coordinator::LoadSample sample{"b", (next - Instant{}).seconds() + 1e6, false, 0.4, 0.0, {}};
        for (std::uint8_t op = 0; op < 3; ++op)
          for (int z = 1; z < 4; ++z)
            sample.counts.push_back({OperationId{op}, {*Address::parse("127." + std::to_string(z) + ".0.0"), 24}, counts[k],
                                     counts[k], 0, 0, 0.2 * static_cast<double>(counts[k])});
        inputs.emplace_back(coordinator::LoadHeard{BackendId{static_cast<std::uint32_t>(k + 1)}, next, std::move(sample)});
      }
      if (turn % 250 == 0)
        for (std::uint16_t g = 0; g < 4; ++g) inputs.emplace_back(coordinator::LookedUp{ProxyId{g}});
      ++turn;
      now = next;
      const auto began = std::chrono::steady_clock::now();
      if (!inputs.empty()) step(inputs);
      while (wake <= now) step({});
      const auto took = std::chrono::steady_clock::now() - began;
      spent += took, longest = std::max(longest, took);
    }
  }
  Settings s;
  Coordinator core;
  std::vector<coordinator::RosterEntry> roster;
  std::vector<std::uint64_t> counts;
  Instant now = Instant::at_seconds(1000), wake;
  std::shared_ptr<const coordinator::Published> published;
  std::size_t turn = 0;
  std::chrono::steady_clock::duration spent{}, longest{};
};

std::string question(const std::string& name, std::uint16_t type) {
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

// One generator: keeps `window` questions out, or sends `rate` a second; counts what comes back.
Load generate(const Endpoint& to, const std::string& text, std::size_t window, double rate, double seconds, int salt) {
  Load load;
  const net::Fd fd = net::udp_socket({*Address::parse("127.1.0." + std::to_string(salt)), 0});
  sockaddr_in a{};
  a.sin_family = AF_INET, a.sin_port = htons(to.port);
  std::memcpy(&a.sin_addr, to.address.bytes.data(), 4);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) return load;
  constexpr unsigned kBatch = 64;
  std::vector<std::string> out(kBatch, text);
  std::vector<std::array<char, 2048>> in(kBatch);
  std::array<iovec, kBatch> out_parts, in_parts;
  std::array<mmsghdr, kBatch> out_heads{}, in_heads{};
  for (unsigned k = 0; k < kBatch; ++k) {
    out_parts[k] = {out[k].data(), out[k].size()}, in_parts[k] = {in[k].data(), in[k].size()};
    out_heads[k].msg_hdr.msg_iov = &out_parts[k], out_heads[k].msg_hdr.msg_iovlen = 1;
    in_heads[k].msg_hdr.msg_iov = &in_parts[k], in_heads[k].msg_hdr.msg_iovlen = 1;
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
      const int n = sendmmsg(fd.get(), out_heads.data(), static_cast<unsigned>(due), 0);
      sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    const int n = recvmmsg(fd.get(), in_heads.data(), kBatch, MSG_DONTWAIT, nullptr);
    const Instant back = net::monotonic_now();
    for (int k = 0; k < n; ++k) {
      ++got;
      const auto& b = in[static_cast<std::size_t>(k)];
      const auto which = static_cast<std::uint16_t>(static_cast<unsigned char>(b[0]) << 8U | static_cast<unsigned char>(b[1]));
      if (rate > 0) load.latencies.push_back((back - sent_at[which]).seconds());
    }
    // What was lost is not waited for.
    if (rate <= 0 && n <= 0 && sent - got >= window && (back - sent_at[static_cast<std::uint16_t>(id - 1)]).seconds() > 0.05) got = sent;
  }
  load.per_second = static_cast<double>(got) / seconds;
  return load;
}

Load load_of(const Endpoint& to, const std::string& text, double rate, double seconds) {
  Load sum;
  std::vector<Load> parts(2);
  std::vector<std::thread> threads;
  for (int k = 0; k < 2; ++k)
    threads.emplace_back([&, k] { parts[static_cast<std::size_t>(k)] = generate(to, text, 256, rate / 2, seconds, 10 + k); });
  for (int k = 0; k < 2; ++k) pin(threads[static_cast<std::size_t>(k)], k + 1);
  for (auto& t : threads) t.join();
  for (const auto& p : parts) {
    sum.per_second += p.per_second;
    sum.latencies.insert(sum.latencies.end(), p.latencies.begin(), p.latencies.end());
  }
  std::sort(sum.latencies.begin(), sum.latencies.end());
  return sum;
}

double at(const std::vector<double>& sorted, double part) {
  return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

// A server on its own core; `each` runs there every 50 ms.
class Served {
 public:
  Served(Endpoint where, net::UdpServer::Answer answer, std::function<void()> each = {})
      : thread_{[this, where, answer, each] {
          net::Loop loop;
          net::UdpServer server{loop, where, answer};
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
  ~Served() {
    stop_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stop_{false}, ready_{false};
  std::thread thread_;
};

double millis(std::chrono::steady_clock::duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

void answers() {
  Rig rig{16};
  rig.play(3);
  dns::Front front{front_settings(rig.s), rig.core.group_map()};
  front.publish(rig.published, rig.core.group_map());
  const Endpoint where = *Endpoint::parse("127.0.0.1:17353");
  const std::string srv = question("_place-order._tcp.refill.test", 33), address = question("place-order.refill.test", 1);
  const auto serve = [&](std::span<const std::uint8_t> in, const Endpoint& from, std::span<std::uint8_t> out) {
    return front.answer(in, from.address, true, out).size;
  };
  const auto echo = [](std::span<const std::uint8_t> in, const Endpoint&, std::span<std::uint8_t> out) {
    std::copy(in.begin(), in.end(), out.begin());
    return in.size();
  };
  std::printf("Answers a second on one core, median of 3 rounds taken in turn, beside a bare echo with the same batching\n");
  std::vector<double> echoes, srvs, addresses;
  for (int round = 0; round < 3; ++round) {
    {
      const Served s{where, echo};
      echoes.push_back(load_of(where, srv, 0, 1).per_second);
    }
    const Served s{where, serve};
    srvs.push_back(load_of(where, srv, 0, 1).per_second);
    addresses.push_back(load_of(where, address, 0, 1).per_second);
  }
  for (auto* v : {&echoes, &srvs, &addresses}) std::sort(v->begin(), v->end());
  std::printf("  echo %.0f   SRV of 16 lines %.0f (%.2f of echo)   A %.0f (%.2f of echo)\n", echoes[1], srvs[1],
              srvs[1] / echoes[1], addresses[1], addresses[1] / echoes[1]);
  {
    const Served s{where, serve};
    const auto half = load_of(where, srv, srvs[1] / 2, 2);
    std::printf("SRV at half of that load: p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms\n", 1e3 * at(half.latencies, 0.5),
                1e3 * at(half.latencies, 0.99), 1e3 * at(half.latencies, 0.999));
  }
}

// A fleet of 600 whose every weight the roster changes every 50 ms, while answers go on: the module orders every
// line anew. The pause is the core's step with the publication behind it.
void changes() {
  Rig rig{600};
  rig.play(3);
  dns::Front front{front_settings(rig.s), rig.core.group_map()};
  front.publish(rig.published, rig.core.group_map());
  std::vector<double> steps, pauses;
  std::uint64_t orders = rig.core.counters().orders;
  const auto change = [&] {
    for (auto& entry : rig.roster) entry.weight *= 1.01;
    rig.now = rig.now + Span::seconds(1);
    const Input heard = coordinator::RosterHeard{rig.roster};
    const auto began = std::chrono::steady_clock::now();
    rig.step({heard});
    const auto stepped = std::chrono::steady_clock::now();
    front.publish(rig.published, rig.core.group_map());
    steps.push_back(millis(stepped - began));
    pauses.push_back(millis(std::chrono::steady_clock::now() - began));
    // The channel's messages arrive a little later, each a version of its own.
    for (int k = 0; k < 3; ++k) rig.now = rig.now + Span::seconds(0.2), rig.step({});
    front.publish(rig.published, rig.core.group_map());
  };
  const Endpoint where = *Endpoint::parse("127.0.0.1:17354");
  const std::string srv = question("_place-order._tcp.refill.test", 33);
  Load load;
  {
    const Served s{where,
                   [&](std::span<const std::uint8_t> in, const Endpoint& from, std::span<std::uint8_t> out) {
                     return front.answer(in, from.address, true, out).size;
                   },
                   change};
    load = load_of(where, srv, 20000, 2);
  }
  std::sort(pauses.begin(), pauses.end()), std::sort(steps.begin(), steps.end());
  orders = (rig.core.counters().orders - orders) / pauses.size();
  std::printf("A change of 600 lines (%llu orders) every 50 ms: pause p50 %.3f ms (the step %.3f), worst %.3f ms of %zu; answers "
              "meanwhile p50 %.3f ms, p99.9 %.3f ms\n", static_cast<unsigned long long>(orders), at(pauses, 0.5), at(steps, 0.5),
              pauses.back(), pauses.size(), 1e3 * at(load.latencies, 0.5), 1e3 * at(load.latencies, 0.999));
}

void steps() {
  std::printf("The core's steps, a report from each worker a second, 30 s of virtual time\n");
  double base = 0;
  for (const std::size_t n : {100U, 300U, 1000U}) {
    Rig rig{n};
    rig.play(5);
    rig.spent = rig.longest = {};
    rig.play(30);
    const double part = millis(rig.spent) / 30000;
    if (n == 100) base = part;
    std::printf("  %4zu workers: %.2f%% of a core, %.2f times a hundredth of it for each worker at 100; longest step %.2f ms\n", n,
                100 * part, part / base / (static_cast<double>(n) / 100), millis(rig.longest));
  }
}

}  // namespace

// With a word, only that part: answers, changes or steps.
int main(int argc, char** argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  for (const auto& [name, part] : {std::pair<const char*, void (*)()>{"answers", answers}, {"changes", changes}, {"steps", steps}})
    if (only.empty() || only == name) part();
  return 0;
}
