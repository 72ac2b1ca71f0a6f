// What the holder of the lease tells the other hosts.

#include <gtest/gtest.h>

#include <string>

#include "foxtailspread/key_assigner.h"
#include "support/keyed_service.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AssignerSharingTest : public ::testing::Test {
 protected:
  void SetUp() override {
    assigner_.OnServices({testing::KeyedService("s")});
    target_entry target;
    target.life = {.id = "t", .started = 1};
    target.service = "s";
    target.address = "10.0.0.1:80";
    assigner_.OnTargets({target}, false, now_);
    ASSERT_TRUE(assigner_.OnObjects({}, now_));
    assigner_.OnStoreAnswers(true, now_);
  }

  /// The answer to a write that the store carried out.
  void Written(const store_write& write, uint64_t revision,
               assigner_actions& out) {
    assigner_.OnWriteEnded({.id = write.id,
                            .end = write_end::kWritten,
                            .revision = revision,
                            .content = {}},
                           now_, out);
  }

  /// The holder's watch brings what was written.
  void Watch(const store_write& write, uint64_t revision) {
    objects_[write.name] = {
        .name = write.name, .revision = revision, .item = write.content};
    ASSERT_TRUE(assigner_.OnObjects(objects_, now_));
  }

  /// Lets time pass until the holder writes an object whose name is not the
  /// lease's; lease writes on the way succeed.
  store_write UntilRecordIsWritten() {
    for (int i = 0; i < 1000; ++i) {
      now_ += milliseconds{10};
      assigner_actions actions;
      assigner_.OnTime(now_, actions);
      while (!actions.empty()) {
        const assigner_action action = actions.back();
        actions.pop_back();
        const auto* write = std::get_if<store_write>(&action);
        if (write == nullptr) {
          continue;
        }
        if (write->name.starts_with("keys")) {
          return *write;
        }
        Written(*write, ++revision_, actions);
        Watch(*write, revision_);
      }
    }
    ADD_FAILURE() << "no record was written";
    return {};
  }

  key_assigner assigner_{{.host = "h", .zone = "z", .address = "1:2"}};
  time_point now_{seconds{100}};
  uint64_t revision_ = 10;
  key_assigner::own_objects objects_;
};

// The holder's own watch brings the new record before the answer to the write
// does. The others must still be told what changed; else each of them reads
// the whole record from the store.
TEST_F(AssignerSharingTest, ChangesAreToldAlsoIfTheWatchIsFasterThanTheWrite) {
  const store_write write = UntilRecordIsWritten();
  const uint64_t revision = ++revision_;
  Watch(write, revision);
  assigner_actions actions;
  Written(write, revision, actions);
  const share_action* share = nullptr;
  for (const assigner_action& action : actions) {
    const auto* found = std::get_if<share_action>(&action);
    share = found != nullptr ? found : share;
  }
  ASSERT_NE(share, nullptr);
  EXPECT_EQ(share->record.base, write.expected_revision);
  EXPECT_EQ(share->record.revision, revision);
  const auto changes = ParseKeyChanges(share->record.content);
  ASSERT_TRUE(changes);
  EXPECT_FALSE(changes.value().ranges.empty());
}

// The same order. A heartbeat that told of the new record before its changes
// were sent made a hundred hosts at once read the record from the store.
TEST_F(AssignerSharingTest, RecordIsNotAnnouncedBeforeItsChangesAreTold) {
  const store_write write = UntilRecordIsWritten();
  const uint64_t announced = assigner_.OwnersDigest();
  const uint64_t revision = ++revision_;
  Watch(write, revision);
  EXPECT_EQ(assigner_.OwnersDigest(), announced);
  assigner_actions actions;
  Written(write, revision, actions);
  EXPECT_NE(assigner_.OwnersDigest(), announced);
  EXPECT_EQ(assigner_.MapRevision("s"), revision);
}

// All hosts share a budget of repeats and the connections that a target takes.
// The lease names their number as it was when it was first written: one. Hosts
// that go by it each use the whole budget, and callers' repeats keep a service
// overloaded.
TEST_F(AssignerSharingTest, HeartbeatsCarryTheNumberOfHosts) {
  UntilRecordIsWritten();
  for (int i = 0; i < 12; ++i) {
    const std::string name = "other-" + std::to_string(i);
    assigner_.OnReport({.host = name,
                        .zone = "z",
                        .address = "1:3",
                        .services = {},
                        .targets = {}},
                       now_);
  }
  now_ += seconds{1};
  assigner_actions actions;
  assigner_.OnTime(now_, actions);
  size_t heartbeats = 0;
  for (const assigner_action& action : actions) {
    if (const auto* heartbeat = std::get_if<heartbeat_action>(&action)) {
      EXPECT_EQ(heartbeat->heartbeat.hosts, 12U);
      for (const fanout_hop& hop : heartbeat->hops) {
        heartbeats += 1 + hop.forward_to.size();
      }
    }
  }
  EXPECT_EQ(heartbeats, 12U);
}

