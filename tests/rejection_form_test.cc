#include "foxtailspread/load/rejection_form.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

// Guards against a full target that is filled until it resets connections,
// because this host has not seen it do so.
TEST(RejectionFormTest, TargetsAreExpectedToResetUntilOneAnswers) {
  rejection_form rejections;
  EXPECT_TRUE(rejections.resets_connections());
  rejections.OnRejectionAnswer();
  EXPECT_FALSE(rejections.resets_connections());
}

// Guards against refusals for targets that say what they did not run, after a
// reset that had another reason.
TEST(RejectionFormTest, OneResetDoesNotOutweighAnswers) {
  rejection_form rejections;
  rejections.OnRejectionAnswer();
  rejections.OnRejectionAnswer();
  rejections.OnResetWhenFull();
  EXPECT_FALSE(rejections.resets_connections());
}

}  // namespace
}  // namespace foxtailspread
