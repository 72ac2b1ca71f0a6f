#ifndef FOXTAILSPREAD_LOAD_LOAD_BOARD_H_
#define FOXTAILSPREAD_LOAD_LOAD_BOARD_H_

/// @file
/// Sums the requests of all hosts at each target, at the host that tells them
/// all.
///
/// Load pattern: dozens of hosts share the few slots of a target, and each
/// sends it a request every few seconds. See target_load.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxtailspread/host_messages.h"
#include "foxtailspread/load/load_samples.h"
#include "foxtailspread/reported_load.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// Returns how long a host counts after its last record, which is lost, late or
/// the last one: some records may be lost, but requests of a host that is gone
/// are at no target.
duration HostLoadTtl(size_t host_count);

/// Events per second over about the last second.
class event_rate {
 public:
  void Add(uint32_t count, time_point now);
  double PerSecond(time_point now) const;

 private:
  double Weight(time_point now) const;

  double sum_ = 0.0;  ///< Of the events, each by its age.
  time_point updated_at_{};
  std::optional<time_point> started_at_;
};

/// The loads of all targets, from what all hosts tell.
///
/// A board that begins knows only some of the hosts and sums nothing until each
/// of the others has had the time to report or to be dropped.
///
/// @code
/// board.OnRecord(record_of_a_host, now);
/// Broadcast(board.TakeChanged(now));
/// @endcode
class load_board {
 public:
  /// Sets the number of hosts that may report.
  void SetHostCount(size_t hosts) { host_count_ = hosts; }

  /// Takes what one host tells; a record that is doubled or older than another
  /// one of the host changes nothing.
  void OnRecord(const loads_record& record, time_point now);
  /// Returns the loads that changed since the last call, and those that were
  /// not told for a while, as a datagram may be lost: those told longest ago if
  /// there are more than fit in one.
  loads_record TakeChanged(time_point now);
  /// Forgets everything, as this host tells the others no more.
  void Clear() { *this = load_board{}; }

  /// Number of hosts whose requests count now.
  size_t reporting_hosts() const { return hosts_.size(); }
  /// Whether nothing is left to tell.
  bool empty() const { return hosts_.empty() && targets_.empty(); }

 private:
  struct host_requests {
    uint64_t sequence = 0;
    time_point heard_at{};
    std::vector<activity_sample> at_targets;
  };
  struct target_state {
    int64_t in_flight = 0;  ///< Sum over all hosts.
    event_rate served;
    event_rate rejected;
    double latency_us = 0.0;  ///< 0 if not known.
    int reported = 0;         ///< Requests at the target as it reported them.
    std::optional<time_point> reported_at;
    time_point named_at{};  ///< When a host last told of the target.
    load_sum told{};
    std::optional<time_point> told_at;
  };

  void RemoveRequests(const host_requests& former);
  /// Begins anew after a stall of this host, in which the records of most hosts
  /// were lost.
  void NoteActivity(time_point now);
  void DropLateHosts(time_point now);
  static load_sum Sum(uint32_t target, const target_state& state,
                      time_point now);

  size_t host_count_ = 1;
  std::optional<time_point> began_at_;
  time_point active_at_{};  ///< Of the last record or TakeChanged().
  std::map<std::string, host_requests> hosts_;
  std::unordered_map<uint32_t, target_state> targets_;
  load_aggregator reported_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_LOAD_LOAD_BOARD_H_
