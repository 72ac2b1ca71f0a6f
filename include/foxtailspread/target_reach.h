#ifndef FOXTAILSPREAD_TARGET_REACH_H_
#define FOXTAILSPREAD_TARGET_REACH_H_

/// @file
/// Detects that this host has lost its links to all targets.

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Tells a host that is cut off from its targets from targets that fail.
///
/// Load pattern: some hosts lose the paths to all targets at once while
/// callers, the store and the other hosts still reach them. Requests to targets
/// break, are refused or get no answer. A single target that fails does the
/// same, but others go on answering, so that one answer of any target ends the
/// suspicion. While a host is cut off it sends no requests, and finds the end
/// of the cut by probes.
class target_reach {
 public:
  /// Sets how many targets the store lists.
  void OnListed(size_t targets) { listed_ = targets; }
  /// A request was sent to a target.
  void OnSent(const std::string& target, time_point now);
  /// Any target answered a request or a probe, in whichever way.
  void OnAnswer();
  /// An attempt at a target ended without an answer before its deadline.
  void OnFailed(const std::string& target, time_point now);

  /// Whether no target can be reached. Stays true until an answer.
  bool IsCutOff(time_point now);
  /// Whether a probe is due; the next one is due kProbePeriod later.
  bool TakeProbe(time_point now);
  /// When a probe is due; time_point::max() if this host is not cut off.
  time_point NextProbe() const;

 private:
  static constexpr duration kProbePeriod{std::chrono::milliseconds{300}};

  /// Number of targets that have to fail: three, or all if there are fewer.
  size_t FailuresNeeded() const;

  size_t listed_ = 0;
  /// Targets that failed since the last answer, and when the first one did.
  std::set<std::string> failed_;
  time_point first_failed_at_{};
  /// Since when each target owes an answer, from the last answer of any on.
  std::map<std::string, time_point> silent_since_;
  bool is_cut_off_ = false;
  time_point next_probe_at_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_REACH_H_
