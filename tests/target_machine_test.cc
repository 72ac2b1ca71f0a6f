#include "foxtailspread/target_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <map>
#include <string>
#include <vector>

namespace foxtailspread {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds{100}};

class TargetMachineTest : public testing::Test {
 protected:
  // Checks orders, runs two at once for 10 ms each and lets one wait.
  TargetMachineTest()
      : target_({.slots = 2,
                 .queue = 1,
                 .work_time = milliseconds{10},
                 .checks_grants = true},
                kStart) {}

  // A time after the start.
  static time_point At(int64_t ms) { return kStart + milliseconds{ms}; }

  // Grants bucket 1 of range "r" for 100 ms from the reading at `echo_ms`.
  grant_verdict Grant(uint64_t epoch, uint64_t seq, int64_t echo_ms,
                      int64_t now_ms) {
    const target_grant grant{.range = "r",
                             .epoch = epoch,
                             .seq = seq,
                             .echo = At(echo_ms).time_since_epoch(),
                             .lease = milliseconds{100},
                             .buckets = std::set<int>{1}};
    return Order(grant, now_ms);
  }

  grant_verdict Order(const target_grant& grant, int64_t now_ms) {
    return target_.Grant(grant, At(now_ms)).value().verdict;
  }

  target_ticket Submit(int64_t now_ms, target_request request) {
    request.range = "r";
    return target_.Submit(std::move(request), At(now_ms));
  }

  target_ticket Keyed(int64_t now_ms, uint64_t epoch, int bucket) {
    return Submit(now_ms, {.epoch = epoch, .bucket = bucket});
  }

  // What has ended by `now_ms`, as "ticket:verdict" in order.
  std::vector<std::string> Ends(int64_t now_ms) {
    target_.Advance(At(now_ms));
    std::vector<std::string> ends;
    for (const target_outcome& outcome : target_.TakeOutcomes()) {
      ends.push_back(std::to_string(outcome.ticket) + ":" +
                     std::string{ToString(outcome.verdict)});
    }
    return ends;
  }

  using ends = std::vector<std::string>;
  target_machine target_;
};

TEST_F(TargetMachineTest, OwnerRunsTheRequestAndLogsIt) {
  Grant(1, 1, 0, 1);
  Submit(2, {.attempt = "a", .key = "k", .epoch = 1, .bucket = 1, .body = "b"});
  EXPECT_EQ(Ends(11), ends{});
  EXPECT_EQ(target_.NextEvent(), At(12));
  EXPECT_EQ(Ends(12), ends{"1:done"});
  const target_run& run = target_.Runs().at(0);
  EXPECT_EQ(run.attempt, "a");
  EXPECT_EQ(run.started, At(2));
  EXPECT_EQ(run.ended, At(12));
  EXPECT_EQ(run.end, run_end::kDone);
}

// The steward that renewed the lease is cut off, and the lease runs out. From
// that instant on another target may own the key, so this one runs nothing.
TEST_F(TargetMachineTest, KeyedRequestAfterTheLeaseIsNotStarted) {
  Grant(1, 1, 0, 1);
  Keyed(99, 1, 1);
  Keyed(100, 1, 1);
  EXPECT_EQ(Ends(200), (ends{"2:not-owner", "1:done"}));
}

TEST_F(TargetMachineTest, KeyedRequestForAnotherBucketIsNotStarted) {
  Grant(1, 1, 0, 1);
  Keyed(2, 1, 2);
  EXPECT_EQ(Ends(2), ends{"1:not-owner"});
  EXPECT_TRUE(target_.Runs().empty());
}

// A renewal sat in the network for long. Counted from its arrival, the lease
// would last beyond what the steward believes; it counts from the reading.
TEST_F(TargetMachineTest, DelayedGrantGivesNoMoreThanItsEchoAllows) {
  EXPECT_EQ(Grant(1, 1, 0, 150), grant_verdict::kAccepted);
  EXPECT_EQ(target_.Held("r")->valid_until, At(100));
  Keyed(150, 1, 1);
  EXPECT_EQ(Ends(150), ends{"1:not-owner"});
}

TEST_F(TargetMachineTest, FirstGrantWithoutEchoGainsNoLease) {
  Order({.range = "r",
         .epoch = 1,
         .lease = seconds{1},
         .buckets = std::set<int>{1}},
        1);
  Keyed(2, 1, 1);
  EXPECT_EQ(Ends(2), ends{"1:not-owner"});
}

