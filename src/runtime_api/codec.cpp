#include "runtime_api/codec.hpp"

#include <fmt/format.h>

#include <charconv>
#include <map>
#include <optional>

namespace gorsemount::runtime_api {

using forwarders::Change;
using forwarders::ServerState;

namespace {

constexpr std::size_t kRowsMost = 200000;  // lines of one answer; more is no forwarder of ours

std::vector<std::string_view> split(std::string_view text, char at) {
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = text.find(at);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

std::string_view trimmed(std::string_view text) {
  const auto from = text.find_first_not_of(" \t\r\n");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t\r\n") - from + 1);
}

std::optional<std::uint64_t> whole(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc{} || end != text.data() + text.size()) return {};
  return value;
}

// Rows of named columns, for both formats.
class Rows {
 public:
  Rows(std::string_view header, char at) : at_{at} {
    std::size_t place = 0;
    for (const auto name : split(header, at)) places_[std::string{trimmed(name)}] = place++;
  }
  [[nodiscard]] std::string missing(std::initializer_list<const char*> names) const {
    for (const char* name : names)
      if (!places_.contains(name)) return fmt::format("column '{}' is missing", name);
    return "";
  }
  void row(std::string_view line) { cells_ = split(line, at_); }
  [[nodiscard]] std::string_view text(const char* name) const {
    const auto it = places_.find(name);
    return it == places_.end() || it->second >= cells_.size() ? std::string_view{}
                                                              : trimmed(cells_[it->second]);
  }
  // Empty cells are 0, as the guide has it; anything else that is no number is a fault.
  std::uint64_t number(const char* name, std::string& fault) const {
    const auto cell = text(name);
    if (cell.empty()) return 0;
    const auto value = whole(cell);
    if (!value) fault = fmt::format("'{}' is \"{}\", not a number", name, cell.substr(0, 40));
    return value.value_or(0);
  }

