#ifndef FOXTAILSPREAD_DISPATCH_TYPES_H_
#define FOXTAILSPREAD_DISPATCH_TYPES_H_

/// @file
/// The input events and output decisions of a dispatcher. All are plain
/// values; none points into the dispatcher's memory.

#include <cstdint>
#include <string_view>
#include <variant>

#include "foxtailspread/config.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The index of a target within its dispatcher. It does not change while the
/// target is in the target list, even if other targets are added or removed.
using target_index = int32_t;
inline constexpr target_index kNoTarget = -1;

/// The bucket of a request to a pooled service, which has no keys.
inline constexpr int32_t kNoBucket = -1;

/// One request submitted to a dispatcher. The dispatcher serves one range,
/// that is one service in one zone.
struct dispatch_request {
  uint64_t request_id = 0;   ///< Unique among unfinished requests.
  int32_t organisation = 0;  ///< Index into the rules of SetPolicy.
  urgency level = urgency::kOrdinary;
  time_point deadline;         ///< Answers after it are useless.
  int32_t bucket = kNoBucket;  ///< The key's bucket in a keyed service.
  uint64_t key_hash = 0;       ///< Key of the single-key owner table.
  /// Hash over organisation, service and body. Identifies requests that crash
  /// their targets, also when the caller resends them. 0 disables the check.
  uint64_t content_hash = 0;
  /// Whether the request may run more than once. If false, it runs at most
  /// once.
  bool repeatable = false;
};

/// How an attempt ended, as observed by its sender.
enum class attempt_outcome {
  kAnswered,       ///< A complete answer arrived.
  kNotStarted,     ///< The target reports that it did not start it (503, 504).
  kNotOwner,       ///< The target does not own the key; not started (409).
  kConnectFailed,  ///< Connecting failed, so nothing was sent.
  kConnectionBroken,  ///< The connection broke after the request was sent.
  kTimedOut,          ///< The sender's timeout expired.
  kCancelled,         ///< A cancel_attempt was carried out.
};

/// Whether a request that ended without an answer may have run.
enum class dispatch_outcome {
  kNotRun,   ///< No target started it.
  kUnknown,  ///< A target may have started or completed it.
};

/// Why a request ended without an answer.
enum class finish_reason {
  kQueueFull,      ///< The organisation's limit of waiting requests is reached.
  kTooLate,        ///< The estimated wait exceeds the time to the deadline.
  kDeadline,       ///< The deadline passed.
  kNoTarget,       ///< The range has no usable target.
  kNoOwner,        ///< The key's bucket got no owner in time.
  kPoisoned,       ///< The same content has crashed targets.
  kTargetLost,     ///< The target was lost; the request may have run.
  kRetryBudget,    ///< Retryable, but the retry budget is spent.
  kCancelled,      ///< The caller cancelled the request.
  kNoAuthority,    ///< This host is no longer the range's steward.
  kArchiveClosed,  ///< The active preset admits no archive requests.
};

/// Returns the lower-case name of `reason` that answers carry. The names are
/// part of the protocol.
std::string_view ToString(finish_reason reason);

/// Instruction to send the request to the target.
struct start_attempt {
  uint64_t request_id = 0;
  uint64_t attempt_id = 0;
  target_index target = kNoTarget;
  time_point deadline;  ///< In a keyed service at most the end of authority.
};

/// Instruction to close the attempt's connection and to report its end as
/// kCancelled to AttemptEnded.
struct cancel_attempt {
  uint64_t attempt_id = 0;
};

/// Instruction to send the final answer to the request's caller.
struct finish_request {
  uint64_t request_id = 0;
  dispatch_outcome outcome = dispatch_outcome::kNotRun;
  finish_reason reason = finish_reason::kDeadline;
  duration retry_after{0};  ///< Suggested delay before a resend.
};

/// Reports that the target seems to be lost or frozen. Reported once, until
/// the target recovers.
struct target_suspected {
  target_index target = kNoTarget;
};

/// One decision. Decisions have to be carried out in order.
using dispatch_decision = std::variant<start_attempt, cancel_attempt,
                                       finish_request, target_suspected>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_DISPATCH_TYPES_H_
