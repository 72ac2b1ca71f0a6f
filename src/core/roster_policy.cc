#include "foxtailspread/roster_policy.h"

#include <algorithm>

namespace foxtailspread {
namespace {

bool Contains(const std::vector<member>& members, const member& host_run) {
  return std::find(members.begin(), members.end(), host_run) != members.end();
}

bool ContainsHost(const std::vector<member>& members, std::string_view host) {
  return std::any_of(members.begin(), members.end(),
                     [&](const member& m) { return m.host == host; });
}

bool HasRestarted(const member& host_run, const roster_facts& facts) {
  return facts.latest_life(host_run.host) > host_run.life;
}

/// Returns the member that should be replaced: preferably one that has
/// restarted since, otherwise one that is unavailable.
std::optional<member> MemberToReplace(const std::vector<member>& members,
                                      const roster_facts& facts) {
  for (const member& host_run : members) {
    if (host_run != facts.self && HasRestarted(host_run, facts)) {
      return host_run;
    }
  }
  for (const member& host_run : members) {
    if (host_run != facts.self && facts.is_unavailable(host_run)) {
      return host_run;
    }
  }
  return std::nullopt;
}

/// Returns the candidate on the host `preferred` if there is one, otherwise the
/// first candidate whose host is not in the roster.
std::optional<member> PickCandidate(const std::vector<member>& members,
                                    std::string_view preferred,
                                    const roster_facts& facts) {
  std::optional<member> picked;
  for (const member& candidate : facts.candidates) {
    const bool is_preferred = candidate.host == preferred;
    if (ContainsHost(members, candidate.host) && !is_preferred) {
      continue;
    }
    if (is_preferred) {
      return candidate;
    }
    if (!picked) {
      picked = candidate;
    }
  }
  return picked;
}

/// Makes `members` the roster. Members keep their epochs where these still
/// ascend, so that a steward's term continues; the others get new epochs.
void AssignEpochs(const std::vector<member>& members, bool all_new,
                  range_record& record) {
  const std::vector<roster_slot> old_order = std::move(record.roster);
  record.roster.clear();
  uint64_t last_epoch = 0;
  for (const member& host_run : members) {
    uint64_t epoch = 0;
    for (const roster_slot& slot : old_order) {
      if (slot.host_run == host_run) {
        epoch = slot.epoch;
      }
    }
    if (all_new || epoch <= last_epoch) {
      epoch = record.next_epoch++;
    }
    record.roster.push_back(roster_slot{host_run, epoch});
    last_epoch = epoch;
  }
}

void MoveToFront(std::vector<member>& members, const member& host_run) {
  const auto found = std::find(members.begin(), members.end(), host_run);
  std::rotate(members.begin(), found, found + 1);
}

bool CertainlyDead(const member& host_run, const range_record& record,
                   const roster_facts& facts) {
  const auto& declared_dead = record.declared_dead;
  return HasRestarted(host_run, facts) ||
         std::find(declared_dead.begin(), declared_dead.end(), host_run.host) !=
             declared_dead.end();
}

bool MajorityDead(const std::vector<member>& members,
                  const range_record& record, const roster_facts& facts) {
  const auto dead = std::count_if(
      members.begin(), members.end(), [&](const member& host_run) {
        return CertainlyDead(host_run, record, facts);
      });
  const size_t alive = members.size() - static_cast<size_t>(dead);
  return alive < members.size() / 2 + 1;
}

}  // namespace

std::optional<range_record> InitialRecord(std::span<const member> candidates,
                                          size_t offset) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  range_record record;
  const size_t size = std::min(candidates.size(), kMaxRosterSize);
  for (size_t i = 0; i < size; ++i) {
    const member& host_run = candidates[(offset + i) % candidates.size()];
    record.roster.push_back(roster_slot{host_run, record.next_epoch++});
  }
  return record;
}

std::optional<range_record> RepairedRecord(const range_record& record,
                                           const roster_facts& facts) {
  range_record next = record;
  if (!record.previous_members.empty()) {
    if (!facts.all_saw_record) {
      return std::nullopt;
    }
    next.previous_members.clear();
    return next;
  }
  std::vector<member> members = record.Members();
  if (!Contains(members, facts.self)) {
    return std::nullopt;
  }
  const std::vector<member> old_members = members;
  MoveToFront(members, facts.self);
  if (const auto leaving = MemberToReplace(members, facts)) {
    const auto joining = PickCandidate(members, leaving->host, facts);
    if (joining) {
      std::erase(members, *leaving);
      members.push_back(*joining);
      next.previous_members = old_members;
    }
  } else if (members.size() < kMaxRosterSize) {
    if (const auto joining = PickCandidate(members, "", facts)) {
      members.push_back(*joining);
      next.previous_members = old_members;
    }
  }
  if (members == old_members && !facts.outranked) {
    return std::nullopt;
  }
  AssignEpochs(members, facts.outranked, next);
  return next;
}

std::optional<range_record> RenumberedRecord(const range_record& record,
                                             const roster_facts& facts) {
  std::vector<member> members = record.Members();
  if (!Contains(members, facts.self)) {
    return std::nullopt;
  }
  MoveToFront(members, facts.self);
  range_record next = record;
  AssignEpochs(members, /*all_new=*/true, next);
  return next;
}

std::optional<range_record> ResetRecord(const range_record& record,
                                        const roster_facts& facts) {
  const bool order_dead = MajorityDead(record.Members(), record, facts);
  const bool previous_dead =
      !record.previous_members.empty() &&
      MajorityDead(record.previous_members, record, facts);
  // Authority needs a majority of both rosters, so a dead majority in one of
  // them blocks the range.
  if (!order_dead && !previous_dead) {
    return std::nullopt;
  }
  range_record next = record;
  std::vector<member> members{facts.self};
  for (const roster_slot& slot : record.roster) {
    const bool survives = !CertainlyDead(slot.host_run, record, facts);
    if (survives && !Contains(members, slot.host_run)) {
      members.push_back(slot.host_run);
    }
  }
  for (const member& candidate : facts.candidates) {
    if (members.size() < kMaxRosterSize &&
        !ContainsHost(members, candidate.host)) {
      members.push_back(candidate);
    }
  }
  next.previous_members.clear();
  next.declared_dead.clear();
  next.reset_count += 1;
  AssignEpochs(members, /*all_new=*/true, next);
  return next;
}

}  // namespace foxtailspread
