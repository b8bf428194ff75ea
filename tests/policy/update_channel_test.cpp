// UpdateChannel: the estimate of what waits in the channel, and how much may be written ahead of what.
#include "policy/update_channel.hpp"

#include "helpers.hpp"

namespace gorsemount::testing {

namespace {

const Instant kStart = Instant::at_seconds(100);

Settings channel_settings() {
  Settings s = settings();
  s.backlog = 10'000, s.push_rate = 5000, s.per_message = 4;
  s.drain_grace = Span::seconds(1.5), s.propagation = Span::seconds(0.5);
  return s;
}

}  // namespace

TEST(UpdateChannel, TheBacklogDrainsAtFourFifthsOfTheStatedRate) {
  UpdateChannel channel{channel_settings()};
  EXPECT_EQ(channel.backlog(kStart), 0);
  channel.write(kStart, channel.message_cost(4996));
  EXPECT_EQ(channel.backlog(kStart), 5000);
  EXPECT_EQ(channel.backlog(kStart + Span::seconds(0.5)), 3000);
  channel.write(kStart + Span::seconds(0.5), 100);
  EXPECT_EQ(channel.backlog(kStart + Span::seconds(0.5)), 3100);
  EXPECT_EQ(channel.backlog(kStart + Span::seconds(10)), 0);
  EXPECT_EQ(channel.total_written(), 5100);
}

TEST(UpdateChannel, RequiredChangesLeaveATenthOfTheQueueFree) {
  UpdateChannel channel{channel_settings()};
  EXPECT_TRUE(channel.has_room_for(kStart, 9000));
  EXPECT_FALSE(channel.has_room_for(kStart, 9001));
  channel.write(kStart, 4000);
  EXPECT_FALSE(channel.has_room_for(kStart, 5001));
}

TEST(UpdateChannel, TablesLeaveRoomForWhatIsOwedWithinTheGrace) {
  const UpdateChannel channel{channel_settings()};
  // 1 s remains of the grace after the way to the proxy: 5,000 lines at the stated rate.
  EXPECT_EQ(channel.table_limit(0), 5000);
  EXPECT_EQ(channel.table_limit(2000), 3000);
  // Tables have a part that nothing else can take.
  EXPECT_EQ(channel.table_limit(100'000), channel.deferrable_limit());
  EXPECT_GT(channel.deferrable_limit(), 0);
  Settings patient = channel_settings();
  patient.drain_grace = Span::seconds(100);
  EXPECT_EQ(UpdateChannel{patient}.table_limit(0), 8000);
}

}  // namespace gorsemount::testing
