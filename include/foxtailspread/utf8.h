#ifndef FOXTAILSPREAD_UTF8_H_
#define FOXTAILSPREAD_UTF8_H_

/// @file
/// Whether bytes from outside are text.

#include <string_view>

namespace foxtailspread {

/// Returns whether `text` is UTF-8. The JSON library throws when it writes any
/// other text.
bool IsUtf8(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_UTF8_H_
