// The share of its weight that a zone, a backend or a link between zones has in the tables. A sustained
// failure signal steps it down to 0; after a hold, small trial steps restore it.
#pragma once

#include "core/time.hpp"

namespace gorsemount {

enum class Health { unknown, healthy, slow, failed };

struct StepSettings {
  double down, up;                        // change of the share in each step
  Span down_interval, hold, up_interval;  // hold: from a share of 0 to the first trial
};
// A backend or a link is removed in one step and restored in thirds.
inline const StepSettings kTargetSteps{1.0, 1.0 / 3, Span{}, Span::seconds(4), Span::seconds(1)};
inline const StepSettings kZoneSteps{1.0 / 3, 0.1, Span::seconds(2), Span::seconds(10), Span::seconds(3)};

struct ShareController {
  double share = 1;
  bool reducing = false;  // stepping down to 0
  Instant next_step;      // earliest time of the next step
  Instant changed_at;     // last change of the share
  Instant failing_since;  // zones only: start of the current failure signal
  int failed_trials = 0;  // since the last long period at full share
  bool was_slow = false;  // restore in smaller steps

  [[nodiscard]] bool at_full_share() const { return share >= 1 && !reducing; }

  // Takes the next step that is due. `trial_share`: the share of the first trial after the hold.
  void advance(Instant now, const StepSettings& steps, Health health, double trial_share);

 private:
  void move(double target, Instant now, Span wait);
  void reduce(Instant now, const StepSettings& steps);
};

}  // namespace gorsemount
