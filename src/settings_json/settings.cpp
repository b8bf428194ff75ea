#include "settings_json/settings.hpp"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gorsemount {

namespace {

constexpr std::uint64_t kMaxCount = 0x7fffffffU;
// Limits set by the ranges of ids and table numbers in the decision module.
constexpr std::size_t kMaxZones = 64, kMaxOperations = 255;
constexpr std::uint64_t kMaxProxies = 65536;

void check_names(const Fields& config, const char* key, const std::vector<std::string>& names,
                 std::size_t max) {
  if (names.empty()) config.fail(key, "is empty");
  if (names.size() > max) config.fail(key, "has more entries than " + std::to_string(max));
  if (const std::set<std::string> unique_names{names.begin(), names.end()};
      unique_names.size() < names.size())
    config.fail(key, "holds a name twice");
}

Operation read_operation(const Fields& fields) {
  Operation operation;
  const auto effect = fields.text("effect");
  if (effect == "read_like") {
    operation.effect = Effect::idempotent;
  } else if (effect == "idempotency_key") {
    operation.effect = Effect::fingerprinted;
  } else if (effect == "non_idempotent") {
    operation.effect = Effect::side_effecting;
  } else {
    fields.fail("effect", "is not known: " + effect);
  }
  operation.latency_objective = fields.span("goal-time-s");
  operation.billed_value = fields.number("worth");
  return operation;
}

// `zone-bound` holds a flag for each operation. Without it no operation is bound to the proxy's zone.
void read_zone_bound(const Fields& family, std::vector<Operation>& operations) {
  if (!family.has("zone-bound")) return;
  const Json& flags = family.array("zone-bound");
  if (flags.size() != operations.size())
    family.fail("zone-bound", "does not have one entry for each of the lanes");
  for (std::size_t index = 0; index < operations.size(); ++index) {
    if (!flags[index].is_boolean()) family.fail("zone-bound", "contains a value that is not a boolean");
    operations[index].zone_bound = flags[index].get<bool>();
  }
}

}  // namespace

Settings read_settings(const Fields& config) {
  Settings settings;
  const Fields family = config.object("family-info");
  const Json& lanes = config.array("lanes");
  for (std::size_t index = 0; index < lanes.size(); ++index)
    settings.operations.push_back(
        read_operation(Fields{lanes[index], "config.lanes[" + std::to_string(index) + "]"}));
  read_zone_bound(family, settings.operations);
  const auto kind = family.text("level-kind");
  if (kind == "share") {
    settings.admission_mode = AdmissionMode::share;
  } else if (kind == "rate") {
    settings.admission_mode = AdmissionMode::rate;
  } else if (kind != "off") {
    family.fail("level-kind", "is not known: " + kind);
  }
  settings.default_retries = static_cast<RetryPolicy>(family.unsigned_integer("usual-how", 3));
  const auto discovery = config.text("discovery");
  if (discovery != "subscribe" && discovery != "automatic")
    config.fail("discovery", "is not known: " + discovery);
  settings.explicit_subscription = discovery == "subscribe";
  // Unsupported features are rejected instead of being ignored silently.
  if (family.has("ranges") && family.unsigned_integer("ranges", kMaxCount) > 0)
    family.fail("ranges", "is above 0: key ranges are not supported");
  if (family.optional_flag("one-owner").value_or(false))
    family.fail("one-owner", "is true: owners of key ranges are not supported");
  settings.report_every = family.span("report-every-s");
  settings.max_report_rate = family.number("intake-per-s");
  settings.backlog = family.number("backlog");
  settings.push_rate = family.number("push-rate");
  settings.per_message = family.number("per-message");
  if (family.has("propagation-s")) settings.propagation = family.span("propagation-s");
  settings.messages_most = static_cast<int>(family.unsigned_integer("messages-most", kMaxCount));
  settings.messages_window = family.span("update-window-s");
  settings.proxies = static_cast<double>(family.unsigned_integer("proxies", kMaxProxies));
  settings.coordinators = config.number("fleet-size");
  if (settings.coordinators < 1) config.fail("fleet-size", "is below 1");
  settings.keepalive = config.object("limits").span("keepalive-s");
  const Fields rules = config.object("rules");
  if (settings.explicit_subscription) settings.subscribe_timeout = rules.span("ask-within-s");
  settings.drain_grace = rules.span("drain-grace-s");
  settings.removal_binds = !rules.optional_flag("removal-not-binding").value_or(false);
  settings.cold_from = rules.number("cold-from");
  settings.cold_for = rules.span("cold-s");
  settings.tip_multiple = rules.number("tip-multiple");
  return settings;
}

IdNames read_id_names(const Fields& config) {
  IdNames id_names;
  const Json& zones = config.array("zones");
  for (const auto& zone : zones) {
    if (!zone.is_string()) config.fail("zones", "contains a value that is not a string");
    id_names.zones.push_back(zone.get<std::string>());
  }
  const Json& lanes = config.array("lanes");
  for (std::size_t index = 0; index < lanes.size(); ++index)
    id_names.operations.push_back(
        Fields{lanes[index], "settings.lanes[" + std::to_string(index) + "]"}.text("name"));
  check_names(config, "zones", id_names.zones, kMaxZones);
  check_names(config, "lanes", id_names.operations, kMaxOperations);
  return id_names;
}

}  // namespace gorsemount
