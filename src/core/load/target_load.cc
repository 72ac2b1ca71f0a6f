#include "foxtailspread/load/target_load.h"

#include <algorithm>

namespace foxtailspread {

void load_view::Update(uint32_t target, const target_load& load) {
  const auto [found, is_new] = loads_.try_emplace(target, load);
  if (!is_new && load.as_of >= found->second.as_of) {
    found->second = load;
  }
}

const target_load* load_view::Find(uint32_t target, time_point now) const {
  const auto found = loads_.find(target);
  const bool is_known =
      found != loads_.end() && now - found->second.as_of < kTtl;
  return is_known ? &found->second : nullptr;
}

void load_view::DropOutdated(time_point now) {
  std::erase_if(loads_, [now](const auto& target_and_load) {
    return now - target_and_load.second.as_of >= kTtl;
  });
}

double ExpectedOccupancy(const target_load& load, size_t own_sent_since) {
  return load.occupied + static_cast<double>(own_sent_since);
}

bool NeedsSharedView(size_t host_count, int slots, duration work,
                     duration objective) {
  return work * static_cast<int64_t>(host_count) / std::max(slots, 1) >
         objective;
}

}  // namespace foxtailspread
