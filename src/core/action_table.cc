#include "foxtailspread/action_table.h"

#include <algorithm>

namespace foxtailspread {

bool action_tenure::Covers(uint64_t minted_epoch) const {
  return minted_epoch == epoch ||
         std::ranges::find(covered_epochs, minted_epoch) !=
             covered_epochs.end();
}

std::string_view ToString(action_outcome outcome) {
  switch (outcome) {
    case action_outcome::kDone:
      return "done";
    case action_outcome::kNotRun:
      return "not-run";
    case action_outcome::kUnknown:
      break;
  }
  return "unknown";
}

result<action_outcome> ParseActionOutcome(std::string_view text) {
  for (const action_outcome outcome :
       {action_outcome::kDone, action_outcome::kNotRun,
        action_outcome::kUnknown}) {
    if (text == ToString(outcome)) {
      return outcome;
    }
  }
  return error{error_code::kMalformed, "Foxtail-Outcome",
               "'" + std::string(text) + "' is not an outcome",
               "use done, not-run or unknown"};
}

std::string_view ToString(action_refusal refusal) {
  switch (refusal) {
    case action_refusal::kNone:
      return "none";
    case action_refusal::kOtherContent:
      return "other-content";
    case action_refusal::kOtherRange:
      return "other-range";
    case action_refusal::kNotSteward:
      return "not-steward";
    case action_refusal::kTooManyWaiters:
      return "too-many-waiters";
    case action_refusal::kTableFull:
      return "table-full";
  }
  return "unknown";
}

namespace {

// A caller-made identifier may be a retry of one that the previous steward ran.
// Callers may retry only within the resend window, so once the table has kept
// all identifiers for that long, one without an entry is new. Without the wait,
// an action that ran just before a takeover could run again.
unseen_action ClassifyCallerMade(const unseen_action_context& context,
                                 time_point now) {
  const bool may_be_resend =
      now < context.caller_made_ids_complete_since + context.resend_window;
  return may_be_resend ? unseen_action::kMayHaveBegun
                       : unseen_action::kNeverBegun;
}

}  // namespace

unseen_action at_most_once_rules::ClassifyUnseen(
    const action_id& id, const unseen_action_context& context, time_point now) {
  if (!id.minted) {
    return ClassifyCallerMade(context, now);
  }
  if (id.minted->range != context.tenure.range) {
    return unseen_action::kOtherRange;
  }
  if (id.minted->epoch > context.tenure.epoch) {
    return unseen_action::kLaterEpoch;
  }
  if (!context.tenure.Covers(id.minted->epoch)) {
    return unseen_action::kMayHaveBegun;
  }
  // A sequence number that this tenure never reserved, under its own epoch,
  // means that two stewards used the epoch: the other one may have run it.
  const bool never_begun =
      context.log.StateOf(id.minted->sequence) == sequence_state::kNeverBegun;
  return never_begun ? unseen_action::kNeverBegun
                     : unseen_action::kMayHaveBegun;
}

action_outcome at_most_once_rules::NotRunOutcome(bool unknown_was_reported) {
  return unknown_was_reported ? action_outcome::kUnknown
                              : action_outcome::kNotRun;
}

}  // namespace foxtailspread
