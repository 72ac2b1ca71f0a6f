#include "foxtailspread/range_steward.h"

#include <algorithm>
#include <numeric>

#include "foxtailspread/bucket_homes.h"

namespace foxtailspread {
namespace {

/// How long after the start of a tenure pooled targets count as usable before
/// they have answered.
constexpr duration kTargetGracePeriod{std::chrono::milliseconds{300}};

/// Maximum number of keys in a range that are owned separately from their
/// buckets, including keys that are being returned.
constexpr int kMaxKeySlotsPerRange = 64;

/// Limit on the bodies of stored answers that a handover transfers.
constexpr size_t kMaxHandoverBodyBytes = size_t{1} << 20;

std::vector<std::string> TargetNames(
    const std::vector<target_config>& targets) {
  std::vector<std::string> names;
  names.reserve(targets.size());
  for (const target_config& target : targets) {
    names.push_back(target.name);
  }
  return names;
}

}  // namespace

range_steward::range_steward(std::string range, lease_timing timing,
                             const action_secret& secret, id_source& ids)
    : range_(std::move(range)),
      timing_(timing),
      secret_(secret),
      ids_(ids),
      owners_(timing) {}

void range_steward::Configure(const deployment_config& config,
                              const target_status_source& target_status,
                              time_point now) {
  const range_name_parts parts = ParseRangeName(range_).value();
  const service_config* service = config.FindService(parts.service);
  if (service == nullptr) {
    return;
  }
  zone_ = parts.zone;
  service_copy_ = *service;
  service_ = &*service_copy_;
  targets_.clear();
  for (const target_config& target : service_->targets) {
    if (target.zone == zone_) {
      targets_.push_back(target);
    }
  }
  const bool keyed = service_->placement == placement_kind::kKeyed;
  if (dispatcher_ == nullptr) {
    dispatcher_ = std::make_unique<dispatcher>(service_->placement,
                                               keyed ? service_->buckets : 0);
  }
  dispatcher_->SetTargets(targets_, service_->slots, service_->connections);
  owner_index_ = owners_.SetTargets(TargetNames(targets_));
  draining_.clear();
  for (const target_config& target : targets_) {
    draining_.push_back(target_status.is_draining(target.name));
  }
  if (keyed && !balance_) {
    balance_.emplace(service_->buckets);
  }
  // Each range of a service numbers its key slots from a different start, so
  // that no number stands for two keys.
  const auto zone = std::find(config.zones.begin(), config.zones.end(), zone_);
  const auto zone_number = static_cast<int>(zone - config.zones.begin());
  first_slot_number_ = service_->buckets + zone_number * kMaxKeySlotsPerRange;
  allow_rebalance_ = config.PresetInForce().allow_rebalance;
  homed_buckets_ = keyed ? BucketsOfZone(*service_, zone_) : std::vector<int>{};

  std::vector<organisation_rule> rules;
  for (const organisation_config& organisation : config.organisations) {
    const int index = OrganisationIndex(organisation.name);
    rules.resize(std::max(rules.size(), static_cast<size_t>(index) + 1));
    const rule_config rule = config.RuleFor(organisation.name, service_->name);
    rules[index] =
        organisation_rule{rule.share, rule.max_queued, rule.most_urgent};
  }
  dispatcher_->SetPolicy(config.PresetInForce(), rules);
  if (active_) {
    PlanOwners(now);
  }
}

void range_steward::BeginTenure(uint64_t epoch, const range_map& newest_map,
                                bool handed_over, time_point now,
                                steward_output& out) {
  epoch_ = epoch;
  tenure_began_at_ = now;
  active_ = true;
  stopped_accepting_ = false;
  const std::vector<uint64_t> waiters =
      actions_.ResetTenure(action_tenure{range_, epoch, now, {}});
  answer_action unknown;
  unknown.outcome = request_outcome::kUnknown;
  unknown.code = "steward-changed";
  unknown.reason = "the range changed hands while the action was under way";
  unknown.remedy = "look up whether it took effect before a new one is sent";
  AnswerWaiters(waiters, unknown, "", out);
  const std::string imported = std::exchange(imported_actions_, "");
  if (handed_over && !imported.empty()) {
    // If the text cannot be parsed, the table stays empty. That is safe: the
    // outcome of identifiers of the predecessor's epoch is then unknown.
    static_cast<void>(actions_.Import(imported, now));
  }

  const bool keyed = service_->placement == placement_kind::kKeyed;
  // Separately owned keys return to their buckets: their former owners have no
  // valid lease any more, or get a grant without them before anything else.
  ClearKeySlots();
  owners_.BeginTenure(keyed ? service_->buckets : 0);
  for (const auto& [target, buckets] : newest_map.buckets) {
    const std::string& name = target;
    const auto found =
        std::find_if(targets_.begin(), targets_.end(),
                     [&](const target_config& t) { return t.name == name; });
    if (found == targets_.end()) {
      continue;
    }
    const int owner = owner_index_[found - targets_.begin()];
    for (const int bucket : buckets) {
      if (!std::binary_search(homed_buckets_.begin(), homed_buckets_.end(),
                              bucket)) {
        continue;
      }
      if (handed_over) {
        owners_.InheritLease(bucket, owner, now);
      } else {
        owners_.SetDesiredOwner(bucket, owner);
      }
    }
  }
  for (int bucket = 0; keyed && bucket < service_->buckets; ++bucket) {
    dispatcher_->SetOwner(bucket, kNoTarget);
  }
  map_ = range_map{epoch, 0, {}, {}};
  dispatcher_->Resume();
  PlanOwners(now);
}

std::string range_steward::ExportActions(time_point now) const {
  return actions_.Export(now, kMaxHandoverBodyBytes);
}

void range_steward::ContinueInEpoch(uint64_t epoch) {
  epoch_ = epoch;
  map_.epoch = epoch;
  actions_.ContinueIn(epoch);
}

void range_steward::Resume() {
  active_ = true;
  dispatcher_->Resume();
}

void range_steward::Suspend(time_point now, steward_output& out) {
  active_ = false;
  std::vector<dispatch_decision> decisions;
  dispatcher_->Suspend(now, decisions);
  ApplyDecisions(decisions, now, out);
}

void range_steward::StopAccepting(time_point now, steward_output& out) {
  stopped_accepting_ = true;
  std::vector<dispatch_decision> decisions;
  dispatcher_->Suspend(now, decisions);
  ApplyDecisions(decisions, now, out);
}

void range_steward::Step(time_point now, time_point acting_until,
                         steward_output& out) {
  acting_until_ = acting_until;
  dispatcher_->SetAuthorityEnd(acting_until);
  UpdateTargetUsability(now);
  if (balance_ && balance_->DecayIfDue(now) && active_) {
    PlanOwners(now);
  }
  AdvanceKeyMoves();
  ownership_step step;
  owners_.Step(
      now, acting_until, [this](int bucket) { return IsBucketRunning(bucket); },
      step);
  ApplyOwnerChanges(step);
  for (const lease_grant& order : step.grants) {
    const target_config* target = TargetAt(order.target);
    if (target == nullptr) {
      continue;
    }
    std::vector<int> numbers;
    numbers.reserve(order.buckets.size());
    for (const int bucket : order.buckets) {
      numbers.push_back(ExternalBucketNumber(bucket));
    }
    out.actions.push_back(
        grant_action{range_, target->name, target->address, epoch_, order.seq,
                     order.echo_us, order.lease_us, std::move(numbers),
                     acting_until.time_since_epoch().count()});
  }
  std::vector<dispatch_decision> decisions;
  dispatcher_->Tick(now, decisions);
  ApplyDecisions(decisions, now, out);
  actions_.Expire(now);
}

void range_steward::ApplyOwnerChanges(const ownership_step& step) {
  for (const owner_change& change : step.changes) {
    target_index owner = kNoTarget;
    if (change.target >= 0) {
      const target_config* target = TargetAt(change.target);
      owner =
          target == nullptr ? kNoTarget : dispatcher_->FindTarget(target->name);
    }
    if (change.bucket < service_->buckets) {
      dispatcher_->SetOwner(change.bucket, owner);
      continue;
    }
    for (const auto& [key_hash, key] : keys_) {
      if (key.slot == change.bucket) {
        dispatcher_->SetKeyOwner(key_hash, owner);
      }
    }
  }
  if (!step.changes.empty()) {
    RebuildMap();
  }
}

std::map<std::string, std::vector<int>> range_steward::BucketsByTarget(
    int (bucket_owners::*target_of)(int bucket) const) const {
  std::map<std::string, std::vector<int>> buckets;
  for (const int bucket : homed_buckets_) {
    const int index = (owners_.*target_of)(bucket);
    const target_config* target = index < 0 ? nullptr : TargetAt(index);
    if (target != nullptr) {
      buckets[target->name].push_back(bucket);
    }
  }
  return buckets;
}

void range_steward::RebuildMap() {
  auto buckets = BucketsByTarget(&bucket_owners::Owner);
  if (buckets != map_.buckets) {
    map_.buckets = std::move(buckets);
    ++map_.seq;
  }
}

range_map range_steward::HolderMap() const {
  return range_map{
      map_.epoch, map_.seq + 1, BucketsByTarget(&bucket_owners::Holder), {}};
}

int range_steward::ExternalBucketNumber(int bucket) const {
  const int buckets = service_->buckets;
  return bucket < buckets ? bucket : first_slot_number_ + bucket - buckets;
}

bool range_steward::OnGrantEnded(const grant_ended& ended, time_point now) {
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].name != ended.target) {
      continue;
    }
    const int target = owner_index_[i];
    switch (ended.end) {
      case grant_end::kAccepted:
        owners_.OnAck(target, ended.seq, ended.clock_us, now);
        break;
      case grant_end::kRefused:
        if (ended.epoch > epoch_) {
          return false;
        }
        owners_.OnRefused(target, 0, ended.clock_us, now);
        break;
      case grant_end::kFailed:
        owners_.OnFailed(target, ended.seq);
        break;
    }
  }
  return true;
}

