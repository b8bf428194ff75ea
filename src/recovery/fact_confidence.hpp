// Rates how far a stored fact can still be trusted. Confidence decays with a half-life per kind of fact: a
// fact is applied while confidence is high, is then kept as a hint for operators, and is finally ignored.
#pragma once

#include <vector>

#include "recovery/facts.hpp"

namespace gorsemount::recovery {

// From 1 down to 0 by the kind's half-life; 0 for a negative age, which means a wrong clock.
[[nodiscard]] double confidence(FactKind kind, Span age);
[[nodiscard]] Span half_life(FactKind kind);

enum class FactUse { apply, hint, ignore };
[[nodiscard]] FactUse classify(FactKind kind, Span age);

struct TrustedFacts {
  std::vector<Entry> applicable, hints;
  bool too_many_excluded = false;  // backend_ladder facts were downgraded to hints: see select_trusted()
};
// Sorts facts that were last confirmed at `confirmed_at`. If they exclude more than two fifths of the
// backends they are more likely wrong than right, as in the policy module; no backend_ladder fact (the
// reduced share of a backend) is applied then.
[[nodiscard]] TrustedFacts select_trusted(const std::vector<Entry>& entries, Instant confirmed_at,
                                          Instant now);

// Whether a fact from another controller applies on receipt: operator commands and client lookups do, the
// rest is used only when a new leader takes over.
[[nodiscard]] bool applies_immediately(FactKind kind);

// Merges the entries of several controllers for a new leader: the latest entry of each subject, and for the
// reduced shares of zones, backends and links the one with the lowest share.
[[nodiscard]] std::vector<Entry> merge(std::vector<std::vector<Entry>> sources);

}  // namespace gorsemount::recovery
