#include "limits/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace gorsemount::limits {

namespace {

// A forwarder that has used so much of its part will soon be short of it.
constexpr double kHungry = 0.8;
// Of what a quiet one has over its own recent use, this much stays with it: its first second of trouble must
// not wait for a report.
constexpr double kReserve = 0.5;
// No forwarder gets more than so many times the fleet's share: past that it is better told that its answers
// are bad.
constexpr double kMost = 4;
// What moves by less is not worth a message.
constexpr double kWorthIt = 0.25;

}  // namespace

RetryPolicy allowed_retries(Effect effect, RetryPolicy ordered) {
  if (effect == Effect::side_effecting) return std::min(ordered, RetryPolicy::if_unprocessed);
  if (effect == Effect::fingerprinted) return std::min(ordered, RetryPolicy::one);
  return ordered;
}

void RetryBudget::record_tries(Instant now, ProxyId forwarder, int first, int further) {
  const auto it = rows_.find(forwarder);
  if (it == rows_.end()) return;
  auto& samples = it->second.samples;
  samples.push_back(
      {now, static_cast<double>(std::max(0, first)), static_cast<double>(std::max(0, further))});
  while (!samples.empty() && now - samples.front().at > window_) samples.pop_front();
}

void RetryBudget::restore(ProxyId forwarder, double part) {
  if (share_ <= 0 || !std::isfinite(part)) return;
  rows_[forwarder].part = parts_[forwarder] = std::clamp(part, 0.0, kMost * share_);
}

const RetryBudget::Allocations& RetryBudget::allocate(Instant now) {
  if (share_ <= 0) return parts_;
  struct Sum {
    Row* row = nullptr;
    double first = 0, further = 0, wanted = 0;
  };
  std::map<ProxyId, Sum> sums;
  double lent = 0, hungry = 0;
  for (auto& [forwarder, row] : rows_) {
    Sum s{&row, 0, 0, share_};
    for (const auto& sample : row.samples)
      if (now - sample.at <= window_) s.first += sample.first, s.further += sample.further;
    if (row.part < 0) row.part = share_;
    if (s.first > 0 && s.further >= kHungry * row.part * s.first) {
      hungry += s.first;
    } else if (s.first > 0) {
      const double own = share_ * s.first, over = std::max(0.0, own - s.further);
      lent += (1 - kReserve) * over;
      s.wanted = (own - (1 - kReserve) * over) / s.first;
    }
    sums.emplace(forwarder, s);
  }
  // With nobody short of anything nothing is lent: all have the share, and a quiet fleet is sent nothing.
  for (auto& [forwarder, s] : sums) {
    if (hungry <= 0) {
      s.wanted = share_;
    } else if (s.first > 0 && s.further >= kHungry * s.row->part * s.first) {
      s.wanted = std::min(kMost * share_, share_ + lent / hungry);
    }
  }
  // Less is ordered at once, more only if all of it still fits: old parts that stay must not make the sum too
  // large.
  double budget = 0, stands = 0;
  for (auto& [forwarder, s] : sums) {
    budget += share_ * s.first;
    const bool stays = std::abs(s.wanted - s.row->part) <= kWorthIt * std::max(s.wanted, s.row->part);
    if (!stays && s.wanted < s.row->part) s.row->part = s.wanted;
    stands += s.row->part * s.first;
  }
  for (auto& [forwarder, s] : sums) {
    const double more = (s.wanted - s.row->part) * s.first;
    if (s.wanted <= s.row->part * (1 + kWorthIt) || (stands + more > budget * (1 + 1e-9) && s.first > 0))
      continue;
    s.row->part = s.wanted, stands += more;
  }
  // What came to each changes too: parts that stand for too much by now are cut back together.
  if (stands > budget * (1 + 1e-9))
    for (auto& [forwarder, s] : sums)
      s.row->part *= (1 - kWorthIt / 2) * budget / stands;  // and some room, or each round would
  parts_.clear();
  for (const auto& [forwarder, s] : sums) parts_[forwarder] = s.row->part;
  return parts_;
}

}  // namespace gorsemount::limits
