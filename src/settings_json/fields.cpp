#include "settings_json/fields.hpp"

#include <cmath>
#include <utility>

namespace gorsemount {

Fields::Fields(const Json& object, std::string path) : object_{&object}, path_{std::move(path)} {
  if (!object.is_object()) throw FieldError(path_ + ": is not an object");
}

void Fields::fail(const char* key, const std::string& what) const {
  throw FieldError(path_ + ": '" + key + "' " + what);
}

const Json* Fields::find(const char* key) const {
  const auto it = object_->find(key);
  return it == object_->end() || it->is_null() ? nullptr : &*it;
}

const Json& Fields::require(const char* key) const {
  const Json* value = find(key);
  if (value == nullptr) fail(key, "is missing");
  return *value;
}

double Fields::number(const char* key) const {
  const Json& value = require(key);
  if (!value.is_number()) fail(key, "is not a number");
  return value.get<double>();
}

std::optional<double> Fields::optional_number(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{number(key)};
}

std::uint64_t Fields::unsigned_integer(const char* key, std::uint64_t max) const {
  const Json& value = require(key);
  std::uint64_t result = 0;
  if (value.is_number_unsigned()) {
    result = value.get<std::uint64_t>();
  } else if (value.is_number_float()) {  // accepts 3.0 as an integer
    const auto number_value = value.get<double>();
    if (!(number_value >= 0 && number_value < 0x1p53 && number_value == std::floor(number_value)))
      fail(key, "is not a whole number from 0");
    result = static_cast<std::uint64_t>(number_value);
  } else {
    fail(key, "is not a whole number from 0");
  }
  if (result > max) fail(key, "is above " + std::to_string(max));
  return result;
}

bool Fields::flag(const char* key) const {
  const Json& value = require(key);
  if (!value.is_boolean()) fail(key, "is not a boolean");
  return value.get<bool>();
}

std::optional<bool> Fields::optional_flag(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{flag(key)};
}

std::string Fields::text(const char* key) const {
  const Json& value = require(key);
  if (!value.is_string()) fail(key, "is not a string");
  return value.get<std::string>();
}

const Json& Fields::array(const char* key) const {
  const Json& value = require(key);
  if (!value.is_array()) fail(key, "is not an array");
  return value;
}

Fields Fields::object(const char* key) const { return Fields{require(key), path_ + "." + key}; }

std::optional<Fields> Fields::optional_object(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{object(key)};
}

}  // namespace gorsemount
