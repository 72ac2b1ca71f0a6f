// The router of one of many hosts that share few targets: large bodies, and
// when callers that were refused return.

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "foxtailspread/request_router.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTimeOfCallers{milliseconds{1500}};

class SharedTargetsTest : public ::testing::Test {
 protected:
  SharedTargetsTest()
      : router_({.zone = "here",
                 .retries = {.ratio = 0.2, .slack = 40.0},
                 .seed = 3}) {
    service_settings orders;
    orders.name = "orders";
    config_.services.push_back(orders);
    AddRoute("/urgent/", 0);
    AddRoute("/archive/", 2);
    for (int i = 0; i < 3; ++i) {
      target_entry entry;
      entry.life = {.id = "o" + std::to_string(i), .started = 1};
      entry.service = "orders";
      entry.address = "10.0.0.1:" + std::to_string(1000 + i);
      entry.zone = "here";
      entry.slots = 3;
      targets_.push_back(entry);
    }
    router_actions ignored;
    router_.OnConfig(route_table_ptr{new route_table(config_)}, now_, ignored);
    router_.OnTargets(targets_, false, now_, now_, ignored);
  }

  void AddRoute(const std::string& prefix, int rank) {
    route added;
    added.name = prefix;
    added.host = "shop.example";
    added.prefix = prefix;
    added.rank = rank;
    added.retry = retry_rule::kAtMostOnce;
    added.objective = milliseconds{400};
    added.timeout = kTimeOfCallers;
    added.max_attempts = 2;
    added.services = {{.service = "orders"}};
    config_.routes.push_back(added);
  }

  router_actions Send(std::string_view path,
                      duration time_left = kTimeOfCallers,
                      size_t body_bytes = 0) {
    router_actions actions;
    router_.OnRequest({.id = ++last_id_,
                       .host = "shop.example",
                       .path = path,
                       .caller_timeout = time_left,
                       .body_bytes = body_bytes},
                      now_, actions);
    return actions;
  }

  router_actions End(request_id id, attempt_verdict verdict) {
    router_actions actions;
    router_.OnAttemptEnded({.id = id, .verdict = verdict}, now_, actions);
    return actions;
  }

  template <typename Action>
  static std::vector<Action> Of(const router_actions& actions) {
    std::vector<Action> matching;
    for (const router_action& action : actions) {
      if (const auto* typed = std::get_if<Action>(&action)) {
        matching.push_back(*typed);
      }
    }
    return matching;
  }

  /// Sends more than the targets carry; returns the Retry-After of the callers
  /// that were refused.
  std::vector<duration> OverloadFor(std::string_view path, duration time) {
    std::vector<duration> times;
    for (const time_point end = now_ + time; now_ < end;
         now_ += milliseconds{5}) {
      router_actions actions = Send(path);
      router_.OnTime(now_, actions);
      for (const auto& each : Of<local_reply_action>(actions)) {
        if (each.reply == local_reply::kNotRun && each.retry_after) {
          times.push_back(*each.retry_after);
        }
      }
    }
    return times;
  }

  request_router router_;
  routing_config config_;
  std::vector<target_entry> targets_;
  time_point now_{seconds{100}};
  request_id last_id_ = 0;
};

// Guards against large bodies that meet at one target and take its memory.
TEST_F(SharedTargetsTest, LargeBodiesBeyondATargetsPartGoElsewhere) {
  constexpr size_t kLarge = 400'000;
  router_.OnHostCount(9);
  std::multiset<std::string> chosen;
  for (int i = 0; i < 4; ++i) {
    for (const auto& send :
         Of<send_action>(Send("/archive/1", kTimeOfCallers, kLarge))) {
      chosen.insert(send.target.id);
    }
  }
  EXPECT_EQ(chosen, (std::multiset<std::string>{"o0", "o1", "o2"}));
  // The fourth waits, and one without a large body goes past it.
  EXPECT_EQ(Of<send_action>(Send("/archive/1", kTimeOfCallers, 100)).size(),
            1U);
  const auto freed = Of<send_action>(End(1, attempt_verdict::kServed));
  ASSERT_EQ(freed.size(), 1U);
  EXPECT_EQ(freed[0].id, 4U);
}

// Guards against a body that is given away though it may have to be sent again.
TEST_F(SharedTargetsTest, OnlyTheLastAttemptIsMarkedAsLast) {
  router_.OnHostCount(1);
  const auto first = Of<send_action>(Send("/urgent/1"));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_FALSE(first[0].is_last);
  const auto second = Of<send_action>(End(1, attempt_verdict::kShed));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_TRUE(second[0].is_last);
}

// Load pattern: more callers than the targets carry, for a second. With many
// hosts their returns are scheduled, and none is later than its caller honours;
// with few hosts nothing is.
TEST_F(SharedTargetsTest, ReturnsAreScheduledWhereManyHostsShareTargets) {
  for (const size_t hosts : {9U, 85U, 300U}) {
    router_.OnHostCount(hosts);
    const uint64_t before = router_.counts().returns_with_room +
                            router_.counts().returns_without_room;
    const auto times = OverloadFor("/urgent/1", seconds{1});
    ASSERT_FALSE(times.empty()) << hosts;
    for (const duration time : times) {
      EXPECT_LE(time, kTimeOfCallers / 3) << hosts;
    }
    const uint64_t scheduled = router_.counts().returns_with_room +
                               router_.counts().returns_without_room - before;
    EXPECT_EQ(scheduled > 0, hosts > 9) << hosts;
    now_ += seconds{5};
    router_actions ignored;
    router_.OnTime(now_, ignored);
  }
}

}  // namespace
}  // namespace foxtailspread
