#include "app/coordinator_config.hpp"

#include <charconv>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace gorsemount::app {

namespace {

Endpoint endpoint(const Fields& fields, const char* key, const char* variable,
                  const Environment& environment) {
  std::string text;
  if (fields.has(key)) {
    text = fields.text(key);
  } else if (const auto variable_value = environment(variable)) {
    text = *variable_value;
  } else {
    fields.fail(key, std::string{"is missing, and so is "} + variable);
  }
  const auto parsed = Endpoint::parse(text);
  if (!parsed) fields.fail(key, "is not an address and port: " + text);
  return *parsed;
}

std::uint64_t read_seed(const Fields& fields) {
  const auto text = fields.text("seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    fields.fail("seed", "is not a 64-bit hexadecimal number");
  return seed;
}

}  // namespace

CoordinatorConfig parse_coordinator_config(const std::string& text, const Environment& environment) {
  const Json value = Json::parse(text);
  const Fields fields{value, "config"};
  CoordinatorConfig config;
  config.name = fields.has("name") ? fields.text("name") : environment("GW_NAME").value_or("coordinator");
  config.listen = endpoint(fields, "listen", "GW_LISTEN", environment);
  config.discovery = endpoint(fields, "discovery", "GW_DISCOVERY", environment);
  config.seed = read_seed(fields);
  if (const auto limits = fields.optional_object("limits")) {
    if (limits->has("sockets")) config.max_sockets = limits->unsigned_integer("sockets", 1U << 20U);
    if (limits->has("memory_mb")) config.memory_mb = limits->unsigned_integer("memory_mb", 1U << 20U);
    if (config.memory_mb == 0) limits->fail("memory_mb", "is 0");
  }
  if (fields.has("known"))
    config.initial_backends = discovery::read_backend_list(value.at("known"), "config.known");
  const Fields settings = fields.object("settings");
  config.settings = read_settings(settings);
  config.id_names = read_id_names(settings);
  config.settings_text = value.at("settings").dump();
  return config;
}

CoordinatorConfig read_coordinator_config(const Environment& environment) {
  const auto path = environment("GW_CONFIG");
  if (!path || path->empty())
    throw std::runtime_error{"GW_CONFIG is not set; it must name the configuration file"};
  std::ifstream file{*path};
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error{*path + ": can't be read"};
  try {
    return parse_coordinator_config(text.str(), environment);
  } catch (const std::exception& error) {
    throw std::runtime_error{*path + ": " + error.what()};
  }
}

}  // namespace gorsemount::app
