#ifndef FOXTAILSPREAD_CTL_CONFIG_VIEWS_H_
#define FOXTAILSPREAD_CTL_CONFIG_VIEWS_H_

/// @file
/// Parts of a configuration, as the commands show them.

#include <vector>

#include "ctl/config_diff.h"
#include "ctl/report.h"
#include "foxtailspread/config.h"

namespace foxtailspread {

/// The whole configuration.
report ShowConfig(const deployment_config& config);

/// All presets, the one in force marked.
report ShowPresets(const deployment_config& config);

/// The preset in force, who switched to it, when and why.
report ShowPresetInForce(const deployment_config& config);

/// All organisations; of their tokens only the number.
report ShowOrganisations(const deployment_config& config);

report ShowServices(const deployment_config& config);
report ShowRules(const deployment_config& config);

/// Says that a change would change nothing.
report Unchanged(uint64_t revision);

/// Says what a change of `revision` would change; kDiffers if anything.
report DiffReport(const std::vector<config_change>& changes, uint64_t revision);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_CONFIG_VIEWS_H_
