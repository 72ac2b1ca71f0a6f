#ifndef FOXTAILSPREAD_WAITING_POLICY_H_
#define FOXTAILSPREAD_WAITING_POLICY_H_

/// @file
/// How long a request waits for room at a target, and who goes first when
/// there is room.
///
/// Load pattern: for seconds more requests come than the targets can do. A
/// queue in order of arrival then stands at its bound: each request waits for
/// as long as it may and is answered late, though the targets work all the
/// time.

#include "foxtailspread/time.h"

namespace foxtailspread {

/// How long a request may wait whose answer takes `likely_latency` from its
/// send: what is left of its objective. One that waited longer would be late
/// and take the room of one that would not be.
duration MostWait(duration objective, duration likely_latency);

/// How long a queue counts as overloaded after it refused requests one after
/// the other. Requests that meet it are not kept waiting: refused soon, a
/// caller can still come again, at another host, and be answered within the
/// objective.
duration OverloadTime(duration objective);

/// After what time, about, a caller should come again that an overloaded queue
/// refused.
duration RetryAfterOverload(duration objective);

/// Whether the newest request goes first. `oldest_wait` is how long the oldest
/// one has waited: a queue that stands so long does not drain, and only new
/// requests can still be answered in time.
bool GoesNewestFirst(duration oldest_wait, duration objective);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_WAITING_POLICY_H_
