#include "foxtailspread/load/key_throttle.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "foxtailspread/hash.h"
#include "foxtailspread/key_load.h"

namespace foxtailspread {
namespace {

/// Fraction of what an owner serves that its keys may use together while they
/// are throttled. Requests come at random; at a higher use they queue.
constexpr double kUsedFraction = 0.85;

/// Demand within this many standard deviations of what an owner serves is
/// random variation.
constexpr double kNoiseDeviations = 2.0;

/// Requests per second from which a key has a share of its own. The rate of a
/// less busy key is known too badly within a second, so that it shares with
/// those around it.
constexpr double kMinOwnShareRate = 3.0;
constexpr uint32_t kKeysPerBlock = 64;

constexpr uint32_t kPermille = 1000;

/// Adjacent keys with one fair share.
struct shared_keys {
  key_point first = 0;
  key_point last = 0;
  uint32_t owner = 0;
  double rate = 0.0;
  double admitted = 0.0;
  bool is_one_key = false;

  double excess() const { return rate - admitted; }
};

/// The demand for one owner's keys.
struct owner_demand {
  double total = 0.0;
  std::vector<shared_keys> keys;
};

/// Returns the standard deviation of a measured rate.
double Noise(double rate) {
  constexpr std::chrono::duration<double> kMeasured =
      2 * key_load::kRecentTimeConstant;
  return kNoiseDeviations * std::sqrt(rate / kMeasured.count());
}

/// Appends the keys of `range` that have requests.
void AddDemand(const key_range& range, key_loads rates, uint32_t owner,
               owner_demand& demand) {
  constexpr size_t kNoBlock = std::numeric_limits<size_t>::max();
  size_t block = kNoBlock;  // Index in `demand.keys`.
  for (uint32_t key = range.first; key <= range.last; ++key) {
    if (key == range.first || key % kKeysPerBlock == 0) {
      block = kNoBlock;
    }
    const double rate = rates[key];
    if (rate <= 0.0) {
      continue;
    }
    demand.total += rate;
    const auto point = static_cast<key_point>(key);
    if (rate >= kMinOwnShareRate) {
      demand.keys.push_back({.first = point,
                             .last = point,
                             .owner = owner,
                             .rate = rate,
                             .is_one_key = true});
      continue;
    }
    if (block == kNoBlock) {
      block = demand.keys.size();
      const uint32_t block_start = key / kKeysPerBlock * kKeysPerBlock;
      const uint32_t block_end = block_start + kKeysPerBlock - 1;
      demand.keys.push_back({.first = static_cast<key_point>(
                                 std::max<uint32_t>(block_start, range.first)),
                             .last = static_cast<key_point>(
                                 std::min<uint32_t>(block_end, range.last)),
                             .owner = owner});
    }
    demand.keys[block].rate += rate;
  }
}

/// Returns the max-min fair share: what each may have at most, so that all
/// together have `capacity`.
double FairShare(std::span<const shared_keys> keys, double capacity) {
  std::vector<double> rates;
  rates.reserve(keys.size());
  for (const shared_keys& each : keys) {
    rates.push_back(each.rate);
  }
  std::sort(rates.begin(), rates.end());
  double rest = capacity;
  for (size_t i = 0; i < rates.size(); ++i) {
    const double share = rest / static_cast<double>(rates.size() - i);
    if (rates[i] >= share) {
      return share;
    }
    rest -= rates[i];
  }
  return std::numeric_limits<double>::infinity();
}

/// Merges neighbours, so that sixty busy keys need one entry.
std::vector<shared_keys> MergeNeighbours(std::vector<shared_keys> keys) {
  std::sort(keys.begin(), keys.end(), [](const auto& a, const auto& b) {
    return std::pair{a.is_one_key, a.first} < std::pair{b.is_one_key, b.first};
  });
  std::vector<shared_keys> merged;
  for (const shared_keys& each : keys) {
    const bool is_next = !merged.empty() && merged.back().owner == each.owner &&
                         merged.back().is_one_key == each.is_one_key &&
                         merged.back().last + 1 == each.first;
    if (!is_next) {
      merged.push_back(each);
      continue;
    }
    merged.back().last = each.last;
    merged.back().rate += each.rate;
    merged.back().admitted += each.admitted;
  }
  return merged;
}

size_t KeyCount(const throttled_keys& keys) {
  return size_t{keys.last} - keys.first + 1;
}

}  // namespace

uint32_t ThrottleOwnerId(const target_life& owner) {
  return static_cast<uint32_t>(HashParts({owner.id}, owner.started));
}

std::vector<throttled_keys> key_throttle::Plan(
    const key_map& map, key_loads rates,
    std::span<const owner_capacity> capacities) {
  std::map<uint32_t, owner_demand> demands;
  if (!rates.empty()) {
    for (const key_range& range : map.ranges) {
      if (range.granted) {
        const uint32_t owner = ThrottleOwnerId(range.owner);
        AddDemand(range, rates, owner, demands[owner]);
      }
    }
  }
  std::vector<shared_keys> cut;
  std::set<uint32_t> throttled;
  for (const owner_capacity& capacity : capacities) {
    const uint32_t id = ThrottleOwnerId(capacity.owner);
    const auto found = demands.find(id);
    const bool was_throttled = throttled_.contains(id);
    const double demand = found == demands.end() ? 0.0 : found->second.total;
    const double served = capacity.per_second;
    const double usable = served * kUsedFraction;
    const bool begins = capacity.has_queue && demand > served + Noise(served);
    const bool exceeds =
        served > 0.0 && (begins || (was_throttled && demand > usable));
    if (exceeds != was_throttled) {
      notes_.push_back({.owner = capacity.owner,
                        .is_throttled = exceeds,
                        .demand_per_second = demand,
                        .served_per_second = served});
    }
    if (!exceeds) {
      continue;
    }
    throttled.insert(id);
    const double share = FairShare(found->second.keys, usable);
    for (shared_keys& each : found->second.keys) {
      each.admitted = std::min(each.rate, share);
      if (each.excess() > 0.0) {
        cut.push_back(each);
      }
    }
  }
  throttled_ = std::move(throttled);
  cut = MergeNeighbours(std::move(cut));
  if (cut.size() > kMaxEntries) {
    std::nth_element(cut.begin(), cut.begin() + kMaxEntries, cut.end(),
                     [](const shared_keys& a, const shared_keys& b) {
                       return a.excess() > b.excess();
                     });
    cut.resize(kMaxEntries);
  }
  std::vector<throttled_keys> entries;
  entries.reserve(cut.size());
  for (const shared_keys& each : cut) {
    entries.push_back({.first = each.first,
                       .last = each.last,
                       .owner = each.owner,
                       .admitted_permille = static_cast<uint32_t>(
                           kPermille * each.admitted / each.rate)});
  }
  return entries;
}

bool throttle_gate::Update(const key_throttles& throttles, time_point now) {
  const bool is_newer =
      std::pair{throttles.lease_revision, throttles.sequence} >
      std::pair{lease_revision_, sequence_};
  // After a silence any word is better than none: a store that has returned to
  // a copy may have begun to count anew.
  if (!is_newer && IsAlive(now)) {
    return false;
  }
  const time_point valid_until =
      now + kTtl - std::chrono::milliseconds{throttles.age_ms};
  if (valid_until <= now) {
    return false;
  }
  lease_revision_ = throttles.lease_revision;
  sequence_ = throttles.sequence;
  valid_until_ = valid_until;
  std::vector<gate> gates;
  for (const throttled_keys& keys : throttles.entries) {
    const auto known =
        std::ranges::find_if(gates_, [&keys](const gate& candidate) {
          return candidate.keys.first == keys.first &&
                 candidate.keys.last == keys.last &&
                 candidate.keys.owner == keys.owner;
        });
    if (known != gates_.end()) {
      gates.push_back({.keys = keys, .credit = known->credit});
      continue;
    }
    const uint64_t phase =
        HashParts({throttles.service, std::to_string(keys.first),
                   std::to_string(sequence_)},
                  seed_);
    gates.push_back(
        {.keys = keys,
         .credit = static_cast<double>(phase % kPermille) / kPermille});
  }
  std::ranges::stable_sort(
      gates, {}, [](const gate& each) { return KeyCount(each.keys); });
  gates_ = std::move(gates);
  return true;
}

const throttle_gate::gate* throttle_gate::Find(key_point key,
                                               const target_life& owner,
                                               time_point now) const {
  if (gates_.empty() || !IsAlive(now)) {
    return nullptr;
  }
  const uint32_t owner_id = ThrottleOwnerId(owner);
  const auto found = std::ranges::find_if(gates_, [&](const gate& candidate) {
    return candidate.keys.first <= key && key <= candidate.keys.last &&
           candidate.keys.owner == owner_id;
  });
  return found == gates_.end() ? nullptr : &*found;
}

throttle_gate::verdict throttle_gate::Decide(key_point key,
                                             const target_life& owner,
                                             time_point now) {
  const gate* found = Find(key, owner, now);
  if (found == nullptr) {
    return verdict::kNotThrottled;
  }
  gate& entry = gates_[static_cast<size_t>(found - gates_.data())];
  entry.credit += static_cast<double>(entry.keys.admitted_permille) / kPermille;
  if (entry.credit < 1.0) {
    return verdict::kRefused;
  }
  entry.credit -= 1.0;
  return verdict::kAdmitted;
}

bool throttle_gate::IsThrottled(const target_life& owner,
                                time_point now) const {
  return IsAlive(now) &&
         std::ranges::any_of(gates_,
                             [id = ThrottleOwnerId(owner)](const gate& each) {
                               return each.keys.owner == id;
                             });
}

double throttle_gate::AdmittedFraction(key_point key, const target_life& owner,
                                       time_point now) const {
  const gate* found = Find(key, owner, now);
  return found == nullptr
             ? 1.0
             : static_cast<double>(found->keys.admitted_permille) / kPermille;
}

}  // namespace foxtailspread
