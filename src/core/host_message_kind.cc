#include "foxtailspread/host_messages.h"

namespace foxtailspread {

std::string_view HostMessageKind(std::string_view bytes) {
  // A message is an array of fewer than 16 values, and the first of them a
  // string of fewer than 32 bytes, the tag.
  constexpr uint8_t kShortString = 0xa0;
  constexpr uint8_t kLengthMask = 0x1f;
  if (bytes.size() < 2) {
    return "";
  }
  const auto head = static_cast<uint8_t>(bytes[1]);
  const size_t length = head & kLengthMask;
  const bool is_tag =
      (head & ~kLengthMask) == kShortString && bytes.size() >= 2 + length;
  return is_tag ? bytes.substr(2, length) : std::string_view{};
}

}  // namespace foxtailspread
