#include "probes/load_reply.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gorsemount::probes {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxCounts = 20000;           // operations times sources, well above any real worker
constexpr std::uint64_t kMaxCounter = 1ULL << 53U;  // larger integers are not exact in a JSON number

struct FormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const Json& required(const Json& object, const char* key, const std::string& context) {
  const auto it = object.find(key);
  if (it == object.end()) throw FormatError{context + "'" + key + "' is missing"};
  return *it;
}

double number(const Json& value, const char* key, const std::string& context) {
  if (!value.is_number()) throw FormatError{context + "'" + key + "' is not a number"};
  return value.get<double>();
}

std::uint64_t counter(const Json& object, const char* key, const std::string& context) {
  const Json& value = required(object, key, context);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > kMaxCounter)
    throw FormatError{context + "'" + key + "' is not a non-negative integer"};
  return value.get<std::uint64_t>();
}

std::optional<double> optional_number(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return {};
  return number(*it, key, "");
}

coordinator::LoadSample::Count parse_count(const Json& object, const std::string& context,
                                           const std::vector<coordinator::OperationInfo>& operations,
                                           bool& known) {
  if (!object.is_object()) throw FormatError{context + "is not an object"};
  coordinator::LoadSample::Count count;
  const Json& name = required(object, "operation", context);
  if (!name.is_string()) throw FormatError{context + "'operation' is not a string"};
  known = false;
  for (std::size_t index = 0; index < operations.size() && !known; ++index)
    if (operations[index].name == name.get_ref<const std::string&>())
      known = true, count.operation = OperationId{static_cast<std::uint8_t>(index)};
  const Json& source = required(object, "source", context);
  const auto prefix = source.is_string() ? Prefix::parse(source.get<std::string>()) : std::nullopt;
  if (!prefix) throw FormatError{context + "'source' is not an address prefix"};
  count.source = *prefix;
  count.taken = counter(object, "taken", context), count.succeeded = counter(object, "succeeded", context);
  count.errored = counter(object, "errored", context), count.refused = counter(object, "refused", context);
  count.latency = number(required(object, "latency_s", context), "latency_s", context);
  return count;
}

}  // namespace

std::variant<coordinator::LoadSample, std::string> parse_load_reply(
    const std::string& text, const std::vector<coordinator::OperationInfo>& operations) {
  const Json object = Json::parse(text, nullptr, false);
  if (object.is_discarded()) return std::string{"is not JSON"};
  if (!object.is_object()) return std::string{"is not a JSON object"};
  try {
    coordinator::LoadSample sample;
    const Json& boot = required(object, "boot", "");
    if (!boot.is_string() || boot.get_ref<const std::string&>().empty() ||
        boot.get_ref<const std::string&>().size() > 200)
      return std::string{"'boot' is not a string of 1 to 200 characters"};
    sample.boot = boot.get<std::string>();
    sample.uptime = number(required(object, "uptime_s", ""), "uptime_s", "");
    if (const auto state = object.find("state"); state != object.end()) {
      if (*state != "ready" && *state != "draining")
        return std::string{"'state' is neither ready nor draining"};
      sample.draining = *state == "draining";
    }
    sample.util = optional_number(object, "util"), sample.queue = optional_number(object, "queue");
    if (const auto counts = object.find("counts"); counts != object.end()) {
      if (!counts->is_array() || counts->size() > kMaxCounts)
        return std::string{"'counts' is not a list of at most 20000 entries"};
      for (std::size_t index = 0; index < counts->size(); ++index) {
        bool known = false;
        auto count =
            parse_count((*counts)[index], "counts[" + std::to_string(index) + "]: ", operations, known);
        if (known) sample.counts.push_back(count);
      }
    }
    return sample;
  } catch (const FormatError& fault) {
    return std::string{fault.what()};
  }
}

}  // namespace gorsemount::probes
