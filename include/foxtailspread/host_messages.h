#ifndef FOXTAILSPREAD_HOST_MESSAGES_H_
#define FOXTAILSPREAD_HOST_MESSAGES_H_

/// @file
/// Datagrams between hosts. All of them are hints: a later datagram makes up
/// for a lost one, and no guarantee depends on a datagram's arrival.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailspread/crash_mark.h"
#include "foxtailspread/error.h"
#include "foxtailspread/evacuations.h"
#include "foxtailspread/load/key_throttle.h"
#include "foxtailspread/load/load_samples.h"
#include "foxtailspread/permit_issuer.h"
#include "foxtailspread/reported_load.h"
#include "foxtailspread/store_revision.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/target_reach.h"
#include "foxtailspread/target_statements.h"
#include "foxtailspread/time.h"

namespace foxtailspread {

/// One service's requests by key, as (key, count) pairs. Keys without requests
/// are left out.
struct service_load {
  std::string service;
  std::vector<std::pair<uint32_t, uint32_t>> keys;

  bool operator==(const service_load&) const = default;
};

/// Latency of a target as one host measured it.
struct target_latency {
  std::string target;
  uint32_t latency_us = 0;  ///< Mean time to a response.
  uint32_t served = 0;      ///< Number of requests in the mean.

  bool operator==(const target_latency&) const = default;
};

/// Periodic report of a host to the key assigner: that it is alive, which lease
/// record it has read, how many requests each key got and how fast the targets
/// answered.
struct load_report {
  std::string host;
  std::string zone;
  std::string address;     ///< Where it receives datagrams.
  double link_mbps = 0.0;  ///< Capacity of its network link; 0 if unknown.
  /// Revision of the newest assigner lease record that it has read, in the
  /// newest era of the store that it knows of.
  store_revision lease_revision{};
  /// Holder and number of writes of the newest lease that it knows of from
  /// earlier eras; "" if none.
  std::string former_lease_host{};
  uint64_t former_lease_count = 0;
  uint64_t config_version = 0;  ///< Of the configuration in force; 0 if none.
  std::vector<service_load> services;
  std::vector<target_latency> targets;
  /// Crashes of targets that it has learnt of lately.
  crash_evidence crashes{};
  target_paths paths = target_paths::kAll;  ///< Which targets it reaches.

  bool operator==(const load_report&) const = default;
};

/// Summary of a host's copy of the store, for comparison with another host's.
struct store_view {
  store_revision config_revision{};
  uint64_t config_version = 0;  ///< Of the configuration in force.
  uint64_t targets_digest =
      0;  ///< Digest of the targets' entries, see DigestOf.
  uint64_t owners_digest =
      0;                ///< Digest of the key owner records and the lease.
  uint32_t age_ms = 0;  ///< Time since the copy was known to be current.

  bool operator==(const store_view&) const = default;
};

/// Returns until when a host whose copy matches `view`, received at `now`,
/// needs no store calls of its own; nothing if the view is too old for that.
/// `drain_timeout` is how long a target that has announced that it is draining
/// may still get requests.
std::optional<time_point> ViewValidUntil(const store_view& view,
                                         duration drain_timeout,
                                         time_point now);

/// Heartbeat of the key assigner, which reads the store on behalf of all hosts:
/// a host whose copy matches its view makes no store calls. Store calls are
/// billed, and watches by a thousand hosts would be most of the store's load.
struct assigner_heartbeat {
  std::string host;
  store_revision lease_revision{};
  std::vector<std::string> successors;  ///< In order of succession.
  std::optional<store_view> view{};     ///< Absent if its copy is outdated.
  crash_evidence crashes{};  ///< Request contents that crash targets.
  /// Number of hosts that share the limits for all hosts together. The lease
  /// holds this number as well, but hosts do not read it while heartbeats
  /// arrive.
  size_t host_count = 1;
  /// Absent if the lease holder has not read the evacuated zones.
  std::optional<evacuation_view> evacuated{};
  /// Statements of targets, for hosts that were not told when they changed.
  target_statements statements{};

  bool operator==(const assigner_heartbeat&) const = default;
};

/// Changes to one service's key owner record, sent by the host that wrote the
/// record to the store so that the others need no call. A receiver detects a
/// lost one by the next heartbeat. Only changes are sent since whole records,
/// 20 KB to a hundred hosts on each change, would saturate the links of small
/// hosts.
struct owners_record {
  std::string service;
  store_revision base_revision{};  ///< The changes apply to this, if any.
  store_revision revision{};       ///< Of the changed record in the store.
  std::string content;             ///< As formatted by FormatKeyMap.

  bool operator==(const owners_record&) const = default;
};

/// A changed entry of the store's list of targets.
struct shared_entry {
  std::string name;
  store_revision revision{};  ///< Of the entry in the store.
  bool deleted = false;
  /// Absent if the entry was deleted or cannot be parsed.
  std::optional<target_entry> entry{};

