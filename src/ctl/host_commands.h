#ifndef FOXTAILSPREAD_CTL_HOST_COMMANDS_H_
#define FOXTAILSPREAD_CTL_HOST_COMMANDS_H_

/// @file
/// The commands that ask entry hosts what they do.

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ctl/config_edit.h"
#include "ctl/host_views.h"
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

/// Shows who owns what; only of one service unless `service` is "".
template <admin_api Admin>
result<report> ShowOwnership(Admin& admin, std::string_view host,
                             const std::string& service) {
  result<report> shown = ShowHost(admin, host, "/admin/ownership");
  if (!shown) {
    return shown;
  }
  if (service.empty()) {
    shown.value().text = OwnershipTables(shown.value().data);
    return shown;
  }
  std::set<std::string> met;
  KeepService(shown.value().data, service, met);
  const std::vector<std::string> known(met.begin(), met.end());
  if (const status found = CheckKnown("service", service, known); !found) {
    return found.error();
  }
  shown.value().text = OwnershipTables(shown.value().data);
  return shown;
}

/// A host that is to report a configuration.
struct awaited_host {
  std::string name;
  std::string address;
  std::string state;  ///< What is known of it, until it has reported.
};

/// Returns the hosts of the deployment, those left out that are leaving.
template <object_api Api>
result<std::vector<awaited_host>> AwaitedHosts(Api& api) {
  const result<std::vector<named_object>> hosts =
      ListObjects(api, kHostsPrefix);
  if (!hosts) {
    return hosts.error();
  }
  std::vector<awaited_host> awaited;
  for (const named_object& host : hosts.value()) {
    const nlohmann::json& value = host.object.value;
    if (value.is_object() && !value.value("leaving", false)) {
      awaited.push_back({host.key.substr(kHostsPrefix.size()),
                         value.value("http", ""), "not asked"});
    }
  }
  return awaited;
}

/// Asks one host and notes its state. Returns whether it reports `revision`
/// or a later one.
template <admin_api Admin>
bool HasReported(Admin& admin, awaited_host& host, uint64_t revision) {
  const auto answer = admin.GetAdmin(host.address, "/admin/status");
  if (!answer) {
    host.state = answer.error().reason;
    return false;
  }
  const nlohmann::json version =
      answer.value().value("config_version", nlohmann::json());
  host.state = "reports revision " + version.dump();
  return version.is_number_unsigned() && version >= revision;
}

/// Asks the hosts and leaves in the list those that do not report `revision`.
template <admin_api Admin>
void AskAgain(Admin& admin, std::vector<awaited_host>& hosts,
              uint64_t revision) {
  std::vector<awaited_host> behind;
  for (awaited_host& host : hosts) {
    if (!HasReported(admin, host, revision)) {
      behind.push_back(std::move(host));
    }
  }
  hosts = std::move(behind);
}

/// Adds to `done` which hosts do not report the change yet.
inline report InForceReport(report done,
                            const std::vector<awaited_host>& behind) {
  done.data["behind"] = nlohmann::json::array();
  for (const awaited_host& host : behind) {
    done.data["behind"].push_back({{"name", host.name}, {"state", host.state}});
    done.text += "not yet in force at " + host.name + ": " + host.state + "\n";
  }
  if (behind.empty()) {
    done.text += "in force at every host\n";
    return done;
  }
  done.text +=
      "the change is accepted and will reach them; do not apply again\n";
  done.status = exit_status::kDiffers;
  return done;
}

/// Waits until all hosts report the accepted configuration; kDiffers if the
/// time ran out first. Hosts that have reported are not asked again.
template <object_api Api, admin_api Admin>
result<report> AwaitInForce(Api& api, Admin& admin, report done) {
  const auto revision = done.data.at("revision").get<uint64_t>();
  result<std::vector<awaited_host>> hosts = AwaitedHosts(api);
  if (!hosts) {
    return error{hosts.error().code, hosts.error().path,
                 "revision " + std::to_string(revision) +
                     " is accepted; which hosts have it is not known: " +
                     hosts.error().reason,
                 "do not apply again; see foxtailctl status of each host"};
  }
  std::vector<awaited_host>& behind = hosts.value();
  do {
    AskAgain(admin, behind, revision);
  } while (!behind.empty() && api.Wait());
  return InForceReport(std::move(done), behind);
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_HOST_COMMANDS_H_
