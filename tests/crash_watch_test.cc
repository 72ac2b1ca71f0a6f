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
  watch_.OnServed(kContentHash, now_);
  CrashTarget("b");
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

// Guards against each host counting only the crashes that it observes, which
// would let one request crash two targets per host.
TEST_F(CrashWatchTest, CrashesReportedByAnotherHostCount) {
  crash_watch other_host;
  CrashTarget("a");
  CrashTarget("b");
  other_host.Import(watch_.TakeNews(crash_audience::kLeaseHolder, now_), false,
                    now_);
  EXPECT_TRUE(other_host.IsQuarantined(kContentHash, now_));
  EXPECT_TRUE(watch_.TakeNews(crash_audience::kLeaseHolder, now_).empty())
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
  const crash_evidence told =
      other_host.TakeNews(crash_audience::kLeaseHolder, now_);
  watch_.Import(told, false, now_);
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_));
}

TEST_F(CrashWatchTest, CrashToldTwiceCountsOnce) {
  CrashTarget("a");
  const crash_evidence told =
      watch_.TakeNews(crash_audience::kLeaseHolder, now_);
  crash_watch other_host;
  other_host.Import(told, false, now_);
  other_host.Import(told, false, now_);
  watch_.Import(told, false, now_);
  EXPECT_FALSE(other_host.IsQuarantined(kContentHash, now_));
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

TEST_F(CrashWatchTest, MarkExpiresAfterAFewMinutes) {
  CrashTarget("a");
  CrashTarget("b");
  now_ += minutes{3};
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

/// Responses to one content that break off while no list arrives.
class CrashSuspicionTest : public CrashWatchTest {
 protected:
  static target_life LifeOf(const std::string& target) {
    return {.id = target, .started = 1};
  }

  void BreakAt(const std::string& target, milliseconds pause,
               uint64_t content_hash = kContentHash) {
    now_ += pause;
    BreakResponse(target, content_hash);
  }

  void Tell(crash_watch& from, crash_watch& to) {
    to.Import(from.TakeNews(crash_audience::kLeaseHolder, now_), true, now_);
  }
};

// Guards against a content that crashes one target after the other while the
// store, whose list alone used to prove a crash, is away.
TEST_F(CrashSuspicionTest, ThreeTargetsThatStaySilentMakeTheContentRefused) {
  for (const char* target : {"a", "b", "c"}) {
    EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_ + seconds{1}));
    BreakAt(target, milliseconds{100});
  }
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_ + seconds{1}));
}

// Guards against refusing a harmless content for broken links: its targets go
// on answering.
TEST_F(CrashSuspicionTest, TargetsThatAnswerAnotherRequestDoNotCount) {
  for (const char* target : {"a", "b", "c", "d"}) {
    BreakAt(target, milliseconds{100});
    watch_.OnLifeSign(LifeOf(target), now_ - milliseconds{50},
                      now_ + milliseconds{300});
  }
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_ + seconds{1}));
}

TEST_F(CrashSuspicionTest, AnswerSentBeforeTheCrashIsNoSignOfLife) {
  for (const char* target : {"a", "b", "c"}) {
    BreakAt(target, milliseconds{100});
    watch_.OnLifeSign(LifeOf(target), now_ - milliseconds{50},
                      now_ + milliseconds{5});
  }
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_ + seconds{1}));
}

// Guards against taking a new process for the former one, whose id it has.
TEST_F(CrashSuspicionTest, AnswerAfterARestartIsNoSignOfLife) {
  for (const char* target : {"a", "b", "c"}) {
    BreakAt(target, milliseconds{100});
    watch_.OnLifeSign(LifeOf(target), now_ + seconds{3}, now_ + seconds{4});
  }
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_ + seconds{1}));
}

TEST_F(CrashSuspicionTest, SignsOfLifeToldByAnotherHostCount) {
  crash_watch other_host;
  for (const char* target : {"a", "b", "c"}) {
    BreakAt(target, milliseconds{100});
    other_host.OnLifeSign(LifeOf(target), now_ - milliseconds{50},
                          now_ + milliseconds{300});
  }
  now_ += seconds{1};
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_));
  Tell(watch_, other_host);
  Tell(other_host, watch_);
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
  EXPECT_FALSE(other_host.IsQuarantined(kContentHash, now_));
}

