#include <algorithm>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <utility>

#include "foxtailspread/json_reader.h"
#include "foxtailspread/key_assigner.h"

// How the lease of the one host that gives keys is taken, kept and lost.

namespace foxtailspread {
namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;

/// How often the holder writes the lease. Each write wakes the watch of every
/// host, so it is seldom; successors go by datagrams.
constexpr duration kRenewEvery{std::chrono::milliseconds{2000}};

/// How long the object must have stood still, by another host's clock, before
/// a host that is no successor takes the lease. Longer than the term by far
/// more than clocks differ in that time, and by an answer's way back.
constexpr duration kTakeoverAfter{std::chrono::milliseconds{6500}};

/// How often the holder tells its successors that it lives, how many there
/// are, and how long the first waits in silence before it takes the lease; each
/// further one waits so much longer. Three heartbeats may be lost. Grants last
/// three seconds and are renewed each 0.8, so that a successor that starts
/// within a second and a half finds them all in force.
constexpr duration kHeartbeatEvery{std::chrono::milliseconds{250}};
constexpr size_t kSuccessors = 3;
constexpr duration kSilence{std::chrono::milliseconds{850}};
constexpr duration kSilenceStep{std::chrono::milliseconds{250}};

/// The hosts' attempts to take a free lease are spread over this time, so that
/// all but one see it taken and make no call.
constexpr duration kTakeoverSpread{std::chrono::milliseconds{400}};

/// A host with a smaller link than this leaves a free lease to the others for
/// so much longer. The holder tells all hosts of each change; what is lost on a
/// full link is made up for by reads of the store and by requests to owners
/// that no longer are.
constexpr double kWideLinkMbps = 50.0;
constexpr duration kNarrowLinkDelay{std::chrono::milliseconds{800}};

/// A write without an answer is sent again after this time, under the same
/// condition and with the same content: if the first one took effect the
/// second is told so, and if it is still on its way it finds the condition
/// broken.
constexpr duration kWriteRetry{std::chrono::milliseconds{250}};

/// Hosts that reported within this time count as there.
constexpr duration kHostSeenFor{std::chrono::seconds{4}};

/// The longest time that a former holder can go on, if nothing tells when it
/// stopped.
constexpr duration kLongestMayRenew = kLeaseTerm + kKeepAfterLapse;

/// Only hosts heard of within this time are chosen as successors.
constexpr duration kSuccessorSeenFor{std::chrono::milliseconds{2500}};

/// Only hosts heard of within this time pass datagrams on: two of their reports
/// may be lost.
constexpr duration kRelaySeenFor{std::chrono::milliseconds{800}};

/// How often successors are told which hosts there are, and for how long they
/// go by that.
constexpr duration kShareHostsEvery{std::chrono::seconds{1}};
constexpr duration kHostsToldFor{std::chrono::seconds{5}};

/// The former holders and how much longer each may renew grants, for the log.
std::string Describe(std::span<const former_holder> former) {
  std::string text;
  for (const former_holder& each : former) {
    text += (text.empty() ? "" : ", ") + each.host + " " +
            std::to_string(ceil<milliseconds>(each.may_renew).count()) + " ms";
  }
  return text;
}

}  // namespace

std::string FormatLease(const assigner_lease& lease) {
  nlohmann::json predecessors = nlohmann::json::array();
  for (const former_holder& each : lease.predecessors) {
    predecessors.push_back(
        {{"host", each.host},
         {"may_renew_ms", ceil<milliseconds>(each.may_renew).count()}});
  }
  return nlohmann::json{
      {"host", lease.host},       {"address", lease.address},
      {"renewal", lease.renewal}, {"released", lease.released},
      {"hosts", lease.hosts},     {"predecessors", std::move(predecessors)}}
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
  reader.Read("renewal", lease.renewal);
  reader.Read("released", lease.released);
  reader.Read("hosts", lease.hosts);
  reader.ReadList("predecessors", [&](object_reader& each) {
    former_holder& former = lease.predecessors.emplace_back();
    each.Require({"host", "may_renew_ms"});
    each.Read("host", former.host);
    each.ReadMilliseconds("may_renew_ms", former.may_renew,
                          {duration{0}, kLongestMayRenew});
  });
  if (const status read = reader.Finish(); !read) {
    return read.error();
  }
  return lease;
}

