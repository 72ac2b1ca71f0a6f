#include "foxtailspread/target_table.h"

#include <algorithm>

namespace foxtailspread {

namespace {

/// A target counts as silent after this multiple of the longest measured
/// service time.
constexpr int kSilenceFactor = 3;
/// Extends the silence threshold while no other target answers either, because
/// then the fault may be on this host's side.
constexpr int kNoAnswersFactor = 2;
/// Limits the number of doublings, so that the shift cannot overflow.
constexpr int kMaxDoublings = 10;

duration ExponentialBackoff(duration initial, int doublings, duration max) {
  return std::min(initial * (1 << std::min(doublings, kMaxDoublings)), max);
}

}  // namespace

target_index least_loaded_picker::Pick(std::span<const target_load> loads,
                                       target_index excluded) {
  target_index best = kNoTarget;
  for (size_t i = 0; i < loads.size(); ++i) {
    const target_load& load = loads[i];
    const auto index = static_cast<target_index>(i);
    if (load.running >= load.allowance || index == excluded) {
      continue;
    }
    if (best == kNoTarget) {
      best = index;
      continue;
    }
    const target_load& best_load = loads[static_cast<size_t>(best)];
    // Compares the used fractions of both allowances without a division.
    const int scaled = load.running * best_load.allowance;
    const int best_scaled = best_load.running * load.allowance;
    if (scaled < best_scaled ||
        (scaled == best_scaled && load.start_count < best_load.start_count)) {
      best = index;
    }
  }
  return best;
}

void target_table::SetTargets(std::span<const target_config> targets,
                              int slots) {
  for (const auto& target : targets_) {
    target->listed = false;
  }
  for (const target_config& config : targets) {
    const auto existing =
        std::find_if(targets_.begin(), targets_.end(),
                     [&](const auto& t) { return t->name == config.name; });
    if (existing != targets_.end()) {
      (*existing)->listed = true;
      (*existing)->slots = slots;
      continue;
    }
    auto unused =
        std::find_if(targets_.begin(), targets_.end(), [&](const auto& t) {
          const bool named_again = std::any_of(
              targets.begin(), targets.end(),
              [&](const target_config& c) { return c.name == t->name; });
          return !t->listed && !named_again && t->attempts.empty() &&
                 t->queue.Empty();
        });
    if (unused == targets_.end()) {
      targets_.emplace_back();
      loads_.emplace_back();
      unused = targets_.end() - 1;
    }
    *unused = std::make_unique<target_state>();
    (*unused)->name = config.name;
    (*unused)->listed = true;
    (*unused)->slots = slots;
    // The count of starts begins at the average of all targets. From 0, a new
    // target would win every tie until it had caught up with hours of starts.
    uint64_t total_served = 0;
    for (const target_load& load : loads_) {
      total_served += load.start_count;
    }
    const auto position = static_cast<size_t>(unused - targets_.begin());
    loads_[position] = {.start_count = total_served / loads_.size()};
  }
  CountUsable();
  for (size_t i = 0; i < targets_.size(); ++i) {
    UpdateAllowance(static_cast<target_index>(i), last_answer_);
  }
}

target_index target_table::Find(std::string_view name) const {
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i]->listed && targets_[i]->name == name) {
      return static_cast<target_index>(i);
    }
  }
  return kNoTarget;
}

void target_table::SetUsability(target_index index, target_usability usability,
                                time_point now) {
  target_state& target = At(index);
  if (target.usability == usability) {
    return;
  }
  if (usability == target_usability::kUsable) {
    target.ramp_allowance = 1;
    target.ramp_successes = 0;
    target.consecutive_failures = 0;
    target.ejected = false;
    target.suspected = false;
    target.paused_until = time_point{};
  }
  target.rerun_elsewhere = usability == target_usability::kDown;
  target.usability = usability;
  CountUsable();
  UpdateAllowance(index, now);
}

bool target_table::IsUsable(target_index index) const {
  const target_state& target = At(index);
  return target.listed && target.usability == target_usability::kUsable;
}

void target_table::CountUsable() {
  usable_count_ = 0;
  usable_slots_ = 0;
  for (int i = 0; i < Size(); ++i) {
    if (IsUsable(i)) {
      usable_count_++;
      usable_slots_ += At(i).slots;
    }
  }
}

void target_table::OnStarted(running_attempt& attempt, time_point now) {
  target_state& target = At(attempt.target);
  target_load& load = loads_[Position(attempt.target)];
  attempt.started = now;
  target.attempts.push_back(attempt);
  SetLoad(attempt.target, load.running + 1, load.allowance);
  load.start_count++;
  running_++;
  if (attempt.level == urgency::kArchive) {
    target.archive_running++;
    archive_running_++;
  }
}

void target_table::OnReleased(running_attempt& attempt) {
  target_state& target = At(attempt.target);
  target.attempts.erase(target.attempts.iterator_to(attempt));
  const target_load& load = loads_[Position(attempt.target)];
  SetLoad(attempt.target, load.running - 1, load.allowance);
  running_--;
  if (attempt.level == urgency::kArchive) {
    target.archive_running--;
    archive_running_--;
  }
}

