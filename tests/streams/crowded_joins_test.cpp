// Many proxies join at once while backends drain, with the channel played.
#include "streams/fake_fleet.hpp"

namespace gorsemount::streams {
namespace {

using testing::Fleet;

struct Size {
  unsigned proxies, backends;
  double push_rate;
};
constexpr Size kSizes[] = {{150, 30, 4700}, {400, 30, 4700}, {2400, 200, 28200}};

// Guards against draining backends that joining proxies go on using past the grace, because only a whole
// table, which waits its turn in the channel, tells them.
TEST(CrowdedJoins, DrainsReachAllProxiesWithinTheGrace) {
  for (const Size& size : kSizes)
    for (const bool has_zone_bound : {false, true}) {
      SCOPED_TRACE(std::to_string(size.proxies) + (has_zone_bound ? " proxies, two tables" : " proxies"));
      Fleet fleet{{size.proxies, size.backends, size.push_rate, 1, has_zone_bound}};
      fleet.bring_full_tables();
      fleet.drain(0, 12, 0.05);  // before, during and after the joins
      fleet.join_all(3, 0.4);
      fleet.run_until(13);
      EXPECT_EQ(fleet.late_lines(), 0);
      EXPECT_EQ(fleet.without_whole_table(), 0U);
      EXPECT_LE(fleet.longest_backlog(), fleet.backlog_limit());
    }
}

// Guards against the same where the proxies come a second time before the first one's tables are through, and
// against removals that are lost with the proxy's former stream.
TEST(CrowdedJoins, DrainsReachProxiesThatJoinAgainMeanwhile) {
  for (const Size& size : kSizes) {
    SCOPED_TRACE(std::to_string(size.proxies) + " proxies");
    Fleet fleet{{size.proxies, size.backends, size.push_rate, 1, false}};
    fleet.bring_full_tables();
    fleet.drain(0, 6, 0.05);
    fleet.join_all(2, 0.4);
    fleet.rejoin_all(3, 0.4);
    fleet.run_until(10);
    EXPECT_EQ(fleet.late_lines(), 0);
    EXPECT_EQ(fleet.without_whole_table(), 0U);
    EXPECT_LE(fleet.longest_backlog(), fleet.backlog_limit());
  }
}

// The other side of the estimate: a channel that runs at four fifths of its stated rate, as slow as the
// module assumes, never holds more lines than it may, and all tables still get through.
TEST(CrowdedJoins, ASlowChannelNeverHoldsTooManyLines) {
  for (const Size& size : kSizes)
    for (const bool has_zone_bound : {false, true}) {
      SCOPED_TRACE(std::to_string(size.proxies) + (has_zone_bound ? " proxies, two tables" : " proxies"));
      Fleet fleet{{size.proxies, size.backends, size.push_rate, 0.8, has_zone_bound}};
      fleet.bring_full_tables();
      fleet.drain(0, 12, 0.05);
      fleet.join_all(3, 0.4);
      fleet.run_until(16);
      EXPECT_LE(fleet.longest_backlog(), fleet.backlog_limit());
      EXPECT_EQ(fleet.without_whole_table(), 0U);
    }
}

// The module must not charge the channel for fewer lines than are written, nor for many more: either costs a
// rule, the one of the queue or the one of the grace.
TEST(CrowdedJoins, TheEstimateOfTheChannelMatchesWhatIsWritten) {
  for (const bool has_zone_bound : {false, true}) {
    SCOPED_TRACE(has_zone_bound);
    Fleet fleet{{400, 30, 4700, 1, has_zone_bound}};
    fleet.bring_full_tables();
    fleet.join_all(0, 0.4);
    fleet.run_until(6);
    const double charged = fleet.charged_lines();
    EXPECT_GE(charged, fleet.written_lines());
    EXPECT_LE(charged, 1.15 * fleet.written_lines());
  }
}

}  // namespace
}  // namespace gorsemount::streams
