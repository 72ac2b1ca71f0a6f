#ifndef FOXTAILSPREAD_TESTS_SUPPORT_DESCRIPTOR_LIMIT_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_DESCRIPTOR_LIMIT_H_

/// @file
/// A process that has no descriptor left.

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace foxtailspread::testing {

/// While it lives, this process gets only descriptors that it has closed. New
/// numbers are the lowest ones that are free.
class descriptor_limit {
 public:
  descriptor_limit() {
    const int lowest = dup(STDERR_FILENO);
    close(lowest);
    EXPECT_EQ(getrlimit(RLIMIT_NOFILE, &before_), 0);
    rlimit now = before_;
    now.rlim_cur = static_cast<rlim_t>(lowest);
    EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &now), 0);
  }
  ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

 private:
  rlimit before_{};
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_DESCRIPTOR_LIMIT_H_
