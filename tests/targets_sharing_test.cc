// Tests how a host that reads the store sends changed targets to other hosts.

#include "foxtailspread/targets_sharing.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetsSharingTest : public ::testing::Test {
 protected:
  using page = list_page<target_entry>;

  static store_object<target_entry> Object(const std::string& id,
                                           uint64_t revision) {
    target_entry entry;
    entry.life = {.id = id, .started = 1};
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    return {.name = id, .revision = revision, .item = entry};
  }

  void SetUp() override {
    reader_objects_ = {{"a", Object("a", 4)}, {"b", Object("b", 5)}};
    sharing_.Update(reader_objects_);
    other_copy_.NextCall(now_);
    other_copy_.OnListed(
        {.objects = {Object("a", 4), Object("b", 5)}, .revision = 10}, now_);
  }

  /// Sends the changes at the host that reads the store to the other host.
  /// Returns whether they changed the other host's copy.
  bool ShareChanges(time_point as_of) {
    bool changed = false;
    for (const targets_record& record : sharing_.Update(reader_objects_)) {
      const auto parsed = ParseHostMessage(FormatHostMessage(record));
      auto& received = std::get<targets_record>(parsed.value());
      EXPECT_EQ(received, record);
      digest_pairs_.push_back({received.base_digest, OtherDigest()});
      changed =
          other_copy_.OnPeerChanges(ToStoreChanges(received), as_of) || changed;
    }
    return changed;
  }

  uint64_t OtherDigest() const {
    return DigestOf(ReadableEntries(other_copy_.objects()));
  }

  targets_sharing sharing_;
  targets_sharing::target_objects reader_objects_;
  kind_follower<target_entry> other_copy_{follower_options{}};
  /// For each record sent: the digest of the list that it applies to, and that
  /// of the other host's list at that time.
  std::vector<std::pair<uint64_t, uint64_t>> digest_pairs_;
  time_point now_{seconds{100}};
};

TEST_F(TargetsSharingTest, ChangesMakeTheOtherCopyEqual) {
  reader_objects_["a"].item->draining = true;
  reader_objects_["a"].revision = 12;
  reader_objects_["c"] = Object("c", 13);
  reader_objects_.erase("b");
  EXPECT_TRUE(ShareChanges(now_));
  EXPECT_EQ(OtherDigest(), sharing_.digest());
  EXPECT_TRUE(other_copy_.objects().at("a").item->draining);
  EXPECT_FALSE(other_copy_.objects().contains("b"));
}

// Targets write their entries about once a second. Sending each of these writes
// to all hosts would cost more than sharing changes saves.
TEST_F(TargetsSharingTest, ChangesOfTheSequenceAloneAreNotShared) {
  reader_objects_["a"].item->sequence = 99;
  reader_objects_["a"].revision = 12;
  EXPECT_FALSE(ShareChanges(now_));
}

TEST_F(TargetsSharingTest, ChangeToAnUnreadableEntryRemovesItFromTheDigest) {
  reader_objects_["a"].item.reset();
  reader_objects_["a"].revision = 12;
  EXPECT_TRUE(ShareChanges(now_));
  EXPECT_EQ(OtherDigest(), sharing_.digest());
}

// A host that was cut off from the store shares outdated changes. They must not
// replace newer revisions that the receiving host has read itself.
TEST_F(TargetsSharingTest, OlderChangesDoNotUndoNewerOnes) {
  reader_objects_["a"].item->draining = true;
  reader_objects_["a"].revision = 12;
  reader_objects_.erase("b");
  other_copy_.NextCall(now_);
  other_copy_.OnWatched(
      {.changes = {{Object("a", 15), false}, {Object("b", 16), false}},
       .revision = 16},
      now_);
  EXPECT_FALSE(ShareChanges(now_));
  EXPECT_FALSE(other_copy_.objects().at("a").item->draining);
  EXPECT_TRUE(other_copy_.objects().contains("b"));
}

// The time limit of a draining target counts from the time at which its entry
// was last known to be unchanged.
TEST_F(TargetsSharingTest, SharedChangeKeepsTheTimeOfTheLastUnchangedCopy) {
  other_copy_.Confirm(now_ + seconds{1}, now_ + seconds{2});
  reader_objects_["a"].item->draining = true;
  reader_objects_["a"].revision = 12;
  EXPECT_TRUE(ShareChanges(now_ + milliseconds{1500}));
  EXPECT_EQ(other_copy_.previous_as_of(), now_ + seconds{1});
  EXPECT_EQ(other_copy_.current_as_of(), now_ + milliseconds{1500});
}

TEST_F(TargetsSharingTest, HostThatHasNotListedYetIgnoresChanges) {
  kind_follower<target_entry> new_copy{follower_options{}};
  reader_objects_["c"] = Object("c", 13);
  const auto records = sharing_.Update(reader_objects_);
  ASSERT_EQ(records.size(), 1U);
  EXPECT_FALSE(new_copy.OnPeerChanges(ToStoreChanges(records.front()), now_));
  EXPECT_TRUE(new_copy.objects().empty());
}

// A third of the targets of a large service is added at once. If the changes
// were not split over datagrams, each host would list all targets again, page
// by page.
TEST_F(TargetsSharingTest, ChangesBeyondOneDatagramAreSentInSeveral) {
  for (int i = 0; i < 100; ++i) {
    const std::string id = "n" + std::to_string(i);
    reader_objects_[id] = Object(id, 20);
  }
  reader_objects_["a"].item->draining = true;
  reader_objects_["a"].revision = 12;
  reader_objects_.erase("b");
  EXPECT_TRUE(ShareChanges(now_));
  EXPECT_EQ(OtherDigest(), sharing_.digest());
  EXPECT_GT(digest_pairs_.size(), 1U);
  for (const auto& [record_digest, other_digest] : digest_pairs_) {
    EXPECT_EQ(record_digest, other_digest)
        << "a record must apply to the list that the previous one produced";
  }
}

TEST_F(TargetsSharingTest, TooManyChangesAreNotSent) {
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "n" + std::to_string(i);
    reader_objects_[id] = Object(id, 20);
  }
  EXPECT_TRUE(sharing_.Update(reader_objects_).empty());
  EXPECT_EQ(sharing_.digest(), DigestOf(ReadableEntries(reader_objects_)));
}

}  // namespace
}  // namespace foxtailspread
