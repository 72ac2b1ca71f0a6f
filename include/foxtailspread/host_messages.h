#ifndef FOXTAILSPREAD_HOST_MESSAGES_H_
#define FOXTAILSPREAD_HOST_MESSAGES_H_

/// @file
/// Datagrams between hosts. All are hints: one that is lost is made up for by
/// the next, and nothing that must hold depends on one arriving.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "foxtailspread/error.h"
#include "foxtailspread/evacuations.h"
#include "foxtailspread/poison_guard.h"
#include "foxtailspread/target_entry.h"
#include "foxtailspread/time.h"
#include "foxtailspread/told_load.h"

namespace foxtailspread {

/// Requests by key; keys without any are left out.
struct service_load {
  std::string service;
  std::vector<std::pair<uint32_t, uint32_t>> keys;

  bool operator==(const service_load&) const = default;
};

/// What a target's requests told one host.
struct target_latency {
  std::string target;
  uint32_t latency_us = 0;  ///< Mean time to an answer.
  uint32_t served = 0;      ///< Requests that it is the mean of.

  bool operator==(const target_latency&) const = default;
};

/// What a host tells the assigner of keys again and again: that it is there,
/// what it knows, which keys were asked for and how fast their owners were.
struct load_report {
  std::string host;
  std::string zone;
  std::string address;     ///< Where it takes datagrams.
  double link_mbps = 0.0;  ///< What its link carries; 0 if not known.
  /// The newest record of the assigner's lease that it has read.
  uint64_t lease_revision = 0;
  std::vector<service_load> services;
  std::vector<target_latency> targets;
  /// Contents that it saw crash targets since its last report.
  std::vector<poison_mark> crashes{};

  bool operator==(const load_report&) const = default;
};

/// What a host's copy of the store amounts to, for comparison with another's.
struct store_view {
  uint64_t config_revision = 0;
  uint64_t targets = 0;  ///< Digest of what matters of the targets' entries.
  uint64_t owners = 0;   ///< Digest of the records of keys and of the lease.
  uint32_t age_ms = 0;   ///< The copy holds all that the store had by then.

  bool operator==(const store_view&) const = default;
};

/// Until when a view that arrived at `now` spares a host its own calls; nothing
/// if it is too old to vouch for anything. `drain` is how long a leaving target
/// may still get requests after its word.
std::optional<time_point> VouchedUntil(const store_view& view, duration drain,
                                       time_point now);

/// The assigner's sign of life. It reads the store for all hosts: those whose
/// copies are the same need not ask. Each call of the store is paid for, and a
/// thousand hosts that watch it would be its main load.
struct assigner_heartbeat {
  std::string host;
  uint64_t lease_revision = 0;
  std::vector<std::string> successors;  ///< The first in line first.
  std::optional<store_view> view{};     ///< Absent if it is not up to date.
  std::vector<poison_mark> crashes{};   ///< Contents that crash targets.
  /// Hosts that share what all of them may use together: the lease names their
  /// number too, but is not read again while heartbeats come.
  size_t hosts = 1;
  /// Absent if the holder has not read them.
  std::optional<evacuation_view> evacuated{};

  bool operator==(const assigner_heartbeat&) const = default;
};

/// What changed in a record of keys, sent by the host that wrote it to the
/// store, to spare the others a call. One that is lost shows in the next
/// heartbeat. Whole records would fill the links of small hosts: 20 KB each to
/// a hundred hosts with each change.
struct owners_record {
  std::string service;
  uint64_t base = 0;      ///< The revision that the changes are to; 0 for none.
  uint64_t revision = 0;  ///< Of the record in the store.
  std::string content;    ///< As FormatKeyMap wrote it.

  bool operator==(const owners_record&) const = default;
};

/// One target's entry that changed in the store's list.
struct shared_entry {
  std::string name;
  uint64_t revision = 0;  ///< Of the entry in the store.
  bool deleted = false;
  /// Absent if the entry was deleted or cannot be read.
  std::optional<target_entry> entry{};

  bool operator==(const shared_entry&) const = default;
};

/// What changed in the list of targets, sent by the host that reads the store
/// for all: each host listing them again would cost a call a host and, at a
/// thousand targets, a megabyte. A host whose copy is another one than `before`
/// leaves it aside and finds out by the next heartbeat.
struct targets_record {
  uint64_t before = 0;  ///< Digest of the list that the changes are to.
  uint32_t age_ms = 0;  ///< Of the copy with the changes.
  std::vector<shared_entry> changes;

  bool operator==(const targets_record&) const = default;
};

/// What an object of the store says of.
enum class shared_kind : uint8_t {
  kDeclarations,  ///< The operator's desired configuration.
  kOwn,           ///< An object of the system's own.
};

/// An object that its sender wrote to the store or read there a moment ago, to
/// spare all others a call.
struct shared_object {
  shared_kind kind = shared_kind::kOwn;
  std::string name;
  uint64_t revision = 0;  ///< Of the object in the store.
  std::string content;    ///< JSON, as the store has it.

  bool operator==(const shared_object&) const = default;
};

/// One host, as others reach it.
struct host_contact {
  std::string name;
  std::string zone;
  std::string address;     ///< Where it takes datagrams.
  double link_mbps = 0.0;  ///< What its link carries; 0 if not known.

  bool operator==(const host_contact&) const = default;
};

/// The hosts that report to the holder of the lease. Its successors need them:
/// one that knows no host is silent until all of them have read in the store
/// who holds the lease now.
struct hosts_record {
  std::vector<host_contact> hosts;

  bool operator==(const hosts_record&) const = default;
};

/// Loads that targets told: to the holder of the lease what one host heard,
/// from it what all hosts did.
struct loads_record {
  std::vector<load_sample> loads;

  bool operator==(const loads_record&) const = default;
};

/// A datagram that its receiver takes and passes on to other hosts of its zone.
struct relayed_message {
  std::vector<std::string> forward_to;
  std::string payload;  ///< A message as FormatHostMessage wrote it.

  bool operator==(const relayed_message&) const = default;
};

using host_message =
    std::variant<load_report, assigner_heartbeat, owners_record, targets_record,
                 shared_object, hosts_record, loads_record, relayed_message>;

/// Writes a message as one datagram and reads it back.
std::string FormatHostMessage(const host_message& message);
result<host_message> ParseHostMessage(std::string_view bytes);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_HOST_MESSAGES_H_
