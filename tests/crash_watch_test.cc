// Tests that requests which crash their targets are told apart from requests
// that merely got no complete response.

#include "foxtailspread/crash_watch.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint64_t kContentHash = 77;

class CrashWatchTest : public ::testing::Test {
 protected:
  /// Ends a request at the target without a complete response.
  void BreakResponse(const std::string& target,
                     uint64_t content_hash = kContentHash) {
    watch_.OnBrokenResponse(content_hash, {.id = target, .started = 1}, now_);
  }

  /// Delivers a list of the store that lacks the lives of these targets.
  void ListWithout(const std::set<std::string>& missing) {
    now_ += seconds{2};
    watch_.OnTargetList(
        [&](const target_life& life) { return !missing.contains(life.id); },
        now_);
  }

  void CrashTarget(const std::string& target) {
    BreakResponse(target);
    ListWithout({target});
  }

  crash_watch watch_;
  time_point now_{seconds{100}};
};

// Guards against a caller that repeats, through any host, a request that
// crashes each target that begins to run it: without a limit it takes a whole
// service down.
TEST_F(CrashWatchTest, ContentThatCrashedTwoTargetsIsRefused) {
  CrashTarget("a");
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
  CrashTarget("b");
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_));
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash + 1, now_));
}

// Guards against refusing the requests of callers for network faults: links are
// reset and responses corrupted while the targets run on.
TEST_F(CrashWatchTest, BrokenResponsesOfRunningTargetsDoNotCount) {
  for (const char* target : {"a", "b", "c"}) {
    BreakResponse(target);
    ListWithout({});
  }
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

TEST_F(CrashWatchTest, TargetThatEndsMuchLaterCountsNoCrash) {
  BreakResponse("a");
  now_ += seconds{10};
  ListWithout({"a"});
  CrashTarget("b");
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

// Guards against refusing a page that ten callers requested when its target
// crashed for another reason.
TEST_F(CrashWatchTest, LostTargetCountsOncePerContent) {
  for (int i = 0; i < 10; ++i) {
    BreakResponse("a");
  }
  ListWithout({"a"});
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

TEST_F(CrashWatchTest, ResponseClearsTheContent) {
  CrashTarget("a");
  watch_.OnResponse(kContentHash, now_);
  CrashTarget("b");
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

// Guards against each host counting only the crashes that it observes, which
// would let one request crash two targets per host.
TEST_F(CrashWatchTest, CrashesReportedByAnotherHostCount) {
  crash_watch other_host;
  CrashTarget("a");
  CrashTarget("b");
  other_host.Import(watch_.TakeNews(now_), now_);
  EXPECT_TRUE(other_host.IsQuarantined(kContentHash, now_));
  EXPECT_TRUE(watch_.TakeNews(now_).empty())
      << "new marks must be returned only once";
  EXPECT_EQ(other_host.Latest(20, now_).marks.size(), 2U);
}

// Guards against hosts that each know of one crash, of different targets, and
// still count one after they have told each other.
TEST_F(CrashWatchTest, CrashesSeenByDifferentHostsAddUp) {
  crash_watch other_host;
  CrashTarget("a");
  other_host.OnBrokenResponse(kContentHash, {.id = "b", .started = 1}, now_);
  now_ += seconds{2};
  other_host.OnTargetList([](const target_life&) { return false; }, now_);
  const crash_evidence told = other_host.TakeNews(now_);
  watch_.Import(told, now_);
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_));
}

TEST_F(CrashWatchTest, CrashToldTwiceCountsOnce) {
  CrashTarget("a");
  const crash_evidence told = watch_.TakeNews(now_);
  crash_watch other_host;
  other_host.Import(told, now_);
  other_host.Import(told, now_);
  watch_.Import(told, now_);
  EXPECT_FALSE(other_host.IsQuarantined(kContentHash, now_));
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

TEST_F(CrashWatchTest, MarkExpiresAfterAFewMinutes) {
  CrashTarget("a");
  CrashTarget("b");
  now_ += minutes{3};
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

}  // namespace
}  // namespace foxtailspread
