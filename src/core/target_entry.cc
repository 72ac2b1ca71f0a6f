#include "foxtailspread/target_entry.h"

#include "foxtailspread/hash.h"

namespace foxtailspread {

uint64_t DigestOf(std::span<const target_entry> targets) {
  uint64_t digest = targets.size();
  for (const target_entry& entry : targets) {
    const uint64_t packed_numbers =
        (entry.life.started << 8U) ^
        (static_cast<uint64_t>(entry.slots) << 2U) ^
        (entry.remaining_cold_time > duration{0} ? 2U : 0U) ^
        (entry.draining ? 1U : 0U);
    // A sum is independent of the order of the entries.
    digest +=
        HashParts({entry.life.id, entry.service, entry.address, entry.zone},
                  packed_numbers);
  }
  return digest;
}

}  // namespace foxtailspread
