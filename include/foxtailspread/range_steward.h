#ifndef FOXTAILSPREAD_RANGE_STEWARD_H_
#define FOXTAILSPREAD_RANGE_STEWARD_H_

/// @file
/// The steward's work for one range while it has authority: it dispatches
/// requests, remembers at-most-once actions and keeps the buckets owned.

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

/// Gives out numbers that are unique within one life of the host.
class id_source {
 public:
  uint64_t Next() { return next_++; }

 private:
  uint64_t next_ = 1;
};

/// A request that reached its steward.
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

/// The end of a request at its steward.
struct request_result {
  answer_action answer;
  /// This host lost its authority before the request began: it was not run
  /// here and another host may take it.
  bool no_authority = false;
};

/// What one step of a steward gives out.
struct steward_output {
  action_list& actions;
  std::vector<request_result> results;
};

/// What the operator and the platform say of targets, beside the
/// configuration.
struct target_notices {
  /// Returns whether the target is to get no new work.
  std::function<bool(std::string_view target)> draining;
};

/// The steward of one range.
class range_steward {
 public:
  range_steward(std::string range, lease_timing timing,
                const action_secret& secret, id_source& ids);

  /// Takes the configuration over: targets, policy, rules. Running work and
  /// ownership of targets that stay are kept.
  void Configure(const deployment_config& config, const target_notices& notices,
                 time_point now);

  /// Starts a tenure in a new epoch. `last` is the newest known map; with
  /// `handed_over`, the former steward's leases may still run.
  void BeginTenure(uint64_t epoch, const range_map& last, bool handed_over,
                   time_point now, steward_output& out);

  /// Takes up again in the same epoch after authority had lapsed for a while.
  void Resume();
  /// Authority lapsed: what waits is given back, nothing starts.
  void Suspend(time_point now, steward_output& out);
  /// A planned stop: nothing new is taken; what runs may finish.
  void StopTaking(time_point now, steward_output& out);
  /// True when nothing runs that a handover would have to wait for.
  bool Quiet() const { return attempts_.empty(); }

  /// Does what is due. `acting_until` is the end of this host's authority.
  void Step(time_point now, time_point acting_until, steward_output& out);

  void Submit(const steward_request& request, time_point now,
              steward_output& out);
  void CallerGone(uint64_t request_id, time_point now, steward_output& out);
  /// Returns false when the attempt is not one of this steward's.
  bool OnAttempt(const attempt_ended& ended, time_point now,
                 steward_output& out);
  /// Returns false when the target has seen a higher epoch than this one's.
  bool OnGrant(const grant_ended& ended, time_point now);

  /// Returns which target may still hold which bucket, for the successor of a
  /// planned handover. That is more than the owners in force: a bucket on its
  /// way between targets, or one whose lease is only about to end, has no
  /// owner but a holder, and must go to no other target meanwhile.
  range_map HeldMap() const;
  /// Returns the action table for the successor of a planned handover.
  std::string ExportActions(time_point now) const;
  /// Keeps the predecessor's action table for the tenure that begins next.
  void ImportActions(std::string actions) {
    handed_actions_ = std::move(actions);
  }
  /// Goes on in a new epoch: the roster was renumbered under this steward.
  void ContinueIn(uint64_t epoch);

  uint64_t epoch() const { return epoch_; }
  bool active() const { return active_; }
  bool taking() const { return active_ && !stopped_taking_; }
  /// The owners now in force.
  const range_map& map() const { return map_; }
  const service_config* service() const { return service_; }
  const dispatcher& Dispatcher() const { return *dispatcher_; }
  dispatcher& Dispatcher() { return *dispatcher_; }
  /// Returns whether the target has a valid lease now.
  bool TargetLeased(std::string_view target, time_point now) const;
  /// Returns the number of buckets homed here that no target serves now.
  int UnownedBuckets() const;

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
    int bucket = kNoBucket;  ///< A key slot's number where one is in force.
    uint64_t key_hash = 0;
    int target = -1;
    std::string organisation;
    std::string action;  ///< Empty for lookups.
  };

  /// A key that is owned apart from its bucket, under a number of its own.
  struct key_slot {
    int bucket = -1;
    int slot = -1;
    int starting = -1;       ///< Its owner once nothing of the key runs.
    bool returning = false;  ///< On its way back to its bucket.
  };

  void Carry(std::vector<dispatch_decision>& decisions, time_point now,
             steward_output& out);
  void Start(const start_attempt& start, time_point now, steward_output& out);
  void Finish(const finish_request& finish, time_point now,
              steward_output& out);
  void FinishAction(const live_request& live, const finish_request& finish,
                    time_point now, steward_output& out);
  void SubmitAction(live_request live, time_point now, steward_output& out);
  void SubmitToDispatcher(live_request live, time_point now,
                          steward_output& out);
  void AnswerDone(uint64_t request_id, const live_attempt& attempt,
                  const attempt_ended& ended, steward_output& out);
  void AnswerWaiters(const std::vector<uint64_t>& waiters,
                     const answer_action& answer, std::string_view organisation,
                     steward_output& out);
  void Mint(const steward_request& request, steward_output& out);
  std::string NextAction(std::string_view organisation);
  void ApplyOwnerChanges(const ownership_step& step);
  void PlanOwners(time_point now);
  void MoveKey(const placement_move& move);
  void StepKeys();
  void ForgetKeys();
  void UpdateUsability(time_point now);
  void RebuildMap();
  std::map<std::string, std::vector<int>> BucketsBy(
      int (bucket_owners::*target_of)(int bucket) const) const;
  /// The number by which targets know a bucket or key slot.
  int OuterNumber(int bucket) const;
  int OrganisationIndex(std::string_view organisation);
  bool BucketRunning(int bucket) const;
  const target_config* TargetAt(int owners_index) const;

  std::string range_;
  lease_timing timing_;
  const action_secret& secret_;
  id_source& ids_;

  std::optional<service_config> service_copy_;
  const service_config* service_ = nullptr;
  std::string zone_;
  std::vector<target_config> targets_;  ///< Of this range.
  std::vector<bool> draining_;          ///< By index into targets_.
  std::vector<int> owner_index_;        ///< targets_ index to owners_ index.
  std::vector<bool> answering_;  ///< By index into targets_, when last planned.
  std::vector<int> homed_;       ///< Buckets homed in this range.
  std::unordered_map<std::string, int> organisations_;

  uint64_t epoch_ = 0;
  time_point tenure_began_{};
  bool active_ = false;
  bool stopped_taking_ = false;
  time_point acting_until_{};
  bucket_owners owners_;
  std::unique_ptr<dispatcher> dispatcher_;
  action_table actions_;
  std::string handed_actions_;
  range_map map_;

  std::unordered_map<uint64_t, live_request> requests_;
  std::unordered_map<uint64_t, live_attempt> attempts_;
  std::unordered_map<uint64_t, uint64_t> attempt_ids_;  ///< From dispatch ids.
  std::unordered_map<int, int> running_by_bucket_;
  std::unordered_map<uint64_t, int> running_by_key_;
  std::optional<range_balance> balance_;
  bool allow_rebalance_ = true;
  std::map<uint64_t, key_slot> keys_;
  std::vector<int> free_slots_;
  int first_slot_number_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_STEWARD_H_
