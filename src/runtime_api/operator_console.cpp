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

constexpr std::size_t kErrors = 100;

struct Known {
  const char* usage;
  const char* what;
};
constexpr Known kCommands[] = {
    {"help", "this list"},
    {"show table [VERSION]",
     "lines and levels of the tables as ordered; without a version, the newest of each"},
    {"show zones", "listed and ordered weight by zone"},
    {"show backend [NAME]", "what is known of a backend, and who says so"},
    {"show ladder", "backends and zones below their full share"},
    {"show proxies", "client groups and forwarders: table, versions ordered and held"},
    {"show channel", "lines waiting, most so far, held back"},
    {"show errors", "the last warnings"},
    {"show work", "background tasks: how often, how long at most, how late at most"},
    {"show cluster", "members, their standing, and who leads which forwarder here"},
    {"hand-over", "gives what this one leads to the others, at once"},
    {"set weight NAME W [for SPAN]", "a listed weight, for 10m if not said"},
    {"drain zone ZONE [anyway]",
     "steps the zone's share down to nothing; anyway: though the others lack room"},
    {"undrain zone ZONE", "and back in trial steps"},
    {"disable backend NAME", "no new work for a backend"},
    {"enable backend NAME", "undoes that"},
    {"hold", "tables stay as they are, but for what the rules force"},
    {"release", "undoes that"},
    {"token TOKEN", "over TCP: says who you are"},
    {"prompt", "interactive mode"},
    {"quit", "ends"},
};

std::string number(double v) { return fmt::format("{:.4g}", v); }

std::string table_of(const std::vector<std::vector<std::pair<std::string, std::string>>>& rows, bool json) {
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

std::optional<Span> span_of(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  const std::string unit = end;
  const double scale = unit == "s" ? 1 : unit == "m" ? 60 : unit == "h" ? 3600 : unit == "ms" ? 1e-3 : 0;
  if (end == text.c_str() || scale <= 0 || !(value > 0) || value * scale > 86400) return {};
  return Span::seconds(value * scale);
}

}  // namespace

OperatorConsole::OperatorConsole(const coordinator::Coordinator& core,
                                 std::function<std::string(OperatorCommand)> order,
                                 std::function<std::vector<Driver::Status>()> forwarders, std::string token)
    : core_{core}, order_{std::move(order)}, forwarders_{std::move(forwarders)}, token_{std::move(token)} {}

void OperatorConsole::record_warning(const std::string& event,
                                     const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string said;
  for (const auto& [key, value] : fields) said += (said.empty() ? "" : " ") + key + "=" + value;
  errors_.push_back({{"event", event}, {"what", said}});
  if (errors_.size() > kErrors) errors_.pop_front();
}

std::vector<std::string> OperatorConsole::complete(const std::string& start) {
  std::vector<std::string> fit;
  for (const auto& c : kCommands)
    if (std::string_view{c.usage}.substr(0, start.size()) == start) fit.emplace_back(c.usage);
  return fit;
}

std::string OperatorConsole::handle(std::uint64_t peer, bool trusted, const std::string& command) {
  auto words = split_words(command);
  if (words.empty()) return "";
  // Over TCP nothing is told before the token is right; the comparison takes the same time wherever it
  // differs.
  if (!trusted && !known_.contains(peer)) {
    const bool right = words.size() == 2 && words[0] == "token" && words[1].size() == token_.size() &&
                       sodium_memcmp(words[1].data(), token_.data(), token_.size()) == 0;
    if (!right) return "Permission denied: give the token first.\n";
    known_.insert(peer);
    return "";
  }
  const bool json = words.back() == "json";
  if (json) words.pop_back();
  if (words.empty()) return "";
  if (words[0] == "help") {
    std::string out;
    for (const auto& c : kCommands) out += fmt::format("  {:<32} {}\n", c.usage, c.what);
    return out + "  A show command takes 'json' as its last word.\n";
  }
  if (words[0] == "token") return "";
  if (words[0] == "show") return show(words, json);
  return order(words);
}

