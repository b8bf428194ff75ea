#include "discovery/backend_list.hpp"

#include <cmath>

#include "settings_json/fields.hpp"

namespace gorsemount::discovery {

namespace {

constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 53U;

Row read_row(const Fields& fields) {
  Row row;
  row.host = fields.text("host");
  // The host name is copied into `update` messages unescaped, so it must not contain their separators.
  if (row.host.empty() || row.host.size() > 256 || row.host.find_first_of(" ,:=\r\n\t+") != std::string::npos)
    fields.fail("host", "is not a valid host name");
  const auto health = fields.text("health");
  if (health == "Terminating") {
    row.health = Health::draining;
  } else if (health == "Gone") {
    row.health = Health::gone;
  } else if (health != "Ready") {
    fields.fail("health", "is not known: " + health);
  }
  if (row.health == Health::gone) return row;  // the other fields are optional for a removed backend
  row.zone = fields.text("site");
  row.weight = fields.optional_number("share").value_or(1);
  if (!std::isfinite(row.weight) || row.weight < 0) fields.fail("share", "is below 0");
  const double started_ms = fields.optional_number("born_ms").value_or(0);
  if (!(started_ms >= 0 && started_ms < 0x1p53)) fields.fail("born_ms", "is not a Unix time in milliseconds");
  row.started_ms = static_cast<std::int64_t>(started_ms);
  return row;
}

}  // namespace

BackendList read_backend_list(const nlohmann::json& value, const std::string& path) {
  const Fields fields{value, path};
  BackendList list;
  list.version = fields.unsigned_integer("seq", kMaxVersion);
  list.full = fields.flag("whole");
  const Json& hosts = fields.array("hosts");
  list.rows.reserve(hosts.size());
  for (std::size_t index = 0; index < hosts.size(); ++index)
    list.rows.push_back(read_row(Fields{hosts[index], path + ".hosts[" + std::to_string(index) + "]"}));
  return list;
}

BackendList read_backend_list(std::string_view text) {
  return read_backend_list(nlohmann::json::parse(text), "list");
}

}  // namespace gorsemount::discovery
