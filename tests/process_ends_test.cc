// What ends the process of an entry host, and what must not.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <memory>
#include <string>

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

  /// A second SIGINT ends a host at once.
  int Interrupt() {
    host_->Signal(SIGINT);
    host_->Signal(SIGINT);
    return host_->Wait();
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
    host_->Signal(SIGINT);
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

}  // namespace
}  // namespace foxtailspread
