#ifndef FOXTAILSPREAD_CTL_CONFIG_STORE_H_
#define FOXTAILSPREAD_CTL_CONFIG_STORE_H_

/// @file
/// The configuration as an object of the platform: read, changed by
/// conditional update, and what to say when another writer was first.

#include <optional>
#include <string>
#include <utility>

#include "ctl/config_diff.h"
#include "ctl/config_edit.h"
#include "ctl/marked_write.h"
#include "foxtailspread/config.h"
#include "foxtailspread/json_reader.h"
#include "foxtailspread/nearest_name.h"

namespace foxtailspread {

/// The key of the configuration.
inline constexpr std::string_view kConfigKey = "config";

/// Parses the value of the configuration's object. The version is its
/// revision.
inline result<deployment_config> ConfigOf(const object_state& object) {
  result<deployment_config> config = ParseConfig(FormatJson(object.value));
  if (config) {
    config.value().version = object.revision;
  }
  return config;
}

/// Reads the configuration; nothing if the platform holds none yet.
template <object_api Api>
result<std::optional<deployment_config>> FindConfig(Api& api) {
  const result<object_state> read = ReadObject(api, kConfigKey);
  if (!read) {
    return read.error();
  }
  if (read.value().revision == 0) {
    return std::optional<deployment_config>();
  }
  result<deployment_config> config = ConfigOf(read.value());
  if (!config) {
    return config.error();
  }
  return std::optional(std::move(config.value()));
}

/// Reads the configuration, which must be there.
template <object_api Api>
result<deployment_config> ReadConfig(Api& api) {
  result<std::optional<deployment_config>> found = FindConfig(api);
  if (!found) {
    return found.error();
  }
  if (!found.value()) {
    return error{error_code::kMissingField, std::string(kConfigKey),
                 "the platform holds no configuration yet",
                 "run foxtailctl apply DIR first"};
  }
  return std::move(*found.value());
}

/// Describes what stands there after a lost race, and what to do.
inline error LostRace(const std::optional<deployment_config>& base,
                      const object_state& winner) {
  error lost{error_code::kConflict, std::string(kConfigKey), "",
             "nothing was changed; look at it with foxtailctl show, then "
             "repeat the command if it is still wanted"};
  lost.reason = "revision " + std::to_string(winner.revision) +
                " was written by somebody else";
  if (base) {
    lost.reason += " instead of " + std::to_string(base->version);
  }
  const result<deployment_config> won = ConfigOf(winner);
  if (won) {
    lost.reason += ", with the mark " + Quoted(won.value().mark);
  }
  if (base && won) {
    lost.reason += "; " + ChangesInOneLine(DiffConfigs(*base, won.value()));
  }
  return lost;
}

/// Checks that the operator decided by the revision that is in force.
inline status CheckSeen(const std::optional<deployment_config>& current,
                        const operator_act& act) {
  const uint64_t revision = current ? current->version : 0;
  if (!act.seen_revision || *act.seen_revision == revision) {
    return OkStatus();
  }
  return error{error_code::kConflict, std::string(kConfigKey),
               "revision " + std::to_string(revision) + " is in force, not " +
                   std::to_string(*act.seen_revision),
               "nothing was changed; look at it with foxtailctl show, then "
               "repeat the command with --revision " +
                   std::to_string(revision)};
}

/// Replaces `base` by `next` if it is still in force. Returns the revision.
template <object_api Api>
result<uint64_t> WriteConfig(Api& api,
                             const std::optional<deployment_config>& base,
                             deployment_config next, const operator_act& act) {
  next.mark = act.mark;
  result<nlohmann::json> value = ParseJson(FormatConfig(next));
  if (!value) {
    return value.error();
  }
  const conditional_write write{std::string(kConfigKey),
                                std::move(value.value()),
                                base ? base->version : 0};
  const result<write_answer> answer = WriteOnce(api, write, HasMark(act.mark));
  if (!answer) {
    return answer.error();
  }
  if (answer.value().outcome == write_decision::kLostRace) {
    return LostRace(base, answer.value().object);
  }
  return answer.value().object.revision;
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_CONFIG_STORE_H_
