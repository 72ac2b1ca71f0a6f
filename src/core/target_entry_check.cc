#include "foxtailspread/target_entry_check.h"

#include "foxtailspread/address.h"

namespace foxtailspread {

bool NamesTarget(const target_entry& entry) {
  constexpr auto kMost = static_cast<uint64_t>(kMaxCounter);
  return entry.slots > 0 && entry.slots <= kMaxSlots &&
         entry.sequence <= kMost && entry.life.started <= kMost &&
         entry.remaining_cold_time >= duration{0} &&
         entry.remaining_cold_time <= kMaxStatedTime &&
         CheckReachableAddress(entry.address);
}

}  // namespace foxtailspread
