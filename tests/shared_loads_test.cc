// Tests of the loads of targets over all hosts, from the requests that routers
// send to what each of them knows.

#include <gtest/gtest.h>

#include <memory>

#include "foxtailspread/load/load_board.h"
#include "foxtailspread/request_router.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPeriod{100};

/// Routers of some hosts and the board of the first; records pass as datagrams.
class SharedLoadsTest : public ::testing::Test {
 protected:
  struct host {
    std::string name;
    std::unique_ptr<request_router> router;
    std::vector<request_id> in_flight{};
    bool is_cut_off = false;
  };

  /// Sets up hosts of a deployment with `host_count` of them.
  void Begin(size_t host_count, bool keyed) {
    host_count_ = host_count;
    board_.SetHostCount(host_count);
    service_settings settings;
    settings.name = "boards";
    settings.keyed = keyed;
    config_.services = {settings};
    route board_route;
    board_route.host = "play.example";
    board_route.prefix = "/";
    board_route.objective = milliseconds{600};
    board_route.timeout = seconds{4};
    board_route.services = {{.service = "boards"}};
    config_.routes = {board_route};
    target_.life = {.id = "t", .started = 1};
    target_.service = "boards";
    target_.address = "10.0.0.1:1";
    target_.zone = "here";
    target_.slots = 4;
    for (const char* name : {"a", "b", "c"}) {
      Join(name);
    }
  }

  void Join(const std::string& name) {
    host& added = hosts_.emplace_back();
    added.name = name;
    added.router = std::make_unique<request_router>(
        router_settings{.zone = "here", .retries = {}});
    added.router->OnHostCount(host_count_);
    router_actions ignored;
    added.router->OnConfig(route_table_ptr{new route_table(config_)}, now_,
                           ignored);
    added.router->OnTargets({target_}, false, now_, now_, ignored);
    key_map map;
    map.ranges = {{.first = 0,
                   .last = std::numeric_limits<key_point>::max(),
                   .owner = target_.life,
                   .fence = 1,
                   .granted = true}};
    added.router->OnKeyMap("boards", map, now_, ignored);
  }

  router_actions Send(host& sender) {
    router_actions actions;
    const request_id id = ++last_id_;
    sender.router->OnRequest({.id = id,
                              .host = "play.example",
                              .path = "/x",
                              .key = 5,
                              .caller_timeout = seconds{4}},
                             now_, actions);
    for (const router_action& action : actions) {
      if (std::holds_alternative<send_action>(action)) {
        sender.in_flight.push_back(id);
      }
    }
    return actions;
  }

  void End(host& sender, attempt_verdict verdict,
           std::optional<reported_load> load = std::nullopt) {
    router_actions ignored;
    sender.router->OnAttemptEnded(
        {.id = sender.in_flight.back(), .verdict = verdict, .load = load}, now_,
        ignored);
    sender.in_flight.pop_back();
  }

  /// Lets `time` pass, with the records of each sharing period.
  void Share(duration time) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += kPeriod;
      for (host& each : hosts_) {
        const auto news = each.router->TakeLoadNews(each.name, now_);
        if (news && !each.is_cut_off) {
          ++records_;
          board_.OnRecord(PassOn(*news), now_);
        }
      }
      const loads_record all = PassOn(board_.TakeChanged(now_));
      for (host& each : hosts_) {
        if (!each.is_cut_off) {
          each.router->OnLoads(all.loads, now_);
          each.router->OnLoadSums(all.sums, now_);
        }
      }
    }
  }

  static loads_record PassOn(const loads_record& record) {
    auto read = ParseHostMessage(FormatHostMessage(record));
    EXPECT_TRUE(read);
    return std::get<loads_record>(read.value());
  }

  std::optional<double> Occupied(const host& viewer) const {
    const target_load* load = Load(viewer);
    return load == nullptr ? std::nullopt : std::optional{load->occupied};
  }
  const target_load* Load(const host& viewer) const {
    return viewer.router->loads().Find(ShortIdOf("t"), now_);
  }

  size_t host_count_ = 0;
  size_t records_ = 0;
  routing_config config_;
  target_entry target_;
  std::vector<host> hosts_;
  load_board board_;
  request_id last_id_ = 0;
  time_point now_{seconds{100}};
};

// Guards against owners whose queue nobody sees because they tell nothing of it
// and each host has one request there at most.
TEST_F(SharedLoadsTest, EachHostKnowsTheRequestsOfAll) {
  Begin(85, true);
  for (host& each : hosts_) {
    Send(each);
  }
  Share(seconds{1});
  for (const host& each : hosts_) {
    EXPECT_EQ(Occupied(each), 3.0);
  }
  End(hosts_[0], attempt_verdict::kServed);
  Share(kPeriod);
  EXPECT_EQ(Occupied(hosts_[1]), 2.0);
}

// Guards against small deployments that pay for what they do not need.
TEST_F(SharedLoadsTest, FewHostsTellNothing) {
  for (const size_t host_count : {9, 12}) {
    hosts_.clear();
    Begin(host_count, true);
    Send(hosts_[0]);
    EXPECT_FALSE(hosts_[0].router->HasLoadNews());
    Share(seconds{1});
    EXPECT_EQ(records_, 0U);
    EXPECT_EQ(Occupied(hosts_[1]), std::nullopt);
  }
}

