// What ends the process of an entry host, and what must not.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <climits>
#include <csignal>
#include <memory>
#include <string>

#include "net/poller.h"
#include "net/tcp_stream.h"
#include "support/host_process.h"

namespace foxtailspread {
namespace {

constexpr int kExitOk = 0;

class ProcessEndsTest : public ::testing::Test {
 protected:
  void SetUp() override {
    // A host that has ended reads no settings.
    signal(SIGPIPE, SIG_IGN);
    settings_.Write(LonelySettings());
  }

  /// Starts a host whose output is the pipe of the test.
  void Start(const std::function<void()>& prepare = [] {}) {
    host_ = std::make_unique<host_process>(settings_.path(), [&] {
      dup2(output_.writer(), STDOUT_FILENO);
      prepare();
    });
  }

  bool Logs(std::string_view event) {
    return ReadUntil(output_.reader(),
                     "\"name\":\"" + std::string{event} + "\"");
  }

  /// The settings are a pipe, so that the test holds the host before its loop:
  /// it waits there for its settings.
  void StartBeforeLoop() {
    ASSERT_EQ(unlink(settings_.path().c_str()), 0);
    ASSERT_EQ(mkfifo(settings_.path().c_str(), S_IRUSR | S_IWUSR), 0);
    Start();
    // Opened once the host has opened its end.
    settings_writer_ = open(settings_.path().c_str(), O_WRONLY | O_CLOEXEC);
    ASSERT_GE(settings_writer_, 0);
  }

  void GiveSettings() {
    const std::string text = LonelySettings();
    EXPECT_EQ(write(settings_writer_, text.data(), text.size()),
              static_cast<ssize_t>(text.size()));
    close(settings_writer_);
  }

  /// For a host whose log the test does not read.
  void AwaitSocket() {
    while (!host_->HasEnded() && !host_->HasSocket()) {
      usleep(1000);
    }
  }

  /// A second SIGINT ends a host at once.
  int Interrupt() {
    host_->Signal(SIGINT);
    host_->Signal(SIGINT);
    return host_->Wait();
  }

  /// Nothing more fits into the output until somebody reads.
  void FillOutput() {
    const int flags = fcntl(output_.writer(), F_GETFL);
    ASSERT_EQ(fcntl(output_.writer(), F_SETFL, flags | O_NONBLOCK), 0);
    for (const size_t size : {size_t{PIPE_BUF}, size_t{1}}) {
      const std::string filling(size, ' ');
      while (write(output_.writer(), filling.data(), filling.size()) > 0) {
      }
    }
    ASSERT_EQ(fcntl(output_.writer(), F_SETFL, flags), 0);
  }

  /// Whether the host ends while `signal` comes again and again.
  bool EndsUnder(int signal) {
    constexpr std::chrono::seconds kWatchdog{20};
    const auto end = std::chrono::steady_clock::now() + kWatchdog;
    while (!host_->HasEnded() && std::chrono::steady_clock::now() < end) {
      host_->Signal(signal);
    }
    return host_->HasEnded();
  }

