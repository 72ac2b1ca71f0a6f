#include "foxtailspread/range_balance.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace foxtailspread {
namespace {

constexpr size_t kSketchCounters = 256;
constexpr int kMaxMoves = 8;

double DecayFactor() {
  const auto period = static_cast<double>(range_balance::kPlanPeriod.count());
  const auto half_life = static_cast<double>(range_balance::kHalfLife.count());
  return std::exp2(-period / half_life);
}

}  // namespace

range_balance::range_balance(int buckets)
    : bucket_load_(buckets, 0.0), hot_keys_(kSketchCounters) {}

void range_balance::Record(int bucket, uint64_t key_hash) {
  bucket_load_[bucket] += 1;
  hot_keys_.Record(key_hash, bucket);
}

bool range_balance::DecayIfDue(time_point now) {
  if (now < next_plan_at_) {
    return false;
  }
  next_plan_at_ = now + kPlanPeriod;
  const double decay_factor = DecayFactor();
  for (double& load : bucket_load_) {
    load *= decay_factor;
  }
  hot_keys_.Decay(decay_factor);
  return true;
}

std::vector<placement_move> range_balance::Plan(
    const balance_state& state) const {
  std::vector<double> loads;
  std::unordered_map<int, int> positions;
  loads.reserve(state.buckets.size());
  for (const int bucket : state.buckets) {
    positions[bucket] = static_cast<int>(loads.size());
    loads.push_back(bucket_load_[bucket]);
  }
  std::vector<hot_key> keys;
  const auto add_key = [&](uint64_t key_hash, int bucket, double load,
                           target_index owner) {
    const auto bucket_position = positions.find(bucket);
    const bool already_added = std::any_of(
        keys.begin(), keys.end(),
        [&](const hot_key& key) { return key.key_hash == key_hash; });
    if (bucket_position != positions.end() && !already_added) {
      keys.push_back(hot_key{key_hash, bucket_position->second, load, owner});
    }
  };
  const std::vector<frequent_key> top_keys = hot_keys_.Top(kMaxSeparateKeys);
  for (const placed_key& placed : state.keys) {
    const auto measured = std::find_if(top_keys.begin(), top_keys.end(),
                                       [&](const frequent_key& key) {
                                         return key.key_hash == placed.key_hash;
                                       });
    const double load =
        measured == top_keys.end() ? 0 : measured->count - measured->error;
    add_key(placed.key_hash, placed.bucket, load, placed.owner);
  }
  for (const frequent_key& key : top_keys) {
    if (keys.size() < kMaxSeparateKeys) {
      add_key(key.key_hash, key.bucket, key.count - key.error, kNoTarget);
    }
  }
  placement_input input;
  input.bucket_load = loads;
  input.owners = state.owners;
  input.targets = state.targets;
  input.hot_keys = keys;
  input.balance_weight = state.balance_weight;
  input.max_moves = kMaxMoves;
  input.allow_rebalance = state.allow_rebalance;
  std::vector<placement_move> moves = PlanPlacement(input);
  for (placement_move& move : moves) {
    move.bucket = state.buckets[move.bucket];
  }
  return moves;
}

}  // namespace foxtailspread
