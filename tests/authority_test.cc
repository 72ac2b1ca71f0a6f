#include "foxtailspread/authority.h"

#include <gtest/gtest.h>

#include "authority_schedule.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using testing::authority_schedule;
using testing::protocol_fault;

constexpr int kSchedules = 3000;
constexpr int64_t kRunUs = 4'000'000;

/// Returns the first seed whose schedule breaks the rule, or -1.
int FirstViolation(int hosts, protocol_fault fault, std::string* what) {
  for (int seed = 0; seed < kSchedules; ++seed) {
    authority_schedule schedule(seed, hosts, fault);
    schedule.Run(kRunUs);
    if (!schedule.violation().empty()) {
      *what = schedule.violation();
      return seed;
    }
  }
  return -1;
}

class AuthorityScheduleTest : public ::testing::TestWithParam<int> {};

// Hosts of one range are paused, cut off, restarted and starved of messages at
// random, while their clocks drift apart and the platform comes and goes. Two
// stewards at once would show a user as one key answered by two servers.
TEST_P(AuthorityScheduleTest, RandomFaultsNeverGiveTwoStewards) {
  std::string what;
  EXPECT_EQ(FirstViolation(GetParam(), protocol_fault::kNone, &what), -1)
      << what;
}

// A confirmation that sat in the network is counted from its arrival. The
// holder then believes in a promise that its witness no longer keeps.
TEST_P(AuthorityScheduleTest, CountingFromReceiptIsCaught) {
  std::string what;
  EXPECT_NE(
      FirstViolation(GetParam(), protocol_fault::kCountFromReceipt, &what), -1);
}

// A host restarts at once and, having forgotten what it promised, promises the
// range to another host in the name of its former life.
TEST_P(AuthorityScheduleTest, ForgettingPromisesIsCaught) {
  std::string what;
  EXPECT_NE(FirstViolation(GetParam(), protocol_fault::kForgetOnRestart, &what),
            -1);
}

INSTANTIATE_TEST_SUITE_P(Hosts, AuthorityScheduleTest, ::testing::Values(3, 4),
                         [](const auto& info) {
                           return std::to_string(info.param);
                         });

// The roster changes while some hosts still know the former one only. Without
// a majority of both, two rosters that do not overlap act side by side.
TEST(AuthorityRosterTest, ChangeWithoutJointMajorityIsCaught) {
  std::string what;
  EXPECT_NE(FirstViolation(5, protocol_fault::kSkipJointMajority, &what), -1);
}

// After any series of faults ends, one host must come to act again; if the
// hosts blocked each other for good, every key of the range would stay
// unavailable.
TEST(AuthorityRosterTest, HealedRangeFindsASteward) {
  int takeovers = 0;
  for (int seed = 0; seed < kSchedules; ++seed) {
    authority_schedule schedule(seed, 3, protocol_fault::kNone);
    schedule.Run(kRunUs);
    schedule.Heal();
    schedule.Run(kRunUs + 6'000'000);
    ASSERT_EQ(schedule.violation(), "") << seed;
    ASSERT_GE(schedule.Acting(), 0) << seed;
    takeovers += schedule.takeovers();
  }
  EXPECT_GT(takeovers, kSchedules);
}

class PromiseLedgerTest : public ::testing::Test {
 protected:
  promise_ask Ask(uint64_t epoch, uint64_t revision = 1) const {
    promise_ask ask;
    ask.range = "history@trnje";
    ask.epoch = epoch;
    ask.revision = revision;
    ask.to_life = 7;
    return ask;
  }

  promise_ledger ledger_{7, authority_timing{}};
  member first_{"a", 1};
  member second_{"b", 1};
  time_point start_{milliseconds{1000}};
};

TEST_F(PromiseLedgerTest, RunningPromiseRefusesAnotherHolder) {
  EXPECT_EQ(ledger_.Answer(first_, Ask(1), start_).verdict,
            promise_verdict::kGranted);
  EXPECT_EQ(ledger_.Answer(second_, Ask(2), start_ + milliseconds{399}).verdict,
            promise_verdict::kHeldByOther);
  EXPECT_EQ(ledger_.Answer(second_, Ask(2), start_ + milliseconds{400}).verdict,
            promise_verdict::kGranted);
  EXPECT_EQ(ledger_.Answer(first_, Ask(1), start_ + milliseconds{900}).verdict,
            promise_verdict::kEpochTooLow);
}

TEST_F(PromiseLedgerTest, AskForAFormerLifeIsRefused) {
  promise_ask ask = Ask(1);
  ask.to_life = 6;
  EXPECT_EQ(ledger_.Answer(first_, ask, start_).verdict,
            promise_verdict::kOtherLife);
}

TEST_F(PromiseLedgerTest, AskWithAnOutdatedRosterIsRefused) {
  ledger_.NoteRevision("history@trnje", 5);
  EXPECT_EQ(ledger_.Answer(first_, Ask(1, 4), start_).verdict,
            promise_verdict::kRecordTooOld);
}

TEST_F(PromiseLedgerTest, HandedOverPromiseGivesWayToTheSuccessorOnly) {
  ledger_.Answer(first_, Ask(1), start_);
  promise_ask ask = Ask(2);
  ask.released_by = first_;
  ask.released_epoch = 1;
  EXPECT_EQ(ledger_.Answer(second_, ask, start_).verdict,
            promise_verdict::kGranted);
  EXPECT_EQ(ledger_.Answer(member{"c", 1}, Ask(3), start_).verdict,
            promise_verdict::kHeldByOther);
}

}  // namespace
}  // namespace foxtailspread
