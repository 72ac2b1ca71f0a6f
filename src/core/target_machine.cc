#include "foxtailspread/target_machine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace foxtailspread {
namespace {

// How much slower the first request of a cold target is; the factor falls
// evenly to 1 over the cold time.
constexpr double kColdFactor = 5;

}  // namespace

std::string_view ToString(target_verdict verdict) {
  switch (verdict) {
    case target_verdict::kDone:
      return "done";
    case target_verdict::kNotOwner:
      return "not-owner";
    case target_verdict::kStaleEpoch:
      return "stale-epoch";
    case target_verdict::kShed:
      return "shed";
    case target_verdict::kFull:
      return "full";
    case target_verdict::kExpiredUnstarted:
      return "expired-unstarted";
    case target_verdict::kExpiredRunning:
      return "expired-running";
  }
  return "unknown";
}

std::string_view ToString(run_end end) {
  switch (end) {
    case run_end::kRunning:
      return "running";
    case run_end::kDone:
      return "done";
    case run_end::kCancelled:
      return "cancelled";
    case run_end::kExpired:
      return "expired";
  }
  return "unknown";
}

bool NotStarted(target_verdict verdict) {
  return verdict != target_verdict::kDone &&
         verdict != target_verdict::kExpiredRunning;
}

target_machine::target_machine(target_settings settings, time_point start)
    : settings_(std::move(settings)),
      start_(start),
      cold_until_(start + settings_.cold_time),
      random_(settings_.seed) {
  Remember(start);
}

// A newer epoch means a newer steward, which counts on the former one's lease
// being void: it may give the buckets to another target without waiting.
void target_machine::NoteEpoch(held_range& range, uint64_t epoch) {
  if (epoch <= range.epoch) {
    return;
  }
  range.epoch = epoch;
  range.seq = 0;
  range.valid_until = time_point{};
}

result<grant_answer> target_machine::Grant(const target_grant& grant,
                                           time_point now) {
  Advance(now);
  const time_point echo{grant.echo};
  // The reading may be of the host's former boot, whose clock had gone
  // further. A lease counted from it would last far too long.
  if (echo > now) {
    return error{error_code::kOutOfRange, "echo_us",
                 "this target's clock has not shown this reading yet",
                 "send 0 and use the reading of the answer"};
  }
  held_range& range = ranges_[grant.range];
  const int running = static_cast<int>(running_.size());
  const bool stale = grant.epoch < range.epoch ||
                     (grant.epoch == range.epoch && grant.seq < range.seq);
  if (stale && settings_.checks_grants) {
    return grant_answer{grant_verdict::kStale, range.epoch, range.seq, running};
  }
  NoteEpoch(range, grant.epoch);
  range.epoch = grant.epoch;
  range.seq = grant.seq;
  if (grant.buckets) {
    range.buckets = *grant.buckets;
  }
  // A reading from before the start was given by a former process that has
  // lost what it promised since; it gains no lease, like 0.
  const bool leased = grant.echo.count() > 0 && echo >= start_;
  if (leased) {
    range.valid_until = echo + grant.lease;
  } else if (grant.buckets) {
    // The lease in force was given for the former set, not for this one.
    range.valid_until = time_point{};
  }
  return grant_answer{grant_verdict::kAccepted, range.epoch, range.seq,
                      running};
}

const held_range* target_machine::Held(std::string_view range) const {
  const auto found = ranges_.find(range);
  return found == ranges_.end() ? nullptr : &found->second;
}

// Done when a request arrives and again when it starts: the lease may lapse
// or the bucket move while the request waits for a slot.
std::optional<target_verdict> target_machine::Check(
    const target_request& request, time_point now) {
  if (!settings_.checks_grants) {
    return std::nullopt;
  }
  held_range& range = ranges_[request.range];
  if (request.epoch < range.epoch) {
    return target_verdict::kStaleEpoch;
  }
  NoteEpoch(range, request.epoch);
  const bool keyed = request.bucket >= 0;
  const bool owned =
      now < range.valid_until && range.buckets.contains(request.bucket);
  if (keyed && !owned) {
    return target_verdict::kNotOwner;
  }
  return std::nullopt;
}

