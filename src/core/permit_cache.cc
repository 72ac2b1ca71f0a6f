#include "foxtailspread/permit_cache.h"

#include <algorithm>

namespace foxtailspread {
namespace {

constexpr duration kPermitValidity{std::chrono::milliseconds{500}};

/// A request without an answer for this time is repeated. A later answer still
/// counts.
constexpr duration kAnswerTimeout{std::chrono::milliseconds{100}};

/// After this time without an answer a host sends by its own share.
constexpr duration kIssuerTimeout{std::chrono::milliseconds{400}};

/// Without requests for this time nothing is known of the issuer.
constexpr duration kSilenceTtl{std::chrono::seconds{10}};

}  // namespace

bool permit_cache::IsIssuerSilent(time_point now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kIssuerTimeout;
}

duration permit_cache::OwnInterval() const {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1.0 / own_rate_));
}

bool permit_cache::HasPermit(time_point now) const {
  const bool is_issued = std::any_of(
      permits_.begin(), permits_.end(), [now](const permit& issued) {
        return issued.usable_from <= now && now <= issued.usable_until;
      });
  return is_issued || (IsIssuerSilent(now) && own_rate_ > 0.0 &&
                       now >= Outlook(now).next_chance);
}

void permit_cache::Use(time_point now) {
  DropExpired(now);
  const auto usable = std::find_if(
      permits_.begin(), permits_.end(),
      [now](const permit& issued) { return issued.usable_from <= now; });
  if (usable != permits_.end()) {
    permits_.erase(usable);
  } else {
    own_sent_at_ = now;
  }
}

void permit_cache::DropExpired(time_point now) {
  std::erase_if(permits_, [now](const permit& issued) {
    return issued.usable_until < now;
  });
  std::erase_if(pending_, [now](const pending_request& pending) {
    return now - pending.sent_at >= kPermitValidity;
  });
}

size_t permit_cache::RequestedCount(time_point now) const {
  size_t count = 0;
  for (const pending_request& pending : pending_) {
    count += now - pending.sent_at < kAnswerTimeout ? pending.count : 0;
  }
  return count;
}

std::optional<permit_cache::request> permit_cache::Request(size_t waiting,
                                                           duration max_delay,
                                                           time_point now) {
  DropExpired(now);
  const size_t requested = RequestedCount(now);
  const size_t expected = permits_.size() + requested;
  if (waiting <= expected || max_delay < duration{0} ||
      now + max_delay < next_chance_) {
    return std::nullopt;
  }
  // One request at a time finds out whether a silent issuer is back.
  if (IsIssuerSilent(now) && requested > 0) {
    return std::nullopt;
  }
  if (!unanswered_since_ || now - *unanswered_since_ > kSilenceTtl) {
    unanswered_since_ = now;
  }
  const auto count = static_cast<uint32_t>(waiting - expected);
  pending_.push_back(
      {.sequence = ++last_sequence_, .count = count, .sent_at = now});
  return request{.sequence = last_sequence_,
                 .demand = {.count = count, .max_delay = max_delay}};
}

void permit_cache::OnGrant(uint64_t sequence, const permit_grant& grant,
                           time_point now) {
  const auto answered =
      std::find_if(pending_.begin(), pending_.end(),
                   [sequence](const pending_request& pending) {
                     return pending.sequence == sequence;
                   });
  if (answered == pending_.end()) {
    return;
  }
  const time_point requested_at = answered->sent_at;
  const bool is_complete = grant.delays.size() >= answered->count;
  pending_.erase(answered);
  unanswered_since_.reset();
  for (const duration delay : grant.delays) {
    permits_.push_back(
        {.usable_from = now + delay,
         .usable_until = requested_at + delay + kPermitValidity});
  }
  next_chance_ = is_complete ? time_point{} : now + grant.next_delay;
}

permit_cache::outlook permit_cache::Outlook(time_point now) const {
  outlook expected{
      .usable_at = {}, .requested = 0, .next_chance = next_chance_};
  for (const permit& issued : permits_) {
    if (now <= issued.usable_until) {
      expected.usable_at.push_back(issued.usable_from);
    }
  }
  if (IsIssuerSilent(now)) {
    if (own_rate_ <= 0.0) {
      expected.next_chance = time_point::max();
      return expected;
    }
    const time_point first =
        *unanswered_since_ + kIssuerTimeout + Part(OwnInterval(), phase_);
    expected.next_chance =
        own_sent_at_ ? std::max(first, *own_sent_at_ + OwnInterval()) : first;
    return expected;
  }
  expected.requested = RequestedCount(now);
  return expected;
}

}  // namespace foxtailspread
