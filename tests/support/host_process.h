#ifndef FOXTAILSPREAD_TESTS_SUPPORT_HOST_PROCESS_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_HOST_PROCESS_H_

/// @file
/// Entry hosts as processes of their own, with settings, output, signals and
/// limits as a test wants them.

#include <sys/types.h>

#include <functional>
#include <string>
#include <string_view>

namespace foxtailspread {

/// A pipe; each end is closed once.
class test_pipe {
 public:
  test_pipe();
  ~test_pipe();
  test_pipe(const test_pipe&) = delete;
  test_pipe& operator=(const test_pipe&) = delete;

  int reader() const { return ends_[0]; }
  int writer() const { return ends_[1]; }
  void CloseReader();
  void CloseWriter();

 private:
  int ends_[2] = {-1, -1};
};

/// Settings of a host without a store, on any ports.
std::string LonelySettings();

/// Returns the path of a new file of its own folder, which the test removes by
/// ending.
class settings_file {
 public:
  settings_file();
  ~settings_file();
  settings_file(const settings_file&) = delete;
  settings_file& operator=(const settings_file&) = delete;

  const std::string& path() const { return path_; }
  void Write(std::string_view text) const;

 private:
  std::string folder_;
  std::string path_;
};

/// One process. The destructor kills it if it still runs.
class host_process {
 public:
  /// `prepare` runs in the new process before the program.
  host_process(const std::string& settings_path,
               const std::function<void()>& prepare);
  ~host_process();
  host_process(const host_process&) = delete;
  host_process& operator=(const host_process&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int number) const;
  /// Sends `number` again and again until the process has ended.
  void SignalUntilEnd(int number);
  /// Waits for the end. Returns its exit code, or minus the signal.
  int Wait();
  bool HasEnded();
  /// What its descriptor `fd` names; empty if it is closed.
  std::string Descriptor(int fd) const;
  /// Whether one of its first descriptors is a socket.
  bool HasSocket() const;

 private:
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

/// Reads from `fd` until a whole line contains `text`. False if the other end
/// is closed first, or after a watchdog's time.
bool ReadUntil(int fd, std::string_view text);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_HOST_PROCESS_H_
