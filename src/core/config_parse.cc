#include "core/config_check.h"
#include "foxtailspread/config.h"
#include "foxtailspread/json_reader.h"

namespace foxtailspread {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::minutes;

constexpr number_bounds<int> kSlots{1, 1024};
constexpr number_bounds<int> kConnections{1, 65536};
constexpr number_bounds<int> kBuckets{1, 65536};
constexpr number_bounds<int> kMaxQueued{0, 1'000'000};
constexpr number_bounds<double> kPart{0.0, 1.0};
constexpr number_bounds<double> kObjectiveTarget{0.5, 0.999999};
constexpr number_bounds<double> kShare{0.001, 1000.0};
constexpr number_bounds<double> kRetryBudget{0.0, 10.0};
constexpr number_bounds<duration> kLatency{microseconds(1), minutes(10)};
constexpr number_bounds<duration> kDeadline{microseconds(1), hours(1)};
constexpr size_t kLongestRemark = 1024;

void ReadRemark(object_reader& reader, std::string_view name,
                std::string& out) {
  reader.Read(name, out);
  if (out.size() > kLongestRemark) {
    reader.Fail(error_code::kTooLarge, name, "is too long",
                "use at most " + std::to_string(kLongestRemark) + " bytes");
  }
}

void ReadTarget(object_reader& reader, target_config& out) {
  reader.Require({"name", "address", "zone"});
  reader.Read("name", out.name);
  reader.Read("address", out.address);
  reader.Read("zone", out.zone);
}

void ReadObjective(object_reader& reader, objective_config& out) {
  reader.Read("target", out.target, kObjectiveTarget);
  reader.ReadMilliseconds("latency_ms", out.latency, kLatency);
}

void ReadService(object_reader& reader, service_config& out) {
  reader.Require({"name", "placement"});
  reader.Read("name", out.name);
  reader.ReadWord("placement", out.placement, ParsePlacement);
  reader.Read("at_most_once", out.at_most_once);
  reader.Read("targets_check_grants", out.targets_check_grants);
  reader.ReadWord("default_urgency", out.default_urgency, ParseUrgency);
  reader.Read("slots", out.slots, kSlots);
  reader.Read("connections", out.connections, kConnections);
  reader.Read("buckets", out.buckets, kBuckets);
  reader.ReadMilliseconds("default_deadline_ms", out.default_deadline,
                          kDeadline);
  reader.ReadMilliseconds("max_deadline_ms", out.max_deadline, kDeadline);
  reader.Read("balance_weight", out.balance_weight, kPart);
  reader.ReadObject("objective", [&out](object_reader& nested) {
    ReadObjective(nested, out.objective);
  });
  reader.ReadList("targets", [&out](object_reader& item) {
    ReadTarget(item, out.targets.emplace_back());
  });
}

void ReadOrganisation(object_reader& reader, organisation_config& out) {
  reader.Require({"name"});
  reader.Read("name", out.name);
  reader.Read("token_digests", out.token_digests);
  reader.Read("services", out.services);
}

void ReadRule(object_reader& reader, rule_config& out) {
  reader.Require({"organisation"});
  reader.Read("organisation", out.organisation);
  reader.Read("service", out.service);
  reader.Read("share", out.share, kShare);
  reader.Read("max_queued", out.max_queued, kMaxQueued);
  reader.ReadWord("most_urgent", out.most_urgent, ParseUrgency);
}

void ReadPreset(object_reader& reader, preset_config& out) {
  reader.Require({"name"});
  reader.Read("name", out.name);
  reader.Read("admit_archive", out.admit_archive);
  reader.Read("archive_share", out.archive_share, kPart);
  reader.Read("retry_budget", out.retry_budget, kRetryBudget);
  reader.Read("allow_rebalance", out.allow_rebalance);
}

void ReadPresetInForce(object_reader& reader, deployment_config& out) {
  reader.Require({"name"});
  reader.Read("name", out.preset);
  ReadRemark(reader, "by", out.preset_by);
  ReadRemark(reader, "why", out.preset_why);
  ReadRemark(reader, "at", out.preset_at);
}

void ReadLists(object_reader& reader, deployment_config& out) {
  reader.Read("zones", out.zones);
  reader.ReadList("services", [&out](object_reader& item) {
    ReadService(item, out.services.emplace_back());
  });
  reader.ReadList("organisations", [&out](object_reader& item) {
    ReadOrganisation(item, out.organisations.emplace_back());
  });
  reader.ReadList("rules", [&out](object_reader& item) {
    ReadRule(item, out.rules.emplace_back());
  });
  reader.ReadList("presets", [&out](object_reader& item) {
    ReadPreset(item, out.presets.emplace_back());
  });
}

/// A document of a newer release has fields that this one does not know. They
/// must not be reported as slips of the writer, nor passed over.
status CheckFormat(const nlohmann::json& document) {
  object_reader reader(document);
  int format = 0;
  reader.Require({"format"});
  reader.Read("format", format, {1, std::numeric_limits<int>::max()});
  if (format > kConfigFormat) {
    return error{error_code::kNewerFormat, "format",
                 "is " + std::to_string(format) + ", this release reads " +
                     std::to_string(kConfigFormat) +
                     "; the last good configuration stays in force",
                 "upgrade this program, or write format " +
                     std::to_string(kConfigFormat)};
  }
  return reader.FinishPartly();
}

}  // namespace

result<deployment_config> ParseConfig(std::string_view text) {
  const result<nlohmann::json> document = ParseJson(text);
  if (!document) {
    return document.error();
  }
  const status format = CheckFormat(document.value());
  if (!format) {
    return format.error();
  }
  deployment_config config;
  object_reader reader(document.value());
  reader.Require({"deployment", "zones", "presets", "preset"});
  reader.Read("format", config.format);
  reader.Read("deployment", config.deployment);
  reader.Read("mark", config.mark);
  ReadLists(reader, config);
  reader.ReadObject("preset", [&config](object_reader& nested) {
    ReadPresetInForce(nested, config);
  });
  if (const status read = reader.Finish(); !read) {
    return read.error();
  }
  if (const status sound = CheckReferences(config); !sound) {
    return sound.error();
  }
  return config;
}

}  // namespace foxtailspread
