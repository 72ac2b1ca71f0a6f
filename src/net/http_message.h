#ifndef FOXTAILSPREAD_NET_HTTP_MESSAGE_H_
#define FOXTAILSPREAD_NET_HTTP_MESSAGE_H_

/// @file
/// HTTP/1.1 messages and an incremental parser over libhttp-parser.
///
/// libsoup is the house's HTTP library and serves the interfaces that are not
/// on the path of every request. It cannot say whether a byte of a request was
/// written, repeats a request by itself on some answers, and costs about 0.8
/// ms of processor time a request where this parser costs a tenth, so the path
/// between callers and targets uses its nearest kin.

#include <http_parser.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_chunk.h"
#include "net/http_head.h"
#include "net/http_types.h"
#include "net/shared_body.h"

namespace foxtailspread {

/// A request or an answer, whole in memory.
struct http_message {
  std::string method{};  ///< Of a request.
  std::string target{};  ///< Of a request: path and query as sent.
  int status = 0;        ///< Of an answer.
  std::vector<http_header> headers{};
  std::string body{};
  bool keep_alive = true;  ///< The sender keeps the connection open.
  /// The body ended with the connection: nothing else marks its end.
  bool ended_by_close = false;
  /// The body of a request if it is large; `body` is empty then.
  body_ptr large_body{};

  /// Returns the body, wherever it is.
  std::string_view Body() const {
    return large_body ? large_body->bytes() : std::string_view{body};
  }

  /// Returns the first value of the header `name`, in any case of letters.
  std::optional<std::string_view> Header(std::string_view name) const;
};

/// Whether the header concerns one connection only and is not passed on.
bool IsHopHeader(std::string_view name);

/// Whether `header` is named by the message's Connection header.
bool IsNamedByConnection(const http_message& message, std::string_view name);

/// What a parser refuses.
struct http_parse_limits {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = size_t{1} << 20;
};

/// Why a parser stopped.
enum class http_parse_error {
  kNone,
  kMalformed,
  kUnsupported,  ///< A transfer coding other than chunked.
  kCutShort,     ///< The connection ended within a message.
  kHeadersTooLarge,
  kBodyTooLarge,
};

/// Cuts a stream of bytes into messages. What is no head of HTTP/1.1, or no
/// body in chunks, is an error at its first wrong byte, or at its end where
/// only the whole tells.
///
/// @code
/// http_reader reader(HTTP_REQUEST, limits);
/// if (!reader.Feed(bytes)) return Refuse(reader.error());
/// while (auto message = reader.Take()) Handle(std::move(*message));
/// @endcode
class http_reader {
 public:
  http_reader(http_parser_type type, http_parse_limits limits);
  http_reader(const http_reader&) = delete;
  http_reader& operator=(const http_reader&) = delete;

  /// Parses more bytes. False after an error; nothing more is read then.
  bool Feed(std::string_view bytes);

  /// Tells that the peer ended its side in order. Completes an answer whose
  /// end is the end of the connection; false when a message is cut short.
  bool FeedEnd();

  /// Takes the next whole message, if any.
  std::optional<http_message> Take();

  /// Forgets the message under way. Nothing more may be fed.
  void Drop();

  /// The next answer belongs to a HEAD request and has no body.
  void ExpectNoBody(bool none) { no_body_ = none; }

  /// True when bytes of a message that is not whole have arrived.
  bool in_message() const { return in_message_; }
  /// Bytes kept of the message under way.
  size_t buffered() const { return header_bytes_ + current_.body.size(); }
  /// Bytes of these that belong to its body.
  size_t body_size() const { return current_.body.size(); }
  /// Bytes that the message under way is known to need: those announced too.
  size_t announced() const {
    return header_bytes_ + std::max(current_.body.size(), body_bytes_);
  }
  /// True when the headers of the message under way state its length.
  bool has_length() const { return body_bytes_ > 0; }
  /// True when the headers of the message under way are through.
  bool headers_done() const { return headers_done_; }
  /// True when the message under way announced that it waits for 100.
  bool expects_continue();
  http_parse_error error() const { return error_; }
  /// What is wrong with bytes that are no message, as logs name it; "" unless
  /// the error is kMalformed or kUnsupported.
  std::string_view problem() const;
  void set_limits(http_parse_limits limits) { limits_ = limits; }

 private:
  static const http_parser_settings& Callbacks();
  static http_reader& Self(http_parser* parser);
  int OnBegin();
  int OnField(std::string_view part);
  int OnValue(std::string_view part);
  int OnHeaders();
  int OnChunk();
  int OnBody(std::string_view part);
  int OnComplete();
  bool AddHeaderBytes(size_t count);
  bool IsBodiless() const;
  bool IsOpenEnded() const;
  message_problem CheckHead() const;
  /// Tells the library how the message is framed.
  void SetChunked(bool chunked);
  void OnProblem(message_problem problem);
  /// Parses bytes of the part that the first one belongs to. Returns how many.
  size_t ParsePart(std::string_view bytes);
  /// The same for bytes of which some were checked.
  size_t ParseChecked(std::string_view bytes, const checked_bytes& checked);
  size_t ParseChunkData(std::string_view bytes);
  /// Hands checked bytes of lines to the library, without the white space at
  /// their ends, of which it knows spaces only.
  void ParseLines(std::string_view bytes);
  /// What is wrong with bytes that the library refuses; kNone if its own name
  /// says it best.
  message_problem ProblemOf(http_errno error) const;
  /// Hands bytes to the library. Returns how many it has read.
  size_t Parse(std::string_view bytes);

  /// Where the next byte belongs.
  enum class message_part : uint8_t {
    kHead,
    kBody,
    kChunkLine,  ///< With the end of the data of the chunk before.
    kChunkData,
    kTrailers
  };

  http_parser parser_;
  head_syntax syntax_;
  chunk_syntax chunks_;
  message_part part_ = message_part::kHead;
  message_problem problem_ = message_problem::kNone;
  std::string held_spaces_;  ///< Spaces and tabs that may end a line.
  http_parse_limits limits_;
  http_message current_;
  std::vector<http_message> done_;
  size_t taken_ = 0;
  size_t header_bytes_ = 0;
  size_t body_bytes_ = 0;  ///< As the headers state; 0 if they do not.
  bool last_was_value_ = true;
  bool in_message_ = false;
  bool headers_done_ = false;
  bool no_body_ = false;
  bool asked_continue_ = false;
  http_parse_error error_ = http_parse_error::kNone;
};

/// Writes a request with its headers as they are and a Content-Length; none
/// for a bodiless method without a body. A large body is left out, to be
/// written behind the rest. What no target may hold is percent-encoded, what
/// no value may hold becomes a space, and a header whose name is no token is
/// left out.
std::string FormatRequest(const http_message& request);

/// Writes an answer likewise. One that already has a Content-Length is sent
/// without its body, and so is the answer to a HEAD request (`head`), which
/// states the length of the body that is left out if it is known. One whose
/// status is none of a final answer is written as 500, without its fields.
std::string FormatAnswer(const http_message& answer, bool close,
                         bool head = false);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_HTTP_MESSAGE_H_
