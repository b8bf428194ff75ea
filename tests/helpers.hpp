// Settings and a fixture for tests of the decision module.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "policy/policy.hpp"

namespace gorsemount::testing {

inline Settings settings(AdmissionMode mode = AdmissionMode::share) {
  Settings s;
  s.operations = {{Effect::idempotent, Span::seconds(1), 1}, {Effect::side_effecting, Span::seconds(1), 3}};
  s.admission_mode = mode;
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

// A policy with `n` ready backends over three zones and two proxies, and the state that its orders have set
// up.
class PolicyFixture {
 public:
  explicit PolicyFixture(Settings s, unsigned n = 12) : settings{s}, policy{std::move(s), 7}, size{n} {
    BackendListUpdate update{ListScope::cached, {}};
    for (unsigned index = 0; index < n; ++index) update.entries.push_back(entry(index));
    send({update, ProxyJoined{ProxyId{0}, ZoneId{0}}, ProxyJoined{ProxyId{1}, ZoneId{1}}});
  }

  static BackendListUpdate::Entry entry(unsigned index, Availability a = Availability::ready,
                                        std::optional<Instant> started = {}) {
    return {BackendId{100 + index}, ZoneId{static_cast<std::uint16_t>(index % 3)}, a, 1, started};
  }
  void send(const std::vector<Event>& events) {
    last_orders = policy.handle(now, events);
    for (const auto& order : last_orders) {
      if (const auto* change = std::get_if<SetWeight>(&order)) {
        if (change->table != TableId{}) continue;
        if (change->weight > 0)
          table[change->backend] = change->weight;
        else
          table.erase(change->backend);
      } else if (const auto* admission = std::get_if<SetAdmission>(&order)) {
        limits[admission->operation] = admission->limit;
      } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
        bound[bind->proxy] = bind->table;
      }
    }
  }
  template <class OrderType>
  [[nodiscard]] int count() const {
    int n = 0;
    for (const auto& order : last_orders) n += std::holds_alternative<OrderType>(order) ? 1 : 0;
    return n;
  }
  [[nodiscard]] double weight(unsigned index) const {
    const auto it = table.find(BackendId{100 + index});
    return it == table.end() ? 0 : it->second;
  }
  // Report rounds of a second with ten tries per backend in the table; `modify` may change each report.
  template <class Modify>
  void rounds(int n, Modify modify) {
    for (int r = 0; r < n; ++r) {
      for (int tick = 0; tick < 3; ++tick) now = now + Span::seconds(0.25), send({TimerFired{}});
      now = now + Span::seconds(0.25);
      std::vector<Event> events;
      for (unsigned index = 0; index < size; ++index) {
        if (weight(index) <= 0) continue;
        BackendReport report{ZoneId{0},          BackendId{100 + index}, 10, 0,
                             Span::seconds(0.2), Span::seconds(1),       {}};
        modify(index, report);
        if (report.tries > 0) events.emplace_back(report);
      }
      for (std::uint16_t p = 0; p < 2; ++p)
        for (std::uint8_t operation = 0; operation < 2; ++operation)
          events.emplace_back(DemandReport{ProxyId{p}, OperationId{operation}, 30, Span::seconds(1)});
      send(events);
    }
  }
  void rounds(int n) {
    rounds(n, [](unsigned, BackendReport&) {});
  }

  // A round from the proxies of zones 0 and 1. With `link_down` the proxies of zone 0 can't reach zone 2.
  void link_round(bool link_down) {
    now = now + Span::seconds(1);
    std::vector<Event> events;
    for (std::uint16_t from = 0; from < 2; ++from)
      for (unsigned index = 0; index < size; ++index)
        events.emplace_back(BackendReport{ZoneId{from},
                                          BackendId{100 + index},
                                          8,
                                          link_down && from == 0 && index % 3 == 2 ? 8 : 0,
                                          Span::seconds(0.2),
                                          Span::seconds(1),
                                          {}});
    send(events);
  }

  Settings settings;
  Policy policy;
  unsigned size;
  Instant now = Instant::at_seconds(1000);
  std::vector<Order> last_orders;
  std::map<BackendId, double> table;
  std::map<OperationId, double> limits;
  std::map<ProxyId, TableId> bound;
};

}  // namespace gorsemount::testing
