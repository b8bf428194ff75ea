// Operations that only backends in the proxy's zone may serve: they have no line of another zone, and every
// proxy keeps one while its zone has a ready, warm backend, in whichever way its subset loses its own.
#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "helpers.hpp"

namespace gorsemount::testing {

namespace {

constexpr std::uint16_t kZones = 10;
constexpr std::uint16_t kProxiesPerZone = 4;
constexpr std::uint16_t kProxies = kZones * kProxiesPerZone;
constexpr unsigned kBackendsPerZone = 3;
constexpr OperationId kZoneBoundOperation{2};
const std::vector<OperationId> kOtherOperations{OperationId{0}, OperationId{1}};

ZoneId zone_of_proxy(ProxyId proxy) {
  return ZoneId{static_cast<std::uint16_t>(proxy.value / kProxiesPerZone)};
}

Settings zone_bound_settings() {
  Settings s = settings(AdmissionMode::off);
  s.operations.push_back({Effect::idempotent, Span::seconds(1), 1, true});
  s.proxies = kProxies;
  s.report_every = Span::seconds(2);
  s.push_rate = 5600, s.backlog = 11200, s.per_message = 4;
  return s;
}

// A channel in which the tables of all proxies leave room for removals and needed lines, not for the rest.
Settings full_channel_settings() {
  Settings s = zone_bound_settings();
  s.backlog =
      1630;  // the tables of all proxies cost 1,300; others may fill it to 1,304, urgent ones to 1,467
  return s;
}

// A fleet of three backends in each of ten zones, which is partitioned into two subsets, and four proxies in
// each zone. Keeps the tables that the orders have set up.
class ZonedFleet {
 public:
  explicit ZonedFleet(Settings s = zone_bound_settings()) : policy{std::move(s), 7} {
    for (std::uint16_t zone = 0; zone < kZones; ++zone)
      for (unsigned k = 0; k < kBackendsPerZone; ++k) {
        const BackendId id{100U + zone * kBackendsPerZone + k};
        fleet[id] = {id, ZoneId{zone}, Availability::ready, 1, {}};
      }
  }
  void start() {
    std::vector<Event> events{full_list()};
    for (std::uint16_t p = 0; p < kProxies; ++p)
      events.emplace_back(ProxyJoined{ProxyId{p}, zone_of_proxy(ProxyId{p}), 2.3});
    send(events);
  }
  [[nodiscard]] BackendListUpdate full_list(ListScope scope = ListScope::cached) const {
    BackendListUpdate list{scope, {}};
    for (const auto& [id, entry] : fleet) list.entries.push_back(entry);
    return list;
  }
  void send(const std::vector<Event>& events) {
    for (const auto& order : policy.handle(now, events)) {
      if (const auto* change = std::get_if<SetWeight>(&order)) {
        tables[change->table][change->backend] = change->weight;
        if (change->weight <= 0) tables[change->table].erase(change->backend);
      } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
        const bool zone_bound = bind->operations == std::vector{kZoneBoundOperation};
        EXPECT_TRUE(zone_bound || bind->operations == kOtherOperations);
        (zone_bound ? zone_bound_tables : bound)[bind->proxy] = bind->table;
      }
    }
  }
  // All proxies come again at once, and their tables fill the channel.
  void rejoin_all() {
    std::vector<Event> events;
    for (std::uint16_t p = 0; p < kProxies; ++p) events.emplace_back(ProxyLeft{ProxyId{p}});
    for (std::uint16_t p = 0; p < kProxies; ++p)
      events.emplace_back(ProxyJoined{ProxyId{p}, zone_of_proxy(ProxyId{p}), 2.3});
    bound.clear(), zone_bound_tables.clear();
    send(events);
  }
  void set(BackendId id, Availability availability, std::optional<Instant> started = {}) {
    auto& entry = fleet.at(id);
    entry.availability = availability, entry.started = started;
    send({BackendListUpdate{ListScope::delta, {entry}}});
  }
  void wait(double seconds) {
    for (double passed = 0; passed < seconds; passed += 0.25)
      now = now + Span::seconds(0.25), send({TimerFired{}});
  }
  // One round of reports, `tries` from each zone on each backend; `errored` gives how many fail.
  using Errored = std::function<int(ZoneId from, const BackendListUpdate::Entry& backend)>;
  void round(int tries, const Errored& errored) {
    wait(2);
    std::vector<Event> events;
    for (std::uint16_t from = 0; from < kZones; ++from)
      for (const auto& [id, entry] : fleet)
        if (entry.availability == Availability::ready)
          events.emplace_back(BackendReport{ZoneId{from},
                                            id,
                                            tries,
                                            errored(ZoneId{from}, entry),
                                            Span::seconds(0.2),
                                            Span::seconds(2),
                                            {}});
    send(events);
  }
  [[nodiscard]] const std::map<BackendId, double>& zone_bound_lines(ProxyId proxy) const {
    static const std::map<BackendId, double> none;
    const auto table = zone_bound_tables.find(proxy);
    if (table == zone_bound_tables.end()) return none;
    const auto lines = tables.find(table->second);
    return lines == tables.end() ? none : lines->second;
  }
  // Zones with a bound proxy that has no line for the operation that is bound to its zone.
  [[nodiscard]] std::set<ZoneId> zones_without_line() const {
    std::set<ZoneId> zones;
    for (const auto& [proxy, table] : bound) {
      const auto& lines = zone_bound_lines(proxy);
      if (lines.empty()) zones.insert(zone_of_proxy(proxy));
      for (const auto& [id, weight] : lines)
        EXPECT_EQ(fleet.at(id).zone, zone_of_proxy(proxy)) << "a line of another zone";
    }
    return zones;
  }
  // A backend that is the only one of its zone in its subset's table.
  [[nodiscard]] BackendId sole_backend_of_a_zone() const {
    for (const auto& [table, lines] : shared_tables()) {
      std::map<ZoneId, std::vector<BackendId>> by_zone;
      for (const auto& [id, weight] : lines) by_zone[fleet.at(id).zone].push_back(id);
      for (const auto& [zone, backends] : by_zone)
        if (backends.size() == 1) return backends.front();
    }
    ADD_FAILURE() << "no subset has a single backend of a zone";
    return {};
  }
  // The tables of the subsets, for the operations that are bound to no zone.
  [[nodiscard]] std::map<TableId, std::map<BackendId, double>> shared_tables() const {
    std::map<TableId, std::map<BackendId, double>> shared;
    for (const auto& [proxy, table] : bound) shared[table] = tables.at(table);
    return shared;
  }
  // Weight of a zone's lines in a proxy's shared table, and of its lines for the bound operation.
  [[nodiscard]] double shared_weight(ProxyId proxy, ZoneId zone) const {
    double total = 0;
    for (const auto& [id, weight] : tables.at(bound.at(proxy)))
      if (fleet.at(id).zone == zone) total += weight;
    return total;
  }
  [[nodiscard]] double zone_bound_weight(ProxyId proxy) const {
    double total = 0;
    for (const auto& [id, weight] : zone_bound_lines(proxy)) total += weight;
    return total;
  }

