#ifndef FOXTAILSPREAD_HOST_IO_H_
#define FOXTAILSPREAD_HOST_IO_H_

/// @file
/// The events that an entry host's decisions take in and the actions that
/// they give out. Both are plain values, so that a run can be recorded and
/// replayed. Daemons turn what happens into events and carry the actions out.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailspread/config.h"
#include "foxtailspread/dispatch_types.h"
#include "foxtailspread/events.h"
#include "foxtailspread/object_cache.h"
#include "foxtailspread/peer_message.h"

namespace foxtailspread {

/// What is said of a request; nothing else ever is.
enum class request_outcome { kDone, kNotRun, kUnknown };

/// Returns "done", "not-run" or "unknown".
std::string_view ToString(request_outcome outcome);

// ---------------------------------------------------------------- events

/// Time passed.
struct tick_event {};

/// A caller's request arrived whole.
struct caller_request {
  uint64_t request_id = 0;   ///< Unique within the host's life.
  std::string token_digest;  ///< SHA-256 of the bearer token, hex; or empty.
  std::string service;
  std::string key;
  std::string urgency;      ///< As given; empty for the service's default.
  int64_t deadline_us = 0;  ///< Time allowed; 0 for the service's default.
  std::string action;       ///< Action identifier, or empty.
  uint64_t body_hash = 0;   ///< xxHash of the body.
};

/// A request that another entry host took in and sends to the steward.
struct forwarded_request {
  uint64_t request_id = 0;
  std::string from;  ///< Name of the forwarding host.
  std::string organisation;
  std::string range;
  std::string service;
  std::string key;
  urgency level = urgency::kOrdinary;
  int64_t deadline_us = 0;  ///< Time left.
  std::string action;
  uint64_t body_hash = 0;
  bool mint = false;  ///< Wants an action identifier; nothing is run.
};

/// The caller (or forwarding host) closed its connection.
struct caller_gone {
  uint64_t request_id = 0;
};

/// A caller wants an action identifier.
struct mint_request {
  uint64_t request_id = 0;
  std::string token_digest;
  std::string service;
};

/// An attempt at a target ended.
struct attempt_ended {
  uint64_t attempt_id = 0;
  attempt_end end = attempt_end::kBroken;
  int status = 0;
  /// The answer's body, only where the attempt asked to keep it.
  std::string body;
  std::string content_type;
};

/// How a forward to another entry host ended.
enum class forward_end {
  kAnswered,       ///< A final answer; its body is kept under the forward id.
  kNotSteward,     ///< The other host is not the range's steward.
  kConnectFailed,  ///< Nothing was sent.
  kBroken,         ///< The connection broke after the request was sent.
};

/// A forward ended.
struct forward_ended {
  uint64_t forward_id = 0;
  forward_end end = forward_end::kBroken;
  int status = 0;
  request_outcome outcome = request_outcome::kUnknown;
  int64_t retry_after_us = 0;
  /// Identifiers of actions that came with it, or empty.
  std::string next_action{};
};

/// How a grant order ended.
enum class grant_end { kAccepted, kRefused, kFailed };

/// A target answered a grant order, or did not.
struct grant_ended {
  std::string range;
  std::string target;
  uint64_t seq = 0;
  grant_end end = grant_end::kFailed;
  int64_t clock_us = 0;
  uint64_t epoch = 0;  ///< The highest that the target has seen.
};

/// A message of another entry host arrived.
struct peer_received {
  peer_message message;
};

/// How a call of the platform ended.
enum class platform_end {
  kOk,
  kConflict,  ///< The condition failed; `object` is what stands there.
  kMissing,
  kFailed,   ///< No answer: a write may have taken effect.
  kRefused,  ///< Over the platform's rate, or not accepted.
};

/// A call of the platform ended.
struct platform_ended {
  uint64_t call_id = 0;
  platform_end end = platform_end::kFailed;
  object_change object;  ///< For gets, puts and conflicts.
  change_batch changes;  ///< For watches.
  /// For lists of hosts: the names of those that are leaving.
  std::vector<std::string> leaving{};
};

/// The operator asked the host to stop gracefully.
struct leave_requested {};

using host_event =
    std::variant<tick_event, caller_request, forwarded_request, caller_gone,
                 mint_request, attempt_ended, forward_ended, grant_ended,
                 peer_received, platform_ended, leave_requested>;

/// The status of an answer between hosts: the receiver is not the steward.
/// Not 421, which libsoup takes as a reason to send the request again itself.
inline constexpr int kMisdirected = 410;

// --------------------------------------------------------------- actions

/// Where the body of an answer comes from.
enum class body_source {
  kNone,     ///< The error fields make the body.
  kAttempt,  ///< The body of that attempt's answer.
  kForward,  ///< The body of that forward's answer.
  kInline,   ///< `body` of the action itself.
};

/// Give the caller its final answer.
struct answer_action {
  uint64_t request_id = 0;
  request_outcome outcome = request_outcome::kNotRun;
  int status = 503;
  std::string code;  ///< Stable name of the error, empty when done.
  std::string reason;
  std::string remedy;
  int64_t retry_after_us = 0;  ///< When to come back; 0 if of no use.
  std::string next_action;     ///< A fresh action identifier, or empty.
  std::string target;          ///< The target that ran it, if done here.
  body_source source = body_source::kNone;
  uint64_t body_id = 0;
  std::string body;
  std::string content_type;
};

/// Send a request to a target.
struct attempt_action {
  uint64_t request_id = 0;
  uint64_t attempt_id = 0;
  std::string target;
  std::string address;
  std::string range;
  uint64_t epoch = 0;
  int bucket = -1;
  std::string key;
  int64_t not_after_us = 0;  ///< Boot clock; not sent at or after this time.
  int64_t time_left_us = 0;
  int64_t target_clock_deadline_us = 0;  ///< Target's clock; 0 if unknown.
  bool keep_body = false;  ///< Hand the answer's body in with its end.
};

/// Give an attempt up: close its connection.
struct cancel_attempt_action {
  uint64_t attempt_id = 0;
};

/// Send a caller's request to another entry host.
struct forward_action {
  uint64_t request_id = 0;
  uint64_t forward_id = 0;
  std::string host;
  std::string address;
  std::string organisation;
  std::string range;
  std::string service;
  std::string key;
  urgency level = urgency::kOrdinary;
  int64_t time_left_us = 0;
  std::string action;
  bool mint = false;
};

/// Give a forward up: close its connection.
struct cancel_forward_action {
  uint64_t forward_id = 0;
};

/// Order a target to own exactly these buckets.
struct grant_action {
  std::string range;
  std::string target;
  std::string address;
  uint64_t epoch = 0;
  uint64_t seq = 0;
  int64_t echo_us = 0;
  int64_t lease_us = 0;
  std::vector<int> buckets;
  int64_t not_after_us = 0;  ///< Boot clock; not sent at or after this time.
};

/// Send a message to another entry host.
struct peer_action {
  std::string host;
  std::string address;
  peer_message message;
};

enum class platform_call_kind { kGet, kPut, kWatch, kListHosts };

/// Call the platform.
struct platform_action {
  uint64_t call_id = 0;
  platform_call_kind kind = platform_call_kind::kGet;
  std::string key;
  uint64_t if_revision = 0;  ///< For puts; 0 means that nothing may exist.
  std::string value;
  uint64_t since = 0;   ///< For watches.
  int64_t wait_us = 0;  ///< For watches.
};

/// One field of a log event.
using event_field = std::pair<std::string, std::string>;

/// Write a numbered event to the log.
struct log_action {
  event_id event = event_id::kHostStarted;
  std::vector<event_field> fields;
};

/// Everything is handed over and answered: the process may end.
struct stop_action {};

using host_action =
    std::variant<answer_action, attempt_action, cancel_attempt_action,
                 forward_action, cancel_forward_action, grant_action,
                 peer_action, platform_action, log_action, stop_action>;

using action_list = std::vector<host_action>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HOST_IO_H_
