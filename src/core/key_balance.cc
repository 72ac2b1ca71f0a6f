#include "foxtailspread/key_balance.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace foxtailspread {
namespace {

/// Load that every cell counts for besides its requests, so that keys are
/// spread evenly while nothing is asked for: the whole space weighs as much as
/// one request a second and target.
constexpr double kSpaceLoad = 1.0;

/// Least part of its fair share that a target without keys is given at once.
constexpr double kFirstPart = 0.05;

size_t CellOf(key_point key) { return key / kKeysPerCell; }

/// Load of the cells of one range; a cell cut by a range counts in part.
class range_load {
 public:
  range_load(cell_loads loads, size_t targets)
      : loads_(loads),
        base_(kSpaceLoad * static_cast<double>(targets) /
              static_cast<double>(kKeyCells)) {}

  double Of(key_point first, key_point last) const {
    double sum = 0.0;
    for (size_t cell = CellOf(first); cell <= CellOf(last); ++cell) {
      sum += OfCell(cell, first, last);
    }
    return sum;
  }

  double OfCell(size_t cell, key_point first, key_point last) const {
    const size_t begin = std::max<size_t>(cell * kKeysPerCell, first);
    const size_t end =
        std::min<size_t>((cell + 1) * kKeysPerCell, size_t{last} + 1);
    const double part =
        static_cast<double>(end - begin) / static_cast<double>(kKeysPerCell);
    return part * (base_ + (loads_.empty() ? 0.0 : loads_[cell]));
  }

 private:
  cell_loads loads_;
  double base_;
};

struct target_state {
  const balance_target* target = nullptr;
  double load = 0.0;
  double goal = 0.0;

  double Ratio() const { return goal > 0.0 ? load / goal : 0.0; }
};

std::vector<target_state> Measure(const key_map& map, const range_load& loads,
                                  std::span<const balance_target> targets) {
  std::vector<target_state> states;
  double capacity = 0.0;
  double total = 0.0;
  for (const balance_target& each : targets) {
    states.push_back({.target = &each});
    capacity += each.capacity;
  }
  for (const key_range& range : map.ranges) {
    const double load = loads.Of(range.first, range.last);
    total += load;
    for (target_state& state : states) {
      if (state.target->life == range.owner) {
        state.load += load;
      }
    }
  }
  for (target_state& state : states) {
    state.goal = total * state.target->capacity / capacity;
  }
  return states;
}

struct cut {
  key_point first = 0;
  key_point last = 0;
  double load = 0.0;
};

/// Returns the part at one end of `range` whose load comes nearest to
/// `wanted` without passing `most`, if any cell fits.
std::optional<cut> CutEnd(const key_range& range, const range_load& loads,
                          double wanted, double most, bool from_front) {
  const size_t low = CellOf(range.first);
  const size_t high = CellOf(range.last);
  std::optional<cut> best;
  double sum = 0.0;
  for (size_t step = 0; step <= high - low; ++step) {
    const size_t cell = from_front ? low + step : high - step;
    sum += loads.OfCell(cell, range.first, range.last);
    if (sum > most) {
      break;
    }
    cut part{.first = range.first, .last = range.last, .load = sum};
    if (from_front) {
      part.last = static_cast<key_point>(
          std::min<size_t>((cell + 1) * kKeysPerCell - 1, range.last));
    } else {
      part.first = static_cast<key_point>(
          std::max<size_t>(cell * kKeysPerCell, range.first));
    }
    best = part;
    if (sum >= wanted) {
      break;
    }
  }
  return best;
}

/// Finds keys of `from` worth about `wanted`.
std::optional<cut> FindCut(const key_map& map, const range_load& loads,
                           const target_life& from, double wanted) {
  // Passing the wanted load a little is better than leaving a hot cell where
  // it is.
  constexpr double kOvershoot = 1.4;
  constexpr double kLeastPart = 0.2;
  std::optional<cut> best;
  for (const key_range& range : map.ranges) {
    if (!range.granted || range.owner != from) {
      continue;
    }
    for (const bool front : {true, false}) {
      const auto part =
          CutEnd(range, loads, wanted, wanted * kOvershoot, front);
      const bool nearer = part && (!best || std::abs(part->load - wanted) <
                                                std::abs(best->load - wanted));
      if (nearer) {
        best = part;
      }
    }
  }
  return best && best->load >= wanted * kLeastPart ? best : std::nullopt;
}

}  // namespace

