#ifndef FOXTAILSPREAD_SRC_LOAD_CHECKER_H_
#define FOXTAILSPREAD_SRC_LOAD_CHECKER_H_

/// @file
/// Compares what callers were told with what the targets really began.
///
/// Each request of a load run has a body of its own, so the hash of the body,
/// which targets log, names the request. Times of targets are compared with
/// each other and must come from one machine's clock.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/action_table.h"
#include "foxtailspread/target_machine.h"

namespace foxtailspread {

/// One answer that a caller got; the last of a request is its outcome.
struct answer_record {
  action_outcome outcome = action_outcome::kUnknown;
  time_point at{};  ///< When it arrived, on the targets' clock.
  /// False for a timeout or a broken connection: the system said nothing.
  bool said = true;
};

/// One request with all its resends.
struct request_record {
  std::string service;
  std::string key;
  uint64_t body_sum = 0;
  bool at_most_once = false;
  std::vector<answer_record> answers;
  /// Answers said to be done that did not carry this request's key and hash.
  std::vector<std::string> foreign_answers;
};

/// One entry of a target's log.
struct observed_run {
  std::string target;
  target_run run;
};

/// Parses the answer of GET /admin/runs.
result<std::vector<observed_run>> ParseRuns(std::string_view target,
                                            std::string_view text);

/// Returns "" if `body` answers the request for this key and body, else what
/// is wrong with it.
std::string FindForeignAnswer(std::string_view body, std::string_view key,
                              uint64_t body_sum);

/// What a check can find.
enum class violation_kind {
  kSecondRun,           ///< An at-most-once action began twice.
  kFalseNotRun,         ///< Said not to have run, but it had begun.
  kNotRunAfterUnknown,  ///< `unknown` was followed by `not run`.
  kDoneWithoutRun,      ///< Said to be done, but nothing began.
  kForeignAnswer,       ///< The answer belongs to another request.
  kOwnerOverlap,        ///< Two targets served one bucket at a time.
};

/// Returns the stable lower-case name, "second-run" for instance.
std::string_view ToString(violation_kind kind);

/// One broken promise.
struct violation {
  violation_kind kind = violation_kind::kSecondRun;
  std::string text;  ///< Who and when.
};

/// What a check found, and how far it could look.
struct check_report {
  uint64_t requests = 0;
  uint64_t actions = 0;
  uint64_t runs = 0;
  /// Targets whose log could not be read whole: runs there are not seen, so a
  /// check without violations proves less.
  std::vector<std::string> unread_targets;
  std::vector<violation> violations;
};

/// Checks a run.
check_report CheckRuns(std::span<const request_record> requests,
                       std::span<const observed_run> runs,
                       std::vector<std::string> unread_targets);

nlohmann::json CheckToJson(const check_report& report);

/// The report for a terminal; lists at most 20 violations.
std::string CheckToText(const check_report& report);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SRC_LOAD_CHECKER_H_
