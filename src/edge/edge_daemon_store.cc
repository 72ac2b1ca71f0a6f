#include <algorithm>
#include <string>
#include <utility>

#include "edge/edge_daemon.h"
#include "foxtailspread/host_messages.h"
#include "net/log.h"
#include "platform/request_codec.h"

// The entry host towards the store, the other hosts and the keys of targets.

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

/// Targets that vanish within this time after the store was away may be back:
/// their entries lapse while nobody can write them.
constexpr duration kAwayEcho{milliseconds{2500}};

/// How long after evacuations were read others need not read them: half of the
/// time within which an evacuation must be in force.
constexpr duration kEvacuationsVouched{milliseconds{2500}};

/// Crashes of targets named in one heartbeat: some 3 KB.
constexpr size_t kMarksInHeartbeat = 60;

/// Limits of targets, and targets that leave, named in one datagram: some 4 KB
/// each.
constexpr size_t kStatementsInDatagram = 100;

/// Changes of targets' statements within this time are sent together.
constexpr duration kShareStatementsDelay{milliseconds{10}};
/// They are sent no more often than this, however often a target changes its
/// mind.
constexpr duration kShareStatementsPeriod{milliseconds{100}};

/// A host that has an older configuration is sent the one in force no more
/// often than this.
constexpr duration kConfigSendPeriod{std::chrono::seconds{1}};

/// Bytes of headers that a host adds to a request that it relays.
constexpr size_t kRelayHeaderBytes = 256;

/// Hosts that reach targets, named to a host that doesn't.
constexpr size_t kMaxRelays = 32;

/// Answers to grants that take longer than this are logged.
constexpr duration kLateGrantAnswer{milliseconds{100}};

/// Crashes of targets are sent no more often than this.
constexpr duration kShareCrashesPeriod{milliseconds{100}};

template <typename Sample>
void Truncate(std::vector<Sample>& samples) {
  if (samples.size() > kStatementsInDatagram) {
    samples.resize(kStatementsInDatagram);
  }
}

}  // namespace

bool edge_daemon::StoreWasAway(time_point now) const {
  const auto is_recent = [now](const std::optional<time_point>& at) {
    return at && now - *at < kAwayEcho;
  };
  return !store_answers_ || is_recent(store_failed_at_) ||
         is_recent(era_began_at_);
}

void edge_daemon::OnEra(uint64_t era) {
  const time_point now = Now();
  if (std::exchange(era_, era) != 0) {
    era_began_at_ = now;
    config_trust_.OnNewEra(now);
  }
  config_.OnEra(era, now);
  targets_.OnEra(era, now);
  own_.OnEra(era, now);
  evacuation_requests_.OnEra(era, now);
  assigner_actions actions;
  assigner_.OnEra(era, now, actions);
  Carry(actions);
}

/// Takes the era that another host knows of; 0 if it knows none.
void edge_daemon::OnEraHeard(uint64_t era) {
  if (era > era_) {
    store_.OnEra(era);
  }
}

void edge_daemon::OnStoreState() {
  const time_point now = Now();
  const bool answers = config_.copy().last_call_succeeded() &&
                       targets_.copy().last_call_succeeded() &&
                       own_.copy().last_call_succeeded();
  for (const auto& failed :
       {config_.copy().failed_at(), targets_.copy().failed_at(),
        own_.copy().failed_at()}) {
    if (failed && (!store_failed_at_ || *failed > *store_failed_at_)) {
      store_failed_at_ = failed;
    }
  }
  const int failing = (config_.copy().IsFailing() ? 1 : 0) +
                      (targets_.copy().IsFailing() ? 1 : 0) +
                      (own_.copy().IsFailing() ? 1 : 0);
  if (std::exchange(failing_followers_, failing) > failing) {
    config_.RetryNow(now);
    targets_.RetryNow(now);
    own_.RetryNow(now);
  }
  if (answers != store_answers_) {
    store_answers_ = answers;
    LogEvent(answers ? event_id::kStoreBack : event_id::kStoreLost);
  }
  assigner_.OnStoreAvailability(answers, now);
  Arm();
}

void edge_daemon::OnConfigChanged() {
  const auto& objects = config_.copy().objects();
  const auto found = objects.find(std::string{platform::kConfigName});
  if (found != objects.end() && found->second.item) {
    TakeConfig(*found->second.item, found->second.revision);
  }
}