void range_steward::UpdateTargetUsability(time_point now) {
  bool changed = false;
  // At the start of a tenure, no target has answered yet. Treating the targets
  // as down would refuse every request until they do. Pooled services need no
  // lease, so their targets are tried at once.
  const bool in_grace_period = service_->placement == placement_kind::kPooled &&
                               now < tenure_began_at_ + kTargetGracePeriod;
  for (size_t i = 0; i < targets_.size(); ++i) {
    const target_index index = dispatcher_->FindTarget(targets_[i].name);
    const bool leased = owners_.HasValidLease(owner_index_[i], now);
    const target_usability previous = dispatcher_->Target(index).usability;
    target_usability usability = target_usability::kUsable;
    if (draining_[i]) {
      usability = target_usability::kDraining;
    } else if (!leased && !in_grace_period) {
      usability = target_usability::kDown;
    }
    if (usability != previous) {
      dispatcher_->SetTargetUsability(index, usability, now);
      changed = true;
    }
  }
  // A target may still count as answering when its lease expires. If owners
  // were planned only then, it would keep its buckets for good, and their keys
  // would stay unserved.
  std::vector<bool> answering;
  for (const int target : owner_index_) {
    answering.push_back(owners_.AnsweredRecently(target, now));
  }
  if (answering != was_answering_) {
    was_answering_ = std::move(answering);
    changed = true;
  }
  if (changed) {
    PlanOwners(now);
  }
}

