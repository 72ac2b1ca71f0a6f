#include "foxtailspread/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>

#include "fixed_seed.h"
#include "foxtailspread/hot_keys.h"

namespace foxtailspread {
namespace {

/// A range to which placement plans can be applied.
struct placed_range {
  std::vector<double> loads;
  std::vector<target_index> owners;
  std::vector<placement_target> targets;
  std::vector<hot_key> keys;

  std::vector<placement_move> Plan(int max_moves = 16) const {
    return PlanPlacement({.bucket_load = loads,
                          .owners = owners,
                          .targets = targets,
                          .hot_keys = keys,
                          .balance_weight = 0.5,
                          .max_moves = max_moves,
                          .allow_rebalance = true});
  }

  void Apply(const std::vector<placement_move>& moves) {
    for (const placement_move& move : moves) {
      if (!move.single_key) {
        owners[static_cast<size_t>(move.bucket)] = move.to;
        continue;
      }
      for (hot_key& key : keys) {
        if (key.key_hash == move.key_hash) {
          const target_index bucket_owner =
              owners[static_cast<size_t>(key.bucket)];
          key.owner = move.to == bucket_owner ? kNoTarget : move.to;
        }
      }
    }
  }

  /// Applies plans until one is empty. Returns the number of moves, or -1 if
  /// the plans don't converge within `max_rounds`.
  int ApplyPlansUntilStable(int max_rounds) {
    int moves = 0;
    for (int round = 0; round < max_rounds; ++round) {
      const std::vector<placement_move> plan = Plan();
      if (plan.empty()) {
        return moves;
      }
      moves += static_cast<int>(plan.size());
      Apply(plan);
    }
    return -1;
  }

