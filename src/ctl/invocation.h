#ifndef FOXTAILSPREAD_CTL_INVOCATION_H_
#define FOXTAILSPREAD_CTL_INVOCATION_H_

/// @file
/// One invocation of foxtailctl: what its arguments say.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ctl/config_edit.h"
#include "ctl/report.h"

namespace foxtailspread {

/// The commands of foxtailctl.
enum class command_kind {
  kCheck,
  kDiff,
  kApply,
  kShow,
  kPresetList,
  kPresetShow,
  kPresetSwitch,
  kOrganisationList,
  kOrganisationAdd,
  kOrganisationRemove,
  kServiceList,
  kRuleList,
  kRuleSet,
  kDrainTarget,
  kDrainHost,
  kUndrainTarget,
  kUndrainHost,
  kRangeReset,
  kOwnership,
  kHosts,
  kStatus,
  kBurn,
  kMetrics,
};

/// The arguments of one invocation; those of other commands keep defaults.
struct invocation {
  command_kind command = command_kind::kShow;
  std::string directory;             ///< check, diff, apply
  bool wait = false;                 ///< apply
  std::string name;                  ///< What the command is about.
  std::string why;                   ///< preset switch, drain
  bool with_rules = false;           ///< organisation remove
  organisation_config organisation;  ///< organisation add
  rule_edit rule;                    ///< rule set
  std::string most_urgent;           ///< rule set
  std::string dead_host;             ///< range reset
  bool yes = false;                  ///< range reset
  std::string platform;
  std::string host;
  std::string operator_token;
  std::string operator_token_file;
  std::string as;
  std::optional<uint64_t> revision;
  output_format output = output_format::kTable;
  double timeout_s = 10;
};

/// What to print instead of running a command, and the status to end with.
struct early_end {
  exit_status status = exit_status::kOk;
  std::string text;
};

/// Reads the arguments, the program's name left out. Help and mistakes give
/// an early end; a mistyped name gets the nearest known one.
std::variant<invocation, early_end> ParseArguments(
    const std::vector<std::string>& arguments);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_INVOCATION_H_
