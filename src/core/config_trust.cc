#include "foxtailspread/config_trust.h"

#include <algorithm>

namespace foxtailspread {

void config_trust::OnVersionHeard(uint64_t version) {
  heard_version_ = std::max(version, heard_version_.value_or(0));
}

bool config_trust::IsNewest(uint64_t in_force, time_point as_of,
                            time_point now) const {
  const bool is_told = heard_version_ || now - first_at_ >= kConfigToldWithin;
  const bool is_rewritten =
      !era_began_at_ || now - *era_began_at_ >= kConfigRewriteTime;
  return is_told && is_rewritten && in_force >= heard_version_.value_or(0) &&
         now - as_of <= kMaxConfigAge;
}

}  // namespace foxtailspread
