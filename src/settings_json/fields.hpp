// Reads the fields of JSON objects; what is missing or of another form is named with its place.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "core/time.hpp"

namespace gorsemount {

using Json = nlohmann::json;

// A message that lacks what it must have, or holds it in another form; says what and where.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the fields of one object; `where` names it in messages.
class Fields {
 public:
  Fields(const Json& object, std::string where);

  [[nodiscard]] double number(const char* key) const;
  [[nodiscard]] std::optional<double> optional_number(const char* key) const;
  [[nodiscard]] std::uint64_t unsigned_integer(const char* key, std::uint64_t most) const;
  [[nodiscard]] std::optional<bool> optional_flag(const char* key) const;
  [[nodiscard]] bool flag(const char* key) const;
  [[nodiscard]] std::string text(const char* key) const;
  [[nodiscard]] const Json& array(const char* key) const;
  [[nodiscard]] bool has(const char* key) const { return find(key) != nullptr; }
  [[nodiscard]] Fields object(const char* key) const;
  [[nodiscard]] std::optional<Fields> optional_object(const char* key) const;
  [[nodiscard]] Span span(const char* key) const { return Span::seconds(number(key)); }
  [[noreturn]] void fail(const char* key, const std::string& what) const;

 private:
  [[nodiscard]] const Json* find(const char* key) const;  // null and absent alike: nullptr
  [[nodiscard]] const Json& need(const char* key) const;

  const Json* object_;
  std::string where_;
};

}  // namespace gorsemount
