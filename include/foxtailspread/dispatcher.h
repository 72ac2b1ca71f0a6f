#ifndef FOXTAILSPREAD_DISPATCHER_H_
#define FOXTAILSPREAD_DISPATCHER_H_

/// @file
/// Decides for one range (one service in one zone) when and on which target
/// each request runs, and which requests are refused.
///
/// The host that is the range's steward runs its only dispatcher, and all
/// requests of the range pass through it. The dispatcher therefore knows the
/// exact number of requests at each target: slots are never exceeded, all
/// waiting requests are ordered in one place, and the shares of organisations
/// are enforced without communication between hosts.
///
/// @code
/// dispatcher range(placement_kind::kKeyed, service.buckets);
/// range.SetTargets(targets, service.slots, service.connections);
/// range.SetPolicy(config.PresetInForce(), rules);
/// range.SetOwner(17, range.FindTarget("history-3"));
/// std::vector<dispatch_decision> decisions;
/// range.Submit(request, now, decisions);
/// for (const dispatch_decision& d : decisions) CarryOut(d);
/// @endcode

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "foxtailspread/config.h"
#include "foxtailspread/dispatch_types.h"
#include "foxtailspread/fair_queue.h"
#include "foxtailspread/poison_guard.h"
#include "foxtailspread/target_table.h"

namespace foxtailspread {

/// The limits of one organisation for this service.
struct organisation_rule {
  double share = 1.0;  ///< Guaranteed share of the slots, relative to others.
  /// Limit of waiting requests of one urgency class and all more urgent ones.
  int max_queued = 256;
  urgency most_urgent = urgency::kUrgent;  ///< Higher levels are lowered to it.
};

/// Event counts since the dispatcher was constructed.
struct dispatch_counters {
  uint64_t submitted = 0;
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;   ///< Finished by Submit itself.
  uint64_t finished = 0;  ///< Ended without an answer, including refused.
};

/// The dispatcher of one range. Deterministic: the same events at the same
/// times give the same decisions.
///
/// Each submitted request ends exactly once: either with a finish_request, or
/// when AttemptEnded returns its id for an answer. The user of this class must
/// report the end of every started attempt, also of a cancelled one, to
/// AttemptEnded exactly once; the attempt occupies its slot until then.
/// Decisions are appended to `out`. Setters only change state; the resulting
/// decisions come with the next event, so call Tick after a batch of setters.
/// Throws only if memory runs out, and does not allocate in steady state.
template <target_picker picker = least_loaded_picker>
class basic_dispatcher {
 public:
  /// Time for which a request waits for its bucket to get an owner.
  static constexpr duration kOwnerWaitTimeout{std::chrono::milliseconds{1500}};
  /// Period of the checks for silent targets, for targets whose pause in starts
  /// (gate) is over and for held requests that can continue.
  static constexpr duration kCheckPeriod{std::chrono::milliseconds{10}};
  /// Once urgent requests have been waiting without interruption for
  /// kStandingQueueThreshold, another one is admitted only if its estimated
  /// wait is at most kMaxStandingWaitServiceTimes mean service times.
  static constexpr duration kStandingQueueThreshold{
      std::chrono::milliseconds{100}};
  static constexpr double kMaxStandingWaitServiceTimes = 4;
  /// Capacity of the token bucket that limits retries.
  static constexpr double kMaxRetryTokens = 10;
  /// The retry delay returned if there is no estimate.
  static constexpr duration kDefaultRetryAfter{std::chrono::seconds{1}};

  /// `bucket_count` is the service's number of key buckets, 0 for a pooled
  /// service.
  explicit basic_dispatcher(placement_kind placement, int bucket_count = 0,
                            picker picker_instance = {});
  basic_dispatcher(const basic_dispatcher&) = delete;
  basic_dispatcher& operator=(const basic_dispatcher&) = delete;

