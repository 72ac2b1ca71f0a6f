#ifndef FOXTAILSPREAD_BENCHMARK_BASELINES_H_
#define FOXTAILSPREAD_BENCHMARK_BASELINES_H_

/// @file
/// What the steward is compared with: entry hosts that each choose a target
/// by themselves, from their own requests only.

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "foxtailspread/placement.h"
#include "foxtailspread/target_table.h"
#include "recorder.h"
#include "target_fleet.h"

namespace foxtailspread::experiment {

struct random_picker {
  std::mt19937_64 random{1};
  target_index Pick(std::span<const target_load> loads, target_index avoid) {
    std::uniform_int_distribution<size_t> any(0, loads.size() - 1);
    for (size_t tries = 0; tries < loads.size() * 4; ++tries) {
      const size_t i = any(random);
      if (static_cast<target_index>(i) != avoid &&
          loads[i].running < loads[i].allowance) {
        return static_cast<target_index>(i);
      }
    }
    return kNoTarget;
  }
};

struct round_robin_picker {
  size_t next = 0;
  target_index Pick(std::span<const target_load> loads, target_index avoid) {
    for (size_t tries = 0; tries < loads.size(); ++tries) {
      const size_t i = next++ % loads.size();
      if (static_cast<target_index>(i) != avoid &&
          loads[i].running < loads[i].allowance) {
        return static_cast<target_index>(i);
      }
    }
    return kNoTarget;
  }
};

/// Fewest own requests outstanding; the first of several.
struct least_outstanding_picker {
  target_index Pick(std::span<const target_load> loads, target_index avoid) {
    target_index best = kNoTarget;
    for (size_t i = 0; i < loads.size(); ++i) {
      const auto index = static_cast<target_index>(i);
      const bool free = loads[i].running < loads[i].allowance;
      if (free && index != avoid &&
          (best == kNoTarget ||
           loads[i].running < loads[static_cast<size_t>(best)].running)) {
        best = index;
      }
    }
    return best;
  }
};

struct two_choices_picker {
  random_picker random;
  target_index Pick(std::span<const target_load> loads, target_index avoid) {
    const target_index a = random.Pick(loads, avoid);
    const target_index b = random.Pick(loads, avoid);
    if (a == kNoTarget || b == kNoTarget) {
      return a;
    }
    const auto load = [&](target_index t) {
      return loads[static_cast<size_t>(t)].running;
    };
    return load(b) < load(a) ? b : a;
  }
};

/// A ring with virtual nodes, the usual static map of keys to targets.
class hash_ring {
 public:
  explicit hash_ring(int targets) {
    for (int t = 0; t < targets; ++t) {
      Add(t);
    }
  }
  void Add(int target) {
    for (int v = 0; v < kVirtualNodes; ++v) {
      const std::string name =
          "target-" + std::to_string(target) + "#" + std::to_string(v);
      points_[KeyHash(name)] = target;
    }
  }
  void Remove(int target) {
    std::erase_if(points_, [&](const auto& p) { return p.second == target; });
  }
  int Owner(uint64_t hash) const {
    const auto next = points_.lower_bound(hash);
    return next == points_.end() ? points_.begin()->second : next->second;
  }

 private:
  static constexpr int kVirtualNodes = 100;
  std::map<uint64_t, int> points_;
};

inline uint64_t HashOf(uint64_t number) {
  return KeyHash({reinterpret_cast<const char*>(&number), sizeof number});
}

/// Entry hosts without a steward. A request goes out at once; what is beyond
/// a target's slots waits there, first come, first served. Failures that may
/// be repeated are, up to twice, on another target if there is a choice.
template <target_picker picker>
class independent_hosts {
 public:
  static constexpr int kMostAttempts = 3;

  independent_hosts(event_loop& loop, target_fleet& fleet, recorder& results,
                    int hosts, bool keyed)
      : loop_(loop),
        fleet_(fleet),
        results_(results),
        keyed_(keyed),
        ring_(fleet.Count()),
        hosts_(static_cast<size_t>(hosts)) {
    for (host& h : hosts_) {
      h.loads.assign(static_cast<size_t>(fleet.Count()),
                     {.running = 0, .allowance = kNoLimit, .start_count = 0});
    }
    fleet_.OnEnd([this](const job& j, attempt_outcome end) { Ended(j, end); });
  }

  void Arrive(const arrival& request) {
    results_.Arrived(request);
    const auto index = static_cast<int>(HashOf(request.id) % hosts_.size());
    live entry{request, kNoTarget, 0};
    Attempt(index, entry);
    loop_.After(request.deadline,
                [this, index, id = request.id] { GiveUp(index, id); });
  }
  void Suspected(int /*target*/) {}

 private:
  static constexpr int kNoLimit = 1'000'000;
  struct live {
    arrival request;
    target_index target;
    int attempts;
  };
  struct host {
    picker choose;
    std::vector<target_load> loads;
    std::map<uint64_t, live> requests;
  };

  void Attempt(int index, live entry) {
    host& h = hosts_[static_cast<size_t>(index)];
    entry.target = keyed_ ? ring_.Owner(HashOf(entry.request.key))
                          : h.choose.Pick(h.loads, entry.target);
    if (entry.target == kNoTarget) {
      return;
    }
    results_.Attempted(entry.attempts == 0);
    entry.attempts++;
    h.loads[static_cast<size_t>(entry.target)].running++;
    h.requests.insert_or_assign(entry.request.id, entry);
    fleet_.Send(entry.target, {index, entry.request.id, entry.request, 0});
  }

  void Ended(const job& j, attempt_outcome end) {
    host& h = hosts_[static_cast<size_t>(j.host)];
    const auto found = h.requests.find(j.attempt);
    if (found == h.requests.end()) {
      return;
    }
    live entry = found->second;
    h.requests.erase(found);
    h.loads[static_cast<size_t>(entry.target)].running--;
    if (end == attempt_outcome::kAnswered) {
      results_.Answered(entry.request, loop_.Now(), duration{0});
      return;
    }
    const bool may_repeat =
        end != attempt_outcome::kConnectionBroken || entry.request.repeatable;
    if (may_repeat && entry.attempts < kMostAttempts) {
      Attempt(j.host, entry);
    }
  }

  void GiveUp(int index, uint64_t id) {
    host& h = hosts_[static_cast<size_t>(index)];
    const auto found = h.requests.find(id);
    if (found == h.requests.end()) {
      return;
    }
    const target_index target = found->second.target;
    h.loads[static_cast<size_t>(target)].running--;
    h.requests.erase(found);
    fleet_.Cancel(target, index, id);
  }

  event_loop& loop_;
  target_fleet& fleet_;
  recorder& results_;
  bool keyed_;
  hash_ring ring_;
  std::vector<host> hosts_;
};

}  // namespace foxtailspread::experiment

#endif  // FOXTAILSPREAD_BENCHMARK_BASELINES_H_
