#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config_samples.h"
#include "ctl/config_commands.h"
#include "declaration_samples.h"
#include "fake_objects.h"

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;

class CtlConfigTest : public ::testing::Test {
 protected:
  void SetUp() override {
    const auto applied = ApplyDeclarations(objects_, files_, Act("first"));
    ASSERT_TRUE(applied) << applied.error().Message();
  }

  static operator_act Act(const std::string& mark,
                          const std::string& who = "ana") {
    return {who, "rush", "2026-12-02T09:00:00Z", mark, std::nullopt};
  }

  result<report> Switch(const std::string& preset, const operator_act& act) {
    return EditConfig(objects_, act, [&](const deployment_config& current) {
      return SwitchPreset(current, preset, act);
    });
  }

  deployment_config Stored() const {
    return ConfigOf(objects_.StateOf("config")).value();
  }

  std::vector<declaration_file> files_ = ExampleFiles("vlahovic");
  fake_objects objects_;
};

TEST_F(CtlConfigTest, FirstApplyPutsTheInitialPresetInForce) {
  EXPECT_EQ(Stored().preset, "everyday");
  EXPECT_EQ(Stored().preset_by, "ana");
  EXPECT_EQ(Stored().mark, "first");
}

TEST_F(CtlConfigTest, SecondApplyOfTheSameWritesNothing) {
  const auto again = ApplyDeclarations(objects_, files_, Act("second"));
  ASSERT_TRUE(again);
  EXPECT_EQ(objects_.writes, 1);
}

TEST_F(CtlConfigTest, ApplyKeepsThePresetThatIsInForce) {
  ASSERT_TRUE(Switch("peak", Act("switch")));
  ReplaceIn(FileNamed(files_, "services/archive.json").text, "\"slots\": 3",
            "\"slots\": 4");
  const auto differs = DiffDeclarations(objects_, files_);
  ASSERT_TRUE(differs);
  EXPECT_EQ(differs.value().status, exit_status::kDiffers);
  EXPECT_THAT(differs.value().text,
              HasSubstr("~ services.archive.slots: 3 -> 4"));
  ASSERT_TRUE(ApplyDeclarations(objects_, files_, Act("third")));
  EXPECT_EQ(Stored().preset, "peak");
  EXPECT_EQ(Stored().FindService("archive")->slots, 4);
}

TEST_F(CtlConfigTest, SwitchToThePresetInForceIsRefusedAndSaysSinceWhen) {
  const auto again = Switch("everyday", Act("switch"));
  ASSERT_FALSE(again);
  EXPECT_EQ(ExitStatusOf(again.error().code), exit_status::kRefused);
  EXPECT_THAT(again.error().reason, HasSubstr("by ana"));
  EXPECT_EQ(objects_.writes, 1);
}

TEST_F(CtlConfigTest, UnknownPresetNamesTheNearest) {
  const auto failed = Switch("peek", Act("switch"));
  ASSERT_FALSE(failed);
  EXPECT_THAT(failed.error().Message(), HasSubstr("did you mean \"peak\"?"));
}

// The platform carries out the write and the connection breaks before its
// answer. A tool that reports a failure makes the operator do it twice.
TEST_F(CtlConfigTest, LostAnswerIsFoundByTheOwnMarkAndNotWrittenAgain) {
  objects_.answers_to_lose = 1;
  const auto switched = Switch("peak", Act("switch"));
  ASSERT_TRUE(switched) << switched.error().Message();
  EXPECT_EQ(objects_.writes, 2);
  EXPECT_EQ(switched.value().data["revision"], objects_.Revision());
  EXPECT_EQ(Stored().preset, "peak");
}

// The answer is lost and the platform then stays down for a while. The write
// must be neither repeated nor reported as failed once it is back.
TEST_F(CtlConfigTest, LostAnswerFollowedByAnOutageIsStillFound) {
  objects_.answers_to_lose = 1;
  objects_.on_wait = [this] {
    objects_.calls_to_refuse = objects_.waits_left > 5 ? 1 : 0;
  };
  const auto switched = Switch("peak", Act("switch"));
  ASSERT_TRUE(switched) << switched.error().Message();
  EXPECT_EQ(objects_.writes, 2);
}

