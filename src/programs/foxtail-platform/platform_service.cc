#include "platform_service.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "net/json_answer.h"
#include "net/log.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kAdminHostsPath = "/admin/hosts/";
constexpr char kRetryAfterSeconds[] = "1";

// The revision that a conditional write expects.
struct write_condition {
  enum class kind { kAbsent, kRevision, kMalformed };
  kind is = kind::kAbsent;
  uint64_t revision = kNoRevision;
};

std::optional<uint64_t> ParseUnsigned(std::string_view text) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

write_condition ConditionOf(const http_request& request) {
  using kind = write_condition::kind;
  const auto match = request.Header("If-Match");
  const auto none_match = request.Header("If-None-Match");
  if (match && none_match) {
    return {kind::kMalformed};
  }
  if (none_match) {
    return {*none_match == "*" ? kind::kRevision : kind::kMalformed};
  }
  if (!match) {
    return {kind::kAbsent};
  }
  const auto revision = ParseUnsigned(*match);
  // No object has revision 0: If-Match: 0 must not pass for "none there".
  if (!revision || *revision == kNoRevision) {
    return {kind::kMalformed};
  }
  return {kind::kRevision, *revision};
}

// Returns the answer for a write without a usable condition, or nothing.
std::optional<http_answer> RefuseCondition(const write_condition& condition) {
  switch (condition.is) {
    case write_condition::kind::kAbsent:
      return ErrorAnswer(
          kHttpPreconditionRequired,
          {error_code::kMissingField, "If-Match", "a write needs a condition",
           "send If-Match: REVISION or If-None-Match: *"});
    case write_condition::kind::kMalformed:
      return ErrorAnswer(
          kHttpBadRequest,
          {error_code::kMalformed, "If-Match", "this is not a condition",
           "send If-Match: REVISION or If-None-Match: *"});
    case write_condition::kind::kRevision:
      break;
  }
  return std::nullopt;
}

// Values are passed on as the text that was written: a value nested some
// hundred thousand deep is valid, and writing it out again level by level
// would overflow the stack and end the process.
std::string ToText(const stored_object& object) {
  std::string text =
      json{{"key", object.key}, {"revision", object.revision}}.dump();
  text.pop_back();
  return object.deleted ? text + ",\"deleted\":true}"
                        : text + ",\"value\":" + object.value + "}";
}

http_answer NotFound(std::string_view key) {
  return ErrorAnswer(kHttpNotFound,
                     {error_code::kUnknownName, std::string{key},
                      "there is no such object", "check its key"});
}

http_answer MethodNotAllowed() {
  return ErrorAnswer(
      kHttpMethodNotAllowed,
      {error_code::kMalformed, "", "the path does not know this method",
       "see docs/protocols/PLATFORM.md"});
}

int StatusOf(const error& failure) {
  return failure.code == error_code::kTooLarge ? kHttpTooLarge
                                               : kHttpBadRequest;
}

}  // namespace

platform_service::platform_service(const platform_settings& settings)
    : meter_(settings.read_rate, settings.write_rate, Now()),
      hosts_(settings.hosts_lag),
      server_({.max_body = kMaxObjectValueBytes}) {
  RouteCall("/v1/objects/", &platform_service::Objects);
  RouteCall("/v1/changes", &platform_service::Changes);
  RouteCall("/v1/hosts", &platform_service::Hosts);
  RouteAdmin("/admin/calls", &platform_service::Calls);
  RouteAdmin("/admin/faults", &platform_service::SetFaults);
  RouteAdmin("/admin/hosts/", &platform_service::PutHost);
}

void platform_service::RouteCall(const char* prefix, call_function call) {
  server_.Route(prefix, [this, call](const http_request& request,
                                     const responder_ptr& to) {
    if (faults_.DropsCallsFrom(request.Header("Foxtail-Zone").value_or(""))) {
      to->Abort();
      return;
    }
    (this->*call)(request, to);
  });
}

void platform_service::RouteAdmin(const char* prefix, admin_function call) {
  server_.Route(prefix, [this, call](const http_request& request,
                                     const responder_ptr& to) {
    to->Answer((this->*call)(request));
  });
}

