#include "foxtailspread/retry_budget.h"

namespace foxtailspread {

retry_budget::slice& retry_budget::At(time_point now) {
  const duration slice_length = bounds_.window / kSlices;
  const int64_t number = now.time_since_epoch() / slice_length;
  slice& current = slices_[static_cast<size_t>(number) % slices_.size()];
  if (current.number != number) {
    current = {.number = number};
  }
  return current;
}

double retry_budget::Left(time_point now) {
  const int64_t newest = At(now).number;
  double requests = 0.0;
  double retries = 0.0;
  for (const slice& counted : slices_) {
    if (counted.number >= 0 && newest - counted.number <= kSlices) {
      requests += counted.requests;
      retries += counted.repeats;
    }
  }
  const double allowed =
      bounds_.ratio * requests + bounds_.slack / static_cast<double>(hosts_);
  return allowed * kUsedShare - retries;
}

bool retry_budget::TryRepeat(time_point now) {
  if (!HasRoom(now)) {
    return false;
  }
  ++At(now).repeats;
  return true;
}

}  // namespace foxtailspread
