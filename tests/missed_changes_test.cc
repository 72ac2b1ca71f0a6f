#include "foxtailspread/missed_changes.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

constexpr size_t kManyHosts = 85;

class CopyRepairsTest : public ::testing::Test {
 protected:
  time_point now_{std::chrono::seconds{100}};
  copy_repairs repairs_;
};

// Guards against a list by each host of a zone for one lost datagram.
TEST_F(CopyRepairsTest, FirstDifferenceAsksForRepeat) {
  EXPECT_EQ(repairs_.OnCompared(false, kManyHosts, now_), copy_repair::kAsk);
  EXPECT_EQ(repairs_.OnCompared(true, kManyHosts, now_ + milliseconds{250}),
            copy_repair::kNone);
  EXPECT_EQ(repairs_.OnCompared(false, kManyHosts, now_ + milliseconds{500}),
            copy_repair::kAsk);
}

// Guards against a copy that stays outdated because the repeat was lost too.
TEST_F(CopyRepairsTest, LastingDifferenceReadsStore) {
  repairs_.OnCompared(false, kManyHosts, now_);
  EXPECT_EQ(repairs_.OnCompared(false, kManyHosts, now_ + milliseconds{250}),
            copy_repair::kRead);
}

TEST_F(CopyRepairsTest, FewHostsReadStoreAtOnce) {
  EXPECT_EQ(repairs_.OnCompared(false, 12, now_), copy_repair::kRead);
}

class AnnouncedChangesTest : public ::testing::Test {
 protected:
  void Add(uint64_t base, uint64_t revision) {
    announced_.Add({.service = "lookups",
                    .base_revision = base,
                    .revision = revision,
                    .content = "{}"});
  }
  std::vector<uint64_t> Since(uint64_t held) const {
    std::vector<uint64_t> revisions;
    for (const auto& each : announced_.Since("lookups", held)) {
      revisions.push_back(each.revision.counter);
    }
    return revisions;
  }

  announced_changes announced_;
};

TEST_F(AnnouncedChangesTest, ChangesSinceHeldRevisionAreRepeatedInOrder) {
  Add(1, 4);
  Add(4, 5);
  Add(5, 9);
  EXPECT_EQ(Since(4), (std::vector<uint64_t>{5, 9}));
  EXPECT_EQ(Since(9), std::vector<uint64_t>{});
  EXPECT_EQ(Since(3), std::vector<uint64_t>{});
  EXPECT_TRUE(announced_.Since("other", 4).empty());
}

// Guards against changes being applied to another record than theirs: a holder
// that read a record of another one in between has not announced all changes.
TEST_F(AnnouncedChangesTest, ChangesBeforeGapAreForgotten) {
  Add(1, 4);
  Add(7, 8);
  EXPECT_EQ(Since(1), std::vector<uint64_t>{});
  EXPECT_EQ(Since(7), std::vector<uint64_t>{8});
}

TEST_F(AnnouncedChangesTest, OldChangesAreForgotten) {
  for (uint64_t revision = 1; revision < 100; ++revision) {
    Add(revision - 1, revision);
  }
  EXPECT_TRUE(Since(10).empty());
  EXPECT_EQ(Since(97), (std::vector<uint64_t>{98, 99}));
}

TEST(RepeatRequestTest, FormattedRequestIsParsedAsWritten) {
  const repeat_request request{
      .address = "10.0.0.1:7200",
      .config_version = 7,
      .lease_host = "edge-1",
      .owners = {{.service = "lookups", .revision = {2, 9}}}};
  const auto parsed = ParseHostMessage(FormatHostMessage(request));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(std::get<repeat_request>(parsed.value()), request);
}

}  // namespace
}  // namespace foxtailspread
