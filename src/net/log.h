#ifndef FOXTAILSPREAD_NET_LOG_H_
#define FOXTAILSPREAD_NET_LOG_H_

/// @file
/// Numbered events written to the log through log4cxx, one line of JSON each.

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "foxtailspread/events.h"

namespace foxtailspread {

/// One named value of an event.
struct log_field {
  std::string_view name;
  std::variant<std::string_view, int64_t, double> value;
};

/// Where the log goes and what is left out of it.
struct log_options {
  std::string file{};  ///< Standard error when empty.
  /// To standard output without ever waiting for its reader; what it does not
  /// take is dropped and counted. Takes the place of `file`.
  bool to_output = false;
  event_level least = event_level::kInfo;
  std::string program{};  ///< Added to each line.
};

/// Opens the log. Call once, before the first event; without it, events go to
/// standard error from the level info on.
void OpenLog(const log_options& settings);

/// Waits for a short time until the reader of standard output has taken what is
/// left. For the end of a program that logs there.
void FlushLog();

/// Lines of the log that standard output has not taken, since the start.
uint64_t LostLogLines();

/// Writes one event, or leaves it out if many of the same number came within a
/// second; how many is said in an event of its own. Values are escaped: a line
/// break in what a caller sent cannot forge a line of the log.
///
/// @code
/// LogEvent(event_id::kListening, {{"address", address}});
/// @endcode
void LogEvent(event_id id, std::span<const log_field> fields);
inline void LogEvent(event_id id,
                     std::initializer_list<log_field> fields = {}) {
  LogEvent(id, std::span<const log_field>(fields.begin(), fields.size()));
}

/// Returns the line that LogEvent writes, without the time.
std::string FormatEvent(const event_definition& event, std::string_view program,
                        std::span<const log_field> fields);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_LOG_H_
