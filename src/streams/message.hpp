// The platform's line protocol: parses lines into messages and encodes `update` messages. Zones, hosts and
// operations stay strings here; PolicyHost checks that they exist and maps them to ids.
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

inline constexpr std::size_t kMaxMessageBytes = 1U << 20U;

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
struct BackendStats {  // results of the tries of a zone's proxies at one backend
  std::string zone, host;
  int tries = 0, errored = 0;
  Span mean_latency, window;
  std::optional<double> cpu_utilization;
};
struct ProxyUsage {  // invocations that arrived at a proxy
  std::uint16_t proxy = 0;
  std::string operation;
  int arrived = 0;
  Span window;
};
struct UpdateApplied {
  std::uint16_t proxy = 0;
  std::uint16_t update_version = 0;
};
struct Malformed {  // a known kind with a field missing or out of range; the message is skipped
  std::string kind, field;
};
struct ProtocolError {  // not a message of this protocol; the connection is closed
  std::string reason;
};
using Message = std::variant<Ping, CollectorJoin, ProxyJoin, BackendStats, ProxyUsage, UpdateApplied,
                             Malformed, ProtocolError>;

// Parses one line without its terminator.
[[nodiscard]] Message parse_message(std::string_view line);

// True if no message can begin with these bytes. The first `checked_bytes` have passed an earlier call and
// are not looked at again, except for the kind of the message.
[[nodiscard]] bool is_invalid_prefix(std::string_view prefix, std::size_t checked_bytes = 0);

// A table's backend weights, or changes to them, and its admission levels; weight 0 removes a backend.
struct EndpointWeight {
  std::string_view host;
  double weight = 0;
};
struct OperationLevel {
  std::string_view operation;
  RetryPolicy tries = RetryPolicy::none;
  double level = 0;
  auto operator<=>(const OperationLevel&) const = default;
};
struct Update {
  bool full = false;
  std::vector<EndpointWeight> endpoints;
  std::vector<OperationLevel> levels;
  std::size_t operations = 0;            // how many use the table; a level shared by all lists no names
  std::vector<std::string_view> routes;  // the operations that use the table; empty: all that are configured
};
struct EncodedMessage {
  std::string bytes;           // one message, in several parts if it needs them
  std::size_t line_count = 0;  // lines counted against the push rate, without the overhead per message
};
// One message with the updates of one or more tables of a proxy.
[[nodiscard]] EncodedMessage encode_updates(const std::vector<Update>& updates);

inline constexpr std::string_view kPong = "pong\r\n";
[[nodiscard]] std::string encode_refusal(std::string_view reason);

}  // namespace gorsemount::streams