/// Takes a configuration that is newer than the one in force. Its version tells
/// that, not its revision: a store that has returned to a copy gives older ones
/// higher revisions, and newer ones lower revisions.
void edge_daemon::TakeConfig(const shared_config& offered,
                             store_revision revision) {
  const routing_config& config = offered.table->config();
  const time_point now = Now();
  const uint64_t in_force = ConfigVersion();
  if (router_.table() != nullptr && config.version <= in_force) {
    if (config.version < in_force) {
      LogEvent(event_id::kConfigKept,
               {{"version", static_cast<int64_t>(config.version)},
                {"era", static_cast<int64_t>(revision.era)},
                {"revision", static_cast<int64_t>(revision.counter)},
                {"in_force", static_cast<int64_t>(in_force)}});
    }
    return;
  }
  if (router_.table() == nullptr) {
    configured_at_ = now;
    config_trust_.OnFirstVersion(now);
  }
  config_in_force_ = offered;
  config_revision_ = revision;
  config_changed_at_ = now;
  caller_limits limits{
      .sizes = {.max_header_bytes = config.bounds.max_header_bytes,
                .max_body_bytes = config.bounds.max_body_bytes},
      .header_timeout = config.bounds.header_timeout,
      .idle_timeout = config.bounds.idle_timeout};
  limits.untaken_timeout =
      std::max(limits.untaken_timeout, limits.idle_timeout);
  callers_.SetLimits(limits);
  limits.sizes.max_header_bytes += kRelayHeaderBytes;
  relayed_.SetLimits(limits);
  LogEvent(event_id::kConfigInForce,
           {{"version", static_cast<int64_t>(config.version)},
            {"era", static_cast<int64_t>(revision.era)},
            {"revision", static_cast<int64_t>(revision.counter)},
            {"routes", static_cast<int64_t>(config.routes.size())}});
  assigner_.OnServices(config.services);
  if (assigner_.IsHolder(now)) {
    ShareObject(DeclarationsInForce(), now);
  }
  assigner_.RequestHeartbeat();
  router_actions actions;
  router_.OnConfig(offered.table, now, actions);
  TakeOwnObjects(now);
  ShareKeyMaps(now, actions);
  Carry(actions);
  Arm();
}

uint64_t edge_daemon::ConfigVersion() const {
  return router_.table() == nullptr ? 0 : router_.table()->config().version;
}

shared_object edge_daemon::DeclarationsInForce() const {
  return {.kind = shared_kind::kDeclarations,
          .name = std::string{platform::kConfigName},
          .revision = config_revision_,
          .content = config_in_force_.content};
}

/// Sends the configuration in force to a host that has an older one, as the
/// store may have lost it.
void edge_daemon::SendConfigTo(const std::string& address, uint64_t version,
                               time_point now) {
  // A change that has just been made is on its way to all hosts.
  if (version >= ConfigVersion() ||
      now - config_changed_at_ < kConfigSendPeriod) {
    return;
  }
  time_point& sent_at = config_sent_at_[address];
  if (now - sent_at >= kConfigSendPeriod) {
    sent_at = now;
    SendToHosts(std::vector<fanout_hop>{{.address = address, .forward_to = {}}},
                FormatHostMessage(DeclarationsInForce()));
  }
}

void edge_daemon::OnTargetsChanged() {
  const time_point now = Now();
  const std::vector<target_entry> listed =
      target_history_.Correct(ReadableEntries(targets_.copy().objects()),
                              targets_.copy().revision().era, now);
  const uint64_t before = shared_targets_.digest();
  const auto records = shared_targets_.Update(targets_.copy().objects());
  if (assigner_.IsHolder(now)) {
    for (const targets_record& each : records) {
      ShareTargets(each, now);
    }
  }
  if (shared_targets_.digest() != before) {
    assigner_.RequestHeartbeat();
  }
  const bool doubtful = StoreWasAway(now);
  assigner_.OnTargets(listed, doubtful, now);
  router_actions actions;
  router_.OnTargets(listed, doubtful, targets_.copy().previous_as_of(), now,
                    actions);
  // Statements of targets that are listed again apply anew.
  assigner_.OnTargetStatements(router_.Statements(now));
  Carry(actions);
}

