#ifndef FOXTAILSPREAD_TARGET_REACH_H_
#define FOXTAILSPREAD_TARGET_REACH_H_

/// @file
/// Detects that this host has lost its links to all targets.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Which targets a host reaches.
enum class target_paths : uint8_t {
  kAll,   ///< All but a few, which may have failed themselves.
  kSome,  ///< Connections to a part of them fail.
  kNone,
};

/// Tells a host that is cut off from its targets from targets that fail.
///
/// Load pattern: some hosts lose the paths to all targets at once while
/// callers, the store and the other hosts still reach them. Requests to targets
/// break, are refused or get no answer. A single target that fails does the
/// same, but others go on answering, so that one answer of any target ends the
/// suspicion, and only failed probes of other targets confirm it: a host may
/// send few requests beside those that crash targets. While a host is cut off
/// it sends no requests, and finds the end of the cut by probes.
class target_reach {
 public:
  /// Sets how many targets the store lists.
  void OnListed(size_t targets) { listed_ = targets; }
  /// A request was sent to a target.
  void OnSent(const std::string& target, time_point now);
  /// The target answered a request or a probe, in whichever way.
  void OnAnswer(const std::string& target);
  /// An attempt at a target ended without an answer before its deadline.
  void OnFailed(const std::string& target, time_point now);
  /// The caller of a request to a target left before an answer.
  void OnAbandoned(const std::string& target, time_point now);
  /// As OnFailed(), as no connection could be made.
  void OnUnreachable(const std::string& target, time_point now);

  /// Returns which targets can be reached. kNone stays until an answer.
  target_paths Paths(time_point now);
  /// Returns the number of probes, each to another target, that are due now.
  size_t TakeProbes(time_point now);
  /// A probe got no answer.
  void OnProbeFailed();
  /// When a probe is due; time_point::max() if this host is not cut off.
  time_point NextProbe() const;

 private:
  static constexpr duration kProbePeriod{std::chrono::milliseconds{300}};

  /// Number of targets that have to fail: three, or all if there are fewer.
  size_t FailuresNeeded() const;
  bool IsSuspected(time_point now) const;

  size_t listed_ = 0;
  /// Targets that failed since the last answer, and when the first one did.
  std::set<std::string> failed_;
  time_point first_failed_at_{};
  /// When a connection to each target failed, if it has not answered since.
  std::map<std::string, time_point> unreachable_;
  /// Since when each target owes an answer, from the last answer of any on.
  std::map<std::string, time_point> silent_since_;
  bool is_suspected_ = false;  ///< And being probed.
  size_t failed_probes_ = 0;   ///< Since the suspicion.
  bool is_cut_off_ = false;
  time_point next_probe_at_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_REACH_H_
