#ifndef FOXTAILSPREAD_TESTS_DISPATCHER_FIXTURE_H_
#define FOXTAILSPREAD_TESTS_DISPATCHER_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "foxtailspread/dispatcher.h"

namespace foxtailspread {

/// Functions that call a dispatcher in virtual time and select decisions by
/// type.
class dispatcher_fixture : public testing::Test {
 protected:
  static constexpr int kBuckets = 8;
  static constexpr int kSlots = 3;

  static time_point TimeAtMs(int64_t ms) {
    return time_point{std::chrono::milliseconds{ms}};
  }

  static std::vector<target_config> MakeTargets(int count) {
    std::vector<target_config> targets;
    targets.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      targets.push_back({.name = "target-" + std::to_string(i),
                         .address = {},
                         .zone = "trnje"});
    }
    return targets;
  }

  /// Adds `target_count` targets and completes their ramp-up by answered
  /// requests.
  static void SetUpDispatcher(dispatcher& range, int target_count) {
    range.SetTargets(MakeTargets(target_count), kSlots, 50);
    const std::vector<organisation_rule> rules(2);
    range.SetPolicy(preset_config{}, rules);
    for (int bucket = 0; bucket < kBuckets; ++bucket) {
      range.SetOwner(bucket, bucket % target_count);
    }
    std::vector<dispatch_decision> out;
    for (uint64_t i = 0; i < 24UL * static_cast<uint64_t>(target_count); ++i) {
      dispatch_request ramp_up_request = MakeRequest(1'000'000 + i);
      ramp_up_request.bucket = static_cast<int32_t>(i % kBuckets);
      out.clear();
      range.Submit(ramp_up_request, TimeAtMs(0), out);
      range.AttemptEnded(StartedAttempts(out).at(0).attempt_id,
                         attempt_outcome::kAnswered,
                         TimeAtMs(0) + std::chrono::milliseconds{2}, out);
    }
  }

  static dispatch_request MakeRequest(uint64_t id) {
    return {.request_id = id,
            .organisation = 0,
            .level = urgency::kOrdinary,
            .deadline = TimeAtMs(2000),
            .bucket = 0,
            .key_hash = id,
            .content_hash = id,
            .repeatable = false};
  }

  template <typename decision_type>
  static std::vector<decision_type> DecisionsOfType(
      const std::vector<dispatch_decision>& out) {
    std::vector<decision_type> found;
    for (const dispatch_decision& decision : out) {
      if (const decision_type* match = std::get_if<decision_type>(&decision)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  static std::vector<start_attempt> StartedAttempts(
      const std::vector<dispatch_decision>& out) {
    return DecisionsOfType<start_attempt>(out);
  }
  static std::vector<finish_request> FinishedRequests(
      const std::vector<dispatch_decision>& out) {
    return DecisionsOfType<finish_request>(out);
  }

  std::vector<dispatch_decision> Submit(dispatcher& range,
                                        const dispatch_request& request,
                                        int64_t ms = 10) {
    std::vector<dispatch_decision> out;
    range.Submit(request, TimeAtMs(ms), out);
    return out;
  }
  std::vector<dispatch_decision> EndAttempt(dispatcher& range,
                                            uint64_t attempt_id,
                                            attempt_outcome end, int64_t ms) {
    std::vector<dispatch_decision> out;
    range.AttemptEnded(attempt_id, end, TimeAtMs(ms), out);
    return out;
  }
  std::vector<dispatch_decision> Tick(dispatcher& range, int64_t ms) {
    std::vector<dispatch_decision> out;
    range.Tick(TimeAtMs(ms), out);
    return out;
  }
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_DISPATCHER_FIXTURE_H_
