#ifndef FOXTAILSPREAD_TARGET_TABLE_H_
#define FOXTAILSPREAD_TARGET_TABLE_H_

/// @file
/// The targets of one range as their steward sees them: slots in use, ramp-up
/// after a start, failures, ejection and silence. Only the results of live
/// requests count here, because the targets' own health and load endpoints lag
/// and can be wrong.

#include <array>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/config.h"
#include "foxtailspread/dispatch_types.h"
#include "foxtailspread/fair_queue.h"
#include "foxtailspread/service_time_estimator.h"

namespace foxtailspread {

/// Whether a target may get new requests, as set by the dispatcher's caller.
enum class target_usability {
  kUsable,
  kDraining,  ///< Finishes running requests and gets no new ones.
  kDown,      ///< Known to be lost; its repeatable requests run elsewhere.
};

/// One attempt that has not ended yet. It holds its slot until AttemptEnded,
/// even if its request has already got its final answer.
struct running_attempt {
  boost::intrusive::list_member_hook<> hook;
  live_request* request = nullptr;  ///< nullptr if the request has ended.
  target_index target = kNoTarget;
  uint32_t serial = 0;  ///< Differs between uses of the same entry.
  uint32_t index = 0;
  time_point started;
  uint64_t content_hash = 0;
  int32_t organisation = 0;
  urgency level = urgency::kOrdinary;
  double charged_us = 0;  ///< Slot time billed to the organisation, in us.
};

using attempt_list = boost::intrusive::list<
    running_attempt, boost::intrusive::member_hook<
                         running_attempt, boost::intrusive::list_member_hook<>,
                         &running_attempt::hook>>;

/// The load of one target, as given to a picker.
struct target_load {
  int32_t running = 0;
  int32_t allowance = 0;     ///< Maximum of `running` now, 0 to its slots.
  uint64_t start_count = 0;  ///< Attempts started so far; breaks ties.
};

/// Chooses a target with a free slot other than `excluded`; kNoTarget if there
/// is none.
template <typename picker>
concept target_picker = requires(picker p, std::span<const target_load> loads,
                                 target_index excluded) {
  { p.Pick(loads, excluded) } -> std::same_as<target_index>;
};

/// Chooses the target with the lowest used fraction of its allowance and, among
/// equals, the fewest starts. A target that ramps up has a small allowance and
/// so gets few requests.
struct least_loaded_picker {
  target_index Pick(std::span<const target_load> loads, target_index excluded);
};

/// The request contents that ran when a target's connections last broke.
struct break_record {
  static constexpr int kMaxContents = 8;
  time_point last_break_at;
  std::array<uint64_t, kMaxContents> contents{};
  int content_count = 0;
};

/// The state of one target.
struct target_state {
  std::string name;
  bool listed = false;  ///< In the list given last.
  target_usability usability = target_usability::kUsable;
  int slots = 0;
  int ramp_allowance = 1;  ///< Allowance reached since the target came up.
  int ramp_successes = 0;  ///< Answers since the last step of the ramp.
  int consecutive_failures = 0;   ///< Since the last answer.
  int consecutive_ejections = 0;  ///< Since the last answer; each lasts longer.
  bool ejected = false;
  bool probation = false;  ///< One request at a time until one succeeds.
  bool suspected =
      false;  ///< Reported as probably lost since it last answered.
  bool rerun_elsewhere =
      false;                ///< Its repeatable requests are to run elsewhere.
  time_point paused_until;  ///< No starts before this time.
  time_point last_answer;
  int archive_running = 0;
  service_time_estimator service_times;
  break_record last_break;
  attempt_list attempts;  ///< In order of start.
  fair_queue queue;       ///< Used by keyed services only.
};

/// The targets of one range. Entries keep their address. An entry is reused for
/// another target only when the former one has left the list and neither runs
/// nor queues any request.
class target_table {
 public:
  /// Answers after which the allowance of a target grows by one.
  static constexpr int kRampSuccesses = 4;
  /// Consecutive failures that make a target suspected and eject it if pooled.
  static constexpr int kFailuresToEject = 3;
  /// The same for suspicion when the last failure was a refusal to start the
  /// request.
  static constexpr int kRefusalsToSuspect = 6;
  /// At most one in this many usable targets is ejected, but at least one.
  static constexpr int kMaxEjectedDivisor = 3;
  /// Ejections double in length from the first to the longest.
  static constexpr duration kInitialEjectionTime{
      std::chrono::milliseconds{250}};
  static constexpr duration kMaxEjectionTime{std::chrono::seconds{10}};
  /// Pauses of a failing target that is not ejected double likewise.
  static constexpr duration kInitialPause{std::chrono::milliseconds{10}};
  static constexpr duration kMaxPause{std::chrono::milliseconds{250}};
  /// Bounds of the silence after which a target counts as frozen.
  static constexpr duration kMinSilenceThreshold{std::chrono::milliseconds{50}};
  static constexpr duration kMaxSilenceThreshold{std::chrono::seconds{2}};
  /// The same while no service time has been measured yet.
  static constexpr duration kDefaultSilenceThreshold{
      std::chrono::milliseconds{250}};
  /// Pause of a target that was found silent.
  static constexpr duration kSilentTargetPause{std::chrono::seconds{2}};
  /// If several connections of a target break within this time of each other,
  /// the target counts as lost.
  static constexpr duration kBreakWindow{std::chrono::milliseconds{50}};

