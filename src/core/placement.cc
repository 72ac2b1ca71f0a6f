#include "foxtailspread/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace foxtailspread {

namespace {

/// Balancing starts at a spread of this divided by the balance weight.
constexpr double kSpreadAtFullWeight = 0.05;
/// It goes on until the spread is this part of what it started at.
constexpr double kStopPart = 0.5;
/// Every bucket counts at least this part of the mean: those without measured
/// load are spread evenly too, as their load may come at any time.
constexpr double kLeastLoadPart = 0.01;
/// A move has to lower the peak by this part of the mean.
constexpr double kLeastGainPart = 0.0005;
/// A key with less than this part of a target's mean load is not hot.
constexpr double kColdPart = 0.005;

/// Works out one plan on a copy of the owners.
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
      if (Usable(static_cast<target_index>(i))) {
        total_weight_ += input_.targets[i].weight;
      }
    }
    if (total_weight_ <= 0) {
      return {};
    }
    CountLoads();
    Rehome();
    if (input_.allow_rebalance && input_.balance_weight > 0) {
      ReturnColdKeys();
      Balance();
    }
    return std::move(moves_);
  }

 private:
  static constexpr size_t kNoItem = std::numeric_limits<size_t>::max();
  /// A bucket or a single hot key that could go elsewhere.
  struct candidate {
    size_t index = kNoItem;
    bool single_key = false;
    double peak = std::numeric_limits<double>::max();
  };

  bool Usable(target_index target) const {
    return target != kNoTarget &&
           input_.targets[static_cast<size_t>(target)].usable;
  }
  double WeightOf(target_index target) const {
    return input_.targets[static_cast<size_t>(target)].weight;
  }
  /// The load of a target relative to its weight.
  double Level(target_index target) const {
    return target_loads_[static_cast<size_t>(target)] / WeightOf(target);
  }
  double MeanLevel() const { return total_load_ / total_weight_; }

  void CountLoads() {
    const double total = std::accumulate(loads_.begin(), loads_.end(), 0.0);
    const auto count = static_cast<double>(loads_.size());
    const double least = total > 0 ? total / count * kLeastLoadPart : 1;
    for (double& load : loads_) {
      load = std::max(load, least);
    }
    for (hot_key& key : keys_) {
      double& bucket = loads_[static_cast<size_t>(key.bucket)];
      key.load = std::min(key.load, bucket);
      if (!Usable(key.owner)) {
        key.owner = kNoTarget;
        continue;
      }
      bucket -= key.load;
      Add(key.owner, key.load);
    }
    for (size_t b = 0; b < loads_.size(); ++b) {
      if (Usable(owners_[b])) {
        Add(owners_[b], loads_[b]);
      }
    }
    total_load_ = std::accumulate(loads_.begin(), loads_.end(), 0.0);
    for (const hot_key& key : keys_) {
      total_load_ += key.owner == kNoTarget ? 0 : key.load;
    }
  }

  void Add(target_index target, double load) {
    target_loads_[static_cast<size_t>(target)] += load;
  }

  target_index LeastLoaded() const {
    target_index best = kNoTarget;
    for (size_t i = 0; i < input_.targets.size(); ++i) {
      const auto target = static_cast<target_index>(i);
      const bool better = best == kNoTarget || Level(target) < Level(best);
      if (Usable(target) && better) {
        best = target;
      }
    }
    return best;
  }

  target_index MostLoaded(const std::vector<bool>& stuck) const {
    target_index best = kNoTarget;
    for (size_t i = 0; i < input_.targets.size(); ++i) {
      const auto target = static_cast<target_index>(i);
      const bool better = best == kNoTarget || Level(target) > Level(best);
      if (Usable(target) && !stuck[i] && better) {
        best = target;
      }
    }
    return best;
  }

  /// Gives every bucket without a usable owner a new one. Keys whose own
  /// owner is lost go with their bucket.
  void Rehome() {
    std::vector<size_t> lost;
    for (size_t b = 0; b < owners_.size(); ++b) {
      if (!Usable(owners_[b])) {
        lost.push_back(b);
      }
    }
    std::sort(lost.begin(), lost.end(), [this](size_t a, size_t b) {
      return loads_[a] != loads_[b] ? loads_[a] > loads_[b] : a < b;
    });
    for (const size_t b : lost) {
      MoveBucket(b, LeastLoaded());
    }
    for (size_t k = 0; k < keys_.size(); ++k) {
      const target_index former = input_.hot_keys[k].owner;
      const target_index home = HomeOf(keys_[k]);
      if (former != kNoTarget && !Usable(former)) {
        moves_.push_back(
            {keys_[k].bucket, keys_[k].key_hash, true, former, home});
      }
    }
  }

  target_index HomeOf(const hot_key& key) const {
    return owners_[static_cast<size_t>(key.bucket)];
  }

  void ReturnColdKeys() {
    for (size_t k = 0; k < keys_.size(); ++k) {
      const hot_key& key = keys_[k];
      const bool cold = key.load < kColdPart * MeanLevel();
      if (key.owner != kNoTarget && cold && HasMovesLeft()) {
        MoveKey(k, HomeOf(key));
      }
    }
  }

  void Balance() {
    const double start = kSpreadAtFullWeight / input_.balance_weight;
    const target_index most = MostLoaded(NoneStuck());
    if (Level(most) - Level(LeastLoaded()) <= start * MeanLevel()) {
      return;
    }
    std::vector<bool> stuck = NoneStuck();
    while (HasMovesLeft()) {
      const target_index from = MostLoaded(stuck);
      const target_index to = LeastLoaded();
      const double stop = start * kStopPart * MeanLevel();
      if (from == kNoTarget || Level(from) - Level(to) <= stop) {
        return;
      }
      const candidate best = BestMove(from, to);
      if (best.index == kNoItem) {
        stuck[static_cast<size_t>(from)] = true;
        continue;
      }
      if (best.single_key) {
        MoveKey(best.index, to);
      } else {
        MoveBucket(best.index, to);
      }
    }
  }

  std::vector<bool> NoneStuck() const {
    return std::vector<bool>(input_.targets.size());
  }

  /// Chooses what to move so that the higher of the two ends up lowest: that
  /// is the largest piece that fits, and so the fewest moves.
  candidate BestMove(target_index from, target_index to) const {
    candidate best;
    // A move that leaves the receiver about as high as the giver was gains
    // nothing and would be undone by the next plan.
    best.peak = Level(from) - kLeastGainPart * MeanLevel();
    for (size_t b = 0; b < owners_.size(); ++b) {
      if (owners_[b] == from) {
        Consider({b, false, PeakAfter(from, to, loads_[b])}, best);
      }
    }
    for (size_t k = 0; k < keys_.size(); ++k) {
      const hot_key& key = keys_[k];
      const target_index owner =
          key.owner == kNoTarget ? HomeOf(key) : key.owner;
      if (owner == from && key.load >= kColdPart * MeanLevel()) {
        Consider({k, true, PeakAfter(from, to, key.load)}, best);
      }
    }
    return best;
  }

  static void Consider(const candidate& other, candidate& best) {
    if (other.peak < best.peak) {
      best = other;
    }
  }

  double PeakAfter(target_index from, target_index to, double load) const {
    return std::max(Level(from) - load / WeightOf(from),
                    Level(to) + load / WeightOf(to));
  }

  bool HasMovesLeft() const { return balance_moves_ < input_.max_moves; }

  void MoveBucket(size_t bucket, target_index to) {
    const target_index from = owners_[bucket];
    moves_.push_back({static_cast<int32_t>(bucket), 0, false, from, to});
    if (Usable(from)) {
      Add(from, -loads_[bucket]);
      balance_moves_++;
    }
    Add(to, loads_[bucket]);
    owners_[bucket] = to;
  }

  void MoveKey(size_t index, target_index to) {
    hot_key& key = keys_[index];
    const target_index home = HomeOf(key);
    const target_index from = key.owner == kNoTarget ? home : key.owner;
    double& bucket = loads_[static_cast<size_t>(key.bucket)];
    bucket += key.owner == kNoTarget ? -key.load : 0;
    bucket += to == home ? key.load : 0;
    key.owner = to == home ? kNoTarget : to;
    Add(from, -key.load);
    Add(to, key.load);
    moves_.push_back({key.bucket, key.key_hash, true, from, to});
    balance_moves_++;
  }

  const placement_input& input_;
  std::vector<target_index> owners_;
  std::vector<double> loads_;  // of buckets, without keys placed alone
  std::vector<hot_key> keys_;
  std::vector<double> target_loads_;
  std::vector<placement_move> moves_;
  double total_weight_ = 0;
  double total_load_ = 0;
  int balance_moves_ = 0;
};

