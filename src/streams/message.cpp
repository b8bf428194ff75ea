#include "streams/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace gorsemount::streams {

namespace {

constexpr std::array<std::string_view, 7> kKinds{"ping",  "pong",  "collector", "joined",
                                                 "heard", "usage", "applied"};
constexpr std::size_t kPartsMost = 64;
// No report spans more than ten minutes, and no proxies try a backend more often than this within one.
constexpr double kMillisMost = 600'000;
constexpr double kCountMost = 10'000'000;

struct Fault {
  std::string field;
};

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return static_cast<unsigned char>(c) >= 0x20 && c != 0x7f; });
}

// The words after the kind. A name that comes twice, or a word that is no `name=value`, spoils the message.
class Words {
 public:
  explicit Words(std::string_view text) {
    while (!text.empty()) {
      const auto space = text.find(' ');
      const auto word = text.substr(0, space);
      text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
      if (word.empty()) continue;
      const auto equals = word.find('=');
      if (equals == std::string_view::npos || equals == 0) throw Fault{std::string{word.substr(0, 32)}};
      const auto name = word.substr(0, equals);
      if (find(name)) throw Fault{std::string{name.substr(0, 32)}};
      words_.emplace_back(name, word.substr(equals + 1));
    }
  }
  [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const {
    for (const auto& [key, value] : words_)
      if (key == name) return value;
    return {};
  }
  [[nodiscard]] std::string text(std::string_view name) const {
    const auto value = find(name);
    if (!value || value->empty() || value->size() > 256) throw Fault{std::string{name}};
    return std::string{*value};
  }
  [[nodiscard]] double number(std::string_view name, double most) const {
    const auto value = find(name);
    const auto result = value ? to_number(*value) : std::nullopt;
    if (!result || *result < 0 || *result > most) throw Fault{std::string{name}};
    return *result;
  }
  template <class Whole>
  [[nodiscard]] Whole whole(std::string_view name, double most) const {
    const double result = number(name, most);
    if (result != std::floor(result)) throw Fault{std::string{name}};
    return static_cast<Whole>(result);
  }
  [[nodiscard]] bool flag(std::string_view name) const { return whole<int>(name, 1) == 1; }

  [[nodiscard]] static std::optional<double> to_number(std::string_view text) {
    double value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return {};
    return value;
  }

 private:
  std::vector<std::pair<std::string_view, std::string_view>> words_;
};

// The part of its processors that a backend says is in use, of `cpu:0.61,waiting:3`. The settings call it
// cpu, the protocol's page util, and either may come.
std::optional<double> read_busy(std::optional<std::string_view> report) {
  if (!report) return {};
  std::optional<double> busy;
  for (std::string_view left = *report; !left.empty();) {
    const auto comma = left.find(',');
    const auto pair = left.substr(0, comma);
    left = comma == std::string_view::npos ? std::string_view{} : left.substr(comma + 1);
    const auto colon = pair.find(':');
    const auto value =
        colon == std::string_view::npos ? std::nullopt : Words::to_number(pair.substr(colon + 1));
    if (!value || *value < 0 || *value > kCountMost) throw Fault{"report"};
    if (const auto name = pair.substr(0, colon); name != "cpu" && name != "util") continue;
    if (*value > 2) throw Fault{"report"};  // figures are not exact, but twice all there is can't be
    busy = value;
  }
  return busy;
}

Message read_known(std::string_view kind, const Words& w) {
  if (kind == "ping") return Ping{};
  if (kind == "collector") return CollectorJoin{w.text("az")};
  if (kind == "joined")
    return ProxyJoin{w.whole<std::uint16_t>("sidecar", 65535), w.text("az"), w.number("share", kCountMost),
                     w.flag("standing")};
  if (kind == "heard") {
    Heard m;
    m.zone = w.text("az"), m.host = w.text("host");
    m.tries = w.whole<int>("n", kCountMost), m.errored = w.whole<int>("bad", kCountMost);
    if (m.errored > m.tries) throw Fault{"bad"};
    // Where none succeeded there is no mean time, and it may be left out.
    if (m.tries > m.errored || w.find("avg"))
      m.mean_latency = Span::seconds(w.number("avg", kMillisMost) / 1000);
    m.over = Span::seconds(w.number("window", kMillisMost) / 1000);
    if (m.over <= Span{}) throw Fault{"window"};
    m.busy = read_busy(w.find("report"));
    return m;
  }
  if (kind == "usage") {
    Usage m;
    m.proxy = w.whole<std::uint16_t>("sidecar", 65535), m.operation = w.text("kind");
    m.arrived = w.whole<int>("n", kCountMost);
    (void)w.whole<int>("bad", kCountMost);  // may be more than n: those of the window before count too
    m.over = Span::seconds(w.number("window", kMillisMost) / 1000);
    if (m.over <= Span{}) throw Fault{"window"};
    return m;
  }
  if (kind == "applied") {
    (void)w.number("lag_ms", kMillisMost);
    return Applied{w.whole<std::uint16_t>("sidecar", 65535), w.whole<std::uint16_t>("version", 65535)};
  }
  throw Fault{"kind"};
}

// Never as an exponent, and never so short that a small weight becomes a removal.
std::string text_of(double value) {
  std::array<char, 64> buffer;
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, 6).ptr;
  std::string text{buffer.data(), end};
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text == "0" && value > 0 ? "0.000001" : text;
}

}  // namespace

