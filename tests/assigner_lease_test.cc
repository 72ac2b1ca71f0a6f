// Tests how the host that assigns keys takes, renews and releases its lease.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "foxtailspread/key_assigner.h"
#include "support/keyed_service.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AssignerLeaseTest : public ::testing::Test {
 protected:
  void SetUp() override {
    assigner_.OnServices({testing::KeyedService("s")});
    assigner_.OnStoreAvailability(true, now_);
    ASSERT_TRUE(assigner_.OnObjects({}, now_));
  }

  /// Advances the time until the assigner writes its lease.
  store_write AdvanceToLeaseWrite() {
    for (int i = 0; i < 1000; ++i) {
      now_ += milliseconds{10};
      assigner_actions actions;
      assigner_.OnTime(now_, actions);
      if (const auto write = FindLeaseWrite(actions)) {
        return *write;
      }
    }
    ADD_FAILURE() << "the lease was not written";
    return {};
  }

  static std::optional<store_write> FindLeaseWrite(
      const assigner_actions& actions) {
    for (const assigner_action& action : actions) {
      const auto* write = std::get_if<store_write>(&action);
      if (write != nullptr && write->name == key_assigner::kLeaseName) {
        return *write;
      }
    }
    return std::nullopt;
  }

  /// Advances the time by 10 ms and answers all orders and lease writes, but no
  /// map writes.
  assigner_actions Step() {
    now_ += milliseconds{10};
    assigner_actions actions;
    assigner_.OnTime(now_, actions);
    AnswerOrders(actions);
    if (const auto write = FindLeaseWrite(actions)) {
      ReportWriteEnd(*write, lease_write_answer_, ++revision_);
    }
    return actions;
  }

  /// Answers the orders in `actions` and appends the actions that result. Keeps
  /// the last map write in `map_write_`.
  void AnswerOrders(assigner_actions& actions) {
    for (size_t i = 0; i < actions.size(); ++i) {
      if (const auto* order = std::get_if<key_order>(&actions[i])) {
        const bool is_for_u = order->target.id == "u";
        assigner_.OnOrderEnded(
            {.id = order->id,
             .outcome = is_for_u ? target_u_answer_ : order_outcome::kDone},
            now_, actions);
      } else if (const auto* write = std::get_if<store_write>(&actions[i])) {
        if (write->name == key_assigner::MapName("s")) {
          map_write_ = *write;
        }
      }
    }
  }

  /// Makes the assigner the lease holder and returns the objects in the store.
  key_assigner::system_objects TakeLease() {
    const store_write lease = AdvanceToLeaseWrite();
    ReportWritten(lease, 11);
    key_assigner::system_objects objects;
    objects["assigner"] = {
        .name = "assigner", .revision = 11, .item = lease.content};
    EXPECT_TRUE(assigner_.OnObjects(objects, now_));
    return objects;
  }

  static target_entry MakeTarget(std::string id) {
    target_entry target;
    target.life = {.id = std::move(id), .started = 1};
    target.service = "s";
    target.slots = 3;
    return target;
  }

  /// Advances the time until the assigner writes the map of its service.
  store_write AdvanceToMapWrite() {
    for (int i = 0; i < 500 && !map_write_; ++i) {
      Step();
    }
    EXPECT_TRUE(map_write_) << "the map was not written";
    return std::exchange(map_write_, std::nullopt).value_or(store_write{});
  }

  /// Reports to the assigner that the store executed `write`.
  void ReportWritten(const store_write& write, uint64_t revision) {
    ReportWriteEnd(write, conditional_write_outcome::kWritten, revision);
  }
  /// Reports to the assigner how `write` ended.
  void ReportWriteEnd(const store_write& write, conditional_write_outcome end,
                      uint64_t revision) {
    assigner_actions actions;
    assigner_.OnWriteEnded(
        {.id = write.id, .outcome = end, .revision = revision, .content = {}},
        now_, actions);
    AnswerOrders(actions);
  }

  key_assigner assigner_{{.host = "h", .zone = "z", .address = "1:2"}};
  time_point now_{seconds{100}};
  order_outcome target_u_answer_ =
      order_outcome::kDone;  ///< To orders for target "u".
  std::optional<store_write>
      map_write_;  ///< The last one, until it is returned.
  conditional_write_outcome lease_write_answer_ =
      conditional_write_outcome::kWritten;
  uint64_t revision_ = 20;  ///< Of the last lease write in Step().
};

