#include "net/json_answer.h"

#include <nlohmann/json.hpp>
#include <string>

namespace foxtailspread {

http_answer JsonAnswer(int status, const nlohmann::json& body) {
  return {.status = status,
          .body = body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

http_answer ErrorAnswer(int status, const error& failure) {
  const std::string reason = failure.path.empty()
                                 ? failure.reason
                                 : failure.path + ": " + failure.reason;
  return JsonAnswer(status, {{"error",
                              {{"code", ToString(failure.code)},
                               {"reason", reason},
                               {"remedy", failure.remedy}}}});
}

}  // namespace foxtailspread
