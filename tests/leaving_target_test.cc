#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

#include "support/router_world.h"

namespace foxtailspread::testing {
namespace {

using std::chrono::seconds;

struct leaving_case {
  const char* name = "";
  size_t hosts = 12;
  bool keyed = true;
  size_t leaving_targets = 1;
};

void PrintTo(const leaving_case& parameter, std::ostream* out) {
  *out << parameter.name;
}

/// Targets that say in their answers that they shut down, while the store goes
/// on listing them as ready and no keys can move.
class LeavingTargetTest : public ::testing::TestWithParam<leaving_case> {
 protected:
  static constexpr size_t kTargets = 14;

  LeavingTargetTest()
      : world_({.hosts = GetParam().hosts,
                .targets = kTargets,
                .keyed = GetParam().keyed,
                .seed = 1}),
        rate_(0.4 * world_.Capacity()) {
    world_.Run(rate_, seconds{10});
    for (size_t i = 0; i < GetParam().leaving_targets; ++i) {
      world_.Leave(i);
    }
    world_.Run(rate_, seconds{1});
    world_.ListTargets();
    world_.Run(rate_, seconds{4});
    results_ = world_.Run(rate_, seconds{5});
  }

  router_world world_;
  double rate_;
  caller_results results_;
};

// Guards against requests to a target that its answers have told the host is
// shutting down.
TEST_P(LeavingTargetTest, GetsNothingFromHostsThatItTold) {
  for (size_t i = 0; i < GetParam().leaving_targets; ++i) {
    EXPECT_EQ(world_.leaving(i).late_requests(), 0U);
  }
}

// Guards against hosts that go on because another host was told.
TEST_P(LeavingTargetTest, GetsNothingFromHostsThatItDidNotTell) {
  for (size_t i = 0; i < GetParam().leaving_targets; ++i) {
    EXPECT_EQ(world_.leaving(i).requests_after_first_told(), 0U);
  }
}

// Guards against callers that are held although no target will serve them.
TEST_P(LeavingTargetTest, CallersWithoutAnotherTargetAreRefusedAtOnce) {
  const bool has_others = !GetParam().keyed && GetParam().leaving_targets == 1;
  if (has_others) {
    EXPECT_EQ(results_.refused, 0U);
  } else {
    EXPECT_GT(results_.refused, 0U);
    const auto& times = results_.times_to_refusal[refusal_reason::kNoTarget];
    ASSERT_FALSE(times.empty());
    EXPECT_EQ(std::ranges::max(times), duration{0});
  }
}

INSTANTIATE_TEST_SUITE_P(
    Leaving, LeavingTargetTest,
    ::testing::Values(leaving_case{.name = "KeyedOwner"},
                      leaving_case{.name = "KeyedOwnerManyHosts", .hosts = 195},
                      leaving_case{.name = "OnePooledTarget", .keyed = false},
                      leaving_case{.name = "AllPooledTargets",
                                   .keyed = false,
                                   .leaving_targets = 14}),
    [](const auto& parameter) { return std::string{parameter.param.name}; });

}  // namespace
}  // namespace foxtailspread::testing
