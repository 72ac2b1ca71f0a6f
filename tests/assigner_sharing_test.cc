// Tests what the lease holder sends to the other hosts.

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
    assigner_.OnStoreAvailability(true, now_);
  }

  /// Reports to the assigner that the store executed `write`.
  void ReportWritten(const store_write& write, uint64_t revision,
                     assigner_actions& out) {
    assigner_.OnWriteEnded({.id = write.id,
                            .outcome = conditional_write_outcome::kWritten,
                            .revision = revision,
                            .content = {}},
                           now_, out);
  }

  /// Delivers the written object to the holder through its watch on the store.
  void DeliverWatchedObject(const store_write& write, uint64_t revision) {
    objects_[write.name] = {
        .name = write.name, .revision = revision, .item = write.content};
    ASSERT_TRUE(assigner_.OnObjects(objects_, now_));
  }

  /// Advances the time until the holder writes a key map record. Lease writes
  /// succeed meanwhile.
  store_write AdvanceToRecordWrite() {
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
        ReportWritten(*write, ++revision_, actions);
        DeliverWatchedObject(*write, revision_);
      }
    }
    ADD_FAILURE() << "no record was written";
    return {};
  }

  key_assigner assigner_{{.host = "h", .zone = "z", .address = "1:2"}};
  time_point now_{seconds{100}};
  uint64_t revision_ = 10;
  key_assigner::system_objects objects_;
};

// The holder receives its new record from its watch before the store answers
// the write. It must still send the changes to the other hosts; otherwise each
// of them reads the whole record from the store.
TEST_F(AssignerSharingTest, ChangesAreSentIfWatchPrecedesWriteAnswer) {
  const store_write write = AdvanceToRecordWrite();
  const uint64_t revision = ++revision_;
  DeliverWatchedObject(write, revision);
  assigner_actions actions;
  ReportWritten(write, revision, actions);
  const share_owners_action* share = nullptr;
  for (const assigner_action& action : actions) {
    const auto* candidate = std::get_if<share_owners_action>(&action);
    share = candidate != nullptr ? candidate : share;
  }
  ASSERT_NE(share, nullptr);
  EXPECT_EQ(share->record.base_revision, write.expected_revision);
  EXPECT_EQ(share->record.revision, revision);
  const auto changes = ParseKeyChanges(share->record.content);
  ASSERT_TRUE(changes);
  EXPECT_FALSE(changes.value().ranges.empty());
}

// The holder receives its new record from its watch before the store answers
// the write. A heartbeat that announced the record before its changes were sent
// made a hundred hosts read the record from the store at once.
TEST_F(AssignerSharingTest, RecordIsNotAnnouncedBeforeItsChangesAreSent) {
  const store_write write = AdvanceToRecordWrite();
  const uint64_t announced = assigner_.OwnersDigest();
  const uint64_t revision = ++revision_;
  DeliverWatchedObject(write, revision);
  EXPECT_EQ(assigner_.OwnersDigest(), announced);
  assigner_actions actions;
  ReportWritten(write, revision, actions);
  EXPECT_NE(assigner_.OwnersDigest(), announced);
  EXPECT_EQ(assigner_.MapRevision("s"), revision);
}

// All hosts share the retry budget and the connections that a
// target accepts. The lease contains the number of hosts at its first write,
// which is one. If hosts used that number, each would spend the whole budget,
// and retries would keep the service overloaded.
TEST_F(AssignerSharingTest, HeartbeatsContainNumberOfHosts) {
  AdvanceToRecordWrite();
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
  size_t receivers = 0;
  for (const assigner_action& action : actions) {
    if (const auto* heartbeat = std::get_if<heartbeat_action>(&action)) {
      EXPECT_EQ(heartbeat->heartbeat.host_count, 12U);
      for (const fanout_hop& hop : heartbeat->hops) {
        receivers += 1 + hop.forward_to.size();
      }
    }
  }
  EXPECT_EQ(receivers, 12U);
}

