#include "foxtailspread/target_entry.h"

#include "foxtailspread/hash.h"

namespace foxtailspread {

uint64_t DigestOf(std::span<const target_entry> targets) {
  uint64_t digest = targets.size();
  for (const target_entry& each : targets) {
    const uint64_t numbers =
        (each.life.started << 8U) ^ (static_cast<uint64_t>(each.slots) << 2U) ^
        (each.warm_up > duration{0} ? 2U : 0U) ^ (each.draining ? 1U : 0U);
    // A sum does not depend on the order of the entries.
    digest += HashParts({each.life.id, each.service, each.address, each.zone},
                        numbers);
  }
  return digest;
}

}  // namespace foxtailspread
