#ifndef FOXTAILSPREAD_ACTION_TABLE_H_
#define FOXTAILSPREAD_ACTION_TABLE_H_

/// @file
/// The table of at-most-once actions that the steward of a range keeps in
/// memory. The steward is the host that currently coordinates the range.
///
/// All requests of a range pass through its steward, so one table sees every
/// request and retry of an action, whichever entry host received it. For each
/// request, the table decides whether the action may run now, is already
/// running, has ended (and how), or has an outcome that can no longer be
/// determined. It never lets an action run when an earlier run cannot be ruled
/// out, and it reports `not run` only for an action that provably never began.
///
/// The content of a table lasts for one tenure: the time for which a host is
/// steward of the range under one epoch. The outcome of an action that the
/// table discards, at a new tenure or to respect its limits, stays `unknown`.

#include <boost/intrusive/list.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "foxtailspread/action_id.h"
#include "foxtailspread/action_log.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The outcomes of an action that callers can receive.
enum class action_outcome { kDone, kNotRun, kUnknown };

/// Returns "done", "not-run" or "unknown", as in the header Foxtail-Outcome.
std::string_view ToString(action_outcome outcome);

/// Parses the names that ToString returns.
result<action_outcome> ParseActionOutcome(std::string_view text);

/// The response of an action that ran, shared by the table and all waiters.
struct stored_answer
    : boost::intrusive_ref_counter<stored_answer,
                                   boost::thread_unsafe_counter> {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The body was too large to keep, or was dropped to free memory. The action
  /// is done, but a retry gets no body and must be told that it is missing.
  bool body_omitted = false;
};

using answer_ptr = boost::intrusive_ptr<const stored_answer>;

/// How to handle one request for an action.
enum class action_step {
  kRun,     ///< Run it, then call RecordStart, RecordEnd or
            ///< RecordNotRun.
  kAttach,  ///< It is queued or running; RecordEnd or RecordNotRun will
            ///< return this waiter.
  kAnswer,  ///< Reply at once with `outcome` and, when done, `answer`.
  kRefuse,  ///< Reply at once with `refusal` and `outcome`.
};

/// Why a request was refused.
enum class action_refusal {
  kNone,
  kOtherContent,    ///< The identifier was first sent with different content.
  kOtherRange,      ///< The identifier belongs to another range.
  kNotSteward,      ///< Minted in a later epoch: this steward is outdated.
  kTooManyWaiters,  ///< Too many requests wait for the same action.
  kTableFull,       ///< No capacity for another action; retry later.
};

/// Returns the stable lower-case name, "other-content" for instance.
std::string_view ToString(action_refusal refusal);

/// The table's decision on one request.
struct action_decision {
  action_step step = action_step::kRefuse;
  /// For kAnswer and kRefuse, the outcome to return to the caller. It is
  /// kNotRun in a refusal only if this action provably never began.
  action_outcome outcome = action_outcome::kUnknown;
  action_refusal refusal = action_refusal::kNone;
  /// For kRun, the attempt number to pass to RecordStart and RecordNotRun.
  uint32_t attempt = 0;
  answer_ptr answer;  ///< For kAnswer with kDone; may be null.
};

/// How to handle a caller that stops waiting.
enum class cancel_wait_step {
  kCancel,  ///< Not begun and nobody else waits: remove it from the queue
            ///< and call RecordNotRun, which returns this waiter.
  kAnswerUnknown,  ///< It runs or may still run: reply `unknown`.
  kNotWaiting,     ///< This caller already has its reply.
};

/// One tenure: the time for which a host is steward of a range under one
/// epoch.
struct action_tenure {
  std::string range;
  uint64_t epoch = 0;
  time_point began_at{};
  /// Earlier epochs whose complete table was taken over, in a planned handover
  /// or by a steward that continues under a new epoch.
  std::vector<uint64_t> covered_epochs{};

  /// Returns whether the table holds every action that began among those whose
  /// identifiers were minted in `minted_epoch`.
  bool Covers(uint64_t minted_epoch) const;
};

