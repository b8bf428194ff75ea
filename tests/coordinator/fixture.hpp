// A coordinator stepped by hand, with made-up workers that answer as a test bends them.
#pragma once

#include <gtest/gtest.h>

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

inline Settings test_settings() {
  Settings s;
  s.zones = {"a", "b", "c"};
  s.operations = {{"read", Effect::idempotent, Span::seconds(1), Span::seconds(3), 1},
                  {"write", Effect::side_effecting, Span::seconds(1), Span::seconds(3), 3}};
  s.groups = {{"ga", ZoneId{0}, {*Prefix::parse("127.1.0.0/16")}, 20},
              {"gb", ZoneId{1}, {*Prefix::parse("127.2.0.0/16"), *Prefix::parse("2001:db8::/32")}, 20},
              {"elsewhere", ZoneId{0}, {}, 1}};
  s.trusted_resolvers = {*Prefix::parse("127.9.0.0/24")};
  s.report_every = Span::seconds(0.5), s.late_after = Span::seconds(0.5);
  s.backlog = 2000, s.lines_per_second = 2000, s.per_message = 4;
  s.messages_window = Span::seconds(10);
  s.keepalive = Span::seconds(15);
  s.unserved = Span::seconds(3), s.drain_grace = Span::seconds(5), s.cold_for = Span::seconds(10);
  s.cold_from = 0.2, s.tip_multiple = 3;
  s.use_after = Span::seconds(0.5), s.lifetime_most = Span::seconds(5), s.group_idle = Span::seconds(60);
  s.lines_most = 16, s.addresses_most = 2;
  return s;
}

inline std::vector<RosterEntry> test_roster(unsigned n) {
  std::vector<RosterEntry> roster;
  for (unsigned k = 0; k < n; ++k) {
    RosterEntry e;
    e.name = "w" + std::to_string(k), e.zone = ZoneId{static_cast<std::uint16_t>(k % 3)};
    e.at = *Endpoint::parse("127.0." + std::to_string(1 + k / 200) + "." + std::to_string(1 + k % 200) +
                            ":9000");
    roster.push_back(e);
  }
  return roster;
}

class Rig {
 public:
  struct SimulatedWorker {
    std::string boot = "first";
    Instant started = Instant::at_seconds(-1e6);
    bool draining = false, down = false, refuses = false, hangs = false;
    std::uint64_t taken = 0, succeeded = 0, errored = 0;
    double latency = 0, error_part = 0;
    double carry = 0, owed = 0;
  };

  explicit Rig(unsigned n, Settings settings = test_settings(), DecisionMaker decide = {})
      : s{settings},
        roster{test_roster(n)},
        workers(n),
        core{settings, decide ? std::move(decide) : policy_decision_maker(settings)} {
    step({RosterUpdate{roster}});
    seconds(1);
    step({GroupLookup{ProxyId{0}}, GroupLookup{ProxyId{1}}});
  }

  Effects step(std::vector<Input> inputs) {
    Effects e = core.step(now, inputs);
    if (e.published) published = e.published;
    deliveries.insert(deliveries.end(), e.deliveries.begin(), e.deliveries.end());
    log_events.insert(log_events.end(), e.log_events.begin(), e.log_events.end());
    for (const auto& m : e.messages) EXPECT_LE(m.waiting, s.backlog) << "rule 5";
    wake = e.next_wakeup;
    return e;
  }

  // Plays on: every tenth of a second work is done by the published weights, each half second all report.
  void seconds(double length) {
    for (const Instant end = now + Span::seconds(length); now < end;) {
      now = now + Span::seconds(0.1);
      ++tick;
      std::vector<Input> inputs;
      for (unsigned k = 0; k < workers.size(); ++k) {
        SimulatedWorker& m = workers[k];
        const auto id = core.backend_id(roster[k].name);
        if (!id) continue;
        const double part = published ? weight(0, k) / std::max(1e-9, total(0)) : 0;
        if (!m.down) work(m, part * rate * 0.1, k);
        const Health health = m.refuses           ? Health::refused
                              : m.down || m.hangs ? Health::failed
                                                  : Health::passed;
        if (m.down || tick % 3 == 0) inputs.emplace_back(HealthCheckResult{*id, health, Span::seconds(0.01)});
        if (tick % 5 != 0) continue;
        if (m.down) {
          inputs.emplace_back(LoadPollFailed{*id, "no connection"});
        } else {
          inputs.emplace_back(LoadReport{*id, now, sample(k)});
        }
      }
      if (tick % 10 == 0)
        inputs.emplace_back(GroupLookup{ProxyId{0}}), inputs.emplace_back(GroupLookup{ProxyId{1}});
      step(std::move(inputs));
      while (wake <= now) step({});
    }
  }
  [[nodiscard]] LoadSample sample(unsigned k) const {
    const SimulatedWorker& m = workers[k];
    LoadSample sample{m.boot, (now - m.started).seconds(), m.draining, 0.3, 0.0, {}};
    sample.counts.push_back(
        {OperationId{0}, *Prefix::parse("127.1.0.0/24"), m.taken, m.succeeded, m.errored, 0, m.latency});
    return sample;
  }
  void restart(unsigned k, const std::string& boot) {
    workers[k] = SimulatedWorker{};
    workers[k].boot = boot, workers[k].started = now;
  }
  [[nodiscard]] double weight(std::size_t group, unsigned k, std::size_t operation = 0) const {
    for (const auto& line : published->views[group][operation]->lines)
      if (published->directory->at(line.backend).name == roster[k].name) return line.weight;
    return 0;
  }
  [[nodiscard]] double total(std::size_t group) const {
    double sum = 0;
    for (const auto& line : published->views[group][0]->lines) sum += line.weight;
    return sum;
  }
  [[nodiscard]] bool logged(const std::string& event) const {
    return std::any_of(log_events.begin(), log_events.end(),
                       [&](const LogEvent& n) { return n.event == event; });
  }

  Settings s;
  std::vector<RosterEntry> roster;
  std::vector<SimulatedWorker> workers;
  Coordinator core;
  Instant now = Instant::at_seconds(1000), wake;
  std::shared_ptr<const PublishedState> published;
  std::vector<LogEvent> log_events;
  std::vector<Delivery> deliveries;
  double rate = 120;  // invocations a second in all
  unsigned tick = 0;

 private:
  static void work(SimulatedWorker& m, double n, unsigned k) {
    m.carry += n + 1e-9 * k;
    while (m.carry >= 1) {
      m.carry -= 1, ++m.taken;
      if (m.hangs) continue;
      m.owed += m.error_part;
      if (m.owed >= 1) {
        m.owed -= 1, ++m.errored;
      } else {
        ++m.succeeded, m.latency += 0.2;
      }
    }
  }
};

}  // namespace gorsemount::coordinator