// Grants overtake each other on two connections. Applying the older one last
// would bring back a bucket that has been taken away.
TEST_F(TargetMachineTest, OvertakenGrantIsRefusedAndChangesNothing) {
  Order({.range = "r",
         .epoch = 1,
         .seq = 2,
         .echo = At(0).time_since_epoch(),
         .lease = milliseconds{100},
         .buckets = std::set<int>{}},
        1);
  EXPECT_EQ(Grant(1, 1, 0, 2), grant_verdict::kStale);
  EXPECT_TRUE(target_.Held("r")->buckets.empty());
}

TEST_F(TargetMachineTest, DuplicateOfAGrantChangesNothing) {
  Grant(1, 1, 0, 1);
  EXPECT_EQ(Grant(1, 1, 0, 50), grant_verdict::kAccepted);
  EXPECT_EQ(target_.Held("r")->valid_until, At(100));
}

TEST_F(TargetMachineTest, GrantWithoutBucketsRenewsTheLeaseOnly) {
  Grant(1, 1, 0, 1);
  Order({.range = "r",
         .epoch = 1,
         .seq = 2,
         .echo = At(50).time_since_epoch(),
         .lease = milliseconds{100}},
        51);
  EXPECT_EQ(target_.Held("r")->buckets, std::set<int>{1});
  EXPECT_EQ(target_.Held("r")->valid_until, At(150));
}

// A steward freezes, another takes over, and the first comes back as if
// nothing had happened. Neither its grants nor its requests count any more.
TEST_F(TargetMachineTest, FormerStewardIsRefusedOnceANewOneWasSeen) {
  Grant(1, 1, 0, 1);
  Order({.range = "r", .epoch = 2}, 2);
  EXPECT_EQ(Grant(1, 9, 2, 3), grant_verdict::kStale);
  Keyed(3, 1, 1);
  EXPECT_EQ(Ends(3), ends{"1:stale-epoch"});
}

// The new steward counts on the former lease being void: it may already have
// given the bucket to another target.
TEST_F(TargetMachineTest, NewEpochEndsTheFormerLeaseAtOnce) {
  Grant(1, 1, 0, 1);
  Order({.range = "r", .epoch = 2}, 2);
  Keyed(3, 2, 1);
  Submit(3, {.epoch = 2});  // Pooled: needs no bucket.
  EXPECT_EQ(Ends(20), (ends{"1:not-owner", "2:done"}));
}

TEST_F(TargetMachineTest, TargetThatDoesNotCheckFollowsEveryOrder) {
  target_machine careless{{.work_time = milliseconds{1}}, kStart};
  EXPECT_TRUE(careless.Grant({.range = "r", .epoch = 5, .seq = 5}, At(1)));
  EXPECT_EQ(careless.Grant({.range = "r", .epoch = 1, .seq = 1}, At(2))
                .value()
                .verdict,
            grant_verdict::kAccepted);
  careless.Submit({.range = "r", .epoch = 0, .bucket = 7}, At(3));
  careless.Advance(At(4));
  EXPECT_EQ(careless.TakeOutcomes().at(0).verdict, target_verdict::kDone);
}

// The host of the target was rebooted: its clock started anew, and a steward
// echoes a reading of the former boot. The lease would last for days.
TEST_F(TargetMachineTest, ReadingThatWasNeverGivenIsAnError) {
  const auto refused = target_.Grant(
      {.range = "r", .epoch = 1, .echo = hours{999}, .lease = seconds{1}},
      At(1));
  EXPECT_FALSE(refused);
  EXPECT_EQ(target_.Held("r"), nullptr);
}

// Only the process was restarted. It has lost the revocations that it had
// promised to respect, so a grant made on a reading of before gains nothing.
TEST_F(TargetMachineTest, ReadingOfTheFormerProcessGainsNoLease) {
  Grant(1, 1, -10, 1);
  Keyed(2, 1, 1);
  EXPECT_EQ(Ends(2), ends{"1:not-owner"});
}

TEST_F(TargetMachineTest, RequestWithoutSlotOrPlaceToWaitIsRefusedAtOnce) {
  for (int i = 0; i < 4; ++i) {
    Submit(0, {});
  }
  EXPECT_EQ(Ends(0), ends{"4:full"});
  EXPECT_EQ(Ends(10), (ends{"1:done", "2:done"}));
  EXPECT_EQ(Ends(20), ends{"3:done"});
}

