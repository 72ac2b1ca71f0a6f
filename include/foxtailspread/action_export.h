#ifndef FOXTAILSPREAD_ACTION_EXPORT_H_
#define FOXTAILSPREAD_ACTION_EXPORT_H_

/// @file
/// The memory of an action table on its way to the successor of a planned
/// handover.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One remembered action. Neither `done` nor `not_run` means unknown.
struct exported_action {
  std::string key;  ///< The table's: organisation and identifier.
  std::string organisation;
  std::optional<uint64_t> sequence;
  uint64_t content_hash = 0;
  bool done = false;
  bool not_run = false;
  uint32_t attempt = 0;
  duration age{0};  ///< Since it ended or was asked for last.
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_omitted = false;
};

/// The whole memory of one table.
struct action_export {
  std::vector<uint64_t> covered;  ///< The epochs that it is complete for.
  duration age{0};                ///< Since its memory began.
  uint64_t next = 0;
  uint64_t first_kept = 0;
  std::vector<uint64_t> words;
  std::vector<exported_action> actions;
};

/// Writes the memory as JSON text.
std::string FormatActionExport(const action_export& memory);

/// Parses what FormatActionExport wrote.
result<action_export> ParseActionExport(std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ACTION_EXPORT_H_
