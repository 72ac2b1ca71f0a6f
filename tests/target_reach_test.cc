#include "foxtailspread/target_reach.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetReachTest : public ::testing::Test {
 protected:
  TargetReachTest() { reach_.OnListed(36); }

  bool IsCutOffAfter(milliseconds time) {
    now_ += time;
    return reach_.IsCutOff(now_);
  }

  void FailAll() {
    for (const char* target : {"a", "b", "c", "d"}) {
      reach_.OnFailed(target, now_);
    }
  }

  target_reach reach_;
  time_point now_{seconds{100}};
};

TEST_F(TargetReachTest, TargetsThatAllFailMeanALostPath) {
  FailAll();
  EXPECT_FALSE(IsCutOffAfter(milliseconds{0}));
  EXPECT_TRUE(IsCutOffAfter(milliseconds{300}));
}

// Guards against taking targets that crash for a lost path.
TEST_F(TargetReachTest, AnswerOfAnotherTargetMeansThatTheyFailed) {
  FailAll();
  reach_.OnAnswer();
  EXPECT_FALSE(IsCutOffAfter(milliseconds{300}));
}

TEST_F(TargetReachTest, OneTargetThatFailsOftenIsNoLostPath) {
  for (int i = 0; i < 10; ++i) {
    reach_.OnFailed("a", now_);
  }
  EXPECT_FALSE(IsCutOffAfter(milliseconds{300}));
}

// Guards against waiting for the deadlines of requests on links that drop all
// packets.
TEST_F(TargetReachTest, TargetsThatAllStaySilentMeanALostPath) {
  for (const char* target : {"a", "b", "c"}) {
    reach_.OnSent(target, now_);
  }
  EXPECT_FALSE(IsCutOffAfter(milliseconds{900}));
  EXPECT_TRUE(IsCutOffAfter(milliseconds{200}));
}

TEST_F(TargetReachTest, FewSlowRequestsAreNoLostPath) {
  reach_.OnSent("a", now_);
  reach_.OnSent("b", now_);
  EXPECT_FALSE(IsCutOffAfter(milliseconds{5000}));
}

TEST_F(TargetReachTest, ProbeThatIsAnsweredEndsTheCut) {
  FailAll();
  ASSERT_TRUE(IsCutOffAfter(milliseconds{300}));
  EXPECT_FALSE(reach_.TakeProbe(now_));
  now_ = reach_.NextProbe();
  EXPECT_TRUE(reach_.TakeProbe(now_));
  EXPECT_FALSE(reach_.TakeProbe(now_));
  reach_.OnAnswer();
  EXPECT_FALSE(IsCutOffAfter(milliseconds{0}));
  EXPECT_EQ(reach_.NextProbe(), time_point::max());
}

}  // namespace
}  // namespace foxtailspread
