#include <gtest/gtest.h>

#include <ostream>

#include "support/router_world.h"

namespace foxtailspread::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct backoff_case {
  const char* name = "";
  size_t hosts = 12;
  bool keyed = true;
  size_t rejecting_targets = 1;
};

void PrintTo(const backoff_case& parameter, std::ostream* out) {
  *out << parameter.name;
}

/// Targets that reject all requests for some seconds and ask each host that
/// sends one for a backoff of three seconds.
class BackoffTargetTest : public ::testing::TestWithParam<backoff_case> {
 protected:
  static constexpr size_t kTargets = 14;

  BackoffTargetTest()
      : world_({.hosts = GetParam().hosts,
                .targets = kTargets,
                .keyed = GetParam().keyed,
                .seed = 1}),
        rate_(0.4 * world_.Capacity()) {
    world_.Run(rate_, seconds{10});
    for (size_t i = 0; i < GetParam().rejecting_targets; ++i) {
      world_.Reject(i, seconds{7}, seconds{3});
    }
    results_ = world_.Run(rate_, seconds{7});
  }

  router_world world_;
  double rate_;
  caller_results results_;
};

// Guards against requests to a target during the backoff that it asked for.
TEST_P(BackoffTargetTest, GetsNoMoreThanTwoRequestsOfAHostDuringABackoff) {
  for (size_t i = 0; i < GetParam().rejecting_targets; ++i) {
    EXPECT_EQ(world_.backoff(i).excess(), 0U);
  }
}

// Guards against callers that are held while no target will serve them.
TEST_P(BackoffTargetTest, CallersWithoutAnotherTargetAreRefusedSoon) {
  if (results_.refused > 0) {
    EXPECT_LE(results_.MeanTimeToRefusal(), milliseconds{15});
  }
}

// Guards against all hosts that send what they have at the end of a backoff
// that began at the same moment for all.
TEST_P(BackoffTargetTest, GetsAFewRequestsFirstAfterABackoff) {
  const double usual = rate_ / kTargets;
  size_t arrivals = world_.Arrivals(0);
  for (int i = 0; i < 40; ++i) {
    world_.Run(rate_, milliseconds{100});
    const size_t in_step = world_.Arrivals(0) - arrivals;
    arrivals = world_.Arrivals(0);
    EXPECT_LE(static_cast<double>(in_step), usual * 0.1 * 2.0 + 10.0);
  }
}

// Guards against hosts that stay away from a target after its backoff.
TEST_P(BackoffTargetTest, IsUsedAgainAfterItsBackoff) {
  world_.Run(rate_, seconds{5});
  const size_t before = world_.Arrivals(0);
  const caller_results results = world_.Run(rate_, seconds{5});
  EXPECT_LE(results.refused, results.requests / 50);
  EXPECT_GE(static_cast<double>(world_.Arrivals(0) - before),
            rate_ / kTargets * 5.0 * 0.25);
}

INSTANTIATE_TEST_SUITE_P(
    Backoffs, BackoffTargetTest,
    ::testing::Values(backoff_case{.name = "KeyedOwner"},
                      backoff_case{.name = "KeyedOwnerTwoHosts", .hosts = 2},
                      backoff_case{.name = "OnePooledTarget", .keyed = false},
                      backoff_case{.name = "AllPooledTargets",
                                   .keyed = false,
                                   .rejecting_targets = 14}),
    [](const auto& parameter) { return std::string{parameter.param.name}; });

}  // namespace
}  // namespace foxtailspread::testing
