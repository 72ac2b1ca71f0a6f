#ifndef FOXTAILSPREAD_NET_NON_BLOCKING_OUTPUT_H_
#define FOXTAILSPREAD_NET_NON_BLOCKING_OUTPUT_H_

/// @file
/// Lines for a reader that may be slow, stand still or leave.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailspread {

/// Writes lines to a descriptor and neither waits for its reader nor changes
/// the flags of what others may have open too. SIGPIPE must be ignored.
///
/// @code
/// non_blocking_output output(STDOUT_FILENO);
/// output.WriteLine("{}\n");
/// @endcode
class non_blocking_output {
 public:
  explicit non_blocking_output(int fd);
  ~non_blocking_output();
  non_blocking_output(const non_blocking_output&) = delete;
  non_blocking_output& operator=(const non_blocking_output&) = delete;

  /// Writes `line`, with its line break, or keeps it for a reader that is
  /// behind. Drops and counts it if too much is kept, or if the reader has
  /// left.
  void WriteLine(std::string_view line);

  /// Writes what is kept; waits for the reader no longer than `timeout`.
  void Flush(std::chrono::milliseconds timeout);

  /// Lines that were dropped.
  uint64_t lost_lines() const { return lost_lines_; }

 private:
  enum class progress { kWritten, kFull, kFailed };

  /// Writes as much as the descriptor takes at once.
  progress WriteKept();
  progress WriteOnce(std::string& from);
  void PrepareNotice();
  bool IsWritable(std::chrono::milliseconds timeout) const;
  void DropKept();

  /// How writing without waiting is asked for.
  enum class method {
    kFlag,   ///< The descriptor is this object's own, with O_NONBLOCK.
    kSend,   ///< A socket, by MSG_DONTWAIT.
    kPoll,   ///< By poll(2) before each write.
    kPlain,  ///< A file, whose writes do not wait for a reader.
  };

  int fd_;
  method method_ = method::kPlain;
  bool is_mid_line_ = false;  ///< The last write ended within a line.
  std::string notice_;        ///< Of lost lines, written before what is kept.
  std::string kept_;
  uint64_t lost_lines_ = 0;
  uint64_t told_lines_ = 0;  ///< Of them, told once `notice_` is written.
  uint64_t reported_lines_ = 0;
};

/// Opens what is closed of the descriptors 0 to 2 on /dev/null, so that no
/// socket gets such a number and with it what is written to the output.
void OpenStandardDescriptors();

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_NON_BLOCKING_OUTPUT_H_
