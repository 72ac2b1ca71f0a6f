#ifndef FOXTAILSPREAD_ENTRY_HOST_H_
#define FOXTAILSPREAD_ENTRY_HOST_H_

/// @file
/// The decision logic of one entry host as a deterministic state machine:
/// events with their times go in, actions come out. The same events at the same
/// times give the same actions.

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailspread/config.h"
#include "foxtailspread/host_io.h"
#include "foxtailspread/object_sync.h"
#include "foxtailspread/peer_directory.h"
#include "foxtailspread/range_table.h"
#include "foxtailspread/request_front.h"

namespace foxtailspread {

/// The start parameters of an entry host.
struct host_identity {
  host_entry self;  ///< Its `life` differs in every start.
  /// Configurations of other deployments are refused; empty accepts any.
  std::string deployment;
  std::vector<host_entry> seeds;  ///< Contacted while the platform is down.
  action_secret secret;
};

/// The key of the configuration in the platform's object store.
inline constexpr std::string_view kConfigKey = "config";
/// The prefix of the keys of drains that operators ordered.
inline constexpr std::string_view kDrainKeyPrefix = "drains/";

/// The decision logic of one entry host.
///
/// @code
/// entry_host host(identity, timing);
/// action_list actions;
/// host.Handle(tick_event{}, Now(), actions);
/// for (const host_action& action : actions) CarryOut(action);
/// @endcode
class entry_host {
 public:
  entry_host(const host_identity& identity, const decision_timing& timing);
  entry_host(const entry_host&) = delete;
  entry_host& operator=(const entry_host&) = delete;

  /// Handles one event and appends the resulting actions to `out`. `now` must
  /// not decrease from call to call. Send a tick every few milliseconds.
  void Handle(const host_event& event, time_point now, action_list& out);

  /// True if the load balancer should send callers to this host.
  bool Ready(time_point now) const;
  /// True if this host has a configuration that is recent enough to act on.
  bool HasCurrentConfig(time_point now) const;

  /// The configuration in force, or nullptr.
  const deployment_config* config() const {
    return config_ ? &*config_ : nullptr;
  }
  const range_table& ranges() const { return ranges_; }
  const peer_directory& directory() const { return directory_; }
  const object_sync& sync() const { return sync_; }
  size_t RequestsInFlight() const { return front_.size(); }
  bool leaving() const { return leaving_; }

  /// Returns reports of the requests that ended since the last call.
  std::vector<request_report> TakeReports() { return front_.TakeReports(); }

 private:
  void OnTick(time_point now, steward_output& out);
  void OnPeer(const peer_message& message, time_point now, steward_output& out);
  void StartLeaving(time_point now);
  void ApplyChanges(const std::vector<object_change>& news, time_point now,
                    action_list& out);
  void ApplyConfig(const object_change& change, time_point now,
                   action_list& out);
  void RelayChanges(const std::vector<object_change>& news, uint64_t since,
                    std::string_view excluded_host);
  void Reconfigure(time_point now);
  void RegisterSelf(time_point now, action_list& out);
  void SendHello(time_point now);
  void TickLeaving(time_point now, steward_output& out);
  void SendPeerMessages(action_list& out);
  void UpdateListedLeaving();
  target_status_source MakeTargetNotices() const;

  decision_timing timing_;
  host_entry self_;
  std::string deployment_;
  peer_directory directory_;
  object_sync sync_;
  promise_ledger ledger_;
  peer_outbox outbox_;
  id_source ids_;
  host_context context_;
  range_table ranges_;
  request_front front_;
  std::optional<deployment_config> config_;
  bool targets_changed_ = false;
  std::set<std::string> listed_leaving_;  ///< According to the platform.
  time_point next_hello_time_{};
  std::optional<time_point> first_peer_batch_time_;
  bool started_ = false;
  bool leaving_ = false;
  bool stopped_ = false;
  time_point leaving_since_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ENTRY_HOST_H_