  settings_file settings_;
  test_pipe output_;
  std::unique_ptr<host_process> host_;
  int settings_writer_ = -1;
};

// Guards against hosts ended by a SIGHUP that comes before their loop runs.
TEST_F(ProcessEndsTest, HangUpBeforeTheLoopReloadsOnceItRuns) {
  StartBeforeLoop();
  host_->Signal(SIGHUP);
  GiveSettings();
  ASSERT_TRUE(Logs("host-started"));
  settings_writer_ = open(settings_.path().c_str(), O_WRONLY | O_CLOEXEC);
  GiveSettings();
  EXPECT_TRUE(Logs("settings-reloaded"));
  EXPECT_EQ(Interrupt(), kExitOk);
}

// Guards against hosts ended without a word by a SIGTERM during their start.
TEST_F(ProcessEndsTest, TerminationBeforeTheLoopEndsInOrder) {
  StartBeforeLoop();
  host_->Signal(SIGTERM);
  GiveSettings();
  EXPECT_TRUE(Logs("stopped"));
  EXPECT_EQ(host_->Wait(), kExitOk);
}

// Guards against hosts ended by a SIGHUP that comes after their loop.
TEST_F(ProcessEndsTest, HangUpsDuringTheExitChangeNothing) {
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    Start();
    ASSERT_TRUE(Logs("host-started"));
    // The second of two that come at once may be merged into the first.
    host_->Signal(SIGINT);
    ASSERT_TRUE(Logs("stop-requested"));
    host_->Signal(SIGINT);
    host_->SignalUntilEnd(SIGHUP);
    ASSERT_EQ(host_->Wait(), kExitOk) << "round " << round;
  }
}

class IgnoredSignalTest : public ProcessEndsTest,
                          public ::testing::WithParamInterface<int> {};

// Guards against hosts ended by signals that ask nothing of them.
TEST_P(IgnoredSignalTest, RunningHostGoesOn) {
  Start();
  ASSERT_TRUE(Logs("host-started"));
  host_->Signal(GetParam());
  host_->Signal(SIGHUP);
  EXPECT_TRUE(Logs("settings-reloaded"));
  EXPECT_EQ(Interrupt(), kExitOk);
}

INSTANTIATE_TEST_SUITE_P(Signals, IgnoredSignalTest,
                         ::testing::Values(SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2,
                                           SIGTTIN, SIGTTOU));

// Guards against hosts ended by SIGPIPE when the reader of their log leaves.
TEST_F(ProcessEndsTest, ReaderOfOutputLeavesAndHostGoesOn) {
  Start();
  output_.CloseWriter();
  ASSERT_TRUE(Logs("host-started"));
  output_.CloseReader();
  host_->Signal(SIGHUP);
  host_->Signal(SIGTERM);
  EXPECT_EQ(host_->Wait(), kExitOk);
}

// Guards against hosts that wait for a reader of their log, and against
// changed flags of an output that others write to as well.
TEST_F(ProcessEndsTest, OutputThatNobodyReadsHoldsNothingUp) {
  constexpr int kManyLines = 200;
  Start();
  ASSERT_TRUE(Logs("host-started"));
  ASSERT_GT(fcntl(output_.writer(), F_SETPIPE_SZ, 1), 0);
  for (int i = 0; i < kManyLines; ++i) {
    host_->Signal(SIGHUP);
    usleep(1000);
  }
  EXPECT_EQ(fcntl(output_.writer(), F_GETFL) & O_NONBLOCK, 0);
  EXPECT_EQ(Interrupt(), kExitOk);
}

// Guards against hosts that wait for ever for a reader of their log once a
// signal interrupts the wait at their end.
TEST_F(ProcessEndsTest, SignalsDuringTheExitWaitForNoReader) {
  Start();
  ASSERT_TRUE(Logs("host-started"));
  FillOutput();
  host_->Signal(SIGINT);
  host_->Signal(SIGINT);
  EXPECT_TRUE(EndsUnder(SIGHUP));
}

// Guards against hosts ended by SIGXFSZ when their log may not grow.
TEST_F(ProcessEndsTest, OutputThatMayNotGrowEndsNothing) {
  settings_file log;
  log.Write("");
  const int file = open(log.path().c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  Start([file] {
    dup2(file, STDOUT_FILENO);
    const rlimit none{.rlim_cur = 1, .rlim_max = 1};
    setrlimit(RLIMIT_FSIZE, &none);
  });
  close(file);
  AwaitSocket();
  host_->Signal(SIGTERM);
  EXPECT_EQ(host_->Wait(), kExitOk);
}

// Guards against sockets under the number of the standard output, which then
// get lines of the log.
TEST_F(ProcessEndsTest, ClosedStandardDescriptorsNameNoSocket) {
  Start([] {
    for (const int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
      close(fd);
    }
  });
  AwaitSocket();
  for (const int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    EXPECT_EQ(host_->Descriptor(fd), "/dev/null") << fd;
  }
  host_->Signal(SIGTERM);
  EXPECT_EQ(host_->Wait(), kExitOk);
}

// Guards against starts that give up on an address that is in use for a moment.
TEST_F(ProcessEndsTest, AddressInUseForAMomentDelaysTheStart) {
  poller events;
  tcp_listener other(events, [](int fd) { close(fd); });
  ASSERT_TRUE(other.Listen("127.0.0.1:0"));
  std::string text = LonelySettings();
  const std::string any = R"("callers": "127.0.0.1:0")";
  text.replace(
      text.find(any), any.size(),
      R"("callers": "127.0.0.1:)" + std::to_string(other.port()) + "\"");
  settings_.Write(text);
  Start();
  ASSERT_TRUE(Logs("start-delayed"));
  other.Close();
  EXPECT_TRUE(Logs("host-started"));
  EXPECT_EQ(Interrupt(), kExitOk);
}

// Guards against starts that give up on settings that are being written.
TEST_F(ProcessEndsTest, HalfWrittenSettingsDelayTheStart) {
  settings_.Write(LonelySettings().substr(0, 20));
  Start();
  ASSERT_TRUE(Logs("start-delayed"));
  settings_.Write(LonelySettings());
  EXPECT_TRUE(Logs("host-started"));
  EXPECT_EQ(Interrupt(), kExitOk);
}

}  // namespace
}  // namespace foxtailspread
