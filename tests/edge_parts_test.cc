// The small decisions and formats of the entry host for the platform.

#include <gtest/gtest.h>

#include <algorithm>

#include "foxtailspread/graceful_stop.h"
#include "foxtailspread/host_messages.h"
#include "foxtailspread/kind_follower.h"
#include "foxtailspread/retry_budget.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryBudgetTest : public ::testing::Test {
 protected:
  int Repeats(int wanted) {
    int allowed = 0;
    for (int i = 0; i < wanted; ++i) {
      allowed += budget_.TryRepeat(now_) ? 1 : 0;
    }
    return allowed;
  }

  retry_budget budget_{{.ratio = 0.2, .slack = 50.0, .window = seconds{10}}};
  time_point now_{seconds{100}};
};

TEST_F(RetryBudgetTest, SlackIsDividedAmongTheHosts) {
  budget_.SetHosts(10);
  EXPECT_EQ(Repeats(100), 4);
}

TEST_F(RetryBudgetTest, RequestsRaiseTheBudget) {
  budget_.SetHosts(10);
  for (int i = 0; i < 100; ++i) {
    budget_.OnRequest(now_);
  }
  EXPECT_EQ(Repeats(100), 20);
}

// The rule holds in any window. A budget that forgets early lets two bursts of
// repeats fall into one window.
TEST_F(RetryBudgetTest, RepeatsCountForAWholeWindow) {
  EXPECT_EQ(Repeats(100), 40);
  now_ += milliseconds{9900};
  EXPECT_EQ(Repeats(100), 0);
  now_ += milliseconds{1200};
  EXPECT_EQ(Repeats(100), 40);
}

class GracefulStopTest : public ::testing::Test {
 protected:
  stop_phase After(duration passed, bool work_left) {
    return stop_.Phase(began_ + passed, work_left);
  }

  void SetUp() override { stop_.Begin(began_); }

  time_point began_{seconds{100}};
  graceful_stop stop_{seconds{6}};
};

TEST_F(GracefulStopTest, HostServesUntilTheBalancerHasLookedAway) {
  EXPECT_EQ(After(milliseconds{100}, false), stop_phase::kUnready);
  EXPECT_EQ(After(milliseconds{2000}, false), stop_phase::kUnready);
  EXPECT_EQ(After(milliseconds{2500}, true), stop_phase::kClosing);
}

// Most hosts of a zone stop at once, and the balancer goes on sending
// connections to all of them. A request taken late is cut off at the end, and
// its caller cannot tell whether it ran.
TEST_F(GracefulStopTest, LateRequestsAreRefused) {
  EXPECT_EQ(After(milliseconds{3000}, true), stop_phase::kRefusing);
  EXPECT_EQ(After(milliseconds{5000}, true), stop_phase::kRefusing);
}

TEST_F(GracefulStopTest, HostEndsBeforeItIsEnded) {
  EXPECT_EQ(After(milliseconds{3300}, false), stop_phase::kDone);
  EXPECT_EQ(After(milliseconds{5650}, true), stop_phase::kDone);
}

TEST_F(GracefulStopTest, ShortGraceStillRefusesBeforeItEnds) {
  graceful_stop stop(seconds{2});
  stop.Begin(began_);
  EXPECT_EQ(stop.Phase(began_ + milliseconds{1200}, true),
            stop_phase::kRefusing);
  EXPECT_EQ(stop.Phase(began_ + milliseconds{1700}, true), stop_phase::kDone);
}

class HostMessagesTest : public ::testing::Test {};

TEST_F(HostMessagesTest, MessagesReadBackAsTheyWereWritten) {
  const load_report report{.host = "a",
                           .zone = "z",
                           .address = "10.0.0.1:7000",
                           .link_mbps = 12.5,
                           .lease_revision = 77,
                           .services = {{"keyed", {{3, 1}, {4095, 200}}}},
                           .targets = {{"t", 90000, 12}},
                           .crashes = {{81, 2, seconds{3}}}};
  const assigner_heartbeat heartbeat{
      .host = "a",
      .lease_revision = 78,
      .successors = {"b", "c"},
      .view = store_view{.config_revision = 5, .targets = 1, .owners = 2},
      .crashes = {{81, 2, seconds{3}}},
      .hosts = 12,
      .evacuated = evacuation_view{.zones = {"east", "west"}, .age_ms = 40}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(report)).value(),
            host_message{report});
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(heartbeat)).value(),
            host_message{heartbeat});
  const owners_record owners{.service = "keyed",
                             .base = 11,
                             .revision = 12,
                             .content = R"({"last_fence":3})"};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(owners)).value(),
            host_message{owners});
}

