#include "foxtailspread/request_front.h"

#include <algorithm>

#include "foxtailspread/bucket_homes.h"
#include "foxtailspread/hash.h"
#include "foxtailspread/placement.h"

namespace foxtailspread {
namespace {

/// Retry-After value for requests that this host can't route at present.
constexpr duration kRetryAfter{std::chrono::milliseconds{500}};
/// How long an unreachable host or range is left out when routing.
constexpr duration kUnreachableAvoidPeriod{std::chrono::seconds{1}};
/// When a forward takes longer than this, its host is probed.
constexpr duration kProbeDelay{std::chrono::milliseconds{150}};
constexpr duration kProbePeriod{std::chrono::milliseconds{50}};
/// A forward is abandoned when its host stays silent this long while probed.
constexpr duration kProbeSilenceTimeout{std::chrono::milliseconds{350}};
/// How long past the deadline to wait for the steward's answer. The steward
/// also ends the request at its deadline and knows whether it started. Without
/// the wait, the answer would arrive too late, and a request that was
/// only queued would be answered with the outcome "unknown".
constexpr duration kAnswerGracePeriod{std::chrono::milliseconds{30}};
constexpr size_t kMaxKeyBytes = 256;
/// Set in the IDs of requests that this host makes itself, without a caller.
constexpr uint64_t kInternalRequestBit = uint64_t{1} << 63;

bool IsInternalRequest(uint64_t request_id) {
  return (request_id & kInternalRequestBit) != 0;
}

int HttpStatusOf(error_code code) {
  switch (code) {
    case error_code::kUnauthenticated:
      return 401;
    case error_code::kForbidden:
      return 403;
    case error_code::kUnknownName:
      return 404;
    case error_code::kTooLarge:
      return 413;
    case error_code::kUnavailable:
      return 503;
    default:
      return 400;
  }
}

/// Returns the answer to another host when this host isn't the range's steward.
answer_action NotStewardAnswer(uint64_t request_id) {
  answer_action answer;
  answer.request_id = request_id;
  answer.status = kNotStewardHttpStatus;
  answer.code = "not-steward";
  answer.reason = "this host is not the range's steward";
  answer.remedy = "send it to the steward";
  return answer;
}

}  // namespace

void request_front::Configure(const deployment_config* config) {
  config_ = config;
  organisations_by_token_digest_.clear();
  home_zones_.clear();
  for (const organisation_config& organisation : config->organisations) {
    for (const std::string& digest : organisation.token_digests) {
      organisations_by_token_digest_[digest] = &organisation;
    }
  }
  for (const service_config& service : config->services) {
    if (service.placement == placement_kind::kKeyed) {
      home_zones_[service.name] = HomeZones(service);
    }
  }
  for (auto& [id, request] : requests_) {
    request.service = config->FindService(request.service_name);
  }
}

result<request_front::caller_context> request_front::Identify(
    std::string_view token_digest, std::string_view service) const {
  const auto found =
      organisations_by_token_digest_.find(std::string(token_digest));
  if (found == organisations_by_token_digest_.end()) {
    return error{error_code::kUnauthenticated, "",
                 "the credential is missing or not known",
                 "send the organisation's token as a bearer token"};
  }
  caller_context caller;
  caller.organisation = found->second;
  const auto& allowed = caller.organisation->services;
  const bool granted =
      std::find(allowed.begin(), allowed.end(), service) != allowed.end();
  caller.service = config_->FindService(service);
  // One answer for both cases, so that it doesn't reveal whether another
  // organisation's service exists.
  if (!granted || caller.service == nullptr) {
    return error{error_code::kUnknownName, std::string(service),
                 "no such service for this organisation",
                 "check the name or ask the operator for access"};
  }
  return caller;
}

void request_front::OnCallerRequest(const caller_request& request, bool ready,
                                    time_point now, steward_output& out) {
  if (!ready || config_ == nullptr) {
    Refuse(request.request_id,
           {error_code::kUnavailable, "",
            "this host has no current configuration yet",
            "come back after the stated time or use another host"},
           kRetryAfter, out,
           request.action.empty() ? request_outcome::kNotRun
                                  : request_outcome::kUnknown);
    return;
  }
  const auto caller = Identify(request.token_digest, request.service);
  if (!caller) {
    Refuse(request.request_id, caller.error(), duration{0}, out);
    return;
  }
  const service_config& service = *caller.value().service;
  const std::string& organisation = caller.value().organisation->name;
  if (request.key.empty() || request.key.size() > kMaxKeyBytes) {
    Refuse(request.request_id,
           {error_code::kOutOfRange, "key", "the key is empty or too long",
            "use 1 to 256 bytes"},
           duration{0}, out);
    return;
  }
  front_request new_request;
  new_request.request_id = request.request_id;
  new_request.organisation = organisation;
  new_request.service = &service;
  new_request.service_name = service.name;
  new_request.key = request.key;
  new_request.urgency_level = service.default_urgency;
  new_request.arrived_at = now;
  new_request.action = request.action;
  new_request.body_hash = request.body_hash;
  if (!request.urgency.empty()) {
    const result<urgency> level = ParseUrgency(request.urgency);
    if (!level) {
      Refuse(request.request_id, level.error(), duration{0}, out);
      return;
    }
    new_request.urgency_level = level.value();
  }
  const rule_config rule = config_->RuleFor(organisation, service.name);
  new_request.urgency_level =
      std::max(new_request.urgency_level, rule.most_urgent);
  if (request.deadline_us < 0 ||
      request.deadline_us > service.max_deadline.count()) {
    Refuse(request.request_id,
           {error_code::kOutOfRange, "deadline",
            "the deadline is outside what the service allows",
            "allow at most " +
                std::to_string(service.max_deadline.count() / 1000) + " ms"},
           duration{0}, out);
    return;
  }
  const duration allowed = request.deadline_us == 0
                               ? service.default_deadline
                               : duration{request.deadline_us};
  new_request.deadline = now + allowed;
  if (service.at_most_once && request.action.empty()) {
    Refuse(request.request_id,
           {error_code::kMissingField, "Foxtail-Action",
            "this service needs an action identifier",
            "get one from POST /v1/actions"},
           duration{0}, out);
    return;
  }
  Accept(std::move(new_request), now, out);
}

void request_front::OnMintRequest(const mint_request& request, bool ready,
                                  time_point now, steward_output& out) {
  if (!ready || config_ == nullptr) {
    Refuse(request.request_id,
           {error_code::kUnavailable, "",
            "this host has no current configuration yet",
            "come back after the stated time or use another host"},
           kRetryAfter, out);
    return;
  }
  const auto caller = Identify(request.token_digest, request.service);
  if (!caller) {
    Refuse(request.request_id, caller.error(), duration{0}, out);
    return;
  }
  if (!caller.value().service->at_most_once) {
    Refuse(request.request_id,
           {error_code::kMalformed, request.service,
            "the service takes no action identifiers",
            "send the request without one"},
           duration{0}, out);
    return;
  }
  front_request new_request;
  new_request.request_id = request.request_id;
  new_request.organisation = caller.value().organisation->name;
  new_request.service = caller.value().service;
  new_request.service_name = new_request.service->name;
  new_request.arrived_at = now;
  new_request.deadline = now + new_request.service->default_deadline;
  new_request.is_mint = true;
  new_request.range = actions_.NextRange(*new_request.service);
  if (const auto pooled_action =
          TakePooledAction(new_request.organisation, new_request.range)) {
    answer_action answer;
    answer.request_id = new_request.request_id;
    answer.outcome = request_outcome::kDone;
    answer.status = 200;
    answer.next_action = *pooled_action;
    out.actions.push_back(std::move(answer));
    return;
  }
  Accept(std::move(new_request), now, out);
}

void request_front::Accept(front_request request, time_point now,
                           steward_output& out) {
  const result<std::string> range = ChooseRange(request);
  if (!range) {
    Refuse(request.request_id, range.error(), duration{0}, out);
    return;
  }
  request.range = range.value();
  request.range_pinned = request.service->placement == placement_kind::kKeyed ||
                         !request.action.empty();
  request.give_up_at =
      std::min(request.deadline, now + context_.timing.route_patience);
  request.next_attempt_at = now;
  front_request& stored_request =
      requests_.insert_or_assign(request.request_id, std::move(request))
          .first->second;
  Route(stored_request, now, out);
}

result<std::string> request_front::ChooseRange(
    const front_request& request) const {
  const service_config& service = *request.service;
  if (service.targets.empty()) {
    return error{error_code::kUnavailable, service.name,
                 "the service has no targets", "ask the operator"};
  }
  if (request.is_mint) {
    const range_state* node = ranges_.Find(request.range);
    const bool reachable =
        node != nullptr && request.arrived_at >= node->unreachable_until;
    return reachable ? request.range : ChoosePooledRange(request);
  }
  if (service.placement == placement_kind::kKeyed) {
    const int bucket = BucketOf(KeyHash(request.key), service.buckets);
    return RangeName(service.name, home_zones_.at(service.name)[bucket]);
  }
  if (request.action.empty()) {
    return ChoosePooledRange(request);
  }
  const result<action_id> id =
      ParseActionId(request.action, request.organisation, context_.secret);
  if (!id) {
    return id.error();
  }
  if (id.value().minted) {
    const std::string& range = id.value().minted->range;
    if (ranges_.Find(range) == nullptr ||
        ParseRangeName(range).value().service != service.name) {
      return error{error_code::kMalformed, "Foxtail-Action",
                   "the identifier belongs to another service",
                   "get one for this service from POST /v1/actions"};
    }
    return range;
  }
  // Resends of an identifier must reach the same range as the first send, from
  // whichever host.
  const uint64_t hash = HashText(request.action);
  const size_t target = hash % service.targets.size();
  return RangeName(service.name, service.targets[target].zone);
}

std::string request_front::ChoosePooledRange(
    const front_request& request) const {
  // Selects zones in proportion to their targets, so that every target gets the
  // same load. Zones whose stewards can't be reached are left out.
  const auto& targets = request.service->targets;
  const size_t first_index = request.request_id % targets.size();
  std::string first;
  for (size_t i = 0; i < targets.size(); ++i) {
    const size_t index = (first_index + i) % targets.size();
    std::string name = RangeName(request.service_name, targets[index].zone);
    const range_state* node = ranges_.Find(name);
    if (first.empty()) {
      first = name;
    }
    if (node != nullptr && request.arrived_at >= node->unreachable_until) {
      return name;
    }
  }
  return first;
}

void request_front::Route(front_request& request, time_point now,
                          steward_output& out) {
  range_state* node = ranges_.Find(request.range);
  if (node == nullptr || request.service == nullptr) {
    GiveUp(request, now, out);
    return;
  }
  if (node->acting && node->steward->accepting()) {
    SubmitToLocalSteward(request, *node, now, out);
    return;
  }
  const host_entry* host = NextHost(*node, request.forward_attempts, now);
  if (host == nullptr) {
    RetryLater(request, now);
    return;
  }
  ++request.forward_attempts;
  request.forward_id = context_.ids.Next();
  request.forward_host = host->name;
  request.forwarded_at = now;
  request.forward_epoch =
      node->record ? node->record->roster.front().epoch : uint64_t{0};
  request_ids_by_forward_[request.forward_id] = request.request_id;
  forward_action forward;
  forward.request_id = request.request_id;
  forward.forward_id = request.forward_id;
  forward.host = host->name;
  forward.address = host->http;
  forward.organisation = request.organisation;
  forward.range = request.range;
  forward.service = request.service_name;
  forward.key = request.key;
  forward.level = request.urgency_level;
  forward.time_left_us = (request.deadline - now).count();
  forward.action = request.action;
  forward.mint = request.is_mint;
  out.actions.push_back(std::move(forward));
}

const host_entry* request_front::NextHost(const range_state& node, int tries,
                                          time_point now) const {
  std::vector<const host_entry*> hosts;
  const auto add = [&](std::string_view name) {
    const host_entry* entry = context_.directory.Find(name);
    if (entry == nullptr || entry->http.empty() || name == context_.self.host) {
      return;
    }
    const auto probed = probes_.find(name);
    if (probed != probes_.end() && now < probed->second.avoid_until) {
      return;
    }
    hosts.push_back(entry);
  };
  if (tries == 0 && !node.last_known_steward.empty()) {
    add(node.last_known_steward);
  }
  if (hosts.empty() && node.record) {
    for (const roster_slot& slot : node.record->roster) {
      add(slot.host_run.host);
    }
  }
  return hosts.empty() ? nullptr : hosts[tries % hosts.size()];
}

void request_front::SubmitToLocalSteward(const front_request& request,
                                         range_state& node, time_point now,
                                         steward_output& out) {
  requests_.at(request.request_id).at_local_steward = true;
  steward_request submission;
  submission.request_id = request.request_id;
  submission.organisation = request.organisation;
  submission.key = request.key;
  submission.level = request.urgency_level;
  submission.deadline = request.deadline;
  submission.action = request.action;
  submission.body_hash = request.body_hash;
  submission.mint = request.is_mint;
  node.steward->Submit(submission, now, out);
}

void request_front::RetryLater(front_request& request, time_point now) {
  request.forward_id = 0;
  request.at_local_steward = false;
  request.next_attempt_at = now + context_.timing.route_retry;
}

void request_front::OnForwardedRequest(const forwarded_request& request,
                                       time_point now, steward_output& out) {
  range_state* node = ranges_.Find(request.range);
  if (node == nullptr || !node->acting || !node->steward->accepting()) {
    out.actions.push_back(NotStewardAnswer(request.request_id));
    return;
  }
  forwarded_ranges_[request.request_id] = request.range;
  steward_request submission;
  submission.request_id = request.request_id;
  submission.organisation = request.organisation;
  submission.key = request.key;
  submission.level = request.level;
  submission.deadline = now + duration{request.deadline_us};
  submission.action = request.action;
  submission.body_hash = request.body_hash;
  submission.mint = request.mint;
  node->steward->Submit(submission, now, out);
}

void request_front::OnForwardEnded(const forward_ended& ended, time_point now,
                                   steward_output& out) {
  const auto found = request_ids_by_forward_.find(ended.forward_id);
  if (found == request_ids_by_forward_.end()) {
    return;
  }
  front_request& request = requests_.at(found->second);
  request_ids_by_forward_.erase(found);
  range_state* node = ranges_.Find(request.range);
  if (ended.end == forward_end::kAnswered) {
    if (node != nullptr) {
      node->last_known_steward = request.forward_host;
      node->unreachable_until = time_point{};
    }
    answer_action answer;
    answer.request_id = request.request_id;
    answer.outcome = ended.outcome;
    // An earlier forward of the request may have run even if the last one
    // didn't.
    if (request.may_have_started && request.action.empty() &&
        ended.outcome == request_outcome::kNotRun) {
      answer.outcome = request_outcome::kUnknown;
    }
    answer.status = ended.status;
    answer.retry_after_us = ended.retry_after_us;
    answer.next_action = ended.next_action;
    // A steward mints a batch of identifiers; the caller gets only one, so the
    // forwarded body isn't used.
    const bool minted = request.is_mint && !ended.next_action.empty();
    answer.source = minted ? body_source::kNone : body_source::kForward;
    answer.body_id = ended.forward_id;
    Answer(request, std::move(answer), now, out);
    return;
  }
  if (node != nullptr && node->last_known_steward == request.forward_host) {
    node->last_known_steward.clear();
  }
  if (ended.end == forward_end::kBroken) {
    request.may_have_started = true;
  }
  RetryLater(request, now);
  const size_t roster_size =
      node != nullptr && node->record ? node->record->roster.size() : size_t{1};
  // Each member of the roster is tried once without a delay.
  const bool all_members_tried =
      request.forward_attempts >= static_cast<int>(roster_size);
  if (all_members_tried && !request.range_pinned && !request.may_have_started &&
      node != nullptr) {
    // Any range of the service may serve the request: avoid the unreachable
    // one.
    node->unreachable_until = now + kUnreachableAvoidPeriod;
    request.range = ChoosePooledRange(request);
    request.forward_attempts = 0;
    return;
  }
  if (now < request.give_up_at && !all_members_tried) {
    Route(request, now, out);
  }
}

void request_front::OnCallerGone(const caller_gone& gone, time_point now,
                                 steward_output& out) {
  const auto forwarded = forwarded_ranges_.find(gone.request_id);
  if (forwarded != forwarded_ranges_.end()) {
    range_state* node = ranges_.Find(forwarded->second);
    forwarded_ranges_.erase(forwarded);
    if (node != nullptr && node->steward != nullptr) {
      node->steward->OnCallerGone(gone.request_id, now, out);
    }
    return;
  }
  const auto found = requests_.find(gone.request_id);
  if (found == requests_.end()) {
    return;
  }
  const front_request request = std::move(found->second);
  requests_.erase(found);
  if (request.forward_id != 0) {
    request_ids_by_forward_.erase(request.forward_id);
    out.actions.push_back(cancel_forward_action{request.forward_id});
  }
  range_state* node = ranges_.Find(request.range);
  if (request.at_local_steward && node != nullptr && node->steward != nullptr) {
    node->steward->OnCallerGone(gone.request_id, now, out);
  }
}

void request_front::Tick(time_point now, steward_output& out) {
  RequestWantedActions(now, out);
  std::vector<uint64_t> ids;
  ids.reserve(requests_.size());
  for (const auto& [id, request] : requests_) {
    ids.push_back(id);
  }
  // Process requests in an order independent of the hash table's.
  std::sort(ids.begin(), ids.end());
  for (const uint64_t id : ids) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.at_local_steward) {
      continue;
    }
    front_request& request = found->second;
    if (request.forward_id != 0) {
      const bool past_deadline = now >= request.deadline + kAnswerGracePeriod;
      if (IsForwardLost(request, now) || past_deadline) {
        out.actions.push_back(cancel_forward_action{request.forward_id});
        request_ids_by_forward_.erase(request.forward_id);
        request.may_have_started = true;
        RetryLater(request, now);
      } else {
        continue;
      }
    }
    if (now >= request.give_up_at) {
      GiveUp(request, now, out);
    } else if (now >= request.next_attempt_at) {
      Route(request, now, out);
    }
  }
}

