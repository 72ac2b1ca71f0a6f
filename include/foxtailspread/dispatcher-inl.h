#ifndef FOXTAILSPREAD_DISPATCHER_INL_H_
#define FOXTAILSPREAD_DISPATCHER_INL_H_

/// @file
/// The definitions of basic_dispatcher's member functions. Include this file to
/// instantiate it with a custom picker; the library contains the instance with
/// the default picker.

#include <algorithm>
#include <cmath>

#include "foxtailspread/dispatcher.h"

namespace foxtailspread {

namespace dispatch_internal {

inline constexpr size_t kInitialIdHashBuckets = 1024;
inline constexpr int kSerialBits = 32;

inline duration CeilMicroseconds(double us) {
  return duration(static_cast<int64_t>(std::ceil(us)));
}

inline uint64_t MakeAttemptId(const running_attempt& attempt) {
  return uint64_t{attempt.serial} << kSerialBits | attempt.index;
}

}  // namespace dispatch_internal

template <target_picker picker>
basic_dispatcher<picker>::basic_dispatcher(placement_kind placement,
                                           int buckets, picker choose)
    : placement_(placement),
      picker_(std::move(choose)),
      id_hash_buckets_(dispatch_internal::kInitialIdHashBuckets),
      targets_(placement),
      by_id_(typename request_index::bucket_traits(id_hash_buckets_.data(),
                                                   id_hash_buckets_.size())),
      bucket_owners_(static_cast<size_t>(buckets), int16_t{kNoTarget}),
      rules_(1),
      waiting_by_class_(1) {}

template <target_picker picker>
void basic_dispatcher<picker>::SetTargets(
    std::span<const target_config> targets, int slots, int connections) {
  targets_.SetTargets(targets, std::min(slots, connections));
  for (int i = 0; i < targets_.Size(); ++i) {
    ApplyShares(targets_.At(i).queue);
  }
  has_pending_changes_ = true;
}

template <target_picker picker>
void basic_dispatcher<picker>::SetPolicy(
    const preset_config& preset, std::span<const organisation_rule> rules) {
  preset_ = preset;
  rules_.assign(rules.begin(), rules.end());
  waiting_by_class_.resize(std::max(waiting_by_class_.size(), rules_.size()));
  ApplyShares(pooled_queue_);
  for (int i = 0; i < targets_.Size(); ++i) {
    ApplyShares(targets_.At(i).queue);
  }
  has_pending_changes_ = true;
}

template <target_picker picker>
void basic_dispatcher<picker>::ApplyShares(fair_queue& queue) {
  for (size_t i = 0; i < rules_.size(); ++i) {
    queue.SetShare(static_cast<int32_t>(i), rules_[i].share);
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::SetOwner(int32_t bucket, target_index owner) {
  bucket_owners_[static_cast<size_t>(bucket)] = static_cast<int16_t>(owner);
  has_pending_changes_ = true;
}

template <target_picker picker>
void basic_dispatcher<picker>::SetKeyOwner(uint64_t key_hash,
                                           target_index owner) {
  key_owners_[key_hash] = owner;
  has_pending_changes_ = true;
}

template <target_picker picker>
void basic_dispatcher<picker>::ClearKeyOwner(uint64_t key_hash) {
  key_owners_.erase(key_hash);
  has_pending_changes_ = true;
}

template <target_picker picker>
void basic_dispatcher<picker>::SetTargetUsability(target_index target,
                                                  target_usability usability,
                                                  time_point now) {
  targets_.SetUsability(target, usability, now);
  has_pending_changes_ = true;
}

template <target_picker picker>
target_index basic_dispatcher<picker>::OwnerOf(int32_t bucket,
                                               uint64_t key_hash) const {
  target_index owner = bucket_owners_[static_cast<size_t>(bucket)];
  if (!key_owners_.empty()) {
    const auto found = key_owners_.find(key_hash);
    owner = found == key_owners_.end() ? owner : found->second;
  }
  return owner != kNoTarget && targets_.IsUsable(owner) ? owner : kNoTarget;
}

template <target_picker picker>
const organisation_rule& basic_dispatcher<picker>::RuleOf(
    int32_t organisation) const {
  static const organisation_rule default_rule;
  const auto index = static_cast<size_t>(organisation);
  return index < rules_.size() ? rules_[index] : default_rule;
}

template <target_picker picker>
fair_queue& basic_dispatcher<picker>::QueueOf(target_index target) {
  return target == kNoTarget ? pooled_queue_ : targets_.At(target).queue;
}

// Admission.

template <target_picker picker>
void basic_dispatcher<picker>::Submit(const dispatch_request& request,
                                      time_point now, decisions& out) {
  counters_.submitted++;
  if (has_pending_changes_) {
    ApplyChanges(now, out);
  }
  dispatch_request admitted = request;
  admitted.level =
      std::max(request.level, RuleOf(request.organisation).most_urgent);
  if (const std::optional<refusal> refused = CheckAdmission(admitted, now)) {
    counters_.refused++;
    counters_.finished++;
    out.emplace_back(finish_request{request.request_id,
                                    dispatch_outcome::kNotRun, refused->reason,
                                    refused->retry_after});
    return;
  }
  live_request& live = Allocate(admitted);
  Enqueue(live, /*front=*/false, now);
  Dispatch(live.queue_target, now, out);
}

template <target_picker picker>
std::optional<typename basic_dispatcher<picker>::refusal>
basic_dispatcher<picker>::CheckAdmission(const dispatch_request& request,
                                         time_point now) const {
  if (suspended_ || now >= authority_end_) {
    return refusal{finish_reason::kNoAuthority, kDefaultRetryAfter};
  }
  if (poison_.IsQuarantined(request.content_hash, now)) {
    return refusal{finish_reason::kPoisoned, poison_guard::kMarkLifetime};
  }
  if (request.level == urgency::kArchive && !preset_.admit_archive) {
    return refusal{finish_reason::kArchiveClosed, kDefaultRetryAfter};
  }
  if (!Keyed() && targets_.UsableCount() == 0) {
    return refusal{finish_reason::kNoTarget, kDefaultRetryAfter};
  }
  return CheckLoad(request, now);
}

template <target_picker picker>
std::optional<typename basic_dispatcher<picker>::refusal>
basic_dispatcher<picker>::CheckLoad(const dispatch_request& request,
                                    time_point now) const {
  const target_index target =
      Keyed() ? OwnerOf(request.bucket, request.key_hash) : kNoTarget;
  const duration time_left = request.deadline - now;
  if (time_left <= duration::zero()) {
    return refusal{finish_reason::kDeadline, EstimateDrainTime(target)};
  }
  const auto organisation = static_cast<size_t>(request.organisation);
  int queued = 0;
  if (organisation < waiting_by_class_.size()) {
    for (size_t c = 0; c <= static_cast<size_t>(request.level); ++c) {
      queued += waiting_by_class_[organisation][c];
    }
  }
  if (queued >= RuleOf(request.organisation).max_queued) {
    return refusal{finish_reason::kQueueFull, EstimateDrainTime(target)};
  }
  if (Keyed() && target == kNoTarget) {
    return std::nullopt;
  }
  const fair_queue& queue = Keyed() ? targets_.At(target).queue : pooled_queue_;
  if (queue.Empty()) {
    return std::nullopt;
  }
  const double mean_us = MeanServiceTimeUs(target);
  const double weighted_ahead =
      queue.CountAhead(request.organisation, request.level) /
      queue.ShareAmongWaiting(request.organisation);
  const double queue_position =
      std::min(weighted_ahead, static_cast<double>(queue.Size())) + 1;
  const double wait_us = queue_position * mean_us / ParallelSlots(target);
  const duration time_needed =
      dispatch_internal::CeilMicroseconds(wait_us + mean_us);
  if (time_needed > time_left) {
    return refusal{finish_reason::kTooLate, time_needed - time_left};
  }
  // A long standing queue delays every answer without raising throughput. For
  // an interactive user, one early answer and one refusal are better than two
  // late answers.
  const bool standing_queue =
      request.level == urgency::kUrgent && queue.Size(urgency::kUrgent) > 0 &&
      now - queue.UrgentWaitsSince() > kStandingQueueThreshold;
  if (standing_queue && wait_us > kMaxStandingWaitServiceTimes * mean_us) {
    return refusal{finish_reason::kTooLate,
                   dispatch_internal::CeilMicroseconds(wait_us)};
  }
  return std::nullopt;
}

template <target_picker picker>
double basic_dispatcher<picker>::ParallelSlots(target_index target) const {
  const int slots =
      target == kNoTarget ? targets_.UsableSlots() : targets_.At(target).slots;
  return std::max(slots, 1);
}

template <target_picker picker>
double basic_dispatcher<picker>::MeanServiceTimeUs(target_index target) const {
  if (target != kNoTarget && !targets_.At(target).service_times.Empty()) {
    return targets_.At(target).service_times.MeanUs();
  }
  return targets_.ServiceTimes().MeanUs();
}

template <target_picker picker>
duration basic_dispatcher<picker>::EstimateDrainTime(
    target_index target) const {
  const int queued =
      target == kNoTarget ? waiting_count_ : targets_.At(target).queue.Size();
  return dispatch_internal::CeilMicroseconds(
      (queued + 1) * MeanServiceTimeUs(target) / ParallelSlots(target));
}

// Request state changes.

template <target_picker picker>
live_request& basic_dispatcher<picker>::Allocate(
    const dispatch_request& request) {
  if (free_requests_.empty()) {
    free_requests_.push_back(requests_.emplace_back());
  }
  live_request& live = free_requests_.front();
  free_requests_.pop_front();
  live.request = request;
  live.attempt = nullptr;
  live.last_target = kNoTarget;
  live.queue_target = kNoTarget;
  live.may_have_run = false;
  live.expires_at = request.deadline;
  by_expiry_.insert(live);
  if (by_id_.size() >= id_hash_buckets_.size()) {
    std::vector<typename request_index::bucket_type> larger_buckets(
        id_hash_buckets_.size() * 2);
    by_id_.rehash(typename request_index::bucket_traits(larger_buckets.data(),
                                                        larger_buckets.size()));
    id_hash_buckets_.swap(larger_buckets);
  }
  by_id_.insert(live);
  const auto organisation = static_cast<size_t>(request.organisation);
  if (organisation >= waiting_by_class_.size()) {
    waiting_by_class_.resize(organisation + 1);
  }
  return live;
}

template <target_picker picker>
void basic_dispatcher<picker>::SetExpiry(live_request& live, time_point due) {
  if (live.expires_at == due) {
    return;
  }
  by_expiry_.erase(by_expiry_.iterator_to(live));
  live.expires_at = due;
  by_expiry_.insert(live);
}

template <target_picker picker>
void basic_dispatcher<picker>::Enqueue(live_request& live, bool front,
                                       time_point now) {
  live.queue_target = kNoTarget;
  if (!Keyed() && front) {
    live.state = request_state::kRetry;
    retries_.push_back(live);
    AdjustWaitingCount(live, 1);
    return;
  }
  if (Keyed()) {
    live.queue_target = OwnerOf(live.request.bucket, live.request.key_hash);
    if (live.queue_target == kNoTarget) {
      Hold(live, now);
      return;
    }
  }
  live.state = request_state::kQueued;
  live.queued_since = now;
  SetExpiry(live, live.request.deadline);
  AdjustWaitingCount(live, 1);
  if (front) {
    QueueOf(live.queue_target).PushFront(live);
  } else {
    QueueOf(live.queue_target).PushBack(live);
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::Hold(live_request& live, time_point now) {
  live.state = request_state::kHeld;
  held_.push_back(live);
  AdjustWaitingCount(live, 1);
  SetExpiry(live, std::min(live.request.deadline, now + kOwnerWaitTimeout));
}

template <target_picker picker>
void basic_dispatcher<picker>::AdjustWaitingCount(const live_request& live,
                                                  int step) {
  const auto organisation = static_cast<size_t>(live.request.organisation);
  waiting_by_class_[organisation][static_cast<size_t>(live.request.level)] +=
      step;
  waiting_count_ += step;
}

template <target_picker picker>
void basic_dispatcher<picker>::Unlink(live_request& live) {
  switch (live.state) {
    case request_state::kQueued:
      QueueOf(live.queue_target).Erase(live);
      break;
    case request_state::kRetry:
      retries_.erase(retries_.iterator_to(live));
      break;
    case request_state::kHeld:
      held_.erase(held_.iterator_to(live));
      break;
    case request_state::kRunning:
    case request_state::kFree:
      return;
  }
  AdjustWaitingCount(live, -1);
  live.state = request_state::kFree;
}

template <target_picker picker>
void basic_dispatcher<picker>::Finish(live_request& live, finish_reason reason,
                                      duration retry_after, decisions& out) {
  if (live.attempt != nullptr) {
    const running_attempt& attempt = *live.attempt;
    const uint64_t id = dispatch_internal::MakeAttemptId(attempt);
    out.emplace_back(cancel_attempt{id});
    live.may_have_run = true;
  }
  const dispatch_outcome outcome = live.may_have_run
                                       ? dispatch_outcome::kUnknown
                                       : dispatch_outcome::kNotRun;
  out.emplace_back(
      finish_request{live.request.request_id, outcome, reason, retry_after});
  counters_.finished++;
  FreeRequest(live);
}

template <target_picker picker>
void basic_dispatcher<picker>::FreeRequest(live_request& live) {
  Unlink(live);
  if (live.attempt != nullptr) {
    live.attempt->request = nullptr;
    live.attempt = nullptr;
  }
  by_expiry_.erase(by_expiry_.iterator_to(live));
  by_id_.erase(by_id_.iterator_to(live));
  live.state = request_state::kFree;
  free_requests_.push_front(live);
}

// Starting attempts.

template <target_picker picker>
void basic_dispatcher<picker>::Dispatch(target_index target, time_point now,
                                        decisions& out) {
  if (suspended_ || now >= authority_end_) {
    return;
  }
  if (!Keyed()) {
    DispatchPooled(now, out);
  } else if (target != kNoTarget) {
    DispatchKeyed(target, now, out);
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::DispatchAll(time_point now, decisions& out) {
  if (!Keyed()) {
    Dispatch(kNoTarget, now, out);
    return;
  }
  for (int i = 0; i < targets_.Size(); ++i) {
    Dispatch(i, now, out);
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::DispatchPooled(time_point now, decisions& out) {
  DispatchRetries(now, out);
  while (!pooled_queue_.Empty() && targets_.AnyFreeSlot()) {
    const target_index target = picker_.Pick(targets_.Loads(), kNoTarget);
    if (target == kNoTarget) {
      return;
    }
    if (!StartNext(pooled_queue_, target, now, out)) {
      return;
    }
  }
}

// Starts or finishes the next request of the queue. Returns false if none may
// start.
template <target_picker picker>
bool basic_dispatcher<picker>::StartNext(fair_queue& queue, target_index target,
                                         time_point now, decisions& out) {
  const double cost = MeanServiceTimeUs(Keyed() ? target : kNoTarget);
  live_request* live = queue.Pop(ArchiveAllowed(target), cost);
  if (live == nullptr) {
    return false;
  }
  live->state = request_state::kFree;
  AdjustWaitingCount(*live, -1);
  if (CheckBeforeStart(*live, target, now, out)) {
    StartAttempt(*live, target, now, out);
  }
  return true;
}

template <target_picker picker>
void basic_dispatcher<picker>::DispatchRetries(time_point now, decisions& out) {
  auto next = retries_.begin();
  while (next != retries_.end()) {
    live_request& live = *next;
    ++next;
    target_index target = picker_.Pick(targets_.Loads(), live.last_target);
    if (target == kNoTarget && targets_.UsableCount() <= 1) {
      target = picker_.Pick(targets_.Loads(), kNoTarget);
    }
    if (target == kNoTarget) {
      continue;
    }
    Unlink(live);
    if (CheckBeforeStart(live, target, now, out)) {
      StartAttempt(live, target, now, out);
    }
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::DispatchKeyed(target_index target,
                                             time_point now, decisions& out) {
  fair_queue& queue = targets_.At(target).queue;
  while (!queue.Empty() && targets_.HasFreeSlot(target)) {
    if (!StartNext(queue, target, now, out)) {
      return;
    }
  }
}

template <target_picker picker>
bool basic_dispatcher<picker>::ArchiveAllowed(target_index target) const {
  const int slots = targets_.UsableSlots();
  const double share = preset_.archive_share;
  // Rounded up: with few slots, rounding down would keep archive requests below
  // their share while slots are idle.
  const int max_running =
      std::max(1, static_cast<int>(std::ceil(share * slots)));
  const target_state& state = targets_.At(target);
  const int max_running_here =
      std::max(1, static_cast<int>(std::ceil(share * state.slots)));
  return targets_.ArchiveRunning() < max_running &&
         state.archive_running < max_running_here;
}

// Returns whether the request may still start; if not, finishes or holds it. A
// request that can no longer meet its deadline would take a slot from one that
// can. The content is checked again because it may have crashed targets while
// this copy was waiting.
template <target_picker picker>
bool basic_dispatcher<picker>::CheckBeforeStart(live_request& live,
                                                target_index target,
                                                time_point now,
                                                decisions& out) {
  const uint64_t content_hash = live.request.content_hash;
  const int crash_count = poison_.CrashCount(content_hash, now);
  if (crash_count >= poison_guard::kQuarantineCrashCount) {
    Finish(live, finish_reason::kPoisoned, poison_guard::kMarkLifetime, out);
    return false;
  }
  if (crash_count > 0 && IsContentRunning(content_hash)) {
    Hold(live, now);
    return false;
  }
  const auto expected_time =
      dispatch_internal::CeilMicroseconds(MeanServiceTimeUs(target));
  if (live.request.deadline - now < expected_time) {
    Finish(live, finish_reason::kDeadline, EstimateDrainTime(live.queue_target),
           out);
    return false;
  }
  return true;
}

template <target_picker picker>
bool basic_dispatcher<picker>::IsContentRunning(uint64_t content_hash) const {
  for (int i = 0; i < targets_.Size(); ++i) {
    for (const running_attempt& attempt : targets_.At(i).attempts) {
      if (attempt.content_hash == content_hash) {
        return true;
      }
    }
  }
  return false;
}

template <target_picker picker>
void basic_dispatcher<picker>::StartAttempt(live_request& live,
                                            target_index target, time_point now,
                                            decisions& out) {
  running_attempt& attempt = AllocateAttempt();
  attempt.request = &live;
  attempt.target = target;
  attempt.content_hash = live.request.content_hash;
  attempt.organisation = live.request.organisation;
  attempt.level = live.request.level;
  attempt.charged_us = MeanServiceTimeUs(Keyed() ? target : kNoTarget);
  if (live.last_target == kNoTarget) {
    counters_.first_attempts++;
    retry_tokens_ =
        std::min(retry_tokens_ + preset_.retry_budget, kMaxRetryTokens);
  } else {
    counters_.retries++;
  }
  live.attempt = &attempt;
  live.state = request_state::kRunning;
  live.last_target = target;
  // Only a key's exclusive owner depends on the authority. If attempts of a
  // pooled service also ended with the authority held at their start, long ones
  // would be restarted again and again and never complete.
  const time_point deadline =
      Keyed() ? std::min(live.request.deadline, authority_end_)
              : live.request.deadline;
  SetExpiry(live, deadline);
  // Set only after an idle period. If every start postponed the next check, a
  // continuous sequence of short requests would prevent all checks.
  if (!targets_.AnyRunning() && waiting_count_ == 0 && next_check_ < now) {
    next_check_ = now + kCheckPeriod;
  }
  targets_.OnStarted(attempt, now);
  const uint64_t id = dispatch_internal::MakeAttemptId(attempt);
  out.emplace_back(
      start_attempt{live.request.request_id, id, target, deadline});
}

// Ending attempts.

template <target_picker picker>
running_attempt& basic_dispatcher<picker>::AllocateAttempt() {
  if (free_attempts_.empty()) {
    running_attempt& attempt = attempts_.emplace_back();
    attempt.index = static_cast<uint32_t>(attempts_.size() - 1);
    return attempt;
  }
  running_attempt& attempt = attempts_[free_attempts_.back()];
  free_attempts_.pop_back();
  return attempt;
}

template <target_picker picker>
void basic_dispatcher<picker>::FreeAttempt(running_attempt& attempt) {
  attempt.serial++;
  attempt.request = nullptr;
  free_attempts_.push_back(attempt.index);
}

template <target_picker picker>
running_attempt* basic_dispatcher<picker>::FindAttempt(uint64_t attempt_id) {
  const auto index = static_cast<uint32_t>(attempt_id);
  const auto serial =
      static_cast<uint32_t>(attempt_id >> dispatch_internal::kSerialBits);
  if (index >= attempts_.size()) {
    return nullptr;
  }
  running_attempt& attempt = attempts_[index];
  const bool is_current = attempt.serial == serial && attempt.hook.is_linked();
  return is_current ? &attempt : nullptr;
}

template <target_picker picker>
std::optional<uint64_t> basic_dispatcher<picker>::AttemptEnded(
    uint64_t attempt_id, attempt_outcome end, time_point now, decisions& out) {
  running_attempt* attempt = FindAttempt(attempt_id);
  if (attempt == nullptr) {
    return std::nullopt;
  }
  const target_index target = attempt->target;
  live_request* live = attempt->request;
  const double elapsed_us =
      static_cast<double>((now - attempt->started).count());
  QueueOf(Keyed() ? target : kNoTarget)
      .AdjustCharge(attempt->organisation, elapsed_us - attempt->charged_us);
  bool target_lost = false;
  if (end == attempt_outcome::kAnswered) {
    RecordAnswer(*attempt, now);
  } else if (end == attempt_outcome::kConnectionBroken) {
    target_lost = RecordConnectionBreak(*attempt, now, out);
  }
  targets_.OnReleased(*attempt);
  UpdateTargetHealth(*attempt, end, now, out);
  FreeAttempt(*attempt);
  std::optional<uint64_t> answered;
  if (live != nullptr) {
    live->attempt = nullptr;
    live->state = request_state::kFree;
    if (end == attempt_outcome::kAnswered) {
      answered = live->request.request_id;
      counters_.answered++;
      FreeRequest(*live);
    } else {
      HandleFailedAttempt(*live, end, target_lost, now, out);
    }
  }
  if (has_pending_changes_) {
    ApplyChanges(now, out);
  }
  Dispatch(target, now, out);
  return answered;
}

template <target_picker picker>
void basic_dispatcher<picker>::RecordAnswer(running_attempt& attempt,
                                            time_point now) {
  targets_.OnAnswered(attempt, now);
  poison_.Clear(attempt.content_hash);
  // An answer to an attempt that started before the last break shows that only
  // a connection was lost, not the target. The crashes counted for the contents
  // that ran there are taken back.
  break_record& record = targets_.At(attempt.target).last_break;
  if (record.content_count > 0 && attempt.started < record.last_break_at) {
    for (int i = 0; i < record.content_count; ++i) {
      poison_.RetractCrash(record.contents[static_cast<size_t>(i)]);
    }
    record.content_count = 0;
  }
}

template <target_picker picker>
bool basic_dispatcher<picker>::RecordConnectionBreak(running_attempt& attempt,
                                                     time_point now,
                                                     decisions& out) {
  poison_.CountCrash(attempt.content_hash, now);
  const bool lost = targets_.OnConnectionBroke(attempt, now);
  if (lost && targets_.MarkSuspected(attempt.target, now,
                                     target_table::kInitialPause)) {
    out.emplace_back(target_suspected{attempt.target});
  }
  return lost;
}

template <target_picker picker>
void basic_dispatcher<picker>::UpdateTargetHealth(running_attempt& attempt,
                                                  attempt_outcome end,
                                                  time_point now,
                                                  decisions& out) {
  const bool target_healthy = end == attempt_outcome::kAnswered ||
                              end == attempt_outcome::kNotOwner ||
                              end == attempt_outcome::kCancelled;
  if (!target_healthy && targets_.OnFailed(attempt.target, end, now)) {
    out.emplace_back(target_suspected{attempt.target});
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::HandleFailedAttempt(live_request& live,
                                                   attempt_outcome end,
                                                   bool target_lost,
                                                   time_point now,
                                                   decisions& out) {
  const target_index target = live.last_target;
  const duration retry_after = EstimateDrainTime(Keyed() ? target : kNoTarget);
  switch (end) {
    case attempt_outcome::kNotStarted:
    case attempt_outcome::kNotOwner:
      break;
    case attempt_outcome::kConnectFailed:
      if (Keyed() && !suspended_) {
        // The target's gate limits how often connecting to the owner is
        // retried, so no retry token is needed.
        Enqueue(live, /*front=*/true, now);
        return;
      }
      break;
    case attempt_outcome::kConnectionBroken:
      live.may_have_run = true;
      if (!live.request.repeatable || target_lost) {
        Finish(live, finish_reason::kTargetLost, retry_after, out);
        return;
      }
      break;
    case attempt_outcome::kTimedOut:
      live.may_have_run = true;
      if (!live.request.repeatable) {
        Finish(live, finish_reason::kDeadline, retry_after, out);
        return;
      }
      break;
    case attempt_outcome::kCancelled:
    case attempt_outcome::kAnswered:
      live.may_have_run = true;
      Finish(live, finish_reason::kCancelled, retry_after, out);
      return;
  }
  if (suspended_ || now >= authority_end_) {
    Finish(live, finish_reason::kNoAuthority, kDefaultRetryAfter, out);
    return;
  }
  if (!TakeRetryToken()) {
    Finish(live, finish_reason::kRetryBudget, retry_after, out);
    return;
  }
  if (end == attempt_outcome::kNotOwner && Keyed()) {
    Hold(live, now);
    return;
  }
  Enqueue(live, /*front=*/true, now);
}

template <target_picker picker>
bool basic_dispatcher<picker>::TakeRetryToken() {
  if (retry_tokens_ < 1) {
    return false;
  }
  retry_tokens_ -= 1;
  return true;
}

// Requests on a frozen target would wait there until their deadline. Cancels
// the attempts of repeatable requests and queues these requests again, within
// the retry budget.
template <target_picker picker>
void basic_dispatcher<picker>::RequeueRepeatableRequests(target_index target,
                                                         time_point now,
                                                         decisions& out) {
  targets_.At(target).rerun_elsewhere = false;
  if (suspended_) {
    return;
  }
  for (running_attempt& attempt : targets_.At(target).attempts) {
    live_request* live = attempt.request;
    if (live == nullptr || !live->request.repeatable || !TakeRetryToken()) {
      continue;
    }
    const uint64_t id = dispatch_internal::MakeAttemptId(attempt);
    out.emplace_back(cancel_attempt{id});
    attempt.request = nullptr;
    live->attempt = nullptr;
    live->may_have_run = true;
    Enqueue(*live, /*front=*/true, now);
  }
}

// Handling of timers and of changes by setters.

template <target_picker picker>
void basic_dispatcher<picker>::Cancel(uint64_t request_id, time_point now,
                                      decisions& out) {
  const auto found = by_id_.find(request_id);
  if (found == by_id_.end()) {
    return;
  }
  Finish(*found, finish_reason::kCancelled, duration::zero(), out);
  if (has_pending_changes_) {
    ApplyChanges(now, out);
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::Tick(time_point now, decisions& out) {
  if (has_pending_changes_) {
    ApplyChanges(now, out);
  }
  Expire(now, out);
  if (now >= next_check_) {
    CheckTargets(now, out);
    ReleaseHeld(now);
    next_check_ = now + kCheckPeriod;
  }
  targets_.RefreshAllowances(now);
  DispatchAll(now, out);
}

template <target_picker picker>
std::optional<time_point> basic_dispatcher<picker>::NextTickTime() const {
  std::optional<time_point> wake;
  if (!by_expiry_.empty()) {
    wake = by_expiry_.begin()->expires_at;
  }
  if (NeedsChecks()) {
    wake = std::min(wake.value_or(next_check_), next_check_);
  }
  return wake;
}

template <target_picker picker>
bool basic_dispatcher<picker>::NeedsChecks() const {
  return has_pending_changes_ || targets_.AnyRunning() || waiting_count_ > 0;
}

template <target_picker picker>
void basic_dispatcher<picker>::Suspend(time_point now, decisions& out) {
  suspended_ = true;
  auto next = by_expiry_.begin();
  while (next != by_expiry_.end()) {
    live_request& live = *next;
    ++next;
    if (live.state != request_state::kRunning) {
      Finish(live, finish_reason::kNoAuthority, kDefaultRetryAfter, out);
    }
  }
  Expire(now, out);
}

template <target_picker picker>
void basic_dispatcher<picker>::ApplyChanges(time_point now, decisions& out) {
  has_pending_changes_ = false;
  targets_.RefreshAllowances(now);
  for (int i = 0; i < targets_.Size(); ++i) {
    if (targets_.At(i).rerun_elsewhere) {
      RequeueRepeatableRequests(i, now, out);
    }
  }
  if (Keyed()) {
    RequeueByOwner(now);
  }
  DispatchAll(now, out);
}

template <target_picker picker>
void basic_dispatcher<picker>::RequeueByOwner(time_point now) {
  for (int i = 0; i < targets_.Size(); ++i) {
    targets_.At(i).queue.ForEach([&](live_request& live) {
      if (OwnerOf(live.request.bucket, live.request.key_hash) != i) {
        Unlink(live);
        Enqueue(live, /*front=*/false, now);
      }
    });
  }
  ReleaseHeld(now);
}

// Queues held requests whose key has an owner again. This includes an owner
// that refused the request: it may have received its grant by now.
template <target_picker picker>
void basic_dispatcher<picker>::ReleaseHeld(time_point now) {
  auto next = held_.begin();
  while (next != held_.end()) {
    live_request& live = *next;
    ++next;
    const bool has_owner =
        !Keyed() ||
        OwnerOf(live.request.bucket, live.request.key_hash) != kNoTarget;
    if (has_owner) {
      Unlink(live);
      Enqueue(live, /*front=*/true, now);
    }
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::Expire(time_point now, decisions& out) {
  while (!by_expiry_.empty() && by_expiry_.begin()->expires_at <= now) {
    live_request& live = *by_expiry_.begin();
    const bool no_owner_in_time = live.state == request_state::kHeld &&
                                  Keyed() &&
                                  live.expires_at < live.request.deadline;
    const target_index attempt_target =
        live.attempt == nullptr ? kNoTarget : live.attempt->target;
    Finish(
        live,
        no_owner_in_time ? finish_reason::kNoOwner : finish_reason::kDeadline,
        EstimateDrainTime(live.queue_target), out);
    if (attempt_target != kNoTarget &&
        targets_.OnFailed(attempt_target, attempt_outcome::kTimedOut, now)) {
      out.emplace_back(target_suspected{attempt_target});
    }
  }
}

template <target_picker picker>
void basic_dispatcher<picker>::CheckTargets(time_point now, decisions& out) {
  for (int i = 0; i < targets_.Size(); ++i) {
    if (!targets_.IsSilent(i, now)) {
      continue;
    }
    if (targets_.MarkSuspected(i, now, target_table::kSilentTargetPause)) {
      out.emplace_back(target_suspected{i});
    }
    RequeueRepeatableRequests(i, now, out);
  }
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_DISPATCHER_INL_H_
