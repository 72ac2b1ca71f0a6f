#include "net/log.h"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace foxtailspread {
namespace {

constexpr char kLoggerName[] = "foxtailspread";
// The message is one JSON object; the layout puts the time in front as its
// first field.
constexpr char kPattern[] =
    "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT}\",%m%n";

/// Writes lines to standard output without waiting. A reader that stands still
/// must not hold up requests: log4cxx's own console appender waits for it.
class output_appender : public log4cxx::AppenderSkeleton {
 public:
  explicit output_appender(log4cxx::LayoutPtr layout)
      : layout_(std::move(layout)) {
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  }

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString text;
    layout_->format(text, event, pool);
    if (rest_.size() > kMaxUnwritten) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      rest_ +=
          "{\"name\":\"lines-dropped\",\"count\":" + std::to_string(dropped_) +
          "}\n";
      dropped_ = 0;
    }
    rest_ += text;
    const ssize_t written = write(STDOUT_FILENO, rest_.data(), rest_.size());
    if (written > 0) {
      rest_.erase(0, static_cast<size_t>(written));
    }
  }

  const log4cxx::helpers::Class& getClass() const override {
    return AppenderSkeleton::getStaticClass();
  }
  void close() override {}
  bool requiresLayout() const override { return false; }

 private:
  /// Bytes kept for a reader that is behind.
  static constexpr size_t kMaxUnwritten = 65536;

  log4cxx::LayoutPtr layout_;
  std::string rest_;
  uint64_t dropped_ = 0;
};

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
    appender = std::make_shared<output_appender>(layout);
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

void LogEvent(event_id id, std::span<const log_field> fields) {
  const event_definition* event = FindEvent(id);
  if (event == nullptr) {
    return;
  }
  if (!TheLog()) {
    OpenLog({});
  }
  const open_log& log = *TheLog();
  const log4cxx::LevelPtr level = ToLog4cxx(event->level);
  if (!log.logger->isEnabledFor(level)) {
    return;
  }
  const std::string line = FormatEvent(*event, log.program, fields);
  log.logger->forcedLog(level, line.substr(1));
}

}  // namespace foxtailspread
