#include "ctl/config_views.h"

#include <utility>

#include "foxtailspread/json_reader.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

std::string Joined(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    joined += (joined.empty() ? "" : " ") + word;
  }
  return joined;
}

int64_t Milliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json DocumentOf(const deployment_config& config) {
  return ParseJson(FormatConfig(config)).value();
}

report ListReport(const deployment_config& config, std::string_view name,
                  json list) {
  return {{{"revision", config.version}, {name, std::move(list)}}, ""};
}

}  // namespace

report ShowConfig(const deployment_config& config) {
  report shown;
  shown.data = {{"revision", config.version}, {"config", DocumentOf(config)}};
  shown.text = "// revision " + std::to_string(config.version) + "\n" +
               FormatConfig(config);
  return shown;
}

report ShowPresets(const deployment_config& config) {
  json list = DocumentOf(config).at("presets");
  for (json& preset : list) {
    preset["in_force"] = preset.at("name") == config.preset;
  }
  return ListReport(config, "presets", std::move(list));
}

report ShowPresetInForce(const deployment_config& config) {
  report shown;
  shown.data = {{"preset", config.preset},
                {"by", config.preset_by},
                {"why", config.preset_why},
                {"at", config.preset_at},
                {"revision", config.version}};
  return shown;
}

report ShowOrganisations(const deployment_config& config) {
  json list = json::array();
  for (const organisation_config& organisation : config.organisations) {
    list.push_back({{"name", organisation.name},
                    {"tokens", organisation.token_digests.size()},
                    {"services", Joined(organisation.services)}});
  }
  return ListReport(config, "organisations", list);
}

report ShowServices(const deployment_config& config) {
  json list = json::array();
  for (const service_config& service : config.services) {
    list.push_back({{"name", service.name},
                    {"placement", ToString(service.placement)},
                    {"at_most_once", service.at_most_once},
                    {"urgency", ToString(service.default_urgency)},
                    {"targets", service.targets.size()},
                    {"slots", service.slots},
                    {"connections", service.connections},
                    {"buckets", service.buckets},
                    {"deadline_ms", Milliseconds(service.default_deadline)}});
  }
  return ListReport(config, "services", list);
}

report ShowRules(const deployment_config& config) {
  return ListReport(config, "rules", DocumentOf(config).at("rules"));
}

report Unchanged(uint64_t revision) {
  report same;
  same.data = {{"revision", revision}, {"changes", json::array()}};
  same.text = "revision " + std::to_string(revision) +
              " says the same already; nothing was written\n";
  return same;
}

report DiffReport(const std::vector<config_change>& changes,
                  uint64_t revision) {
  if (changes.empty()) {
    return Unchanged(revision);
  }
  report differs;
  differs.status = exit_status::kDiffers;
  differs.data = {{"revision", revision}, {"changes", ChangesToJson(changes)}};
  differs.text =
      FormatChanges(changes) + std::to_string(changes.size()) +
      " differences to revision " + std::to_string(revision) +
      "; to put exactly these in force: foxtailctl apply DIR --revision " +
      std::to_string(revision) + "\n";
  return differs;
}

}  // namespace foxtailspread
