#include "runtime_api/codec.hpp"

#include <fmt/format.h>

#include <charconv>
#include <map>
#include <optional>

namespace gorsemount::runtime_api {

using forwarders::Change;
using forwarders::ServerState;

namespace {

constexpr std::size_t kMaxRows = 200000;  // of one answer, above any supported forwarder

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = text.find(separator);
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

std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return {};
  return value;
}

// Reads rows by column name, for both formats.
class RowReader {
 public:
  RowReader(std::string_view header, char separator) : separator_{separator} {
    std::size_t column = 0;
    for (const auto name : split(header, separator)) columns_[std::string{trimmed(name)}] = column++;
  }
  [[nodiscard]] std::string missing(std::initializer_list<const char*> names) const {
    for (const char* name : names)
      if (!columns_.contains(name)) return fmt::format("column '{}' is missing", name);
    return "";
  }
  void set_row(std::string_view line) { cells_ = split(line, separator_); }
  [[nodiscard]] std::string_view text(const char* name) const {
    const auto it = columns_.find(name);
    return it == columns_.end() || it->second >= cells_.size() ? std::string_view{}
                                                               : trimmed(cells_[it->second]);
  }
  // An empty cell is 0 as the guide says; any other text that is not a number sets `error`.
  std::uint64_t number(const char* name, std::string& error) const {
    const auto cell = text(name);
    if (cell.empty()) return 0;
    const auto value = parse_unsigned(cell);
    if (!value) error = fmt::format("'{}' is \"{}\", not a number", name, cell.substr(0, 40));
    return value.value_or(0);
  }

 private:
  char separator_;
  std::map<std::string, std::size_t> columns_;
  std::vector<std::string_view> cells_;
};

}  // namespace

std::string format_command(const Change& change) {
  const std::string server = change.operation + "/" + change.worker;
  switch (change.kind) {
    case Change::Kind::add:
      return fmt::format("add server {} {} weight {} enabled", server, change.endpoint.text(), change.value);
    case Change::Kind::weight:
      return fmt::format("set server {} weight {}", server, change.value);
    case Change::Kind::state:
      return fmt::format("set server {} state {}", server,
                         change.state == ServerState::ready   ? "ready"
                         : change.state == ServerState::drain ? "drain"
                                                              : "maint");
    case Change::Kind::address:
      return fmt::format("set server {} addr {} port {}", server, change.endpoint.address.text(),
                         change.endpoint.port);
    case Change::Kind::remove:
      return fmt::format("del server {}", server);
    case Change::Kind::variable: {
      std::string name = change.worker;
      for (char& letter : name) letter = letter == '-' ? '_' : letter;
      return fmt::format("set var proc.gm_{} int({})", name, change.value);
    }
  }
  return "";
}

bool is_success(std::string_view answer) {
  const auto text = trimmed(answer);
  return text.empty() || text == "New server registered." || text == "Server deleted." ||
         text.find("IP changed from") != std::string_view::npos ||
         text.find("no need to change") != std::string_view::npos;
}

bool is_unknown_command(std::string_view answer) {
  return trimmed(answer).substr(0, 15) == "Unknown command";
}

std::variant<forwarders::ActualTable, std::string> parse_servers_state(std::string_view text) {
  const auto lines = split(text, '\n');
  if (lines.size() < 2 || trimmed(lines[0]) != "1" || lines[1].substr(0, 2) != "# ")
    return std::string{"is not a server state of format 1"};
  if (lines.size() > kMaxRows) return std::string{"has too many lines"};
  RowReader rows{lines[1].substr(2), ' '};
  if (auto error =
          rows.missing({"be_name", "srv_name", "srv_addr", "srv_admin_state", "srv_uweight", "srv_port"});
      !error.empty())
    return error;
  forwarders::ActualTable actual;
  for (std::size_t k = 2; k < lines.size(); ++k) {
    if (trimmed(lines[k]).empty()) continue;
    rows.set_row(lines[k]);
    std::string error;
    forwarders::ActualLine line;
    line.weight =
        static_cast<int>(std::min<std::uint64_t>(forwarders::kMaxWeight, rows.number("srv_uweight", error)));
    // Bits of the management guide: 1, 2 and 4 are kinds of maintenance, 8 and 16 kinds of drain.
    const auto admin_state = rows.number("srv_admin_state", error);
    line.state = (admin_state & 7U) != 0    ? ServerState::maint
                 : (admin_state & 24U) != 0 ? ServerState::drain
                                            : ServerState::ready;
    const auto address = Address::parse(std::string{rows.text("srv_addr")});
    const auto port = rows.number("srv_port", error);
    if (!address || port > 65535) error = "'srv_addr' or 'srv_port' is invalid";
    if (!error.empty()) return fmt::format("line {}: {}", k + 1, error);
    line.endpoint = {*address, static_cast<std::uint16_t>(port)};
    actual.lines[{std::string{rows.text("be_name")}, std::string{rows.text("srv_name")}}] = line;
  }
  return actual;
}

std::variant<forwarders::CounterSnapshot, std::string> parse_stat(std::string_view text) {
  const auto lines = split(text, '\n');
  if (lines.empty() || lines[0].substr(0, 2) != "# ") return std::string{"has no header"};
  if (lines.size() > kMaxRows) return std::string{"has too many lines"};
  RowReader rows{lines[0].substr(2), ','};
  if (auto error = rows.missing({"pxname", "svname", "stot"}); !error.empty()) return error;
  forwarders::CounterSnapshot snapshot;
  for (std::size_t k = 1; k < lines.size(); ++k) {
    if (trimmed(lines[k]).empty()) continue;
    rows.set_row(lines[k]);
    const std::string operation{rows.text("pxname")}, worker{rows.text("svname")};
    std::string error;
    if (worker == "BACKEND") {
      snapshot.arrivals[operation] = rows.number("stot", error);
      snapshot.retries[operation] = rows.number("wredis", error);
    } else if (worker != "FRONTEND") {
      forwarders::ServerCounters server;
      server.tries = rows.number("stot", error);
      server.errored =
          rows.number("econ", error) + rows.number("eresp", error) + rows.number("hrsp_5xx", error);
      server.mean_latency = Span::seconds(
          static_cast<double>(std::min<std::uint64_t>(rows.number("ttime", error), 3'600'000)) / 1e3);
      snapshot.servers[{operation, worker}] = server;
    }
    if (!error.empty()) return fmt::format("line {}: {}", k + 1, error);
  }
  return snapshot;
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
  for (auto& command : commands) command = std::string{trimmed(command)};
  std::erase_if(commands, [](const std::string& command) { return command.empty(); });
  return commands;
}

std::vector<std::string> split_words(std::string_view command) {
  std::vector<std::string> words;
  for (const auto part : split(command, ' '))
    if (const auto word = trimmed(part); !word.empty()) words.emplace_back(word);
  return words;
}

std::optional<std::uint64_t> parse_variable(std::string_view text) {
  constexpr std::string_view kValuePrefix = "type=sint value=<";
  const auto position = text.find(kValuePrefix);
  if (position == std::string_view::npos) return {};
  std::uint64_t value = 0;
  const char* begin = text.data() + position + kValuePrefix.size();
  const auto [end, error] = std::from_chars(begin, text.data() + text.size(), value);
  if (error != std::errc{} || end == text.data() + text.size() || *end != '>') return {};
  return value;
}

}  // namespace gorsemount::runtime_api