TEST_F(SharedLoadsTest, PooledServicesShareTheSameView) {
  Begin(85, false);
  Send(hosts_[0]);
  Share(seconds{1});
  EXPECT_EQ(Occupied(hosts_[2]), 1.0);
}

// Guards against own sends that a host does not count until they come back to
// it, or counts twice when they do.
TEST_F(SharedLoadsTest, OwnSendsSinceTheSumComeOnTop) {
  Begin(85, true);
  Send(hosts_[0]);
  Share(seconds{1});
  now_ += milliseconds{30};
  const target_load before = *Load(hosts_[0]);
  EXPECT_LT(before.as_of, now_);
  Send(hosts_[0]);
  EXPECT_EQ(Occupied(hosts_[0]), 1.0);
  EXPECT_EQ(ExpectedOccupancy(*Load(hosts_[0]), 1), 2.0);
  Share(kPeriod);
  EXPECT_EQ(Occupied(hosts_[0]), 2.0);
  EXPECT_GE(Load(hosts_[0])->as_of, before.as_of + milliseconds{30});
}

TEST_F(SharedLoadsTest, KeyedServicesShareReportedLoads) {
  Begin(9, true);
  Send(hosts_[0]);
  End(hosts_[0], attempt_verdict::kServed, reported_load{3, 8, 1.0});
  Share(kPeriod);
  EXPECT_EQ(Occupied(hosts_[1]), 11.0);
}

// Guards against a reset by a full target that counts as nothing: it may have
// run, and yet the target has no room.
TEST_F(SharedLoadsTest, ResetsOfAFullTargetCountAsRejected) {
  Begin(85, true);
  for (int i = 0; i < 4; ++i) {
    Send(hosts_[i % 3]);
  }
  Share(seconds{1});
  EXPECT_EQ(Load(hosts_[0])->rejected_per_second, 0.0);
  End(hosts_[0], attempt_verdict::kBroken);
  Share(kPeriod);
  EXPECT_GT(Load(hosts_[1])->rejected_per_second, 0.0);
}

TEST_F(SharedLoadsTest, LatencyCountsWhileThereIsAFreeSlot) {
  Begin(85, true);
  Send(hosts_[0]);
  Share(seconds{1});
  EXPECT_FALSE(Load(hosts_[1])->unqueued_latency);
  Send(hosts_[1]);
  now_ += milliseconds{160};
  End(hosts_[1], attempt_verdict::kServed);
  Share(seconds{1});
  ASSERT_TRUE(Load(hosts_[2])->unqueued_latency);
  EXPECT_EQ(*Load(hosts_[2])->unqueued_latency, milliseconds{160});
}

// Guards against a zone that is cut off and goes by what it once heard, and
// against its requests that stay in the sum of the others.
TEST_F(SharedLoadsTest, ZoneThatIsCutOffKnowsNothingAndIsNotCounted) {
  Begin(85, true);
  for (host& each : hosts_) {
    Send(each);
  }
  Share(seconds{1});
  hosts_[2].is_cut_off = true;
  Share(load_view::kTtl + kPeriod);
  EXPECT_EQ(Occupied(hosts_[2]), std::nullopt);
  EXPECT_EQ(Occupied(hosts_[1]), 2.0);
  hosts_[2].is_cut_off = false;
  Share(kPeriod);
  EXPECT_EQ(Occupied(hosts_[2]), 3.0);
}

// Guards against a target that counts as idle because the host that knew its
// load is gone.
TEST_F(SharedLoadsTest, NewHolderKnowsNothingAtFirst) {
  Begin(85, true);
  for (host& each : hosts_) {
    Send(each);
  }
  Share(seconds{1});
  board_.Clear();
  board_.SetHostCount(host_count_);
  hosts_[1].is_cut_off = true;
  Share(kPeriod);
  hosts_[1].is_cut_off = false;
  EXPECT_EQ(Occupied(hosts_[0]), 3.0) << "what the former holder told";
  Share(seconds{1});
  EXPECT_EQ(Occupied(hosts_[0]), 3.0);
}

TEST_F(SharedLoadsTest, NewHostLearnsAndCounts) {
  Begin(85, true);
  Send(hosts_[0]);
  Share(seconds{1});
  Join("d");
  EXPECT_EQ(Occupied(hosts_.back()), std::nullopt);
  Send(hosts_.back());
  Share(milliseconds{500});
  EXPECT_EQ(Occupied(hosts_.back()), 2.0);
  EXPECT_EQ(Occupied(hosts_[0]), 2.0);
}

TEST_F(SharedLoadsTest, HostsFallSilentAfterTheLastRequest) {
  Begin(85, true);
  Send(hosts_[0]);
  Share(seconds{1});
  End(hosts_[0], attempt_verdict::kServed);
  Share(milliseconds{500});
  EXPECT_FALSE(hosts_[0].router->HasLoadNews());
  const size_t records_before = records_;
  Share(seconds{1});
  EXPECT_EQ(records_, records_before);
}

}  // namespace
}  // namespace foxtailspread
