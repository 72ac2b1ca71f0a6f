#include <algorithm>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <utility>

#include "foxtailspread/json_reader.h"
#include "foxtailspread/key_assigner.h"

// Takes, renews and releases the lease of the host that assigns keys, and
// handles its loss.

namespace foxtailspread {
namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;

/// Time between the holder's writes of the lease. Each write wakes the store
/// watch of every host, so that writes are rare; successors detect a lost
/// holder by its heartbeats, which are datagrams.
constexpr duration kLeaseRenewalPeriod{std::chrono::milliseconds{2000}};

/// A host that is not a successor takes the lease after it has seen no change
/// of it for this time by its own clock. This exceeds the lease term by much
/// more than the drift between two clocks in that time plus the transit time of
/// an answer from the store.
constexpr duration kTakeoverTimeout{std::chrono::milliseconds{6500}};

/// The holder sends a heartbeat each kHeartbeatPeriod and names up to
/// kMaxSuccessors successors in it. The first successor takes the lease
/// kHeartbeatTimeout after the last heartbeat that it received, which tolerates
/// the loss of three; each further one waits kSuccessorStagger longer than the
/// one before. Grants are valid for three seconds and are renewed every 0.8
/// seconds, so that all are still valid when a successor starts within 1.5
/// seconds.
constexpr duration kHeartbeatPeriod{std::chrono::milliseconds{250}};
constexpr size_t kMaxSuccessors = 3;
constexpr duration kHeartbeatTimeout{std::chrono::milliseconds{850}};
constexpr duration kSuccessorStagger{std::chrono::milliseconds{250}};

/// Upper bound of the delay by which hosts stagger their attempts to take a
/// free lease, so that all but the first see that it was taken and send no
/// request to the store.
constexpr duration kMaxTakeoverStagger{std::chrono::milliseconds{400}};

/// A host whose link has less than this bandwidth waits for an additional delay
/// before it takes a free lease, because the holder sends each change to all
/// hosts. Each change that is lost on a full link costs reads of the store and
/// requests that are sent to former owners.
constexpr double kMinHolderLinkMbps = 50.0;
constexpr duration kNarrowLinkTakeoverDelay{std::chrono::milliseconds{800}};

/// Delay before a write without an answer is sent again, with the same expected
/// revision and content. If the first write has taken effect, the second one
/// gets a conflict whose content shows that. If the first one is still in
/// transit, it fails because the revision has changed.
constexpr duration kWriteRetryDelay{std::chrono::milliseconds{250}};

/// Hosts that have not reported for this time are no longer counted.
constexpr duration kHostTimeout{std::chrono::seconds{4}};

/// Fraction of a limit that a holder whose lease has lapsed issues permits for
/// while another host may have taken the lease.
constexpr double kFractionAfterLapse = 0.5;

/// The longest time that a former holder can keep renewing its grants, used if
/// it is not known when it stopped.
constexpr duration kMaxRenewalTime = kLeaseTerm + kMaxRenewalAfterLapse;

/// Stands in a lease for former holders whose leases the store has lost.
constexpr std::string_view kUnknownHolder = "*";

/// Only hosts that have reported within this time are chosen as successors.
constexpr duration kSuccessorTimeout{std::chrono::milliseconds{2500}};

/// Only hosts that have reported within this time are used as relays of
/// datagrams. It tolerates the loss of two reports.
constexpr duration kRelayTimeout{std::chrono::milliseconds{800}};

/// Time between sending the list of hosts to the successors, and the time after
/// which a received list is out of date.
constexpr duration kHostsSharePeriod{std::chrono::seconds{1}};
constexpr duration kSharedHostsTtl{std::chrono::seconds{5}};

/// Formats the former holders and how much longer each may renew its grants,
/// for the log.
std::string DescribeFormerHolders(
    std::span<const former_holder> former_holders) {
  std::string text;
  for (const former_holder& former : former_holders) {
    text +=
        (text.empty() ? "" : ", ") + former.host + " " +
        std::to_string(ceil<milliseconds>(former.renewal_time_left).count()) +
        " ms";
  }
  return text;
}

}  // namespace

