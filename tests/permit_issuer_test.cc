#include "foxtailspread/permit_issuer.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PermitIssuerTest : public ::testing::Test {
 protected:
  /// Asks for one permit in every millisecond of `time` and returns how many
  /// were granted.
  size_t IssueFor(duration time, double per_second) {
    size_t granted = 0;
    for (const time_point end = now_ + time; now_ < end;
         now_ += milliseconds{1}) {
      granted +=
          issuer_.Issue(target_, {.count = 1}, per_second, now_).delays.size();
    }
    return granted;
  }

  permit_issuer issuer_;
  target_life target_{.id = "t", .started = 1};
  time_point now_{seconds{100}};
};

TEST_F(PermitIssuerTest, SteadyDemandGetsTheWholeRate) {
  IssueFor(seconds{5}, 2.8);
  EXPECT_NEAR(static_cast<double>(IssueFor(seconds{100}, 2.8)), 280.0, 1.0);
}

// Guards against a new issuer that grants a burst just after its predecessor
// granted one.
TEST_F(PermitIssuerTest, NewIssuerGrantsNoBurst) {
  const permit_grant first = issuer_.Issue(target_, {.count = 3}, 2.0, now_);
  EXPECT_TRUE(first.delays.empty());
  EXPECT_EQ(first.next_delay, milliseconds{500});
}

TEST_F(PermitIssuerTest, IdleTargetGetsASmallBurst) {
  issuer_.Issue(target_, {.count = 1}, 2.0, now_);
  now_ += seconds{20};
  const permit_grant burst = issuer_.Issue(target_, {.count = 10}, 2.0, now_);
  EXPECT_EQ(burst.delays.size(), 2U);
}

TEST_F(PermitIssuerTest, SlotsWithinTheMaximumDelayAreReserved) {
  issuer_.Issue(target_, {.count = 1}, 10.0, now_);
  now_ += seconds{20};
  const permit_grant grant = issuer_.Issue(
      target_, {.count = 20, .max_delay = milliseconds{250}}, 10.0, now_);
  ASSERT_EQ(grant.delays.size(), 7U);
  EXPECT_EQ(grant.delays[4], duration{0});
  EXPECT_EQ(grant.delays[6], milliseconds{200});
  EXPECT_EQ(grant.next_delay, milliseconds{300});
}

TEST_F(PermitIssuerTest, LaterLifeOfATargetHasItsOwnSlots) {
  issuer_.Issue(target_, {.count = 1}, 2.0, now_);
  now_ += seconds{20};
  issuer_.Issue(target_, {.count = 2}, 2.0, now_);
  target_.started = 2;
  EXPECT_EQ(issuer_.Issue(target_, {.count = 1}, 2.0, now_).next_delay,
            milliseconds{500});
}

}  // namespace
}  // namespace foxtailspread
