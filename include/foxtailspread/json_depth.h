#ifndef FOXTAILSPREAD_JSON_DEPTH_H_
#define FOXTAILSPREAD_JSON_DEPTH_H_

/// @file
/// The bound on the nesting of values that others write.
///
/// The JSON library parses a text without recursion, but reads MessagePack,
/// copies, compares and writes values by recursion: a value that is nested
/// deeply enough overflows the stack.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace foxtailspread {

/// Objects and lists within one another in the content of a stored object. The
/// declarations, the deepest content that is read, have 8; the rest is for
/// fields that are not known.
inline constexpr size_t kMaxContentDepth = 256;

/// The same in a message between hosts, which may hold the content of an object
/// in a list.
inline constexpr size_t kMaxMessageDepth = kMaxContentDepth + 1;

/// Returns whether at most `max_depth` objects and lists of the JSON `text` lie
/// within one another.
bool IsNestedWithin(std::string_view text, size_t max_depth);

/// Parses JSON. Returns a discarded value if `text` is none or nested deeper
/// than `max_depth`.
nlohmann::json ParseNestedWithin(std::string_view text, size_t max_depth);

/// Reads a value in MessagePack. Returns a discarded value if `bytes` are none
/// or nested deeper than `max_depth`.
nlohmann::json ReadMessagePack(std::string_view bytes, size_t max_depth);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_JSON_DEPTH_H_
