#include "settings_json/settings.hpp"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gorsemount {

namespace {

constexpr std::uint64_t kCountMost = 0x7fffffffU;
// What ids and the module's numbers of tables leave room for.
constexpr std::size_t kZonesMost = 64, kOperationsMost = 255;
constexpr std::uint64_t kProxiesMost = 65536;

void check_names(const Fields& config, const char* key, const std::vector<std::string>& names,
                 std::size_t most) {
  if (names.empty()) config.fail(key, "is empty");
  if (names.size() > most) config.fail(key, "holds more than " + std::to_string(most));
  if (const std::set<std::string> once{names.begin(), names.end()}; once.size() < names.size())
    config.fail(key, "holds a name twice");
}

Operation read_operation(const Fields& f) {
  Operation op;
  const auto effect = f.text("effect");
  if (effect == "read_like") {
    op.effect = Effect::idempotent;
  } else if (effect == "idempotency_key") {
    op.effect = Effect::fingerprinted;
  } else if (effect == "non_idempotent") {
    op.effect = Effect::side_effecting;
  } else {
    f.fail("effect", "is not known: " + effect);
  }
  op.latency_objective = f.span("goal-time-s");
  op.billed_value = f.number("worth");
  return op;
}

}  // namespace

Settings read_settings(const Fields& config) {
  Settings s;
  const Fields family = config.object("family-info");
  const Json& lanes = config.array("lanes");
  for (std::size_t k = 0; k < lanes.size(); ++k)
    s.operations.push_back(read_operation(Fields{lanes[k], "config.lanes[" + std::to_string(k) + "]"}));
  const auto kind = family.text("level-kind");
  if (kind == "share") {
    s.level_kind = LevelKind::share;
  } else if (kind == "rate") {
    s.level_kind = LevelKind::rate;
  } else if (kind != "off") {
    family.fail("level-kind", "is not known: " + kind);
  }
  s.usual_tries = static_cast<FurtherTries>(family.unsigned_integer("usual-how", 3));
  const auto discovery = config.text("discovery");
  if (discovery != "subscribe" && discovery != "automatic")
    config.fail("discovery", "is not known: " + discovery);
  s.ask_for_list = discovery == "subscribe";
  // What the module can't do must not look as if it were done.
  if (family.has("ranges") && family.unsigned_integer("ranges", kCountMost) > 0)
    family.fail("ranges", "is above 0: key ranges are not supported");
  if (family.optional_flag("one-owner").value_or(false))
    family.fail("one-owner", "is true: owners of key ranges are not supported");
  s.report_every = family.span("report-every-s");
  s.intake = family.number("intake-per-s");
  s.backlog = family.number("backlog");
  s.push_rate = family.number("push-rate");
  s.per_message = family.number("per-message");
  s.messages_most = static_cast<int>(family.unsigned_integer("messages-most", kCountMost));
  s.messages_window = family.span("update-window-s");
  s.proxies = static_cast<double>(family.unsigned_integer("proxies", kProxiesMost));
  s.coordinators = config.number("fleet-size");
  if (s.coordinators < 1) config.fail("fleet-size", "is below 1");
  s.keepalive = config.object("limits").span("keepalive-s");
  const Fields rules = config.object("rules");
  if (s.ask_for_list) s.ask_within = rules.span("ask-within-s");
  s.drain_grace = rules.span("drain-grace-s");
  s.removal_binds = !rules.optional_flag("removal-not-binding").value_or(false);
  s.cold_from = rules.number("cold-from");
  s.cold_for = rules.span("cold-s");
  s.tip_multiple = rules.number("tip-multiple");
  return s;
}

IdNames read_id_names(const Fields& config) {
  IdNames labels;
  const Json& zones = config.array("zones");
  for (const auto& zone : zones) {
    if (!zone.is_string()) config.fail("zones", "holds what is not a text");
    labels.zones.push_back(zone.get<std::string>());
  }
  const Json& lanes = config.array("lanes");
  for (std::size_t k = 0; k < lanes.size(); ++k)
    labels.operations.push_back(Fields{lanes[k], "settings.lanes[" + std::to_string(k) + "]"}.text("name"));
  check_names(config, "zones", labels.zones, kZonesMost);
  check_names(config, "lanes", labels.operations, kOperationsMost);
  return labels;
}

}  // namespace gorsemount