bool request_front::IsForwardLost(const front_request& request,
                                  time_point now) {
  const range_state* node = ranges_.Find(request.range);
  // If another steward has taken over since, the previous one was disconnected
  // or paused and may never answer.
  const bool replaced =
      node != nullptr && node->record &&
      node->record->roster.front().epoch != request.forward_epoch &&
      node->record->roster.front().host_run.host != request.forward_host;
  if (replaced) {
    return true;
  }
  if (now < request.forwarded_at + kProbeDelay) {
    return false;
  }
  // A late answer alone doesn't show that the host is unreachable,
  // since work may take long; a host that doesn't answer probes either is.
  probe_state& probe = probes_[request.forward_host];
  const auto silence =
      context_.directory.TimeSinceLastMessage(request.forward_host, now);
  const bool recently_heard = silence && *silence < kProbeSilenceTimeout;
  if (recently_heard || probe.silent_since < request.forwarded_at) {
    probe.silent_since = recently_heard ? now - *silence : now;
  }
  if (now >= probe.next_probe_at) {
    probe.next_probe_at = now + kProbePeriod;
    context_.outbox[request.forward_host].probe = true;
  }
  if (recently_heard || now < probe.silent_since + kProbeSilenceTimeout) {
    return false;
  }
  probe.avoid_until = now + kUnreachableAvoidPeriod;
  return true;
}

