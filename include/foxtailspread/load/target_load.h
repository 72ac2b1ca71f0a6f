#ifndef FOXTAILSPREAD_LOAD_TARGET_LOAD_H_
#define FOXTAILSPREAD_LOAD_TARGET_LOAD_H_

/// @file
/// The load of each target over all hosts, as one host knows it.
///
/// Load pattern: dozens of hosts share the few slots of a target, so that one
/// host sends it a request every few seconds. Its own requests say nothing of
/// the target's queue; those of all hosts together do, also where targets
/// report no load.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Load of one target, over all hosts that report.
struct target_load {
  /// Requests at the target, running and queued: as it reported them, or else
  /// the requests in flight of all hosts.
  double occupied = 0.0;
  double served_per_second = 0.0;
  double rejected_per_second = 0.0;  ///< Not run, by any sign of the target.
  /// Mean latency while the target had a free slot; empty if not known.
  std::optional<duration> unqueued_latency{};
  time_point as_of{};  ///< When the load was measured, by this host's clock.

  bool operator==(const target_load&) const = default;
};

/// The loads that this host knows. A load that is too old is not known: a
/// target that nobody reports on is not idle.
///
/// @code
/// if (const target_load* load = view.Find(target.short_id, now)) Use(*load);
/// @endcode
class load_view {
 public:
  /// Age from which a load is not used.
  static constexpr duration kTtl{std::chrono::seconds{1}};

  /// Takes the load of the target with this short id unless a newer one is
  /// known.
  void Update(uint32_t target, const target_load& load);
  /// Returns the load of a target, or nullptr if none is known.
  const target_load* Find(uint32_t target, time_point now) const;
  /// Forgets the loads that are too old.
  void DropOutdated(time_point now);
  size_t size() const { return loads_.size(); }

 private:
  std::unordered_map<uint32_t, target_load> loads_;
};

/// Returns how many requests are at a target, with those that this host has
/// sent since the load was measured.
double ExpectedOccupancy(const target_load& load, size_t own_sent_since);

/// Returns whether hosts have to share their view of a target to keep its queue
/// short: if each of `host_count` hosts may have one request at a target with
/// `slots` slots, the last of them is answered later than the objective.
/// `work` is the mean latency of a target with a free slot.
bool NeedsSharedView(size_t host_count, int slots, duration work,
                     duration objective);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_TARGET_LOAD_H_