std::string FormatLease(const assigner_lease& lease) {
  nlohmann::json predecessors = nlohmann::json::array();
  for (const former_holder& former : lease.predecessors) {
    predecessors.push_back(
        {{"host", former.host},
         {"may_renew_ms",
          ceil<milliseconds>(former.renewal_time_left).count()}});
  }
  return nlohmann::json{{"host", lease.host},
                        {"address", lease.address},
                        {"renewal", lease.renewal_count},
                        {"released", lease.released},
                        {"hosts", lease.host_count},
                        {"predecessors", std::move(predecessors)},
                        {"era", lease.era}}
      .dump();
}

result<assigner_lease> ParseLease(std::string_view text) {
  const auto value = ParseJson(text);
  if (!value) {
    return value.error();
  }
  assigner_lease lease;
  object_reader reader(value.value());
  reader.Require({"host", "renewal"});
  reader.Read("host", lease.host);
  reader.Read("address", lease.address);
  reader.Read("renewal", lease.renewal_count);
  reader.Read("released", lease.released);
  reader.Read("hosts", lease.host_count);
  reader.Read("era", lease.era);
  reader.ReadList("predecessors", [&](object_reader& item) {
    former_holder& former = lease.predecessors.emplace_back();
    item.Require({"host", "may_renew_ms"});
    item.Read("host", former.host);
    item.ReadMilliseconds("may_renew_ms", former.renewal_time_left,
                          {duration{0}, kMaxRenewalTime});
  });
  if (const status read = reader.Finish(); !read) {
    return read.error();
  }
  return lease;
}

duration key_assigner::TakeoverDelay() const {
  const duration stagger = kMaxTakeoverStagger * (settings_.seed % 64) / 64;
  const bool narrow_link = settings_.link_mbps < kMinHolderLinkMbps;
  return stagger + (narrow_link ? kNarrowLinkTakeoverDelay : duration{0});
}

bool key_assigner::MayTakeLease(time_point now) const {
  if (!ready_since_) {
    return false;
  }
  const duration delay = TakeoverDelay();
  if (!lease_) {
    return now >= *ready_since_ + delay;
  }
  if (lease_->era != era_) {
    return MayTakeFirstLease(now);
  }
  if (lease_->host == settings_.host && !lease_->released) {
    // The lease is this host's own. It lapsed during a store outage or was held
    // by a previous process on this host.
    return true;
  }
  if (lease_->released) {
    return now >= lease_seen_at_ + delay / 4;
  }
  if (MaySucceed(now)) {
    return true;
  }
  return now >= lease_seen_at_ + kTakeoverTimeout + delay;
}

bool key_assigner::MayTakeFirstLease(time_point now) const {
  if (was_last_holder_) {
    return true;
  }
  // The last holder, which knows of all grants, gets time to go on.
  const time_point since =
      std::max(lease_seen_at_, era_began_at_.value_or(lease_seen_at_));
  return MaySucceed(now) || now >= since + kTakeoverTimeout + TakeoverDelay();
}

bool key_assigner::MaySucceed(time_point now) const {
  if (!last_heartbeat_ || last_heartbeat_->host != lease_->host) {
    return false;
  }
  const auto& successors = last_heartbeat_->successors;
  const auto own_position =
      std::find(successors.begin(), successors.end(), settings_.host);
  // A host that has just taken the lease gets time to send its first
  // heartbeats. Otherwise hosts that remember old heartbeats of each other
  // would repeatedly take the lease from one another.
  const time_point silent_since =
      std::max({last_heartbeat_at_, holder_changed_at_,
                era_began_at_.value_or(time_point{})});
  return own_position != successors.end() &&
         now >= silent_since + kHeartbeatTimeout +
                    kSuccessorStagger *
                        std::distance(successors.begin(), own_position);
}

