#ifndef FOXTAILSPREAD_CORE_NAMED_VALUE_H_
#define FOXTAILSPREAD_CORE_NAMED_VALUE_H_

/// @file
/// Parsing of enumerators by the names that ToString gives them.

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/nearest_name.h"

namespace foxtailspread {

/// Finds the value whose ToString is `text` among `values`.
template <typename T, size_t kCount>
result<T> ParseByName(std::string_view text,
                      const std::array<T, kCount>& values) {
  std::vector<std::string> names;
  names.reserve(kCount);
  for (const T value : values) {
    if (ToString(value) == text) {
      return value;
    }
    names.emplace_back(ToString(value));
  }
  return error{error_code::kUnknownName, "",
               Quoted(text) + " is not one of the known words",
               KnownNameRemedy(text, names)};
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CORE_NAMED_VALUE_H_
