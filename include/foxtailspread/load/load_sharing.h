#ifndef FOXTAILSPREAD_LOAD_LOAD_SHARING_H_
#define FOXTAILSPREAD_LOAD_LOAD_SHARING_H_

/// @file
/// Whether a host tells the others of its requests at a service's targets.

#include <cstddef>

#include "foxtailspread/time.h"

namespace foxtailspread {

/// Decides for one service by what it needs, see NeedsSharedView().
///
/// @code
/// sharing.OnServed(latency);
/// if (sharing.Update(host_count, reports_load, now)) Tell();
/// @endcode
class load_sharing {
 public:
  /// Sets the slots of the service's smallest target, and the smallest
  /// objective of the routes to it.
  void SetSlots(int slots) { slots_ = slots; }
  void SetObjective(duration objective) { objective_ = objective; }

  void OnServed(duration latency);

  /// Returns whether to share now. It goes on for a while after the need, since
  /// loads of which some hosts tell their part only are too low.
  bool Update(size_t host_count, bool reports_load, time_point now);

  bool is_on() const { return is_on_; }
  /// Latency of a request that finds a free slot: a low one of those seen,
  /// because a queue must not look like a need.
  duration work() const { return work_; }
  int slots() const { return slots_; }
  duration objective() const { return objective_; }

 private:
  int slots_ = 1;
  duration objective_ = duration::max();
  duration work_{std::chrono::milliseconds{100}};
  int answers_ = 0;
  bool is_on_ = false;
  time_point needed_at_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_LOAD_SHARING_H_
