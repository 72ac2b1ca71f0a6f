#include "foxtailspread/action_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

namespace foxtailspread {
namespace {

using std::chrono::seconds;

constexpr duration kResendWindow = seconds(10);
constexpr duration kRetention = seconds(20);

action_limits SmallLimits() {
  action_limits limits;
  limits.max_entries = 6;
  limits.max_pinned_per_organisation = 4;
  limits.max_waiters_per_action = 3;
  limits.max_answer_body_bytes = 8;
  limits.max_total_answer_bytes = 20;
  limits.retention_time = kRetention;
  limits.resend_window = kResendWindow;
  limits.max_logged_sequences = 64;
  return limits;
}

answer_ptr MakeAnswer(std::string body) {
  boost::intrusive_ptr<stored_answer> answer(new stored_answer);
  answer->status = 200;
  answer->body = std::move(body);
  return answer;
}

action_id Minted(uint64_t epoch, uint64_t sequence) {
  return {"m" + std::to_string(epoch) + "." + std::to_string(sequence),
          minted_action{"crews@trnje", epoch, sequence}};
}

class ActionTableTest : public ::testing::Test {
 protected:
  static constexpr uint64_t kEpoch = 5;

  void SetUp() override {
    table_.ResetTenure({"crews@trnje", kEpoch, now_});
    table_.ReserveSequences(1000);
  }

  action_decision Send(const action_id& id, uint64_t waiter = 1,
                       uint64_t content = 7) {
    return table_.Begin(now_, {id, "vlahovic", content, waiter});
  }
  std::vector<uint64_t> RecordEnd(const action_id& id, action_outcome outcome,
                                  const answer_ptr& answer = nullptr) {
    return table_.RecordEnd(now_, "vlahovic", id.text, outcome, answer);
  }
  action_table::not_run_report RecordNotRun(const action_id& id,
                                            uint32_t attempt) {
    return table_.RecordNotRun(now_, "vlahovic", id.text, attempt);
  }

