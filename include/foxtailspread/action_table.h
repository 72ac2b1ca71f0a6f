#ifndef FOXTAILSPREAD_ACTION_TABLE_H_
#define FOXTAILSPREAD_ACTION_TABLE_H_

/// @file
/// The memory that a steward keeps of the at-most-once actions of its range.
///
/// All requests of a range pass through its steward, so one table sees every
/// send and resend of an action, whichever entry host took it in. The table
/// answers one question for each send: may this run now, is it running
/// already, how did it end, or can nobody say any more. It never lets an
/// action run when an earlier run cannot be ruled out, and it says `not run`
/// only of an action that provably never began.
///
/// A table lives and dies with a tenure. What it forgets, by a new tenure or
/// by its bounds, reads `unknown` ever after.

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

/// What callers are told of an action; there is no fourth.
enum class action_outcome { kDone, kNotRun, kUnknown };

/// Returns "done", "not-run" or "unknown", as in the header Foxtail-Outcome.
std::string_view ToString(action_outcome outcome);

/// Parses the names that ToString returns.
result<action_outcome> ParseActionOutcome(std::string_view text);

/// The answer of an action that ran; shared by the table and all who wait.
struct stored_answer
    : boost::intrusive_ref_counter<stored_answer,
                                   boost::thread_unsafe_counter> {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The body was too large to keep, or was dropped for room: the action is
  /// done, but a resend gets no body and has to be told so.
  bool body_omitted = false;
};

using answer_ptr = boost::intrusive_ptr<const stored_answer>;

/// What to do with one send of an action.
enum class action_step {
  kRun,     ///< Begin it; report back with Started, Ended or NotRun.
  kAttach,  ///< It is under way; Ended or NotRun will name this waiter.
  kAnswer,  ///< Answer at once with `outcome` and, when done, `answer`.
  kRefuse,  ///< Answer at once with `refusal` and `outcome`.
};

/// Why a send was refused.
enum class action_refusal {
  kNone,
  kOtherContent,    ///< The identifier was first sent with another content.
  kOtherRange,      ///< The identifier's home is another range.
  kNotSteward,      ///< Minted by a later steward: this one is outdated.
  kTooManyWaiters,  ///< Too many sends wait for the same action.
  kTableFull,       ///< No room to remember one more action; come back.
};

/// Returns the stable lower-case name, "other-content" for instance.
std::string_view ToString(action_refusal refusal);

/// The table's word on one send.
struct action_decision {
  action_step step = action_step::kRefuse;
  /// For kAnswer and kRefuse, what the caller may be told. A refusal says
  /// `not run` only when this action provably never began.
  action_outcome outcome = action_outcome::kUnknown;
  action_refusal refusal = action_refusal::kNone;
  /// For kRun, the number to report back with.
  uint32_t attempt = 0;
  answer_ptr answer;  ///< For a kAnswer of kDone; may be null.
};

/// What becomes of a caller who waits no longer.
enum class give_up_step {
  kCancel,         ///< Not begun and nobody else waits: take it out of the
                   ///< queue and call NotRun, which names this caller.
  kAnswerUnknown,  ///< It runs or may yet run: tell this caller `unknown`.
  kNotWaiting,     ///< This caller was answered already.
};

/// One tenure of a steward over its range.
struct action_tenure {
  std::string range;
  uint64_t epoch = 0;
  time_point began_at{};
  /// Earlier epochs whose whole memory was taken over, in a planned handover
  /// or by a steward that goes on under a new epoch.
  std::vector<uint64_t> covered{};

  /// Returns whether this tenure's memory is complete for ids of `minted`.
  bool Covers(uint64_t minted) const;
};