void range_steward::PlanOwners(time_point now) {
  if (homed_buckets_.empty() || targets_.empty()) {
    return;
  }
  std::map<int, target_index> position;
  std::vector<placement_target> targets;
  for (size_t i = 0; i < targets_.size(); ++i) {
    position[owner_index_[i]] = static_cast<target_index>(i);
    targets.push_back(placement_target{
        !draining_[i] && owners_.AnsweredRecently(owner_index_[i], now), 1});
  }
  const auto position_of = [&](int owner) {
    const auto found = position.find(owner);
    return found == position.end() ? kNoTarget : found->second;
  };
  std::vector<target_index> owners;
  owners.reserve(homed_buckets_.size());
  for (const int bucket : homed_buckets_) {
    owners.push_back(position_of(owners_.DesiredOwner(bucket)));
  }
  std::vector<placed_key> keys;
  for (const auto& [key_hash, key] : keys_) {
    const int wanted = key.pending_owner >= 0 ? key.pending_owner
                                              : owners_.DesiredOwner(key.slot);
    keys.push_back(placed_key{key_hash, key.bucket, position_of(wanted)});
  }
  balance_state state;
  state.buckets = homed_buckets_;
  state.owners = owners;
  state.targets = targets;
  state.keys = keys;
  state.balance_weight = service_->balance_weight;
  state.allow_rebalance = allow_rebalance_;
  for (const placement_move& move : balance_->Plan(state)) {
    if (move.single_key) {
      MoveKey(move);
    } else {
      owners_.SetDesiredOwner(move.bucket, owner_index_[move.to]);
    }
  }
}

