// What a log's reader gets after lines had to be dropped.

#include "net/non_blocking_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <string>

#include "net/whole_file.h"
#include "support/host_process.h"

namespace foxtailspread {
namespace {

/// Files may not grow beyond `bytes` while this lives.
class file_size_limit {
 public:
  explicit file_size_limit(rlim_t bytes) {
    getrlimit(RLIMIT_FSIZE, &former_);
    const rlimit wanted{.rlim_cur = bytes, .rlim_max = former_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &wanted);
  }
  ~file_size_limit() { setrlimit(RLIMIT_FSIZE, &former_); }
  file_size_limit(const file_size_limit&) = delete;
  file_size_limit& operator=(const file_size_limit&) = delete;

 private:
  rlimit former_{};
};

// Guards against a line that is glued to half of a dropped one, and against
// dropped lines that are not told.
TEST(NonBlockingOutputTest, LinesDroppedWhileAFileCannotGrowAreTold) {
  signal(SIGXFSZ, SIG_IGN);
  const settings_file log;
  log.Write("");
  const int file = open(log.path().c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  non_blocking_output output(file);
  {
    const file_size_limit limit(5);
    output.WriteLine("first\n");
    output.WriteLine("second\n");
    output.WriteLine("third\n");
  }
  output.WriteLine("last\n");
  close(file);
  EXPECT_EQ(output.lost_lines(), 3U);
  EXPECT_EQ(ReadWholeFile(log.path(), "").value(),
            "first\n{\"name\":\"lines-dropped\",\"count\":3}\nlast\n");
}

}  // namespace
}  // namespace foxtailspread
