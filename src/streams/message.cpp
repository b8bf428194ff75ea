#include "streams/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace gorsemount::streams {

namespace {

constexpr std::array<std::string_view, 7> kMessageKinds{"ping",  "pong",  "collector", "joined",
                                                        "heard", "usage", "applied"};
constexpr std::size_t kMaxParts = 64;
constexpr std::size_t kMaxFields = 64;         // of one message; the longest kind has seven
constexpr std::size_t kMaxReportedBytes = 32;  // of a field's name
// Sanity bounds: ten minutes for a report window, and a number of tries that no zone reaches in one window.
constexpr double kMaxMillis = 600'000;
constexpr double kMaxCount = 10'000'000;

struct FieldFault {
  std::string field;
};

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return static_cast<unsigned char>(c) >= 0x20 && c != 0x7f; });
}

// The `name=value` fields after the kind. A duplicate name, a word of another form, or more than kMaxFields
// fields make the message malformed. Each name is compared with all names before it, so the bound on their
// number also keeps the cost of a line proportional to its length.
class MessageFields {
 public:
  explicit MessageFields(std::string_view text) {
    while (!text.empty()) {
      const auto space = text.find(' ');
      const auto word = text.substr(0, space);
      text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
      if (!word.empty()) add(word);
    }
  }
  [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const {
    for (const auto& [key, value] : fields_)
      if (key == name) return value;
    return {};
  }
  [[nodiscard]] std::string text(std::string_view name) const {
    const auto value = find(name);
    if (!value || value->empty() || value->size() > 256) throw FieldFault{std::string{name}};
    return std::string{*value};
  }
  [[nodiscard]] double number(std::string_view name, double max) const {
    const auto value = find(name);
    const auto result = value ? parse_number(*value) : std::nullopt;
    if (!result || *result < 0 || *result > max) throw FieldFault{std::string{name}};
    return *result;
  }
  template <class Integer>
  [[nodiscard]] Integer integer(std::string_view name, double max) const {
    const double result = number(name, max);
    if (result != std::floor(result)) throw FieldFault{std::string{name}};
    return static_cast<Integer>(result);
  }
  [[nodiscard]] bool flag(std::string_view name) const { return integer<int>(name, 1) == 1; }

  [[nodiscard]] static std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return {};
    return value;
  }

 private:
  void add(std::string_view word) {
    if (fields_.size() == kMaxFields) throw FieldFault{"too many fields"};
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || equals == 0)
      throw FieldFault{std::string{word.substr(0, kMaxReportedBytes)}};
    const auto name = word.substr(0, equals);
    if (find(name)) throw FieldFault{std::string{name.substr(0, kMaxReportedBytes)}};
    fields_.emplace_back(name, word.substr(equals + 1));
  }

  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// CPU utilization from a backend's load report such as `cpu:0.61,waiting:3`. The settings call the figure
// `cpu`, the protocol's documentation `util`; both are accepted.
std::optional<double> parse_cpu_utilization(std::optional<std::string_view> report) {
  if (!report) return {};
  std::optional<double> cpu_utilization;
  for (std::string_view remaining = *report; !remaining.empty();) {
    const auto comma = remaining.find(',');
    const auto pair = remaining.substr(0, comma);
    remaining = comma == std::string_view::npos ? std::string_view{} : remaining.substr(comma + 1);
    const auto colon = pair.find(':');
    const auto value =
        colon == std::string_view::npos ? std::nullopt : MessageFields::parse_number(pair.substr(colon + 1));
    if (!value || *value < 0 || *value > kMaxCount) throw FieldFault{"report"};
    if (const auto name = pair.substr(0, colon); name != "cpu" && name != "util") continue;
    if (*value > 2) throw FieldFault{"report"};  // readings are imprecise, but 200% is implausible
    cpu_utilization = value;
  }
  return cpu_utilization;
}

Message parse_fields(std::string_view kind, const MessageFields& fields) {
  if (kind == "ping") return Ping{};
  if (kind == "collector") return CollectorJoin{fields.text("az")};
  if (kind == "joined")
    return ProxyJoin{fields.integer<std::uint16_t>("sidecar", 65535), fields.text("az"),
                     fields.number("share", kMaxCount), fields.flag("standing")};
  if (kind == "heard") {
    BackendStats message;
    message.zone = fields.text("az"), message.host = fields.text("host");
    message.tries = fields.integer<int>("n", kMaxCount),
    message.errored = fields.integer<int>("bad", kMaxCount);
    if (message.errored > message.tries) throw FieldFault{"bad"};
    // Without a succeeded try there is no mean latency, so the field is optional.
    if (message.tries > message.errored || fields.find("avg"))
      message.mean_latency = Span::seconds(fields.number("avg", kMaxMillis) / 1000);
    message.window = Span::seconds(fields.number("window", kMaxMillis) / 1000);
    if (message.window <= Span{}) throw FieldFault{"window"};
    message.cpu_utilization = parse_cpu_utilization(fields.find("report"));
    return message;
  }
  if (kind == "usage") {
    ProxyUsage message;
    message.proxy = fields.integer<std::uint16_t>("sidecar", 65535), message.operation = fields.text("kind");
    message.arrived = fields.integer<int>("n", kMaxCount);
    (void)fields.integer<int>("bad", kMaxCount);  // may exceed n: it includes tries of the previous window
    message.window = Span::seconds(fields.number("window", kMaxMillis) / 1000);
    if (message.window <= Span{}) throw FieldFault{"window"};
    return message;
  }
  if (kind == "applied") {
    (void)fields.number("lag_ms", kMaxMillis);
    return UpdateApplied{fields.integer<std::uint16_t>("sidecar", 65535),
                         fields.integer<std::uint16_t>("version", 65535)};
  }
  throw FieldFault{"kind"};
}

