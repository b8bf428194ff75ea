// The platform's line protocol, pure: bytes to messages, tables to `update` lines. Names stay names here: who
// they belong to, and whether they exist, is PolicyHost's to say.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "policy/policy.hpp"

namespace gorsemount::streams {

inline constexpr std::size_t kMessageMost = 1U << 20U;

struct Ping {};
struct CollectorJoin {
  std::string zone;
};
struct ProxyJoin {
  std::uint16_t proxy = 0;
  std::string zone;
  double usual_rate = 0;
  bool standing = false;
};
struct Heard {  // what the proxies of a zone met at a backend
  std::string zone, host;
  int tries = 0, errored = 0;
  Span mean_latency, over;
  std::optional<double> busy;
};
struct Usage {  // what came to a proxy
  std::uint16_t proxy = 0;
  std::string operation;
  int arrived = 0;
  Span over;
};
struct Applied {
  std::uint16_t proxy = 0;
  std::uint16_t mark = 0;
};
struct Malformed {  // a known kind that lacks a field, or holds it out of range: it is skipped
  std::string kind, field;
};
struct ProtocolError {  // no message at all: the peer is of no further use
  std::string why;
};
using Message = std::variant<Ping, CollectorJoin, ProxyJoin, Heard, Usage, Applied, Malformed, ProtocolError>;

// One line, without its end.
[[nodiscard]] Message read_message(std::string_view line);

// What has come of a line can't become a message any more.
[[nodiscard]] bool hopeless(std::string_view part);

// A table's lines or changes of them, and its levels; 0 removes a line.
struct Line {
  std::string_view host;
  double weight = 0;
};
struct LevelFor {
  std::string_view operation;
  FurtherTries tries = FurtherTries::none;
  double level = 0;
  auto operator<=>(const LevelFor&) const = default;
};
struct Update {
  bool full = false;
  std::vector<Line> lines;
  std::vector<LevelFor> levels;
  std::size_t operations = 0;  // how many there are: levels that are alike for all need no names
};
struct Written {
  std::string bytes;           // one message, in parts where it needs some
  std::size_t line_count = 0;  // lines, as the channel counts them, without the message's own
};
[[nodiscard]] Written write_update(const Update& update);

inline constexpr std::string_view kPong = "pong\r\n";
[[nodiscard]] std::string write_refused(std::string_view why);

}  // namespace gorsemount::streams
