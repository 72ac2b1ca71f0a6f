#include "foxtailspread/target_limit.h"

#include <algorithm>

namespace foxtailspread {

bool target_limit::Update(std::optional<double> per_second, time_point sent_at,
                          time_point received_at) {
  const bool changes = per_second != per_second_;
  if (changes && sent_at < received_at_) {
    return false;
  }
  per_second_ = per_second;
  sent_at_ = std::max(sent_at_, sent_at);
  received_at_ = std::max(received_at_, received_at);
  return changes;
}

}  // namespace foxtailspread