std::optional<target_verdict> target_machine::Refuse(
    const target_request& request, time_point now) {
  if (faults_.shed || faults_.drain) {
    return target_verdict::kShed;
  }
  if (request.deadline && request.deadline->count() <= 0) {
    return target_verdict::kExpiredUnstarted;
  }
  // A request that was delivered while the target stood still may come from a
  // steward whose time is over. Its age shows only on the target's own clock.
  if (request.clock_deadline && *request.clock_deadline <= now) {
    return target_verdict::kExpiredUnstarted;
  }
  if (const auto verdict = Check(request, now)) {
    return verdict;
  }
  const bool full = running_.size() >= static_cast<size_t>(settings_.slots) &&
                    waiting_.size() >= static_cast<size_t>(settings_.queue);
  if (full) {
    return target_verdict::kFull;
  }
  return std::nullopt;
}

target_ticket target_machine::Submit(target_request request, time_point now) {
  Advance(now);
  waiting_request waiting{++last_ticket_, std::move(request), std::nullopt};
  if (frozen_until_) {
    arrived_.push_back(std::move(waiting));
    return last_ticket_;
  }
  Admit(std::move(waiting), now);
  return last_ticket_;
}

void target_machine::Admit(waiting_request waiting, time_point now) {
  if (const auto verdict = Refuse(waiting.request, now)) {
    Settle(waiting, *verdict, 0);
    return;
  }
  if (waiting.request.deadline) {
    waiting.deadline = now + *waiting.request.deadline;
  }
  if (const auto& clock = waiting.request.clock_deadline) {
    waiting.deadline = std::min(waiting.deadline.value_or(*clock), *clock);
  }
  waiting_.push_back(std::move(waiting));
  StartWaiting(now);
  Remember(now);
}

void target_machine::Cancel(target_ticket ticket, time_point now) {
  Advance(now);
  if (frozen_until_) {
    cancelled_.push_back(ticket);
    return;
  }
  std::erase_if(waiting_, [ticket](const waiting_request& waiting) {
    return waiting.ticket == ticket;
  });
  std::erase_if(running_, [&](const running_request& running) {
    if (running.from.ticket != ticket) {
      return false;
    }
    EndRun(running.run, run_end::kCancelled, now);
    return true;
  });
  StartWaiting(now);
  Remember(now);
}

void target_machine::Advance(time_point now) {
  if (frozen_until_ && now < *frozen_until_) {
    return;
  }
  if (frozen_until_) {
    Thaw(*frozen_until_);
  }
  // One step per instant, so that a request that starts in a freed slot starts
  // when the slot was freed, however late the caller advances.
  for (auto next = NextEvent(); next && *next <= now; next = NextEvent()) {
    EndDue(*next);
    ExpireWaiting(*next);
    StartWaiting(*next);
    Remember(*next);
  }
}

void target_machine::EndDue(time_point now) {
  std::erase_if(running_, [&](const running_request& running) {
    const auto& deadline = running.from.deadline;
    if (running.end <= now && !(deadline && *deadline < running.end)) {
      EndRun(running.run, run_end::kDone, running.end);
      Settle(running.from, target_verdict::kDone, running.run);
      return true;
    }
    if (deadline && *deadline <= now) {
      EndRun(running.run, run_end::kExpired, now);
      Settle(running.from, target_verdict::kExpiredRunning, running.run);
      return true;
    }
    return false;
  });
}

void target_machine::ExpireWaiting(time_point now) {
  std::erase_if(waiting_, [&](const waiting_request& waiting) {
    const bool expired = waiting.deadline && *waiting.deadline <= now;
    if (expired) {
      Settle(waiting, target_verdict::kExpiredUnstarted, 0);
    }
    return expired;
  });
}

void target_machine::StartWaiting(time_point now) {
  if (frozen_until_) {
    return;
  }
  while (!waiting_.empty() &&
         running_.size() < static_cast<size_t>(settings_.slots)) {
    waiting_request next = std::move(waiting_.front());
    waiting_.pop_front();
    if (const auto verdict = Check(next.request, now)) {
      Settle(next, *verdict, 0);
      continue;
    }
    Start(std::move(next), now);
  }
}

void target_machine::Start(waiting_request waiting, time_point now) {
  const target_request& request = waiting.request;
  if (!faults_.poison.empty() &&
      request.body.find(faults_.poison) != std::string::npos) {
    crashed_ = true;
  }
  const uint64_t sum = XXH3_64bits(request.body.data(), request.body.size());
  runs_.push_back({.attempt = request.attempt,
                   .key = request.key,
                   .range = request.range,
                   .epoch = request.epoch,
                   .bucket = request.bucket,
                   .body_sum = sum,
                   .started = now});
  if (runs_.size() > kMaxRuns) {
    runs_.pop_front();
  }
  const time_point end = now + WorkTime(request, now);
  running_.push_back({std::move(waiting), ++last_run_, end});
}

