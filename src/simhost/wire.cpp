#include "simhost/wire.hpp"

#include <utility>

namespace gorsemount::simhost {

namespace {

constexpr std::uint64_t kIdMost = 0xffffffffU;
constexpr std::uint64_t kSmallMost = 0xffffU;
constexpr std::uint64_t kCountMost = 0x7fffffffU;
constexpr std::uint64_t kTokenMost = std::uint64_t{1} << 63U;

BackendId read_backend(const Fields& f) {
  return BackendId{static_cast<std::uint32_t>(f.unsigned_integer("backend", kIdMost))};
}

ProxyId read_proxy(const Fields& f) {
  return ProxyId{static_cast<std::uint16_t>(f.unsigned_integer("client-lb", kSmallMost))};
}

ZoneId read_zone(const Fields& f) {
  return ZoneId{static_cast<std::uint16_t>(f.unsigned_integer("site", kSmallMost))};
}

int read_count(const Fields& f, const char* key) {
  return static_cast<int>(f.unsigned_integer(key, kCountMost));
}

}  // namespace

std::vector<BackendListUpdate::Entry> read_entries(const Fields& snapshot) {
  std::vector<BackendListUpdate::Entry> entries;
  const Json& rows = snapshot.array("members-list");
  entries.reserve(rows.size());
  for (std::size_t k = 0; k < rows.size(); ++k) {
    const Fields f{rows[k], "members-list[" + std::to_string(k) + "]"};
    BackendListUpdate::Entry entry;
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
    const auto started = f.optional_number("boot-time-s");
    if (started && *started != 0) entry.started = Instant::at_seconds(*started);
    entries.push_back(entry);
  }
  return entries;
}

ListScope read_scope(const Fields& registry) {
  const auto scope = registry.text("scope");
  if (scope == "delta") return ListScope::delta;
  if (scope == "full") return ListScope::full;
  if (scope == "cached") return ListScope::cached;
  if (scope == "failed") return ListScope::failed;
  registry.fail("scope", "is not known: " + scope);
}

std::optional<Event> read_event(const std::string& kind, const Fields& f) {
  if (kind == "alarm") return TimerFired{TimerTag{f.unsigned_integer("tag", kTokenMost)}};
  if (kind == "checked-in") return ProxyJoined{read_proxy(f), read_zone(f), f.number("w")};
  if (kind == "disconnected") return ProxyLeft{read_proxy(f)};
  if (kind == "digest") {
    BackendReport r;
    r.proxy_zone = read_zone(f);
    r.backend = read_backend(f);
    r.tries = read_count(f, "many");
    r.errored = read_count(f, "lost");
    r.mean_latency = f.span("cost-time-s");
    r.interval = f.span("elapsed-s");
    if (const auto load = f.optional_object("load")) r.utilization = load->optional_number("cpu");
    return r;
  }
  if (kind == "ingress") {
    DemandReport r;
    r.proxy = read_proxy(f);
    r.operation = OperationId{static_cast<std::uint8_t>(f.unsigned_integer("service", 255))};
    r.arrived = read_count(f, "many");
    r.interval = f.span("elapsed-s");
    return r;
  }
  return std::nullopt;
}

Json write_order(std::uint64_t instance, const Order& order) {
  const auto mask_of = [](OperationId op) { return std::uint64_t{1} << op.value; };
  struct Writer {
    decltype(mask_of)& mask;
    Json operator()(const SetWeight& o) const {
      return {{"t", "set-weight"}, {"sheet", o.table.value}, {"backend", o.backend.value}, {"w", o.weight}};
    }
    Json operator()(const BindProxy& o) const {
      return {{"t", "subscribe-to"}, {"client-lb", o.proxy.value}, {"sheet", o.table.value}, {"mask", 0}};
    }
    Json operator()(const SetAdmission& o) const {
      return {{"t", "throttle"},
              {"sheet", o.table.value},
              {"mask", mask(o.operation)},
              {"how", static_cast<int>(o.retries)},
              {"quota", o.limit}};
    }
    Json operator()(const SubscribeToList&) const { return {{"t", "stream-changes"}, {"on", true}}; }
    Json operator()(const SetTimer& o) const {
      return {{"t", "remind"}, {"from-now-s", o.after.seconds()}, {"tag", o.tag.value}};
    }
  };
  Json json = std::visit(Writer{mask_of}, order);
  json["i"] = instance;
  return json;
}

}  // namespace gorsemount::simhost