// A request waits for a slot while the lease runs out. It was accepted with a
// valid lease, but starting it now would break sole ownership.
TEST_F(TargetMachineTest, LeaseIsCheckedAgainWhenAWaitingRequestStarts) {
  Grant(1, 1, 0, 1);
  for (int i = 0; i < 3; ++i) {
    Keyed(95, 1, 1);
  }
  EXPECT_EQ(Ends(200), (ends{"1:done", "2:done", "3:not-owner"}));
  EXPECT_EQ(target_.Runs().size(), 2U);
}

TEST_F(TargetMachineTest, DeadlineEndsWaitingUnstartedAndRunningOpen) {
  Submit(0, {.deadline = milliseconds{5}});
  Submit(0, {});
  Submit(0, {.deadline = milliseconds{3}});
  Submit(0, {.deadline = milliseconds{0}});
  EXPECT_EQ(Ends(9), (ends{"4:expired-unstarted", "3:expired-unstarted",
                           "1:expired-running"}));
  EXPECT_TRUE(NotStarted(target_verdict::kExpiredUnstarted));
  EXPECT_FALSE(NotStarted(target_verdict::kExpiredRunning));
}

// A caller hangs up. Its request leaves the queue, or stops and frees the
// slot, and nobody is sent its outcome.
TEST_F(TargetMachineTest, CancelledRequestStopsAndFreesItsSlot) {
  const target_ticket first = Submit(0, {});
  Submit(0, {});
  const target_ticket third = Submit(0, {});
  target_.Cancel(third, At(1));
  Submit(1, {});
  target_.Cancel(first, At(4));
  EXPECT_EQ(Ends(14), (ends{"2:done", "4:done"}));
  EXPECT_EQ(target_.Runs().at(0).end, run_end::kCancelled);
  EXPECT_EQ(target_.Runs().at(0).ended, At(4));
  EXPECT_EQ(target_.Runs().size(), 3U);
}

TEST_F(TargetMachineTest, SheddingAndDrainingRefuseNewWorkOnly) {
  Submit(0, {});
  target_.SetFaults({.drain = true}, At(1));
  Submit(1, {});
  target_.SetFaults({.shed = true}, At(2));
  Submit(2, {});
  EXPECT_EQ(Ends(10), (ends{"2:shed", "3:shed", "1:done"}));
}

// The target stops as a whole and later goes on. Its lease ran out meanwhile:
// what it had taken in, and what arrived while it stood, is not begun.
TEST_F(TargetMachineTest, FrozenTargetComesBackAndRunsNothingWithoutLease) {
  Grant(1, 1, 0, 1);
  Keyed(5, 1, 1);
  Keyed(5, 1, 1);
  Keyed(5, 1, 1);
  target_.SetFaults({.freeze_ms = 500}, At(10));
  Keyed(50, 1, 1);
  EXPECT_EQ(Ends(509), ends{});
  EXPECT_TRUE(target_.Frozen());
  EXPECT_EQ(target_.NextEvent(), At(510));
  EXPECT_EQ(Ends(515),
            (ends{"4:not-owner", "1:done", "2:done", "3:not-owner"}));
  EXPECT_EQ(target_.Runs().at(0).ended, At(515));
}

TEST_F(TargetMachineTest, CancellationWhileFrozenIsSeenAfterwards) {
  const target_ticket ticket = Submit(0, {});
  target_.SetFaults({.freeze_ms = 100}, At(5));
  target_.Cancel(ticket, At(50));
  EXPECT_EQ(target_.Runs().at(0).end, run_end::kRunning);
  EXPECT_EQ(Ends(200), ends{});
  EXPECT_EQ(target_.Runs().at(0).end, run_end::kCancelled);
}

TEST_F(TargetMachineTest, PoisonedRequestCrashesOnlyWhenItIsBegun) {
  target_.SetFaults({.poison = "boom"}, At(0));
  Submit(0, {});
  Submit(0, {});
  Submit(0, {.body = "has boom inside"});
  EXPECT_FALSE(target_.Crashed());
  target_.Advance(At(10));
  EXPECT_TRUE(target_.Crashed());
}

