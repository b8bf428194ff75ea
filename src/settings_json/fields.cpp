#include "settings_json/fields.hpp"

#include <cmath>
#include <utility>

namespace gorsemount {

Fields::Fields(const Json& object, std::string where) : object_{&object}, where_{std::move(where)} {
  if (!object.is_object()) throw FieldError(where_ + ": is not an object");
}

void Fields::fail(const char* key, const std::string& what) const {
  throw FieldError(where_ + ": '" + key + "' " + what);
}

const Json* Fields::find(const char* key) const {
  const auto it = object_->find(key);
  return it == object_->end() || it->is_null() ? nullptr : &*it;
}

const Json& Fields::need(const char* key) const {
  const Json* value = find(key);
  if (value == nullptr) fail(key, "is missing");
  return *value;
}

double Fields::number(const char* key) const {
  const Json& value = need(key);
  if (!value.is_number()) fail(key, "is not a number");
  return value.get<double>();
}

std::optional<double> Fields::optional_number(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{number(key)};
}

std::uint64_t Fields::unsigned_integer(const char* key, std::uint64_t most) const {
  const Json& value = need(key);
  std::uint64_t result = 0;
  if (value.is_number_unsigned()) {
    result = value.get<std::uint64_t>();
  } else if (value.is_number_float()) {  // 3.0 is a whole number too
    const auto real = value.get<double>();
    if (!(real >= 0 && real < 0x1p53 && real == std::floor(real))) fail(key, "is not a whole number from 0");
    result = static_cast<std::uint64_t>(real);
  } else {
    fail(key, "is not a whole number from 0");
  }
  if (result > most) fail(key, "is above " + std::to_string(most));
  return result;
}

bool Fields::flag(const char* key) const {
  const Json& value = need(key);
  if (!value.is_boolean()) fail(key, "is neither true nor false");
  return value.get<bool>();
}

std::optional<bool> Fields::optional_flag(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{flag(key)};
}

std::string Fields::text(const char* key) const {
  const Json& value = need(key);
  if (!value.is_string()) fail(key, "is not a text");
  return value.get<std::string>();
}

const Json& Fields::array(const char* key) const {
  const Json& value = need(key);
  if (!value.is_array()) fail(key, "is not an array");
  return value;
}

Fields Fields::object(const char* key) const { return Fields{need(key), where_ + "." + key}; }

std::optional<Fields> Fields::optional_object(const char* key) const {
  return find(key) == nullptr ? std::nullopt : std::optional{object(key)};
}

}  // namespace gorsemount
