#include "foxtailspread/key_balance.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace foxtailspread {
namespace {

/// Load that every key counts for besides its requests, so that keys are
/// spread evenly while nothing is asked for: the whole space weighs as much as
/// one request a second and target.
constexpr double kSpaceLoad = 1.0;

/// Least part of its fair share that a target without keys is given at once.
constexpr double kFirstPart = 0.05;

/// Standard deviations beyond which a difference of load is not taken for
/// chance.
constexpr double kChanceDeviations = 3.0;

/// Load of any range of keys, in constant time.
class range_load {
 public:
  range_load(key_loads loads, size_t targets) : sums_(kKeys + 1, 0.0) {
    const double base =
        kSpaceLoad * static_cast<double>(targets) / static_cast<double>(kKeys);
    for (size_t key = 0; key < kKeys; ++key) {
      sums_[key + 1] = sums_[key] + base + (loads.empty() ? 0.0 : loads[key]);
    }
  }

  double Of(key_point first, key_point last) const {
    return sums_[size_t{last} + 1] - sums_[first];
  }

 private:
  std::vector<double> sums_;  ///< Of all keys below each.
};

/// A range of the map while moves are planned.
struct planned_range {
  key_point first = 0;
  key_point last = 0;
  bool settled = false;
  size_t before = 0;  ///< Its owner's place among the targets, or kNoTarget.
  size_t owner = 0;   ///< The same, as planned.
};

constexpr size_t kNoTarget = std::numeric_limits<size_t>::max();

struct target_state {
  double load = 0.0;
  double goal = 0.0;
  bool stuck = false;  ///< Its load cannot be cut further.

  double Ratio() const { return goal > 0.0 ? load / goal : 0.0; }
};

/// Returns by how much a measured load may differ from the true one by chance.
double ChanceOf(double load, const balance_limits& limits) {
  // An exponential mean over `averaged` has the variance of a count over twice
  // that time.
  const double seconds =
      2.0 * std::chrono::duration<double>(limits.averaged).count();
  return seconds > 0.0 ? kChanceDeviations * std::sqrt(load / seconds) : 0.0;
}

struct cut {
  size_t range = 0;  ///< Its place in the plan.
  key_point first = 0;
  key_point last = 0;
  double load = 0.0;
};

/// Plans moves one by one, each on top of those before.
class move_planner {
 public:
  move_planner(const key_map& map, key_loads loads,
               std::span<const balance_target> targets,
               const balance_limits& limits)
      : loads_(loads, targets.size()),
        targets_(targets),
        limits_(limits),
        states_(targets.size()) {
    std::unordered_map<std::string_view, size_t> places;
    double capacity = 0.0;
    for (size_t i = 0; i < targets.size(); ++i) {
      places.emplace(targets[i].life.id, i);
      capacity += targets[i].capacity;
    }
    double total = 0.0;
    for (const key_range& range : map.ranges) {
      const auto found = places.find(range.owner.id);
      const bool known =
          found != places.end() && targets[found->second].life == range.owner;
      const size_t owner = known ? found->second : kNoTarget;
      ranges_.push_back({.first = range.first,
                         .last = range.last,
                         .settled = range.granted,
                         .before = owner,
                         .owner = owner});
      const double load = loads_.Of(range.first, range.last);
      total += load;
      if (known) {
        states_[owner].load += load;
      }
    }
    for (size_t i = 0; i < targets.size(); ++i) {
      states_[i].goal = total * targets[i].capacity / capacity;
    }
  }

  /// Plans one more move. Returns whether there was one to make.
  bool Step() {
    while (true) {
      const size_t giver = Busiest();
      const size_t receiver = Idlest();
      if (giver == kNoTarget ||
          (!IsOver(states_[giver]) && !IsUnder(states_[receiver]))) {
        return false;
      }
      if (const auto part = FindMove(giver, receiver)) {
        Take(*part, receiver);
        return true;
      }
      states_[giver].stuck = true;
    }
  }

  /// Keys whose planned owner is another one than before.
  std::vector<key_move> Moves() const {
    std::vector<key_move> moves;
    for (const planned_range& range : ranges_) {
      if (range.owner == range.before) {
        continue;
      }
      const target_life& to = targets_[range.owner].life;
      const bool joins = !moves.empty() && moves.back().to == to &&
                         moves.back().last + 1 == range.first;
      if (joins) {
        moves.back().last = range.last;
      } else {
        moves.push_back({range.first, range.last, to});
      }
    }
    return moves;
  }

 private:
  bool IsOver(const target_state& state) const {
    return state.load > state.goal * limits_.overload &&
           state.load - state.goal > ChanceOf(state.goal, limits_);
  }

  bool IsUnder(const target_state& state) const {
    const bool has_no_keys = state.load <= 0.0;
    return has_no_keys ||
           (state.load < state.goal * limits_.underload &&
            state.goal - state.load > ChanceOf(state.goal, limits_));
  }

  size_t Busiest() const {
    size_t found = kNoTarget;
    for (size_t i = 0; i < states_.size(); ++i) {
      const bool busier =
          found == kNoTarget || states_[i].Ratio() > states_[found].Ratio();
      found = !states_[i].stuck && busier ? i : found;
    }
    return found;
  }

  size_t Idlest() const {
    const auto less = [](const target_state& a, const target_state& b) {
      return a.Ratio() < b.Ratio();
    };
    const auto low = std::min_element(states_.begin(), states_.end(), less);
    return static_cast<size_t>(low - states_.begin());
  }

