#include "foxtailspread/authority.h"

#include <algorithm>

namespace foxtailspread {
namespace {

int64_t Micros(time_point at) { return at.time_since_epoch().count(); }

}  // namespace

promise_answer promise_ledger::Answer(const member& asker,
                                      const promise_ask& ask, time_point now) {
  promise_answer answer{ask.range, ask.epoch, ask.revision, ask.asked_at_us,
                        promise_verdict::kGranted};
  if (ask.to_life != life_) {
    answer.verdict = promise_verdict::kOtherLife;
    return answer;
  }
  promise& held = promises_[ask.range];
  if (ask.revision < held.revision) {
    answer.verdict = promise_verdict::kRecordTooOld;
    return answer;
  }
  held.revision = ask.revision;
  if (ask.epoch < held.epoch) {
    answer.verdict = promise_verdict::kEpochTooLow;
    return answer;
  }
  const bool released = ask.released_epoch != 0 &&
                        ask.released_epoch == held.epoch &&
                        ask.released_by == held.holder;
  if (held.holder != asker && now < held.until && !released) {
    answer.verdict = promise_verdict::kHeldByOther;
    return answer;
  }
  held.holder = asker;
  held.epoch = ask.epoch;
  held.until = now + timing_.promise;
  return answer;
}

std::optional<time_point> promise_ledger::BoundUntil(std::string_view range,
                                                     time_point now) const {
  const auto found = promises_.find(range);
  if (found == promises_.end() || now >= found->second.until) {
    return std::nullopt;
  }
  return found->second.until;
}

uint64_t promise_ledger::HighestEpoch(std::string_view range) const {
  const auto found = promises_.find(range);
  return found == promises_.end() ? 0 : found->second.epoch;
}

void promise_ledger::NoteRevision(std::string_view range, uint64_t revision) {
  promise& held = promises_[std::string(range)];
  held.revision = std::max(held.revision, revision);
}

void range_authority::SetRecord(const range_record& record, time_point now) {
  if (record.revision <= record_.revision) {
    return;
  }
  // A reset replaced a roster whose majority is dead. What the dead promised
  // to a survivor may still run, so every claim waits that time out. The
  // first record seen counts as one, for the same reason.
  const bool reset = record_.revision == 0 || record.resets != record_.resets;
  const bool reordered = record.order != record_.order;
  if (reset) {
    claim_after_ = now + timing_.promise + timing_.promise / 100;
  }
  record_ = record;
  outranked_ = false;
  index_ = record_.IndexOf(self_);
  if (reordered && index_ > 0) {
    // The first of a new order asks for promises only now. A successor that
    // claimed at the same time would take them from it, and the two would
    // renumber the roster against each other without end.
    claim_after_ = std::max(claim_after_, now + timing_.promise) +
                   timing_.stagger * index_;
  }
  const uint64_t epoch = index_ < 0 ? 0 : record_.order[index_].epoch;
  if (epoch != epoch_) {
    stepped_down_ = false;
    released_epoch_ = 0;
    // The witnesses promised the former epoch. Acting in the new one before
    // they know it would let a successor follow with a lower epoch, which
    // targets refuse.
    for (auto& [who, witness] : witnesses_) {
      witness.promised_until = time_point{};
    }
  }
  epoch_ = epoch;
  next_ask_ = now;
}

bool range_authority::MayClaim(time_point now,
                               const promise_ledger& ledger) const {
  if (index_ < 0 || stepped_down_ || epoch_ <= refused_epoch_) {
    return false;
  }
  if (now < ActingUntil()) {
    return true;
  }
  if (ledger.HighestEpoch(range_) > epoch_) {
    return false;
  }
  if (now < claim_after_) {
    return false;
  }
  if (index_ == 0 || released_epoch_ != 0) {
    return true;
  }
  // A promise of this host that still runs is the sign that the predecessor
  // was heard within the promise's time.
  return !ledger.BoundUntil(range_, now).has_value();
}

promise_ask range_authority::MakeAsk(const member& to, time_point now) const {
  return promise_ask{range_,      epoch_,       record_.revision, to.life,
                     Micros(now), released_by_, released_epoch_};
}

void range_authority::ClaimAfter(const member& predecessor, uint64_t epoch) {
  if (epoch >= epoch_) {
    return;  // A late message of a tenure that this host has outlived.
  }
  released_by_ = predecessor;
  released_epoch_ = epoch;
  next_ask_ = time_point{};
}

bool range_authority::Blocked(time_point now,
                              const promise_ledger& ledger) const {
  if (index_ < 0 || now < ActingUntil()) {
    return false;
  }
  const bool refused = epoch_ <= refused_epoch_ ||
                       ledger.HighestEpoch(range_) > epoch_ || stepped_down_;
  const duration patience = timing_.promise + timing_.stagger * (index_ + 1);
  return refused && now >= std::max(unbound_since_, claim_after_) + patience;
}

bool range_authority::AskSelf(time_point now, promise_ledger& ledger) {
  const promise_answer answer = ledger.Answer(self_, MakeAsk(self_, now), now);
  if (answer.verdict != promise_verdict::kGranted) {
    return false;
  }
  OnAnswer(self_, answer, now);
  return true;
}

void range_authority::Tick(time_point now, promise_ledger& ledger,
                           std::vector<addressed_ask>& asks) {
  ledger.NoteRevision(range_, record_.revision);
  const auto bound = ledger.BoundUntil(range_, now);
  const bool acting = now < ActingUntil();
  if (bound || acting) {
    unbound_since_ = now;
  }
  if (!acting && index_ > 0 && bound && released_epoch_ == 0) {
    // The predecessor is alive; look again when its promise would lapse.
    claim_after_ =
        std::max(claim_after_, *bound + timing_.stagger * (index_ - 1));
  }
  if (now < next_ask_ || !MayClaim(now, ledger)) {
    return;
  }
  if (!AskSelf(now, ledger)) {
    next_ask_ = now + timing_.retry;
    return;
  }
  for (const member& witness : Witnesses()) {
    if (witness == self_) {
      continue;
    }
    asks.push_back(addressed_ask{witness, MakeAsk(witness, now)});
  }
  const bool complete = now < ActingUntil();
  next_ask_ = now + (complete ? timing_.renew : timing_.retry);
}

void range_authority::OnAnswer(const member& from, const promise_answer& answer,
                               time_point now) {
  if (answer.epoch != epoch_ || index_ < 0) {
    return;
  }
  witness_state& witness = witnesses_[from];
  witness.last_heard = now;
  witness.heard = true;
  if (answer.verdict == promise_verdict::kEpochTooLow) {
    // A witness that was cut off may have claimed for itself in vain. That
    // costs an acting steward one witness, no more. One that lost its
    // majority must step aside, or its promise to itself blocks the successor.
    if (now >= ActingUntil()) {
      refused_epoch_ = std::max(refused_epoch_, answer.epoch);
    } else {
      outranked_ = true;
    }
    return;
  }
  if (answer.verdict != promise_verdict::kGranted) {
    return;
  }
  witness.saw_revision = std::max(witness.saw_revision, answer.revision);
  const time_point asked_at{duration{answer.asked_at_us}};
  if (asked_at > now) {
    return;  // Not an echo of this host's own clock.
  }
  const time_point until = asked_at + HolderShare(timing_.promise);
  witness.promised_until = std::max(witness.promised_until, until);
}

uint64_t range_authority::StepDown() {
  const uint64_t held = epoch_;
  stepped_down_ = true;
  for (auto& [who, witness] : witnesses_) {
    witness.promised_until = time_point{};
  }
  return held;
}

time_point range_authority::MajorityUntil(
    const std::vector<member>& roster) const {
  std::vector<time_point> ends;
  ends.reserve(roster.size());
  for (const member& who : roster) {
    const auto found = witnesses_.find(who);
    ends.push_back(found == witnesses_.end() ? time_point{}
                                             : found->second.promised_until);
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[roster.size() / 2];
}

time_point range_authority::ActingUntil() const {
  if (index_ < 0 || stepped_down_) {
    return time_point{};
  }
  const time_point until = MajorityUntil(record_.Members());
  if (record_.previous.empty()) {
    return until;
  }
  return std::min(until, MajorityUntil(record_.previous));
}

std::set<member> range_authority::Witnesses() const {
  std::set<member> all(record_.previous.begin(), record_.previous.end());
  for (const roster_slot& slot : record_.order) {
    all.insert(slot.who);
  }
  return all;
}

std::optional<time_point> range_authority::LastHeard(const member& who) const {
  const auto found = witnesses_.find(who);
  if (found == witnesses_.end() || !found->second.heard) {
    return std::nullopt;
  }
  return found->second.last_heard;
}

bool range_authority::AllSawRecord() const {
  return std::all_of(record_.order.begin(), record_.order.end(),
                     [this](const roster_slot& slot) {
                       const auto found = witnesses_.find(slot.who);
                       return found != witnesses_.end() &&
                              found->second.saw_revision >= record_.revision;
                     });
}

}  // namespace foxtailspread