Message read_message(std::string_view line) {
  if (!printable(line)) return ProtocolError{"bytes that are no text"};
  const auto space = line.find(' ');
  const auto kind = line.substr(0, space);
  if (std::find(kKinds.begin(), kKinds.end(), kind) == kKinds.end())
    return ProtocolError{"no kind of message that is taken here"};
  try {
    return read_known(kind, Words{space == std::string_view::npos ? std::string_view{} : line.substr(space)});
  } catch (const Fault& fault) {
    return Malformed{std::string{kind}, fault.field};
  }
}

bool hopeless(std::string_view part) {
  if (part.size() > kMessageMost) return true;
  if (!part.empty() && part.back() == '\r') part.remove_suffix(1);
  const auto space = part.find(' ');
  const auto kind = part.substr(0, space);
  const bool whole = space != std::string_view::npos;
  const bool known = std::any_of(kKinds.begin(), kKinds.end(), [&](auto k) {
    return whole ? k == kind : k.substr(0, kind.size()) == kind;
  });
  return !known || !printable(part);
}

Written write_update(const Update& update) {
  // Levels that are alike share a part; those that are alike for all operations need no names.
  std::vector<std::pair<LevelFor, std::vector<std::string_view>>> groups;
  for (const auto& level : update.levels) {
    const auto it = std::find_if(groups.begin(), groups.end(), [&](const auto& g) {
      return g.first.tries == level.tries && g.first.level == level.level;
    });
    (it == groups.end() ? groups.emplace_back(level, std::vector<std::string_view>{}) : *it)
        .second.push_back(level.operation);
  }
  Written out;
  std::vector<std::string> parts;
  if (update.full || !update.lines.empty()) {
    std::string part = "update";
    if (update.full) part += " full=1", ++out.line_count;
    const char* before = " endpoints=";
    for (const auto& line : update.lines) {
      part += before, part += line.host, part += ':', part += text_of(line.weight);
      before = ",", ++out.line_count;
    }
    parts.push_back(std::move(part));
  }
  for (const auto& [level, operations] : groups) {
    const bool all = operations.size() == update.operations;
    std::string part;
    if (all && groups.size() == 1 && !parts.empty()) {
      part = std::move(parts.back());
      parts.pop_back();
    } else {
      part = "update";
    }
    if (!all) {
      const char* before = " routes=";
      for (const auto& operation : operations) part += before, part += operation, before = "+";
    }
    part += " admit=" + text_of(level.level) + " policy=" + std::to_string(static_cast<int>(level.tries));
    parts.push_back(std::move(part)), ++out.line_count;
  }
  for (std::size_t k = 0; k < parts.size() && k < kPartsMost; ++k)
    out.bytes += parts[k] + (k + 1 < parts.size() ? " continued=1\r\n" : "\r\n");
  return out;
}

std::string write_refused(std::string_view why) {
  std::string text = "refused reason=";
  for (const char c : why) text += c == ' ' ? '-' : c;
  return text + "\r\n";
}

}  // namespace gorsemount::streams