  bool operator==(const shared_entry&) const = default;
};

/// Changes to the list of targets, sent by the host that reads the store on
/// behalf of all. Listing the targets again would cost each host a call and, at
/// a thousand targets, a megabyte. A host whose copy does not have the digest
/// `base_digest` ignores the message and detects the difference by the next
/// heartbeat.
struct targets_record {
  uint64_t base_digest = 0;  ///< Of the list that the changes apply to.
  uint32_t age_ms = 0;       ///< Age of the sender's copy with the changes.
  uint64_t era = 0;          ///< Of the store, for all revisions.
  std::vector<shared_entry> changes;

  bool operator==(const targets_record&) const = default;
};

/// Kinds of store objects that hosts send to each other.
enum class shared_kind : uint8_t {
  kDeclarations,  ///< The operator's desired configuration.
  kSystem,        ///< An object that the hosts maintain themselves.
};

/// An object that the sender has just written to the store or read from it,
/// sent so that the other hosts need no call.
struct shared_object {
  shared_kind kind = shared_kind::kSystem;
  std::string name;
  store_revision revision{};  ///< Of the object in the store.
  std::string content;        ///< JSON, as in the store.

  bool operator==(const shared_object&) const = default;
};

/// How to reach one host.
struct host_contact {
  std::string name;
  std::string zone;
  std::string address;     ///< Where it receives datagrams.
  double link_mbps = 0.0;  ///< Capacity of its network link; 0 if unknown.

  bool operator==(const host_contact&) const = default;
};

/// The hosts that report to the lease holder, sent to its successors. A new
/// holder that knows no hosts cannot send anything until each of them has read
/// from the store who holds the lease.
struct hosts_record {
  std::vector<host_contact> hosts;

  bool operator==(const hosts_record&) const = default;
};

/// Loads of targets: from a host to the lease holder what targets reported to
/// it and its own requests, from the lease holder those of all hosts.
struct loads_record {
  std::vector<load_sample> loads{};  ///< As targets reported them.
  /// The host whose requests these are; empty if it tells none.
  std::string host{};
  uint64_t sequence = 0;  ///< Grows with each record of the host.
  /// All targets at which the host has requests, or had since the last record.
  std::vector<activity_sample> activity{};
  std::vector<load_sum> sums{};  ///< Over all hosts.

  bool operator==(const loads_record&) const = default;
};

/// Statements of targets that have changed: from a host to the lease holder
/// those that targets made to it, from the lease holder to all hosts.
struct statements_record {
  target_statements statements;

  bool operator==(const statements_record&) const = default;
};

/// Crashes of targets: from a host to the lease holder those that it has seen,
/// from the lease holder to all hosts.
struct crashes_record {
  crash_evidence evidence;

  bool operator==(const crashes_record&) const = default;
};

/// The hosts that reach targets, from the lease holder to a host that reports
/// that it doesn't.
struct relays_record {
  std::vector<std::string> addresses;  ///< Where they take relayed requests.

  bool operator==(const relays_record&) const = default;
};

/// Requests permits for a target with a limit from the lease holder.
struct permit_request {
  std::string address;  ///< Where the reply goes, "IP:port".
  uint64_t sequence = 0;
  limit_sample limit{};  ///< What the sender knows of the target's limit.
  permit_demand demand{};

  bool operator==(const permit_request&) const = default;
};

/// The lease holder's answer to a permit_request.
struct permit_reply {
  uint64_t sequence = 0;  ///< Of the request.
  limit_sample limit{};   ///< What the lease holder knows of the limit.
  permit_grant grant{};

  bool operator==(const permit_reply&) const = default;
};

/// The revision of an owner record that a host holds.
struct held_owners {
  std::string service;
  store_revision revision{};

  bool operator==(const held_owners&) const = default;
};

/// Asks the lease holder to repeat the announcements that the sender lacks.
struct repeat_request {
  std::string address;          ///< Where the repeats go, "IP:port".
  uint64_t config_version = 0;  ///< Of the configuration in force; 0 if none.
  std::string lease_host{};     ///< Lease holder that it has read; "" if none.
  std::vector<held_owners> owners;

  bool operator==(const repeat_request&) const = default;
};

/// A datagram that its receiver handles and forwards to other hosts of its
/// zone.
struct relayed_message {
  std::vector<std::string> forward_to;
  std::string payload;  ///< As formatted by FormatHostMessage.

  bool operator==(const relayed_message&) const = default;
};

using host_message =
    std::variant<load_report, assigner_heartbeat, owners_record, targets_record,
                 shared_object, hosts_record, loads_record, statements_record,
                 crashes_record, relays_record, permit_request, permit_reply,
                 repeat_request, relayed_message, key_throttles>;

/// Serialises a message as one datagram, and parses it.
std::string FormatHostMessage(const host_message& message);
result<host_message> ParseHostMessage(std::string_view bytes);

/// Returns the kind of a formatted message as it stands in the metrics.
std::string_view HostMessageKind(std::string_view bytes);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HOST_MESSAGES_H_