bool platform_service::Admit(call_kind kind, const responder_ptr& to) {
  if (meter_.Admit(kind, Now())) {
    return true;
  }
  http_answer refusal = ErrorAnswer(
      kHttpTooManyRequests, {error_code::kUnavailable, "",
                             "too many calls a second", "call less often"});
  refusal.headers.push_back({"Retry-After", kRetryAfterSeconds});
  Answer(to, std::move(refusal));
  return false;
}

void platform_service::Objects(const http_request& request,
                               const responder_ptr& to) {
  const std::string_view key = request.Path().substr(kObjectsPath.size());
  const std::string_view method = request.Method();
  if (method == "GET") {
    Get(key, to);
  } else if (method == "PUT") {
    Put(key, request, to);
  } else if (method == "DELETE") {
    Remove(key, request, to);
  } else {
    Answer(to, MethodNotAllowed());
  }
}

void platform_service::Get(std::string_view key, const responder_ptr& to) {
  if (!Admit(call_kind::kRead, to)) {
    return;
  }
  const stored_object* object = store_.Get(key);
  Answer(to, object == nullptr ? NotFound(key)
                               : http_answer{.body = ToText(*object)});
}

void platform_service::Put(std::string_view key, const http_request& request,
                           const responder_ptr& to) {
  if (!Admit(call_kind::kWrite, to)) {
    return;
  }
  const write_condition condition = ConditionOf(request);
  if (auto refusal = RefuseCondition(condition)) {
    Answer(to, std::move(*refusal));
    return;
  }
  const result<write_outcome> outcome =
      store_.Put(key, request.Body(), condition.revision);
  if (!outcome) {
    Answer(to, ErrorAnswer(StatusOf(outcome.error()), outcome.error()));
    return;
  }
  AnswerWrite(key, outcome.value(), to);
}

void platform_service::Remove(std::string_view key, const http_request& request,
                              const responder_ptr& to) {
  if (!Admit(call_kind::kWrite, to)) {
    return;
  }
  const write_condition condition = ConditionOf(request);
  if (auto refusal = RefuseCondition(condition)) {
    Answer(to, std::move(*refusal));
    return;
  }
  AnswerWrite(key, store_.Remove(key, condition.revision), to);
}

http_answer platform_service::DescribeWrite(
    std::string_view key, const write_outcome& outcome) const {
  switch (outcome.verdict) {
    case write_verdict::kWritten:
      return JsonAnswer(kHttpOk,
                        {{"key", key}, {"revision", outcome.revision}});
    case write_verdict::kNotFound:
      return NotFound(key);
    case write_verdict::kConflict:
      break;
  }
  const stored_object* object = store_.Get(key);
  if (object != nullptr) {
    return {.status = kHttpPreconditionFailed, .body = ToText(*object)};
  }
  return JsonAnswer(
      kHttpPreconditionFailed,
      {{"key", key}, {"revision", kNoRevision}, {"value", nullptr}});
}

void platform_service::AnswerWrite(std::string_view key,
                                   const write_outcome& outcome,
                                   const responder_ptr& to) {
  const bool written = outcome.verdict == write_verdict::kWritten;
  if (written && faults_.ConsumeLostWriteAnswer()) {
    to->Abort();
  } else {
    Answer(to, DescribeWrite(key, outcome));
  }
  if (written) {
    AnswerDueWatches();
  }
}

void platform_service::Changes(const http_request& request,
                               const responder_ptr& to) {
  if (!Admit(call_kind::kRead, to)) {
    return;
  }
  const auto since = ParseUnsigned(request.Query("since").value_or("0"));
  const auto wait = ParseUnsigned(request.Query("wait_ms").value_or("0"));
  const auto longest =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxWatchWait);
  if (!since || !wait || *wait > static_cast<uint64_t>(longest.count())) {
    Answer(to, ErrorAnswer(kHttpBadRequest,
                           {error_code::kOutOfRange, "since, wait_ms",
                            "these are not numbers in range",
                            "use whole numbers, wait_ms up to 30000"}));
    return;
  }
  if (*wait == 0 || store_.Revision() > *since) {
    AnswerChanges(*since, to);
    return;
  }
  meter_.RecountReadAsWatch();
  const watch_ticket ticket =
      watches_.Add(*since, std::chrono::milliseconds{*wait}, Now());
  waiting_.emplace(ticket, waiting_watch{to, *since});
  to->OnGone([this, ticket] {
    watches_.Remove(ticket);
    waiting_.erase(ticket);
  });
  AnswerDueWatches();
}