namespace {

/// Finds keys of `giver` whose move to `receiver` makes the busier of the two
/// less busy.
std::optional<cut> FindMove(const key_map& map, const range_load& loads,
                            const target_state& giver,
                            const target_state& receiver,
                            const balance_limits& limits) {
  // A target that does next to nothing gets something from each that is over
  // its share, however little that is.
  const bool starved = receiver.Ratio() < limits.underload;
  const double least = starved ? receiver.goal * kFirstPart
                               : std::min(limits.least_load, receiver.goal / 2);
  const double up_to_share =
      std::min(giver.load - giver.goal, receiver.goal - receiver.load);
  // Cells too hot to fit into what the receiver lacks: the two meet half-way.
  const double half_way =
      (giver.load * receiver.goal - receiver.load * giver.goal) /
      (giver.goal + receiver.goal);
  for (const double wanted : {up_to_share, half_way}) {
    if (wanted < least) {
      continue;
    }
    const auto part = FindCut(map, loads, giver.target->life, wanted);
    if (part && (receiver.load + part->load) / receiver.goal < giver.Ratio()) {
      return part;
    }
  }
  return std::nullopt;
}

}  // namespace

std::vector<key_move> PlanMoves(const key_map& map, cell_loads loads,
                                std::span<const balance_target> targets,
                                const balance_limits& limits) {
  std::vector<key_move> moves;
  if (targets.size() < 2) {
    return moves;
  }
  key_map planned = map;
  const range_load load(loads, targets.size());
  std::vector<target_life> stuck;  // Those whose load cannot be cut further.
  for (size_t i = 0; i < limits.max_moves + stuck.size(); ++i) {
    std::vector<target_state> states = Measure(planned, load, targets);
    const auto less = [](const target_state& a, const target_state& b) {
      return a.Ratio() < b.Ratio();
    };
    const auto low = std::min_element(states.begin(), states.end(), less);
    const target_state receiver = *low;
    std::erase_if(states, [&](const target_state& state) {
      return std::find(stuck.begin(), stuck.end(), state.target->life) !=
             stuck.end();
    });
    if (states.empty() || moves.size() >= limits.max_moves) {
      break;
    }
    const target_state giver =
        *std::max_element(states.begin(), states.end(), less);
    const bool uneven =
        giver.Ratio() > limits.overload || receiver.Ratio() < limits.underload;
    if (!uneven) {
      break;
    }
    const auto part = FindMove(planned, load, giver, receiver, limits);
    if (!part) {
      stuck.push_back(giver.target->life);
      continue;
    }
    moves.push_back({part->first, part->last, receiver.target->life});
    for (key_range& range : CutOut(planned, part->first, part->last)) {
      range.owner = receiver.target->life;
    }
  }
  return moves;
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
  constexpr uint32_t kKeys = uint32_t{kLastKey} + 1;
  for (const balance_target& each : targets) {
    dealt += each.capacity;
    const bool is_last = &each == &targets.back();
    const auto end =
        is_last ? kKeys : static_cast<uint32_t>(kKeys * dealt / capacity);
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

const balance_target* LeastLoaded(const key_map& map, cell_loads loads,
                                  std::span<const balance_target> targets) {
  const std::vector<target_state> states =
      Measure(map, range_load(loads, targets.size()), targets);
  const auto low = std::min_element(
      states.begin(), states.end(),
      [](const target_state& a, const target_state& b) {
        return a.load / a.target->capacity < b.load / b.target->capacity;
      });
  return low == states.end() ? nullptr : low->target;
}

}  // namespace foxtailspread