TEST_F(HostMessagesTest, LoadsReadBack) {
  const loads_record record{{{.target = 4'000'000'000,
                              .load = {.running = 6, .waiting = 2},
                              .age_ms = 70,
                              .latency_us = 310'000,
                              .served = 4},
                             {.target = 1, .load = {.slowness = 3.0}}}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(record)).value(),
            host_message{record});
}

TEST_F(HostMessagesTest, ObjectsAndRelayedMessagesReadBack) {
  const shared_object object{.kind = shared_kind::kDeclarations,
                             .name = "main",
                             .revision = 7,
                             .content = R"({"a":[1,2]})"};
  const auto read = ParseHostMessage(FormatHostMessage(object));
  ASSERT_TRUE(read);
  EXPECT_EQ(std::get<shared_object>(read.value()), object);
  const relayed_message relayed{.forward_to = {"1:1", "1:2"},
                                .payload = FormatHostMessage(object)};
  const auto passed = ParseHostMessage(FormatHostMessage(relayed));
  ASSERT_TRUE(passed);
  EXPECT_EQ(std::get<relayed_message>(passed.value()), relayed);
}

// Anybody can send a datagram. What cannot be read is refused, never half
// taken.
TEST_F(HostMessagesTest, OtherBytesAreRefused) {
  const std::string good =
      FormatHostMessage(assigner_heartbeat{.host = "a", .successors = {"b"}});
  EXPECT_FALSE(ParseHostMessage(""));
  EXPECT_FALSE(ParseHostMessage("hello"));
  EXPECT_FALSE(ParseHostMessage(good + "x"));
  for (size_t i = 1; i < good.size(); ++i) {
    EXPECT_FALSE(ParseHostMessage(good.substr(0, i))) << i;
  }
}

class KindFollowerTest : public ::testing::Test {
 protected:
  using page = list_page<int>;
  using changes = change_page<int>;

  /// Lists objects a and b at revision 10.
  void List() {
    ASSERT_TRUE(follower_.NextCall(now_)->list);
    follower_.OnListed(
        {.objects = {{"a", 4, 1}, {"b", 5, 2}}, .more = false, .revision = 10},
        now_);
  }

  kind_follower<int> follower_{{.wait = seconds{1}}};
  time_point now_{seconds{100}};
};

TEST_F(KindFollowerTest, ListIsFollowedByAWatchFromItsRevision) {
  List();
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_FALSE(call->list);
  EXPECT_EQ(call->since, 10U);
  EXPECT_FALSE(follower_.NextCall(now_)) << "one call at a time";
}

TEST_F(KindFollowerTest, PagesAreJoinedAndWatchedFromTheFirst) {
  follower_.NextCall(now_);
  EXPECT_FALSE(follower_.OnListed(
      {.objects = {{"a", 4, 1}}, .more = true, .revision = 10}, now_));
  EXPECT_EQ(follower_.NextCall(now_)->after, "a");
  EXPECT_TRUE(follower_.OnListed(
      {.objects = {{"b", 12, 2}}, .more = false, .revision = 13}, now_));
  EXPECT_EQ(follower_.objects().size(), 2U);
  EXPECT_EQ(follower_.NextCall(now_)->since, 10U);
}

// Guards against a call of each host for what the holder of the lease tells.
TEST_F(KindFollowerTest, ToldContentNeedsNoListWhileItIsVouchedFor) {
  kind_follower<int> told{{.wait = seconds{1}, .told_by_others = true}};
  told.Spare(now_ + seconds{2});
  EXPECT_FALSE(told.NextCall(now_));
  now_ += seconds{2};
  const auto call = told.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_TRUE(call->list);
}

class StaleListTest : public ::testing::Test {
 protected:
  /// Lists a and b, as the store had them at revision 10.
  void ListStale() {
    const auto call = follower_.NextCall(now_);
    ASSERT_TRUE(call && call->list);
    EXPECT_TRUE(call->stale);
    EXPECT_FALSE(follower_.OnListed(
        {.objects = {{"a", 4, 1}, {"b", 5, 2}}, .more = false, .revision = 10},
        now_));
  }

  kind_follower<int> follower_{{.wait = seconds{1}, .stale_lists = true}};
  time_point now_{seconds{100}};
};

// A host that starts reads a stale list. Used as it is, it would send requests
// to a target that left since.
TEST_F(StaleListTest, ListIsUsedOnlyWithTheChangesSince) {
  ListStale();
  EXPECT_FALSE(follower_.complete());
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_FALSE(call->list);
  EXPECT_EQ(call->since, 10U);
  EXPECT_EQ(call->wait, duration{0}) << "the answer is needed at once";
  EXPECT_TRUE(follower_.OnWatched(
      {.changes = {{{"b", 12, {}}, true}}, .revision = 15}, now_));
  EXPECT_TRUE(follower_.complete());
  EXPECT_FALSE(follower_.objects().contains("b"));
  EXPECT_EQ(follower_.NextCall(now_)->since, 15U);
}