// The holder is asked to stop while it renews its lease, and the store executes
// the renewal first, so that the release conflicts with it. If the holder gave
// the release up, the lease would stay taken: the other hosts would wait for it
// to lapse, and keys of a target that is lost meanwhile would have no owner for
// that much longer.
TEST_F(AssignerLeaseTest, ReleaseThatConflictsWithOwnRenewalIsRetried) {
  ReportWritten(AdvanceToLeaseWrite(), 11);
  ASSERT_TRUE(assigner_.IsHolder(now_));
  const store_write renewal = AdvanceToLeaseWrite();
  assigner_actions leave_actions;
  assigner_.PrepareToStop(now_, leave_actions);
  const auto release = FindLeaseWrite(leave_actions);
  ASSERT_TRUE(release);
  assigner_actions retry_actions;
  assigner_.OnWriteEnded({.id = release->id,
                          .outcome = conditional_write_outcome::kConflict,
                          .revision = 12,
                          .content = renewal.content},
                         now_, retry_actions);
  const auto retry = FindLeaseWrite(retry_actions);
  ASSERT_TRUE(retry);
  EXPECT_EQ(retry->expected_revision, 12U);
  EXPECT_TRUE(ParseLease(retry->content).value().released);
  EXPECT_TRUE(assigner_.IsReleasingLease());
  ReportWritten(*retry, 13);
  EXPECT_FALSE(assigner_.IsReleasingLease());
}

// The release conflicts with the lease of another host, so there is nothing to
// release.
TEST_F(AssignerLeaseTest, ReleaseThatConflictsWithOtherHoldersLeaseIsDropped) {
  ReportWritten(AdvanceToLeaseWrite(), 11);
  assigner_actions leave_actions;
  assigner_.PrepareToStop(now_, leave_actions);
  const auto release = FindLeaseWrite(leave_actions);
  ASSERT_TRUE(release);
  assigner_actions retry_actions;
  assigner_.OnWriteEnded(
      {.id = release->id,
       .outcome = conditional_write_outcome::kConflict,
       .revision = 12,
       .content = FormatLease({.host = "other", .address = "3:4"})},
      now_, retry_actions);
  EXPECT_FALSE(FindLeaseWrite(retry_actions));
  EXPECT_FALSE(assigner_.IsReleasingLease());
}

// A write is answered after a newer map was read. Guards against keeping the
// old map under the revision of the newer one: the next write would then
// overwrite the newer owners and their fences.
TEST_F(AssignerLeaseTest, LateWriteAnswerDoesNotReplaceNewerMap) {
  key_assigner::system_objects objects = TakeLease();
  assigner_.OnTargets({MakeTarget("t")}, false, now_);
  const store_write first = AdvanceToMapWrite();

  const key_map newer{
      .last_fence = 90,
      .ranges = {
          {.owner = {.id = "u", .started = 1}, .fence = 90, .granted = true}}};
  const std::string name = key_assigner::MapName("s");
  objects["assigner"] = {
      .name = "assigner",
      .revision = 13,
      .item = FormatLease({.host = "other", .address = "3:4"})};
  objects[name] = {.name = name, .revision = 14, .item = FormatKeyMap(newer)};
  ASSERT_TRUE(assigner_.OnObjects(objects, now_));
  assigner_actions actions;
  assigner_.OnWriteEnded({.id = first.id,
                          .outcome = conditional_write_outcome::kWritten,
                          .revision = 12,
                          .content = {}},
                         now_, actions);
  ASSERT_NE(assigner_.MapOf("s"), nullptr);
  EXPECT_EQ(*assigner_.MapOf("s"), newer);
  EXPECT_EQ(assigner_.MapRevision("s"), 14U);
  for (const assigner_action& action : actions) {
    EXPECT_FALSE(std::holds_alternative<share_owners_action>(action));
  }
}

// A holder's renewal of the lease is answered after it has read its successor's
// lease, as after a stall of its process. Guards against it holding the lease a
// second time: its report has told the successor that it renews no more grants.
TEST_F(AssignerLeaseTest, LateAnswerToRenewalDoesNotRegainSuccessorsLease) {
  key_assigner::system_objects objects = TakeLease();
  const store_write renewal = AdvanceToLeaseWrite();
  objects["assigner"] = {
      .name = "assigner",
      .revision = 13,
      .item = FormatLease({.host = "other", .address = "3:4"})};
  ASSERT_TRUE(assigner_.OnObjects(objects, now_));
  ASSERT_FALSE(assigner_.IsHolder(now_));
  ReportWritten(renewal, 12);
  EXPECT_FALSE(assigner_.IsHolder(now_));
  EXPECT_EQ(assigner_.lease()->host, "other");
  for (int i = 0; i < 300; ++i) {
    EXPECT_FALSE(FindLeaseWrite(Step())) << i;
  }
}

