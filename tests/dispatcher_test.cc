#include "foxtailspread/dispatcher.h"

#include "dispatcher_fixture.h"

namespace foxtailspread {
namespace {

// Named by its subject, as GoogleTest prints it.
// NOLINTNEXTLINE(readability-identifier-naming)
class DispatcherTest : public dispatcher_fixture {
 protected:
  DispatcherTest() {
    SetUp(keyed_, 2);
    SetUp(pooled_, 4);
  }

  /// Runs requests on every slot of the keyed target 0; returns the attempts.
  std::vector<uint64_t> FillOwner() {
    std::vector<uint64_t> attempts;
    for (uint64_t id = 1; id <= kSlots; ++id) {
      attempts.push_back(Starts(Submit(keyed_, Request(id))).at(0).attempt_id);
    }
    return attempts;
  }

  dispatcher keyed_{placement_kind::kKeyed, kBuckets};
  dispatcher pooled_{placement_kind::kPooled, kBuckets};
};

TEST_F(DispatcherTest, FullOwnerQueuesAndStartsAtTheNextFreeSlot) {
  const std::vector<uint64_t> attempts = FillOwner();
  EXPECT_TRUE(Starts(Submit(keyed_, Request(4))).empty());
  const auto out = End(keyed_, attempts[0], attempt_end::kAnswered, 12);
  ASSERT_EQ(Starts(out).size(), 1U);
  EXPECT_EQ(Starts(out)[0].request_id, 4U);
}

TEST_F(DispatcherTest, UrgentRequestStartsBeforeOlderOnes) {
  const std::vector<uint64_t> attempts = FillOwner();
  Submit(keyed_, Request(4));
  dispatch_request urgent = Request(5);
  urgent.level = urgency::kUrgent;
  Submit(keyed_, urgent);
  const auto out = End(keyed_, attempts[0], attempt_end::kAnswered, 12);
  ASSERT_EQ(Starts(out).size(), 1U);
  EXPECT_EQ(Starts(out)[0].request_id, 5U);
}

// Archive pulls run for long. If they hold every slot when a surveyor's
// lookup arrives, the surveyor waits for a whole pull.
TEST_F(DispatcherTest, ArchiveWorkLeavesSlotsFree) {
  for (uint64_t id = 1; id <= 3; ++id) {
    dispatch_request archive = Request(id);
    archive.level = urgency::kArchive;
    Submit(keyed_, archive);
  }
  EXPECT_EQ(Starts(Submit(keyed_, Request(9))).size(), 1U);
}

// One shop sends far more than its share. The other shop's request must not
// wait behind all of that.
TEST_F(DispatcherTest, QuietOrganisationGetsTheNextFreeSlot) {
  const std::vector<uint64_t> attempts = FillOwner();
  for (uint64_t id = 10; id < 60; ++id) {
    Submit(keyed_, Request(id));
  }
  dispatch_request other = Request(99);
  other.organisation = 1;
  Submit(keyed_, other);
  const auto out = End(keyed_, attempts[0], attempt_end::kAnswered, 12);
  ASSERT_EQ(Starts(out).size(), 1U);
  EXPECT_EQ(Starts(out)[0].request_id, 99U);
}

// More arrives than the targets can serve. A caller that is kept waiting
// until its deadline learns nothing; it has to hear at once when to return.
TEST_F(DispatcherTest, RequestThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  FillOwner();
  for (uint64_t id = 10; id < 60; ++id) {
    Submit(keyed_, Request(id));
  }
  dispatch_request hasty = Request(99);
  hasty.deadline = At(20);
  const auto finishes = Finishes(Submit(keyed_, hasty));
  ASSERT_EQ(finishes.size(), 1U);
  EXPECT_EQ(finishes[0].reason, finish_reason::kTooLate);
  EXPECT_EQ(finishes[0].outcome, dispatch_outcome::kNotRun);
  EXPECT_GT(finishes[0].retry_after, duration::zero());
}

TEST_F(DispatcherTest, FullQueueOfOneOrganisationRefusesOnlyThatOne) {
  FillOwner();
  std::vector<dispatch_decision> last;
  for (uint64_t id = 10; id < 300; ++id) {
    dispatch_request patient = Request(id);
    patient.deadline = At(60'000);
    last = Submit(keyed_, patient);
  }
  ASSERT_EQ(Finishes(last).size(), 1U);
  EXPECT_EQ(Finishes(last)[0].reason, finish_reason::kQueueFull);
  dispatch_request other = Request(999);
  other.organisation = 1;
  EXPECT_TRUE(Finishes(Submit(keyed_, other)).empty());
}

// The connection breaks while a target places a fabrication order. Whether
// it was placed is not known; sent again, a second set of letters is cut.
TEST_F(DispatcherTest, BrokenAtMostOnceRequestIsUnknownAndNotRepeated) {
  const auto first = Starts(Submit(pooled_, Request(1)));
  const auto out =
      End(pooled_, first.at(0).attempt_id, attempt_end::kBroken, 11);
  ASSERT_EQ(Finishes(out).size(), 1U);
  EXPECT_EQ(Finishes(out)[0].outcome, dispatch_outcome::kUnknown);
  EXPECT_TRUE(Starts(out).empty());
}

// A lookup times out at a target that is otherwise fine and has the least to
// do. Repeated there, it would most likely meet the same trouble.
TEST_F(DispatcherTest, RepeatedLookupStartsOnAnotherTarget) {
  dispatch_request lookup = Request(1);
  lookup.repeatable = true;
  const auto first = Starts(Submit(pooled_, lookup)).at(0);
  for (uint64_t id = 2; id <= 4; ++id) {
    Submit(pooled_, Request(id));
  }
  const auto out = End(pooled_, first.attempt_id, attempt_end::kTimedOut, 11);
  ASSERT_EQ(Starts(out).size(), 1U);
  EXPECT_NE(Starts(out)[0].target, first.target);
}

TEST_F(DispatcherTest, RefusedRequestStartsOnAnotherTarget) {
  const auto first = Starts(Submit(pooled_, Request(1)));
  const auto out =
      End(pooled_, first.at(0).attempt_id, attempt_end::kNotStarted, 11);
  ASSERT_EQ(Starts(out).size(), 1U);
  EXPECT_NE(Starts(out)[0].target, first[0].target);
}

// An owner refuses everything as stale. Retries on top of the first attempts
// would add to the load of a target that is busy taking over.
TEST_F(DispatcherTest, RetriesStayWithinTheBudget) {
  std::vector<start_attempt> starts;
  for (uint64_t id = 1; id <= 400; ++id) {
    const auto now = static_cast<int64_t>(id);
    auto begun = Starts(Submit(keyed_, Request(id), now));
    starts.insert(starts.end(), begun.begin(), begun.end());
    begun = Starts(Tick(keyed_, now));
    starts.insert(starts.end(), begun.begin(), begun.end());
    while (!starts.empty()) {
      const uint64_t attempt = starts.back().attempt_id;
      starts.pop_back();
      const auto out = End(keyed_, attempt, attempt_end::kRefusedOwner, now);
      const auto more = Starts(out);
      starts.insert(starts.end(), more.begin(), more.end());
    }
  }
  const dispatch_counters& counters = keyed_.Counters();
  const double allowed = 10 + 0.1 * static_cast<double>(counters.first_starts);
  EXPECT_GT(counters.retries, 10U);
  EXPECT_LE(static_cast<double>(counters.retries), allowed);
}

// A request crashes the target that runs it, and its caller sends it again.
// Unchecked, it would take one target after the other down.
TEST_F(DispatcherTest, CrashingContentIsRefusedAfterTwoTargets) {
  int lost = 0;
  for (uint64_t id = 1; id <= 10; ++id) {
    dispatch_request poison = Request(id);
    poison.content_hash = 666;
    poison.repeatable = true;
    const int64_t now = static_cast<int64_t>(id) * 100;
    for (const auto& start : Starts(Submit(pooled_, poison, now))) {
      lost++;
      EXPECT_TRUE(
          Starts(End(pooled_, start.attempt_id, attempt_end::kBroken, now + 1))
              .empty());
    }
  }
  EXPECT_EQ(lost, poison_guard::kQuarantineCrashes);
  EXPECT_EQ(pooled_.ExportPoison(At(1000)).size(), 1U);
}

// A lookup ran beside a crashing request twice, but was answered in between.
// Nobody may be refused for having been a neighbour.
TEST_F(DispatcherTest, ContentThatWasAnsweredIsNotHeldAgainst) {
  for (uint64_t id = 1; id <= 6; ++id) {
    dispatch_request lookup = Request(id);
    lookup.content_hash = 77;
    lookup.repeatable = true;
    const int64_t now = static_cast<int64_t>(id) * 400;
    lookup.deadline = At(now + 1000);
    const auto starts = Starts(Submit(pooled_, lookup, now));
    ASSERT_EQ(starts.size(), 1U);
    End(pooled_, starts[0].attempt_id,
        id % 2 == 0 ? attempt_end::kAnswered : attempt_end::kBroken, now + 2);
  }
}

// A target freezes with its connections open. It neither answers nor fails;
// callers notice only that their lookups take until the deadline.
TEST_F(DispatcherTest, SilentTargetIsSuspectedAndItsLookupRunsElsewhere) {
  dispatch_request lookup = Request(1);
  lookup.repeatable = true;
  const auto stuck = Starts(Submit(pooled_, lookup));
  std::vector<dispatch_decision> out;
  for (uint64_t id = 2; id < 60 && All<target_suspected>(out).empty(); ++id) {
    const auto now = static_cast<int64_t>(10 + id * 2);
    for (const auto& start : Starts(Submit(pooled_, Request(id), now))) {
      if (start.target != stuck.at(0).target) {
        End(pooled_, start.attempt_id, attempt_end::kAnswered, now + 2);
      }
    }
    out = Tick(pooled_, now + 2);
  }
  ASSERT_EQ(All<target_suspected>(out).size(), 1U);
  EXPECT_EQ(All<target_suspected>(out)[0].target, stuck.at(0).target);
  ASSERT_FALSE(Starts(out).empty());
  EXPECT_EQ(Starts(out)[0].request_id, 1U);
  EXPECT_NE(Starts(out)[0].target, stuck[0].target);
}

// A frozen target is tried again after a while and is still frozen. The
// lookup that tried it must not wait there until its deadline.
TEST_F(DispatcherTest, LookupThatProbesAFrozenTargetRunsElsewhere) {
  constexpr target_index kFrozen = 0;
  for (int64_t now = 10; now < 6000; now += 2) {
    dispatch_request lookup = Request(static_cast<uint64_t>(now));
    lookup.repeatable = true;
    lookup.deadline = At(now + 1500);
    auto out = Submit(pooled_, lookup, now);
    const auto ticked = Tick(pooled_, now + 1);
    out.insert(out.end(), ticked.begin(), ticked.end());
    for (const finish_request& finish : Finishes(out)) {
      ADD_FAILURE() << "gave up " << finish.request_id << " at " << now;
    }
    for (const cancel_attempt& cancel : All<cancel_attempt>(out)) {
      End(pooled_, cancel.attempt_id, attempt_end::kCancelled, now + 1);
    }
    for (const start_attempt& start : Starts(out)) {
      if (start.target != kFrozen) {
        End(pooled_, start.attempt_id, attempt_end::kAnswered, now + 1);
      }
    }
  }
  EXPECT_TRUE(pooled_.Target(kFrozen).suspected);
}

// Most targets seem to fail at once, for instance because the network
// flickers. Leaving them all out would turn that into an outage.
TEST_F(DispatcherTest, AtMostAThirdOfTheTargetsIsEjected) {
  for (uint64_t id = 1; id <= 200; ++id) {
    for (const auto& start :
         Starts(Submit(pooled_, Request(id), static_cast<int>(id)))) {
      End(pooled_, start.attempt_id, attempt_end::kTimedOut,
          static_cast<int>(id));
    }
    Tick(pooled_, static_cast<int>(id));
  }
  int ejected = 0;
  for (int target = 0; target < 4; ++target) {
    ejected += pooled_.Target(target).ejected ? 1 : 0;
  }
  EXPECT_EQ(ejected, 1);
}

// A target refuses everything and never answers while its health endpoint
// says that all is well. Its keys are unavailable until they move.
TEST_F(DispatcherTest, TargetThatOnlyRefusesIsSuspected) {
  std::vector<dispatch_decision> seen;
  int64_t now = 10;
  for (; now < 1000 && All<target_suspected>(seen).empty(); now += 10) {
    auto out = Submit(keyed_, Request(static_cast<uint64_t>(now)), now);
    const auto ticked = Tick(keyed_, now);
    out.insert(out.end(), ticked.begin(), ticked.end());
    for (const start_attempt& start : Starts(out)) {
      const auto ended =
          End(keyed_, start.attempt_id, attempt_end::kNotStarted, now);
      seen.insert(seen.end(), ended.begin(), ended.end());
    }
  }
  EXPECT_EQ(All<target_suspected>(seen).size(), 1U);
  EXPECT_LT(now, 500);
}

// Far more urgent lookups come than fit. If all that can still meet their
// deadline wait, every surveyor waits for nearly the whole deadline.
TEST_F(DispatcherTest, StandingQueueOfUrgentRequestsIsKeptShort) {
  dispatch_request urgent = Request(0);
  urgent.level = urgency::kUrgent;
  std::vector<uint64_t> running;
  int queued_at_most = 0;
  for (int64_t now = 10; now < 600; ++now) {
    urgent.deadline = At(now + 2000);
    auto out = End(keyed_, running.empty() ? 0 : running.front(),
                   attempt_end::kAnswered, now);
    running.erase(running.begin(), running.begin() + (running.empty() ? 0 : 1));
    for (int i = 0; i < 3; ++i) {
      urgent.request_id++;
      keyed_.Submit(urgent, At(now), out);
    }
    for (const start_attempt& start : Starts(out)) {
      running.push_back(start.attempt_id);
    }
    if (now > 500) {
      queued_at_most = std::max(queued_at_most, keyed_.Waiting());
    }
  }
  EXPECT_GT(queued_at_most, 0);
  EXPECT_LE(queued_at_most, 100);
}

TEST_F(DispatcherTest, NewlyUsableTargetStartsWithOneSlot) {
  const auto now = At(50);
  keyed_.SetTargetUsability(0, target_usability::kDown, now);
  keyed_.SetTargetUsability(0, target_usability::kUsable, now);
  EXPECT_EQ(Starts(Submit(keyed_, Request(1), 50)).size(), 1U);
  EXPECT_EQ(Starts(Submit(keyed_, Request(2), 50)).size(), 0U);
}

// A target leaves and its bucket has no owner for a moment. Requests for it
// wait for the next owner instead of failing.
TEST_F(DispatcherTest, RequestWithoutOwnerStartsWhenTheBucketGetsOne) {
  keyed_.SetOwner(0, kNoTarget);
  EXPECT_TRUE(Submit(keyed_, Request(1)).empty());
  keyed_.SetOwner(0, 1);
  const auto out = Tick(keyed_, 15);
  ASSERT_EQ(Starts(out).size(), 1U);
  EXPECT_EQ(Starts(out)[0].target, 1);
}

TEST_F(DispatcherTest, RequestWithoutOwnerIsFinishedWhenNoneComes) {
  keyed_.SetOwner(0, kNoTarget);
  dispatch_request patient = Request(1);
  patient.deadline = At(30'000);
  Submit(keyed_, patient);
  const auto finishes = Finishes(Tick(keyed_, 1600));
  ASSERT_EQ(finishes.size(), 1U);
  EXPECT_EQ(finishes[0].reason, finish_reason::kNoOwner);
  EXPECT_EQ(finishes[0].outcome, dispatch_outcome::kNotRun);
}

TEST_F(DispatcherTest, QueuedRequestFollowsItsBucketToTheNewOwner) {
  FillOwner();
  Submit(keyed_, Request(4));
  keyed_.SetOwner(0, 1);
  const auto out = Tick(keyed_, 11);
  ASSERT_EQ(Starts(out).size(), 1U);
  EXPECT_EQ(Starts(out)[0].target, 1);
}

// A host was paused and has lost its range to another one. Whatever it still
// starts could run beside the new steward's work.
TEST_F(DispatcherTest, SuspendedDispatcherStartsNothing) {
  const std::vector<uint64_t> attempts = FillOwner();
  Submit(keyed_, Request(4));
  std::vector<dispatch_decision> out;
  keyed_.Suspend(At(11), out);
  ASSERT_EQ(Finishes(out).size(), 1U);
  EXPECT_EQ(Finishes(out)[0].reason, finish_reason::kNoAuthority);
  // One that a target refuses now is not tried again either.
  const auto refused = End(keyed_, attempts[0], attempt_end::kNotStarted, 12);
  EXPECT_TRUE(Starts(refused).empty());
  ASSERT_EQ(Finishes(refused).size(), 1U);
  EXPECT_EQ(Finishes(refused)[0].outcome, dispatch_outcome::kNotRun);
  EXPECT_TRUE(Starts(Submit(keyed_, Request(5), 12)).empty());
}

TEST_F(DispatcherTest, AttemptNeverRunsPastTheAuthority) {
  keyed_.SetAuthority(At(500));
  EXPECT_EQ(Starts(Submit(keyed_, Request(1))).at(0).deadline, At(500));
  EXPECT_TRUE(Starts(Submit(keyed_, Request(2), 500)).empty());
}

// An answer arrives just after its request was given up. It must not reach
// anybody; the caller was told that the outcome is unknown.
TEST_F(DispatcherTest, LateAnswerOfAnExpiredRequestIsDropped) {
  const auto start = Starts(Submit(keyed_, Request(1))).at(0);
  const auto out = Tick(keyed_, 2000);
  ASSERT_EQ(Finishes(out).size(), 1U);
  EXPECT_EQ(Finishes(out)[0].outcome, dispatch_outcome::kUnknown);
  EXPECT_EQ(All<cancel_attempt>(out).size(), 1U);
  std::vector<dispatch_decision> after;
  EXPECT_EQ(keyed_.AttemptEnded(start.attempt_id, attempt_end::kAnswered,
                                At(2001), after),
            std::nullopt);
}

}  // namespace
}  // namespace foxtailspread
