#ifndef FOXTAILSPREAD_TRACE_H_
#define FOXTAILSPREAD_TRACE_H_

/// @file
/// Recorded runs of an entry host's decisions: one JSON object a line, the
/// first for the host, each further one for an event, its time and the actions
/// it led to. Replaying the events gives the same actions bit for bit.

#include <string>
#include <string_view>

#include "foxtailspread/entry_host.h"

namespace foxtailspread {

/// The format that this release reads and writes.
inline constexpr int kTraceFormat = 1;

/// One event with its time and what it led to.
struct trace_step {
  time_point at{};
  host_event event;
  action_list actions;
};

/// The start of a trace. The secret is not part of it.
struct trace_start {
  host_identity identity;
  decision_timing timing;
};

/// Writes the first line, without the end of line.
std::string FormatTraceStart(const host_identity& identity,
                             const decision_timing& timing);
/// Parses the first line.
result<trace_start> ParseTraceStart(std::string_view line);

/// Writes one step, without the end of line.
std::string FormatTraceStep(const trace_step& step);
/// Parses one step.
result<trace_step> ParseTraceStep(std::string_view line);

/// Writes one action; equal actions give equal text.
std::string FormatAction(const host_action& action);

/// Where a replay differed from the record.
struct replay_difference {
  size_t line = 0;  ///< In the trace, from 1.
  std::string recorded;
  std::string replayed;
};

/// What a replay found.
struct replay_report {
  size_t steps = 0;
  size_t answers = 0;
  std::vector<replay_difference> differences;  ///< The first few.
};

/// Feeds the recorded events to a fresh host and compares its actions.
/// `secret` must be the one that the host ran with.
result<replay_report> ReplayTrace(std::string_view text,
                                  const action_secret& secret);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TRACE_H_
