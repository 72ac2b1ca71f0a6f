#ifndef FOXTAILSPREAD_NET_HTTP_HEAD_H_
#define FOXTAILSPREAD_NET_HTTP_HEAD_H_

/// @file
/// What counts as the head of an HTTP/1.1 message: the syntax of its bytes and
/// the rules on the fields that frame and address it. The parser library is
/// built lenient and is fed only what passes here.
///
/// Sources: RFC 9112 sections 2 to 7, RFC 9110 sections 5, 7.2 and 15. Of what
/// they leave to the recipient, a line may end with LF alone and a status line
/// may lack the space before an empty reason phrase; a space before the colon
/// and a folded line are refused in both directions.

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "net/http_types.h"
#include "net/message_problem.h"

namespace foxtailspread {

/// The statuses that an answer may have.
inline constexpr int kMinHttpStatus = 100;
inline constexpr int kMinFinalHttpStatus = 200;
inline constexpr int kMaxHttpStatus = 599;

/// Whether two header names are the same.
bool SameHeader(std::string_view a, std::string_view b);

/// Returns `text` without spaces and tabs at its ends.
std::string_view TrimSpaces(std::string_view text);

/// Returns `text` without spaces and tabs at its end.
std::string_view TrimSpacesBehind(std::string_view text);

/// Whether `text` may be the name of a field.
bool IsToken(std::string_view text);

bool IsTokenCharacter(char c);
bool IsHexDigit(char c);
/// Whether `c` is a space or a tab.
bool IsSpace(char c);

/// Whether `c` may be part of the target of a request.
bool IsTargetCharacter(char c);

/// Whether `c` may be part of the value of a field.
bool IsFieldValueCharacter(char c);

/// Checks how the fields of a head frame its message. `minor_version` is that
/// of HTTP/1.x.
message_problem CheckFraming(std::span<const http_header> fields,
                             int minor_version);

/// Checks that the fields of a request name one host.
message_problem CheckHost(std::span<const http_header> fields,
                          int minor_version);

/// Checks the target of a request, whose characters are known to be allowed.
message_problem CheckRequestTarget(std::string_view method,
                                   std::string_view target);

/// Checks the syntax of heads and trailer sections while their bytes arrive.
///
/// @code
/// const checked_bytes part = syntax.Check(bytes);
/// if (part.problem != message_problem::kNone) return Refuse(part.problem);
/// Parse(bytes.substr(0, part.size));
/// if (part.is_last) ...  // The rest of the bytes belongs to the body.
/// @endcode
class head_syntax {
 public:
  explicit head_syntax(http_parser_type type) : type_(type) { BeginMessage(); }

  /// The next byte begins a message.
  void BeginMessage();
  /// The next byte begins the trailer section of a body in chunks.
  void BeginTrailers() { next_ = part::kLine; }

  /// Checks bytes up to the end of the head. After it or after a problem, no
  /// byte is right.
  checked_bytes Check(std::string_view bytes);

 private:
  /// Where the next byte belongs.
  enum class part : uint8_t {
    kBlankLine,  ///< Ahead of a request.
    kBlankLineEnd,
    kMethod,
    kTarget,
    kVersion,
    kAfterVersion,
    kStatusCode,
    kAfterStatusCode,
    kReasonPhrase,
    kLine,  ///< At the beginning of a field line or of the last, empty one.
    kName,
    kValue,
    kLineEnd,  ///< After CR.
    kHeadEnd,  ///< After the CR of the empty line.
    kNothing,
  };

  /// Returns where the run of characters ends that a name or value may have.
  size_t SkipRun(std::string_view bytes, size_t at) const;
  message_problem Take(char c);
  message_problem TakeBlankLine(char c);
  message_problem TakeVersion(char c);
  message_problem TakeAfterVersion(char c);
  message_problem TakeStatusCode(char c);
  message_problem TakeLine(char c);
  /// Moves on if `c` ends a line; false otherwise.
  bool TakeLineEnd(char c);
  message_problem MoveIf(bool is_right, part next, message_problem problem);

  http_parser_type type_;
  part next_ = part::kNothing;
  size_t taken_ = 0;  ///< Bytes of the method, target, version or status code.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_HTTP_HEAD_H_
