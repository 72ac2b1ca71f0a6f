// The lease of the host that gives keys, write by write.

#include <gtest/gtest.h>

#include <string>

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
    assigner_.OnStoreAnswers(true, now_);
    ASSERT_TRUE(assigner_.OnObjects({}, now_));
  }

  /// Lets time pass until the assigner writes its lease.
  store_write UntilLeaseIsWritten() {
    for (int i = 0; i < 1000; ++i) {
      now_ += milliseconds{10};
      assigner_actions actions;
      assigner_.OnTime(now_, actions);
      if (const auto write = LeaseWrite(actions)) {
        return *write;
      }
    }
    ADD_FAILURE() << "the lease was not written";
    return {};
  }

  static std::optional<store_write> LeaseWrite(
      const assigner_actions& actions) {
    for (const assigner_action& action : actions) {
      const auto* write = std::get_if<store_write>(&action);
      if (write != nullptr && write->name == key_assigner::kLeaseName) {
        return *write;
      }
    }
    return std::nullopt;
  }

  /// Lets time pass until the assigner writes the map of its service.
  store_write UntilMapIsWritten() {
    for (int i = 0; i < 500; ++i) {
      now_ += milliseconds{10};
      assigner_actions actions;
      assigner_.OnTime(now_, actions);
      for (const assigner_action& action : actions) {
        const auto* write = std::get_if<store_write>(&action);
        if (write != nullptr && write->name == key_assigner::MapName("s")) {
          return *write;
        }
      }
    }
    ADD_FAILURE() << "the map was not written";
    return {};
  }

  /// The store has carried `write` out.
  void Written(const store_write& write, uint64_t revision) {
    assigner_actions ignored;
    assigner_.OnWriteEnded({.id = write.id,
                            .end = write_end::kWritten,
                            .revision = revision,
                            .content = {}},
                           now_, ignored);
  }

  key_assigner assigner_{{.host = "h", .zone = "z", .address = "1:2"}};
  time_point now_{seconds{100}};
};

// The holder is asked to stop just when it renews its lease, and the store
// takes the renewal first. A release that is given up then leaves a lease that
// nobody keeps: the others wait for its silence, and the keys of a target that
// is lost meanwhile stay unserved for so much longer.
TEST_F(AssignerLeaseTest, ReleaseThatMeetsItsOwnRenewalIsWrittenAgain) {
  Written(UntilLeaseIsWritten(), 11);
  ASSERT_TRUE(assigner_.IsHolder(now_));
  const store_write renewal = UntilLeaseIsWritten();
  assigner_actions leaving;
  assigner_.Leave(now_, leaving);
  const auto release = LeaseWrite(leaving);
  ASSERT_TRUE(release);
  assigner_actions again;
  assigner_.OnWriteEnded({.id = release->id,
                          .end = write_end::kConflict,
                          .revision = 12,
                          .content = renewal.content},
                         now_, again);
  const auto second = LeaseWrite(again);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->expected_revision, 12U);
  EXPECT_TRUE(ParseLease(second->content).value().released);
  EXPECT_TRUE(assigner_.BusyLeaving());
  Written(*second, 13);
  EXPECT_FALSE(assigner_.BusyLeaving());
}

// The same, but another host has taken the lease: there is nothing to release.
TEST_F(AssignerLeaseTest, ReleaseThatMeetsAnotherHoldersLeaseIsGivenUp) {
  Written(UntilLeaseIsWritten(), 11);
  assigner_actions leaving;
  assigner_.Leave(now_, leaving);
  const auto release = LeaseWrite(leaving);
  ASSERT_TRUE(release);
  assigner_actions again;
  assigner_.OnWriteEnded(
      {.id = release->id,
       .end = write_end::kConflict,
       .revision = 12,
       .content = FormatLease({.host = "other", .address = "3:4"})},
      now_, again);
  EXPECT_FALSE(LeaseWrite(again));
  EXPECT_FALSE(assigner_.BusyLeaving());
}

// Guards against an old map under the revision of a newer one: written on top
// of that, it would take the newer owners and their fences back.
TEST_F(AssignerLeaseTest, AnswerThatComesAfterANewerMapLeavesThatInForce) {
  const store_write lease = UntilLeaseIsWritten();
  Written(lease, 11);
  key_assigner::own_objects objects;
  objects["assigner"] = {
      .name = "assigner", .revision = 11, .item = lease.content};
  ASSERT_TRUE(assigner_.OnObjects(objects, now_));
  target_entry target;
  target.life = {.id = "t", .started = 1};
  target.service = "s";
  target.slots = 3;
  assigner_.OnTargets({target}, false, now_);
  const store_write first = UntilMapIsWritten();

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
                          .end = write_end::kWritten,
                          .revision = 12,
                          .content = {}},
                         now_, actions);
  ASSERT_NE(assigner_.MapOf("s"), nullptr);
  EXPECT_EQ(*assigner_.MapOf("s"), newer);
  EXPECT_EQ(assigner_.MapRevision("s"), 14U);
  for (const assigner_action& action : actions) {
    EXPECT_FALSE(std::holds_alternative<share_action>(action));
  }
}

// All hosts learn of the declarations at the same moment. If they all tried to
// take the free lease then, a hundred writes would be paid for where a few do.
TEST_F(AssignerLeaseTest, FreeLeaseIsTakenAfterTheHostsOwnDelay) {
  key_assigner late({.host = "l", .zone = "z", .address = "1:3", .seed = 63});
  late.OnStoreAnswers(true, now_);
  ASSERT_TRUE(late.OnObjects({}, now_));
  assigner_actions actions;
  now_ += seconds{5};
  late.OnTime(now_, actions);
  late.OnServices({});
  late.OnTime(now_, actions);
  EXPECT_FALSE(LeaseWrite(actions));
  now_ += milliseconds{500};
  late.OnTime(now_, actions);
  EXPECT_TRUE(LeaseWrite(actions));
}

// A host with a narrow link starts first. The lease is better held by one that
// can tell all others of each change.
TEST_F(AssignerLeaseTest, HostWithANarrowLinkLeavesTheLeaseToOthersFirst) {
  key_assigner narrow(
      {.host = "n", .zone = "z", .address = "1:3", .link_mbps = 10, .seed = 0});
  narrow.OnStoreAnswers(true, now_);
  narrow.OnServices({});
  ASSERT_TRUE(narrow.OnObjects({}, now_));
  assigner_actions actions;
  narrow.OnTime(now_, actions);
  now_ += milliseconds{500};
  narrow.OnTime(now_, actions);
  EXPECT_FALSE(LeaseWrite(actions));
  now_ += milliseconds{500};
  narrow.OnTime(now_, actions);
  EXPECT_TRUE(LeaseWrite(actions)) << "but one must hold it";
}

// Something else has written over the system's own objects. What this host
// knows stays in force, and the operator must learn of it, or keys without an
// owner would have no cause that anyone can find.
TEST_F(AssignerLeaseTest, ObjectThatCannotBeReadIsReported) {
  const std::string map = key_assigner::MapName("s");
  const status records = assigner_.OnObjects(
      {{map, {.name = map, .revision = 5, .item = "[}"}}}, now_);
  ASSERT_FALSE(records);
  EXPECT_NE(records.error().Message().find(map), std::string::npos);
  const std::string lease{key_assigner::kLeaseName};
  const status taken = assigner_.OnObjects(
      {{lease, {.name = lease, .revision = 6, .item = "none"}}}, now_);
  ASSERT_FALSE(taken);
  EXPECT_NE(taken.error().Message().find(lease), std::string::npos);
}

}  // namespace
}  // namespace foxtailspread
