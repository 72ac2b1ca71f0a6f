#include "foxtailspread/evacuations.h"

#include <utility>

namespace foxtailspread {

bool evacuations::Update(std::set<std::string> zones, time_point as_of) {
  if (as_of < as_of_) {
    return false;
  }
  as_of_ = as_of;
  const bool changed = zones != zones_;
  zones_ = std::move(zones);
  return changed;
}

}  // namespace foxtailspread
