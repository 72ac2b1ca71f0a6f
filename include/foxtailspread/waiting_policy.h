#ifndef FOXTAILSPREAD_WAITING_POLICY_H_
#define FOXTAILSPREAD_WAITING_POLICY_H_

/// @file
/// How long a request may wait at the host for capacity at a target, and the
/// order in which waiting requests are sent.
///
/// Load pattern: for seconds the request rate exceeds the capacity of the
/// targets. A first-in, first-out queue then stays at its bound: each request
/// waits for the maximum time and is answered late, although the targets are
/// busy all the time.

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Returns the maximum wait of a request that takes `likely_latency` once it is
/// sent, which is what that leaves of its objective. A request that waits
/// longer would be late and use capacity that another needs to be in time.
duration MaxWait(duration objective, duration likely_latency);

/// Returns how long a queue counts as overloaded after it refused several
/// requests in succession. An overloaded queue refuses further requests early,
/// so that callers can retry at another host within the objective.
duration OverloadDuration(duration objective);

/// Returns the approximate time after which a caller that an overloaded queue
/// refused should retry.
duration RetryAfterOverload(duration objective);

/// Returns whether the newest request is sent first. `oldest_wait` is the wait
/// of the oldest request so far: if it is long, the queue does not drain, and
/// only new requests can still be answered in time.
bool ShouldSendNewestFirst(duration oldest_wait, duration objective);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_WAITING_POLICY_H_
