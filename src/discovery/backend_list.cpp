#include "discovery/backend_list.hpp"

#include <cmath>

#include "settings_json/fields.hpp"

namespace gorsemount::discovery {

namespace {

constexpr std::uint64_t kVersionMost = std::uint64_t{1} << 53U;

Row read_row(const Fields& f) {
  Row row;
  row.host = f.text("host");
  // It is written into orders as it stands, so it must not hold what divides their words.
  if (row.host.empty() || row.host.size() > 256 || row.host.find_first_of(" ,:=\r\n\t+") != std::string::npos)
    f.fail("host", "is no name of a backend");
  const auto health = f.text("health");
  if (health == "Terminating") {
    row.health = Health::draining;
  } else if (health == "Gone") {
    row.health = Health::gone;
  } else if (health != "Ready") {
    f.fail("health", "is not known: " + health);
  }
  if (row.health == Health::gone) return row;  // of one that is gone no more is needed
  row.zone = f.text("site");
  row.weight = f.optional_number("share").value_or(1);
  if (!std::isfinite(row.weight) || row.weight < 0) f.fail("share", "is below 0");
  const double started = f.optional_number("born_ms").value_or(0);
  if (!(started >= 0 && started < 0x1p53)) f.fail("born_ms", "is no Unix time");
  row.started_ms = static_cast<std::int64_t>(started);
  return row;
}

}  // namespace

BackendList read_backend_list(const nlohmann::json& value, const std::string& where) {
  const Fields f{value, where};
  BackendList listing;
  listing.version = f.unsigned_integer("seq", kVersionMost);
  listing.whole = f.flag("whole");
  const Json& hosts = f.array("hosts");
  listing.rows.reserve(hosts.size());
  for (std::size_t k = 0; k < hosts.size(); ++k)
    listing.rows.push_back(read_row(Fields{hosts[k], where + ".hosts[" + std::to_string(k) + "]"}));
  return listing;
}

BackendList read_backend_list(std::string_view text) {
  return read_backend_list(nlohmann::json::parse(text), "list");
}

}  // namespace gorsemount::discovery
