#include "foxtailspread/permit_cache.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PermitCacheTest : public ::testing::Test {
 protected:
  PermitCacheTest() { permits_.SetOwnRate(0.5); }

  /// Requests `count` permits and returns the request's number.
  uint64_t Request(size_t count) {
    const auto request = permits_.Request(count, milliseconds{300}, now_);
    EXPECT_TRUE(request);
    return request ? request->sequence : 0;
  }

  size_t UsePermits() {
    size_t used = 0;
    for (; permits_.HasPermit(now_); ++used) {
      permits_.Use(now_);
    }
    return used;
  }

  permit_cache permits_{0.25};
  time_point now_{seconds{100}};
};

TEST_F(PermitCacheTest, EachGrantedPermitIsUsedOnce) {
  const uint64_t sequence = Request(2);
  EXPECT_FALSE(permits_.HasPermit(now_));
  permits_.OnGrant(sequence, {.delays = {duration{0}, duration{0}}}, now_);
  EXPECT_EQ(UsePermits(), 2U);
}

TEST_F(PermitCacheTest, PermitOfALaterSlotWaitsForIt) {
  permits_.OnGrant(Request(1), {.delays = {milliseconds{200}}}, now_);
  now_ += milliseconds{190};
  EXPECT_EQ(UsePermits(), 0U);
  now_ += milliseconds{10};
  EXPECT_EQ(UsePermits(), 1U);
}

// Guards against permits of several seconds that a frozen host or a slow link
// held back and that are used at once.
TEST_F(PermitCacheTest, OldPermitsAreNotUsed) {
  permits_.OnGrant(Request(1), {.delays = {duration{0}}}, now_);
  now_ += milliseconds{501};
  EXPECT_EQ(UsePermits(), 0U);
  const uint64_t delayed = Request(1);
  now_ += seconds{2};
  permits_.OnGrant(delayed, {.delays = {duration{0}}}, now_);
  EXPECT_EQ(permits_.Outlook(now_).usable_at.size(), 0U);
}

TEST_F(PermitCacheTest, NothingIsRequestedWhileEnoughIsExpected) {
  Request(2);
  EXPECT_FALSE(permits_.Request(2, milliseconds{300}, now_));
  EXPECT_TRUE(permits_.Request(3, milliseconds{300}, now_));
}

// Guards against a datagram for each request of callers that is refused anyway.
TEST_F(PermitCacheTest, NothingIsRequestedBeforeTheNextChance) {
  permits_.OnGrant(Request(1), {.delays = {}, .next_delay = seconds{1}}, now_);
  now_ += milliseconds{600};
  EXPECT_FALSE(permits_.Request(1, milliseconds{300}, now_));
  EXPECT_FALSE(permits_.Outlook(now_).IsPossible(0, now_ + milliseconds{300}));
  now_ += milliseconds{100};
  EXPECT_TRUE(permits_.Request(1, milliseconds{300}, now_));
}

TEST_F(PermitCacheTest, WithoutAnIssuerItsOwnRateIsUsed) {
  size_t used = 0;
  for (int i = 0; i < 2000; ++i) {
    permits_.Request(1, milliseconds{300}, now_);
    used += UsePermits();
    now_ += milliseconds{10};
  }
  EXPECT_EQ(used, 10U);
}

// Guards against hosts that have just started, do not know how many hosts there
// are, and each send at the whole rate.
TEST_F(PermitCacheTest, WithoutAnIssuerAndARateNothingIsSent) {
  permits_.SetOwnRate(0.0);
  Request(1);
  now_ += seconds{5};
  EXPECT_EQ(UsePermits(), 0U);
}

}  // namespace
}  // namespace foxtailspread
