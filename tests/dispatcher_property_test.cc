#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "fixed_seed.h"
#include "foxtailspread/dispatcher.h"

namespace foxtailspread {
namespace {

constexpr int kBuckets = 4;
constexpr int kSlots = 2;
constexpr int kTargets = 3;

/// Sends random events to a dispatcher and checks each decision against the
/// state of the requests and attempts as callers and targets see it.
class dispatcher_checker {
 public:
  explicit dispatcher_checker(placement_kind placement)
      : range_(placement, kBuckets) {
    std::vector<target_config> targets;
    targets.reserve(kTargets);
    for (int i = 0; i < kTargets; ++i) {
      targets.push_back({.name = std::to_string(i), .address = {}, .zone = {}});
    }
    range_.SetTargets(targets, kSlots, 50);
    const std::vector<organisation_rule> rules(
        3, {.share = 1, .max_queued = 8, .most_urgent = urgency::kUrgent});
    range_.SetPolicy(preset_config{}, rules);
  }

  void Step() {
    out_.clear();
    now_ += duration{*rc::gen::inRange(0, 8000)};
    switch (*rc::gen::inRange(0, 30)) {
      case 0:
        range_.Tick(now_, out_);
        break;
      case 1:
        range_.SetOwner(*rc::gen::inRange(0, kBuckets),
                        *rc::gen::inRange(-1, kTargets));
        break;
      case 2:
        range_.SetTargetUsability(
            *rc::gen::inRange(0, kTargets),
            static_cast<target_usability>(*rc::gen::inRange(0, 3)), now_);
        break;
      case 3:
        range_.Cancel(*rc::gen::inRange<uint64_t>(0, next_id_ + 1), now_, out_);
        break;
      case 4:
        SuspendOrResume();
        break;
      default:
        SubmitOrEndAttempt();
    }
    CheckDecisions();
  }

