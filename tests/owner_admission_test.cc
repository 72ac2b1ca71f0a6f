#include "foxtailspread/load/owner_admission.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An owner of four slots that serves 25 requests per second, which are of use
/// until half a second after their arrival.
class OwnerAdmissionTest : public ::testing::Test {
 protected:
  owner_state owner_{.slots = 4,
                     .occupied = 4.0,
                     .served_per_second = 25.0,
                     .work = milliseconds{160},
                     .is_overloaded = true};
  admission_request request_{.objective = milliseconds{500},
                             .time_left = milliseconds{1500}};

  /// Returns how many requests the owner holds when one more is not sent.
  int Depth() {
    int depth = 0;
    for (; depth < 100; ++depth) {
      owner_.occupied = depth;
      if (Admit(owner_, request_) != admission::kSend) {
        break;
      }
    }
    return depth;
  }
};

// More demand than the owner serves. Guards against a queue in which every
// request waits until it is late.
TEST_F(OwnerAdmissionTest, FillsTheOwnerNoDeeperThanAnswersInTime) {
  const int depth = Depth();
  EXPECT_GT(depth, owner_.slots);
  const duration queueing = owner_.work * (depth - owner_.slots) / owner_.slots;
  EXPECT_LE(queueing + owner_.work, request_.objective);
}

// More demand than the owner serves. Guards against callers who are held until
// a retry comes too late.
TEST_F(OwnerAdmissionTest, RefusesAtOnceWhatCannotBeInTime) {
  owner_.occupied = 14.0;
  EXPECT_EQ(Admit(owner_, request_), admission::kRefuse);
  EXPECT_GT(TimeUntilRoom(owner_, request_), milliseconds{0});
}

// Requests that have waited, or whose callers wait for less time. Guards
// against a depth that ignores the time that is left.
TEST_F(OwnerAdmissionTest, LessTimeLeftMeansLessDepth) {
  const int depth = Depth();
  request_.age = milliseconds{120};
  const int depth_after_wait = Depth();
  EXPECT_LT(depth_after_wait, depth);
  request_.age = milliseconds{0};
  request_.time_left = milliseconds{300};
  EXPECT_LT(Depth(), depth);
}

// Several kinds share the owner. Guards against urgent requests behind the
// others' queue, and against ranks that get nothing.
TEST_F(OwnerAdmissionTest, LessUrgentRanksUseLessRoomButEveryFreeSlot) {
  const int depth = Depth();
  request_.more_urgent_ranks = 1;
  const int less_urgent_depth = Depth();
  EXPECT_LT(less_urgent_depth, depth);
  request_.more_urgent_ranks = 9;
  EXPECT_GE(Depth(), owner_.slots);
  request_.more_urgent_ranks = 0;
  request_.is_throttled_key = true;
  EXPECT_EQ(Depth(), less_urgent_depth);
}

// A slot becomes free within a few milliseconds. Guards against refusals where
// a short wait at the host is enough.
TEST_F(OwnerAdmissionTest, WaitsShortlyForRoomThatALessUrgentRankMayUse) {
  request_.more_urgent_ranks = 1;
  owner_.occupied = Depth();
  EXPECT_EQ(Admit(owner_, request_), admission::kWait);
  request_.waiting_before = 8;
  EXPECT_EQ(Admit(owner_, request_), admission::kRefuse);
}

// An owner that turns slow. Guards against its full speed being assumed while
// its queue grows.
TEST_F(OwnerAdmissionTest, SlowOwnersAreFilledLess) {
  const int depth = Depth();
  owner_.served_per_second = 12.0;
  EXPECT_LT(Depth(), depth);
}

// A burst that does not last. Guards against refusals of what would only be a
// little late.
TEST_F(OwnerAdmissionTest, WithoutOverloadTheOwnerIsFilledDeeper) {
  const int depth = Depth();
  owner_.is_overloaded = false;
  EXPECT_GT(Depth(), depth);
}

// The owner is full although its load seems not to be. Guards against sends
// that it resets again.
TEST_F(OwnerAdmissionTest, RejectionNewerThanTheLoadStopsSends) {
  owner_.occupied = 1.0;
  owner_.has_rejected_since = true;
  EXPECT_EQ(Admit(owner_, request_), admission::kWait);
  owner_.has_rejected_since = false;
  EXPECT_EQ(Admit(owner_, request_), admission::kSend);
}

TEST_F(OwnerAdmissionTest, RejectionsReduceTheDepth) {
  const int depth = Depth();
  owner_.rejected_per_second = 25.0;
  EXPECT_LT(Depth(), depth);
}

// Guards against an owner that nobody has measured being taken for idle or for
// full.
TEST(OwnerStateFromTest, LoadWithoutSpeedTellsNothing) {
  EXPECT_FALSE(OwnerStateFrom({.occupied = 2.0}, 4, 2.0));
  EXPECT_FALSE(
      OwnerStateFrom({.occupied = 2.0, .served_per_second = 9.0}, 4, 2.0));
}

TEST(OwnerStateFromTest, ThroughputOfAFullOwnerTellsItsSpeed) {
  const auto owner =
      OwnerStateFrom({.occupied = 8.0, .served_per_second = 20.0}, 4, 9.0);
  ASSERT_TRUE(owner);
  EXPECT_EQ(owner->work, milliseconds{200});
  EXPECT_EQ(owner->occupied, 9.0);
}

}  // namespace
}  // namespace foxtailspread
