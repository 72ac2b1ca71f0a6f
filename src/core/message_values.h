#ifndef FOXTAILSPREAD_CORE_MESSAGE_VALUES_H_
#define FOXTAILSPREAD_CORE_MESSAGE_VALUES_H_

/// @file
/// Checked reading of the values of a message between hosts. The JSON library's
/// own conversions cut numbers to size and take any bytes for text. All throw
/// the library's exceptions, which ParseHostMessage turns into an error.

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace foxtailspread {

[[noreturn]] void ThrowOutOfRange(const nlohmann::json& value);

/// Reads a whole number from 0 to `most`.
template <std::integral T>
T ReadWhole(const nlohmann::json& value,
            T most = std::numeric_limits<T>::max()) {
  const bool is_whole =
      value.is_number_unsigned() ||
      (value.is_number_integer() && value.get<int64_t>() >= 0);
  if (!is_whole || value.get<uint64_t>() > static_cast<uint64_t>(most)) {
    ThrowOutOfRange(value);
  }
  return static_cast<T>(value.get<uint64_t>());
}

/// Reads a finite number from 0 on.
double ReadAmount(const nlohmann::json& value);

/// Reads UTF-8.
std::string ReadText(const nlohmann::json& value);
std::vector<std::string> ReadTexts(const nlohmann::json& list);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CORE_MESSAGE_VALUES_H_