  Policy policy;
  Instant now = Instant::at_seconds(1000);
  std::map<BackendId, BackendListUpdate::Entry> fleet;
  std::map<TableId, std::map<BackendId, double>> tables;
  std::map<ProxyId, TableId> bound, zone_bound_tables;
};

const std::set<ZoneId> kNone;

}  // namespace

// Guards against a subset that loses its last line of a zone when a backend drains: the zone's proxies were
// refused for the rest of the run.
TEST(ZoneBound, ProxiesKeepALineWhenTheirSubsetsLastBackendOfTheZoneDrains) {
  ZonedFleet f;
  f.start();
  ASSERT_EQ(f.shared_tables().size(), 2U);
  ASSERT_EQ(f.bound.size(), kProxies);
  ASSERT_EQ(f.zones_without_line(), kNone);
  for (std::uint16_t zone = 0; zone < kZones; ++zone) {
    f.set(BackendId{100U + zone * kBackendsPerZone}, Availability::draining);
    EXPECT_EQ(f.zones_without_line(), kNone) << "zone " << zone << ", in the reply to the drain";
    f.wait(1);
  }
  for (std::uint16_t zone = 0; zone < kZones; ++zone)
    f.set(BackendId{100U + zone * kBackendsPerZone}, Availability::gone);
  f.wait(5);
  EXPECT_EQ(f.zones_without_line(), kNone);
}

