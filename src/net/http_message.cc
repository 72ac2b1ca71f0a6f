#include "net/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
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

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const size_t last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

}  // namespace

bool SameHeader(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

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
      if (SameHeader(Trim(rest.substr(0, comma)), name)) {
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
      return Trim(header.value);
    }
  }
  return std::nullopt;
}

http_reader::http_reader(http_parser_type type, http_parse_limits limits)
    : limits_(limits) {
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
  current_.headers.back().value.append(part);
  return AddHeaderBytes(part.size()) ? 0 : -1;
}

int http_reader::OnHeaders() {
  headers_done_ = true;
  // A request that asks for another protocol is answered in this one.
  if (parser_.method != HTTP_CONNECT || parser_.type == HTTP_RESPONSE) {
    parser_.upgrade = 0;
  }
  if (parser_.type == HTTP_REQUEST) {
    current_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    current_.status = static_cast<int>(parser_.status_code);
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
  return no_body_ ? 1 : 0;
}

int http_reader::OnBody(std::string_view part) {
  if (current_.body.size() + part.size() > limits_.max_body_bytes) {
    error_ = http_parse_error::kBodyTooLarge;
    return -1;
  }
  current_.body.append(part);
  return 0;
}

bool http_reader::IsOpenEnded() const {
  const unsigned int status = parser_.status_code;
  const bool bodiless =
      no_body_ || status / 100 == 1 || status == 204 || status == 304;
  return !bodiless && (parser_.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
}

int http_reader::OnComplete() {
  in_message_ = false;
  headers_done_ = false;
  current_.keep_alive = http_should_keep_alive(&parser_) != 0;
  current_.ended_by_close = parser_.type == HTTP_RESPONSE && IsOpenEnded();
  done_.push_back(std::move(current_));
  current_ = {};
  header_bytes_ = 0;
  body_bytes_ = 0;
  return 0;
}

bool http_reader::Feed(std::string_view bytes) {
  if (error_ != http_parse_error::kNone) {
    return false;
  }
  const size_t read =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || read != bytes.size()) {
    if (error_ == http_parse_error::kNone) {
      error_ = HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW
                   ? http_parse_error::kHeadersTooLarge
                   : http_parse_error::kMalformed;
    }
    return false;
  }
  return true;
}

bool http_reader::FeedEnd() {
  if (error_ != http_parse_error::kNone || !in_message_) {
    return error_ == http_parse_error::kNone;
  }
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || in_message_) {
    error_ = http_parse_error::kMalformed;
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

/// Appends "NAME: VALUE".
void AppendHeader(std::string& out, std::string_view name,
                  std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
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
  out.append(request.method).append(" ").append(request.target);
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
  std::string out;
  out.reserve(256 + answer.body.size());
  out.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
  out.append(http_status_str(static_cast<http_status>(answer.status)));
  out.append("\r\n");
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
