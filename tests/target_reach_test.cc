#include "foxtailspread/target_reach.h"

#include <gtest/gtest.h>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetReachTest : public ::testing::Test {
 protected:
  TargetReachTest() { reach_.OnListed(36); }

  /// Whether the host is cut off after this time, if probes get no answer.
  bool IsCutOffAfter(milliseconds time) {
    now_ += time;
    reach_.Paths(now_);
    for (size_t probes = reach_.TakeProbes(now_); probes > 0; --probes) {
      reach_.OnProbeFailed();
    }
    return reach_.Paths(now_) == target_paths::kNone;
  }

  void FailAll() {
    for (const char* target : {"a", "b", "c", "d"}) {
      reach_.OnFailed(target, now_);
    }
  }

  target_reach reach_;
  time_point now_{seconds{100}};
};

TEST_F(TargetReachTest, TargetsThatAllFailMeanALostPath) {
  FailAll();
  EXPECT_FALSE(IsCutOffAfter(milliseconds{0}));
  EXPECT_TRUE(IsCutOffAfter(milliseconds{300}));
}

// Guards against taking targets that crash for a lost path.
TEST_F(TargetReachTest, AnswerOfAnotherTargetMeansThatTheyFailed) {
  FailAll();
  reach_.OnAnswer("e");
  EXPECT_FALSE(IsCutOffAfter(milliseconds{300}));
}

TEST_F(TargetReachTest, OneTargetThatFailsOftenIsNoLostPath) {
  for (int i = 0; i < 10; ++i) {
    reach_.OnFailed("a", now_);
  }
  EXPECT_FALSE(IsCutOffAfter(milliseconds{300}));
}

// Guards against waiting for the deadlines of requests on links that drop all
// packets.
TEST_F(TargetReachTest, TargetsThatAllStaySilentMeanALostPath) {
  for (const char* target : {"a", "b", "c"}) {
    reach_.OnSent(target, now_);
  }
  EXPECT_FALSE(IsCutOffAfter(milliseconds{900}));
  EXPECT_TRUE(IsCutOffAfter(milliseconds{200}));
}

// Guards against taking callers that leave for targets that stay silent.
TEST_F(TargetReachTest, RequestsWhoseCallersLeftAreNoLostPath) {
  for (const char* target : {"a", "b", "c"}) {
    reach_.OnSent(target, now_);
    reach_.OnAbandoned(target, now_ + milliseconds{300});
  }
  EXPECT_FALSE(IsCutOffAfter(milliseconds{5000}));
}

TEST_F(TargetReachTest, FewSlowRequestsAreNoLostPath) {
  reach_.OnSent("a", now_);
  reach_.OnSent("b", now_);
  EXPECT_FALSE(IsCutOffAfter(milliseconds{5000}));
}

// Guards against hosts whose connections live on while new ones are refused:
// some targets answer, but requests to the others fail.
TEST_F(TargetReachTest, ConnectionsThatFailToAPartMeanALostPathToSome) {
  for (const char* target : {"a", "b", "c"}) {
    reach_.OnUnreachable(target, now_);
    reach_.OnAnswer("e");
  }
  EXPECT_EQ(reach_.Paths(now_), target_paths::kSome);
  reach_.OnAnswer("a");
  EXPECT_EQ(reach_.Paths(now_), target_paths::kAll);
}

TEST_F(TargetReachTest, FailedConnectionsAreForgotten) {
  for (const char* target : {"a", "b", "c"}) {
    reach_.OnUnreachable(target, now_);
  }
  reach_.OnAnswer("e");
  EXPECT_EQ(reach_.Paths(now_ + seconds{4}), target_paths::kAll);
}

// Guards against taking crashes for a lost path on a host that sends little but
// the request that causes them.
TEST_F(TargetReachTest, AnsweredProbeMeansThatTheTargetsFailed) {
  FailAll();
  now_ += milliseconds{300};
  reach_.Paths(now_);
  ASSERT_EQ(reach_.TakeProbes(now_), 3U);
  reach_.OnProbeFailed();
  reach_.OnAnswer("e");
  reach_.OnProbeFailed();
  EXPECT_NE(reach_.Paths(now_), target_paths::kNone);
}

TEST_F(TargetReachTest, ProbeThatIsAnsweredEndsTheCut) {
  FailAll();
  ASSERT_TRUE(IsCutOffAfter(milliseconds{300}));
  EXPECT_EQ(reach_.TakeProbes(now_), 0U);
  now_ = reach_.NextProbe();
  EXPECT_EQ(reach_.TakeProbes(now_), 1U);
  EXPECT_EQ(reach_.TakeProbes(now_), 0U);
  reach_.OnAnswer("e");
  EXPECT_FALSE(IsCutOffAfter(milliseconds{0}));
  EXPECT_EQ(reach_.NextProbe(), time_point::max());
}

}  // namespace
}  // namespace foxtailspread
