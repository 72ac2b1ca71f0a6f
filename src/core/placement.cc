#include "foxtailspread/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace foxtailspread {

namespace {

/// Balancing begins when the load difference between the most and the least
/// loaded target exceeds this ratio of the mean load, divided by the balance
/// weight.
constexpr double kStartSpreadRatioAtFullWeight = 0.05;
/// Balancing ends at this ratio of the difference at which it begins.
constexpr double kStopSpreadRatio = 0.5;
/// Every bucket counts as at least this ratio of the mean bucket load, so that
/// buckets without measured load, which may get load at any time, are spread
/// evenly too.
constexpr double kMinBucketLoadRatio = 0.01;
/// A move must lower the peak load by at least this ratio of the mean.
constexpr double kMinPeakReductionRatio = 0.0005;
/// A key with less than this ratio of the mean target load is not hot.
constexpr double kColdKeyLoadRatio = 0.005;

/// Computes one plan on its own copies of the owners and loads.
class planner {
 public:
  explicit planner(const placement_input& input)
      : input_(input),
        owners_(input.owners.begin(), input.owners.end()),
        loads_(input.bucket_load.begin(), input.bucket_load.end()),
        keys_(input.hot_keys.begin(), input.hot_keys.end()),
        target_loads_(input.targets.size()) {}

  std::vector<placement_move> Plan() {
    for (size_t i = 0; i < input_.targets.size(); ++i) {
      if (IsUsable(static_cast<target_index>(i))) {
        total_weight_ += input_.targets[i].weight;
      }
    }
    if (total_weight_ <= 0) {
      return {};
    }
    ComputeLoads();
    ReassignOrphanedBuckets();
    if (input_.allow_rebalance && input_.balance_weight > 0) {
      ReturnColdKeys();
      Balance();
    }
    return std::move(moves_);
  }

 private:
  static constexpr size_t kNoItem = std::numeric_limits<size_t>::max();
  /// A bucket or a single hot key that could be moved.
  struct candidate {
    size_t index = kNoItem;
    bool single_key = false;
    double peak = std::numeric_limits<double>::max();
  };

  bool IsUsable(target_index target) const {
    return target != kNoTarget &&
           input_.targets[static_cast<size_t>(target)].usable;
  }
  double WeightOf(target_index target) const {
    return input_.targets[static_cast<size_t>(target)].weight;
  }
  /// The load of a target relative to its weight.
  double RelativeLoad(target_index target) const {
    return target_loads_[static_cast<size_t>(target)] / WeightOf(target);
  }
  double MeanRelativeLoad() const { return total_load_ / total_weight_; }

  void ComputeLoads() {
    const double total = std::accumulate(loads_.begin(), loads_.end(), 0.0);
    const auto count = static_cast<double>(loads_.size());
    const double min_load = total > 0 ? total / count * kMinBucketLoadRatio : 1;
    for (double& load : loads_) {
      load = std::max(load, min_load);
    }
    for (hot_key& key : keys_) {
      double& bucket = loads_[static_cast<size_t>(key.bucket)];
      key.load = std::min(key.load, bucket);
      if (!IsUsable(key.owner)) {
        key.owner = kNoTarget;
        continue;
      }
      bucket -= key.load;
      AddLoad(key.owner, key.load);
    }
    for (size_t b = 0; b < loads_.size(); ++b) {
      if (IsUsable(owners_[b])) {
        AddLoad(owners_[b], loads_[b]);
      }
    }
    total_load_ = std::accumulate(loads_.begin(), loads_.end(), 0.0);
    for (const hot_key& key : keys_) {
      total_load_ += key.owner == kNoTarget ? 0 : key.load;
    }
  }

  void AddLoad(target_index target, double load) {
    target_loads_[static_cast<size_t>(target)] += load;
  }

  target_index LeastLoaded() const {
    target_index best = kNoTarget;
    for (size_t i = 0; i < input_.targets.size(); ++i) {
      const auto target = static_cast<target_index>(i);
      const bool better =
          best == kNoTarget || RelativeLoad(target) < RelativeLoad(best);
      if (IsUsable(target) && better) {
        best = target;
      }
    }
    return best;
  }

  target_index MostLoaded(const std::vector<bool>& exhausted) const {
    target_index best = kNoTarget;
    for (size_t i = 0; i < input_.targets.size(); ++i) {
      const auto target = static_cast<target_index>(i);
      const bool better =
          best == kNoTarget || RelativeLoad(target) > RelativeLoad(best);
      if (IsUsable(target) && !exhausted[i] && better) {
        best = target;
      }
    }
    return best;
  }

