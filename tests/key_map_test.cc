// Records of who owns which keys, and how hosts take changes to them.

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
  /// A map of `count` ranges of equal size, each with an owner of its own.
  static key_map Even(int count) {
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

  /// Gives the keys from `first` to `last` to another owner.
  static void Move(key_map& map, key_point first, key_point last) {
    ++map.last_fence;
    for (key_range& each : CutOut(map, first, last)) {
      each.owner = {.id = "new", .started = 2};
      each.fence = map.last_fence;
    }
    JoinEqualNeighbours(map);
  }

  static key_map Applied(const key_map& before, const key_map& after) {
    const std::string sent = FormatKeyMap(KeyChanges(before, after));
    const auto read = ParseKeyChanges(sent);
    EXPECT_TRUE(read);
    auto made = WithKeyChanges(before, read.value());
    EXPECT_TRUE(made);
    return made ? std::move(made.value()) : key_map{};
  }
};

TEST_F(KeyMapTest, ChangesAppliedToTheFormerMapGiveTheNewOne) {
  const key_map before = Even(8);
  key_map cut = before;
  Move(cut, 100, 9000);
  EXPECT_EQ(Applied(before, cut), cut);
  key_map joined = cut;
  Move(joined, 0, 30000);
  EXPECT_EQ(Applied(cut, joined), joined);
  EXPECT_EQ(Applied(joined, before), before);
  EXPECT_EQ(Applied({}, before), before);
}

TEST_F(KeyMapTest, MapThatDidNotChangeHasNoChanges) {
  const key_map map = Even(8);
  EXPECT_TRUE(KeyChanges(map, map).ranges.empty());
  EXPECT_EQ(Applied(map, map), map);
}

// With two hundred ranges and a hundred hosts, whole records of each change
// filled the links of small hosts for a second; beats came late and hosts took
// the lease from each other.
TEST_F(KeyMapTest, OneMoveAmongManyRangesIsAFewHundredBytes) {
  const key_map before = Even(256);
  key_map after = before;
  Move(after, 1000, 1100);
  EXPECT_LT(FormatKeyMap(KeyChanges(before, after)).size(), 600U);
  EXPECT_GT(FormatKeyMap(after).size(), 20000U);
}

TEST_F(KeyMapTest, ChangesToAnotherMapAreRefused) {
  key_map changes = Even(8);
  changes.ranges.resize(1);
  changes.ranges[0].last = 12000;
  EXPECT_FALSE(WithKeyChanges(Even(8), changes));
}

class OwnersRecordTest : public KeyMapTest {
 protected:
  void SetUp() override {
    assigner_.OnServices({testing::KeyedService("s")});
    ASSERT_TRUE(assigner_.OnOwners({.service = "s",
                                    .base = 0,
                                    .revision = 10,
                                    .content = FormatKeyMap(first_)}));
    Move(second_, 100, 9000);
  }

  status Take(uint64_t base, uint64_t revision) {
    return assigner_.OnOwners(
        {.service = "s",
         .base = base,
         .revision = revision,
         .content = FormatKeyMap(KeyChanges(first_, second_))});
  }

  key_assigner assigner_{{.host = "h", .zone = "z", .address = "1:2"}};
  key_map first_ = Even(8);
  key_map second_ = Even(8);
};

TEST_F(OwnersRecordTest, ChangesToThisHostsMapAreTaken) {
  ASSERT_TRUE(Take(10, 11));
  EXPECT_EQ(*assigner_.MapOf("s"), second_);
  EXPECT_EQ(assigner_.MapRevision("s"), 11U);
}

// The datagram before was lost. Changes put on an older map would send requests
// to former owners.
TEST_F(OwnersRecordTest, ChangesToAMapThatThisHostHasNotAreLeftAside) {
  ASSERT_TRUE(Take(11, 12));
  EXPECT_EQ(*assigner_.MapOf("s"), first_);
  EXPECT_EQ(assigner_.MapRevision("s"), 10U);
}

TEST_F(OwnersRecordTest, RecordThatCannotBeReadIsRefused) {
  EXPECT_FALSE(assigner_.OnOwners(
      {.service = "s", .base = 10, .revision = 11, .content = "{}"}));
  EXPECT_EQ(*assigner_.MapOf("s"), first_);
}

}  // namespace
}  // namespace foxtailspread
