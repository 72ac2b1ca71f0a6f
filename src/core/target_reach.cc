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

}  // namespace

size_t target_reach::FailuresNeeded() const {
  return std::clamp<size_t>(listed_, 1, kMaxFailuresNeeded);
}

void target_reach::OnSent(const std::string& target, time_point now) {
  silent_since_.emplace(target, now);
}

void target_reach::OnAnswer() {
  failed_.clear();
  silent_since_.clear();
  is_cut_off_ = false;
}

void target_reach::OnFailed(const std::string& target, time_point now) {
  if (failed_.empty()) {
    first_failed_at_ = now;
  }
  failed_.insert(target);
}

bool target_reach::IsCutOff(time_point now) {
  if (is_cut_off_) {
    return true;
  }
  const auto is_silent = [now](const auto& target_and_time) {
    return now - target_and_time.second >= kSilenceTime;
  };
  const bool all_fail = failed_.size() >= FailuresNeeded() &&
                        now - first_failed_at_ >= kMinFailureTime;
  const bool all_silent = static_cast<size_t>(std::ranges::count_if(
                              silent_since_, is_silent)) >= FailuresNeeded();
  if (all_fail || all_silent) {
    is_cut_off_ = true;
    next_probe_at_ = now + kProbePeriod;
  }
  return is_cut_off_;
}

bool target_reach::TakeProbe(time_point now) {
  if (!is_cut_off_ || now < next_probe_at_) {
    return false;
  }
  next_probe_at_ = now + kProbePeriod;
  return true;
}

time_point target_reach::NextProbe() const {
  return is_cut_off_ ? next_probe_at_ : time_point::max();
}

}  // namespace foxtailspread
