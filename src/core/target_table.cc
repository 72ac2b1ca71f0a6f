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
                                       target_index avoid) {
  target_index best = kNoTarget;
  for (size_t i = 0; i < loads.size(); ++i) {
    const target_load& load = loads[i];
    const auto index = static_cast<target_index>(i);
    if (load.running >= load.allowance || index == avoid) {
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
        (scaled == best_scaled && load.served < best_load.served)) {
      best = index;
    }
  }
  return best;
}

void target_table::Set(std::span<const target_config> targets, int slots) {
  for (const auto& target : targets_) {
    target->present = false;
  }
  for (const target_config& config : targets) {
    const auto existing =
        std::find_if(targets_.begin(), targets_.end(),
                     [&](const auto& t) { return t->name == config.name; });
    if (existing != targets_.end()) {
      (*existing)->present = true;
      (*existing)->slots = slots;
      continue;
    }
    auto unused =
        std::find_if(targets_.begin(), targets_.end(), [&](const auto& t) {
          const bool named_again = std::any_of(
              targets.begin(), targets.end(),
              [&](const target_config& c) { return c.name == t->name; });
          return !t->present && !named_again && t->attempts.empty() &&
                 t->queue.Empty();
        });
    if (unused == targets_.end()) {
      targets_.emplace_back();
      loads_.emplace_back();
      unused = targets_.end() - 1;
    }
    *unused = std::make_unique<target_state>();
    (*unused)->name = config.name;
    (*unused)->present = true;
    (*unused)->slots = slots;
    // The count of starts begins at the average of all targets. From 0, a new
    // target would win every tie until it had caught up with hours of starts.
    uint64_t total_served = 0;
    for (const target_load& load : loads_) {
      total_served += load.served;
    }
    const auto position = static_cast<size_t>(unused - targets_.begin());
    loads_[position] = {.served = total_served / loads_.size()};
  }
  CountUsable();
  for (size_t i = 0; i < targets_.size(); ++i) {
    UpdateAllowance(static_cast<target_index>(i), last_answer_);
  }
}

target_index target_table::Find(std::string_view name) const {
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i]->present && targets_[i]->name == name) {
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
    target.ramp = 1;
    target.ramp_successes = 0;
    target.failures = 0;
    target.ejected = false;
    target.suspected = false;
    target.gate = time_point{};
  }
  target.rescue = usability == target_usability::kDown;
  target.usability = usability;
  CountUsable();
  UpdateAllowance(index, now);
}

bool target_table::Usable(target_index index) const {
  const target_state& target = At(index);
  return target.present && target.usability == target_usability::kUsable;
}

void target_table::CountUsable() {
  usable_count_ = 0;
  usable_slots_ = 0;
  for (int i = 0; i < Size(); ++i) {
    if (Usable(i)) {
      usable_count_++;
      usable_slots_ += At(i).slots;
    }
  }
}

void target_table::Started(running_attempt& attempt, time_point now) {
  target_state& target = At(attempt.target);
  target_load& load = loads_[Slot(attempt.target)];
  attempt.started = now;
  target.attempts.push_back(attempt);
  SetLoad(attempt.target, load.running + 1, load.allowance);
  load.served++;
  running_++;
  if (attempt.level == urgency::kArchive) {
    target.archive_running++;
    archive_running_++;
  }
}

void target_table::Released(running_attempt& attempt) {
  target_state& target = At(attempt.target);
  target.attempts.erase(target.attempts.iterator_to(attempt));
  const target_load& load = loads_[Slot(attempt.target)];
  SetLoad(attempt.target, load.running - 1, load.allowance);
  running_--;
  if (attempt.level == urgency::kArchive) {
    target.archive_running--;
    archive_running_--;
  }
}

