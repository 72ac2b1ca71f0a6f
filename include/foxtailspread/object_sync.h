#ifndef FOXTAILSPREAD_OBJECT_SYNC_H_
#define FOXTAILSPREAD_OBJECT_SYNC_H_

/// @file
/// Keeps a host's copy of the platform's objects up to date with few calls.
///
/// One host of each zone holds the platform's watch; the others get what it
/// learns from their neighbours. A relayed message is a hint: whoever misses
/// it sees from the next greeting's revision that it is behind, and asks. The
/// watcher's progress travels as a beacon, with the names that the platform
/// lists as leaving; hosts that see none for a while start a watch of their
/// own, the first in rank first.

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

/// The times of the watch.
struct sync_timing {
  duration watch_wait{std::chrono::seconds{2}};      ///< Of one waiting watch.
  duration beacon_silence{std::chrono::seconds{5}};  ///< Then rank 0 watches.
  duration rank_stagger{std::chrono::seconds{1}};
  duration list_period{
      std::chrono::milliseconds{1500}};  ///< Of the list of hosts.
  duration retry_first{std::chrono::milliseconds{100}};
  duration retry_most{std::chrono::seconds{2}};
};

/// Grows the pause between attempts at something that keeps failing.
class backoff {
 public:
  backoff(duration first, duration most) : first_(first), most_(most) {}

  /// Notes a failure; the next attempt is due after the returned pause.
  duration Fail();
  void Succeed() { pause_ = duration{0}; }

 private:
  duration first_;
  duration most_;
  duration pause_{0};
};

/// The copy, the watch and the conditional writes of one host.
class object_sync {
 public:
  object_sync(std::string host, std::string zone, sync_timing timing);

  /// Starts, keeps or drops the watch. `rank` is this host's position among
  /// the hosts of its zone.
  void Tick(time_point now, size_t rank, action_list& out);

  /// Takes the end of one of this object's calls in. Returns the news.
  std::vector<object_change> OnPlatform(const platform_ended& ended,
                                        time_point now);

  /// Takes a neighbour's batch in. Returns the news.
  std::vector<object_change> OnRelayed(const change_batch& batch);

  /// Takes a beacon in. Returns true when it was news, to be passed on.
  bool OnBeacon(const watch_beacon& beacon, time_point now);
  /// Returns the newest beacon of this zone, if any.
  const std::optional<watch_beacon>& beacon() const { return beacon_; }
  /// True when `beacon()` changed since the last call.
  bool TakeBeaconNews();

  /// Writes `value` to `key` if what is known of it is still current there.
  /// At most one write of a key is under way; failed ones are retried only by
  /// calling again, after the answer to a read told what stands there. Returns
  /// false when nothing was sent because a write or a pause is under way.
  bool Write(std::string_view key, std::string value, time_point now,
             action_list& out);

  const object_cache& cache() const { return cache_; }
  /// True once the whole content was read from the platform in this life.
  bool synced() const { return synced_; }
  /// True while this host's own last call of the platform succeeded.
  bool platform_answers() const { return platform_answers_; }
  /// The number of calls sent so far.
  uint64_t calls() const { return next_call_ - 1; }

 private:
  struct write_state {
    uint64_t call_id = 0;  ///< 0 when none is under way.
    bool must_read = false;
    time_point not_before{};
    backoff pause;
  };

  bool IsWatcher() const { return beacon_ && beacon_->watcher == host_; }
  void StartWatch(time_point now, action_list& out);
  bool ShouldWatch(time_point now, size_t rank) const;
  std::vector<object_change> OnWatch(const platform_ended& ended,
                                     time_point now);
  std::vector<object_change> OnWritten(const std::string& key,
                                       const platform_ended& ended,
                                       time_point now);

  std::string host_;
  std::string zone_;
  sync_timing timing_;
  object_cache cache_;
  std::optional<watch_beacon> beacon_;
  bool beacon_news_ = false;
  time_point beacon_at_{};
  bool started_ = false;
  bool synced_ = false;
  bool platform_answers_ = false;
  uint64_t next_call_ = 1;
  uint64_t watch_call_ = 0;
  uint64_t list_call_ = 0;
  time_point next_list_{};
  time_point watch_not_before_{};
  backoff watch_pause_;
  std::map<std::string, write_state, std::less<>> writes_;
  std::map<uint64_t, std::string> write_calls_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_OBJECT_SYNC_H_