void key_assigner::OnHeartbeat(const assigner_heartbeat& heartbeat,
                               time_point now) {
  // A former holder may send heartbeats until it learns that it was replaced.
  if (heartbeat.lease_revision < lease_revision_ && lease_ &&
      lease_->host != heartbeat.host) {
    return;
  }
  last_heartbeat_ = heartbeat;
  last_heartbeat_at_ = now;
  if (lease_ && lease_->host == heartbeat.host) {
    // Renewals of the lease are not read while heartbeats arrive. The lease may
    // also have changed hands and come back, so that `lease_` does not name all
    // hosts that may renew grants: a takeover reads it first.
    lease_seen_at_ = now;
    lease_revision_ = std::max(lease_revision_, heartbeat.lease_revision);
  }
}

double key_assigner::PermitFraction(time_point now) const {
  const bool took_lease =
      acquired_revision_.Exists() && lease_ && lease_->host == settings_.host;
  const bool has_successor =
      last_heartbeat_ && last_heartbeat_->host != settings_.host &&
      last_heartbeat_->lease_revision > lease_read_revision_;
  if (!took_lease || has_successor || stopping_) {
    return 0.0;
  }
  const size_t known = std::max(lease_->host_count, hosts_seen_.size());
  const auto reporting = std::count_if(
      hosts_seen_.begin(), hosts_seen_.end(), [now](const auto& name_and_host) {
        return now - name_and_host.second.last_seen <= kRelayTimeout;
      });
  const double fraction =
      static_cast<double>(reporting) / static_cast<double>(known);
  // Hosts that do not report may have another holder by now.
  const bool may_have_successor =
      !IsHolder(now) && static_cast<size_t>(reporting) < known;
  return may_have_successor ? fraction * kFractionAfterLapse : fraction;
}

size_t key_assigner::HostCount() const {
  const size_t recorded = lease_ ? lease_->host_count : 1;
  if (was_holder_) {
    return std::max(recorded, hosts_seen_.size());
  }
  return last_heartbeat_ ? std::max<size_t>(last_heartbeat_->host_count, 1)
                         : recorded;
}

/// Adds the latency that one host measured to the running mean, weighted by its
/// number of requests.
void key_assigner::AddLatency(target_state& target,
                              const target_latency& sample) {
  // The number of requests that the mean covers, which is a few seconds' worth
  // for a busy target.
  constexpr double kAveragedRequests = 40.0;
  const double weight = std::min(1.0, sample.served / kAveragedRequests);
  const double latency_us = sample.latency_us;
  target.latency_us =
      target.latency_us == 0.0
          ? latency_us
          : target.latency_us + weight * (latency_us - target.latency_us);
}

void key_assigner::OnReport(const load_report& report, time_point now) {
  hosts_seen_[report.host] = {.zone = report.zone,
                              .address = report.address,
                              .lease_revision = report.lease_revision,
                              .link_mbps = report.link_mbps,
                              .paths = report.paths,
                              .last_seen = now};
  // A former holder that has read this host's lease renews no more grants. The
  // same holds for a new process on the former holder's host.
  const auto former = predecessors_.find(report.host);
  if (was_holder_ && former != predecessors_.end() &&
      report.lease_revision >= acquired_revision_) {
    former->second = std::min(former->second, now);
  }
  if (!report.former_lease_host.empty()) {
    OnFormerLease(report.former_lease_host, report.former_lease_count, now);
  }
  const auto unknown = predecessors_.find(std::string{kUnknownHolder});
  if (was_holder_ && unknown != predecessors_.end() && AllHostsKnowLease(now)) {
    unknown->second = std::min(unknown->second, now);
  }
  for (const target_latency& sample : report.targets) {
    for (auto& [life, target] : targets_) {
      if (target.listed && target.entry.life.id == sample.target) {
        AddLatency(target, sample);
      }
    }
  }
  for (const service_load& load : report.services) {
    const auto found = services_.find(load.service);
    if (found == services_.end()) {
      continue;
    }
    for (const auto& [key, count] : load.keys) {
      found->second.load.Add(key, count);
    }
  }
}

