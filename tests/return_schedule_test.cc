#include "foxtailspread/load/return_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReturnScheduleTest : public ::testing::Test {
 protected:
  static refused_caller Caller(int rank) {
    return {.rank = rank,
            .objective = milliseconds{500},
            .time_left = milliseconds{1500},
            .likely_latency = milliseconds{160}};
  }
  duration After(const expected_room& room, const refused_caller& caller) {
    return schedule_.Next(room, caller, now_).after;
  }

  time_point now_{seconds{100}};
  return_schedule schedule_;
};

// Load pattern: a burst refused in one moment. Guards against callers that
// return together and are refused again.
TEST_F(ReturnScheduleTest, BurstReturnsNoFasterThanRoomAppears) {
  const expected_room room{.begins = now_ + milliseconds{100},
                           .per_second = 20.0};
  std::vector<duration> times;
  times.reserve(50);
  for (int i = 0; i < 8; ++i) {
    times.push_back(After(room, Caller(0)));
  }
  EXPECT_EQ(times.front(), milliseconds{100});
  for (size_t i = 1; i < times.size(); ++i) {
    EXPECT_EQ(times[i] - times[i - 1], milliseconds{50});
  }
}

// The same by the number of hosts that share the targets: each gives out its
// part of the room, so that all together give out no more than there is.
TEST_F(ReturnScheduleTest, PartsOfAllHostsAddUpToTheRoom) {
  constexpr double kAll = 400.0;
  for (const int hosts : {9, 85, 300}) {
    size_t with_room = 0;
    for (int host = 0; host < hosts; ++host) {
      return_schedule schedule;
      for (int i = 0; i < 40; ++i) {
        const auto next =
            schedule.Next({.begins = now_ + Part(seconds{1}, host / kAll),
                           .per_second = kAll / hosts},
                          Caller(0), now_);
        EXPECT_LE(next.after, milliseconds{500});
        with_room += next.has_room ? 1 : 0;
      }
    }
    // A caller waits for half a second at most.
    EXPECT_LE(with_room, kAll * 0.52) << hosts;
    EXPECT_GE(with_room, kAll * 0.4) << hosts;
  }
}

// Load pattern: kinds of unequal rank are refused together. Guards against
// urgent callers that return behind others.
TEST_F(ReturnScheduleTest, UrgentCallersReturnBeforeOthers) {
  const expected_room room{.begins = now_ + milliseconds{100},
                           .per_second = 10.0};
  EXPECT_EQ(After(room, Caller(0)), milliseconds{100});
  EXPECT_EQ(After(room, Caller(2)), milliseconds{200});
  EXPECT_EQ(After(room, Caller(0)), milliseconds{200});
  EXPECT_EQ(After(room, Caller(2)), milliseconds{400});
  EXPECT_EQ(After(room, Caller(0)), milliseconds{300});
}

// Guards against callers that have waited and return behind new ones.
TEST_F(ReturnScheduleTest, CallersThatHaveWaitedReturnBeforeNewOnes) {
  const expected_room room{.begins = now_ + milliseconds{100},
                           .per_second = 10.0};
  refused_caller old = Caller(0);
  old.age = milliseconds{300};
  EXPECT_EQ(After(room, Caller(0)), milliseconds{100});
  EXPECT_EQ(After(room, Caller(0)), milliseconds{200});
  EXPECT_EQ(After(room, old), milliseconds{100});
  EXPECT_EQ(After(room, Caller(0)), milliseconds{400});
}

// Guards against callers that are told more than they honour, or a time at
// which no answer can be in time any more.
TEST_F(ReturnScheduleTest, NobodyReturnsTooLateToBeServed) {
  const expected_room far{.begins = now_ + seconds{10}, .per_second = 1.0};
  refused_caller slow = Caller(0);
  slow.likely_latency = milliseconds{1300};
  refused_caller hopeless = Caller(0);
  hopeless.likely_latency = seconds{2};
  for (int i = 0; i < 50; ++i) {
    EXPECT_LE(After(far, Caller(0)), milliseconds{500});
    EXPECT_LE(After(far, slow), milliseconds{200});
    EXPECT_EQ(After(far, hopeless), duration{0});
  }
}

// Load pattern: room whose beginning is known and whose rate is not, such as
// the end of a backoff.
TEST_F(ReturnScheduleTest, ReturnsAreSpreadWhereTheRateIsNotKnown) {
  const expected_room room{.begins = now_ + milliseconds{100}};
  std::vector<duration> times;
  times.reserve(50);
  for (int i = 0; i < 50; ++i) {
    times.push_back(After(room, Caller(0)));
  }
  std::ranges::sort(times);
  EXPECT_GE(times.front(), milliseconds{100});
  EXPECT_LE(times.back(), milliseconds{350});
  for (size_t i = 1; i < times.size(); ++i) {
    EXPECT_LE(times[i] - times[i - 1], milliseconds{25});
  }
}

}  // namespace
}  // namespace foxtailspread
