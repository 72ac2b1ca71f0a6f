#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "load/checker.h"

namespace foxtailspread {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr uint64_t kSum = 77;

time_point At(int64_t us) { return time_point(duration(us)); }

observed_run Seen(std::string target, int64_t from, int64_t until,
                  uint64_t sum = kSum, int bucket = -1) {
  observed_run seen;
  seen.target = std::move(target);
  seen.run.range = "deposits@regina-hall";
  seen.run.bucket = bucket;
  seen.run.body_sum = sum;
  seen.run.started = At(from);
  seen.run.ended = At(until);
  return seen;
}

request_record Action(std::vector<answer_record> answers) {
  request_record request;
  request.service = "deposits";
  request.key = "store-1";
  request.body_sum = kSum;
  request.at_most_once = true;
  request.answers = std::move(answers);
  return request;
}

std::vector<violation_kind> Check(const request_record& request,
                                  const std::vector<observed_run>& runs,
                                  std::vector<std::string> unread = {}) {
  std::vector<violation_kind> kinds;
  for (const violation& v :
       CheckRuns({&request, 1}, runs, std::move(unread)).violations) {
    kinds.push_back(v.kind);
  }
  return kinds;
}

answer_record Said(action_outcome outcome, int64_t us = 100) {
  return {outcome, At(us), true};
}

TEST(LoadCheckerTest, SoundRunHasNoViolations) {
  EXPECT_THAT(
      Check(Action({Said(action_outcome::kDone)}), {Seen("t1", 10, 20)}),
      IsEmpty());
  EXPECT_THAT(Check(Action({Said(action_outcome::kNotRun)}), {}), IsEmpty());
  EXPECT_THAT(
      Check(Action({Said(action_outcome::kUnknown)}), {Seen("t1", 10, 20)}),
      IsEmpty());
}

// A deposit is sent again through another entry host that does not find the
// first, and both hosts hand it to a target. The storefront pays twice.
TEST(LoadCheckerTest, ActionThatBeganTwiceIsFound) {
  EXPECT_THAT(Check(Action({Said(action_outcome::kDone)}),
                    {Seen("t1", 10, 20), Seen("t2", 30, 40)}),
              ElementsAre(violation_kind::kSecondRun));
}

TEST(LoadCheckerTest, LookupThatRanTwiceIsNoViolation) {
  request_record lookup = Action({Said(action_outcome::kDone)});
  lookup.at_most_once = false;
  EXPECT_THAT(Check(lookup, {Seen("t1", 10, 20), Seen("t1", 30, 40)}),
              IsEmpty());
}

// A host gives a request up and says that it was not run, while the target
// takes it from its queue. The caller books again elsewhere.
TEST(LoadCheckerTest, NotRunOfWhatBeganIsFound) {
  EXPECT_THAT(
      Check(Action({Said(action_outcome::kNotRun)}), {Seen("t1", 10, 20)}),
      ElementsAre(violation_kind::kFalseNotRun));
  EXPECT_THAT(Check(Action({Said(action_outcome::kNotRun, 100)}),
                    {Seen("t1", 200, 300)}),
              ElementsAre(violation_kind::kFalseNotRun));
}

TEST(LoadCheckerTest, RunAfterANotRunThatWasSentAgainIsNoViolation) {
  EXPECT_THAT(Check(Action({Said(action_outcome::kNotRun, 100),
                            Said(action_outcome::kDone, 400)}),
                    {Seen("t1", 200, 300)}),
              IsEmpty());
  EXPECT_THAT(Check(Action({Said(action_outcome::kNotRun, 100),
                            {action_outcome::kUnknown, At(400), false}}),
                    {Seen("t1", 200, 300)}),
              IsEmpty());
}

TEST(LoadCheckerTest, EarlierNotRunAfterTheStartIsFound) {
  EXPECT_THAT(Check(Action({Said(action_outcome::kNotRun, 100),
                            Said(action_outcome::kDone, 400)}),
                    {Seen("t1", 50, 300)}),
              ElementsAre(violation_kind::kFalseNotRun));
}

TEST(LoadCheckerTest, NotRunAfterUnknownIsFound) {
  EXPECT_THAT(Check(Action({Said(action_outcome::kUnknown, 100),
                            Said(action_outcome::kNotRun, 400)}),
                    {}),
              ElementsAre(violation_kind::kNotRunAfterUnknown));
  EXPECT_THAT(Check(Action({{action_outcome::kUnknown, At(100), false},
                            Said(action_outcome::kNotRun, 400)}),
                    {}),
              IsEmpty());
}

TEST(LoadCheckerTest, DoneWithoutARunIsFoundOnlyWhenAllLogsWereRead) {
  EXPECT_THAT(Check(Action({Said(action_outcome::kDone)}), {}),
              ElementsAre(violation_kind::kDoneWithoutRun));
  EXPECT_THAT(Check(Action({Said(action_outcome::kDone)}), {}, {"t3"}),
              IsEmpty());
}

// Two answers are swapped on a reused connection. A surveyor reads the damp
// report of another property.
TEST(LoadCheckerTest, AnswerToAnotherRequestIsFound) {
  EXPECT_EQ(FindForeignAnswer(R"({"key":"k","sum":77})", "k", kSum), "");
  EXPECT_NE(FindForeignAnswer(R"({"key":"k","sum":78})", "k", kSum), "");
  EXPECT_NE(FindForeignAnswer(R"({"key":"l","sum":77})", "k", kSum), "");
  EXPECT_NE(FindForeignAnswer(R"({"key":"k","su)", "k", kSum), "");
  request_record request = Action({Said(action_outcome::kDone)});
  request.foreign_answers.emplace_back("for another key");
  EXPECT_THAT(Check(request, {Seen("t1", 10, 20)}),
              ElementsAre(violation_kind::kForeignAnswer));
}

std::vector<violation_kind> CheckOwners(std::vector<observed_run> runs) {
  std::vector<violation_kind> kinds;
  for (const violation& v : CheckRuns({}, runs, {}).violations) {
    kinds.push_back(v.kind);
  }
  return kinds;
}

// A bucket moves while its former owner still works on a long request. For a
// moment two targets hold the state of one property.
TEST(LoadCheckerTest, TwoOwnersOfABucketAtATimeAreFound) {
  EXPECT_THAT(CheckOwners({Seen("t1", 10, 50, 1, 4), Seen("t2", 40, 60, 2, 4)}),
              ElementsAre(violation_kind::kOwnerOverlap));
  // The longer run of t1 reaches over the whole of t2's second one.
  EXPECT_THAT(CheckOwners({Seen("t2", 1, 5, 1, 4), Seen("t1", 10, 90, 2, 4),
                           Seen("t1", 20, 30, 3, 4), Seen("t2", 40, 60, 4, 4)}),
              ElementsAre(violation_kind::kOwnerOverlap));
}

TEST(LoadCheckerTest, OwnersOneAfterTheOtherAreNoViolation) {
  EXPECT_THAT(CheckOwners({Seen("t1", 10, 40, 1, 4), Seen("t1", 20, 30, 2, 4),
                           Seen("t2", 40, 60, 3, 4), Seen("t3", 50, 60, 4, 5)}),
              IsEmpty());
}

TEST(LoadCheckerTest, LogIsReadAndADamagedOneRefused) {
  const result<std::vector<observed_run>> runs = ParseRuns(
      "t1", R"({"runs":[{"attempt":"a","key":"k","range":"r","epoch":3,)"
            R"("bucket":4,"body_sum":18446744073709551615,)"
            R"("started_us":5,"ended_us":6}]})");
  ASSERT_TRUE(runs) << runs.error().Message();
  EXPECT_EQ(runs.value()[0].run.body_sum, 18446744073709551615U);
  EXPECT_FALSE(ParseRuns("t1", R"({"runs":[{"attempt":"a"}]})"));
}

}  // namespace
}  // namespace foxtailspread
