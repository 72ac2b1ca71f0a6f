#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PLATFORM_CLIENT_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PLATFORM_CLIENT_H_

/// @file
/// The platform's object API by its published protocol (HTTP and JSON).

#include <functional>
#include <string>

#include "foxtailspread/host_io.h"
#include "net/http_client.h"

namespace foxtailspread {

/// Carries calls of the platform out.
class platform_client {
 public:
  using receiver = std::function<void(platform_ended)>;

  /// `zone` goes along so that the stand-in can cut zones off.
  platform_client(std::string address, std::string zone, receiver on_ended);

  void Call(const platform_action& action);

 private:
  std::string address_;
  std::string zone_;
  receiver on_ended_;
  http_client client_;
};

/// Reads the answer to a call; an answer that is not as the protocol says
/// counts as none.
platform_ended ReadPlatformAnswer(const platform_action& action,
                                  const http_call_result& result);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PLATFORM_CLIENT_H_
