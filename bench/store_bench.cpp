// `gorsemount-store-bench`: the cost of persisting facts. Fleets of 100 to 10,000 workers, of which 5 % are
// below their full share and a tenth of these change every half second. Measures bytes and syncs a second,
// the time to load at startup, and the time for the core to list its facts, which is the only part on the
// answering thread.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <random>

#include "coordinator/coordinator.hpp"
#include "store/store.hpp"

using namespace gorsemount;
using recovery::FactKind;

namespace {

double milliseconds_since(std::chrono::steady_clock::time_point begin) {
  return 1000 * std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}
recovery::ClockReading clock_at(double s) {
  return {"boot", static_cast<std::int64_t>(s * 1e6), static_cast<std::int64_t>(s * 1e6)};
}

recovery::Facts facts_of(int workers, double now, std::mt19937& random) {
  recovery::Facts f;
  for (int k = 0; k < workers; ++k) {
    const std::string name = "worker-" + std::to_string(k);
    f[{FactKind::usual_rate, name}].figures["rate"] = 20;
    f[{FactKind::held_table, name}].figures["version"] = 7;
    if (k % 20 != 0) continue;
    auto& ladder = f[{FactKind::backend_ladder, name}];
    ladder.instance = "10.0.0.1:9000";
    ladder.figures = {{"share", random() % 10 == 0 ? 0.5 + 0.001 * now : 0.5},
                      {"falling", 0},
                      {"eased", 0},
                      {"relapses", 1}};
    ladder.times = {{"next", Instant::at_seconds(now + 5)},
                    {"changed", Instant::at_seconds(1)},
                    {"started", Instant::at_seconds(-500)}};
  }
  return f;
}

void bench_store(int workers, const std::string& folder) {
  std::filesystem::remove_all(folder);
  std::mt19937 random{1};
  const auto disk = store::open_directory(folder);
  store::StoreSettings s;
  s.owner = "bench";
  recovery::FactLog facts_log;
  store::Store out{*disk, s, clock_at(0), {}};
  double worst_write = 0, worst_sync = 0;
  std::uint64_t written = 0;
  constexpr int kRounds = 40;
  for (int k = 1; k <= kRounds; ++k) {
    const auto begin = std::chrono::steady_clock::now();
    facts_log.observe(Instant::at_seconds(0.5 * k), facts_of(workers, 0.5 * k, random));
    out.write(clock_at(0.5 * k), facts_log.after(written));
    worst_write = std::max(worst_write, milliseconds_since(begin));
    out.sync();
    worst_sync = std::max(worst_sync, milliseconds_since(begin));
    written = facts_log.last_sequence();
  }
  const auto begin = std::chrono::steady_clock::now();
  const auto loaded = store::load(*disk, s, clock_at(30));
  std::printf(
      "%6d workers: %8.0f bytes/s, %.1f syncs/s, a write %.2f ms at worst and %.2f with its sync, read at a "
      "start in %.1f ms (%zu facts)\n",
      workers, static_cast<double>(out.bytes()) / (0.5 * kRounds),
      static_cast<double>(out.syncs()) / (0.5 * kRounds), worst_write, worst_sync, milliseconds_since(begin),
      loaded.entries.size());
}

void bench_listing(int workers) {
  coordinator::Settings s;
  s.zones = {"a", "b", "c"};
  s.operations = {{"read", Effect::idempotent, Span::seconds(1), Span::seconds(3), 1}};
  s.groups = {{"g", ZoneId{0}, {}, 100}};
  s.report_every = Span::seconds(0.5), s.late_after = Span::seconds(0.5),
  s.backlog = s.lines_per_second = 1e5, s.messages_window = Span::seconds(10);
  s.keepalive = Span::seconds(15), s.unserved = Span::seconds(3), s.drain_grace = Span::seconds(5),
  s.cold_for = Span::seconds(10), s.cold_from = 0.2;
  s.tip_multiple = 3, s.lifetime_most = Span::seconds(5), s.group_idle = Span::seconds(60), s.lines_most = 16,
  s.addresses_most = 2;
  coordinator::Coordinator core{s, coordinator::policy_decision_maker(s)};
  std::vector<coordinator::RosterEntry> roster;
  for (int k = 0; k < workers; ++k) {
    coordinator::RosterEntry e;
    e.name = "w" + std::to_string(k), e.zone = ZoneId{static_cast<std::uint16_t>(k % 3)};
    e.at = {{}, static_cast<std::uint16_t>(1024 + k)};
    roster.push_back(e);
  }
  static_cast<void>(core.step(Instant::at_seconds(1), {coordinator::RosterUpdate{roster}}));
  for (int k = 0; k < 30; ++k)
    static_cast<void>(core.step(Instant::at_seconds(3 + 0.2 * k), {coordinator::GroupLookup{ProxyId{0}}}));
  std::vector<double> latencies;
  for (int k = 0; k < 2000; ++k) {
    const auto begin = std::chrono::steady_clock::now();
    const auto facts = core.facts();
    latencies.push_back(milliseconds_since(begin));
  }
  std::sort(latencies.begin(), latencies.end());
  std::printf("%6d workers: the core lists its facts in %.3f ms in the middle, %.3f ms at p99.9\n", workers,
              latencies[1000], latencies[1998]);
}

}  // namespace

int main() {
  const std::string folder = (std::filesystem::temp_directory_path() / "gorsemount-store-bench").string();
  for (const int n : {100, 300, 1000, 10000}) bench_store(n, folder);
  for (const int n : {100, 300, 1000}) bench_listing(n);
  std::filesystem::remove_all(folder);
  return 0;
}