// Pages of a stale list may come from copies of different ages. Changes between
// the older one and the newer one would be missed.
TEST_F(StaleListTest, PagesAreWatchedFromTheOldest) {
  follower_.NextCall(now_);
  follower_.OnListed({.objects = {{"a", 4, 1}}, .more = true, .revision = 10},
                     now_);
  EXPECT_EQ(follower_.NextCall(now_)->after, "a");
  follower_.OnListed({.objects = {{"b", 5, 2}}, .more = false, .revision = 8},
                     now_);
  EXPECT_EQ(follower_.NextCall(now_)->since, 8U);
}

// The copy in use is newer than a stale list. It must not go back.
TEST_F(StaleListTest, CopyInUseStaysUntilTheListIsCurrent) {
  ListStale();
  follower_.NextCall(now_);
  follower_.OnWatched({.changes = {{{"b", 12, 3}, false}}, .revision = 15},
                      now_);
  follower_.Refresh(now_, now_);
  ListStale();
  EXPECT_EQ(follower_.objects().at("b").item, 3);
  follower_.NextCall(now_);
  EXPECT_TRUE(follower_.OnWatched(
      {.changes = {{{"b", 12, 3}, false}}, .revision = 16}, now_));
  EXPECT_EQ(follower_.objects().at("b").item, 3);
}

// The store forgets its history sooner than its stale copies grow old. Another
// stale list would meet the same again and again, and the host never be ready.
TEST_F(StaleListTest, LostHistoryLeadsToACurrentList) {
  ListStale();
  follower_.NextCall(now_);
  follower_.OnHistoryGone(now_);
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call && call->list);
  EXPECT_FALSE(call->stale);
  EXPECT_TRUE(follower_.OnListed(
      {.objects = {{"a", 4, 1}}, .more = false, .revision = 20}, now_));
  EXPECT_TRUE(follower_.complete());
}

TEST_F(KindFollowerTest, ChangesAreAppliedAndOlderOnesAreNot) {
  List();
  follower_.NextCall(now_);
  EXPECT_TRUE(follower_.OnWatched(
      {.changes = {{{"a", 11, 7}, false}, {{"b", 12, {}}, true}},
       .revision = 12},
      now_));
  EXPECT_EQ(follower_.objects().at("a").item, 7);
  EXPECT_FALSE(follower_.objects().contains("b"));
  follower_.NextCall(now_);
  EXPECT_FALSE(follower_.OnWatched(
      {.changes = {{{"a", 4, 1}, false}}, .revision = 12}, now_));
  EXPECT_EQ(follower_.objects().at("a").item, 7);
}

// The store has dropped the changes since this host's copy. What was removed
// meanwhile shows only in a new list.
TEST_F(KindFollowerTest, LostHistoryIsMadeUpForByAList) {
  List();
  follower_.NextCall(now_);
  follower_.OnHistoryGone(now_);
  EXPECT_EQ(follower_.objects().size(), 2U) << "used until the list is there";
  ASSERT_TRUE(follower_.NextCall(now_)->list);
  EXPECT_TRUE(follower_.OnListed(
      {.objects = {{"b", 20, 3}}, .more = false, .revision = 21}, now_));
  EXPECT_FALSE(follower_.objects().contains("a"));
}

// Another host vouched for the copy for half a minute. The store has dropped
// the changes since this host's own call; a watch would only be told so.
TEST_F(KindFollowerTest, CopyOlderThanTheHistoryIsListed) {
  List();
  follower_.Confirm(now_ + seconds{30}, now_ + seconds{31});
  const auto call = follower_.NextCall(now_ + seconds{31});
  ASSERT_TRUE(call);
  EXPECT_TRUE(call->list);
}

// The store turns a host away for many seconds, and each refused call is paid
// for. A leaving target must still be known within its time of grace after
// that.
TEST_F(KindFollowerTest, CallsGrowRareWhileTheStoreTurnsAHostAway) {
  List();
  const time_point until = now_ + seconds{8};
  int calls = 0;
  duration longest{0};
  while (now_ < until) {
    if (follower_.NextCall(now_)) {
      ++calls;
      follower_.OnFailed(now_);
    }
    longest = std::max(longest, follower_.NextDue() - now_);
    now_ = follower_.NextDue();
  }
  EXPECT_LE(calls, 8) << "one a second";
  EXPECT_LE(longest, milliseconds{1600}) << "0.8 of the least time of grace";
}

