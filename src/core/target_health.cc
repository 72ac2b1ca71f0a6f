#include "foxtailspread/target_health.h"

#include <algorithm>
#include <utility>

namespace foxtailspread {
namespace {

/// Requests of one host at a target at once before the hosts are known.
constexpr double kLimitLeast = 1.0;

/// Weight of a new latency in the running mean. One host sees one or two
/// answers a second of a target, so the mean covers some five seconds.
constexpr double kLatencyWeight = 0.15;

/// Weight of one outcome in the share of failures.
constexpr double kFailureWeight = 0.15;

/// Above this share of failures a target is left alone for a while: one that
/// fails part of its requests answers them faster than one that works, and so
/// would draw more and more of them.
constexpr double kFailureShareMost = 0.4;

/// Upper bound of the requests of one host at a target where its slots and
/// the hosts are not known.
constexpr double kLimitMost = 15.0;
/// The hosts together send a target up to so many times its slots.
constexpr double kMostOfSlots = 3.0;
/// The least upper bound: a host's requests come in clumps, also in calm.
constexpr double kMostLeast = 3.0;

/// An answer later than this part of the objective tells of a queue at the
/// target; work is better kept here, where it can still go elsewhere or be
/// refused in time.
constexpr double kLateShare = 0.8;
/// The limit stands where one answer in four is late, whatever its size and
/// the rate of answers: then log(1 / kShrinkLate) / log(kGrow) is three.
constexpr double kShrinkLate = 0.83;
constexpr double kGrow = 1.06;
constexpr double kShrinkShed = 0.7;

/// A target that shed so many requests of one host in a row is full of the
/// other hosts': its slots are shared out by pauses from then on.
constexpr int kShedsUntilPause = 3;
constexpr double kShrinkFull = 0.5;
/// The hosts together may ask for so many times what a full target can do, so
/// that it is never idle.
constexpr double kFullOversubscription = 2.0;

/// How long a target is left alone after one failure to connect, and at most
/// when it keeps failing.
constexpr duration kPauseFirst{std::chrono::milliseconds{300}};
constexpr duration kPauseMost{std::chrono::seconds{3}};
/// The same for a target that fails part of its requests.
constexpr duration kFailingFor{std::chrono::seconds{2}};

/// A load told longer ago says nothing of now.
constexpr duration kToldFor{std::chrono::seconds{1}};
/// Time in which a told slowness loses most of what it says.
constexpr duration kSlownessMemory{std::chrono::milliseconds{400}};
/// Weight of a told slowness in the usual one.
constexpr double kSlownessWeight = 0.02;

/// An owner of keys without one of them is otherwise well: left alone,
/// it would keep requests for all its other keys waiting. So many in a row
/// without one served mean that another target has its address.
constexpr int kNotOwnerMost = 4;

}  // namespace

target_health::target_health(int slots, duration first_latency)
    : slots_(std::max(slots, 1)),
      limit_(2.0 * std::max(slots, 1)),
      most_(kLimitMost),
      least_(kLimitLeast),
      latency_(first_latency) {}

void target_health::SetShare(int most, size_t hosts) {
  const double part = static_cast<double>(slots_) /
                      static_cast<double>(std::max<size_t>(hosts, 1));
  most_ = std::max(kMostLeast, kMostOfSlots * part);
  if (most > 0) {
    most_ = std::min<double>(most_, most);
  }
  least_ = std::min(part, most_);
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
  // Less than one request at a time is one with a pause behind it.
  return last_sent_ + duration{static_cast<int64_t>(
                          static_cast<double>(latency_.count()) / limit_)};
}

void target_health::NoteShed() {
  if (limit_ > 1.0) {
    limit_ = std::max({1.0, least_, limit_ * kShrinkShed});
  }
  if (++sheds_in_row_ >= kShedsUntilPause) {
    const double least = std::min(1.0, kFullOversubscription * least_);
    limit_ = std::max(least, std::min(limit_, 1.0) * kShrinkFull);
  }
}

void target_health::OnSent(time_point now) {
  ++in_flight_;
  last_sent_ = now;
  sent_.push_back(now);
}

void target_health::AddLatency(duration latency) {
  const double mixed =
      static_cast<double>(latency_.count()) * (1.0 - kLatencyWeight) +
      static_cast<double>(latency.count()) * kLatencyWeight;
  const duration off = std::chrono::abs(latency - latency_);
  deviation_ +=
      std::chrono::duration_cast<duration>((off - deviation_) * kLatencyWeight);
  latency_ = duration{static_cast<int64_t>(mixed)};
}

void target_health::Shrink(double factor) {
  limit_ = std::max(least_, limit_ * factor);
}

void target_health::OnEnded(attempt_verdict verdict, time_point sent,
                            duration objective, time_point now) {
  in_flight_ = std::max(in_flight_ - 1, 0);
  const auto found = std::find(sent_.begin(), sent_.end(), sent);
  if (found != sent_.end()) {
    sent_.erase(found);
  }
  const duration took = now - sent;
  switch (verdict) {
    case attempt_verdict::kServed:
      ++served_;
      pause_ = duration{0};
      not_owner_in_row_ = 0;
      if (std::exchange(sheds_in_row_, 0) >= kShedsUntilPause) {
        limit_ = std::max(limit_, 1.0);
      }
      failure_share_ *= 1.0 - kFailureWeight;
      AddLatency(took);
      recent_sum_ += took;
      ++recent_count_;
      if (took > std::chrono::duration_cast<duration>(objective * kLateShare)) {
        Shrink(kShrinkLate);
      } else {
        limit_ = std::min(most_, limit_ * kGrow);
      }
      return;
    case attempt_verdict::kShed:
      NoteShed();
      AddLatency(std::max(latency_, objective / 2));
      return;
    case attempt_verdict::kFailed:
    case attempt_verdict::kBroken:
      if (verdict == attempt_verdict::kBroken && sheds_in_row_ > 0) {
        // A target that sheds resets further connections.
        NoteShed();
      }
      failure_share_ += kFailureWeight * (1.0 - failure_share_);
      if (failure_share_ > kFailureShareMost) {
        failing_until_ = now + kFailingFor;
        failure_share_ = kFailureShareMost / 2;
      }
      return;
    case attempt_verdict::kNotOwner:
      if (++not_owner_in_row_ < kNotOwnerMost) {
        return;
      }
      [[fallthrough]];
    case attempt_verdict::kUnreachable:
    case attempt_verdict::kMisdirected:
      pause_ = std::clamp(pause_ * 2, kPauseFirst, kPauseMost);
      unreachable_until_ = now + pause_;
      return;
    case attempt_verdict::kTimedOut:
      AddLatency(took);
      Shrink(kShrinkLate);
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

void target_health::OnTold(const told_load& load, time_point told_at,
                           duration latency) {
  if (latency > duration{0}) {
    shared_latency_ = latency;
  }
  if (told_at <= told_at_) {
    return;
  }
  told_ = load;
  told_at_ = told_at;
  usual_slowness_ += kSlownessWeight * (load.slowness - usual_slowness_);
}

const told_load* target_health::Told(time_point now) const {
  const bool fresh = told_at_ != time_point{} && now - told_at_ < kToldFor;
  return fresh ? &told_ : nullptr;
}

duration target_health::ExpectedByTold(time_point now) const {
  const auto later = std::upper_bound(sent_.begin(), sent_.end(), told_at_);
  const auto sent_since = sent_.end() - later;
  const double ahead = static_cast<double>(told_.occupied() + sent_since + 1);
  const double queue = std::max(1.0, ahead / slots_);
  const double age = std::chrono::duration<double>(now - told_at_) /
                     std::chrono::duration<double>(kSlownessMemory);
  const double weight = std::max(0.0, 1.0 - age);
  const double slow =
      1.0 + (told_.slowness - usual_slowness_) * weight / usual_slowness_;
  const duration base =
      shared_latency_ > duration{0} ? shared_latency_ : latency_;
  return Part(base, queue * slow);
}

duration target_health::ExpectedLatency(time_point now) const {
  if (Told(now) != nullptr) {
    const duration oldest =
        sent_.empty() ? duration{0} : duration{now - sent_.front()};
    return std::max(ExpectedByTold(now), oldest);
  }
  // A frozen target answers nothing that could raise its mean: the age of the
  // oldest request in flight shows it.
  duration seen = latency_;
  if (!sent_.empty()) {
    seen = std::max(seen, now - sent_.front());
  }
  return seen + seen * in_flight_ / slots_;
}

}  // namespace foxtailspread
