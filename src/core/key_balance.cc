#include "foxtailspread/key_balance.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace foxtailspread {
namespace {

/// Load added for the mere ownership of keys, so that keys are distributed
/// evenly while there are no requests: the whole key space together counts as
/// this many requests per second and target.
constexpr double kBaseLoadPerTarget = 1.0;

/// Least fair share of a target, in requests per second.
constexpr double kMinFairLoad = 0.1;

/// Smallest load that one move gives to an underloaded target, such as one
/// without keys, as a fraction of its fair share.
constexpr double kMinUnderloadedMoveFraction = 0.05;

/// Differences in load of up to this many standard deviations are treated as
/// random variation.
constexpr double kNoiseDeviations = 3.0;

/// Prefix sums of the load: returns the load of any range of keys in constant
/// time.
class load_prefix_sums {
 public:
  load_prefix_sums(key_loads loads, size_t target_count)
      : sums_(kKeyCount + 1, 0.0) {
    const double base = kBaseLoadPerTarget * static_cast<double>(target_count) /
                        static_cast<double>(kKeyCount);
    for (size_t key = 0; key < kKeyCount; ++key) {
      sums_[key + 1] = sums_[key] + base + (loads.empty() ? 0.0 : loads[key]);
    }
  }

  double Sum(key_point first, key_point last) const {
    return sums_[size_t{last} + 1] - sums_[first];
  }

 private:
  std::vector<double> sums_;  ///< Per key: the load of all lower keys.
};

/// A range of the map while moves are planned.
struct planned_range {
  key_point first = 0;
  key_point last = 0;
  bool granted = false;
  size_t current_owner = 0;  ///< Index among the targets, or kNoTarget.
  size_t planned_owner = 0;  ///< The same, after the planned moves.
};

constexpr size_t kNoTarget = std::numeric_limits<size_t>::max();

struct target_state {
  double load = 0.0;
  double fair_load = 0.0;
  bool cannot_give = false;  ///< No move can reduce its load further.

  double LoadRatio() const { return fair_load > 0.0 ? load / fair_load : 0.0; }
};

/// Returns by how much a measured load may randomly differ from the true one.
double NoiseMargin(double load, const balance_limits& limits) {
  // An exponential average has the variance of a count over twice its time
  // constant.
  const double seconds =
      2.0 * std::chrono::duration<double>(limits.load_time_constant).count();
  return seconds > 0.0 ? kNoiseDeviations * std::sqrt(load / seconds) : 0.0;
}

/// Keys at one end of a planned range, or all of it.
struct range_part {
  size_t range_index = 0;  ///< Among the planned ranges.
  key_point first = 0;
  key_point last = 0;
  double load = 0.0;
};

/// Divides `total` among the targets in proportion to their capacity, none of
/// them above its maximum load as long as others can take the rest.
std::vector<double> FairLoads(double total,
                              std::span<const balance_target> targets) {
  std::vector<double> loads(targets.size(), 0.0);
  std::vector<bool> is_full(targets.size(), false);
  for (bool found_full = true; found_full;) {
    double rest = total;
    double capacity = 0.0;
    for (size_t i = 0; i < targets.size(); ++i) {
      rest -= is_full[i] ? loads[i] : 0.0;
      capacity += is_full[i] ? 0.0 : targets[i].capacity;
    }
    found_full = false;
    for (size_t i = 0; i < targets.size(); ++i) {
      if (is_full[i]) {
        continue;
      }
      loads[i] = rest * targets[i].capacity / capacity;
      if (targets[i].max_load && loads[i] > *targets[i].max_load) {
        loads[i] = std::max(*targets[i].max_load, kMinFairLoad);
        is_full[i] = true;
        found_full = true;
      }
    }
  }
  return loads;
}

/// Plans moves one at a time, each based on the result of the previous ones.
class move_planner {
 public:
  move_planner(const key_map& map, key_loads loads,
               std::span<const balance_target> targets,
               const balance_limits& limits)
      : loads_(loads, targets.size()),
        targets_(targets),
        limits_(limits),
        states_(targets.size()) {
    std::unordered_map<std::string_view, size_t> index_by_id;
    for (size_t i = 0; i < targets.size(); ++i) {
      index_by_id.emplace(targets[i].life.id, i);
    }
    double total = 0.0;
    for (const key_range& range : map.ranges) {
      const auto found = index_by_id.find(range.owner.id);
      const bool known = found != index_by_id.end() &&
                         targets[found->second].life == range.owner;
      const size_t owner = known ? found->second : kNoTarget;
      ranges_.push_back({.first = range.first,
                         .last = range.last,
                         .granted = range.granted,
                         .current_owner = owner,
                         .planned_owner = owner});
      const double load = loads_.Sum(range.first, range.last);
      total += load;
      if (known) {
        states_[owner].load += load;
      }
    }
    const std::vector<double> fair_loads = FairLoads(total, targets);
    for (size_t i = 0; i < targets.size(); ++i) {
      states_[i].fair_load = fair_loads[i];
    }
  }