// A host's attempt to take the lease is answered after it has read the lease of
// the host that took it next. Guards against two holders.
TEST_F(AssignerLeaseTest, LateAnswerToTakeoverDoesNotRegainSuccessorsLease) {
  const store_write takeover = AdvanceToLeaseWrite();
  ASSERT_TRUE(assigner_.OnObjects(
      {{"assigner",
        {.name = "assigner",
         .revision = 13,
         .item = FormatLease({.host = "other", .address = "3:4"})}}},
      now_));
  ReportWritten(takeover, 12);
  EXPECT_FALSE(assigner_.IsHolder(now_));
}

// The lease goes from "d" to "x" and back, which this host learns only from
// d's heartbeat, and then takes the lease. Guards against a lease that does not
// name "x", which may still renew its grants.
TEST_F(AssignerLeaseTest, TakeoverNamesHolderWhoseLeaseWasNotRead) {
  const auto lease_of_d = [](std::vector<former_holder> predecessors) {
    return FormatLease({.host = "d",
                        .address = "3:4",
                        .predecessors = std::move(predecessors)});
  };
  ASSERT_TRUE(assigner_.OnObjects(
      {{"assigner",
        {.name = "assigner", .revision = 11, .item = lease_of_d({})}}},
      now_));
  assigner_.OnHeartbeat(
      {.host = "d", .lease_revision = 13, .successors = {"h"}, .host_count = 3},
      now_);
  const store_write first = AdvanceToLeaseWrite();
  ASSERT_NE(first.expected_revision, 13U) << "written: " << first.content;
  assigner_actions actions;
  assigner_.OnWriteEnded({.id = first.id,
                          .outcome = conditional_write_outcome::kConflict,
                          .revision = 13,
                          .content = lease_of_d({{"x", seconds{15}}})},
                         now_, actions);
  const auto second = FindLeaseWrite(actions);
  ASSERT_TRUE(second) << "the takeover waits";
  EXPECT_EQ(second->expected_revision, 13U);
  const auto taken = ParseLease(second->content);
  ASSERT_TRUE(taken);
  ASSERT_EQ(taken.value().predecessors.size(), 2U) << second->content;
  EXPECT_EQ(taken.value().predecessors[0].host, "x");
  EXPECT_EQ(taken.value().predecessors[1].host, "d");
}

// A successor has taken the lease and recorded a move of keys, and its datagram
// arrives before the lease is read. Guards against orders that carry the move
// out beside the successor, which takes the new owner for one that was sent no
// grant and may give the keys to another at once.
TEST_F(AssignerLeaseTest, HolderCarriesOutNoMoveOfAnUnreadSuccessor) {
  TakeLease();
  assigner_.OnTargets({MakeTarget("t"), MakeTarget("u")}, false, now_);
  store_write write = AdvanceToMapWrite();
  ReportWritten(write, 12);
  for (uint64_t revision = 13; revision < 16; ++revision) {
    for (int i = 0; i < 200; ++i) {
      Step();
    }
    if (map_write_) {
      write = *std::exchange(map_write_, std::nullopt);
      ReportWritten(write, revision);
    }
  }
  const key_map before = *assigner_.MapOf("s");
  key_map after = before;
  key_range& moved = after.ranges[0];
  ASSERT_TRUE(moved.granted);
  moved.former_owner = moved.owner;
  moved.owner = {.id = moved.owner.id == "t" ? "u" : "t", .started = 1};
  moved.granted = false;
  after.last_fence += 2;
  moved.fence = after.last_fence;
  ASSERT_TRUE(assigner_.OnOwners(
      {.service = "s",
       .base_revision = assigner_.MapRevision("s"),
       .revision = 90,
       .content = FormatKeyMap(DiffKeyMaps(before, after))}));
  for (int i = 0; i < 50; ++i) {
    for (const assigner_action& action : Step()) {
      const auto* order = std::get_if<key_order>(&action);
      EXPECT_TRUE(order == nullptr || order->fence < moved.fence - 1)
          << (order->is_grant ? "grant" : "release") << " at step " << i;
    }
  }
}

