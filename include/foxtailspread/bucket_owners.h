#ifndef FOXTAILSPREAD_BUCKET_OWNERS_H_
#define FOXTAILSPREAD_BUCKET_OWNERS_H_

/// @file
/// Assigns the buckets of a range to targets. The range's steward, the one
/// entry host that dispatches its requests, keeps this state.
///
/// A target owns all of its buckets under one lease, which a single small
/// grant renews. The lease ends at a reading of the target's own clock: the
/// steward echoes a reading that the target reported and adds the length of
/// the lease, so a grant delayed by the network cannot extend the lease. A
/// bucket moves to another target only after the former one has confirmed the
/// release, or after its lease has certainly expired.

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "foxtailspread/range.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Timing of the leases that targets hold.
struct lease_timing {
  duration lease{std::chrono::milliseconds{400}};  ///< Length of a lease.
  /// Interval between grants to a target whose buckets do not change.
  duration renew{std::chrono::milliseconds{100}};
  /// Time after which an unanswered grant may be followed by the next one.
  duration answer_wait{std::chrono::milliseconds{150}};
};

/// A message to a target: it owns exactly these buckets under this lease.
struct lease_grant {
  int target = -1;
  uint64_t seq = 0;      ///< Increases with each grant to the target.
  int64_t echo_us = 0;   ///< A reading of the target's clock, 0 if none yet.
  int64_t lease_us = 0;  ///< Counted from `echo_us` on the target's clock.
  std::vector<int> buckets;
};

/// A change of the target that serves a bucket; -1 if none serves it now.
struct owner_change {
  int bucket = -1;
  int target = -1;
};

/// The grants to send and the changes of owners that one step results in.
struct ownership_step {
  std::vector<lease_grant> grants;
  std::vector<owner_change> changes;
};

/// The owners of all buckets of one range, kept by its acting steward.
///
/// Indices from `bucket_count` on stand for single keys that are owned
/// separately from their bucket; they move by the same rules.
///
/// @code
/// bucket_owners owners(timing);
/// owners.SetTargets({{"t1", "t2"}}, now);
/// owners.SetDesiredOwner(7, 1);
/// owners.Step(now, acting_until, is_running, step);  // send step.grants
/// owners.OnAck(1, seq, clock_us, now);
/// @endcode
class bucket_owners {
 public:
  explicit bucket_owners(lease_timing timing) : timing_(timing) {}

  /// Starts a new term of the steward, in which no bucket is owned yet.
  void BeginTenure(int bucket_count);

  /// Records that a target may still hold a bucket under a lease granted by
  /// the former steward. Used when that steward handed the range over before
  /// its own authority expired.
  void InheritLease(int bucket, int target, time_point now);

  /// Replaces the list of targets. Targets that remain keep their state and
  /// index. Returns the index of each name.
  std::vector<int> SetTargets(std::span<const std::string> names);

  /// Sets the target that should own the bucket, -1 for none.
  void SetDesiredOwner(int bucket, int target);

  /// Adds an entry for one more separately owned key and returns its index.
  int AddKeySlot();

  /// Advances all transfers and renewals that are due. `acting_until` is the
  /// end of this host's authority; no lease lasts longer. `is_running` returns
  /// whether a request of the bucket is running at its target.
  void Step(time_point now, time_point acting_until,
            const std::function<bool(int bucket)>& is_running,
            ownership_step& out);

  /// Handles the target's confirmation of the grant `seq`; `clock_us` is the
  /// reading of the target's clock.
  void OnAck(int target, uint64_t seq, int64_t clock_us, time_point now);

  /// Handles a refusal: the target has seen a higher epoch or sequence number.
  /// Later grants continue above `seen_seq`.
  void OnRefused(int target, uint64_t seen_seq, int64_t clock_us,
                 time_point now);

  /// Handles the failure of the grant `seq`: no answer arrived.
  void OnFailed(int target, uint64_t seq);

  /// Returns the target that serves the bucket now, -1 if none.
  int Owner(int bucket) const { return buckets_[bucket].owner; }
  /// Returns the target that may hold a lease on the bucket, -1 if none. It is
  /// also set while the bucket is being granted or revoked.
  int Holder(int bucket) const { return buckets_[bucket].holder; }
  /// Returns the target that should own the bucket, -1 if none.
  int DesiredOwner(int bucket) const { return buckets_[bucket].desired_owner; }
  /// Returns the number of buckets and separately owned keys.
  int size() const { return static_cast<int>(buckets_.size()); }

  /// True while the target is certain to hold a valid lease.
  bool HasValidLease(int target, time_point now) const;
  /// Returns the time by which every lease of the target has certainly
  /// expired. Without its confirmation, no other target can own what it holds
  /// earlier than that.
  time_point LatestLeaseEnd(int target) const {
    return targets_[target].latest_lease_end;
  }
  /// True when the target answered within twice the answer timeout.
  bool AnsweredRecently(int target, time_point now) const;
  /// Estimates the target's clock at `now`. The estimate is never ahead of
  /// the true reading; nullopt before the first reading.
  std::optional<int64_t> TargetClock(int target, time_point now) const;

  /// Returns the number of changes of serving targets so far.
  uint64_t change_count() const { return change_count_; }

 private:
  /// A reading of a target's clock, with the times on this host's clock
  /// between which the target took it.
  struct clock_reading {
    int64_t clock_us = 0;
    time_point requested_at{};
    time_point received_at{};
  };
  struct sent_grant {
    uint64_t seq = 0;
    time_point sent_at{};
    std::optional<clock_reading> last_reading;
    duration lease{0};
    std::vector<int> buckets;
  };
  struct target_state {
    std::string name;
    bool listed = true;  ///< In the list given last.
    uint64_t seq = 0;    ///< Of the last grant.
    bool dirty = true;   ///< The set of buckets is not yet confirmed.
    bool last_grant_failed = false;  ///< The last grant got no answer.
    bool last_grant_empty = false;   ///< The last grant named no buckets.
    std::optional<sent_grant> pending;
    std::optional<clock_reading> last_reading;
    time_point last_sent{};
    time_point last_reply{};
    bool has_replied = false;
    time_point lease_valid_until{};  ///< The lease is certainly valid before.
    time_point
        latest_lease_end{};  ///< The lease has certainly expired from here.
  };
  struct bucket_state {
    int owner = -1;          ///< The target that serves it.
    int holder = -1;         ///< The target that may hold a lease on it.
    int desired_owner = -1;  ///< The target that should own it.
    bool revoking = false;   ///< Left out of grants until the holder confirms.
  };

  void StepBucket(int bucket, time_point now,
                  const std::function<bool(int)>& is_running,
                  ownership_step& out);
  void SetOwner(int bucket, int target, ownership_step& out);
  bool GrantDue(const target_state& target, time_point now) const;
  lease_grant MakeGrant(int target, time_point now, time_point acting_until);
  std::vector<int> GrantedBuckets(int target) const;
  void RecordClockReading(target_state& target, int64_t clock_us,
                          time_point requested_at, time_point now);

  lease_timing timing_;
  std::vector<target_state> targets_;
  std::vector<bucket_state> buckets_;
  uint64_t change_count_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_BUCKET_OWNERS_H_
