#include "foxtailspread/load/load_sharing.h"

#include <algorithm>

#include "foxtailspread/load/target_load.h"

namespace foxtailspread {
namespace {

/// Weights of a latency above and below the estimate: it settles among the
/// fastest answers, falls within some tens of them, and takes a thousand slow
/// ones to rise.
constexpr double kWeightAbove = 0.0005;
constexpr double kWeightBelow = 0.02;
/// The first answers are averaged.
constexpr int kFirstAnswers = 16;

/// Sharing goes on for this time after it was needed last.
constexpr duration kHoldTime{std::chrono::seconds{10}};

}  // namespace

void load_sharing::OnServed(duration latency) {
  answers_ = std::min(answers_ + 1, kFirstAnswers + 1);
  const double weight = answers_ <= kFirstAnswers ? 1.0 / answers_
                        : latency > work_         ? kWeightAbove
                                                  : kWeightBelow;
  work_ += Part(latency - work_, weight);
}

bool load_sharing::Update(size_t host_count, bool reports_load,
                          time_point now) {
  if (reports_load || NeedsSharedView(host_count, slots_, work_, objective_)) {
    is_on_ = true;
    needed_at_ = now;
  } else if (now - needed_at_ >= kHoldTime) {
    is_on_ = false;
  }
  return is_on_;
}

}  // namespace foxtailspread