  /// Replaces the list of targets. Targets in both lists keep their state and
  /// index. `slots` and `connections` apply to each target; the smaller one
  /// limits its concurrent requests.
  void SetTargets(std::span<const target_config> targets, int slots,
                  int connections);
  /// Returns the index of a target in the list, or kNoTarget.
  target_index FindTarget(std::string_view name) const {
    return targets_.Find(name);
  }
  const target_state& Target(target_index target) const {
    return targets_.At(target);
  }
  /// Sets the preset's values and the rules, indexed by organisation.
  void SetPolicy(const preset_config& preset,
                 std::span<const organisation_rule> rules);
  /// Sets the owner of a bucket, kNoTarget if it has none.
  void SetOwner(int32_t bucket, target_index owner);
  /// Sets the owner of a single key, which overrides that of its bucket.
  void SetKeyOwner(uint64_t key_hash, target_index owner);
  void ClearKeyOwner(uint64_t key_hash);
  void SetTargetUsability(target_index target, target_usability usability,
                          time_point now);
  /// Sets until when this host has authority over the range. No attempt starts
  /// after that, and no attempt of a keyed service runs beyond it.
  void SetAuthorityEnd(time_point authority_end) {
    authority_end_ = authority_end;
  }

  /// Admits or refuses a request. A refusal is among the decisions of this
  /// call.
  void Submit(const dispatch_request& request, time_point now,
              std::vector<dispatch_decision>& out);
  /// Reports the end of an attempt. For kAnswered, returns the id of the
  /// request that the answer belongs to, or nullopt if that request already has
  /// its final answer and this answer must be dropped.
  std::optional<uint64_t> AttemptEnded(uint64_t attempt_id, attempt_outcome end,
                                       time_point now,
                                       std::vector<dispatch_decision>& out);
  /// Cancels a request on behalf of its caller. Unknown ids are ignored.
  void Cancel(uint64_t request_id, time_point now,
              std::vector<dispatch_decision>& out);
  /// Expires requests, checks targets and starts requests as of `now`.
  void Tick(time_point now, std::vector<dispatch_decision>& out);
  /// Returns when Tick must be called next, or nullopt if it need not be.
  std::optional<time_point> NextTickTime() const;
  /// Called when the host loses its authority. Finishes all waiting requests
  /// and starts none until Resume. Running attempts may continue until their
  /// deadline.
  void Suspend(time_point now, std::vector<dispatch_decision>& out);
  void Resume() { suspended_ = false; }

  /// Access to the marks of the poison_guard, which describes them.
  std::vector<poison_mark> TakeNewPoisonMarks(time_point now) {
    return poison_.TakeNewMarks(now);
  }
  std::vector<poison_mark> ExportPoisonMarks(time_point now) const {
    return poison_.Export(now);
  }
  void ImportPoisonMarks(std::span<const poison_mark> marks, time_point now) {
    poison_.Import(marks, now);
  }

  /// Returns the usable owner of the key, or kNoTarget if it has none.
  target_index OwnerOf(int32_t bucket, uint64_t key_hash) const;
  int WaitingCount() const { return waiting_count_; }
  /// Returns the number of unfinished requests, including running ones.
  int LiveCount() const { return static_cast<int>(by_expiry_.size()); }
  const dispatch_counters& Counters() const { return counters_; }

 private:
  using decisions = std::vector<dispatch_decision>;
  struct earlier_expiry {
    bool operator()(const live_request& a, const live_request& b) const {
      return a.expires_at < b.expires_at;
    }
  };
  struct id_of_request {
    using type = uint64_t;
    const type& operator()(const live_request& r) const {
      return r.request.request_id;
    }
  };
  using expiry_order = boost::intrusive::multiset<
      live_request,
      boost::intrusive::member_hook<live_request,
                                    boost::intrusive::set_member_hook<>,
                                    &live_request::expiry_hook>,
      boost::intrusive::compare<earlier_expiry>>;
  using request_index = boost::intrusive::unordered_set<
      live_request,
      boost::intrusive::member_hook<
          live_request, boost::intrusive::unordered_set_member_hook<>,
          &live_request::id_hook>,
      boost::intrusive::key_of_value<id_of_request>>;

  bool Keyed() const { return placement_ == placement_kind::kKeyed; }
  const organisation_rule& RuleOf(int32_t organisation) const;
  fair_queue& QueueOf(target_index target);
  void ApplyShares(fair_queue& queue);

