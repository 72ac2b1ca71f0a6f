#ifndef FOXTAILSPREAD_CTL_OBJECT_COMMANDS_H_
#define FOXTAILSPREAD_CTL_OBJECT_COMMANDS_H_

/// @file
/// The commands that write objects other than the configuration: drains, and
/// the operator's word that a host is dead.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "ctl/config_store.h"
#include "ctl/report.h"

namespace foxtailspread {

inline constexpr std::string_view kDrainsPrefix = "drains/";
inline constexpr std::string_view kHostsPrefix = "hosts/";
inline constexpr std::string_view kRangesPrefix = "ranges/";
inline constexpr std::string_view kDeclaredDead = "declared_dead";

/// Returns the names under a prefix, from their keys.
template <object_api Api>
result<std::vector<std::string>> ListNames(Api& api, std::string_view prefix) {
  const result<std::vector<named_object>> listed = ListObjects(api, prefix);
  if (!listed) {
    return listed.error();
  }
  std::vector<std::string> names;
  names.reserve(listed.value().size());
  for (const named_object& item : listed.value()) {
    names.push_back(item.key.substr(prefix.size()));
  }
  return names;
}

/// Checks that `name` is among `known`.
inline status CheckKnown(std::string_view what, std::string_view name,
                         const std::vector<std::string>& known) {
  if (std::find(known.begin(), known.end(), name) != known.end()) {
    return OkStatus();
  }
  return UnknownNameError(what, name, known);
}

/// Reports an object that was written, or the race that was lost.
inline result<report> WriteReport(const result<write_answer>& answer,
                                  const conditional_write& write,
                                  std::string text) {
  if (!answer) {
    return answer.error();
  }
  const object_state& object = answer.value().object;
  if (answer.value().outcome == write_decision::kLostRace) {
    return error{
        error_code::kConflict, write.key,
        "somebody else was first; there stands now " +
            object.value.dump(-1, ' ', false,
                              nlohmann::json::error_handler_t::replace),
        "nothing was changed; repeat the command if it is still "
        "wanted"};
  }
  report done;
  done.data = {{"key", write.key}, {"revision", object.revision}};
  done.text = std::move(text);
  return done;
}

/// Returns all targets of the configuration.
inline std::vector<std::string> TargetNames(const deployment_config& config) {
  std::vector<std::string> names;
  for (const service_config& service : config.services) {
    for (const target_config& target : service.targets) {
      names.push_back(target.name);
    }
  }
  return names;
}

/// Orders that a target or host gets no new work. `what` is "target" or
/// "host", `known` holds the names that there are.
template <object_api Api>
result<report> Drain(Api& api, std::string_view what, const std::string& name,
                     const std::vector<std::string>& known,
                     const operator_act& act) {
  if (const status found = CheckKnown(what, name, known); !found) {
    return found.error();
  }
  conditional_write write{std::string(kDrainsPrefix) + name, nlohmann::json()};
  const result<object_state> read = ReadObject(api, write.key);
  if (!read) {
    return read.error();
  }
  if (read.value().revision != 0) {
    return error{error_code::kForbidden, write.key,
                 "is draining already: " + read.value().value.dump(),
                 "nothing needs to be done; undrain ends it"};
  }
  write.value = {
      {"by", act.who}, {"why", act.why}, {"at", act.at}, {"mark", act.mark}};
  return WriteReport(WriteOnce(api, write, HasMark(act.mark)), write,
                     name + " is draining: it gets no new work\n");
}

/// Ends a drain.
template <object_api Api>
result<report> Undrain(Api& api, std::string_view what,
                       const std::string& name) {
  conditional_write write{std::string(kDrainsPrefix) + name, std::nullopt};
  const result<object_state> read = ReadObject(api, write.key);
  if (!read) {
    return read.error();
  }
  if (read.value().revision == 0) {
    const result<std::vector<std::string>> drains =
        ListNames(api, kDrainsPrefix);
    if (!drains) {
      return drains.error();
    }
    return UnknownNameError(std::string(what) + " that drains, named", name,
                            drains.value());
  }
  write.expected_revision = read.value().revision;
  const auto is_gone = [](const object_state& object) {
    return object.revision == 0;
  };
  return WriteReport(WriteOnce(api, write, is_gone), write,
                     name + " takes new work again\n");
}

/// Whether `name` stands anywhere in `value` as a text or a field.
inline bool Mentions(const nlohmann::json& value, std::string_view name) {
  if (value.is_string()) {
    return value.get_ref<const std::string&>() == name;
  }
  if (value.is_object() && value.contains(name)) {
    return true;
  }
  if (!value.is_structured()) {
    return false;
  }
  return std::any_of(
      value.begin(), value.end(),
      [name](const nlohmann::json& part) { return Mentions(part, name); });
}

/// Whether the operator has declared `host` dead in this range object.
inline bool IsDeclaredDead(const nlohmann::json& range,
                           const std::string& host) {
  if (!range.is_object() || !range.contains(kDeclaredDead)) {
    return false;
  }
  const nlohmann::json& dead = range.at(std::string(kDeclaredDead));
  return std::find(dead.begin(), dead.end(), nlohmann::json(host)) !=
         dead.end();
}

/// The danger that an operator has to take on with --yes.
inline error ResetNeedsWord(const std::string& range, const std::string& host) {
  return error{
      error_code::kForbidden, std::string(kRangesPrefix) + range,
      "this gives your word that " + host +
          " is dead and stays dead. Its promises are then passed over and "
          "another host takes the range. If it still runs (paused, or cut "
          "off), keys of the range have two owners and single-use actions can "
          "run twice",
      "make sure that the machine is off, then repeat with --yes"};
}

/// Adds `host` to the hosts declared dead of a range.
template <object_api Api>
result<report> ResetRange(Api& api, const std::string& range,
                          const std::string& host, bool yes,
                          const operator_act& act) {
  conditional_write write{std::string(kRangesPrefix) + range, nlohmann::json()};
  const result<object_state> read = ReadObject(api, write.key);
  if (!read) {
    return read.error();
  }
  if (read.value().revision == 0) {
    const auto ranges = ListNames(api, kRangesPrefix);
    return ranges ? UnknownNameError("range", range, ranges.value())
                  : ranges.error();
  }
  if (!Mentions(read.value().value, host)) {
    return error{error_code::kUnknownName, write.key,
                 "does not name the host \"" + host + "\"",
                 "see foxtailctl ownership for the hosts of a range"};
  }
  if (IsDeclaredDead(read.value().value, host)) {
    return error{error_code::kForbidden, write.key,
                 host + " is declared dead there already",
                 "nothing needs to be done"};
  }
  if (!yes) {
    return ResetNeedsWord(range, host);
  }
  write.expected_revision = read.value().revision;
  write.value = read.value().value;
  (*write.value)[std::string(kDeclaredDead)].push_back(host);
  (*write.value)["mark"] = act.mark;
  const auto is_declared = [&host](const object_state& object) {
    return IsDeclaredDead(object.value, host);
  };
  return WriteReport(WriteOnce(api, write, is_declared), write,
                     host + " is declared dead in range " + range + "\n");
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_OBJECT_COMMANDS_H_
