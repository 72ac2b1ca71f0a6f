#include "foxtailspread/target_health.h"

#include <algorithm>
#include <utility>

namespace foxtailspread {
namespace {

/// Lower bound of a host's concurrent requests at a target before the number
/// of hosts is known.
constexpr double kDefaultMinLimit = 1.0;

/// Weight of a new latency in the running mean. One host receives one or two
/// responses per second from a target, so the mean covers about five seconds.
constexpr double kLatencyWeight = 0.15;

/// Weight of one outcome in the failure ratio.
constexpr double kFailureWeight = 0.15;

/// Above this failure ratio a target gets no requests for a while: a target
/// that fails some of its requests responds faster than one that works, and so
/// would attract more and more of them.
constexpr double kMaxFailureRatio = 0.4;

/// Upper bound of a host's concurrent requests at a target before the number
/// of hosts is known.
constexpr double kDefaultMaxLimit = 15.0;
/// Upper bound of the concurrent requests of all hosts at a target, as a
/// multiple of its slots.
constexpr double kMaxSlotsMultiple = 3.0;
/// Lower bound of max_limit_: a host's requests arrive in bursts even under
/// light load.
constexpr double kMinMaxLimit = 3.0;

/// A response later than this fraction of the objective indicates a queue at
/// the target. Requests are better queued at the host, which can still send
/// them to another target or reject them in time.
constexpr double kLateFraction = 0.8;
/// The limit is in equilibrium where one response in four is late, whatever the
/// limit and the rate of responses: log(1 / kLateDecreaseFactor) /
/// log(kIncreaseFactor) is three, so three responses in time make up for one
/// late response.
constexpr double kLateDecreaseFactor = 0.83;
constexpr double kIncreaseFactor = 1.06;
constexpr double kShedDecreaseFactor = 0.7;

/// After this many consecutive sheds the target is full of other hosts'
/// requests. The limit then falls below one request, which inserts a pause
/// after each request and so divides the slots among the hosts.
constexpr int kMinShedsForPause = 3;
constexpr double kFullDecreaseFactor = 0.5;
/// Requests that all hosts together send to a full target, as a multiple of its
/// capacity; above 1 so that it is never idle.
constexpr double kFullOversubscription = 2.0;

/// Backoff after a failed connection: initial and maximum. It doubles with each
/// further failure.
constexpr duration kInitialBackoff{std::chrono::milliseconds{300}};
constexpr duration kMaxBackoff{std::chrono::seconds{3}};
/// How long a target gets no requests after its failure ratio was too high.
constexpr duration kFailingPeriod{std::chrono::seconds{2}};

/// A reported load that is older than this is not used.
constexpr duration kReportTtl{std::chrono::seconds{1}};
/// Age at which a reported slowness has no weight left.
constexpr duration kSlownessDecayTime{std::chrono::milliseconds{400}};
/// Weight of a new reported slowness in the running mean.
constexpr double kSlownessWeight = 0.02;

/// A target that does not own one key may be healthy otherwise; avoiding it
/// would block the requests for all its other keys. This many consecutive
/// kNotOwner outcomes without a served request mean that another target has
/// taken over the address.
constexpr int kMaxConsecutiveNotOwner = 4;

}  // namespace

target_health::target_health(int slots, duration initial_latency)
    : slots_(std::max(slots, 1)),
      limit_(2.0 * std::max(slots, 1)),
      max_limit_(kDefaultMaxLimit),
      min_limit_(kDefaultMinLimit),
      mean_latency_(initial_latency) {}

void target_health::SetLimits(int max_requests, size_t host_count) {
  const double slots_per_host =
      static_cast<double>(slots_) /
      static_cast<double>(std::max<size_t>(host_count, 1));
  max_limit_ = std::max(kMinMaxLimit, kMaxSlotsMultiple * slots_per_host);
  if (max_requests > 0) {
    max_limit_ = std::min<double>(max_limit_, max_requests);
  }
  min_limit_ = std::min(slots_per_host, max_limit_);
  limit_ = std::clamp(limit_, min_limit_, max_limit_);
}

bool target_health::HasCapacity(time_point now) const {
  if (limit_ >= 1.0) {
    return in_flight_ < static_cast<int>(limit_);
  }
  return in_flight_ == 0 && now >= PausedUntil();
}

time_point target_health::PausedUntil() const {
  if (limit_ >= 1.0) {
    return last_sent_at_;
  }
  // A limit below 1 means one request at a time, with a pause after it.
  return last_sent_at_ +
         duration{static_cast<int64_t>(
             static_cast<double>(mean_latency_.count()) / limit_)};
}

void target_health::OnShed() {
  if (limit_ > 1.0) {
    limit_ = std::max({1.0, min_limit_, limit_ * kShedDecreaseFactor});
  }
  if (++consecutive_sheds_ >= kMinShedsForPause) {
    const double min_limit = std::min(1.0, kFullOversubscription * min_limit_);
    limit_ = std::max(min_limit, std::min(limit_, 1.0) * kFullDecreaseFactor);
  }
}

void target_health::OnBackoff() {
  limit_ = std::max(min_limit_, std::min(limit_, 1.0));
}

void target_health::OnSent(time_point now) {
  ++in_flight_;
  last_sent_at_ = now;
  sent_times_.push_back(now);
}

void target_health::AddLatency(duration latency) {
  const double mean =
      static_cast<double>(mean_latency_.count()) * (1.0 - kLatencyWeight) +
      static_cast<double>(latency.count()) * kLatencyWeight;
  const duration distance = std::chrono::abs(latency - mean_latency_);
  latency_deviation_ += std::chrono::duration_cast<duration>(
      (distance - latency_deviation_) * kLatencyWeight);
  mean_latency_ = duration{static_cast<int64_t>(mean)};
}

void target_health::ReduceLimit(double factor) {
  limit_ = std::max(min_limit_, limit_ * factor);
}

void target_health::OnEnded(attempt_verdict verdict, time_point sent_at,
                            duration objective, time_point now) {
  in_flight_ = std::max(in_flight_ - 1, 0);
  const auto found = std::find(sent_times_.begin(), sent_times_.end(), sent_at);
  if (found != sent_times_.end()) {
    sent_times_.erase(found);
  }
  const duration latency = now - sent_at;
  switch (verdict) {
    case attempt_verdict::kServed:
      ++served_;
      connect_backoff_ = duration{0};
      consecutive_not_owner_ = 0;
      if (std::exchange(consecutive_sheds_, 0) >= kMinShedsForPause) {
        limit_ = std::max(limit_, 1.0);
      }
      failure_ratio_ *= 1.0 - kFailureWeight;
      AddLatency(latency);
      recent_latency_sum_ += latency;
      ++recent_count_;
      if (latency >
          std::chrono::duration_cast<duration>(objective * kLateFraction)) {
        ReduceLimit(kLateDecreaseFactor);
      } else {
        limit_ = std::min(max_limit_, limit_ * kIncreaseFactor);
      }
      return;
    case attempt_verdict::kShed:
      OnShed();
      AddLatency(std::max(mean_latency_, objective / 2));
      return;
    case attempt_verdict::kFailed:
    case attempt_verdict::kBroken:
      if (verdict == attempt_verdict::kBroken && consecutive_sheds_ > 0) {
        // A target that sheds requests also resets further connections.
        OnShed();
      }
      failure_ratio_ += kFailureWeight * (1.0 - failure_ratio_);
      if (failure_ratio_ > kMaxFailureRatio) {
        failing_until_ = now + kFailingPeriod;
        failure_ratio_ = kMaxFailureRatio / 2;
      }
      return;
    case attempt_verdict::kNotOwner:
      if (++consecutive_not_owner_ < kMaxConsecutiveNotOwner) {
        return;
      }
      [[fallthrough]];
    case attempt_verdict::kUnreachable:
    case attempt_verdict::kMisdirected:
      connect_backoff_ =
          std::clamp(connect_backoff_ * 2, kInitialBackoff, kMaxBackoff);
      unreachable_until_ = now + connect_backoff_;
      return;
    case attempt_verdict::kTimedOut:
      AddLatency(latency);
      ReduceLimit(kLateDecreaseFactor);
      return;
    case attempt_verdict::kAbandoned:
    case attempt_verdict::kNotSent:
      return;
  }
}

std::pair<duration, uint32_t> target_health::TakeRecentLatency() {
  const uint32_t count = std::exchange(recent_count_, 0);
  const duration sum = std::exchange(recent_latency_sum_, duration{0});
  return {count == 0 ? duration{0} : sum / count, count};
}

void target_health::OnLoadReport(const reported_load& load,
                                 time_point reported_at,
                                 duration all_hosts_latency) {
  if (all_hosts_latency > duration{0}) {
    all_hosts_latency_ = all_hosts_latency;
  }
  if (reported_at <= reported_at_) {
    return;
  }
  reported_load_ = load;
  reported_at_ = reported_at;
  mean_slowness_ += kSlownessWeight * (load.slowness - mean_slowness_);
}

const reported_load* target_health::ReportedLoad(time_point now) const {
  const bool fresh =
      reported_at_ != time_point{} && now - reported_at_ < kReportTtl;
  return fresh ? &reported_load_ : nullptr;
}

size_t target_health::SentSince(time_point since) const {
  const auto first =
      std::upper_bound(sent_times_.begin(), sent_times_.end(), since);
  return static_cast<size_t>(sent_times_.end() - first);
}

duration target_health::ExpectedByReportedLoad(time_point now) const {
  const double requests_at_target =
      static_cast<double>(reported_load_.occupied() + 1) +
      static_cast<double>(SentSince(reported_at_));
  const double queue_factor = std::max(1.0, requests_at_target / slots_);
  const double relative_age =
      std::chrono::duration<double>(now - reported_at_) /
      std::chrono::duration<double>(kSlownessDecayTime);
  const double weight = std::max(0.0, 1.0 - relative_age);
  const double slowdown = 1.0 + (reported_load_.slowness - mean_slowness_) *
                                    weight / mean_slowness_;
  const duration base_latency =
      all_hosts_latency_ > duration{0} ? all_hosts_latency_ : mean_latency_;
  return Part(base_latency, queue_factor * slowdown);
}

duration target_health::ExpectedLatency(time_point now) const {
  if (ReportedLoad(now) != nullptr) {
    return std::max(ExpectedByReportedLoad(now), OldestAge(now));
  }
  // A frozen target sends no responses that could raise its mean latency; only
  // the age of the oldest request in flight reveals it.
  const duration latency = std::max(mean_latency_, OldestAge(now));
  return latency + latency * in_flight_ / slots_;
}

}  // namespace foxtailspread
