#ifndef FOXTAILSPREAD_ACTION_TABLE_INL_H_
#define FOXTAILSPREAD_ACTION_TABLE_INL_H_

/// @file
/// The definitions of basic_action_table's members; include action_table.h.

#include <algorithm>
#include <utility>

#include "foxtailspread/action_export.h"
#include "foxtailspread/action_table.h"

namespace foxtailspread {

template <typename Rules>
auto basic_action_table<Rules>::ResetTenure(action_tenure tenure)
    -> waiter_list {
  waiter_list left_waiting;
  for (const auto& [key, e] : entries_) {
    left_waiting.insert(left_waiting.end(), e.waiters.begin(), e.waiters.end());
  }
  entries_.clear();
  organisations_.clear();
  log_.Clear();
  answer_bytes_ = 0;
  tenure_ = std::move(tenure);
  return left_waiting;
}

template <typename Rules>
void basic_action_table<Rules>::ContinueIn(uint64_t epoch) {
  tenure_.covered.push_back(tenure_.epoch);
  tenure_.epoch = epoch;
}

template <typename Rules>
std::string basic_action_table<Rules>::Export(time_point now,
                                              size_t max_body_bytes) const {
  action_export memory;
  memory.covered = tenure_.covered;
  memory.covered.push_back(tenure_.epoch);
  memory.age = now - tenure_.began_at;
  memory.next = log_.next();
  memory.first_kept = log_.first_kept();
  memory.words = log_.Words();
  for (const auto& [key, e] : entries_) {
    exported_action one;
    one.key = key;
    one.organisation = e.organisation;
    one.sequence = e.sequence;
    one.content_hash = e.content_hash;
    one.done = e.state == entry_state::kDone;
    one.not_run = e.state == entry_state::kNotRun && !e.unknown_was_said;
    one.attempt = e.attempt;
    one.age = IsUnderWay(e) ? duration{0} : now - e.touched_at;
    if (e.answer != nullptr) {
      one.status = e.answer->status;
      one.content_type = e.answer->content_type;
      one.body_omitted =
          e.answer->body_omitted || e.answer->body.size() > max_body_bytes;
      if (!one.body_omitted) {
        max_body_bytes -= e.answer->body.size();
        one.body = e.answer->body;
      }
    }
    memory.actions.push_back(std::move(one));
  }
  return FormatActionExport(memory);
}

template <typename Rules>
status basic_action_table<Rules>::Import(std::string_view text,
                                         time_point now) {
  const result<action_export> parsed = ParseActionExport(text);
  if (!parsed) {
    return parsed.error();
  }
  const action_export& memory = parsed.value();
  tenure_.covered = memory.covered;
  tenure_.began_at = now - memory.age;
  organisations_.clear();
  log_.Restore(memory.next, memory.first_kept, memory.words);
  std::vector<const exported_action*> oldest_first;
  for (const exported_action& one : memory.actions) {
    oldest_first.push_back(&one);
  }
  std::ranges::stable_sort(oldest_first, std::greater<>(),
                           &exported_action::age);
  for (const exported_action* one : oldest_first) {
    const auto place = entries_.try_emplace(one->key).first;
    entry& e = place->second;
    e.key = &place->first;
    e.organisation = one->organisation;
    e.content_hash = one->content_hash;
    e.sequence = one->sequence;
    e.attempt = one->attempt;
    e.unknown_was_said = !one->done && !one->not_run;
    if (one->done) {
      boost::intrusive_ptr<stored_answer> answer(new stored_answer);
      answer->status = one->status;
      answer->content_type = one->content_type;
      answer->body = one->body;
      answer->body_omitted = one->body_omitted;
      KeepAnswer(e, answer);
    }
    const entry_state ended =
        one->not_run ? entry_state::kNotRun : entry_state::kUnknown;
    Settle(now - one->age, e, one->done ? entry_state::kDone : ended);
  }
  return OkStatus();
}

template <typename Rules>
action_decision basic_action_table<Rules>::Begin(time_point now,
                                                 const action_send& send) {
  entry* e = Find(send.organisation, send.id.text);
  return e == nullptr ? BeginUnseen(now, send) : BeginSeen(now, *e, send);
}

template <typename Rules>
action_decision basic_action_table<Rules>::BeginSeen(time_point now, entry& e,
                                                     const action_send& send) {
  // `Unknown` and not `not run`: the caller might read the latter as the
  // outcome of what the identifier was first used for.
  if (e.content_hash != send.content_hash) {
    return Refuse(action_refusal::kOtherContent, action_outcome::kUnknown);
  }
  switch (e.state) {
    case entry_state::kQueued:
    case entry_state::kRunning:
      return Attach(e, send.waiter);
    case entry_state::kNotRun:
      return Run(e, send.waiter);
    case entry_state::kDone:
      Touch(now, e);
      return Answer(action_outcome::kDone, e.answer);
    case entry_state::kUnknown:
      break;
  }
  Touch(now, e);
  return Answer(action_outcome::kUnknown);
}

template <typename Rules>
action_decision basic_action_table<Rules>::BeginUnseen(
    time_point now, const action_send& send) {
  const table_memory memory{tenure_, log_,
                            StateOf(send.organisation).caller_made_since,
                            limits_.resend_window};
  switch (Rules::JudgeUnseen(send.id, memory, now)) {
    case unseen_action::kNeverBegun:
      return BeginNew(send);
    case unseen_action::kOtherRange:
      return Refuse(action_refusal::kOtherRange, action_outcome::kUnknown);
    case unseen_action::kLaterEpoch:
      return Refuse(action_refusal::kNotSteward, action_outcome::kUnknown);
    case unseen_action::kUnknowable:
      break;
  }
  if (!send.id.minted) {
    RememberUnknown(now, send);
  }
  return Answer(action_outcome::kUnknown);
}

template <typename Rules>
action_decision basic_action_table<Rules>::BeginNew(const action_send& send) {
  if (!MakeRoom(send.organisation)) {
    return Refuse(action_refusal::kTableFull, action_outcome::kNotRun);
  }
  return Run(Add(send), send.waiter);
}

// The caller was told `unknown` only because this tenure is young. Without an
// entry, a resend a little later would find the tenure old enough, run, and
// could read `not run` after `unknown`. With no room for the entry, the
// organisation's unseen identifiers stay unknowable for another window.
template <typename Rules>
void basic_action_table<Rules>::RememberUnknown(time_point now,
                                                const action_send& send) {
  if (!MakeRoom(send.organisation)) {
    StateOf(send.organisation).caller_made_since = now;
    return;
  }
  entry& e = Add(send);
  e.unknown_was_said = true;
  Settle(now, e, entry_state::kUnknown);
}

template <typename Rules>
action_decision basic_action_table<Rules>::Run(entry& e, uint64_t waiter) {
  e.hook<by_age>::unlink();
  e.state = entry_state::kQueued;
  ++e.attempt;
  e.waiters.push_back(waiter);
  UpdatePin(e);
  if (e.sequence) {
    log_.MarkBegun(*e.sequence);
  }
  action_decision decision;
  decision.step = action_step::kRun;
  decision.attempt = e.attempt;
  return decision;
}

template <typename Rules>
action_decision basic_action_table<Rules>::Attach(entry& e, uint64_t waiter) {
  if (e.waiters.size() >= limits_.max_waiters) {
    e.unknown_was_said = true;
    return Refuse(action_refusal::kTooManyWaiters, action_outcome::kUnknown);
  }
  e.waiters.push_back(waiter);
  action_decision decision;
  decision.step = action_step::kAttach;
  decision.attempt = e.attempt;
  return decision;
}

template <typename Rules>
void basic_action_table<Rules>::Started(std::string_view organisation,
                                        std::string_view id, uint32_t attempt) {
  entry* e = Find(organisation, id);
  if (e != nullptr && e->attempt == attempt &&
      e->state == entry_state::kQueued) {
    e->state = entry_state::kRunning;
  }
}

template <typename Rules>
auto basic_action_table<Rules>::Ended(time_point now,
                                      std::string_view organisation,
                                      std::string_view id,
                                      action_outcome outcome, answer_ptr answer)
    -> waiter_list {
  entry* e = Find(organisation, id);
  if (e == nullptr || e->state == entry_state::kDone) {
    return {};
  }
  if (outcome == action_outcome::kDone) {
    KeepAnswer(*e, answer);
    return Settle(now, *e, entry_state::kDone);
  }
  if (!IsUnderWay(*e)) {
    return {};
  }
  e->unknown_was_said = true;
  return Settle(now, *e, entry_state::kUnknown);
}

// The attempt must match: the proof about a former attempt, arriving late, says
// nothing of the one that runs now, and would let a third one run beside it.
template <typename Rules>
auto basic_action_table<Rules>::NotRun(time_point now,
                                       std::string_view organisation,
                                       std::string_view id, uint32_t attempt)
    -> not_run_report {
  entry* e = Find(organisation, id);
  if (e == nullptr || e->attempt != attempt || !IsUnderWay(*e)) {
    return {};
  }
  const action_outcome outcome = Rules::JudgeNotRun(e->unknown_was_said);
  if (outcome != action_outcome::kNotRun) {
    return {outcome, Settle(now, *e, entry_state::kUnknown)};
  }
  if (e->sequence) {
    log_.MarkNotBegun(*e->sequence);
  }
  return {outcome, Settle(now, *e, entry_state::kNotRun)};
}

template <typename Rules>
give_up_step basic_action_table<Rules>::GiveUp(std::string_view organisation,
                                               std::string_view id,
                                               uint64_t waiter) {
  entry* e = Find(organisation, id);
  if (e == nullptr) {
    return give_up_step::kNotWaiting;
  }
  const auto place = std::ranges::find(e->waiters, waiter);
  if (place == e->waiters.end()) {
    return give_up_step::kNotWaiting;
  }
  if (e->state == entry_state::kQueued && e->waiters.size() == 1) {
    return give_up_step::kCancel;
  }
  e->waiters.erase(place);
  e->unknown_was_said = true;
  return give_up_step::kAnswerUnknown;
}

template <typename Rules>
void basic_action_table<Rules>::Expire(time_point now) {
  while (!ended_minted_.empty() &&
         ended_minted_.front().touched_at + limits_.retention <= now) {
    Forget(ended_minted_.front());
  }
  while (!ended_caller_made_.empty() &&
         ended_caller_made_.front().touched_at + limits_.resend_window <= now) {
    Forget(ended_caller_made_.front());
  }
}

template <typename Rules>
auto basic_action_table<Rules>::Find(std::string_view organisation,
                                     std::string_view id) -> entry* {
  const auto found = entries_.find(KeyOf(organisation, id));
  return found == entries_.end() ? nullptr : &found->second;
}

template <typename Rules>
auto basic_action_table<Rules>::StateOf(std::string_view organisation)
    -> organisation_state& {
  auto found = organisations_.find(organisation);
  if (found == organisations_.end()) {
    const organisation_state fresh{0, tenure_.began_at};
    found = organisations_.emplace(organisation, fresh).first;
  }
  return found->second;
}

template <typename Rules>
bool basic_action_table<Rules>::MakeRoom(std::string_view organisation) {
  if (StateOf(organisation).pinned >= limits_.max_pinned_per_organisation) {
    return false;
  }
  while (entries_.size() >= limits_.max_entries) {
    if (ended_minted_.empty()) {
      return false;
    }
    Forget(ended_minted_.front());
  }
  return true;
}

template <typename Rules>
auto basic_action_table<Rules>::Add(const action_send& send) -> entry& {
  const auto place =
      entries_.try_emplace(KeyOf(send.organisation, send.id.text)).first;
  entry& e = place->second;
  e.key = &place->first;
  e.organisation = send.organisation;
  e.content_hash = send.content_hash;
  if (send.id.minted) {
    e.sequence = send.id.minted->sequence;
  }
  return e;
}

template <typename Rules>
void basic_action_table<Rules>::Touch(time_point now, entry& e) {
  e.touched_at = now;
  e.hook<by_age>::unlink();
  (e.sequence ? ended_minted_ : ended_caller_made_).push_back(e);
}

template <typename Rules>
auto basic_action_table<Rules>::Settle(time_point now, entry& e,
                                       entry_state state) -> waiter_list {
  e.state = state;
  Touch(now, e);
  UpdatePin(e);
  return std::exchange(e.waiters, {});
}

// An entry with a minted identifier may be forgotten once it has ended: the
// log still knows that it began. Nothing else remembers a caller-made one.
template <typename Rules>
void basic_action_table<Rules>::UpdatePin(entry& e) {
  const bool pinned = IsUnderWay(e) || !e.sequence;
  if (pinned == e.pinned) {
    return;
  }
  e.pinned = pinned;
  size_t& count = StateOf(e.organisation).pinned;
  count = pinned ? count + 1 : count - 1;
}

template <typename Rules>
void basic_action_table<Rules>::KeepAnswer(entry& e, const answer_ptr& answer) {
  if (answer == nullptr) {
    return;
  }
  if (answer->body.size() > limits_.max_answer_size) {
    e.answer = WithoutBody(*answer);
    return;
  }
  e.answer = answer;
  answer_bytes_ += answer->body.size();
  with_body_.push_back(e);
  while (answer_bytes_ > limits_.max_answer_bytes) {
    DropBody(with_body_.front());
  }
}

template <typename Rules>
void basic_action_table<Rules>::DropBody(entry& e) {
  if (!e.hook<by_body>::is_linked()) {
    return;
  }
  e.hook<by_body>::unlink();
  answer_bytes_ -= e.answer->body.size();
  e.answer = WithoutBody(*e.answer);
}

template <typename Rules>
answer_ptr basic_action_table<Rules>::WithoutBody(const stored_answer& answer) {
  boost::intrusive_ptr<stored_answer> copy(new stored_answer);
  copy->status = answer.status;
  copy->content_type = answer.content_type;
  copy->body_omitted = true;
  return copy;
}

template <typename Rules>
void basic_action_table<Rules>::Forget(entry& e) {
  DropBody(e);
  if (e.pinned) {
    --StateOf(e.organisation).pinned;
  }
  entries_.erase(entries_.find(*e.key));
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_TABLE_INL_H_
