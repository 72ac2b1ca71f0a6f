#ifndef FOXTAILSPREAD_TARGET_LIMIT_H_
#define FOXTAILSPREAD_TARGET_LIMIT_H_

/// @file
/// The request rate that a target accepts from all hosts together, as it states
/// it in its answers.
///
/// Load pattern: a target in need accepts a few requests per second, fewer than
/// there are hosts. Answers of one target overtake each other on their way to
/// one host and to several.

#include <cstdint>
#include <optional>

#include "foxtailspread/key_map.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// What one answer says of its target's limit.
struct limit_notice {
  /// Requests per second that the target accepts from all hosts together; empty
  /// if it accepts any number.
  std::optional<double> per_second{};
  /// False if the answer states a limit that cannot be parsed, which leaves the
  /// known limit as it is.
  bool is_readable = true;

  bool operator==(const limit_notice&) const = default;
};

/// Returns the time since `time` in milliseconds, as hosts tell each other.
uint32_t AgeInMs(time_point time, time_point now);

/// Returns the rate at which hosts send to a target with the limit
/// `per_second`. It is never 0: the end of a limit shows only in answers.
double SendRate(double per_second);

/// What one host knows of a target's limit, as hosts tell each other. Their
/// clocks differ, so that it holds ages.
struct limit_sample {
  target_life target{};
  std::optional<double> per_second{};
  /// Ages of the latest answer that confirmed the limit: since its request was
  /// sent and since it arrived.
  uint32_t sent_age_ms = 0;
  uint32_t received_age_ms = 0;

  bool operator==(const limit_sample&) const = default;
};

/// The limit of one target as one host knows it.
///
/// An answer was written between the send of its request and its own arrival.
/// Only an answer whose request was sent after the arrival of all answers that
/// confirm the known limit is certain to be newer, so that only such an answer
/// changes it.
///
/// @code
/// if (limit.Update(notice.per_second, sent_at, now)) Share(limit);
/// @endcode
class target_limit {
 public:
  /// Applies an answer that arrived at `received_at` to a request that was sent
  /// at `sent_at`. Returns whether the limit changed.
  bool Update(std::optional<double> per_second, time_point sent_at,
              time_point received_at);
  /// Applies what another host knows. Returns whether the limit changed.
  bool Update(const limit_sample& sample, time_point now);
  /// Whether an answer confirmed the limit later than the one of `sample`.
  bool IsNewerThan(const limit_sample& sample, time_point now) const;
  /// Returns the limit for other hosts.
  limit_sample Sample(const target_life& target, time_point now) const;

  /// Requests per second; empty if there is no limit.
  const std::optional<double>& per_second() const { return per_second_; }
  /// When the latest answer arrived that confirmed the limit.
  time_point received_at() const { return received_at_; }
  /// When the limit last changed; empty if it never did.
  const std::optional<time_point>& changed_at() const { return changed_at_; }

 private:
  std::optional<double> per_second_;
  time_point sent_at_{};
  time_point received_at_{};
  std::optional<time_point> changed_at_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TARGET_LIMIT_H_
