#ifndef FOXTAILSPREAD_RANGE_TABLE_H_
#define FOXTAILSPREAD_RANGE_TABLE_H_

/// @file
/// All ranges as one entry host sees them: who their stewards are, and, for
/// the ranges of its own zone, this host's part in their stewardship.

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

/// The times of an entry host's decisions.
struct decision_timing {
  authority_timing authority;
  lease_timing lease;
  sync_timing sync;
  duration hello{std::chrono::milliseconds{250}};
  /// A host unheard for so long joins no roster and loses its place in one.
  duration peer_silence{std::chrono::seconds{3}};
  duration first_record_wait{std::chrono::milliseconds{300}};
  duration rank_stagger{std::chrono::milliseconds{200}};
  duration map_record{std::chrono::seconds{1}};
  duration map_notice{std::chrono::milliseconds{50}};
  /// How often a roster that nothing is known to have changed is looked at.
  duration record_check{std::chrono::milliseconds{50}};
  /// How long the balancer may go on sending to a host that is not ready.
  duration ready_lag{std::chrono::seconds{1}};
  duration drain_limit{std::chrono::seconds{10}};
  /// How long a request waits for a steward before it is given up.
  duration route_patience{std::chrono::milliseconds{1500}};
  duration route_retry{std::chrono::milliseconds{20}};
};

/// Collects what is to be sent to each host, so that one message carries all.
using peer_outbox = std::map<std::string, peer_message>;

/// What the parts of one entry host share.
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

/// One range.
struct range_node {
  std::string name;
  std::string service;
  std::string zone;
  size_t offset = 0;  ///< Rotates the first roster over the zone's hosts.
  std::optional<range_record> record;
  std::unique_ptr<range_authority> authority;  ///< In this host's zone only.
  std::unique_ptr<range_steward> steward;      ///< In this host's zone only.
  range_map newest_map;
  bool handed_over = false;
  bool renumbered = false;   ///< Its steward, this host, got a new epoch.
  std::string hint;          ///< The host that last answered as steward.
  time_point avoid_until{};  ///< Its steward could not be reached lately.
  uint64_t noticed_map_seq = 0;
  time_point next_notice{};
  time_point next_record_write{};
  time_point next_record_check{};
  time_point first_wanted{};
  time_point acting_since{};
  bool acting = false;
};

/// All ranges of the deployment.
class range_table {
 public:
  explicit range_table(host_context context) : context_(std::move(context)) {}

  /// Makes the ranges match the configuration.
  void Configure(const deployment_config& config, const target_notices& notices,
                 time_point now);

  /// Takes a changed object `ranges/NAME` in; a malformed one is reported and
  /// the last good record stays.
  status OnRecord(const object_change& change, time_point now);

  /// Renews authority, begins and ends tenures, steps stewards.
  void Tick(time_point now, steward_output& out);

  void OnAsk(const member& from, const promise_ask& ask, time_point now);
  void OnAnswer(const member& from, const promise_answer& answer,
                time_point now);
  void OnRelease(const member& from, const range_release& release);
  void OnMap(const range_map_notice& notice);
  void OnGrant(const grant_ended& ended, time_point now, steward_output& out);
  void OnAttempt(const attempt_ended& ended, time_point now,
                 steward_output& out);
  /// Returns the marks of contents that crashed targets, for other hosts.
  std::vector<poison_mark> ExportPoison(time_point now) const;
  /// Takes the marks of contents that crashed targets elsewhere.
  void ImportPoison(std::span<const poison_mark> marks, time_point now);

  /// Hands every range over, in a planned stop. Repeated until Released().
  void HandOver(time_point now, bool force, steward_output& out);
  /// True when this host is steward of no range any more.
  bool Released() const;

  range_node* Find(std::string_view name);
  /// Returns the epoch of the first in the range's order, 0 if unknown.
  uint64_t FirstEpoch(std::string_view name) const;
  const std::map<std::string, range_node, std::less<>>& ranges() const {
    return ranges_;
  }

 private:
  void TickAuthority(range_node& node, time_point now, steward_output& out);
  void TickRecord(range_node& node, time_point now, action_list& out);
  void TickMap(range_node& node, time_point now);
  void TickPoison(range_node& node, time_point now);
  roster_facts Facts(const range_node& node, time_point now) const;
  void WriteRecord(range_node& node, range_record record, time_point now,
                   action_list& out);

  host_context context_;
  std::map<std::string, range_node, std::less<>> ranges_;
  uint64_t marks_ = 0;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_RANGE_TABLE_H_