// The holder is lost, and its successor has received no load reports: the other
// hosts send them to the lost holder until they read the new lease from the
// store, all at the same moment. The successor must therefore send heartbeats
// to the hosts in the list that the holder sent it.
TEST_F(AssignerSharingTest, SuccessorSendsHeartbeatsToHostsOfFormerHolder) {
  AdvanceToRecordWrite();
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
  const share_hosts_action* host_list = nullptr;
  const heartbeat_action* heartbeat = nullptr;
  for (const assigner_action& action : actions) {
    const auto* hosts_candidate = std::get_if<share_hosts_action>(&action);
    const auto* heartbeat_candidate = std::get_if<heartbeat_action>(&action);
    host_list = hosts_candidate != nullptr ? hosts_candidate : host_list;
    heartbeat =
        heartbeat_candidate != nullptr ? heartbeat_candidate : heartbeat;
  }
  ASSERT_NE(host_list, nullptr);
  ASSERT_NE(heartbeat, nullptr);
  const auto parsed = ParseHostMessage(FormatHostMessage(host_list->record));
  EXPECT_EQ(std::get<hosts_record>(parsed.value()), host_list->record);

  // The successor takes the lease from the silent holder.
  key_assigner successor({.host = heartbeat->heartbeat.successors.front(),
                          .zone = "z",
                          .address = "1:0"});
  successor.OnServices({testing::KeyedService("s")});
  ASSERT_TRUE(successor.OnObjects(objects_, now_));
  successor.OnStoreAvailability(true, now_);
  successor.OnHeartbeat(heartbeat->heartbeat, now_);
  successor.OnHosts(host_list->record, now_);
  size_t hop_count = 0;
  for (int i = 0; i < 200 && hop_count == 0; ++i) {
    now_ += milliseconds{10};
    assigner_actions actions_of_successor;
    successor.OnTime(now_, actions_of_successor);
    for (size_t k = 0; k < actions_of_successor.size(); ++k) {
      const assigner_action action = actions_of_successor[k];
      if (const auto* write = std::get_if<store_write>(&action)) {
        successor.OnWriteEnded({.id = write->id,
                                .outcome = conditional_write_outcome::kWritten,
                                .revision = ++revision_,
                                .content = {}},
                               now_, actions_of_successor);
      } else if (const auto* sent = std::get_if<heartbeat_action>(&action)) {
        hop_count = sent->hops.size();
      }
    }
  }
  EXPECT_EQ(hop_count, 11U)
      << "heartbeats do not go to all hosts but the successor";
}

// Guards against hosts using the number of hosts in the lease, which is not
// kept up to date.
TEST_F(AssignerSharingTest, HostCountInHeartbeatOverridesHostCountInLease) {
  key_assigner other({.host = "o", .zone = "z", .address = "1:4"});
  ASSERT_TRUE(other.OnObjects(
      {{"assigner",
        {.name = "assigner",
         .revision = 11,
         .item =
             FormatLease({.host = "h", .address = "1:2", .host_count = 1})}}},
      now_));
  EXPECT_EQ(other.HostCount(), 1U);
  other.OnHeartbeat(
      {.host = "h", .lease_revision = 11, .successors = {}, .host_count = 12},
      now_);
  EXPECT_EQ(other.HostCount(), 12U);
}

// Most hosts have low-bandwidth links, and they send their load reports first.
// If one of them became the holder, the changes it sends would be lost, and
// each other host would read the store instead.
TEST_F(AssignerSharingTest, HostsWithHighBandwidthAreSuccessors) {
  AdvanceToRecordWrite();
  const auto send_report = [&](const std::string& name, double link_mbps) {
    assigner_.OnReport({.host = name,
                        .zone = name.substr(0, 1),
                        .address = "1:3",
                        .link_mbps = link_mbps,
                        .services = {},
                        .targets = {}},
                       now_);
  };
  const auto next_successors = [&] {
    now_ += seconds{1};
    assigner_actions actions;
    assigner_.OnTime(now_, actions);
    for (const assigner_action& action : actions) {
      if (const auto* heartbeat = std::get_if<heartbeat_action>(&action)) {
        return heartbeat->heartbeat.successors;
      }
    }
    ADD_FAILURE() << "no heartbeat was sent";
    return std::vector<std::string>{};
  };
  send_report("a-narrow", 10);
  send_report("b-narrow", 10);
  EXPECT_EQ(next_successors().size(), 2U)
      << "hosts with low bandwidth must be successors if there are no others";
  send_report("a-narrow", 10);
  send_report("a-wide", 200);
  send_report("b-wide", 200);
  EXPECT_EQ(next_successors(), (std::vector<std::string>{"a-wide", "b-wide"}));
}

}  // namespace
}  // namespace foxtailspread