duration key_assigner::TakeoverDelay() const {
  const duration spread = kTakeoverSpread * (settings_.seed % 64) / 64;
  const bool narrow = settings_.link_mbps < kWideLinkMbps;
  return spread + (narrow ? kNarrowLinkDelay : duration{0});
}

bool key_assigner::MayTake(time_point now) const {
  if (!able_since_) {
    return false;
  }
  const duration spread = TakeoverDelay();
  if (!lease_) {
    return now >= *able_since_ + spread;
  }
  if (lease_->host == settings_.host && !lease_->released) {
    // Its own, lapsed while the store was away, or of its life before.
    return true;
  }
  if (lease_->released) {
    return now >= lease_seen_at_ + spread / 4;
  }
  if (MayFollow(now)) {
    return true;
  }
  return now >= lease_seen_at_ + kTakeoverAfter + spread;
}

bool key_assigner::MayFollow(time_point now) const {
  if (!heartbeat_heard_ || heartbeat_heard_->host != lease_->host) {
    return false;
  }
  const auto& order = heartbeat_heard_->successors;
  const auto place = std::find(order.begin(), order.end(), settings_.host);
  // A holder that has just taken the lease is given time for its first
  // heartbeats; otherwise hosts that each remember old heartbeats of the others
  // take it from one another again and again.
  const time_point silent_since =
      std::max(heartbeat_heard_at_, lease_taken_at_);
  return place != order.end() &&
         now >= silent_since + kSilence +
                    kSilenceStep * std::distance(order.begin(), place);
}

void key_assigner::OnHeartbeat(const assigner_heartbeat& heartbeat,
                               time_point now) {
  // A host that has been replaced may still heartbeat until it learns of it.
  if (heartbeat.lease_revision < lease_revision_ && lease_ &&
      lease_->host != heartbeat.host) {
    return;
  }
  heartbeat_heard_ = heartbeat;
  heartbeat_heard_at_ = now;
  if (lease_ && lease_->host == heartbeat.host) {
    // The holder's renewals are not read while its heartbeats come; without its
    // revision a takeover would fail at the first try.
    lease_seen_at_ = now;
    lease_revision_ = std::max(lease_revision_, heartbeat.lease_revision);
  }
}

size_t key_assigner::HostCount() const {
  const size_t recorded = lease_ ? lease_->hosts : 1;
  if (was_holder_) {
    return std::max(recorded, hosts_seen_.size());
  }
  return heartbeat_heard_ ? std::max<size_t>(heartbeat_heard_->hosts, 1)
                          : recorded;
}

/// Mixes what one host saw into the running mean, by its number of requests.
void key_assigner::AddLatency(target_state& target,
                              const target_latency& seen) {
  // The mean covers about so many requests: some seconds of a busy target.
  constexpr double kSpan = 40.0;
  const double weight = std::min(1.0, seen.served / kSpan);
  const double latency = seen.latency_us;
  target.latency_us =
      target.latency_us == 0.0
          ? latency
          : target.latency_us + weight * (latency - target.latency_us);
}