void range_steward::MoveKey(const placement_move& move) {
  const int new_owner = owner_index_[move.to];
  const auto found = keys_.find(move.key_hash);
  if (found == keys_.end()) {
    const bool full =
        free_key_slots_.empty() &&
        owners_.size() - service_->buckets >= kMaxKeySlotsPerRange;
    if (new_owner == owners_.DesiredOwner(move.bucket) || full) {
      return;
    }
    key_slot key;
    key.bucket = move.bucket;
    key.pending_owner = new_owner;
    if (free_key_slots_.empty()) {
      key.slot = owners_.AddKeySlot();
    } else {
      key.slot = free_key_slots_.back();
      free_key_slots_.pop_back();
    }
    keys_.emplace(move.key_hash, key);
    // No attempt of the key starts until its new owner has been granted it.
    dispatcher_->SetKeyOwner(move.key_hash, kNoTarget);
    return;
  }
  key_slot& key = found->second;
  key.returning_to_bucket = new_owner == owners_.DesiredOwner(key.bucket);
  key.pending_owner = -1;
  owners_.SetDesiredOwner(key.slot, key.returning_to_bucket ? -1 : new_owner);
}

void range_steward::AdvanceKeyMoves() {
  for (auto it = keys_.begin(); it != keys_.end();) {
    key_slot& key = it->second;
    const auto running = running_by_key_.find(it->first);
    const bool is_running = running != running_by_key_.end();
    // Attempts at the bucket's owner must end before another target gets the
    // key. Otherwise two targets would run requests of the key at once.
    if (key.pending_owner >= 0 && !is_running) {
      owners_.SetDesiredOwner(key.slot, key.pending_owner);
      key.pending_owner = -1;
    }
    if (key.returning_to_bucket && owners_.Holder(key.slot) < 0 &&
        !is_running) {
      dispatcher_->ClearKeyOwner(it->first);
      free_key_slots_.push_back(key.slot);
      it = keys_.erase(it);
      continue;
    }
    ++it;
  }
}

void range_steward::ClearKeySlots() {
  for (const auto& [key_hash, key] : keys_) {
    dispatcher_->ClearKeyOwner(key_hash);
  }
  keys_.clear();
  free_key_slots_.clear();
}

const target_config* range_steward::TargetAt(int owners_index) const {
  for (size_t i = 0; i < owner_index_.size(); ++i) {
    if (owner_index_[i] == owners_index) {
      return &targets_[i];
    }
  }
  return nullptr;
}

bool range_steward::IsBucketRunning(int bucket) const {
  const auto found = running_by_bucket_.find(bucket);
  return found != running_by_bucket_.end() && found->second > 0;
}

bool range_steward::IsTargetLeased(std::string_view target,
                                   time_point now) const {
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].name == target) {
      return owners_.HasValidLease(owner_index_[i], now);
    }
  }
  return false;
}

int range_steward::UnownedBucketCount() const {
  return static_cast<int>(
      std::count_if(homed_buckets_.begin(), homed_buckets_.end(),
                    [this](int bucket) { return owners_.Owner(bucket) < 0; }));
}

int range_steward::OrganisationIndex(std::string_view organisation) {
  const auto [found, inserted] = organisations_.try_emplace(
      std::string(organisation), static_cast<int>(organisations_.size()));
  return found->second;
}

}  // namespace foxtailspread
