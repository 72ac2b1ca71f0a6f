#include "foxtailspread/authority.h"

#include <gtest/gtest.h>

#include "authority_schedule.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using testing::authority_schedule;
using testing::protocol_fault;

constexpr int kScheduleCount = 3000;
constexpr int64_t kRunTimeUs = 4'000'000;

/// Returns the first seed whose schedule violates the protocol's guarantees, or
/// -1 if none does.
int FirstViolatingSeed(int hosts, protocol_fault fault,
                       std::string* violation) {
  for (int seed = 0; seed < kScheduleCount; ++seed) {
    authority_schedule schedule(seed, hosts, fault);
    schedule.Run(kRunTimeUs);
    if (!schedule.violation().empty()) {
      *violation = schedule.violation();
      return seed;
    }
  }
  return -1;
}

class AuthorityScheduleTest : public ::testing::TestWithParam<int> {};

// Guards against two stewards at once, which would let two servers answer for
// one key. Hosts of a range are paused, disconnected and restarted and lose
// messages at random, while their clocks drift apart and the platform is
// unavailable at times.
TEST_P(AuthorityScheduleTest, RandomFaultsNeverGiveTwoStewards) {
  std::string violation;
  EXPECT_EQ(FirstViolatingSeed(GetParam(), protocol_fault::kNone, &violation),
            -1)
      << violation;
}

// Injected fault: a promise counts from the arrival of its answer. After a
// network delay, the holder relies on a promise that has expired at its
// witness.
TEST_P(AuthorityScheduleTest, CountingPromisesFromReceiptIsDetected) {
  std::string violation;
  EXPECT_NE(FirstViolatingSeed(GetParam(), protocol_fault::kCountFromReceipt,
                               &violation),
            -1);
}

// Injected fault: a restarted host lost its promises but remains the same
// member, so it promises the range to another host too early.
TEST_P(AuthorityScheduleTest, ForgettingPromisesOnRestartIsDetected) {
  std::string violation;
  EXPECT_NE(FirstViolatingSeed(GetParam(), protocol_fault::kForgetOnRestart,
                               &violation),
            -1);
}

INSTANTIATE_TEST_SUITE_P(Hosts, AuthorityScheduleTest, ::testing::Values(3, 4),
                         [](const auto& info) {
                           return std::to_string(info.param);
                         });

// Injected fault: the roster changes without a majority of the former roster.
// While some hosts know only the former roster, majorities of the two rosters
// need not overlap, so each can support a steward of its own.
TEST(AuthorityRosterTest, ChangeWithoutJointMajorityIsDetected) {
  std::string violation;
  EXPECT_NE(
      FirstViolatingSeed(5, protocol_fault::kSkipJointMajority, &violation),
      -1);
}

// Once all faults have ended, one host must become steward again. If the hosts
// blocked each other permanently, every key of the range would stay
// unavailable.
TEST(AuthorityRosterTest, RangeGetsAStewardAfterFaultsEnd) {
  int takeovers = 0;
  for (int seed = 0; seed < kScheduleCount; ++seed) {
    authority_schedule schedule(seed, 3, protocol_fault::kNone);
    schedule.Run(kRunTimeUs);
    schedule.EndFaults();
    schedule.Run(kRunTimeUs + 6'000'000);
    ASSERT_EQ(schedule.violation(), "") << seed;
    ASSERT_GE(schedule.ActingHost(), 0) << seed;
    takeovers += schedule.takeovers();
  }
  EXPECT_GT(takeovers, kScheduleCount);
}

class PromiseLedgerTest : public ::testing::Test {
 protected:
  promise_request MakeRequest(uint64_t epoch, uint64_t revision = 1) const {
    promise_request request;
    request.range = "history@trnje";
    request.epoch = epoch;
    request.revision = revision;
    request.to_life = 7;
    return request;
  }

  promise_ledger ledger_{7, authority_timing{}};
  member first_holder_{"a", 1};
  member second_holder_{"b", 1};
  time_point start_{milliseconds{1000}};
};

TEST_F(PromiseLedgerTest, UnexpiredPromiseRefusesAnotherHolder) {
  EXPECT_EQ(
      ledger_.AnswerRequest(first_holder_, MakeRequest(1), start_).verdict,
      promise_verdict::kGranted);
  EXPECT_EQ(ledger_
                .AnswerRequest(second_holder_, MakeRequest(2),
                               start_ + milliseconds{399})
                .verdict,
            promise_verdict::kHeldByOther);
  EXPECT_EQ(ledger_
                .AnswerRequest(second_holder_, MakeRequest(2),
                               start_ + milliseconds{400})
                .verdict,
            promise_verdict::kGranted);
  EXPECT_EQ(ledger_
                .AnswerRequest(first_holder_, MakeRequest(1),
                               start_ + milliseconds{900})
                .verdict,
            promise_verdict::kEpochTooLow);
}

TEST_F(PromiseLedgerTest, RequestToAFormerLifeIsRefused) {
  promise_request request = MakeRequest(1);
  request.to_life = 6;
  EXPECT_EQ(ledger_.AnswerRequest(first_holder_, request, start_).verdict,
            promise_verdict::kOtherLife);
}

TEST_F(PromiseLedgerTest, RequestWithAnOutdatedRosterIsRefused) {
  ledger_.NoteRevision("history@trnje", 5);
  EXPECT_EQ(
      ledger_.AnswerRequest(first_holder_, MakeRequest(1, 4), start_).verdict,
      promise_verdict::kRecordTooOld);
}

TEST_F(PromiseLedgerTest, ReleasedPromisePassesToTheSuccessorOnly) {
  ledger_.AnswerRequest(first_holder_, MakeRequest(1), start_);
  promise_request request = MakeRequest(2);
  request.released_by = first_holder_;
  request.released_epoch = 1;
  EXPECT_EQ(ledger_.AnswerRequest(second_holder_, request, start_).verdict,
            promise_verdict::kGranted);
  EXPECT_EQ(
      ledger_.AnswerRequest(member{"c", 1}, MakeRequest(3), start_).verdict,
      promise_verdict::kHeldByOther);
}

}  // namespace
}  // namespace foxtailspread
