#include "foxtailspread/object_sync.h"

#include <algorithm>

namespace foxtailspread {

duration backoff::RecordFailure() {
  delay_ =
      delay_ == duration{0} ? initial_delay_ : std::min(delay_ * 2, max_delay_);
  return delay_;
}

object_sync::object_sync(std::string host, std::string zone, sync_timing timing)
    : host_(std::move(host)),
      zone_(std::move(zone)),
      timing_(timing),
      watch_backoff_(timing.retry_first, timing.retry_most) {}

void object_sync::Tick(time_point now, size_t rank, action_list& out) {
  if (!started_) {
    started_ = true;
    last_beacon_time_ = now;
  }
  const bool watch_due = watch_call_id_ == 0 && now >= next_watch_time_;
  if (watch_due && ShouldWatch(now, rank)) {
    StartWatch(now, out);
  }
  if (IsWatcher() && list_call_id_ == 0 && now >= next_list_time_) {
    next_list_time_ = now + timing_.list_period;
    platform_action call;
    call.call_id = next_call_id_++;
    call.kind = platform_call_kind::kListHosts;
    list_call_id_ = call.call_id;
    out.push_back(std::move(call));
  }
}

bool object_sync::ShouldWatch(time_point now, size_t rank) const {
  // A restarted host reads all objects from the platform itself: a
  // neighbour's copy may be older than the state that this host had acted on
  // before its restart.
  if (!synced_) {
    return true;
  }
  if (IsWatcher()) {
    return true;
  }
  const duration watcher_timeout =
      timing_.beacon_silence + timing_.rank_stagger * static_cast<int>(rank);
  return now >= last_beacon_time_ + watcher_timeout || (!beacon_ && rank == 0);
}

void object_sync::StartWatch(time_point now, action_list& out) {
  platform_action call;
  call.call_id = next_call_id_++;
  call.kind = platform_call_kind::kWatch;
  call.since = synced_ ? cache_.revision() : 0;
  call.wait_us = synced_ ? timing_.watch_wait.count() : 0;
  watch_call_id_ = call.call_id;
  next_watch_time_ = now;
  out.push_back(std::move(call));
}

std::vector<object_change> object_sync::OnPlatformEnded(
    const platform_ended& ended, time_point now) {
  platform_answers_ = ended.end != platform_end::kFailed;
  if (ended.call_id == watch_call_id_) {
    return OnWatchEnded(ended, now);
  }
  if (ended.call_id == list_call_id_) {
    list_call_id_ = 0;
    if (ended.end == platform_end::kOk && IsWatcher() &&
        ended.leaving != beacon_->leaving) {
      beacon_->leaving = ended.leaving;
      ++beacon_->seq;
      beacon_changed_ = true;
    }
    return {};
  }
  const auto found = write_calls_.find(ended.call_id);
  if (found == write_calls_.end()) {
    return {};
  }
  const std::string key = found->second;
  write_calls_.erase(found);
  return OnWriteCallEnded(key, ended, now);
}

std::vector<object_change> object_sync::OnWatchEnded(
    const platform_ended& ended, time_point now) {
  watch_call_id_ = 0;
  if (ended.end != platform_end::kOk) {
    next_watch_time_ = now + watch_backoff_.RecordFailure();
    return {};
  }
  watch_backoff_.RecordSuccess();
  const bool first_read = !synced_;
  synced_ = true;
  std::vector<object_change> new_changes = cache_.Apply(ended.changes);
  // The first read only fills the cache. The watcher is the host that the
  // zone's beacon names, or is chosen by rank if there is no beacon. A watch
  // that was in flight when another host's beacon arrived must not make this
  // host the watcher again: each such end would take the role back, and both
  // hosts would keep watching forever.
  const bool may_become_watcher = !beacon_ && !first_read;
  const bool beacon_timed_out =
      now >= last_beacon_time_ + timing_.beacon_silence;
  if (may_become_watcher || IsWatcher() || beacon_timed_out) {
    std::vector<std::string> leaving =
        beacon_ ? beacon_->leaving : std::vector<std::string>{};
    beacon_ = watch_beacon{zone_, host_, beacon_ ? beacon_->seq + 1 : 1,
                           std::move(leaving)};
    beacon_changed_ = true;
    last_beacon_time_ = now;
  }
  return new_changes;
}

std::vector<object_change> object_sync::OnWriteCallEnded(
    const std::string& key, const platform_ended& ended, time_point now) {
  write_state& state = writes_.at(key);
  state.call_id = 0;
  switch (ended.end) {
    case platform_end::kOk:
    case platform_end::kConflict:
      state.retry_backoff.RecordSuccess();
      state.must_read_first = false;
      if (cache_.ApplyChange(ended.object)) {
        return {ended.object};
      }
      return {};
    case platform_end::kMissing:
      state.must_read_first = false;
      return {};
    case platform_end::kFailed:
      // The write may have taken effect. The object is read before the next
      // write, so that the write is neither repeated nor lost.
      state.must_read_first = true;
      state.next_attempt_time = now + state.retry_backoff.RecordFailure();
      return {};
    case platform_end::kRefused:
      state.next_attempt_time = now + state.retry_backoff.RecordFailure();
      return {};
  }
  return {};
}

std::vector<object_change> object_sync::OnRelayed(const change_batch& batch) {
  return cache_.Apply(batch);
}

bool object_sync::OnBeacon(const watch_beacon& beacon, time_point now) {
  if (beacon.zone != zone_) {
    return false;
  }
  // After a beacon timeout, two hosts may have become watchers. The one with
  // the lower name remains, so that the zone settles on one of them.
  const bool other_watcher = beacon_ && beacon.watcher != beacon_->watcher;
  if (other_watcher && beacon_->watcher < beacon.watcher &&
      now < last_beacon_time_ + timing_.beacon_silence) {
    return false;
  }
  if (beacon_ && !other_watcher && beacon.seq <= beacon_->seq) {
    return false;
  }
  beacon_ = beacon;
  last_beacon_time_ = now;
  beacon_changed_ = true;
  return true;
}

bool object_sync::TakeBeaconChanged() {
  return std::exchange(beacon_changed_, false);
}

bool object_sync::Write(std::string_view key, std::string value, time_point now,
                        action_list& out) {
  auto found = writes_.find(key);
  if (found == writes_.end()) {
    const write_state initial_state{
        .retry_backoff = backoff{timing_.retry_first, timing_.retry_most}};
    found = writes_.emplace(std::string(key), initial_state).first;
  }
  write_state& state = found->second;
  if (state.call_id != 0 || now < state.next_attempt_time) {
    return false;
  }
  platform_action call;
  call.call_id = next_call_id_++;
  call.key = key;
  if (state.must_read_first) {
    call.kind = platform_call_kind::kGet;
  } else {
    const object_change* cached = cache_.Find(key);
    call.kind = platform_call_kind::kPut;
    call.if_revision = cached == nullptr ? 0 : cached->revision;
    call.value = std::move(value);
  }
  state.call_id = call.call_id;
  write_calls_[call.call_id] = std::string(key);
  out.push_back(std::move(call));
  return true;
}

}  // namespace foxtailspread
