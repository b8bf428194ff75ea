// The bench's JSON wire to the module's types and back. Wire names end here.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "policy/policy.hpp"

namespace gorsemount::simhost {

using Json = nlohmann::json;

// A message that lacks what it must have, or holds it in another form; says what and where.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the fields of one object; `where` names it in messages.
class Fields {
 public:
  Fields(const Json& object, std::string where);

  [[nodiscard]] double number(const char* key) const;
  [[nodiscard]] std::optional<double> maybe_number(const char* key) const;
  [[nodiscard]] std::uint64_t whole(const char* key, std::uint64_t most) const;
  [[nodiscard]] std::optional<bool> maybe_flag(const char* key) const;
  [[nodiscard]] bool flag(const char* key) const;
  [[nodiscard]] std::string text(const char* key) const;
  [[nodiscard]] const Json& array(const char* key) const;
  [[nodiscard]] Fields object(const char* key) const;
  [[nodiscard]] std::optional<Fields> maybe_object(const char* key) const;
  [[nodiscard]] Span span(const char* key) const { return Span::seconds(number(key)); }
  [[noreturn]] void fail(const char* key, const std::string& what) const;

 private:
  [[nodiscard]] const Json* find(const char* key) const;  // null and absent alike: nullptr
  [[nodiscard]] const Json& need(const char* key) const;

  const Json* object_;
  std::string where_;
};

[[nodiscard]] Settings read_settings(const Fields& config);
[[nodiscard]] std::vector<Listed::Entry> read_entries(const Fields& snapshot);
[[nodiscard]] ListScope read_scope(const Fields& registry);

// One event for a module; nothing for kinds that the module has no use for.
[[nodiscard]] std::optional<Event> read_event(const std::string& kind, const Fields& fields);

[[nodiscard]] Json write_order(std::uint64_t instance, const Order& order);

}  // namespace gorsemount::simhost
