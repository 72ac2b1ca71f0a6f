#include "foxtailspread/retry_budget.h"

namespace foxtailspread {

retry_budget::slice& retry_budget::At(time_point now) {
  const duration length = bounds_.window / kSlices;
  const int64_t number = now.time_since_epoch() / length;
  slice& found = slices_[static_cast<size_t>(number) % slices_.size()];
  if (found.number != number) {
    found = {.number = number};
  }
  return found;
}

double retry_budget::Left(time_point now) {
  const int64_t newest = At(now).number;
  double requests = 0.0;
  double repeats = 0.0;
  for (const slice& each : slices_) {
    if (each.number >= 0 && newest - each.number <= kSlices) {
      requests += each.requests;
      repeats += each.repeats;
    }
  }
  const double allowed =
      bounds_.ratio * requests + bounds_.slack / static_cast<double>(hosts_);
  return allowed * kUsedShare - repeats;
}

bool retry_budget::TryRepeat(time_point now) {
  if (!HasRoom(now)) {
    return false;
  }
  ++At(now).repeats;
  return true;
}

}  // namespace foxtailspread
