#ifndef FOXTAILSPREAD_DISPATCHER_H_
#define FOXTAILSPREAD_DISPATCHER_H_

/// @file
/// Decides, for one range (one service in one zone), which request runs
/// where and when, and which is refused.
///
/// All requests of the range pass through the one dispatcher at its steward.
/// It therefore knows the exact number of requests at each target: slots are
/// never exceeded, waiting is in one place and in the right order, and the
/// shares of organisations hold without any exchange between hosts.
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

/// The rule of one organisation, resolved for this service.
struct organisation_rule {
  double share = 1.0;    ///< Guaranteed part, relative to the others'.
  int max_queued = 256;  ///< Of one class and the more urgent ones.
  urgency most_urgent = urgency::kUrgent;  ///< Claims above it are lowered.
};

/// What a dispatcher has done since it was made.
struct dispatch_counters {
  uint64_t submitted = 0;
  uint64_t first_starts = 0;
  uint64_t retries = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;   ///< Ended at once by Submit.
  uint64_t finished = 0;  ///< Ended without an answer, refusals included.
};

/// The dispatcher of one range. Deterministic: the same events at the same
/// times give the same decisions.
///
/// Each submitted request gets exactly one end: a finish_request, or
/// AttemptEnded returns its number for an answer. Every attempt that was
/// started has to be reported by AttemptEnded once, cancelled ones too; its
/// slot is in use until then. Decisions are appended to `out`. Setters change
/// state only; their consequences come with the next event, so call Tick
/// after a batch of them. No exceptions but for lack of memory; in steady
/// state no allocation either.
template <target_picker picker = least_loaded_picker>
class basic_dispatcher {
 public:
  /// How long a request waits for its bucket to get an owner.
  static constexpr duration kOwnerWait{std::chrono::milliseconds{1500}};
  /// How often gates, silence and held requests are looked at.
  static constexpr duration kCheckPeriod{std::chrono::milliseconds{10}};
  /// Once urgent requests have been waiting for this long without a break,
  /// further ones are admitted only if they wait no longer than so many mean
  /// service times.
  static constexpr duration kStandingTime{std::chrono::milliseconds{100}};
  static constexpr double kStandingTurns = 4;
  /// Retries saved up at the most.
  static constexpr double kRetryBurst = 10;
  /// When to come back if nothing better is known.
  static constexpr duration kUnknownReturn{std::chrono::seconds{1}};

  /// `buckets` is the service's; pooled services give 0.
  explicit basic_dispatcher(placement_kind placement, int buckets = 0,
                            picker choose = {});
  basic_dispatcher(const basic_dispatcher&) = delete;
  basic_dispatcher& operator=(const basic_dispatcher&) = delete;

  /// Replaces the list of targets; those that stay keep state and index.
  void SetTargets(std::span<const target_config> targets, int slots,
                  int connections);
  /// Returns the index of a target in the list, or kNoTarget.
  target_index FindTarget(std::string_view name) const {
    return targets_.Find(name);
  }
  const target_state& Target(target_index target) const {
    return targets_.At(target);
  }
  /// Sets the preset's values and the rules by organisation index.
  void SetPolicy(const preset_config& preset,
                 std::span<const organisation_rule> rules);
  /// Sets who owns a bucket; kNoTarget while nobody does.
  void SetOwner(int32_t bucket, target_index owner);
  /// Sets a single key's owner, which goes before its bucket's.
  void SetKeyOwner(uint64_t key_hash, target_index owner);
  void ClearKeyOwner(uint64_t key_hash);
  void SetTargetUsability(target_index target, target_usability usability,
                          time_point now);
  /// Sets the end of this host's authority; nothing starts after it and no
  /// attempt of a keyed service runs past it.
  void SetAuthority(time_point until) { authority_ = until; }

  /// Takes a request on. Refusals are decided before it returns.
  void Submit(const dispatch_request& request, time_point now,
              std::vector<dispatch_decision>& out);
  /// Reports the end of an attempt. For kAnswered returns the request that
  /// gets the answer; none if it has its final answer already and this one
  /// must be dropped.
  std::optional<uint64_t> AttemptEnded(uint64_t attempt_id, attempt_end end,
                                       time_point now,
                                       std::vector<dispatch_decision>& out);
  /// The caller gave the request up; unknown numbers are ignored.
  void Cancel(uint64_t request_id, time_point now,
              std::vector<dispatch_decision>& out);
  /// Does all that is due by `now`.
  void Tick(time_point now, std::vector<dispatch_decision>& out);
  /// Returns when Tick is to be called next, if at all.
  std::optional<time_point> NextWake() const;
  /// The host lost its authority: whatever waits is finished as not run,
  /// nothing starts until Resume. Running attempts go on to their deadline.
  void Suspend(time_point now, std::vector<dispatch_decision>& out);
  void Resume() { suspended_ = false; }

