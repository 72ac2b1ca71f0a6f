#include "foxtailspread/bucket_owners.h"

#include <algorithm>

namespace foxtailspread {
namespace {

/// Returns the longest time on the granter's clock for which a lease of
/// `validity` can last when the holder's clock runs slower by the assumed
/// drift.
constexpr duration MaxLeaseDuration(duration validity) {
  return validity + validity / kClockDriftDivisor + duration{1};
}

}  // namespace

void bucket_owners::BeginTenure(int bucket_count) {
  buckets_.assign(bucket_count, bucket_state{});
  for (target_state& target : targets_) {
    target.pending.reset();
    target.last_reading.reset();
    target.has_replied = false;
    target.dirty = true;
    target.lease_valid_until = time_point{};
  }
}

void bucket_owners::InheritLease(int bucket, int target, time_point now) {
  buckets_[bucket].holder = target;
  buckets_[bucket].desired_owner = target;
  target_state& state = targets_[target];
  state.latest_lease_end =
      std::max(state.latest_lease_end, now + MaxLeaseDuration(timing_.lease));
}

std::vector<int> bucket_owners::SetTargets(std::span<const std::string> names) {
  for (target_state& target : targets_) {
    target.listed = false;
  }
  std::vector<int> indices;
  for (const std::string& name : names) {
    auto found =
        std::find_if(targets_.begin(), targets_.end(),
                     [&](const target_state& t) { return t.name == name; });
    if (found == targets_.end()) {
      targets_.push_back(target_state{});
      targets_.back().name = name;
      found = targets_.end() - 1;
    }
    found->listed = true;
    indices.push_back(static_cast<int>(found - targets_.begin()));
  }
  return indices;
}

void bucket_owners::SetDesiredOwner(int bucket, int target) {
  buckets_[bucket].desired_owner = target;
}

int bucket_owners::AddKeySlot() {
  buckets_.push_back(bucket_state{});
  return size() - 1;
}

void bucket_owners::Step(time_point now, time_point acting_until,
                         const std::function<bool(int)>& is_running,
                         ownership_step& out) {
  const bool acting = now < acting_until;
  for (int bucket = 0; bucket < size(); ++bucket) {
    if (acting) {
      StepBucket(bucket, now, is_running, out);
    } else {
      SetOwner(bucket, -1, out);
    }
  }
  if (!acting) {
    return;
  }
  for (int t = 0; t < static_cast<int>(targets_.size()); ++t) {
    if (GrantDue(targets_[t], now)) {
      out.grants.push_back(MakeGrant(t, now, acting_until));
    }
  }
}

void bucket_owners::StepBucket(int bucket, time_point now,
                               const std::function<bool(int)>& is_running,
                               ownership_step& out) {
  bucket_state& state = buckets_[bucket];
  if (state.owner >= 0 && !HasValidLease(state.owner, now)) {
    SetOwner(bucket, -1, out);
  }
  if (state.holder >= 0 && now >= targets_[state.holder].latest_lease_end) {
    state.holder = -1;
    state.revoking = false;
  }
  if (state.holder >= 0 && state.desired_owner != state.holder) {
    SetOwner(bucket, -1, out);
    // Requests that run for the bucket may finish before it is revoked: the
    // lease still covers them.
    if (!state.revoking && !is_running(bucket)) {
      state.revoking = true;
      targets_[state.holder].dirty = true;
    }
    return;
  }
  if (state.holder < 0 && state.desired_owner >= 0 &&
      targets_[state.desired_owner].last_reading) {
    state.holder = state.desired_owner;
    state.revoking = false;
    targets_[state.holder].dirty = true;
    return;
  }
  const bool confirmed = state.holder >= 0 && !state.revoking &&
                         !targets_[state.holder].dirty &&
                         HasValidLease(state.holder, now);
  if (confirmed) {
    SetOwner(bucket, state.holder, out);
  }
}

void bucket_owners::SetOwner(int bucket, int target, ownership_step& out) {
  bucket_state& state = buckets_[bucket];
  if (state.owner == target) {
    return;
  }
  state.owner = target;
  ++change_count_;
  out.changes.push_back(owner_change{bucket, target});
}

bool bucket_owners::GrantDue(const target_state& target, time_point now) const {
  if (!target.listed && !target.dirty && target.last_grant_empty) {
    return false;
  }
  if (target.last_grant_failed && now < target.last_sent + timing_.renew / 2) {
    return false;
  }
  if (target.pending && now < target.pending->sent_at + timing_.answer_wait) {
    return false;
  }
  return target.dirty || now >= target.last_sent + timing_.renew;
}

lease_grant bucket_owners::MakeGrant(int index, time_point now,
                                     time_point acting_until) {
  target_state& target = targets_[index];
  sent_grant grant;
  grant.seq = ++target.seq;
  grant.sent_at = now;
  grant.last_reading = target.last_reading;
  if (grant.last_reading) {
    // Without a clock reading there is no lease, and a grant without a lease
    // must not name buckets: delivered late, it would add them to a lease that
    // was granted in the meantime.
    grant.buckets = GrantedBuckets(index);
    // The target took the reading before `received_at`, so its lease ends no
    // later than `received_at + lease` on this host's clock. Limiting that to
    // the end of the steward's authority keeps the lease from outlasting it.
    const duration authority_left =
        HolderShare(acting_until - grant.last_reading->received_at);
    grant.lease = std::clamp(authority_left, duration{0}, timing_.lease);
    target.latest_lease_end =
        std::max(target.latest_lease_end, grant.last_reading->received_at +
                                              MaxLeaseDuration(grant.lease));
  }
  target.last_sent = now;
  target.last_grant_failed = false;
  target.last_grant_empty = grant.buckets.empty();
  // Cleared when the target confirms this grant, unless the set of buckets
  // that it should hold has changed by then.
  target.dirty = true;
  target.pending = grant;
  return lease_grant{index, grant.seq,
                     grant.last_reading ? grant.last_reading->clock_us : 0,
                     grant.lease.count(), grant.buckets};
}

std::vector<int> bucket_owners::GrantedBuckets(int target) const {
  std::vector<int> granted;
  for (int bucket = 0; bucket < size(); ++bucket) {
    if (buckets_[bucket].holder == target && !buckets_[bucket].revoking) {
      granted.push_back(bucket);
    }
  }
  return granted;
}

void bucket_owners::RecordClockReading(target_state& target, int64_t clock_us,
                                       time_point asked_at, time_point now) {
  target.last_reading = clock_reading{clock_us, asked_at, now};
  target.last_reply = now;
  target.has_replied = true;
}

void bucket_owners::OnAck(int index, uint64_t seq, int64_t clock_us,
                          time_point now) {
  target_state& target = targets_[index];
  if (!target.pending || target.pending->seq != seq) {
    return;
  }
  const sent_grant grant = std::move(*target.pending);
  target.pending.reset();
  if (grant.last_reading) {
    target.lease_valid_until =
        std::max(target.lease_valid_until,
                 grant.last_reading->requested_at + HolderShare(grant.lease));
  }
  RecordClockReading(target, clock_us, grant.sent_at, now);
  // A grant replaces the whole set, so the target has released every bucket
  // that the confirmed grant does not name.
  for (bucket_state& state : buckets_) {
    if (state.holder == index && state.revoking) {
      const int bucket = static_cast<int>(&state - buckets_.data());
      if (!std::binary_search(grant.buckets.begin(), grant.buckets.end(),
                              bucket)) {
        state.holder = -1;
        state.revoking = false;
      }
    }
  }
  target.dirty = !grant.last_reading || grant.buckets != GrantedBuckets(index);
}

void bucket_owners::OnRefused(int index, uint64_t seen_seq, int64_t clock_us,
                              time_point now) {
  target_state& target = targets_[index];
  if (!target.pending) {
    return;
  }
  const time_point asked_at = target.pending->sent_at;
  target.pending.reset();
  target.seq = std::max(target.seq, seen_seq);
  RecordClockReading(target, clock_us, asked_at, now);
  target.dirty = true;
}

void bucket_owners::OnFailed(int index, uint64_t seq) {
  target_state& target = targets_[index];
  if (target.pending && target.pending->seq == seq) {
    target.pending.reset();
    target.last_grant_failed = true;
  }
}

bool bucket_owners::HasValidLease(int target, time_point now) const {
  return now < targets_[target].lease_valid_until;
}

bool bucket_owners::AnsweredRecently(int target, time_point now) const {
  const target_state& state = targets_[target];
  return state.has_replied && now < state.last_reply + timing_.answer_wait * 2;
}

std::optional<int64_t> bucket_owners::TargetClock(int target,
                                                  time_point now) const {
  const target_state& state = targets_[target];
  if (!state.last_reading) {
    return std::nullopt;
  }
  return state.last_reading->clock_us +
         (now - state.last_reading->received_at).count();
}

}  // namespace foxtailspread
