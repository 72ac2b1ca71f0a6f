#include "net/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

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

open_log MakeLog(const log_settings& settings) {
  using log4cxx::ConsoleAppender;
  using log4cxx::FileAppender;
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  log4cxx::AppenderPtr appender;
  if (settings.file.empty()) {
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

void OpenLog(const log_settings& settings) { TheLog() = MakeLog(settings); }

std::string FormatEvent(const event_definition& event, std::string_view program,
                        std::initializer_list<log_field> fields) {
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

void LogEvent(event_id id, std::initializer_list<log_field> fields) {
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
