#ifndef FOXTAILSPREAD_ACTION_TABLE_INL_H_
#define FOXTAILSPREAD_ACTION_TABLE_INL_H_

/// @file
/// The member definitions of basic_action_table; include action_table.h
/// instead.

#include <algorithm>
#include <utility>

#include "foxtailspread/action_export.h"
#include "foxtailspread/action_table.h"

namespace foxtailspread {

template <typename Rules>
auto basic_action_table<Rules>::ResetTenure(action_tenure tenure)
    -> waiter_list {
  waiter_list remaining_waiters;
  for (const auto& [key, e] : entries_) {
    remaining_waiters.insert(remaining_waiters.end(), e.waiters.begin(),
                             e.waiters.end());
  }
  entries_.clear();
  organisations_.clear();
  log_.Clear();
  answer_bytes_ = 0;
  tenure_ = std::move(tenure);
  return remaining_waiters;
}

template <typename Rules>
void basic_action_table<Rules>::ContinueIn(uint64_t epoch) {
  tenure_.covered_epochs.push_back(tenure_.epoch);
  tenure_.epoch = epoch;
}

template <typename Rules>
std::string basic_action_table<Rules>::Export(time_point now,
                                              size_t max_body_bytes) const {
  action_export table_export;
  table_export.covered = tenure_.covered_epochs;
  table_export.covered.push_back(tenure_.epoch);
  table_export.age = now - tenure_.began_at;
  table_export.next = log_.next_sequence();
  table_export.first_kept = log_.first_kept_sequence();
  table_export.words = log_.Words();
  for (const auto& [key, e] : entries_) {
    exported_action exported;
    exported.key = key;
    exported.organisation = e.organisation;
    exported.sequence = e.sequence;
    exported.content_hash = e.content_hash;
    exported.done = e.state == entry_state::kDone;
    exported.not_run =
        e.state == entry_state::kNotRun && !e.unknown_was_reported;
    exported.attempt = e.attempt;
    exported.age = IsUnfinished(e) ? duration{0} : now - e.last_used_at;
    if (e.answer != nullptr) {
      exported.status = e.answer->status;
      exported.content_type = e.answer->content_type;
      exported.body_omitted =
          e.answer->body_omitted || e.answer->body.size() > max_body_bytes;
      if (!exported.body_omitted) {
        max_body_bytes -= e.answer->body.size();
        exported.body = e.answer->body;
      }
    }
    table_export.actions.push_back(std::move(exported));
  }
  return FormatActionExport(table_export);
}

template <typename Rules>
status basic_action_table<Rules>::Import(std::string_view text,
                                         time_point now) {
  const result<action_export> parsed = ParseActionExport(text);
  if (!parsed) {
    return parsed.error();
  }
  const action_export& table_export = parsed.value();
  tenure_.covered_epochs = table_export.covered;
  tenure_.began_at = now - table_export.age;
  organisations_.clear();
  log_.Restore(table_export.next, table_export.first_kept, table_export.words);
  std::vector<const exported_action*> oldest_first;
  for (const exported_action& exported : table_export.actions) {
    oldest_first.push_back(&exported);
  }
  std::ranges::stable_sort(oldest_first, std::greater<>(),
                           &exported_action::age);
  for (const exported_action* exported : oldest_first) {
    const auto position = entries_.try_emplace(exported->key).first;
    entry& e = position->second;
    e.key = &position->first;
    e.organisation = exported->organisation;
    e.content_hash = exported->content_hash;
    e.sequence = exported->sequence;
    e.attempt = exported->attempt;
    e.unknown_was_reported = !exported->done && !exported->not_run;
    if (exported->done) {
      boost::intrusive_ptr<stored_answer> answer(new stored_answer);
      answer->status = exported->status;
      answer->content_type = exported->content_type;
      answer->body = exported->body;
      answer->body_omitted = exported->body_omitted;
      StoreAnswer(e, answer);
    }
    const entry_state ended =
        exported->not_run ? entry_state::kNotRun : entry_state::kUnknown;
    FinishEntry(now - exported->age, e,
                exported->done ? entry_state::kDone : ended);
  }
  return OkStatus();
}

template <typename Rules>
action_decision basic_action_table<Rules>::Begin(
    time_point now, const action_request& request) {
  entry* e = FindEntry(request.organisation, request.id.text);
  return e == nullptr ? BeginWithoutEntry(now, request)
                      : BeginWithEntry(now, *e, request);
}

template <typename Rules>
action_decision basic_action_table<Rules>::BeginWithEntry(
    time_point now, entry& e, const action_request& request) {
  // The outcome is kUnknown rather than kNotRun, because the caller could take
  // kNotRun for the outcome of the first request with this identifier.
  if (e.content_hash != request.content_hash) {
    return RefuseDecision(action_refusal::kOtherContent,
                          action_outcome::kUnknown);
  }
  switch (e.state) {
    case entry_state::kQueued:
    case entry_state::kRunning:
      return AttachWaiter(e, request.waiter_id);
    case entry_state::kNotRun:
      return StartAttempt(e, request.waiter_id);
    case entry_state::kDone:
      Touch(now, e);
      return AnswerDecision(action_outcome::kDone, e.answer);
    case entry_state::kUnknown:
      break;
  }
  Touch(now, e);
  return AnswerDecision(action_outcome::kUnknown);
}

template <typename Rules>
action_decision basic_action_table<Rules>::BeginWithoutEntry(
    time_point now, const action_request& request) {
  const unseen_action_context context{
      tenure_, log_,
      OrganisationState(request.organisation).caller_made_ids_complete_since,
      limits_.resend_window};
  switch (Rules::ClassifyUnseen(request.id, context, now)) {
    case unseen_action::kNeverBegun:
      return BeginNew(request);
    case unseen_action::kOtherRange:
      return RefuseDecision(action_refusal::kOtherRange,
                            action_outcome::kUnknown);
    case unseen_action::kLaterEpoch:
      return RefuseDecision(action_refusal::kNotSteward,
                            action_outcome::kUnknown);
    case unseen_action::kMayHaveBegun:
      break;
  }
  if (!request.id.minted) {
    RecordUnknown(now, request);
  }
  return AnswerDecision(action_outcome::kUnknown);
}

template <typename Rules>
action_decision basic_action_table<Rules>::BeginNew(
    const action_request& request) {
  if (!EnsureCapacity(request.organisation)) {
    return RefuseDecision(action_refusal::kTableFull, action_outcome::kNotRun);
  }
  return StartAttempt(AddEntry(request), request.waiter_id);
}

// The caller gets `unknown` only because the tenure is younger than the resend
// window. Without an entry, a later retry would find the tenure old enough and
// run, and the caller could then receive `not run` after `unknown`. If the
// table is full, the organisation's identifiers without an entry count as
// possibly begun for another resend window.
template <typename Rules>
void basic_action_table<Rules>::RecordUnknown(time_point now,
                                              const action_request& request) {
  if (!EnsureCapacity(request.organisation)) {
    OrganisationState(request.organisation).caller_made_ids_complete_since =
        now;
    return;
  }
  entry& e = AddEntry(request);
  e.unknown_was_reported = true;
  FinishEntry(now, e, entry_state::kUnknown);
}

template <typename Rules>
action_decision basic_action_table<Rules>::StartAttempt(entry& e,
                                                        uint64_t waiter) {
  e.hook<by_last_use>::unlink();
  e.state = entry_state::kQueued;
  ++e.attempt;
  e.waiters.push_back(waiter);
  UpdatePinned(e);
  if (e.sequence) {
    log_.MarkBegun(*e.sequence);
  }
  action_decision decision;
  decision.step = action_step::kRun;
  decision.attempt = e.attempt;
  return decision;
}

template <typename Rules>
action_decision basic_action_table<Rules>::AttachWaiter(entry& e,
                                                        uint64_t waiter) {
  if (e.waiters.size() >= limits_.max_waiters_per_action) {
    e.unknown_was_reported = true;
    return RefuseDecision(action_refusal::kTooManyWaiters,
                          action_outcome::kUnknown);
  }
  e.waiters.push_back(waiter);
  action_decision decision;
  decision.step = action_step::kAttach;
  decision.attempt = e.attempt;
  return decision;
}

template <typename Rules>
void basic_action_table<Rules>::RecordStart(std::string_view organisation,
                                            std::string_view id,
                                            uint32_t attempt) {
  entry* e = FindEntry(organisation, id);
  if (e != nullptr && e->attempt == attempt &&
      e->state == entry_state::kQueued) {
    e->state = entry_state::kRunning;
  }
}

template <typename Rules>
auto basic_action_table<Rules>::RecordEnd(time_point now,
                                          std::string_view organisation,
                                          std::string_view id,
                                          action_outcome outcome,
                                          answer_ptr answer) -> waiter_list {
  entry* e = FindEntry(organisation, id);
  if (e == nullptr || e->state == entry_state::kDone) {
    return {};
  }
  if (outcome == action_outcome::kDone) {
    StoreAnswer(*e, answer);
    return FinishEntry(now, *e, entry_state::kDone);
  }
  if (!IsUnfinished(*e)) {
    return {};
  }
  e->unknown_was_reported = true;
  return FinishEntry(now, *e, entry_state::kUnknown);
}

// The attempt must match: a late proof about an earlier attempt says nothing
// about the current one, and accepting it would let another attempt run
// concurrently.
template <typename Rules>
auto basic_action_table<Rules>::RecordNotRun(time_point now,
                                             std::string_view organisation,
                                             std::string_view id,
                                             uint32_t attempt)
    -> not_run_report {
  entry* e = FindEntry(organisation, id);
  if (e == nullptr || e->attempt != attempt || !IsUnfinished(*e)) {
    return {};
  }
  const action_outcome outcome = Rules::NotRunOutcome(e->unknown_was_reported);
  if (outcome != action_outcome::kNotRun) {
    return {outcome, FinishEntry(now, *e, entry_state::kUnknown)};
  }
  if (e->sequence) {
    log_.MarkNotBegun(*e->sequence);
  }
  return {outcome, FinishEntry(now, *e, entry_state::kNotRun)};
}

template <typename Rules>
cancel_wait_step basic_action_table<Rules>::CancelWait(
    std::string_view organisation, std::string_view id, uint64_t waiter) {
  entry* e = FindEntry(organisation, id);
  if (e == nullptr) {
    return cancel_wait_step::kNotWaiting;
  }
  const auto position = std::ranges::find(e->waiters, waiter);
  if (position == e->waiters.end()) {
    return cancel_wait_step::kNotWaiting;
  }
  if (e->state == entry_state::kQueued && e->waiters.size() == 1) {
    return cancel_wait_step::kCancel;
  }
  e->waiters.erase(position);
  e->unknown_was_reported = true;
  return cancel_wait_step::kAnswerUnknown;
}

template <typename Rules>
void basic_action_table<Rules>::Expire(time_point now) {
  while (!ended_minted_.empty() &&
         ended_minted_.front().last_used_at + limits_.retention_time <= now) {
    RemoveEntry(ended_minted_.front());
  }
  while (!ended_caller_made_.empty() &&
         ended_caller_made_.front().last_used_at + limits_.resend_window <=
             now) {
    RemoveEntry(ended_caller_made_.front());
  }
}

template <typename Rules>
auto basic_action_table<Rules>::FindEntry(std::string_view organisation,
                                          std::string_view id) -> entry* {
  const auto found = entries_.find(MakeKey(organisation, id));
  return found == entries_.end() ? nullptr : &found->second;
}

template <typename Rules>
auto basic_action_table<Rules>::OrganisationState(std::string_view organisation)
    -> organisation_state& {
  auto found = organisations_.find(organisation);
  if (found == organisations_.end()) {
    const organisation_state initial{0, tenure_.began_at};
    found = organisations_.emplace(organisation, initial).first;
  }
  return found->second;
}

template <typename Rules>
bool basic_action_table<Rules>::EnsureCapacity(std::string_view organisation) {
  if (OrganisationState(organisation).pinned >=
      limits_.max_pinned_per_organisation) {
    return false;
  }
  while (entries_.size() >= limits_.max_entries) {
    if (ended_minted_.empty()) {
      return false;
    }
    RemoveEntry(ended_minted_.front());
  }
  return true;
}

template <typename Rules>
auto basic_action_table<Rules>::AddEntry(const action_request& request)
    -> entry& {
  const auto position =
      entries_.try_emplace(MakeKey(request.organisation, request.id.text))
          .first;
  entry& e = position->second;
  e.key = &position->first;
  e.organisation = request.organisation;
  e.content_hash = request.content_hash;
  if (request.id.minted) {
    e.sequence = request.id.minted->sequence;
  }
  return e;
}

template <typename Rules>
void basic_action_table<Rules>::Touch(time_point now, entry& e) {
  e.last_used_at = now;
  e.hook<by_last_use>::unlink();
  (e.sequence ? ended_minted_ : ended_caller_made_).push_back(e);
}

template <typename Rules>
auto basic_action_table<Rules>::FinishEntry(time_point now, entry& e,
                                            entry_state state) -> waiter_list {
  e.state = state;
  Touch(now, e);
  UpdatePinned(e);
  return std::exchange(e.waiters, {});
}

// An ended entry with a minted identifier may be evicted, because the log still
// records that it began. A caller-made identifier is recorded in its entry
// only.
template <typename Rules>
void basic_action_table<Rules>::UpdatePinned(entry& e) {
  const bool pinned = IsUnfinished(e) || !e.sequence;
  if (pinned == e.pinned) {
    return;
  }
  e.pinned = pinned;
  size_t& count = OrganisationState(e.organisation).pinned;
  count = pinned ? count + 1 : count - 1;
}

template <typename Rules>
void basic_action_table<Rules>::StoreAnswer(entry& e,
                                            const answer_ptr& answer) {
  if (answer == nullptr) {
    return;
  }
  if (answer->body.size() > limits_.max_answer_body_bytes) {
    e.answer = WithoutBody(*answer);
    return;
  }
  e.answer = answer;
  answer_bytes_ += answer->body.size();
  entries_with_body_.push_back(e);
  while (answer_bytes_ > limits_.max_total_answer_bytes) {
    DropBody(entries_with_body_.front());
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
void basic_action_table<Rules>::RemoveEntry(entry& e) {
  DropBody(e);
  if (e.pinned) {
    --OrganisationState(e.organisation).pinned;
  }
  entries_.erase(entries_.find(*e.key));
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_TABLE_INL_H_
