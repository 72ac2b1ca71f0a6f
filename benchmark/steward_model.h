#ifndef FOXTAILSPREAD_BENCHMARK_STEWARD_MODEL_H_
#define FOXTAILSPREAD_BENCHMARK_STEWARD_MODEL_H_

/// @file
/// One steward per zone, each with the project's dispatcher and placement.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baselines.h"
#include "foxtailspread/dispatcher-inl.h"
#include "foxtailspread/hot_keys.h"
#include "foxtailspread/placement.h"
#include "recorder.h"
#include "target_fleet.h"

namespace foxtailspread::experiment {

/// Places of one service.
struct service_shape {
  std::string name;
  bool keyed = false;
  int zones = 4;
  int targets = 12;
  int slots = 3;
  int connections = 110;
  int hosts = 12;  ///< Entry hosts over all zones.
  int buckets = 256;
};

/// The stewards of one service.
template <target_picker picker = least_loaded_picker>
class steward_zones {
 public:
  /// A request crosses one more host than without a steward: there and back.
  static constexpr duration kExtraHop{200};
  static constexpr duration kPlacementPeriod{std::chrono::milliseconds{500}};
  /// From a crash until the other zones' stewards know.
  static constexpr duration kShareTime{std::chrono::milliseconds{20}};
  /// Time without an owner in a planned move.
  static constexpr duration kMoveGap{std::chrono::milliseconds{3}};
  /// From suspicion to new owners: the lease of the lost target has to lapse.
  static constexpr duration kTakeAway{std::chrono::milliseconds{400}};

  steward_zones(event_loop& loop, target_fleet& fleet, recorder& results,
                const service_shape& shape, int organisations,
                double balance_weight = 0.5)
      : loop_(loop),
        fleet_(fleet),
        results_(results),
        shape_(shape),
        balance_weight_(balance_weight),
        zones_(static_cast<size_t>(shape.zones)) {
    std::vector<std::string> names;
    names.reserve(zones_.size());
    std::vector<zone_weight> weights;
    for (int z = 0; z < shape.zones; ++z) {
      names.push_back("zone-" + std::to_string(z));
    }
    for (int z = 0; z < shape.zones; ++z) {
      const int count = CountIn(z);
      weights.push_back({names[static_cast<size_t>(z)], count});
      SetUpZone(z, count, organisations);
    }
    zone_of_bucket_ = AssignZones(shape.buckets, weights);
    for (int z = 0; z < shape.zones; ++z) {
      Replan(z);
    }
    fleet_.OnEnd([this](const job& j, attempt_outcome end) { Ended(j, end); });
    loop_.After(kPlacementPeriod, [this] { Period(); });
  }

  void Arrive(const arrival& request) {
    results_.Arrived(request);
    const uint64_t hash = HashOf(shape_.keyed ? request.key : request.id);
    const int32_t bucket = BucketOf(hash, shape_.buckets);
    const int z = zone_of_bucket_[static_cast<size_t>(bucket)];
    zone& at = zones_[static_cast<size_t>(z)];
    at.requests[request.id] = request;
    if (shape_.keyed) {
      at.counts[static_cast<size_t>(bucket)]++;
      at.sketch->Record(hash, bucket);
    }
    out_.clear();
    at.range->Submit({.request_id = request.id,
                      .organisation = request.organisation,
                      .level = request.level,
                      .deadline = request.at + request.deadline,
                      .bucket = bucket,
                      .key_hash = hash,
                      .content_hash = request.key + 1,
                      .repeatable = request.repeatable},
                     loop_.Now(), out_);
    CarryOut(z);
  }

  int Moves() const { return moves_; }
  int KeyMoves() const { return key_moves_; }
  int TargetsIn(int z) const { return CountIn(z); }

 private:
  static constexpr size_t kHotKeys = 64;
  static constexpr double kNewPart = 0.3;

  struct zone {
    std::unique_ptr<basic_dispatcher<picker>> range;
    std::map<uint64_t, arrival> requests;
    std::vector<target_index> owners;
    std::vector<placement_target> targets;
    std::vector<double> counts;
    std::vector<double> loads;
    std::unique_ptr<hot_key_sketch> sketch;
    std::map<uint64_t, hot_key> placed_alone;
    time_point wake = time_point::max();
    int first_target = 0;
  };

  int CountIn(int z) const {
    return shape_.targets / shape_.zones +
           (z < shape_.targets % shape_.zones ? 1 : 0);
  }

