// What one host knows of a target that hundreds of hosts share.

#include "foxtailspread/target_health.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 3;
constexpr duration kWork{milliseconds{300}};
constexpr duration kObjective{milliseconds{800}};

class TargetHealthTest : public ::testing::Test {
 protected:
  void Share(size_t hosts) { health_.SetShare(0, hosts); }

  /// Sends one request that ends after `took`.
  void Send(attempt_verdict verdict, duration took) {
    const time_point sent = now_;
    health_.OnSent(sent);
    now_ += took;
    health_.OnEnded(verdict, sent, kObjective, now_);
  }

  /// How many of `seconds` times ten tries, one each tenth of a second, are
  /// sent, if the target sheds all of them.
  int SentWhileShedding(int for_seconds) {
    int sent = 0;
    for (int i = 0; i < for_seconds * 10; ++i) {
      if (health_.HasRoom(now_)) {
        ++sent;
        Send(attempt_verdict::kShed, milliseconds{2});
      }
      now_ += milliseconds{100};
    }
    return sent;
  }

  target_health health_{kSlots, kWork};
  time_point now_{seconds{100}};
};

// A key gets a third of all requests of two hundred hosts, thirty times what
// its owner can do. Each host that goes on sending what the owner sheds fills
// its queue, makes it reset connections, and spends the budget of repeats.
TEST_F(TargetHealthTest, OwnerThatShedsIsSharedByPausesAmongManyHosts) {
  Share(195);
  EXPECT_LE(SentWhileShedding(10), 10) << "of a hundred";
}

// The same owner at nine hosts, which together do not fill it. Pauses made for
// many hosts would leave it idle.
TEST_F(TargetHealthTest, FewHostsKeepAFullTargetBusy) {
  Share(9);
  constexpr int kSeconds = 10;
  const int sent = SentWhileShedding(kSeconds);
  const double all = 9.0 * sent / kSeconds;
  EXPECT_GE(all, kSlots / 0.3) << "what the target can do in a second";
}

TEST_F(TargetHealthTest, FirstServedRequestEndsThePauses) {
  Share(195);
  SentWhileShedding(5);
  now_ = std::max(now_, health_.PausedUntil());
  ASSERT_TRUE(health_.HasRoom(now_));
  Send(attempt_verdict::kServed, kWork);
  EXPECT_TRUE(health_.HasRoom(now_));
}

// A target sheds one request by chance. Left alone for it, its keys would have
// nobody who answers.
TEST_F(TargetHealthTest, SingleShedsMakeNoPause) {
  Share(195);
  for (int i = 0; i < 10; ++i) {
    Send(attempt_verdict::kShed, milliseconds{2});
    EXPECT_TRUE(health_.HasRoom(now_));
    Send(attempt_verdict::kShed, milliseconds{2});
    EXPECT_TRUE(health_.HasRoom(now_));
    Send(attempt_verdict::kServed, kWork);
  }
}

}  // namespace
}  // namespace foxtailspread
