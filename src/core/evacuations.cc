#include "foxtailspread/evacuations.h"

#include <utility>

namespace foxtailspread {

bool evacuations::Update(std::set<std::string> zones, time_point as_of,
                         bool is_complete) {
  if (as_of < as_of_) {
    return false;
  }
  as_of_ = as_of;
  if (!is_complete) {
    zones.insert(zones_.begin(), zones_.end());
  }
  const bool changed = zones != zones_;
  zones_ = std::move(zones);
  return changed;
}

}  // namespace foxtailspread
