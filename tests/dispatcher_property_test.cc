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

/// Drives a dispatcher with random events and checks each decision against
/// what a caller and a target see.
class checked_run {
 public:
  explicit checked_run(placement_kind placement) : range_(placement, kBuckets) {
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
        Authority();
        break;
      default:
        Traffic();
    }
    Check();
  }

  /// Ends whatever runs and lets the time go on until nothing is live.
  void Drain() {
    range_.Resume();
    for (int i = 0; i < 4000 && (!running_.empty() || range_.Live() > 0); ++i) {
      out_.clear();
      if (!running_.empty()) {
        EndOne(attempt_end::kAnswered);
      } else {
        now_ += duration{10'000};
        range_.Tick(now_, out_);
      }
      Check();
    }
    RC_ASSERT(live_.empty());
    RC_ASSERT(range_.Live() == 0);
    RC_ASSERT(range_.Waiting() == 0);
  }

 private:
  struct seen {
    bool repeatable = false;
    bool may_have_run = false;
  };
  struct started {
    uint64_t request_id;
    target_index target;
  };

  void Traffic() {
    if (*rc::gen::arbitrary<bool>()) {
      Submit();
    } else if (*rc::gen::inRange(0, 3) == 0) {
      EndOne(static_cast<attempt_end>(*rc::gen::inRange(1, 6)));
    } else {
      EndOne(attempt_end::kAnswered);
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

  void Authority() {
    if (*rc::gen::arbitrary<bool>()) {
      range_.Suspend(now_, out_);
    } else {
      range_.Resume();
    }
  }

  void EndOne(attempt_end end) {
    if (running_.empty()) {
      return;
    }
    auto chosen = running_.begin();
    std::advance(chosen, *rc::gen::inRange<size_t>(0, running_.size()));
    if (cancelled_.count(chosen->first) != 0 && end != attempt_end::kAnswered) {
      end = attempt_end::kCancelled;
    }
    const auto [attempt_id, attempt] = *chosen;
    running_.erase(chosen);
    const bool started = end == attempt_end::kBroken ||
                         end == attempt_end::kTimedOut ||
                         end == attempt_end::kCancelled;
    const auto request = live_.find(attempt.request_id);
    if (started && request != live_.end()) {
      request->second.may_have_run = true;
    }
    const auto answered = range_.AttemptEnded(attempt_id, end, now_, out_);
    if (answered) {
      RC_ASSERT(*answered == attempt.request_id);
      RC_ASSERT(live_.erase(*answered) == 1U);
    }
  }

  void Check() {
    for (const dispatch_decision& decision : out_) {
      std::visit([this](const auto& d) { On(d); }, decision);
    }
    std::map<target_index, int> used;
    for (const auto& [id, attempt] : running_) {
      RC_ASSERT(++used[attempt.target] <= kSlots);
    }
  }

  void On(const start_attempt& start) {
    const auto request = live_.find(start.request_id);
    RC_ASSERT(request != live_.end());
    // At most once: never begun again after an end that leaves it open.
    RC_ASSERT(request->second.repeatable || !request->second.may_have_run);
    RC_ASSERT(start.deadline > now_);
    RC_ASSERT(
        running_
            .emplace(start.attempt_id, started{start.request_id, start.target})
            .second);
  }
  void On(const cancel_attempt& cancel) {
    const auto attempt = running_.find(cancel.attempt_id);
    RC_ASSERT(attempt != running_.end());
    RC_ASSERT(cancelled_.insert(cancel.attempt_id).second);
    const auto request = live_.find(attempt->second.request_id);
    RC_ASSERT(request != live_.end());
    request->second.may_have_run = true;
  }
  void On(const finish_request& finish) {
    const auto request = live_.find(finish.request_id);
    RC_ASSERT(request != live_.end());
    const bool unknown = finish.outcome == dispatch_outcome::kUnknown;
    RC_ASSERT(unknown == request->second.may_have_run);
    live_.erase(request);
  }
  void On(const target_suspected& suspected) {
    RC_ASSERT(suspected.target >= 0);
    RC_ASSERT(suspected.target < kTargets);
  }

  dispatcher range_;
  time_point now_{std::chrono::seconds{1}};
  std::vector<dispatch_decision> out_;
  uint64_t next_id_ = 0;
  std::map<uint64_t, seen> live_;
  std::map<uint64_t, started> running_;
  std::set<uint64_t> cancelled_;
};

void RunSteps(placement_kind placement) {
  checked_run run(placement);
  const int steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < steps; ++i) {
    run.Step();
  }
  run.Drain();
}

RC_GTEST_PROP(DispatcherPropertyTest, KeyedRequestsEndOnceWithinTheSlots, ()) {
  RunSteps(placement_kind::kKeyed);
}

RC_GTEST_PROP(DispatcherPropertyTest, PooledRequestsEndOnceWithinTheSlots, ()) {
  RunSteps(placement_kind::kPooled);
}

/// Two organisations keep a backlog; each gets slot time by its share.
RC_GTEST_PROP(DispatcherPropertyTest, BackloggedOrganisationsShareByWeight,
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
    const start_attempt ended = *start;
    starts[ended.request_id % 2]++;
    now += duration{1000};
    range.AttemptEnded(ended.attempt_id, attempt_end::kAnswered, now, out);
  }
  RC_ASSERT(starts[0] + starts[1] == 900);
  const double expected = 900.0 / (weight + 1);
  RC_ASSERT(std::abs(starts[1] - expected) <= fair_queue::kMostAhead + kSlots);
}

}  // namespace
}  // namespace foxtailspread
