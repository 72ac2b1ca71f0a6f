#ifndef FOXTAILSPREAD_RANGE_STEWARD_H_
#define FOXTAILSPREAD_RANGE_STEWARD_H_

/// @file
/// The steward's work for one range while it has authority: it dispatches
/// requests, records at-most-once actions and assigns buckets to targets.
///
/// A *tenure* is the time during which one host is the range's steward.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "foxtailspread/action_table.h"
#include "foxtailspread/bucket_owners.h"
#include "foxtailspread/config.h"
#include "foxtailspread/dispatcher.h"
#include "foxtailspread/host_io.h"
#include "foxtailspread/range.h"
#include "foxtailspread/range_balance.h"

namespace foxtailspread {

/// Generates numbers that are unique within one run of the host's process.
class id_source {
 public:
  uint64_t Next() { return next_++; }

 private:
  uint64_t next_ = 1;
};

/// A request as submitted to the steward of its range.
struct steward_request {
  uint64_t request_id = 0;
  std::string organisation;
  std::string key;
  urgency level = urgency::kOrdinary;
  time_point deadline{};
  std::string action;
  uint64_t body_hash = 0;
  bool mint = false;
};

/// The outcome of a request at its steward.
struct request_result {
  answer_action answer;
  /// This host lost its authority before the request started: it did not run
  /// here, and another host may process it.
  bool no_authority = false;
};

/// What a call to a steward produces.
struct steward_output {
  action_list& actions;
  std::vector<request_result> results;
};

/// The state of targets that the operator and the platform set outside the
/// configuration.
struct target_status_source {
  /// Returns whether the target must get no new work.
  std::function<bool(std::string_view target)> is_draining;
};

/// The steward of one range.
class range_steward {
 public:
  range_steward(std::string range, lease_timing timing,
                const action_secret& secret, id_source& ids);

  /// Applies the configuration: targets, policy and rules. Targets that remain
  /// in it keep their running work and their buckets.
  void Configure(const deployment_config& config,
                 const target_status_source& target_status, time_point now);

  /// Starts a tenure in a new epoch. `newest_map` is the newest known map. With
  /// `handed_over`, leases of the former steward may not have expired yet.
  void BeginTenure(uint64_t epoch, const range_map& newest_map,
                   bool handed_over, time_point now, steward_output& out);

  /// Resumes in the same epoch after authority had lapsed.
  void Resume();
  /// Handles lapsed authority: returns the waiting requests and starts none.
  void Suspend(time_point now, steward_output& out);
  /// Prepares a planned stop: accepts no new requests and lets the running ones
  /// finish.
  void StopAccepting(time_point now, steward_output& out);
  /// True if no attempt is running that a handover would have to wait for.
  bool IsIdle() const { return attempts_.empty(); }

  /// Does all work that is due. `acting_until` is the end of this host's
  /// authority.
  void Step(time_point now, time_point acting_until, steward_output& out);

  void Submit(const steward_request& request, time_point now,
              steward_output& out);
  void OnCallerGone(uint64_t request_id, time_point now, steward_output& out);
  /// Returns false if the attempt does not belong to this steward.
  bool OnAttemptEnded(const attempt_ended& ended, time_point now,
                      steward_output& out);
  /// Returns false if the target has seen a higher epoch than this steward's.
  bool OnGrantEnded(const grant_ended& ended, time_point now);

  /// Returns which target may still hold which bucket, for the successor in a
  /// planned handover. This covers more than the current owners: a bucket that
  /// is moving between targets, or whose lease is about to expire, has a holder
  /// but no owner, and must not be granted to another target yet.
  range_map HolderMap() const;
  /// Returns the serialized action table for the successor in a planned
  /// handover.
  std::string ExportActions(time_point now) const;
  /// Stores the predecessor's action table for the next tenure.
  void ImportActions(std::string actions) {
    imported_actions_ = std::move(actions);
  }
  /// Continues the tenure in a new epoch, after the roster's epochs were
  /// renumbered while this host was acting.
  void ContinueInEpoch(uint64_t epoch);

