#include "foxtailspread/load/load_board.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "foxtailspread/load/target_load.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// A host counts for as many sharing periods after its last record, and for
/// this time at least.
constexpr int kTtlPeriods = 3;
constexpr duration kMinHostTtl{milliseconds{400}};

/// A load is told again after this time also if it has not changed: half of
/// the time for which the hosts use it, so that one datagram may be lost.
constexpr duration kRepeatPeriod{load_view::kTtl * 2 / 5};

/// A target that no host has told of for this long is forgotten.
constexpr duration kTargetTtl{std::chrono::seconds{10}};

/// Time over which events count towards a rate.
constexpr duration kRateTime{std::chrono::seconds{1}};

/// Number of answers that a mean latency covers, a few seconds of a busy
/// target.
constexpr double kLatencySampleCount = 40.0;

/// Change of a rate or a latency that is worth telling, in parts of it.
constexpr double kToldChange = 0.2;

/// Sums in one datagram, 10 KB; the loads that targets report take the
/// rest.
constexpr size_t kMaxSums = 1000;

/// Rates are told in tenths.
double Tenths(double value) { return std::round(value * 10.0) / 10.0; }

bool IsNoteworthy(double before, double after) {
  return std::abs(after - before) > 1.0 + kToldChange * before;
}

}  // namespace

duration HostLoadTtl(size_t host_count) {
  return std::max<duration>(kMinHostTtl,
                            LoadSharingPeriod(host_count) * kTtlPeriods);
}

double event_rate::Weight(time_point now) const {
  return std::exp(-std::chrono::duration<double>(now - updated_at_) /
                  std::chrono::duration<double>(kRateTime));
}

void event_rate::Add(uint32_t count, time_point now) {
  if (!started_at_) {
    started_at_ = now;
    updated_at_ = now;
  }
  sum_ = sum_ * Weight(now) + count;
  updated_at_ = now;
}

double event_rate::PerSecond(time_point now) const {
  if (!started_at_) {
    return 0.0;
  }
  // The events of a young rate are of less than the whole time.
  const duration age =
      std::max<duration>(now - *started_at_, milliseconds{200});
  const double covered =
      1.0 - std::exp(-std::chrono::duration<double>(age) /
                     std::chrono::duration<double>(kRateTime));
  return sum_ * Weight(now) / covered /
         std::chrono::duration<double>(kRateTime).count();
}

void load_board::RemoveRequests(const host_requests& former) {
  for (const activity_sample& sample : former.at_targets) {
    targets_[sample.target].in_flight -= sample.in_flight;
  }
}

void load_board::DropLateHosts(time_point now) {
  const duration ttl = HostLoadTtl(host_count_);
  std::erase_if(hosts_, [&](const auto& name_and_host) {
    const bool is_late = now - name_and_host.second.heard_at >= ttl;
    if (is_late) {
      RemoveRequests(name_and_host.second);
    }
    return is_late;
  });
}

void load_board::NoteActivity(time_point now) {
  if (began_at_ && now - active_at_ >= HostLoadTtl(host_count_)) {
    began_at_ = now;
  }
  active_at_ = now;
}

void load_board::OnRecord(const loads_record& record, time_point now) {
  NoteActivity(now);
  reported_.Add(record.loads, now);
  for (const load_sample& sample : record.loads) {
    target_state& state = targets_[sample.target];
    const time_point reported_at = now - milliseconds{sample.age_ms};
    state.named_at = now;
    if (!state.reported_at || reported_at > *state.reported_at) {
      state.reported = sample.load.occupied();
      state.reported_at = reported_at;
    }
  }
  if (record.host.empty()) {
    return;  // Of an earlier release, or of a host that tells all others.
  }
  if (!began_at_) {
    began_at_ = now;
  }
  DropLateHosts(now);
  host_requests& host = hosts_[record.host];
  if (record.sequence <= host.sequence) {
    return;
  }
  RemoveRequests(host);
  host = {.sequence = record.sequence,
          .heard_at = now,
          .at_targets = record.activity};
  for (const activity_sample& sample : record.activity) {
    target_state& state = targets_[sample.target];
    state.in_flight += sample.in_flight;
    state.named_at = now;
    state.served.Add(sample.served, now);
    state.rejected.Add(sample.rejected, now);
    if (sample.rejected > 0) {
      // The host that was rejected sends nothing until it hears of this.
      state.told_at.reset();
    }
    if (sample.unqueued > 0) {
      const double weight =
          state.latency_us > 0.0
              ? std::min(1.0, sample.unqueued / kLatencySampleCount)
              : 1.0;
      state.latency_us += weight * (sample.latency_us - state.latency_us);
    }
  }
}

load_sum load_board::Sum(uint32_t target, const target_state& state,
                         time_point now) {
  load_sum sum{
      .target = target,
      .occupied = static_cast<uint32_t>(std::max<int64_t>(state.in_flight, 0)),
      .served_per_second = Tenths(state.served.PerSecond(now)),
      .rejected_per_second = Tenths(state.rejected.PerSecond(now)),
      .latency_us = static_cast<uint32_t>(state.latency_us)};
  if (state.reported_at && now - *state.reported_at < load_view::kTtl) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - *state.reported_at);
    sum.occupied = static_cast<uint32_t>(std::max(state.reported, 0));
    sum.age_ms = static_cast<uint32_t>(age.count());
    sum.is_reported = true;
  }
  return sum;
}

loads_record load_board::TakeChanged(time_point now) {
  loads_record changed{.loads = reported_.TakeFresh(now)};
  NoteActivity(now);
  DropLateHosts(now);
  std::erase_if(targets_, [now](const auto& target_and_state) {
    return now - target_and_state.second.named_at >= kTargetTtl;
  });
  if (!began_at_ || now - *began_at_ < HostLoadTtl(host_count_)) {
    return changed;
  }
  std::vector<std::pair<target_state*, load_sum>> to_tell;
  for (auto& [target, state] : targets_) {
    const load_sum sum = Sum(target, state, now);
    // Occupied slots that the target reported are told with `loads`.
    const bool is_changed =
        (!sum.is_reported && sum.occupied != state.told.occupied) ||
        sum.is_reported != state.told.is_reported ||
        IsNoteworthy(state.told.served_per_second, sum.served_per_second) ||
        IsNoteworthy(state.told.rejected_per_second, sum.rejected_per_second);
    if (!state.told_at || is_changed || now - *state.told_at >= kRepeatPeriod) {
      to_tell.emplace_back(&state, sum);
    }
  }
  if (to_tell.size() > kMaxSums) {
    std::nth_element(to_tell.begin(), to_tell.begin() + kMaxSums, to_tell.end(),
                     [](const auto& a, const auto& b) {
                       return a.first->told_at < b.first->told_at;
                     });
    to_tell.resize(kMaxSums);
  }
  for (const auto& [state, sum] : to_tell) {
    state->told = sum;
    state->told_at = now;
    changed.sums.push_back(sum);
  }
  return changed;
}

}  // namespace foxtailspread
