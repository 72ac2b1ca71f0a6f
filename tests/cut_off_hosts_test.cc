// Hosts that lose the paths to all targets while callers and the other hosts
// still reach them, in virtual time.

#include <gtest/gtest.h>

#include <ostream>

#include "support/router_world.h"

namespace foxtailspread::testing {
namespace {

using std::chrono::seconds;

struct cut_case {
  const char* name = "";
  size_t hosts = 12;
  size_t first = 4;
  size_t count = 1;
  link_loss how = link_loss::kReset;
  bool keyed = false;
  retry_rule retry = retry_rule::kIdempotent;
  size_t targets = 14;
};

void PrintTo(const cut_case& parameter, std::ostream* out) {
  *out << parameter.name;
}

class CutOffHostsTest : public ::testing::TestWithParam<cut_case> {
 protected:
  CutOffHostsTest()
      : world_({.hosts = GetParam().hosts,
                .targets = GetParam().targets,
                .keyed = GetParam().keyed,
                .seed = 1,
                .retry = GetParam().retry}),
        rate_(0.3 * world_.Capacity()) {
    world_.Run(rate_, seconds{5});
    world_.CutOffFromTargets(GetParam().first, GetParam().count, GetParam().how,
                             seconds{12});
  }

  router_world world_;
  double rate_;
};

// Guards against hosts that refuse their callers, as they reach no target,
// though other hosts do.
TEST_P(CutOffHostsTest, CallersAreServedNearlyAsOftenAsElsewhere) {
  world_.Run(rate_, seconds{12});
  EXPECT_FALSE(world_.cut().IsBroken()) << world_.cut().Summary();
}

// Guards against hosts that stay cut off in their own view.
TEST_P(CutOffHostsTest, CallersAreServedAfterTheCut) {
  world_.Run(rate_, seconds{14});
  const caller_results results = world_.Run(rate_, seconds{5});
  EXPECT_GT(static_cast<double>(results.answered_in_time),
            0.95 * static_cast<double>(results.requests));
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, CutOffHostsTest,
    ::testing::Values(
        cut_case{.name = "OneHostReset"},
        cut_case{.name = "OneHostSilent", .how = link_loss::kSilent},
        cut_case{.name = "OneHostNewRefused", .how = link_loss::kNewRefused},
        cut_case{.name = "HalfReset", .count = 6},
        cut_case{.name = "HalfSilent", .count = 6, .how = link_loss::kSilent},
        cut_case{.name = "HalfKeyed",
                 .count = 6,
                 .how = link_loss::kSilent,
                 .keyed = true},
        cut_case{.name = "HalfNewRefusedKeyed",
                 .count = 6,
                 .how = link_loss::kNewRefused,
                 .keyed = true},
        cut_case{.name = "HalfNotIdempotent",
                 .count = 6,
                 .how = link_loss::kSilent,
                 .retry = retry_rule::kAtMostOnce},
        cut_case{.name = "LeaseHolder", .first = 0, .count = 4},
        cut_case{.name = "ManyHosts",
                 .hosts = 60,
                 .first = 20,
                 .count = 20,
                 .how = link_loss::kSilent,
                 .targets = 60},
        cut_case{.name = "ManyHostsNewRefused",
                 .hosts = 60,
                 .first = 20,
                 .count = 20,
                 .how = link_loss::kNewRefused,
                 .targets = 180},
        cut_case{.name = "ManyHostsNewRefusedKeyed",
                 .hosts = 60,
                 .first = 20,
                 .count = 20,
                 .how = link_loss::kNewRefused,
                 .keyed = true,
                 .targets = 180}),
    [](const auto& parameter) { return std::string{parameter.param.name}; });

}  // namespace
}  // namespace foxtailspread::testing
