// Request routing while an availability zone is evacuated, and while its
// targets are still cold after the evacuation.

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "foxtailspread/evacuations.h"
#include "foxtailspread/request_router.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kColdTime{seconds{3}};

/// A pooled and a keyed service with two targets each in each of two zones.
class EvacuationTest : public ::testing::Test {
 protected:
  EvacuationTest() : router_({.zone = "here", .retries = {}, .seed = 3}) {
    for (const bool keyed : {false, true}) {
      service_settings service;
      service.name = keyed ? "keyed" : "pooled";
      service.keyed = keyed;
      service.cold_time = kColdTime;
      service.cold_requests_per_second = 5.0;
      config_.services.push_back(service);
      route service_route;
      service_route.name = service.name;
      service_route.host = "shop.example";
      service_route.prefix = "/" + service.name + "/";
      service_route.objective = milliseconds{400};
      service_route.timeout = seconds{2};
      service_route.services = {{.service = service.name}};
      config_.routes.push_back(service_route);
      for (const std::string zone : {"here", "there"}) {
        AddTarget(service.name, zone, "1");
        AddTarget(service.name, zone, "2");
      }
    }
    router_actions ignored;
    router_.OnConfig(route_table_ptr{new route_table(config_)}, now_, ignored);
    UpdateTargets();
    AssignAllKeys("keyed-there-1");
  }

  void AddTarget(const std::string& service, const std::string& zone,
                 const std::string& number) {
    target_entry entry;
    entry.life = {.id = service + "-" + zone + "-" + number, .started = 1};
    entry.service = service;
    entry.address = "10.0.0.1:" + std::to_string(1000 + targets_.size());
    entry.zone = zone;
    entry.slots = 6;
    targets_.push_back(entry);
  }

  void UpdateTargets() {
    router_actions ignored;
    router_.OnTargets(targets_, false, now_, now_, ignored);
  }

  void AssignAllKeys(const std::string& id) {
    key_map map{.last_fence = 1, .ranges = {}};
    map.ranges = {
        {.owner = {.id = id, .started = 1}, .fence = 1, .granted = true}};
    router_actions ignored;
    router_.OnKeyMap("keyed", map, now_, ignored);
  }

  void Evacuate(const std::set<std::string>& zones) {
    router_actions ignored;
    router_.OnEvacuations(zones, now_, ignored);
  }

  /// Passes a request to the router and returns its immediate actions.
  router_actions SendRequest(const std::string& service) {
    router_actions actions;
    const std::string path = "/" + service + "/7";
    router_.OnRequest({.id = ++last_id_,
                       .host = "shop.example",
                       .path = path,
                       .key = key_point{77},
                       .caller_timeout = seconds{30}},
                      now_, actions);
    return actions;
  }

  local_reply_action Refusal(const std::string& service) {
    return std::get<local_reply_action>(SendRequest(service).at(0));
  }

  /// Returns the targets that get requests until all slots are in use.
  std::set<std::string> TargetsReached(const std::string& service) {
    std::set<std::string> reached;
    const request_id first = last_id_ + 1;
    while (true) {
      const router_actions actions = SendRequest(service);
      if (actions.empty() || !std::holds_alternative<send_action>(actions[0])) {
        break;
      }
      reached.insert(std::get<send_action>(actions[0]).target.id);
    }
    router_actions ignored;
    for (request_id id = last_id_; id >= first; --id) {
      router_.OnCallerGone(id, now_, ignored);
    }
    return reached;
  }

  request_router router_;
  routing_config config_;
  std::vector<target_entry> targets_;
  request_id last_id_ = 0;
  time_point now_{seconds{100}};
};

// Guards against requests to a zone that is about to be switched off.
TEST_F(EvacuationTest, EvacuatedZoneGetsNoPooledRequests) {
  Evacuate({"here"});
  const std::set<std::string> others{"pooled-there-1", "pooled-there-2"};
  EXPECT_EQ(TargetsReached("pooled"), others);
}

// Guards against cutting off keyed requests before their keys have moved, and
// against sending them to the evacuated zone for too long.
TEST_F(EvacuationTest, OwnerInEvacuatedZoneGetsRequestsBriefly) {
  Evacuate({"there"});
  now_ += milliseconds{900};
  EXPECT_EQ(TargetsReached("keyed").size(), 1U);
  now_ += milliseconds{200};
  EXPECT_TRUE(TargetsReached("keyed").empty());
}

// Guards against full load on targets that were restarted while their zone was
// evacuated.
TEST_F(EvacuationTest, ReturnedZoneGetsRequestsWhenItsTargetsAreWarm) {
  Evacuate({"here"});
  now_ += seconds{8};
  Evacuate({});
  EXPECT_EQ(TargetsReached("pooled").size(), 2U);
  now_ += kColdTime;
  EXPECT_EQ(TargetsReached("pooled").size(), 4U);
}

// Guards against full load on a target that has just started.
TEST_F(EvacuationTest, AddedTargetGetsRequestsWhenItIsWarm) {
  AddTarget("pooled", "here", "3");
  targets_.back().remaining_cold_time = kColdTime;
  UpdateTargets();
  EXPECT_FALSE(TargetsReached("pooled").contains("pooled-here-3"));
  now_ += kColdTime;
  EXPECT_TRUE(TargetsReached("pooled").contains("pooled-here-3"));
}

// Guards against requests to a target that becomes cold without a restart.
TEST_F(EvacuationTest, TargetThatBecomesColdGetsNoRequests) {
  targets_[0].remaining_cold_time = kColdTime;
  UpdateTargets();
  EXPECT_FALSE(TargetsReached("pooled").contains(targets_[0].life.id));
}

// Guards against delaying callers, or sending them too short a Retry-After,
// while no target is warm.
TEST_F(EvacuationTest, RequestsAreRefusedWhileAllTargetsAreCold) {
  Evacuate({"here", "there"});
  EXPECT_EQ(Refusal("pooled").reason, refusal_reason::kNoTarget);
  now_ += seconds{8};
  Evacuate({});
  const local_reply_action refusal = Refusal("pooled");
  EXPECT_EQ(refusal.reason, refusal_reason::kNoWarmTarget);
  EXPECT_EQ(refusal.reply, local_reply::kNotRun);
  ASSERT_TRUE(refusal.retry_after);
  EXPECT_GE(*refusal.retry_after, kColdTime / 2);
  EXPECT_EQ(Refusal("keyed").reason, refusal_reason::kNoWarmTarget);
}

// Guards against an older set of zones replacing a newer one.
TEST(EvacuationsTest, OlderSetIsIgnored) {
  evacuations evacuated;
  const time_point now{seconds{100}};
  EXPECT_TRUE(evacuated.Update({"here"}, now));
  EXPECT_FALSE(evacuated.Update({}, now - milliseconds{1}));
  EXPECT_EQ(evacuated.zones(), std::set<std::string>{"here"});
  EXPECT_FALSE(evacuated.Update({"here"}, now + milliseconds{1}));
  EXPECT_TRUE(evacuated.Update({}, now + milliseconds{2}));
}

}  // namespace
}  // namespace foxtailspread
