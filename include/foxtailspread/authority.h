#ifndef FOXTAILSPREAD_AUTHORITY_H_
#define FOXTAILSPREAD_AUTHORITY_H_

/// @file
/// Who may act as steward of a range, and until when.
///
/// The platform's range record fixes in advance which hosts may be steward,
/// each in an epoch of its own. Within that list, a host acts only while a
/// majority of the roster has *promised* it not to help any other. Promises
/// are short, live in memory only, and decide nothing but the time until
/// which the former steward may still act: no value is chosen by vote.
///
/// A promise runs from the asker's own reading of its clock before it sent
/// the request, and, on the witness's side, from the later moment of receipt
/// for the full time. A delayed message therefore makes the asker's belief
/// shorter, never longer, than the witness's.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/range.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The times of the promise protocol. The defaults leave a steward's loss
/// healed well within a second; see docs/design/ownership.md for the budget.
struct authority_timing {
  duration promise{std::chrono::milliseconds{400}};
  duration renew{std::chrono::milliseconds{100}};
  /// Pause between asks while the claim is not yet complete.
  duration retry{std::chrono::milliseconds{20}};
  /// Each later successor waits this much longer before it claims, so that
  /// two successors do not take promises from each other.
  duration stagger{std::chrono::milliseconds{80}};
};

/// A request for one witness's promise.
struct promise_ask {
  std::string range;
  uint64_t epoch = 0;
  uint64_t revision = 0;    ///< Of the record that the asker works with.
  uint64_t to_life = 0;     ///< The life of the witness that is meant.
  int64_t asked_at_us = 0;  ///< The asker's clock; echoed in the answer.
  /// The steward that handed the range over to the asker, and its epoch. Its
  /// promises give way to the asker before they lapse.
  member released_by;
  uint64_t released_epoch = 0;
};

/// Why a promise was given or not.
enum class promise_verdict {
  kGranted,
  kHeldByOther,   ///< Another holder's promise still runs.
  kEpochTooLow,   ///< A higher epoch was promised: never ask with this again.
  kRecordTooOld,  ///< The witness knows a newer record.
  kOtherLife,     ///< The witness restarted and is not that member any more.
};

/// A witness's answer.
struct promise_answer {
  std::string range;
  uint64_t epoch = 0;
  uint64_t revision = 0;    ///< As in the ask.
  int64_t asked_at_us = 0;  ///< As in the ask.
  promise_verdict verdict = promise_verdict::kHeldByOther;
};

/// The witness's side for all ranges of one host.
class promise_ledger {
 public:
  explicit promise_ledger(uint64_t life, authority_timing timing)
      : life_(life), timing_(timing) {}

  /// Answers one ask. A grant binds this host: until it lapses, no other
  /// member gets a promise for the range, and no lower epoch ever will.
  promise_answer Answer(const member& asker, const promise_ask& ask,
                        time_point now);

  /// Returns the end of the promise that binds this host for the range, or
  /// nullopt when it is free.
  std::optional<time_point> BoundUntil(std::string_view range,
                                       time_point now) const;

  /// Returns the highest epoch that was promised for the range, 0 if none.
  uint64_t HighestEpoch(std::string_view range) const;

  /// Notes that this host knows the record of that revision, so that asks
  /// based on older rosters are refused.
  void NoteRevision(std::string_view range, uint64_t revision);

 private:
  struct promise {
    member holder;
    uint64_t epoch = 0;
    uint64_t revision = 0;
    time_point until{};
  };

  uint64_t life_;
  authority_timing timing_;
  std::map<std::string, promise, std::less<>> promises_;
};

/// One ask to be sent to a member.
struct addressed_ask {
  member to;
  promise_ask ask;
};

/// The claimant's side for one range at one host.
///
/// @code
/// range_authority authority("history@trnje", self, timing);
/// authority.SetRecord(record, now);
/// authority.Tick(now, ledger, asks);      // send the asks
/// authority.OnAnswer(from, answer, now);  // on each answer
/// if (now < authority.ActingUntil()) ...  // may order targets
/// @endcode
class range_authority {
 public:
  range_authority(std::string range, member self, authority_timing timing)
      : range_(std::move(range)), self_(std::move(self)), timing_(timing) {}

  /// Takes a record over. Older revisions are ignored.
  void SetRecord(const range_record& record, time_point now);

  /// Claims or renews where due and appends the asks to send.
  void Tick(time_point now, promise_ledger& ledger,
            std::vector<addressed_ask>& asks);

  /// Takes a witness's answer in.
  void OnAnswer(const member& from, const promise_answer& answer,
                time_point now);

  /// Stops claiming until the next record, for a planned handover. Returns
  /// the epoch given up, 0 if none was held.
  uint64_t StepDown();

  /// Claims at the next tick without waiting for the predecessor's silence,
  /// because the predecessor told this host itself that it stepped down.
  void ClaimAfter(const member& predecessor, uint64_t epoch);

  /// Returns the time until which this host may act as steward; a time in
  /// the past means that it may not.
  time_point ActingUntil() const;

  /// Returns the epoch of this host under the record, 0 if not a member.
  uint64_t epoch() const { return epoch_; }
  /// Returns the position in the order of succession, -1 if not a member.
  int index() const { return index_; }
  const range_record& record() const { return record_; }
  const std::string& range() const { return range_; }

  /// Returns the time of the last answer from that member, or nullopt.
  std::optional<time_point> LastHeard(const member& who) const;

  /// True when every member of the order is known to have seen the record
  /// now held, so that the former roster can no longer give a majority.
  bool AllSawRecord() const;

  /// True when a witness refused this acting steward because it has promised
  /// a higher epoch; only a new record with new epochs wins it back.
  bool outranked() const { return outranked_; }

  /// True when this member cannot claim with the epoch that it has, and no
  /// promise of its own has run for a while, so that nobody seems to act.
  bool Blocked(time_point now, const promise_ledger& ledger) const;

  /// Returns when Tick next has something to do.
  time_point NextWake() const { return next_ask_; }

 private:
  struct witness_state {
    time_point promised_until{};
    time_point last_heard{};
    uint64_t saw_revision = 0;
    bool heard = false;
  };

  bool MayClaim(time_point now, const promise_ledger& ledger) const;
  promise_ask MakeAsk(const member& to, time_point now) const;
  bool AskSelf(time_point now, promise_ledger& ledger);
  time_point MajorityUntil(const std::vector<member>& roster) const;
  std::set<member> Witnesses() const;

  std::string range_;
  member self_;
  authority_timing timing_;
  range_record record_;
  int index_ = -1;
  uint64_t epoch_ = 0;
  uint64_t refused_epoch_ = 0;  ///< Claims up to this epoch are hopeless.
  bool outranked_ = false;
  member released_by_;
  uint64_t released_epoch_ = 0;
  bool stepped_down_ = false;
  time_point claim_after_{};
  time_point unbound_since_{};
  time_point next_ask_{};
  std::map<member, witness_state> witnesses_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_AUTHORITY_H_
