#include "foxtailspread/utf8.h"

#include <cstddef>
#include <cstdint>

namespace foxtailspread {
namespace {

constexpr uint32_t kFirstSurrogate = 0xd800;
constexpr uint32_t kLastSurrogate = 0xdfff;
constexpr uint32_t kLastCharacter = 0x10ffff;

/// Returns how many bytes the character at the start of `text` takes; 0 if
/// there is none.
size_t CharacterBytes(std::string_view text) {
  const auto first = static_cast<uint8_t>(text.front());
  if (first < 0x80) {
    return 1;
  }
  const size_t bytes = (first & 0xe0U) == 0xc0   ? 2
                       : (first & 0xf0U) == 0xe0 ? 3
                       : (first & 0xf8U) == 0xf0 ? 4
                                                 : 0;
  if (bytes == 0 || text.size() < bytes) {
    return 0;
  }
  uint32_t character = first & (0x7fU >> bytes);
  for (const char byte : text.substr(1, bytes - 1)) {
    const auto next = static_cast<uint8_t>(byte);
    if ((next & 0xc0U) != 0x80) {
      return 0;
    }
    character = character << 6U | (next & 0x3fU);
  }
  const uint32_t least = bytes == 2 ? 0x80 : bytes == 3 ? 0x800 : 0x10000;
  const bool is_surrogate =
      character >= kFirstSurrogate && character <= kLastSurrogate;
  return character < least || character > kLastCharacter || is_surrogate
             ? 0
             : bytes;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const size_t bytes = CharacterBytes(text);
    if (bytes == 0) {
      return false;
    }
    text.remove_prefix(bytes);
  }
  return true;
}

}  // namespace foxtailspread
