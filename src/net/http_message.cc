#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace foxtailspread {
namespace {

constexpr std::array<std::string_view, 9> kHopHeaders = {"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade"};

}  // namespace

bool IsHopHeader(std::string_view name) {
  return std::any_of(
      kHopHeaders.begin(), kHopHeaders.end(),
      [&](std::string_view hop) { return SameHeader(hop, name); });
}

bool IsNamedByConnection(const http_message& message, std::string_view name) {
  for (const http_header& header : message.headers) {
    if (!SameHeader(header.name, "Connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      if (SameHeader(TrimSpaces(rest.substr(0, comma)), name)) {
        return true;
      }
      rest = comma == std::string_view::npos ? std::string_view{}
                                             : rest.substr(comma + 1);
    }
  }
  return false;
}

std::optional<std::string_view> http_message::Header(
    std::string_view name) const {
  for (const http_header& header : headers) {
    if (SameHeader(header.name, name)) {
      return TrimSpaces(header.value);
    }
  }
  return std::nullopt;
}

http_reader::http_reader(http_parser_type type, http_parse_limits limits)
    : syntax_(type), limits_(limits) {
  http_parser_init(&parser_, type);
  parser_.data = this;
}

http_reader& http_reader::Self(http_parser* parser) {
  return *static_cast<http_reader*>(parser->data);
}

const http_parser_settings& http_reader::Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = [](http_parser* p) { return Self(p).OnBegin(); };
    made.on_url = [](http_parser* p, const char* at, size_t size) {
      Self(p).current_.target.append(at, size);
      return Self(p).AddHeaderBytes(size) ? 0 : -1;
    };
    made.on_header_field = [](http_parser* p, const char* at, size_t size) {
      return Self(p).OnField({at, size});
    };
    made.on_header_value = [](http_parser* p, const char* at, size_t size) {
      return Self(p).OnValue({at, size});
    };
    made.on_headers_complete = [](http_parser* p) {
      return Self(p).OnHeaders();
    };
    made.on_chunk_header = [](http_parser* p) { return Self(p).OnChunk(); };
    made.on_body = [](http_parser* p, const char* at, size_t size) {
      return Self(p).OnBody({at, size});
    };
    made.on_message_complete = [](http_parser* p) {
      return Self(p).OnComplete();
    };
    return made;
  }();
  return callbacks;
}

bool http_reader::AddHeaderBytes(size_t count) {
  header_bytes_ += count;
  if (header_bytes_ > limits_.max_header_bytes) {
    error_ = http_parse_error::kHeadersTooLarge;
    return false;
  }
  return true;
}

int http_reader::OnBegin() {
  current_ = {};
  header_bytes_ = 0;
  body_bytes_ = 0;
  last_was_value_ = true;
  in_message_ = true;
  headers_done_ = false;
  asked_continue_ = false;
  return 0;
}

int http_reader::OnField(std::string_view part) {
  if (headers_done_) {
    return 0;  // A trailer: it concerns the framing and is not passed on.
  }
  if (last_was_value_) {
    current_.headers.emplace_back();
    last_was_value_ = false;
  }
  current_.headers.back().name.append(part);
  return AddHeaderBytes(part.size()) ? 0 : -1;
}

int http_reader::OnValue(std::string_view part) {
  if (headers_done_) {
    return 0;
  }
  last_was_value_ = true;
  // Whether there is a coding is known once the head is whole.
  parser_.uses_transfer_encoding = 0;
  current_.headers.back().value.append(part);
  return AddHeaderBytes(part.size()) ? 0 : -1;
}

int http_reader::OnHeaders() {
  headers_done_ = true;
  part_ = message_part::kBody;
  // A request that asks for another protocol is answered in this one.
  parser_.upgrade = 0;
  if (parser_.type == HTTP_REQUEST) {
    current_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    current_.status = static_cast<int>(parser_.status_code);
  }
  const message_problem problem = CheckHead();
  if (problem != message_problem::kNone) {
    OnProblem(problem);
    return -1;
  }
  SetChunked(current_.Header("Transfer-Encoding").has_value());
  if (IsBodiless()) {
    return 1;
  }
  const bool has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
  if (has_length && parser_.content_length > limits_.max_body_bytes) {
    error_ = http_parse_error::kBodyTooLarge;
    return -1;
  }
  if (has_length) {
    body_bytes_ = parser_.content_length;
    current_.body.reserve(body_bytes_);
  }
  if ((parser_.flags & F_CHUNKED) != 0) {
    part_ = message_part::kChunkLine;
    chunks_.BeginFirst();
  }
  return 0;
}

// The library takes each name that begins with "Transfer-Encoding" for it.
void http_reader::SetChunked(bool chunked) {
  parser_.uses_transfer_encoding = chunked ? 1 : 0;
  if (chunked) {
    parser_.flags |= F_CHUNKED;
  } else {
    parser_.flags &= ~static_cast<unsigned int>(F_CHUNKED);
  }
}

