#ifndef FOXTAILSPREAD_OBJECT_STORE_H_
#define FOXTAILSPREAD_OBJECT_STORE_H_

/// @file
/// An in-memory implementation of the platform's object store, specified in
/// docs/protocols/PLATFORM.md. It has no sockets and no clock of its own: the
/// foxtail-platform program serves it in real time, tests use it in virtual
/// time.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// The largest size of an object's value, in bytes.
inline constexpr size_t kMaxObjectValueBytes = size_t{1} << 20;

/// The longest key of an object, in bytes.
inline constexpr size_t kMaxObjectKeyBytes = 512;

/// The longest wait of a watch; longer ones are shortened to it.
inline constexpr duration kMaxWatchWait{std::chrono::seconds{30}};

/// The revision of an object that does not exist.
inline constexpr uint64_t kNoRevision = 0;

/// One object, or the tombstone of a removed one.
struct stored_object {
  std::string key;
  uint64_t revision = kNoRevision;
  std::string value;  ///< JSON text; empty when deleted.
  bool deleted = false;
};

/// Checks that a key has at most kMaxObjectKeyBytes and consists of non-empty
/// segments of `[a-z0-9._@-]` separated by `/`.
status CheckObjectKey(std::string_view key);

/// Whether a conditional write took effect.
enum class write_verdict {
  kWritten,
  kConflict,  ///< The revision differs; nothing was written.
  kNotFound,  ///< There is no object to remove.
};

/// The result of a conditional write.
struct write_outcome {
  write_verdict verdict = write_verdict::kWritten;
  /// The new revision, or the existing one on conflict.
  uint64_t revision = kNoRevision;
};

/// Objects with revisions, changed only by conditional writes.
///
/// @code
/// object_store store;
/// write_outcome created = store.Put("config/main", "{}", kNoRevision).value();
/// store.Put("config/main", "{\"a\":1}", created.revision);
/// @endcode
class object_store {
 public:
  /// Returns the object, or nullptr when there is none or it was removed. The
  /// pointer is valid until the next write.
  const stored_object* Get(std::string_view key) const;

  /// Writes `value` if the object's revision is `expected`, or if there is no
  /// object and `expected` is kNoRevision. Returns an error if the key is
  /// invalid, or if the value is too large or not JSON.
  result<write_outcome> Put(std::string_view key, std::string_view value,
                            uint64_t expected);

  /// Removes the object if its revision is `expected`. The removal gets a
  /// revision of its own, as any other write.
  write_outcome Remove(std::string_view key, uint64_t expected);

  /// Returns the latest state of each object that changed after revision
  /// `since`, including removed ones, in order of revision.
  std::vector<stored_object> Changes(uint64_t since) const;

  /// The revision of the latest write.
  uint64_t Revision() const { return revision_; }

 private:
  uint64_t Store(std::string_view key, std::string_view value, bool deleted);

  uint64_t revision_ = kNoRevision;
  std::map<std::string, stored_object, std::less<>> objects_;
  std::map<uint64_t, std::string> keys_by_revision_;
};

/// Identifies a waiting watch.
using watch_ticket = uint64_t;

/// Watches that wait for the next write.
class watch_list {
 public:
  /// Adds a watch that waits for a revision above `since` until `now + wait`.
  watch_ticket Add(uint64_t since, duration wait, time_point now);

  /// Removes a watch whose caller has disconnected.
  void Remove(watch_ticket ticket) { watches_.erase(ticket); }

  /// Removes and returns the watches to be answered: those with `since` below
  /// `revision`, and those whose wait has ended.
  std::vector<watch_ticket> TakeDue(uint64_t revision, time_point now);

  /// The earliest end of a wait; time_point::max() if no watch waits.
  time_point NextTimeout() const;

 private:
  struct watch {
    uint64_t since;
    time_point deadline;
  };

  watch_ticket last_ticket_ = 0;
  std::map<watch_ticket, watch> watches_;
};

/// A token bucket that limits calls to `rate` per second. Its capacity, the
/// largest burst, is the number of calls of one second.
class token_bucket {
 public:
  /// `rate` is in calls per second; 0 refuses all calls.
  token_bucket(double rate, time_point start);

  /// Takes one token, or returns false if there is none.
  bool TryTake(time_point now);

 private:
  double calls_per_second_;
  double tokens_;
  time_point last_refill_time_;
};

/// The kinds of calls, which have separate rate limits.
enum class call_kind { kRead, kWrite };

/// Numbers of calls since the start.
struct call_counts {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;  ///< Calls for changes that had to wait.
  uint64_t refused = 0;  ///< Calls over a rate limit.
};

/// Counts calls and refuses those over the rate limits.
class call_meter {
 public:
  call_meter(double read_rate, double write_rate, time_point start);

  /// Counts a call. Returns false if it is over its kind's rate limit.
  bool Admit(call_kind kind, time_point now);

  /// Counts the latest admitted read as a watch instead, because it has to
  /// wait.
  void RecountReadAsWatch();

  const call_counts& Counts() const { return counts_; }

 private:
  token_bucket read_limiter_;
  token_bucket write_limiter_;
  call_counts counts_;
};

/// One entry of the platform's list of hosts.
struct listed_host {
  std::string name{};
  std::string kind{};
  std::string zone{};
  std::string state = "live";  ///< "live" or "leaving".
};

/// Parses the body of `PUT /admin/hosts/NAME`.
result<listed_host> ParseListedHost(std::string_view name,
                                    std::string_view text);

/// The platform's list of hosts. Each change becomes visible only after a lag.
class host_list {
 public:
  explicit host_list(duration lag) : visibility_lag_(lag) {}

  /// Adds or replaces a host; the change is visible from `now` plus the lag.
  void Put(listed_host host, time_point now);

  /// Returns the hosts visible at `now`, sorted by name.
  std::vector<listed_host> Visible(time_point now);

 private:
  struct pending_change {
    time_point visible_at;
    listed_host host;
  };

  duration visibility_lag_;
  std::deque<pending_change> pending_;
  std::map<std::string, listed_host> visible_;
};

/// Faults that a test injects while the platform runs.
struct platform_faults {
  bool down = false;               ///< Closes connections without an answer.
  int64_t slow_ms = 0;             ///< Delay added to each answer.
  int64_t lose_write_answers = 0;  ///< Next writes that get no answer.
  std::vector<std::string> drop_clients{};  ///< Zones that are cut off.

  /// Whether a call from `zone` is cut off; "" if the caller gave no zone.
  bool DropsCallsFrom(std::string_view zone) const;

  /// Decrements lose_write_answers. Returns false if it was 0 already.
  bool ConsumeLostWriteAnswer();
};

/// Parses the body of `POST /admin/faults`. Fields that it lacks keep the
/// values of `faults`, the current faults.
result<platform_faults> ParsePlatformFaults(std::string_view text,
                                            platform_faults faults);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_OBJECT_STORE_H_