// The store is back for one kind. Waiting out the pause of each other kind
// would leave this host with old owners of keys meanwhile.
TEST_F(KindFollowerTest, FailedCallIsMadeAgainWhenAnotherIsAnswered) {
  List();
  for (int i = 0; i < 6; ++i) {
    now_ = follower_.NextDue();
    ASSERT_TRUE(follower_.NextCall(now_));
    follower_.OnFailed(now_);
  }
  EXPECT_FALSE(follower_.NextCall(now_));
  follower_.RetryNow(now_);
  EXPECT_TRUE(follower_.NextCall(now_));
}

// Another host reads the store for this one. While it vouches for the copy no
// call is made; when it falls silent, calls go on by themselves.
TEST_F(KindFollowerTest, VouchedCopyMakesNoCalls) {
  List();
  follower_.Confirm(now_, now_ + milliseconds{900});
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{800}));
  EXPECT_TRUE(follower_.NextCall(now_ + milliseconds{900}));
}

// This host begins to read the store for all others. A watch answers only when
// something changes, or after a second; until then this host could vouch for
// nothing, and all others would make their own calls.
TEST_F(KindFollowerTest, ReadNowAsksForAnAnswerAtOnce) {
  List();
  follower_.Confirm(now_, now_ + milliseconds{900});
  follower_.ReadNow(now_);
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_FALSE(call->list);
  EXPECT_EQ(call->wait, duration{0});
  follower_.OnWatched({.changes = {}, .revision = 11}, now_);
  now_ = follower_.NextDue();
  const auto next = follower_.NextCall(now_);
  ASSERT_TRUE(next);
  EXPECT_GT(next->wait, duration{0});
}

// The word comes while a watch is under way. Its end must not start another.
TEST_F(KindFollowerTest, VouchingDuringACallOutlastsIt) {
  List();
  ASSERT_TRUE(follower_.NextCall(now_));
  follower_.Confirm(now_, now_ + milliseconds{900});
  follower_.OnWatched({.changes = {}, .revision = 11}, now_);
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{500}));
}

// The host that reads the store for all is cut off from it, but its heartbeats
// still arrive, and vouch for a copy that grows older. A target that begins to
// leave right after that copy was read must be known to the others before its
// time of grace, two seconds, is over; else callers' requests still go to it.
TEST_F(KindFollowerTest, CopyOfAHostThatLostTheStoreIsNotTrustedForLong) {
  List();
  const time_point read = now_;
  for (auto age = milliseconds{0}; age < seconds{4}; age += milliseconds{50}) {
    const store_view view{.config_revision = 1,
                          .age_ms = static_cast<uint32_t>(age.count())};
    if (const auto until = VouchedUntil(view, seconds{2}, read + age)) {
      follower_.Confirm(read, *until);
    }
  }
  EXPECT_LE(follower_.NextDue(), read + milliseconds{1700});
  EXPECT_GE(follower_.NextDue(), read + milliseconds{1200})
      << "a single lost heartbeat should cost no call";
}

TEST_F(KindFollowerTest, CopyThatGoesOnDifferingIsNotReadWithoutAPause) {
  List();
  follower_.Refresh(now_, now_ + milliseconds{900});
  ASSERT_TRUE(follower_.NextCall(now_)->list);
  follower_.OnListed({.objects = {}, .more = false, .revision = 30}, now_);
  follower_.Refresh(now_ + milliseconds{650}, now_ + milliseconds{1600});
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{650}));
  follower_.Refresh(now_ + milliseconds{950}, now_ + milliseconds{1900});
  EXPECT_TRUE(follower_.NextCall(now_ + milliseconds{950}));
}

TEST_F(KindFollowerTest, CopyThatDiffersIsReadAgainOnce) {
  List();
  follower_.Refresh(now_, now_ + milliseconds{900});
  ASSERT_TRUE(follower_.NextCall(now_)->list);
  follower_.OnListed({.objects = {{"a", 30, 1}}, .more = false, .revision = 30},
                     now_);
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{500}));
}

TEST_F(KindFollowerTest, FailedCallsAreRepeatedWithAPause) {
  follower_.NextCall(now_);
  follower_.OnFailed(now_);
  EXPECT_FALSE(follower_.answers());
  EXPECT_FALSE(follower_.NextCall(now_));
  now_ = follower_.NextDue();
  EXPECT_TRUE(follower_.NextCall(now_));
}

TEST_F(KindFollowerTest, ObjectThatCannotBeReadCountsAsThereButSaysNothing) {
  follower_.NextCall(now_);
  follower_.OnListed(
      {.objects = {{"a", 4, std::nullopt}}, .more = false, .revision = 5},
      now_);
  ASSERT_TRUE(follower_.objects().contains("a"));
  EXPECT_FALSE(follower_.objects().at("a").item);
}

}  // namespace
}  // namespace foxtailspread
