// Limits the retries of the fleet to a share of its first tries over a window, divided among the forwarders,
// so that the loss of a zone causes no retry storm. Each forwarder enforces its allocation locally; what some
// leave unused is lent to those that need more. Whatever the budget, side-effecting invocations are retried
// only with proof that the first try had no effect, and the budget grants no hedged requests. No I/O, no
// clock.
#pragma once

#include <deque>
#include <map>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "policy/policy.hpp"

namespace gorsemount::limits {

// Caps the retries that are ordered for an operation by what its effect permits.
[[nodiscard]] RetryPolicy allowed_retries(Effect effect, RetryPolicy ordered);

class RetryBudget {
 public:
  // Retries may reach `share` of the first tries of the last `window`; 0: unlimited, nothing is allocated.
  RetryBudget(double share, Span window) : share_{share}, window_{window} {}

  void add_forwarder(ProxyId forwarder) { forwarders_.try_emplace(forwarder); }
  void remove_forwarder(ProxyId forwarder) { forwarders_.erase(forwarder); }
  // Adds one report; ignored for an unknown forwarder.
  void record_tries(Instant now, ProxyId forwarder, int first_tries, int retries);

  // Retries as a share of first tries, by forwarder. To be recomputed after a round of reports: multiplied by
  // each forwarder's first tries, the allocations never sum to more than the fleet's budget. An allocation
  // that would change by less than a quarter stays as it is.
  using Allocations = std::map<ProxyId, double>;
  [[nodiscard]] const Allocations& allocate(Instant now);
  [[nodiscard]] const Allocations& allocations() const { return allocations_; }
  // Sets what was allocated before a restart or by another coordinator; it holds until reports change it.
  void restore(ProxyId forwarder, double allocation);

 private:
  struct Sample {
    Instant at;
    double first_tries = 0, retries = 0;
  };
  struct Forwarder {
    std::deque<Sample> samples;  // within the window
    double allocation = -1;      // negative: none yet
  };

  double share_;
  Span window_;
  std::map<ProxyId, Forwarder> forwarders_;
  Allocations allocations_;
};

}  // namespace gorsemount::limits
