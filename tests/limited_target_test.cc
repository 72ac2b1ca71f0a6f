#include <gtest/gtest.h>

#include <ostream>

#include "support/router_world.h"

namespace foxtailspread::testing {
namespace {

using std::chrono::seconds;

/// Time for the hosts to learn the capacity of the targets, and time measured
/// after targets state a limit.
constexpr duration kLearningTime{seconds{10}};
constexpr duration kMeasuredTime{seconds{33}};

/// At least this fraction of the limit must be used while callers ask for more.
constexpr double kMinUsedFraction = 0.8;

struct limit_case {
  const char* name = "";
  size_t hosts = 12;
  bool keyed = true;
  size_t limited_targets = 1;
  double per_second = 2.8;  ///< The limit of each limited target.
};

void PrintTo(const limit_case& parameter, std::ostream* out) {
  *out << parameter.name;
}

class LimitedTargetTest : public ::testing::TestWithParam<limit_case> {
 protected:
  static constexpr size_t kTargets = 14;

  LimitedTargetTest()
      : world_({.hosts = GetParam().hosts,
                .targets = kTargets,
                .keyed = GetParam().keyed,
                .seed = 1}) {
    const double rate = 0.4 * world_.Capacity();
    world_.Run(rate, kLearningTime);
    for (size_t i = 0; i < GetParam().limited_targets; ++i) {
      world_.SetLimit(i, GetParam().per_second);
    }
    results_ = world_.Run(rate, kMeasuredTime);
  }

  router_world world_;
  caller_results results_;
};

// Guards against hosts that send a target more requests than it accepts from
// all hosts together.
TEST_P(LimitedTargetTest, GetsNoMoreThanItsLimitFromAllHosts) {
  for (size_t i = 0; i < GetParam().limited_targets; ++i) {
    EXPECT_EQ(world_.limit(i).excess(), 0U)
        << world_.limit(i).first_violation();
  }
}

// Guards against a limit that is kept by sending less than the target accepts
// while callers are refused.
TEST_P(LimitedTargetTest, GetsMostOfWhatItAccepts) {
  const double accepted_per_target =
      GetParam().per_second *
      std::chrono::duration<double>(kMeasuredTime -
                                    stand_in::limit_rule::kSettlingTime)
          .count();
  double arrivals = 0.0;
  for (size_t i = 0; i < GetParam().limited_targets; ++i) {
    arrivals += static_cast<double>(world_.limit(i).settled_arrivals());
  }
  EXPECT_GE(arrivals, kMinUsedFraction * accepted_per_target *
                          static_cast<double>(GetParam().limited_targets));
}

INSTANTIATE_TEST_SUITE_P(
    Limits, LimitedTargetTest,
    ::testing::Values(limit_case{.name = "KeyedOwner"},
                      limit_case{.name = "KeyedOwnerManyHosts", .hosts = 195},
                      limit_case{.name = "KeyedOwnerBelowOneASecond",
                                 .hosts = 60,
                                 .per_second = 0.4},
                      limit_case{.name = "OnePooledTarget", .keyed = false},
                      limit_case{.name = "AllPooledTargets",
                                 .keyed = false,
                                 .limited_targets = 14},
                      limit_case{.name = "AllPooledTargetsManyHosts",
                                 .hosts = 195,
                                 .keyed = false,
                                 .limited_targets = 14}),
    [](const auto& parameter) { return std::string{parameter.param.name}; });

// Guards against callers that are held until it turns out that no request of
// theirs fits into the limit.
TEST_P(LimitedTargetTest, CallersBeyondItsLimitAreRefusedSoon) {
  EXPECT_LE(results_.MeanTimeToRefusal(), router_world_options{}.objective / 8);
}

/// One limited target among 14. Its host that issues permits is lost and
/// followed again and again, or some hosts cannot reach it.
class LimitedTargetInFailureTest : public ::testing::TestWithParam<limit_case> {
 protected:
  LimitedTargetInFailureTest()
      : world_({.hosts = GetParam().hosts,
                .targets = 14,
                .keyed = GetParam().keyed,
                .seed = 2}),
        rate_(0.4 * world_.Capacity()) {
    world_.Run(rate_, kLearningTime);
    world_.SetLimit(0, GetParam().per_second);
    world_.Run(rate_, seconds{4});
  }

  void ExpectLimitKeptAndUsed(duration time, double min_used) {
    const stand_in::limit_rule& limit = world_.limit(0);
    EXPECT_EQ(limit.excess(), 0U) << limit.first_violation();
    EXPECT_GE(static_cast<double>(limit.settled_arrivals()),
              min_used * GetParam().per_second *
                  std::chrono::duration<double>(time).count());
  }

  router_world world_;
  double rate_;
};

// Guards against hosts that all send a request of their own to a limited target
// while no host issues permits, or again once the next one does.
TEST_P(LimitedTargetInFailureTest, LossOfTheIssuerKeepsTheLimit) {
  for (int i = 0; i < 6; ++i) {
    world_.LoseIssuer(std::chrono::milliseconds{1300});
    world_.Run(rate_, seconds{5});
  }
  ExpectLimitKeptAndUsed(seconds{30}, 0.5);
}

// Guards against hosts without a path to the issuer that send as if the limit
// were theirs alone, and against those that send nothing for as long.
TEST_P(LimitedTargetInFailureTest, HostsCutOffKeepTheLimitTogether) {
  world_.CutOff(GetParam().hosts / 3);
  world_.Run(rate_, seconds{20});
  world_.Heal();
  world_.Run(rate_, seconds{5});
  ExpectLimitKeptAndUsed(seconds{25}, 0.5);
}

// Guards against a burst when a limit is lowered, and against a limit that is
// still kept after it has ended.
TEST_P(LimitedTargetInFailureTest, ChangesOfTheLimitAreFollowed) {
  world_.SetLimit(0, GetParam().per_second * 4);
  world_.Run(rate_, seconds{5});
  world_.SetLimit(0, GetParam().per_second);
  world_.Run(rate_, seconds{15});
  ExpectLimitKeptAndUsed(seconds{12}, 0.5);
  world_.SetLimit(0, std::nullopt);
  world_.Run(rate_, seconds{5});
  const caller_results results = world_.Run(rate_, seconds{5});
  EXPECT_LE(results.refused, results.requests / 50);
}

INSTANTIATE_TEST_SUITE_P(
    Limits, LimitedTargetInFailureTest,
    ::testing::Values(
        limit_case{.name = "Keyed"},
        limit_case{.name = "KeyedManyHosts", .hosts = 195},
        limit_case{.name = "KeyedHighLimitManyHosts",
                   .hosts = 195,
                   .per_second = 12.0},
        limit_case{.name = "Pooled", .keyed = false},
        limit_case{.name = "PooledManyHosts", .hosts = 60, .keyed = false}),
    [](const auto& parameter) { return std::string{parameter.param.name}; });

}  // namespace
}  // namespace foxtailspread::testing
