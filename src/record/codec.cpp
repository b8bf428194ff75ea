#include "record/codec.hpp"

#include <fmt/format.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "recovery/codec.hpp"

namespace gorsemount::record {

using nlohmann::json;
using namespace coordinator;

namespace {

std::int64_t to_micros(Instant t, Instant base) { return (t - base).micros(); }
Instant instant_from(std::int64_t t, Instant base) { return base + Span::micros(t); }

json to_json(const RosterUpdate& e, Instant) {
  json all = json::array();
  for (const auto& r : e.entries)
    all.push_back(
        {r.name, r.zone.value, r.at.text(), r.weight, static_cast<int>(r.availability), r.operations});
  return all;
}
json to_json(const LoadReport& e, Instant base) {
  json counts = json::array();
  for (const auto& c : e.sample.counts)
    counts.push_back(
        {c.operation.value, c.source.text(), c.taken, c.succeeded, c.errored, c.refused, c.latency});
  return {e.backend.value,
          to_micros(e.requested_at, base),
          e.sample.boot,
          e.sample.uptime,
          e.sample.draining,
          e.sample.util ? json(*e.sample.util) : json(),
          e.sample.queue ? json(*e.sample.queue) : json(),
          counts};
}
json to_json(const LoadPollFailed& e, Instant) { return {e.backend.value, e.reason}; }
json to_json(const HealthCheckResult& e, Instant) {
  return {e.backend.value, static_cast<int>(e.health), e.latency.micros()};
}
json to_json(const GroupLookup& e, Instant) { return {e.group.value}; }
json to_json(const SettingsReloaded&, Instant) { return json::array(); }
json to_json(const ForwarderJoined& e, Instant) {
  return {e.forwarder.value, e.taken_over, e.current_weights};
}
json to_json(const ForwarderLeft& e, Instant) { return {e.forwarder.value}; }
json to_json(const ForwarderReport& e, Instant) {
  json rows = json::array(), arrived = json::array();
  for (const auto& r : e.rows)
    rows.push_back({r.backend.value, r.operation.value, r.tries, r.errored, r.mean_latency.micros()});
  for (const auto& [op, n] : e.arrived) arrived.push_back({op.value, n});
  return {e.forwarder.value, rows, arrived, e.further};
}
json to_json(const ForwarderAppliedTable& e, Instant) { return {e.forwarder.value, e.version}; }
json to_json(const OperatorCommand& e, Instant) {
  return {static_cast<int>(e.action), e.name, e.weight, e.lifetime.micros(), e.force};
}
json to_json(const FactsReceived& e, Instant base) {
  const std::string bytes = recovery::encode(e.facts, base);
  return json::array({json::binary({bytes.begin(), bytes.end()}), e.from_previous_run});
}
json to_json(const GroupLeadership& e, Instant) { return {e.group.value, e.locally_led}; }
json to_json(const LeaderTable& e, Instant) {
  json levels = json::array();
  for (const auto& [tries, level] : e.levels) levels.push_back({tries, level});
  return {e.group.value, e.fresh, e.lines, levels};
}

template <class Id>
Id id_from(const json& j) {
  return Id{j.get<decltype(Id::value)>()};
}
Endpoint endpoint_from(const json& j) {
  const auto e = Endpoint::parse(j.get<std::string>());
  if (!e) throw std::runtime_error{"invalid address"};
  return *e;
}
int bounded_int(const json& j, int most) {
  const int n = j.get<int>();
  if (n < 0 || n > most) throw std::runtime_error{"value out of range"};
  return n;
}
double finite_number(const json& j) {
  const double v = j.get<double>();
  if (!std::isfinite(v)) throw std::runtime_error{"number is not finite"};
  return v;
}

std::optional<Input> input_from(std::size_t kind, const json& j, Instant base) {
  switch (kind) {
    case 0: {
      RosterUpdate e;
      for (const auto& r : j)
        e.entries.push_back({r.at(0).get<std::string>(), id_from<ZoneId>(r.at(1)), endpoint_from(r.at(2)),
                             finite_number(r.at(3)), static_cast<Availability>(bounded_int(r.at(4), 2)),
                             r.at(5).get<std::uint32_t>()});
      return e;
    }
    case 1: {
      LoadReport e{id_from<BackendId>(j.at(0)), instant_from(j.at(1).get<std::int64_t>(), base), {}};
      e.sample.boot = j.at(2).get<std::string>(), e.sample.uptime = j.at(3).get<double>(),
      e.sample.draining = j.at(4).get<bool>();
      if (!j.at(5).is_null()) e.sample.util = j.at(5).get<double>();
      if (!j.at(6).is_null()) e.sample.queue = j.at(6).get<double>();
      for (const auto& c : j.at(7)) {
        const auto source = Prefix::parse(c.at(1).get<std::string>());
        if (!source) throw std::runtime_error{"invalid address prefix"};
        e.sample.counts.push_back({id_from<OperationId>(c.at(0)), *source, c.at(2).get<std::uint64_t>(),
                                   c.at(3).get<std::uint64_t>(), c.at(4).get<std::uint64_t>(),
                                   c.at(5).get<std::uint64_t>(), c.at(6).get<double>()});
      }
      return e;
    }
    case 2:
      return LoadPollFailed{id_from<BackendId>(j.at(0)), j.at(1).get<std::string>()};
    case 3:
      return HealthCheckResult{id_from<BackendId>(j.at(0)), static_cast<Health>(bounded_int(j.at(1), 2)),
                               Span::micros(j.at(2).get<std::int64_t>())};
    case 4:
      return GroupLookup{id_from<ProxyId>(j.at(0))};
    case 5:
      return {};
    case 6:
      return ForwarderJoined{id_from<ProxyId>(j.at(0)), j.at(1).get<bool>(),
                             j.at(2).get<std::map<std::string, double>>()};
    case 7:
      return ForwarderLeft{id_from<ProxyId>(j.at(0))};
    case 8: {
      ForwarderReport e{id_from<ProxyId>(j.at(0)),
                        {},
                        {},
                        j.size() > 3 ? j.at(3).get<int>() : 0};  // absent in older recordings
      for (const auto& r : j.at(1))
        e.rows.push_back({id_from<BackendId>(r.at(0)), id_from<OperationId>(r.at(1)), r.at(2).get<int>(),
                          r.at(3).get<int>(), Span::micros(r.at(4).get<std::int64_t>())});
      for (const auto& a : j.at(2)) e.arrived.emplace_back(id_from<OperationId>(a.at(0)), a.at(1).get<int>());
      return e;
    }
    case 9:
      return ForwarderAppliedTable{id_from<ProxyId>(j.at(0)), j.at(1).get<std::uint64_t>()};
    case 10:
      return OperatorCommand{static_cast<OperatorCommand::Action>(bounded_int(j.at(0), 6)),
                             j.at(1).get<std::string>(), finite_number(j.at(2)),
                             Span::micros(j.at(3).get<std::int64_t>()), j.size() > 4 && j.at(4).get<bool>()};
    case 11: {
      const auto& bytes = j.at(0).get_binary();
      auto facts = recovery::decode({reinterpret_cast<const char*>(bytes.data()), bytes.size()}, base);
      if (const auto* fault = std::get_if<std::string>(&facts)) throw std::runtime_error{*fault};
      return FactsReceived{std::get<std::vector<recovery::Entry>>(std::move(facts)), j.at(1).get<bool>()};
    }
    case 12:
      return GroupLeadership{id_from<ProxyId>(j.at(0)), j.at(1).get<bool>()};
    case 13: {
      LeaderTable e{
          id_from<ProxyId>(j.at(0)), j.at(1).get<bool>(), j.at(2).get<std::map<std::string, double>>(), {}};
      for (const auto& l : j.at(3)) e.levels.emplace_back(l.at(0).get<int>(), finite_number(l.at(1)));
      return e;
    }
    default:
      throw std::runtime_error{"unknown kind of input"};
  }
}

}  // namespace

std::string encode(const std::vector<Input>& inputs, Instant base) {
  json all = json::array();
  for (const auto& input : inputs) {
    all.push_back(input.index());
    all.push_back(std::visit([&](const auto& e) { return to_json(e, base); }, input));
  }
  std::string bytes;
  json::to_msgpack(all, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

std::variant<std::vector<Input>, std::string> decode(std::string_view bytes, Instant base) {
  std::vector<Input> inputs;
  try {
    const json all = json::from_msgpack(bytes.begin(), bytes.end());
    if (!all.is_array() || all.size() % 2 != 0) return std::string{"not a list of inputs"};
    for (std::size_t k = 0; k < all.size(); k += 2)
      if (auto input = input_from(all[k].get<std::size_t>(), all[k + 1], base))
        inputs.push_back(std::move(*input));
  } catch (const std::exception& fault) {
    return "input " + std::to_string(inputs.size()) + ": " + fault.what();
  }
  return inputs;
}

std::string text_of(const Effects& e, Instant base) {
  std::string text;
  for (const auto& m : e.messages)
    text += fmt::format("message {} lines {:.17g} waiting {:.17g}\n", m.group.value, m.lines, m.waiting);
  for (const auto& d : e.deliveries) {
    text += fmt::format("deliver {} version {}\n", d.forwarder.value, d.table->version);
    if (d.table->retry_ratio >= 0) text += fmt::format(" retries {:.17g}\n", d.table->retry_ratio);
    for (const auto& part : d.table->operations) {
      text += fmt::format(" {} tries {} level {:.17g} rate {:.17g}:", part.operation,
                          static_cast<int>(part.level.tries), part.level.level, part.rate_limit);
      for (const auto& l : part.lines)
        text += fmt::format(" {}={:.17g}{}", l.name, l.weight, l.cold ? "c" : "");
      text += "\n";
    }
  }
  if (e.published) {
    text += fmt::format("publish {}\n", e.published->version);
    for (std::size_t g = 0; g < e.published->views.size(); ++g)
      for (const auto& view : e.published->views[g]) {
        text += fmt::format(" {} {} level {:.17g}:", g, view->operation.value, view->level.level);
        for (const auto& l : view->lines) text += fmt::format(" {}={:.17g}", l.backend.value, l.weight);
        text += "\n";
      }
  }
  for (const auto& a : e.command_results) text += "answer " + a + "\n";
  for (const auto& n : e.log_events) {
    text += "note " + n.event;
    for (const auto& [key, value] : n.fields) text.append(" ").append(key).append("=").append(value);
    text += "\n";
  }
  return text + fmt::format("wake {}\n", (e.next_wakeup - base).micros());
}

}  // namespace gorsemount::record
