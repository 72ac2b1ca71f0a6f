#include "trace_writer.h"

namespace foxtailspread {

result<std::unique_ptr<trace_writer>> trace_writer::Open(
    const std::string& path, const host_identity& identity,
    const decision_timing& timing) {
  std::ofstream file(path, std::ios::trunc);
  file << FormatTraceStart(identity, timing) << '\n';
  if (!file) {
    return error{error_code::kUnavailable, "trace_file",
                 "the file " + path + " cannot be written",
                 "name a writable path or leave the field out"};
  }
  return std::unique_ptr<trace_writer>(new trace_writer(std::move(file)));
}

void trace_writer::Write(const host_event& event, time_point now,
                         const action_list& actions) {
  file_ << FormatTraceStep(trace_step{now, event, actions}) << '\n';
}

}  // namespace foxtailspread