  /// Assigns a new owner to every bucket without a usable one. Hot keys whose
  /// own owner is not usable return to the owner of their bucket.
  void ReassignOrphanedBuckets() {
    std::vector<size_t> orphaned;
    for (size_t b = 0; b < owners_.size(); ++b) {
      if (!IsUsable(owners_[b])) {
        orphaned.push_back(b);
      }
    }
    std::sort(orphaned.begin(), orphaned.end(), [this](size_t a, size_t b) {
      return loads_[a] != loads_[b] ? loads_[a] > loads_[b] : a < b;
    });
    for (const size_t b : orphaned) {
      MoveBucket(b, LeastLoaded());
    }
    for (size_t k = 0; k < keys_.size(); ++k) {
      const target_index previous_owner = input_.hot_keys[k].owner;
      const target_index bucket_owner = BucketOwner(keys_[k]);
      if (previous_owner != kNoTarget && !IsUsable(previous_owner)) {
        moves_.push_back({keys_[k].bucket, keys_[k].key_hash, true,
                          previous_owner, bucket_owner});
      }
    }
  }

  target_index BucketOwner(const hot_key& key) const {
    return owners_[static_cast<size_t>(key.bucket)];
  }

  void ReturnColdKeys() {
    for (size_t k = 0; k < keys_.size(); ++k) {
      const hot_key& key = keys_[k];
      const bool cold = key.load < kColdKeyLoadRatio * MeanRelativeLoad();
      if (key.owner != kNoTarget && cold && HasMovesLeft()) {
        MoveKey(k, BucketOwner(key));
      }
    }
  }

  void Balance() {
    const double start_spread =
        kStartSpreadRatioAtFullWeight / input_.balance_weight;
    const target_index most_loaded = MostLoaded(NoneExhausted());
    if (RelativeLoad(most_loaded) - RelativeLoad(LeastLoaded()) <=
        start_spread * MeanRelativeLoad()) {
      return;
    }
    std::vector<bool> exhausted = NoneExhausted();
    while (HasMovesLeft()) {
      const target_index from = MostLoaded(exhausted);
      const target_index to = LeastLoaded();
      const double stop_spread =
          start_spread * kStopSpreadRatio * MeanRelativeLoad();
      if (from == kNoTarget ||
          RelativeLoad(from) - RelativeLoad(to) <= stop_spread) {
        return;
      }
      const candidate best = BestMove(from, to);
      if (best.index == kNoItem) {
        exhausted[static_cast<size_t>(from)] = true;
        continue;
      }
      if (best.single_key) {
        MoveKey(best.index, to);
      } else {
        MoveBucket(best.index, to);
      }
    }
  }

  std::vector<bool> NoneExhausted() const {
    return std::vector<bool>(input_.targets.size());
  }

  /// Chooses the move that minimises the higher load of the two targets. That
  /// is the largest item that fits, and so takes the fewest moves.
  candidate BestMove(target_index from, target_index to) const {
    candidate best;
    // A move that leaves `to` about as loaded as `from` was gains nothing, and
    // the next plan would undo it.
    best.peak =
        RelativeLoad(from) - kMinPeakReductionRatio * MeanRelativeLoad();
    for (size_t b = 0; b < owners_.size(); ++b) {
      if (owners_[b] == from) {
        KeepLowerPeak({b, false, PeakAfter(from, to, loads_[b])}, best);
      }
    }
    for (size_t k = 0; k < keys_.size(); ++k) {
      const hot_key& key = keys_[k];
      const target_index owner =
          key.owner == kNoTarget ? BucketOwner(key) : key.owner;
      if (owner == from && key.load >= kColdKeyLoadRatio * MeanRelativeLoad()) {
        KeepLowerPeak({k, true, PeakAfter(from, to, key.load)}, best);
      }
    }
    return best;
  }

  static void KeepLowerPeak(const candidate& other, candidate& best) {
    if (other.peak < best.peak) {
      best = other;
    }
  }

  double PeakAfter(target_index from, target_index to, double load) const {
    return std::max(RelativeLoad(from) - load / WeightOf(from),
                    RelativeLoad(to) + load / WeightOf(to));
  }

  bool HasMovesLeft() const { return balance_moves_ < input_.max_moves; }

