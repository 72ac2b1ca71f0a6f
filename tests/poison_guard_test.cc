#include "foxtailspread/poison_guard.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::seconds;

class PoisonGuardTest : public ::testing::Test {
 protected:
  static constexpr uint64_t kContent = 77;

  poison_guard guard_;
  time_point now_{seconds{100}};
};

// Guards against stewards that each know of one crash, of targets of different
// ranges, and still count one after they have told each other.
TEST_F(PoisonGuardTest, CrashesCountedByDifferentStewardsAddUp) {
  poison_guard other_steward;
  guard_.CountCrash(kContent, now_);
  other_steward.CountCrash(kContent, now_);
  guard_.Import(other_steward.TakeNewMarks(now_), now_);
  EXPECT_TRUE(guard_.IsQuarantined(kContent, now_));
}

}  // namespace
}  // namespace foxtailspread
