#include "foxtailspread/error.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

TEST(ErrorTest, MessageWithPathNamesReasonAndRemedy) {
  const error e{error_code::kOutOfRange, "services[0].slots", "0 is too small",
                "use 1 to 64"};
  EXPECT_EQ(e.Message(), "services[0].slots: 0 is too small; use 1 to 64");
}

TEST(ErrorTest, ResultWithErrorKeepsItsCode) {
  const result<int> failed = error{error_code::kConflict, "", "lost", "retry"};
  ASSERT_FALSE(failed);
  EXPECT_EQ(failed.error().code, error_code::kConflict);
}

}  // namespace
}  // namespace foxtailspread
