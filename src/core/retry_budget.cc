#include "foxtailspread/retry_budget.h"

namespace foxtailspread {

retry_budget::slice& retry_budget::CurrentSlice(time_point now) {
  const duration slice_length = bounds_.window / kSlices;
  const int64_t number = now.time_since_epoch() / slice_length;
  slice& current = slices_[static_cast<size_t>(number) % slices_.size()];
  if (current.number != number) {
    current = {.number = number};
  }
  return current;
}

double retry_budget::RemainingRetries(time_point now) {
  const int64_t newest = CurrentSlice(now).number;
  double requests = 0.0;
  double retries = 0.0;
  for (const slice& counted : slices_) {
    if (counted.number >= 0 && newest - counted.number <= kSlices) {
      requests += counted.requests;
      retries += counted.retries;
    }
  }
  const double allowed = bounds_.ratio * requests +
                         bounds_.slack / static_cast<double>(host_count_);
  return allowed * kUsedFraction - retries;
}

bool retry_budget::TryRetry(time_point now) {
  if (!CanRetry(now)) {
    return false;
  }
  ++CurrentSlice(now).retries;
  return true;
}

}  // namespace foxtailspread