// Guards against a partition that leaves a subset without a backend of a zone from the beginning.
TEST(ZoneBound, ProxiesKeepALineOfAZoneWithFewerBackendsThanSubsets) {
  ZonedFleet f;
  for (std::uint16_t zone = 0; zone < 3; ++zone)
    for (unsigned k = 1; k < kBackendsPerZone; ++k)
      f.fleet.erase(BackendId{100U + zone * kBackendsPerZone + k});
  f.start();
  ASSERT_EQ(f.shared_tables().size(), 2U);
  EXPECT_EQ(f.bound.size(), kProxies);
  EXPECT_EQ(f.zones_without_line(), kNone);
}

// What stands in does so for the bound operation alone, and goes when the subset has its own again.
TEST(ZoneBound, OtherBackendsOfTheZoneStandInForTheBoundOperationAlone) {
  ZonedFleet f;
  f.start();
  const BackendId sole = f.sole_backend_of_a_zone();
  const ZoneId zone = f.fleet.at(sole).zone;
  const auto before = f.tables;
  f.set(sole, Availability::draining);
  f.wait(1);
  std::set<BackendId> seen;
  for (const auto& [table, lines] : f.shared_tables())
    for (const auto& [id, weight] : lines) EXPECT_TRUE(seen.insert(id).second) << "in two shared tables";
  for (const auto& [proxy, table] : f.zone_bound_tables) {
    if (zone_of_proxy(proxy) != zone) continue;
    EXPECT_EQ(f.zone_bound_lines(proxy).size(), 2U);
  }
  f.set(sole, Availability::ready);
  f.wait(1);
  EXPECT_EQ(f.tables, before);
}

// Guards against the loss by withdrawal: the subset's only backend of the zone fails, then all of the zone.
TEST(ZoneBound, ProxiesKeepALineWhenBackendsOfTheirZoneFail) {
  ZonedFleet f;
  f.start();
  const BackendId sole = f.sole_backend_of_a_zone();
  const ZoneId zone = f.fleet.at(sole).zone;
  bool removed = false;
  for (int round = 0; round < 8; ++round) {
    f.round(10, [&](ZoneId, const auto& entry) { return entry.backend == sole ? 10 : 0; });
    EXPECT_EQ(f.zones_without_line(), kNone) << "round " << round;
    std::set<BackendId> shared;
    for (const auto& [table, lines] : f.shared_tables())
      for (const auto& [id, weight] : lines) shared.insert(id);
    removed = removed || !shared.contains(sole);
  }
  EXPECT_TRUE(removed);
  double least_weight = 1e9;
  for (int round = 0; round < 12; ++round) {
    f.round(10, [&](ZoneId, const auto& entry) { return entry.zone == zone ? 10 : 0; });
    EXPECT_EQ(f.zones_without_line(), kNone) << "whole zone, round " << round;
    for (const auto& [proxy, table] : f.bound)
      least_weight = std::min(least_weight, f.shared_weight(proxy, zone));
  }
  EXPECT_EQ(least_weight, 0) << "the failing zone was never drained";
}

// Guards against the loss by a failing link within the zone, which takes the zone's lines out of the table of
// its own proxies.
TEST(ZoneBound, ProxiesKeepALineWhenTheLinkWithinTheirZoneFails) {
  ZonedFleet f;
  f.start();
  bool own_table = false;
  for (int round = 0; round < 12; ++round) {
    f.round(20, [](ZoneId from, const auto& entry) {
      return from == ZoneId{} && entry.zone == ZoneId{} ? 20 : 0;
    });
    EXPECT_EQ(f.zones_without_line(), kNone) << "round " << round;
    own_table = own_table || f.bound.at(ProxyId{}).value >= 1000;
  }
  EXPECT_TRUE(own_table);
}

