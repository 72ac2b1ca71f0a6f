#include "foxtailspread/declarations.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "declaration_samples.h"

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

class DeclarationsTest : public ::testing::Test {
 protected:
  std::string Failure() const {
    const result<deployment_config> merged = MergeDeclarations(files_);
    EXPECT_FALSE(merged);
    return merged ? "" : merged.error().Message();
  }

  std::string& Text(std::string_view name) {
    return FileNamed(files_, name).text;
  }

  std::vector<declaration_file> files_ = ExampleFiles("vlahovic");
};

size_t TargetsOf(const deployment_config& config, std::string_view service) {
  const service_config* found = config.FindService(service);
  return found == nullptr ? 0 : found->targets.size();
}

TEST_F(DeclarationsTest, VlahovicExampleHasTheSizesInUse) {
  const result<deployment_config> merged = MergeDeclarations(files_);
  ASSERT_TRUE(merged) << merged.error().Message();
  const deployment_config& config = merged.value();
  EXPECT_EQ(config.zones.size(), 4U);
  EXPECT_EQ(TargetsOf(config, "inspection-history"), 12U);
  EXPECT_EQ(TargetsOf(config, "report-signing"), 8U);
  EXPECT_EQ(TargetsOf(config, "crew-scheduling"), 8U);
  EXPECT_EQ(TargetsOf(config, "archive"), 8U);
  EXPECT_EQ(config.services[0].connections, 110);
  EXPECT_EQ(config.preset, "everyday");
}

TEST_F(DeclarationsTest, PrairieExampleHasTheSizesInUse) {
  files_ = ExampleFiles("prairie");
  const result<deployment_config> merged = MergeDeclarations(files_);
  ASSERT_TRUE(merged) << merged.error().Message();
  const deployment_config& config = merged.value();
  EXPECT_EQ(config.zones.size(), 3U);
  EXPECT_EQ(TargetsOf(config, "proof-viewer"), 14U);
  EXPECT_EQ(TargetsOf(config, "fabrication-orders"), 7U);
  EXPECT_EQ(TargetsOf(config, "deposits"), 6U);
  EXPECT_EQ(TargetsOf(config, "permit-archive"), 12U);
  EXPECT_EQ(config.organisations.size(), 4U);
}

TEST_F(DeclarationsTest, BadValueNamesFileAndPath) {
  ReplaceIn(Text("services/archive.json"), "\"slots\": 3", "\"slots\": 0");
  EXPECT_EQ(Failure(),
            "services/archive.json: slots: 0 is out of range; use 1 to 1024");
}

TEST_F(DeclarationsTest, BrokenJsonNamesTheFile) {
  Text("rules.json") = "[{";
  EXPECT_THAT(Failure(), StartsWith("rules.json: [0]: "));
}

// A service is renamed in its file and the file with it, but a rule keeps the
// old name. Merged in silence, the rule would apply to nothing.
TEST_F(DeclarationsTest, HalfRenamedServiceNamesTheFileThatKeptTheOldName) {
  declaration_file& file = FileNamed(files_, "services/archive.json");
  file.name = "services/archives.json";
  ReplaceIn(file.text, "\"name\": \"archive\"", "\"name\": \"archives\"");
  EXPECT_EQ(Failure(),
            "organisations/insurers.json: services[0]: there is no service "
            "\"archive\"; did you mean \"archives\"?");
}

// Only the content is renamed. Whoever looks for the service by its file finds
// the old name.
TEST_F(DeclarationsTest, FileNamedUnlikeItsServiceIsRefused) {
  ReplaceIn(Text("services/archive.json"), "\"name\": \"archive\"",
            "\"name\": \"archives\"");
  EXPECT_THAT(Failure(), StartsWith("services/archive.json: name: "));
}

// The same target in two files: each part is sound, the whole is not.
TEST_F(DeclarationsTest, DuplicateAcrossFilesNamesBothFiles) {
  ReplaceIn(Text("services/report-signing.json"), "127.0.0.1:21020",
            "127.0.0.1:21060");
  const std::string message = Failure();
  EXPECT_THAT(message, HasSubstr("services/report-signing.json: targets[0]"));
  EXPECT_THAT(message, HasSubstr("at services/archive.json: targets[0]"));
}

TEST_F(DeclarationsTest, UnknownFileAndMissingPresetsAreNamed) {
  files_.push_back({"ruels.json", "[]"});
  EXPECT_THAT(Failure(), HasSubstr("did you mean \"rules.json\"?"));
  files_.pop_back();
  std::erase_if(files_, [](const auto& f) { return f.name == "presets.json"; });
  EXPECT_THAT(Failure(), StartsWith("presets.json: is missing"));
}

TEST_F(DeclarationsTest, NewerFormatIsToldBeforeItsUnknownFields) {
  ReplaceIn(Text("deployment.json"), "\"format\": 1",
            "\"format\": 2, \"regions\": []");
  EXPECT_THAT(Failure(), HasSubstr("this release reads 1"));
}

}  // namespace
}  // namespace foxtailspread
