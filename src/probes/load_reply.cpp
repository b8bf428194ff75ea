#include "probes/load_reply.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gorsemount::probes {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kCountsMost = 20000;           // operations times sources; more is no worker of ours
constexpr std::uint64_t kCounterMost = 1ULL << 53U;  // beyond it a JSON number is not exact

struct Unfit : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const Json& need(const Json& in, const char* key, const std::string& where) {
  const auto it = in.find(key);
  if (it == in.end()) throw Unfit{where + "'" + key + "' is missing"};
  return *it;
}

double number(const Json& value, const char* key, const std::string& where) {
  if (!value.is_number()) throw Unfit{where + "'" + key + "' is not a number"};
  return value.get<double>();
}

std::uint64_t counter(const Json& in, const char* key, const std::string& where) {
  const Json& value = need(in, key, where);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > kCounterMost)
    throw Unfit{where + "'" + key + "' is not a whole number from 0"};
  return value.get<std::uint64_t>();
}

std::optional<double> maybe(const Json& in, const char* key) {
  const auto it = in.find(key);
  if (it == in.end() || it->is_null()) return {};
  return number(*it, key, "");
}

coordinator::LoadSample::Count read_count(const Json& in, const std::string& where,
                                          const std::vector<coordinator::OperationInfo>& operations,
                                          bool& known) {
  if (!in.is_object()) throw Unfit{where + "is not an object"};
  coordinator::LoadSample::Count c;
  const Json& name = need(in, "operation", where);
  if (!name.is_string()) throw Unfit{where + "'operation' is not a string"};
  known = false;
  for (std::size_t k = 0; k < operations.size() && !known; ++k)
    if (operations[k].name == name.get_ref<const std::string&>())
      known = true, c.operation = OperationId{static_cast<std::uint8_t>(k)};
  const Json& source = need(in, "source", where);
  const auto prefix = source.is_string() ? Prefix::parse(source.get<std::string>()) : std::nullopt;
  if (!prefix) throw Unfit{where + "'source' is not an address prefix"};
  c.source = *prefix;
  c.taken = counter(in, "taken", where), c.succeeded = counter(in, "succeeded", where);
  c.errored = counter(in, "errored", where), c.refused = counter(in, "refused", where);
  c.latency = number(need(in, "latency_s", where), "latency_s", where);
  return c;
}

}  // namespace

std::variant<coordinator::LoadSample, std::string> read_load(
    const std::string& text, const std::vector<coordinator::OperationInfo>& operations) {
  const Json in = Json::parse(text, nullptr, false);
  if (in.is_discarded()) return std::string{"is not JSON"};
  if (!in.is_object()) return std::string{"is not a JSON object"};
  try {
    coordinator::LoadSample sample;
    const Json& boot = need(in, "boot", "");
    if (!boot.is_string() || boot.get_ref<const std::string&>().empty() ||
        boot.get_ref<const std::string&>().size() > 200)
      return std::string{"'boot' is not a string of 1 to 200 characters"};
    sample.boot = boot.get<std::string>();
    sample.uptime = number(need(in, "uptime_s", ""), "uptime_s", "");
    if (const auto state = in.find("state"); state != in.end()) {
      if (*state != "ready" && *state != "draining")
        return std::string{"'state' is neither ready nor draining"};
      sample.draining = *state == "draining";
    }
    sample.util = maybe(in, "util"), sample.queue = maybe(in, "queue");
    if (const auto counts = in.find("counts"); counts != in.end()) {
      if (!counts->is_array() || counts->size() > kCountsMost)
        return std::string{"'counts' is not a list of 20000 at most"};
      for (std::size_t k = 0; k < counts->size(); ++k) {
        bool known = false;
        auto count = read_count((*counts)[k], "counts[" + std::to_string(k) + "]: ", operations, known);
        if (known) sample.counts.push_back(std::move(count));
      }
    }
    return sample;
  } catch (const Unfit& fault) {
    return std::string{fault.what()};
  }
}

}  // namespace gorsemount::probes