  // Admission.
  struct refusal {
    finish_reason reason = finish_reason::kDeadline;
    duration retry_after{0};
  };
  std::optional<refusal> CheckAdmission(const dispatch_request& request,
                                        time_point now) const;
  std::optional<refusal> CheckLoad(const dispatch_request& request,
                                   time_point now) const;
  double ParallelSlots(target_index target) const;
  double MeanServiceTimeUs(target_index target) const;
  duration EstimateDrainTime(target_index target) const;

  // Request state changes.
  live_request& Allocate(const dispatch_request& request);
  void SetExpiry(live_request& live, time_point expires_at);
  void Enqueue(live_request& live, bool front, time_point now);
  void Hold(live_request& live, time_point now);
  void Unlink(live_request& live);
  void Finish(live_request& live, finish_reason reason, duration retry_after,
              decisions& out);
  void FreeRequest(live_request& live);
  void AdjustWaitingCount(const live_request& live, int delta);

  // Starting attempts.
  void Dispatch(target_index target, time_point now, decisions& out);
  void DispatchPooled(time_point now, decisions& out);
  void DispatchRetries(time_point now, decisions& out);
  void DispatchKeyed(target_index target, time_point now, decisions& out);
  void DispatchAll(time_point now, decisions& out);
  bool StartNext(fair_queue& queue, target_index target, time_point now,
                 decisions& out);
  bool ArchiveAllowed(target_index target) const;
  void StartAttempt(live_request& live, target_index target, time_point now,
                    decisions& out);
  bool CheckBeforeStart(live_request& live, target_index target, time_point now,
                        decisions& out);
  bool IsContentRunning(uint64_t content_hash) const;

  // Ending attempts.
  running_attempt* FindAttempt(uint64_t attempt_id);
  running_attempt& AllocateAttempt();
  void FreeAttempt(running_attempt& attempt);
  void UpdateTargetHealth(running_attempt& attempt, attempt_outcome end,
                          time_point now, decisions& out);
  void RecordAnswer(running_attempt& attempt, time_point now);
  bool RecordConnectionBreak(running_attempt& attempt, time_point now,
                             decisions& out);
  void HandleFailedAttempt(live_request& live, attempt_outcome end,
                           bool target_lost, time_point now, decisions& out);
  bool TakeRetryToken();
  void RequeueRepeatableRequests(target_index target, time_point now,
                                 decisions& out);

  // Handling of timers and of changes by setters.
  void ApplyChanges(time_point now, decisions& out);
  void RequeueByOwner(time_point now);
  void ReleaseHeld(time_point now);
  void Expire(time_point now, decisions& out);
  void CheckTargets(time_point now, decisions& out);
  bool NeedsChecks() const;

  placement_kind placement_;
  picker picker_;
  // Object pools. Entries keep their addresses; free entries are reused.
  std::deque<live_request> requests_;
  std::deque<running_attempt> attempts_;
  std::vector<uint32_t> free_attempts_;
  std::vector<typename request_index::bucket_type> id_hash_buckets_;

  target_table targets_;
  fair_queue pooled_queue_;
  request_list retries_;
  request_list held_;
  request_list free_requests_;
  expiry_order by_expiry_;
  request_index by_id_;

  std::vector<int16_t> bucket_owners_;  // Indexed by bucket.
  std::unordered_map<uint64_t, target_index> key_owners_;
  std::vector<organisation_rule> rules_;
  std::vector<std::array<int, kUrgencyCount>>
      waiting_by_class_;  // Indexed by organisation.
  preset_config preset_;
  poison_guard poison_;
  dispatch_counters counters_;
  double retry_tokens_ = kMaxRetryTokens;
  time_point authority_end_ = time_point::max();
  time_point next_check_;
  int waiting_count_ = 0;
  bool suspended_ = false;
  bool has_pending_changes_ = false;
};

using dispatcher = basic_dispatcher<>;

extern template class basic_dispatcher<least_loaded_picker>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_DISPATCHER_H_
