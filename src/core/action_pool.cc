#include "foxtailspread/action_pool.h"

#include "foxtailspread/range.h"

namespace foxtailspread {

std::string action_pool::NextRange(const service_config& service) {
  auto found = next_target_index_.find(service.name);
  if (found == next_target_index_.end()) {
    found = next_target_index_.emplace(service.name, 0).first;
  }
  const size_t target_index = found->second++ % service.targets.size();
  return RangeName(service.name, service.targets[target_index].zone);
}

void action_pool::AddId(std::string_view organisation, std::string_view range,
                        std::string id) {
  auto& ids = ids_[pool_key(organisation, range)];
  if (ids.size() < kMaxIdsPerRange) {
    ids.push_back(std::move(id));
  }
}

std::optional<std::string> action_pool::TakeId(std::string_view organisation,
                                               std::string_view range) {
  const auto found = ids_.find(pool_key(organisation, range));
  if (found == ids_.end() || found->second.empty()) {
    return std::nullopt;
  }
  std::string id = std::move(found->second.front());
  found->second.pop_front();
  return id;
}

void action_pool::RemoveRange(std::string_view range) {
  std::erase_if(
      ids_, [range](const auto& entry) { return entry.first.second == range; });
}

std::vector<std::string> SplitActionIds(std::string_view text) {
  std::vector<std::string> ids;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    ids.emplace_back(text.substr(0, comma));
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
  }
  return ids;
}

}  // namespace foxtailspread
