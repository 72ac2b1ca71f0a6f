#ifndef FOXTAILSPREAD_OBJECT_STORE_H_
#define FOXTAILSPREAD_OBJECT_STORE_H_

/// @file
/// The platform's object store of docs/protocols/PLATFORM.md in memory,
/// without its sockets and clock: the stand-in program serves it in real
/// time, tests use it in virtual time.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The largest value of an object.
inline constexpr size_t kMaxObjectValue = size_t{1} << 20;

/// The longest key of an object.
inline constexpr size_t kMaxObjectKey = 512;

/// The longest that a watch waits.
inline constexpr duration kMaxWatchTime{std::chrono::seconds{30}};

/// The revision that stands for "there is no such object".
inline constexpr uint64_t kNoRevision = 0;

/// One object, or the trace of a removed one.
struct stored_object {
  std::string key;
  uint64_t revision = kNoRevision;
  std::string value;  ///< JSON text; empty when deleted.
  bool deleted = false;
};

/// Checks a key: words of `[a-z0-9._@-]` with `/` between them.
status CheckObjectKey(std::string_view key);

/// How a conditional write ended.
enum class write_verdict {
  kWritten,
  kConflict,  ///< Another revision stands there; nothing was written.
  kNotFound,  ///< There is nothing to remove.
};

/// The end of a conditional write.
struct write_outcome {
  write_verdict verdict = write_verdict::kWritten;
  uint64_t revision = kNoRevision;  ///< The new one, or the one in the way.
};

/// Objects with revisions, changed only by conditional writes.
///
/// @code
/// object_store store;
/// write_outcome made = store.Put("config/main", "{}", kNoRevision).value();
/// store.Put("config/main", "{\"a\":1}", made.revision);
/// @endcode
class object_store {
 public:
  /// Returns the object, or nullptr when there is none or it was removed. The
  /// pointer is valid until the next write.
  const stored_object* Get(std::string_view key) const;

  /// Writes `value` if the object's revision is `expected`, or if there is no
  /// object and `expected` is kNoRevision. Fails for a key, or a value that is
  /// too large or not JSON.
  result<write_outcome> Put(std::string_view key, std::string_view value,
                            uint64_t expected);

  /// Removes the object if its revision is `expected`. The removal is a write
  /// with a revision of its own.
  write_outcome Remove(std::string_view key, uint64_t expected);

  /// Returns the latest state of each object changed after `since`, removed
  /// ones too, in order of revision.
  std::vector<stored_object> Changes(uint64_t since) const;

  /// The revision of the latest write.
  uint64_t Revision() const { return revision_; }

 private:
  uint64_t Store(std::string_view key, std::string_view value, bool deleted);

  uint64_t revision_ = kNoRevision;
  std::map<std::string, stored_object, std::less<>> objects_;
  std::map<uint64_t, std::string> keys_by_revision_;
};

/// Names a waiting watch.
using watch_ticket = uint64_t;

/// Watches that wait for the next write.
class watch_list {
 public:
  /// Adds a watch that waits for a revision above `since` until `now + wait`.
  watch_ticket Add(uint64_t since, duration wait, time_point now);

  /// Forgets a watch whose caller is gone.
  void Remove(watch_ticket ticket) { watches_.erase(ticket); }

  /// Returns and forgets the watches that are to be answered: the store has
  /// gone beyond them, or their time is over.
  std::vector<watch_ticket> TakeDue(uint64_t revision, time_point now);

  /// When the next watch's time is over; time_point::max() if there is none.
  time_point NextEvent() const;

 private:
  struct watch {
    uint64_t since;
    time_point until;
  };

  watch_ticket last_ = 0;
  std::map<watch_ticket, watch> watches_;
};

/// Lets so many calls a second pass, with a burst of one second's worth.
class token_bucket {
 public:
  /// A rate of 0 lets nothing pass.
  token_bucket(double rate, time_point start);

  /// Takes one call's token, or returns false when there is none.
  bool Take(time_point now);

 private:
  double rate_;
  double tokens_;
  time_point filled_;
};

/// What the platform counts as a call.
enum class call_kind { kRead, kWrite };

/// Calls since the start.
struct call_counts {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;  ///< Calls of Changes that had to wait.
  uint64_t refused = 0;  ///< Calls over the rates.
};

/// Counts calls and refuses those over the rates.
class call_meter {
 public:
  call_meter(double read_rate, double write_rate, time_point start);

  /// Counts a call and returns whether it may go on.
  bool Admit(call_kind kind, time_point now);

  /// Notes that a read turned out to be a watch that waits.
  void ReadBecameWatch();

  const call_counts& Counts() const { return counts_; }

 private:
  token_bucket reads_;
  token_bucket writes_;
  call_counts counts_;
};

/// One host in the platform's list.
struct listed_host {
  std::string name{};
  std::string kind{};
  std::string zone{};
  std::string state = "live";  ///< "live" or "leaving".
};

/// Parses the body of `PUT /admin/hosts/NAME`.
result<listed_host> ParseListedHost(std::string_view name,
                                    std::string_view text);

/// The list of hosts, which shows each change only after a lag.
class host_list {
 public:
  explicit host_list(duration lag) : lag_(lag) {}

  /// Notes a change that becomes visible at `now` plus the lag.
  void Put(listed_host host, time_point now);

  /// Returns what is visible at `now`, by name.
  std::vector<listed_host> Visible(time_point now);

 private:
  struct pending_change {
    time_point visible;
    listed_host host;
  };

  duration lag_;
  std::deque<pending_change> pending_;
  std::map<std::string, listed_host> visible_;
};

/// Faults that a test sets while the platform runs.
struct platform_faults {
  bool down = false;               ///< Closes every connection unanswered.
  int64_t slow_ms = 0;             ///< Answers come so much later.
  int64_t lose_write_answers = 0;  ///< So many writes take effect unanswered.
  std::vector<std::string> drop_clients{};  ///< Zones that are cut off.

  /// Whether a call from `zone` ("" if not named) is cut off.
  bool Drops(std::string_view zone) const;

  /// Uses up one lost answer; returns whether there was one left.
  bool LoseWriteAnswer();
};

/// Parses the body of `POST /admin/faults` over `faults`, those in force.
result<platform_faults> ParsePlatformFaults(std::string_view text,
                                            platform_faults faults);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_OBJECT_STORE_H_