void request_front::GiveUp(front_request& request, time_point now,
                           steward_output& out) {
  range_state* node = ranges_.Find(request.range);
  if (node != nullptr) {
    node->unreachable_until = now + kUnreachableAvoidPeriod;
  }
  answer_action answer;
  answer.request_id = request.request_id;
  // An earlier send of the same action may have run, and its caller may have
  // been told that it did; only the steward knows. The outcome "not run" would
  // make the caller send a new action, and the work could run twice.
  const bool unknown = request.may_have_started || !request.action.empty();
  answer.outcome =
      unknown ? request_outcome::kUnknown : request_outcome::kNotRun;
  answer.status = 503;
  answer.code = "no-steward";
  answer.reason = "the host in charge of this key cannot be reached";
  answer.remedy = unknown ? "send it again with the same identifier later"
                          : "come back after the stated time";
  answer.retry_after_us = kRetryAfter.count();
  Answer(request, std::move(answer), now, out);
}

void request_front::HandleStewardResults(time_point now, steward_output& out) {
  // By index: results may be appended while a request is handled.
  for (size_t i = 0; i < out.results.size(); ++i) {
    request_result result = std::move(out.results[i]);
    const uint64_t id = result.answer.request_id;
    const auto forwarded = forwarded_ranges_.find(id);
    if (forwarded != forwarded_ranges_.end()) {
      forwarded_ranges_.erase(forwarded);
      out.actions.push_back(result.no_authority ? NotStewardAnswer(id)
                                                : std::move(result.answer));
      continue;
    }
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      continue;
    }
    front_request& request = found->second;
    if (result.no_authority && now < request.give_up_at) {
      RetryLater(request, now);
      continue;
    }
    Answer(request, std::move(result.answer), now, out);
  }
  out.results.clear();
}

