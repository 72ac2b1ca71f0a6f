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

void bucket_owners::Begin(int bucket_count) {
  buckets_.assign(bucket_count, bucket_state{});
  for (target_state& target : targets_) {
    target.pending.reset();
    target.echo.reset();
    target.replied = false;
    target.dirty = true;
    target.lease_until = time_point{};
  }
}

void bucket_owners::Inherit(int bucket, int target, time_point now) {
  buckets_[bucket].holder = target;
  buckets_[bucket].wanted = target;
  target_state& state = targets_[target];
  state.lease_bound =
      std::max(state.lease_bound, now + MaxLeaseDuration(timing_.lease));
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

void bucket_owners::Want(int bucket, int target) {
  buckets_[bucket].wanted = target;
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
    if (OrderDue(targets_[t], now)) {
      out.orders.push_back(MakeOrder(t, now, acting_until));
    }
  }
}

void bucket_owners::StepBucket(int bucket, time_point now,
                               const std::function<bool(int)>& is_running,
                               ownership_step& out) {
  bucket_state& state = buckets_[bucket];
  if (state.owner >= 0 && !Leased(state.owner, now)) {
    SetOwner(bucket, -1, out);
  }
  if (state.holder >= 0 && now >= targets_[state.holder].lease_bound) {
    state.holder = -1;
    state.revoking = false;
  }
  if (state.holder >= 0 && state.wanted != state.holder) {
    SetOwner(bucket, -1, out);
    // Requests that run for the bucket may finish before it is revoked: the
    // lease still covers them.
    if (!state.revoking && !is_running(bucket)) {
      state.revoking = true;
      targets_[state.holder].dirty = true;
    }
    return;
  }
  if (state.holder < 0 && state.wanted >= 0 && targets_[state.wanted].echo) {
    state.holder = state.wanted;
    state.revoking = false;
    targets_[state.holder].dirty = true;
    return;
  }
  const bool confirmed = state.holder >= 0 && !state.revoking &&
                         !targets_[state.holder].dirty &&
                         Leased(state.holder, now);
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
  ++changes_;
  out.changes.push_back(owner_change{bucket, target});
}

bool bucket_owners::OrderDue(const target_state& target, time_point now) const {
  if (!target.listed && !target.dirty && target.idle) {
    return false;
  }
  if (target.failed && now < target.last_sent + timing_.renew / 2) {
    return false;
  }
  if (target.pending && now < target.pending->sent_at + timing_.answer_wait) {
    return false;
  }
  return target.dirty || now >= target.last_sent + timing_.renew;
}

grant_order bucket_owners::MakeOrder(int index, time_point now,
                                     time_point acting_until) {
  target_state& target = targets_[index];
  sent_order grant;
  grant.seq = ++target.seq;
  grant.sent_at = now;
  grant.echo = target.echo;
  if (grant.echo) {
    // Without a clock reading there is no lease, and a grant without a lease
    // must not name buckets: delivered late, it would add them to a lease that
    // was granted in the meantime.
    grant.buckets = GrantedTo(index);
    // The target took the reading before `received_at`, so its lease ends no
    // later than `received_at + lease` on this host's clock. Limiting that to
    // the end of the steward's authority keeps the lease from outlasting it.
    const duration authority_left =
        HolderShare(acting_until - grant.echo->received_at);
    grant.lease = std::clamp(authority_left, duration{0}, timing_.lease);
    target.lease_bound =
        std::max(target.lease_bound,
                 grant.echo->received_at + MaxLeaseDuration(grant.lease));
  }
  target.last_sent = now;
  target.failed = false;
  target.idle = grant.buckets.empty();
  // Cleared when the target confirms this grant, unless the set of buckets
  // that it should hold has changed by then.
  target.dirty = true;
  target.pending = grant;
  return grant_order{index, grant.seq, grant.echo ? grant.echo->clock_us : 0,
                     grant.lease.count(), grant.buckets};
}

std::vector<int> bucket_owners::GrantedTo(int target) const {
  std::vector<int> granted;
  for (int bucket = 0; bucket < size(); ++bucket) {
    if (buckets_[bucket].holder == target && !buckets_[bucket].revoking) {
      granted.push_back(bucket);
    }
  }
  return granted;
}

void bucket_owners::TakeReading(target_state& target, int64_t clock_us,
                                time_point asked_at, time_point now) {
  target.echo = reading{clock_us, asked_at, now};
  target.last_reply = now;
  target.replied = true;
}

void bucket_owners::OnAck(int index, uint64_t seq, int64_t clock_us,
                          time_point now) {
  target_state& target = targets_[index];
  if (!target.pending || target.pending->seq != seq) {
    return;
  }
  const sent_order grant = std::move(*target.pending);
  target.pending.reset();
  if (grant.echo) {
    target.lease_until = std::max(
        target.lease_until, grant.echo->asked_at + HolderShare(grant.lease));
  }
  TakeReading(target, clock_us, grant.sent_at, now);
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
  target.dirty = !grant.echo || grant.buckets != GrantedTo(index);
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
  TakeReading(target, clock_us, asked_at, now);
  target.dirty = true;
}

void bucket_owners::OnFailed(int index, uint64_t seq) {
  target_state& target = targets_[index];
  if (target.pending && target.pending->seq == seq) {
    target.pending.reset();
    target.failed = true;
  }
}

bool bucket_owners::Leased(int target, time_point now) const {
  return now < targets_[target].lease_until;
}

bool bucket_owners::Answering(int target, time_point now) const {
  const target_state& state = targets_[target];
  return state.replied && now < state.last_reply + timing_.answer_wait * 2;
}

std::optional<int64_t> bucket_owners::TargetClock(int target,
                                                  time_point now) const {
  const target_state& state = targets_[target];
  if (!state.echo) {
    return std::nullopt;
  }
  return state.echo->clock_us + (now - state.echo->received_at).count();
}

}  // namespace foxtailspread