// Guards against marks that come back with the next heartbeat after a target
// has served the content.
TEST_F(CrashSuspicionTest, ContentServedElsewhereIsServedHere) {
  crash_watch other_host;
  for (const char* target : {"a", "b", "c"}) {
    BreakAt(target, milliseconds{100});
  }
  now_ += seconds{1};
  Tell(watch_, other_host);
  ASSERT_TRUE(other_host.IsQuarantined(kContentHash, now_));
  other_host.OnServed(kContentHash, now_);
  Tell(other_host, watch_);
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
  watch_.Import(other_host.Latest(20, now_), false, now_);
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_));
}

// Guards against refusing the requests that were at work when another one
// crashed their targets.
TEST_F(CrashSuspicionTest, ContentBesideTheOneThatCrashesIsNotRefused) {
  constexpr uint64_t kBystander = kContentHash + 1;
  for (const char* target : {"a", "b", "c"}) {
    BreakAt(target, milliseconds{100});
    BreakResponse(target, kBystander);
  }
  BreakAt("d", milliseconds{100});
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_ + seconds{1}));
  EXPECT_FALSE(watch_.IsQuarantined(kBystander, now_ + seconds{1}));
}

// Guards against taking the loss of this host's links for crashes.
TEST_F(CrashSuspicionTest, TargetsThatBreakOffAtOnceDoNotCount) {
  for (const char* target : {"a", "b", "c", "d", "e"}) {
    BreakAt(target, milliseconds{2});
  }
  EXPECT_FALSE(watch_.IsQuarantined(kContentHash, now_ + seconds{1}));
  EXPECT_TRUE(
      watch_.TakeNews(crash_audience::kLeaseHolder, now_ + seconds{1}).empty());
}

// Guards against telling all hosts of each answer that gets lost, which costs
// them their processors where many do.
TEST_F(CrashSuspicionTest, ContentThatBrokeOnceIsToldToTheLeaseHolderOnly) {
  crash_watch holder;
  BreakAt("a", milliseconds{100});
  now_ += milliseconds{100};
  Tell(watch_, holder);
  EXPECT_TRUE(holder.TakeNews(crash_audience::kAllHosts, now_).empty());
  EXPECT_TRUE(holder.Latest(20, now_).empty());
  BreakAt("b", milliseconds{100});
  now_ += milliseconds{100};
  Tell(watch_, holder);
  EXPECT_EQ(holder.TakeNews(crash_audience::kAllHosts, now_).marks.size(), 2U);
  EXPECT_EQ(holder.Latest(20, now_).marks.size(), 2U);
}

TEST_F(CrashSuspicionTest, HostReportsOnlyWhatItHasSeenItself) {
  crash_watch other_host;
  BreakAt("a", milliseconds{100});
  now_ += milliseconds{100};
  Tell(watch_, other_host);
  EXPECT_TRUE(other_host.Recent(crash_audience::kLeaseHolder, now_).empty());
  EXPECT_EQ(watch_.Recent(crash_audience::kLeaseHolder, now_).marks.size(), 1U);
}

/// Targets whose entries lapse later than those of other deployments.
class SlowHeartbeatsCrashTest : public ::testing::Test {
 protected:
  crash_watch watch_{milliseconds{1500}};
  time_point now_{seconds{100}};
};

// Guards against a window for the confirmation that is shorter than an entry
// takes to lapse.
TEST_F(SlowHeartbeatsCrashTest, EntryThatLapsesAfterFiveSecondsConfirmsACrash) {
  for (const char* target : {"a", "b"}) {
    watch_.OnBrokenResponse(kContentHash, {.id = target, .started = 1}, now_);
    now_ += milliseconds{5300};
    watch_.OnTargetList([](const target_life&) { return false; }, now_);
  }
  EXPECT_TRUE(watch_.IsQuarantined(kContentHash, now_));
}

}  // namespace
}  // namespace foxtailspread
