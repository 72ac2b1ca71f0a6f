#include "foxtailspread/target_reach.h"

#include <algorithm>

namespace foxtailspread {
namespace {

constexpr size_t kMaxFailuresNeeded = 3;

/// Failures count only if no target answers for this time after the first.
constexpr duration kMinFailureTime{std::chrono::milliseconds{200}};

/// Targets that owe answers for this time are silent. Under overload a host
/// still gets some answers in that time.
constexpr duration kSilenceTime{std::chrono::milliseconds{1000}};

/// A failed connection counts for this time, and this part of all targets must
/// be unreachable, for the path and not the targets to be at fault. A host that
/// is one of many tries only some of many targets in that time.
constexpr duration kUnreachableTime{std::chrono::seconds{3}};
constexpr size_t kUnreachableDivisor = 10;
constexpr size_t kMaxUnreachableNeeded = 8;

}  // namespace

size_t target_reach::FailuresNeeded() const {
  return std::clamp<size_t>(listed_, 1, kMaxFailuresNeeded);
}

void target_reach::OnSent(const std::string& target, time_point now) {
  silent_since_.emplace(target, now);
}

void target_reach::OnAnswer(const std::string& target) {
  unreachable_.erase(target);
  failed_.clear();
  silent_since_.clear();
  is_suspected_ = false;
  is_cut_off_ = false;
}

void target_reach::OnFailed(const std::string& target, time_point now) {
  if (failed_.empty()) {
    first_failed_at_ = now;
  }
  failed_.insert(target);
}

void target_reach::OnAbandoned(const std::string& target, time_point now) {
  const auto found = silent_since_.find(target);
  if (found != silent_since_.end() && now - found->second < kSilenceTime) {
    silent_since_.erase(found);
  }
}

void target_reach::OnUnreachable(const std::string& target, time_point now) {
  OnFailed(target, now);
  unreachable_[target] = now;
}

target_paths target_reach::Paths(time_point now) {
  if (!is_suspected_ && IsSuspected(now)) {
    is_suspected_ = true;
    failed_probes_ = 0;
    next_probe_at_ = now;
  }
  if (is_cut_off_) {
    return target_paths::kNone;
  }
  std::erase_if(unreachable_, [now](const auto& target_and_time) {
    return now - target_and_time.second >= kUnreachableTime;
  });
  const size_t needed = std::clamp(listed_ / kUnreachableDivisor,
                                   FailuresNeeded(), kMaxUnreachableNeeded);
  return unreachable_.size() >= needed ? target_paths::kSome
                                       : target_paths::kAll;
}

bool target_reach::IsSuspected(time_point now) const {
  const auto is_silent = [now](const auto& target_and_time) {
    return now - target_and_time.second >= kSilenceTime;
  };
  const bool all_fail = failed_.size() >= FailuresNeeded() &&
                        now - first_failed_at_ >= kMinFailureTime;
  const bool all_silent = static_cast<size_t>(std::ranges::count_if(
                              silent_since_, is_silent)) >= FailuresNeeded();
  return all_fail || all_silent;
}

size_t target_reach::TakeProbes(time_point now) {
  if (!is_suspected_ || now < next_probe_at_) {
    return 0;
  }
  next_probe_at_ = now + kProbePeriod;
  return is_cut_off_ ? 1 : FailuresNeeded();
}

void target_reach::OnProbeFailed() {
  is_cut_off_ =
      is_cut_off_ || (is_suspected_ && ++failed_probes_ >= FailuresNeeded());
}

time_point target_reach::NextProbe() const {
  return is_suspected_ ? next_probe_at_ : time_point::max();
}

}  // namespace foxtailspread
