#include "foxtailspread/host_messages.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <span>

#include "core/load/key_throttle_message.h"
#include "core/load/load_codec.h"
#include "core/message_values.h"
#include "foxtailspread/json_depth.h"
#include "foxtailspread/target_entry_check.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

/// Tags: the first element of each message.
constexpr std::string_view kReportTag = "load";
constexpr std::string_view kHeartbeatTag = "heartbeat";
constexpr std::string_view kOwnersTag = "keys";
constexpr std::string_view kTargetsTag = "targets";
constexpr std::string_view kObjectTag = "object";
constexpr std::string_view kHostsTag = "hosts";
constexpr std::string_view kLoadsTag = "loads";
constexpr std::string_view kStatementsTag = "statements";
constexpr std::string_view kCrashesTag = "crashes";
constexpr std::string_view kRelaysTag = "relays";
constexpr std::string_view kPermitRequestTag = "permit-request";
constexpr std::string_view kPermitReplyTag = "permit-reply";
constexpr std::string_view kRepeatTag = "repeat";
constexpr std::string_view kRelayedTag = "relay";

/// Number of array elements that encode one limit_sample.
constexpr size_t kLimitFields = 5;
/// Number of array elements that encode one leaving_sample.
constexpr size_t kLeavingFields = 3;
/// Number of array elements that encode one crash_mark.
constexpr size_t kMarkFields = 5;
/// Numbers of array elements that encode one survived_break and one
/// served_content.
constexpr size_t kSurvivorFields = 3;
constexpr size_t kServedFields = 2;
/// Number of array elements that encode one held_owners.
constexpr size_t kHeldFields = 3;
/// Positions of fields that earlier releases do not send.
constexpr size_t kHeartbeatStatements = 8;
constexpr size_t kHeartbeatCrashes = 9;
constexpr size_t kReportCrashes = 9;
constexpr size_t kReportPaths = 10;
constexpr size_t kReportEra = 11;
constexpr size_t kReportFormerLease = 12;
constexpr size_t kReportConfig = 13;
constexpr size_t kReportFormerHost = 14;
constexpr size_t kHeartbeatEra = 10;
constexpr size_t kViewEra = 4;
constexpr size_t kViewConfig = 5;
constexpr size_t kOwnersBaseEra = 5;
constexpr size_t kOwnersEra = 6;
constexpr size_t kTargetsEra = 4;
constexpr size_t kObjectEra = 5;

/// How long a store view is valid after it was read, as a fraction of the time
/// that a draining target still accepts requests (2 s). Watches are renewed
/// within a second, so two heartbeats may be lost, and a change made right
/// after the view was read is still known to all hosts in time.
constexpr double kViewValidFraction = 0.8;

/// More than a deployment has.
constexpr size_t kMaxHosts = 1'000'000;

