#ifndef FOXTAILSPREAD_CTL_CONFIG_COMMANDS_H_
#define FOXTAILSPREAD_CTL_CONFIG_COMMANDS_H_

/// @file
/// The commands that read and change the configuration.

#include <span>
#include <string>
#include <utility>

#include "ctl/config_store.h"
#include "ctl/config_views.h"
#include "ctl/report.h"
#include "foxtailspread/declarations.h"

namespace foxtailspread {

/// Reports a change that was accepted as `revision`.
inline report ChangeReport(const std::vector<config_change>& changes,
                           uint64_t revision) {
  report done;
  done.data = {{"revision", revision}, {"changes", ChangesToJson(changes)}};
  done.text = FormatChanges(changes) + "accepted as revision " +
              std::to_string(revision) + "\n";
  return done;
}

/// Reads the configuration, applies `edit` to it and writes the outcome.
template <object_api Api, typename Edit>
result<report> EditConfig(Api& api, const operator_act& act, const Edit& edit) {
  const result<deployment_config> current = ReadConfig(api);
  if (!current) {
    return current.error();
  }
  if (const status seen = CheckSeen(current.value(), act); !seen) {
    return seen.error();
  }
  result<deployment_config> next = edit(current.value());
  if (!next) {
    return next.error();
  }
  const auto changes = DiffConfigs(current.value(), next.value());
  if (changes.empty()) {
    return Unchanged(current.value().version);
  }
  const result<uint64_t> revision =
      WriteConfig(api, current.value(), std::move(next.value()), act);
  if (!revision) {
    return revision.error();
  }
  return ChangeReport(changes, revision.value());
}

/// Reads the configuration and shows a part of it.
template <object_api Api, typename View>
result<report> ViewConfig(Api& api, const View& view) {
  const result<deployment_config> current = ReadConfig(api);
  if (!current) {
    return current.error();
  }
  return view(current.value());
}

/// Merges the declarations with the preset in force.
inline result<deployment_config> NextConfig(
    const std::optional<deployment_config>& current,
    std::span<const declaration_file> files) {
  result<deployment_config> declared = MergeDeclarations(files);
  if (!declared || !current) {
    return declared;
  }
  return KeepPreset(*current, std::move(declared.value()));
}

/// Shows what `apply` would change; kDiffers if it would.
template <object_api Api>
result<report> DiffDeclarations(Api& api,
                                std::span<const declaration_file> files) {
  const result<std::optional<deployment_config>> current = FindConfig(api);
  if (!current) {
    return current.error();
  }
  const result<deployment_config> next = NextConfig(current.value(), files);
  if (!next) {
    return next.error();
  }
  const deployment_config before =
      current.value().value_or(deployment_config{});
  return DiffReport(DiffConfigs(before, next.value()), before.version);
}

/// Puts the declarations in force, keeping the preset in force.
template <object_api Api>
result<report> ApplyDeclarations(Api& api,
                                 std::span<const declaration_file> files,
                                 const operator_act& act) {
  const result<std::optional<deployment_config>> found = FindConfig(api);
  if (!found) {
    return found.error();
  }
  const std::optional<deployment_config>& current = found.value();
  if (const status seen = CheckSeen(current, act); !seen) {
    return seen.error();
  }
  result<deployment_config> next = NextConfig(current, files);
  if (!next) {
    return next.error();
  }
  if (!current) {
    next.value().preset_by = act.who;
    next.value().preset_why = "first configuration";
    next.value().preset_at = act.at;
  }
  const auto changes =
      DiffConfigs(current.value_or(deployment_config{}), next.value());
  if (changes.empty()) {
    return Unchanged(current->version);
  }
  const result<uint64_t> revision =
      WriteConfig(api, current, std::move(next.value()), act);
  if (!revision) {
    return revision.error();
  }
  return ChangeReport(changes, revision.value());
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_CONFIG_COMMANDS_H_