void edge_daemon::TakeOwnObjects(time_point now) {
  // Until the objects of a new era are listed, the copy is of an earlier one.
  if (!own_.copy().complete() || own_.copy().revision().era != era_) {
    return;
  }
  if (const status read = assigner_.OnObjects(own_.copy().objects(), now);
      !read) {
    LogEvent(event_id::kRecordRefused, {{"problem", read.error().Message()}});
  }
}

void edge_daemon::OnOwnObjectsChanged() {
  const time_point now = Now();
  assigner_.RequestHeartbeat();
  TakeOwnObjects(now);
  TakeHostCount();
  router_actions actions;
  ShareKeyMaps(now, actions);
  Carry(actions);
}

void edge_daemon::OnEvacuationsRead() {
  const auto& copy = evacuation_requests_.copy();
  if (copy.complete()) {
    std::set<std::string> zones;
    for (const auto& [zone, object] : copy.objects()) {
      zones.insert(zone);
    }
    TakeEvacuations(std::move(zones), copy.current_as_of(), Now());
  }
  Arm();
}

void edge_daemon::TakeEvacuations(std::set<std::string> zones, time_point as_of,
                                  time_point now) {
  const std::set<std::string> before = evacuations_.zones();
  // A request that the store has lost may not be written again yet.
  if (!evacuations_.Update(std::move(zones), as_of, !StoreWasAway(now))) {
    return;
  }
  for (const std::string& zone : evacuations_.zones()) {
    if (!before.contains(zone)) {
      LogEvent(event_id::kZoneEvacuated, {{"zone", zone}});
    }
  }
  for (const std::string& zone : before) {
    if (!evacuations_.zones().contains(zone)) {
      LogEvent(event_id::kZoneReturned, {{"zone", zone}});
    }
  }
  assigner_.OnEvacuations(evacuations_.zones(), now);
  assigner_.RequestHeartbeat();
  router_actions actions;
  router_.OnEvacuations(evacuations_.zones(), now, actions);
  Carry(actions);
}

/// What this host vouches for of evacuations; empty if it has not read them.
std::optional<evacuation_view> edge_daemon::Evacuated(time_point now) const {
  const auto& copy = evacuation_requests_.copy();
  if (!copy.complete()) {
    return std::nullopt;
  }
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - copy.current_as_of());
  return evacuation_view{.zones = evacuations_.zones(),
                         .age_ms = static_cast<uint32_t>(age.count())};
}

/// Tells the router of the maps that changed, whether this host wrote them or
/// another did.
void edge_daemon::ShareKeyMaps(time_point now, router_actions& out) {
  if (router_.table() == nullptr) {
    return;
  }
  for (const service_settings& each : router_.table()->config().services) {
    const key_map* map = each.keyed ? assigner_.MapOf(each.name) : nullptr;
    if (map == nullptr) {
      continue;
    }
    const store_revision version = assigner_.MapRevision(each.name);
    store_revision& shared = maps_shared_[each.name];
    if (version != shared) {
      shared = version;
      router_.OnKeyMap(each.name, *map, now, out);
    }
  }
}

void edge_daemon::OnDatagram(std::string_view bytes) {
  auto message = ParseHostMessage(bytes);
  const auto* relayed =
      message ? std::get_if<relayed_message>(&message.value()) : nullptr;
  const auto* report =
      message ? std::get_if<load_report>(&message.value()) : nullptr;
  if (report != nullptr) {
    // Its sender mostly doesn't know the zone of this host.
    CountDatagram("datagram-received", HostMessageKind(bytes), report->zone,
                  bytes.size());
  }
  if (relayed == nullptr) {
    OnHostMessage(std::move(message));
    return;
  }
  // A relay forwards within its zone.
  for (const std::string& address : relayed->forward_to) {
    CountDatagram("datagram-sent", HostMessageKind(relayed->payload),
                  settings_.zone, relayed->payload.size());
    hosts_.Send(address, relayed->payload);
  }
  OnHostMessage(ParseHostMessage(relayed->payload));
}