// A lease that this host has only heard of turns out to be unreadable. Guards
// against a write of the lease in answer to each conflict, without end.
TEST_F(AssignerLeaseTest, TakeoverOfUnreadableLeaseWaits) {
  ASSERT_TRUE(assigner_.OnObjects(
      {{"assigner",
        {.name = "assigner",
         .revision = 11,
         .item = FormatLease({.host = "d", .address = "3:4"})}}},
      now_));
  assigner_.OnHeartbeat(
      {.host = "d", .lease_revision = 13, .successors = {"h"}, .host_count = 3},
      now_);
  std::optional<store_write> write = AdvanceToLeaseWrite();
  int writes = 0;
  for (; write && writes < 10; ++writes) {
    assigner_actions actions;
    assigner_.OnWriteEnded({.id = write->id,
                            .outcome = conditional_write_outcome::kConflict,
                            .revision = 13,
                            .content = "{}"},
                           now_, actions);
    write = FindLeaseWrite(actions);
  }
  EXPECT_EQ(writes, 1);
}

// A holder of many ranges loses the lease with a pass over them due, and takes
// it again. Guards against a loop that never sleeps until the objects are read.
TEST_F(AssignerLeaseTest, PassThatWasDueBeforeALapseWaitsForTheObjects) {
  TakeLease();
  constexpr size_t kTargetCount = 200;
  std::vector<target_entry> targets;
  targets.reserve(kTargetCount);
  for (size_t i = 0; i < kTargetCount; ++i) {
    targets.push_back(MakeTarget("t" + std::to_string(i)));
  }
  assigner_.OnTargets(targets, false, now_);
  ReportWritten(AdvanceToMapWrite(), 12);
  ASSERT_LT(assigner_.NextDue(now_), now_ + milliseconds{20})
      << "no pass is due";
  now_ += seconds{6};
  assigner_actions actions;
  assigner_.OnTime(now_, actions);
  const auto lease = FindLeaseWrite(actions);
  ASSERT_TRUE(lease);
  ReportWritten(*lease, 13);
  ASSERT_TRUE(assigner_.IsHolder(now_));
  EXPECT_GT(assigner_.NextDue(now_), now_);
}

// A holder is partitioned from the store and from some targets, then renews its
// lease. Guards against it considering all targets lost whose orders failed
// during the partition.
TEST_F(AssignerLeaseTest, RenewalAfterPartitionForgetsOrdersThatFailedInIt) {
  key_assigner::system_objects objects = TakeLease();
  assigner_.OnTargets({MakeTarget("t"), MakeTarget("u")}, false, now_);
  ReportWritten(AdvanceToMapWrite(), 12);
  ReportWritten(AdvanceToMapWrite(), 13);
  ReportWritten(AdvanceToMapWrite(), 14);
  ASSERT_TRUE(assigner_.MapOf("s")->ranges.front().granted);
  ASSERT_TRUE(assigner_.MapOf("s")->ranges.back().granted);

  assigner_.OnStoreAvailability(false, now_);
  target_u_answer_ = order_outcome::kUnanswered;
  lease_write_answer_ = conditional_write_outcome::kUnknown;
  while (assigner_.IsHolder(now_)) {
    Step();
  }
  lease_write_answer_ = conditional_write_outcome::kWritten;
  std::optional<store_write> renewal;
  for (int i = 0; i < 100 && !renewal; ++i) {
    renewal = FindLeaseWrite(Step());
  }
  ASSERT_TRUE(renewal);
  ASSERT_TRUE(assigner_.IsHolder(now_));
  objects["assigner"] = {
      .name = "assigner", .revision = revision_, .item = renewal->content};
  ASSERT_TRUE(assigner_.OnObjects(objects, now_));
  target_u_answer_ = order_outcome::kDone;
  for (int i = 0; i < 120; ++i) {
    for (const assigner_action& action : Step()) {
      const auto* note = std::get_if<assigner_note>(&action);
      ASSERT_TRUE(note == nullptr ||
                  note->note_kind != assigner_note::kind::kTargetLost)
          << i;
    }
  }
}

// All hosts learn of the services at the same moment. If they all tried to take
// the free lease at once, 100 hosts would cause 100 store writes instead of a
// few. Each host therefore waits for a delay that depends on its seed.
TEST_F(AssignerLeaseTest, FreeLeaseIsTakenAfterHostSpecificDelay) {
  key_assigner delayed_host(
      {.host = "l", .zone = "z", .address = "1:3", .seed = 63});
  delayed_host.OnStoreAvailability(true, now_);
  ASSERT_TRUE(delayed_host.OnObjects({}, now_));
  assigner_actions actions;
  now_ += seconds{5};
  delayed_host.OnTime(now_, actions);
  delayed_host.OnServices({});
  delayed_host.OnTime(now_, actions);
  EXPECT_FALSE(FindLeaseWrite(actions));
  now_ += milliseconds{500};
  delayed_host.OnTime(now_, actions);
  EXPECT_TRUE(FindLeaseWrite(actions));
}