  /// Marks of the poison guard; see there.
  std::vector<poison_mark> TakePoisonNews(time_point now) {
    return poison_.TakeNews(now);
  }
  std::vector<poison_mark> ExportPoison(time_point now) const {
    return poison_.Export(now);
  }
  void ImportPoison(std::span<const poison_mark> marks, time_point now) {
    poison_.Import(marks, now);
  }

  /// Returns who serves this key now, kNoTarget if nobody does.
  target_index OwnerOf(int32_t bucket, uint64_t key_hash) const;
  int Waiting() const { return waiting_; }
  /// Returns all requests without an end, running ones included.
  int Live() const { return static_cast<int>(by_due_.size()); }
  const dispatch_counters& Counters() const { return counters_; }

 private:
  using decisions = std::vector<dispatch_decision>;
  struct earlier_due {
    bool operator()(const live_request& a, const live_request& b) const {
      return a.due < b.due;
    }
  };
  struct id_of_request {
    using type = uint64_t;
    const type& operator()(const live_request& r) const {
      return r.request.request_id;
    }
  };
  using due_order = boost::intrusive::multiset<
      live_request,
      boost::intrusive::member_hook<live_request,
                                    boost::intrusive::set_member_hook<>,
                                    &live_request::due_hook>,
      boost::intrusive::compare<earlier_due>>;
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
  std::optional<refusal> Refuse(const dispatch_request& request,
                                time_point now) const;
  std::optional<refusal> RefuseByLoad(const dispatch_request& request,
                                      time_point now) const;
  double ParallelSlots(target_index target) const;
  double MeanUs(target_index target) const;
  duration DrainTime(target_index target) const;

  // The life of a request.
  live_request& Allocate(const dispatch_request& request);
  void SetDue(live_request& live, time_point due);
  void Place(live_request& live, bool front, time_point now);
  void Hold(live_request& live, time_point now);
  void Unlink(live_request& live);
  void Finish(live_request& live, finish_reason reason, duration retry_after,
              decisions& out);
  void Release(live_request& live);
  void CountWaiting(const live_request& live, int step);

  // Starting.
  void Dispatch(target_index target, time_point now, decisions& out);
  void DispatchPooled(time_point now, decisions& out);
  void DispatchRetries(time_point now, decisions& out);
  void DispatchKeyed(target_index target, time_point now, decisions& out);
  void DispatchAll(time_point now, decisions& out);
  bool StartNext(fair_queue& queue, target_index target, time_point now,
                 decisions& out);
  bool ArchiveAllowed(target_index target) const;
  void Start(live_request& live, target_index target, time_point now,
             decisions& out);
  bool StillWorthwhile(live_request& live, target_index target, time_point now,
                       decisions& out);
  bool RunsNow(uint64_t content_hash) const;

  // Ends of attempts.
  running_attempt* FindAttempt(uint64_t attempt_id);
  running_attempt& AllocateAttempt();
  void FreeAttempt(running_attempt& attempt);
  void CountHealth(running_attempt& attempt, attempt_end end, time_point now,
                   decisions& out);
  void CountAnswer(running_attempt& attempt, time_point now);
  bool CountBreak(running_attempt& attempt, time_point now, decisions& out);
  void AfterFailure(live_request& live, attempt_end end, bool target_lost,
                    time_point now, decisions& out);
  bool SpendRetry();
  void Rescue(target_index target, time_point now, decisions& out);

  // What comes with time or with setters.
  void ApplyChanges(time_point now, decisions& out);
  void Reroute(time_point now);
  void ReleaseHeld(time_point now);
  void Expire(time_point now, decisions& out);
  void CheckTargets(time_point now, decisions& out);
  bool NeedsChecks() const;

  placement_kind placement_;
  picker picker_;
  // Pools: entries never move; free ones are kept for the next use.
  std::deque<live_request> requests_;
  std::deque<running_attempt> attempts_;
  std::vector<uint32_t> free_attempts_;
  std::vector<typename request_index::bucket_type> id_buckets_;

  target_table targets_;
  fair_queue pooled_queue_;
  request_list retries_;
  request_list held_;
  request_list free_requests_;
  due_order by_due_;
  request_index by_id_;

  std::vector<int16_t> owners_;  // by bucket
  std::unordered_map<uint64_t, target_index> key_owners_;
  std::vector<organisation_rule> rules_;
  std::vector<std::array<int, kUrgencyCount>> queued_;  // by organisation
  preset_config preset_;
  poison_guard poison_;
  dispatch_counters counters_;
  double retry_tokens_ = kRetryBurst;
  time_point authority_ = time_point::max();
  time_point next_check_;
  int waiting_ = 0;
  bool suspended_ = false;
  bool changed_ = false;
};

using dispatcher = basic_dispatcher<>;

extern template class basic_dispatcher<least_loaded_picker>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_DISPATCHER_H_
