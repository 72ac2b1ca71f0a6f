#include "foxtailspread/events.h"

namespace foxtailspread {

std::string_view ToString(event_level level) {
  switch (level) {
    case event_level::kDebug:
      return "debug";
    case event_level::kInfo:
      return "info";
    case event_level::kWarning:
      return "warning";
    case event_level::kError:
      return "error";
  }
  return "unknown";
}

}  // namespace foxtailspread
