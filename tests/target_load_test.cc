#include "foxtailspread/load/target_load.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;

class LoadViewTest : public ::testing::Test {
 protected:
  time_point now_{std::chrono::seconds{100}};
  load_view view_;
};

// Guards against a target that nobody reports on being taken for idle.
TEST_F(LoadViewTest, OutdatedLoadIsNotKnown) {
  view_.Update(7, {.occupied = 3.0, .as_of = now_});
  ASSERT_NE(view_.Find(7, now_), nullptr);
  EXPECT_EQ(view_.Find(7, now_ + load_view::kTtl), nullptr);
  EXPECT_EQ(view_.Find(8, now_), nullptr);
  view_.DropOutdated(now_ + load_view::kTtl);
  EXPECT_EQ(view_.size(), 0U);
}

// Guards against datagrams that overtake each other.
TEST_F(LoadViewTest, OlderLoadDoesNotReplaceNewerOne) {
  view_.Update(7, {.occupied = 3.0, .as_of = now_});
  view_.Update(7, {.occupied = 9.0, .as_of = now_ - milliseconds{50}});
  EXPECT_EQ(view_.Find(7, now_)->occupied, 3.0);
}

TEST(NeedsSharedViewTest, FewHostsNeedNoneAndManyHostsDo) {
  EXPECT_FALSE(NeedsSharedView(9, 3, milliseconds{90}, milliseconds{300}));
  EXPECT_TRUE(NeedsSharedView(85, 4, milliseconds{160}, milliseconds{600}));
  EXPECT_TRUE(NeedsSharedView(300, 4, milliseconds{160}, milliseconds{600}));
}

}  // namespace
}  // namespace foxtailspread
