#ifndef FOXTAILSPREAD_CTL_CONFIG_DIFF_H_
#define FOXTAILSPREAD_CTL_CONFIG_DIFF_H_

/// @file
/// What differs between two configurations, entry by entry.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "foxtailspread/config.h"

namespace foxtailspread {

/// One difference. Entries are compared by name, so that their order does not
/// matter.
struct config_change {
  std::string path;       ///< "services.archive.slots".
  nlohmann::json before;  ///< Null if it was not there.
  nlohmann::json after;   ///< Null if it is gone.
};

/// Returns the differences, ordered by path. The writers' marks are left out.
std::vector<config_change> DiffConfigs(const deployment_config& before,
                                       const deployment_config& after);

/// Returns one line for each change: "+ path: after", "- path: before" or
/// "~ path: before -> after".
std::string FormatChanges(const std::vector<config_change>& changes);

/// Returns the first few changes in one line, for an error's message.
std::string ChangesInOneLine(const std::vector<config_change>& changes);

/// Returns the changes for scripts.
nlohmann::json ChangesToJson(const std::vector<config_change>& changes);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_CONFIG_DIFF_H_
