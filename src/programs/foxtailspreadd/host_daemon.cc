#include "host_daemon.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "foxtailspread/events.h"
#include "foxtailspread/hash.h"
#include "net/digest.h"
#include "net/glib_mac.h"
#include "net/log.h"

namespace foxtailspread {
namespace {

using json = nlohmann::json;

constexpr duration kTick{std::chrono::milliseconds{10}};
constexpr duration kGrantTimeout{std::chrono::milliseconds{300}};
constexpr duration kLastAnswers{std::chrono::seconds{1}};
constexpr duration kOverloadReturn{std::chrono::milliseconds{500}};
constexpr int kTargetConnections = 512;
constexpr int kHostConnections = 256;

constexpr std::string_view kNextAction = "Foxtail-Next-Action";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kKeyPart = "/keys/";

std::string HeaderOr(const http_request& request, std::string_view name) {
  return std::string(request.Header(name).value_or(""));
}

template <typename Number>
Number ParseNumber(std::string_view text, Number fallback) {
  Number value{};
  const auto [end, failed] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = failed == std::errc{} && end == text.data() + text.size();
  return whole ? value : fallback;
}

uint64_t HashBody(std::string_view body) { return HashText(body); }

/// Returns the digest of the bearer token, or "" without one.
std::string TokenDigest(const http_request& request) {
  const std::string header = HeaderOr(request, "Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  if (!header.starts_with(kScheme)) {
    return "";
  }
  return Sha256Hex(std::string_view(header).substr(kScheme.size()));
}

http_answer ErrorAnswer(int status, std::string_view code,
                        std::string_view reason, std::string_view remedy,
                        request_outcome outcome, int64_t retry_after_us) {
  http_answer answer;
  answer.status = status;
  const int64_t retry_ms = (retry_after_us + 999) / 1000;
  json body{{"error", {{"code", code}, {"reason", reason}, {"remedy", remedy}}},
            {"outcome", ToString(outcome)}};
  answer.headers.push_back({"Foxtail-Outcome", std::string(ToString(outcome))});
  if (retry_ms > 0) {
    body["retry_after_ms"] = retry_ms;
    answer.headers.push_back(
        {"Retry-After", std::to_string((retry_ms + 999) / 1000)});
    answer.headers.push_back(
        {"Foxtail-Retry-After-Ms", std::to_string(retry_ms)});
  }
  answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return answer;
}

/// Waits for a target and tells what its answer means.
attempt_outcome EndOf(const http_call_result& result) {
  switch (result.outcome) {
    case http_outcome::kAnswered:
      break;
    case http_outcome::kConnectFailed:
      return attempt_outcome::kConnectFailed;
    case http_outcome::kTimedOut:
      return result.delivery == http_delivery::kNotWritten
                 ? attempt_outcome::kConnectFailed
                 : attempt_outcome::kTimedOut;
    case http_outcome::kBroken:
    case http_outcome::kTooLarge:
      return result.delivery == http_delivery::kNotWritten
                 ? attempt_outcome::kConnectFailed
                 : attempt_outcome::kConnectionBroken;
  }
  const bool not_started = result.Header("Foxtail-Not-Started").has_value();
  if (result.status == kHttpConflict) {
    return attempt_outcome::kNotOwner;
  }
  if (result.status == kHttpUnavailable && not_started) {
    return attempt_outcome::kNotStarted;
  }
  if (result.status == kHttpGatewayTimeout) {
    return not_started ? attempt_outcome::kNotStarted
                       : attempt_outcome::kTimedOut;
  }
  return attempt_outcome::kAnswered;
}

request_outcome OutcomeOf(const http_call_result& result) {
  const std::string_view text =
      result.Header("Foxtail-Outcome").value_or("unknown");
  if (text == ToString(request_outcome::kDone)) {
    return request_outcome::kDone;
  }
  if (text == ToString(request_outcome::kNotRun)) {
    return request_outcome::kNotRun;
  }
  return request_outcome::kUnknown;
}

decision_timing TimingFrom(const host_settings& settings) {
  decision_timing timing;
  timing.authority.promise = settings.timing.lease;
  timing.authority.renew = settings.timing.renew;
  timing.lease.lease = settings.timing.lease;
  timing.lease.renew = settings.timing.renew;
  timing.ready_lag = settings.timing.drain_ready_lag;
  timing.drain_limit = settings.timing.drain_limit;
  return timing;
}

host_identity IdentityFrom(const host_settings& settings,
                           const std::string& http, const std::string& peer) {
  host_identity identity;
  identity.self.name = settings.name;
  identity.deployment = settings.deployment;
  identity.self.zone = settings.zone;
  identity.self.http = http;
  identity.self.peer = peer;
  // The wall clock in microseconds: a later start of the same host always
  // has a later life, also after the machine was replaced under its name.
  identity.self.life = static_cast<uint64_t>(g_get_real_time());
  identity.secret = action_secret{settings.host_secret, &GlibMac};
  for (const peer_seed& seed : settings.peers) {
    host_entry entry;
    entry.name = seed.name;
    entry.zone = seed.zone;
    entry.http = seed.http;
    entry.peer = seed.peer;
    identity.seeds.push_back(std::move(entry));
  }
  return identity;
}

/// Returns the address that others are told: the one set, or the bound one
/// where the settings left the port open.
std::string Advertised(const std::string& set, const std::string& bound) {
  return set.empty() || set.ends_with(":0") ? bound : set;
}

}  // namespace

host_daemon::host_daemon(const host_settings& settings,
                         std::function<void()> on_stop)
    : settings_(settings),
      on_stop_(std::move(on_stop)),
      server_(http_server_limits{
          .max_body = static_cast<size_t>(settings.limits.max_body_bytes)}),
      targets_(
          http_client_settings{.max_connections_per_host = kTargetConnections}),
      hosts_(
          http_client_settings{.max_connections_per_host = kHostConnections}),
      platform_(settings.platform, settings.zone,
                [this](const platform_ended& ended) { Handle(ended); }) {}

status host_daemon::Start() {
  Route();
  result<std::string> http = server_.Listen(settings_.listen);
  if (!http) {
    return http.error();
  }
  peers_ = std::make_unique<peer_transport>(
      settings_.host_secret, [this](peer_message message) {
        Handle(peer_received{std::move(message)});
      });
  result<std::string> peer = peers_->Listen(settings_.peer_listen);
  if (!peer) {
    return peer.error();
  }
  const host_identity identity =
      IdentityFrom(settings_, Advertised(settings_.advertise, http.value()),
                   Advertised(settings_.peer_advertise, peer.value()));
  const decision_timing timing = TimingFrom(settings_);
  if (!settings_.trace_file.empty()) {
    auto trace = trace_writer::Open(settings_.trace_file, identity, timing);
    if (!trace) {
      return trace.error();
    }
    trace_ = std::move(trace.value());
  }
  host_ = std::make_unique<entry_host>(identity, timing);
  admin_ = std::make_unique<admin_pages>(*host_, settings_);
  admin_->Route(server_);
  Handle(tick_event{});
  // Messages before the tick, which then acts on them: one timer wakes the
  // loop half as often as two would.
  tick_ = RunEvery(kTick, [this] {
    peers_->Drain();
    Handle(tick_event{});
  });
  g_print("listening %s peer %s\n", http.value().c_str(), peer.value().c_str());
  return OkStatus();
}

void host_daemon::Leave() { Handle(leave_requested{}); }

void host_daemon::Route() {
  server_.Route(std::string(kServicePrefix),
                [this](const http_request& request, responder_ptr to) {
                  OnServiceCall(request, std::move(to));
                });
  server_.Route("/v1/actions",
                [this](const http_request& request, responder_ptr to) {
                  OnMintCall(request, std::move(to));
                });
  server_.Route("/internal/work",
                [this](const http_request& request, responder_ptr to) {
                  OnInternalCall(request, std::move(to));
                });
}

bool host_daemon::Overloaded(const http_request& request,
                             const responder_ptr& to) {
  const bool full =
      static_cast<int>(requests_.size()) >= settings_.limits.max_in_flight;
  if (!full) {
    return false;
  }
  // An earlier send of an action may have run through another host.
  const bool action = request.Header("Foxtail-Action").has_value();
  to->Answer(
      ErrorAnswer(kHttpUnavailable, "overloaded",
                  "this host has too many requests in flight",
                  "come back after the stated time",
                  action ? request_outcome::kUnknown : request_outcome::kNotRun,
                  kOverloadReturn.count()));
  return true;
}

uint64_t host_daemon::Keep(responder_ptr to, std::string body, bool internal) {
  const uint64_t id = next_request_++;
  to->OnGone([this, id] {
    requests_.erase(id);
    Handle(caller_gone{id});
  });
  requests_[id] = pending_request{std::move(to), std::move(body), internal};
  return id;
}

void host_daemon::OnServiceCall(const http_request& request, responder_ptr to) {
  const std::string_view path = request.Path().substr(kServicePrefix.size());
  const size_t key_at = path.find(kKeyPart);
  if (key_at == std::string_view::npos || request.Method() != "POST") {
    to->Answer(ErrorAnswer(
        kHttpNotFound, "unknown-name", "no such method and path",
        "use POST /v1/services/SERVICE/keys/KEY", request_outcome::kNotRun, 0));
    return;
  }
  if (Overloaded(request, to)) {
    return;
  }
  caller_request event;
  event.token_digest = TokenDigest(request);
  event.service = path.substr(0, key_at);
  event.key = path.substr(key_at + kKeyPart.size());
  event.urgency = HeaderOr(request, "Foxtail-Urgency");
  event.action = HeaderOr(request, "Foxtail-Action");
  event.body_hash = HashBody(request.Body());
  const std::string deadline = HeaderOr(request, "Foxtail-Deadline-Ms");
  if (!deadline.empty()) {
    // A deadline that is no number is refused like one out of range.
    constexpr int64_t kMostMs = int64_t{1} << 40;
    const auto ms = ParseNumber<int64_t>(deadline, -1);
    event.deadline_us = ms <= 0 || ms > kMostMs ? -1 : ms * 1000;
  }
  event.request_id =
      Keep(std::move(to), std::string(request.Body()), /*internal=*/false);
  Handle(event);
}

void host_daemon::OnMintCall(const http_request& request, responder_ptr to) {
  const json body = json::parse(request.Body(), nullptr, false);
  const bool good = request.Method() == "POST" && body.is_object() &&
                    body.contains("service") && body["service"].is_string();
  if (!good) {
    to->Answer(ErrorAnswer(
        kHttpBadRequest, "malformed", "the request names no service",
        "POST {\"service\":\"NAME\"}", request_outcome::kNotRun, 0));
    return;
  }
  if (Overloaded(request, to)) {
    return;
  }
  mint_request event;
  event.token_digest = TokenDigest(request);
  event.service = body["service"].get<std::string>();
  event.request_id = Keep(std::move(to), "", /*internal=*/false);
  Handle(event);
}

void host_daemon::OnInternalCall(const http_request& request,
                                 responder_ptr to) {
  if (request.Header("Foxtail-Secret") != settings_.host_secret) {
    to->Answer(ErrorAnswer(kHttpUnauthorized, "unauthenticated",
                           "not an entry host of this deployment",
                           "use the callers' paths", request_outcome::kNotRun,
                           0));
    return;
  }
  forwarded_request event;
  event.from = HeaderOr(request, "Foxtail-From");
  event.organisation = HeaderOr(request, "Foxtail-Organisation");
  event.range = HeaderOr(request, "Foxtail-Range");
  event.service = HeaderOr(request, "Foxtail-Service");
  event.key = UnescapeHeader(HeaderOr(request, "Foxtail-Key"));
  const auto level = ParseUrgency(HeaderOr(request, "Foxtail-Urgency"));
  event.level = level ? level.value() : urgency::kOrdinary;
  event.deadline_us =
      ParseNumber<int64_t>(HeaderOr(request, "Foxtail-Deadline-Us"), 0);
  event.action = HeaderOr(request, "Foxtail-Action");
  event.body_hash = HashBody(request.Body());
  event.mint = request.Header("Foxtail-Mint").has_value();
  event.request_id =
      Keep(std::move(to), std::string(request.Body()), /*internal=*/true);
  Handle(event);
}

void host_daemon::Handle(const host_event& event) {
  if (host_ == nullptr) {
    return;
  }
  const time_point now = Now();
  action_list actions;
  host_->Handle(event, now, actions);
  if (trace_ != nullptr) {
    trace_->Write(event, now, actions);
  }
  for (const request_report& report : host_->TakeReports()) {
    admin_->Count(report, now);
  }
  CarryOut(actions);
}

void host_daemon::CarryOut(action_list& actions) {
  for (const host_action& action : actions) {
    std::visit([this](const auto& one) { Do(one); }, action);
  }
}

void host_daemon::Do(const answer_action& action) {
  arrived_answer body;
  if (action.source == body_source::kAttempt ||
      action.source == body_source::kForward) {
    const auto found = answers_.find(action.body_id);
    if (found != answers_.end()) {
      body = std::move(found->second);
      answers_.erase(found);
    }
  }
  const auto found = requests_.find(action.request_id);
  if (found == requests_.end()) {
    return;
  }
  const responder_ptr to = found->second.to;
  requests_.erase(found);
  if (action.source == body_source::kForward) {
    // The steward's answer is passed on as it came.
    http_answer answer{action.status, std::move(body.body),
                       std::move(body.content_type), std::move(body.headers)};
    if (!action.next_action.empty()) {
      answer.headers.push_back({std::string(kNextAction), action.next_action});
    }
    to->Answer(answer);
    return;
  }
  const bool with_body = action.source != body_source::kNone;
  http_answer answer;
  if (with_body) {
    const bool kept = action.source == body_source::kInline;
    answer.status = action.status;
    answer.body = std::move(body.body);
    if (kept) {
      answer.body = action.body;
    }
    answer.content_type = kept ? action.content_type : body.content_type;
    answer.headers.push_back(
        {"Foxtail-Outcome", std::string(ToString(action.outcome))});
  } else if (action.outcome == request_outcome::kDone) {
    answer.body = json{{"action", action.next_action}}.dump();
    answer.headers.push_back({"Foxtail-Outcome", "done"});
  } else {
    answer = ErrorAnswer(action.status, action.code, action.reason,
                         action.remedy, action.outcome, action.retry_after_us);
  }
  if (!action.next_action.empty()) {
    answer.headers.push_back({std::string(kNextAction), action.next_action});
  }
  if (!action.target.empty()) {
    answer.headers.push_back({"Foxtail-Target", action.target});
  }
  to->Answer(answer);
}

void host_daemon::Do(const attempt_action& action) {
  const auto found = requests_.find(action.request_id);
  const time_point now = Now();
  // Read again right before sending: the process may have been paused since
  // the decision, and its authority with it.
  if (found == requests_.end() ||
      now.time_since_epoch().count() >= action.not_after_us) {
    Handle(attempt_ended{action.attempt_id, attempt_outcome::kConnectFailed, 0,
                         "", ""});
    return;
  }
  http_call_request call;
  call.method = "POST";
  call.url = "http://" + action.address + "/work";
  call.body = found->second.body;
  call.timeout = duration{action.time_left_us};
  call.headers = {
      {"Foxtail-Range", action.range},
      {"Foxtail-Epoch", std::to_string(action.epoch)},
      {"Foxtail-Bucket", std::to_string(action.bucket)},
      {"Foxtail-Deadline-Ms", std::to_string(action.time_left_us / 1000)},
      {"Foxtail-Attempt",
       settings_.name + "-" + std::to_string(action.attempt_id)},
      {"Foxtail-Key", EscapeHeader(action.key)}};
  if (action.target_clock_deadline_us != 0) {
    call.headers.push_back({"Foxtail-Deadline-Clock-Us",
                            std::to_string(action.target_clock_deadline_us)});
  }
  const uint64_t id = action.attempt_id;
  const bool keep = action.keep_body;
  attempts_[id] =
      targets_.Send(std::move(call), [this, id, keep](http_call_result result) {
        OnAttemptResult(id, keep, std::move(result));
      });
}

void host_daemon::OnAttemptResult(uint64_t attempt_id, bool keep_body,
                                  http_call_result result) {
  attempts_.erase(attempt_id);
  attempt_ended event;
  event.attempt_id = attempt_id;
  event.end = EndOf(result);
  event.status = result.status;
  if (event.end == attempt_outcome::kAnswered) {
    const std::string type(result.Header("Content-Type").value_or(kJsonType));
    if (keep_body) {
      event.body = std::move(result.body);
      event.content_type = type;
    } else {
      answers_[attempt_id] = arrived_answer{std::move(result.body), type, {}};
    }
  }
  Handle(event);
  answers_.erase(attempt_id);
}

void host_daemon::Do(const cancel_attempt_action& action) {
  const auto found = attempts_.find(action.attempt_id);
  if (found == attempts_.end()) {
    return;
  }
  found->second->Cancel();
  attempts_.erase(found);
  Handle(
      attempt_ended{action.attempt_id, attempt_outcome::kCancelled, 0, "", ""});
}

void host_daemon::Do(const forward_action& action) {
  const auto found = requests_.find(action.request_id);
  // The host mints identifiers on its own account too, for no caller.
  if (found == requests_.end() && !action.mint) {
    return;
  }
  http_call_request call;
  call.method = "POST";
  call.url = "http://" + action.address + "/internal/work";
  call.body = found == requests_.end() ? "" : found->second.body;
  call.timeout = duration{action.time_left_us};
  call.headers = {{"Foxtail-Secret", settings_.host_secret},
                  {"Foxtail-From", settings_.name},
                  {"Foxtail-Organisation", action.organisation},
                  {"Foxtail-Range", action.range},
                  {"Foxtail-Service", action.service},
                  {"Foxtail-Key", EscapeHeader(action.key)},
                  {"Foxtail-Urgency", std::string(ToString(action.level))},
                  {"Foxtail-Deadline-Us", std::to_string(action.time_left_us)}};
  if (!action.action.empty()) {
    call.headers.push_back({"Foxtail-Action", action.action});
  }
  if (action.mint) {
    call.headers.push_back({"Foxtail-Mint", "1"});
  }
  const uint64_t id = action.forward_id;
  forwards_[id] =
      hosts_.Send(std::move(call), [this, id](http_call_result result) {
        OnForwardResult(id, std::move(result));
      });
}

void host_daemon::OnForwardResult(uint64_t forward_id,
                                  http_call_result result) {
  forwards_.erase(forward_id);
  forward_ended event;
  event.forward_id = forward_id;
  if (result.outcome != http_outcome::kAnswered) {
    event.end = result.delivery == http_delivery::kNotWritten
                    ? forward_end::kConnectFailed
                    : forward_end::kBroken;
  } else if (result.status == kNotStewardHttpStatus) {
    event.end = forward_end::kNotSteward;
  } else {
    event.end = forward_end::kAnswered;
    event.status = result.status;
    event.outcome = OutcomeOf(result);
    event.retry_after_us =
        1000 * ParseNumber<int64_t>(
                   result.Header("Foxtail-Retry-After-Ms").value_or("0"), 0);
    arrived_answer answer;
    for (const http_header& header : result.headers) {
      if (header.name == kNextAction) {
        event.next_action = header.value;
      } else if (header.name.starts_with("Foxtail-") ||
                 header.name == "Retry-After") {
        answer.headers.push_back(header);
      }
    }
    answer.content_type = result.Header("Content-Type").value_or(kJsonType);
    answer.body = std::move(result.body);
    answers_[forward_id] = std::move(answer);
  }
  Handle(event);
  answers_.erase(forward_id);
}

void host_daemon::Do(const cancel_forward_action& action) {
  const auto found = forwards_.find(action.forward_id);
  if (found != forwards_.end()) {
    found->second->Cancel();
    forwards_.erase(found);
  }
}

void host_daemon::Do(const grant_action& action) {
  grant_ended failed{action.range, action.target, action.seq,
                     grant_end::kFailed};
  if (Now().time_since_epoch().count() >= action.not_after_us) {
    Handle(failed);
    return;
  }
  http_call_request call;
  call.method = "POST";
  call.url = "http://" + action.address + "/grant";
  call.timeout = kGrantTimeout;
  call.body = json{{"range", action.range},       {"epoch", action.epoch},
                   {"seq", action.seq},           {"echo_us", action.echo_us},
                   {"lease_us", action.lease_us}, {"buckets", action.buckets}}
                  .dump();
  targets_.Send(std::move(call),
                [this, action](const http_call_result& result) {
                  OnGrantResult(action, result);
                });
}

void host_daemon::OnGrantResult(const grant_action& order,
                                const http_call_result& result) {
  grant_ended event{order.range, order.target, order.seq, grant_end::kFailed};
  if (result.outcome == http_outcome::kAnswered) {
    const json body = json::parse(result.body, nullptr, false);
    const bool good = body.is_object() && body.contains("clock_us") &&
                      body["clock_us"].is_number_integer() &&
                      body.contains("epoch") &&
                      body["epoch"].is_number_integer();
    if (good && result.status == kHttpOk) {
      event.end = grant_end::kAccepted;
    } else if (good && result.status == kHttpConflict) {
      event.end = grant_end::kRefused;
    }
    if (good) {
      event.clock_us = body["clock_us"].get<int64_t>();
      event.epoch = body["epoch"].get<uint64_t>();
    }
  }
  Handle(event);
}

void host_daemon::Do(const peer_action& action) {
  peers_->Send(action.address, action.message);
}

void host_daemon::Do(const platform_action& action) { platform_.Call(action); }

void host_daemon::Do(const log_action& action) {
  std::vector<log_field> fields;
  for (const auto& [name, value] : action.fields) {
    fields.push_back(log_field{name, std::string_view(value)});
  }
  LogEvent(action.event, fields);
}

void host_daemon::Do(const stop_action&) {
  // The last answers may still be on their way out; each connection closes
  // behind its answer.
  server_.Drain();
  tick_ = RunEvery(kTick, [this, ends = Now() + kLastAnswers] {
    peers_->Drain();
    if (server_.ConnectionCount() == 0 || Now() >= ends) {
      on_stop_();
    }
  });
}

}  // namespace foxtailspread
