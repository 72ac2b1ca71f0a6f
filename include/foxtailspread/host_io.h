#ifndef FOXTAILSPREAD_HOST_IO_H_
#define FOXTAILSPREAD_HOST_IO_H_

/// @file
/// The input events and output actions of an entry host's decision logic. Both
/// are plain values, so that a run can be recorded and replayed. The daemons
/// translate network and timer activity into events and perform the actions.

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

/// The outcome of a request as reported to its caller; there are no others.
enum class request_outcome { kDone, kNotRun, kUnknown };

/// Returns "done", "not-run" or "unknown".
std::string_view ToString(request_outcome outcome);

// ---------------------------------------------------------------- events

/// Time passed.
struct tick_event {};

/// A caller's request was received completely.
struct caller_request {
  uint64_t request_id = 0;   ///< Unique until the host restarts.
  std::string token_digest;  ///< Hex SHA-256 of the bearer token, or empty.
  std::string service;
  std::string key;
  std::string urgency;      ///< As sent; empty for the service's default.
  int64_t deadline_us = 0;  ///< Time allowed; 0 for the service's default.
  std::string action;       ///< Action identifier, or empty.
  uint64_t body_hash = 0;   ///< xxHash of the body.
};

/// A request that another entry host received and forwards to the steward of
/// its range.
struct forwarded_request {
  uint64_t request_id = 0;
  std::string from;  ///< Name of the forwarding host.
  std::string organisation;
  std::string range;
  std::string service;
  std::string key;
  urgency level = urgency::kOrdinary;
  int64_t deadline_us = 0;  ///< Time left until the deadline.
  std::string action;
  uint64_t body_hash = 0;
  bool mint = false;  ///< Requests an action identifier; runs nothing.
};

/// The caller (or forwarding host) closed its connection.
struct caller_gone {
  uint64_t request_id = 0;
};

/// A caller requests an action identifier.
struct mint_request {
  uint64_t request_id = 0;
  std::string token_digest;
  std::string service;
};

/// An attempt at a target ended.
struct attempt_ended {
  uint64_t attempt_id = 0;
  attempt_outcome end = attempt_outcome::kConnectionBroken;
  int status = 0;
  /// The answer's body; empty unless the attempt had `keep_body` set.
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
  /// The action identifiers that came with the answer, or empty.
  std::string next_action{};
};

/// How a grant order ended.
enum class grant_end { kAccepted, kRefused, kFailed };

/// A grant order was answered by its target, or failed.
struct grant_ended {
  std::string range;
  std::string target;
  uint64_t seq = 0;
  grant_end end = grant_end::kFailed;
  int64_t clock_us = 0;
  uint64_t epoch = 0;  ///< The highest epoch the target has seen.
};

/// A message from another entry host arrived.
struct peer_received {
  peer_message message;
};

/// How a call to the platform ended.
enum class platform_end {
  kOk,
  kConflict,  ///< Condition failed; `object` has the current state.
  kMissing,
  kFailed,   ///< No answer; a write may have taken effect.
  kRefused,  ///< Over the platform's rate limit, or invalid.
};

/// A call to the platform ended.
struct platform_ended {
  uint64_t call_id = 0;
  platform_end end = platform_end::kFailed;
  object_change object;  ///< For gets, puts and conflicts.
  change_batch changes;  ///< For watches.
  /// For lists of hosts: the names of the hosts and targets that are leaving.
  std::vector<std::string> leaving{};
};

/// The operator asked the host to stop gracefully.
struct leave_requested {};

using host_event =
    std::variant<tick_event, caller_request, forwarded_request, caller_gone,
                 mint_request, attempt_ended, forward_ended, grant_ended,
                 peer_received, platform_ended, leave_requested>;

/// The HTTP status of a forward's answer if the receiving host is not the
/// steward of the range. It is not 421, because libsoup resends a request by
/// itself after a 421.
inline constexpr int kNotStewardHttpStatus = 410;

// --------------------------------------------------------------- actions

/// Where the body of an answer comes from.
enum class body_source {
  kNone,     ///< The body is made from the error fields.
  kAttempt,  ///< The body of that attempt's answer.
  kForward,  ///< The body of that forward's answer.
  kInline,   ///< `body` of the action itself.
};

/// Send the caller its final answer.
struct answer_action {
  uint64_t request_id = 0;
  request_outcome outcome = request_outcome::kNotRun;
  int status = 503;
  std::string code;  ///< Stable name of the error, empty when done.
  std::string reason;
  std::string remedy;
  int64_t retry_after_us = 0;  ///< 0 if a retry would not help.
  std::string next_action;     ///< A new action identifier, or empty.
  std::string target;          ///< The target that ran it, if sent from here.
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
  bool keep_body = false;  ///< Report the answer's body in attempt_ended.
};

/// Cancel an attempt by closing its connection.
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

/// Cancel a forward by closing its connection.
struct cancel_forward_action {
  uint64_t forward_id = 0;
};

/// Order a target to own exactly the listed buckets.
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
  uint64_t if_revision = 0;  ///< For puts; 0: the object must not exist.
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

/// The host has stopped: its ranges are handed over and its requests answered,
/// or the drain limit has passed. The process may exit.
struct stop_action {};

using host_action =
    std::variant<answer_action, attempt_action, cancel_attempt_action,
                 forward_action, cancel_forward_action, grant_action,
                 peer_action, platform_action, log_action, stop_action>;

using action_list = std::vector<host_action>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HOST_IO_H_
