#include "app/coordinator_config.hpp"

#include <charconv>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace gorsemount::app {

namespace {

Endpoint endpoint(const Fields& f, const char* key, const char* variable, const Environment& environment) {
  std::string text;
  if (f.has(key)) {
    text = f.text(key);
  } else if (const auto told = environment(variable)) {
    text = *told;
  } else {
    f.fail(key, std::string{"is missing, and so is "} + variable);
  }
  const auto parsed = Endpoint::parse(text);
  if (!parsed) f.fail(key, "is no address and port: " + text);
  return *parsed;
}

std::uint64_t read_seed(const Fields& f) {
  const auto text = f.text("seed");
  std::uint64_t seed = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || fault != std::errc{} || end != text.data() + text.size())
    f.fail("seed", "is no number in hex of 64 bits");
  return seed;
}

}  // namespace

CoordinatorConfig parse_coordinator_config(const std::string& text, const Environment& environment) {
  const Json value = Json::parse(text);
  const Fields f{value, "config"};
  CoordinatorConfig c;
  c.name = f.has("name") ? f.text("name") : environment("GW_NAME").value_or("coordinator");
  c.listen = endpoint(f, "listen", "GW_LISTEN", environment);
  c.discovery = endpoint(f, "discovery", "GW_DISCOVERY", environment);
  c.seed = read_seed(f);
  if (const auto limits = f.optional_object("limits"); limits && limits->has("sockets"))
    c.sockets = limits->unsigned_integer("sockets", 1U << 20U);
  if (f.has("known")) c.known = discovery::read_backend_list(value.at("known"), "config.known");
  const Fields settings = f.object("settings");
  c.settings = read_settings(settings);
  c.labels = read_id_names(settings);
  c.settings_text = value.at("settings").dump();
  return c;
}

CoordinatorConfig read_coordinator_config(const Environment& environment) {
  const auto path = environment("GW_CONFIG");
  if (!path || path->empty())
    throw std::runtime_error{"GW_CONFIG is not set: it names the configuration file"};
  std::ifstream file{*path};
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error{*path + ": can't be read"};
  try {
    return parse_coordinator_config(text.str(), environment);
  } catch (const std::exception& fault) {
    throw std::runtime_error{*path + ": " + fault.what()};
  }
}

}  // namespace gorsemount::app
