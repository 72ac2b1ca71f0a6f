#include "foxtailspread/burn.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::minutes;

class BurnTest : public ::testing::Test {
 protected:
  void Record(std::string_view organisation, int good, int bad) {
    for (int i = 0; i < good + bad; ++i) {
      ledger_.Record(now_, organisation, "deposits", i < good);
    }
  }

  time_point now_{std::chrono::hours(5)};
  burn_ledger ledger_{2};
};

TEST_F(BurnTest, BurnRateIsMissRatioOverPermittedMissRatio) {
  ledger_.SetTarget("deposits", 0.95);
  Record("prairie", 90, 10);
  const std::vector<burn_row> rows = ledger_.RowsOf(now_, "prairie");
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_NEAR(BurnRate(rows[0].short_window, rows[0].target), 2.0, 1e-9);
  EXPECT_NEAR(BudgetLeft(rows[0].long_window, rows[0].target), -1.0, 1e-9);
}

TEST_F(BurnTest, CountsExpireFromShortWindowBeforeLongWindow) {
  Record("prairie", 0, 4);
  now_ += minutes(6);
  Record("prairie", 1, 0);
  const burn_row row = ledger_.RowsOf(now_, "prairie")[0];
  EXPECT_EQ(row.short_window, (burn_counts{1, 1}));
  EXPECT_EQ(row.long_window, (burn_counts{1, 5}));
  now_ += minutes(61);
  EXPECT_EQ(ledger_.RowsOf(now_, "prairie")[0].long_window, burn_counts{});
}

// Guards against showing an organisation the rows of another, which may be a
// competitor: they reveal its request volume and quality of service.
TEST_F(BurnTest, OrganisationSeesOnlyItsOwnRows) {
  Record("shop-a", 1, 0);
  Record("shop-b", 1, 0);
  const std::vector<burn_row> rows = ledger_.RowsOf(now_, "shop-a");
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0].organisation, "shop-a");
  EXPECT_EQ(ledger_.AllRows(now_).size(), 2U);
}

TEST_F(BurnTest, RequestsBeyondRowLimitAreCountedAsUncounted) {
  Record("a", 1, 0);
  Record("b", 1, 0);
  Record("c", 3, 0);
  EXPECT_EQ(ledger_.AllRows(now_).size(), 2U);
  EXPECT_EQ(ledger_.uncounted_requests(), 3U);
}

TEST_F(BurnTest, RowsOfSeveralHostsAreSummedAfterJsonRoundTrip) {
  const std::vector<burn_row> first_host{{"a", "s", 0.99, {9, 10}, {90, 100}}};
  const std::vector<burn_row> second_host{{"a", "s", 0.999, {1, 10}, {2, 10}},
                                          {"b", "s", 0.99, {1, 1}, {1, 1}}};
  const result<std::vector<burn_row>> read =
      BurnFromJson(BurnToJson(second_host));
  ASSERT_TRUE(read) << read.error().Message();
  const std::vector<std::vector<burn_row>> hosts{first_host, read.value()};
  const std::vector<burn_row> expected{{"a", "s", 0.999, {10, 20}, {92, 110}},
                                       {"b", "s", 0.99, {1, 1}, {1, 1}}};
  EXPECT_EQ(MergeBurn(hosts), expected);
}

TEST_F(BurnTest, OtherJsonIsMalformed) {
  EXPECT_FALSE(BurnFromJson({{"burn", {{{"service", 1}}}}}));
  EXPECT_FALSE(BurnFromJson(nlohmann::json::array()));
}

}  // namespace
}  // namespace foxtailspread