  /// Ends all running attempts and advances the time until no request is live.
  void Drain() {
    range_.Resume();
    for (int i = 0; i < 4000 && (!running_.empty() || range_.LiveCount() > 0);
         ++i) {
      out_.clear();
      if (!running_.empty()) {
        EndRandomAttempt(attempt_outcome::kAnswered);
      } else {
        now_ += duration{10'000};
        range_.Tick(now_, out_);
      }
      CheckDecisions();
    }
    RC_ASSERT(live_.empty());
    RC_ASSERT(range_.LiveCount() == 0);
    RC_ASSERT(range_.WaitingCount() == 0);
  }

 private:
  struct request_record {
    bool repeatable = false;
    bool may_have_run = false;
  };
  struct attempt_record {
    uint64_t request_id;
    target_index target;
  };

  void SubmitOrEndAttempt() {
    if (*rc::gen::arbitrary<bool>()) {
      Submit();
    } else if (*rc::gen::inRange(0, 3) == 0) {
      EndRandomAttempt(static_cast<attempt_outcome>(*rc::gen::inRange(1, 6)));
    } else {
      EndRandomAttempt(attempt_outcome::kAnswered);
    }
  }

  void Submit() {
    dispatch_request request{
        .request_id = ++next_id_,
        .organisation = *rc::gen::inRange(0, 3),
        .level = static_cast<urgency>(*rc::gen::inRange(0, kUrgencyCount)),
        .deadline = now_ + duration{*rc::gen::inRange(-1000, 100'000)},
        .bucket = *rc::gen::inRange(0, kBuckets),
        .key_hash = 0,
        .content_hash = *rc::gen::inRange<uint64_t>(0, 40),
        .repeatable = *rc::gen::arbitrary<bool>()};
    live_[next_id_] = {request.repeatable, false};
    range_.Submit(request, now_, out_);
  }

  void SuspendOrResume() {
    if (*rc::gen::arbitrary<bool>()) {
      range_.Suspend(now_, out_);
    } else {
      range_.Resume();
    }
  }

  void EndRandomAttempt(attempt_outcome end) {
    if (running_.empty()) {
      return;
    }
    auto chosen_attempt = running_.begin();
    std::advance(chosen_attempt, *rc::gen::inRange<size_t>(0, running_.size()));
    if (cancelled_.count(chosen_attempt->first) != 0 &&
        end != attempt_outcome::kAnswered) {
      end = attempt_outcome::kCancelled;
    }
    const auto [attempt_id, attempt] = *chosen_attempt;
    running_.erase(chosen_attempt);
    const bool may_have_run = end == attempt_outcome::kConnectionBroken ||
                              end == attempt_outcome::kTimedOut ||
                              end == attempt_outcome::kCancelled;
    const auto request = live_.find(attempt.request_id);
    if (may_have_run && request != live_.end()) {
      request->second.may_have_run = true;
    }
    const auto answered = range_.AttemptEnded(attempt_id, end, now_, out_);
    if (answered) {
      RC_ASSERT(*answered == attempt.request_id);
      RC_ASSERT(live_.erase(*answered) == 1U);
    }
  }

  void CheckDecisions() {
    for (const dispatch_decision& decision : out_) {
      std::visit([this](const auto& d) { CheckDecision(d); }, decision);
    }
    std::map<target_index, int> running_per_target;
    for (const auto& [id, attempt] : running_) {
      RC_ASSERT(++running_per_target[attempt.target] <= kSlots);
    }
  }

  void CheckDecision(const start_attempt& start) {
    const auto request = live_.find(start.request_id);
    RC_ASSERT(request != live_.end());
    // A request that is not repeatable must not start again once it may have
    // run.
    RC_ASSERT(request->second.repeatable || !request->second.may_have_run);
    RC_ASSERT(start.deadline > now_);
    RC_ASSERT(running_
                  .emplace(start.attempt_id,
                           attempt_record{start.request_id, start.target})
                  .second);
  }
  void CheckDecision(const cancel_attempt& cancel) {
    const auto attempt = running_.find(cancel.attempt_id);
    RC_ASSERT(attempt != running_.end());
    RC_ASSERT(cancelled_.insert(cancel.attempt_id).second);
    const auto request = live_.find(attempt->second.request_id);
    RC_ASSERT(request != live_.end());
    request->second.may_have_run = true;
  }
  void CheckDecision(const finish_request& finish) {
    const auto request = live_.find(finish.request_id);
    RC_ASSERT(request != live_.end());
    const bool unknown = finish.outcome == dispatch_outcome::kUnknown;
    RC_ASSERT(unknown == request->second.may_have_run);
    live_.erase(request);
  }
  void CheckDecision(const target_suspected& suspected) {
    RC_ASSERT(suspected.target >= 0);
    RC_ASSERT(suspected.target < kTargets);
  }

  dispatcher range_;
  time_point now_{std::chrono::seconds{1}};
  std::vector<dispatch_decision> out_;
  uint64_t next_id_ = 0;
  std::map<uint64_t, request_record> live_;
  std::map<uint64_t, attempt_record> running_;
  std::set<uint64_t> cancelled_;
};

void RunSteps(placement_kind placement) {
  dispatcher_checker checker(placement);
  const int steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < steps; ++i) {
    checker.Step();
  }
  checker.Drain();
}

RC_GTEST_PROP(DispatcherPropertyTest, KeyedRequestsEndOnceWithinSlotLimit, ()) {
  RunSteps(placement_kind::kKeyed);
}

RC_GTEST_PROP(DispatcherPropertyTest, PooledRequestsEndOnceWithinSlotLimit,
              ()) {
  RunSteps(placement_kind::kPooled);
}

/// While two organisations have a backlog, each gets slot time in proportion to
/// its share.
RC_GTEST_PROP(DispatcherPropertyTest, BackloggedOrganisationsGetSlotsByShare,
              ()) {
  const int weight = *rc::gen::inRange(1, 9);
  dispatcher range(placement_kind::kPooled);
  const std::vector<target_config> targets(
      1, {.name = "only", .address = {}, .zone = {}});
  range.SetTargets(targets, kSlots, 50);
  const std::vector<organisation_rule> rules{
      {.share = static_cast<double>(weight), .max_queued = 2000},
      {.share = 1, .max_queued = 2000}};
  range.SetPolicy(preset_config{}, rules);
  std::vector<dispatch_decision> out;
  const time_point deadline{std::chrono::hours{1}};
  for (uint64_t id = 0; id < 2000; ++id) {
    range.Submit({.request_id = id,
                  .organisation = static_cast<int32_t>(id % 2),
                  .level = static_cast<urgency>(*rc::gen::inRange(0, 2)),
                  .deadline = deadline},
                 time_point{}, out);
  }
  time_point now;
  std::array<int, 2> starts{};
  for (size_t i = 0; i < 900 && i < out.size(); ++i) {
    const auto* start = std::get_if<start_attempt>(&out[i]);
    RC_ASSERT(start != nullptr);
    const start_attempt attempt = *start;
    starts[attempt.request_id % 2]++;
    now += duration{1000};
    range.AttemptEnded(attempt.attempt_id, attempt_outcome::kAnswered, now,
                       out);
  }
  RC_ASSERT(starts[0] + starts[1] == 900);
  const double expected = 900.0 / (weight + 1);
  RC_ASSERT(std::abs(starts[1] - expected) <=
            fair_queue::kMaxStartsAhead + kSlots);
}

}  // namespace
}  // namespace foxtailspread