// The answer is lost and another operator writes before the object is read
// again. Who lost must not be told that it succeeded.
TEST_F(CtlConfigTest, LostAnswerOverwrittenByAnotherIsReportedAsALostRace) {
  objects_.answers_to_lose = 1;
  objects_.on_wait = [this] {
    nlohmann::json other = objects_.StateOf("config").value;
    other["mark"] = "other";
    other["preset"]["name"] = "maintenance";
    objects_.Put("config", other);
  };
  const auto switched = Switch("peak", Act("switch"));
  ASSERT_FALSE(switched);
  EXPECT_EQ(switched.error().code, error_code::kConflict);
}

// The platform is down for a moment. The operator should not have to type the
// command again, and the write must take effect once.
TEST_F(CtlConfigTest, OutageWithinTheTimeAllowedIsWaitedOut) {
  objects_.before_write = [this] { objects_.calls_to_refuse = 4; };
  const auto switched = Switch("peak", Act("switch"));
  ASSERT_TRUE(switched) << switched.error().Message();
  EXPECT_EQ(objects_.writes, 2);
}

// The platform stays down. Nobody can tell whether the write took effect, and
// the message must not claim either.
TEST_F(CtlConfigTest, OutageBeyondTheTimeAllowedSaysThatTheFateIsUnknown) {
  objects_.before_write = [this] { objects_.calls_to_refuse = 1000; };
  const auto switched = Switch("peak", Act("switch"));
  ASSERT_FALSE(switched);
  EXPECT_EQ(ExitStatusOf(switched.error().code), exit_status::kUnreachable);
  EXPECT_THAT(switched.error().reason, HasSubstr("not known"));
}

// Two operators switch presets at the same moment. Without the condition the
// later write would undo the earlier one and nobody would know.
TEST_F(CtlConfigTest, RacingSwitchesLeaveExactlyOneInForceAndTellTheLoser) {
  objects_.before_write = [this] {
    ASSERT_TRUE(Switch("maintenance", Act("other", "ivo")));
  };
  const auto lost = Switch("peak", Act("switch"));
  ASSERT_FALSE(lost);
  EXPECT_EQ(ExitStatusOf(lost.error().code), exit_status::kLostRace);
  EXPECT_THAT(lost.error().reason,
              HasSubstr("preset.name: \"everyday\" -> \"maintenance\""));
  EXPECT_THAT(lost.error().reason, HasSubstr("\"ivo\""));
  EXPECT_THAT(lost.error().reason, HasSubstr("the mark \"other\""));
  EXPECT_EQ(Stored().preset, "maintenance");
}

// One operator applies declarations while another changes a rule. Merging the
// two in silence would put a state in force that neither has seen.
TEST_F(CtlConfigTest, RacingChangesOfDifferentPartsAreNotMerged) {
  objects_.before_write = [this] {
    const auto set = EditConfig(
        objects_, Act("other"), [](const deployment_config& current) {
          return SetRule(current, {"insurers", "archive", 2.0});
        });
    ASSERT_TRUE(set);
  };
  ReplaceIn(FileNamed(files_, "services/archive.json").text, "\"slots\": 3",
            "\"slots\": 4");
  const auto lost = ApplyDeclarations(objects_, files_, Act("apply"));
  ASSERT_FALSE(lost);
  EXPECT_THAT(lost.error().reason, HasSubstr("rules.insurers.archive.share"));
  EXPECT_EQ(Stored().FindService("archive")->slots, 3);
}

// The operator reviewed a difference, and somebody changed the configuration
// before the apply. What would be put in force is not what was reviewed.
TEST_F(CtlConfigTest, ApplyOfAReviewedRevisionRefusesAnother) {
  operator_act act = Act("apply");
  act.seen_revision = objects_.Revision();
  ASSERT_TRUE(Switch("peak", Act("other")));
  const auto lost = ApplyDeclarations(objects_, files_, act);
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().code, error_code::kConflict);
}