void edge_daemon::OnHostMessage(result<host_message> message) {
  if (!message || std::holds_alternative<relayed_message>(message.value())) {
    LogEvent(event_id::kDatagramRefused);
    return;
  }
  const time_point now = Now();
  if (const auto* report = std::get_if<load_report>(&message.value())) {
    OnEraHeard(report->lease_revision.era);
    assigner_.OnReport(*report, now);
    if (PassesOnReports()) {
      SendConfigTo(report->address, report->config_version, now);
    }
    OnCrashes(report->crashes, now);
    if (report->paths != target_paths::kAll && PassesOnReports()) {
      const relays_record relays{
          assigner_.HostsReachingTargets(kMaxRelays, now)};
      if (!relays.addresses.empty()) {
        SendToHost(report->address, FormatHostMessage(relays));
      }
    }
  } else if (const auto* heartbeat =
                 std::get_if<assigner_heartbeat>(&message.value())) {
    OnEraHeard(heartbeat->lease_revision.era);
    assigner_.OnHeartbeat(*heartbeat, now);
    TakeHostCount();
    if (heartbeat->host != settings_.name) {
      OnCrashes(heartbeat->crashes, now);
      if (heartbeat->view) {
        OnHeardConfig(heartbeat->view->config_version, now);
      }
      if (heartbeat->view && heartbeat->lease_revision.era == era_) {
        OnView(*heartbeat->view, now);
      }
      if (heartbeat->evacuated) {
        OnEvacuationView(*heartbeat->evacuated, now);
      }
      OnHeartbeatStatements(heartbeat->statements, now);
    }
  } else if (const auto* owners =
                 std::get_if<owners_record>(&message.value())) {
    OnEraHeard(owners->revision.era);
    if (const status taken = assigner_.OnOwners(*owners); !taken) {
      LogEvent(event_id::kDatagramRefused,
               {{"problem", taken.error().Message()}});
    }
    router_actions actions;
    ShareKeyMaps(now, actions);
    Carry(actions);
  } else if (const auto* object =
                 std::get_if<shared_object>(&message.value())) {
    OnSharedObject(*object);
  } else if (const auto* loads = std::get_if<loads_record>(&message.value())) {
    OnLoads(*loads, now);
  } else if (const auto* throttles =
                 std::get_if<key_throttles>(&message.value())) {
    OnKeyThrottles(*throttles, now);
  } else if (const auto* record =
                 std::get_if<statements_record>(&message.value())) {
    OnStatements(record->statements, now);
  } else if (const auto* crashes =
                 std::get_if<crashes_record>(&message.value())) {
    OnCrashes(crashes->evidence, now);
  } else if (const auto* relays =
                 std::get_if<relays_record>(&message.value())) {
    router_actions actions;
    router_.OnRelays(relays->addresses, now, actions);
    Carry(actions);
  } else if (const auto* permits =
                 std::get_if<permit_request>(&message.value())) {
    OnPermitRequest(*permits, now);
  } else if (const auto* reply = std::get_if<permit_reply>(&message.value())) {
    OnPermitReply(*reply, now);
  } else if (const auto* repeat =
                 std::get_if<repeat_request>(&message.value())) {
    OnRepeatRequest(*repeat);
  } else if (auto* hosts = std::get_if<hosts_record>(&message.value())) {
    assigner_.OnHosts(std::move(*hosts), now);
  } else if (auto* targets = std::get_if<targets_record>(&message.value())) {
    // Changes to another list than this host's would leave it wrong.
    if (targets->base_digest == shared_targets_.digest()) {
      const time_point as_of = now - milliseconds{targets->age_ms};
      targets_.OnShared(ToStoreChanges(std::move(*targets)), as_of);
    }
  }
}

/// Sends what changed in the list of targets to all other hosts.
void edge_daemon::ShareTargets(targets_record record, time_point now) {
  record.age_ms =
      static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(
                                now - targets_.copy().current_as_of())
                                .count());
  SendToHosts(assigner_.OtherHosts(now), FormatHostMessage(record));
}

void edge_daemon::ShareObject(const shared_object& object, time_point now) {
  const std::string bytes = FormatHostMessage(object);
  // A longer one is read from the store by each host.
  if (bytes.size() <= kMostShared) {
    SendToHosts(assigner_.OtherHosts(now), bytes);
  }
}

void edge_daemon::OnSharedObject(const shared_object& object) {
  const auto content = nlohmann::json::parse(object.content, nullptr, false);
  if (object.kind == shared_kind::kDeclarations) {
    if (const auto config = ReadConfig(object.name, content)) {
      TakeConfig(*config, object.revision);
    }
  } else {
    own_.OnSharedObject(object.name, object.revision, content);
  }
}

