#include "simhost/wire.hpp"

#include <cmath>
#include <limits>
#include <utility>

namespace gorsemount::simhost {

namespace {

constexpr std::uint64_t kIdMost = 0xffffffffU;
constexpr std::uint64_t kSmallMost = 0xffffU;
constexpr std::uint64_t kCountMost = 0x7fffffffU;
constexpr std::uint64_t kTokenMost = std::uint64_t{1} << 63U;

BackendId read_backend(const Fields& f) {
  return BackendId{static_cast<std::uint32_t>(f.whole("backend", kIdMost))};
}

ProxyId read_proxy(const Fields& f) {
  return ProxyId{static_cast<std::uint16_t>(f.whole("client-lb", kSmallMost))};
}

ZoneId read_zone(const Fields& f) { return ZoneId{static_cast<std::uint16_t>(f.whole("site", kSmallMost))}; }

int read_count(const Fields& f, const char* key) { return static_cast<int>(f.whole(key, kCountMost)); }

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

Fields::Fields(const Json& object, std::string where) : object_{&object}, where_{std::move(where)} {
  if (!object.is_object()) throw WireError(where_ + ": is not an object");
}

void Fields::fail(const char* key, const std::string& what) const {
  throw WireError(where_ + ": '" + key + "' " + what);
}

const Json* Fields::find(const char* key) const {
  const auto it = object_->find(key);
  return it == object_->end() || it->is_null() ? nullptr : &*it;
}

const Json& Fields::need(const char* key) const {
  const Json* value = find(key);
  if (value == nullptr) fail(key, "is missing");
  return *value;
}

double Fields::number(const char* key) const {
  const Json& value = need(key);
  if (!value.is_number()) fail(key, "is not a number");
  return value.get<double>();
}

std::optional<double> Fields::maybe_number(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{number(key)};
}

std::uint64_t Fields::whole(const char* key, std::uint64_t most) const {
  const Json& value = need(key);
  std::uint64_t result = 0;
  if (value.is_number_unsigned()) {
    result = value.get<std::uint64_t>();
  } else if (value.is_number_float()) {  // 3.0 is a whole number too
    const auto real = value.get<double>();
    if (!(real >= 0 && real < 0x1p53 && real == std::floor(real))) fail(key, "is not a whole number from 0");
    result = static_cast<std::uint64_t>(real);
  } else {
    fail(key, "is not a whole number from 0");
  }
  if (result > most) fail(key, "is above " + std::to_string(most));
  return result;
}

bool Fields::flag(const char* key) const {
  const Json& value = need(key);
  if (!value.is_boolean()) fail(key, "is neither true nor false");
  return value.get<bool>();
}

std::optional<bool> Fields::maybe_flag(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{flag(key)};
}

std::string Fields::text(const char* key) const {
  const Json& value = need(key);
  if (!value.is_string()) fail(key, "is not a text");
  return value.get<std::string>();
}

const Json& Fields::array(const char* key) const {
  const Json& value = need(key);
  if (!value.is_array()) fail(key, "is not an array");
  return value;
}

Fields Fields::object(const char* key) const { return Fields{need(key), where_ + "." + key}; }

std::optional<Fields> Fields::maybe_object(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{object(key)};
}

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
  s.usual_tries = static_cast<FurtherTries>(family.whole("usual-how", 3));
  s.ask_for_list = config.text("discovery") == "subscribe";
  s.report_every = family.span("report-every-s");
  s.intake = family.number("intake-per-s");
  s.backlog = family.number("backlog");
  s.push_rate = family.number("push-rate");
  s.per_message = family.number("per-message");
  s.messages_most = static_cast<int>(family.whole("messages-most", kCountMost));
  s.messages_window = family.span("update-window-s");
  s.proxies = family.number("proxies");
  s.coordinators = config.number("fleet-size");
  s.keepalive = config.object("limits").span("keepalive-s");
  const Fields rules = config.object("rules");
  if (s.ask_for_list) s.ask_within = rules.span("ask-within-s");
  s.drain_grace = rules.span("drain-grace-s");
  s.removal_binds = !rules.maybe_flag("removal-not-binding").value_or(false);
  s.cold_from = rules.number("cold-from");
  s.cold_for = rules.span("cold-s");
  s.tip_multiple = rules.number("tip-multiple");
  return s;
}

std::vector<Listed::Entry> read_entries(const Fields& snapshot) {
  std::vector<Listed::Entry> entries;
  const Json& rows = snapshot.array("members-list");
  entries.reserve(rows.size());
  for (std::size_t k = 0; k < rows.size(); ++k) {
    const Fields f{rows[k], "members-list[" + std::to_string(k) + "]"};
    Listed::Entry entry;
    entry.backend = read_backend(f);
    entry.zone = read_zone(f);
    entry.weight = f.number("w");
    const auto availability = f.text("availability");
    if (availability == "draining") {
      entry.availability = Availability::draining;
    } else if (availability == "gone") {
      entry.availability = Availability::gone;
    } else if (availability != "ready") {
      f.fail("availability", "is not known: " + availability);
    }
    const auto started = f.maybe_number("boot-time-s");
    if (started && *started != 0) entry.started = Instant::at_seconds(*started);
    entries.push_back(entry);
  }
  return entries;
}

ListScope read_scope(const Fields& registry) {
  const auto scope = registry.text("scope");
  if (scope == "delta") return ListScope::changes;
  if (scope == "full") return ListScope::whole;
  if (scope == "cached") return ListScope::remembered;
  if (scope == "failed") return ListScope::failed;
  registry.fail("scope", "is not known: " + scope);
}

std::optional<Event> read_event(const std::string& kind, const Fields& f) {
  if (kind == "alarm") return TimerFired{TimerTag{f.whole("tag", kTokenMost)}};
  if (kind == "checked-in") return ProxyJoined{read_proxy(f), read_zone(f), f.number("w")};
  if (kind == "disconnected") return ProxyLeft{read_proxy(f)};
  if (kind == "digest") {
    BackendReport r;
    r.proxies_in = read_zone(f);
    r.backend = read_backend(f);
    r.tries = read_count(f, "many");
    r.errored = read_count(f, "lost");
    r.mean_latency = f.span("cost-time-s");
    r.over = f.span("elapsed-s");
    if (const auto load = f.maybe_object("load")) r.busy = load->maybe_number("cpu");
    return r;
  }
  if (kind == "ingress") {
    DemandReport r;
    r.proxy = read_proxy(f);
    r.operation = OperationId{static_cast<std::uint8_t>(f.whole("service", 255))};
    r.arrived = read_count(f, "many");
    r.over = f.span("elapsed-s");
    return r;
  }
  return std::nullopt;
}

Json write_order(std::uint64_t instance, const Order& order) {
  const auto mask_of = [](OperationId op) { return std::uint64_t{1} << op.value; };
  struct Writer {
    decltype(mask_of)& mask;
    Json operator()(const SetLine& o) const {
      return {{"t", "set-weight"}, {"sheet", o.table.value}, {"backend", o.backend.value}, {"w", o.weight}};
    }
    Json operator()(const BindProxy& o) const {
      return {{"t", "subscribe-to"}, {"client-lb", o.proxy.value}, {"sheet", o.table.value}, {"mask", 0}};
    }
    Json operator()(const SetLevel& o) const {
      return {{"t", "throttle"},
              {"sheet", o.table.value},
              {"mask", mask(o.operation)},
              {"how", static_cast<int>(o.tries)},
              {"quota", o.level}};
    }
    Json operator()(const FollowList&) const { return {{"t", "stream-changes"}, {"on", true}}; }
    Json operator()(const WakeMe& o) const {
      return {{"t", "remind"}, {"from-now-s", o.after.seconds()}, {"tag", o.tag.value}};
    }
  };
  Json json = std::visit(Writer{mask_of}, order);
  json["i"] = instance;
  return json;
}

}  // namespace gorsemount::simhost