/// Learns of a lease that another host knows of from an earlier era.
void key_assigner::OnFormerLease(std::string_view host, uint64_t count,
                                 time_point now) {
  // A host that holds the lease after this one did may have moved keys.
  const bool was_superseded = was_last_holder_ && host != settings_.host &&
                              count >= former_lease_count_;
  // This process has found no lease in the store because the store has lost it.
  const bool was_lost = !era_began_at_ && (!lease_ || began_without_lease_);
  if (!was_superseded && !was_lost) {
    return;
  }
  was_last_holder_ = false;
  if (was_lost) {
    era_began_at_ = now;
    predecessors_.emplace(kUnknownHolder, now + kMaxRenewalTime);
  }
  for (auto& [name, service] : services_) {
    service.distrusted = true;
    service.passed_barrier = false;
  }
}

/// Returns whether all hosts that may have held the lease before have read this
/// host's, so that none of them renews grants any more.
bool key_assigner::AllHostsKnowLease(time_point now) const {
  const auto informed = std::count_if(
      hosts_seen_.begin(), hosts_seen_.end(), [&](const auto& name_and_host) {
        const host_state& host = name_and_host.second;
        return now - host.last_seen <= kHostTimeout &&
               host.lease_revision >= acquired_revision_;
      });
  return hosts_at_acquisition_ &&
         static_cast<size_t>(informed) >=
             std::max(*hosts_at_acquisition_, hosts_seen_.size());
}

bool key_assigner::TrustsOwners(const keyed_service& service) const {
  return !service.distrusted && (service.map.era == era_ || was_last_holder_);
}

bool key_assigner::KnowsAllGrants(const keyed_service& service,
                                  time_point now) const {
  if (!TrustsOwners(service)) {
    return false;
  }
  const auto unknown = predecessors_.find(std::string{kUnknownHolder});
  return service.passed_barrier || unknown == predecessors_.end() ||
         now >= unknown->second;
}

void key_assigner::OnEra(uint64_t era, time_point now, assigner_actions& out) {
  if (era <= era_) {
    return;
  }
  const bool is_first = era_ == 0 && !lease_;
  era_ = era;
  lease_revision_ = {era, 0};
  lease_read_revision_ = {era, 0};
  if (is_first) {
    return;
  }
  era_began_at_ = now;
  if (lease_ && lease_->renewal_count >= former_lease_count_) {
    former_lease_host_ = lease_->host;
    former_lease_count_ = lease_->renewal_count;
  }
  if (was_holder_) {
    OnLeaseLapsed("the store has returned to a copy", out);
  }
  was_last_holder_ = now < renewing_until_ && !stopping_;
  held_until_ = {};
  lease_write_.reset();
  objects_read_ = false;
  synced_since_acquired_ = false;
  for (auto& [name, service] : services_) {
    service.record_write.reset();
    service.stored_revision = {era, 0};
  }
}

/// Returns the other hosts that have reported recently, by decreasing bandwidth
/// of their links. Hosts with narrow links are included only if no host has a
/// wide one.
std::vector<std::string> key_assigner::SuccessorCandidates(
    time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_seen_) {
    if (name != settings_.host && host.paths != target_paths::kNone &&
        now - host.last_seen <= kSuccessorTimeout) {
      names.push_back(name);
    }
  }
  std::stable_sort(names.begin(), names.end(),
                   [&](const std::string& a, const std::string& b) {
                     return hosts_seen_.at(a).link_mbps >
                            hosts_seen_.at(b).link_mbps;
                   });
  const auto has_wide_link = [&](const std::string& name) {
    return hosts_seen_.at(name).link_mbps >= kMinHolderLinkMbps;
  };
  if (!names.empty() && has_wide_link(names.front())) {
    names.erase(std::partition_point(names.begin(), names.end(), has_wide_link),
                names.end());
  }
  return names;
}

