#ifndef FOXTAILSPREAD_CTL_HOST_COMMANDS_H_
#define FOXTAILSPREAD_CTL_HOST_COMMANDS_H_

/// @file
/// The commands that ask entry hosts what they do.

#include <set>
#include <string>
#include <vector>

#include "ctl/config_edit.h"
#include "ctl/object_commands.h"
#include "ctl/report.h"

namespace foxtailspread {

/// Shows what one host says under `path`.
template <admin_api Admin>
result<report> ShowHost(Admin& admin, std::string_view host,
                        std::string_view path) {
  result<nlohmann::json> answer = admin.GetAdmin(host, path);
  if (!answer) {
    return answer.error();
  }
  return report{std::move(answer.value()), ""};
}

/// Keeps the entries of `service` in each list whose entries name a service,
/// and collects the names that were met.
inline void KeepService(nlohmann::json& answer, std::string_view service,
                        std::set<std::string>& met) {
  for (auto& part : answer) {
    if (!part.is_array()) {
      continue;
    }
    nlohmann::json kept = nlohmann::json::array();
    for (const nlohmann::json& entry : part) {
      const bool named = entry.is_object() && entry.contains("service") &&
                         entry["service"].is_string();
      if (named) {
        met.insert(entry["service"].get<std::string>());
      }
      if (!named || entry["service"] == service) {
        kept.push_back(entry);
      }
    }
    part = std::move(kept);
  }
}

/// Shows who owns what; only of one service unless `service` is "".
template <admin_api Admin>
result<report> ShowOwnership(Admin& admin, std::string_view host,
                             const std::string& service) {
  result<report> shown = ShowHost(admin, host, "/admin/ownership");
  if (!shown || service.empty()) {
    return shown;
  }
  std::set<std::string> met;
  KeepService(shown.value().data, service, met);
  const std::vector<std::string> known(met.begin(), met.end());
  if (const status found = CheckKnown("service", service, known); !found) {
    return found.error();
  }
  return shown;
}

/// A host that has not yet reported the awaited configuration.
struct lagging_host {
  std::string name;
  std::string state;  ///< What is known of it.
};

/// Returns the hosts that do not report `revision` or a later one.
template <object_api Api, admin_api Admin>
result<std::vector<lagging_host>> HostsBehind(Api& api, Admin& admin,
                                              uint64_t revision) {
  const result<std::vector<named_object>> hosts =
      ListObjects(api, kHostsPrefix);
  if (!hosts) {
    return hosts.error();
  }
  std::vector<lagging_host> behind;
  for (const named_object& host : hosts.value()) {
    const std::string name = host.key.substr(kHostsPrefix.size());
    const nlohmann::json& value = host.object.value;
    const std::string address =
        value.is_object() ? value.value("http", "") : "";
    const auto answer = admin.GetAdmin(address, "/admin/status");
    if (!answer) {
      behind.push_back({name, answer.error().reason});
      continue;
    }
    const nlohmann::json version =
        answer.value().value("config_version", nlohmann::json(0));
    if (!version.is_number_unsigned() || version < revision) {
      behind.push_back({name, "reports revision " + version.dump()});
    }
  }
  return behind;
}

/// Waits until all hosts report the accepted configuration, and adds to `done`
/// which do not; kDiffers if the time ran out first.
template <object_api Api, admin_api Admin>
result<report> AwaitInForce(Api& api, Admin& admin, report done) {
  const auto revision = done.data.at("revision").get<uint64_t>();
  result<std::vector<lagging_host>> behind = HostsBehind(api, admin, revision);
  while (behind && !behind.value().empty() && api.Wait()) {
    behind = HostsBehind(api, admin, revision);
  }
  if (!behind) {
    return error{behind.error().code, behind.error().path,
                 "revision " + std::to_string(revision) +
                     " is accepted; which hosts have it is not known: " +
                     behind.error().reason,
                 "do not apply again; see foxtailctl status of each host"};
  }
  done.data["behind"] = nlohmann::json::array();
  for (const lagging_host& host : behind.value()) {
    done.data["behind"].push_back({{"name", host.name}, {"state", host.state}});
    done.text += "not yet in force at " + host.name + ": " + host.state + "\n";
  }
  if (behind.value().empty()) {
    done.text += "in force at every host\n";
    return done;
  }
  done.text +=
      "the change is accepted and will reach them; do not apply "
      "again\n";
  done.status = exit_status::kDiffers;
  return done;
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_HOST_COMMANDS_H_
