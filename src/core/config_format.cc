#include "foxtailspread/config.h"
#include "foxtailspread/json_reader.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr int64_t kMicrosecondsPerMillisecond = 1000;

json Milliseconds(duration value) {
  const int64_t count = value.count();
  if (count % kMicrosecondsPerMillisecond == 0) {
    return count / kMicrosecondsPerMillisecond;
  }
  return static_cast<double>(count) / kMicrosecondsPerMillisecond;
}

json TargetJson(const target_config& target) {
  return {{"name", target.name},
          {"address", target.address},
          {"zone", target.zone}};
}

template <typename T>
json ListOf(const std::vector<T>& items, json (*to_json)(const T&)) {
  json list = json::array();
  for (const T& item : items) {
    list.push_back(to_json(item));
  }
  return list;
}

json ServiceJson(const service_config& service) {
  return {{"name", service.name},
          {"placement", ToString(service.placement)},
          {"at_most_once", service.at_most_once},
          {"targets_check_grants", service.targets_check_grants},
          {"default_urgency", ToString(service.default_urgency)},
          {"slots", service.slots},
          {"connections", service.connections},
          {"buckets", service.buckets},
          {"default_deadline_ms", Milliseconds(service.default_deadline)},
          {"max_deadline_ms", Milliseconds(service.max_deadline)},
          {"balance_weight", service.balance_weight},
          {"objective",
           {{"target", service.objective.target},
            {"latency_ms", Milliseconds(service.objective.latency)}}},
          {"targets", ListOf(service.targets, TargetJson)}};
}

json OrganisationJson(const organisation_config& organisation) {
  return {{"name", organisation.name},
          {"token_digests", organisation.token_digests},
          {"services", organisation.services}};
}

json RuleJson(const rule_config& rule) {
  return {{"organisation", rule.organisation},
          {"service", rule.service},
          {"share", rule.share},
          {"max_queued", rule.max_queued},
          {"most_urgent", ToString(rule.most_urgent)}};
}

json PresetJson(const preset_config& preset) {
  return {{"name", preset.name},
          {"admit_archive", preset.admit_archive},
          {"archive_share", preset.archive_share},
          {"retry_budget", preset.retry_budget},
          {"allow_rebalance", preset.allow_rebalance}};
}

}  // namespace

std::string FormatConfig(const deployment_config& config) {
  json document = {
      {"format", config.format},
      {"deployment", config.deployment},
      {"zones", config.zones},
      {"services", ListOf(config.services, ServiceJson)},
      {"organisations", ListOf(config.organisations, OrganisationJson)},
      {"rules", ListOf(config.rules, RuleJson)},
      {"presets", ListOf(config.presets, PresetJson)},
      {"preset",
       {{"name", config.preset},
        {"by", config.preset_by},
        {"why", config.preset_why},
        {"at", config.preset_at}}}};
  if (!config.mark.empty()) {
    document["mark"] = config.mark;
  }
  return FormatJson(document);
}

}  // namespace foxtailspread
