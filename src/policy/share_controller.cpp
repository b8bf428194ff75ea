#include "policy/share_controller.hpp"

#include <algorithm>

namespace gorsemount {

namespace {

constexpr double kNoShare = 1e-9;      // below this, rounding is all that is left of a share
constexpr int kMaxHoldDoublings = 3;   // of the hold, by failed trials
constexpr double kSlowStep = 0.75;     // a slow target keeps this part of its share in each step,
constexpr double kMinSlowShare = 0.1;  // down to this share

}  // namespace

void ShareController::advance(Instant now, const StepSettings& steps, Health health, double trial_share) {
  if (health == Health::failed && !reducing && share > 0) {
    if (share < 1) ++failed_trials;
    reducing = true;
    next_step = now;
  }
  if (now < next_step) return;
  if (reducing) {
    reduce(now, steps);
  } else if (share <= 0) {
    move(trial_share, now, steps.up_interval);
  } else if (health == Health::slow) {
    // A slow target keeps part of its traffic and is restored in small steps.
    was_slow = true;
    move(std::max(kMinSlowShare, share * kSlowStep), now, steps.up_interval * 2);
  } else if (share < 1) {
    const double up = was_slow || failed_trials > 0 ? steps.up / 4 : steps.up;
    if (health == Health::healthy) move(share + up, now, steps.up_interval);
  } else if (now - changed_at > steps.hold * 4) {
    failed_trials = 0;
    was_slow = false;
  }
}

void ShareController::move(double target, Instant now, Span wait) {
  share = std::clamp(target, 0.0, 1.0);
  changed_at = now;
  next_step = now + wait;
}

void ShareController::reduce(Instant now, const StepSettings& steps) {
  move(share - steps.down, now, steps.down_interval);
  if (share >= kNoShare) return;
  // Each failed trial doubles the hold, so that a flapping target does not fall into step with the timers.
  move(0, now, steps.hold * (1 << std::min(failed_trials, kMaxHoldDoublings)));
  reducing = false;
}

}  // namespace gorsemount
