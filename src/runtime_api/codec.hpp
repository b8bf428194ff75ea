// The command language of HAProxy's runtime socket, as its management guide describes it (section 9.3):
// commands from changes, and what the answers say. Server lines are `OPERATION/WORKER`: one backend section
// an operation.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "forwarders/counters.hpp"
#include "forwarders/plan.hpp"

namespace gorsemount::runtime_api {

// One command line, without its end. Values are process variables (`set var proc.gm_NAME int(N)`), which the
// forwarder's configuration reads.
[[nodiscard]] std::string command(const forwarders::Change& change);
// An answer to a command that changes something: nothing but blanks means done; a few say the same in words.
[[nodiscard]] bool is_done(std::string_view answer);
// It does not know the command at all: what it can't express, and not a mistake of the moment.
[[nodiscard]] bool is_unknown_command(std::string_view answer);

// `get var NAME` of a whole number: `NAME: type=sint value=<42>`; empty: not set, or not a number.
[[nodiscard]] std::optional<std::uint64_t> read_variable(std::string_view text);

// `show servers state` (format 1); columns by their names. A text that is none gives the fault.
[[nodiscard]] std::variant<forwarders::ActualTable, std::string> read_servers_state(std::string_view text);
// `show stat`: CSV by header name; unknown columns are passed over.
[[nodiscard]] std::variant<forwarders::Reading, std::string> read_stat(std::string_view text);

// Splits the lines of one request at `;`, with `\` as escape, and drops blanks around (section 9.3).
[[nodiscard]] std::vector<std::string> split_commands(std::string_view line);
[[nodiscard]] std::vector<std::string> split_words(std::string_view command);

}  // namespace gorsemount::runtime_api
