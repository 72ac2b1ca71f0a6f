#include "net/non_blocking_output.h"

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

/// Opens what `fd` names once more: flags belong to an open file description,
/// which others may share. -1 if that is not possible.
int OpenOwn(int fd) {
  const std::string path = "/proc/self/fd/" + std::to_string(fd);
  return open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

}  // namespace

non_blocking_output::non_blocking_output(int fd) : fd_(fd) {
  struct stat about {};
  if (fstat(fd, &about) != 0) {
    return;
  }
  if (S_ISSOCK(about.st_mode)) {
    method_ = method::kSend;
  } else if (S_ISFIFO(about.st_mode) || S_ISCHR(about.st_mode)) {
    const int own = OpenOwn(fd);
    method_ = own >= 0 ? method::kFlag : method::kPoll;
    fd_ = own >= 0 ? own : fd;
  }
}

non_blocking_output::~non_blocking_output() {
  if (method_ == method::kFlag) {
    close(fd_);
  }
}

void non_blocking_output::WriteLine(std::string_view line) {
  if (kept_.size() > kMaxKept) {
    // The reader may have caught up or left since.
    WriteKept();
  }
  if (kept_.size() > kMaxKept) {
    ++lost_lines_;
    return;
  }
  if (kept_.empty() && notice_.empty()) {
    PrepareNotice();
  }
  kept_ += line;
  WriteKept();
}

void non_blocking_output::PrepareNotice() {
  if (is_mid_line_) {
    notice_ += '\n';
  }
  if (lost_lines_ > reported_lines_) {
    notice_ += "{\"name\":\"lines-dropped\",\"count\":" +
               std::to_string(lost_lines_ - reported_lines_) + "}\n";
  }
  told_lines_ = lost_lines_;
}

void non_blocking_output::Flush(milliseconds timeout) {
  const auto end = steady_clock::now() + timeout;
  milliseconds left = timeout;
  while (WriteKept() == progress::kFull && left.count() > 0) {
    IsWritable(left);
    left = std::chrono::ceil<milliseconds>(end - steady_clock::now());
  }
}

non_blocking_output::progress non_blocking_output::WriteKept() {
  progress done = progress::kWritten;
  while (!notice_.empty() && done == progress::kWritten) {
    done = WriteOnce(notice_);
    reported_lines_ = notice_.empty() ? told_lines_ : reported_lines_;
  }
  while (!kept_.empty() && done == progress::kWritten) {
    done = WriteOnce(kept_);
  }
  if (done == progress::kFailed) {
    DropKept();
  }
  return done;
}

non_blocking_output::progress non_blocking_output::WriteOnce(
    std::string& from) {
  ssize_t written = 0;
  if (method_ == method::kSend) {
    written = send(fd_, from.data(), from.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  } else if (method_ == method::kPoll && !IsWritable(milliseconds{0})) {
    return progress::kFull;
  } else {
    // A pipe that is writable takes this many bytes without waiting.
    written = write(fd_, from.data(), std::min<size_t>(from.size(), PIPE_BUF));
  }
  if (written > 0) {
    is_mid_line_ = from[static_cast<size_t>(written) - 1] != '\n';
    from.erase(0, static_cast<size_t>(written));
    return progress::kWritten;
  }
  if (written < 0 && errno != EAGAIN && errno != EINTR) {
    return progress::kFailed;
  }
  return progress::kFull;
}

bool non_blocking_output::IsWritable(milliseconds timeout) const {
  pollfd asked{.fd = fd_, .events = POLLOUT, .revents = 0};
  // A reader that has left counts as writable: the write then tells.
  return poll(&asked, 1, static_cast<int>(timeout.count())) > 0;
}

void non_blocking_output::DropKept() {
  const auto lines = std::ranges::count(kept_, '\n');
  lost_lines_ += static_cast<uint64_t>(lines);
  kept_.clear();
  notice_.clear();
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
