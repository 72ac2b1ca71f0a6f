#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_TRACE_WRITER_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_TRACE_WRITER_H_

/// @file
/// Records the events and actions of a host's decisions in a file.

#include <fstream>
#include <string>

#include "foxtailspread/entry_host.h"
#include "foxtailspread/trace.h"

namespace foxtailspread {

/// Appends one line for the host's identity and one for each step.
class trace_writer {
 public:
  /// Starts the file anew. Fails if it cannot be written.
  static result<std::unique_ptr<trace_writer>> Open(
      const std::string& path, const host_identity& identity,
      const decision_timing& timing);

  void Write(const host_event& event, time_point now,
             const action_list& actions);

 private:
  explicit trace_writer(std::ofstream file) : file_(std::move(file)) {}

  std::ofstream file_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_TRACE_WRITER_H_
