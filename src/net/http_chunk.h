#ifndef FOXTAILSPREAD_NET_HTTP_CHUNK_H_
#define FOXTAILSPREAD_NET_HTTP_CHUNK_H_

/// @file
/// What frames the chunks of an HTTP/1.1 body: their sizes, their extensions
/// and the line ends behind their data. The parser library skips most of it
/// unread and is fed only what passes here.
///
/// Source: RFC 9112 section 7.1. White space that it calls bad is accepted
/// where it allows it, within extensions.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "net/message_problem.h"

namespace foxtailspread {

/// Checks the bytes between the data of chunks while they arrive.
///
/// @code
/// syntax.BeginFirst();
/// checked_bytes line = syntax.Check(bytes);
/// ...  // As many bytes of data as the line states.
/// syntax.BeginNext();
/// @endcode
class chunk_syntax {
 public:
  /// The next byte begins the line of the first chunk.
  void BeginFirst() { next_ = part::kFirstDigit; }
  /// The next byte begins the line end behind the data of a chunk.
  void BeginNext() { next_ = part::kDataEnd; }

  /// Checks bytes up to the end of the line of a chunk. After it or after a
  /// problem, no byte is right.
  checked_bytes Check(std::string_view bytes);

 private:
  /// Where the next byte belongs.
  enum class part : uint8_t {
    kDataEnd,
    kDataLineEnd,  ///< After CR.
    kFirstDigit,
    kSize,
    kAfterSpace,  ///< Of an extension; only another one may follow.
    kBeforeName,
    kName,
    kAfterName,
    kBeforeValue,
    kToken,
    kQuoted,
    kQuotedPair,  ///< After a backslash.
    kAfterQuoted,
    kLineEnd,  ///< After CR.
    kNothing,
  };

  message_problem Take(char c);
  message_problem TakeSize(char c);
  message_problem TakeName(char c);
  message_problem TakeValue(char c);
  message_problem TakeQuoted(char c);
  /// Moves to the end of the line, to the next extension, or to the white space
  /// in front of it.
  message_problem TakeEnd(char c);
  message_problem MoveIf(bool is_right, part next, message_problem problem);

  part next_ = part::kNothing;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_HTTP_CHUNK_H_
