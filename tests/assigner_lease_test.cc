// The lease of the host that gives keys, write by write.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

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

  /// Lets some time pass and answers what the assigner sends, but for its maps.
  assigner_actions Step() {
    now_ += milliseconds{10};
    assigner_actions actions;
    assigner_.OnTime(now_, actions);
    AnswerOrders(actions);
    if (const auto write = LeaseWrite(actions)) {
      Ended(*write, answer_to_lease_, ++revision_);
    }
    return actions;
  }

  /// Answers the orders among `actions`, which grow by what follows from that.
  void AnswerOrders(assigner_actions& actions) {
    for (size_t i = 0; i < actions.size(); ++i) {
      if (const auto* order = std::get_if<key_order>(&actions[i])) {
        const bool to_u = order->target.id == "u";
        assigner_.OnOrderEnded(
            {.id = order->id, .end = to_u ? answer_of_u_ : order_end::kDone},
            now_, actions);
      } else if (const auto* write = std::get_if<store_write>(&actions[i])) {
        if (write->name == key_assigner::MapName("s")) {
          map_write_ = *write;
        }
      }
    }
  }

  /// Makes the assigner the holder and returns what the store has then.
  key_assigner::own_objects TakeLease() {
    const store_write lease = UntilLeaseIsWritten();
    Written(lease, 11);
    key_assigner::own_objects objects;
    objects["assigner"] = {
        .name = "assigner", .revision = 11, .item = lease.content};
    EXPECT_TRUE(assigner_.OnObjects(objects, now_));
    return objects;
  }

  static target_entry Target(std::string id) {
    target_entry target;
    target.life = {.id = std::move(id), .started = 1};
    target.service = "s";
    target.slots = 3;
    return target;
  }

  /// Lets time pass until the assigner writes the map of its service.
  store_write UntilMapIsWritten() {
    for (int i = 0; i < 500 && !map_write_; ++i) {
      Step();
    }
    EXPECT_TRUE(map_write_) << "the map was not written";
    return std::exchange(map_write_, std::nullopt).value_or(store_write{});
  }

  /// The store has carried `write` out.
  void Written(const store_write& write, uint64_t revision) {
    Ended(write, write_end::kWritten, revision);
  }
  void Ended(const store_write& write, write_end end, uint64_t revision) {
    assigner_actions actions;
    assigner_.OnWriteEnded(
        {.id = write.id, .end = end, .revision = revision, .content = {}}, now_,
        actions);
    AnswerOrders(actions);
  }

  key_assigner assigner_{{.host = "h", .zone = "z", .address = "1:2"}};
  time_point now_{seconds{100}};
  order_end answer_of_u_ = order_end::kDone;
  std::optional<store_write> map_write_;  ///< The last one not answered yet.
  write_end answer_to_lease_ = write_end::kWritten;
  uint64_t revision_ = 20;  ///< Of the last lease that Step() had written.
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
  key_assigner::own_objects objects = TakeLease();
  assigner_.OnTargets({Target("t")}, false, now_);
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

// Guards against a holder that was cut off and, when the store takes its
// renewal again, gives up all targets whose orders failed in the cut.
TEST_F(AssignerLeaseTest, RenewalThatEndsACutForgetsTheOrdersThatFailedInIt) {
  key_assigner::own_objects objects = TakeLease();
  assigner_.OnTargets({Target("t"), Target("u")}, false, now_);
  Written(UntilMapIsWritten(), 12);
  Written(UntilMapIsWritten(), 13);
  Written(UntilMapIsWritten(), 14);
  ASSERT_TRUE(assigner_.MapOf("s")->ranges.front().granted);
  ASSERT_TRUE(assigner_.MapOf("s")->ranges.back().granted);

  assigner_.OnStoreAnswers(false, now_);
  answer_of_u_ = order_end::kUnanswered;
  answer_to_lease_ = write_end::kUnknown;
  while (assigner_.IsHolder(now_)) {
    Step();
  }
  answer_to_lease_ = write_end::kWritten;
  std::optional<store_write> renewal;
  for (int i = 0; i < 100 && !renewal; ++i) {
    renewal = LeaseWrite(Step());
  }
  ASSERT_TRUE(renewal);
  ASSERT_TRUE(assigner_.IsHolder(now_));
  objects["assigner"] = {
      .name = "assigner", .revision = revision_, .item = renewal->content};
  ASSERT_TRUE(assigner_.OnObjects(objects, now_));
  answer_of_u_ = order_end::kDone;
  for (int i = 0; i < 120; ++i) {
    for (const assigner_action& action : Step()) {
      const auto* note = std::get_if<assigner_note>(&action);
      ASSERT_TRUE(note == nullptr ||
                  note->what != assigner_note::kind::kTargetLost)
          << i;
    }
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
