#include "recovery/fact_confidence.hpp"

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
Span half_life(FactKind kind) {
  switch (kind) {
    case FactKind::zone_ladder:
    case FactKind::backend_ladder:
    case FactKind::link_ladder:
      return Span::seconds(kMinute);
    case FactKind::cold_start:
      return Span::seconds(5 * kMinute);
    case FactKind::drain:
      return Span::seconds(kHour);
    case FactKind::carried:
      return Span::seconds(4 * kHour);
    case FactKind::usual_rate:
      return Span::seconds(3 * kDay);
    case FactKind::sent_table:
    case FactKind::held_table:
    case FactKind::further_tries:
      return Span::seconds(10);
    case FactKind::person_weight:
    case FactKind::person_out:
    case FactKind::person_zone:
    case FactKind::hold:
      return Span::seconds(8 * kHour);
    case FactKind::group_seen:
    case FactKind::group_table:
    case FactKind::table_lines:
    case FactKind::table_levels:
      return Span::seconds(15);
    case FactKind::fleet:
      return Span::seconds(kHour);
  }
  return {};
}

double trust(FactKind kind, Span age) {
  if (age < Span{}) return 0;
  return std::exp2(-age.seconds() / half_life(kind).seconds());
}

FactUse classify(FactKind kind, Span age) {
  const double t = trust(kind, age);
  return t >= kActs ? FactUse::apply : t >= kHint || age < Span{} ? FactUse::hint : FactUse::ignore;
}

TrustedFacts select_trusted(const std::vector<Entry>& entries, Instant confirmed, Instant now) {
  TrustedFacts b;
  double backends = 0, out = 0;
  for (const auto& e : entries) {
    if (e.deleted) continue;
    if (e.subject.kind == FactKind::fleet)
      if (const auto n = e.fact.figures.find("backends"); n != e.fact.figures.end()) backends = n->second;
    if (e.subject.kind == FactKind::backend_ladder)
      if (const auto share = e.fact.figures.find("share"); share != e.fact.figures.end())
        out += 1 - std::clamp(share->second, 0.0, 1.0);
  }
  b.too_many_excluded = out > kOutMost * backends;
  for (const auto& e : entries) {
    FactUse weight = e.deleted ? FactUse::ignore : classify(e.subject.kind, now - confirmed);
    // Learned after it was confirmed: two clocks, or a clock that went back.
    if (weight == FactUse::apply && e.learned > confirmed) weight = FactUse::hint;
    if (weight == FactUse::apply && e.subject.kind == FactKind::backend_ladder && b.too_many_excluded)
      weight = FactUse::hint;
    if (weight == FactUse::apply) b.applicable.push_back(e);
    if (weight == FactUse::hint) b.hints.push_back(e);
  }
  return b;
}

bool applies_immediately(FactKind kind) {
  switch (kind) {
    case FactKind::person_weight:
    case FactKind::person_out:
    case FactKind::person_zone:
    case FactKind::hold:
    case FactKind::group_seen:
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
      const bool ladder = e.subject.kind <= FactKind::link_ladder;
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