  /// Plans one more move. Returns false if none is needed or possible.
  bool PlanNextMove() {
    if (limits_.places_hottest_key &&
        !std::exchange(has_placed_hottest_key_, true) && PlaceHottestKey()) {
      return true;
    }
    while (true) {
      const size_t donor = MostLoadedDonor();
      const size_t receiver = LeastLoadedTarget();
      if (donor == kNoTarget || (!IsOverloaded(states_[donor]) &&
                                 !IsUnderloaded(states_[receiver]))) {
        return false;
      }
      if (const auto part = FindMove(donor, receiver)) {
        ApplyMove(*part, receiver);
        return true;
      }
      states_[donor].cannot_give = true;
    }
  }

  /// Returns the keys whose planned owner differs from the current one.
  std::vector<key_move> Moves() const {
    std::vector<key_move> moves;
    for (const planned_range& range : ranges_) {
      if (range.planned_owner == range.current_owner) {
        continue;
      }
      const target_life& new_owner = targets_[range.planned_owner].life;
      const bool extends_last_move = !moves.empty() &&
                                     moves.back().new_owner == new_owner &&
                                     moves.back().last + 1 == range.first;
      if (extends_last_move) {
        moves.back().last = range.last;
      } else {
        moves.push_back({range.first, range.last, new_owner});
      }
    }
    return moves;
  }

 private:
  /// Moves the hottest key to a target that serves far more than its owner, if
  /// every target would be overloaded by it. The other keys of the new owner
  /// move away in later moves.
  bool PlaceHottestKey() {
    constexpr double kMinCapacityRatio = 2.0;
    const std::optional<range_part> hottest = HottestKey();
    if (!hottest) {
      return false;
    }
    const size_t owner = ranges_[hottest->range_index].planned_owner;
    size_t best = kNoTarget;
    for (size_t i = 0; i < states_.size(); ++i) {
      if (hottest->load <= states_[i].fair_load * limits_.overload_ratio) {
        return false;
      }
      const bool is_faster =
          targets_[i].capacity >= targets_[owner].capacity * kMinCapacityRatio;
      const bool is_better = best == kNoTarget ||
                             states_[i].fair_load > states_[best].fair_load ||
                             (states_[i].fair_load == states_[best].fair_load &&
                              states_[i].load < states_[best].load);
      best = is_faster && is_better ? i : best;
    }
    if (best == kNoTarget || !IsOverloaded(states_[owner])) {
      return false;
    }
    ApplyMove(*hottest, best);
    return true;
  }

  /// Returns the granted key with the highest load, if it has any.
  std::optional<range_part> HottestKey() const {
    std::optional<range_part> hottest;
    for (size_t i = 0; i < ranges_.size(); ++i) {
      if (!ranges_[i].granted || ranges_[i].planned_owner == kNoTarget) {
        continue;
      }
      for (uint32_t key = ranges_[i].first; key <= ranges_[i].last; ++key) {
        const auto point = static_cast<key_point>(key);
        const double load = loads_.Sum(point, point);
        if (!hottest || load > hottest->load) {
          hottest = range_part{
              .range_index = i, .first = point, .last = point, .load = load};
        }
      }
    }
    return hottest;
  }

  bool IsOverloaded(const target_state& state) const {
    return state.load > state.fair_load * limits_.overload_ratio &&
           state.load - state.fair_load > NoiseMargin(state.fair_load, limits_);
  }

