#include "ctl/http_session.h"

#include <algorithm>
#include <utility>

#include "foxtailspread/json_reader.h"
#include "foxtailspread/nearest_name.h"
#include "foxtailspread/object_store.h"

namespace foxtailspread {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kShortestCall = milliseconds(200);
constexpr duration kLongestCall = seconds(5);
constexpr duration kFirstPause = milliseconds(50);
constexpr duration kLongestPause = seconds(1);
constexpr size_t kLargestAnswer = size_t{64} << 20;
constexpr json_limits kAnswerLimits{kLargestAnswer, 64};
constexpr int kFirstServerError = 500;

/// Finds the reason and remedy that a server gives in its error.
error ServerError(const http_call_result& answer, error_code code,
                  std::string_view address, std::string_view remedy) {
  error failed{code, std::string(address),
               "answered with status " + std::to_string(answer.status),
               std::string(remedy)};
  const result<json> body = ParseJson(answer.body, kAnswerLimits);
  if (!body || !body.value().is_object()) {
    return failed;
  }
  const json details = body.value().value("error", json::object());
  if (details.is_object()) {
    const json reason = details.value("reason", json());
    const json advice = details.value("remedy", json());
    failed.reason += reason.is_string()
                         ? " (" + Printable(reason.get<std::string>()) + ")"
                         : "";
    failed.remedy = advice.is_string() ? Printable(advice.get<std::string>())
                                       : failed.remedy;
  }
  return failed;
}

error NotAnswered(const http_call_result& answer, std::string_view address,
                  std::string_view remedy) {
  return error{error_code::kUnavailable, std::string(address),
               "no answer (" + std::string(ToString(answer.outcome)) + ": " +
                   Printable(answer.reason) + ")",
               std::string(remedy)};
}

/// An answer that cannot be read leaves open what was done, as a lost one
/// does.
error Unreadable(std::string_view address) {
  return error{error_code::kUnavailable, std::string(address),
               "the answer is not what the platform's interface says",
               "check that --platform names the platform"};
}

result<json> BodyObject(const http_call_result& answer,
                        std::string_view address) {
  result<json> body = ParseJson(answer.body, kAnswerLimits);
  if (!body || !body.value().is_object()) {
    return Unreadable(address);
  }
  return body;
}

/// Reads "revision" and "value"; a missing value is null.
result<object_state> ObjectOf(const json& body, std::string_view address) {
  const json revision = body.value("revision", json());
  if (!revision.is_number_unsigned()) {
    return Unreadable(address);
  }
  return object_state{revision.get<uint64_t>(), body.value("value", json())};
}

/// 429 and every 5xx may pass; whether a write took effect is then open.
bool MayPass(int status) {
  return status == kHttpTooManyRequests || status >= kFirstServerError;
}

error_code CodeOf(int status) {
  switch (status) {
    case kHttpUnauthorized:
      return error_code::kUnauthenticated;
    case kHttpForbidden:
      return error_code::kForbidden;
    case kHttpNotFound:
      return error_code::kUnknownName;
    case kHttpTooLarge:
      return error_code::kTooLarge;
    default:
      return MayPass(status) ? error_code::kUnavailable
                             : error_code::kMalformed;
  }
}

}  // namespace

http_session::http_session(session_settings settings)
    : settings_(std::move(settings)),
      deadline_(Now() + settings_.timeout),
      pause_(kFirstPause) {}

duration http_session::TimeLeft() const {
  return std::max(duration(0), deadline_ - Now());
}

http_call_result http_session::Call(http_call_request request) {
  request.timeout = std::clamp(TimeLeft(), kShortestCall, kLongestCall);
  request.max_body = kLargestAnswer;
  http_call_result answer;
  const http_call_ptr call =
      client_.Send(std::move(request), [&](http_call_result done) {
        answer = std::move(done);
        loop_.Stop();
      });
  loop_.Run();
  return answer;
}

