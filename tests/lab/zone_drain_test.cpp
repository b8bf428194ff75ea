// Guards against admission levels that count a zone drained by an operator as spare capacity: its idle
// processors look free, so everything is admitted although the other zone is overloaded. When a zone was lost
// while another was drained, service fell to 0.11 in the worst 10 s and nothing was rate-limited.
#include <gtest/gtest.h>

#include "lab/replay/compare.hpp"

namespace gorsemount::lab {
namespace {

TEST(OperatorDrain, AdmissionLevelsIgnoreIdleProcessorsOfTheDrainedZone) {
  script::Day day;
  day.length = Span::seconds(40), day.settle = Span::seconds(3);
  day.zones = {"kariakoo", "ubungo"};
  day.operations = {
      {"refill-check", "idempotent", 2, Span::seconds(0.12), Span::seconds(1), Span::seconds(2), 1},
      {"place-order", "side-effecting", 1, Span::seconds(0.12), Span::seconds(1), Span::seconds(2), 3}};
  for (const auto& zone : day.zones) {
    day.workers.emplace_back().zone = zone, day.workers.back().count = 10;
    day.clients.emplace_back().zone = zone, day.clients.back().count = 2, day.clients.back().rate = 1;
    auto& forwarders = day.forwarders.emplace_back();
    forwarders.zone = zone, forwarders.count = 5, forwarders.clients = 10,
    forwarders.rate = 11;  // 220 per second in all; one zone handles 167
  }
  day.coordinators = {"kariakoo"};
  day.phases = {{"day", {}, 1}};
  day.drain_grace = Span::seconds(5), day.cold_for = Span::seconds(8), day.unserved = Span::seconds(3),
  day.tip_after = Span::seconds(2);
  day.lease = Span::seconds(1), day.messages_window = Span::seconds(10), day.levels = true,
  day.backlog = day.lines_per_second = 20000;
  script::Person drain_order;
  drain_order.at = Span::seconds(10);
  drain_order.order.action = coordinator::OperatorCommand::Action::drain_zone,
  drain_order.order.name = "ubungo";
  day.persons.push_back(drain_order);
  const auto played = run_variants(day, {{"as it is", "", {}}}, 2, 1, {}, [](double) {});
  const Tally& tally = played[0].whole;
  EXPECT_GT(static_cast<double>(tally.rate_limited), 0.1 * static_cast<double>(tally.invocations));
  EXPECT_GT(tally.service(), 0.5);
}

}  // namespace
}  // namespace gorsemount::lab
