// `gorsemount-store-bench`: what remembering costs. Facts of fleets of 100 to 10,000 workers of which a
// twentieth is below its full share and a tenth of the ladders moves each half second: bytes and syncs a
// second, time to read at a start; and how long the core takes to list its facts, which is all that the
// thread that answers has to do with it.
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

double since(std::chrono::steady_clock::time_point begin) {
  return 1000 * std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}
recovery::ClockReading at(double s) {
  return {"boot", static_cast<std::int64_t>(s * 1e6), static_cast<std::int64_t>(s * 1e6)};
}

recovery::Facts facts_of(int workers, double now, std::mt19937& chance) {
  recovery::Facts f;
  for (int k = 0; k < workers; ++k) {
    const std::string name = "worker-" + std::to_string(k);
    f[{FactKind::usual_rate, name}].figures["rate"] = 20;
    f[{FactKind::held_table, name}].figures["version"] = 7;
    if (k % 20 != 0) continue;
    auto& ladder = f[{FactKind::backend_ladder, name}];
    ladder.instance = "10.0.0.1:9000";
    ladder.figures = {{"share", chance() % 10 == 0 ? 0.5 + 0.001 * now : 0.5},
                      {"falling", 0},
                      {"eased", 0},
                      {"relapses", 1}};
    ladder.times = {{"next", Instant::at_seconds(now + 5)},
                    {"changed", Instant::at_seconds(1)},
                    {"started", Instant::at_seconds(-500)}};
  }
  return f;
}

void write_down(int workers, const std::string& folder) {
  std::filesystem::remove_all(folder);
  std::mt19937 chance{1};
  const auto disk = store::open_directory(folder);
  store::StoreSettings s;
  s.owner = "bench";
  recovery::FactLog known;
  store::Store out{*disk, s, at(0), {}};
  double worst = 0, slowest = 0;
  std::uint64_t written = 0;
  constexpr int kRounds = 40;
  for (int k = 1; k <= kRounds; ++k) {
    const auto begin = std::chrono::steady_clock::now();
    known.observe(Instant::at_seconds(0.5 * k), facts_of(workers, 0.5 * k, chance));
    out.write(at(0.5 * k), known.after(written));
    worst = std::max(worst, since(begin));
    out.sync();
    slowest = std::max(slowest, since(begin));
    written = known.last_sequence();
  }
  const auto begin = std::chrono::steady_clock::now();
  const auto loaded = store::load(*disk, s, at(30));
  std::printf(
      "%6d workers: %8.0f bytes/s, %.1f syncs/s, a write %.2f ms at worst and %.2f with its sync, read at a "
      "start in %.1f ms (%zu facts)\n",
      workers, static_cast<double>(out.bytes()) / (0.5 * kRounds),
      static_cast<double>(out.syncs()) / (0.5 * kRounds), worst, slowest, since(begin),
      loaded.entries.size());
}

void list(int workers) {
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
  std::vector<double> took;
  for (int k = 0; k < 2000; ++k) {
    const auto begin = std::chrono::steady_clock::now();
    const auto facts = core.facts();
    took.push_back(since(begin));
  }
  std::sort(took.begin(), took.end());
  std::printf("%6d workers: the core lists its facts in %.3f ms in the middle, %.3f ms at p99.9\n", workers,
              took[1000], took[1998]);
}

}  // namespace

int main() {
  const std::string folder = (std::filesystem::temp_directory_path() / "gorsemount-store-bench").string();
  for (const int n : {100, 300, 1000, 10000}) write_down(n, folder);
  for (const int n : {100, 300, 1000}) list(n);
  std::filesystem::remove_all(folder);
  return 0;
}
