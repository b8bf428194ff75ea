#include "lab/replay/settings.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include "config/settings.hpp"

namespace gorsemount::lab {

Override read_override(const std::string& text) {
  const auto dot = text.find('.'), is = text.find('=');
  if (dot == std::string::npos || is == std::string::npos || dot == 0 || is < dot + 2 ||
      is + 1 >= text.size())
    throw std::runtime_error{
        fmt::format("'{}': expected BLOCK.NAME=VALUE, such as rules.drain_grace=2s", text)};
  return {text.substr(0, dot), text.substr(dot + 1, is - dot - 1), text.substr(is + 1)};
}

std::string apply_override(const std::string& text, const Override& o) {
  char* end = nullptr;
  static_cast<void>(std::strtod(o.value.c_str(), &end));
  const bool bare = *end == 0 || o.value == "true" || o.value == "false";
  const std::string line = "  " + o.name + " = " + (bare ? o.value : "\"" + o.value + "\"");
  std::istringstream in{text};
  std::string out, row;
  bool inside = false, done = false;
  while (std::getline(in, row)) {
    std::istringstream words{row};
    std::string first, second;
    words >> first >> second;
    if (first == o.block && second == "{") inside = true;
    if (inside && first == o.name && second == "=") row = line, done = true;
    if (inside && first == "}") {
      if (!done) out += line + "\n", done = true;
      inside = false;
    }
    out += row + "\n";
  }
  if (!done) out += o.block + " {\n" + line + "\n}\n";
  return out;
}

coordinator::Settings settings_for(const script::Day& day, std::size_t number, const std::string& config,
                                   const std::vector<Override>& changes) {
  const auto read = [](const std::string& text, const char* what) {
    config::Findings findings;
    auto s = config::read_settings(text, what, findings);
    if (!findings.faults.empty()) throw std::runtime_error{findings.faults.front().text()};
    return s.core;
  };
  std::string text = config.empty() ? script::coordinator_settings(day, {}, number, ".") : config;
  for (const auto& change : changes) text = apply_override(text, change);
  coordinator::Settings core = read(text, config.empty() ? "the day's settings" : "settings");
  if (config.empty()) return core;
  const auto own = read(script::coordinator_settings(day, {}, number, "."), "the day's settings");
  core.zones = own.zones, core.zone = own.zone, core.groups = own.groups, core.forwarders = own.forwarders;
  core.operations = own.operations, core.seed = own.seed, core.coordinators = own.coordinators;
  return core;
}

}  // namespace gorsemount::lab
