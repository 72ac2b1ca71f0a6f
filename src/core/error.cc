#include "foxtailspread/error.h"

namespace foxtailspread {

std::string_view ToString(error_code code) {
  switch (code) {
    case error_code::kMalformed:
      return "malformed";
    case error_code::kUnknownField:
      return "unknown-field";
    case error_code::kMissingField:
      return "missing-field";
    case error_code::kOutOfRange:
      return "out-of-range";
    case error_code::kUnknownName:
      return "unknown-name";
    case error_code::kDuplicateName:
      return "duplicate-name";
    case error_code::kNewerFormat:
      return "newer-format";
    case error_code::kConflict:
      return "conflict";
    case error_code::kUnavailable:
      return "unavailable";
    case error_code::kUnauthenticated:
      return "unauthenticated";
    case error_code::kForbidden:
      return "forbidden";
    case error_code::kTooLarge:
      return "too-large";
    case error_code::kExpired:
      return "expired";
    case error_code::kStale:
      return "stale";
  }
  return "unknown";
}

std::string error::Message() const {
  std::string text = path.empty() ? reason : path + ": " + reason;
  if (!remedy.empty()) {
    text += "; " + remedy;
  }
  return text;
}

}  // namespace foxtailspread