  /// Returns the highest target load divided by the mean.
  double Imbalance() const {
    std::vector<double> by_target(targets.size());
    for (size_t b = 0; b < owners.size(); ++b) {
      by_target[static_cast<size_t>(owners[b])] += loads[b];
    }
    for (const hot_key& key : keys) {
      if (key.owner != kNoTarget) {
        const auto bucket_owner = owners[static_cast<size_t>(key.bucket)];
        by_target[static_cast<size_t>(bucket_owner)] -= key.load;
        by_target[static_cast<size_t>(key.owner)] += key.load;
      }
    }
    const double total =
        std::accumulate(by_target.begin(), by_target.end(), 0.0);
    const auto count = static_cast<double>(targets.size());
    return *std::max_element(by_target.begin(), by_target.end()) * count /
           total;
  }
};

placed_range BalancedRange(size_t buckets, size_t targets) {
  placed_range range;
  range.loads.assign(buckets, 10);
  range.owners.assign(buckets, kNoTarget);
  range.targets.assign(targets, {.usable = true, .weight = 1});
  range.ApplyPlansUntilStable(10);
  return range;
}

RC_GTEST_PROP(PlacementPropertyTest,
              PlansAssignAllBucketsWithinMoveLimitAndConverge, ()) {
  const auto buckets = *rc::gen::inRange<size_t>(1, 80);
  const auto count = *rc::gen::inRange<size_t>(1, 8);
  placed_range range;
  range.loads = *rc::gen::container<std::vector<double>>(
      buckets, rc::gen::map(rc::gen::inRange(0, 1000), [](int load) {
        return static_cast<double>(load);
      }));
  for (size_t b = 0; b < buckets; ++b) {
    range.owners.push_back(*rc::gen::inRange(-1, static_cast<int>(count)));
  }
  bool any_usable = false;
  for (size_t t = 0; t < count; ++t) {
    range.targets.push_back({.usable = *rc::gen::inRange(0, 4) != 0,
                             .weight = 1.0 * *rc::gen::inRange(1, 4)});
    any_usable = any_usable || range.targets.back().usable;
  }
  const auto hot = *rc::gen::inRange<uint64_t>(0, 4);
  for (uint64_t k = 0; k < hot; ++k) {
    const auto bucket = *rc::gen::inRange<size_t>(0, buckets);
    range.keys.push_back({k, static_cast<int32_t>(bucket),
                          range.loads[bucket] / 4,
                          *rc::gen::inRange(-1, static_cast<int>(count))});
  }
  const auto before = range.owners;
  const auto plan = range.Plan(5);
  int balance_moves = 0;
  for (const placement_move& move : plan) {
    RC_ASSERT(range.targets[static_cast<size_t>(move.to)].usable);
    const bool lost = move.from == kNoTarget ||
                      !range.targets[static_cast<size_t>(move.from)].usable;
    balance_moves += lost ? 0 : 1;
  }
  RC_ASSERT(balance_moves <= 5);
  range.Apply(plan);
  if (!any_usable) {
    RC_ASSERT(plan.empty());
    return;
  }
  for (const target_index owner : range.owners) {
    RC_ASSERT(owner != kNoTarget);
    RC_ASSERT(range.targets[static_cast<size_t>(owner)].usable);
  }
  // With unchanged loads the plans must converge, not oscillate.
  RC_ASSERT(range.ApplyPlansUntilStable(200) >= 0);
}

// Guards against unnecessary moves when one of five targets is lost: the keys
// of a bucket are unavailable while it moves.
TEST(PlacementTest, TargetLossMovesOnlyBucketsOfThatTarget) {
  placed_range range = BalancedRange(250, 5);
  range.targets[2].usable = false;
  const auto plan = range.Plan();
  EXPECT_EQ(plan.size(), 50U);
  for (const placement_move& move : plan) {
    EXPECT_EQ(move.from, 2);
  }
  range.Apply(plan);
  range.targets.erase(range.targets.begin() + 2);
  for (target_index& owner : range.owners) {
    owner -= owner > 2 ? 1 : 0;
  }
  EXPECT_LT(range.Imbalance(), 1.1);
}

TEST(PlacementTest, TargetJoinMovesAtMostTenPercentAboveMinimum) {
  placed_range range = BalancedRange(240, 5);
  range.targets.push_back({.usable = true, .weight = 1});
  const int moves = range.ApplyPlansUntilStable(50);
  EXPECT_GT(moves, 0);
  EXPECT_LE(moves, 44);  // the minimum is 240 / 6 = 40
  EXPECT_LT(range.Imbalance(), 1.1);
}

// The load is measured every second with some error. The buckets of a target
// near the threshold must not move back and forth because of it.
TEST(PlacementTest, MeasurementNoiseCausesNoMoves) {
  placed_range range = BalancedRange(256, 4);
  std::mt19937 random(7);
  std::uniform_real_distribution<double> noisy_load(8, 12);
  for (int round = 0; round < 50; ++round) {
    for (double& load : range.loads) {
      load = noisy_load(random);
    }
    EXPECT_TRUE(range.Plan().empty());
  }
}

// Two keys of one bucket become hot. Moving the whole bucket only moves the
// overload to another target; one of the keys must move alone.
TEST(PlacementTest, HotKeysOfOneBucketAreSeparated) {
  placed_range range = BalancedRange(64, 4);
  range.loads[7] = 10 + 300;
  range.keys = {{1, 7, 150, kNoTarget}, {2, 7, 150, kNoTarget}};
  EXPECT_GT(range.Imbalance(), 1.5);
  EXPECT_GE(range.ApplyPlansUntilStable(50), 1);
  EXPECT_LT(range.Imbalance(), 1.1);
}

TEST(PlacementTest, CooledKeyReturnsToItsBucket) {
  placed_range range = BalancedRange(64, 4);
  const target_index bucket_owner = range.owners[7];
  range.keys = {{1, 7, 0.1, (bucket_owner + 1) % 4}};
  EXPECT_EQ(range.ApplyPlansUntilStable(5), 1);
  EXPECT_EQ(range.keys[0].owner, kNoTarget);
}

TEST(PlacementTest, ZonesGetBucketsInProportionToTargets) {
  const std::vector<zone_weight> zones{
      {"dubrava", 3}, {"trnje", 3}, {"sesvete", 2}, {"novi-zagreb", 4}};
  const std::vector<int> assigned = AssignZones(768, zones);
  for (size_t z = 0; z < zones.size(); ++z) {
    EXPECT_EQ(std::count(assigned.begin(), assigned.end(), z),
              64 * zones[z].target_count);
  }
}

TEST(PlacementTest, ZoneGrowthMovesFewBuckets) {
  std::vector<zone_weight> zones{
      {"dubrava", 3}, {"trnje", 3}, {"sesvete", 3}, {"novi-zagreb", 3}};
  const std::vector<int> before = AssignZones(1024, zones);
  zones[1].target_count = 4;
  const std::vector<int> after = AssignZones(1024, zones);
  int moved = 0;
  for (size_t b = 0; b < before.size(); ++b) {
    moved += before[b] != after[b] ? 1 : 0;
  }
  const int min_moved = 1024 * 4 / 13 - 1024 / 4;
  EXPECT_LE(moved, min_moved * 1.5);
}

// A key that was hot earlier has the larger count. It must not hide the key
// that is hot now.
TEST(HotKeySketchTest, NewHotKeyOvertakesDecayedKey) {
  hot_key_sketch sketch(16);
  for (int i = 0; i < 5000; ++i) {
    sketch.Record(1, 1);
  }
  for (int period = 0; period < 10; ++period) {
    sketch.Decay(0.5);
    for (uint64_t i = 0; i < 100; ++i) {
      sketch.Record(2, 2);
      sketch.Record(1000 + i, 3);
    }
  }
  const auto top = sketch.Top(1);
  ASSERT_EQ(top.size(), 1U);
  EXPECT_EQ(top[0].key_hash, 2U);
  EXPECT_EQ(top[0].bucket, 2);
}

RC_GTEST_PROP(HotKeySketchPropertyTest, FrequentKeyIsAlwaysInTheSketch, ()) {
  constexpr size_t kCounters = 8;
  hot_key_sketch sketch(kCounters);
  const auto keys = *rc::gen::container<std::vector<uint64_t>>(
      rc::gen::inRange<uint64_t>(0, 30));
  std::vector<size_t> counts(30);
  for (const uint64_t key : keys) {
    sketch.Record(key, 0);
    counts[key]++;
  }
  const auto top = sketch.Top(kCounters);
  for (uint64_t key = 0; key < counts.size(); ++key) {
    const auto found = std::find_if(
        top.begin(), top.end(),
        [key](const frequent_key& f) { return f.key_hash == key; });
    RC_ASSERT(counts[key] * kCounters <= keys.size() || found != top.end());
    if (found != top.end()) {
      const auto count = static_cast<double>(counts[key]);
      RC_ASSERT(found->count >= count);
      RC_ASSERT(found->count - found->error <= count);
    }
  }
}

}  // namespace
}  // namespace foxtailspread
