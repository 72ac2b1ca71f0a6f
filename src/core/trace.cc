#include "foxtailspread/trace.h"

#include <array>
#include <utility>

#include "trace_json.h"

namespace foxtailspread {
namespace {

using json = nlohmann::json;

constexpr size_t kMaxDifferences = 10;

/// The names of the alternatives of host_event, in its order.
constexpr std::array<std::string_view, std::variant_size_v<host_event>>
    kEventNames = {"tick",           "caller-request", "forwarded-request",
                   "caller-gone",    "mint-request",   "attempt-ended",
                   "forward-ended",  "grant-ended",    "peer-received",
                   "platform-ended", "leave-requested"};

/// The names of the alternatives of host_action, in its order.
constexpr std::array<std::string_view, std::variant_size_v<host_action>>
    kActionNames = {
        "answer", "attempt", "cancel-attempt", "forward", "cancel-forward",
        "grant",  "peer",    "platform",       "log",     "stop"};

template <typename Variant>
json ToJson(const Variant& value, std::span<const std::string_view> names) {
  return std::visit(
      [&](const auto& alternative) {
        return json{{"kind", names[value.index()]}, {"value", alternative}};
      },
      value);
}

template <typename Variant, size_t... I>
Variant FromJson(const json& value, std::span<const std::string_view> names,
                 std::index_sequence<I...>) {
  Variant result;
  const std::string kind = value.at("kind").get<std::string>();
  const json& content = value.at("value");
  bool found = false;
  ((kind == names[I] &&
    (result = content.get<std::variant_alternative_t<I, Variant>>(),
     found = true)),
   ...);
  if (!found) {
    throw json::other_error::create(0, "unknown kind " + kind, &content);
  }
  return result;
}

host_event EventFrom(const json& value) {
  return FromJson<host_event>(
      value, kEventNames,
      std::make_index_sequence<std::variant_size_v<host_event>>{});
}

host_action ActionFrom(const json& value) {
  return FromJson<host_action>(
      value, kActionNames,
      std::make_index_sequence<std::variant_size_v<host_action>>{});
}

error BadLine(const std::string& reason) {
  return error{error_code::kMalformed, "trace", reason,
               "record the trace anew with this release"};
}

}  // namespace

std::string FormatTraceStart(const host_identity& identity,
                             const decision_timing& timing) {
  return json{{"format", kTraceFormat},
              {"self", identity.self},
              {"deployment", identity.deployment},
              {"seeds", identity.seeds},
              {"timing", timing}}
      .dump();
}

result<trace_start> ParseTraceStart(std::string_view line) {
  const json value = json::parse(line, nullptr, /*allow_exceptions=*/false);
  try {
    if (value.at("format").get<int>() != kTraceFormat) {
      return BadLine("the trace is of another format");
    }
    trace_start start;
    start.identity.self = value.at("self").get<host_entry>();
    start.identity.deployment = value.at("deployment").get<std::string>();
    start.identity.seeds = value.at("seeds").get<std::vector<host_entry>>();
    start.timing = value.at("timing").get<decision_timing>();
    return start;
  } catch (const json::exception& e) {
    return BadLine(e.what());
  }
}

std::string FormatTraceStep(const trace_step& step) {
  json actions = json::array();
  for (const host_action& action : step.actions) {
    actions.push_back(ToJson(action, kActionNames));
  }
  return json{{"at", step.at.time_since_epoch()},
              {"event", ToJson(step.event, kEventNames)},
              {"actions", std::move(actions)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<trace_step> ParseTraceStep(std::string_view line) {
  const json value = json::parse(line, nullptr, /*allow_exceptions=*/false);
  try {
    trace_step step;
    step.at = time_point{value.at("at").get<duration>()};
    step.event = EventFrom(value.at("event"));
    for (const json& action : value.at("actions")) {
      step.actions.push_back(ActionFrom(action));
    }
    return step;
  } catch (const json::exception& e) {
    return BadLine(e.what());
  }
}

std::string FormatAction(const host_action& action) {
  return ToJson(action, kActionNames)
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<replay_report> ReplayTrace(std::string_view text,
                                  const action_secret& secret) {
  replay_report report;
  std::unique_ptr<entry_host> host;
  size_t line_number = 0;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    ++line_number;
    if (line.empty()) {
      continue;
    }
    if (host == nullptr) {
      result<trace_start> start = ParseTraceStart(line);
      if (!start) {
        return start.error();
      }
      start.value().identity.secret = secret;
      host = std::make_unique<entry_host>(start.value().identity,
                                          start.value().timing);
      continue;
    }
    result<trace_step> step = ParseTraceStep(line);
    if (!step) {
      error e = step.error();
      e.path = "line " + std::to_string(line_number);
      return e;
    }
    trace_step replayed{step.value().at, step.value().event, {}};
    host->Handle(replayed.event, replayed.at, replayed.actions);
    ++report.steps;
    for (const host_action& action : replayed.actions) {
      report.answers += std::holds_alternative<answer_action>(action) ? 1 : 0;
    }
    std::string before = FormatTraceStep(step.value());
    std::string after = FormatTraceStep(replayed);
    if (before != after && report.differences.size() < kMaxDifferences) {
      report.differences.push_back(
          {line_number, std::move(before), std::move(after)});
    }
  }
  if (host == nullptr) {
    return BadLine("the trace is empty");
  }
  return report;
}

}  // namespace foxtailspread