// The declarations no longer hold the preset in force. Applying them would
// leave the deployment without one, or switch it without anybody's word.
TEST_F(CtlConfigTest, DeclarationsWithoutThePresetInForceAreRefused) {
  ASSERT_TRUE(Switch("peak", Act("switch")));
  ReplaceIn(FileNamed(files_, "presets.json").text, "\"peak\"", "\"rush\"");
  const auto refused = ApplyDeclarations(objects_, files_, Act("apply"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(ExitStatusOf(refused.error().code), exit_status::kRefused);
}

// The operator is in the wrong directory. One deployment's declarations would
// replace the other's organisations.
TEST_F(CtlConfigTest, DeclarationsOfAnotherDeploymentAreRefused) {
  const auto refused =
      ApplyDeclarations(objects_, ExampleFiles("prairie"), Act("apply"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().path, "deployment");
}

// The number of buckets is changed under a running service. Hosts that have
// read the change and hosts that have not would compute different owners.
TEST_F(CtlConfigTest, ChangedBucketsOfAServiceAreRefused) {
  ReplaceIn(FileNamed(files_, "services/inspection-history.json").text,
            "\"buckets\": 256", "\"buckets\": 512");
  const auto refused = ApplyDeclarations(objects_, files_, Act("apply"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().path, "services.inspection-history.buckets");
}

TEST_F(CtlConfigTest, OrganisationWithRulesGoesOnlyWithThem) {
  const auto remove = [](bool with_rules) {
    return [with_rules](const deployment_config& current) {
      return RemoveOrganisation(current, "insurers", with_rules);
    };
  };
  EXPECT_FALSE(EditConfig(objects_, Act("a"), remove(false)));
  ASSERT_TRUE(EditConfig(objects_, Act("b"), remove(true)));
  EXPECT_EQ(Stored().FindOrganisation("insurers"), nullptr);
}

// A newer release of the tool wrote the configuration. Writing it back from
// here would drop what this release does not know.
TEST_F(CtlConfigTest, ConfigurationOfANewerFormatIsNotOverwritten) {
  objects_.Put("config", {{"format", 2}});
  const auto refused = ApplyDeclarations(objects_, files_, Act("apply"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, error_code::kNewerFormat);
}

// Operators, lost answers and outages in any order: whoever is told that a
// switch was accepted finds it in the history once, and whoever is told that
// the race was lost changed nothing.
RC_GTEST_PROP(CtlConfigRaceTest, EachAcceptedSwitchTookEffectOnce, ()) {
  fake_objects objects;
  objects.Put("config", ParseJson(FormatConfig(SampleConfig())).value());
  const int rounds = *rc::gen::inRange(1, 8);
  for (int i = 0; i < rounds; ++i) {
    objects.waits_left = 10;
    objects.answers_to_lose = *rc::gen::inRange(0, 3);
    objects.calls_to_refuse = *rc::gen::inRange(0, 4);
    const std::string mark = "mark-" + std::to_string(i);
    const operator_act act{"ana", "test", "now", mark, std::nullopt};
    const bool raced = *rc::gen::arbitrary<bool>();
    if (raced) {
      objects.before_write = [&objects] {
        objects.Put("config", objects.StateOf("config").value);
      };
    }
    const int writes = objects.writes;
    const std::string before =
        objects.StateOf("config").value["preset"]["name"];
    const std::string wanted = before == "peak" ? "everyday" : "peak";
    const auto switched =
        EditConfig(objects, act, [&](const deployment_config& current) {
          return SwitchPreset(current, wanted, act);
        });
    const auto stored = ConfigOf(objects.StateOf("config"));
    RC_ASSERT(stored);
    RC_ASSERT(switched.has_value() != raced);
    RC_ASSERT(objects.writes - writes == (raced ? 0 : 1));
    RC_ASSERT(stored.value().preset == (raced ? before : wanted));
  }
}

}  // namespace
}  // namespace foxtailspread