void edge_daemon::SendToHosts(std::span<const fanout_hop> hops,
                              const std::string& bytes) {
  for (const fanout_hop& hop : hops) {
    if (hop.forward_to.empty()) {
      SendToHost(hop.address, bytes);
    } else {
      const std::string relayed =
          FormatHostMessage(relayed_message{hop.forward_to, bytes});
      CountDatagram("datagram-sent", HostMessageKind(bytes),
                    assigner_.ZoneOfHost(hop.address), relayed.size());
      hosts_.Send(hop.address, relayed);
    }
  }
}

void edge_daemon::SendToHost(std::string_view address, std::string_view bytes) {
  CountDatagram("datagram-sent", HostMessageKind(bytes),
                assigner_.ZoneOfHost(address), bytes.size());
  hosts_.Send(address, bytes);
}

void edge_daemon::CountDatagram(std::string_view cause, std::string_view kind,
                                std::string_view zone, size_t bytes) {
  traffic_.Count(cause, kind, PeerZoneOf(zone, settings_.zone), bytes);
}

/// What this host's copy of the store amounts to; empty if it is not complete
/// or too old to vouch for others'.
std::optional<store_view> edge_daemon::View(time_point now) const {
  const auto is_usable = [this](const auto& follower) {
    return follower.copy().complete() && follower.copy().revision().era == era_;
  };
  if (!is_usable(config_) || !is_usable(targets_) || !is_usable(own_)) {
    return std::nullopt;
  }
  const time_point as_of =
      std::min({config_.copy().current_as_of(), targets_.copy().current_as_of(),
                own_.copy().current_as_of()});
  const auto age = std::chrono::duration_cast<milliseconds>(now - as_of);
  return store_view{.config_revision = config_revision_,
                    .config_version = ConfigVersion(),
                    .targets_digest = shared_targets_.digest(),
                    .owners_digest = assigner_.OwnersDigest(),
                    .age_ms = static_cast<uint32_t>(age.count())};
}

/// Compares this host's copy with the one that the assigner vouches for.
void edge_daemon::OnView(const store_view& view, time_point now) {
  const auto until = ViewValidUntil(view, settings_.drain, now);
  if (!until) {
    return;
  }
  const time_point as_of = now - milliseconds{view.age_ms};
  // Earlier releases tell only the revision.
  const bool same_config = view.config_version != 0
                               ? view.config_version == ConfigVersion()
                               : view.config_revision == config_revision_;
  const bool same_owners = view.owners_digest == assigner_.OwnersDigest();
  const size_t hosts = assigner_.HostCount();
  const auto repair_config =
      config_repairs_.OnCompared(same_config, hosts, now);
  const auto repair_owners = owner_repairs_.OnCompared(same_owners, hosts, now);
  if (repair_config == copy_repair::kAsk ||
      repair_owners == copy_repair::kAsk) {
    AskForRepeat();
  }
  const auto compare = [&](auto& follower, copy_repair repair) {
    switch (repair) {
      case copy_repair::kNone:
        follower.Confirm(as_of, *until);
        break;
      case copy_repair::kAsk:
        follower.Spare(*until);
        break;
      case copy_repair::kRead:
        follower.Refresh(now, *until);
        break;
    }
  };
  compare(config_, repair_config);
  compare(targets_, view.targets_digest == shared_targets_.digest()
                        ? copy_repair::kNone
                        : copy_repair::kRead);
  compare(own_, repair_owners);
  Arm();
}

/// Takes the version that the lease holder has in force; 0 if unknown.
void edge_daemon::OnHeardConfig(uint64_t version, time_point now) {
  if (version == 0) {
    return;
  }
  config_trust_.OnVersionHeard(version);
  const auto& lease = assigner_.lease();
  if (lease && !lease->address.empty()) {
    SendConfigTo(lease->address, version, now);
  }
}

/// Takes the evacuations that the assigner vouches for.
void edge_daemon::OnEvacuationView(const evacuation_view& view,
                                   time_point now) {
  const time_point as_of = now - milliseconds{view.age_ms};
  evacuation_requests_.Spare(as_of + kEvacuationsVouched);
  TakeEvacuations(view.zones, as_of, now);
}

