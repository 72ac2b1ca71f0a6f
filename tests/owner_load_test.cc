#include <gtest/gtest.h>

#include "support/router_world.h"

namespace foxtailspread::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kLearningTime{seconds{10}};
constexpr duration kMeasuredTime{seconds{20}};

/// 85 hosts send to targets of 4 slots that own the keys of a service.
router_world_options ManyHosts(size_t hosts = 85) {
  return {.hosts = hosts,
          .targets = 40,
          .slots_per_target = 4,
          .max_queued_per_target = 16,
          .target_speeds = {0.7, 0.7, 1.7},
          .mean_work = milliseconds{160},
          .objective = milliseconds{600},
          .caller_timeout = milliseconds{2000},
          .seed = 1,
          .hot_key_fraction = 0.2,
          .resets_when_full = true,
          .shares_view = true};
}

/// Requests per second at which the targets' other keys need half of what they
/// serve, while the hot key gets several times what its owner serves.
double RateOf(const router_world& world) { return 0.6 * world.Capacity(); }

// One key gets several times what its owner serves. Guards against an owner
// that is filled with this key's requests until it resets connections and
// answers its other keys late.
TEST(HotKeyTest, OwnersOtherKeysStayInTime) {
  router_world world(ManyHosts());
  world.Run(RateOf(world), kLearningTime);
  const caller_results results = world.Run(RateOf(world), kMeasuredTime);
  EXPECT_GE(world.hot_owners_other_keys().InTimeFraction(), 0.9);
  EXPECT_LT(static_cast<double>(world.attempts_not_run()),
            0.03 * static_cast<double>(world.attempts()));
  ASSERT_GT(results.refused, 0U);
  EXPECT_LE(results.MeanTimeToRefusal(), ManyHosts().objective / 8);
}

// Three hundred hosts see a request of the hot key less than once a second
// each. Guards against fractions that each host rounds.
TEST(HotKeyTest, ThreeHundredHostsKeepOtherKeysInTime) {
  router_world world(ManyHosts(300));
  world.Run(RateOf(world), kLearningTime);
  world.Run(RateOf(world), kMeasuredTime);
  EXPECT_GE(world.hot_owners_other_keys().InTimeFraction(), 0.9);
}

// The lease holder is lost, and a successor follows as late as it may. Guards
// against owners that stay full afterwards: until the successor knows the load,
// hosts go by their own counts.
TEST(HotKeyTest, LossOfTheHolderIsOverWithItsSuccessor) {
  router_world world(ManyHosts());
  world.Run(RateOf(world), kLearningTime);
  world.LoseIssuer(milliseconds{1400});
  world.Run(RateOf(world), seconds{10});
  EXPECT_LT(static_cast<double>(world.attempts_not_run()),
            0.03 * static_cast<double>(world.attempts()));
  world.Run(RateOf(world), seconds{10});
  EXPECT_GE(world.hot_owners_other_keys().InTimeFraction(), 0.9);
}

// No successor follows. Guards against keys that stay throttled by a fraction
// that nobody renews.
TEST(HotKeyTest, WithoutAHolderNothingIsThrottled) {
  router_world world(ManyHosts());
  world.Run(RateOf(world), kLearningTime);
  world.LoseIssuer(seconds{60});
  world.Run(RateOf(world), throttle_gate::kTtl + milliseconds{500});
  const caller_results results = world.Run(RateOf(world), seconds{3});
  EXPECT_FALSE(
      results.times_to_refusal.contains(refusal_reason::kKeyThrottled));
  EXPECT_FALSE(results.times_to_refusal.contains(refusal_reason::kOwnerBusy));
}

// A third of the hosts is cut off from the lease holder. Guards against owners
// that only the holder's part of the hosts spares.
TEST(HotKeyTest, HostsCutOffFromTheHolderDoNotStarveTheOthers) {
  router_world world(ManyHosts());
  world.Run(RateOf(world), kLearningTime);
  world.CutOff(28);
  world.Run(RateOf(world), seconds{3});
  world.Run(RateOf(world), seconds{10});
  const double others_cut_off = world.hot_owners_other_keys().InTimeFraction();
  world.Heal();
  world.Run(RateOf(world), seconds{3});
  world.Run(RateOf(world), seconds{10});
  EXPECT_GE(world.hot_owners_other_keys().InTimeFraction(), 0.9);
  EXPECT_GE(others_cut_off, 0.5);
}

// Demand that the targets can serve, without a hot key. Guards against refusals
// for the random variation of requests and of their work.
TEST(OwnerLoadTest, FewAreRefusedAtModerateLoad) {
  router_world_options options = ManyHosts();
  options.hot_key_fraction = 0.0;
  router_world world(options);
  world.Run(RateOf(world), kLearningTime);
  const caller_results results = world.Run(RateOf(world), kMeasuredTime);
  EXPECT_LT(static_cast<double>(results.refused),
            0.02 * static_cast<double>(results.requests));
  EXPECT_GE(results.InTimeFraction(), 0.93);
}

// A third more demand than the targets serve, without a hot key. Guards against
// queues in which every request is late, and against targets that are idle
// because hosts refuse too much.
TEST(OwnerLoadTest, OverloadedOwnersAnswerInTimeWhatTheyServe) {
  router_world_options options = ManyHosts();
  options.hot_key_fraction = 0.0;
  constexpr double kLoad = 1.3;
  router_world world(options);
  const double rate = kLoad * world.Capacity();
  world.Run(rate, kLearningTime);
  const caller_results results = world.Run(rate, kMeasuredTime);
  EXPECT_GE(results.InTimeFraction() * kLoad, 0.8);
  EXPECT_LT(static_cast<double>(world.attempts_not_run()),
            0.03 * static_cast<double>(world.attempts()));
  EXPECT_LE(results.MeanTimeToRefusal(), options.objective / 8);
}

// Nine hosts see enough of each owner themselves. Guards against a decision
// that changes small deployments.
TEST(HotKeyTest, FewHostsAreServedAsBefore) {
  router_world_options options = ManyHosts(9);
  options.targets = 12;
  options.slots_per_target = 6;
  options.mean_work = milliseconds{71};
  router_world world(options);
  const caller_results results = world.Run(RateOf(world), kMeasuredTime);
  EXPECT_FALSE(results.times_to_refusal.contains(refusal_reason::kOwnerBusy));
  EXPECT_FALSE(
      results.times_to_refusal.contains(refusal_reason::kKeyThrottled));
}

}  // namespace
}  // namespace foxtailspread::testing