void platform_service::AnswerChanges(uint64_t since, const responder_ptr& to) {
  std::string text =
      "{\"revision\":" + std::to_string(store_.Revision()) + ",\"changes\":[";
  const char* separator = "";
  for (const stored_object& object : store_.Changes(since)) {
    text.append(separator).append(ToText(object));
    separator = ",";
  }
  Answer(to, {.body = text + "]}"});
}

// Answers the watches that a write or the time has ended and sets the timer
// for the next one.
void platform_service::AnswerDueWatches() {
  for (const watch_ticket ticket : watches_.TakeDue(store_.Revision(), Now())) {
    const auto watch = waiting_.extract(ticket);
    if (!watch.empty()) {
      AnswerChanges(watch.mapped().since, watch.mapped().to);
    }
  }
  next_watch_.Cancel();
  const time_point next = watches_.NextTimeout();
  if (next != time_point::max()) {
    next_watch_ = RunAfter(next - Now(), [this] { AnswerDueWatches(); });
  }
}

void platform_service::Hosts(const http_request& /*request*/,
                             const responder_ptr& to) {
  if (!Admit(call_kind::kRead, to)) {
    return;
  }
  json hosts = json::array();
  for (const listed_host& host : hosts_.Visible(Now())) {
    hosts.push_back({{"name", host.name},
                     {"kind", host.kind},
                     {"zone", host.zone},
                     {"state", host.state}});
  }
  Answer(to, JsonAnswer(kHttpOk, {{"hosts", std::move(hosts)}}));
}

http_answer platform_service::Calls(const http_request& /*request*/) {
  const call_counts& counts = meter_.Counts();
  return JsonAnswer(kHttpOk, {{"reads", counts.reads},
                              {"writes", counts.writes},
                              {"watches", counts.watches},
                              {"refused", counts.refused}});
}

http_answer platform_service::SetFaults(const http_request& request) {
  const result<platform_faults> faults =
      ParsePlatformFaults(request.Body(), faults_);
  if (!faults) {
    return ErrorAnswer(kHttpBadRequest, faults.error());
  }
  faults_ = faults.value();
  LogEvent(event_id::kFaultsChanged, {{"faults", request.Body()}});
  // A platform that goes down or is cut off cuts its watches as well.
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const responder_ptr to = next->second.to;
    const watch_ticket ticket = next->first;
    ++next;
    if (faults_.DropsCallsFrom(
            to->Request().Header("Foxtail-Zone").value_or(""))) {
      watches_.Remove(ticket);
      waiting_.erase(ticket);
      to->Abort();
    }
  }
  return JsonAnswer(kHttpOk, json::object());
}

http_answer platform_service::PutHost(const http_request& request) {
  const std::string_view name = request.Path().substr(kAdminHostsPath.size());
  if (request.Method() != "PUT" || name.empty()) {
    return MethodNotAllowed();
  }
  const result<listed_host> host = ParseListedHost(name, request.Body());
  if (!host) {
    return ErrorAnswer(kHttpBadRequest, host.error());
  }
  hosts_.Put(host.value(), Now());
  return JsonAnswer(kHttpOk, json::object());
}

// Writes take effect at once also when their answers are slow: a caller that
// gives up waiting must not conclude that nothing was written.
void platform_service::Answer(const responder_ptr& to, http_answer answer) {
  if (faults_.slow_ms == 0) {
    to->Answer(answer);
    return;
  }
  const uint64_t number = ++last_delayed_;
  delayed_[number] = RunAfter(std::chrono::milliseconds{faults_.slow_ms},
                              [this, number, to, answer = std::move(answer)] {
                                to->Answer(answer);
                                delayed_.erase(number);
                              });
}

}  // namespace foxtailspread
