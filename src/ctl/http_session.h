#ifndef FOXTAILSPREAD_CTL_HTTP_SESSION_H_
#define FOXTAILSPREAD_CTL_HTTP_SESSION_H_

/// @file
/// The platform's objects and the hosts' admin interface over HTTP, for a
/// program that does one thing and ends.

#include <string>
#include <string_view>
#include <vector>

#include "ctl/object_api.h"
#include "foxtailspread/time.h"
#include "net/http_client.h"
#include "net/loop.h"

namespace foxtailspread {

/// Whom a session talks to and for how long.
struct session_settings {
  std::string platform;        ///< "IP:port".
  std::string operator_token;  ///< Sent to hosts only, never to the platform.
  duration timeout{std::chrono::seconds{10}};  ///< Of the whole command.
};

/// Satisfies object_api and admin_api. Each call runs the loop until it is
/// answered.
///
/// @code
/// http_session session({.platform = "127.0.0.1:7100"});
/// result<object_state> config = session.Get("config");
/// @endcode
class http_session {
 public:
  explicit http_session(session_settings settings);

  result<object_state> Get(std::string_view key);
  result<write_answer> Write(const conditional_write& write);
  result<std::vector<named_object>> List(std::string_view prefix);
  bool Wait();
  result<nlohmann::json> GetAdmin(std::string_view host, std::string_view path);

 private:
  http_call_result Call(http_call_request request);
  result<http_call_result> CallPlatform(http_call_request request);
  duration TimeLeft() const;

  session_settings settings_;
  time_point deadline_;
  duration pause_;
  event_loop loop_;
  http_client client_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_HTTP_SESSION_H_
