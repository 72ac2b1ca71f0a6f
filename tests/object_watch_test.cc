#include <gtest/gtest.h>

#include <variant>

#include "foxtailspread/object_sync.h"

namespace foxtailspread {
namespace {

class ObjectWatchTest : public ::testing::Test {
 protected:
  ObjectWatchTest() : sync_("b", "zone", sync_timing{}) {}

  /// Ticks and returns the watch that was started, or 0.
  uint64_t StartedWatch(size_t rank) {
    action_list actions;
    sync_.Tick(now_, rank, actions);
    if (actions.empty()) {
      return 0;
    }
    const auto& call = std::get<platform_action>(actions.front());
    EXPECT_EQ(call.kind, platform_call_kind::kWatch);
    return call.call_id;
  }

  void EndWatch(uint64_t call_id) {
    platform_ended ended;
    ended.call_id = call_id;
    ended.end = platform_end::kOk;
    now_ += sync_timing{}.watch_wait;
    sync_.OnPlatform(ended, now_);
  }

  time_point now_{std::chrono::seconds{1000}};
  object_sync sync_;
};

// All hosts of a zone start at once, after a power cut. Each reads the
// platform before any other is listed there, takes itself for the first in
// rank and starts a watch. If none lets go of it, the platform's calls grow
// with the number of hosts, and operators pay for each.
TEST_F(ObjectWatchTest, WatchUnderWayWhenAnotherWatcherIsHeardIsTheLast) {
  EndWatch(StartedWatch(0));
  const uint64_t watch = StartedWatch(0);
  ASSERT_NE(watch, 0U);
  EXPECT_TRUE(sync_.OnBeacon(watch_beacon{"zone", "a", 1}, now_));
  EndWatch(watch);
  EXPECT_EQ(StartedWatch(0), 0U);
  ASSERT_TRUE(sync_.beacon());
  EXPECT_EQ(sync_.beacon()->watcher, "a");
}

// The zone's watcher is lost. Without another one nobody would hear of a new
// configuration.
TEST_F(ObjectWatchTest, WatchIsTakenOverWhenItsWatcherFallsSilent) {
  EndWatch(StartedWatch(1));
  sync_.OnBeacon(watch_beacon{"zone", "a", 1}, now_);
  EXPECT_EQ(StartedWatch(1), 0U);
  const sync_timing timing;
  now_ += timing.beacon_silence + timing.rank_stagger;
  EXPECT_NE(StartedWatch(1), 0U);
}

}  // namespace
}  // namespace foxtailspread
