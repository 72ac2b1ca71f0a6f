#include "core/config_check.h"

#include <algorithm>
#include <map>
#include <utility>

#include "foxtailspread/address.h"
#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

constexpr std::string_view kAnyService = "*";

std::string ItemPath(std::string_view list, size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

template <typename T>
std::vector<std::string> NamesOf(const std::vector<T>& items) {
  std::vector<std::string> names;
  names.reserve(items.size());
  for (const T& item : items) {
    names.push_back(item.name);
  }
  return names;
}

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Collects the first error over all checks of one configuration.
class reference_checker {
 public:
  explicit reference_checker(const deployment_config& config)
      : config_(config),
        services_(NamesOf(config.services)),
        organisations_(NamesOf(config.organisations)),
        presets_(NamesOf(config.presets)) {}

  status Run() {
    Name("deployment", config_.deployment);
    CheckZones();
    CheckServices();
    CheckOrganisations();
    CheckRules();
    CheckPresets();
    return first_;
  }

 private:
  /// Maps each value seen to the path where it was seen first.
  using seen_values = std::map<std::string, std::string>;

  void Fail(error_code code, std::string path, std::string reason,
            std::string remedy) {
    if (first_) {
      first_ =
          error{code, std::move(path), std::move(reason), std::move(remedy)};
    }
  }

  void Take(const std::string& path, const status& checked) {
    if (!checked) {
      Fail(checked.error().code, path, checked.error().reason,
           checked.error().remedy);
    }
  }

  void Name(const std::string& path, std::string_view name) {
    Take(path, CheckName(name));
  }

  void Unique(seen_values& seen, const std::string& path,
              const std::string& value, std::string_view what) {
    const auto [first, added] = seen.emplace(value, path);
    if (!added) {
      Fail(error_code::kDuplicateName, path,
           std::string(what) + " stands at " + first->second + " already",
           "remove or change one of the two");
    }
  }

  void UniqueName(seen_values& seen, const std::string& path,
                  const std::string& name) {
    Name(path, name);
    Unique(seen, path, name, "the name " + Quoted(name));
  }

  void Known(const std::string& path, std::string_view what,
             const std::string& name, const std::vector<std::string>& known) {
    if (!Contains(known, name)) {
      Fail(error_code::kUnknownName, path,
           "there is no " + std::string(what) + " " + Quoted(name),
           KnownNameRemedy(name, known));
    }
  }

  void CheckZones() {
    if (config_.zones.empty()) {
      Fail(error_code::kMissingField, "zones", "is empty",
           "name at least one availability zone");
    }
    seen_values seen;
    for (size_t i = 0; i < config_.zones.size(); ++i) {
      UniqueName(seen, ItemPath("zones", i), config_.zones[i]);
    }
  }

  void CheckServices() {
    seen_values names;
    for (size_t i = 0; i < config_.services.size(); ++i) {
      const service_config& service = config_.services[i];
      const std::string path = ItemPath("services", i);
      UniqueName(names, path + ".name", service.name);
      CheckDeadlines(service, path);
      CheckConnections(service, path);
      for (size_t j = 0; j < service.targets.size(); ++j) {
        CheckTarget(service.targets[j], ItemPath(path + ".targets", j));
      }
    }
  }

  void CheckDeadlines(const service_config& service, const std::string& path) {
    if (service.default_deadline > service.max_deadline) {
      Fail(error_code::kOutOfRange, path + ".default_deadline_ms",
           "exceeds max_deadline_ms", "raise max_deadline_ms or lower this");
    }
  }

  void CheckConnections(const service_config& service,
                        const std::string& path) {
    if (service.connections < service.slots) {
      Fail(error_code::kOutOfRange, path + ".connections",
           "is below slots, so that some slots could never be used",
           "use at least " + std::to_string(service.slots));
    }
  }

  void CheckTarget(const target_config& target, const std::string& path) {
    UniqueName(targets_, path + ".name", target.name);
    Take(path + ".address", CheckReachableAddress(target.address));
    Unique(addresses_, path + ".address", target.address,
           "the address " + Quoted(target.address));
    Known(path + ".zone", "availability zone", target.zone, config_.zones);
  }

  void CheckOrganisations() {
    seen_values names;
    for (size_t i = 0; i < config_.organisations.size(); ++i) {
      const organisation_config& organisation = config_.organisations[i];
      const std::string path = ItemPath("organisations", i);
      UniqueName(names, path + ".name", organisation.name);
      CheckDigests(organisation, path);
      seen_values services;
      for (size_t j = 0; j < organisation.services.size(); ++j) {
        const std::string place = ItemPath(path + ".services", j);
        Known(place, "service", organisation.services[j], services_);
        Unique(services, place, organisation.services[j], "this service");
      }
    }
  }

  void CheckDigests(const organisation_config& organisation,
                    const std::string& path) {
    for (size_t i = 0; i < organisation.token_digests.size(); ++i) {
      const std::string place = ItemPath(path + ".token_digests", i);
      Take(place, CheckTokenDigest(organisation.token_digests[i]));
      // One token for two organisations would let the first in the list answer
      // for both, and show one organisation's keys to the other.
      Unique(digests_, place, organisation.token_digests[i], "this digest");
    }
  }

  void CheckRules() {
    seen_values pairs;
    for (size_t i = 0; i < config_.rules.size(); ++i) {
      const rule_config& rule = config_.rules[i];
      const std::string path = ItemPath("rules", i);
      Known(path + ".organisation", "organisation", rule.organisation,
            organisations_);
      CheckRuleService(rule, path + ".service");
      Unique(pairs, path, rule.organisation + " " + rule.service,
             "a rule for this organisation and service");
    }
  }

  void CheckRuleService(const rule_config& rule, const std::string& path) {
    if (rule.service == kAnyService) {
      return;
    }
    Known(path, "service", rule.service, services_);
    const organisation_config* organisation =
        config_.FindOrganisation(rule.organisation);
    if (organisation != nullptr &&
        !Contains(organisation->services, rule.service)) {
      Fail(error_code::kForbidden, path,
           "the organisation " + Quoted(rule.organisation) + " may not call " +
               Quoted(rule.service) + ", so that the rule never applies",
           "add the service to the organisation or remove the rule");
    }
  }

  void CheckPresets() {
    if (config_.presets.empty()) {
      Fail(error_code::kMissingField, "presets", "is empty",
           "define at least one preset; exactly one is always in force");
    }
    seen_values names;
    for (size_t i = 0; i < config_.presets.size(); ++i) {
      UniqueName(names, ItemPath("presets", i) + ".name",
                 config_.presets[i].name);
    }
    Known("preset.name", "preset", config_.preset, presets_);
  }

  const deployment_config& config_;
  std::vector<std::string> services_;
  std::vector<std::string> organisations_;
  std::vector<std::string> presets_;
  seen_values targets_;
  seen_values addresses_;
  seen_values digests_;
  status first_ = OkStatus();
};

}  // namespace

status CheckReferences(const deployment_config& config) {
  return reference_checker(config).Run();
}

}  // namespace foxtailspread
