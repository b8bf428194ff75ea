#include "simhost/wire.hpp"

#include <stdexcept>
#include <utility>

namespace gorsemount::simhost {

namespace {

constexpr std::uint64_t kMaxId = 0xffffffffU;
constexpr std::uint64_t kMaxSmallId = 0xffffU;
constexpr std::uint64_t kMaxCount = 0x7fffffffU;
constexpr std::uint64_t kMaxTimerTag = std::uint64_t{1} << 63U;

BackendId read_backend(const Fields& fields) {
  return BackendId{static_cast<std::uint32_t>(fields.unsigned_integer("backend", kMaxId))};
}

ProxyId read_proxy(const Fields& fields) {
  return ProxyId{static_cast<std::uint16_t>(fields.unsigned_integer("client-lb", kMaxSmallId))};
}

ZoneId read_zone(const Fields& fields) {
  return ZoneId{static_cast<std::uint16_t>(fields.unsigned_integer("site", kMaxSmallId))};
}

int read_count(const Fields& fields, const char* key) {
  return static_cast<int>(fields.unsigned_integer(key, kMaxCount));
}

}  // namespace

std::vector<BackendListUpdate::Entry> read_entries(const Fields& snapshot) {
  std::vector<BackendListUpdate::Entry> entries;
  const Json& rows = snapshot.array("members-list");
  entries.reserve(rows.size());
  for (std::size_t index = 0; index < rows.size(); ++index) {
    const Fields fields{rows[index], "members-list[" + std::to_string(index) + "]"};
    BackendListUpdate::Entry entry;
    entry.backend = read_backend(fields);
    entry.zone = read_zone(fields);
    entry.weight = fields.number("w");
    const auto availability = fields.text("availability");
    if (availability == "draining") {
      entry.availability = Availability::draining;
    } else if (availability == "gone") {
      entry.availability = Availability::gone;
    } else if (availability != "ready") {
      fields.fail("availability", "is not known: " + availability);
    }
    const auto started = fields.optional_number("boot-time-s");
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

std::optional<Event> read_event(const std::string& kind, const Fields& fields) {
  if (kind == "alarm") return TimerFired{TimerTag{fields.unsigned_integer("tag", kMaxTimerTag)}};
  if (kind == "checked-in") return ProxyJoined{read_proxy(fields), read_zone(fields), fields.number("w")};
  if (kind == "disconnected") return ProxyLeft{read_proxy(fields)};
  if (kind == "digest") {
    BackendReport report;
    report.proxy_zone = read_zone(fields);
    report.backend = read_backend(fields);
    report.tries = read_count(fields, "many");
    report.errored = read_count(fields, "lost");
    report.mean_latency = fields.span("cost-time-s");
    report.interval = fields.span("elapsed-s");
    if (const auto load = fields.optional_object("load")) report.utilization = load->optional_number("cpu");
    return report;
  }
  if (kind == "ingress") {
    DemandReport report;
    report.proxy = read_proxy(fields);
    report.operation = OperationId{static_cast<std::uint8_t>(fields.unsigned_integer("service", 255))};
    report.arrived = read_count(fields, "many");
    report.interval = fields.span("elapsed-s");
    return report;
  }
  return std::nullopt;
}

Json write_order(std::uint64_t instance, const Order& order) {
  const auto mask_of = [](OperationId operation) { return std::uint64_t{1} << operation.value; };
  struct Writer {
    decltype(mask_of)& mask;
    Json operator()(const SetWeight& order) const {
      return {{"t", "set-weight"},
              {"sheet", order.table.value},
              {"backend", order.backend.value},
              {"w", order.weight}};
    }
    Json operator()(const BindProxy& order) const {
      std::uint64_t operations = 0;  // 0: all
      for (const auto operation : order.operations) operations |= mask(operation);
      return {{"t", "subscribe-to"},
              {"client-lb", order.proxy.value},
              {"sheet", order.table.value},
              {"mask", operations}};
    }
    // Settings::can_edit_unordered_tables is off here: the wire changes tables, not what a proxy brought
    // along.
    Json operator()(const RemoveBackends&) const {
      throw std::logic_error{"the wire has no order that changes the table of one proxy"};
    }
    Json operator()(const SetAdmission& order) const {
      return {{"t", "throttle"},
              {"sheet", order.table.value},
              {"mask", mask(order.operation)},
              {"how", static_cast<int>(order.retries)},
              {"quota", order.limit}};
    }
    Json operator()(const SubscribeToList&) const { return {{"t", "stream-changes"}, {"on", true}}; }
    Json operator()(const SetTimer& order) const {
      return {{"t", "remind"}, {"from-now-s", order.after.seconds()}, {"tag", order.tag.value}};
    }
  };
  Json json = std::visit(Writer{mask_of}, order);
  json["i"] = instance;
  return json;
}

}  // namespace gorsemount::simhost
