#include "support/host_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Only ends a test that hangs.
constexpr std::chrono::seconds kWatchdog{30};

}  // namespace

test_pipe::test_pipe() {
  if (pipe2(ends_, O_CLOEXEC) != 0) {
    throw std::runtime_error("no pipe");
  }
}

test_pipe::~test_pipe() {
  CloseReader();
  CloseWriter();
}

void test_pipe::CloseReader() {
  if (ends_[0] >= 0) {
    close(ends_[0]);
    ends_[0] = -1;
  }
}

void test_pipe::CloseWriter() {
  if (ends_[1] >= 0) {
    close(ends_[1]);
    ends_[1] = -1;
  }
}

std::string LonelySettings() {
  return R"({"name": "edge", "zone": "north", "callers": "127.0.0.1:0",
             "readiness": "127.0.0.1:0", "hosts": "127.0.0.1:0",
             "store": "127.0.0.1:1"})";
}

settings_file::settings_file() {
  std::string made = std::filesystem::temp_directory_path() / "host-XXXXXX";
  if (mkdtemp(made.data()) == nullptr) {
    throw std::runtime_error("no folder");
  }
  folder_ = made;
  path_ = folder_ + "/settings.json";
}

settings_file::~settings_file() {
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void settings_file::Write(std::string_view text) const {
  std::ofstream{path_} << text;
}

host_process::host_process(const std::string& settings_path,
                           const std::function<void()>& prepare)
    : pid_(fork()) {
  if (pid_ == 0) {
    // The test itself may ignore it.
    signal(SIGPIPE, SIG_DFL);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    prepare();
    const std::string program = PROGRAM_DIR "/foxtail-edge";
    execl(program.c_str(), program.c_str(), settings_path.c_str(), nullptr);
    _exit(127);
  }
}

host_process::~host_process() {
  if (!HasEnded()) {
    Signal(SIGKILL);
    Wait();
  }
}

void host_process::Signal(int number) const { kill(pid_, number); }

void host_process::SignalUntilEnd(int number) {
  constexpr useconds_t kPause = 100;
  while (!HasEnded()) {
    Signal(number);
    usleep(kPause);
  }
}

bool host_process::HasEnded() {
  ended_ = ended_ || waitpid(pid_, &status_, WNOHANG) == pid_;
  return ended_;
}

int host_process::Wait() {
  ended_ = ended_ || waitpid(pid_, &status_, 0) == pid_;
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -WTERMSIG(status_);
}

std::string host_process::Descriptor(int fd) const {
  std::error_code ignored;
  return std::filesystem::read_symlink(
      "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(fd), ignored);
}

bool host_process::HasSocket() const {
  constexpr int kFirstDescriptors = 32;
  for (int fd = 0; fd < kFirstDescriptors; ++fd) {
    if (Descriptor(fd).starts_with("socket:")) {
      return true;
    }
  }
  return false;
}

bool ReadUntil(int fd, std::string_view text) {
  const auto end = steady_clock::now() + kWatchdog;
  std::string line;
  while (steady_clock::now() < end) {
    pollfd asked{.fd = fd, .events = POLLIN, .revents = 0};
    poll(&asked, 1, static_cast<int>(milliseconds{100}.count()));
    char next = 0;
    if (asked.revents == 0) {
      continue;
    }
    if (read(fd, &next, 1) <= 0) {
      return false;
    }
    line += next;
    if (next == '\n') {
      if (line.find(text) != std::string::npos) {
        return true;
      }
      line.clear();
    }
  }
  return false;
}

}  // namespace foxtailspread
