// Tests of whether hosts share the loads of a service's targets.

#include "foxtailspread/load/load_sharing.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LoadSharingTest : public ::testing::Test {
 protected:
  void SetUp() override {
    sharing_.SetSlots(4);
    sharing_.SetObjective(milliseconds{600});
  }

  void Serve(int answers, duration latency) {
    for (int i = 0; i < answers; ++i) {
      sharing_.OnServed(latency);
    }
  }

  load_sharing sharing_;
  time_point now_{seconds{100}};
};

TEST_F(LoadSharingTest, ManyHostsShareAndFewDoNot) {
  Serve(100, milliseconds{160});
  EXPECT_FALSE(sharing_.Update(9, false, now_));
  EXPECT_FALSE(sharing_.Update(12, false, now_));
  EXPECT_TRUE(sharing_.Update(85, false, now_));
  EXPECT_TRUE(sharing_.Update(300, false, now_));
}

TEST_F(LoadSharingTest, FewHostsShareWhatTargetsReport) {
  EXPECT_TRUE(sharing_.Update(9, true, now_));
}

// Guards against small deployments that begin to share because a burst fills
// their targets' queues.
TEST_F(LoadSharingTest, QueueOfABurstIsNoNeed) {
  Serve(100, milliseconds{90});
  Serve(300, milliseconds{900});
  EXPECT_FALSE(sharing_.Update(9, false, now_));
}

// Guards against sums that lack the hosts whose estimate is just below.
TEST_F(LoadSharingTest, SharingGoesOnForAWhile) {
  EXPECT_TRUE(sharing_.Update(85, false, now_));
  EXPECT_TRUE(sharing_.Update(9, false, now_ + seconds{5}));
  EXPECT_FALSE(sharing_.Update(9, false, now_ + seconds{11}));
}

}  // namespace
}  // namespace foxtailspread
