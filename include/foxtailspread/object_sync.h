#ifndef FOXTAILSPREAD_OBJECT_SYNC_H_
#define FOXTAILSPREAD_OBJECT_SYNC_H_

/// @file
/// Keeps a host's copy of the platform's objects up to date with few calls.
///
/// One host of each zone, the watcher, keeps a watch open on the platform; the
/// other hosts receive its changes, relayed from neighbour to neighbour.
/// Relayed messages may be lost: a host that missed one sees from the revision
/// in the next hello message that it is behind, and requests the changes. The
/// watcher announces its progress in a beacon, together with the names that the
/// platform lists as leaving. Hosts that receive no beacon for a while start a
/// watch of their own, in the order of their ranks.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/host_io.h"
#include "foxtailspread/object_cache.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Timeouts and periods of the synchronisation.
struct sync_timing {
  duration watch_wait{std::chrono::seconds{2}};  ///< Longest wait of a watch.
  duration beacon_silence{
      std::chrono::seconds{5}};  ///< Rank 0 takes over then.
  /// Each further rank waits this much longer before it takes over.
  duration rank_stagger{std::chrono::seconds{1}};
  /// Time between two reads of the platform's list of hosts.
  duration list_period{std::chrono::milliseconds{1500}};
  /// Delay after the first failed call; doubled with each further failure.
  duration retry_first{std::chrono::milliseconds{100}};
  duration retry_most{std::chrono::seconds{2}};  ///< Longest retry delay.
};

/// Exponential backoff: doubles the retry delay with each failure.
class backoff {
 public:
  backoff(duration first, duration most)
      : initial_delay_(first), max_delay_(most) {}

  /// Records a failure and returns the delay before the next attempt.
  duration RecordFailure();
  void RecordSuccess() { delay_ = duration{0}; }

 private:
  duration initial_delay_;
  duration max_delay_;
  duration delay_{0};
};

/// The object cache, the watch and the conditional writes of one host.
class object_sync {
 public:
  object_sync(std::string host, std::string zone, sync_timing timing);

  /// Starts a watch if it is this host's turn, and reads the list of hosts if
  /// this host is the watcher. `rank` is its position among the hosts of its
  /// zone.
  void Tick(time_point now, size_t rank, action_list& out);

  /// Handles the end of a platform call that this class started. Returns the
  /// changes that the cache did not have yet.
  std::vector<object_change> OnPlatformEnded(const platform_ended& ended,
                                             time_point now);

  /// Applies a batch relayed by a neighbour. Returns the changes that the
  /// cache did not have yet.
  std::vector<object_change> OnRelayed(const change_batch& batch);

  /// Handles a received beacon. Returns true if it replaced the current one
  /// and has to be relayed.
  bool OnBeacon(const watch_beacon& beacon, time_point now);
  /// Returns the newest beacon of this zone, if any.
  const std::optional<watch_beacon>& beacon() const { return beacon_; }
  /// True when `beacon()` changed since the last call.
  bool TakeBeaconChanged();

  /// Writes `value` to `key` on the condition that the cached revision is still
  /// the platform's. At most one call per key is in flight. A failed write is
  /// not retried by itself: the caller calls again. After a write without an
  /// answer, calls read the object until a read succeeds, and only then write
  /// again. Returns false if nothing was sent because a call is in flight or a
  /// retry delay is running.
  bool Write(std::string_view key, std::string value, time_point now,
             action_list& out);

  const object_cache& cache() const { return cache_; }
  /// True once this process has read all objects from the platform itself.
  bool synced() const { return synced_; }
  /// True if the platform answered this host's last call.
  bool platform_answers() const { return platform_answers_; }
  /// The number of platform calls started so far.
  uint64_t calls() const { return next_call_id_ - 1; }

 private:
  struct write_state {
    uint64_t call_id = 0;          ///< 0 if no call is in flight.
    bool must_read_first = false;  ///< The last write may have taken effect.
    time_point next_attempt_time{};
    backoff retry_backoff;
  };

  bool IsWatcher() const { return beacon_ && beacon_->watcher == host_; }
  void StartWatch(time_point now, action_list& out);
  bool ShouldWatch(time_point now, size_t rank) const;
  std::vector<object_change> OnWatchEnded(const platform_ended& ended,
                                          time_point now);
  std::vector<object_change> OnWriteCallEnded(const std::string& key,
                                              const platform_ended& ended,
                                              time_point now);

  std::string host_;
  std::string zone_;
  sync_timing timing_;
  object_cache cache_;
  std::optional<watch_beacon> beacon_;
  bool beacon_changed_ = false;
  time_point last_beacon_time_{};
  bool started_ = false;
  bool synced_ = false;
  bool platform_answers_ = false;
  uint64_t next_call_id_ = 1;
  uint64_t watch_call_id_ = 0;
  uint64_t list_call_id_ = 0;
  time_point next_list_time_{};
  time_point next_watch_time_{};
  backoff watch_backoff_;
  std::map<std::string, write_state, std::less<>> writes_;
  std::map<uint64_t, std::string> write_calls_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_OBJECT_SYNC_H_
