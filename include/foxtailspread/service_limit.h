#ifndef FOXTAILSPREAD_SERVICE_LIMIT_H_
#define FOXTAILSPREAD_SERVICE_LIMIT_H_

/// @file
/// How many requests of a pooled service one host has at its targets at once.
///
/// Load pattern: more is asked for than the targets can do. A host hears of one
/// target every few seconds, too seldom to find a limit for each of them; of
/// the service it hears many times a second. Without a limit the queue stands
/// at the targets, where requests can neither go elsewhere nor be refused in
/// time, and all answers are late.

#include <cstddef>
#include <limits>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// An answer that came with a told load.
struct told_answer {
  double load = 0.0;     ///< Requests at the target for each of its slots.
  bool served = true;    ///< False for one that the target did not work on.
  duration took{};       ///< Time to the answer.
  duration objective{};  ///< The latency that the route wants.
};

/// Follows the load that targets tell by additive increase and multiplicative
/// decrease, so that hosts which do not see each other come to like shares.
///
/// @code
/// limit.OnAnswer({.load = 1.5, .took = took, .objective = objective}, 7);
/// if (limit.HasRoom(in_flight)) Send();
/// @endcode
class service_limit {
 public:
  /// Takes the slots of all targets and the number of hosts that share them.
  /// `in_flight`, below, counts this host's requests under way.
  void SetShare(double slots, size_t hosts);

  /// Always true while no target told its load.
  bool HasRoom(int in_flight) const { return in_flight < limit(); }

  /// Takes an answer.
  void OnAnswer(const told_answer& answer, int in_flight);

  bool is_told() const { return is_told_; }
  double limit() const {
    return is_told_ ? limit_ : std::numeric_limits<double>::infinity();
  }

 private:
  /// The mean load at which most answers still come within the objective.
  double MostLoad(duration objective) const;

  bool is_told_ = false;
  double mean_load_ = 0.0;
  duration unqueued_{
      0};  ///< Mean time to an answer of targets with a free slot.
  double least_ = 1.0;
  double most_ = 1.0;
  double limit_ = 0.0;  ///< 0 until the share is known.
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SERVICE_LIMIT_H_