TEST_F(TargetMachineTest, TruncationIsUsedUpByAnswersOnly) {
  target_.SetFaults({.truncate_answers = 1}, At(0));
  Keyed(0, 1, 1);  // Refused: not cut.
  Submit(0, {.epoch = 1});
  Submit(0, {.epoch = 1});
  target_.Advance(At(10));
  const std::vector<target_outcome> outcomes = target_.TakeOutcomes();
  ASSERT_EQ(outcomes.size(), 3U);
  EXPECT_FALSE(outcomes[0].truncate);
  EXPECT_TRUE(outcomes[1].truncate);
  EXPECT_FALSE(outcomes[2].truncate);
}

// Health and load are read from a cache that is a second old, or are plainly
// wrong. A router that trusts them sends work to a full target.
TEST_F(TargetMachineTest, ReportLagsAndLies) {
  target_machine lagging{{.health_lag = seconds{1}}, kStart};
  lagging.Submit({.work_time = seconds{9}}, At(100));
  EXPECT_EQ(lagging.Report(At(1099)).running, 0);
  EXPECT_EQ(lagging.Report(At(1100)).running, 1);
  lagging.SetFaults({.shed = true, .lie_load = 7}, At(1200));
  EXPECT_EQ(lagging.Report(At(1300)).running, 7);
  EXPECT_TRUE(lagging.Report(At(2199)).ok);
  EXPECT_FALSE(lagging.Report(At(2200)).ok);
  lagging.SetFaults({.shed = true, .lie_healthy = true}, At(2300));
  EXPECT_TRUE(lagging.Report(At(9000)).ok);
}

TEST_F(TargetMachineTest, ColdTargetIsSlowAndWarmsUp) {
  target_machine cold{
      {.slots = 9, .work_time = milliseconds{10}, .cold_time = seconds{1}},
      kStart};
  cold.Submit({}, At(0));
  EXPECT_EQ(cold.NextEvent(), At(50));
  cold.Advance(At(50));
  cold.Submit({}, At(500));
  EXPECT_EQ(cold.NextEvent(), At(530));
  cold.Advance(At(530));
  cold.Submit({}, At(1000));
  EXPECT_EQ(cold.NextEvent(), At(1010));
}

TEST_F(TargetMachineTest, SpreadStaysInItsBoundsAndFollowsItsSeed) {
  const auto ends_with_seed = [](uint64_t seed) {
    target_machine target{{.slots = 100,
                           .work_time = milliseconds{10},
                           .work_spread = 0.5,
                           .seed = seed},
                          kStart};
    for (int i = 0; i < 100; ++i) {
      target.Submit({}, kStart);
    }
    target.Advance(At(1000));
    std::vector<time_point> times;
    for (const target_run& run : target.Runs()) {
      EXPECT_GE(run.ended, At(5));
      EXPECT_LE(run.ended, At(15));
      times.push_back(run.ended);
    }
    return times;
  };
  EXPECT_EQ(ends_with_seed(7), ends_with_seed(7));
  EXPECT_NE(ends_with_seed(7), ends_with_seed(8));
}

// Stewards come and go, messages are lost, doubled and reordered. Of all
// orders that a checking target follows, none is older than one before it.
RC_GTEST_PROP(TargetMachinePropertyTest, AcceptedOrdersNeverGoBack, ()) {
  target_machine target{{.checks_grants = true}, kStart};
  std::pair<uint64_t, uint64_t> highest{0, 0};
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    const time_point now = kStart + milliseconds{i};
    const target_grant grant{.range = "r",
                             .epoch = uint64_t(*rc::gen::inRange(0, 4)),
                             .seq = uint64_t(*rc::gen::inRange(0, 4)),
                             .echo = now.time_since_epoch(),
                             .lease = milliseconds{*rc::gen::inRange(0, 9)}};
    const std::pair<uint64_t, uint64_t> order{grant.epoch, grant.seq};
    const bool accepted =
        target.Grant(grant, now).value().verdict == grant_verdict::kAccepted;
    RC_ASSERT(accepted == (order >= highest));
    highest = std::max(highest, order);
    RC_ASSERT(target.Held("r")->valid_until <= now + milliseconds{9});
  }
}

