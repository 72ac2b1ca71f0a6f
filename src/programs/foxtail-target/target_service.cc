#include "target_service.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "net/json_answer.h"
#include "net/log.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr int kPoisonedExit = 70;
constexpr char kNotStartedHeader[] = "Foxtail-Not-Started";
constexpr char kAttemptHeader[] = "Foxtail-Attempt";

int64_t ToMicroseconds(time_point at) { return at.time_since_epoch().count(); }

int StatusOf(target_verdict verdict) {
  switch (verdict) {
    case target_verdict::kDone:
      return kHttpOk;
    case target_verdict::kNotOwner:
    case target_verdict::kStaleEpoch:
      return kHttpConflict;
    case target_verdict::kShed:
    case target_verdict::kFull:
      return kHttpUnavailable;
    case target_verdict::kExpiredUnstarted:
    case target_verdict::kExpiredRunning:
      return kHttpGatewayTimeout;
  }
  return kHttpInternalError;
}

target_headers HeadersOf(const http_request& request) {
  return {.attempt = request.Header(kAttemptHeader),
          .key = request.Header("Foxtail-Key"),
          .range = request.Header("Foxtail-Range"),
          .epoch = request.Header("Foxtail-Epoch"),
          .bucket = request.Header("Foxtail-Bucket"),
          .deadline_ms = request.Header("Foxtail-Deadline-Ms"),
          .deadline_clock_us = request.Header("Foxtail-Deadline-Clock-Us"),
          .work_ms = request.Header("X-Work-Ms")};
}

json ToJson(const target_run& run) {
  return {{"attempt", run.attempt},
          {"key", run.key},
          {"range", run.range},
          {"epoch", run.epoch},
          {"bucket", run.bucket},
          {"body_sum", run.body_sum},
          {"started_us", ToMicroseconds(run.started)},
          {"ended_us", ToMicroseconds(run.ended)},
          {"end", ToString(run.end)}};
}

http_answer MethodNotAllowed() {
  return ErrorAnswer(
      kHttpMethodNotAllowed,
      {error_code::kMalformed, "", "the path does not know this method",
       "see docs/protocols/TARGET.md"});
}

}  // namespace

target_service::target_service(target_settings settings, int connections)
    : machine_(std::move(settings), Now()),
      server_({.max_connections = static_cast<size_t>(connections)}) {
  RouteAnswer("/grant", &target_service::GrantOrDescribe);
  RouteAnswer("/health", &target_service::Health);
  RouteAnswer("/load", &target_service::Load);
  RouteAnswer("/admin/faults", &target_service::SetFaults);
  RouteAnswer("/admin/runs", &target_service::Runs);
  server_.Route("/work", [this](const http_request&, const responder_ptr& to) {
    Handle([this](const http_request& request,
                  const responder_ptr& from) { Work(request, from); },
           to);
  });
}

void target_service::RouteAnswer(const char* prefix, answer_function answer) {
  server_.Route(prefix, [this, answer](const http_request&,
                                       const responder_ptr& to) {
    Handle(
        [this, answer](const http_request& request, const responder_ptr& from) {
          from->Answer((this->*answer)(request));
        },
        to);
  });
}

// A frozen target reads nothing: what arrives is handled after the freeze.
void target_service::Handle(const http_handler& handler,
                            const responder_ptr& to) {
  machine_.Advance(Now());
  if (machine_.Frozen()) {
    held_back_.emplace_back(handler, to);
  } else {
    handler(to->Request(), to);
  }
  Pump();
}

http_answer target_service::GrantOrDescribe(const http_request& request) {
  if (request.Method() == "POST") {
    return Grant(request);
  }
  return request.Method() == "GET" ? DescribeGrant(request)
                                   : MethodNotAllowed();
}

http_answer target_service::Grant(const http_request& request) {
  const result<target_grant> grant = ParseTargetGrant(request.Body());
  if (!grant) {
    return ErrorAnswer(kHttpBadRequest, grant.error());
  }
  const time_point now = Now();
  const result<grant_answer> answer = machine_.Grant(grant.value(), now);
  if (!answer) {
    return ErrorAnswer(kHttpBadRequest, answer.error());
  }
  if (answer.value().verdict == grant_verdict::kStale) {
    return JsonAnswer(kHttpConflict, {{"clock_us", ToMicroseconds(now)},
                                      {"epoch", answer.value().epoch}});
  }
  return JsonAnswer(kHttpOk, {{"clock_us", ToMicroseconds(now)},
                              {"epoch", answer.value().epoch},
                              {"seq", answer.value().seq},
                              {"running", answer.value().running}});
}

