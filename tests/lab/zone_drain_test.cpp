// What a person took out is no capacity: found when a zone was lost while another was drained by a person,
// and the levels let in all that came, since the drained zone's idle processors seemed to have room (service
// 0.11 in the worst 10 s, and nothing rate-limited).
#include <gtest/gtest.h>

#include "lab/replay/compare.hpp"

namespace gorsemount::lab {
namespace {

TEST(Person, LevelsDoNotCountADrainedZonesIdleProcessors) {
  script::Day day;
  day.length = Span::seconds(40), day.settle = Span::seconds(3);
  day.zones = {"kariakoo", "ubungo"};
  day.operations = {
      {"refill-check", "idempotent", 2, Span::seconds(0.12), Span::seconds(1), Span::seconds(2), 1},
      {"place-order", "side-effecting", 1, Span::seconds(0.12), Span::seconds(1), Span::seconds(2), 3}};
  for (const auto& zone : day.zones) {
    day.workers.emplace_back().zone = zone, day.workers.back().count = 10;
    day.clients.emplace_back().zone = zone, day.clients.back().count = 2, day.clients.back().rate = 1;
    auto& f = day.forwarders.emplace_back();
    f.zone = zone, f.count = 5, f.clients = 10, f.rate = 11;  // 220 a second, where a zone alone carries 167
  }
  day.coordinators = {"kariakoo"};
  day.phases = {{"day", {}, 1}};
  day.drain_grace = Span::seconds(5), day.cold_for = Span::seconds(8), day.unserved = Span::seconds(3),
  day.tip_after = Span::seconds(2);
  day.lease = Span::seconds(1), day.messages_window = Span::seconds(10), day.levels = true,
  day.backlog = day.lines_per_second = 20000;
  script::ScriptedCommand scripted_command;
  scripted_command.at = Span::seconds(10);
  scripted_command.command.action = coordinator::OperatorCommand::Action::drain_zone,
  scripted_command.command.name = "ubungo";
  day.operator_commands.push_back(scripted_command);
  const auto played = run_variants(day, {{"as it is", "", {}}}, 2, 1, {}, [](double) {});
  const Tally& all = played[0].whole;
  EXPECT_GT(static_cast<double>(all.rate_limited), 0.1 * static_cast<double>(all.invocations));
  EXPECT_GT(all.service(), 0.5);
}

}  // namespace
}  // namespace gorsemount::lab
