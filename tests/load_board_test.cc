// Tests of the sum of all hosts' requests at each target, and of what happens
// to it when hosts or datagrams fail.

#include "foxtailspread/load/load_board.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "foxtailspread/load/target_load.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kTarget = 7;
constexpr size_t kHosts = 85;

class LoadBoardTest : public ::testing::Test {
 protected:
  void SetUp() override { board_.SetHostCount(kHosts); }

  /// A host tells of its requests at the target.
  loads_record Record(const std::string& host, uint32_t in_flight,
                      uint32_t served = 0) {
    return {.host = host,
            .sequence = ++sequence_,
            .activity = {
                {.target = kTarget, .in_flight = in_flight, .served = served}}};
  }

  /// Hosts a, b and c repeat their records until the board knows all hosts.
  void WarmUp() {
    const time_point end = now_ + HostLoadTtl(kHosts) + milliseconds{100};
    for (; now_ < end; now_ += milliseconds{100}) {
      for (const char* host : {"a", "b", "c"}) {
        board_.OnRecord(Record(host, 1), now_);
      }
      Keep(board_.TakeChanged(now_));
    }
  }

  void Keep(const loads_record& told) {
    for (const load_sum& sum : told.sums) {
      told_ = sum;
    }
  }

  /// What the hosts were last told of the target at the time `later`.
  std::optional<uint32_t> OccupiedAfter(duration later) {
    now_ += later;
    Keep(board_.TakeChanged(now_));
    return told_ ? std::optional{told_->occupied} : std::nullopt;
  }

  load_board board_;
  uint64_t sequence_ = 0;
  time_point now_{seconds{100}};
  std::optional<load_sum> told_;
};

TEST_F(LoadBoardTest, RequestsOfAllHostsAreSummed) {
  WarmUp();
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 3U);
  board_.OnRecord(Record("b", 4), now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 6U);
}

// Guards against targets that a new holder takes for idle because most hosts
// have not reported to it yet.
TEST_F(LoadBoardTest, BoardThatBeginsTellsNoSum) {
  board_.OnRecord(Record("a", 1), now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{100}), std::nullopt);
  WarmUp();
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 3U);
  board_.Clear();
  board_.OnRecord(Record("a", 1), now_);
  EXPECT_TRUE(board_.TakeChanged(now_ + milliseconds{100}).sums.empty());
}

// Guards against requests of a frozen or lost host that fill a target for ever.
TEST_F(LoadBoardTest, FrozenHostLeavesTheSumAfterItsTtl) {
  WarmUp();
  const time_point frozen_since = now_;
  while (now_ < frozen_since + HostLoadTtl(kHosts)) {
    now_ += milliseconds{50};
    board_.OnRecord(Record("b", 1), now_);
    board_.OnRecord(Record("c", 1), now_);
  }
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 2U);
  EXPECT_EQ(board_.reporting_hosts(), 2U);
  board_.OnRecord(Record("a", 2), now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 4U) << "it thaws";
}

// Guards against a host that is late by a datagram and counts as gone.
TEST_F(LoadBoardTest, LostDatagramIsMadeUpForByTheNext) {
  WarmUp();
  (void)Record("a", 3);
  EXPECT_EQ(OccupiedAfter(milliseconds{130}), 3U);
  board_.OnRecord(Record("a", 3), now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 5U);
}

// Guards against datagrams that arrive twice or overtake each other.
TEST_F(LoadBoardTest, DoubledAndLateRecordsCountOnce) {
  WarmUp();
  const loads_record former = Record("a", 9, 50);
  const loads_record latest = Record("a", 2, 10);
  board_.OnRecord(latest, now_);
  const double rate =
      OccupiedAfter(milliseconds{0}) ? told_->served_per_second : 0.0;
  board_.OnRecord(latest, now_);
  board_.OnRecord(former, now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 4U);
  EXPECT_EQ(told_->served_per_second, rate);
}

TEST_F(LoadBoardTest, RequestsThatAHostLeavesOutHaveEnded) {
  WarmUp();
  board_.OnRecord({.host = "a", .sequence = ++sequence_}, now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 2U);
}

TEST_F(LoadBoardTest, HostThatJoinsCounts) {
  WarmUp();
  board_.OnRecord(Record("d", 5), now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 8U);
  EXPECT_EQ(board_.reporting_hosts(), 4U);
}

// Guards against sums that pile up when a former holder still tells its own.
TEST_F(LoadBoardTest, SumsOfAnotherHolderDoNotCount) {
  WarmUp();
  board_.OnRecord({.sums = {{.target = kTarget, .occupied = 40}}}, now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 3U);
}

// Guards against idle targets that become unknown, and against a lost datagram
// of the holder.
TEST_F(LoadBoardTest, UnchangedLoadIsToldAgainWithinItsTtl) {
  WarmUp();
  Keep(board_.TakeChanged(now_));
  told_.reset();
  for (duration waited{0}; waited < load_view::kTtl / 2;
       waited += milliseconds{100}) {
    now_ += milliseconds{100};
    for (const char* host : {"a", "b", "c"}) {
      board_.OnRecord(Record(host, 1), now_);
    }
    Keep(board_.TakeChanged(now_));
  }
  ASSERT_TRUE(told_);
  EXPECT_EQ(told_->occupied, 3U);
}

TEST_F(LoadBoardTest, RatesAreSummedOverHosts) {
  const time_point end = now_ + seconds{4};
  for (; now_ < end; now_ += milliseconds{100}) {
    for (const char* host : {"a", "b"}) {
      loads_record record = Record(host, 1, 1);
      record.activity[0].rejected = 2;
      record.activity[0].latency_us = host[0] == 'a' ? 100'000 : 200'000;
      record.activity[0].unqueued = 1;
      board_.OnRecord(record, now_);
    }
    Keep(board_.TakeChanged(now_));
  }
  ASSERT_TRUE(told_);
  EXPECT_NEAR(told_->served_per_second, 20.0, 3.0);
  EXPECT_NEAR(told_->rejected_per_second, 40.0, 6.0);
  EXPECT_NEAR(told_->latency_us, 150'000, 10'000);
}

TEST_F(LoadBoardTest, LoadThatTheTargetReportsReplacesTheSum) {
  WarmUp();
  loads_record record = Record("a", 1);
  record.loads = {
      {.target = kTarget, .load = {.running = 4, .waiting = 9}, .age_ms = 30}};
  board_.OnRecord(record, now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 13U);
  EXPECT_TRUE(told_->is_reported);
  EXPECT_EQ(told_->age_ms, 30U);
}

// Guards against the queue of a target that has frozen since it reported.
TEST_F(LoadBoardTest, OutdatedReportGivesWayToTheSum) {
  WarmUp();
  loads_record record = Record("a", 1);
  record.loads = {{.target = kTarget, .load = {.running = 4}}};
  board_.OnRecord(record, now_);
  now_ += load_view::kTtl;
  board_.OnRecord(Record("a", 3), now_);
  EXPECT_EQ(OccupiedAfter(milliseconds{0}), 3U);
  EXPECT_FALSE(told_->is_reported);
}

TEST_F(LoadBoardTest, TargetThatNobodyNamesIsForgotten) {
  WarmUp();
  (void)board_.TakeChanged(now_ + seconds{11});
  EXPECT_TRUE(board_.empty());
}

}  // namespace
}  // namespace foxtailspread
