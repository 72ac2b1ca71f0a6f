#ifndef FOXTAILSPREAD_NET_HTTP_TYPES_H_
#define FOXTAILSPREAD_NET_HTTP_TYPES_H_

/// @file
/// What the HTTP client and the HTTP server have in common.

#include <string>
#include <string_view>
#include <vector>

namespace foxtailspread {

/// One header field.
struct http_header {
  std::string name;
  std::string value;
};

/// The status codes that the project itself sends or acts on.
inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpUnauthorized = 401;
inline constexpr int kHttpForbidden = 403;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpMethodNotAllowed = 405;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpPreconditionFailed = 412;
inline constexpr int kHttpTooLarge = 413;
inline constexpr int kHttpPreconditionRequired = 428;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpInternalError = 500;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

inline constexpr std::string_view kJsonType = "application/json";

/// One answer as a server sends it.
struct http_answer {
  int status = kHttpOk;
  std::string body{};
  std::string content_type{kJsonType};
  std::vector<http_header> headers{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_HTTP_TYPES_H_
