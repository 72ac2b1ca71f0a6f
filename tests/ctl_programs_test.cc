#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "net/loop.h"
#include "program_runner.h"

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;

/// The real command against the real stand-in platform.
class CtlProgramsTest : public ::testing::Test {
 protected:
  program_result Ctl(std::vector<std::string> arguments) const {
    arguments.insert(arguments.end(), {"--platform", platform_.address(),
                                       "--as", "ana", "--timeout", "20"});
    return RunProgram("foxtailctl", arguments);
  }

  void SetFaults(const nlohmann::json& faults) const {
    event_loop loop;
    http_client client;
    int status = 0;
    const http_call_ptr call =
        client.Send({.method = "POST",
                     .url = "http://" + platform_.address() + "/admin/faults",
                     .body = faults.dump()},
                    [&](const http_call_result& result) {
                      status = result.status;
                      loop.Stop();
                    });
    loop.Run();
    ASSERT_EQ(status, kHttpOk);
  }

  nlohmann::json PresetInForce() const {
    return nlohmann::json::parse(
        Ctl({"preset", "show", "--output", "json"}).out);
  }

  std::string examples_ = std::string(PROJECT_DIR) + "/examples/";
  served_program platform_{"foxtail-platform", {"--listen", "127.0.0.1:0"}};
};

TEST_F(CtlProgramsTest, DeclarationsAreAppliedShownAndSwitched) {
  EXPECT_EQ(Ctl({"show"}).status, 2);
  EXPECT_EQ(Ctl({"diff", examples_ + "prairie"}).status, 1);
  const program_result applied = Ctl({"apply", examples_ + "prairie"});
  EXPECT_EQ(applied.status, 0) << applied.err;
  EXPECT_EQ(Ctl({"diff", examples_ + "prairie"}).status, 0);
  EXPECT_EQ(Ctl({"apply", examples_ + "vlahovic"}).status, 5);
  const program_result switched =
      Ctl({"preset", "switch", "peak", "--why", "counter rush"});
  EXPECT_EQ(switched.status, 0) << switched.err;
  EXPECT_EQ(PresetInForce()["preset"], "peak");
  EXPECT_EQ(PresetInForce()["why"], "counter rush");
  EXPECT_EQ(Ctl({"preset", "switch", "peak", "--why", "again"}).status, 5);
}

TEST_F(CtlProgramsTest, DrainIsWrittenListedAndRemoved) {
  ASSERT_EQ(Ctl({"apply", examples_ + "prairie"}).status, 0);
  EXPECT_EQ(Ctl({"drain", "target", "deposits-01"}).status, 0);
  EXPECT_EQ(Ctl({"drain", "target", "deposits-01"}).status, 5);
  EXPECT_EQ(Ctl({"undrain", "target", "deposits-01"}).status, 0);
  EXPECT_EQ(Ctl({"undrain", "target", "deposits-01"}).status, 2);
  EXPECT_THAT(Ctl({"undrain", "target", "deposits 01?"}).err,
              HasSubstr("drains/deposits 01?"));
}

// The platform carries the write out and closes the connection in place of an
// answer. The command must say that it is done, and a second write would show
// as a gap in the revisions.
TEST_F(CtlProgramsTest, LostAnswerOfTheRealPlatformIsFoundByTheMark) {
  ASSERT_EQ(Ctl({"apply", examples_ + "prairie"}).status, 0);
  const uint64_t before = PresetInForce()["revision"];
  SetFaults({{"lose_write_answers", 1}});
  const program_result switched =
      Ctl({"preset", "switch", "peak", "--why", "counter rush"});
  EXPECT_EQ(switched.status, 0) << switched.err;
  EXPECT_EQ(PresetInForce()["revision"], before + 1);
}

TEST_F(CtlProgramsTest, PlatformThatIsDownEndsWithItsStatus) {
  SetFaults({{"down", true}});
  const program_result shown = RunProgram(
      "foxtailctl",
      {"show", "--platform", platform_.address(), "--timeout", "0.5"});
  EXPECT_EQ(shown.status, 4);
  EXPECT_THAT(shown.err, HasSubstr("no answer"));
}

}  // namespace
}  // namespace foxtailspread