message_problem http_reader::CheckHead() const {
  const int minor_version = parser_.http_minor;
  const message_problem framing = CheckFraming(current_.headers, minor_version);
  if (framing != message_problem::kNone) {
    return framing;
  }
  if (parser_.type == HTTP_RESPONSE) {
    return current_.status == HTTP_STATUS_SWITCHING_PROTOCOLS
               ? message_problem::kSwitchedProtocol
               : message_problem::kNone;
  }
  const message_problem host = CheckHost(current_.headers, minor_version);
  return host != message_problem::kNone
             ? host
             : CheckRequestTarget(current_.method, current_.target);
}

void http_reader::OnProblem(message_problem problem) {
  problem_ = problem;
  error_ = problem == message_problem::kUnknownCoding
               ? http_parse_error::kUnsupported
               : http_parse_error::kMalformed;
}

int http_reader::OnChunk() {
  if (parser_.content_length == 0) {
    part_ = message_part::kTrailers;
    syntax_.BeginTrailers();
  } else {
    part_ = message_part::kChunkData;
  }
  return 0;
}

int http_reader::OnBody(std::string_view part) {
  if (current_.body.size() + part.size() > limits_.max_body_bytes) {
    error_ = http_parse_error::kBodyTooLarge;
    return -1;
  }
  current_.body.append(part);
  return 0;
}

bool http_reader::IsBodiless() const {
  const unsigned int status = parser_.status_code;
  return parser_.type == HTTP_RESPONSE &&
         (no_body_ || status / 100 == 1 || status == HTTP_STATUS_NO_CONTENT ||
          status == HTTP_STATUS_NOT_MODIFIED);
}