void target_table::Answered(const running_attempt& attempt, time_point now) {
  target_state& target = At(attempt.target);
  const duration service_time = now - attempt.started;
  target.service.Add(service_time);
  service_.Add(service_time);
  target.last_answer = now;
  last_answer_ = now;
  target.failures = 0;
  target.ejections = 0;
  target.ejected = false;
  target.suspected = false;
  target.rescue = target.usability == target_usability::kDown;
  target.gate = time_point{};
  if (target.probation) {
    target.probation = false;
    target.ramp = 1;
    target.ramp_successes = 0;
  }
  if (target.ramp < target.slots && ++target.ramp_successes >= kRampSuccesses) {
    target.ramp++;
    target.ramp_successes = 0;
  }
  UpdateAllowance(attempt.target, now);
}

bool target_table::Failed(target_index index, attempt_end end, time_point now) {
  target_state& target = At(index);
  target.failures++;
  const bool unreachable = end == attempt_end::kConnectFailed;
  const bool shed = end == attempt_end::kNotStarted;
  if (unreachable || shed || target.failures >= kFailuresToEject) {
    Gate(target, now);
  }
  UpdateAllowance(index, now);
  // A target that sheds load only at times answers other requests in between.
  // One that refuses every request serves nobody, whatever its health endpoint
  // reports.
  const bool lost =
      target.failures >= (shed ? kRefusalsToSuspect : kFailuresToEject);
  if (!lost || target.suspected) {
    return false;
  }
  target.suspected = true;
  return true;
}

bool target_table::Broke(const running_attempt& attempt, time_point now) {
  target_state& target = At(attempt.target);
  break_record& record = target.last_break;
  const bool within_window =
      record.count > 0 && now - record.at <= kBreakWindow;
  if (!within_window) {
    record.count = 0;
  }
  record.at = now;
  if (record.count < break_record::kMostContents) {
    record.contents[static_cast<size_t>(record.count)] = attempt.content_hash;
    record.count++;
  }
  const bool others_running = target.attempts.size() > 1;
  return within_window || !others_running;
}

bool target_table::Suspect(target_index index, time_point now, duration gate) {
  target_state& target = At(index);
  target.gate = std::max(target.gate, now + gate);
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

void target_table::Refresh(time_point now) {
  for (int i = 0; i < Size(); ++i) {
    UpdateAllowance(i, now);
  }
}

void target_table::UpdateAllowance(target_index index, time_point now) {
  const target_state& target = At(index);
  int allowance = std::min(target.ramp, target.slots);
  if (!Usable(index) || now < target.gate) {
    allowance = 0;
  } else if (target.probation) {
    allowance = 1;
  }
  SetLoad(index, loads_[Slot(index)].running, allowance);
}

void target_table::SetLoad(target_index index, int running, int allowance) {
  target_load& load = loads_[Slot(index)];
  free_count_ -= load.running < load.allowance ? 1 : 0;
  load.running = running;
  load.allowance = allowance;
  free_count_ += load.running < load.allowance ? 1 : 0;
}

bool target_table::MayEject() const {
  int ejected = 0;
  int usable = 0;
  for (int i = 0; i < Size(); ++i) {
    if (Usable(i)) {
      usable++;
      ejected += At(i).ejected ? 1 : 0;
    }
  }
  const int max_ejected = std::max(usable / kMostEjectedDivisor, 1);
  return ejected < max_ejected && ejected + 1 < usable;
}

void target_table::Gate(target_state& target, time_point now) {
  target.probation = true;
  // A keyed target remains the owner until its buckets move, so it only gets
  // requests less often. A pooled target is ejected for longer, unless too many
  // would be: when most targets seem to fail, the fault may be on this host's
  // side, and ejecting all of them would turn it into an outage.
  const bool pooled = placement_ == placement_kind::kPooled;
  const bool eject = pooled && target.failures >= kFailuresToEject &&
                     (target.ejected || MayEject());
  if (eject) {
    target.gate = now + ExponentialBackoff(kFirstEjection, target.ejections,
                                           kLongestEjection);
    target.ejected = true;
    target.ejections++;
    return;
  }
  target.gate =
      now + ExponentialBackoff(kFirstGate, target.failures - 1, kLongestGate);
}

duration target_table::SilenceThreshold() const {
  if (service_.Empty()) {
    return kUnmeasuredSilence;
  }
  return std::clamp(service_.High() * kSilenceFactor, kLeastSilence,
                    kMostSilence);
}

}  // namespace foxtailspread