// Guards against the loss by a restart of the coordinator: its proxies come again, some before others.
TEST(ZoneBound, ProxiesKeepALineAfterARestartWithAReducedFleet) {
  ZonedFleet f;
  f.start();
  std::erase_if(f.fleet, [](const auto& row) { return row.second.zone == ZoneId{1}; });
  for (unsigned k = 1; k < kBackendsPerZone; ++k) f.fleet.erase(BackendId{106U + k});  // one left in zone 2
  f.policy = Policy{zone_bound_settings(), 8};
  f.tables.clear(), f.bound.clear(), f.zone_bound_tables.clear();
  f.send({f.full_list()});
  for (std::uint16_t p = 0; p < kProxies; ++p) {
    f.now = f.now + Span::seconds(0.05);
    f.send({ProxyJoined{ProxyId{p}, zone_of_proxy(ProxyId{p}), 2.3}});
    EXPECT_LE(f.zones_without_line(), std::set<ZoneId>{ZoneId{1}}) << "after proxy " << p;
  }
  f.wait(1);
  EXPECT_EQ(f.shared_tables().size(), 2U);
  EXPECT_EQ(f.bound.size(), kProxies);
  // No backend is left in this zone, so nothing may stand in for it.
  EXPECT_EQ(f.zones_without_line(), std::set<ZoneId>{ZoneId{1}});
}

// Rule on cold backends: one that has just started must not get all of the zone's bound operation, although
// it is the subset's only backend of the zone.
TEST(ZoneBound, AColdBackendIsNotTheOnlyLineOfItsZone) {
  ZonedFleet f;
  f.start();
  for (int round = 0; round < 3; ++round) f.round(10, [](ZoneId, const auto&) { return 0; });
  const BackendId sole = f.sole_backend_of_a_zone();
  f.set(sole, Availability::ready, f.now);
  for (int round = 0; round < 6; ++round) {
    f.round(10, [](ZoneId, const auto&) { return 0; });
    for (const auto& [proxy, table] : f.zone_bound_tables) {
      const auto& lines = f.zone_bound_lines(proxy);
      if (!lines.contains(sole)) continue;
      const double age = (f.now - *f.fleet.at(sole).started).seconds() / 15;
      EXPECT_LE(lines.at(sole), (0.2 + 0.8 * age) * f.zone_bound_weight(proxy)) << "age " << age;
    }
    EXPECT_EQ(f.zones_without_line(), kNone);
  }
  f.round(10, [](ZoneId, const auto&) { return 0; });
  f.round(10, [](ZoneId, const auto&) { return 0; });
  for (const auto& [table, lines] : f.shared_tables())
    for (const auto& [id, weight] : lines) EXPECT_EQ(weight, 1) << "after the start";
}

// The line that replaces the last one is as urgent as the removal: it doesn't wait for room in the channel.
TEST(ZoneBound, TheReplacingLineDoesNotWaitForRoomInTheChannel) {
  ZonedFleet f{full_channel_settings()};
  f.start();
  f.wait(8);
  f.rejoin_all();
  ASSERT_EQ(f.bound.size(), kProxies);
  f.set(f.sole_backend_of_a_zone(), Availability::draining);
  EXPECT_EQ(f.zones_without_line(), kNone);
}

