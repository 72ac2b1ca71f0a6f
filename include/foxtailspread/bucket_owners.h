#ifndef FOXTAILSPREAD_BUCKET_OWNERS_H_
#define FOXTAILSPREAD_BUCKET_OWNERS_H_

/// @file
/// Which target owns which bucket of a range, kept by the range's steward.
///
/// A target owns its buckets under one lease, renewed for all of them by one
/// small order. The lease's end is a reading of the target's own clock: the
/// steward echoes a reading that the target gave and adds the lease to it, so
/// that an order delayed by the network cannot lengthen the lease. A bucket
/// passes to another target only after the former one confirmed that it let
/// go, or after its lease has certainly ended.

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "foxtailspread/range.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The times of the leases of targets.
struct lease_timing {
  duration lease{std::chrono::milliseconds{400}};
  duration renew{std::chrono::milliseconds{100}};
  /// An order without an answer for so long may be followed by the next one.
  duration answer_wait{std::chrono::milliseconds{150}};
};

/// An order to send to a target: own exactly these buckets under this lease.
struct grant_order {
  int target = -1;
  uint64_t seq = 0;
  int64_t echo_us = 0;   ///< A reading of the target's clock, 0 if none yet.
  int64_t lease_us = 0;  ///< Counted from `echo_us` on the target's clock.
  std::vector<int> buckets;
};

/// A bucket changed hands; -1 means that no target serves it now.
struct owner_change {
  int bucket = -1;
  int target = -1;
};

/// What one step of the ownership decided.
struct ownership_step {
  std::vector<grant_order> orders;
  std::vector<owner_change> changes;
};

/// The owners of all buckets of one range at its acting steward.
///
/// Indices from `bucket_count` on are single keys that are owned apart from
/// their bucket; they move by the same rules.
///
/// @code
/// bucket_owners owners(timing);
/// owners.SetTargets({{"t1", "t2"}}, now);
/// owners.Want(7, 1);
/// owners.Step(now, acting_until, is_running, step);  // send step.orders
/// owners.OnAck(1, seq, clock_us, now);
/// @endcode
class bucket_owners {
 public:
  explicit bucket_owners(lease_timing timing) : timing_(timing) {}

  /// Starts a tenure of the steward with nothing owned.
  void Begin(int bucket_count);

  /// States that a target may still hold a bucket under a lease that a former
  /// steward gave; used when that steward handed over before it lapsed.
  void Inherit(int bucket, int target, time_point now);

  /// Replaces the list of targets; those that stay keep their state and their
  /// index. Returns the index of each name.
  std::vector<int> SetTargets(std::span<const std::string> names);

  /// Sets the target that should own the bucket, -1 for none.
  void Want(int bucket, int target);

  /// Adds room for one more single key and returns its index.
  int AddKeySlot();

  /// Moves everything on that is due. `acting_until` is the end of this
  /// host's authority, which no lease outlasts. `is_running` tells whether a
  /// request of the bucket is at its target.
  void Step(time_point now, time_point acting_until,
            const std::function<bool(int bucket)>& is_running,
            ownership_step& out);

  /// The target confirmed the order `seq`; `clock_us` is its clock's reading.
  void OnAck(int target, uint64_t seq, int64_t clock_us, time_point now);

  /// The target refused the order because it knows a higher epoch or seq. A
  /// seq that is too low is skipped over.
  void OnRefused(int target, uint64_t seen_seq, int64_t clock_us,
                 time_point now);

  /// The order `seq` got no answer.
  void OnFailed(int target, uint64_t seq);

  /// Returns the serving target of the bucket, -1 if none.
  int Owner(int bucket) const { return buckets_[bucket].owner; }
  /// Returns the target that may believe it owns the bucket, -1 if none.
  int Holder(int bucket) const { return buckets_[bucket].holder; }
  int Wanted(int bucket) const { return buckets_[bucket].wanted; }
  int size() const { return static_cast<int>(buckets_.size()); }

  /// True while the target is certain to hold a valid lease.
  bool Leased(int target, time_point now) const;
  /// Returns the time until which no other target can become owner of what
  /// the target holds.
  time_point LeaseBound(int target) const {
    return targets_[target].lease_bound;
  }
  /// True when the target answered lately.
  bool Answering(int target, time_point now) const;
  /// Returns the target's clock reading now, never ahead of the true one.
  std::optional<int64_t> TargetClock(int target, time_point now) const;

  /// Grows with each change of an owner.
  uint64_t changes() const { return changes_; }

 private:
  struct reading {
    int64_t clock_us = 0;
    time_point asked_at{};
    time_point received_at{};
  };
  struct sent_order {
    uint64_t seq = 0;
    time_point sent_at{};
    std::optional<reading> echo;
    duration lease{0};
    std::vector<int> buckets;
  };
  struct target_state {
    std::string name;
    bool listed = true;
    uint64_t seq = 0;
    bool dirty = true;    ///< What it should hold is not yet confirmed.
    bool failed = false;  ///< The last order got no answer.
    bool idle = false;    ///< The last order granted nothing.
    std::optional<sent_order> pending;
    std::optional<reading> echo;
    time_point last_sent{};
    time_point last_reply{};
    bool replied = false;
    time_point lease_until{};  ///< Certainly valid before.
    time_point lease_bound{};  ///< Certainly over from here on.
  };
  struct bucket_state {
    int owner = -1;
    int holder = -1;
    int wanted = -1;
    bool revoking = false;
  };

  void StepBucket(int bucket, time_point now,
                  const std::function<bool(int)>& is_running,
                  ownership_step& out);
  void SetOwner(int bucket, int target, ownership_step& out);
  bool OrderDue(const target_state& target, time_point now) const;
  grant_order MakeOrder(int target, time_point now, time_point acting_until);
  std::vector<int> GrantedTo(int target) const;
  void TakeReading(target_state& target, int64_t clock_us, time_point asked_at,
                   time_point now);

  lease_timing timing_;
  std::vector<target_state> targets_;
  std::vector<bucket_state> buckets_;
  uint64_t changes_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BUCKET_OWNERS_H_