void key_assigner::ChooseSuccessors(time_point now) {
  const std::vector<std::string> candidates = SuccessorCandidates(now);
  // Successors stay chosen while they are candidates. Those with narrow links,
  // chosen when no other host had reported, are dropped when a host with a wide
  // link reports.
  std::erase_if(successors_, [&](const std::string& name) {
    return std::find(candidates.begin(), candidates.end(), name) ==
           candidates.end();
  });
  std::set<std::string> zones{settings_.zone};
  for (const std::string& name : successors_) {
    zones.insert(hosts_seen_[name].zone);
  }
  // First chooses one host in each other zone, so that the loss of a zone
  // removes only one successor, and then fills up with hosts in any zone.
  for (const bool any_zone : {false, true}) {
    for (const std::string& name : candidates) {
      const bool chosen = std::find(successors_.begin(), successors_.end(),
                                    name) != successors_.end();
      if (successors_.size() >= kMaxSuccessors || chosen ||
          (!any_zone && !zones.insert(hosts_seen_[name].zone).second)) {
        continue;
      }
      successors_.push_back(name);
    }
  }
}

void key_assigner::SendHeartbeat(time_point now, assigner_actions& out) {
  // Without the store this host can't move keys, without targets it can't renew
  // grants. It stops its heartbeats so that a successor takes over.
  if (now < next_heartbeat_at_ || !store_available_ ||
      paths_ == target_paths::kNone) {
    return;
  }
  next_heartbeat_at_ = now + kHeartbeatPeriod;
  ChooseSuccessors(now);
  const assigner_heartbeat heartbeat{.host = settings_.host,
                                     .lease_revision = lease_revision_,
                                     .successors = successors_,
                                     .host_count = HostCount()};
  out.emplace_back(heartbeat_action{heartbeat, OtherHosts(now)});
  ShareHosts(now, out);
}

void key_assigner::ShareHosts(time_point now, assigner_actions& out) {
  if (now < next_hosts_share_at_ || successors_.empty()) {
    return;
  }
  next_hosts_share_at_ = now + kHostsSharePeriod;
  hosts_record record;
  for (const auto& [name, host] : hosts_seen_) {
    record.hosts.push_back({name, host.zone, host.address, host.link_mbps});
  }
  for (const std::string& name : successors_) {
    out.emplace_back(share_hosts_action{hosts_seen_[name].address, record});
  }
}

void key_assigner::OnHosts(hosts_record record, time_point now) {
  shared_hosts_ = std::move(record);
  shared_hosts_at_ = now;
}

/// Adds the hosts that the former holder knew, until they report themselves.
void key_assigner::AdoptSharedHosts(time_point now) {
  if (now - shared_hosts_at_ > kSharedHostsTtl) {
    return;
  }
  for (const host_contact& host : shared_hosts_.hosts) {
    hosts_seen_.try_emplace(host.name, host_state{.zone = host.zone,
                                                  .address = host.address,
                                                  .link_mbps = host.link_mbps,
                                                  .last_seen = now});
  }
}

std::vector<std::string> key_assigner::HostsReachingTargets(size_t max_count,
                                                            time_point now) {
  std::vector<std::string> addresses;
  if (paths_ == target_paths::kAll) {
    addresses.push_back(settings_.address);
  }
  for (const auto& [name, host] : hosts_seen_) {
    if (name != settings_.host && host.paths == target_paths::kAll &&
        now - host.last_seen <= kRelayTimeout) {
      addresses.push_back(host.address);
    }
  }
  if (addresses.size() > max_count) {
    next_relay_ = (next_relay_ + max_count) % addresses.size();
    std::rotate(addresses.begin(),
                addresses.begin() + static_cast<std::ptrdiff_t>(next_relay_),
                addresses.end());
    addresses.resize(max_count);
  }
  return addresses;
}