// A host with a low-bandwidth link starts first. It waits longer before it
// takes the lease, because the holder must be able to send each change to all
// hosts.
TEST_F(AssignerLeaseTest, HostWithLowBandwidthTakesLeaseLater) {
  key_assigner low_bandwidth_host(
      {.host = "n", .zone = "z", .address = "1:3", .link_mbps = 10, .seed = 0});
  low_bandwidth_host.OnStoreAvailability(true, now_);
  low_bandwidth_host.OnServices({});
  ASSERT_TRUE(low_bandwidth_host.OnObjects({}, now_));
  assigner_actions actions;
  low_bandwidth_host.OnTime(now_, actions);
  now_ += milliseconds{500};
  low_bandwidth_host.OnTime(now_, actions);
  EXPECT_FALSE(FindLeaseWrite(actions));
  now_ += milliseconds{500};
  low_bandwidth_host.OnTime(now_, actions);
  EXPECT_TRUE(FindLeaseWrite(actions))
      << "the host did not take a lease that no other host took";
}

// The router's own objects were overwritten with invalid content. The host
// keeps what it read before and must report the error; otherwise an operator
// could not find out why keys have no owner.
TEST_F(AssignerLeaseTest, UnreadableObjectIsReported) {
  const std::string map = key_assigner::MapName("s");
  const status map_status = assigner_.OnObjects(
      {{map, {.name = map, .revision = 5, .item = "[}"}}}, now_);
  ASSERT_FALSE(map_status);
  EXPECT_NE(map_status.error().Message().find(map), std::string::npos);
  const std::string lease{key_assigner::kLeaseName};
  const status lease_status = assigner_.OnObjects(
      {{lease, {.name = lease, .revision = 6, .item = "none"}}}, now_);
  ASSERT_FALSE(lease_status);
  EXPECT_NE(lease_status.error().Message().find(lease), std::string::npos);
}

class PermitFractionTest : public AssignerLeaseTest {
 protected:
  void Report(const std::vector<std::string>& hosts) {
    for (const std::string& host : hosts) {
      load_report report;
      report.host = host;
      report.zone = "z";
      report.address = "1:" + host;
      assigner_.OnReport(report, now_);
    }
  }
};

TEST_F(PermitFractionTest, HostWithoutTheLeaseIssuesNoPermits) {
  Report({"h", "a"});
  EXPECT_EQ(assigner_.PermitFraction(now_), 0.0);
}

TEST_F(PermitFractionTest, HolderThatAllHostsReportToIssuesAll) {
  TakeLease();
  Report({"h", "a", "b", "c"});
  EXPECT_EQ(assigner_.PermitFraction(now_), 1.0);
}

// Guards against two holders, on both sides of a cut, that each issue permits
// for the whole limit of a target.
TEST_F(PermitFractionTest, HolderIssuesOnlyTheFractionOfHostsThatReport) {
  TakeLease();
  Report({"h", "a", "b", "c"});
  now_ += seconds{1};
  Report({"h"});
  EXPECT_EQ(assigner_.PermitFraction(now_), 0.25);
}

// Guards against targets whose limit is not used while the store is away, and
// against a former holder that goes on beside its successor.
TEST_F(PermitFractionTest, HolderWithALapsedLeaseGoesOnUntilItHasASuccessor) {
  TakeLease();
  now_ += seconds{8};
  Report({"h", "a", "b", "c"});
  ASSERT_FALSE(assigner_.IsHolder(now_));
  EXPECT_EQ(assigner_.PermitFraction(now_), 1.0);
  assigner_heartbeat heartbeat;
  heartbeat.host = "a";
  heartbeat.lease_revision = 40;
  assigner_.OnHeartbeat(heartbeat, now_);
  EXPECT_EQ(assigner_.PermitFraction(now_), 0.0);
}

TEST_F(PermitFractionTest, HolderThatStopsIssuesNoPermits) {
  TakeLease();
  Report({"h", "a"});
  assigner_actions actions;
  assigner_.PrepareToStop(now_, actions);
  EXPECT_EQ(assigner_.PermitFraction(now_), 0.0);
}

}  // namespace
}  // namespace foxtailspread
