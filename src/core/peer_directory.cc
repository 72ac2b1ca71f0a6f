#include "foxtailspread/peer_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailspread {
namespace {

using json = nlohmann::json;

/// Returns up to `count` elements of the sorted `ring` that follow `self`,
/// wrapping around at the end.
std::vector<std::string> NextInRing(const std::vector<std::string>& ring,
                                    std::string_view self, size_t count) {
  std::vector<std::string> next;
  const auto start = std::upper_bound(ring.begin(), ring.end(), self);
  const size_t offset = start - ring.begin();
  for (size_t i = 0; i < ring.size() && next.size() < count; ++i) {
    const std::string& name = ring[(offset + i) % ring.size()];
    if (name != self) {
      next.push_back(name);
    }
  }
  return next;
}

}  // namespace

result<host_entry> ParseHostEntry(std::string_view name,
                                  std::string_view text) {
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return error{error_code::kMalformed, std::string(name),
                 "the value of the host's object is not a JSON object",
                 "remove it; the host writes it again"};
  }
  try {
    host_entry entry;
    entry.name = name;
    entry.zone = value.at("zone").get<std::string>();
    entry.http = value.at("http").get<std::string>();
    entry.peer = value.at("peer").get<std::string>();
    entry.life = value.at("life").get<uint64_t>();
    entry.leaving = value.at("state").get<std::string>() == "leaving";
    return entry;
  } catch (const json::exception& e) {
    return error{error_code::kMalformed, std::string(name), e.what(),
                 "remove it; the host writes it again"};
  }
}

std::string FormatHostEntry(const host_entry& entry) {
  return json{{"zone", entry.zone},
              {"http", entry.http},
              {"peer", entry.peer},
              {"life", entry.life},
              {"state", entry.leaving ? "leaving" : "live"}}
      .dump();
}

peer_directory::peer_directory(host_entry self) : self_(std::move(self)) {
  hosts_[self_.name].entry = self_;
  AddToZone(self_.name, self_.zone);
}

void peer_directory::AddToZone(std::string_view name, std::string_view zone) {
  std::vector<std::string>& names = by_zone_[std::string(zone)];
  const auto position = std::lower_bound(names.begin(), names.end(), name);
  if (position == names.end() || *position != name) {
    names.insert(position, std::string(name));
  }
}

void peer_directory::RemoveFromZone(std::string_view name,
                                    std::string_view zone) {
  const auto found = by_zone_.find(zone);
  if (found == by_zone_.end()) {
    return;
  }
  std::erase(found->second, name);
  if (found->second.empty()) {
    by_zone_.erase(found);
  }
}

void peer_directory::Update(const host_entry& entry) {
  if (entry.name == self_.name) {
    return;
  }
  known_host& known = hosts_[entry.name];
  if (entry.life >= known.entry.life) {
    RemoveFromZone(entry.name, known.entry.zone);
    known.entry = entry;
    AddToZone(entry.name, entry.zone);
  }
}

void peer_directory::Remove(std::string_view name) {
  const auto found = hosts_.find(name);
  if (found != hosts_.end() && name != self_.name) {
    RemoveFromZone(name, found->second.entry.zone);
    hosts_.erase(found);
  }
}

void peer_directory::RecordMessage(const member& from, time_point now) {
  const auto found = hosts_.find(from.host);
  if (found == hosts_.end() || from.life < found->second.entry.life) {
    return;
  }
  known_host& known = found->second;
  if (from.life > known.entry.life) {
    known.entry.life = from.life;
    known.entry.leaving = false;
  }
  known.last_message_time = now;
  known.has_sent_message = true;
}

void peer_directory::MarkLeaving(std::string_view name) {
  const auto found = hosts_.find(name);
  if (found != hosts_.end()) {
    found->second.entry.leaving = true;
  }
}

const host_entry* peer_directory::Find(std::string_view name) const {
  const auto found = hosts_.find(name);
  return found == hosts_.end() ? nullptr : &found->second.entry;
}

bool peer_directory::IsAlive(std::string_view name, time_point now,
                             duration within) const {
  if (name == self_.name) {
    return true;
  }
  const auto found = hosts_.find(name);
  return found != hosts_.end() && found->second.has_sent_message &&
         !found->second.entry.leaving &&
         now < found->second.last_message_time + within;
}

std::optional<duration> peer_directory::TimeSinceLastMessage(
    std::string_view name, time_point now) const {
  const auto found = hosts_.find(name);
  if (found == hosts_.end() || !found->second.has_sent_message) {
    return std::nullopt;
  }
  return now - found->second.last_message_time;
}

uint64_t peer_directory::LatestLife(std::string_view name) const {
  const host_entry* entry = Find(name);
  return entry == nullptr ? 0 : entry->life;
}

const std::vector<std::string>& peer_directory::HostsOfZone(
    std::string_view zone) const {
  static const std::vector<std::string> no_hosts;
  const auto found = by_zone_.find(zone);
  return found == by_zone_.end() ? no_hosts : found->second;
}

size_t peer_directory::OwnRank() const {
  const std::vector<std::string>& hosts = HostsOfZone(self_.zone);
  return std::lower_bound(hosts.begin(), hosts.end(), self_.name) -
         hosts.begin();
}

std::vector<std::string> peer_directory::HostNames() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : hosts_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> peer_directory::Neighbours() const {
  std::vector<std::string> neighbours =
      NextInRing(HostsOfZone(self_.zone), self_.name, kRingNeighbours);
  std::vector<std::string> zones;
  for (const auto& [zone, names] : by_zone_) {
    zones.push_back(zone);
  }
  for (const std::string& zone :
       NextInRing(zones, self_.zone, kZoneNeighbours)) {
    const std::vector<std::string>& zone_hosts = HostsOfZone(zone);
    neighbours.push_back(zone_hosts[OwnRank() % zone_hosts.size()]);
  }
  return neighbours;
}

}  // namespace foxtailspread
