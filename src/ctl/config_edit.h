#ifndef FOXTAILSPREAD_CTL_CONFIG_EDIT_H_
#define FOXTAILSPREAD_CTL_CONFIG_EDIT_H_

/// @file
/// Changes that an operator makes to a configuration, as functions from the
/// one in force to the next.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/config.h"

namespace foxtailspread {

/// Who makes a change, with what a write needs besides its content.
struct operator_act {
  std::string who;
  std::string why;
  std::string at;    ///< ISO 8601 in UTC.
  std::string mark;  ///< Unique to this run of the command.
  /// The revision that the operator has seen; another one in force is a lost
  /// race. Nothing means the one that the command itself reads and shows.
  std::optional<uint64_t> seen_revision;
};

/// Returns the error for a name that is not among `known`.
error UnknownNameError(std::string_view what, std::string_view name,
                       const std::vector<std::string>& known);

/// Switches the preset and records who, why and when. Refuses the one that is
/// in force and an act without a reason.
result<deployment_config> SwitchPreset(deployment_config config,
                                       std::string_view preset,
                                       const operator_act& act);

/// Adds an organisation.
result<deployment_config> AddOrganisation(deployment_config config,
                                          organisation_config added);

/// Removes an organisation. Its rules must go with it: refuses while there are
/// some, unless `with_rules`.
result<deployment_config> RemoveOrganisation(deployment_config config,
                                             std::string_view name,
                                             bool with_rules);

/// The parts of a rule that an operator wants to set.
struct rule_edit {
  std::string organisation;
  std::string service = "*";
  std::optional<double> share{};
  std::optional<int> max_queued{};
  std::optional<urgency> most_urgent{};
};

/// Changes the rule of that organisation and service, or adds it with the
/// defaults for the parts that are not given.
result<deployment_config> SetRule(deployment_config config,
                                  const rule_edit& edit);

/// Returns the declared configuration with the preset that is in force in
/// `current`. Refuses another deployment's declarations, the removal of the
/// preset in force, and changes to what is fixed for a service's lifetime.
result<deployment_config> KeepPreset(const deployment_config& current,
                                     deployment_config declared);

/// Checks the whole as ParseConfig does.
result<deployment_config> Checked(const deployment_config& config);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_CONFIG_EDIT_H_
