#include "foxtailspread/authority.h"

#include <algorithm>

namespace foxtailspread {
namespace {

int64_t ToMicros(time_point time) { return time.time_since_epoch().count(); }

}  // namespace

promise_answer promise_ledger::AnswerRequest(const member& requester,
                                             const promise_request& request,
                                             time_point now) {
  promise_answer answer{request.range, request.epoch, request.revision,
                        request.asked_at_us, promise_verdict::kGranted};
  if (request.to_life != life_) {
    answer.verdict = promise_verdict::kOtherLife;
    return answer;
  }
  promise& current = promises_[request.range];
  if (request.revision < current.revision) {
    answer.verdict = promise_verdict::kRecordTooOld;
    return answer;
  }
  current.revision = request.revision;
  if (request.epoch < current.epoch) {
    answer.verdict = promise_verdict::kEpochTooLow;
    return answer;
  }
  const bool released = request.released_epoch != 0 &&
                        request.released_epoch == current.epoch &&
                        request.released_by == current.holder;
  if (current.holder != requester && now < current.expires_at && !released) {
    answer.verdict = promise_verdict::kHeldByOther;
    return answer;
  }
  current.holder = requester;
  current.epoch = request.epoch;
  current.expires_at = now + timing_.promise;
  return answer;
}

std::optional<time_point> promise_ledger::PromisedUntil(std::string_view range,
                                                        time_point now) const {
  const auto found = promises_.find(range);
  if (found == promises_.end() || now >= found->second.expires_at) {
    return std::nullopt;
  }
  return found->second.expires_at;
}

uint64_t promise_ledger::HighestEpoch(std::string_view range) const {
  const auto found = promises_.find(range);
  return found == promises_.end() ? 0 : found->second.epoch;
}

void promise_ledger::NoteRevision(std::string_view range, uint64_t revision) {
  promise& current = promises_[std::string(range)];
  current.revision = std::max(current.revision, revision);
}

void range_authority::SetRecord(const range_record& record, time_point now) {
  if (record.revision <= record_.revision) {
    return;
  }
  // A reset replaces a roster that lost its majority. Promises that the lost
  // members made to a surviving host may not have expired, so every claim
  // waits for a promise's full duration. The first record seen is treated as a
  // reset for the same reason.
  const bool reset =
      record_.revision == 0 || record.reset_count != record_.reset_count;
  const bool reordered = record.roster != record_.roster;
  if (reset) {
    earliest_claim_at_ = now + timing_.promise + timing_.promise / 100;
  }
  record_ = record;
  outranked_ = false;
  index_ = record_.IndexOf(self_);
  if (reordered && index_ > 0) {
    // The first host of the new order only now starts to request promises. A
    // successor that claimed at the same time would take them from it, and the
    // two would keep renumbering the roster against each other.
    earliest_claim_at_ = std::max(earliest_claim_at_, now + timing_.promise) +
                         timing_.stagger * index_;
  }
  const uint64_t epoch = index_ < 0 ? 0 : record_.roster[index_].epoch;
  if (epoch != epoch_) {
    stepped_down_ = false;
    released_epoch_ = 0;
    // The witnesses promised the former epoch. If this host acted in the new
    // epoch before they know it, a successor could follow with a lower epoch,
    // which targets refuse.
    for (auto& [who, witness] : witnesses_) {
      witness.promised_until = time_point{};
    }
  }
  epoch_ = epoch;
  next_request_at_ = now;
}

bool range_authority::MayClaim(time_point now,
                               const promise_ledger& ledger) const {
  if (index_ < 0 || stepped_down_ || epoch_ <= highest_refused_epoch_) {
    return false;
  }
  if (now < ActingUntil()) {
    return true;
  }
  if (ledger.HighestEpoch(range_) > epoch_) {
    return false;
  }
  if (now < earliest_claim_at_) {
    return false;
  }
  if (index_ == 0 || released_epoch_ != 0) {
    return true;
  }
  // As long as this host's own promise has not expired, the predecessor
  // requested it recently and is presumed alive.
  return !ledger.PromisedUntil(range_, now).has_value();
}

promise_request range_authority::MakeRequest(const member& witness,
                                             time_point now) const {
  return promise_request{range_,         epoch_,        record_.revision,
                         witness.life,   ToMicros(now), released_by_,
                         released_epoch_};
}

void range_authority::OnPredecessorRelease(const member& predecessor,
                                           uint64_t epoch) {
  if (epoch >= epoch_) {
    return;  // A stale message: a predecessor's epoch is below this host's.
  }
  released_by_ = predecessor;
  released_epoch_ = epoch;
  next_request_at_ = time_point{};
}

bool range_authority::IsBlocked(time_point now,
                                const promise_ledger& ledger) const {
  if (index_ < 0 || now < ActingUntil()) {
    return false;
  }
  const bool refused = epoch_ <= highest_refused_epoch_ ||
                       ledger.HighestEpoch(range_) > epoch_ || stepped_down_;
  const duration timeout = timing_.promise + timing_.stagger * (index_ + 1);
  return refused &&
         now >= std::max(last_promise_seen_at_, earliest_claim_at_) + timeout;
}

bool range_authority::RequestOwnPromise(time_point now,
                                        promise_ledger& ledger) {
  const promise_answer answer =
      ledger.AnswerRequest(self_, MakeRequest(self_, now), now);
  if (answer.verdict != promise_verdict::kGranted) {
    return false;
  }
  OnAnswer(self_, answer, now);
  return true;
}

void range_authority::Tick(time_point now, promise_ledger& ledger,
                           std::vector<addressed_promise_request>& requests) {
  ledger.NoteRevision(range_, record_.revision);
  const auto promised_until = ledger.PromisedUntil(range_, now);
  const bool acting = now < ActingUntil();
  if (promised_until || acting) {
    last_promise_seen_at_ = now;
  }
  if (!acting && index_ > 0 && promised_until && released_epoch_ == 0) {
    // The predecessor is presumed alive until this host's promise expires.
    earliest_claim_at_ = std::max(
        earliest_claim_at_, *promised_until + timing_.stagger * (index_ - 1));
  }
  if (now < next_request_at_ || !MayClaim(now, ledger)) {
    return;
  }
  if (!RequestOwnPromise(now, ledger)) {
    next_request_at_ = now + timing_.retry;
    return;
  }
  for (const member& witness : Witnesses()) {
    if (witness == self_) {
      continue;
    }
    requests.push_back(
        addressed_promise_request{witness, MakeRequest(witness, now)});
  }
  const bool has_majority = now < ActingUntil();
  next_request_at_ = now + (has_majority ? timing_.renew : timing_.retry);
}

void range_authority::OnAnswer(const member& witness,
                               const promise_answer& answer, time_point now) {
  if (answer.epoch != epoch_ || index_ < 0) {
    return;
  }
  witness_state& state = witnesses_[witness];
  state.last_answer_at = now;
  state.has_answered = true;
  if (answer.verdict == promise_verdict::kEpochTooLow) {
    // A witness that was cut off may have promised its own higher epoch to
    // itself without reaching a majority. An acting steward loses only that one
    // witness. A host without a majority must stop claiming, or its promise to
    // itself blocks the successor.
    if (now >= ActingUntil()) {
      highest_refused_epoch_ = std::max(highest_refused_epoch_, answer.epoch);
    } else {
      outranked_ = true;
    }
    return;
  }
  if (answer.verdict != promise_verdict::kGranted) {
    return;
  }
  state.seen_revision = std::max(state.seen_revision, answer.revision);
  const time_point requested_at{duration{answer.asked_at_us}};
  if (requested_at > now) {
    return;  // Not a reading of this host's clock.
  }
  const time_point until = requested_at + HolderShare(timing_.promise);
  state.promised_until = std::max(state.promised_until, until);
}

uint64_t range_authority::StepDown() {
  const uint64_t released_epoch = epoch_;
  stepped_down_ = true;
  for (auto& [who, witness] : witnesses_) {
    witness.promised_until = time_point{};
  }
  return released_epoch;
}

time_point range_authority::MajorityPromisedUntil(
    const std::vector<member>& roster) const {
  std::vector<time_point> promise_ends;
  promise_ends.reserve(roster.size());
  for (const member& witness : roster) {
    const auto found = witnesses_.find(witness);
    promise_ends.push_back(found == witnesses_.end()
                               ? time_point{}
                               : found->second.promised_until);
  }
  std::sort(promise_ends.begin(), promise_ends.end(), std::greater<>());
  return promise_ends[roster.size() / 2];
}

time_point range_authority::ActingUntil() const {
  if (index_ < 0 || stepped_down_) {
    return time_point{};
  }
  const time_point until = MajorityPromisedUntil(record_.Members());
  if (record_.previous_members.empty()) {
    return until;
  }
  return std::min(until, MajorityPromisedUntil(record_.previous_members));
}

std::set<member> range_authority::Witnesses() const {
  std::set<member> witnesses(record_.previous_members.begin(),
                             record_.previous_members.end());
  for (const roster_slot& slot : record_.roster) {
    witnesses.insert(slot.host_run);
  }
  return witnesses;
}

std::optional<time_point> range_authority::LastAnswerTime(
    const member& witness) const {
  const auto found = witnesses_.find(witness);
  if (found == witnesses_.end() || !found->second.has_answered) {
    return std::nullopt;
  }
  return found->second.last_answer_at;
}

bool range_authority::AllSawRecord() const {
  return std::all_of(record_.roster.begin(), record_.roster.end(),
                     [this](const roster_slot& slot) {
                       const auto found = witnesses_.find(slot.host_run);
                       return found != witnesses_.end() &&
                              found->second.seen_revision >= record_.revision;
                     });
}

}  // namespace foxtailspread
