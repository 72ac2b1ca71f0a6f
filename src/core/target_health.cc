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
      most_(kDefaultMaxLimit),
      least_(kDefaultMinLimit),
      latency_(initial_latency) {}

void target_health::SetShare(int max_requests, size_t host_count) {
  const double slots_per_host =
      static_cast<double>(slots_) /
      static_cast<double>(std::max<size_t>(host_count, 1));
  most_ = std::max(kMinMaxLimit, kMaxSlotsMultiple * slots_per_host);
  if (max_requests > 0) {
    most_ = std::min<double>(most_, max_requests);
  }
  least_ = std::min(slots_per_host, most_);
  limit_ = std::clamp(limit_, least_, most_);
}

bool target_health::HasRoom(time_point now) const {
  if (limit_ >= 1.0) {
    return in_flight_ < static_cast<int>(limit_);
  }
  return in_flight_ == 0 && now >= PausedUntil();
}

time_point target_health::PausedUntil() const {
  if (limit_ >= 1.0) {
    return last_sent_;
  }
  // A limit below 1 means one request at a time, with a pause after it.
  return last_sent_ + duration{static_cast<int64_t>(
                          static_cast<double>(latency_.count()) / limit_)};
}

void target_health::NoteShed() {
  if (limit_ > 1.0) {
    limit_ = std::max({1.0, least_, limit_ * kShedDecreaseFactor});
  }
  if (++sheds_in_row_ >= kMinShedsForPause) {
    const double min_limit = std::min(1.0, kFullOversubscription * least_);
    limit_ = std::max(min_limit, std::min(limit_, 1.0) * kFullDecreaseFactor);
  }
}

void target_health::OnSent(time_point now) {
  ++in_flight_;
  last_sent_ = now;
  sent_.push_back(now);
}

void target_health::AddLatency(duration latency) {
  const double mean =
      static_cast<double>(latency_.count()) * (1.0 - kLatencyWeight) +
      static_cast<double>(latency.count()) * kLatencyWeight;
  const duration distance = std::chrono::abs(latency - latency_);
  deviation_ += std::chrono::duration_cast<duration>((distance - deviation_) *
                                                     kLatencyWeight);
  latency_ = duration{static_cast<int64_t>(mean)};
}

void target_health::Shrink(double factor) {
  limit_ = std::max(least_, limit_ * factor);
}

void target_health::OnEnded(attempt_verdict verdict, time_point sent_at,
                            duration objective, time_point now) {
  in_flight_ = std::max(in_flight_ - 1, 0);
  const auto found = std::find(sent_.begin(), sent_.end(), sent_at);
  if (found != sent_.end()) {
    sent_.erase(found);
  }
  const duration latency = now - sent_at;
  switch (verdict) {
    case attempt_verdict::kServed:
      ++served_;
      pause_ = duration{0};
      not_owner_in_row_ = 0;
      if (std::exchange(sheds_in_row_, 0) >= kMinShedsForPause) {
        limit_ = std::max(limit_, 1.0);
      }
      failure_share_ *= 1.0 - kFailureWeight;
      AddLatency(latency);
      recent_sum_ += latency;
      ++recent_count_;
      if (latency >
          std::chrono::duration_cast<duration>(objective * kLateFraction)) {
        Shrink(kLateDecreaseFactor);
      } else {
        limit_ = std::min(most_, limit_ * kIncreaseFactor);
      }
      return;
    case attempt_verdict::kShed:
      NoteShed();
      AddLatency(std::max(latency_, objective / 2));
      return;
    case attempt_verdict::kFailed:
    case attempt_verdict::kBroken:
      if (verdict == attempt_verdict::kBroken && sheds_in_row_ > 0) {
        // A target that sheds requests also resets further connections.
        NoteShed();
      }
      failure_share_ += kFailureWeight * (1.0 - failure_share_);
      if (failure_share_ > kMaxFailureRatio) {
        failing_until_ = now + kFailingPeriod;
        failure_share_ = kMaxFailureRatio / 2;
      }
      return;
    case attempt_verdict::kNotOwner:
      if (++not_owner_in_row_ < kMaxConsecutiveNotOwner) {
        return;
      }
      [[fallthrough]];
    case attempt_verdict::kUnreachable:
    case attempt_verdict::kMisdirected:
      pause_ = std::clamp(pause_ * 2, kInitialBackoff, kMaxBackoff);
      unreachable_until_ = now + pause_;
      return;
    case attempt_verdict::kTimedOut:
      AddLatency(latency);
      Shrink(kLateDecreaseFactor);
      return;
    case attempt_verdict::kAbandoned:
      return;
  }
}

std::pair<duration, uint32_t> target_health::TakeRecent() {
  const uint32_t count = std::exchange(recent_count_, 0);
  const duration sum = std::exchange(recent_sum_, duration{0});
  return {count == 0 ? duration{0} : sum / count, count};
}

void target_health::OnTold(const told_load& load, time_point reported_at,
                           duration all_hosts_latency) {
  if (all_hosts_latency > duration{0}) {
    shared_latency_ = all_hosts_latency;
  }
  if (reported_at <= told_at_) {
    return;
  }
  told_ = load;
  told_at_ = reported_at;
  usual_slowness_ += kSlownessWeight * (load.slowness - usual_slowness_);
}

const told_load* target_health::Told(time_point now) const {
  const bool fresh = told_at_ != time_point{} && now - told_at_ < kReportTtl;
  return fresh ? &told_ : nullptr;
}

duration target_health::ExpectedByTold(time_point now) const {
  const auto first_after_report =
      std::upper_bound(sent_.begin(), sent_.end(), told_at_);
  const auto sent_since = sent_.end() - first_after_report;
  const double requests_at_target =
      static_cast<double>(told_.occupied() + sent_since + 1);
  const double queue_factor = std::max(1.0, requests_at_target / slots_);
  const double relative_age = std::chrono::duration<double>(now - told_at_) /
                              std::chrono::duration<double>(kSlownessDecayTime);
  const double weight = std::max(0.0, 1.0 - relative_age);
  const double slowdown =
      1.0 + (told_.slowness - usual_slowness_) * weight / usual_slowness_;
  const duration base_latency =
      shared_latency_ > duration{0} ? shared_latency_ : latency_;
  return Part(base_latency, queue_factor * slowdown);
}

duration target_health::ExpectedLatency(time_point now) const {
  if (Told(now) != nullptr) {
    const duration oldest_age =
        sent_.empty() ? duration{0} : duration{now - sent_.front()};
    return std::max(ExpectedByTold(now), oldest_age);
  }
  // A frozen target sends no responses that could raise its mean latency; only
  // the age of the oldest request in flight reveals it.
  duration latency = latency_;
  if (!sent_.empty()) {
    latency = std::max(latency, now - sent_.front());
  }
  return latency + latency * in_flight_ / slots_;
}

}  // namespace foxtailspread
