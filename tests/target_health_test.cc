// Tests of the limit of one host at a target that many hosts share.

#include "foxtailspread/target_health.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 3;
constexpr duration kRunTime{milliseconds{300}};
constexpr duration kObjective{milliseconds{800}};

class TargetHealthTest : public ::testing::Test {
 protected:
  void SetHostCount(size_t host_count) { health_.SetLimits(0, host_count); }

  /// Sends one request that ends after `latency`.
  void Send(attempt_verdict verdict, duration latency) {
    const time_point sent_at = now_;
    health_.OnSent(sent_at);
    now_ += latency;
    health_.OnEnded(verdict, sent_at, kObjective, now_);
  }

  /// Tries to send ten requests per second for `period_seconds` to a target
  /// that sheds all of them. Returns how many the limit let pass.
  int CountSentWhileShedding(int period_seconds) {
    int sent_count = 0;
    for (int i = 0; i < period_seconds * 10; ++i) {
      if (health_.HasCapacity(now_)) {
        ++sent_count;
        Send(attempt_verdict::kShed, milliseconds{2});
      }
      now_ += milliseconds{100};
    }
    return sent_count;
  }

  target_health health_{kSlots, kRunTime};
  time_point now_{seconds{100}};
};

// Guards against hosts that keep sending to an owner that sheds. One key gets a
// third of all requests of two hundred hosts, thirty times the capacity of its
// owner. Such hosts fill the owner's queue, make it reset connections and use
// up the retry budget.
TEST_F(TargetHealthTest, SheddingOwnerGetsFewRequestsFromEachOfManyHosts) {
  SetHostCount(195);
  EXPECT_LE(CountSentWhileShedding(10), 10)
      << "requests sent out of 100 attempts";
}

// Guards against an idle owner: nine hosts that paused as long as hundreds of
// hosts must would together send less than it can handle.
TEST_F(TargetHealthTest, SheddingOwnerStaysBusyWithFewHosts) {
  SetHostCount(9);
  constexpr int kSeconds = 10;
  const int sent_count = CountSentWhileShedding(kSeconds);
  const double sent_per_second = 9.0 * sent_count / kSeconds;
  EXPECT_GE(sent_per_second, kSlots / 0.3)
      << "must reach the target's capacity in requests per second";
}

TEST_F(TargetHealthTest, FirstServedRequestEndsThePauses) {
  SetHostCount(195);
  CountSentWhileShedding(5);
  now_ = std::max(now_, health_.PausedUntil());
  ASSERT_TRUE(health_.HasCapacity(now_));
  Send(attempt_verdict::kServed, kRunTime);
  EXPECT_TRUE(health_.HasCapacity(now_));
}

// Guards against pauses after a few sheds by chance: requests for the target's
// keys can go to no other target.
TEST_F(TargetHealthTest, FewConsecutiveShedsCauseNoPause) {
  SetHostCount(195);
  for (int i = 0; i < 10; ++i) {
    Send(attempt_verdict::kShed, milliseconds{2});
    EXPECT_TRUE(health_.HasCapacity(now_));
    Send(attempt_verdict::kShed, milliseconds{2});
    EXPECT_TRUE(health_.HasCapacity(now_));
    Send(attempt_verdict::kServed, kRunTime);
  }
}

}  // namespace
}  // namespace foxtailspread
