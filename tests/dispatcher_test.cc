#include "foxtailspread/dispatcher.h"

#include "dispatcher_fixture.h"

namespace foxtailspread {
namespace {

// GoogleTest prints the class name as the name of the test suite.
// NOLINTNEXTLINE(readability-identifier-naming)
class DispatcherTest : public dispatcher_fixture {
 protected:
  DispatcherTest() {
    SetUpDispatcher(keyed_, 2);
    SetUpDispatcher(pooled_, 4);
  }

  /// Starts a request on every slot of target 0 of the keyed dispatcher and
  /// returns the attempt ids.
  std::vector<uint64_t> FillOwner() {
    std::vector<uint64_t> attempts;
    for (uint64_t id = 1; id <= kSlots; ++id) {
      attempts.push_back(
          StartedAttempts(Submit(keyed_, MakeRequest(id))).at(0).attempt_id);
    }
    return attempts;
  }

  dispatcher keyed_{placement_kind::kKeyed, kBuckets};
  dispatcher pooled_{placement_kind::kPooled, kBuckets};
};

TEST_F(DispatcherTest, RequestToFullOwnerStartsAtNextFreeSlot) {
  const std::vector<uint64_t> attempts = FillOwner();
  EXPECT_TRUE(StartedAttempts(Submit(keyed_, MakeRequest(4))).empty());
  const auto out =
      EndAttempt(keyed_, attempts[0], attempt_outcome::kAnswered, 12);
  ASSERT_EQ(StartedAttempts(out).size(), 1U);
  EXPECT_EQ(StartedAttempts(out)[0].request_id, 4U);
}

TEST_F(DispatcherTest, UrgentRequestStartsBeforeOlderOnes) {
  const std::vector<uint64_t> attempts = FillOwner();
  Submit(keyed_, MakeRequest(4));
  dispatch_request urgent = MakeRequest(5);
  urgent.level = urgency::kUrgent;
  Submit(keyed_, urgent);
  const auto out =
      EndAttempt(keyed_, attempts[0], attempt_outcome::kAnswered, 12);
  ASSERT_EQ(StartedAttempts(out).size(), 1U);
  EXPECT_EQ(StartedAttempts(out)[0].request_id, 5U);
}

// Archive requests run for a long time. If they occupied every slot, an
// interactive request would have to wait for one of them to end.
TEST_F(DispatcherTest, ArchiveRequestsLeaveSlotFreeForOthers) {
  for (uint64_t id = 1; id <= 3; ++id) {
    dispatch_request archive = MakeRequest(id);
    archive.level = urgency::kArchive;
    Submit(keyed_, archive);
  }
  EXPECT_EQ(StartedAttempts(Submit(keyed_, MakeRequest(9))).size(), 1U);
}

// One organisation sends far more than its share. A request of another
// organisation must not wait behind that backlog.
TEST_F(DispatcherTest, IdleOrganisationGetsNextFreeSlot) {
  const std::vector<uint64_t> attempts = FillOwner();
  for (uint64_t id = 10; id < 60; ++id) {
    Submit(keyed_, MakeRequest(id));
  }
  dispatch_request other = MakeRequest(99);
  other.organisation = 1;
  Submit(keyed_, other);
  const auto out =
      EndAttempt(keyed_, attempts[0], attempt_outcome::kAnswered, 12);
  ASSERT_EQ(StartedAttempts(out).size(), 1U);
  EXPECT_EQ(StartedAttempts(out)[0].request_id, 99U);
}

// Under overload, a request whose estimated wait exceeds its deadline must be
// refused at once with a retry delay, instead of waiting until its deadline.
TEST_F(DispatcherTest, RequestThatCannotMeetDeadlineIsRefusedAtOnce) {
  FillOwner();
  for (uint64_t id = 10; id < 60; ++id) {
    Submit(keyed_, MakeRequest(id));
  }
  dispatch_request short_deadline_request = MakeRequest(99);
  short_deadline_request.deadline = TimeAtMs(20);
  const auto finishes =
      FinishedRequests(Submit(keyed_, short_deadline_request));
  ASSERT_EQ(finishes.size(), 1U);
  EXPECT_EQ(finishes[0].reason, finish_reason::kTooLate);
  EXPECT_EQ(finishes[0].outcome, dispatch_outcome::kNotRun);
  EXPECT_GT(finishes[0].retry_after, duration::zero());
}

TEST_F(DispatcherTest, FullQueueOfOneOrganisationRefusesOnlyThatOne) {
  FillOwner();
  std::vector<dispatch_decision> decisions;
  for (uint64_t id = 10; id < 300; ++id) {
    dispatch_request long_deadline_request = MakeRequest(id);
    long_deadline_request.deadline = TimeAtMs(60'000);
    decisions = Submit(keyed_, long_deadline_request);
  }
  ASSERT_EQ(FinishedRequests(decisions).size(), 1U);
  EXPECT_EQ(FinishedRequests(decisions)[0].reason, finish_reason::kQueueFull);
  dispatch_request other = MakeRequest(999);
  other.organisation = 1;
  EXPECT_TRUE(FinishedRequests(Submit(keyed_, other)).empty());
}

// The connection breaks while a target runs a request that must run at most
// once, such as placing an order. Whether the order was placed is unknown;
// resending the request could place a second one.
TEST_F(DispatcherTest,
       NonRepeatableRequestOnBrokenConnectionIsUnknownAndNotRetried) {
  const auto first = StartedAttempts(Submit(pooled_, MakeRequest(1)));
  const auto out = EndAttempt(pooled_, first.at(0).attempt_id,
                              attempt_outcome::kConnectionBroken, 11);
  ASSERT_EQ(FinishedRequests(out).size(), 1U);
  EXPECT_EQ(FinishedRequests(out)[0].outcome, dispatch_outcome::kUnknown);
  EXPECT_TRUE(StartedAttempts(out).empty());
}

// A repeatable request times out at the least loaded target. A retry on the
// same target would probably fail in the same way.
TEST_F(DispatcherTest, RetryAfterTimeoutStartsOnAnotherTarget) {
  dispatch_request lookup = MakeRequest(1);
  lookup.repeatable = true;
  const auto first = StartedAttempts(Submit(pooled_, lookup)).at(0);
  for (uint64_t id = 2; id <= 4; ++id) {
    Submit(pooled_, MakeRequest(id));
  }
  const auto out =
      EndAttempt(pooled_, first.attempt_id, attempt_outcome::kTimedOut, 11);
  ASSERT_EQ(StartedAttempts(out).size(), 1U);
  EXPECT_NE(StartedAttempts(out)[0].target, first.target);
}

TEST_F(DispatcherTest, RetryAfterRefusalStartsOnAnotherTarget) {
  const auto first = StartedAttempts(Submit(pooled_, MakeRequest(1)));
  const auto out = EndAttempt(pooled_, first.at(0).attempt_id,
                              attempt_outcome::kNotStarted, 11);
  ASSERT_EQ(StartedAttempts(out).size(), 1U);
  EXPECT_NE(StartedAttempts(out)[0].target, first[0].target);
}

// An owner refuses all requests because it does not own their keys yet. Retries
// without a limit would add load to a target that is taking over its keys.
TEST_F(DispatcherTest, RetriesStayWithinBudget) {
  std::vector<start_attempt> pending_starts;
  for (uint64_t id = 1; id <= 400; ++id) {
    const auto now = static_cast<int64_t>(id);
    auto new_starts = StartedAttempts(Submit(keyed_, MakeRequest(id), now));
    pending_starts.insert(pending_starts.end(), new_starts.begin(),
                          new_starts.end());
    new_starts = StartedAttempts(Tick(keyed_, now));
    pending_starts.insert(pending_starts.end(), new_starts.begin(),
                          new_starts.end());
    while (!pending_starts.empty()) {
      const uint64_t attempt = pending_starts.back().attempt_id;
      pending_starts.pop_back();
      const auto out =
          EndAttempt(keyed_, attempt, attempt_outcome::kNotOwner, now);
      const auto retry_starts = StartedAttempts(out);
      pending_starts.insert(pending_starts.end(), retry_starts.begin(),
                            retry_starts.end());
    }
  }
  const dispatch_counters& counters = keyed_.Counters();
  const double max_retries =
      10 + 0.1 * static_cast<double>(counters.first_attempts);
  EXPECT_GT(counters.retries, 10U);
  EXPECT_LE(static_cast<double>(counters.retries), max_retries);
}

// A request crashes the target that runs it, and its caller resends it. Without
// a limit, it would crash one target after another.
TEST_F(DispatcherTest, CrashingContentIsRefusedAfterTwoLostTargets) {
  int lost_targets = 0;
  for (uint64_t id = 1; id <= 10; ++id) {
    dispatch_request crashing_request = MakeRequest(id);
    crashing_request.content_hash = 666;
    crashing_request.repeatable = true;
    const int64_t now = static_cast<int64_t>(id) * 100;
    for (const auto& start :
         StartedAttempts(Submit(pooled_, crashing_request, now))) {
      lost_targets++;
      EXPECT_TRUE(StartedAttempts(EndAttempt(pooled_, start.attempt_id,
                                             attempt_outcome::kConnectionBroken,
                                             now + 1))
                      .empty());
    }
  }
  EXPECT_EQ(lost_targets, poison_guard::kQuarantineCrashCount);
  EXPECT_EQ(pooled_.ExportPoisonMarks(TimeAtMs(1000)).size(), 1U);
}

// A harmless request is running on a target whenever another request crashes
// it, but is answered in between. It must not be refused as the cause.
TEST_F(DispatcherTest, ContentAnsweredBetweenCrashesIsNotRefused) {
  for (uint64_t id = 1; id <= 6; ++id) {
    dispatch_request lookup = MakeRequest(id);
    lookup.content_hash = 77;
    lookup.repeatable = true;
    const int64_t now = static_cast<int64_t>(id) * 400;
    lookup.deadline = TimeAtMs(now + 1000);
    const auto starts = StartedAttempts(Submit(pooled_, lookup, now));
    ASSERT_EQ(starts.size(), 1U);
    EndAttempt(pooled_, starts[0].attempt_id,
               id % 2 == 0 ? attempt_outcome::kAnswered
                           : attempt_outcome::kConnectionBroken,
               now + 2);
  }
}

// A target freezes with its connections open: it neither answers nor fails.
// Without detection, its requests wait until their deadline.
TEST_F(DispatcherTest, SilentTargetIsSuspectedAndItsRequestRunsElsewhere) {
  dispatch_request lookup = MakeRequest(1);
  lookup.repeatable = true;
  const auto silent_starts = StartedAttempts(Submit(pooled_, lookup));
  std::vector<dispatch_decision> out;
  for (uint64_t id = 2;
       id < 60 && DecisionsOfType<target_suspected>(out).empty(); ++id) {
    const auto now = static_cast<int64_t>(10 + id * 2);
    for (const auto& start :
         StartedAttempts(Submit(pooled_, MakeRequest(id), now))) {
      if (start.target != silent_starts.at(0).target) {
        EndAttempt(pooled_, start.attempt_id, attempt_outcome::kAnswered,
                   now + 2);
      }
    }
    out = Tick(pooled_, now + 2);
  }
  ASSERT_EQ(DecisionsOfType<target_suspected>(out).size(), 1U);
  EXPECT_EQ(DecisionsOfType<target_suspected>(out)[0].target,
            silent_starts.at(0).target);
  ASSERT_FALSE(StartedAttempts(out).empty());
  EXPECT_EQ(StartedAttempts(out)[0].request_id, 1U);
  EXPECT_NE(StartedAttempts(out)[0].target, silent_starts[0].target);
}

// The dispatcher probes a frozen target with a request after a while, and the
// target is still frozen. The request must not wait there until its deadline.
TEST_F(DispatcherTest, RequestThatProbesFrozenTargetRunsElsewhere) {
  constexpr target_index kFrozen = 0;
  for (int64_t now = 10; now < 6000; now += 2) {
    dispatch_request lookup = MakeRequest(static_cast<uint64_t>(now));
    lookup.repeatable = true;
    lookup.deadline = TimeAtMs(now + 1500);
    auto out = Submit(pooled_, lookup, now);
    const auto tick_decisions = Tick(pooled_, now + 1);
    out.insert(out.end(), tick_decisions.begin(), tick_decisions.end());
    for (const finish_request& finish : FinishedRequests(out)) {
      ADD_FAILURE() << "request " << finish.request_id
                    << " finished without an answer at " << now << " ms";
    }
    for (const cancel_attempt& cancel : DecisionsOfType<cancel_attempt>(out)) {
      EndAttempt(pooled_, cancel.attempt_id, attempt_outcome::kCancelled,
                 now + 1);
    }
    for (const start_attempt& start : StartedAttempts(out)) {
      if (start.target != kFrozen) {
        EndAttempt(pooled_, start.attempt_id, attempt_outcome::kAnswered,
                   now + 1);
      }
    }
  }
  EXPECT_TRUE(pooled_.Target(kFrozen).suspected);
}

// All targets seem to fail at once, for instance because of a short network
// fault. Ejecting all of them would turn that into an outage.
TEST_F(DispatcherTest, AtMostOneThirdOfTargetsIsEjected) {
  for (uint64_t id = 1; id <= 200; ++id) {
    for (const auto& start : StartedAttempts(
             Submit(pooled_, MakeRequest(id), static_cast<int>(id)))) {
      EndAttempt(pooled_, start.attempt_id, attempt_outcome::kTimedOut,
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

// A target refuses all requests while its health endpoint reports it as
// healthy. Its keys are unavailable until they move to another target.
TEST_F(DispatcherTest, TargetThatOnlyRefusesIsSuspected) {
  std::vector<dispatch_decision> decisions;
  int64_t now = 10;
  for (; now < 1000 && DecisionsOfType<target_suspected>(decisions).empty();
       now += 10) {
    auto out = Submit(keyed_, MakeRequest(static_cast<uint64_t>(now)), now);
    const auto tick_decisions = Tick(keyed_, now);
    out.insert(out.end(), tick_decisions.begin(), tick_decisions.end());
    for (const start_attempt& start : StartedAttempts(out)) {
      const auto end_decisions = EndAttempt(keyed_, start.attempt_id,
                                            attempt_outcome::kNotStarted, now);
      decisions.insert(decisions.end(), end_decisions.begin(),
                       end_decisions.end());
    }
  }
  EXPECT_EQ(DecisionsOfType<target_suspected>(decisions).size(), 1U);
  EXPECT_LT(now, 500);
}

// Urgent requests arrive faster than they can be served. If every request that
// could still meet its deadline were queued, each one would wait for almost its
// whole deadline.
TEST_F(DispatcherTest, StandingQueueOfUrgentRequestsStaysShort) {
  dispatch_request urgent = MakeRequest(0);
  urgent.level = urgency::kUrgent;
  std::vector<uint64_t> running;
  int max_waiting = 0;
  for (int64_t now = 10; now < 600; ++now) {
    urgent.deadline = TimeAtMs(now + 2000);
    auto out = EndAttempt(keyed_, running.empty() ? 0 : running.front(),
                          attempt_outcome::kAnswered, now);
    running.erase(running.begin(), running.begin() + (running.empty() ? 0 : 1));
    for (int i = 0; i < 3; ++i) {
      urgent.request_id++;
      keyed_.Submit(urgent, TimeAtMs(now), out);
    }
    for (const start_attempt& start : StartedAttempts(out)) {
      running.push_back(start.attempt_id);
    }
    if (now > 500) {
      max_waiting = std::max(max_waiting, keyed_.WaitingCount());
    }
  }
  EXPECT_GT(max_waiting, 0);
  EXPECT_LE(max_waiting, 100);
}

TEST_F(DispatcherTest, NewlyUsableTargetStartsWithOneSlot) {
  const auto now = TimeAtMs(50);
  keyed_.SetTargetUsability(0, target_usability::kDown, now);
  keyed_.SetTargetUsability(0, target_usability::kUsable, now);
  EXPECT_EQ(StartedAttempts(Submit(keyed_, MakeRequest(1), 50)).size(), 1U);
  EXPECT_EQ(StartedAttempts(Submit(keyed_, MakeRequest(2), 50)).size(), 0U);
}

// A target leaves and its bucket has no owner for a short time. Requests for
// the bucket wait for the next owner instead of failing.
TEST_F(DispatcherTest, RequestWithoutOwnerStartsWhenBucketGetsOwner) {
  keyed_.SetOwner(0, kNoTarget);
  EXPECT_TRUE(Submit(keyed_, MakeRequest(1)).empty());
  keyed_.SetOwner(0, 1);
  const auto out = Tick(keyed_, 15);
  ASSERT_EQ(StartedAttempts(out).size(), 1U);
  EXPECT_EQ(StartedAttempts(out)[0].target, 1);
}

TEST_F(DispatcherTest, RequestWithoutOwnerFinishesAfterOwnerTimeout) {
  keyed_.SetOwner(0, kNoTarget);
  dispatch_request long_deadline_request = MakeRequest(1);
  long_deadline_request.deadline = TimeAtMs(30'000);
  Submit(keyed_, long_deadline_request);
  const auto finishes = FinishedRequests(Tick(keyed_, 1600));
  ASSERT_EQ(finishes.size(), 1U);
  EXPECT_EQ(finishes[0].reason, finish_reason::kNoOwner);
  EXPECT_EQ(finishes[0].outcome, dispatch_outcome::kNotRun);
}

TEST_F(DispatcherTest, QueuedRequestMovesToNewOwnerOfItsBucket) {
  FillOwner();
  Submit(keyed_, MakeRequest(4));
  keyed_.SetOwner(0, 1);
  const auto out = Tick(keyed_, 11);
  ASSERT_EQ(StartedAttempts(out).size(), 1U);
  EXPECT_EQ(StartedAttempts(out)[0].target, 1);
}

// A host was paused, and another host became the steward of its range. Requests
// that the paused host still started could run concurrently with those of the
// new steward.
TEST_F(DispatcherTest, SuspendedDispatcherStartsNothing) {
  const std::vector<uint64_t> attempts = FillOwner();
  Submit(keyed_, MakeRequest(4));
  std::vector<dispatch_decision> out;
  keyed_.Suspend(TimeAtMs(11), out);
  ASSERT_EQ(FinishedRequests(out).size(), 1U);
  EXPECT_EQ(FinishedRequests(out)[0].reason, finish_reason::kNoAuthority);
  // A request that a target refuses now is not retried either.
  const auto refused =
      EndAttempt(keyed_, attempts[0], attempt_outcome::kNotStarted, 12);
  EXPECT_TRUE(StartedAttempts(refused).empty());
  ASSERT_EQ(FinishedRequests(refused).size(), 1U);
  EXPECT_EQ(FinishedRequests(refused)[0].outcome, dispatch_outcome::kNotRun);
  EXPECT_TRUE(StartedAttempts(Submit(keyed_, MakeRequest(5), 12)).empty());
}

TEST_F(DispatcherTest, AttemptDoesNotRunPastEndOfAuthority) {
  keyed_.SetAuthorityEnd(TimeAtMs(500));
  EXPECT_EQ(StartedAttempts(Submit(keyed_, MakeRequest(1))).at(0).deadline,
            TimeAtMs(500));
  EXPECT_TRUE(StartedAttempts(Submit(keyed_, MakeRequest(2), 500)).empty());
}

// An answer arrives just after its request expired. It must be dropped, because
// the caller already got the outcome kUnknown.
TEST_F(DispatcherTest, LateAnswerToExpiredRequestIsDropped) {
  const auto start = StartedAttempts(Submit(keyed_, MakeRequest(1))).at(0);
  const auto out = Tick(keyed_, 2000);
  ASSERT_EQ(FinishedRequests(out).size(), 1U);
  EXPECT_EQ(FinishedRequests(out)[0].outcome, dispatch_outcome::kUnknown);
  EXPECT_EQ(DecisionsOfType<cancel_attempt>(out).size(), 1U);
  std::vector<dispatch_decision> after;
  EXPECT_EQ(keyed_.AttemptEnded(start.attempt_id, attempt_outcome::kAnswered,
                                TimeAtMs(2001), after),
            std::nullopt);
}

}  // namespace
}  // namespace foxtailspread