  void SetUpZone(int z, int count, int organisations) {
    zone& at = zones_[static_cast<size_t>(z)];
    at.first_target = next_target_;
    next_target_ += count;
    std::vector<target_config> configs;
    configs.reserve(static_cast<size_t>(count));
    for (int t = 0; t < count; ++t) {
      configs.push_back(
          {.name = "target-" + std::to_string(t), .address = {}, .zone = {}});
    }
    at.range = std::make_unique<basic_dispatcher<picker>>(
        shape_.keyed ? placement_kind::kKeyed : placement_kind::kPooled,
        shape_.buckets);
    at.range->SetTargets(configs, shape_.slots, shape_.connections);
    const std::vector<organisation_rule> rules(
        static_cast<size_t>(organisations));
    at.range->SetPolicy(preset_config{}, rules);
    const auto buckets = static_cast<size_t>(shape_.buckets);
    at.owners.assign(buckets, kNoTarget);
    at.counts.assign(buckets, 0);
    at.loads.assign(buckets, 0);
    at.targets.assign(static_cast<size_t>(count), {true, 1});
    at.sketch = std::make_unique<hot_key_sketch>(kHotKeys * 4);
  }

  void CarryOut(int z) {
    zone& at = zones_[static_cast<size_t>(z)];
    const std::vector<dispatch_decision> decisions = std::move(out_);
    out_.clear();
    for (const dispatch_decision& d : decisions) {
      if (const auto* start = std::get_if<start_attempt>(&d)) {
        results_.Attempted(first_.insert(start->request_id).second);
        running_[{z, start->attempt_id}] = start->target;
        fleet_.Send(
            at.first_target + start->target,
            {z, start->attempt_id, at.requests.at(start->request_id), 0});
      } else if (const auto* cancel = std::get_if<cancel_attempt>(&d)) {
        const target_index target = running_.at({z, cancel->attempt_id});
        fleet_.Cancel(at.first_target + target, z, cancel->attempt_id);
        loop_.After(duration{0}, [this, z, id = cancel->attempt_id] {
          Report(z, id, attempt_outcome::kCancelled);
        });
      } else if (const auto* finish = std::get_if<finish_request>(&d)) {
        at.requests.erase(finish->request_id);
      } else if (const auto* suspect = std::get_if<target_suspected>(&d)) {
        Suspected(z, suspect->target);
      }
    }
    ScheduleWake(z);
  }

  void ScheduleWake(int z) {
    zone& at = zones_[static_cast<size_t>(z)];
    const std::optional<time_point> wake = at.range->NextTickTime();
    if (!wake || *wake >= at.wake) {
      return;
    }
    at.wake = *wake;
    loop_.At(*wake, [this, z, due = *wake] {
      zone& woken = zones_[static_cast<size_t>(z)];
      if (woken.wake != due) {
        return;
      }
      woken.wake = time_point::max();
      Tick(z);
    });
  }

  void Ended(const job& j, attempt_outcome end) {
    Report(j.host, j.attempt, end);
  }

  void Report(int z, uint64_t attempt, attempt_outcome end) {
    if (running_.erase({z, attempt}) == 0) {
      return;
    }
    zone& at = zones_[static_cast<size_t>(z)];
    out_.clear();
    const std::optional<uint64_t> answered =
        at.range->AttemptEnded(attempt, end, loop_.Now(), out_);
    if (answered) {
      results_.Answered(at.requests.at(*answered), loop_.Now(), kExtraHop);
      at.requests.erase(*answered);
    }
    ShareMarks(z);
    CarryOut(z);
  }

  void ShareMarks(int from) {
    const std::vector<poison_mark> news =
        zones_[static_cast<size_t>(from)].range->TakeNewPoisonMarks(
            loop_.Now());
    if (news.empty()) {
      return;
    }
    loop_.After(kShareTime, [this, news] {
      for (zone& at : zones_) {
        at.range->ImportPoisonMarks(news, loop_.Now());
      }
    });
  }

  /// Takes a suspected keyed target's buckets away, and tries it again after
  /// a while.
  void Suspected(int z, target_index target) {
    if (!shape_.keyed) {
      return;
    }
    loop_.After(kTakeAway, [this, z, target] { SetUsable(z, target, false); });
    loop_.After(target_fleet::kRestartTime + kTakeAway,
                [this, z, target] { SetUsable(z, target, true); });
  }

  void SetUsable(int z, target_index target, bool usable) {
    zone& at = zones_[static_cast<size_t>(z)];
    at.targets[static_cast<size_t>(target)].usable = usable;
    at.range->SetTargetUsability(
        target, usable ? target_usability::kUsable : target_usability::kDown,
        loop_.Now());
    Replan(z);
  }