// The holder is lost. Its successor knows no host but itself: all others report
// to the lost one until they read in the store who holds the lease now, all at
// the same moment.
TEST_F(AssignerSharingTest, SuccessorHeartbeatsToTheHostsThatTheHolderKnew) {
  UntilRecordIsWritten();
  for (int i = 0; i < 12; ++i) {
    assigner_.OnReport({.host = "other-" + std::to_string(i),
                        .zone = "z",
                        .address = "1:" + std::to_string(i),
                        .services = {},
                        .targets = {}},
                       now_);
  }
  now_ += seconds{2};
  assigner_actions actions;
  assigner_.OnTime(now_, actions);
  const hosts_action* told = nullptr;
  const heartbeat_action* heartbeat = nullptr;
  for (const assigner_action& action : actions) {
    const auto* hosts = std::get_if<hosts_action>(&action);
    const auto* heartbeats = std::get_if<heartbeat_action>(&action);
    told = hosts != nullptr ? hosts : told;
    heartbeat = heartbeats != nullptr ? heartbeats : heartbeat;
  }
  ASSERT_NE(told, nullptr);
  ASSERT_NE(heartbeat, nullptr);
  const auto read = ParseHostMessage(FormatHostMessage(told->record));
  EXPECT_EQ(std::get<hosts_record>(read.value()), told->record);

  // The successor takes the lease from the silent holder.
  key_assigner next({.host = heartbeat->heartbeat.successors.front(),
                     .zone = "z",
                     .address = "1:0"});
  next.OnServices({testing::KeyedService("s")});
  ASSERT_TRUE(next.OnObjects(objects_, now_));
  next.OnStoreAnswers(true, now_);
  next.OnHeartbeat(heartbeat->heartbeat, now_);
  next.OnHosts(told->record, now_);
  size_t reached = 0;
  for (int i = 0; i < 200 && reached == 0; ++i) {
    now_ += milliseconds{10};
    assigner_actions taken;
    next.OnTime(now_, taken);
    for (size_t each = 0; each < taken.size(); ++each) {
      const assigner_action action = taken[each];
      if (const auto* write = std::get_if<store_write>(&action)) {
        next.OnWriteEnded({.id = write->id,
                           .end = write_end::kWritten,
                           .revision = ++revision_,
                           .content = {}},
                          now_, taken);
      } else if (const auto* first = std::get_if<heartbeat_action>(&action)) {
        reached = first->hops.size();
      }
    }
  }
  EXPECT_EQ(reached, 11U) << "all but itself";
}

TEST_F(AssignerSharingTest, NumberOfHostsInAHeartbeatGoesBeforeTheLeases) {
  key_assigner other({.host = "o", .zone = "z", .address = "1:4"});
  ASSERT_TRUE(other.OnObjects(
      {{"assigner",
        {.name = "assigner",
         .revision = 11,
         .item = FormatLease({.host = "h", .address = "1:2", .hosts = 1})}}},
      now_));
  EXPECT_EQ(other.HostCount(), 1U);
  other.OnHeartbeat(
      {.host = "h", .lease_revision = 11, .successors = {}, .hosts = 12}, now_);
  EXPECT_EQ(other.HostCount(), 12U);
}

// Most hosts have narrow links, and they report first. A holder among them
// loses what it tells the others, and each of them reads the store instead.
TEST_F(AssignerSharingTest, HostsWithWideLinksAreSuccessors) {
  UntilRecordIsWritten();
  const auto report = [&](const std::string& name, double link_mbps) {
    assigner_.OnReport({.host = name,
                        .zone = name.substr(0, 1),
                        .address = "1:3",
                        .link_mbps = link_mbps,
                        .services = {},
                        .targets = {}},
                       now_);
  };
  const auto successors = [&] {
    now_ += seconds{1};
    assigner_actions actions;
    assigner_.OnTime(now_, actions);
    for (const assigner_action& action : actions) {
      if (const auto* heartbeat = std::get_if<heartbeat_action>(&action)) {
        return heartbeat->heartbeat.successors;
      }
    }
    ADD_FAILURE() << "no heartbeat";
    return std::vector<std::string>{};
  };
  report("a-narrow", 10);
  report("b-narrow", 10);
  EXPECT_EQ(successors().size(), 2U) << "better a narrow one than none";
  report("a-narrow", 10);
  report("a-wide", 200);
  report("b-wide", 200);
  EXPECT_EQ(successors(), (std::vector<std::string>{"a-wide", "b-wide"}));
}

}  // namespace
}  // namespace foxtailspread
