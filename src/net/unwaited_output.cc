#include "net/unwaited_output.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Bytes kept for a reader that is behind.
constexpr size_t kMaxKept = 65536;

bool IsSocket(int fd) {
  struct stat about {};
  return fstat(fd, &about) == 0 && S_ISSOCK(about.st_mode);
}

}  // namespace

unwaited_output::unwaited_output(int fd) : fd_(fd), is_socket_(IsSocket(fd)) {}

void unwaited_output::WriteLine(std::string_view line) {
  if (kept_.size() > kMaxKept) {
    // The reader may have caught up or left since.
    WriteKept();
  }
  if (kept_.size() > kMaxKept) {
    ++lost_lines_;
    ++unreported_lines_;
    return;
  }
  if (unreported_lines_ > 0) {
    kept_ += "{\"name\":\"lines-dropped\",\"count\":" +
             std::to_string(unreported_lines_) + "}\n";
    unreported_lines_ = 0;
  }
  kept_ += line;
  WriteKept();
}

void unwaited_output::Flush(milliseconds timeout) {
  const auto end = steady_clock::now() + timeout;
  while (WriteKept() == progress::kFull) {
    const auto left =
        std::chrono::ceil<milliseconds>(end - steady_clock::now());
    if (left.count() <= 0 || !IsWritable(left)) {
      return;
    }
  }
}

unwaited_output::progress unwaited_output::WriteKept() {
  progress done = progress::kWritten;
  while (!kept_.empty() && done == progress::kWritten) {
    done = WriteOnce();
  }
  if (done == progress::kFailed) {
    DropKept();
  }
  return done;
}

unwaited_output::progress unwaited_output::WriteOnce() {
  ssize_t written = 0;
  if (is_socket_) {
    written =
        send(fd_, kept_.data(), kept_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  } else if (!IsWritable(milliseconds{0})) {
    return progress::kFull;
  } else {
    // A pipe that is writable takes this many bytes without waiting.
    written =
        write(fd_, kept_.data(), std::min<size_t>(kept_.size(), PIPE_BUF));
  }
  if (written >= 0) {
    kept_.erase(0, static_cast<size_t>(written));
    return progress::kWritten;
  }
  if (errno == EINTR) {
    return progress::kWritten;
  }
  return errno == EAGAIN ? progress::kFull : progress::kFailed;
}

bool unwaited_output::IsWritable(milliseconds timeout) const {
  pollfd asked{.fd = fd_, .events = POLLOUT, .revents = 0};
  // A reader that has left counts as writable: the write then tells.
  return poll(&asked, 1, static_cast<int>(timeout.count())) != 0;
}

void unwaited_output::DropKept() {
  const auto lines = std::ranges::count(kept_, '\n');
  lost_lines_ += static_cast<uint64_t>(lines);
  kept_.clear();
}

void OpenStandardDescriptors() {
  int opened = 0;
  while (opened >= 0 && opened <= STDERR_FILENO) {
    opened = open("/dev/null", O_RDWR);
  }
  if (opened > STDERR_FILENO) {
    close(opened);
  }
}

}  // namespace foxtailspread