void request_front::RequestWantedActions(time_point now, steward_output& out) {
  for (const wanted_actions& wanted : std::exchange(wanted_actions_, {})) {
    const service_config* service =
        config_ == nullptr ? nullptr : config_->FindService(wanted.service);
    if (service == nullptr || !mints_in_flight_.insert(wanted).second) {
      continue;
    }
    front_request new_request;
    new_request.request_id = kInternalRequestBit | context_.ids.Next();
    new_request.organisation = wanted.organisation;
    new_request.service = service;
    new_request.service_name = wanted.service;
    new_request.range = wanted.range;
    new_request.arrived_at = now;
    new_request.deadline = now + service->default_deadline;
    new_request.give_up_at = new_request.deadline;
    new_request.next_attempt_at = now;
    new_request.range_pinned = true;
    new_request.is_mint = true;
    front_request& stored_request =
        requests_
            .insert_or_assign(new_request.request_id, std::move(new_request))
            .first->second;
    Route(stored_request, now, out);
  }
}

std::string request_front::PoolActions(const front_request& request,
                                       std::string_view minted) {
  std::vector<std::string> ids = SplitActionIds(minted);
  if (request.service == nullptr || request.is_mint) {
    // No caller waits for the first identifier of an internal request.
    const size_t first = IsInternalRequest(request.request_id) ? 0 : 1;
    for (size_t i = first; i < ids.size(); ++i) {
      actions_.AddId(request.organisation, request.range, ids[i]);
    }
    return ids.front();
  }
  const std::string range = actions_.NextRange(*request.service);
  if (range == request.range) {
    return ids.front();
  }
  // It is another range's turn: return a pooled identifier of that range, if
  // there is one, and pool the minted one for its own range's turn.
  auto pooled_action = TakePooledAction(request.organisation, range);
  if (!pooled_action) {
    wanted_actions_.insert({request.organisation, request.service_name, range});
    return ids.front();
  }
  actions_.AddId(request.organisation, request.range, std::move(ids.front()));
  return *pooled_action;
}