  void MoveBucket(size_t bucket, target_index to) {
    const target_index from = owners_[bucket];
    moves_.push_back({static_cast<int32_t>(bucket), 0, false, from, to});
    if (IsUsable(from)) {
      AddLoad(from, -loads_[bucket]);
      balance_moves_++;
    }
    AddLoad(to, loads_[bucket]);
    owners_[bucket] = to;
  }

  void MoveKey(size_t index, target_index to) {
    hot_key& key = keys_[index];
    const target_index bucket_owner = BucketOwner(key);
    const target_index from = key.owner == kNoTarget ? bucket_owner : key.owner;
    double& bucket = loads_[static_cast<size_t>(key.bucket)];
    bucket += key.owner == kNoTarget ? -key.load : 0;
    bucket += to == bucket_owner ? key.load : 0;
    key.owner = to == bucket_owner ? kNoTarget : to;
    AddLoad(from, -key.load);
    AddLoad(to, key.load);
    moves_.push_back({key.bucket, key.key_hash, true, from, to});
    balance_moves_++;
  }

  const placement_input& input_;
  std::vector<target_index> owners_;
  std::vector<double> loads_;  // per bucket, without separately placed hot keys
  std::vector<hot_key> keys_;
  std::vector<double> target_loads_;
  std::vector<placement_move> moves_;
  double total_weight_ = 0;
  double total_load_ = 0;
  int balance_moves_ = 0;
};

/// Weighted rendezvous hashing: the zone with the lowest score gets the bucket,
/// so that each zone gets buckets in proportion to its weight.
double Score(int bucket, const zone_weight& zone) {
  const uint64_t hash = XXH3_64bits_withSeed(zone.zone.data(), zone.zone.size(),
                                             static_cast<XXH64_hash_t>(bucket));
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  const double uniform = (static_cast<double>(hash) + 0.5) / kHashRange;
  return -std::log(uniform) / zone.target_count;
}

/// Divides `buckets` among the zones by the largest remainder method.
std::vector<int> Quotas(int buckets, std::span<const zone_weight> zones,
                        int targets) {
  std::vector<int> quotas;
  std::vector<std::pair<int64_t, size_t>> remainders;
  int assigned = 0;
  for (size_t z = 0; z < zones.size(); ++z) {
    const int64_t exact = int64_t{buckets} * zones[z].target_count;
    quotas.push_back(static_cast<int>(exact / targets));
    remainders.emplace_back(-(exact % targets), z);
    assigned += quotas.back();
  }
  std::sort(remainders.begin(), remainders.end());
  for (size_t i = 0; assigned < buckets; ++i, ++assigned) {
    quotas[remainders[i].second]++;
  }
  return quotas;
}

}  // namespace

uint64_t KeyHash(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

std::vector<placement_move> PlanPlacement(const placement_input& input) {
  return planner(input).Plan();
}

std::vector<int> AssignZones(int buckets, std::span<const zone_weight> zones) {
  std::vector<int> assigned(static_cast<size_t>(buckets), -1);
  int targets = 0;
  for (const zone_weight& zone : zones) {
    targets += zone.target_count;
  }
  if (targets == 0) {
    return assigned;
  }
  struct scored_assignment {
    double score;
    int bucket;
    int zone;
  };
  std::vector<scored_assignment> scored_assignments;
  scored_assignments.reserve(static_cast<size_t>(buckets) * zones.size());
  for (int b = 0; b < buckets; ++b) {
    for (size_t z = 0; z < zones.size(); ++z) {
      if (zones[z].target_count > 0) {
        scored_assignments.push_back(
            {Score(b, zones[z]), b, static_cast<int>(z)});
      }
    }
  }
  // Rendezvous hashing alone gives some zones a tenth more than their share.
  // With quotas the best scores still decide, so a change of the zones moves
  // few other buckets.
  std::sort(scored_assignments.begin(), scored_assignments.end(),
            [](const scored_assignment& a, const scored_assignment& b) {
              return a.score != b.score ? a.score < b.score
                                        : a.bucket < b.bucket;
            });
  std::vector<int> quotas = Quotas(buckets, zones, targets);
  for (const scored_assignment& c : scored_assignments) {
    int& zone = assigned[static_cast<size_t>(c.bucket)];
    int& remaining = quotas[static_cast<size_t>(c.zone)];
    if (zone < 0 && remaining > 0) {
      zone = c.zone;
      remaining--;
    }
  }
  return assigned;
}

}  // namespace foxtailspread