/// The size and time limits of one table.
struct action_limits {
  size_t max_entries = 100'000;
  /// Entries of one organisation that cannot be evicted: those queued or
  /// running and those with caller-made identifiers. Without this limit, one
  /// organisation could fill the table so that the requests of all others are
  /// refused.
  size_t max_pinned_per_organisation = 20'000;
  size_t max_waiters_per_action = 64;  ///< Requests waiting for one action.
  size_t max_answer_body_bytes = size_t{64}
                                 << 10;  ///< Larger bodies are not kept.
  size_t max_total_answer_bytes = size_t{32} << 20;
  /// How long the entry and answer of an ended action with a minted identifier
  /// are kept after its last use.
  duration retention_time{std::chrono::minutes{10}};
  /// How long after its last request a caller may send a caller-made
  /// identifier again. Ended entries of such identifiers are kept as long.
  duration resend_window{std::chrono::minutes{2}};
  /// Number of minted sequence numbers for which the table still knows whether
  /// they began after their entries were removed; one bit each.
  size_t max_logged_sequences = 4'000'000;
};

/// One request for an action, as the steward received it.
struct action_request {
  const action_id& id;  ///< Checked by ParseActionId for `organisation`.
  std::string_view organisation;
  /// A hash of service, key and body; the same for every retry of a request.
  uint64_t content_hash = 0;
  uint64_t waiter_id = 0;  ///< Returned by RecordEnd or RecordNotRun.
};

/// The classification of an action that has no entry.
enum class unseen_action {
  kNeverBegun,    ///< It cannot have begun: it may run.
  kMayHaveBegun,  ///< It may have begun; the table has no record of it.
  kOtherRange,
  kLaterEpoch,
};

/// The state by which an identifier without an entry is classified.
struct unseen_action_context {
  const action_tenure& tenure;
  const action_log& log;
  /// The time since which the table has kept every caller-made identifier of
  /// the organisation: the start of the tenure, or later if the table was full.
  time_point caller_made_ids_complete_since{};
  duration resend_window{};
};

/// The rules that keep an action from running twice. They are a template
/// parameter of the table so that tests can show that broken rules are
/// detected.
struct at_most_once_rules {
  /// Classifies an identifier that has no entry in the table.
  static unseen_action ClassifyUnseen(const action_id& id,
                                      const unseen_action_context& context,
                                      time_point now);
  /// Returns the outcome to report for an action that provably did not run,
  /// given whether a caller may already have received `unknown`.
  static action_outcome NotRunOutcome(bool unknown_was_reported);
};

/// The actions of one range, kept by its steward.
///
/// Identifiers of different organisations are separate, even when two
/// organisations choose the same text. Not thread-safe. The limits are fixed at
/// construction.
///
/// @code
/// action_decision d = table.Begin(now, {id, organisation, hash, request});
/// if (d.step == action_step::kRun) Dispatch(request, d.attempt);
/// // ... and when the target has replied:
/// for (uint64_t waiter : table.RecordEnd(now, organisation, id.text,
///                                        action_outcome::kDone, answer)) {
///   Answer(waiter, answer);
/// }
/// @endcode
template <typename Rules = at_most_once_rules>
class basic_action_table {
 public:
  using waiter_list = std::vector<uint64_t>;

  explicit basic_action_table(const action_limits& limits = {})
      : limits_(limits), log_(limits.max_logged_sequences) {}
  ~basic_action_table() = default;
  basic_action_table(const basic_action_table&) = delete;
  basic_action_table& operator=(const basic_action_table&) = delete;

  /// Clears the table and starts a tenure. The epoch must differ from every
  /// earlier one of the range. Returns the remaining waiters: their actions may
  /// have begun, so each must get the reply `unknown`.
  waiter_list ResetTenure(action_tenure tenure);

  /// Continues under a new epoch and keeps all entries.
  void ContinueIn(uint64_t epoch);

  /// Writes the whole table as JSON text for the successor in a planned
  /// handover. Bodies that don't fit into a total of `max_body_bytes` are
  /// omitted.
  std::string Export(time_point now, size_t max_body_bytes) const;

  /// Loads the table that a predecessor exported; call it directly after
  /// ResetTenure. Actions that were queued or running there are `unknown` here.
  /// Text that cannot be parsed changes nothing: all identifiers of the
  /// predecessor are then `unknown`.
  status Import(std::string_view text, time_point now);

  /// Reserves `count` sequence numbers for identifiers of this tenure and
  /// returns the first. Only identifiers with a reserved number may run.
  uint64_t ReserveSequences(uint64_t count) {
    return log_.ReserveSequences(count);
  }

  /// Decides how to handle one request.
  action_decision Begin(time_point now, const action_request& request);

  /// Records that `attempt` was sent to a target and may be running.
  void RecordStart(std::string_view organisation, std::string_view id,
                   uint32_t attempt);

  /// Records the end of an action, also when it is already `unknown`: kDone
  /// with its answer, or kUnknown if the outcome cannot be determined. kNotRun
  /// is treated as kUnknown, because only RecordNotRun accepts a proof that an
  /// attempt never began. Returns the waiters to reply to.
  waiter_list RecordEnd(time_point now, std::string_view organisation,
                        std::string_view id, action_outcome outcome,
                        answer_ptr answer);

