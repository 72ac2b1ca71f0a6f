#include "foxtailspread/config.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>

#include "config_samples.h"

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;

error FailureOf(const deployment_config& config) {
  const result<deployment_config> parsed = ParseConfig(FormatConfig(config));
  EXPECT_FALSE(parsed);
  return parsed ? error{} : parsed.error();
}

rc::Gen<std::string> GenName(const std::string& prefix) {
  return rc::gen::map(rc::gen::inRange(0, 1'000'000), [prefix](int number) {
    return prefix + "-" + std::to_string(number);
  });
}

rc::Gen<std::vector<std::string>> GenNames(const std::string& prefix,
                                           int most) {
  return rc::gen::mapcat(rc::gen::inRange(1, most + 1), [prefix](int count) {
    return rc::gen::unique<std::vector<std::string>>(count, GenName(prefix));
  });
}

duration AnyDuration(int64_t high_us) {
  return duration(*rc::gen::inRange<int64_t>(1, high_us));
}

urgency AnyUrgency() {
  return static_cast<urgency>(*rc::gen::inRange(0, kUrgencyCount));
}

double AnyPart() { return *rc::gen::inRange(0, 1'000'001) / 1e6; }

service_config AnyService(const std::string& name, int first_port,
                          const std::vector<std::string>& zones) {
  service_config service;
  service.name = name;
  service.placement =
      *rc::gen::element(placement_kind::kKeyed, placement_kind::kPooled);
  service.at_most_once = *rc::gen::arbitrary<bool>();
  service.targets_check_grants = *rc::gen::arbitrary<bool>();
  service.default_urgency = AnyUrgency();
  service.slots = *rc::gen::inRange(1, 1025);
  service.connections = *rc::gen::inRange(service.slots, 65537);
  service.buckets = *rc::gen::inRange(1, 65537);
  service.default_deadline = AnyDuration(1'000'000);
  service.max_deadline = service.default_deadline + AnyDuration(1'000'000);
  service.balance_weight = AnyPart();
  service.objective = {0.5 + AnyPart() * 0.49, AnyDuration(600'000'000)};
  const int count = *rc::gen::inRange(0, 4);
  for (int i = 0; i < count; ++i) {
    service.targets.push_back({name + "-" + std::to_string(i),
                               "127.0.0.1:" + std::to_string(first_port + i),
                               *rc::gen::elementOf(zones)});
  }
  return service;
}

void AddOrganisations(deployment_config& config) {
  for (const std::string& name : *GenNames("org", 4)) {
    organisation_config organisation{name, {}, {}};
    for (const service_config& service : config.services) {
      if (*rc::gen::arbitrary<bool>()) {
        organisation.services.push_back(service.name);
        config.rules.push_back({name, service.name, 0.001 + AnyPart(),
                                *rc::gen::inRange(0, 1000), AnyUrgency()});
      }
    }
    config.organisations.push_back(organisation);
  }
}

deployment_config AnyConfig() {
  deployment_config config;
  config.deployment = *GenName("deployment");
  config.zones = *GenNames("zone", 4);
  int port = 21000;
  for (const std::string& name : *GenNames("service", 4)) {
    config.services.push_back(AnyService(name, port, config.zones));
    port += 100;
  }
  AddOrganisations(config);
  for (const std::string& name : *GenNames("preset", 4)) {
    config.presets.push_back({name, *rc::gen::arbitrary<bool>(), AnyPart(),
                              AnyPart(), *rc::gen::arbitrary<bool>()});
  }
  config.preset = (*rc::gen::elementOf(config.presets)).name;
  config.preset_why = *rc::gen::string<std::string>();
  // Only the text's bytes matter here; the format replaces what is not UTF-8.
  for (char& c : config.preset_why) {
    c = static_cast<char>(c & 0x7f);
  }
  config.mark = *GenName("mark");
  return config;
}

RC_GTEST_PROP(ConfigTest, FormattedConfigParsesToAnEqualOne, ()) {
  const deployment_config config = AnyConfig();
  const result<deployment_config> parsed = ParseConfig(FormatConfig(config));
  if (!parsed) {
    RC_FAIL(parsed.error().Message());
  }
  RC_ASSERT(parsed.value() == config);
}

std::string Damaged(std::string text) {
  const auto position = *rc::gen::inRange<size_t>(0, text.size());
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      return text.substr(0, position);
    case 1:
      text[position] = *rc::gen::arbitrary<char>();
      return text;
    case 2:
      return text.erase(position, *rc::gen::inRange<size_t>(1, 40));
    default:
      return text.insert(
          position, text.substr(position, *rc::gen::inRange<size_t>(1, 40)));
  }
}