  /// Returns the part at one end of a range whose load comes nearest to
  /// `wanted` without passing `most`, if any key fits.
  std::optional<cut> CutEnd(size_t place, double wanted, double most,
                            bool from_front) const {
    const planned_range& range = ranges_[place];
    const size_t keys = size_t{range.last} - range.first + 1;
    const auto part = [&](size_t count) {
      cut made{.range = place, .first = range.first, .last = range.last};
      if (from_front) {
        made.last = static_cast<key_point>(range.first + count - 1);
      } else {
        made.first = static_cast<key_point>(range.last - count + 1);
      }
      made.load = loads_.Of(made.first, made.last);
      return made;
    };
    // The fewest keys that reach `wanted`, by bisection.
    size_t low = 1;
    size_t high = keys;
    while (low < high) {
      const size_t middle = low + (high - low) / 2;
      if (part(middle).load >= wanted) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    const cut reaching = part(low);
    if (reaching.load <= most) {
      return reaching;
    }
    return low > 1 ? std::optional{part(low - 1)} : std::nullopt;
  }

  /// Finds keys of `from` worth about `wanted`, or up to `most`.
  std::optional<cut> FindCut(size_t from, double wanted, double most) const {
    std::optional<cut> best;
    for (size_t place = 0; place < ranges_.size(); ++place) {
      if (!ranges_[place].settled || ranges_[place].owner != from) {
        continue;
      }
      for (const bool front : {true, false}) {
        const auto part = CutEnd(place, wanted, most, front);
        const bool nearer =
            part && (!best || std::abs(part->load - wanted) <
                                  std::abs(best->load - wanted));
        if (nearer) {
          best = part;
        }
      }
    }
    return best;
  }

  /// Finds keys of `giver` whose move to `receiver` makes the busier of the
  /// two less busy.
  std::optional<cut> FindMove(size_t from, size_t to) const {
    // Passing the wanted load a little is better than leaving a hot key where
    // it is.
    constexpr double kOvershoot = 1.4;
    constexpr double kLeastPart = 0.2;
    const target_state& giver = states_[from];
    const target_state& receiver = states_[to];
    const double least = IsUnder(receiver)
                             ? receiver.goal * kFirstPart
                             : std::min(limits_.least_load, receiver.goal / 2);
    const double wanted =
        std::min(giver.load - giver.goal, receiver.goal - receiver.load);
    if (wanted >= least) {
      const auto part = FindCut(from, wanted, wanted * kOvershoot);
      if (part && part->load >= wanted * kLeastPart &&
          Eases(*part, giver, receiver)) {
        return part;
      }
    }
    // A key too hot to fit into what the receiver lacks goes alone: with its
    // neighbours it would only overload the next owner.
    const double at_least = std::max(wanted, least);
    const auto part =
        FindCut(from, at_least, std::numeric_limits<double>::infinity());
    return part && part->load >= at_least && Eases(*part, giver, receiver)
               ? part
               : std::nullopt;
  }

  static bool Eases(const cut& part, const target_state& giver,
                    const target_state& receiver) {
    return (receiver.load + part.load) / receiver.goal < giver.Ratio();
  }

  void Take(const cut& part, size_t receiver) {
    const planned_range whole = ranges_[part.range];
    states_[whole.owner].load -= part.load;
    states_[receiver].load += part.load;
    states_[receiver].stuck = false;
    planned_range moved = whole;
    moved.first = part.first;
    moved.last = part.last;
    moved.owner = receiver;
    planned_range rest = whole;
    if (part.last == whole.last && part.first == whole.first) {
      ranges_[part.range] = moved;
      return;
    }
    const bool front = part.first == whole.first;
    if (front) {
      rest.first = static_cast<key_point>(part.last + 1);
    } else {
      rest.last = static_cast<key_point>(part.first - 1);
    }
    ranges_[part.range] = front ? moved : rest;
    ranges_.insert(
        ranges_.begin() + static_cast<std::ptrdiff_t>(part.range) + 1,
        front ? rest : moved);
  }

  range_load loads_;
  std::span<const balance_target> targets_;
  const balance_limits& limits_;
  std::vector<target_state> states_;
  std::vector<planned_range> ranges_;
};

}  // namespace

std::vector<key_move> PlanMoves(const key_map& map, key_loads loads,
                                std::span<const balance_target> targets,
                                const balance_limits& limits) {
  if (targets.size() < 2) {
    return {};
  }
  move_planner planner(map, loads, targets, limits);
  for (size_t i = 0; i < targets.size() && planner.Step(); ++i) {
  }
  return planner.Moves();
}

key_map DealKeys(std::span<const balance_target> targets,
                 fence_number first_fence) {
  key_map map;
  map.last_fence = first_fence;
  double capacity = 0.0;
  for (const balance_target& each : targets) {
    capacity += each.capacity;
  }
  double dealt = 0.0;
  uint32_t next = 0;
  for (const balance_target& each : targets) {
    dealt += each.capacity;
    const bool is_last = &each == &targets.back();
    const auto end =
        static_cast<uint32_t>(is_last ? kKeys : kKeys * dealt / capacity);
    if (end <= next) {
      continue;
    }
    map.ranges.push_back({.first = static_cast<key_point>(next),
                          .last = static_cast<key_point>(end - 1),
                          .owner = each.life,
                          .fence = first_fence});
    next = end;
  }
  return map;
}

const balance_target* LeastLoaded(const key_map& map, key_loads loads,
                                  std::span<const balance_target> targets) {
  const range_load load(loads, targets.size());
  const balance_target* least = nullptr;
  double least_ratio = 0.0;
  for (const balance_target& each : targets) {
    double sum = 0.0;
    for (const key_range& range : map.ranges) {
      sum += range.owner == each.life ? load.Of(range.first, range.last) : 0.0;
    }
    const double ratio = sum / each.capacity;
    if (least == nullptr || ratio < least_ratio) {
      least = &each;
      least_ratio = ratio;
    }
  }
  return least;
}

}  // namespace foxtailspread
