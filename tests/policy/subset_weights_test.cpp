// Where a new backend goes, and which backends stand in for a zone.
#include "policy/subset_weights.hpp"

#include <gtest/gtest.h>

#include "policy/zone_fallback.hpp"

namespace gorsemount::testing {

namespace {

constexpr ZoneId kZone{1}, kOtherZone{2};

std::vector<std::uint32_t> ids(const std::vector<ZoneFallback::Candidate>& candidates) {
  std::vector<std::uint32_t> result;
  for (const auto& candidate : candidates) result.push_back(candidate.backend.value);
  return result;
}

}  // namespace

TEST(SubsetWeights, TheLightestSubsetOfTheZoneIsChosenThenTheLightestOfAll) {
  SubsetWeights weights{3};
  EXPECT_EQ(weights.lightest(kZone), 0U);
  weights.add(kZone, 0, 2), weights.add(kZone, 1, 1), weights.add(kZone, 2, 1);
  weights.add(kOtherZone, 1, 5);
  EXPECT_EQ(weights.lightest(kZone), 2U);       // as light as 1 in the zone, lighter in total
  EXPECT_EQ(weights.lightest(kOtherZone), 2U);  // has none of that zone, and less than 0 in total
  weights.remove(kZone, 0, 2);
  EXPECT_EQ(weights.lightest(kZone), 0U);
}

TEST(ZoneFallback, BorrowsFromTheSubsetWithMostWeightForEachTable) {
  ZoneFallback fallback;
  fallback.add({BackendId{10}, kZone, 0, 1, 1});
  fallback.add({BackendId{11}, kZone, 0, 1, 1});
  fallback.add({BackendId{12}, kZone, 1, 1.5, 1});
  fallback.add({BackendId{13}, kOtherZone, 1, 9, 1});
  EXPECT_EQ(ids(fallback.choose(kZone, 2, false)), (std::vector<std::uint32_t>{10, 11}));
  EXPECT_EQ(ids(fallback.choose(kZone, 3, true)), (std::vector<std::uint32_t>{12}));  // 1.5, not 2 for two
  EXPECT_EQ(ids(fallback.choose(kZone, 4, false)), (std::vector<std::uint32_t>{10, 11}));
  EXPECT_TRUE(fallback.choose(ZoneId{7}, 2, false).empty());
}

TEST(ZoneFallback, ReducedAndRemovedBackendsStandInOnlyForALastLineAndTheOwnOnesFirst) {
  ZoneFallback fallback;
  fallback.add({BackendId{10}, kZone, 0, 5, 0});
  fallback.add({BackendId{11}, kZone, 1, 1, 0});
  EXPECT_TRUE(fallback.choose(kZone, 1, true).empty());
  EXPECT_EQ(ids(fallback.choose(kZone, 1, false)), (std::vector<std::uint32_t>{11}));
  EXPECT_EQ(ids(fallback.choose(kZone, 2, false)), (std::vector<std::uint32_t>{10}));
  fallback.add({BackendId{12}, kZone, 3, 1, 0.5});
  EXPECT_EQ(ids(fallback.choose(kZone, 1, false)), (std::vector<std::uint32_t>{12}));
  EXPECT_TRUE(fallback.choose(kZone, 1, true).empty());
  fallback.add({BackendId{13}, kZone, 4, 1, 1});
  EXPECT_EQ(ids(fallback.choose(kZone, 1, true)), (std::vector<std::uint32_t>{13}));
}

}  // namespace gorsemount::testing
