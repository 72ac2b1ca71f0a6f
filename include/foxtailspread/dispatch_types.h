#ifndef FOXTAILSPREAD_DISPATCH_TYPES_H_
#define FOXTAILSPREAD_DISPATCH_TYPES_H_

/// @file
/// The events that a dispatcher takes and the decisions that it gives back.
/// All are plain values; nothing here refers to memory of the dispatcher.

#include <cstdint>
#include <string_view>
#include <variant>

#include "foxtailspread/config.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The index of a target within its dispatcher. It stays the same while the
/// target stays in the list, whatever else joins or leaves.
using target_index = int32_t;
inline constexpr target_index kNoTarget = -1;

/// The bucket of a request to a pooled service.
inline constexpr int32_t kNoBucket = -1;

/// One request that wants to run in the dispatcher's range.
struct dispatch_request {
  uint64_t request_id = 0;   ///< Unique among the requests not yet ended.
  int32_t organisation = 0;  ///< Index into the rules given to SetPolicy.
  urgency level = urgency::kOrdinary;
  time_point deadline;         ///< No answer is of use after it.
  int32_t bucket = kNoBucket;  ///< The key's bucket in a keyed service.
  uint64_t key_hash = 0;       ///< Looked up among the single-key owners.
  /// Hash over organisation, service and body: what a request that crashes
  /// its targets is recognised by. 0 opts out.
  uint64_t content_hash = 0;
  /// Running it twice does no harm. False is at-most-once.
  bool repeatable = false;
};

/// How an attempt ended, as seen by whoever sent it.
enum class attempt_end {
  kAnswered,       ///< A whole answer arrived.
  kNotStarted,     ///< The target promised that it did not begin (503, 504).
  kRefusedOwner,   ///< The target does not own the key; not begun (409).
  kConnectFailed,  ///< No connection, so nothing was sent.
  kBroken,         ///< The connection broke after the request was sent.
  kTimedOut,       ///< The sender gave up waiting.
  kCancelled,      ///< A cancel_attempt was carried out.
};

/// What is known about a request that ends without an answer.
enum class dispatch_outcome {
  kNotRun,   ///< No target began it.
  kUnknown,  ///< A target may have begun or finished it.
};

/// Why a request ended without an answer.
enum class finish_reason {
  kQueueFull,      ///< The organisation has too much waiting already.
  kTooLate,        ///< The wait would be longer than the time left.
  kDeadline,       ///< The deadline passed.
  kNoTarget,       ///< No target of the range is usable.
  kNoOwner,        ///< The key's bucket found no owner in time.
  kPoisoned,       ///< The same content crashed targets before.
  kTargetLost,     ///< Its target was lost while it may have run.
  kRetryBudget,    ///< It may be sent again, but not by this host now.
  kCancelled,      ///< Its caller gave it up.
  kNoAuthority,    ///< This host is not the range's steward any more.
  kArchiveClosed,  ///< The preset in force admits no archive work.
};

/// Returns the stable lower-case name of `reason`, as used in answers.
std::string_view ToString(finish_reason reason);

/// Send the request to the target now.
struct start_attempt {
  uint64_t request_id = 0;
  uint64_t attempt_id = 0;
  target_index target = kNoTarget;
  time_point deadline;  ///< Never later than the dispatcher's authority.
};

/// Close the attempt's connection and report AttemptEnded(kCancelled).
struct cancel_attempt {
  uint64_t attempt_id = 0;
};

/// Give the caller its final answer now.
struct finish_request {
  uint64_t request_id = 0;
  dispatch_outcome outcome = dispatch_outcome::kNotRun;
  finish_reason reason = finish_reason::kDeadline;
  duration retry_after{0};  ///< When coming back is of use.
};

/// The target shows signs of being lost or frozen. Given once per episode.
struct target_suspected {
  target_index target = kNoTarget;
};

/// One decision; they take effect in the order in which they are given.
using dispatch_decision = std::variant<start_attempt, cancel_attempt,
                                       finish_request, target_suspected>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_DISPATCH_TYPES_H_
