// Formats the commands and parses the answers of HAProxy's runtime API, as its management guide describes it
// (section 9.3). Servers are named `OPERATION/WORKER`: each operation has its own backend section.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "forwarders/counters.hpp"
#include "forwarders/plan.hpp"

namespace gorsemount::runtime_api {

// One command line, without the newline. Variables are process variables (`set var proc.gm_NAME int(N)`),
// which the forwarder's configuration reads.
[[nodiscard]] std::string format_command(const forwarders::Change& change);
// Whether a command that changes something succeeded: its answer is blank or a known confirmation.
[[nodiscard]] bool is_success(std::string_view answer);
// Whether the forwarder does not support the command at all, as opposed to a refusal of this one.
[[nodiscard]] bool is_unknown_command(std::string_view answer);

// Parses the answer to `get var NAME`, `NAME: type=sint value=<42>`; empty if unset or not an integer.
[[nodiscard]] std::optional<std::uint64_t> parse_variable(std::string_view text);

// Parses `show servers state` (format 1) with columns by name. Returns an error text for malformed input.
[[nodiscard]] std::variant<forwarders::ActualTable, std::string> parse_servers_state(std::string_view text);
// Parses `show stat`, CSV with columns by name; unknown columns are ignored. Returns an error text for
// malformed input.
[[nodiscard]] std::variant<forwarders::CounterSnapshot, std::string> parse_stat(std::string_view text);

// Splits one line at `;`, with `\` as the escape character, trims the commands and drops empty ones
// (section 9.3).
[[nodiscard]] std::vector<std::string> split_commands(std::string_view line);
[[nodiscard]] std::vector<std::string> split_words(std::string_view command);

}  // namespace gorsemount::runtime_api
