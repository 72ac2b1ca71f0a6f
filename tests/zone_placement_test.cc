#include "foxtailspread/load/zone_placement.h"

#include <gtest/gtest.h>

#include "support/router_world.h"

namespace foxtailspread::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kObjective{milliseconds{800}};

class ZonePlacementTest : public ::testing::Test {
 protected:
  ZonePlacementTest() {
    for (int i = 0; i < 100; ++i) {
      placement_.OnServed(kObjective, milliseconds{200});
    }
  }

  /// A choice in which most answers of the own zone's best target take
  /// `own_zone`.
  static zone_choice Choice(std::optional<duration> own_zone,
                            std::optional<duration> other_zones) {
    return {.own_zone = own_zone,
            .other_zones = other_zones,
            .own_zone_accepts = true,
            .objective = kObjective,
            .typical = milliseconds{200}};
  }

  zone_placement placement_;
};

TEST_F(ZonePlacementTest, SlowerOwnZoneWithinTheObjectiveGoesFirst) {
  EXPECT_EQ(placement_.Spill(Choice(milliseconds{500}, milliseconds{100})),
            std::nullopt);
}

TEST_F(ZonePlacementTest, OwnZoneThatMissesTheObjectiveSpills) {
  EXPECT_EQ(placement_.Spill(Choice(milliseconds{900}, milliseconds{200})),
            spill_reason::kTooSlow);
}

// Guards against bytes between zones that no caller gains from.
TEST_F(ZonePlacementTest, OtherZonesThatAreHardlyBetterGetNoRequests) {
  EXPECT_EQ(placement_.Spill(Choice(milliseconds{900}, milliseconds{800})),
            std::nullopt);
}

// Guards against answers whose work varies: half of those that take the
// objective on average miss it.
TEST_F(ZonePlacementTest, OwnZoneCloseToTheObjectiveSpillsIfLatencyVaries) {
  zone_placement varied;
  for (int i = 0; i < 200; ++i) {
    varied.OnServed(kObjective, milliseconds{i % 2 == 0 ? 50 : 350});
  }
  const zone_choice choice = Choice(milliseconds{600}, milliseconds{100});
  EXPECT_EQ(placement_.Spill(choice), std::nullopt);
  EXPECT_EQ(varied.Spill(choice), spill_reason::kTooSlow);
}

TEST_F(ZonePlacementTest, OwnZoneWithoutAFreeTargetSpillsAtOnce) {
  EXPECT_EQ(placement_.Spill(Choice(std::nullopt, milliseconds{200})),
            spill_reason::kNoSlot);
}

// Guards against requests that wait for a zone that crashed or is evacuated.
TEST_F(ZonePlacementTest, OwnZoneWithoutTargetsSpillsAtOnce) {
  zone_choice choice = Choice(std::nullopt, milliseconds{200});
  choice.own_zone_accepts = false;
  EXPECT_EQ(placement_.Spill(choice), spill_reason::kNoTarget);
}

TEST_F(ZonePlacementTest, OwnZoneKeepsItsRequestsIfOtherZonesHaveNoTarget) {
  EXPECT_EQ(placement_.Spill(Choice(seconds{3}, std::nullopt)), std::nullopt);
}

TEST_F(ZonePlacementTest, UnknownPreferenceIsAnError) {
  EXPECT_TRUE(ParseZonePreference("balanced"));
  EXPECT_TRUE(ParseZonePreference("own_zone_first"));
  EXPECT_FALSE(ParseZonePreference("own"));
}

/// Many hosts and few slots in three zones, and what callers got.
class ZoneLoadTest : public ::testing::Test {
 protected:
  static constexpr duration kLearningTime{seconds{8}};
  static constexpr duration kMeasuredTime{seconds{8}};
  /// Difference that two runs of the same rule show with other seeds.
  static constexpr double kNoise = 0.01;

  static router_world_options Options(zone_preference placement) {
    return {.hosts = 85,
            .targets = 54,
            .slots_per_target = 4,
            .max_queued_per_target = 16,
            .target_speeds = {0.7, 0.7, 1.6},
            .keyed = false,
            .mean_work = milliseconds{200},
            .objective = kObjective,
            .caller_timeout = seconds{2},
            .slowed_fraction = 0.1,
            .zones = 3,
            .zone_rates = {1.0, 1.0, 1.0},
            .placement = placement,
            .shares_view = true};
  }

  /// Runs half of the capacity, then `disturb`, then `load`, with four seeds.
  template <typename Disturbance>
  static caller_results Measure(router_world_options options, double load,
                                Disturbance disturb) {
    caller_results sum;
    for (options.seed = 1; options.seed <= 4; ++options.seed) {
      router_world world(options);
      world.Run(0.5 * world.Capacity(), kLearningTime);
      disturb(world);
      const caller_results results =
          world.Run(load * world.Capacity(), kMeasuredTime);
      sum.requests += results.requests;
      sum.answered_in_time += results.answered_in_time;
      sum.own_zone_sends += results.own_zone_sends;
      sum.other_zone_sends += results.other_zone_sends;
    }
    return sum;
  }

