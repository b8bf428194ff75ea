// Decides what a remembered fact is worth: each kind ages by its nature, and acts only while it is trusted.
// What is older is a hint for people; what is older still is nothing.
#pragma once

#include <vector>

#include "recovery/facts.hpp"

namespace gorsemount::recovery {

// From 1 down to 0 by the kind's half-life. An age below 0 is a clock that lies: 0.
[[nodiscard]] double trust(Kind kind, Span age);
[[nodiscard]] Span half_life(Kind kind);

enum class Weight { acts, hint, nothing };
[[nodiscard]] Weight weigh(Kind kind, Span age);

struct Believed {
  std::vector<Entry> acts, hints;
  bool too_many_out = false;  // backends' ladders were put back to hints: see believe()
};
// Of facts that were last known to hold at `confirmed`. A memory in which over two fifths of the backends are
// out is likelier wrong than right, as in the module; then no backend's ladder acts.
[[nodiscard]] Believed believe(const std::vector<Entry>& entries, Instant confirmed, Instant now);

// What a person ordered, or a client asked, at one controller holds at all of them as soon as they hear of
// it; the rest waits till somebody takes over.
[[nodiscard]] bool acts_at_once(Kind kind);

// Of one subject from several sources the one confirmed last; of ladders the lowest share. For a new leader
// that has heard several controllers.
[[nodiscard]] std::vector<Entry> merge(std::vector<std::vector<Entry>> sources);

}  // namespace gorsemount::recovery
