#ifndef FOXTAILSPREAD_TESTS_PROGRAM_RUNNER_H_
#define FOXTAILSPREAD_TESTS_PROGRAM_RUNNER_H_

/// @file
/// Starts the project's own programs for tests over loopback.

#include <gio/gio.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "net/gobject_ptr.h"

namespace foxtailspread {

/// How a program that ran to its end did.
struct program_result {
  int status = -1;
  std::string out;
  std::string err;
};

/// Starts build/PROGRAM with `arguments`.
inline gobject_ptr<GSubprocess> StartProgram(
    const std::string& program, const std::vector<std::string>& arguments,
    GSubprocessFlags flags) {
  const std::string path = std::string(PROGRAM_DIR) + "/" + program;
  std::vector<const char*> argv{path.c_str()};
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  argv.push_back(nullptr);
  gobject_ptr<GSubprocess> started(
      g_subprocess_newv(argv.data(), flags, nullptr));
  if (started.get() == nullptr) {
    throw std::runtime_error("cannot start " + path);
  }
  return started;
}

/// Runs a program to its end.
inline program_result RunProgram(const std::string& program,
                                 const std::vector<std::string>& arguments) {
  const auto flags = static_cast<GSubprocessFlags>(
      G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE);
  const gobject_ptr<GSubprocess> process =
      StartProgram(program, arguments, flags);
  char* out = nullptr;
  char* err = nullptr;
  g_subprocess_communicate_utf8(process.get(), nullptr, nullptr, &out, &err,
                                nullptr);
  program_result done;
  done.status = g_subprocess_get_if_exited(process.get()) != 0
                    ? g_subprocess_get_exit_status(process.get())
                    : -1;
  done.out = out != nullptr ? out : "";
  done.err = err != nullptr ? err : "";
  g_free(out);
  g_free(err);
  return done;
}

/// A program that prints "listening IP:PORT" and serves until it is told to
/// stop, which the destructor does.
class served_program {
 public:
  served_program(const std::string& program,
                 const std::vector<std::string>& arguments)
      : process_(StartProgram(
            program, arguments,
            static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
                                          G_SUBPROCESS_FLAGS_STDERR_SILENCE))),
        out_(g_data_input_stream_new(
            g_subprocess_get_stdout_pipe(process_.get()))) {
    char* line =
        g_data_input_stream_read_line(out_.get(), nullptr, nullptr, nullptr);
    const std::string text = line != nullptr ? line : "";
    g_free(line);
    const size_t space = text.find(' ');
    if (space == std::string::npos) {
      throw std::runtime_error(program + " does not listen: " + text);
    }
    address_ = text.substr(space + 1);
  }

  ~served_program() {
    g_subprocess_force_exit(process_.get());
    g_subprocess_wait(process_.get(), nullptr, nullptr);
  }

  served_program(const served_program&) = delete;
  served_program& operator=(const served_program&) = delete;

  const std::string& address() const { return address_; }

 private:
  gobject_ptr<GSubprocess> process_;
  gobject_ptr<GDataInputStream> out_;
  std::string address_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_PROGRAM_RUNNER_H_