  template <typename Disturbance>
  static void ExpectNoFewerInTimeThanBalanced(double load,
                                              Disturbance disturb) {
    const auto own_zone_first =
        Measure(Options(zone_preference::kOwnZoneFirst), load, disturb);
    const auto balanced =
        Measure(Options(zone_preference::kBalanced), load, disturb);
    EXPECT_GE(own_zone_first.InTimeFraction(),
              balanced.InTimeFraction() - kNoise);
    EXPECT_GE(own_zone_first.OwnZoneFraction(), balanced.OwnZoneFraction());
  }
  static void Nothing(router_world& /*world*/) {}
};

TEST_F(ZoneLoadTest, AtModerateLoadRequestsStayInTheirZone) {
  const caller_results results =
      Measure(Options(zone_preference::kOwnZoneFirst), 0.6, Nothing);
  EXPECT_GE(results.OwnZoneFraction(), 0.95);
}

// Guards against own zones that are filled while others have room.
TEST_F(ZoneLoadTest, AtModerateLoadNoFewerAreInTime) {
  ExpectNoFewerInTimeThanBalanced(0.6, Nothing);
}

TEST_F(ZoneLoadTest, AtHighLoadNoFewerAreInTime) {
  ExpectNoFewerInTimeThanBalanced(0.9, Nothing);
}

// Guards against a zone whose callers wait for its own targets while its load
// is 1.4 times what they can do and the other zones have room.
TEST_F(ZoneLoadTest, InAWaveOfOneZoneNoFewerAreInTime) {
  ExpectNoFewerInTimeThanBalanced(0.8, [](router_world& world) {
    world.SetZoneRates({1.4, 0.5, 0.5});
  });
}

// Guards against hosts that keep to a zone whose targets are all gone.
TEST_F(ZoneLoadTest, ZoneThatLosesItsTargetsSpillsAtOnce) {
  ExpectNoFewerInTimeThanBalanced(
      0.5, [](router_world& world) { world.LoseZone(0); });
}

// Guards against requests that wait for targets beyond links that are cut.
TEST_F(ZoneLoadTest, ZoneThatIsCutOffServesItsCallers) {
  const auto cut_off = [](router_world& world) { world.CutOffZone(0); };
  ExpectNoFewerInTimeThanBalanced(0.6, cut_off);
  const caller_results results =
      Measure(Options(zone_preference::kOwnZoneFirst), 0.6, cut_off);
  EXPECT_GE(results.OwnZoneFraction(), 0.95);
}

// Guards against decisions by loads that are outdated: without the view the
// zones are balanced as before.
TEST_F(ZoneLoadTest, AfterTheLossOfTheViewNoFewerAreInTime) {
  const auto lose_view = [](router_world& world) {
    world.LoseView();
    world.Run(0.5 * world.Capacity(), kLearningTime);
  };
  const auto own_zone_first =
      Measure(Options(zone_preference::kOwnZoneFirst), 0.6, lose_view);
  const auto balanced =
      Measure(Options(zone_preference::kBalanced), 0.6, lose_view);
  EXPECT_GE(own_zone_first.InTimeFraction(),
            balanced.InTimeFraction() - kNoise);
}

// Guards against a change of small deployments, whose hosts share no view.
TEST_F(ZoneLoadTest, NineHostsWithoutAViewAreServedAsBefore) {
  router_world_options few_hosts = Options(zone_preference::kOwnZoneFirst);
  few_hosts.hosts = 9;
  few_hosts.shares_view = false;
  const auto own_zone_first = Measure(few_hosts, 0.9, Nothing);
  few_hosts.placement = zone_preference::kBalanced;
  const auto balanced = Measure(few_hosts, 0.9, Nothing);
  EXPECT_EQ(own_zone_first.answered_in_time, balanced.answered_in_time);
  EXPECT_EQ(own_zone_first.own_zone_sends, balanced.own_zone_sends);
  EXPECT_EQ(own_zone_first.other_zone_sends, balanced.other_zone_sends);
}

TEST_F(ZoneLoadTest, ThreeHundredHostsStayInTheirZones) {
  router_world_options many_hosts = Options(zone_preference::kOwnZoneFirst);
  many_hosts.hosts = 300;
  const caller_results results = Measure(many_hosts, 0.6, Nothing);
  EXPECT_GE(results.OwnZoneFraction(), 0.95);
  EXPECT_GE(results.InTimeFraction(), 0.9);
}

}  // namespace
}  // namespace foxtailspread::testing