void key_assigner::OnReport(const load_report& report, time_point now) {
  hosts_seen_[report.host] = {.zone = report.zone,
                              .address = report.address,
                              .lease_revision = report.lease_revision,
                              .link_mbps = report.link_mbps,
                              .seen = now};
  // Whoever has read this host's lease grants nothing any more. The same goes
  // for a new process on the former holder's host.
  const auto former = predecessors_.find(report.host);
  if (was_holder_ && former != predecessors_.end() &&
      report.lease_revision >= acting_from_revision_) {
    former->second = std::min(former->second, now);
  }
  for (const target_latency& each : report.targets) {
    for (auto& [life, target] : targets_) {
      if (target.listed && target.entry.life.id == each.target) {
        AddLatency(target, each);
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

/// The other hosts that were heard of lately and may follow, those with the
/// widest links first. Narrow ones are among them only if there is no other.
std::vector<std::string> key_assigner::SuccessorCandidates(
    time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_seen_) {
    if (name != settings_.host && now - host.seen <= kSuccessorSeenFor) {
      names.push_back(name);
    }
  }
  std::stable_sort(names.begin(), names.end(),
                   [&](const std::string& a, const std::string& b) {
                     return hosts_seen_.at(a).link_mbps >
                            hosts_seen_.at(b).link_mbps;
                   });
  const auto is_wide = [&](const std::string& name) {
    return hosts_seen_.at(name).link_mbps >= kWideLinkMbps;
  };
  if (!names.empty() && is_wide(names.front())) {
    names.erase(std::partition_point(names.begin(), names.end(), is_wide),
                names.end());
  }
  return names;
}

void key_assigner::ChooseSuccessors(time_point now) {
  const std::vector<std::string> candidates = SuccessorCandidates(now);
  // Those chosen stay while they report, unless the first to report had narrow
  // links and one with a wide link is there now.
  std::erase_if(successors_, [&](const std::string& name) {
    return std::find(candidates.begin(), candidates.end(), name) ==
           candidates.end();
  });
  std::set<std::string> zones{settings_.zone};
  for (const std::string& name : successors_) {
    zones.insert(hosts_seen_[name].zone);
  }
  // First one host of each other zone: a zone that is cut off or lost takes no
  // more than one of them along. Then any.
  for (const bool any_zone : {false, true}) {
    for (const std::string& name : candidates) {
      const bool chosen = std::find(successors_.begin(), successors_.end(),
                                    name) != successors_.end();
      if (successors_.size() >= kSuccessors || chosen ||
          (!any_zone && !zones.insert(hosts_seen_[name].zone).second)) {
        continue;
      }
      successors_.push_back(name);
    }
  }
}

void key_assigner::SendHeartbeat(time_point now, assigner_actions& out) {
  // Without the store nothing can be moved; a successor that reaches it does
  // better, so the silence is meant.
  if (now < heartbeat_at_ || !store_answers_) {
    return;
  }
  heartbeat_at_ = now + kHeartbeatEvery;
  ChooseSuccessors(now);
  const assigner_heartbeat heartbeat{.host = settings_.host,
                                     .lease_revision = lease_revision_,
                                     .successors = successors_,
                                     .hosts = HostCount()};
  out.emplace_back(heartbeat_action{heartbeat, OtherHosts(now)});
  ShareHosts(now, out);
}

void key_assigner::ShareHosts(time_point now, assigner_actions& out) {
  if (now < share_hosts_at_ || successors_.empty()) {
    return;
  }
  share_hosts_at_ = now + kShareHostsEvery;
  hosts_record record;
  for (const auto& [name, host] : hosts_seen_) {
    record.hosts.push_back({name, host.zone, host.address, host.link_mbps});
  }
  for (const std::string& name : successors_) {
    out.emplace_back(hosts_action{hosts_seen_[name].address, record});
  }
}

void key_assigner::OnHosts(hosts_record record, time_point now) {
  hosts_told_ = std::move(record);
  hosts_told_at_ = now;
}

/// Goes by the hosts that the former holder knew, until they report.
void key_assigner::TakeHosts(time_point now) {
  if (now - hosts_told_at_ > kHostsToldFor) {
    return;
  }
  for (const host_contact& each : hosts_told_.hosts) {
    hosts_seen_.try_emplace(each.name, host_state{.zone = each.zone,
                                                  .address = each.address,
                                                  .link_mbps = each.link_mbps,
                                                  .seen = now});
  }
}

std::vector<fanout_hop> key_assigner::OtherHosts(time_point now) const {
  std::vector<fanout_host> hosts;
  hosts.reserve(hosts_seen_.size());
  for (const auto& [name, host] : hosts_seen_) {
    if (name == settings_.host) {
      continue;
    }
    // A successor whose relay is lost would take the lease from a holder that
    // lives.
    const bool succeeds = std::find(successors_.begin(), successors_.end(),
                                    name) != successors_.end();
    hosts.push_back({.zone = host.zone,
                     .address = host.address,
                     .link_mbps = host.link_mbps,
                     .may_relay = now - host.seen <= kRelaySeenFor,
                     .direct = succeeds});
  }
  // Changes that follow one another closely take the same way: one that comes
  // before the one it builds on is left aside.
  const auto turn =
      static_cast<uint64_t>(now.time_since_epoch() / kHeartbeatEvery);
  return PlanFanout(hosts, settings_.zone, turn);
}

/// Notes since when this host could act on the lease. All hosts learn of the
/// declarations at once; each counts its own delay from then.
void key_assigner::NoteAble(time_point now) {
  if (!objects_read_ || !store_answers_ || leaving_ || !services_known_) {
    able_since_.reset();
  } else if (!able_since_) {
    able_since_ = now;
  }
}

void key_assigner::StepLease(time_point now, assigner_actions& out) {
  NoteAble(now);
  if (was_holder_ && !IsHolder(now)) {
    Lapse(out);
  }
  RetryWrite(lease_write_, now, out);
  if (was_holder_ && !leaving_) {
    SendHeartbeat(now, out);
  }
  if (lease_write_ || leaving_) {
    return;
  }
  if (was_holder_) {
    if (now >= renew_at_) {
      std::erase_if(hosts_seen_, [&](const auto& seen) {
        return now - seen.second.seen > kHostSeenFor;
      });
      assigner_lease next = *lease_;
      next.renewal = lease_->renewal + 1;
      next.hosts = std::max<size_t>(hosts_seen_.size(), 1);
      next.predecessors.clear();
      for (const auto& [name, stops] : predecessors_) {
        if (now < stops) {
          next.predecessors.push_back({name, stops - now});
        }
      }
      WriteLease(next, now, out);
    }
    return;
  }
  if (MayTake(now)) {
    assigner_lease mine;
    mine.host = settings_.host;
    mine.address = settings_.address;
    mine.renewal = lease_ ? lease_->renewal + 1 : 1;
    mine.hosts = lease_ ? lease_->hosts : 1;
    mine.predecessors = Predecessors(now);
    WriteLease(mine, now, out);
  }
}

/// Those that may still renew grants when this host takes the lease now.
std::vector<former_holder> key_assigner::Predecessors(time_point now) const {
  if (!lease_) {
    return {};
  }
  // Renewals of the lease are not read while heartbeats come, so that what
  // stands here is as old as the last change of hands. Passed on as it stood
  // then, the wait for a lost holder would begin anew with each takeover, and
  // keys of targets lost with it would have no owner.
  const duration passed = now - lease_read_at_;
  std::vector<former_holder> former = lease_->predecessors;
  for (former_holder& each : former) {
    each.may_renew -= passed;
  }
  std::erase_if(former, [&](const former_holder& each) {
    return each.host == lease_->host || each.may_renew <= duration{0};
  });
  former.push_back(
      {lease_->host, lease_->released ? kLeaveTime : kLongestMayRenew});
  // A process of this host that ended renews nothing.
  std::erase_if(former, [&](const former_holder& each) {
    return each.host.empty() || each.host == settings_.host;
  });
  return former;
}

void key_assigner::WriteLease(const assigner_lease& next, time_point now,
                              assigner_actions& out) {
  lease_write_ = pending_write{.name = std::string{kLeaseName},
                               .content = FormatLease(next),
                               .expected = lease_revision_};
  lease_write_->first_sent = now;
  Send(*lease_write_, now, out);
}

void key_assigner::Send(pending_write& write, time_point now,
                        assigner_actions& out) {
  write.id = ++last_id_;
  write.in_flight = true;
  write.retry_at = now + kWriteRetry;
  out.emplace_back(store_write{.id = write.id,
                               .name = write.name,
                               .content = write.content,
                               .expected_revision = write.expected});
}

void key_assigner::RetryWrite(std::optional<pending_write>& write,
                              time_point now, assigner_actions& out) {
  if (write && !write->in_flight && now >= write->retry_at) {
    Send(*write, now, out);
  }
}

void key_assigner::OnLeaseWritten(const write_report& report, time_point now,
                                  assigner_actions& out) {
  lease_write_->in_flight = false;
  const bool done = report.end == write_end::kWritten ||
                    (report.end == write_end::kConflict &&
                     report.content == lease_write_->content);
  if (!done && report.end != write_end::kConflict) {
    // Renewing is pointless once others may have taken over; giving up is not
    // worth a delay of the stop.
    const bool late = now - lease_write_->first_sent > kLeaseTerm;
    if (late && !leaving_) {
      lease_write_.reset();
    }
    return;
  }
  const pending_write written = *std::exchange(lease_write_, std::nullopt);
  const auto parsed =
      ParseLease(done ? std::string_view{written.content} : report.content);
  if (report.revision > lease_revision_ && parsed) {
    if (!lease_ || lease_->host != parsed.value().host) {
      lease_taken_at_ = now;
    }
    lease_ = parsed.value();
    lease_revision_ = report.revision;
    lease_seen_at_ = now;
    lease_read_at_ = now;
  }
  if (!done && leaving_ && lease_ && lease_->host == settings_.host &&
      !lease_->released) {
    // A renewal that was under way took effect before the release. Given up
    // here, the lease would stand until its silence is noticed.
    Release(now, out);
    return;
  }
  if (!done) {
    // Somebody has written it meanwhile and so is there.
    heartbeat_heard_at_ = std::max(heartbeat_heard_at_, now);
    LoseLease(out);
    return;
  }
  if (leaving_) {
    keeping_until_ = {};
    return;
  }
  held_until_ = written.first_sent + kLeaseTerm;
  renew_at_ = written.first_sent + kRenewEvery;
  if (!was_holder_ && IsHolder(now)) {
    was_holder_ = true;
    keeping_until_ = {};
    taken_at_ = now;
    acting_from_revision_ = report.revision;
    synced_since_taken_ = false;
    successors_.clear();
    // A renewal that was on its way in a cut may be the first that gets
    // through: orders that failed before tell of this host's links.
    ForgetFailedOrders();
    TakeHosts(now);
    predecessors_.clear();
    for (const former_holder& each : lease_->predecessors) {
      predecessors_.emplace(each.host, now + each.may_renew);
    }
    out.emplace_back(assigner_note{.what = assigner_note::kind::kLeaseTaken,
                                   .detail = Describe(lease_->predecessors)});
  }
}

void key_assigner::Lapse(assigner_actions& out) {
  const bool taken_over = lease_ && lease_->host != settings_.host;
  const time_point lapsed = held_until_;
  if (taken_over || lapsed == time_point{}) {
    LoseLease(out);
    return;
  }
  // Nobody is known to have taken over. Nothing moves from here on; what was
  // granted is kept for a while.
  was_holder_ = false;
  keeping_until_ = lapsed + kKeepAfterLapse;
  for (auto& [name, each] : services_) {
    each.transfers.clear();
    each.write.reset();
  }
  out.emplace_back(assigner_note{.what = assigner_note::kind::kLeaseLost,
                                 .detail = "lapsed, renews what it granted"});
}

void key_assigner::LoseLease(assigner_actions& out) {
  held_until_ = {};
  keeping_until_ = {};
  if (!was_holder_) {
    return;
  }
  was_holder_ = false;
  for (auto& [name, each] : services_) {
    each.transfers.clear();
    each.renewals.clear();
    each.write.reset();
  }
  out.emplace_back(assigner_note{.what = assigner_note::kind::kLeaseLost,
                                 .detail = "taken over"});
}

void key_assigner::Leave(time_point now, assigner_actions& out) {
  leaving_ = true;
  if (!was_holder_ || !lease_ || !IsHolder(now)) {
    return;
  }
  // Nothing moves from here on. What was granted is kept until the store has
  // taken the release: while it is away nobody else can.
  keeping_until_ = now + kLeaveTime;
  was_holder_ = false;
  held_until_ = {};
  for (auto& [name, each] : services_) {
    each.transfers.clear();
    each.write.reset();
  }
  out.emplace_back(assigner_note{.what = assigner_note::kind::kLeaseLost,
                                 .detail = "leaving"});
  Release(now, out);
}

void key_assigner::Release(time_point now, assigner_actions& out) {
  assigner_lease last = *lease_;
  last.renewal = lease_->renewal + 1;
  last.released = true;
  WriteLease(last, now, out);
}

}  // namespace foxtailspread
