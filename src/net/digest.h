#ifndef FOXTAILSPREAD_NET_DIGEST_H_
#define FOXTAILSPREAD_NET_DIGEST_H_

/// @file
/// Digests and escapes of what travels in HTTP headers.

#include <string>
#include <string_view>

namespace foxtailspread {

/// Returns the SHA-256 of `text` in lower-case hex.
std::string Sha256Hex(std::string_view text);

/// Returns `text` with everything escaped that a header cannot hold.
std::string EscapeHeader(std::string_view text);

/// Undoes EscapeHeader; text that is not well escaped becomes empty.
std::string UnescapeHeader(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_DIGEST_H_