http_answer target_service::DescribeGrant(const http_request& request) {
  const time_point now = Now();
  const held_range* held = machine_.Held(request.Query("range").value_or(""));
  const held_range range = held == nullptr ? held_range{} : *held;
  const duration valid = std::max(range.valid_until - now, duration{0});
  return JsonAnswer(kHttpOk, {{"clock_us", ToMicroseconds(now)},
                              {"epoch", range.epoch},
                              {"seq", range.seq},
                              {"buckets", range.buckets},
                              {"valid_us", valid.count()}});
}

http_answer target_service::Health(const http_request& /*request*/) {
  return JsonAnswer(kHttpOk, {{"ok", machine_.Report(Now()).ok}});
}

http_answer target_service::Load(const http_request& /*request*/) {
  const target_report report = machine_.Report(Now());
  return JsonAnswer(kHttpOk,
                    {{"running", report.running}, {"queued", report.queued}});
}

http_answer target_service::SetFaults(const http_request& request) {
  const result<target_faults> faults =
      ParseTargetFaults(request.Body(), machine_.Faults());
  if (!faults) {
    return ErrorAnswer(kHttpBadRequest, faults.error());
  }
  machine_.SetFaults(faults.value(), Now());
  LogEvent(event_id::kFaultsChanged, {{"faults", request.Body()}});
  return JsonAnswer(kHttpOk, json::object());
}

http_answer target_service::Runs(const http_request& /*request*/) {
  json runs = json::array();
  for (const target_run& run : machine_.Runs()) {
    runs.push_back(ToJson(run));
  }
  return JsonAnswer(kHttpOk, {{"runs", std::move(runs)}});
}

void target_service::Work(const http_request& request,
                          const responder_ptr& to) {
  const result<target_request> parsed =
      ParseTargetRequest(HeadersOf(request), request.Body());
  if (!parsed) {
    to->Answer(ErrorAnswer(kHttpBadRequest, parsed.error()));
    return;
  }
  const target_ticket ticket = machine_.Submit(parsed.value(), Now());
  callers_.emplace(ticket, to);
  to->OnGone([this, ticket] {
    callers_.erase(ticket);
    machine_.Cancel(ticket, Now());
    LogEvent(event_id::kWorkCancelled,
             {{"ticket", static_cast<int64_t>(ticket)}});
    Pump();
  });
}

void target_service::AnswerWork(const target_outcome& outcome) {
  const auto caller = callers_.extract(outcome.ticket);
  if (caller.empty()) {
    return;
  }
  http_answer answer =
      JsonAnswer(kHttpOk, {{"target", machine_.Settings().name},
                           {"key", outcome.key},
                           {"run", outcome.run},
                           {"sum", outcome.sum}});
  if (outcome.verdict != target_verdict::kDone) {
    answer = ErrorAnswer(
        StatusOf(outcome.verdict),
        {error_code::kUnavailable, "", std::string{ToString(outcome.verdict)},
         "ask another target"});
  }
  answer.headers.push_back({kAttemptHeader, outcome.attempt});
  if (NotStarted(outcome.verdict)) {
    answer.headers.push_back({kNotStartedHeader, "1"});
  }
  if (outcome.truncate) {
    caller.mapped()->AnswerTruncated(answer);
  } else {
    caller.mapped()->Answer(answer);
  }
}

// Brings the machine up to now, answers what has ended and sets the timer for
// what ends next.
void target_service::Pump() {
  machine_.Advance(Now());
  if (machine_.Crashed()) {
    LogEvent(event_id::kPoisonedRequest);
    std::_Exit(kPoisonedExit);
  }
  for (const target_outcome& outcome : machine_.TakeOutcomes()) {
    AnswerWork(outcome);
  }
  if (!machine_.Frozen()) {
    for (const auto& [handler, to] : std::exchange(held_back_, {})) {
      Handle(handler, to);
    }
  }
  next_event_.Cancel();
  if (const auto next = machine_.NextEvent()) {
    next_event_ = RunAfter(*next - Now(), [this] { Pump(); });
  }
}

}  // namespace foxtailspread
