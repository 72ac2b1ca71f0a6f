#ifndef FOXTAILSPREAD_CORE_JSON_VALUES_H_
#define FOXTAILSPREAD_CORE_JSON_VALUES_H_

/// @file
/// JSON conversions of types that the JSON library does not know.

#include <nlohmann/json.hpp>
#include <optional>

#include "foxtailspread/time.h"

namespace nlohmann {

template <>
struct adl_serializer<foxtailspread::duration> {
  static void to_json(json& value, const foxtailspread::duration& d) {
    value = d.count();
  }
  static void from_json(const json& value, foxtailspread::duration& d) {
    d = foxtailspread::duration{value.get<int64_t>()};
  }
};

template <typename T>
struct adl_serializer<std::optional<T>> {
  static void to_json(json& value, const std::optional<T>& optional) {
    value = optional ? json(*optional) : json(nullptr);
  }
  static void from_json(const json& value, std::optional<T>& optional) {
    optional = value.is_null() ? std::optional<T>{} : value.get<T>();
  }
};

}  // namespace nlohmann

#endif  // FOXTAILSPREAD_CORE_JSON_VALUES_H_
