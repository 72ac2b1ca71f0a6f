#ifndef FOXTAILSPREAD_ENTRY_HOST_H_
#define FOXTAILSPREAD_ENTRY_HOST_H_

/// @file
/// All decisions of one entry host: events and the time go in, actions come
/// out. The same events at the same times give the same actions.

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

/// What an entry host is told at its start.
struct host_identity {
  host_entry self;                ///< With a life no former start had.
  std::string deployment;         ///< The only one whose configuration counts.
  std::vector<host_entry> seeds;  ///< Hosts to ask while the platform is down.
  action_secret secret;
};

/// The platform's key of the configuration.
inline constexpr std::string_view kConfigKey = "config";
/// The prefix of the platform's keys of drains ordered by operators.
inline constexpr std::string_view kDrainKeyPrefix = "drains/";

/// The decisions of one entry host.
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

  /// Takes one event in and appends the actions it leads to. Times never go
  /// back. A tick is due every few milliseconds.
  void Handle(const host_event& event, time_point now, action_list& out);

  /// True when the balancer should send callers here.
  bool Ready(time_point now) const;
  /// True when this host has a configuration that it may act on.
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

  /// Returns what ended since the last call.
  std::vector<request_report> TakeReports() { return front_.TakeReports(); }

 private:
  void OnTick(time_point now, steward_output& out);
  void OnPeer(const peer_message& message, time_point now, steward_output& out);
  void OnLeave(time_point now);
  void TakeNews(const std::vector<object_change>& news, time_point now,
                action_list& out);
  void TakeConfig(const object_change& change, time_point now,
                  action_list& out);
  void Relay(const std::vector<object_change>& news, uint64_t since,
             std::string_view except);
  void Reconfigure(time_point now);
  void RegisterSelf(time_point now, action_list& out);
  void Greet(time_point now);
  void TickLeaving(time_point now, steward_output& out);
  void Flush(action_list& out);
  void NoteLeaving();
  target_notices Notices() const;

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
  std::set<std::string> listed_leaving_;  ///< By the platform.
  time_point next_hello_{};
  std::optional<time_point> first_peer_batch_;
  bool started_ = false;
  bool leaving_ = false;
  bool stopped_ = false;
  time_point leaving_since_{};
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_ENTRY_HOST_H_
