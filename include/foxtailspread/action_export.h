#ifndef FOXTAILSPREAD_ACTION_EXPORT_H_
#define FOXTAILSPREAD_ACTION_EXPORT_H_

/// @file
/// The content of an action table, as passed to the successor in a planned
/// handover.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One action of the table. The outcome is unknown if neither `done` nor
/// `not_run` is set.
struct exported_action {
  std::string key;  ///< Key in the table: organisation and identifier.
  std::string organisation;
  std::optional<uint64_t> sequence;
  uint64_t content_hash = 0;
  bool done = false;
  bool not_run = false;
  uint32_t attempt = 0;
  duration age{0};  ///< Time since it ended or was last requested.
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_omitted = false;
};

/// The whole content of one table.
struct action_export {
  std::vector<uint64_t> covered;  ///< Epochs for which the table is complete.
  duration age{0};              ///< Time for which the table has been complete.
  uint64_t next = 0;            ///< Next sequence number to reserve.
  uint64_t first_kept = 0;      ///< First sequence number in `words`.
  std::vector<uint64_t> words;  ///< One bit per number: whether it began.
  std::vector<exported_action> actions;
};

/// Formats the table content as JSON text.
std::string FormatActionExport(const action_export& table_export);

/// Parses the text that FormatActionExport returns.
result<action_export> ParseActionExport(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_EXPORT_H_
