// Decides how many further tries the fleet may make: a share of its first tries over a window, dealt to
// forwarders, so that a zone's loss never becomes a storm of repeats. Each forwarder holds its part and keeps
// to it by itself, at once; what quiet ones leave over is lent to those that need more. Side-effecting work
// is repeated on proof only, whatever is dealt, and there is no right to a hedge to deal. Free of I/O and
// clocks.
#pragma once

#include <deque>
#include <map>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "policy/policy.hpp"

namespace gorsemount::limits {

// The most that an operation of this effect may be tried again, whatever a table says.
[[nodiscard]] RetryPolicy allowed_retries(Effect effect, RetryPolicy ordered);

class RetryBudget {
 public:
  // `share` of all first tries of the last `window` may be tried again; 0: any number, and nothing is dealt.
  RetryBudget(double share, Span window) : share_{share}, window_{window} {}

  void add_forwarder(ProxyId forwarder) { rows_.try_emplace(forwarder); }
  void remove_forwarder(ProxyId forwarder) { rows_.erase(forwarder); }
  // Of one report: first tries and further ones. Of one that has not joined: nothing.
  void record_tries(Instant now, ProxyId forwarder, int first, int further);

  // After a round of reports: what each forwarder may try again of its own first tries. The parts, times what
  // came to each, never add up to more than the fleet's budget. What would move by less than a quarter stays.
  using Allocations = std::map<ProxyId, double>;
  [[nodiscard]] const Allocations& allocate(Instant now);
  [[nodiscard]] const Allocations& allocations() const { return parts_; }
  // What an earlier life, or another controller, had dealt; it stands till the reports say otherwise.
  void restore(ProxyId forwarder, double part);

 private:
  struct Sample {
    Instant at;
    double first = 0, further = 0;
  };
  struct Row {
    std::deque<Sample> samples;  // of the window
    double part = -1;            // as dealt; below 0: not yet
  };

  double share_;
  Span window_;
  std::map<ProxyId, Row> rows_;
  Allocations parts_;
};

}  // namespace gorsemount::limits