// An editor or a broken connection cuts the text off, drops a line or pastes
// one twice. An operator must get told where and what to do; a host that took
// half of it for the whole would drop services from everybody.
RC_GTEST_PROP(ConfigTest, DamagedTextParsesWholeOrNamesTheRemedy, ()) {
  const std::string text_of_sample = FormatConfig(SampleConfig());
  std::string text = Damaged(text_of_sample);
  if (*rc::gen::arbitrary<bool>()) {
    text = Damaged(text + " ");
  }
  const result<deployment_config> parsed = ParseConfig(text);
  if (parsed) {
    RC_ASSERT(ParseConfig(FormatConfig(parsed.value())));
    return;
  }
  RC_ASSERT(!parsed.error().reason.empty());
  RC_ASSERT(!parsed.error().remedy.empty());
  RC_ASSERT(parsed.error().Message().find('\n') == std::string::npos);
}

// An operator renames a service and forgets the rule that names it. The rule
// would silently stop to apply and the organisation would lose its share.
TEST(ConfigTest, HalfRenamedServiceIsAnErrorNamingTheOldName) {
  deployment_config config = SampleConfig();
  config.services[1].name = "signing-v2";
  config.organisations[1].services = {"history", "signing-v2"};
  const error e = FailureOf(config);
  EXPECT_EQ(e.code, error_code::kUnknownName);
  EXPECT_EQ(e.Message(),
            "rules[1].service: there is no service \"signing\"; did you mean "
            "\"signing-v2\"?");
}

// The same slip in the list of services that an organisation calls would shut
// the organisation out.
TEST(ConfigTest, HalfRenamedServiceOfAnOrganisationIsAnError) {
  deployment_config config = SampleConfig();
  config.services[0].name = "histories";
  EXPECT_EQ(FailureOf(config).path, "organisations[0].services[0]");
}

// A release that is one step behind meets a document of the next one. Reading
// what it knows and passing over the rest would put half of it in force.
TEST(ConfigTest, NewerFormatIsRefusedAndSaysWhatStaysInForce) {
  const result<deployment_config> parsed =
      ParseConfig(R"({"format":2,"regions":["west"]})");
  ASSERT_FALSE(parsed);
  EXPECT_EQ(parsed.error().code, error_code::kNewerFormat);
  EXPECT_THAT(parsed.error().Message(),
              HasSubstr("the last good configuration stays in force"));
}

TEST(ConfigTest, PresetInForceMustBeDefined) {
  deployment_config config = SampleConfig();
  config.preset = "peek";
  const error e = FailureOf(config);
  EXPECT_EQ(e.path, "preset.name");
  EXPECT_THAT(e.remedy, HasSubstr("\"peak\""));
}

// Two organisations are given the same token. Whoever stands first in the list
// would answer for both and see the other's customers.
TEST(ConfigTest, TokenSharedByTwoOrganisationsIsRefused) {
  deployment_config config = SampleConfig();
  config.organisations[1].token_digests = config.organisations[0].token_digests;
  EXPECT_EQ(FailureOf(config).path, "organisations[1].token_digests[0]");
}

TEST(ConfigTest, TargetsWithTheSameNameOrAddressAreRefused) {
  deployment_config config = SampleConfig();
  config.services[1].targets[0].name = "history-1";
  EXPECT_EQ(FailureOf(config).code, error_code::kDuplicateName);
  config = SampleConfig();
  config.services[1].targets[0].address = "127.0.0.1:21000";
  EXPECT_EQ(FailureOf(config).path, "services[1].targets[0].address");
}

TEST(ConfigTest, RuleOfAServiceTheOrganisationMayNotCallIsRefused) {
  deployment_config config = SampleConfig();
  config.rules.push_back({"field", "signing", 1.0, 5, urgency::kUrgent});
  EXPECT_EQ(FailureOf(config).code, error_code::kForbidden);
}

TEST(ConfigTest, RuleForPrefersTheExactRuleThenTheGeneralOne) {
  const deployment_config config = SampleConfig();
  EXPECT_EQ(config.RuleFor("office", "signing").max_queued, 50);
  EXPECT_EQ(config.RuleFor("field", "history").max_queued, 100);
  EXPECT_EQ(config.RuleFor("field", "history").service, "history");
  EXPECT_EQ(config.RuleFor("office", "history").max_queued, 256);
}

/// Collects the names of all fields of `value`, at any depth.
void CollectFields(const nlohmann::json& value, std::set<std::string>& fields) {
  for (const auto& [name, part] : value.items()) {
    if (value.is_object()) {
      fields.insert(name);
    }
    if (part.is_structured()) {
      CollectFields(part, fields);
    }
  }
}

// A field is added and the operators' page is not changed. Operators cannot
// know of it, nor of its unit and range.
TEST(ConfigTest, EveryFieldStandsOnTheOperatorsPage) {
  std::ifstream in(std::string(PROJECT_DIR) + "/docs/CONFIGURATION.md");
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  deployment_config config = SampleConfig();
  config.mark = "mark";
  std::set<std::string> fields;
  CollectFields(nlohmann::json::parse(FormatConfig(config)), fields);
  ASSERT_GT(fields.size(), 30U);
  for (const std::string& field : fields) {
    // As `field`, as `outer.field`, as `field.inner` or in an example.
    const std::regex mention("[`.\"]" + field + "[`.\"]");
    const bool listed = std::regex_search(page, mention);
    EXPECT_TRUE(listed) << field;
  }
}

}  // namespace
}  // namespace foxtailspread
