#include "foxtailspread/action_table.h"

#include <algorithm>

namespace foxtailspread {

bool action_tenure::Covers(uint64_t minted) const {
  return minted == epoch || std::ranges::find(covered, minted) != covered.end();
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

// A caller-made identifier may be the resend of one that the former steward
// ran. Callers promise to resend within the window only, so once the tenure is
// older than that, an identifier without an entry is new. Run at once instead,
// a report signed just before a takeover would be signed again.
unseen_action JudgeCallerMade(const table_memory& memory, time_point now) {
  const bool may_be_a_resend =
      now < memory.caller_made_since + memory.resend_window;
  return may_be_a_resend ? unseen_action::kUnknowable
                         : unseen_action::kNeverBegun;
}

}  // namespace

unseen_action at_most_once_rules::JudgeUnseen(const action_id& id,
                                              const table_memory& memory,
                                              time_point now) {
  if (!id.minted) {
    return JudgeCallerMade(memory, now);
  }
  if (id.minted->range != memory.tenure.range) {
    return unseen_action::kOtherRange;
  }
  if (id.minted->epoch > memory.tenure.epoch) {
    return unseen_action::kLaterEpoch;
  }
  if (!memory.tenure.Covers(id.minted->epoch)) {
    return unseen_action::kUnknowable;
  }
  // A number that this tenure never handed out, under its own epoch, means
  // that the epoch was used twice: the other holder may have run it.
  const bool never_begun =
      memory.log.StateOf(id.minted->sequence) == sequence_state::kNeverBegun;
  return never_begun ? unseen_action::kNeverBegun : unseen_action::kUnknowable;
}

action_outcome at_most_once_rules::JudgeNotRun(bool unknown_was_said) {
  return unknown_was_said ? action_outcome::kUnknown : action_outcome::kNotRun;
}

}  // namespace foxtailspread
