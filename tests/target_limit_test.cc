#include "foxtailspread/target_limit.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

class TargetLimitTest : public ::testing::Test {
 protected:
  static time_point At(int ms) { return time_point{milliseconds{1000 + ms}}; }

  target_limit limit_;
};

TEST_F(TargetLimitTest, FirstAnswerSetsTheLimit) {
  EXPECT_TRUE(limit_.Update(2.8, At(0), At(50)));
  EXPECT_EQ(limit_.per_second(), 2.8);
}

TEST_F(TargetLimitTest, LaterAnswerWithoutALimitEndsIt) {
  limit_.Update(2.8, At(0), At(50));
  EXPECT_TRUE(limit_.Update(std::nullopt, At(60), At(90)));
  EXPECT_FALSE(limit_.per_second());
}

// Guards against an answer written before the end of the limit that arrives
// after one written later and brings the limit back.
TEST_F(TargetLimitTest, OvertakenAnswerDoesNotRestoreAnEndedLimit) {
  limit_.Update(2.8, At(0), At(50));
  limit_.Update(std::nullopt, At(60), At(90));
  EXPECT_FALSE(limit_.Update(2.8, At(20), At(200)));
  EXPECT_FALSE(limit_.per_second());
}

// Guards against an answer written before the limit was stated that arrives
// late and ends the limit.
TEST_F(TargetLimitTest, OvertakenAnswerDoesNotEndALimit) {
  limit_.Update(2.8, At(60), At(90));
  limit_.Update(2.8, At(100), At(130));
  EXPECT_FALSE(limit_.Update(std::nullopt, At(110), At(140)));
  EXPECT_EQ(limit_.per_second(), 2.8);
  EXPECT_TRUE(limit_.Update(std::nullopt, At(130), At(170)));
}

TEST_F(TargetLimitTest, RepeatedLimitIsNoChange) {
  limit_.Update(2.8, At(0), At(50));
  EXPECT_FALSE(limit_.Update(2.8, At(60), At(90)));
}

}  // namespace
}  // namespace foxtailspread
