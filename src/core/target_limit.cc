#include "foxtailspread/target_limit.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// Requests per second to a target that accepts fewer or none.
constexpr double kMinSendRate = 0.25;

}  // namespace

uint32_t AgeInMs(time_point time, time_point now) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - time).count();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(age, 0, std::numeric_limits<uint32_t>::max()));
}

double SendRate(double per_second) {
  return std::max(per_second, kMinSendRate);
}

bool target_limit::Update(std::optional<double> per_second, time_point sent_at,
                          time_point received_at) {
  const bool changes = per_second != per_second_;
  if (changes && sent_at < received_at_) {
    return false;
  }
  per_second_ = per_second;
  if (changes) {
    changed_at_ = received_at;
  }
  sent_at_ = std::max(sent_at_, sent_at);
  received_at_ = std::max(received_at_, received_at);
  return changes;
}

bool target_limit::Update(const limit_sample& sample, time_point now) {
  return Update(sample.per_second, now - milliseconds{sample.sent_age_ms},
                now - milliseconds{sample.received_age_ms});
}

bool target_limit::IsNewerThan(const limit_sample& sample,
                               time_point now) const {
  return received_at_ > now - milliseconds{sample.received_age_ms};
}

limit_sample target_limit::Sample(const target_life& target,
                                  time_point now) const {
  return {.target = target,
          .per_second = per_second_,
          .sent_age_ms = AgeInMs(sent_at_, now),
          .received_age_ms = AgeInMs(received_at_, now)};
}

}  // namespace foxtailspread
