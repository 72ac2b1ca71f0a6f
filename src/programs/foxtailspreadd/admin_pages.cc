#include "admin_pages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/digest.h"

namespace foxtailspread {
namespace {

using json = nlohmann::json;

constexpr std::string_view kAdminPrefix = "/admin/";
constexpr std::string_view kScheme = "Bearer ";

http_answer ErrorPage(int status, std::string_view code,
                      std::string_view reason, std::string_view remedy) {
  http_answer answer;
  answer.status = status;
  answer.body =
      json{{"error", {{"code", code}, {"reason", reason}, {"remedy", remedy}}}}
          .dump();
  return answer;
}

}  // namespace

admin_pages::admin_pages(const entry_host& host, const host_settings& settings)
    : host_(host), settings_(settings) {}

void admin_pages::Route(http_server& server) {
  server.Route("/ready", [this](const http_request&, const responder_ptr& to) {
    const bool ready = host_.Ready(Now());
    http_answer answer;
    answer.status = ready ? kHttpOk : kHttpUnavailable;
    answer.body = json{{"ready", ready}}.dump();
    to->Answer(answer);
  });
  server.Route("/health", [](const http_request&, const responder_ptr& to) {
    to->Answer({.body = "{\"ok\":true}"});
  });
  for (const char* path : {"/v1/burn", "/v1/metrics"}) {
    server.Route(path, [this](const http_request& request,
                              const responder_ptr& to) { Own(request, to); });
  }
  server.Route(std::string(kAdminPrefix),
               [this](const http_request& request, const responder_ptr& to) {
                 Admin(request, to);
               });
}

void admin_pages::Count(const request_report& report, time_point now) {
  const deployment_config* config = host_.config();
  const service_config* service =
      config == nullptr ? nullptr : config->FindService(report.service);
  if (service == nullptr) {
    return;
  }
  burn_.SetTarget(report.service, service->objective.target);
  // A request that the caller got wrong says nothing of the service.
  const bool callers_fault = report.outcome == request_outcome::kNotRun &&
                             report.status >= kHttpBadRequest &&
                             report.status < kHttpInternalError;
  if (!callers_fault) {
    const bool good = report.outcome == request_outcome::kDone &&
                      report.latency <= service->objective.latency;
    burn_.Record(now, report.organisation, report.service, good);
  }
  const std::string outcome(ToString(report.outcome));
  metrics_.Count("requests." + report.service + "." + outcome,
                 report.organisation);
  metrics_.AddLatency("latency." + report.service, report.latency,
                      report.organisation);
}

void admin_pages::Own(const http_request& request,
                      const responder_ptr& to) const {
  const std::string_view header = request.Header("Authorization").value_or("");
  const deployment_config* config = host_.config();
  const organisation_config* caller = nullptr;
  if (config != nullptr && header.starts_with(kScheme)) {
    const std::string digest = Sha256Hex(header.substr(kScheme.size()));
    for (const organisation_config& organisation : config->organisations) {
      const auto& known = organisation.token_digests;
      if (std::find(known.begin(), known.end(), digest) != known.end()) {
        caller = &organisation;
      }
    }
  }
  if (caller == nullptr) {
    to->Answer(ErrorPage(kHttpUnauthorized, "unauthenticated",
                         "the credential is missing or not known",
                         "send the organisation's token as a bearer token"));
    return;
  }
  const json body = request.Path() == "/v1/burn"
                        ? BurnToJson(burn_.RowsOf(Now(), caller->name))
                        : metrics_.JsonFor(caller->name);
  to->Answer({.body = body.dump()});
}

bool admin_pages::Authorised(const http_request& request) const {
  const std::string_view header = request.Header("Authorization").value_or("");
  if (!header.starts_with(kScheme)) {
    return false;
  }
  const std::string digest = Sha256Hex(header.substr(kScheme.size()));
  const auto& known = settings_.operator_token_digests;
  return std::find(known.begin(), known.end(), digest) != known.end();
}

void admin_pages::Admin(const http_request& request, const responder_ptr& to) {
  if (!Authorised(request)) {
    to->Answer(ErrorPage(kHttpUnauthorized, "unauthenticated",
                         "not an operator's credential",
                         "send an operator token as a bearer token"));
    return;
  }
  const std::string_view page = request.Path().substr(kAdminPrefix.size());
  json body;
  if (page == "status") {
    body = Status();
  } else if (page == "ownership") {
    body = Ownership();
  } else if (page == "hosts") {
    body = Hosts();
  } else if (page == "burn") {
    body = BurnToJson(burn_.AllRows(Now()));
  } else if (page == "metrics") {
    body = metrics_.JsonForOperators();
  } else {
    to->Answer(ErrorPage(kHttpNotFound, "unknown-name", "no such page",
                         "use status, ownership, hosts, burn or metrics"));
    return;
  }
  to->Answer({.body = body.dump()});
}

json admin_pages::Status() const {
  const time_point now = Now();
  const deployment_config* config = host_.config();
  return json{{"host", settings_.name},
              {"zone", settings_.zone},
              {"life", host_.directory().self().life},
              {"ready", host_.Ready(now)},
              {"leaving", host_.leaving()},
              {"config_version", config == nullptr ? 0 : config->version},
              {"preset", config == nullptr ? "" : config->preset},
              {"objects_revision", host_.sync().cache().revision()},
              {"platform_answers", host_.sync().platform_answers()},
              {"platform_calls", host_.sync().calls()},
              {"requests_in_flight", host_.RequestsInFlight()}};
}

json admin_pages::Ownership() const {
  json ranges = json::array();
  for (const auto& [name, node] : host_.ranges().ranges()) {
    json entry{{"range", name}, {"acting", node.acting}};
    if (node.record) {
      json order = json::array();
      for (const roster_slot& slot : node.record->roster) {
        order.push_back(
            json{{"host", slot.host_run.host}, {"epoch", slot.epoch}});
      }
      entry["order"] = std::move(order);
      entry["recorded_seq"] = node.record->map.seq;
    }
    if (node.acting) {
      entry["epoch"] = node.steward->epoch();
      entry["seq"] = node.steward->map().seq;
      entry["unowned"] = node.steward->UnownedBucketCount();
      entry["owners"] = node.steward->map().buckets;
    }
    ranges.push_back(std::move(entry));
  }
  return json{{"host", settings_.name}, {"ranges", std::move(ranges)}};
}

json admin_pages::Hosts() const {
  const time_point now = Now();
  json hosts = json::array();
  for (const std::string& name : host_.directory().HostNames()) {
    const host_entry* entry = host_.directory().Find(name);
    const auto silence = host_.directory().TimeSinceLastMessage(name, now);
    hosts.push_back(
        json{{"name", name},
             {"zone", entry->zone},
             {"http", entry->http},
             {"leaving", entry->leaving},
             {"silence_ms", silence ? json(silence->count() / 1000) : json()}});
  }
  return json{{"hosts", std::move(hosts)}};
}

}  // namespace foxtailspread