  void Period() {
    for (int z = 0; z < shape_.zones; ++z) {
      zone& at = zones_[static_cast<size_t>(z)];
      for (size_t b = 0; b < at.loads.size(); ++b) {
        at.loads[b] += kNewPart * (at.counts[b] - at.loads[b]);
        at.counts[b] = 0;
      }
      at.sketch->Decay(1 - kNewPart);
      if (shape_.keyed) {
        Replan(z);
      }
    }
    loop_.After(kPlacementPeriod, [this] { Period(); });
  }

  std::vector<hot_key> HotKeys(const zone& at) const {
    std::map<uint64_t, hot_key> keys = at.placed_alone;
    for (auto& [hash, key] : keys) {
      key.load = 0;
    }
    for (const frequent_key& f : at.sketch->Top(kHotKeys)) {
      hot_key& key = keys[f.key_hash];
      key.key_hash = f.key_hash;
      key.bucket = f.bucket;
      key.load = (f.count - f.error) * kNewPart;
    }
    std::vector<hot_key> listed;
    listed.reserve(keys.size());
    for (const auto& [hash, key] : keys) {
      listed.push_back(key);
    }
    return listed;
  }

  void Replan(int z) {
    zone& at = zones_[static_cast<size_t>(z)];
    // Only this zone's buckets are part of the range.
    std::vector<double> loads;
    std::vector<size_t> mine;
    std::vector<target_index> mine_owners;
    std::vector<int32_t> place(at.owners.size(), -1);
    for (size_t b = 0; b < at.owners.size(); ++b) {
      if (zone_of_bucket_[b] == z) {
        place[b] = static_cast<int32_t>(mine.size());
        mine.push_back(b);
        loads.push_back(at.loads[b]);
        mine_owners.push_back(at.owners[b]);
      }
    }
    std::vector<hot_key> mine_keys = HotKeys(at);
    for (hot_key& key : mine_keys) {
      key.bucket = place[static_cast<size_t>(key.bucket)];
    }
    const std::vector<placement_move> plan =
        PlanPlacement({.bucket_load = loads,
                       .owners = mine_owners,
                       .targets = at.targets,
                       .hot_keys = mine_keys,
                       .balance_weight = balance_weight_,
                       .max_moves = 16,
                       .allow_rebalance = true});
    for (const placement_move& move : plan) {
      Apply(z, mine[static_cast<size_t>(move.bucket)], move);
    }
    Tick(z);
  }

  void Tick(int z) {
    out_.clear();
    zones_[static_cast<size_t>(z)].range->Tick(loop_.Now(), out_);
    CarryOut(z);
  }

  void Apply(int z, size_t bucket, const placement_move& move) {
    zone& at = zones_[static_cast<size_t>(z)];
    const auto number = static_cast<int32_t>(bucket);
    if (move.single_key) {
      key_moves_++;
      const bool home = at.owners[bucket] == move.to;
      if (home) {
        at.placed_alone.erase(move.key_hash);
      } else {
        at.placed_alone[move.key_hash] = {move.key_hash, number, 0, move.to};
      }
      at.range->SetKeyOwner(move.key_hash, kNoTarget);
      loop_.After(kMoveGap, [this, z, home, move] {
        basic_dispatcher<picker>& range = *zones_[static_cast<size_t>(z)].range;
        if (home) {
          range.ClearKeyOwner(move.key_hash);
        } else {
          range.SetKeyOwner(move.key_hash, move.to);
        }
        Tick(z);
      });
      return;
    }
    moves_ += move.from != kNoTarget ? 1 : 0;
    at.owners[bucket] = move.to;
    at.range->SetOwner(number, kNoTarget);
    loop_.After(kMoveGap, [this, z, number, to = move.to] {
      zones_[static_cast<size_t>(z)].range->SetOwner(number, to);
      Tick(z);
    });
  }

  event_loop& loop_;
  target_fleet& fleet_;
  recorder& results_;
  service_shape shape_;
  double balance_weight_;
  std::vector<zone> zones_;
  std::vector<int> zone_of_bucket_;
  std::vector<dispatch_decision> out_;
  std::map<std::pair<int, uint64_t>, target_index> running_;
  std::set<uint64_t> first_;
  int next_target_ = 0;
  int moves_ = 0;
  int key_moves_ = 0;
};

}  // namespace foxtailspread::experiment

#endif  // FOXTAILSPREAD_BENCHMARK_STEWARD_MODEL_H_