std::string OperatorConsole::show(const std::vector<std::string>& words, bool json) {
  const std::string what = words.size() > 1 ? words[1] : "";
  const std::string which = words.size() > 2 ? words[2] : "";
  Rows rows;
  if (what == "table") {
    std::map<BackendId, std::string> names;
    for (const auto& b : core_.backends())
      if (const auto id = core_.backend_id(b.name)) names[*id] = b.name;
    std::vector<std::pair<TableId, coordinator::TablePtr>> tables{core_.tables().begin(),
                                                                  core_.tables().end()};
    if (!which.empty()) {
      tables.clear();
      const auto old = core_.table_version(std::strtoull(which.c_str(), nullptr, 10));
      if (!old) return fmt::format("No table of version '{}' among the last that were made.\n", which);
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
                        {"backend", "level " + core_.settings().operations[k].name},
                        {"weight", number(table->levels[k].level)}});
    }
  } else if (what == "zones") {
    std::map<std::string, std::pair<double, double>> zones;
    double all = 0;
    for (const auto& b : core_.backends())
      zones[b.zone].first += b.listed_weight, zones[b.zone].second += b.weight, all += b.weight;
    for (const auto& [zone, w] : zones)
      rows.push_back({{"zone", zone},
                      {"listed", number(w.first)},
                      {"ordered", number(w.second)},
                      {"part", number(all > 0 ? w.second / all : 0)}});
  } else if (what == "backend") {
    for (const auto& b : core_.backends())
      if (which.empty() || which == b.name)
        rows.push_back({{"backend", b.name},
                        {"zone", b.zone},
                        {"address", b.at.text()},
                        {"state", b.state},
                        {"listed", number(b.listed_weight)},
                        {"ordered", number(b.weight)},
                        {"cold", b.cold ? "yes" : "no"},
                        {"refuses", b.refuses_connections ? "yes" : "no"},
                        {"person", b.operator_override ? "yes" : "no"},
                        {"doubt", b.sample_fault}});
    if (rows.empty() && !which.empty()) return fmt::format("No such backend '{}'.\n", which);
  } else if (what == "ladder") {
    for (const auto& b : core_.backends())
      if (b.state == "ready" && b.weight < b.listed_weight * (1 - 1e-9))
        rows.push_back({{"backend", b.name},
                        {"zone", b.zone},
                        {"share", number(b.listed_weight > 0 ? b.weight / b.listed_weight : 0)},
                        {"cold", b.cold ? "yes" : "no"}});
  } else if (what == "proxies") {
    std::map<std::string, Driver::Status> up;
    for (const auto& s : forwarders_()) up[s.name] = s;
    for (const auto& p : core_.proxies()) {
      const auto it = up.find(p.name);
      rows.push_back({{"proxy", p.name},
                      {"kind", coordinator::is_forwarder(p.id) ? "forwarder" : "group"},
                      {"table", p.table ? std::to_string(p.table->value) : "none"},
                      {"ordered", std::to_string(p.ordered_version)},
                      {"holds", std::to_string(p.applied_version)},
                      {"rate", number(p.rate)},
                      {"repairs", it == up.end() ? "-" : std::to_string(it->second.repairs)},
                      {"refusals", it == up.end() ? "-" : std::to_string(it->second.refusals)}});
    }
  } else if (what == "channel") {
    const auto c = core_.counters();
    const auto& s = core_.settings();
    rows.push_back({{"waiting", number(core_.channel_backlog())},
                    {"most", number(c.peak_backlog)},
                    {"backlog", number(s.backlog)},
                    {"messages", std::to_string(c.messages)},
                    {"held_back", std::to_string(c.deferred_messages)},
                    {"hold", core_.decisions_held() ? "yes" : "no"}});
  } else if (what == "cluster") {
    if (!cluster_) return "No cluster: this coordinator stands alone.\n";
    rows = cluster_();
  } else if (what == "work") {
    if (work_) rows = work_();
  } else if (what == "errors") {
    rows.assign(errors_.begin(), errors_.end());
  } else {
    return fmt::format("Unknown command: 'show {}'. Try 'help'.\n", what);
  }
  return table_of(rows, json);
}

std::string OperatorConsole::order(const std::vector<std::string>& words) {
  using Action = OperatorCommand::Action;
  const auto is = [&](std::size_t n, std::initializer_list<const char*> start) {
    if (words.size() != n) return false;
    std::size_t k = 0;
    for (const char* word : start)
      if (words[k++] != word) return false;
    return true;
  };
  if (is(1, {"hand-over"})) return hand_over_ ? hand_over_() : "No cluster: this coordinator stands alone.\n";
  OperatorCommand o;
  if (is(4, {"set", "weight"}) || (is(6, {"set", "weight"}) && words[4] == "for")) {
    char* end = nullptr;
    o = {Action::set_weight, words[2], std::strtod(words[3].c_str(), &end), Span::seconds(600), false};
    if (*end != 0 || !std::isfinite(o.weight)) return fmt::format("'{}' is no weight.\n", words[3]);
    if (words.size() == 6) {
      const auto span = span_of(words[5]);
      if (!span)
        return fmt::format("'{}' is no span of time; say 30s, 10m or 2h, a day at most.\n", words[5]);
      o.lifetime = *span;
    }
  } else if (is(3, {"drain", "zone"}) || (is(4, {"drain", "zone"}) && words[3] == "anyway")) {
    o = {Action::drain_zone, words[2], 0, {}, words.size() == 4};
  } else if (is(3, {"undrain", "zone"})) {
    o = {Action::undrain_zone, words[2], 0, {}, false};
  } else if (is(3, {"disable", "backend"})) {
    o = {Action::disable, words[2], 0, {}, false};
  } else if (is(3, {"enable", "backend"})) {
    o = {Action::enable, words[2], 0, {}, false};
  } else if (is(1, {"hold"})) {
    o = {Action::hold, "", 0, {}, false};
  } else if (is(1, {"release"})) {
    o = {Action::release, "", 0, {}, false};
  } else {
    const auto near = complete(words[0]);
    return near.empty() ? fmt::format("Unknown command: '{}'. Try 'help'.\n", words[0])
                        : fmt::format("Not understood; the form is '{}'.\n", near[0]);
  }
  const std::string refusal = order_(o);
  return refusal.empty() ? "" : refusal + "\n";
}

}  // namespace gorsemount::runtime_api
