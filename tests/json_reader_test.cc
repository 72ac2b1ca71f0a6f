#include "foxtailspread/json_reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;

struct sample {
  int slots = 3;
  double share = 1.0;
  duration latency{};
};

status ReadSample(std::string_view text, sample& out) {
  const result<nlohmann::json> value = ParseJson(text);
  if (!value) {
    return value.error();
  }
  object_reader reader(value.value());
  reader.ReadList("services", [&out](object_reader& item) {
    item.Require({"slots"});
    item.Read("slots", out.slots, {1, 64});
    item.Read("share", out.share, {0.0, 1.0});
    item.ReadMilliseconds("latency_ms", out.latency,
                          {duration(1), duration(1'000'000)});
  });
  return reader.Finish();
}

error FailureOf(std::string_view text) {
  sample unused;
  const status read = ReadSample(text, unused);
  EXPECT_FALSE(read) << text;
  return read ? error{} : read.error();
}

TEST(JsonReaderTest, CommentsAndFractionsOfMillisecondsAreRead) {
  sample read;
  const status done = ReadSample(
      "// three\n{\"services\":[{\"slots\":4, /* s */ \"latency_ms\":0.25}]}",
      read);
  ASSERT_TRUE(done) << done.error().Message();
  EXPECT_EQ(read.slots, 4);
  EXPECT_EQ(read.latency, duration(250));
}

TEST(JsonReaderTest, UnknownFieldNamesTheNearestKnownOne) {
  const error e = FailureOf(R"({"services":[{"slotz":4}]})");
  EXPECT_EQ(e.code, error_code::kUnknownField);
  EXPECT_EQ(e.Message(),
            "services[0].slotz: the format has no such field; "
            "did you mean \"slots\"?");
}

TEST(JsonReaderTest, ValueOutOfRangeNamesPathAndRange) {
  const error e = FailureOf(R"({"services":[{"slots":3},{"slots":65}]})");
  EXPECT_EQ(e.code, error_code::kOutOfRange);
  EXPECT_EQ(e.Message(), "services[1].slots: 65 is out of range; use 1 to 64");
}

TEST(JsonReaderTest, IntegerBeyondSixtyFourBitsIsOutOfRange) {
  const error e = FailureOf(R"({"services":[{"slots":18446744073709551615}]})");
  EXPECT_EQ(e.code, error_code::kOutOfRange);
}

TEST(JsonReaderTest, WrongTypesNameTheWantedOne) {
  EXPECT_THAT(FailureOf(R"({"services":[{"slots":"3"}]})").Message(),
              HasSubstr("services[0].slots: is of type string; write a whole"));
  EXPECT_THAT(FailureOf(R"({"services":{}})").Message(),
              HasSubstr("services: is of type object; write a list"));
  EXPECT_THAT(FailureOf("[]").Message(), HasSubstr("write an object"));
}

TEST(JsonReaderTest, MissingFieldIsNamed) {
  const error e = FailureOf(R"({"services":[{"share":0.5}]})");
  EXPECT_EQ(e.code, error_code::kMissingField);
  EXPECT_EQ(e.path, "services[0].slots");
}

// An operator pastes a block a second time and changes the copy. The library
// would keep the last and say nothing, so the operator would notice a setting
// that is written in the file and not in force.
TEST(JsonReaderTest, FieldGivenTwiceIsRefusedWithItsPath) {
  const error e = FailureOf(R"({"services":[{"slots":3,"slots":4}]})");
  EXPECT_EQ(e.code, error_code::kDuplicateName);
  EXPECT_EQ(e.path, "services[0].slots");
}

// A generator that runs away nests without end. The reader would recurse over
// it and the process would run out of stack.
TEST(JsonReaderTest, DeepNestingIsRefused) {
  EXPECT_EQ(FailureOf(std::string(100'000, '[')).code, error_code::kTooLarge);
}

TEST(JsonReaderTest, TextOverTheLimitIsRefused) {
  EXPECT_EQ(FailureOf(std::string((1 << 20) + 1, ' ')).code,
            error_code::kTooLarge);
}

TEST(JsonReaderTest, TruncatedTextGivesPathAndNoTokenOfIt) {
  const error e = FailureOf(R"({"services":[{"slots":3,"host_secret":"sesam)");
  EXPECT_EQ(e.code, error_code::kMalformed);
  EXPECT_THAT(e.Message(), Not(HasSubstr("sesam")));
}

TEST(NearestNameTest, FarNameGivesNoneAndTheRemedyListsKnownOnes) {
  const std::vector<std::string> known{"archive", "deposits"};
  EXPECT_EQ(NearestName("archiv", known), "archive");
  EXPECT_EQ(NearestName("zzzzzz", known), "");
  EXPECT_EQ(KnownNameRemedy("zzzzzz", known), "use one of archive, deposits");
}

}  // namespace
}  // namespace foxtailspread
