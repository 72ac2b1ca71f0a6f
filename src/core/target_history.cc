#include "foxtailspread/target_history.h"

namespace foxtailspread {
namespace {

/// More than the age of any copy that the store returns to.
constexpr duration kRetention{std::chrono::seconds{60}};

}  // namespace

std::vector<target_entry> target_history::Correct(
    std::vector<target_entry> listed, uint64_t era, time_point now) {
  std::map<life_key, known_target> before = std::exchange(known_, {});
  std::vector<target_entry> corrected;
  corrected.reserve(listed.size());
  for (target_entry& entry : listed) {
    const life_key key{entry.life.id, entry.life.started};
    const auto found = before.find(key);
    if (found == before.end()) {
      known_[key] = {.entry = entry, .last_listed = now};
      corrected.push_back(std::move(entry));
      continue;
    }
    known_target& known = found->second;
    const bool is_of_new_era = known.missing_in_era < era;
    const bool has_reported = entry.sequence > known.entry.sequence;
    if (!known.listed && is_of_new_era && !has_reported) {
      continue;  // It had ended; the copy still lists it.
    }
    const bool is_outdated = entry.sequence < known.entry.sequence;
    const bool has_left = known.entry.draining;
    if (!is_outdated) {
      known.entry = std::move(entry);
      known.entry.draining = known.entry.draining || has_left;
    }
    known.listed = true;
    known.last_listed = now;
    corrected.push_back(known.entry);
    known_[key] = std::move(known);
    before.erase(found);
  }
  for (auto& [key, known] : before) {
    if (now - known.last_listed < kRetention) {
      known.missing_in_era = known.listed ? era : known.missing_in_era;
      known.listed = false;
      known_.emplace(key, std::move(known));
    }
  }
  return corrected;
}

}  // namespace foxtailspread
