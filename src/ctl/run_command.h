#ifndef FOXTAILSPREAD_CTL_RUN_COMMAND_H_
#define FOXTAILSPREAD_CTL_RUN_COMMAND_H_

/// @file
/// Carries out one invocation against the platform and an entry host.

#include <string>
#include <utility>
#include <vector>

#include "ctl/config_commands.h"
#include "ctl/declaration_directory.h"
#include "ctl/host_commands.h"
#include "ctl/invocation.h"
#include "ctl/object_commands.h"
#include "foxtailspread/address.h"

namespace foxtailspread {

/// Checks the address that a command needs.
inline status CheckEndpoint(std::string_view flag, std::string_view variable,
                            const std::string& address) {
  if (address.empty()) {
    return error{error_code::kMissingField, std::string(flag), "is missing",
                 "give " + std::string(flag) + " IP:port or set " +
                     std::string(variable)};
  }
  const status sound = CheckReachableAddress(address);
  if (!sound) {
    return error{sound.error().code, std::string(flag), sound.error().reason,
                 sound.error().remedy};
  }
  return OkStatus();
}

/// Whether the command asks an entry host and not the platform.
inline bool AsksHost(command_kind command) {
  return command == command_kind::kOwnership ||
         command == command_kind::kStatus || command == command_kind::kBurn ||
         command == command_kind::kMetrics || command == command_kind::kHosts;
}

/// Whether the command records who gave it.
inline bool RecordsActor(command_kind command) {
  return command == command_kind::kApply ||
         command == command_kind::kPresetSwitch ||
         command == command_kind::kDrainTarget ||
         command == command_kind::kDrainHost;
}

/// Checks what must be known before anything is sent.
inline status CheckInvocation(const invocation& what, const operator_act& act) {
  if (what.command == command_kind::kCheck) {
    return OkStatus();
  }
  if (RecordsActor(what.command) && act.who.empty()) {
    return error{error_code::kMissingField, "--as",
                 "the change records who made it, and $USER is not set",
                 "give --as NAME"};
  }
  return AsksHost(what.command)
             ? CheckEndpoint("--host", "FOXTAIL_HOST", what.host)
             : CheckEndpoint("--platform", "FOXTAIL_PLATFORM", what.platform);
}

/// Reads the directory and hands its files to `use`.
template <typename Use>
result<report> WithDeclarations(const invocation& what, const Use& use) {
  const result<std::vector<declaration_file>> files =
      ReadDeclarations(what.directory);
  if (!files) {
    return files.error();
  }
  return use(files.value());
}

/// Carries out `check`.
inline result<report> CheckDeclarations(const invocation& what) {
  return WithDeclarations(what, [&](const auto& files) -> result<report> {
    const result<deployment_config> merged = MergeDeclarations(files);
    if (!merged) {
      return merged.error();
    }
    report sound;
    sound.data = {{"deployment", merged.value().deployment},
                  {"services", merged.value().services.size()},
                  {"targets", TargetNames(merged.value()).size()},
                  {"organisations", merged.value().organisations.size()},
                  {"files", files.size()}};
    return sound;
  });
}

/// Carries out `apply`.
template <typename Session>
result<report> RunApply(Session& session, const invocation& what,
                        const operator_act& act) {
  result<report> applied = WithDeclarations(what, [&](const auto& files) {
    return ApplyDeclarations(session, files, act);
  });
  if (!applied || !what.wait) {
    return applied;
  }
  return AwaitInForce(session, session, std::move(applied.value()));
}

/// Carries out `rule set`.
template <object_api Api>
result<report> RunRuleSet(Api& api, const invocation& what,
                          const operator_act& act) {
  rule_edit edit = what.rule;
  if (!what.most_urgent.empty()) {
    const result<urgency> parsed = ParseUrgency(what.most_urgent);
    if (!parsed) {
      return error{parsed.error().code, "--most-urgent", parsed.error().reason,
                   parsed.error().remedy};
    }
    edit.most_urgent = parsed.value();
  }
  return EditConfig(api, act, [&](const deployment_config& current) {
    return SetRule(current, edit);
  });
}

/// Carries out `drain target`.
template <object_api Api>
result<report> RunDrainTarget(Api& api, const invocation& what,
                              const operator_act& act) {
  const result<deployment_config> config = ReadConfig(api);
  if (!config) {
    return config.error();
  }
  return Drain(api, "target", what.name, TargetNames(config.value()), act);
}

/// Carries out `drain host`.
template <object_api Api>
result<report> RunDrainHost(Api& api, const invocation& what,
                            const operator_act& act) {
  const result<std::vector<std::string>> hosts = ListNames(api, kHostsPrefix);
  if (!hosts) {
    return hosts.error();
  }
  return Drain(api, "host", what.name, hosts.value(), act);
}

/// Carries out the commands that change a part of the configuration.
template <object_api Api>
result<report> RunEdit(Api& api, const invocation& what,
                       const operator_act& act) {
  return EditConfig(
      api, act,
      [&](const deployment_config& current) -> result<deployment_config> {
        switch (what.command) {
          case command_kind::kPresetSwitch:
            return SwitchPreset(current, what.name, act);
          case command_kind::kOrganisationAdd:
            return AddOrganisation(current, what.organisation);
          default:
            return RemoveOrganisation(current, what.name, what.with_rules);
        }
      });
}

/// Carries out `what` once its arguments are checked.
template <typename Session>
requires object_api<Session> && admin_api<Session> result<report> Dispatch(
    Session& session, const invocation& what, const operator_act& act) {
  switch (what.command) {
    case command_kind::kCheck:
      return CheckDeclarations(what);
    case command_kind::kDiff:
      return WithDeclarations(what, [&](const auto& files) {
        return DiffDeclarations(session, files);
      });
    case command_kind::kApply:
      return RunApply(session, what, act);
    case command_kind::kShow:
      return ViewConfig(session, ShowConfig);
    case command_kind::kPresetList:
      return ViewConfig(session, ShowPresets);
    case command_kind::kPresetShow:
      return ViewConfig(session, ShowPresetInForce);
    case command_kind::kOrganisationList:
      return ViewConfig(session, ShowOrganisations);
    case command_kind::kServiceList:
      return ViewConfig(session, ShowServices);
    case command_kind::kRuleList:
      return ViewConfig(session, ShowRules);
    case command_kind::kPresetSwitch:
    case command_kind::kOrganisationAdd:
    case command_kind::kOrganisationRemove:
      return RunEdit(session, what, act);
    case command_kind::kRuleSet:
      return RunRuleSet(session, what, act);
    case command_kind::kDrainTarget:
      return RunDrainTarget(session, what, act);
    case command_kind::kDrainHost:
      return RunDrainHost(session, what, act);
    case command_kind::kUndrainTarget:
      return Undrain(session, "target", what.name);
    case command_kind::kUndrainHost:
      return Undrain(session, "host", what.name);
    case command_kind::kRangeReset:
      return ResetRange(session, what.name, what.dead_host, what.yes, act);
    case command_kind::kOwnership:
      return ShowOwnership(session, what.host, what.name);
    case command_kind::kHosts:
      return ShowHost(session, what.host, "/admin/hosts");
    case command_kind::kStatus:
      return ShowHost(session, what.host, "/admin/status");
    case command_kind::kBurn:
      return ShowHost(session, what.host, "/admin/burn");
    case command_kind::kMetrics:
      return ShowHost(session, what.host, "/admin/metrics");
  }
  return error{error_code::kUnknownName, "", "no such command",
               "see foxtailctl --help"};
}

/// Carries out `what`. `act` says who acts and carries the mark of this run.
template <typename Session>
result<report> RunCommand(Session& session, const invocation& what,
                          const operator_act& act) {
  if (const status sound = CheckInvocation(what, act); !sound) {
    return sound.error();
  }
  return Dispatch(session, what, act);
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_RUN_COMMAND_H_
