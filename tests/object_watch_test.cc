#include <gtest/gtest.h>

#include <variant>

#include "foxtailspread/object_sync.h"

namespace foxtailspread {
namespace {

class ObjectWatchTest : public ::testing::Test {
 protected:
  ObjectWatchTest() : sync_("b", "zone", sync_timing{}) {}

  /// Runs a tick. Returns the call id of the watch that it started, or 0.
  uint64_t TickAndGetWatch(size_t rank) {
    action_list actions;
    sync_.Tick(now_, rank, actions);
    if (actions.empty()) {
      return 0;
    }
    const auto& call = std::get<platform_action>(actions.front());
    EXPECT_EQ(call.kind, platform_call_kind::kWatch);
    return call.call_id;
  }

  /// Ends a watch successfully, without changes, after its full wait.
  void EndWatch(uint64_t call_id) {
    platform_ended ended;
    ended.call_id = call_id;
    ended.end = platform_end::kOk;
    now_ += sync_timing{}.watch_wait;
    sync_.OnPlatformEnded(ended, now_);
  }

  time_point now_{std::chrono::seconds{1000}};
  object_sync sync_;
};

// All hosts of a zone start at the same time, after a power cut. Each reads the
// platform before any other host is registered there, takes rank 0 and starts a
// watch. If none of them stopped watching, the number of platform calls, which
// operators pay for, would grow with the number of hosts.
TEST_F(ObjectWatchTest, HostStopsWatchingAfterAnotherWatchersBeacon) {
  EndWatch(TickAndGetWatch(0));
  const uint64_t watch = TickAndGetWatch(0);
  ASSERT_NE(watch, 0U);
  EXPECT_TRUE(sync_.OnBeacon(watch_beacon{"zone", "a", 1}, now_));
  EndWatch(watch);
  EXPECT_EQ(TickAndGetWatch(0), 0U);
  ASSERT_TRUE(sync_.beacon());
  EXPECT_EQ(sync_.beacon()->watcher, "a");
}

// The zone's watcher fails. Without a new watcher, no host of the zone would
// receive a new configuration.
TEST_F(ObjectWatchTest, WatchIsTakenOverAfterTheBeaconTimeout) {
  EndWatch(TickAndGetWatch(1));
  sync_.OnBeacon(watch_beacon{"zone", "a", 1}, now_);
  EXPECT_EQ(TickAndGetWatch(1), 0U);
  const sync_timing timing;
  now_ += timing.beacon_silence + timing.rank_stagger;
  EXPECT_NE(TickAndGetWatch(1), 0U);
}

}  // namespace
}  // namespace foxtailspread
