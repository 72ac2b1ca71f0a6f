#ifndef FOXTAILSPREAD_RANGE_TABLE_H_
#define FOXTAILSPREAD_RANGE_TABLE_H_

/// @file
/// All ranges as one entry host sees them: which hosts are their stewards,
/// and, for the ranges of its own zone, this host's authority and its state as
/// a steward.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/authority.h"
#include "foxtailspread/config.h"
#include "foxtailspread/host_io.h"
#include "foxtailspread/object_sync.h"
#include "foxtailspread/peer_directory.h"
#include "foxtailspread/range_steward.h"
#include "foxtailspread/roster_policy.h"

namespace foxtailspread {

/// Intervals and timeouts of an entry host's decisions.
struct decision_timing {
  authority_timing authority;
  lease_timing lease;
  sync_timing sync;
  /// Interval between messages to each neighbouring host, sent even if nothing
  /// has changed.
  duration hello{std::chrono::milliseconds{250}};
  /// A host not heard from for this long loses its place in a roster. Half of
  /// it already excludes a host from joining one.
  duration peer_silence{std::chrono::seconds{3}};
  /// Delay between the first configuration of a range and the first attempt
  /// to write its record.
  duration first_record_wait{std::chrono::milliseconds{300}};
  /// Additional delay for each host of the zone that ranks before this one, so
  /// that the hosts do not write the same record at once.
  duration rank_stagger{std::chrono::milliseconds{200}};
  /// Minimum interval between writes of the range's record for a changed map.
  duration map_record{std::chrono::seconds{1}};
  /// Minimum interval between notices of a changed map to the other members.
  duration map_notice{std::chrono::milliseconds{50}};
  /// Interval between checks of a roster that is not known to have changed.
  duration record_check{std::chrono::milliseconds{50}};
  /// How long the load balancer may continue to send requests to a host that
  /// reports that it is not ready.
  duration ready_lag{std::chrono::seconds{1}};
  /// A leaving host hands its ranges over after this time even if requests
  /// are still running.
  duration drain_limit{std::chrono::seconds{10}};
  /// How long a request waits for a steward before it fails.
  duration route_patience{std::chrono::milliseconds{1500}};
  /// Delay before the next attempt to reach a steward.
  duration route_retry{std::chrono::milliseconds{20}};
};

/// The pending message to each host, by host name. All parts of the host add
/// to it, so that a single message carries everything.
using peer_outbox = std::map<std::string, peer_message>;

/// State shared by the components of one entry host.
struct host_context {
  member self;
  std::string zone;
  decision_timing timing;
  action_secret secret;
  peer_directory& directory;
  object_sync& sync;
  promise_ledger& ledger;
  peer_outbox& outbox;
  id_source& ids;
};

/// The state of one range at this host.
struct range_state {
  std::string name;
  std::string service;
  std::string zone;
  size_t roster_offset =
      0;  ///< Rotation of the zone's hosts in the initial roster.
  std::optional<range_record> record;
  std::unique_ptr<range_authority> authority;  ///< In this host's zone only.
  std::unique_ptr<range_steward> steward;      ///< In this host's zone only.
  range_map newest_map;
  bool handed_over = false;        ///< By the former steward, to this host.
  bool renumbered = false;         ///< Got a new epoch while this host acted.
  std::string last_known_steward;  ///< The host that last answered as steward.
  /// Until then its steward counts as unreachable, and requests that may be
  /// served by any zone go elsewhere.
  time_point unreachable_until{};
  uint64_t announced_map_seq = 0;  ///< Of the map last sent to the members.
  time_point next_map_notice{};
  time_point next_record_write{};
  time_point next_record_check{};
  time_point configured_at{};  ///< When the range was first configured.
  time_point acting_since{};
  bool acting = false;  ///< This host is the steward now.
};

/// All ranges of the deployment.
class range_table {
 public:
  explicit range_table(host_context context) : context_(std::move(context)) {}

  /// Adds and removes ranges to match the configuration.
  void Configure(const deployment_config& config,
                 const target_status_source& notices, time_point now);

  /// Processes a change of the object `ranges/NAME`. For a malformed object it
  /// returns an error and keeps the last valid record.
  status OnRecord(const object_change& change, time_point now);

  /// Renews this host's authority, starts and stops its stewards and runs the
  /// steps that are due.
  void Tick(time_point now, steward_output& out);

  void OnPromiseAsk(const member& from, const promise_request& ask,
                    time_point now);
  void OnPromiseAnswer(const member& from, const promise_answer& answer,
                       time_point now);
  void OnRelease(const member& from, const range_release& release);
  void OnMapNotice(const range_map_notice& notice);
  void OnGrantEnded(const grant_ended& ended, time_point now,
                    steward_output& out);
  void OnAttemptEnded(const attempt_ended& ended, time_point now,
                      steward_output& out);
  /// Returns marks of request contents that crashed targets, for other hosts.
  std::vector<poison_mark> ExportPoison(time_point now) const;
  /// Adds marks of request contents that crashed targets at other hosts.
  void ImportPoison(std::span<const poison_mark> marks, time_point now);

  /// Hands over the ranges of which this host is steward, in a planned stop.
  /// A range with unfinished work is kept unless `force` is set; call again
  /// until AllHandedOver() returns true.
  void HandOver(time_point now, bool force, steward_output& out);
  /// True when this host is not the steward of any range.
  bool AllHandedOver() const;

  /// Returns the range of this name, nullptr if it is not configured.
  range_state* Find(std::string_view name);
  /// Returns the epoch of the first member of the range's roster, 0 if
  /// unknown.
  uint64_t FirstRosterEpoch(std::string_view name) const;
  const std::map<std::string, range_state, std::less<>>& ranges() const {
    return ranges_;
  }

 private:
  void TickAuthority(range_state& range, time_point now, steward_output& out);
  void TickRecord(range_state& range, time_point now, action_list& out);
  void AnnounceMap(range_state& range, time_point now);
  void AnnouncePoisonMarks(range_state& range, time_point now);
  roster_facts CollectRosterFacts(const range_state& range,
                                  time_point now) const;
  void WriteRecord(range_state& range, range_record record, time_point now,
                   action_list& out);

  host_context context_;
  std::map<std::string, range_state, std::less<>> ranges_;
  uint64_t write_count_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_TABLE_H_
