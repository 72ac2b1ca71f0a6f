#ifndef FOXTAILSPREAD_CTL_MARKED_WRITE_H_
#define FOXTAILSPREAD_CTL_MARKED_WRITE_H_

/// @file
/// Conditional writes that find out what became of them when the answer is
/// lost.

#include "ctl/object_api.h"

namespace foxtailspread {

/// Reads an object, trying again while the platform is unavailable and time is
/// left.
template <object_api Api>
result<object_state> ReadObject(Api& api, std::string_view key) {
  result<object_state> read = api.Get(key);
  while (!read && read.error().code == error_code::kUnavailable && api.Wait()) {
    read = api.Get(key);
  }
  return read;
}

/// Lists objects with the same patience.
template <object_api Api>
result<std::vector<named_object>> ListObjects(Api& api,
                                              std::string_view prefix) {
  result<std::vector<named_object>> listed = api.List(prefix);
  while (!listed && listed.error().code == error_code::kUnavailable &&
         api.Wait()) {
    listed = api.List(prefix);
  }
  return listed;
}

/// Returns the error for a write whose fate could not be learned in time.
inline error UnknownFate(const conditional_write& write, const error& cause) {
  return error{
      error_code::kUnavailable, write.key,
      "it is not known whether the write took effect (" + cause.reason + ")",
      "look at the object once the platform answers, before "
      "repeating the command"};
}

/// Carries out `write` once.
///
/// The platform may lose an answer after the write took effect. Reporting a
/// failure then would be wrong, and writing again under a fresh revision would
/// do the thing twice. So the object is read again: `is_own(object)` tells
/// whether what stands there is this write's doing. Only if the object still
/// has the expected revision is the same write sent again; the condition keeps
/// a delayed first one and the repetition from both taking effect.
template <object_api Api, typename IsOwn>
result<write_answer> WriteOnce(Api& api, const conditional_write& write,
                               const IsOwn& is_own) {
  for (;;) {
    result<write_answer> answer = api.Write(write);
    if (answer) {
      const bool own = answer.value().outcome == write_decision::kLostRace &&
                       is_own(answer.value().object);
      if (own) {
        answer.value().outcome = write_decision::kAccepted;
      }
      return answer;
    }
    if (answer.error().code != error_code::kUnavailable) {
      return answer;
    }
    if (!api.Wait()) {
      return UnknownFate(write, answer.error());
    }
    const result<object_state> read = ReadObject(api, write.key);
    if (!read) {
      return UnknownFate(write, read.error());
    }
    if (is_own(read.value())) {
      return write_answer{write_decision::kAccepted, read.value()};
    }
    if (read.value().revision != write.expected_revision) {
      return write_answer{write_decision::kLostRace, read.value()};
    }
  }
}

/// Returns a test for the writer's mark in an object.
inline auto HasMark(std::string mark) {
  return [mark = std::move(mark)](const object_state& object) {
    return object.value.is_object() &&
           object.value.value("mark", nlohmann::json()) == mark;
  };
}

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_MARKED_WRITE_H_