// A cold line doesn't count as the zone's last one: the warm line that stands in for the drained backend
// doesn't wait either.
TEST(ZoneBound, AColdLineDoesNotDelayTheReplacingLine) {
  ZonedFleet f{full_channel_settings()};
  f.start();
  for (int round = 0; round < 4; ++round) f.round(10, [](ZoneId, const auto&) { return 0; });
  // The zone's other two backends, in one table: one starts anew, then the other drains.
  const ZoneId zone = f.fleet.at(f.sole_backend_of_a_zone()).zone;
  std::vector<BackendId> pair;
  for (const auto& [table, lines] : f.shared_tables()) {
    std::vector<BackendId> in_table;
    for (const auto& [id, weight] : lines)
      if (f.fleet.at(id).zone == zone) in_table.push_back(id);
    if (in_table.size() == 2) pair = in_table;
  }
  ASSERT_EQ(pair.size(), 2U);
  f.set(pair[0], Availability::ready, f.now);
  for (int round = 0; round < 6; ++round) f.round(10, [](ZoneId, const auto&) { return 0; });
  const auto has_started_line = [&](const auto& table) { return table.second.contains(pair[0]); };
  EXPECT_TRUE(std::any_of(f.tables.begin(), f.tables.end(), has_started_line))
      << "the started backend has no line yet";
  f.rejoin_all();
  ASSERT_EQ(f.bound.size(), kProxies);
  f.set(pair[1], Availability::draining);
  EXPECT_EQ(f.zones_without_line(), kNone);
  for (const auto& [proxy, table] : f.zone_bound_tables) {
    const auto& lines = f.zone_bound_lines(proxy);
    if (!lines.contains(pair[0])) continue;
    EXPECT_LT(lines.at(pair[0]), 0.5 * f.zone_bound_weight(proxy)) << "proxy " << proxy.value;
  }
}

// Weights come from discovery and may be as small as it likes; a line that is too small for an order to
// remove it names a backend that the module no longer knows.
TEST(ZoneBound, LinesOfVanishingWeightAreNoError) {
  ZonedFleet f;
  f.start();
  const BackendId sole = f.sole_backend_of_a_zone();
  for (const double weight : {2e-9, 0.9e-9}) {
    f.fleet.at(sole).weight = weight;
    f.set(sole, Availability::ready);
    f.wait(1);
  }
  f.set(sole, Availability::gone);
  f.wait(1);
  EXPECT_EQ(f.zones_without_line(), kNone);
}

// Without such an operation one table serves all operations, as before.
TEST(ZoneBound, WithoutSuchAnOperationOneTableServesAll) {
  Settings s = zone_bound_settings();
  s.operations.pop_back();
  Policy policy{s, 7};
  ZonedFleet f;
  std::vector<Event> events{f.full_list()};
  for (std::uint16_t p = 0; p < kProxies; ++p)
    events.emplace_back(ProxyJoined{ProxyId{p}, zone_of_proxy(ProxyId{p}), 2.3});
  std::set<BackendId> seen;
  int bindings = 0;
  for (const auto& order : policy.handle(f.now, events)) {
    if (const auto* change = std::get_if<SetWeight>(&order)) {
      EXPECT_TRUE(seen.insert(change->backend).second);
    }
    const auto* bind = std::get_if<BindProxy>(&order);
    if (bind == nullptr) continue;
    ++bindings;
    EXPECT_TRUE(bind->operations.empty());
  }
  EXPECT_EQ(bindings, kProxies);
}

// Where all operations are bound to the zone, no proxy is bound to a table of all zones.
TEST(ZoneBound, IfAllOperationsAreBoundOnlyTheirTablesAreUsed) {
  Settings s = zone_bound_settings();
  for (auto& operation : s.operations) operation.zone_bound = true;
  Policy policy{s, 7};
  ZonedFleet f;
  std::vector<Event> events{f.full_list()};
  for (std::uint16_t p = 0; p < kProxies; ++p)
    events.emplace_back(ProxyJoined{ProxyId{p}, zone_of_proxy(ProxyId{p}), 2.3});
  std::map<TableId, std::set<ZoneId>> zones;
  int bindings = 0;
  for (const auto& order : policy.handle(f.now, events)) {
    if (const auto* change = std::get_if<SetWeight>(&order))
      zones[change->table].insert(f.fleet.at(change->backend).zone);
    const auto* bind = std::get_if<BindProxy>(&order);
    if (bind == nullptr) continue;
    ++bindings;
    EXPECT_EQ(bind->operations.size(), 3U);
    EXPECT_EQ(zones[bind->table], std::set<ZoneId>{zone_of_proxy(bind->proxy)});
  }
  EXPECT_EQ(bindings, kProxies);
}

}  // namespace gorsemount::testing
