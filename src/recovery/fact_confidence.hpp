// Decides what a remembered fact is worth: each kind ages by its nature, and acts only while it is trusted.
// What is older is a hint for people; what is older still is nothing.
#pragma once

#include <vector>

#include "recovery/facts.hpp"

namespace gorsemount::recovery {

// From 1 down to 0 by the kind's half-life. An age below 0 is a clock that lies: 0.
[[nodiscard]] double trust(FactKind kind, Span age);
[[nodiscard]] Span half_life(FactKind kind);

enum class FactUse { apply, hint, ignore };
[[nodiscard]] FactUse classify(FactKind kind, Span age);

struct TrustedFacts {
  std::vector<Entry> applicable, hints;
  bool too_many_excluded = false;  // backends' ladders were put back to hints: see select_trusted()
};
// Of facts that were last known to hold at `confirmed`. A memory in which over two fifths of the backends are
// out is likelier wrong than right, as in the module; then no backend's ladder acts.
[[nodiscard]] TrustedFacts select_trusted(const std::vector<Entry>& entries, Instant confirmed, Instant now);

// What a person ordered, or a client asked, at one controller holds at all of them as soon as they hear of
// it; the rest waits till somebody takes over.
[[nodiscard]] bool applies_immediately(FactKind kind);

// Of one subject from several sources the one confirmed last; of ladders the lowest share. For a new leader
// that has heard several controllers.
[[nodiscard]] std::vector<Entry> merge(std::vector<std::vector<Entry>> sources);

}  // namespace gorsemount::recovery