  /// Records the proof that `attempt` never began. A retry may then run the
  /// action, unless a caller already received `unknown`; `outcome` is kUnknown
  /// in that case. Returns the waiters that get `outcome` as their reply.
  struct not_run_report {
    action_outcome outcome = action_outcome::kUnknown;
    waiter_list waiters;
  };
  not_run_report RecordNotRun(time_point now, std::string_view organisation,
                              std::string_view id, uint32_t attempt);

  /// Decides how to handle a caller that stops waiting, because its deadline
  /// passed or its connection closed.
  cancel_wait_step CancelWait(std::string_view organisation,
                              std::string_view id, uint64_t waiter);

  /// Removes entries past their retention time. Call it about once a second.
  void Expire(time_point now);

  size_t size() const { return entries_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }
  const action_tenure& tenure() const { return tenure_; }

 private:
  enum class entry_state { kQueued, kRunning, kDone, kNotRun, kUnknown };

  struct by_last_use;
  struct by_body;
  template <typename Tag>
  using hook = boost::intrusive::list_base_hook<
      boost::intrusive::tag<Tag>,
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  struct entry : hook<by_last_use>, hook<by_body> {
    const std::string* key = nullptr;
    std::string organisation;
    std::optional<uint64_t> sequence;  // empty for caller-made identifiers
    uint64_t content_hash = 0;
    entry_state state = entry_state::kQueued;
    bool unknown_was_reported = false;
    bool pinned = false;
    uint32_t attempt = 0;
    time_point last_used_at{};
    waiter_list waiters;
    answer_ptr answer;
  };
  template <typename Tag>
  using entry_list =
      boost::intrusive::list<entry, boost::intrusive::base_hook<hook<Tag>>,
                             boost::intrusive::constant_time_size<false>>;

  struct organisation_state {
    size_t pinned = 0;
    time_point caller_made_ids_complete_since{};
  };

  // The length prefix keeps the identifiers of two organisations distinct,
  // whatever characters they contain.
  static std::string MakeKey(std::string_view organisation,
                             std::string_view id) {
    return std::to_string(organisation.size()) + ':' +
           std::string(organisation) + std::string(id);
  }

  static bool IsUnfinished(const entry& e) {
    return e.state == entry_state::kQueued || e.state == entry_state::kRunning;
  }

  entry* FindEntry(std::string_view organisation, std::string_view id);
  organisation_state& OrganisationState(std::string_view organisation);
  action_decision BeginWithEntry(time_point now, entry& e,
                                 const action_request& request);
  action_decision BeginWithoutEntry(time_point now,
                                    const action_request& request);
  action_decision BeginNew(const action_request& request);
  action_decision StartAttempt(entry& e, uint64_t waiter);
  action_decision AttachWaiter(entry& e, uint64_t waiter);
  void RecordUnknown(time_point now, const action_request& request);
  bool EnsureCapacity(std::string_view organisation);
  entry& AddEntry(const action_request& request);
  void Touch(time_point now, entry& e);
  waiter_list FinishEntry(time_point now, entry& e, entry_state state);
  void UpdatePinned(entry& e);
  void StoreAnswer(entry& e, const answer_ptr& answer);
  void DropBody(entry& e);
  void RemoveEntry(entry& e);

  static answer_ptr WithoutBody(const stored_answer& answer);
  static action_decision AnswerDecision(action_outcome outcome,
                                        answer_ptr answer = nullptr) {
    return {action_step::kAnswer, outcome, action_refusal::kNone, 0,
            std::move(answer)};
  }
  static action_decision RefuseDecision(action_refusal refusal,
                                        action_outcome outcome) {
    return {action_step::kRefuse, outcome, refusal, 0, nullptr};
  }

  action_limits limits_;
  action_tenure tenure_;
  action_log log_;
  std::unordered_map<std::string, entry> entries_;
  std::map<std::string, organisation_state, std::less<>> organisations_;
  // Ended entries, the least recently used first.
  entry_list<by_last_use> ended_minted_;
  entry_list<by_last_use> ended_caller_made_;
  entry_list<by_body> entries_with_body_;  // the oldest answer first
  size_t answer_bytes_ = 0;
};

using action_table = basic_action_table<>;

}  // namespace foxtailspread

#include "foxtailspread/action_table-inl.h"

#endif  // FOXTAILSPREAD_ACTION_TABLE_H_
