#ifndef FOXTAILSPREAD_NET_MESSAGE_PROBLEM_H_
#define FOXTAILSPREAD_NET_MESSAGE_PROBLEM_H_

/// @file
/// Why bytes are no message of HTTP/1.1.

#include <cstddef>
#include <cstdint>

namespace foxtailspread {

/// What is wrong with a head, or with what frames a body in chunks.
enum class message_problem : uint8_t {
  kNone,
  kMethod,
  kRequestTarget,
  kVersion,
  kStatusCode,
  kReasonPhrase,
  kLineEnding,        ///< CR without LF.
  kFoldedLine,        ///< A line that begins with white space.
  kFieldName,         ///< No token, or something between it and its colon.
  kFieldValue,        ///< A control character.
  kHost,              ///< Missing, repeated or no host.
  kContentLength,     ///< Repeated or no decimal number.
  kTransferCoding,    ///< Leaves the length of the message unclear.
  kUnknownCoding,     ///< A coding other than chunked.
  kSwitchedProtocol,  ///< Status 101, which nobody asked for.
  kChunkSize,         ///< No hexadecimal number.
  kChunkExtension,
  kChunkData  ///< Longer than its size states.
};

/// Returns the name of `problem` in logs; "" for kNone. Names are stable.
const char* ToString(message_problem problem);

/// Bytes that were checked while they arrive.
struct checked_bytes {
  size_t size = 0;       ///< Those that are right.
  bool is_last = false;  ///< They end what is checked.
  message_problem problem =
      message_problem::kNone;  ///< Of the byte behind them.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_MESSAGE_PROBLEM_H_