  bool IsUnderloaded(const target_state& state) const {
    const bool has_no_keys = state.load <= 0.0;
    return has_no_keys ||
           (state.load < state.fair_load * limits_.underload_ratio &&
            state.fair_load - state.load >
                NoiseMargin(state.fair_load, limits_));
  }

  /// Returns the target with the highest load ratio among those that can give
  /// load away, or kNoTarget.
  size_t MostLoadedDonor() const {
    size_t found = kNoTarget;
    for (size_t i = 0; i < states_.size(); ++i) {
      const bool is_busier =
          found == kNoTarget ||
          states_[i].LoadRatio() > states_[found].LoadRatio();
      found = !states_[i].cannot_give && is_busier ? i : found;
    }
    return found;
  }

  size_t LeastLoadedTarget() const {
    const auto has_lower_ratio = [](const target_state& a,
                                    const target_state& b) {
      return a.LoadRatio() < b.LoadRatio();
    };
    const auto lowest =
        std::min_element(states_.begin(), states_.end(), has_lower_ratio);
    return static_cast<size_t>(lowest - states_.begin());
  }

  /// Returns the smallest part at one end of a range whose load reaches
  /// `wanted_load`, or the whole range if its load is lower. If the load of
  /// that part exceeds `max_load`, returns the part with one key less, if any
  /// is left.
  std::optional<range_part> FindEndPart(size_t range_index, double wanted_load,
                                        double max_load,
                                        bool from_front) const {
    const planned_range& range = ranges_[range_index];
    const size_t range_size = size_t{range.last} - range.first + 1;
    const auto end_part = [&](size_t key_count) {
      range_part part{
          .range_index = range_index, .first = range.first, .last = range.last};
      if (from_front) {
        part.last = static_cast<key_point>(range.first + key_count - 1);
      } else {
        part.first = static_cast<key_point>(range.last - key_count + 1);
      }
      part.load = loads_.Sum(part.first, part.last);
      return part;
    };
    // Finds the fewest keys that reach `wanted_load` by binary search.
    size_t low = 1;
    size_t high = range_size;
    while (low < high) {
      const size_t middle = low + (high - low) / 2;
      if (end_part(middle).load >= wanted_load) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    const range_part sufficient = end_part(low);
    if (sufficient.load <= max_load) {
      return sufficient;
    }
    return low > 1 ? std::optional{end_part(low - 1)} : std::nullopt;
  }

  /// Finds adjacent keys of `owner` whose load is closest to `wanted_load` and
  /// at most `max_load`.
  std::optional<range_part> FindPart(size_t owner, double wanted_load,
                                     double max_load) const {
    std::optional<range_part> best;
    for (size_t i = 0; i < ranges_.size(); ++i) {
      if (!ranges_[i].granted || ranges_[i].planned_owner != owner) {
        continue;
      }
      for (const bool from_front : {true, false}) {
        const auto part = FindEndPart(i, wanted_load, max_load, from_front);
        const bool is_closer =
            part && (!best || std::abs(part->load - wanted_load) <
                                  std::abs(best->load - wanted_load));
        if (is_closer) {
          best = part;
        }
      }
    }
    return best;
  }

  /// Finds keys of the donor whose move to the receiver lowers the higher of
  /// the two load ratios.
  std::optional<range_part> FindMove(size_t donor_index,
                                     size_t receiver_index) const {
    // Exceeding the wanted load a little is better than leaving a hot key with
    // its owner.
    constexpr double kMaxOvershootRatio = 1.4;
    constexpr double kMinWantedFraction = 0.2;
    const target_state& donor = states_[donor_index];
    const target_state& receiver = states_[receiver_index];
    const double min_load =
        IsUnderloaded(receiver)
            ? receiver.fair_load * kMinUnderloadedMoveFraction
            : std::min(limits_.min_moved_load, receiver.fair_load / 2);
    const double wanted_load = std::min(donor.load - donor.fair_load,
                                        receiver.fair_load - receiver.load);
    if (wanted_load >= min_load) {
      const auto part =
          FindPart(donor_index, wanted_load, wanted_load * kMaxOvershootRatio);
      if (part && part->load >= wanted_load * kMinWantedFraction &&
          LowersMaxRatio(*part, donor, receiver)) {
        return part;
      }
    }
    // A key whose load exceeds what the receiver lacks is moved alone: together
    // with its neighbours it would overload the new owner.
    const double min_hot_load = std::max(wanted_load, min_load);
    const auto part = FindPart(donor_index, min_hot_load,
                               std::numeric_limits<double>::infinity());
    return part && part->load >= min_hot_load &&
                   LowersMaxRatio(*part, donor, receiver)
               ? part
               : std::nullopt;
  }

  static bool LowersMaxRatio(const range_part& part, const target_state& donor,
                             const target_state& receiver) {
    return (receiver.load + part.load) / receiver.fair_load < donor.LoadRatio();
  }

  void ApplyMove(const range_part& part, size_t receiver) {
    const planned_range whole = ranges_[part.range_index];
    states_[whole.planned_owner].load -= part.load;
    states_[receiver].load += part.load;
    states_[receiver].cannot_give = false;
    std::vector<planned_range> pieces;
    if (part.first > whole.first) {
      pieces.push_back(whole);
      pieces.back().last = static_cast<key_point>(part.first - 1);
    }
    pieces.push_back(whole);
    pieces.back().first = part.first;
    pieces.back().last = part.last;
    pieces.back().planned_owner = receiver;
    if (part.last < whole.last) {
      pieces.push_back(whole);
      pieces.back().first = static_cast<key_point>(part.last + 1);
    }
    const auto at = ranges_.erase(
        ranges_.begin() + static_cast<std::ptrdiff_t>(part.range_index));
    ranges_.insert(at, pieces.begin(), pieces.end());
  }

  load_prefix_sums loads_;
  std::span<const balance_target> targets_;
  const balance_limits& limits_;
  std::vector<target_state> states_;
  std::vector<planned_range> ranges_;
  bool has_placed_hottest_key_ = false;
};

}  // namespace

std::vector<key_move> PlanMoves(const key_map& map, key_loads loads,
                                std::span<const balance_target> targets,
                                const balance_limits& limits) {
  if (targets.size() < 2) {
    return {};
  }
  move_planner planner(map, loads, targets, limits);
  for (size_t i = 0; i < targets.size() && planner.PlanNextMove(); ++i) {
  }
  return planner.Moves();
}

key_map MakeInitialKeyMap(std::span<const balance_target> targets,
                          fence_number first_fence) {
  key_map map;
  map.last_fence = first_fence;
  double capacity = 0.0;
  for (const balance_target& target : targets) {
    capacity += target.capacity;
  }
  double assigned_capacity = 0.0;
  uint32_t next_key = 0;
  for (const balance_target& target : targets) {
    assigned_capacity += target.capacity;
    const bool is_last = &target == &targets.back();
    const auto end = static_cast<uint32_t>(
        is_last ? kKeyCount : kKeyCount * assigned_capacity / capacity);
    if (end <= next_key) {
      continue;
    }
    map.ranges.push_back({.first = static_cast<key_point>(next_key),
                          .last = static_cast<key_point>(end - 1),
                          .owner = target.life,
                          .fence = first_fence});
    next_key = end;
  }
  return map;
}

const balance_target* LeastLoaded(const key_map& map, key_loads loads,
                                  std::span<const balance_target> targets) {
  const load_prefix_sums prefix_sums(loads, targets.size());
  const std::vector<double> fair_loads =
      FairLoads(prefix_sums.Sum(0, kLastKey), targets);
  const balance_target* least = nullptr;
  double least_ratio = 0.0;
  for (size_t i = 0; i < targets.size(); ++i) {
    const balance_target& target = targets[i];
    double load = 0.0;
    for (const key_range& range : map.ranges) {
      load += range.owner == target.life
                  ? prefix_sums.Sum(range.first, range.last)
                  : 0.0;
    }
    const double ratio = load / fair_loads[i];
    if (least == nullptr || ratio < least_ratio) {
      least = &target;
      least_ratio = ratio;
    }
  }
  return least;
}

}  // namespace foxtailspread