/// The bounds of one table.
struct action_limits {
  size_t max_entries = 100'000;
  /// Entries of one organisation that cannot be evicted: those under way and
  /// those with caller-made identifiers. Without this bound, one organisation
  /// could fill the table and have the others refused.
  size_t max_pinned_per_organisation = 20'000;
  size_t max_waiters = 64;                    ///< Sends waiting for one action.
  size_t max_answer_size = size_t{64} << 10;  ///< Larger bodies are not kept.
  size_t max_answer_bytes = size_t{32} << 20;
  /// How long an ended action with a minted identifier keeps its answer.
  duration retention{std::chrono::minutes{10}};
  /// How long after their last send caller-made identifiers may come again.
  duration resend_window{std::chrono::minutes{2}};
  /// Minted sequence numbers of which the table keeps whether they began,
  /// after the entries are gone; one bit each.
  size_t max_logged_sequences = 4'000'000;
};

/// One send, as the steward received it.
struct action_send {
  const action_id& id;  ///< Checked by ParseActionId for `organisation`.
  std::string_view organisation;
  /// A hash over service, key and body; equal for a true resend.
  uint64_t content_hash = 0;
  uint64_t waiter = 0;  ///< Whom Ended or NotRun will name.
};

/// What an action without an entry is taken for.
enum class unseen_action {
  kNeverBegun,  ///< It cannot have begun: it may run.
  kUnknowable,  ///< It may have begun before this table's memory.
  kOtherRange,
  kLaterEpoch,
};

/// What a table can say of identifiers that it has no entry for.
struct table_memory {
  const action_tenure& tenure;
  const action_log& log;
  /// Since when the table has kept every caller-made identifier of the
  /// organisation: the start of the tenure, or later if it ran out of room.
  time_point caller_made_since{};
  duration resend_window{};
};

/// The rules that keep an action from running twice. The table takes them as a
/// template parameter so that its checks can be seen to catch broken ones.
struct at_most_once_rules {
  /// Judges an identifier of which the table has no entry.
  static unseen_action JudgeUnseen(const action_id& id,
                                   const table_memory& memory, time_point now);
  /// The outcome of an action that was proved not to have run, when callers
  /// may have been told `unknown` before.
  static action_outcome JudgeNotRun(bool unknown_was_said);
};

