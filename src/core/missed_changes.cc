#include "foxtailspread/missed_changes.h"

#include <algorithm>
#include <utility>

namespace foxtailspread {
namespace {

/// With fewer hosts a list of each of them is no load on the store.
constexpr size_t kMinHosts = 32;

/// Time for a repeat to arrive; less than the period of heartbeats.
constexpr duration kRepeatTime{std::chrono::milliseconds{200}};

/// Changes of a few seconds while keys move.
constexpr size_t kKeptRecords = 32;

}  // namespace

copy_repair copy_repairs::OnCompared(bool is_same, size_t host_count,
                                     time_point now) {
  if (is_same) {
    differs_since_.reset();
    return copy_repair::kNone;
  }
  if (host_count < kMinHosts) {
    return copy_repair::kRead;
  }
  if (!differs_since_) {
    differs_since_ = now;
  }
  return now - *differs_since_ < kRepeatTime ? copy_repair::kAsk
                                             : copy_repair::kRead;
}

void announced_changes::Add(const owners_record& record) {
  std::deque<owners_record>& kept = records_[record.service];
  const bool continues =
      kept.empty() || kept.back().revision == record.base_revision;
  if (!continues) {
    kept.clear();
  }
  kept.push_back(record);
  if (kept.size() > kKeptRecords) {
    kept.pop_front();
  }
}

std::vector<owners_record> announced_changes::Since(const std::string& service,
                                                    store_revision held) const {
  const auto found = records_.find(service);
  if (found == records_.end()) {
    return {};
  }
  const std::deque<owners_record>& kept = found->second;
  const auto first =
      std::ranges::find(kept, held, &owners_record::base_revision);
  return {first, kept.end()};
}

}  // namespace foxtailspread