/// Rendezvous score: of weighted competitors each wins in proportion.
double Score(int bucket, const zone_weight& zone) {
  const uint64_t hash = XXH3_64bits_withSeed(zone.zone.data(), zone.zone.size(),
                                             static_cast<XXH64_hash_t>(bucket));
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  const double uniform = (static_cast<double>(hash) + 0.5) / kRange;
  return -std::log(uniform) / zone.targets;
}

/// Shares out `buckets` by the largest remainders.
std::vector<int> Quotas(int buckets, std::span<const zone_weight> zones,
                        int targets) {
  std::vector<int> quotas;
  std::vector<std::pair<int64_t, size_t>> remainders;
  int given = 0;
  for (size_t z = 0; z < zones.size(); ++z) {
    const int64_t exact = int64_t{buckets} * zones[z].targets;
    quotas.push_back(static_cast<int>(exact / targets));
    remainders.emplace_back(-(exact % targets), z);
    given += quotas.back();
  }
  std::sort(remainders.begin(), remainders.end());
  for (size_t i = 0; given < buckets; ++i, ++given) {
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
    targets += zone.targets;
  }
  if (targets == 0) {
    return assigned;
  }
  struct claim {
    double score;
    int bucket;
    int zone;
  };
  std::vector<claim> claims;
  claims.reserve(static_cast<size_t>(buckets) * zones.size());
  for (int b = 0; b < buckets; ++b) {
    for (size_t z = 0; z < zones.size(); ++z) {
      if (zones[z].targets > 0) {
        claims.push_back({Score(b, zones[z]), b, static_cast<int>(z)});
      }
    }
  }
  // Pure rendezvous leaves some zones a tenth above their part. With quotas
  // the strongest claims still decide, so that a change moves few others.
  std::sort(claims.begin(), claims.end(), [](const claim& a, const claim& b) {
    return a.score != b.score ? a.score < b.score : a.bucket < b.bucket;
  });
  std::vector<int> quotas = Quotas(buckets, zones, targets);
  for (const claim& c : claims) {
    int& zone = assigned[static_cast<size_t>(c.bucket)];
    int& left = quotas[static_cast<size_t>(c.zone)];
    if (zone < 0 && left > 0) {
      zone = c.zone;
      left--;
    }
  }
  return assigned;
}

}  // namespace foxtailspread
