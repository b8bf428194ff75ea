// The first rule: how long a joined proxy has had no line to pick for a class while its zone, or the fleet for classes that go anywhere, has a
// backend that is listed as ready and past its cold start. Checked every 50 ms, from 1 s after the coordinator first answered.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "platform.hpp"
#include "settings.hpp"

namespace standin {

class BareCheck {
 public:
  BareCheck(Platform& platform, const Rules& rules) : platform_{platform}, limit_{rules.unserved_max + rules.slack}, cold_for_{rules.cold_for} {}

  void check() {
    const double t = now();
    if (t < platform_.first_answer + 1) return;
    for (const auto& p : platform_.proxies)
      for (const auto& c : platform_.classes) {
        State& state = states_[{p->id, c.name}];
        if (!p->stream || !any_listed(*p, c) || platform_.has_line(*p, c)) {
          if (state.since > 0) platform_.record.line("proxy %d has a line for %s again after %.2f s", p->id, c.name.c_str(), t - state.since);
          state.since = 0;
          continue;
        }
        if (state.since == 0) {
          state.since = t;
          platform_.record.line("proxy %d (%s) has no line to pick for %s", p->id, p->zone.c_str(), c.name.c_str());
        }
        const double before = state.longest;
        state.longest = std::max(state.longest, t - state.since);
        if (before <= limit_ && state.longest > limit_)
          platform_.record.line("RULE: proxy %d (%s) has had no line to pick for %s for more than %.1f s", p->id, p->zone.c_str(), c.name.c_str(), limit_);
      }
  }
  // Writes the longest time of each proxy and class to the record, and returns the longest of all.
  double longest() {
    double most = 0;
    for (const auto& [key, state] : states_) {
      if (state.longest > 0) platform_.record.line("proxy %d, %s: longest time without a line %.2f s", key.first, key.second.c_str(), state.longest);
      most = std::max(most, state.longest);
    }
    return most;
  }
  double limit() const { return limit_; }

 private:
  struct State {
    double since = 0, longest = 0;
  };
  // A backend that the coordinator was told of as ready, that is open to the class, and warm.
  bool any_listed(const Proxy& p, const ClassSettings& c) const {
    for (const auto& [host, b] : platform_.backends) {
      const bool warm = b.born_ms == 0 || static_cast<double>(unix_ms() - b.born_ms) / 1000 >= cold_for_;
      if (b.health == Health::ready && b.told_in > 0 && warm && (!c.own_zone || b.zone == p.zone)) return true;
    }
    return false;
  }
  Platform& platform_;
  double limit_, cold_for_;
  std::map<std::pair<int, std::string>, State> states_;
};

}  // namespace standin