// Fixed notation, since the protocol has no exponents. A small positive weight is rounded up to 0.000001,
// because 0 would remove the backend.
std::string format_decimal(double value) {
  std::array<char, 64> buffer;
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, 6).ptr;
  std::string text{buffer.data(), end};
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text == "0" && value > 0 ? "0.000001" : text;
}

std::string routes_field(const std::vector<std::string_view>& operations) {
  std::string field;
  for (const auto& operation : operations) {
    field += field.empty() ? " routes=" : "+";
    field += operation;
  }
  return field;
}

// Operations with equal levels.
struct LevelGroup {
  OperationLevel level;
  std::vector<std::string_view> operations;
};

std::vector<LevelGroup> group_levels(const std::vector<OperationLevel>& levels) {
  std::vector<LevelGroup> groups;
  for (const auto& level : levels) {
    const auto it = std::find_if(groups.begin(), groups.end(), [&](const LevelGroup& group) {
      return group.level.tries == level.tries && group.level.level == level.level;
    });
    LevelGroup& group = it == groups.end() ? groups.emplace_back(LevelGroup{level, {}}) : *it;
    group.operations.push_back(level.operation);
  }
  return groups;
}

// Appends the parts of one update. Operations with equal levels share a part; a level that all operations of
// the table share goes with its lines.
void append_parts(const Update& update, std::vector<std::string>& parts, std::size_t& line_count) {
  const auto groups = group_levels(update.levels);
  const bool has_lines = update.full || !update.endpoints.empty();
  if (has_lines) {
    std::string part = "update" + routes_field(update.routes);
    if (update.full) part += " full=1", ++line_count;
    const char* separator = " endpoints=";
    for (const auto& line : update.endpoints) {
      part += separator, part += line.host, part += ':', part += format_decimal(line.weight);
      separator = ",", ++line_count;
    }
    parts.push_back(std::move(part));
  }
  for (const auto& [level, operations] : groups) {
    const bool all_operations = operations.size() == update.operations;
    if (!all_operations || groups.size() > 1 || !has_lines)
      parts.push_back("update" + routes_field(all_operations ? update.routes : operations));
    parts.back() +=
        " admit=" + format_decimal(level.level) + " policy=" + std::to_string(static_cast<int>(level.tries));
    ++line_count;
  }
}

}  // namespace

Message parse_message(std::string_view line) {
  if (!printable(line)) return ProtocolError{"bytes that are no text"};
  const auto space = line.find(' ');
  const auto kind = line.substr(0, space);
  if (std::find(kMessageKinds.begin(), kMessageKinds.end(), kind) == kMessageKinds.end())
    return ProtocolError{"no kind of message that is taken here"};
  try {
    return parse_fields(
        kind, MessageFields{space == std::string_view::npos ? std::string_view{} : line.substr(space)});
  } catch (const FieldFault& error) {
    return Malformed{std::string{kind}, error.field};
  }
}

bool is_invalid_prefix(std::string_view part, std::size_t checked_bytes) {
  if (part.size() > kMaxMessageBytes) return true;
  if (!part.empty() && part.back() == '\r') part.remove_suffix(1);
  const auto space = part.find(' ');
  const auto kind = part.substr(0, space);
  const bool kind_complete = space != std::string_view::npos;
  const bool known = std::any_of(kMessageKinds.begin(), kMessageKinds.end(), [&](auto known_kind) {
    return kind_complete ? known_kind == kind : known_kind.substr(0, kind.size()) == kind;
  });
  return !known || !printable(part.substr(std::min(checked_bytes, part.size())));
}

EncodedMessage encode_updates(const std::vector<Update>& updates) {
  EncodedMessage message;
  std::vector<std::string> parts;
  for (const auto& update : updates) append_parts(update, parts, message.line_count);
  for (std::size_t index = 0; index < parts.size() && index < kMaxParts; ++index)
    message.bytes += parts[index] + (index + 1 < parts.size() ? " continued=1\r\n" : "\r\n");
  return message;
}

std::string encode_refusal(std::string_view reason) {
  std::string text = "refused reason=";
  for (const char c : reason) text += c == ' ' ? '-' : c;
  return text + "\r\n";
}

}  // namespace gorsemount::streams
