#include "net/log.h"

#include <glib.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "net/non_blocking_output.h"

namespace foxtailspread {
namespace {

/// For a reader that is behind when the program ends.
constexpr std::chrono::milliseconds kFlushTimeout{200};

constexpr char kLoggerName[] = "foxtailspread";
// The message is one JSON object; the layout puts the time in front as its
// first field.
constexpr char kPattern[] =
    "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT}\",%m%n";

/// Writes lines to standard output without waiting. A reader that stands still
/// must not hold up requests: log4cxx's own console appender waits for it.
class output_appender : public log4cxx::AppenderSkeleton {
 public:
  output_appender(log4cxx::LayoutPtr layout, non_blocking_output& output)
      : layout_(std::move(layout)), output_(output) {}

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString text;
    layout_->format(text, event, pool);
    output_.WriteLine(text);
  }

  const log4cxx::helpers::Class& getClass() const override {
    return AppenderSkeleton::getStaticClass();
  }
  void close() override {}
  bool requiresLayout() const override { return false; }

 private:
  log4cxx::LayoutPtr layout_;
  non_blocking_output& output_;
};

/// What OpenLog() writes to with `to_output`.
non_blocking_output& StandardOutput() {
  static non_blocking_output output(STDOUT_FILENO);
  return output;
}

log4cxx::LevelPtr ToLog4cxx(event_level level) {
  switch (level) {
    case event_level::kDebug:
      return log4cxx::Level::getDebug();
    case event_level::kInfo:
      return log4cxx::Level::getInfo();
    case event_level::kWarning:
      return log4cxx::Level::getWarn();
    case event_level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

struct open_log {
  log4cxx::LoggerPtr logger;
  std::string program;
};

open_log MakeLog(const log_options& settings) {
  using log4cxx::ConsoleAppender;
  using log4cxx::FileAppender;
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  log4cxx::AppenderPtr appender;
  if (settings.to_output) {
    appender = std::make_shared<output_appender>(layout, StandardOutput());
  } else if (settings.file.empty()) {
    appender = std::make_shared<ConsoleAppender>(
        layout, ConsoleAppender::getSystemErr());
  } else {
    appender = std::make_shared<FileAppender>(layout, settings.file);
  }
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(kLoggerName);
  logger->removeAllAppenders();
  // Not passed on to the root logger, whose appenders a file in the working
  // directory could set.
  logger->setAdditivity(false);
  logger->addAppender(appender);
  logger->setLevel(ToLog4cxx(settings.least));
  return {logger, settings.program};
}

// Empty until the log is opened: by OpenLog, or else by the first event.
std::optional<open_log>& TheLog() {
  static std::optional<open_log> log;
  return log;
}

}  // namespace

void OpenLog(const log_options& settings) { TheLog() = MakeLog(settings); }

void FlushLog() { StandardOutput().Flush(kFlushTimeout); }

uint64_t LostLogLines() { return StandardOutput().lost_lines(); }

std::string FormatEvent(const event_definition& event, std::string_view program,
                        std::span<const log_field> fields) {
  nlohmann::ordered_json line;
  line["event"] = static_cast<int>(event.id);
  line["name"] = event.name;
  line["level"] = ToString(event.level);
  if (!program.empty()) {
    line["program"] = program;
  }
  for (const log_field& field : fields) {
    std::visit(
        [&](const auto& value) { line[std::string{field.name}] = value; },
        field.value);
  }
  // Bytes that are not UTF-8 are replaced; they would otherwise throw.
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

namespace {

/// Lines of one event that are written in one second. Under a storm of
/// refusals the log would otherwise take more processor time than the
/// requests; what is left out is counted and said.
constexpr uint32_t kLinesPerSecond = 40;

/// What one event wrote within the present second.
struct event_budget {
  int64_t second = 0;
  uint32_t written = 0;
  uint32_t left_out = 0;
};

/// Notes one line of `id`. Returns how many were left out in the second before
/// if a new one begins, and whether this one may be written.
std::pair<uint32_t, bool> TakeLine(event_id id) {
  static std::map<event_id, event_budget> budgets;
  event_budget& budget = budgets[id];
  const int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;
  uint32_t left_out = 0;
  if (second != budget.second) {
    left_out = budget.left_out;
    budget = {.second = second};
  }
  if (budget.written < kLinesPerSecond) {
    ++budget.written;
    return {left_out, true};
  }
  ++budget.left_out;
  return {left_out, false};
}

void WriteLine(const open_log& log, const event_definition& event,
               std::span<const log_field> fields) {
  const std::string line = FormatEvent(event, log.program, fields);
  log.logger->forcedLog(ToLog4cxx(event.level), line.substr(1));
}

}  // namespace

void LogEvent(event_id id, std::span<const log_field> fields) {
  const event_definition* event = FindEvent(id);
  if (event == nullptr) {
    return;
  }
  if (!TheLog()) {
    OpenLog({});
  }
  const open_log& log = *TheLog();
  if (!log.logger->isEnabledFor(ToLog4cxx(event->level))) {
    return;
  }
  const auto [left_out, may_write] = TakeLine(id);
  if (left_out > 0) {
    const log_field about[] = {{"of_event", static_cast<int64_t>(id)},
                               {"count", int64_t{left_out}}};
    WriteLine(log, *FindEvent(event_id::kLinesLeftOut), about);
  }
  if (may_write) {
    WriteLine(log, *event, fields);
  }
}

}  // namespace foxtailspread
