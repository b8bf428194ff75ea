// Made-up deployments and a table kept from the module's orders, for all tests.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "policy/policy.hpp"

namespace gorsemount::testing {

inline Settings settings(AdmissionMode kind = AdmissionMode::share) {
  Settings s;
  s.operations = {{Effect::idempotent, Span::seconds(1), 1}, {Effect::side_effecting, Span::seconds(1), 3}};
  s.admission_mode = kind;
  s.report_every = Span::seconds(1);
  s.max_report_rate = 500;
  s.backlog = 4000, s.push_rate = 4000, s.per_message = 5;
  s.messages_window = Span::seconds(10);
  s.keepalive = Span::seconds(15);
  s.subscribe_timeout = Span::seconds(10);
  s.drain_grace = Span::seconds(2);
  s.cold_from = 0.2;
  s.cold_for = Span::seconds(15);
  s.tip_multiple = 3;
  return s;
}

// A fleet of `n` ready backends over three zones, and what the proxies hold by the orders so far.
class Bench {
 public:
  explicit Bench(Settings s, unsigned n = 12) : settings{s}, policy{std::move(s), 7}, size{n} {
    BackendListUpdate listed{ListScope::cached, {}};
    for (unsigned k = 0; k < n; ++k) listed.entries.push_back(entry(k));
    tell({listed, ProxyJoined{ProxyId{0}, ZoneId{0}}, ProxyJoined{ProxyId{1}, ZoneId{1}}});
  }

  static BackendListUpdate::Entry entry(unsigned k, Availability a = Availability::ready,
                                        std::optional<Instant> started = {}) {
    return {BackendId{100 + k}, ZoneId{static_cast<std::uint16_t>(k % 3)}, a, 1, started};
  }
  void tell(const std::vector<Event>& events) {
    last = policy.handle(now, events);
    for (const auto& order : last) {
      if (const auto* line = std::get_if<SetWeight>(&order)) {
        if (line->table != TableId{}) continue;
        if (line->weight > 0)
          table[line->backend] = line->weight;
        else
          table.erase(line->backend);
      } else if (const auto* level = std::get_if<SetAdmission>(&order)) {
        levels[level->operation] = level->limit;
      } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
        bound[bind->proxy] = bind->table;
      }
    }
  }
  template <class O>
  [[nodiscard]] int count() const {
    int n = 0;
    for (const auto& order : last) n += std::holds_alternative<O>(order) ? 1 : 0;
    return n;
  }
  [[nodiscard]] double weight(unsigned k) const {
    const auto it = table.find(BackendId{100 + k});
    return it == table.end() ? 0 : it->second;
  }
  // One report round a second: ten tries at each backend in the table, as `shape` bends them.
  template <class Shape>
  void rounds(int n, Shape shape) {
    for (int r = 0; r < n; ++r) {
      for (int tick = 0; tick < 3; ++tick) now = now + Span::seconds(0.25), tell({TimerFired{}});
      now = now + Span::seconds(0.25);
      std::vector<Event> events;
      for (unsigned k = 0; k < size; ++k) {
        if (weight(k) <= 0) continue;
        BackendReport report{ZoneId{0}, BackendId{100 + k}, 10, 0, Span::seconds(0.2), Span::seconds(1), {}};
        shape(k, report);
        if (report.tries > 0) events.emplace_back(report);
      }
      for (std::uint16_t p = 0; p < 2; ++p)
        for (std::uint8_t op = 0; op < 2; ++op)
          events.emplace_back(DemandReport{ProxyId{p}, OperationId{op}, 30, Span::seconds(1)});
      tell(events);
    }
  }
  void rounds(int n) {
    rounds(n, [](unsigned, BackendReport&) {});
  }

  // A round from the proxies of zones 0 and 1; when the link is cut, zone 0's can't reach zone 2.
  void link_round(bool cut) {
    now = now + Span::seconds(1);
    std::vector<Event> events;
    for (std::uint16_t from = 0; from < 2; ++from)
      for (unsigned k = 0; k < size; ++k)
        events.emplace_back(BackendReport{ZoneId{from},
                                          BackendId{100 + k},
                                          8,
                                          cut && from == 0 && k % 3 == 2 ? 8 : 0,
                                          Span::seconds(0.2),
                                          Span::seconds(1),
                                          {}});
    tell(events);
  }

  Settings settings;
  Policy policy;
  unsigned size;
  Instant now = Instant::at_seconds(1000);
  std::vector<Order> last;
  std::map<BackendId, double> table;
  std::map<OperationId, double> levels;
  std::map<ProxyId, TableId> bound;
};

}  // namespace gorsemount::testing
