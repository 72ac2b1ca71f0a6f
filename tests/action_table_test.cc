#include "foxtailspread/action_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

namespace foxtailspread {
namespace {

using std::chrono::seconds;

constexpr duration kWindow = seconds(10);
constexpr duration kRetention = seconds(20);

action_limits SmallLimits() {
  action_limits limits;
  limits.max_entries = 6;
  limits.max_pinned_per_organisation = 4;
  limits.max_waiters = 3;
  limits.max_answer_size = 8;
  limits.max_answer_bytes = 20;
  limits.retention = kRetention;
  limits.resend_window = kWindow;
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
    table_.Reserve(1000);
  }

  action_decision Send(const action_id& id, uint64_t waiter = 1,
                       uint64_t content = 7) {
    return table_.Begin(now_, {id, "vlahovic", content, waiter});
  }
  std::vector<uint64_t> End(const action_id& id, action_outcome outcome,
                            const answer_ptr& answer = nullptr) {
    return table_.Ended(now_, "vlahovic", id.text, outcome, answer);
  }
  action_table::not_run_report NotRun(const action_id& id, uint32_t attempt) {
    return table_.NotRun(now_, "vlahovic", id.text, attempt);
  }

  time_point now_{seconds(100)};
  action_table table_{SmallLimits()};
  const action_id id_ = Minted(kEpoch, 3);
};

// A clerk's browser loses its connection while a report is being signed and
// sends the same request again, perhaps through another entry host. The clerk
// must get the one report, not a second signature.
TEST_F(ActionTableTest, ResendWhileRunningWaitsForTheFirst) {
  ASSERT_EQ(Send(id_, 1).step, action_step::kRun);
  EXPECT_EQ(Send(id_, 2).step, action_step::kAttach);
  EXPECT_EQ(End(id_, action_outcome::kDone, MakeAnswer("signed")),
            (std::vector<uint64_t>{1, 2}));
  const action_decision again = Send(id_, 3);
  EXPECT_EQ(again.step, action_step::kAnswer);
  EXPECT_EQ(again.outcome, action_outcome::kDone);
  EXPECT_EQ(again.answer->body, "signed");
}

// The entry host that was steward is lost with its memory. Whether an order it
// had handed out was cut cannot be known any more, so the shop must be told
// just that; "not run" would have it cut, and paid for, twice.
TEST_F(ActionTableTest, IdentifierOfAnEarlierTenureIsUnknown) {
  const action_decision decision = Send(Minted(kEpoch - 1, 3));
  EXPECT_EQ(decision.step, action_step::kAnswer);
  EXPECT_EQ(decision.outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, IdentifierOfALaterTenureIsRefused) {
  const action_decision decision = Send(Minted(kEpoch + 1, 3));
  EXPECT_EQ(decision.refusal, action_refusal::kNotSteward);
  EXPECT_EQ(decision.outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, SequenceThatWasNeverReservedIsUnknown) {
  EXPECT_EQ(Send(Minted(kEpoch, 5000)).outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, NewTenureNamesThoseWhoStillWait) {
  Send(id_, 1);
  Send(id_, 2);
  EXPECT_EQ(table_.ResetTenure({"crews@trnje", kEpoch + 1, now_}),
            (std::vector<uint64_t>{1, 2}));
  EXPECT_EQ(Send(id_).outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, OtherContentUnderTheSameIdentifierIsRefused) {
  Send(id_, 1, 7);
  const action_decision decision = Send(id_, 2, 8);
  EXPECT_EQ(decision.step, action_step::kRefuse);
  EXPECT_EQ(decision.refusal, action_refusal::kOtherContent);
}

// Two shops number their orders alike. Each must get its own order run and its
// own answer, and neither may notice that the other used the number too.
TEST_F(ActionTableTest, SameCallerMadeIdentifierOfTwoOrganisationsIsApart) {
  now_ += kWindow;
  const action_id id{"order-0001", std::nullopt};
  EXPECT_EQ(table_.Begin(now_, {id, "shop-a", 1, 1}).step, action_step::kRun);
  EXPECT_EQ(table_.Begin(now_, {id, "shop-b", 2, 2}).step, action_step::kRun);
}

TEST_F(ActionTableTest, ProvedNotRunMayRunAgain) {
  const action_decision first = Send(id_, 1);
  const action_table::not_run_report report = NotRun(id_, first.attempt);
  EXPECT_EQ(report.outcome, action_outcome::kNotRun);
  EXPECT_EQ(report.waiters, std::vector<uint64_t>{1});
  EXPECT_EQ(Send(id_, 2).step, action_step::kRun);
}

// A target's refusal is delivered twice by a repeated call. The second copy
// arrives when the next attempt is already running; taken for that one, it
// would let a third attempt run beside it.
TEST_F(ActionTableTest, ProofAboutAFormerAttemptIsIgnored) {
  const action_decision first = Send(id_, 1);
  NotRun(id_, first.attempt);
  Send(id_, 2);
  EXPECT_TRUE(NotRun(id_, first.attempt).waiters.empty());
  EXPECT_EQ(Send(id_, 3).step, action_step::kAttach);
}

TEST_F(ActionTableTest, LateAnswerAfterUnknownReadsDone) {
  Send(id_, 1);
  End(id_, action_outcome::kUnknown);
  EXPECT_EQ(Send(id_, 2).outcome, action_outcome::kUnknown);
  End(id_, action_outcome::kDone, MakeAnswer("late"));
  EXPECT_EQ(Send(id_, 3).outcome, action_outcome::kDone);
}

// An office gives up at its deadline and is told that the outcome is unknown.
// It turns to the target's owner, who books by hand. Were the next send
// answered "not run", the office would book a second crew.
TEST_F(ActionTableTest, UnknownAfterGivingUpNeverBecomesNotRun) {
  const action_decision first = Send(id_, 1);
  table_.Started("vlahovic", id_.text, first.attempt);
  EXPECT_EQ(table_.GiveUp("vlahovic", id_.text, 1),
            give_up_step::kAnswerUnknown);
  EXPECT_EQ(NotRun(id_, first.attempt).outcome, action_outcome::kUnknown);
  EXPECT_EQ(Send(id_, 2).outcome, action_outcome::kUnknown);
}

TEST_F(ActionTableTest, GivingUpAloneBeforeTheStartCancels) {
  const action_decision first = Send(id_, 1);
  EXPECT_EQ(table_.GiveUp("vlahovic", id_.text, 1), give_up_step::kCancel);
  EXPECT_EQ(NotRun(id_, first.attempt).outcome, action_outcome::kNotRun);
}

TEST_F(ActionTableTest, LargeAnswerIsDoneWithoutItsBody) {
  Send(id_, 1);
  End(id_, action_outcome::kDone, MakeAnswer("larger than eight"));
  const action_decision again = Send(id_, 2);
  EXPECT_EQ(again.outcome, action_outcome::kDone);
  EXPECT_TRUE(again.answer->body_omitted);
  EXPECT_EQ(table_.answer_bytes(), 0U);
}

TEST_F(ActionTableTest, OldBodiesGoWhenAnswersExceedTheirBytes) {
  for (uint64_t i = 0; i < 3; ++i) {
    Send(Minted(kEpoch, i));
    End(Minted(kEpoch, i), action_outcome::kDone, MakeAnswer("12345678"));
  }
  EXPECT_EQ(table_.answer_bytes(), 16U);
  EXPECT_TRUE(Send(Minted(kEpoch, 0)).answer->body_omitted);
  EXPECT_EQ(Send(Minted(kEpoch, 2)).answer->body, "12345678");
}

// After the retention the entry is gone, but the identifier may still come. It
// ran once, so it must not run again; one that a caller kept and never used is
// told apart and runs.
TEST_F(ActionTableTest, ExpiredIdentifierIsUnknownAndAnUnusedOneRuns) {
  Send(id_, 1);
  End(id_, action_outcome::kDone, MakeAnswer("x"));
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

TEST_F(ActionTableTest, CallerMadeIdentifierIsUnknownToAYoungTenure) {
  const action_id id{"order-0001", std::nullopt};
  EXPECT_EQ(Send(id).outcome, action_outcome::kUnknown);
  now_ += kWindow - seconds(1);
  EXPECT_EQ(Send(id).outcome, action_outcome::kUnknown);
  now_ += seconds(2);
  EXPECT_EQ(Send(id).outcome, action_outcome::kUnknown);
  EXPECT_EQ(Send({"order-0002", std::nullopt}).step, action_step::kRun);
}

// A range's world for random schedules: one steward's table, what the targets
// really did, and what callers were told. It knows the truth, the table does
// not.
template <typename Rules>
class schedule_world {
 public:
  schedule_world() { LoseSteward(); }

  // Plays one step chosen by `choice`; returns the broken promise, if any.
  std::string Play(uint64_t choice) {
    const uint64_t pick = choice / kSteps;
    switch (choice % kSteps) {
      case 0:
      case 1:
      case 2:
        Send(pick);
        break;
      case 3:
      case 4:
        StartAttempt(pick);
        break;
      case 5:
        FinishAttempt(pick);
        break;
      case 6:
        LoseAnswer(pick);
        break;
      case 7:
        RejectAttempt(pick);
        break;
      case 8:
        GiveUp(pick);
        break;
      case 9:
        now_ += seconds(pick % 8);
        table_.Expire(now_);
        break;
      default:
        if (pick % 4 == 0) {
          LoseSteward();
        }
    }
    return broken_;
  }

 private:
  static constexpr uint64_t kSteps = 11;
  static constexpr uint64_t kIds = 8;

  struct action {
    action_id id;
    time_point last_sent{};
    bool sent = false;
    int runs = 0;
    bool unknown_said = false;
  };
  struct attempt {
    size_t action = 0;
    uint32_t number = 0;
    uint64_t epoch = 0;
    bool begun = false;
  };

  void LoseSteward() {
    ++epoch_;
    for (const uint64_t waiter : table_.ResetTenure({"r", epoch_, now_})) {
      Told(waiters_[waiter], action_outcome::kUnknown);
    }
    for (uint64_t i = 0; i < kIds; ++i) {
      const uint64_t sequence = table_.Reserve(1);
      actions_.push_back({{"m" + std::to_string(actions_.size()),
                           minted_action{"r", epoch_, sequence}}});
      actions_.push_back(
          {{"c" + std::to_string(actions_.size()), std::nullopt}});
    }
  }

  // Callers keep their part of the contract: one that made its identifier
  // itself does not send it again when its last send is a window ago.
  void Send(uint64_t pick) {
    const size_t recent = std::min<size_t>(actions_.size(), 4 * kIds);
    const size_t index = actions_.size() - 1 - pick % recent;
    action& a = actions_[index];
    if (!a.id.minted && a.sent && now_ >= a.last_sent + kWindow) {
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
      Told(index, d.outcome);
    }
  }

  attempt* PickAttempt(uint64_t pick) {
    return attempts_.empty() ? nullptr : &attempts_[pick % attempts_.size()];
  }

  // An attempt of a lost steward may begin as well: its request was under way.
  void StartAttempt(uint64_t pick) {
    attempt* t = PickAttempt(pick);
    if (t == nullptr || t->begun) {
      return;
    }
    t->begun = true;
    action& a = actions_[t->action];
    if (++a.runs > 1) {
      broken_ = "second run of " + a.id.text;
    }
    if (t->epoch == epoch_) {
      table_.Started("o", a.id.text, t->number);
    }
  }

  void FinishAttempt(uint64_t pick) {
    attempt* t = PickAttempt(pick);
    if (t == nullptr || !t->begun) {
      return;
    }
    if (t->epoch == epoch_) {
      const answer_ptr answer = MakeAnswer(std::string(pick % 12, 'x'));
      TellAll(table_.Ended(now_, "o", actions_[t->action].id.text,
                           action_outcome::kDone, answer),
              action_outcome::kDone);
    }
    attempts_.erase(attempts_.begin() + (t - attempts_.data()));
  }

  void LoseAnswer(uint64_t pick) {
    attempt* t = PickAttempt(pick);
    if (t != nullptr && t->epoch == epoch_) {
      TellAll(table_.Ended(now_, "o", actions_[t->action].id.text,
                           action_outcome::kUnknown, nullptr),
              action_outcome::kUnknown);
    }
  }

  void RejectAttempt(uint64_t pick) {
    attempt* t = PickAttempt(pick);
    if (t == nullptr || t->begun) {
      return;
    }
    const attempt rejected = *t;
    attempts_.erase(attempts_.begin() + (t - attempts_.data()));
    if (rejected.epoch == epoch_) {
      const auto report = table_.NotRun(
          now_, "o", actions_[rejected.action].id.text, rejected.number);
      TellAll(report.waiters, report.outcome);
    }
  }

  void GiveUp(uint64_t pick) {
    if (waiters_.empty()) {
      return;
    }
    const uint64_t waiter = waiters_.size() - 1 - pick % waiters_.size();
    const size_t index = waiters_[waiter];
    const give_up_step step =
        table_.GiveUp("o", actions_[index].id.text, waiter);
    if (step == give_up_step::kAnswerUnknown) {
      Told(index, action_outcome::kUnknown);
    }
  }

  void TellAll(const std::vector<uint64_t>& waiters, action_outcome outcome) {
    for (const uint64_t waiter : waiters) {
      Told(waiters_[waiter], outcome);
    }
  }

  void Told(size_t index, action_outcome outcome) {
    action& a = actions_[index];
    a.unknown_said |= outcome == action_outcome::kUnknown;
    if (outcome == action_outcome::kDone && a.runs == 0) {
      broken_ = "done said of " + a.id.text + ", which never ran";
    }
    if (outcome != action_outcome::kNotRun) {
      return;
    }
    const bool may_start = std::ranges::any_of(
        attempts_, [index](const attempt& t) { return t.action == index; });
    if (a.runs > 0 || may_start) {
      broken_ = "false not-run of " + a.id.text;
    } else if (a.unknown_said) {
      broken_ = "not-run after unknown of " + a.id.text;
    }
  }

  time_point now_{seconds(100)};
  uint64_t epoch_ = 0;
  basic_action_table<Rules> table_{SmallLimits()};
  std::vector<action> actions_;
  std::vector<size_t> waiters_;  // the action that each waiter sent
  std::vector<attempt> attempts_;
  std::string broken_;
};

template <typename Rules>
std::string PlaySchedule(const std::vector<uint64_t>& choices) {
  schedule_world<Rules> world;
  for (const uint64_t choice : choices) {
    std::string broken = world.Play(choice);
    if (!broken.empty()) {
      return broken;
    }
  }
  return "";
}

constexpr int kSchedulesPerCase = 30;

// Stewards are lost, answers come late or never, callers resend and give up, in
// any order. Whatever the order, no action runs twice, nobody reads "not run"
// of one that ran, and nobody reads "not run" after "unknown".
RC_GTEST_PROP(ActionTableScheduleTest, AnyScheduleKeepsEveryPromise, ()) {
  for (int i = 0; i < kSchedulesPerCase; ++i) {
    const auto choices =
        *rc::gen::resize(300, rc::gen::container<std::vector<uint64_t>>(
                                  rc::gen::inRange<uint64_t>(0, 1'000'000)));
    RC_ASSERT(PlaySchedule<at_most_once_rules>(choices) == "");
  }
}

// The kinds of broken promise that 500 schedules of random steps bring about.
template <typename Rules>
std::set<std::string> BrokenPromises() {
  std::mt19937_64 random(7);
  std::set<std::string> kinds;
  for (int i = 0; i < 500; ++i) {
    std::vector<uint64_t> choices(200);
    for (uint64_t& choice : choices) {
      choice = random() % 1'000'000;
    }
    const std::string broken = PlaySchedule<Rules>(choices);
    kinds.insert(broken.substr(0, broken.find(" of ")));
  }
  return kinds;
}

struct old_epochs_are_new : at_most_once_rules {
  static unseen_action JudgeUnseen(const action_id& id,
                                   const table_memory& memory, time_point now) {
    const bool old = id.minted && id.minted->epoch < memory.tenure.epoch;
    return old ? unseen_action::kNeverBegun
               : at_most_once_rules::JudgeUnseen(id, memory, now);
  }
};

struct young_tenures_trust_callers : at_most_once_rules {
  static unseen_action JudgeUnseen(const action_id& id,
                                   const table_memory& memory, time_point now) {
    return id.minted ? at_most_once_rules::JudgeUnseen(id, memory, now)
                     : unseen_action::kNeverBegun;
  }
};

struct forgotten_entries_are_new : at_most_once_rules {
  static unseen_action JudgeUnseen(const action_id& id,
                                   const table_memory& memory, time_point now) {
    const bool ours = id.minted && id.minted->epoch == memory.tenure.epoch;
    return ours ? unseen_action::kNeverBegun
                : at_most_once_rules::JudgeUnseen(id, memory, now);
  }
};

struct unknown_is_forgotten : at_most_once_rules {
  static action_outcome JudgeNotRun(bool) { return action_outcome::kNotRun; }
};

TEST(ActionTableScheduleTest, CheckerCatchesBrokenRules) {
  EXPECT_TRUE(BrokenPromises<old_epochs_are_new>().contains("second run"));
  EXPECT_TRUE(
      BrokenPromises<young_tenures_trust_callers>().contains("second run"));
  EXPECT_TRUE(
      BrokenPromises<forgotten_entries_are_new>().contains("second run"));
  EXPECT_TRUE(
      BrokenPromises<unknown_is_forgotten>().contains("not-run after unknown"));
}

TEST(ActionTableScheduleTest, CheckerPassesTheStandardRules) {
  EXPECT_EQ(BrokenPromises<at_most_once_rules>(), std::set<std::string>{""});
}

}  // namespace
}  // namespace foxtailspread
