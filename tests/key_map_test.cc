// Tests changes to key maps and how hosts apply them.

#include "foxtailspread/key_map.h"

#include <gtest/gtest.h>

#include <string>

#include "foxtailspread/key_assigner.h"
#include "foxtailspread/routing_config.h"
#include "support/keyed_service.h"

namespace foxtailspread {
namespace {

class KeyMapTest : public ::testing::Test {
 protected:
  /// Returns a map of `count` ranges of equal size with different owners.
  static key_map MakeEvenMap(int count) {
    key_map map{.last_fence = static_cast<fence_number>(count), .ranges = {}};
    const int size = (int{kLastKey} + 1) / count;
    for (int i = 0; i < count; ++i) {
      map.ranges.push_back(
          {.first = static_cast<key_point>(i * size),
           .last = static_cast<key_point>((i + 1) * size - 1),
           .owner = {.id = "t" + std::to_string(i), .started = 1},
           .fence = static_cast<fence_number>(i + 1),
           .granted = true});
    }
    return map;
  }

  /// Assigns the keys from `first` to `last` to another owner.
  static void AssignToNewOwner(key_map& map, key_point first, key_point last) {
    ++map.last_fence;
    for (key_range& range : SplitAtBounds(map, first, last)) {
      range.owner = {.id = "new", .started = 2};
      range.fence = map.last_fence;
    }
    MergeEqualNeighbours(map);
  }

  /// Formats and parses the changes from `before` to `after`, and applies them
  /// to `before`.
  static key_map SendChanges(const key_map& before, const key_map& after) {
    const std::string sent = FormatKeyMap(DiffKeyMaps(before, after));
    const auto parsed = ParseKeyChanges(sent);
    EXPECT_TRUE(parsed);
    auto applied = ApplyKeyChanges(before, parsed.value());
    EXPECT_TRUE(applied);
    return applied ? std::move(applied.value()) : key_map{};
  }
};

TEST_F(KeyMapTest, ChangesAppliedToTheOldMapGiveTheNewOne) {
  const key_map before = MakeEvenMap(8);
  key_map split = before;
  AssignToNewOwner(split, 100, 9000);
  EXPECT_EQ(SendChanges(before, split), split);
  key_map merged = split;
  AssignToNewOwner(merged, 0, 30000);
  EXPECT_EQ(SendChanges(split, merged), merged);
  EXPECT_EQ(SendChanges(merged, before), before);
  EXPECT_EQ(SendChanges({}, before), before);
}

TEST_F(KeyMapTest, UnchangedMapHasNoChanges) {
  const key_map map = MakeEvenMap(8);
  EXPECT_TRUE(DiffKeyMaps(map, map).ranges.empty());
  EXPECT_EQ(SendChanges(map, map), map);
}

// With two hundred ranges and a hundred hosts, sending the whole map for each
// change saturated the links of small hosts for a second. Heartbeats were late,
// and hosts took the lease from each other.
TEST_F(KeyMapTest, OneMoveAmongManyRangesTakesAFewHundredBytes) {
  const key_map before = MakeEvenMap(256);
  key_map after = before;
  AssignToNewOwner(after, 1000, 1100);
  EXPECT_LT(FormatKeyMap(DiffKeyMaps(before, after)).size(), 600U);
  EXPECT_GT(FormatKeyMap(after).size(), 20000U);
}

TEST_F(KeyMapTest, ChangesToAnotherMapAreRejected) {
  key_map changes = MakeEvenMap(8);
  changes.ranges.resize(1);
  changes.ranges[0].last = 12000;
  EXPECT_FALSE(ApplyKeyChanges(MakeEvenMap(8), changes));
}

class OwnersRecordTest : public KeyMapTest {
 protected:
  void SetUp() override {
    assigner_.OnServices({testing::KeyedService("s")});
    ASSERT_TRUE(assigner_.OnOwners({.service = "s",
                                    .base_revision = 0,
                                    .revision = 10,
                                    .content = FormatKeyMap(old_map_)}));
    AssignToNewOwner(new_map_, 100, 9000);
  }

  status ReceiveChanges(uint64_t base, uint64_t revision) {
    return assigner_.OnOwners(
        {.service = "s",
         .base_revision = base,
         .revision = revision,
         .content = FormatKeyMap(DiffKeyMaps(old_map_, new_map_))});
  }

  key_assigner assigner_{{.host = "h", .zone = "z", .address = "1:2"}};
  key_map old_map_ = MakeEvenMap(8);
  key_map new_map_ = MakeEvenMap(8);
};

TEST_F(OwnersRecordTest, ChangesToThisHostsRevisionAreApplied) {
  ASSERT_TRUE(ReceiveChanges(10, 11));
  EXPECT_EQ(*assigner_.MapOf("s"), new_map_);
  EXPECT_EQ(assigner_.MapRevision("s"), 11U);
}

// The previous datagram was lost. Changes applied to an older map would send
// requests to former owners.
TEST_F(OwnersRecordTest, ChangesToAnotherRevisionAreIgnored) {
  ASSERT_TRUE(ReceiveChanges(11, 12));
  EXPECT_EQ(*assigner_.MapOf("s"), old_map_);
  EXPECT_EQ(assigner_.MapRevision("s"), 10U);
}

TEST_F(OwnersRecordTest, MalformedRecordIsRejected) {
  EXPECT_FALSE(assigner_.OnOwners(
      {.service = "s", .base_revision = 10, .revision = 11, .content = "{}"}));
  EXPECT_EQ(*assigner_.MapOf("s"), old_map_);
}

}  // namespace
}  // namespace foxtailspread
