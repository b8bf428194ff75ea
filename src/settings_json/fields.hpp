// Typed access to the fields of JSON objects. Errors name the path of the field.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "core/time.hpp"

namespace gorsemount {

using Json = nlohmann::json;

// A field is missing or has the wrong type or range; the message names its path.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The fields of one object; `path` names it in error messages.
class Fields {
 public:
  Fields(const Json& object, std::string path);

  [[nodiscard]] double number(const char* key) const;
  [[nodiscard]] std::optional<double> optional_number(const char* key) const;
  [[nodiscard]] std::uint64_t unsigned_integer(const char* key, std::uint64_t max) const;
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
  [[nodiscard]] const Json* find(const char* key) const;  // nullptr if absent or null
  [[nodiscard]] const Json& require(const char* key) const;

  const Json* object_;
  std::string path_;
};

}  // namespace gorsemount
