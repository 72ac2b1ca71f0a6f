#ifndef FOXTAILSPREAD_TARGET_HEALTH_H_
#define FOXTAILSPREAD_TARGET_HEALTH_H_

/// @file
/// What one host knows of one target's load and health from its own requests.
///
/// Load pattern: about ten hosts share a target's few slots without seeing
/// each other's requests, targets differ in speed, and some turn slow, freeze
/// or fail. Only answers tell; what the target says of itself lags.

#include <cstdint>
#include <deque>
#include <utility>

#include "foxtailspread/time.h"
#include "foxtailspread/told_load.h"

namespace foxtailspread {

/// How one attempt ended, as far as its target's health goes.
enum class attempt_verdict {
  kServed,       ///< A whole answer that is no failure.
  kFailed,       ///< The target's own failure.
  kShed,         ///< The target refused for want of room.
  kMisdirected,  ///< Another target has the address, or not the key.
  kNotOwner,     ///< The same, where it is most likely the key.
  kUnreachable,  ///< No connection, or one that ended unused.
  kBroken,       ///< No whole answer.
  kTimedOut,     ///< Given up at the request's deadline.
  kAbandoned,    ///< The caller left.
};

/// Load and health of one target.
class target_health {
 public:
  /// `slots` is the target's own number of requests at once.
  target_health(int slots, duration first_latency);

  /// Sets how many requests may be there at once at most, 0 for the usual, and
  /// how many hosts share the target's slots.
  void SetShare(int most, size_t hosts);

  void OnSent(time_point now);
  /// Takes the end of an attempt that was sent at `sent`. `objective` is the
  /// latency that its route wants.
  void OnEnded(attempt_verdict verdict, time_point sent, duration objective,
               time_point now);

  /// Takes the load that the target told at `told_at`, with the mean latency
  /// that all hosts saw, 0 if that is not known.
  void OnTold(const told_load& load, time_point told_at, duration latency);
  /// The load told last, if it is not too old to go by.
  const told_load* Told(time_point now) const;
  time_point told_at() const { return told_at_; }

  /// Whether one more may be sent now.
  bool HasRoom(time_point now) const;
  /// When the pause that keeps the next request back ends; in the past if there
  /// is none.
  time_point PausedUntil() const;
  /// False while no connection is tried after one that failed.
  bool IsReachable(time_point now) const { return now >= unreachable_until_; }
  /// False also while the target is left alone for failing its requests.
  bool IsTrusted(time_point now) const {
    return IsReachable(now) && now >= failing_until_;
  }

  /// Expected time to an answer for one more request.
  duration ExpectedLatency(time_point now) const;
  duration latency() const { return latency_; }
  /// Time within which most answers come: the mean and the mean deviation.
  duration LikelyLatency() const { return latency_ + deviation_; }
  /// Mean time of the requests served since the last call, and their number.
  std::pair<duration, uint32_t> TakeRecent();
  int in_flight() const { return in_flight_; }
  double limit() const { return limit_; }
  uint64_t served() const { return served_; }

 private:
  void AddLatency(duration latency);
  duration ExpectedByTold(time_point now) const;
  void Shrink(double factor);
  void NoteShed();

  int slots_;
  int in_flight_ = 0;
  double limit_;
  double most_;
  double least_;
  duration latency_;
  duration deviation_{0};  ///< Mean distance of a latency from the mean.
  time_point last_sent_{};
  uint64_t served_ = 0;
  duration recent_sum_{0};
  uint32_t recent_count_ = 0;
  double failure_share_ = 0.0;
  time_point failing_until_{};
  int not_owner_in_row_ = 0;
  int sheds_in_row_ = 0;
  time_point unreachable_until_{};
  told_load told_{};
  time_point told_at_{};
  duration shared_latency_{0};  ///< Over all hosts' answers; 0 if not known.
  double usual_slowness_ = 1.0;
  duration pause_{0};  ///< The last one after a failed connection.
  /// When the requests in flight were sent, oldest first.
  std::deque<time_point> sent_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_HEALTH_H_