void edge_daemon::ReportLoad() {
  TakeHostCount();
  if (router_.table() == nullptr) {
    return;
  }
  load_report report{
      .host = settings_.name,
      .zone = settings_.zone,
      .address = settings_.hosts,
      .link_mbps = settings_.link_mbps,
      .lease_revision = assigner_.lease_revision(),
      .former_lease_host = assigner_.former_lease_host(),
      .former_lease_count = assigner_.former_lease_count(),
      .config_version = ConfigVersion(),
      .services = {},
      .targets = {},
      .crashes = router_.crashes().Recent(crash_audience::kLeaseHolder, Now()),
      .paths = router_.paths()};
  for (const service_settings& each : router_.table()->config().services) {
    service_load load{.service = each.name,
                      .keys = router_.TakeKeyLoad(each.name)};
    if (!load.keys.empty()) {
      report.services.push_back(std::move(load));
    }
    if (each.keyed) {
      const auto seen = router_.TakeLatencies(each.name);
      report.targets.insert(report.targets.end(), seen.begin(), seen.end());
    }
  }
  const auto& lease = assigner_.lease();
  if (PassesOnReports() && !store_answers_) {
    // No heartbeats repeat it meanwhile.
    const crashes_record recent{
        router_.crashes().Recent(crash_audience::kAllHosts, Now())};
    if (!recent.evidence.empty()) {
      SendToHosts(assigner_.OtherHosts(Now()), FormatHostMessage(recent));
    }
  }
  if (lease && !lease->address.empty()) {
    SendToHost(lease->address, FormatHostMessage(report));
  }
  ThrottleKeys();
}

bool edge_daemon::PassesOnReports() const {
  const auto& lease = assigner_.lease();
  return lease && lease->address == settings_.hosts;
}

void edge_daemon::OnCrashes(const crash_evidence& evidence, time_point now) {
  if (!evidence.empty()) {
    router_.crashes().Import(evidence, PassesOnReports(), now);
    ShareCrashesSoon();
  }
}

void edge_daemon::ShareCrashesSoon() {
  if (router_.crashes().HasNews() && !std::exchange(crashes_due_, true)) {
    share_crashes_ = RunAfter(kShareCrashesPeriod, [this] { ShareCrashes(); });
  }
}

/// Tells the holder of the lease which targets may have crashed under which
/// contents. The holder tells all hosts.
void edge_daemon::ShareCrashes() {
  crashes_due_ = false;
  const time_point now = Now();
  const auto audience = PassesOnReports() ? crash_audience::kAllHosts
                                          : crash_audience::kLeaseHolder;
  const crashes_record record{router_.crashes().TakeNews(audience, now)};
  const auto& lease = assigner_.lease();
  if (!record.evidence.empty() && PassesOnReports()) {
    SendToHosts(assigner_.OtherHosts(now), FormatHostMessage(record));
  } else if (!record.evidence.empty() && lease && !lease->address.empty()) {
    SendToHost(lease->address, FormatHostMessage(record));
  }
  ShareCrashesSoon();
}

void edge_daemon::OnStatementChanged(const target_life& target,
                                     bool is_own_answer) {
  const time_point now = Now();
  assigner_.OnTargetStatements(router_.Statements(now));
  if (is_own_answer || assigner_.IsHolder(now)) {
    ShareStatementOf(target);
  }
}

void edge_daemon::ShareStatementOf(const target_life& target) {
  if (std::ranges::find(stating_targets_, target) == stating_targets_.end()) {
    stating_targets_.push_back(target);
    ShareStatementsSoon();
  }
}

/// Tells the holder of the lease again what it does not know: the datagram that
/// told it may have been lost, or the holder may be a new one.
void edge_daemon::OnHeartbeatStatements(const target_statements& statements,
                                        time_point now) {
  OnStatements(statements, now);
  const bool is_complete = statements.limits.size() < kStatementsInDatagram &&
                           statements.leaving.size() < kStatementsInDatagram;
  if (!is_complete) {
    return;
  }
  for (const target_life& target :
       router_.StatingTargetsMissingIn(statements, now)) {
    ShareStatementOf(target);
  }
}

void edge_daemon::ShareStatementsSoon() {
  if (std::exchange(statements_due_, true)) {
    return;
  }
  const duration since_last = Now() - statements_shared_at_;
  const duration delay =
      std::max(kShareStatementsDelay, kShareStatementsPeriod - since_last);
  share_statements_ = RunAfter(delay, [this] { ShareStatements(); });
}