duration target_machine::WorkTime(const target_request& request,
                                  time_point now) {
  const double fraction = NextFraction();
  double factor = faults_.slow_factor;
  if (now < cold_until_ && settings_.cold_time.count() > 0) {
    const duration left = std::min(cold_until_ - now, settings_.cold_time);
    factor *= 1 + (kColdFactor - 1) * static_cast<double>(left.count()) /
                      static_cast<double>(settings_.cold_time.count());
  }
  if (!request.work_time) {
    factor *= 1 + settings_.work_spread * (2 * fraction - 1);
  }
  const duration base = request.work_time.value_or(settings_.work_time);
  return duration{
      static_cast<int64_t>(static_cast<double>(base.count()) * factor)};
}

// The splitmix64 generator, scaled to [0, 1).
double target_machine::NextFraction() {
  random_ += 0x9e3779b97f4a7c15U;
  uint64_t mixed = random_;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
  mixed ^= mixed >> 31;
  return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

void target_machine::Settle(const waiting_request& request,
                            target_verdict verdict, uint64_t run) {
  const bool truncate =
      verdict == target_verdict::kDone && faults_.truncate_answers > 0;
  if (truncate) {
    --faults_.truncate_answers;
  }
  const std::string& body = request.request.body;
  outcomes_.push_back({request.ticket, verdict, request.request.attempt,
                       request.request.key, run,
                       XXH3_64bits(body.data(), body.size()), truncate});
}

void target_machine::EndRun(uint64_t run, run_end end, time_point now) {
  const uint64_t age = last_run_ - run;
  if (age >= runs_.size()) {
    return;  // Dropped from the log meanwhile.
  }
  target_run& entry = runs_[runs_.size() - 1 - age];
  entry.end = end;
  entry.ended = now;
}

std::optional<time_point> target_machine::NextEvent() const {
  if (frozen_until_) {
    return frozen_until_;
  }
  std::optional<time_point> next;
  const auto take = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const running_request& running : running_) {
    take(running.end);
    if (running.from.deadline) {
      take(*running.from.deadline);
    }
  }
  for (const waiting_request& waiting : waiting_) {
    if (waiting.deadline) {
      take(*waiting.deadline);
    }
  }
  return next;
}

std::vector<target_outcome> target_machine::TakeOutcomes() {
  if (frozen_until_) {
    return {};
  }
  return std::exchange(outcomes_, {});
}

void target_machine::SetFaults(target_faults faults, time_point now) {
  Advance(now);
  faults_ = std::move(faults);
  Remember(now);
  const int64_t cold = std::exchange(faults_.cold_ms, 0);
  if (cold > 0) {
    settings_.cold_time = std::chrono::milliseconds{cold};
    cold_until_ = now + settings_.cold_time;
  }
  const int64_t freeze = std::exchange(faults_.freeze_ms, 0);
  if (freeze > 0) {
    Freeze(std::chrono::milliseconds{freeze}, now);
  }
}

void target_machine::Freeze(duration length, time_point now) {
  Advance(now);
  frozen_since_ = now;
  frozen_until_ = now + length;
}

// What arrived meanwhile is read only now, so that the time left of each
// request counts from now, as with a process that was stopped.
void target_machine::Thaw(time_point now) {
  const duration stood_still = now - frozen_since_;
  frozen_until_.reset();
  for (running_request& running : running_) {
    running.end += stood_still;
  }
  ExpireWaiting(now);
  StartWaiting(now);
  for (waiting_request& arrived : std::exchange(arrived_, {})) {
    Admit(std::move(arrived), now);
  }
  for (const target_ticket ticket : std::exchange(cancelled_, {})) {
    Cancel(ticket, now);
  }
}

void target_machine::Remember(time_point now) {
  const target_report report{.ok = !faults_.shed && !faults_.drain,
                             .running = static_cast<int64_t>(running_.size()),
                             .queued = static_cast<int64_t>(waiting_.size())};
  history_.push_back({now, report});
  while (history_.size() > 1 && history_[1].at <= now - settings_.health_lag) {
    history_.pop_front();
  }
}

target_report target_machine::Report(time_point now) {
  Advance(now);
  Remember(now);
  target_report report = history_.front().report;
  if (faults_.lie_healthy) {
    report.ok = true;
  }
  if (faults_.lie_load >= 0) {
    report.running = faults_.lie_load;
  }
  return report;
}

}  // namespace foxtailspread