int64_t InMs(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Earlier releases expect a list of another form here.
json NoPoisonMarks() { return json::array(); }

json ToJson(const crash_evidence& evidence) {
  json marks = json::array();
  for (const crash_mark& mark : evidence.marks) {
    marks.push_back(mark.content_hash);
    marks.push_back(mark.target.id);
    marks.push_back(mark.target.started);
    marks.push_back(InMs(mark.age));
    marks.push_back(mark.is_confirmed);
  }
  json survivors = json::array();
  for (const survived_break& survivor : evidence.survivors) {
    survivors.push_back(survivor.target.id);
    survivors.push_back(survivor.target.started);
    survivors.push_back(InMs(survivor.age));
  }
  json served = json::array();
  for (const served_content& content : evidence.served) {
    served.push_back(content.content_hash);
    served.push_back(InMs(content.age));
  }
  return json::array(
      {std::move(marks), std::move(survivors), std::move(served)});
}

/// The fields of all samples in one flat array; null for no limit.
json ToJson(std::span<const limit_sample> limits) {
  json flat = json::array();
  for (const limit_sample& sample : limits) {
    flat.push_back(sample.target.id);
    flat.push_back(sample.target.started);
    flat.push_back(sample.per_second ? json(*sample.per_second) : json());
    flat.push_back(sample.sent_age_ms);
    flat.push_back(sample.received_age_ms);
  }
  return flat;
}

json ToJson(const target_statements& statements) {
  json leaving = json::array();
  for (const leaving_sample& sample : statements.leaving) {
    leaving.push_back(sample.target.id);
    leaving.push_back(sample.target.started);
    leaving.push_back(sample.age_ms);
  }
  return json::array(
      {ToJson(std::span{statements.limits}), std::move(leaving)});
}

json ToJson(const statements_record& record) {
  return json::array({kStatementsTag, ToJson(record.statements)});
}

json ToJson(const permit_request& request) {
  return json::array({kPermitRequestTag, request.address, request.sequence,
                      ToJson(std::span{&request.limit, 1}),
                      request.demand.count, InMs(request.demand.max_delay)});
}

json ToJson(const permit_reply& reply) {
  json delays = json::array();
  for (const duration delay : reply.grant.delays) {
    delays.push_back(InMs(delay));
  }
  return json::array({kPermitReplyTag, reply.sequence,
                      ToJson(std::span{&reply.limit, 1}), std::move(delays),
                      InMs(reply.grant.next_delay)});
}

json ToJson(const crashes_record& record) {
  return json::array({kCrashesTag, ToJson(record.evidence)});
}

json ToJson(const relays_record& record) {
  return json::array({kRelaysTag, record.addresses});
}

json ToJson(const loads_record& record) {
  return load_codec::ToJson(kLoadsTag, record);
}

json ToJson(const load_report& report) {
  json services = json::array();
  for (const service_load& load : report.services) {
    json flat = json::array();
    for (const auto& [key, count] : load.keys) {
      flat.push_back(key);
      flat.push_back(count);
    }
    services.push_back({load.service, std::move(flat)});
  }
  json targets = json::array();
  for (const target_latency& latency : report.targets) {
    targets.push_back({latency.target, latency.latency_us, latency.served});
  }
  return json::array({kReportTag, report.host, report.zone, report.address,
                      report.lease_revision.counter, std::move(services),
                      std::move(targets), NoPoisonMarks(), report.link_mbps,
                      ToJson(report.crashes), static_cast<int>(report.paths),
                      report.lease_revision.era, report.former_lease_count,
                      report.config_version, report.former_lease_host});
}

json ToJson(const assigner_heartbeat& heartbeat) {
  json view;
  if (heartbeat.view) {
    const store_view& summary = *heartbeat.view;
    view = json::array({summary.config_revision.counter, summary.targets_digest,
                        summary.owners_digest, summary.age_ms,
                        summary.config_revision.era, summary.config_version});
  }
  json evacuated;
  if (heartbeat.evacuated) {
    evacuated =
        json::array({heartbeat.evacuated->zones, heartbeat.evacuated->age_ms});
  }
  return json::array({kHeartbeatTag, heartbeat.host,
                      heartbeat.lease_revision.counter, heartbeat.successors,
                      std::move(view), NoPoisonMarks(), heartbeat.host_count,
                      std::move(evacuated), ToJson(heartbeat.statements),
                      ToJson(heartbeat.crashes), heartbeat.lease_revision.era});
}

json ToJson(const owners_record& record) {
  // MessagePack takes half the bytes of the JSON text.
  return json::array({kOwnersTag, record.service, record.base_revision.counter,
                      record.revision.counter,
                      json::parse(record.content, nullptr, false),
                      record.base_revision.era, record.revision.era});
}

json ToJson(const repeat_request& request) {
  json owners = json::array();
  for (const held_owners& held : request.owners) {
    owners.insert(owners.end(),
                  {held.service, held.revision.era, held.revision.counter});
  }
  return json::array({kRepeatTag, request.address, request.config_version,
                      request.lease_host, std::move(owners)});
}

json ToJson(const targets_record& record) {
  json changes = json::array();
  for (const shared_entry& change : record.changes) {
    json fields = {change.name, change.revision.counter, change.deleted};
    if (change.entry) {
      const target_entry& entry = *change.entry;
      fields.insert(fields.end(),
                    {entry.life.id, entry.life.started, entry.service,
                     entry.address, entry.zone, entry.slots, entry.draining,
                     entry.remaining_cold_time.count() / 1000, entry.sequence});
    }
    changes.push_back(std::move(fields));
  }
  return json::array({kTargetsTag, record.base_digest, record.age_ms,
                      std::move(changes), record.era});
}

json ToJson(const shared_object& object) {
  return json::array({kObjectTag, static_cast<int>(object.kind), object.name,
                      object.revision.counter,
                      json::parse(object.content, nullptr, false),
                      object.revision.era});
}

json ToJson(const hosts_record& record) {
  json hosts = json::array();
  for (const host_contact& host : record.hosts) {
    hosts.push_back({host.name, host.zone, host.address, host.link_mbps});
  }
  return json::array({kHostsTag, std::move(hosts)});
}

json ToJson(const relayed_message& message) {
  const std::string& payload = message.payload;
  return json::array(
      {kRelayedTag, message.forward_to,
       json::binary(std::vector<uint8_t>(payload.begin(), payload.end()))});
}

// The Read functions use checked accessors, which throw on malformed input.
// ParseHostMessage turns the exception into an error.

/// Reads a number that earlier releases do not send.
uint64_t ReadNumber(const json& value, size_t position) {
  return value.size() > position ? ReadWhole<uint64_t>(value.at(position)) : 0;
}

store_revision ReadRevision(const json& value, size_t counter_position,
                            size_t era_position) {
  return {ReadNumber(value, era_position),
          ReadWhole<uint64_t>(value.at(counter_position))};
}

std::set<std::string> ReadZones(const json& value) {
  const std::vector<std::string> zones = ReadTexts(value);
  return {zones.begin(), zones.end()};
}

duration ReadMs(const json& value) {
  return std::chrono::milliseconds{ReadWhole<uint32_t>(value)};
}

crash_evidence ReadCrashes(const json& value) {
  crash_evidence evidence;
  const json& marks = value.at(0);
  for (size_t i = 0; i + kMarkFields <= marks.size(); i += kMarkFields) {
    evidence.marks.push_back(
        {.content_hash = ReadWhole<uint64_t>(marks.at(i)),
         .target = {.id = ReadText(marks.at(i + 1)),
                    .started = ReadWhole<uint64_t>(marks.at(i + 2))},
         .age = ReadMs(marks.at(i + 3)),
         .is_confirmed = marks.at(i + 4).get<bool>()});
  }
  const json& survivors = value.at(1);
  for (size_t i = 0; i + kSurvivorFields <= survivors.size();
       i += kSurvivorFields) {
    evidence.survivors.push_back(
        {.target = {.id = ReadText(survivors.at(i)),
                    .started = ReadWhole<uint64_t>(survivors.at(i + 1))},
         .age = ReadMs(survivors.at(i + 2))});
  }
  const json& served = value.at(2);
  for (size_t i = 0; i + kServedFields <= served.size(); i += kServedFields) {
    evidence.served.push_back(
        {.content_hash = ReadWhole<uint64_t>(served.at(i)),
         .age = ReadMs(served.at(i + 1))});
  }
  return evidence;
}

std::vector<limit_sample> ReadLimits(const json& flat) {
  std::vector<limit_sample> limits;
  for (size_t i = 0; i + kLimitFields <= flat.size(); i += kLimitFields) {
    limit_sample& sample = limits.emplace_back();
    sample.target = {.id = ReadText(flat.at(i)),
                     .started = ReadWhole<uint64_t>(flat.at(i + 1))};
    if (!flat.at(i + 2).is_null()) {
      sample.per_second = ReadAmount(flat.at(i + 2));
    }
    sample.sent_age_ms = ReadWhole<uint32_t>(flat.at(i + 3));
    sample.received_age_ms = ReadWhole<uint32_t>(flat.at(i + 4));
  }
  return limits;
}

target_statements ReadStatements(const json& value) {
  target_statements statements{.limits = ReadLimits(value.at(0))};
  const json& leaving = value.at(1);
  for (size_t i = 0; i + kLeavingFields <= leaving.size();
       i += kLeavingFields) {
    statements.leaving.push_back(
        {.target = {.id = ReadText(leaving.at(i)),
                    .started = ReadWhole<uint64_t>(leaving.at(i + 1))},
         .age_ms = ReadWhole<uint32_t>(leaving.at(i + 2))});
  }
  return statements;
}

limit_sample ReadLimit(const json& flat) {
  const std::vector<limit_sample> limits = ReadLimits(flat);
  return limits.empty() ? limit_sample{} : limits.front();
}

permit_request ReadPermitRequest(const json& value) {
  return {.address = ReadText(value.at(1)),
          .sequence = ReadWhole<uint64_t>(value.at(2)),
          .limit = ReadLimit(value.at(3)),
          .demand = {.count = ReadWhole<uint32_t>(value.at(4)),
                     .max_delay = ReadMs(value.at(5))}};
}

permit_reply ReadPermitReply(const json& value) {
  permit_reply reply{.sequence = ReadWhole<uint64_t>(value.at(1)),
                     .limit = ReadLimit(value.at(2))};
  for (const json& delay : value.at(3)) {
    reply.grant.delays.push_back(ReadMs(delay));
  }
  reply.grant.next_delay = ReadMs(value.at(4));
  return reply;
}

target_paths ReadPaths(const json& value) {
  const int number = ReadWhole<int>(value);
  return number == static_cast<int>(target_paths::kNone)   ? target_paths::kNone
         : number == static_cast<int>(target_paths::kSome) ? target_paths::kSome
                                                           : target_paths::kAll;
}

load_report ReadReport(const json& value) {
  load_report report;
  report.host = ReadText(value.at(1));
  report.zone = ReadText(value.at(2));
  report.address = ReadText(value.at(3));
  report.lease_revision = ReadRevision(value, 4, kReportEra);
  report.former_lease_count = ReadNumber(value, kReportFormerLease);
  report.config_version = ReadNumber(value, kReportConfig);
  if (value.size() > kReportFormerHost) {
    report.former_lease_host = ReadText(value.at(kReportFormerHost));
  }
  for (const json& service : value.at(5)) {
    service_load& load = report.services.emplace_back();
    load.service = ReadText(service.at(0));
    const json& flat = service.at(1);
    for (size_t i = 0; i + 1 < flat.size(); i += 2) {
      load.keys.emplace_back(ReadWhole<uint32_t>(flat.at(i)),
                             ReadWhole<uint32_t>(flat.at(i + 1)));
    }
  }
  for (const json& target : value.at(6)) {
    report.targets.push_back({.target = ReadText(target.at(0)),
                              .latency_us = ReadWhole<uint32_t>(target.at(1)),
                              .served = ReadWhole<uint32_t>(target.at(2))});
  }
  report.link_mbps = ReadAmount(value.at(8));
  if (value.size() > kReportCrashes) {
    report.crashes = ReadCrashes(value.at(kReportCrashes));
  }
  if (value.size() > kReportPaths) {
    report.paths = ReadPaths(value.at(kReportPaths));
  }
  return report;
}

assigner_heartbeat ReadHeartbeat(const json& value) {
  assigner_heartbeat heartbeat;
  heartbeat.host = ReadText(value.at(1));
  heartbeat.lease_revision = ReadRevision(value, 2, kHeartbeatEra);
  heartbeat.successors = ReadTexts(value.at(3));
  const json& view = value.at(4);
  if (!view.is_null()) {
    heartbeat.view =
        store_view{.config_revision = ReadRevision(view, 0, kViewEra),
                   .config_version = ReadNumber(view, kViewConfig),
                   .targets_digest = ReadWhole<uint64_t>(view.at(1)),
                   .owners_digest = ReadWhole<uint64_t>(view.at(2)),
                   .age_ms = ReadWhole<uint32_t>(view.at(3))};
  }
  heartbeat.host_count = ReadWhole(value.at(6), kMaxHosts);
  const json& evacuated = value.at(7);
  if (!evacuated.is_null()) {
    heartbeat.evacuated =
        evacuation_view{.zones = ReadZones(evacuated.at(0)),
                        .age_ms = ReadWhole<uint32_t>(evacuated.at(1))};
  }
  if (value.size() > kHeartbeatStatements) {
    heartbeat.statements = ReadStatements(value.at(kHeartbeatStatements));
  }
  if (value.size() > kHeartbeatCrashes) {
    heartbeat.crashes = ReadCrashes(value.at(kHeartbeatCrashes));
  }
  return heartbeat;
}

owners_record ReadOwners(const json& value) {
  return {.service = ReadText(value.at(1)),
          .base_revision = ReadRevision(value, 2, kOwnersBaseEra),
          .revision = ReadRevision(value, 3, kOwnersEra),
          .content = value.at(4).dump()};
}

repeat_request ReadRepeatRequest(const json& value) {
  repeat_request request{.address = ReadText(value.at(1)),
                         .config_version = ReadWhole<uint64_t>(value.at(2)),
                         .lease_host = ReadText(value.at(3)),
                         .owners = {}};
  const json& owners = value.at(4);
  for (size_t i = 0; i < owners.size(); i += kHeldFields) {
    request.owners.push_back(
        {.service = ReadText(owners.at(i)),
         .revision = {ReadWhole<uint64_t>(owners.at(i + 1)),
                      ReadWhole<uint64_t>(owners.at(i + 2))}});
  }
  return request;
}

shared_entry ReadSharedEntry(const json& value, uint64_t era) {
  constexpr size_t kFieldsWithoutEntry = 3;
  shared_entry shared{.name = ReadText(value.at(0)),
                      .revision = {era, ReadWhole<uint64_t>(value.at(1))},
                      .deleted = value.at(2).get<bool>()};
  if (value.size() <= kFieldsWithoutEntry) {
    return shared;
  }
  constexpr int64_t kMostMs = kMaxStatedTime / std::chrono::milliseconds{1};
  target_entry entry{.life = {.id = ReadText(value.at(3)),
                              .started = ReadWhole<uint64_t>(value.at(4))},
                     .service = ReadText(value.at(5)),
                     .address = ReadText(value.at(6)),
                     .zone = ReadText(value.at(7)),
                     .slots = ReadWhole<int>(value.at(8)),
                     .draining = value.at(9).get<bool>(),
                     .remaining_cold_time = std::chrono::milliseconds{ReadWhole(
                         value.at(10), kMostMs)},
                     .sequence = ReadWhole<uint64_t>(value.at(11))};
  if (NamesTarget(entry)) {
    shared.entry = std::move(entry);
  }
  return shared;
}

targets_record ReadTargets(const json& value) {
  targets_record record{.base_digest = ReadWhole<uint64_t>(value.at(1)),
                        .age_ms = ReadWhole<uint32_t>(value.at(2)),
                        .era = ReadNumber(value, kTargetsEra),
                        .changes = {}};
  for (const json& change : value.at(3)) {
    record.changes.push_back(ReadSharedEntry(change, record.era));
  }
  return record;
}

shared_object ReadSharedObject(const json& value) {
  const bool own =
      ReadWhole<int>(value.at(1)) == static_cast<int>(shared_kind::kSystem);
  return {.kind = own ? shared_kind::kSystem : shared_kind::kDeclarations,
          .name = ReadText(value.at(2)),
          .revision = ReadRevision(value, 3, kObjectEra),
          .content = value.at(4).dump()};
}

hosts_record ReadHosts(const json& value) {
  hosts_record record;
  for (const json& host : value.at(1)) {
    record.hosts.push_back({.name = ReadText(host.at(0)),
                            .zone = ReadText(host.at(1)),
                            .address = ReadText(host.at(2)),
                            .link_mbps = ReadAmount(host.at(3))});
  }
  return record;
}

relayed_message ReadRelayed(const json& value) {
  const auto& payload = value.at(2).get_binary();
  return {.forward_to = ReadTexts(value.at(1)),
          .payload = std::string(payload.begin(), payload.end())};
}

error MalformedMessage() {
  return error{error_code::kMalformed, "", "is not a valid host message",
               "run the same release on all hosts"};
}

}  // namespace

