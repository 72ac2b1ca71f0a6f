#include "net/http_head.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace foxtailspread {
namespace {

constexpr std::string_view kVersionBeginning = "HTTP/1.";
constexpr size_t kStatusDigits = 3;

constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
constexpr std::string_view kChunked = "chunked";

/// What a character may be part of.
enum character_class : uint8_t {
  kInToken = 1,
  kInTarget = 2,
  kInHost = 4,
  kInText = 8,  ///< A reason phrase or the value of a field.
};

constexpr void Allow(std::array<uint8_t, 256>& classes,
                     std::string_view characters, unsigned int where) {
  for (const char c : characters) {
    classes[static_cast<unsigned char>(c)] |= static_cast<uint8_t>(where);
  }
}

constexpr std::array<uint8_t, 256> MakeClasses() {
  std::array<uint8_t, 256> classes{};
  Allow(classes,
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~",
        kInToken | kInTarget | kInHost);
  Allow(classes, "!$&'*+%", kInToken | kInTarget | kInHost);
  Allow(classes, "#^`|", kInToken);
  Allow(classes, "(),;=:[]", kInTarget | kInHost);
  Allow(classes, "/?@", kInTarget);
  classes['\t'] |= kInText;
  for (size_t c = ' '; c < classes.size(); ++c) {
    classes[c] |= c == 0x7F ? 0 : kInText;
  }
  return classes;
}

constexpr std::array<uint8_t, 256> kClasses = MakeClasses();

bool IsIn(character_class where, char c) {
  return (kClasses[static_cast<unsigned char>(c)] & where) != 0;
}

bool AreIn(character_class where, std::string_view text) {
  return std::ranges::all_of(text, [&](char c) { return IsIn(where, c); });
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

/// Whether each percent sign is followed by two hexadecimal digits.
bool IsPercentEncoded(std::string_view text) {
  for (size_t at = text.find('%'); at != std::string_view::npos;
       at = text.find('%', at + 1)) {
    if (text.size() - at < 3 || !IsHexDigit(text[at + 1]) ||
        !IsHexDigit(text[at + 2])) {
      return false;
    }
  }
  return true;
}

/// Whether `text` is a host and perhaps a port, of characters that these have.
bool IsHostAndPort(std::string_view text) {
  const bool is_literal = text.starts_with('[');
  const size_t host_ends =
      is_literal ? text.find(']') + 1 : std::min(text.find(':'), text.size());
  const std::string_view host = text.substr(0, host_ends);
  const std::string_view port = text.substr(host_ends);
  const bool is_host =
      is_literal ? host_ends > 0 && host.find('[', 1) == std::string_view::npos
                 : host.find_first_of("[]") == std::string_view::npos;
  return is_host &&
         (port.empty() || (port.starts_with(':') &&
                           std::ranges::all_of(port.substr(1), IsDigit)));
}

message_problem CheckCodings(std::string_view codings) {
  const size_t last_begins = codings.rfind(',') + 1;
  if (!SameHeader(TrimSpaces(codings.substr(last_begins)), kChunked)) {
    return message_problem::kTransferCoding;
  }
  return last_begins == 0 ? message_problem::kNone
                          : message_problem::kUnknownCoding;
}

}  // namespace

bool SameHeader(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view TrimSpaces(std::string_view text) {
  while (!text.empty() && IsSpace(text.front())) {
    text.remove_prefix(1);
  }
  return TrimSpacesBehind(text);
}

std::string_view TrimSpacesBehind(std::string_view text) {
  while (!text.empty() && IsSpace(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

bool IsToken(std::string_view text) {
  return !text.empty() && AreIn(kInToken, text);
}

bool IsTokenCharacter(char c) { return IsIn(kInToken, c); }

bool IsHexDigit(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool IsSpace(char c) { return c == ' ' || c == '\t'; }

bool IsTargetCharacter(char c) { return IsIn(kInTarget, c); }

bool IsFieldValueCharacter(char c) { return IsIn(kInText, c); }

message_problem CheckFraming(std::span<const http_header> fields,
                             int minor_version) {
  const http_header* length = nullptr;
  const http_header* coding = nullptr;
  for (const http_header& field : fields) {
    if (SameHeader(field.name, kContentLength)) {
      const std::string_view digits = TrimSpaces(field.value);
      if (length != nullptr || digits.empty() ||
          !std::ranges::all_of(digits, IsDigit)) {
        return message_problem::kContentLength;
      }
      length = &field;
    } else if (SameHeader(field.name, kTransferEncoding)) {
      if (coding != nullptr) {
        return message_problem::kTransferCoding;
      }
      coding = &field;
    }
  }
  if (coding == nullptr) {
    return message_problem::kNone;
  }
  // Senders of both, or of codings in HTTP/1.0, may frame the message otherwise
  // than this process.
  return length != nullptr || minor_version == 0
             ? message_problem::kTransferCoding
             : CheckCodings(coding->value);
}

message_problem CheckHost(std::span<const http_header> fields,
                          int minor_version) {
  const http_header* host = nullptr;
  for (const http_header& field : fields) {
    if (!SameHeader(field.name, "Host")) {
      continue;
    }
    const std::string_view value = TrimSpaces(field.value);
    if (host != nullptr || !AreIn(kInHost, value) || !IsPercentEncoded(value) ||
        !IsHostAndPort(value)) {
      return message_problem::kHost;
    }
    host = &field;
  }
  return host == nullptr && minor_version > 0 ? message_problem::kHost
                                              : message_problem::kNone;
}

message_problem CheckRequestTarget(std::string_view method,
                                   std::string_view target) {
  const bool is_form = target.starts_with('/') ||
                       (target == "*" && method == "OPTIONS") ||
                       target.find("://") != std::string_view::npos;
  return is_form && IsPercentEncoded(target) ? message_problem::kNone
                                             : message_problem::kRequestTarget;
}

void head_syntax::BeginMessage() {
  next_ = type_ == HTTP_REQUEST ? part::kBlankLine : part::kVersion;
  taken_ = 0;
}

checked_bytes head_syntax::Check(std::string_view bytes) {
  for (size_t at = SkipRun(bytes, 0); at < bytes.size();
       at = SkipRun(bytes, at + 1)) {
    const message_problem problem = Take(bytes[at]);
    if (problem != message_problem::kNone) {
      next_ = part::kNothing;
      return {.size = at, .problem = problem};
    }
    if (next_ == part::kNothing) {
      return {.size = at + 1, .is_last = true};
    }
  }
  return {.size = bytes.size()};
}

size_t head_syntax::SkipRun(std::string_view bytes, size_t at) const {
  if (next_ != part::kName && next_ != part::kValue) {
    return at;
  }
  const character_class run = next_ == part::kName ? kInToken : kInText;
  while (at < bytes.size() && IsIn(run, bytes[at])) {
    ++at;
  }
  return at;
}

message_problem head_syntax::MoveIf(bool is_right, part next,
                                    message_problem problem) {
  if (!is_right) {
    return problem;
  }
  next_ = next;
  taken_ = 0;
  return message_problem::kNone;
}

message_problem head_syntax::Take(char c) {
  switch (next_) {
    case part::kValue:
      return IsIn(kInText, c) || TakeLineEnd(c) ? message_problem::kNone
                                                : message_problem::kFieldValue;
    case part::kName:
      return IsIn(kInToken, c)
                 ? message_problem::kNone
                 : MoveIf(c == ':', part::kValue, message_problem::kFieldName);
    case part::kLine:
      return TakeLine(c);
    case part::kLineEnd:
      return MoveIf(c == '\n', part::kLine, message_problem::kLineEnding);
    case part::kHeadEnd:
      return MoveIf(c == '\n', part::kNothing, message_problem::kLineEnding);
    case part::kBlankLine:
      return TakeBlankLine(c);
    case part::kBlankLineEnd:
      return MoveIf(c == '\n', part::kBlankLine, message_problem::kLineEnding);
    case part::kMethod:
      return IsIn(kInToken, c)
                 ? message_problem::kNone
                 : MoveIf(c == ' ', part::kTarget, message_problem::kMethod);
    case part::kTarget:
      if (IsIn(kInTarget, c)) {
        ++taken_;
        return message_problem::kNone;
      }
      return MoveIf(c == ' ' && taken_ > 0, part::kVersion,
                    message_problem::kRequestTarget);
    case part::kVersion:
      return TakeVersion(c);
    case part::kAfterVersion:
      return TakeAfterVersion(c);
    case part::kStatusCode:
      return TakeStatusCode(c);
    case part::kAfterStatusCode:
      return TakeLineEnd(c) ? message_problem::kNone
                            : MoveIf(c == ' ', part::kReasonPhrase,
                                     message_problem::kStatusCode);
    case part::kReasonPhrase:
      return IsIn(kInText, c) || TakeLineEnd(c)
                 ? message_problem::kNone
                 : message_problem::kReasonPhrase;
    case part::kNothing:
      break;
  }
  return message_problem::kLineEnding;
}

message_problem head_syntax::TakeBlankLine(char c) {
  if (c == '\n') {
    return message_problem::kNone;
  }
  return c == '\r' ? MoveIf(true, part::kBlankLineEnd, message_problem::kNone)
                   : MoveIf(IsIn(kInToken, c), part::kMethod,
                            message_problem::kMethod);
}

message_problem head_syntax::TakeVersion(char c) {
  if (taken_ < kVersionBeginning.size()) {
    return c == kVersionBeginning[taken_++] ? message_problem::kNone
                                            : message_problem::kVersion;
  }
  return MoveIf(IsDigit(c), part::kAfterVersion, message_problem::kVersion);
}

message_problem head_syntax::TakeAfterVersion(char c) {
  if (type_ == HTTP_REQUEST) {
    return TakeLineEnd(c) ? message_problem::kNone : message_problem::kVersion;
  }
  return MoveIf(c == ' ', part::kStatusCode, message_problem::kVersion);
}

message_problem head_syntax::TakeStatusCode(char c) {
  const bool is_right = taken_ == 0 ? c >= '1' && c <= '5' : IsDigit(c);
  if (!is_right) {
    return message_problem::kStatusCode;
  }
  return ++taken_ < kStatusDigits
             ? message_problem::kNone
             : MoveIf(true, part::kAfterStatusCode, message_problem::kNone);
}

message_problem head_syntax::TakeLine(char c) {
  if (c == '\r') {
    return MoveIf(true, part::kHeadEnd, message_problem::kNone);
  }
  if (c == '\n') {
    return MoveIf(true, part::kNothing, message_problem::kNone);
  }
  return MoveIf(
      IsIn(kInToken, c), part::kName,
      IsSpace(c) ? message_problem::kFoldedLine : message_problem::kFieldName);
}

bool head_syntax::TakeLineEnd(char c) {
  if (c != '\r' && c != '\n') {
    return false;
  }
  next_ = c == '\r' ? part::kLineEnd : part::kLine;
  taken_ = 0;
  return true;
}

}  // namespace foxtailspread