  uint64_t epoch() const { return epoch_; }
  bool active() const { return active_; }
  bool accepting() const { return active_ && !stopped_accepting_; }
  /// The current owners of the buckets.
  const range_map& map() const { return map_; }
  const service_config* service() const { return service_; }
  const dispatcher& Dispatcher() const { return *dispatcher_; }
  dispatcher& Dispatcher() { return *dispatcher_; }
  /// Returns whether the target has a valid lease.
  bool IsTargetLeased(std::string_view target, time_point now) const;
  /// Returns how many buckets of this range no target currently serves.
  int UnownedBucketCount() const;

 private:
  struct live_request {
    steward_request request;
    std::optional<action_id> action;
    uint32_t action_attempt = 0;
    int bucket = kNoBucket;
  };
  struct live_attempt {
    uint64_t dispatch_id = 0;
    uint64_t request_id = 0;
    int bucket = kNoBucket;  ///< Or the key slot, if the key has one.
    uint64_t key_hash = 0;
    int target = -1;
    std::string organisation;
    std::string action;  ///< Empty for lookups.
  };

  /// A key that is owned separately from its bucket. It has a number of its
  /// own, as if it were a bucket.
  struct key_slot {
    int bucket = -1;
    int slot = -1;
    int pending_owner = -1;  ///< Its owner once no attempt of the key runs.
    bool returning_to_bucket =
        false;  ///< Being returned to its bucket's owner.
  };

  void ApplyDecisions(std::vector<dispatch_decision>& decisions, time_point now,
                      steward_output& out);
  void StartAttempt(const start_attempt& start, time_point now,
                    steward_output& out);
  void FinishRequest(const finish_request& finish, time_point now,
                     steward_output& out);
  void FinishAction(const live_request& live, const finish_request& finish,
                    time_point now, steward_output& out);
  void SubmitAction(live_request live, time_point now, steward_output& out);
  void SubmitToDispatcher(live_request live, time_point now,
                          steward_output& out);
  void AnswerFromAttempt(uint64_t request_id, const live_attempt& attempt,
                         const attempt_ended& ended, steward_output& out);
  void AnswerWaiters(const std::vector<uint64_t>& waiters,
                     const answer_action& answer, std::string_view organisation,
                     steward_output& out);
  void AnswerMintRequest(const steward_request& request, steward_output& out);
  std::string NextActionId(std::string_view organisation);
  void ApplyOwnerChanges(const ownership_step& step);
  void PlanOwners(time_point now);
  void MoveKey(const placement_move& move);
  void AdvanceKeyMoves();
  void ClearKeySlots();
  void UpdateTargetUsability(time_point now);
  void RebuildMap();
  std::map<std::string, std::vector<int>> BucketsByTarget(
      int (bucket_owners::*target_of)(int bucket) const) const;
  /// Returns the number sent to targets for a bucket or key slot.
  int ExternalBucketNumber(int bucket) const;
  int OrganisationIndex(std::string_view organisation);
  bool IsBucketRunning(int bucket) const;
  const target_config* TargetAt(int owners_index) const;

  std::string range_;
  lease_timing timing_;
  const action_secret& secret_;
  id_source& ids_;

  std::optional<service_config> service_copy_;
  const service_config* service_ = nullptr;
  std::string zone_;
  std::vector<target_config> targets_;  ///< Targets of this range.
  std::vector<bool> draining_;          ///< By index into targets_.
  std::vector<int> owner_index_;  ///< From targets_ index to owners_ index.
  std::vector<bool>
      was_answering_;  ///< By index into targets_, at the last check.
  std::vector<int> homed_buckets_;  ///< Buckets whose home is this range.
  std::unordered_map<std::string, int> organisations_;

  uint64_t epoch_ = 0;
  time_point tenure_began_at_{};
  bool active_ = false;
  bool stopped_accepting_ = false;
  time_point acting_until_{};
  bucket_owners owners_;
  std::unique_ptr<dispatcher> dispatcher_;
  action_table actions_;
  std::string imported_actions_;
  range_map map_;

  std::unordered_map<uint64_t, live_request> requests_;
  std::unordered_map<uint64_t, live_attempt> attempts_;
  std::unordered_map<uint64_t, uint64_t> attempt_ids_;  ///< By dispatch id.
  std::unordered_map<int, int> running_by_bucket_;
  std::unordered_map<uint64_t, int> running_by_key_;
  std::optional<range_balance> balance_;
  bool allow_rebalance_ = true;
  std::map<uint64_t, key_slot> keys_;
  std::vector<int> free_key_slots_;
  int first_slot_number_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_STEWARD_H_