void target_table::OnAnswered(const running_attempt& attempt, time_point now) {
  target_state& target = At(attempt.target);
  const duration service_time = now - attempt.started;
  target.service_times.Add(service_time);
  service_times_.Add(service_time);
  target.last_answer = now;
  last_answer_ = now;
  target.consecutive_failures = 0;
  target.consecutive_ejections = 0;
  target.ejected = false;
  target.suspected = false;
  target.rerun_elsewhere = target.usability == target_usability::kDown;
  target.paused_until = time_point{};
  if (target.probation) {
    target.probation = false;
    target.ramp_allowance = 1;
    target.ramp_successes = 0;
  }
  if (target.ramp_allowance < target.slots &&
      ++target.ramp_successes >= kRampSuccesses) {
    target.ramp_allowance++;
    target.ramp_successes = 0;
  }
  UpdateAllowance(attempt.target, now);
}

bool target_table::OnFailed(target_index index, attempt_outcome end,
                            time_point now) {
  target_state& target = At(index);
  target.consecutive_failures++;
  const bool unreachable = end == attempt_outcome::kConnectFailed;
  const bool shed = end == attempt_outcome::kNotStarted;
  if (unreachable || shed || target.consecutive_failures >= kFailuresToEject) {
    PauseOrEject(target, now);
  }
  UpdateAllowance(index, now);
  // A target that sheds load only at times answers other requests in between.
  // One that refuses every request serves nobody, whatever its health endpoint
  // reports.
  const bool lost = target.consecutive_failures >=
                    (shed ? kRefusalsToSuspect : kFailuresToEject);
  if (!lost || target.suspected) {
    return false;
  }
  target.suspected = true;
  return true;
}

bool target_table::OnConnectionBroke(const running_attempt& attempt,
                                     time_point now) {
  target_state& target = At(attempt.target);
  break_record& record = target.last_break;
  const bool within_window =
      record.content_count > 0 && now - record.last_break_at <= kBreakWindow;
  if (!within_window) {
    record.content_count = 0;
  }
  record.last_break_at = now;
  if (record.content_count < break_record::kMaxContents) {
    record.contents[static_cast<size_t>(record.content_count)] =
        attempt.content_hash;
    record.content_count++;
  }
  const bool others_running = target.attempts.size() > 1;
  return within_window || !others_running;
}

bool target_table::MarkSuspected(target_index index, time_point now,
                                 duration gate) {
  target_state& target = At(index);
  target.paused_until = std::max(target.paused_until, now + gate);
  target.probation = true;
  UpdateAllowance(index, now);
  const bool newly_suspected = !target.suspected;
  target.suspected = true;
  return newly_suspected;
}

bool target_table::IsSilent(target_index index, time_point now) const {
  const target_state& target = At(index);
  if (target.attempts.empty()) {
    return false;
  }
  const time_point silent_since =
      std::max(target.last_answer, target.attempts.front().started);
  const duration threshold = SilenceThreshold();
  const bool others_answered = last_answer_ > silent_since;
  return now - silent_since >
         (others_answered ? threshold : threshold * kNoAnswersFactor);
}

void target_table::RefreshAllowances(time_point now) {
  for (int i = 0; i < Size(); ++i) {
    UpdateAllowance(i, now);
  }
}

void target_table::UpdateAllowance(target_index index, time_point now) {
  const target_state& target = At(index);
  int allowance = std::min(target.ramp_allowance, target.slots);
  if (!IsUsable(index) || now < target.paused_until) {
    allowance = 0;
  } else if (target.probation) {
    allowance = 1;
  }
  SetLoad(index, loads_[Position(index)].running, allowance);
}

void target_table::SetLoad(target_index index, int running, int allowance) {
  target_load& load = loads_[Position(index)];
  free_count_ -= load.running < load.allowance ? 1 : 0;
  load.running = running;
  load.allowance = allowance;
  free_count_ += load.running < load.allowance ? 1 : 0;
}

bool target_table::MayEject() const {
  int ejected = 0;
  int usable = 0;
  for (int i = 0; i < Size(); ++i) {
    if (IsUsable(i)) {
      usable++;
      ejected += At(i).ejected ? 1 : 0;
    }
  }
  const int max_ejected = std::max(usable / kMaxEjectedDivisor, 1);
  return ejected < max_ejected && ejected + 1 < usable;
}

void target_table::PauseOrEject(target_state& target, time_point now) {
  target.probation = true;
  // A keyed target remains the owner until its buckets move, so it only gets
  // requests less often. A pooled target is ejected for longer, unless too many
  // would be: when most targets seem to fail, the fault may be on this host's
  // side, and ejecting all of them would turn it into an outage.
  const bool pooled = placement_ == placement_kind::kPooled;
  const bool eject = pooled &&
                     target.consecutive_failures >= kFailuresToEject &&
                     (target.ejected || MayEject());
  if (eject) {
    target.paused_until = now + ExponentialBackoff(kInitialEjectionTime,
                                                   target.consecutive_ejections,
                                                   kMaxEjectionTime);
    target.ejected = true;
    target.consecutive_ejections++;
    return;
  }
  target.paused_until =
      now + ExponentialBackoff(kInitialPause, target.consecutive_failures - 1,
                               kMaxPause);
}

duration target_table::SilenceThreshold() const {
  if (service_times_.Empty()) {
    return kDefaultSilenceThreshold;
  }
  return std::clamp(service_times_.RecentMax() * kSilenceFactor,
                    kMinSilenceThreshold, kMaxSilenceThreshold);
}

}  // namespace foxtailspread