result<http_call_result> http_session::CallPlatform(http_call_request request) {
  request.url = "http://" + settings_.platform + request.url;
  http_call_result answer = Call(std::move(request));
  if (answer.outcome != http_outcome::kAnswered) {
    return NotAnswered(answer, settings_.platform,
                       "check --platform, or try again later");
  }
  const bool decided = answer.status == kHttpOk ||
                       answer.status == kHttpNotFound ||
                       answer.status == kHttpPreconditionFailed;
  if (!decided) {
    return ServerError(answer, CodeOf(answer.status), settings_.platform,
                       "try again later");
  }
  return answer;
}

result<object_state> http_session::Get(std::string_view key) {
  if (const status sound = CheckObjectKey(key); !sound) {
    return sound.error();
  }
  const result<http_call_result> answer =
      CallPlatform({.url = "/v1/objects/" + std::string(key)});
  if (!answer) {
    return answer.error();
  }
  if (answer.value().status == kHttpNotFound) {
    return object_state{};
  }
  const result<json> body = BodyObject(answer.value(), settings_.platform);
  if (!body) {
    return body.error();
  }
  return ObjectOf(body.value(), settings_.platform);
}

result<write_answer> http_session::Write(const conditional_write& write) {
  if (const status sound = CheckObjectKey(write.key); !sound) {
    return sound.error();
  }
  http_call_request request{.method = write.value ? "PUT" : "DELETE",
                            .url = "/v1/objects/" + write.key};
  request.headers.push_back(
      write.expected_revision == 0
          ? http_header{"If-None-Match", "*"}
          : http_header{"If-Match", std::to_string(write.expected_revision)});
  if (write.value) {
    request.body = write.value->dump();
  }
  const result<http_call_result> answer = CallPlatform(std::move(request));
  if (!answer) {
    return answer.error();
  }
  if (answer.value().status == kHttpNotFound) {
    return write_answer{write_decision::kLostRace, {}};
  }
  const result<json> body = BodyObject(answer.value(), settings_.platform);
  if (!body) {
    return body.error();
  }
  const result<object_state> object =
      ObjectOf(body.value(), settings_.platform);
  if (!object) {
    return object.error();
  }
  const auto outcome = answer.value().status == kHttpOk
                           ? write_decision::kAccepted
                           : write_decision::kLostRace;
  return write_answer{outcome, object.value()};
}

result<std::vector<named_object>> http_session::List(std::string_view prefix) {
  const result<http_call_result> answer =
      CallPlatform({.url = "/v1/changes?since=0&wait_ms=0"});
  if (!answer) {
    return answer.error();
  }
  const result<json> body = BodyObject(answer.value(), settings_.platform);
  if (!body || !body.value().value("changes", json()).is_array()) {
    return Unreadable(settings_.platform);
  }
  std::vector<named_object> listed;
  for (const json& change : body.value().at("changes")) {
    const bool present = change.is_object() && !change.value("deleted", false);
    const std::string key = present ? change.value("key", "") : "";
    const result<object_state> object =
        present ? ObjectOf(change, settings_.platform)
                : result<object_state>(object_state{});
    if (!object) {
      return object.error();
    }
    if (present && key.starts_with(prefix)) {
      listed.push_back({key, object.value()});
    }
  }
  return listed;
}

bool http_session::Wait() {
  if (TimeLeft() <= pause_) {
    return false;
  }
  const timer wake = RunAfter(pause_, [this] { loop_.Stop(); });
  loop_.Run();
  pause_ = std::min(kLongestPause, pause_ * 2);
  return true;
}

result<json> http_session::GetAdmin(std::string_view host,
                                    std::string_view path) {
  http_call_request request{.url = "http://" + std::string(host) +
                                   std::string(path)};
  if (!settings_.operator_token.empty()) {
    request.headers.push_back(
        {"Authorization", "Bearer " + settings_.operator_token});
  }
  const http_call_result answer = Call(std::move(request));
  if (answer.outcome != http_outcome::kAnswered) {
    return NotAnswered(answer, host, "check --host, or ask another entry host");
  }
  if (answer.status != kHttpOk) {
    return ServerError(answer, CodeOf(answer.status), host,
                       answer.status == kHttpUnauthorized
                           ? "give --operator-token-file FILE"
                           : "check --host, or ask another entry host");
  }
  result<json> body = BodyObject(answer, host);
  return body;
}

}  // namespace foxtailspread