bool http_reader::IsOpenEnded() const {
  return !IsBodiless() && (parser_.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
}

int http_reader::OnComplete() {
  in_message_ = false;
  headers_done_ = false;
  // The library overlooks options that have tabs around them.
  current_.keep_alive = http_should_keep_alive(&parser_) != 0 &&
                        !IsNamedByConnection(current_, "close");
  current_.ended_by_close = parser_.type == HTTP_RESPONSE && IsOpenEnded();
  done_.push_back(std::move(current_));
  current_ = {};
  header_bytes_ = 0;
  body_bytes_ = 0;
  part_ = message_part::kHead;
  syntax_.BeginMessage();
  http_parser_pause(&parser_, 1);
  return 0;
}

bool http_reader::Feed(std::string_view bytes) {
  while (error_ == http_parse_error::kNone && !bytes.empty()) {
    bytes.remove_prefix(ParsePart(bytes));
  }
  return error_ == http_parse_error::kNone;
}

size_t http_reader::ParsePart(std::string_view bytes) {
  switch (part_) {
    case message_part::kHead:
    case message_part::kTrailers:
      return ParseChecked(bytes, syntax_.Check(bytes));
    case message_part::kChunkLine:
      return ParseChecked(bytes, chunks_.Check(bytes));
    case message_part::kChunkData:
      return ParseChunkData(bytes);
    case message_part::kBody:
      break;
  }
  return Parse(bytes);
}

size_t http_reader::ParseChecked(std::string_view bytes,
                                 const checked_bytes& checked) {
  ParseLines(bytes.substr(0, checked.size));
  const bool is_right = checked.problem == message_problem::kNone;
  if (!is_right && error_ == http_parse_error::kNone) {
    OnProblem(checked.problem);
  }
  return checked.size;
}

void http_reader::ParseLines(std::string_view bytes) {
  std::string without;
  if (!held_spaces_.empty() || bytes.find('\t') != std::string_view::npos) {
    without = std::exchange(held_spaces_, {});
    for (const char c : bytes) {
      if (c == '\r' || c == '\n') {
        without.resize(TrimSpacesBehind(without).size());
      }
      without.push_back(c);
    }
    const size_t size = TrimSpacesBehind(without).size();
    held_spaces_ = without.substr(size);
    without.resize(size);
    bytes = without;
  }
  if (held_spaces_.size() > limits_.max_header_bytes) {
    error_ = http_parse_error::kHeadersTooLarge;
  }
  // To the library, no bytes are the end of the connection.
  if (!bytes.empty()) {
    Parse(bytes);
  }
}

size_t http_reader::ParseChunkData(std::string_view bytes) {
  const size_t read = Parse(bytes.substr(0, parser_.content_length));
  if (parser_.content_length == 0) {
    part_ = message_part::kChunkLine;
    chunks_.BeginNext();
  }
  return read;
}

size_t http_reader::Parse(std::string_view bytes) {
  const size_t read =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  const http_errno ended = HTTP_PARSER_ERRNO(&parser_);
  if (ended == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
  } else if (ended == HPE_HEADER_OVERFLOW) {
    error_ = http_parse_error::kHeadersTooLarge;
  } else if (ended != HPE_OK && error_ == http_parse_error::kNone) {
    OnProblem(ProblemOf(ended));
  }
  return read;
}

message_problem http_reader::ProblemOf(http_errno error) const {
  if (part_ == message_part::kChunkLine) {
    return message_problem::kChunkSize;
  }
  // Some lengths are refused before the head is whole.
  return error == HPE_INVALID_CONTENT_LENGTH
             ? message_problem::kContentLength
             : CheckFraming(current_.headers, parser_.http_minor);
}

std::string_view http_reader::problem() const {
  if (error_ != http_parse_error::kMalformed &&
      error_ != http_parse_error::kUnsupported) {
    return {};
  }
  return problem_ != message_problem::kNone
             ? ToString(problem_)
             : http_errno_name(HTTP_PARSER_ERRNO(&parser_));
}

bool http_reader::FeedEnd() {
  if (error_ != http_parse_error::kNone || !in_message_) {
    return error_ == http_parse_error::kNone;
  }
  Parse({});
  if (in_message_ || error_ != http_parse_error::kNone) {
    error_ = http_parse_error::kCutShort;
    return false;
  }
  return true;
}

std::optional<http_message> http_reader::Take() {
  if (taken_ == done_.size()) {
    done_.clear();
    taken_ = 0;
    return std::nullopt;
  }
  return std::move(done_[taken_++]);
}

void http_reader::Drop() {
  current_ = {};
  header_bytes_ = 0;
  body_bytes_ = 0;
  in_message_ = false;
  headers_done_ = false;
}

bool http_reader::expects_continue() {
  if (!headers_done_ || asked_continue_) {
    return false;
  }
  asked_continue_ = true;
  const auto expected = current_.Header("Expect");
  return expected && SameHeader(*expected, "100-continue");
}

namespace {

/// Appends "NAME: VALUE". A name or value that is none could end the head.
void AppendHeader(std::string& out, std::string_view name,
                  std::string_view value) {
  if (!IsToken(name)) {
    return;
  }
  out.append(name).append(": ").append(value);
  std::replace_if(
      out.end() - static_cast<ptrdiff_t>(value.size()), out.end(),
      [](char c) { return !IsFieldValueCharacter(c); }, ' ');
  out.append("\r\n");
}

/// Appends a request target; what none may hold is percent-encoded.
void AppendTarget(std::string& out, std::string_view target) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  for (const char c : target) {
    if (IsTargetCharacter(c)) {
      out.push_back(c);
    } else {
      const auto byte = static_cast<unsigned char>(c);
      out.append({'%', kDigits[byte / 16], kDigits[byte % 16]});
    }
  }
}

void AppendStatusLine(std::string& out, int status) {
  constexpr std::string_view kNoName = "<unknown>";
  const std::string_view name =
      http_status_str(static_cast<http_status>(status));
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  out.append(name == kNoName ? std::string_view{} : name).append("\r\n");
}

void AppendLength(std::string& out, const http_message& message) {
  AppendHeader(out, "Content-Length", std::to_string(message.Body().size()));
}

void AppendBody(std::string& out, const http_message& message) {
  AppendLength(out, message);
  out.append("\r\n").append(message.body);
}

}  // namespace

std::string FormatRequest(const http_message& request) {
  std::string out;
  out.reserve(256 + request.body.size());
  out.append(request.method).append(" ");
  AppendTarget(out, request.target);
  out.append(" HTTP/1.1\r\n");
  for (const http_header& header : request.headers) {
    AppendHeader(out, header.name, header.value);
  }
  const bool bodiless = request.Body().empty() &&
                        (request.method == "GET" || request.method == "HEAD" ||
                         request.method == "DELETE");
  if (bodiless) {
    out.append("\r\n");
  } else {
    AppendBody(out, request);
  }
  return out;
}

std::string FormatAnswer(const http_message& answer, bool close, bool head) {
  if (answer.status < kMinFinalHttpStatus || answer.status > kMaxHttpStatus) {
    return FormatAnswer({.status = kHttpInternalError}, close, head);
  }
  std::string out;
  out.reserve(256 + answer.body.size());
  AppendStatusLine(out, answer.status);
  for (const http_header& header : answer.headers) {
    AppendHeader(out, header.name, header.value);
  }
  if (close) {
    AppendHeader(out, "Connection", "close");
  }
  const bool bodiless = answer.status == 204 || answer.status == 304 ||
                        answer.Header("Content-Length").has_value();
  if (head && !bodiless && !answer.body.empty()) {
    AppendLength(out, answer);
  }
  if (bodiless || head) {
    out.append("\r\n");
  } else {
    AppendBody(out, answer);
  }
  return out;
}

}  // namespace foxtailspread
