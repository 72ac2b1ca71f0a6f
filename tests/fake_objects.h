#ifndef FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_
#define FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_

/// @file
/// The platform's objects in memory, with the faults that writers meet.

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "ctl/object_api.h"

namespace foxtailspread {

class fake_objects {
 public:
  result<object_state> Get(std::string_view key) {
    ++reads;
    if (Refuses()) {
      return Down();
    }
    return At(std::string(key));
  }

  result<write_answer> Write(const conditional_write& write) {
    if (before_write) {
      std::exchange(before_write, nullptr)();
    }
    if (Refuses()) {
      return Down();
    }
    const object_state current = At(write.key);
    if (current.revision != write.expected_revision) {
      return write_answer{write_decision::kLostRace, current};
    }
    ++writes;
    ++revision;
    objects.erase(write.key);
    if (write.value) {
      objects[write.key] = {revision, *write.value};
    }
    if (lose_answers > 0) {
      --lose_answers;
      return Down();
    }
    return write_answer{write_decision::kAccepted, {revision, {}}};
  }

  result<std::vector<named_object>> List(std::string_view prefix) {
    if (Refuses()) {
      return Down();
    }
    std::vector<named_object> listed;
    for (const auto& [key, object] : objects) {
      if (key.starts_with(prefix)) {
        listed.push_back({key, object});
      }
    }
    return listed;
  }

  bool Wait() {
    if (on_wait) {
      on_wait();
    }
    return waits_left-- > 0;
  }

  /// Puts a value without any condition, as another writer would.
  void Put(const std::string& key, nlohmann::json value) {
    objects[key] = {++revision, std::move(value)};
  }

  object_state At(const std::string& key) const {
    const auto found = objects.find(key);
    return found == objects.end() ? object_state{} : found->second;
  }

  std::map<std::string, object_state> objects;
  uint64_t revision = 0;
  int refuse_calls = 0;  ///< So many calls find the platform down.
  int lose_answers = 0;  ///< So many writes take effect unheard.
  int waits_left = 10;
  int reads = 0;
  int writes = 0;
  std::function<void()> before_write;  ///< Runs once.
  std::function<void()> on_wait;

 private:
  bool Refuses() { return refuse_calls > 0 && refuse_calls-- > 0; }

  static error Down() {
    return error{error_code::kUnavailable, "", "the connection was closed",
                 "try again"};
  }
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_
