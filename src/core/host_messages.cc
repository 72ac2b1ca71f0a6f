#include "foxtailspread/host_messages.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace foxtailspread {
namespace {

using nlohmann::json;

/// The first element of each message.
constexpr std::string_view kReportTag = "load";
constexpr std::string_view kHeartbeatTag = "heartbeat";
constexpr std::string_view kOwnersTag = "keys";
constexpr std::string_view kTargetsTag = "targets";
constexpr std::string_view kObjectTag = "object";
constexpr std::string_view kHostsTag = "hosts";
constexpr std::string_view kLoadsTag = "loads";
constexpr std::string_view kRelayedTag = "relay";

constexpr double kPercent = 100.0;
/// Figures of one load_sample.
constexpr size_t kSampleFigures = 7;

/// How long after a view was read it spares others their calls, as a part of
/// the time that a leaving target goes on taking requests (2 s). Watches are
/// renewed within a second, so two heartbeats may be lost; what changed right
/// after the view was read is still known everywhere in time.
constexpr double kVouchedPart = 0.8;

/// Contents that crash targets, as hash, crashes and age in milliseconds.
json ToJson(const std::vector<poison_mark>& marks) {
  json list = json::array();
  for (const poison_mark& each : marks) {
    list.push_back({each.content_hash, each.crashes, each.age.count() / 1000});
  }
  return list;
}

/// The figures of each sample, one after the other; the slowness in percent.
json ToJson(const std::vector<load_sample>& loads) {
  json flat = json::array();
  for (const load_sample& each : loads) {
    flat.push_back(each.target);
    flat.push_back(each.load.running);
    flat.push_back(each.load.waiting);
    flat.push_back(std::lround(each.load.slowness * kPercent));
    flat.push_back(each.age_ms);
    flat.push_back(each.latency_us);
    flat.push_back(each.served);
  }
  return flat;
}

json ToJson(const loads_record& record) {
  return json::array({kLoadsTag, ToJson(record.loads)});
}

json ToJson(const load_report& report) {
  json services = json::array();
  for (const service_load& each : report.services) {
    json flat = json::array();
    for (const auto& [key, count] : each.keys) {
      flat.push_back(key);
      flat.push_back(count);
    }
    services.push_back({each.service, std::move(flat)});
  }
  json targets = json::array();
  for (const target_latency& each : report.targets) {
    targets.push_back({each.target, each.latency_us, each.served});
  }
  return json::array({kReportTag, report.host, report.zone, report.address,
                      report.lease_revision, std::move(services),
                      std::move(targets), ToJson(report.crashes),
                      report.link_mbps});
}

json ToJson(const assigner_heartbeat& heartbeat) {
  json view;
  if (heartbeat.view) {
    view =
        json::array({heartbeat.view->config_revision, heartbeat.view->targets,
                     heartbeat.view->owners, heartbeat.view->age_ms});
  }
  json evacuated;
  if (heartbeat.evacuated) {
    evacuated =
        json::array({heartbeat.evacuated->zones, heartbeat.evacuated->age_ms});
  }
  return json::array({kHeartbeatTag, heartbeat.host, heartbeat.lease_revision,
                      heartbeat.successors, std::move(view),
                      ToJson(heartbeat.crashes), heartbeat.hosts,
                      std::move(evacuated)});
}

json ToJson(const owners_record& record) {
  // Packed as a value it takes half the bytes of its text.
  return json::array({kOwnersTag, record.service, record.base, record.revision,
                      json::parse(record.content, nullptr, false)});
}

json ToJson(const targets_record& record) {
  json changes = json::array();
  for (const shared_entry& each : record.changes) {
    json one = {each.name, each.revision, each.deleted};
    if (each.entry) {
      const target_entry& entry = *each.entry;
      one.insert(one.end(),
                 {entry.life.id, entry.life.started, entry.service,
                  entry.address, entry.zone, entry.slots, entry.draining,
                  entry.warm_up.count() / 1000, entry.sequence});
    }
    changes.push_back(std::move(one));
  }
  return json::array(
      {kTargetsTag, record.before, record.age_ms, std::move(changes)});
}

json ToJson(const shared_object& object) {
  return json::array({kObjectTag, static_cast<int>(object.kind), object.name,
                      object.revision,
                      json::parse(object.content, nullptr, false)});
}

json ToJson(const hosts_record& record) {
  json hosts = json::array();
  for (const host_contact& each : record.hosts) {
    hosts.push_back({each.name, each.zone, each.address, each.link_mbps});
  }
  return json::array({kHostsTag, std::move(hosts)});
}

json ToJson(const relayed_message& message) {
  const std::string& payload = message.payload;
  return json::array(
      {kRelayedTag, message.forward_to,
       json::binary(std::vector<uint8_t>(payload.begin(), payload.end()))});
}

// The readers use the checked accessors of the JSON library, whose exceptions
// ParseHostMessage turns into an error.

std::vector<poison_mark> ReadMarks(const json& list) {
  std::vector<poison_mark> marks;
  for (const json& each : list) {
    marks.push_back(
        {.content_hash = each.at(0).get<uint64_t>(),
         .crashes = each.at(1).get<int>(),
         .age = std::chrono::milliseconds{each.at(2).get<int64_t>()}});
  }
  return marks;
}

std::vector<load_sample> ReadLoads(const json& flat) {
  std::vector<load_sample> loads;
  for (size_t i = 0; i + kSampleFigures <= flat.size(); i += kSampleFigures) {
    loads.push_back({.target = flat.at(i).get<uint32_t>(),
                     .load = {.running = flat.at(i + 1).get<int>(),
                              .waiting = flat.at(i + 2).get<int>(),
                              .slowness = flat.at(i + 3).get<int>() / kPercent},
                     .age_ms = flat.at(i + 4).get<uint32_t>(),
                     .latency_us = flat.at(i + 5).get<uint32_t>(),
                     .served = flat.at(i + 6).get<uint32_t>()});
  }
  return loads;
}

load_report ReadReport(const json& value) {
  load_report report;
  report.host = value.at(1).get<std::string>();
  report.zone = value.at(2).get<std::string>();
  report.address = value.at(3).get<std::string>();
  report.lease_revision = value.at(4).get<uint64_t>();
  for (const json& one : value.at(5)) {
    service_load& load = report.services.emplace_back();
    load.service = one.at(0).get<std::string>();
    const json& flat = one.at(1);
    for (size_t i = 0; i + 1 < flat.size(); i += 2) {
      load.keys.emplace_back(flat.at(i).get<uint32_t>(),
                             flat.at(i + 1).get<uint32_t>());
    }
  }
  for (const json& one : value.at(6)) {
    report.targets.push_back({.target = one.at(0).get<std::string>(),
                              .latency_us = one.at(1).get<uint32_t>(),
                              .served = one.at(2).get<uint32_t>()});
  }
  report.crashes = ReadMarks(value.at(7));
  report.link_mbps = value.at(8).get<double>();
  return report;
}

assigner_heartbeat ReadHeartbeat(const json& value) {
  assigner_heartbeat heartbeat;
  heartbeat.host = value.at(1).get<std::string>();
  heartbeat.lease_revision = value.at(2).get<uint64_t>();
  heartbeat.successors = value.at(3).get<std::vector<std::string>>();
  const json& view = value.at(4);
  if (!view.is_null()) {
    heartbeat.view = store_view{.config_revision = view.at(0).get<uint64_t>(),
                                .targets = view.at(1).get<uint64_t>(),
                                .owners = view.at(2).get<uint64_t>(),
                                .age_ms = view.at(3).get<uint32_t>()};
  }
  heartbeat.crashes = ReadMarks(value.at(5));
  heartbeat.hosts = value.at(6).get<size_t>();
  const json& evacuated = value.at(7);
  if (!evacuated.is_null()) {
    heartbeat.evacuated =
        evacuation_view{.zones = evacuated.at(0).get<std::set<std::string>>(),
                        .age_ms = evacuated.at(1).get<uint32_t>()};
  }
  return heartbeat;
}

owners_record ReadOwners(const json& value) {
  return {.service = value.at(1).get<std::string>(),
          .base = value.at(2).get<uint64_t>(),
          .revision = value.at(3).get<uint64_t>(),
          .content = value.at(4).dump()};
}

shared_entry ReadSharedEntry(const json& value) {
  constexpr size_t kWithoutEntry = 3;
  shared_entry read{.name = value.at(0).get<std::string>(),
                    .revision = value.at(1).get<uint64_t>(),
                    .deleted = value.at(2).get<bool>()};
  if (value.size() > kWithoutEntry) {
    read.entry = target_entry{
        .life = {.id = value.at(3).get<std::string>(),
                 .started = value.at(4).get<uint64_t>()},
        .service = value.at(5).get<std::string>(),
        .address = value.at(6).get<std::string>(),
        .zone = value.at(7).get<std::string>(),
        .slots = value.at(8).get<int>(),
        .draining = value.at(9).get<bool>(),
        .warm_up = std::chrono::milliseconds{value.at(10).get<int64_t>()},
        .sequence = value.at(11).get<uint64_t>()};
  }
  return read;
}

targets_record ReadTargets(const json& value) {
  targets_record record{.before = value.at(1).get<uint64_t>(),
                        .age_ms = value.at(2).get<uint32_t>(),
                        .changes = {}};
  for (const json& each : value.at(3)) {
    record.changes.push_back(ReadSharedEntry(each));
  }
  return record;
}

shared_object ReadSharedObject(const json& value) {
  const bool own =
      value.at(1).get<int>() == static_cast<int>(shared_kind::kOwn);
  return {.kind = own ? shared_kind::kOwn : shared_kind::kDeclarations,
          .name = value.at(2).get<std::string>(),
          .revision = value.at(3).get<uint64_t>(),
          .content = value.at(4).dump()};
}

hosts_record ReadHosts(const json& value) {
  hosts_record record;
  for (const json& each : value.at(1)) {
    record.hosts.push_back({.name = each.at(0).get<std::string>(),
                            .zone = each.at(1).get<std::string>(),
                            .address = each.at(2).get<std::string>(),
                            .link_mbps = each.at(3).get<double>()});
  }
  return record;
}

relayed_message ReadRelayed(const json& value) {
  const auto& payload = value.at(2).get_binary();
  return {.forward_to = value.at(1).get<std::vector<std::string>>(),
          .payload = std::string(payload.begin(), payload.end())};
}

error Malformed() {
  return error{error_code::kMalformed, "", "is not a message of a host",
               "run one release on all hosts"};
}

}  // namespace

std::string FormatHostMessage(const host_message& message) {
  const json value =
      std::visit([](const auto& each) { return ToJson(each); }, message);
  const std::vector<uint8_t> packed = json::to_msgpack(value);
  return {packed.begin(), packed.end()};
}

result<host_message> ParseHostMessage(std::string_view bytes) {
  const json value =
      json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  try {
    const auto tag = value.at(0).get<std::string>();
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
      return host_message{loads_record{ReadLoads(value.at(1))}};
    }
    if (tag == kRelayedTag) {
      return host_message{ReadRelayed(value)};
    }
  } catch (const json::exception&) {
    return Malformed();
  }
  return Malformed();
}

std::optional<time_point> VouchedUntil(const store_view& view, duration drain,
                                       time_point now) {
  const time_point read = now - std::chrono::milliseconds{view.age_ms};
  const time_point until = read + Part(drain, kVouchedPart);
  return until > now ? std::optional{until} : std::nullopt;
}

}  // namespace foxtailspread