  explicit target_table(placement_kind placement) : placement_(placement) {}

  /// Replaces the list of targets. Those that remain, by name, keep their state
  /// and index.
  void SetTargets(std::span<const target_config> targets, int slots);
  /// Returns the index of the target in the current list, or kNoTarget.
  target_index Find(std::string_view name) const;
  void SetUsability(target_index index, target_usability usability,
                    time_point now);

  int Size() const { return static_cast<int>(targets_.size()); }
  target_state& At(target_index index) { return *targets_[Position(index)]; }
  const target_state& At(target_index index) const {
    return *targets_[Position(index)];
  }
  std::span<const target_load> Loads() const { return loads_; }
  /// Returns whether the target may run one more request now.
  bool HasFreeSlot(target_index index) const {
    const target_load& load = loads_[Position(index)];
    return load.running < load.allowance;
  }
  /// Returns whether any target may run one more request now.
  bool AnyFreeSlot() const { return free_count_ > 0; }
  /// Returns whether the target is in the list and set to be usable.
  bool IsUsable(target_index index) const;
  int UsableCount() const { return usable_count_; }
  /// Returns the slots of all usable targets.
  int UsableSlots() const { return usable_slots_; }
  int ArchiveRunning() const { return archive_running_; }
  bool AnyRunning() const { return running_ > 0; }
  /// Returns the service times of all targets together.
  const service_time_estimator& ServiceTimes() const { return service_times_; }

  /// Counts the start of an attempt, which occupies a slot.
  void OnStarted(running_attempt& attempt, time_point now);
  /// Counts the end of an attempt and frees its slot.
  void OnReleased(running_attempt& attempt);
  /// Counts an answer: resets the failures and continues the ramp-up.
  void OnAnswered(const running_attempt& attempt, time_point now);
  /// Counts a failure. Returns whether the target became suspected.
  bool OnFailed(target_index index, attempt_outcome end, time_point now);
  /// Records a broken connection. Returns whether the target is probably lost:
  /// nothing else runs there, or another connection broke just before.
  bool OnConnectionBroke(const running_attempt& attempt, time_point now);
  /// Marks the target as probably lost and pauses it. Returns whether it was
  /// not suspected before.
  bool MarkSuspected(target_index index, time_point now, duration pause);
  /// Returns whether the target has given no answer for too long while it had
  /// requests to answer.
  bool IsSilent(target_index index, time_point now) const;
  /// Recomputes the allowances, which depend on the time.
  void RefreshAllowances(time_point now);

 private:
  static size_t Position(target_index index) {
    return static_cast<size_t>(index);
  }
  void CountUsable();
  void SetLoad(target_index index, int running, int allowance);
  void UpdateAllowance(target_index index, time_point now);
  bool MayEject() const;
  void PauseOrEject(target_state& target, time_point now);
  duration SilenceThreshold() const;

  placement_kind placement_;
  std::vector<std::unique_ptr<target_state>> targets_;
  std::vector<target_load> loads_;
  service_time_estimator service_times_;
  time_point last_answer_;
  int running_ = 0;
  int free_count_ = 0;
  int usable_count_ = 0;
  int usable_slots_ = 0;
  int archive_running_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_TABLE_H_
