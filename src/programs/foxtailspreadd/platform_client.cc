#include "platform_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailspread {
namespace {

using json = nlohmann::json;

constexpr duration kCallTimeout{std::chrono::seconds{2}};

object_change ObjectFrom(const json& value) {
  object_change object;
  object.key = value.at("key").get<std::string>();
  object.revision = value.at("revision").get<uint64_t>();
  const auto found = value.find("value");
  const bool present = found != value.end() && !found->is_null();
  object.deleted = value.value("deleted", false) || !present;
  object.value = present ? found->dump() : "";
  return object;
}

change_batch BatchFrom(uint64_t since, const json& value) {
  change_batch batch;
  batch.since = since;
  batch.revision = value.at("revision").get<uint64_t>();
  for (const json& change : value.at("changes")) {
    batch.changes.push_back(ObjectFrom(change));
  }
  return batch;
}

std::vector<std::string> LeavingFrom(const json& value) {
  std::vector<std::string> leaving;
  for (const json& host : value.at("hosts")) {
    if (host.at("state").get<std::string>() == "leaving") {
      leaving.push_back(host.at("name").get<std::string>());
    }
  }
  return leaving;
}

/// Completes a write's answer, which names the revision but not the value.
object_change Written(const platform_action& action, const json& value) {
  object_change object;
  object.key = action.key;
  object.revision = value.at("revision").get<uint64_t>();
  object.value = action.value;
  return object;
}

void ReadBody(const platform_action& action, const http_call_result& result,
              platform_ended& ended) {
  const json value = json::parse(result.body, nullptr, false);
  if (result.status == kHttpNotFound) {
    ended.end = platform_end::kMissing;
  } else if (result.status == kHttpPreconditionFailed) {
    ended.object = ObjectFrom(value);
    ended.end = platform_end::kConflict;
  } else if (result.status == kHttpOk) {
    switch (action.kind) {
      case platform_call_kind::kGet:
        ended.object = ObjectFrom(value);
        break;
      case platform_call_kind::kPut:
        ended.object = Written(action, value);
        break;
      case platform_call_kind::kWatch:
        ended.changes = BatchFrom(action.since, value);
        break;
      case platform_call_kind::kListHosts:
        ended.leaving = LeavingFrom(value);
        break;
    }
    ended.end = platform_end::kOk;
  } else if (result.status < kHttpInternalError) {
    ended.end = platform_end::kRefused;
  }
}

}  // namespace

platform_ended ReadPlatformAnswer(const platform_action& action,
                                  const http_call_result& result) {
  platform_ended ended;
  ended.call_id = action.call_id;
  ended.end = platform_end::kFailed;
  if (result.outcome != http_outcome::kAnswered) {
    return ended;
  }
  try {
    ReadBody(action, result, ended);
  } catch (const json::exception&) {
    ended.end = platform_end::kFailed;
  }
  return ended;
}

platform_client::platform_client(std::string address, std::string zone,
                                 receiver on_ended)
    : address_(std::move(address)),
      zone_(std::move(zone)),
      on_ended_(std::move(on_ended)) {}

void platform_client::Call(const platform_action& action) {
  http_call_request request;
  request.headers.push_back({"Foxtail-Zone", zone_});
  request.timeout = kCallTimeout;
  request.max_body = size_t{64} << 20;
  const std::string base = "http://" + address_ + "/v1/";
  switch (action.kind) {
    case platform_call_kind::kGet:
      request.url = base + "objects/" + action.key;
      break;
    case platform_call_kind::kPut:
      request.method = "PUT";
      request.url = base + "objects/" + action.key;
      request.body = action.value;
      if (action.if_revision == 0) {
        request.headers.push_back({"If-None-Match", "*"});
      } else {
        request.headers.push_back(
            {"If-Match", std::to_string(action.if_revision)});
      }
      break;
    case platform_call_kind::kListHosts:
      request.url = base + "hosts";
      break;
    case platform_call_kind::kWatch:
      request.url = base + "changes?since=" + std::to_string(action.since) +
                    "&wait_ms=" + std::to_string(action.wait_us / 1000);
      request.timeout += duration{action.wait_us};
      break;
  }
  client_.Send(std::move(request),
               [this, action](const http_call_result& result) {
                 on_ended_(ReadPlatformAnswer(action, result));
               });
}

}  // namespace foxtailspread