// Identifiers of earlier epochs are dropped: a failed steward's successor has
// to answer them with "unknown", and the caller would then look up an action
// that never started.
std::optional<std::string> request_front::TakePooledAction(
    std::string_view organisation, std::string_view range) {
  const range_state* node = ranges_.Find(range);
  uint64_t current = node == nullptr ? 0 : node->newest_map.epoch;
  if (node != nullptr && node->record) {
    current = std::max(current, node->record->map.epoch);
  }
  while (auto id = actions_.TakeId(organisation, range)) {
    const result<action_id> parsed_id =
        ParseActionId(*id, organisation, context_.secret);
    if (parsed_id && parsed_id.value().minted &&
        parsed_id.value().minted->epoch >= current) {
      return id;
    }
  }
  return std::nullopt;
}

void request_front::Refuse(uint64_t request_id, const error& e,
                           duration retry_after, steward_output& out,
                           request_outcome outcome) {
  answer_action answer;
  answer.request_id = request_id;
  answer.outcome = outcome;
  answer.status = HttpStatusOf(e.code);
  answer.code = ToString(e.code);
  answer.reason = e.path.empty() ? e.reason : e.path + ": " + e.reason;
  answer.remedy = e.remedy;
  answer.retry_after_us = retry_after.count();
  out.actions.push_back(std::move(answer));
}

void request_front::Answer(const front_request& request, answer_action answer,
                           time_point now, steward_output& out) {
  if (IsInternalRequest(request.request_id)) {
    mints_in_flight_.erase(
        {request.organisation, request.service_name, request.range});
    if (!answer.next_action.empty()) {
      PoolActions(request, answer.next_action);
    }
    requests_.erase(request.request_id);
    return;
  }
  if (answer.code == "identifier-expired") {
    actions_.RemoveRange(request.range);
  }
  if (!answer.next_action.empty()) {
    answer.next_action = PoolActions(request, answer.next_action);
  }
  reports_.push_back(request_report{request.organisation, request.service_name,
                                    answer.outcome, answer.status,
                                    now - request.arrived_at});
  out.actions.push_back(std::move(answer));
  requests_.erase(request.request_id);
}

}  // namespace foxtailspread