/// The actions of one range at its steward.
///
/// Identifiers of different organisations never meet, not even when two
/// organisations make up the same one. Not thread-safe; keeps `limits` for
/// its lifetime.
///
/// @code
/// action_decision d = table.Begin(now, {id, organisation, hash, request});
/// if (d.step == action_step::kRun) Dispatch(request, d.attempt);
/// // ... and when the target has answered:
/// for (uint64_t waiter : table.Ended(now, organisation, id.text,
///                                    action_outcome::kDone, answer)) {
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

  /// Starts a tenure with an empty memory. The epoch must differ from every
  /// earlier one of the range. Returns those who still waited: their actions
  /// may have begun, so each is to be told `unknown`.
  waiter_list ResetTenure(action_tenure tenure);

  /// Goes on in a new epoch with everything remembered.
  void ContinueIn(uint64_t epoch);

  /// Writes the whole memory as JSON text for the successor of a planned
  /// handover. Answers beyond `max_body_bytes` in sum go without their bodies.
  std::string Export(time_point now, size_t max_body_bytes) const;

  /// Takes over what a predecessor exported, right after ResetTenure. Actions
  /// that were under way there read `unknown` here. Text that cannot be read
  /// changes nothing: the predecessor's identifiers then read `unknown`.
  status Import(std::string_view text, time_point now);

  /// Takes `count` sequence numbers for identifiers of this tenure and returns
  /// the first. Only identifiers with a reserved number may run.
  uint64_t Reserve(uint64_t count) { return log_.Reserve(count); }

  /// Decides on one send.
  action_decision Begin(time_point now, const action_send& send);

  /// Notes that `attempt` was handed to a target and may be running.
  void Started(std::string_view organisation, std::string_view id,
               uint32_t attempt);

  /// Notes the end of an action, also a late one after `unknown`: kDone with
  /// its answer, or kUnknown when nobody can say (kNotRun is taken for that;
  /// only NotRun accepts a proof). Returns whom to answer.
  waiter_list Ended(time_point now, std::string_view organisation,
                    std::string_view id, action_outcome outcome,
                    answer_ptr answer);

  /// Notes the proof that `attempt` was never begun. A resend may then run it
  /// again, unless `unknown` was said before. Returns whom to answer with
  /// `outcome`, which is kUnknown in that case.
  struct not_run_report {
    action_outcome outcome = action_outcome::kUnknown;
    waiter_list waiters;
  };
  not_run_report NotRun(time_point now, std::string_view organisation,
                        std::string_view id, uint32_t attempt);

  /// A caller waits no longer: its deadline passed or it hung up.
  give_up_step GiveUp(std::string_view organisation, std::string_view id,
                      uint64_t waiter);

  /// Forgets what is past its retention. Call it every second or so.
  void Expire(time_point now);

  size_t size() const { return entries_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }
  const action_tenure& tenure() const { return tenure_; }

 private:
  enum class entry_state { kQueued, kRunning, kDone, kNotRun, kUnknown };

  struct by_age;
  struct by_body;
  template <typename Tag>
  using hook = boost::intrusive::list_base_hook<
      boost::intrusive::tag<Tag>,
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  struct entry : hook<by_age>, hook<by_body> {
    const std::string* key = nullptr;
    std::string organisation;
    std::optional<uint64_t> sequence;  // empty for caller-made identifiers
    uint64_t content_hash = 0;
    entry_state state = entry_state::kQueued;
    bool unknown_was_said = false;
    bool pinned = false;
    uint32_t attempt = 0;
    time_point touched_at{};
    waiter_list waiters;
    answer_ptr answer;
  };
  template <typename Tag>
  using entry_list =
      boost::intrusive::list<entry, boost::intrusive::base_hook<hook<Tag>>,
                             boost::intrusive::constant_time_size<false>>;

  struct organisation_state {
    size_t pinned = 0;
    time_point caller_made_since{};
  };

  // The organisation's length in front keeps two organisations' identifiers
  // apart whatever characters they contain.
  static std::string KeyOf(std::string_view organisation, std::string_view id) {
    return std::to_string(organisation.size()) + ':' +
           std::string(organisation) + std::string(id);
  }

  static bool IsUnderWay(const entry& e) {
    return e.state == entry_state::kQueued || e.state == entry_state::kRunning;
  }

  entry* Find(std::string_view organisation, std::string_view id);
  organisation_state& StateOf(std::string_view organisation);
  action_decision BeginSeen(time_point now, entry& e, const action_send& send);
  action_decision BeginUnseen(time_point now, const action_send& send);
  action_decision BeginNew(const action_send& send);
  action_decision Run(entry& e, uint64_t waiter);
  action_decision Attach(entry& e, uint64_t waiter);
  void RememberUnknown(time_point now, const action_send& send);
  bool MakeRoom(std::string_view organisation);
  entry& Add(const action_send& send);
  void Touch(time_point now, entry& e);
  waiter_list Settle(time_point now, entry& e, entry_state state);
  void UpdatePin(entry& e);
  void KeepAnswer(entry& e, const answer_ptr& answer);
  void DropBody(entry& e);
  void Forget(entry& e);

  static answer_ptr WithoutBody(const stored_answer& answer);
  static action_decision Answer(action_outcome outcome,
                                answer_ptr answer = nullptr) {
    return {action_step::kAnswer, outcome, action_refusal::kNone, 0,
            std::move(answer)};
  }
  static action_decision Refuse(action_refusal refusal,
                                action_outcome outcome) {
    return {action_step::kRefuse, outcome, refusal, 0, nullptr};
  }

  action_limits limits_;
  action_tenure tenure_;
  action_log log_;
  std::unordered_map<std::string, entry> entries_;
  std::map<std::string, organisation_state, std::less<>> organisations_;
  // Ended entries, the longest untouched first.
  entry_list<by_age> ended_minted_;
  entry_list<by_age> ended_caller_made_;
  entry_list<by_body> with_body_;  // the oldest answer first
  size_t answer_bytes_ = 0;
};

using action_table = basic_action_table<>;

}  // namespace foxtailspread

#include "foxtailspread/action_table-inl.h"

#endif  // FOXTAILSPREAD_ACTION_TABLE_H_
