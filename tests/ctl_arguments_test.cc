#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "ctl/invocation.h"

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;

using words = std::vector<std::string>;

std::string MistakeIn(const words& arguments) {
  const auto parsed = ParseArguments(arguments);
  const auto* end = std::get_if<early_end>(&parsed);
  EXPECT_TRUE(end != nullptr && end->status == exit_status::kUsage);
  return end != nullptr ? end->text : "";
}

invocation Parsed(const words& arguments) {
  const auto parsed = ParseArguments(arguments);
  const auto* what = std::get_if<invocation>(&parsed);
  EXPECT_NE(what, nullptr);
  return what != nullptr ? *what : invocation{};
}

TEST(CtlArgumentsTest, GlobalFlagsMayFollowTheCommand) {
  const invocation what =
      Parsed({"preset", "switch", "peak", "--why", "storm", "--platform",
              "127.0.0.1:1", "--output", "json", "--revision", "12"});
  EXPECT_EQ(what.command, command_kind::kPresetSwitch);
  EXPECT_EQ(what.name, "peak");
  EXPECT_EQ(what.why, "storm");
  EXPECT_EQ(what.platform, "127.0.0.1:1");
  EXPECT_EQ(what.output, output_format::kJson);
  EXPECT_EQ(what.revision, 12U);
}

TEST(CtlArgumentsTest, MistypedNamesGetTheNearestKnownOne) {
  EXPECT_THAT(MistakeIn({"aply", "dir"}), HasSubstr("did you mean \"apply\"?"));
  EXPECT_THAT(MistakeIn({"preset", "swich", "peak"}),
              HasSubstr("did you mean \"switch\"?"));
  EXPECT_THAT(MistakeIn({"show", "--plaform=x"}),
              HasSubstr("did you mean \"--platform\"?"));
  EXPECT_THAT(MistakeIn({"apply", "dir", "--wiat"}),
              HasSubstr("did you mean \"--wait\"?"));
}

TEST(CtlArgumentsTest, MissingReasonOfASwitchIsAMistake) {
  EXPECT_THAT(MistakeIn({"preset", "switch", "peak"}),
              HasSubstr("--why is required"));
}

TEST(CtlArgumentsTest, EveryCommandHasHelpWithAnExample) {
  const std::vector<words> commands{{"check"},
                                    {"diff"},
                                    {"apply"},
                                    {"show"},
                                    {"preset"},
                                    {"preset", "list"},
                                    {"preset", "show"},
                                    {"preset", "switch"},
                                    {"organisation"},
                                    {"organisation", "list"},
                                    {"organisation", "add"},
                                    {"organisation", "remove"},
                                    {"service"},
                                    {"service", "list"},
                                    {"rule"},
                                    {"rule", "list"},
                                    {"rule", "set"},
                                    {"drain"},
                                    {"drain", "target"},
                                    {"drain", "host"},
                                    {"undrain"},
                                    {"undrain", "target"},
                                    {"undrain", "host"},
                                    {"range"},
                                    {"range", "reset"},
                                    {"ownership"},
                                    {"hosts"},
                                    {"status"},
                                    {"burn"},
                                    {"metrics"},
                                    {}};
  for (words arguments : commands) {
    arguments.emplace_back("--help");
    const auto parsed = ParseArguments(arguments);
    const auto* end = std::get_if<early_end>(&parsed);
    ASSERT_NE(end, nullptr);
    EXPECT_EQ(end->status, exit_status::kOk);
    EXPECT_THAT(end->text, HasSubstr("Example"));
    EXPECT_THAT(end->text, HasSubstr("  foxtailctl "));
  }
}

}  // namespace
}  // namespace foxtailspread
