#include "limits/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace gorsemount::limits {

namespace {

// A forwarder that has used this fraction of its allocation is about to exhaust it and may borrow.
constexpr double kExhaustionThreshold = 0.8;
// Fraction of its unused allocation that a lending forwarder keeps, so that it can retry in the first second
// of a failure, before its next report.
constexpr double kReserveFraction = 0.5;
// No forwarder gets more than this multiple of the fleet's share: beyond that, passing errors on to the
// client is better than more retries.
constexpr double kMaxShareMultiple = 4;
// Smaller relative changes are not worth a message to the forwarder.
constexpr double kMinRelativeChange = 0.25;

}  // namespace

RetryPolicy allowed_retries(Effect effect, RetryPolicy ordered) {
  if (effect == Effect::side_effecting) return std::min(ordered, RetryPolicy::if_unprocessed);
  if (effect == Effect::fingerprinted) return std::min(ordered, RetryPolicy::one);
  return ordered;
}

void RetryBudget::record_tries(Instant now, ProxyId forwarder, int first_tries, int retries) {
  const auto it = forwarders_.find(forwarder);
  if (it == forwarders_.end()) return;
  auto& samples = it->second.samples;
  samples.push_back(
      {now, static_cast<double>(std::max(0, first_tries)), static_cast<double>(std::max(0, retries))});
  while (!samples.empty() && now - samples.front().at > window_) samples.pop_front();
}

void RetryBudget::restore(ProxyId forwarder, double allocation) {
  if (share_ <= 0 || !std::isfinite(allocation)) return;
  forwarders_[forwarder].allocation = allocations_[forwarder] =
      std::clamp(allocation, 0.0, kMaxShareMultiple * share_);
}

const RetryBudget::Allocations& RetryBudget::allocate(Instant now) {
  if (share_ <= 0) return allocations_;
  struct Totals {
    Forwarder* state = nullptr;
    double first_tries = 0, retries = 0, wanted = 0;
  };
  std::map<ProxyId, Totals> totals;
  double lendable = 0, borrower_tries = 0;
  for (auto& [forwarder, state] : forwarders_) {
    Totals total{&state, 0, 0, share_};
    for (const auto& sample : state.samples)
      if (now - sample.at <= window_)
        total.first_tries += sample.first_tries, total.retries += sample.retries;
    if (state.allocation < 0) state.allocation = share_;
    if (total.first_tries > 0 &&
        total.retries >= kExhaustionThreshold * state.allocation * total.first_tries) {
      borrower_tries += total.first_tries;
    } else if (total.first_tries > 0) {
      const double fair_share = share_ * total.first_tries,
                   unused = std::max(0.0, fair_share - total.retries);
      lendable += (1 - kReserveFraction) * unused;
      total.wanted = (fair_share - (1 - kReserveFraction) * unused) / total.first_tries;
    }
    totals.emplace(forwarder, total);
  }
  // Without a borrower nothing is lent: all get the plain share, and no message is needed.
  for (auto& [forwarder, total] : totals) {
    if (borrower_tries <= 0) {
      total.wanted = share_;
    } else if (total.first_tries > 0 &&
               total.retries >= kExhaustionThreshold * total.state->allocation * total.first_tries) {
      total.wanted = std::min(kMaxShareMultiple * share_, share_ + lendable / borrower_tries);
    }
  }
  // Decreases apply at once, increases only if the sum still fits the budget together with the allocations
  // that stay unchanged.
  double budget = 0, allocated = 0;
  for (auto& [forwarder, total] : totals) {
    budget += share_ * total.first_tries;
    const bool keeps = std::abs(total.wanted - total.state->allocation) <=
                       kMinRelativeChange * std::max(total.wanted, total.state->allocation);
    if (!keeps && total.wanted < total.state->allocation) total.state->allocation = total.wanted;
    allocated += total.state->allocation * total.first_tries;
  }
  for (auto& [forwarder, total] : totals) {
    const double increase = (total.wanted - total.state->allocation) * total.first_tries;
    if (total.wanted <= total.state->allocation * (1 + kMinRelativeChange) ||
        (allocated + increase > budget * (1 + 1e-9) && total.first_tries > 0))
      continue;
    total.state->allocation = total.wanted, allocated += increase;
  }
  // First tries shift between forwarders too: allocations that now exceed the budget are scaled down
  // together, by half a minimal change more than needed, so that this doesn't recur each round.
  if (allocated > budget * (1 + 1e-9))
    for (auto& [forwarder, total] : totals)
      total.state->allocation *= (1 - kMinRelativeChange / 2) * budget / allocated;
  allocations_.clear();
  for (const auto& [forwarder, total] : totals) allocations_[forwarder] = total.state->allocation;
  return allocations_;
}

}  // namespace gorsemount::limits