/// Tells the holder of the lease what targets stated to this host. The holder
/// tells all hosts.
void edge_daemon::ShareStatements() {
  statements_due_ = false;
  const time_point now = Now();
  statements_shared_at_ = now;
  const size_t count = std::min(stating_targets_.size(), kStatementsInDatagram);
  const std::span shared{stating_targets_.data(), count};
  const std::string bytes =
      FormatHostMessage(statements_record{router_.StatementsOf(shared, now)});
  stating_targets_.erase(
      stating_targets_.begin(),
      stating_targets_.begin() + static_cast<std::ptrdiff_t>(count));
  if (!stating_targets_.empty()) {
    ShareStatementsSoon();
  }
  const auto& lease = assigner_.lease();
  if (assigner_.IsHolder(now)) {
    SendToHosts(assigner_.OtherHosts(now), bytes);
  } else if (lease && !lease->address.empty()) {
    SendToHost(lease->address, bytes);
  }
}

void edge_daemon::OnStatements(const target_statements& statements,
                               time_point now) {
  router_actions actions;
  router_.OnStatements(statements, now, actions);
  Carry(actions);
}

void edge_daemon::OnLimits(std::span<const limit_sample> limits,
                           time_point now) {
  router_actions actions;
  router_.OnLimits(limits, now, actions);
  Carry(actions);
}

void edge_daemon::CarryOne(const permit_request_action& action) {
  const auto& lease = assigner_.lease();
  if (lease && !lease->address.empty()) {
    SendToHost(lease->address,
               FormatHostMessage(permit_request{.address = settings_.hosts,
                                                .sequence = action.sequence,
                                                .limit = action.limit,
                                                .demand = action.demand}));
  }
}

void edge_daemon::OnPermitRequest(const permit_request& request,
                                  time_point now) {
  OnLimits(std::span{&request.limit, 1}, now);
  const double fraction = assigner_.PermitFraction(now);
  // Without an answer the sender tries the host that holds the lease by then.
  if (fraction <= 0.0) {
    return;
  }
  permit_reply reply{.sequence = request.sequence,
                     .limit = router_.Limit(request.limit, now)};
  // A host that does not take this host's word for the end of a limit must get
  // an answer of the target to see it.
  const auto per_second = reply.limit.per_second ? reply.limit.per_second
                                                 : request.limit.per_second;
  if (per_second) {
    reply.grant = permits_.Issue(request.limit.target, request.demand,
                                 fraction * SendRate(*per_second), now);
  }
  SendToHost(request.address, FormatHostMessage(reply));
}

void edge_daemon::OnPermitReply(const permit_reply& reply, time_point now) {
  router_actions actions;
  router_.OnPermitReply(reply, now, actions);
  Carry(actions);
}

/// A host that has not read the lease does not know how many hosts there are.
void edge_daemon::TakeHostCount() {
  router_.OnHostCount(assigner_.HostCount(), assigner_.lease().has_value());
}

void edge_daemon::Carry(assigner_actions& actions) {
  for (const assigner_action& action : actions) {
    std::visit([this](const auto& each) { CarryOne(each); }, action);
  }
  Arm();
}

void edge_daemon::CarryOne(const store_write& action) {
  store_.Write(action, [this, name = action.name,
                        expected = action.expected_revision](
                           const write_report& report) {
    const time_point now = Now();
    if (report.outcome == conditional_write_outcome::kConflict) {
      LogEvent(event_id::kWriteConflict,
               {{"name", name},
                {"era", static_cast<int64_t>(report.revision.era)},
                {"expected", static_cast<int64_t>(expected.counter)},
                {"revision", static_cast<int64_t>(report.revision.counter)}});
    }
    assigner_actions actions;
    assigner_.OnWriteEnded(report, now, actions);
    assigner_.RequestHeartbeat();
    router_actions routed;
    ShareKeyMaps(now, routed);
    Carry(routed);
    Carry(actions);
  });
}

void edge_daemon::CarryOne(const key_order& action) {
  const call_id call =
      orders_pool_.Send(platform::ToOrder(action),
                        [this, id = action.id](const call_result& result) {
                          OnOrderEnded(id, result);
                        });
  orders_[action.id] = {.order = action, .call = call, .sent_at = Now()};
}

void edge_daemon::OnOrderEnded(uint64_t id, const call_result& result) {
  const auto found = orders_.find(id);
  const sent_order sent = std::move(found->second);
  orders_.erase(found);
  const time_point now = Now();
  if (result.end == call_end::kAnswered &&
      platform::ReadLeaving(result.answer)) {
    router_actions told;
    router_.OnLeavingTarget(sent.order.target, now, told);
    Carry(told);
  }
  if (sent.order.is_grant && result.end == call_end::kAnswered &&
      now - sent.sent_at >= kLateGrantAnswer) {
    LogOrder(event_id::kGrantAnsweredLate, sent,
             {.connection = result.connection,
              .fresh_connection = result.fresh_connection,
              .written = true});
  }
  assigner_actions actions;
  assigner_.OnOrderEnded(platform::ReadOrderAnswer(id, result), now, actions);
  Carry(actions);
}

