// Requests that crash the targets that run them, and those that only look so.

#include "foxtailspread/crash_watch.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint64_t kContent = 77;

class CrashWatchTest : public ::testing::Test {
 protected:
  void Break(const std::string& target, uint64_t content = kContent) {
    watch_.OnBroken(content, {.id = target, .started = 1}, now_);
  }

  /// The store's list no longer has these targets' lives.
  void Vanish(const std::set<std::string>& gone) {
    now_ += seconds{2};
    watch_.OnListed(
        [&](const target_life& life) { return !gone.contains(life.id); }, now_);
  }

  void Crash(const std::string& target) {
    Break(target);
    Vanish({target});
  }

  crash_watch watch_;
  time_point now_{seconds{100}};
};

// A caller sends a request that kills each target that begins it, again and
// again, through any host. Without a limit one such caller takes a whole
// service down.
TEST_F(CrashWatchTest, ContentThatCrashedTwoTargetsIsRefused) {
  Crash("a");
  EXPECT_FALSE(watch_.IsCrashing(kContent, now_));
  Crash("b");
  EXPECT_TRUE(watch_.IsCrashing(kContent, now_));
  EXPECT_FALSE(watch_.IsCrashing(kContent + 1, now_));
}

// Links are reset and answers spoiled while targets live. Refusing what was
// under way then would punish callers for the network.
TEST_F(CrashWatchTest, BrokenAnswersOfTargetsThatLiveDoNotCount) {
  for (const char* each : {"a", "b", "c"}) {
    Break(each);
    Vanish({});
  }
  EXPECT_FALSE(watch_.IsCrashing(kContent, now_));
}

TEST_F(CrashWatchTest, TargetThatEndsMuchLaterDidNotCrashOfIt) {
  Break("a");
  now_ += seconds{10};
  Vanish({"a"});
  Crash("b");
  EXPECT_FALSE(watch_.IsCrashing(kContent, now_));
}

// Ten callers ask for the same page when its target dies for another reason.
TEST_F(CrashWatchTest, OneLostTargetCountsOnceForAContent) {
  for (int i = 0; i < 10; ++i) {
    Break("a");
  }
  Vanish({"a"});
  EXPECT_FALSE(watch_.IsCrashing(kContent, now_));
}

TEST_F(CrashWatchTest, AnswerProvesTheContentHarmless) {
  Crash("a");
  watch_.OnAnswered(kContent);
  Crash("b");
  EXPECT_FALSE(watch_.IsCrashing(kContent, now_));
}

// The second crash is seen by another host. Each host counting for itself
// would let the request take two targets down at every host.
TEST_F(CrashWatchTest, CrashesSeenByAnotherHostCount) {
  crash_watch other;
  Crash("a");
  Crash("b");
  other.Import(watch_.TakeNews(now_), now_);
  EXPECT_TRUE(other.IsCrashing(kContent, now_));
  EXPECT_TRUE(watch_.TakeNews(now_).empty()) << "said once";
  EXPECT_EQ(other.Marks(20, now_).size(), 1U);
}

TEST_F(CrashWatchTest, ContentIsTriedAgainAfterSomeMinutes) {
  Crash("a");
  Crash("b");
  now_ += minutes{3};
  EXPECT_FALSE(watch_.IsCrashing(kContent, now_));
}

}  // namespace
}  // namespace foxtailspread
