#ifndef FOXTAILSPREAD_CTL_REPORT_H_
#define FOXTAILSPREAD_CTL_REPORT_H_

/// @file
/// What a command says when it ends, and its exit status.

#include <nlohmann/json.hpp>
#include <string>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// The exit statuses of foxtailctl; part of its interface.
enum class exit_status {
  kOk = 0,
  kDiffers = 1,      ///< The answer is no: it differs, or is not yet so.
  kUsage = 2,        ///< Wrong arguments or bad input files.
  kLostRace = 3,     ///< Another writer was first; nothing was changed.
  kUnreachable = 4,  ///< The platform or the host did not answer.
  kRefused = 5,      ///< Understood and not done.
};

/// Returns the exit status that `code` leads to.
exit_status ExitStatusOf(error_code code);

/// How results are printed.
enum class output_format { kTable, kJson };

/// The result of a command.
struct report {
  nlohmann::json data;  ///< Printed for scripts.
  std::string text;     ///< Printed for people; made from `data` if empty.
  exit_status status = exit_status::kOk;
};

/// Returns what is printed for `done`, with a line break at its end.
std::string Render(const report& done, output_format format);

/// Returns what is printed on standard error for `failed`.
std::string RenderError(const error& failed, output_format format);

/// Renders any JSON value for people: single values as "name: value", lists of
/// objects as tables.
std::string RenderTable(const nlohmann::json& value);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_REPORT_H_
