#ifndef FOXTAILSPREAD_AUTHORITY_H_
#define FOXTAILSPREAD_AUTHORITY_H_

/// @file
/// Decides which host may act as steward of a range, and until when.
///
/// The range record, stored on the platform, lists in advance the hosts that
/// may be steward (the roster), each with an epoch of its own. A listed host
/// acts only while a majority of the roster, its witnesses, has *promised* not
/// to support any other host. Promises are short leases kept in memory only.
/// They decide only until when the former steward may still act: no value is
/// chosen by vote.
///
/// The requester counts a promise from its own clock reading before it sent
/// the request. The witness counts the full time from the later moment of
/// receipt. A delayed message therefore makes the promise end earlier at the
/// requester than at the witness, never later.
///
/// A *life* is one run of a host's process, identified by a number: a restarted
/// host is a different member of the roster.

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

/// The times of the promise protocol. With the defaults, a lost steward is
/// replaced well within a second; docs/design/ownership.md has the time budget.
struct authority_timing {
  /// How long a promise lasts.
  duration promise{std::chrono::milliseconds{400}};
  /// Interval between renewals.
  duration renew{std::chrono::milliseconds{100}};
  /// Interval between requests while the claim still lacks a majority.
  duration retry{std::chrono::milliseconds{20}};
  /// Extra wait of each further successor before it claims, so that two
  /// successors do not take promises from each other.
  duration stagger{std::chrono::milliseconds{80}};
};

/// A request for one witness's promise.
struct promise_request {
  std::string range;
  uint64_t epoch = 0;
  uint64_t revision = 0;    ///< Revision of the requester's range record.
  uint64_t to_life = 0;     ///< The life of the witness addressed.
  int64_t asked_at_us = 0;  ///< The requester's clock; echoed in the answer.
  /// The steward that handed the range over to the requester, and its epoch.
  /// Promises to that steward may pass to the requester before they expire.
  member released_by;
  uint64_t released_epoch = 0;
};

/// Whether a promise was granted and, if not, why.
enum class promise_verdict {
  kGranted,
  kHeldByOther,   ///< A promise to another member has not expired.
  kEpochTooLow,   ///< A higher epoch was promised; retries with this one fail.
  kRecordTooOld,  ///< The witness knows a newer record.
  kOtherLife,     ///< The witness restarted: it is not the member addressed.
};

/// A witness's answer.
struct promise_answer {
  std::string range;
  uint64_t epoch = 0;
  uint64_t revision = 0;    ///< Copied from the request.
  int64_t asked_at_us = 0;  ///< Copied from the request.
  promise_verdict verdict = promise_verdict::kHeldByOther;
};

/// The promises that one host has made as a witness, for all ranges.
class promise_ledger {
 public:
  explicit promise_ledger(uint64_t life, authority_timing timing)
      : life_(life), timing_(timing) {}

  /// Answers one request. Until a granted promise expires, this host grants
  /// none for the range to another member, unless the holder released it. A
  /// lower epoch is never granted again.
  promise_answer AnswerRequest(const member& requester,
                               const promise_request& request, time_point now);

  /// Returns when this host's current promise for the range expires, or
  /// nullopt if there is none.
  std::optional<time_point> PromisedUntil(std::string_view range,
                                          time_point now) const;

  /// Returns the highest epoch promised for the range, 0 if none.
  uint64_t HighestEpoch(std::string_view range) const;

  /// Notes that this host knows the record of that revision, so that requests
  /// based on older rosters are refused.
  void NoteRevision(std::string_view range, uint64_t revision);

 private:
  struct promise {
    member holder;
    uint64_t epoch = 0;
    uint64_t revision = 0;
    time_point expires_at{};
  };

  uint64_t life_;
  authority_timing timing_;
  std::map<std::string, promise, std::less<>> promises_;
};

/// A promise request and the member to send it to.
struct addressed_promise_request {
  member witness;
  promise_request request;
};

/// One host's claim to act as steward of one range.
///
/// @code
/// range_authority authority("history@trnje", self, timing);
/// authority.SetRecord(record, now);
/// authority.Tick(now, ledger, requests);     // send the requests
/// authority.OnAnswer(witness, answer, now);  // on each answer
/// if (now < authority.ActingUntil()) ...     // may send orders to targets
/// @endcode
class range_authority {
 public:
  range_authority(std::string range, member self, authority_timing timing)
      : range_(std::move(range)), self_(std::move(self)), timing_(timing) {}

  /// Replaces the range record, unless its revision is not newer.
  void SetRecord(const range_record& record, time_point now);

  /// Claims or renews if due, and appends the requests to send.
  void Tick(time_point now, promise_ledger& ledger,
            std::vector<addressed_promise_request>& requests);

  /// Handles a witness's answer.
  void OnAnswer(const member& witness, const promise_answer& answer,
                time_point now);

  /// Stops claiming until a record gives this host another epoch, for a
  /// planned handover. Returns the epoch given up, 0 if this host had none.
  uint64_t StepDown();

  /// Handles the predecessor's message that it stepped down from `epoch`: this
  /// host claims at the next tick, without waiting for promises to expire.
  void OnPredecessorRelease(const member& predecessor, uint64_t epoch);

  /// Returns the time until which this host may act as steward. A time in the
  /// past means that it may not act.
  time_point ActingUntil() const;

  /// Returns the epoch of this host under the record, 0 if not a member.
  uint64_t epoch() const { return epoch_; }
  /// Returns the position in the order of succession, -1 if not a member.
  int index() const { return index_; }
  const range_record& record() const { return record_; }
  const std::string& range() const { return range_; }

  /// Returns when that member last answered, or nullopt if it never did.
  std::optional<time_point> LastAnswerTime(const member& witness) const;

  /// True if every member of the roster is known to have the current record,
  /// so that the former roster can no longer form a majority.
  bool AllSawRecord() const;

  /// True if a witness refused this acting steward because it had promised a
  /// higher epoch. That witness grants again only once a new record assigns new
  /// epochs.
  bool outranked() const { return outranked_; }

  /// True if this member cannot claim with its epoch and has not been bound by
  /// a promise for some time, so that probably no host acts as steward.
  bool IsBlocked(time_point now, const promise_ledger& ledger) const;

  /// Returns when Tick next has work to do.
  time_point NextWake() const { return next_request_at_; }

 private:
  struct witness_state {
    time_point promised_until{};
    time_point last_answer_at{};
    uint64_t seen_revision = 0;
    bool has_answered = false;
  };

  bool MayClaim(time_point now, const promise_ledger& ledger) const;
  promise_request MakeRequest(const member& witness, time_point now) const;
  bool RequestOwnPromise(time_point now, promise_ledger& ledger);
  time_point MajorityPromisedUntil(const std::vector<member>& roster) const;
  std::set<member> Witnesses() const;

  std::string range_;
  member self_;
  authority_timing timing_;
  range_record record_;
  int index_ = -1;
  uint64_t epoch_ = 0;
  uint64_t highest_refused_epoch_ =
      0;  ///< Claims up to this epoch would be refused.
  bool outranked_ = false;
  member released_by_;
  uint64_t released_epoch_ = 0;
  bool stepped_down_ = false;
  time_point earliest_claim_at_{};
  time_point last_promise_seen_at_{};
  time_point next_request_at_{};
  std::map<member, witness_state> witnesses_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_AUTHORITY_H_
