// Permits for targets that limit the rate of requests from all hosts together.
//
// Load pattern: a target in need accepts a few requests per second. Each host
// knows only its own requests, and there may be more hosts than the target
// accepts requests in a second.

#include <algorithm>
#include <utility>
#include <vector>

#include "foxtailspread/hash.h"
#include "foxtailspread/request_router.h"
#include "foxtailspread/waiting_policy.h"
#include "request_router_state.h"

namespace foxtailspread {
namespace {

/// Fraction of a limit that all hosts together use while none of them can reach
/// the issuer of permits. Another part of the hosts, which they cannot reach
/// either, may have an issuer that gives out all of it.
constexpr double kFractionWithoutIssuer = 0.5;

/// What a target has stated is kept for this time after it was last listed, in
/// case it is listed again.
constexpr duration kUnlistedTtl{std::chrono::minutes{1}};

/// For this time hosts are told that a limit has ended.
constexpr duration kEndedLimitTtl{std::chrono::seconds{10}};

std::pair<std::string, uint64_t> KeyOf(const target_life& life) {
  return {life.id, life.started};
}

}  // namespace

bool request_router::HasPermit(const target& candidate, time_point now) {
  return !candidate.limit.per_second() || candidate.permits.HasPermit(now);
}

double request_router::SendPhase(const target_entry& entry) const {
  constexpr uint64_t kSteps = 1000;
  return static_cast<double>(HashParts({entry.life.id}, settings_.seed) %
                             kSteps) /
         kSteps;
}

void request_router::RequestPermits(target& limited, size_t waiting,
                                    const request& pending_request,
                                    time_point now, router_actions& out) const {
  const double rate = SendRate(*limited.limit.per_second());
  limited.permits.SetOwnRate(host_count_is_known_
                                 ? rate * kFractionWithoutIssuer /
                                       static_cast<double>(host_count_)
                                 : 0.0);
  const auto permits = limited.permits.Request(
      waiting, pending_request.wait_deadline - now, now);
  if (permits) {
    out.emplace_back(permit_request_action{
        .sequence = permits->sequence,
        .limit = limited.limit.Sample(limited.entry.life, now),
        .demand = permits->demand});
  }
}

void request_router::RequestPooledPermit(
    std::span<target* const> without_permit, size_t usable_count,
    const request& pending_request, time_point now, router_actions& out) {
  constexpr size_t kChoices = 2;
  const size_t count = without_permit.size();
  if (usable_count > 0) {
    // The request itself goes elsewhere; a later one uses the permit.
    const size_t choice = random_() % (count + usable_count);
    if (choice < kChoices * count) {
      RequestPermits(*without_permit[choice % count], 1, pending_request, now,
                     out);
    }
    return;
  }
  const size_t first = random_() % count;
  const size_t actions_before = out.size();
  for (size_t i = 0; i < count && out.size() == actions_before; ++i) {
    RequestPermits(*without_permit[(first + i) % count], 1, pending_request,
                   now, out);
  }
}

std::optional<permit_cache::outlook> request_router::PermitOutlook(
    const service& service_state, const target* owner, time_point now) {
  if (service_state.keyed) {
    return owner != nullptr && owner->limit.per_second()
               ? std::optional{owner->permits.Outlook(now)}
               : std::nullopt;
  }
  std::optional<permit_cache::outlook> merged;
  for (const auto& candidate : service_state.targets) {
    if (!AcceptsRequests(*candidate, now) ||
        !candidate->health.IsReachable(now)) {
      continue;
    }
    if (!candidate->limit.per_second()) {
      return std::nullopt;
    }
    const permit_cache::outlook own = candidate->permits.Outlook(now);
    if (!merged) {
      merged = own;
      continue;
    }
    merged->usable_at.insert(merged->usable_at.end(), own.usable_at.begin(),
                             own.usable_at.end());
    merged->requested += own.requested;
    merged->next_chance = std::min(merged->next_chance, own.next_chance);
  }
  if (merged) {
    std::sort(merged->usable_at.begin(), merged->usable_at.end());
  }
  return merged;
}

std::optional<refusal_reason> request_router::PermitRefusalFor(
    service& service_state, const request& pending_request, target* owner,
    time_point now) {
  const auto outlook = PermitOutlook(service_state, owner, now);
  if (!outlook) {
    return std::nullopt;
  }
  const size_t ahead =
      QueueFor(service_state, owner)
          .CountAtLeastAsUrgent(pending_request.matched_route->rank);
  const duration max_wait = MaxWait(pending_request.matched_route->objective,
                                    LikelyLatency(service_state, owner, now));
  const bool may_get_permit = outlook->IsPossible(ahead, now + max_wait);
  return may_get_permit ? std::nullopt
                        : std::optional{refusal_reason::kTargetLimited};
}

void request_router::RefuseWithoutPermit(service& service_state, target* owner,
                                         time_point now, router_actions& out) {
  const auto outlook = PermitOutlook(service_state, owner, now);
  if (!outlook) {
    return;
  }
  std::vector<request*> hopeless;
  size_t ahead = 0;
  for (auto& [rank, requests] : QueueFor(service_state, owner).ranks()) {
    for (request& waiting : requests) {
      if (outlook->IsPossible(ahead, waiting.wait_deadline)) {
        ++ahead;
      } else {
        hopeless.push_back(&waiting);
      }
    }
  }
  for (request* waiting : hopeless) {
    Refuse(*waiting, refusal_reason::kTargetLimited, now, out);
  }
}

request_router::target* request_router::FindTarget(const target_life& life) {
  for (const auto& [name, service_state] : services_) {
    if (target* found = service_state->FindLife(life)) {
      return found;
    }
  }
  return nullptr;
}

void request_router::OnPermitReply(const permit_reply& reply, time_point now,
                                   router_actions& out) {
  OnLimits(std::span{&reply.limit, 1}, now, out);
  target* limited = FindTarget(reply.limit.target);
  if (limited == nullptr) {
    return;
  }
  limited->permits.OnGrant(reply.sequence, reply.grant, now);
  service& service_state = FindOrAddService(limited->entry.service);
  target* owner = service_state.keyed ? limited : nullptr;
  waiting_queue& queue = QueueFor(service_state, owner);
  SendFromQueue(queue, now, out);
  const auto usable_at = limited->permits.Outlook(now).usable_at;
  auto next_usable = usable_at.begin();
  for (auto& [rank, requests] : queue.ranks()) {
    for (const request& waiting : requests) {
      if (next_usable == usable_at.end()) {
        break;
      }
      Schedule(*next_usable++, waiting.id);
    }
  }
  RefuseWithoutPermit(service_state, owner, now, out);
}

target_statements request_router::Statements(time_point now) const {
  target_statements statements;
  for (const auto& [name, service_state] : services_) {
    for (const auto& known_target : service_state->targets) {
      AddStatements(*known_target, now, statements);
    }
  }
  return statements;
}

target_statements request_router::StatementsOf(
    std::span<const target_life> targets, time_point now) {
  target_statements statements;
  for (const target_life& life : targets) {
    if (const target* stating = FindTarget(life)) {
      AddStatements(*stating, now, statements);
    }
  }
  return statements;
}

void request_router::AddStatements(const target& stating, time_point now,
                                   target_statements& statements) {
  const target_limit& limit = stating.limit;
  const bool ended_recently =
      limit.changed_at() && now - *limit.changed_at() < kEndedLimitTtl;
  if (limit.per_second() || ended_recently) {
    statements.limits.push_back(limit.Sample(stating.entry.life, now));
  }
  if (stating.leaving_since) {
    statements.leaving.push_back(
        {.target = stating.entry.life,
         .age_ms = AgeInMs(*stating.leaving_since, now)});
  }
}

std::vector<target_life> request_router::StatingTargetsMissingIn(
    const target_statements& known_elsewhere, time_point now) const {
  std::vector<target_life> missing;
  for (const auto& [name, service_state] : services_) {
    for (const auto& known_target : service_state->targets) {
      const target_life& life = known_target->entry.life;
      const target_limit& limit = known_target->limit;
      const auto limit_elsewhere = std::ranges::find(
          known_elsewhere.limits, life, &limit_sample::target);
      const bool is_limit_missing =
          limit_elsewhere == known_elsewhere.limits.end()
              ? limit.per_second().has_value()
              : limit_elsewhere->per_second != limit.per_second() &&
                    limit.IsNewerThan(*limit_elsewhere, now);
      const bool is_leaving_missing =
          known_target->leaving_since &&
          std::ranges::find(known_elsewhere.leaving, life,
                            &leaving_sample::target) ==
              known_elsewhere.leaving.end();
      if (is_limit_missing || is_leaving_missing) {
        missing.push_back(life);
      }
    }
  }
  return missing;
}

void request_router::OnStatements(const target_statements& statements,
                                  time_point now, router_actions& out) {
  OnLimits(statements.limits, now, out);
  for (const leaving_sample& sample : statements.leaving) {
    const time_point since = now - std::chrono::milliseconds{sample.age_ms};
    if (target* leaving = FindTarget(sample.target)) {
      RecordLeaving(*leaving, since, false, out);
    } else {
      KeptStatements(sample.target, now).leaving_since = since;
    }
  }
}

void request_router::OnLeavingTarget(const target_life& life, time_point now,
                                     router_actions& out) {
  if (target* leaving = FindTarget(life)) {
    RecordLeaving(*leaving, now, true, out);
  }
}

limit_sample request_router::Limit(const limit_sample& sample, time_point now) {
  const target* known_target = FindTarget(sample.target);
  return known_target == nullptr
             ? sample
             : known_target->limit.Sample(sample.target, now);
}

void request_router::OnLimits(std::span<const limit_sample> limits,
                              time_point now, router_actions& out) {
  for (const limit_sample& sample : limits) {
    target* known_target = FindTarget(sample.target);
    if (known_target == nullptr) {
      KeptStatements(sample.target, now).limit.Update(sample, now);
      continue;
    }
    if (!known_target->limit.Update(sample, now)) {
      continue;
    }
    out.emplace_back(
        limit_change_action{.service = known_target->entry.service,
                            .target = sample.target,
                            .notice = {.per_second = sample.per_second},
                            .is_own_answer = false});
    if (!sample.per_second) {
      SendWaiting(FindOrAddService(known_target->entry.service), now, out);
    }
  }
}

void request_router::KeepStatements(const target& unlisted, time_point now) {
  if (unlisted.limit.per_second() || unlisted.leaving_since ||
      unlisted.resumes_at > now) {
    kept_statements& kept = KeptStatements(unlisted.entry.life, now);
    kept.limit = unlisted.limit;
    kept.leaving_since = unlisted.leaving_since;
    kept.backoff_until = unlisted.backoff_until;
    kept.resumes_at = unlisted.resumes_at;
  }
}

request_router::kept_statements& request_router::KeptStatements(
    const target_life& life, time_point now) {
  std::erase_if(unlisted_statements_, [now](const auto& life_and_kept) {
    return now - life_and_kept.second.kept_at > kUnlistedTtl;
  });
  kept_statements& kept = unlisted_statements_[KeyOf(life)];
  kept.kept_at = now;
  return kept;
}

void request_router::RestoreStatements(target& listed) {
  const auto kept = unlisted_statements_.find(KeyOf(listed.entry.life));
  if (kept != unlisted_statements_.end()) {
    listed.limit = kept->second.limit;
    listed.leaving_since = kept->second.leaving_since;
    listed.backoff_until = kept->second.backoff_until;
    listed.resumes_at = kept->second.resumes_at;
    unlisted_statements_.erase(kept);
  }
}

}  // namespace foxtailspread
