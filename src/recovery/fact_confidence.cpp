#include "recovery/fact_confidence.hpp"

#include <algorithm>
#include <cmath>

namespace gorsemount::recovery {

namespace {

constexpr double kMinApply = 0.25;     // two half-lives: beyond that a fact is more often wrong than right
constexpr double kMinHint = 1.0 / 64;  // six half-lives
constexpr double kMaxExcludedShare = 0.4;  // the policy module's panic threshold

constexpr double kMinuteSeconds = 60, kHourSeconds = 3600, kDaySeconds = 86400;

}  // namespace

// Reasons for the half-lives: a reduced share (zone_ladder, backend_ladder, link_ladder) is held for at most
// 80 s and recovers within 120 s, so it is full again or nearly so after two minutes. Capacity changes with
// releases and hardware, within a working day; rates follow a weekly pattern. A drain or an operator's
// command holds until revoked or expired, but not beyond one shift and the next without being seen.
Span half_life(FactKind kind) {
  switch (kind) {
    case FactKind::zone_ladder:
    case FactKind::backend_ladder:
    case FactKind::link_ladder:
      return Span::seconds(kMinuteSeconds);
    case FactKind::cold_start:
      return Span::seconds(5 * kMinuteSeconds);
    case FactKind::drain:
      return Span::seconds(kHourSeconds);
    case FactKind::carried:
      return Span::seconds(4 * kHourSeconds);
    case FactKind::usual_rate:
      return Span::seconds(3 * kDaySeconds);
    case FactKind::sent_table:
    case FactKind::held_table:
    case FactKind::further_tries:
      return Span::seconds(10);
    case FactKind::person_weight:
    case FactKind::person_out:
    case FactKind::person_zone:
    case FactKind::hold:
      return Span::seconds(8 * kHourSeconds);
    case FactKind::group_seen:
    case FactKind::group_table:
    case FactKind::table_lines:
    case FactKind::table_levels:
      return Span::seconds(15);
    case FactKind::fleet:
      return Span::seconds(kHourSeconds);
  }
  return {};
}

double confidence(FactKind kind, Span age) {
  if (age < Span{}) return 0;
  return std::exp2(-age.seconds() / half_life(kind).seconds());
}

FactUse classify(FactKind kind, Span age) {
  const double value = confidence(kind, age);
  return value >= kMinApply                  ? FactUse::apply
         : value >= kMinHint || age < Span{} ? FactUse::hint
                                             : FactUse::ignore;
}

TrustedFacts select_trusted(const std::vector<Entry>& entries, Instant confirmed_at, Instant now) {
  TrustedFacts facts;
  double backends = 0, excluded = 0;
  for (const auto& e : entries) {
    if (e.deleted) continue;
    if (e.subject.kind == FactKind::fleet)
      if (const auto n = e.fact.figures.find("backends"); n != e.fact.figures.end()) backends = n->second;
    if (e.subject.kind == FactKind::backend_ladder)
      if (const auto share = e.fact.figures.find("share"); share != e.fact.figures.end())
        excluded += 1 - std::clamp(share->second, 0.0, 1.0);
  }
  facts.too_many_excluded = excluded > kMaxExcludedShare * backends;
  for (const auto& e : entries) {
    FactUse use = e.deleted ? FactUse::ignore : classify(e.subject.kind, now - confirmed_at);
    // Learned after its confirmation: the times are from two clocks, or a clock went backwards.
    if (use == FactUse::apply && e.learned > confirmed_at) use = FactUse::hint;
    if (use == FactUse::apply && e.subject.kind == FactKind::backend_ladder && facts.too_many_excluded)
      use = FactUse::hint;
    if (use == FactUse::apply) facts.applicable.push_back(e);
    if (use == FactUse::hint) facts.hints.push_back(e);
  }
  return facts;
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
      Entry& kept = it->second;
      const bool ladder = e.subject.kind <= FactKind::link_ladder;
      const auto share = [](const Entry& x) {
        const auto s = x.fact.figures.find("share");
        return s == x.fact.figures.end() ? 1.0 : s->second;
      };
      if (ladder ? share(e) < share(kept) : e.learned > kept.learned) kept = e;
    }
  std::vector<Entry> all;
  all.reserve(merged.size());
  for (auto& [subject, e] : merged) all.push_back(std::move(e));
  return all;
}

}  // namespace gorsemount::recovery
