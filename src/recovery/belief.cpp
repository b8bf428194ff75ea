#include "recovery/belief.hpp"

#include <algorithm>
#include <cmath>

namespace gorsemount::recovery {

namespace {

constexpr double kActs = 0.25;      // two half-lives: what is left after that is more often wrong than right
constexpr double kHint = 1.0 / 64;  // six
constexpr double kOutMost = 0.4;    // the module's own panic bound

constexpr double kMinute = 60, kHour = 3600, kDay = 86400;

}  // namespace

// By nature. A ladder's longest hold is 80 s, its climb 120 s: after two minutes it would be whole or nearly.
// Capacity changes with releases and with hardware, by the day's work; rates have the week's pattern. A drain
// and a person's order stand till something says otherwise or their own time is over; but no order outlives a
// shift and the next unseen.
Span half_life(Kind kind) {
  switch (kind) {
    case Kind::zone_ladder:
    case Kind::backend_ladder:
    case Kind::link_ladder:
      return Span::seconds(kMinute);
    case Kind::cold_start:
      return Span::seconds(5 * kMinute);
    case Kind::drain:
      return Span::seconds(kHour);
    case Kind::carried:
      return Span::seconds(4 * kHour);
    case Kind::usual_rate:
      return Span::seconds(3 * kDay);
    case Kind::sent_table:
    case Kind::held_table:
    case Kind::further_tries:
      return Span::seconds(10);
    case Kind::person_weight:
    case Kind::person_out:
    case Kind::person_zone:
    case Kind::hold:
      return Span::seconds(8 * kHour);
    case Kind::group_seen:
    case Kind::group_table:
    case Kind::table_lines:
    case Kind::table_levels:
      return Span::seconds(15);
    case Kind::fleet:
      return Span::seconds(kHour);
  }
  return {};
}

double trust(Kind kind, Span age) {
  if (age < Span{}) return 0;
  return std::exp2(-age.seconds() / half_life(kind).seconds());
}

Weight weigh(Kind kind, Span age) {
  const double t = trust(kind, age);
  return t >= kActs ? Weight::acts : t >= kHint || age < Span{} ? Weight::hint : Weight::nothing;
}

Believed believe(const std::vector<Entry>& entries, Instant confirmed, Instant now) {
  Believed b;
  double backends = 0, out = 0;
  for (const auto& e : entries) {
    if (e.gone) continue;
    if (e.subject.kind == Kind::fleet)
      if (const auto n = e.fact.figures.find("backends"); n != e.fact.figures.end()) backends = n->second;
    if (e.subject.kind == Kind::backend_ladder)
      if (const auto share = e.fact.figures.find("share"); share != e.fact.figures.end())
        out += 1 - std::clamp(share->second, 0.0, 1.0);
  }
  b.too_many_out = out > kOutMost * backends;
  for (const auto& e : entries) {
    Weight weight = e.gone ? Weight::nothing : weigh(e.subject.kind, now - confirmed);
    // Learned after it was confirmed: two clocks, or a clock that went back.
    if (weight == Weight::acts && e.learned > confirmed) weight = Weight::hint;
    if (weight == Weight::acts && e.subject.kind == Kind::backend_ladder && b.too_many_out)
      weight = Weight::hint;
    if (weight == Weight::acts) b.acts.push_back(e);
    if (weight == Weight::hint) b.hints.push_back(e);
  }
  return b;
}

bool acts_at_once(Kind kind) {
  switch (kind) {
    case Kind::person_weight:
    case Kind::person_out:
    case Kind::person_zone:
    case Kind::hold:
    case Kind::group_seen:
      return true;
    default:
      return false;
  }
}

std::vector<Entry> merge(std::vector<std::vector<Entry>> sources) {
  std::map<Subject, Entry> merged;
  for (auto& source : sources)
    for (auto& e : source) {
      const auto [it, fresh] = merged.try_emplace(e.subject, e);
      if (fresh) continue;
      Entry& was = it->second;
      const bool ladder = e.subject.kind <= Kind::link_ladder;
      const auto share = [](const Entry& x) {
        const auto s = x.fact.figures.find("share");
        return s == x.fact.figures.end() ? 1.0 : s->second;
      };
      if (ladder ? share(e) < share(was) : e.learned > was.learned) was = e;
    }
  std::vector<Entry> all;
  for (auto& [subject, e] : merged) all.push_back(std::move(e));
  return all;
}

}  // namespace gorsemount::recovery
