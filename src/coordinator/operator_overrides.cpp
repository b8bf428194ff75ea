#include "coordinator/operator_overrides.hpp"

#include <algorithm>
#include <cmath>

namespace gorsemount::coordinator {

namespace {

// The mechanism's own steps (docs/design.md): a third of the full share every 2 s down; up with a hundredth,
// then a tenth every 3 s.
constexpr double kDown = 1.0 / 3, kUp = 0.1, kTrial = 0.01;
const Span kDownEvery = Span::seconds(2), kUpEvery = Span::seconds(3);

// An order that was taken back is kept this long, so that whoever still holds the older one hears of it.
const Span kTold = Span::seconds(600);

double steps(Instant since, Instant now, Span every) {
  return std::floor((now - since).seconds() / every.seconds() + 1e-9);
}

}  // namespace

void OperatorOverrides::set_weight(Instant now, const std::string& backend, double weight, Span lifetime) {
  weights_[backend] = {weight, now + lifetime, now};
}

double OperatorOverrides::share(const Zone& zone, Instant now) {
  if (zone.down) {
    const double left = zone.from - kDown * (steps(zone.since, now, kDownEvery) + 1);
    return left < 1e-9 ? 0 : left;
  }
  return std::min(1.0, std::max(zone.from, kTrial) + kUp * steps(zone.since, now, kUpEvery));
}

void OperatorOverrides::drain(Instant now, const std::string& zone) {
  const auto it = zones_.find(zone);
  if (it != zones_.end() && it->second.down) return;
  zones_[zone] = {true, it == zones_.end() ? 1 : share(it->second, now), now};
}

void OperatorOverrides::undrain(Instant now, const std::string& zone) {
  const auto it = zones_.find(zone);
  if (it == zones_.end() || !it->second.down) return;
  it->second = {false, share(it->second, now), now};
}

bool OperatorOverrides::drained(const std::string& zone) const {
  const auto it = zones_.find(zone);
  return it != zones_.end() && it->second.down;
}

OperatorOverrides::Say OperatorOverrides::of(const std::string& backend, const std::string& zone,
                                             Instant now) const {
  Say say;
  if (const auto it = weights_.find(backend); it != weights_.end() && now < it->second.until)
    say.weight = it->second.weight;
  if (const auto it = zones_.find(zone); it != zones_.end()) say.share = share(it->second, now);
  say.out = out(backend) || say.share <= 0;
  return say;
}

bool OperatorOverrides::recall(const std::string& backend, const Weight& weight) {
  const auto it = weights_.find(backend);
  if (it != weights_.end() && it->second.ordered >= weight.ordered) return false;
  weights_[backend] = weight;
  return true;
}

bool OperatorOverrides::recall(const std::string& backend, const Out& out) {
  const auto it = out_.find(backend);
  if (it != out_.end() && it->second.ordered >= out.ordered) return false;
  out_[backend] = out;
  return true;
}

bool OperatorOverrides::recall(const std::string& zone, const Zone& order) {
  const auto it = zones_.find(zone);
  if (it != zones_.end() && it->second.since >= order.since) return false;
  if (it == zones_.end() && !order.down) return false;  // it is up already
  zones_[zone] = order;
  return true;
}

bool OperatorOverrides::forget_zone(const std::string& zone, Instant before) {
  const auto it = zones_.find(zone);
  if (it == zones_.end() || it->second.since >= before) return false;
  zones_.erase(it);
  return true;
}

std::optional<Instant> OperatorOverrides::next_change(Instant now) {
  std::optional<Instant> next;
  const auto at = [&](Instant when) { next = std::min(next.value_or(when), when); };
  std::erase_if(out_, [&](const auto& row) { return !row.second.out && now - row.second.ordered > kTold; });
  std::erase_if(weights_, [&](const auto& row) { return row.second.until <= now; });
  std::erase_if(zones_, [&](const auto& row) { return !row.second.down && share(row.second, now) >= 1; });
  for (const auto& [name, w] : weights_) at(w.until);
  for (const auto& [name, zone] : zones_) {
    if (zone.down && share(zone, now) <= 0) continue;
    const Span every = zone.down ? kDownEvery : kUpEvery;
    at(zone.since + every * (steps(zone.since, now, every) + 1));
  }
  return next;
}

}  // namespace gorsemount::coordinator