// Every request that is not cancelled ends exactly once, and no more run at
// once than there are slots.
RC_GTEST_PROP(TargetMachinePropertyTest, EveryRequestEndsOnce, ()) {
  target_machine target{{.slots = 2, .queue = 2}, kStart};
  std::map<target_ticket, int> ends;
  time_point now = kStart;
  const auto collect = [&] {
    for (const target_outcome& outcome : target.TakeOutcomes()) {
      ++ends[outcome.ticket];
    }
  };
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds{*rc::gen::inRange(0, 3)};
    const int action = *rc::gen::inRange(0, 8);
    if (action == 0 && !ends.empty()) {
      const target_ticket victim = ends.rbegin()->first;
      target.Cancel(victim, now);
      collect();
      ends.erase(victim);
    } else if (action == 1) {
      target.SetFaults({.freeze_ms = 5}, now);
    } else {
      ends[target.Submit({.deadline = milliseconds{*rc::gen::inRange(0, 9)},
                          .work_time = milliseconds{*rc::gen::inRange(0, 9)}},
                         now)] += 0;
    }
    collect();
    RC_ASSERT(target.Report(now).running <= 2);
  }
  target.Advance(now + seconds{10});
  collect();
  RC_ASSERT(!target.NextEvent().has_value());
  for (const auto& [ticket, count] : ends) {
    RC_ASSERT(count == 1);
  }
}

TEST(TargetMessagesTest, GrantOutOfShapeIsRefusedWithItsField) {
  const std::vector<std::pair<std::string, std::string>> cases{
      {R"({"range":"r","epoch":1,"se)", ""},
      {"[]", ""},
      {"\xff\xfe", ""},
      {R"({"epoch":1,"seq":1})", "range"},
      {R"({"range":7,"epoch":1,"seq":1})", "range"},
      {R"({"range":"r","epoch":-1,"seq":1})", "epoch"},
      {R"({"range":"r","epoch":1.5,"seq":1})", "epoch"},
      {R"({"range":"r","epoch":99999999999999999999,"seq":1})", "epoch"},
      {R"({"range":"r","epoch":1,"seq":1,"echo_us":9223372036854775808})",
       "echo_us"},
      {R"({"range":"r","epoch":1,"seq":1,"lease_us":3600000001})", "lease_us"},
      {R"({"range":"r","epoch":1,"seq":1,"buckets":[1,-2]})", "buckets"},
      {R"({"range":"r","epoch":1,"seq":1,"buckets":[1e9]})", "buckets"},
      {R"({"range":"r","epoch":1,"seq":1,"buckets":null})", "buckets"},
  };
  for (const auto& [text, field] : cases) {
    const result<target_grant> grant = ParseTargetGrant(text);
    ASSERT_FALSE(grant) << text;
    EXPECT_EQ(grant.error().path, field) << text;
  }
}

TEST(TargetMessagesTest, RequestHeadersOutOfRangeAreRefused) {
  EXPECT_FALSE(ParseTargetRequest({.epoch = "-1"}, ""));
  EXPECT_FALSE(ParseTargetRequest({.epoch = "18446744073709551616"}, ""));
  EXPECT_FALSE(ParseTargetRequest({.bucket = "-2"}, ""));
  EXPECT_FALSE(ParseTargetRequest({.bucket = "1 "}, ""));
  EXPECT_FALSE(ParseTargetRequest({.deadline_ms = "9e9"}, ""));
  EXPECT_FALSE(ParseTargetRequest({.work_ms = ""}, ""));
  const target_request plain = ParseTargetRequest({}, "x").value();
  EXPECT_EQ(plain.bucket, -1);
  EXPECT_FALSE(plain.deadline.has_value());
}

// Whatever bytes arrive, parsing ends with a value in its bounds or an error.
RC_GTEST_PROP(TargetMessagesPropertyTest, AnyBytesParseToBoundsOrError,
              (const std::string& bytes)) {
  const auto headers = {&target_headers::epoch, &target_headers::bucket,
                        &target_headers::deadline_ms, &target_headers::work_ms};
  for (const auto field : headers) {
    target_headers sent;
    sent.*field = bytes;
    if (const auto request = ParseTargetRequest(sent, bytes)) {
      RC_ASSERT(request.value().bucket >= -1);
      RC_ASSERT(request.value().bucket < kMaxBuckets);
    }
  }
  // Bytes put at any place of a valid grant reach the parser's depths.
  std::string text =
      R"({"range":"r","epoch":1,"seq":2,"lease_us":3,"buckets":[4]})";
  text.insert(*rc::gen::inRange<size_t>(0, text.size()), bytes);
  if (const auto grant = ParseTargetGrant(text)) {
    RC_ASSERT(grant.value().lease <= kMaxLease);
    for (const int bucket : grant.value().buckets.value_or(std::set<int>{})) {
      RC_ASSERT(bucket >= 0 && bucket < kMaxBuckets);
    }
  }
}

}  // namespace
}  // namespace foxtailspread
