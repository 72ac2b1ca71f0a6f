#include "foxtailspread/bounded_histogram.h"

#include <gtest/gtest.h>

#include <string>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BoundedHistogramTest : public ::testing::Test {
 protected:
  bounded_histogram histogram_;
};

TEST_F(BoundedHistogramTest, LengthOnABoundCountsBelowIt) {
  histogram_.Add(milliseconds{8});
  EXPECT_EQ(histogram_.CountUpTo(2), 0U);
  EXPECT_EQ(histogram_.CountUpTo(3), 1U);
  EXPECT_EQ(histogram_.CountUpTo(4), 1U);
}

// Beyond the last bound a request still counts, or a frozen service would show
// as one without requests.
TEST_F(BoundedHistogramTest, LengthBeyondAllBoundsIsInTheTotals) {
  histogram_.Add(seconds{60});
  EXPECT_EQ(histogram_.CountUpTo(bounded_histogram::kBounds.size() - 1), 0U);
  EXPECT_EQ(histogram_.count(), 1U);
  EXPECT_EQ(histogram_.sum(), seconds{60});
}

TEST_F(BoundedHistogramTest, TextHasCumulativeBucketsSumAndCount) {
  histogram_.Add(milliseconds{1});
  histogram_.Add(milliseconds{3});
  std::string text;
  AppendHistogram(text, "wait_seconds", "service=\"a\"", histogram_);
  EXPECT_NE(text.find("wait_seconds_bucket{service=\"a\",le=\"0.001\"} 1\n"),
            std::string::npos);
  EXPECT_NE(text.find("wait_seconds_bucket{service=\"a\",le=\"0.004\"} 2\n"),
            std::string::npos);
  EXPECT_NE(text.find("wait_seconds_bucket{service=\"a\",le=\"+Inf\"} 2\n"),
            std::string::npos);
  EXPECT_NE(text.find("wait_seconds_sum{service=\"a\"} 0.004\n"),
            std::string::npos);
  EXPECT_TRUE(text.ends_with("wait_seconds_count{service=\"a\"} 2\n"));
}

// Names of services come from declarations. A quote in one must not end the
// label, or the whole page of metrics could not be read.
TEST_F(BoundedHistogramTest, QuotesInALabelAreEscaped) {
  EXPECT_EQ(MetricLabel("service", "a\"b\\c"), R"(service="a\"b\\c")");
}

TEST_F(BoundedHistogramTest, MetricWithoutLabelsHasNoBraces) {
  std::string text;
  AppendMetric(text, "requests_pending", "", 3);
  EXPECT_EQ(text, "requests_pending 3.0\n");
}

}  // namespace
}  // namespace foxtailspread