std::vector<fanout_hop> key_assigner::OtherHosts(time_point now,
                                                 bool through_relays) const {
  std::vector<fanout_host> hosts;
  hosts.reserve(hosts_seen_.size());
  for (const auto& [name, host] : hosts_seen_) {
    if (name == settings_.host) {
      continue;
    }
    // Successors get heartbeats directly: one that misses them because its
    // relay is lost would take the lease from a live holder.
    const bool is_successor = std::find(successors_.begin(), successors_.end(),
                                        name) != successors_.end();
    hosts.push_back({.zone = host.zone,
                     .address = host.address,
                     .link_mbps = host.link_mbps,
                     .may_relay = now - host.last_seen <= kRelayTimeout,
                     .direct = is_successor});
  }
  // The route stays the same for a heartbeat period, so that changes sent in
  // quick succession arrive in order. A change that arrives before the one that
  // it is based on is ignored.
  const auto turn =
      static_cast<uint64_t>(now.time_since_epoch() / kHeartbeatPeriod);
  return PlanFanout(hosts, through_relays ? std::string_view{} : settings_.zone,
                    turn);
}

/// Updates the time since which this host has been able to take the lease. All
/// hosts receive the declarations at the same time, and each counts its own
/// takeover delay from then.
void key_assigner::UpdateReadiness(time_point now) {
  if (!objects_read_ || !store_available_ || stopping_ || !services_known_ ||
      paths_ == target_paths::kNone) {
    ready_since_.reset();
  } else if (!ready_since_) {
    ready_since_ = now;
  }
}

void key_assigner::UpdateLease(time_point now, assigner_actions& out) {
  UpdateReadiness(now);
  if (was_holder_ && !IsHolder(now)) {
    OnLeaseLapsed("lapsed, renews what it granted", out);
  }
  RetryWrite(lease_write_, now, out);
  if (was_holder_ && !stopping_) {
    SendHeartbeat(now, out);
  }
  if (lease_write_ || stopping_) {
    return;
  }
  if (was_holder_) {
    if (now >= next_lease_renewal_at_ && paths_ != target_paths::kNone) {
      std::erase_if(hosts_seen_, [&](const auto& entry) {
        return now - entry.second.last_seen > kHostTimeout;
      });
      assigner_lease next = *lease_;
      next.renewal_count = lease_->renewal_count + 1;
      next.host_count = std::max<size_t>(hosts_seen_.size(), 1);
      next.predecessors.clear();
      for (const auto& [name, stops_at] : predecessors_) {
        if (now < stops_at) {
          next.predecessors.push_back({name, stops_at - now});
        }
      }
      WriteLease(next, now, out);
    }
    return;
  }
  if (MayTakeLease(now)) {
    assigner_lease own_lease;
    own_lease.host = settings_.host;
    own_lease.address = settings_.address;
    own_lease.renewal_count = lease_ ? lease_->renewal_count + 1 : 1;
    own_lease.host_count = lease_ ? lease_->host_count : 1;
    own_lease.predecessors = Predecessors(now);
    began_without_lease_ = !lease_;
    inherits_unknown_holder_ =
        lease_ &&
        std::any_of(lease_->predecessors.begin(), lease_->predecessors.end(),
                    [](const former_holder& former) {
                      return former.host == kUnknownHolder;
                    });
    own_lease.era = era_;
    WriteLease(own_lease, now, out);
  }
}

