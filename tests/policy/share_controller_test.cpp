// The steps of a share: down on a failure signal, a hold, trials and the way back.
#include "policy/share_controller.hpp"

#include <gtest/gtest.h>

namespace gorsemount::testing {

namespace {

constexpr double kTrialShare = 0.1;

// Advances in steps of 0.25 s with the same health until the share differs, for `most` seconds.
void advance_until_changed(ShareController& control, Instant& now, const StepSettings& steps, Health health,
                           double most) {
  const double before = control.share;
  for (double passed = 0; passed < most && control.share == before; passed += 0.25) {
    now = now + Span::seconds(0.25);
    control.advance(now, steps, health, kTrialShare);
  }
}

}  // namespace

TEST(ShareController, ABackendIsRemovedAtOnceAndEachFailedTrialDoublesTheHold) {
  ShareController control;
  Instant now = Instant::at_seconds(100);
  for (const double hold : {4.0, 8.0, 16.0, 32.0, 32.0}) {
    advance_until_changed(control, now, kTargetSteps, Health::failed, 2);
    EXPECT_EQ(control.share, 0);
    EXPECT_FALSE(control.at_full_share());
    const Instant removed = now;
    advance_until_changed(control, now, kTargetSteps, Health::unknown, 60);
    EXPECT_EQ(control.share, kTrialShare);
    EXPECT_EQ((now - removed).seconds(), hold);
  }
  EXPECT_EQ(control.failed_trials, 4);
}

TEST(ShareController, AZoneIsDrainedByThirdsAndRestoredByTenths) {
  ShareController control;
  Instant now = Instant::at_seconds(100);
  for (const double share : {2.0 / 3, 1.0 / 3, 0.0}) {
    advance_until_changed(control, now, kZoneSteps, Health::failed, 3);
    EXPECT_NEAR(control.share, share, 1e-12);
  }
  advance_until_changed(control, now, kZoneSteps, Health::healthy, 11);
  EXPECT_EQ(control.share, kTrialShare);
  advance_until_changed(control, now, kZoneSteps, Health::healthy, 4);
  EXPECT_NEAR(control.share, kTrialShare + 0.1, 1e-12);
}

TEST(ShareController, ASlowTargetKeepsATenthAndIsRestoredInSmallSteps) {
  ShareController control;
  Instant now = Instant::at_seconds(100);
  advance_until_changed(control, now, kTargetSteps, Health::slow, 1);
  EXPECT_EQ(control.share, 0.75);
  for (int step = 0; step < 20; ++step) advance_until_changed(control, now, kTargetSteps, Health::slow, 3);
  EXPECT_EQ(control.share, 0.1);
  advance_until_changed(control, now, kTargetSteps, Health::healthy, 3);
  EXPECT_NEAR(control.share, 0.1 + 1.0 / 12, 1e-12);
}

TEST(ShareController, WithoutASignalAReducedShareStays) {
  ShareController control;
  Instant now = Instant::at_seconds(100);
  control.share = 0.5;
  advance_until_changed(control, now, kTargetSteps, Health::unknown, 60);
  EXPECT_EQ(control.share, 0.5);
}

}  // namespace gorsemount::testing
