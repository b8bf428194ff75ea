#include "runtime_api/operator_console.hpp"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "runtime_api/codec.hpp"

namespace gorsemount::runtime_api {

using coordinator::OperatorCommand;

namespace {

constexpr std::size_t kMaxWarnings = 100;

struct Command {
  const char* usage;
  const char* description;
};
constexpr Command kCommands[] = {
    {"help", "lists the commands"},
    {"show table [VERSION]",
     "weights and admission levels of the latest published tables, or of one version"},
    {"show zones", "listed and assigned weight by zone"},
    {"show backend [NAME]", "state and weight of one backend or of all"},
    {"show ladder", "backends below their full share"},
    {"show proxies", "client groups and forwarders: table, assigned and applied versions"},
    {"show channel", "backlog of the channel, its peak, and deferred messages"},
    {"show errors", "the latest warnings"},
    {"show work", "background tasks: runs, longest run, longest delay"},
    {"show cluster", "members, their state, and which member manages each forwarder"},
    {"hand-over", "transfers the forwarders of this coordinator to the others at once"},
    {"set weight NAME W [for SPAN]", "overrides a listed weight, for 10m by default"},
    {"drain zone ZONE [anyway]",
     "reduces the zone's share to 0 in steps; anyway: even if the other zones lack capacity"},
    {"undrain zone ZONE", "restores the zone's share in trial steps"},
    {"disable backend NAME", "sends no new requests to a backend"},
    {"enable backend NAME", "undoes 'disable backend'"},
    {"hold", "freezes the tables, except for changes that the safety rules require"},
    {"release", "undoes 'hold'"},
    {"token TOKEN", "authenticates a TCP connection"},
    {"prompt", "interactive mode"},
    {"quit", "ends"},
};

std::string number(double value) { return fmt::format("{:.4g}", value); }

std::string format_rows(const std::vector<std::vector<std::pair<std::string, std::string>>>& rows,
                        bool json) {
  if (json) {
    auto out = nlohmann::ordered_json::array();
    for (const auto& row : rows) {
      nlohmann::ordered_json object = nlohmann::ordered_json::object();
      for (const auto& [key, value] : row) object[key] = value;
      out.push_back(std::move(object));
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  }
  if (rows.empty()) return "none\n";
  std::vector<std::size_t> width;
  for (const auto& [key, value] : rows[0]) width.push_back(key.size());
  for (const auto& row : rows)
    for (std::size_t k = 0; k < row.size() && k < width.size(); ++k)
      width[k] = std::max(width[k], row[k].second.size());
  std::string out = "#";
  for (std::size_t k = 0; k < width.size(); ++k) out += fmt::format(" {:<{}}", rows[0][k].first, width[k]);
  for (const auto& row : rows) {
    out += "\n ";
    for (std::size_t k = 0; k < row.size() && k < width.size(); ++k)
      out += fmt::format(" {:<{}}", row[k].second, width[k]);
  }
  return out + "\n";
}

std::optional<Span> parse_span(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  const std::string unit = end;
  const double scale = unit == "s" ? 1 : unit == "m" ? 60 : unit == "h" ? 3600 : unit == "ms" ? 1e-3 : 0;
  if (end == text.c_str() || scale <= 0 || !(value > 0) || value * scale > 86400) return {};
  return Span::seconds(value * scale);
}

}  // namespace

OperatorConsole::OperatorConsole(const coordinator::Coordinator& coordinator,
                                 std::function<std::string(OperatorCommand)> submit,
                                 std::function<std::vector<Driver::Status>()> forwarders, std::string token)
    : coordinator_{coordinator},
      submit_{std::move(submit)},
      forwarders_{std::move(forwarders)},
      token_{std::move(token)} {}

void OperatorConsole::record_warning(const std::string& event,
                                     const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string text;
  for (const auto& [key, value] : fields)
    text.append(text.empty() ? "" : " ").append(key).append("=").append(value);
  warnings_.push_back({{"event", event}, {"what", text}});
  if (warnings_.size() > kMaxWarnings) warnings_.pop_front();
}

std::vector<std::string> OperatorConsole::complete(const std::string& start) {
  std::vector<std::string> candidates;
  for (const auto& entry : kCommands)
    if (std::string_view{entry.usage}.substr(0, start.size()) == start) candidates.emplace_back(entry.usage);
  return candidates;
}

std::string OperatorConsole::handle(std::uint64_t peer, bool trusted, const std::string& command) {
  auto words = split_words(command);
  if (words.empty()) return "";
  // Untrusted peers must authenticate first. The comparison is constant-time, so that its duration does not
  // reveal how much of the token is right.
  if (!trusted && !authenticated_peers_.contains(peer)) {
    const bool authorized = words.size() == 2 && words[0] == "token" && words[1].size() == token_.size() &&
                            sodium_memcmp(words[1].data(), token_.data(), token_.size()) == 0;
    if (!authorized) return "Permission denied: give the token first.\n";
    authenticated_peers_.insert(peer);
    return "";
  }
  const bool json = words.back() == "json";
  if (json) words.pop_back();
  if (words.empty()) return "";
  if (words[0] == "help") {
    std::string out;
    for (const auto& entry : kCommands) out += fmt::format("  {:<32} {}\n", entry.usage, entry.description);
    return out + "  A show command takes 'json' as its last word.\n";
  }
  if (words[0] == "token") return "";
  if (words[0] == "show") return show(words, json);
  return execute(words);
}

std::string OperatorConsole::show(const std::vector<std::string>& words, bool json) {
  const std::string subject = words.size() > 1 ? words[1] : "";
  const std::string argument = words.size() > 2 ? words[2] : "";
  Rows rows;
  if (subject == "table") {
    std::map<BackendId, std::string> names;
    for (const auto& backend : coordinator_.backends())
      if (const auto id = coordinator_.backend_id(backend.name)) names[*id] = backend.name;
    std::vector<std::pair<TableId, coordinator::TablePtr>> tables{coordinator_.tables().begin(),
                                                                  coordinator_.tables().end()};
    if (!argument.empty()) {
      tables.clear();
      const auto old = coordinator_.table_version(std::strtoull(argument.c_str(), nullptr, 10));
      if (!old) return fmt::format("No table of version '{}' among the last that were made.\n", argument);
      tables.emplace_back(old->id, old);
    }
    for (const auto& [id, table] : tables) {
      for (const auto& [backend, weight] : table->lines)
        rows.push_back({{"table", std::to_string(id.value)},
                        {"version", std::to_string(table->version)},
                        {"backend", names[backend]},
                        {"weight", number(weight)}});
      for (std::size_t k = 0; k < table->levels.size(); ++k)
        rows.push_back({{"table", std::to_string(id.value)},
                        {"version", std::to_string(table->version)},
                        {"backend", "level " + coordinator_.settings().operations[k].name},
                        {"weight", number(table->levels[k].level)}});
    }
  } else if (subject == "zones") {
    std::map<std::string, std::pair<double, double>> zones;
    double total = 0;
    for (const auto& backend : coordinator_.backends())
      zones[backend.zone].first += backend.listed_weight, zones[backend.zone].second += backend.weight,
          total += backend.weight;
    for (const auto& [zone, weights] : zones)
      rows.push_back({{"zone", zone},
                      {"listed", number(weights.first)},
                      {"ordered", number(weights.second)},
                      {"part", number(total > 0 ? weights.second / total : 0)}});
  } else if (subject == "backend") {
    for (const auto& backend : coordinator_.backends())
      if (argument.empty() || argument == backend.name)
        rows.push_back({{"backend", backend.name},
                        {"zone", backend.zone},
                        {"address", backend.at.text()},
                        {"state", backend.state},
                        {"listed", number(backend.listed_weight)},
                        {"ordered", number(backend.weight)},
                        {"cold", backend.cold ? "yes" : "no"},
                        {"refuses", backend.refuses_connections ? "yes" : "no"},
                        {"person", backend.operator_override ? "yes" : "no"},
                        {"doubt", backend.sample_fault}});
    if (rows.empty() && !argument.empty()) return fmt::format("No such backend '{}'.\n", argument);
  } else if (subject == "ladder") {
    for (const auto& backend : coordinator_.backends())
      if (backend.state == "ready" && backend.weight < backend.listed_weight * (1 - 1e-9))
        rows.push_back(
            {{"backend", backend.name},
             {"zone", backend.zone},
             {"share", number(backend.listed_weight > 0 ? backend.weight / backend.listed_weight : 0)},
             {"cold", backend.cold ? "yes" : "no"}});
  } else if (subject == "proxies") {
    std::map<std::string, Driver::Status> statuses;
    for (const auto& status : forwarders_()) statuses[status.name] = status;
    for (const auto& proxy : coordinator_.proxies()) {
      const auto it = statuses.find(proxy.name);
      rows.push_back({{"proxy", proxy.name},
                      {"kind", coordinator::is_forwarder(proxy.id) ? "forwarder" : "group"},
                      {"table", proxy.table ? std::to_string(proxy.table->value) : "none"},
                      {"ordered", std::to_string(proxy.ordered_version)},
                      {"holds", std::to_string(proxy.applied_version)},
                      {"rate", number(proxy.rate)},
                      {"repairs", it == statuses.end() ? "-" : std::to_string(it->second.repairs)},
                      {"refusals", it == statuses.end() ? "-" : std::to_string(it->second.refusals)}});
    }
  } else if (subject == "channel") {
    const auto counters = coordinator_.counters();
    const auto& settings = coordinator_.settings();
    rows.push_back({{"waiting", number(coordinator_.channel_backlog())},
                    {"most", number(counters.peak_backlog)},
                    {"backlog", number(settings.backlog)},
                    {"messages", std::to_string(counters.messages)},
                    {"held_back", std::to_string(counters.deferred_messages)},
                    {"hold", coordinator_.decisions_held() ? "yes" : "no"}});
  } else if (subject == "cluster") {
    if (!cluster_source_) return "No cluster: this coordinator stands alone.\n";
    rows = cluster_source_();
  } else if (subject == "work") {
    if (task_source_) rows = task_source_();
  } else if (subject == "errors") {
    rows.assign(warnings_.begin(), warnings_.end());
  } else {
    return fmt::format("Unknown command: 'show {}'. Try 'help'.\n", subject);
  }
  return format_rows(rows, json);
}

std::string OperatorConsole::execute(const std::vector<std::string>& words) {
  using Action = OperatorCommand::Action;
  const auto matches = [&](std::size_t n, std::initializer_list<const char*> start) {
    if (words.size() != n) return false;
    std::size_t k = 0;
    for (const char* word : start)
      if (words[k++] != word) return false;
    return true;
  };
  if (matches(1, {"hand-over"}))
    return hand_over_ ? hand_over_() : "No cluster: this coordinator stands alone.\n";
  OperatorCommand command;
  if (matches(4, {"set", "weight"}) || (matches(6, {"set", "weight"}) && words[4] == "for")) {
    char* end = nullptr;
    command = {Action::set_weight, words[2], std::strtod(words[3].c_str(), &end), Span::seconds(600), false};
    if (*end != 0 || !std::isfinite(command.weight)) return fmt::format("'{}' is no weight.\n", words[3]);
    if (words.size() == 6) {
      const auto span = parse_span(words[5]);
      if (!span)
        return fmt::format("'{}' is no span of time; say 30s, 10m or 2h, a day at most.\n", words[5]);
      command.lifetime = *span;
    }
  } else if (matches(3, {"drain", "zone"}) || (matches(4, {"drain", "zone"}) && words[3] == "anyway")) {
    command = {Action::drain_zone, words[2], 0, {}, words.size() == 4};
  } else if (matches(3, {"undrain", "zone"})) {
    command = {Action::undrain_zone, words[2], 0, {}, false};
  } else if (matches(3, {"disable", "backend"})) {
    command = {Action::disable, words[2], 0, {}, false};
  } else if (matches(3, {"enable", "backend"})) {
    command = {Action::enable, words[2], 0, {}, false};
  } else if (matches(1, {"hold"})) {
    command = {Action::hold, "", 0, {}, false};
  } else if (matches(1, {"release"})) {
    command = {Action::release, "", 0, {}, false};
  } else {
    const auto suggestions = complete(words[0]);
    return suggestions.empty() ? fmt::format("Unknown command: '{}'. Try 'help'.\n", words[0])
                               : fmt::format("Not understood; the form is '{}'.\n", suggestions[0]);
  }
  const std::string refusal = submit_(command);
  return refusal.empty() ? "" : refusal + "\n";
}

}  // namespace gorsemount::runtime_api