/// Returns the hosts that may still renew their grants if this host takes the
/// lease now.
std::vector<former_holder> key_assigner::Predecessors(time_point now) const {
  std::vector<former_holder> former_holders;
  const bool is_known = lease_ && lease_->era == era_;
  if (!is_known && era_began_at_ && now - *era_began_at_ < kMaxRenewalTime) {
    // The store may have lost the lease of another holder, written before it
    // returned to a copy.
    former_holders.push_back({std::string{kUnknownHolder},
                              kMaxRenewalTime - (now - *era_began_at_)});
  }
  if (!lease_) {
    return former_holders;
  }
  // Renewals of the lease are not read while heartbeats arrive, so that the
  // remaining times in `lease_` may be as old as its last change of hands.
  // Without subtracting the elapsed time, the wait for a lost holder would
  // restart with each takeover, and the keys of targets that were lost with it
  // would have no owner.
  const duration elapsed = now - lease_read_at_;
  for (former_holder former : lease_->predecessors) {
    former.renewal_time_left -= elapsed;
    former_holders.push_back(std::move(former));
  }
  std::erase_if(former_holders, [&](const former_holder& former) {
    return former.host == lease_->host ||
           former.renewal_time_left <= duration{0};
  });
  former_holders.push_back({lease_->host, lease_->released
                                              ? kLeaseReleaseTimeout
                                              : kMaxRenewalTime});
  // A previous process on this host has ended and renews nothing.
  std::erase_if(former_holders, [&](const former_holder& former) {
    return former.host.empty() || former.host == settings_.host;
  });
  return former_holders;
}

void key_assigner::WriteLease(const assigner_lease& next, time_point now,
                              assigner_actions& out) {
  lease_write_ = pending_write{.name = std::string{kLeaseName},
                               .content = FormatLease(next),
                               .expected_revision = lease_read_revision_};
  lease_write_->first_sent_at = now;
  SendWrite(*lease_write_, now, out);
}

void key_assigner::SendWrite(pending_write& write, time_point now,
                             assigner_actions& out) {
  write.id = ++last_id_;
  write.in_flight = true;
  write.retry_at = now + kWriteRetryDelay;
  out.emplace_back(store_write{.id = write.id,
                               .name = write.name,
                               .content = write.content,
                               .expected_revision = write.expected_revision});
}

void key_assigner::RetryWrite(std::optional<pending_write>& write,
                              time_point now, assigner_actions& out) {
  if (write && !write->in_flight && now >= write->retry_at) {
    SendWrite(*write, now, out);
  }
}

void key_assigner::OnLeaseWritten(const write_report& report, time_point now,
                                  assigner_actions& out) {
  lease_write_->in_flight = false;
  const bool written =
      report.outcome == conditional_write_outcome::kWritten ||
      (report.outcome == conditional_write_outcome::kConflict &&
       report.content == lease_write_->content);
  if (!written && report.outcome != conditional_write_outcome::kConflict) {
    // A renewal is given up when the lease term has passed, because another
    // host may have taken the lease. A release is retried until it
    // succeeds or the process ends.
    const bool term_passed = now - lease_write_->first_sent_at > kLeaseTerm;
    if (term_passed && !stopping_) {
      lease_write_.reset();
    }
    return;
  }
  const pending_write completed = *std::exchange(lease_write_, std::nullopt);
  const auto parsed = ParseLease(written ? std::string_view{completed.content}
                                         : report.content);
  const bool was_only_heard_of = report.revision > lease_read_revision_ &&
                                 report.revision <= lease_revision_;
  if (report.revision >= lease_revision_ &&
      report.revision > lease_read_revision_ && parsed) {
    const time_point seen_at = was_only_heard_of ? lease_seen_at_ : now;
    TakeLease(parsed.value(), report.revision, now);
    lease_seen_at_ = seen_at;
  }
  if (!written && parsed && parsed.value().era != era_) {
    // No other holder, but the copy or a write of before the store returned to
    // it. The next write replaces it.
    return;
  }
  if (!written && stopping_ && lease_ && lease_->host == settings_.host &&
      !lease_->released) {
    // A renewal that was in transit took effect before the release. Without
    // another attempt at the release, no host would take the lease until it or
    // the heartbeats time out.
    ReleaseLease(now, out);
    return;
  }
  // A stalled host may read its successor's lease before the answer to its own
  // earlier write. Its reports then tell the successor that it renews no more
  // grants, so it must not hold the lease again.
  const bool superseded = lease_ && lease_->host != settings_.host;
  if (!written || superseded) {
    OnLeaseLost(out);
    if (was_only_heard_of && parsed) {
      // Heartbeats have told of this write, so it is no new sign of life.
      UpdateLease(now, out);
    } else {
      // Another host has written the lease meanwhile, so it is alive.
      last_heartbeat_at_ = std::max(last_heartbeat_at_, now);
    }
    return;
  }
  if (stopping_) {
    renewing_until_ = {};
    return;
  }
  held_until_ = completed.first_sent_at + kLeaseTerm;
  next_lease_renewal_at_ = completed.first_sent_at + kLeaseRenewalPeriod;
  if (!was_holder_ && IsHolder(now)) {
    was_holder_ = true;
    term_ = lease_->renewal_count;
    hosts_at_acquisition_ =
        inherits_unknown_holder_
            ? std::nullopt
            : std::optional{std::max(lease_->host_count, hosts_seen_.size())};
    renewing_until_ = {};
    acquired_at_ = now;
    acquired_revision_ = report.revision;
    synced_since_acquired_ = false;
    successors_.clear();
    // After a network partition a lease write that was still in transit may be
    // the first to succeed. Orders that failed before it may have failed
    // because of this host's own network.
    ResetFailureCounts();
    AdoptSharedHosts(now);
    predecessors_.clear();
    for (const former_holder& former : lease_->predecessors) {
      time_point& stops_at = predecessors_[former.host];
      stops_at = std::max(stops_at, now + former.renewal_time_left);
    }
    for (auto& [name, service] : services_) {
      service.barrier = {};
      service.passed_barrier = false;
      service.distrusted = false;
    }
    out.emplace_back(
        assigner_note{.note_kind = assigner_note::kind::kLeaseTaken,
                      .detail = DescribeFormerHolders(lease_->predecessors)});
  }
}