void edge_daemon::CarryOne(const order_cancel& action) {
  const auto found = orders_.find(action.id);
  if (found != orders_.end()) {
    LogOrder(event_id::kOrderCancelled, found->second,
             orders_pool_.Progress(found->second.call));
    orders_pool_.Cancel(found->second.call);
    orders_.erase(found);
  }
}

void edge_daemon::LogOrder(event_id event, const sent_order& sent,
                           const call_progress& progress) {
  const key_order& order = sent.order;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now() - sent.sent_at);
  LogEvent(event, {{"order", order.is_grant ? "grant" : "release"},
                   {"target", order.target.id},
                   {"first", int64_t{order.first}},
                   {"last", int64_t{order.last}},
                   {"fence", static_cast<int64_t>(order.fence)},
                   {"age_ms", int64_t{age.count()}},
                   {"connection", static_cast<int64_t>(progress.connection)},
                   {"new_connection", progress.fresh_connection ? "yes" : "no"},
                   {"written", progress.written ? "yes" : "no"}});
}

/// What this host vouches for in its first heartbeats must be fresh, or all
/// other hosts make their own calls meanwhile.
void edge_daemon::ReadStoreNow() {
  const time_point now = Now();
  config_.ReadNow(now);
  targets_.ReadNow(now);
  own_.ReadNow(now);
  evacuation_requests_.ReadNow(now);
}

shared_object edge_daemon::LeaseObject(const assigner_lease& lease) const {
  return {.kind = shared_kind::kSystem,
          .name = std::string{key_assigner::kLeaseName},
          .revision = assigner_.lease_revision(),
          .content = FormatLease(lease)};
}

/// Tells the other hosts who holds the lease now.
void edge_daemon::ShareLease() {
  const auto& lease = assigner_.lease();
  if (lease) {
    ShareObject(LeaseObject(*lease), Now());
  }
}

void edge_daemon::CarryOne(const share_hosts_action& action) {
  SendToHost(action.address, FormatHostMessage(action.record));
}

void edge_daemon::CarryOne(const assigner_note& action) {
  using kind = assigner_note::kind;
  event_id event = event_id::kAssignerBegan;
  switch (action.note_kind) {
    case kind::kLeaseTaken:
      event = event_id::kAssignerBegan;
      ShareLease();
      ReadStoreNow();
      break;
    case kind::kLeaseLost:
      event = event_id::kAssignerEnded;
      break;
    case kind::kTargetLost:
      event = event_id::kOwnerLost;
      break;
    case kind::kKeysMoving:
      metrics_.OnKeysMoved();
      event = event_id::kKeysMoving;
      break;
    case kind::kKeysGranted:
      event = event_id::kKeysGranted;
      break;
    case kind::kGrantFenced:
      event = event_id::kGrantFenced;
      break;
    case kind::kKeysFree:
      event = event_id::kKeysFree;
      break;
    case kind::kOrderFailed:
      event = event_id::kOrderFailed;
      break;
  }
  LogEvent(event, {{"service", action.service},
                   {"target", action.target},
                   {"first", int64_t{action.first}},
                   {"last", int64_t{action.last}},
                   {"fence", static_cast<int64_t>(action.fence)},
                   {"detail", action.detail}});
}

void edge_daemon::CarryOne(const share_owners_action& action) {
  announced_.Add(action.record);
  SendToHosts(action.hops, FormatHostMessage(action.record));
}

void edge_daemon::CarryOne(const heartbeat_action& action) {
  assigner_heartbeat heartbeat = action.heartbeat;
  heartbeat.view = View(Now());
  heartbeat.evacuated = Evacuated(Now());
  heartbeat.statements = router_.Statements(Now());
  Truncate(heartbeat.statements.limits);
  Truncate(heartbeat.statements.leaving);
  heartbeat.crashes = router_.crashes().Latest(kMarksInHeartbeat, Now());
  SendToHosts(action.hops, FormatHostMessage(heartbeat));
}

}  // namespace foxtailspread
