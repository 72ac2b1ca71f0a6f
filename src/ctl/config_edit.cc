#include "ctl/config_edit.h"

#include <algorithm>
#include <utility>

#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

error Refused(std::string path, std::string reason, std::string remedy) {
  return error{error_code::kForbidden, std::move(path), std::move(reason),
               std::move(remedy)};
}

/// Moving the buckets' borders or the way of placement under a running service
/// would give some keys two owners until every host has followed.
status CheckServiceKept(const service_config& before,
                        const service_config& after) {
  const std::string path = "services." + before.name;
  if (before.buckets != after.buckets) {
    return Refused(path + ".buckets", "is fixed for the service's lifetime",
                   "keep " + std::to_string(before.buckets) +
                       ", or define a service under another name");
  }
  if (before.placement != after.placement) {
    return Refused(path + ".placement", "is fixed for the service's lifetime",
                   "keep " + std::string(ToString(before.placement)) +
                       ", or define a service under another name");
  }
  return OkStatus();
}

}  // namespace

error UnknownNameError(std::string_view what, std::string_view name,
                       const std::vector<std::string>& known) {
  return error{error_code::kUnknownName, "",
               "there is no " + std::string(what) + " " + Quoted(name),
               KnownNameRemedy(name, known)};
}

result<deployment_config> Checked(const deployment_config& config) {
  result<deployment_config> checked = ParseConfig(FormatConfig(config));
  if (checked) {
    checked.value().version = config.version;
  }
  return checked;
}

result<deployment_config> SwitchPreset(deployment_config config,
                                       std::string_view preset,
                                       const operator_act& act) {
  if (config.FindPreset(preset) == nullptr) {
    return UnknownNameError("preset", preset, EntryNames(config.presets));
  }
  if (config.preset == preset) {
    return Refused("preset.name",
                   Quoted(preset) + " is in force already, since " +
                       config.preset_at + " by " + config.preset_by + " (" +
                       config.preset_why + ")",
                   "nothing needs to be done; see foxtailctl preset show");
  }
  if (act.who.empty() || act.why.empty()) {
    return error{error_code::kMissingField, "preset",
                 "a switch records who and why",
                 "give --why TEXT, and --as NAME if $USER is not set"};
  }
  config.preset = preset;
  config.preset_by = act.who;
  config.preset_why = act.why;
  config.preset_at = act.at;
  return Checked(config);
}

result<deployment_config> AddOrganisation(deployment_config config,
                                          organisation_config added) {
  if (config.FindOrganisation(added.name) != nullptr) {
    return Refused("organisations", Quoted(added.name) + " exists already",
                   "choose another name, or change it in the declarations");
  }
  config.organisations.push_back(std::move(added));
  return Checked(config);
}

result<deployment_config> RemoveOrganisation(deployment_config config,
                                             std::string_view name,
                                             bool with_rules) {
  if (config.FindOrganisation(name) == nullptr) {
    return UnknownNameError("organisation", name,
                            EntryNames(config.organisations));
  }
  const auto rules = std::erase_if(
      config.rules,
      [name](const rule_config& rule) { return rule.organisation == name; });
  if (rules > 0 && !with_rules) {
    return Refused("rules",
                   std::to_string(rules) + " rules name " + Quoted(name),
                   "add --with-rules to remove them too");
  }
  std::erase_if(config.organisations, [name](const organisation_config& item) {
    return item.name == name;
  });
  return Checked(config);
}

result<deployment_config> SetRule(deployment_config config,
                                  const rule_edit& edit) {
  const auto same = [&edit](const rule_config& rule) {
    return rule.organisation == edit.organisation &&
           rule.service == edit.service;
  };
  auto found = std::find_if(config.rules.begin(), config.rules.end(), same);
  if (found == config.rules.end()) {
    config.rules.push_back({edit.organisation, edit.service});
    found = std::prev(config.rules.end());
  }
  found->share = edit.share.value_or(found->share);
  found->max_queued = edit.max_queued.value_or(found->max_queued);
  found->most_urgent = edit.most_urgent.value_or(found->most_urgent);
  return Checked(config);
}

result<deployment_config> KeepPreset(const deployment_config& current,
                                     deployment_config declared) {
  if (current.deployment != declared.deployment) {
    return Refused("deployment",
                   "the platform holds " + Quoted(current.deployment) +
                       ", the declarations are of " +
                       Quoted(declared.deployment),
                   "check --platform and the directory");
  }
  if (declared.FindPreset(current.preset) == nullptr) {
    return Refused(
        "presets",
        Quoted(current.preset) + " is in force and not among the declared ones",
        "declare it, or switch to another preset first");
  }
  for (const service_config& before : current.services) {
    const service_config* after = declared.FindService(before.name);
    const status kept =
        after == nullptr ? OkStatus() : CheckServiceKept(before, *after);
    if (!kept) {
      return kept.error();
    }
  }
  declared.preset = current.preset;
  declared.preset_by = current.preset_by;
  declared.preset_why = current.preset_why;
  declared.preset_at = current.preset_at;
  return declared;
}

}  // namespace foxtailspread