std::string FormatHostMessage(const host_message& message) {
  const json value =
      std::visit([](const auto& content) { return ToJson(content); }, message);
  const std::vector<uint8_t> packed = json::to_msgpack(value);
  return {packed.begin(), packed.end()};
}

result<host_message> ParseHostMessage(std::string_view bytes) {
  const json value = ReadMessagePack(bytes, kMaxMessageDepth);
  try {
    const auto tag = ReadText(value.at(0));
    if (tag == kReportTag) {
      return host_message{ReadReport(value)};
    }
    if (tag == kHeartbeatTag) {
      return host_message{ReadHeartbeat(value)};
    }
    if (tag == kOwnersTag) {
      return host_message{ReadOwners(value)};
    }
    if (tag == kTargetsTag) {
      return host_message{ReadTargets(value)};
    }
    if (tag == kObjectTag) {
      return host_message{ReadSharedObject(value)};
    }
    if (tag == kHostsTag) {
      return host_message{ReadHosts(value)};
    }
    if (tag == kLoadsTag) {
      return host_message{load_codec::Read(value)};
    }
    if (tag == kStatementsTag) {
      return host_message{statements_record{ReadStatements(value.at(1))}};
    }
    if (tag == kCrashesTag) {
      return host_message{crashes_record{ReadCrashes(value.at(1))}};
    }
    if (tag == kRelaysTag) {
      return host_message{relays_record{ReadTexts(value.at(1))}};
    }
    if (tag == kPermitRequestTag) {
      return host_message{ReadPermitRequest(value)};
    }
    if (tag == kPermitReplyTag) {
      return host_message{ReadPermitReply(value)};
    }
    if (tag == kRepeatTag) {
      return host_message{ReadRepeatRequest(value)};
    }
    if (tag == kThrottlesTag) {
      return host_message{ReadKeyThrottles(value)};
    }
    if (tag == kRelayedTag) {
      return host_message{ReadRelayed(value)};
    }
  } catch (const json::exception&) {
    return MalformedMessage();
  }
  return MalformedMessage();
}

std::optional<time_point> ViewValidUntil(const store_view& view,
                                         duration drain_timeout,
                                         time_point now) {
  const time_point read_at = now - std::chrono::milliseconds{view.age_ms};
  const time_point until = read_at + Part(drain_timeout, kViewValidFraction);
  return until > now ? std::optional{until} : std::nullopt;
}

}  // namespace foxtailspread