  time_point now_{seconds(100)};
  action_table table_{SmallLimits()};
  const action_id id_ = Minted(kEpoch, 3);
};

// A caller loses its connection while its action runs and sends the request
// again, perhaps through another entry host. It must get the answer of the
// first run; the action must not run a second time.
TEST_F(ActionTableTest, RetryWhileRunningWaitsForFirstRun) {
  ASSERT_EQ(Send(id_, 1).step, action_step::kRun);
  EXPECT_EQ(Send(id_, 2).step, action_step::kAttach);
  EXPECT_EQ(RecordEnd(id_, action_outcome::kDone, MakeAnswer("signed")),
            (std::vector<uint64_t>{1, 2}));
  const action_decision again = Send(id_, 3);
  EXPECT_EQ(again.step, action_step::kAnswer);
  EXPECT_EQ(again.outcome, action_outcome::kDone);
  EXPECT_EQ(again.answer->body, "signed");
}

// The steward fails, and its table is lost. Whether an action that it had
// dispatched ran can no longer be determined, so the caller must get "unknown".
// After "not run" the caller would repeat the action, and it could run twice.
TEST_F(ActionTableTest, IdentifierOfEarlierTenureIsUnknown) {
  const action_decision decision = Send(Minted(kEpoch - 1, 3));
  EXPECT_EQ(decision.step, action_step::kAnswer);
  EXPECT_EQ(decision.outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, IdentifierOfLaterTenureIsRefused) {
  const action_decision decision = Send(Minted(kEpoch + 1, 3));
  EXPECT_EQ(decision.refusal, action_refusal::kNotSteward);
  EXPECT_EQ(decision.outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, UnreservedSequenceIsUnknown) {
  EXPECT_EQ(Send(Minted(kEpoch, 5000)).outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, NewTenureReturnsRemainingWaiters) {
  Send(id_, 1);
  Send(id_, 2);
  EXPECT_EQ(table_.ResetTenure({"crews@trnje", kEpoch + 1, now_}),
            (std::vector<uint64_t>{1, 2}));
  EXPECT_EQ(Send(id_).outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, DifferentContentUnderSameIdentifierIsRefused) {
  Send(id_, 1, 7);
  const action_decision decision = Send(id_, 2, 8);
  EXPECT_EQ(decision.step, action_step::kRefuse);
  EXPECT_EQ(decision.refusal, action_refusal::kOtherContent);
}

// Two organisations choose the same identifier. Both actions must run, and
// neither organisation may notice that the other used the identifier too.
TEST_F(ActionTableTest, SameCallerMadeIdentifierOfTwoOrganisationsRunsForBoth) {
  now_ += kResendWindow;
  const action_id id{"order-0001", std::nullopt};
  EXPECT_EQ(table_.Begin(now_, {id, "shop-a", 1, 1}).step, action_step::kRun);
  EXPECT_EQ(table_.Begin(now_, {id, "shop-b", 2, 2}).step, action_step::kRun);
}

TEST_F(ActionTableTest, ActionProvedNotRunMayRunAgain) {
  const action_decision first = Send(id_, 1);
  const action_table::not_run_report report = RecordNotRun(id_, first.attempt);
  EXPECT_EQ(report.outcome, action_outcome::kNotRun);
  EXPECT_EQ(report.waiters, std::vector<uint64_t>{1});
  EXPECT_EQ(Send(id_, 2).step, action_step::kRun);
}

// A target's refusal is delivered twice because the call was repeated. The
// second copy arrives while the next attempt is already running. If it were
// applied to that attempt, a third one could run concurrently.
TEST_F(ActionTableTest, ProofAboutEarlierAttemptIsIgnored) {
  const action_decision first = Send(id_, 1);
  RecordNotRun(id_, first.attempt);
  Send(id_, 2);
  EXPECT_TRUE(RecordNotRun(id_, first.attempt).waiters.empty());
  EXPECT_EQ(Send(id_, 3).step, action_step::kAttach);
}

TEST_F(ActionTableTest, LateAnswerAfterUnknownGivesDone) {
  Send(id_, 1);
  RecordEnd(id_, action_outcome::kUnknown);
  EXPECT_EQ(Send(id_, 2).outcome, action_outcome::kUnknown);
  RecordEnd(id_, action_outcome::kDone, MakeAnswer("late"));
  EXPECT_EQ(Send(id_, 3).outcome, action_outcome::kDone);
}

// A caller stops waiting at its deadline and gets "unknown". It may then settle
// the action by other means. If a retry got "not run" later, the caller could
// have the action done a second time.
TEST_F(ActionTableTest, UnknownAfterCancelledWaitNeverBecomesNotRun) {
  const action_decision first = Send(id_, 1);
  table_.RecordStart("vlahovic", id_.text, first.attempt);
  EXPECT_EQ(table_.CancelWait("vlahovic", id_.text, 1),
            cancel_wait_step::kAnswerUnknown);
  EXPECT_EQ(RecordNotRun(id_, first.attempt).outcome, action_outcome::kUnknown);
  EXPECT_EQ(Send(id_, 2).outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, CancelledWaitOfOnlyWaiterBeforeStartCancelsAction) {
  const action_decision first = Send(id_, 1);
  EXPECT_EQ(table_.CancelWait("vlahovic", id_.text, 1),
            cancel_wait_step::kCancel);
  EXPECT_EQ(RecordNotRun(id_, first.attempt).outcome, action_outcome::kNotRun);
}

TEST_F(ActionTableTest, TooLargeAnswerIsDoneWithoutBody) {
  Send(id_, 1);
  RecordEnd(id_, action_outcome::kDone, MakeAnswer("larger than eight"));
  const action_decision again = Send(id_, 2);
  EXPECT_EQ(again.outcome, action_outcome::kDone);
  EXPECT_TRUE(again.answer->body_omitted);
  EXPECT_EQ(table_.answer_bytes(), 0U);
}

TEST_F(ActionTableTest, OldestBodiesAreDroppedWhenAnswersExceedByteLimit) {
  for (uint64_t i = 0; i < 3; ++i) {
    Send(Minted(kEpoch, i));
    RecordEnd(Minted(kEpoch, i), action_outcome::kDone, MakeAnswer("12345678"));
  }
  EXPECT_EQ(table_.answer_bytes(), 16U);
  EXPECT_TRUE(Send(Minted(kEpoch, 0)).answer->body_omitted);
  EXPECT_EQ(Send(Minted(kEpoch, 2)).answer->body, "12345678");
}

// The entry is removed after the retention time, but a caller may still send
// the identifier. Its action ran once and must not run again. An identifier
// that a caller kept and never used must still run.
TEST_F(ActionTableTest, ExpiredIdentifierIsUnknownAndUnusedOneRuns) {
  Send(id_, 1);
  RecordEnd(id_, action_outcome::kDone, MakeAnswer("x"));
  now_ += kRetention;
  table_.Expire(now_);
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_EQ(Send(id_, 2).outcome, action_outcome::kUnknown);
  EXPECT_EQ(Send(Minted(kEpoch, 2)).step, action_step::kRun);
}

TEST_F(ActionTableTest, FullTableRefusesWithNotRun) {
  for (uint64_t i = 0; i < 4; ++i) {
    Send(Minted(kEpoch, i));
  }
  const action_decision decision = Send(Minted(kEpoch, 9));
  EXPECT_EQ(decision.refusal, action_refusal::kTableFull);
  EXPECT_EQ(decision.outcome, action_outcome::kNotRun);
  const action_id other = Minted(kEpoch, 10);
  EXPECT_EQ(table_.Begin(now_, {other, "prairie", 1, 1}).step,
            action_step::kRun);
}

TEST_F(ActionTableTest,
       CallerMadeIdentifierIsUnknownWithinResendWindowOfNewTenure) {
  const action_id id{"order-0001", std::nullopt};
  EXPECT_EQ(Send(id).outcome, action_outcome::kUnknown);
  now_ += kResendWindow - seconds(1);
  EXPECT_EQ(Send(id).outcome, action_outcome::kUnknown);
  now_ += seconds(2);
  EXPECT_EQ(Send(id).outcome, action_outcome::kUnknown);
  EXPECT_EQ(Send({"order-0002", std::nullopt}).step, action_step::kRun);
}

// Simulates one range for random schedules: the table of its steward, the runs
// at the targets and the outcomes that callers received. Unlike the table, it
// knows which actions really ran.
template <typename Rules>
class range_simulation {
 public:
  range_simulation() { FailSteward(); }

  // Runs one step selected by `choice`. Returns the violated guarantee, or an
  // empty string.
  std::string RunStep(uint64_t choice) {
    const uint64_t selector = choice / kStepKinds;
    switch (choice % kStepKinds) {
      case 0:
      case 1:
      case 2:
        Send(selector);
        break;
      case 3:
      case 4:
        StartAttempt(selector);
        break;
      case 5:
        FinishAttempt(selector);
        break;
      case 6:
        LoseAnswer(selector);
        break;
      case 7:
        RejectAttempt(selector);
        break;
      case 8:
        CancelWait(selector);
        break;
      case 9:
        now_ += seconds(selector % 8);
        table_.Expire(now_);
        break;
      default:
        if (selector % 4 == 0) {
          FailSteward();
        }
    }
    return violation_;
  }

 private:
  static constexpr uint64_t kStepKinds = 11;
  static constexpr uint64_t kIdsPerTenure = 8;

  struct action {
    action_id id;
    time_point last_sent{};
    bool sent = false;
    int runs = 0;
    bool unknown_reported = false;
  };
  struct attempt {
    size_t action = 0;
    uint32_t number = 0;
    uint64_t epoch = 0;
    bool begun = false;
  };

  void FailSteward() {
    ++epoch_;
    for (const uint64_t waiter : table_.ResetTenure({"r", epoch_, now_})) {
      RecordOutcome(waiters_[waiter], action_outcome::kUnknown);
    }
    for (uint64_t i = 0; i < kIdsPerTenure; ++i) {
      const uint64_t sequence = table_.ReserveSequences(1);
      actions_.push_back({{"m" + std::to_string(actions_.size()),
                           minted_action{"r", epoch_, sequence}}});
      actions_.push_back(
          {{"c" + std::to_string(actions_.size()), std::nullopt}});
    }
  }

  // Callers respect the contract: a caller-made identifier isn't sent again
  // once its last request is a resend window ago.
  void Send(uint64_t selector) {
    const size_t recent = std::min<size_t>(actions_.size(), 4 * kIdsPerTenure);
    const size_t index = actions_.size() - 1 - selector % recent;
    action& a = actions_[index];
    if (!a.id.minted && a.sent && now_ >= a.last_sent + kResendWindow) {
      return;
    }
    a.sent = true;
    a.last_sent = now_;
    const uint64_t waiter = waiters_.size();
    waiters_.push_back(index);
    const action_decision d = table_.Begin(now_, {a.id, "o", 1, waiter});
    if (d.step == action_step::kRun) {
      attempts_.push_back({index, d.attempt, epoch_, false});
    } else if (d.step != action_step::kAttach) {
      RecordOutcome(index, d.outcome);
    }
  }

  attempt* SelectAttempt(uint64_t selector) {
    return attempts_.empty() ? nullptr
                             : &attempts_[selector % attempts_.size()];
  }

  // An attempt of a failed steward may begin as well: its request may have been
  // on the way to the target.
  void StartAttempt(uint64_t selector) {
    attempt* t = SelectAttempt(selector);
    if (t == nullptr || t->begun) {
      return;
    }
    t->begun = true;
    action& a = actions_[t->action];
    if (++a.runs > 1) {
      violation_ = "second run of " + a.id.text;
    }
    if (t->epoch == epoch_) {
      table_.RecordStart("o", a.id.text, t->number);
    }
  }

  void FinishAttempt(uint64_t selector) {
    attempt* t = SelectAttempt(selector);
    if (t == nullptr || !t->begun) {
      return;
    }
    if (t->epoch == epoch_) {
      const answer_ptr answer = MakeAnswer(std::string(selector % 12, 'x'));
      RecordOutcomes(table_.RecordEnd(now_, "o", actions_[t->action].id.text,
                                      action_outcome::kDone, answer),
                     action_outcome::kDone);
    }
    attempts_.erase(attempts_.begin() + (t - attempts_.data()));
  }

  void LoseAnswer(uint64_t selector) {
    attempt* t = SelectAttempt(selector);
    if (t != nullptr && t->epoch == epoch_) {
      RecordOutcomes(table_.RecordEnd(now_, "o", actions_[t->action].id.text,
                                      action_outcome::kUnknown, nullptr),
                     action_outcome::kUnknown);
    }
  }

  void RejectAttempt(uint64_t selector) {
    attempt* t = SelectAttempt(selector);
    if (t == nullptr || t->begun) {
      return;
    }
    const attempt rejected = *t;
    attempts_.erase(attempts_.begin() + (t - attempts_.data()));
    if (rejected.epoch == epoch_) {
      const auto report = table_.RecordNotRun(
          now_, "o", actions_[rejected.action].id.text, rejected.number);
      RecordOutcomes(report.waiters, report.outcome);
    }
  }

  void CancelWait(uint64_t selector) {
    if (waiters_.empty()) {
      return;
    }
    const uint64_t waiter = waiters_.size() - 1 - selector % waiters_.size();
    const size_t index = waiters_[waiter];
    const cancel_wait_step step =
        table_.CancelWait("o", actions_[index].id.text, waiter);
    if (step == cancel_wait_step::kAnswerUnknown) {
      RecordOutcome(index, action_outcome::kUnknown);
    }
  }

  void RecordOutcomes(const std::vector<uint64_t>& waiters,
                      action_outcome outcome) {
    for (const uint64_t waiter : waiters) {
      RecordOutcome(waiters_[waiter], outcome);
    }
  }

  void RecordOutcome(size_t index, action_outcome outcome) {
    action& a = actions_[index];
    a.unknown_reported |= outcome == action_outcome::kUnknown;
    if (outcome == action_outcome::kDone && a.runs == 0) {
      violation_ = "done reported of " + a.id.text + ", which never ran";
    }
    if (outcome != action_outcome::kNotRun) {
      return;
    }
    const bool may_start = std::ranges::any_of(
        attempts_, [index](const attempt& t) { return t.action == index; });
    if (a.runs > 0 || may_start) {
      violation_ = "false not-run of " + a.id.text;
    } else if (a.unknown_reported) {
      violation_ = "not-run after unknown of " + a.id.text;
    }
  }

  time_point now_{seconds(100)};
  uint64_t epoch_ = 0;
  basic_action_table<Rules> table_{SmallLimits()};
  std::vector<action> actions_;
  std::vector<size_t> waiters_;  // index into actions_, by waiter
  std::vector<attempt> attempts_;
  std::string violation_;
};

template <typename Rules>
std::string RunSchedule(const std::vector<uint64_t>& choices) {
  range_simulation<Rules> simulation;
  for (const uint64_t choice : choices) {
    std::string violation = simulation.RunStep(choice);
    if (!violation.empty()) {
      return violation;
    }
  }
  return "";
}

constexpr int kSchedulesPerCase = 30;

// Stewards fail, answers are late or lost, and callers retry and stop waiting,
// in random order. In every order, no action runs twice, and no caller gets
// "not run" for an action that ran or after "unknown".
RC_GTEST_PROP(ActionTableScheduleTest, RandomScheduleViolatesNoGuarantee, ()) {
  for (int i = 0; i < kSchedulesPerCase; ++i) {
    const auto choices =
        *rc::gen::resize(300, rc::gen::container<std::vector<uint64_t>>(
                                  rc::gen::inRange<uint64_t>(0, 1'000'000)));
    RC_ASSERT(RunSchedule<at_most_once_rules>(choices) == "");
  }
}

// Returns the kinds of violation that occur in 500 random schedules.
template <typename Rules>
std::set<std::string> FindViolations() {
  std::mt19937_64 random(7);
  std::set<std::string> kinds;
  for (int i = 0; i < 500; ++i) {
    std::vector<uint64_t> choices(200);
    for (uint64_t& choice : choices) {
      choice = random() % 1'000'000;
    }
    const std::string violation = RunSchedule<Rules>(choices);
    kinds.insert(violation.substr(0, violation.find(" of ")));
  }
  return kinds;
}

struct earlier_epochs_count_as_new : at_most_once_rules {
  static unseen_action ClassifyUnseen(const action_id& id,
                                      const unseen_action_context& context,
                                      time_point now) {
    const bool minted_earlier =
        id.minted && id.minted->epoch < context.tenure.epoch;
    return minted_earlier
               ? unseen_action::kNeverBegun
               : at_most_once_rules::ClassifyUnseen(id, context, now);
  }
};

struct new_tenures_run_caller_made_ids : at_most_once_rules {
  static unseen_action ClassifyUnseen(const action_id& id,
                                      const unseen_action_context& context,
                                      time_point now) {
    return id.minted ? at_most_once_rules::ClassifyUnseen(id, context, now)
                     : unseen_action::kNeverBegun;
  }
};

struct removed_entries_count_as_new : at_most_once_rules {
  static unseen_action ClassifyUnseen(const action_id& id,
                                      const unseen_action_context& context,
                                      time_point now) {
    const bool minted_in_tenure =
        id.minted && id.minted->epoch == context.tenure.epoch;
    return minted_in_tenure
               ? unseen_action::kNeverBegun
               : at_most_once_rules::ClassifyUnseen(id, context, now);
  }
};

struct not_run_after_unknown : at_most_once_rules {
  static action_outcome NotRunOutcome(bool) { return action_outcome::kNotRun; }
};

TEST(ActionTableScheduleTest, CheckerDetectsBrokenRules) {
  EXPECT_TRUE(
      FindViolations<earlier_epochs_count_as_new>().contains("second run"));
  EXPECT_TRUE(
      FindViolations<new_tenures_run_caller_made_ids>().contains("second run"));
  EXPECT_TRUE(
      FindViolations<removed_entries_count_as_new>().contains("second run"));
  EXPECT_TRUE(FindViolations<not_run_after_unknown>().contains(
      "not-run after unknown"));
}

TEST(ActionTableScheduleTest, CheckerFindsNoViolationWithStandardRules) {
  EXPECT_EQ(FindViolations<at_most_once_rules>(), std::set<std::string>{""});
}

}  // namespace
}  // namespace foxtailspread