void key_assigner::OnLeaseLapsed(std::string_view detail,
                                 assigner_actions& out) {
  const bool taken_over = lease_ && lease_->host != settings_.host;
  const time_point lapsed_at = held_until_;
  if (taken_over || lapsed_at == time_point{}) {
    OnLeaseLost(out);
    return;
  }
  // As far as is known, no other host has taken the lease. This host moves no
  // more keys but keeps renewing its grants for a limited time.
  was_holder_ = false;
  renewing_until_ = lapsed_at + kMaxRenewalAfterLapse;
  for (auto& [name, service] : services_) {
    service.transfers.clear();
    service.record_write.reset();
  }
  out.emplace_back(assigner_note{.note_kind = assigner_note::kind::kLeaseLost,
                                 .detail = std::string{detail}});
}

void key_assigner::OnLeaseLost(assigner_actions& out) {
  held_until_ = {};
  renewing_until_ = {};
  if (!was_holder_) {
    return;
  }
  was_holder_ = false;
  for (auto& [name, service] : services_) {
    service.transfers.clear();
    service.renewals.clear();
    service.record_write.reset();
  }
  out.emplace_back(assigner_note{.note_kind = assigner_note::kind::kLeaseLost,
                                 .detail = "taken over"});
}

void key_assigner::PrepareToStop(time_point now, assigner_actions& out) {
  stopping_ = true;
  if (!was_holder_ || !lease_ || !IsHolder(now)) {
    return;
  }
  // This host moves no more keys. It keeps renewing its grants until the store
  // has confirmed the release, because during a store outage no other host can
  // take the lease.
  renewing_until_ = now + kLeaseReleaseTimeout;
  was_holder_ = false;
  held_until_ = {};
  for (auto& [name, service] : services_) {
    service.transfers.clear();
    service.record_write.reset();
  }
  out.emplace_back(assigner_note{.note_kind = assigner_note::kind::kLeaseLost,
                                 .detail = "leaving"});
  ReleaseLease(now, out);
}

void key_assigner::ReleaseLease(time_point now, assigner_actions& out) {
  assigner_lease released_lease = *lease_;
  released_lease.renewal_count = lease_->renewal_count + 1;
  released_lease.released = true;
  WriteLease(released_lease, now, out);
}

}  // namespace foxtailspread