 private:
  char at_;
  std::map<std::string, std::size_t> places_;
  std::vector<std::string_view> cells_;
};

}  // namespace

std::string command(const Change& c) {
  const std::string where = c.operation + "/" + c.worker;
  switch (c.what) {
    case Change::What::add:
      return fmt::format("add server {} {} weight {} enabled", where, c.endpoint.text(), c.number);
    case Change::What::weight:
      return fmt::format("set server {} weight {}", where, c.number);
    case Change::What::state:
      return fmt::format("set server {} state {}", where,
                         c.state == ServerState::ready   ? "ready"
                         : c.state == ServerState::drain ? "drain"
                                                         : "maint");
    case Change::What::address:
      return fmt::format("set server {} addr {} port {}", where, c.endpoint.address.text(), c.endpoint.port);
    case Change::What::remove:
      return fmt::format("del server {}", where);
    case Change::What::value: {
      std::string name = c.worker;
      for (char& letter : name) letter = letter == '-' ? '_' : letter;
      return fmt::format("set var proc.gm_{} int({})", name, c.number);
    }
  }
  return "";
}

bool is_done(std::string_view answer) {
  const auto text = trimmed(answer);
  return text.empty() || text == "New server registered." || text == "Server deleted." ||
         text.find("IP changed from") != std::string_view::npos ||
         text.find("no need to change") != std::string_view::npos;
}

bool is_unknown_command(std::string_view answer) {
  return trimmed(answer).substr(0, 15) == "Unknown command";
}

std::variant<forwarders::ActualTable, std::string> read_servers_state(std::string_view text) {
  const auto lines = split(text, '\n');
  if (lines.size() < 2 || trimmed(lines[0]) != "1" || lines[1].substr(0, 2) != "# ")
    return std::string{"is no server state of format 1"};
  if (lines.size() > kRowsMost) return std::string{"has too many lines"};
  Rows rows{lines[1].substr(2), ' '};
  if (auto fault =
          rows.missing({"be_name", "srv_name", "srv_addr", "srv_admin_state", "srv_uweight", "srv_port"});
      !fault.empty())
    return fault;
  forwarders::ActualTable held;
  for (std::size_t k = 2; k < lines.size(); ++k) {
    if (trimmed(lines[k]).empty()) continue;
    rows.row(lines[k]);
    std::string fault;
    forwarders::ActualLine line;
    line.weight =
        static_cast<int>(std::min<std::uint64_t>(forwarders::kMaxWeight, rows.number("srv_uweight", fault)));
    // The guide's bits: 1, 2 and 4 are kinds of maintenance, 8 and 16 of drain.
    const auto admin = rows.number("srv_admin_state", fault);
    line.state = (admin & 7U) != 0    ? ServerState::maint
                 : (admin & 24U) != 0 ? ServerState::drain
                                      : ServerState::ready;
    const auto address = Address::parse(std::string{rows.text("srv_addr")});
    const auto port = rows.number("srv_port", fault);
    if (!address || port > 65535) fault = "'srv_addr' or 'srv_port' is no address";
    if (!fault.empty()) return fmt::format("line {}: {}", k + 1, fault);
    line.endpoint = {*address, static_cast<std::uint16_t>(port)};
    held.lines[{std::string{rows.text("be_name")}, std::string{rows.text("srv_name")}}] = line;
  }
  return held;
}

std::variant<forwarders::Reading, std::string> read_stat(std::string_view text) {
  const auto lines = split(text, '\n');
  if (lines.empty() || lines[0].substr(0, 2) != "# ") return std::string{"has no header"};
  if (lines.size() > kRowsMost) return std::string{"has too many lines"};
  Rows rows{lines[0].substr(2), ','};
  if (auto fault = rows.missing({"pxname", "svname", "stot"}); !fault.empty()) return fault;
  forwarders::Reading reading;
  for (std::size_t k = 1; k < lines.size(); ++k) {
    if (trimmed(lines[k]).empty()) continue;
    rows.row(lines[k]);
    const std::string operation{rows.text("pxname")}, worker{rows.text("svname")};
    std::string fault;
    if (worker == "BACKEND") {
      reading.arrived[operation] = rows.number("stot", fault);
      reading.further[operation] = rows.number("wredis", fault);
    } else if (worker != "FRONTEND") {
      forwarders::ServerCount c;
      c.tries = rows.number("stot", fault);
      c.errored = rows.number("econ", fault) + rows.number("eresp", fault) + rows.number("hrsp_5xx", fault);
      c.mean_latency = Span::seconds(
          static_cast<double>(std::min<std::uint64_t>(rows.number("ttime", fault), 3'600'000)) / 1e3);
      reading.servers[{operation, worker}] = c;
    }
    if (!fault.empty()) return fmt::format("line {}: {}", k + 1, fault);
  }
  return reading;
}

std::vector<std::string> split_commands(std::string_view line) {
  std::vector<std::string> commands(1);
  for (std::size_t k = 0; k < line.size(); ++k) {
    if (line[k] == '\\' && k + 1 < line.size()) {
      commands.back().push_back(line[++k]);
    } else if (line[k] == ';') {
      commands.emplace_back();
    } else {
      commands.back().push_back(line[k]);
    }
  }
  for (auto& c : commands) c = std::string{trimmed(c)};
  std::erase_if(commands, [](const std::string& c) { return c.empty(); });
  return commands;
}

std::vector<std::string> split_words(std::string_view command) {
  std::vector<std::string> words;
  for (const auto part : split(command, ' '))
    if (const auto word = trimmed(part); !word.empty()) words.emplace_back(word);
  return words;
}

std::optional<std::uint64_t> read_variable(std::string_view text) {
  constexpr std::string_view kMark = "type=sint value=<";
  const auto at = text.find(kMark);
  if (at == std::string_view::npos) return {};
  std::uint64_t value = 0;
  const char* begin = text.data() + at + kMark.size();
  const auto [end, fault] = std::from_chars(begin, text.data() + text.size(), value);
  if (fault != std::errc{} || end == text.data() + text.size() || *end != '>') return {};
  return value;
}

}  // namespace gorsemount::runtime_api
