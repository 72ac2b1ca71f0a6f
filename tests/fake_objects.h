#ifndef FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_
#define FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_

/// @file
/// A fake of the platform's object API for tests of foxtailctl's commands: the
/// in-memory object store with injected faults.

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "ctl/object_api.h"
#include "foxtailspread/object_store.h"

namespace foxtailspread {

/// Satisfies the concept object_api.
class fake_objects {
 public:
  result<object_state> Get(std::string_view key) {
    if (ConsumeRefusal()) {
      return UnavailableError();
    }
    return StateOf(key);
  }

  result<write_answer> Write(const conditional_write& write) {
    if (before_write) {
      std::exchange(before_write, nullptr)();
    }
    if (ConsumeRefusal()) {
      return UnavailableError();
    }
    const write_outcome outcome =
        write.value
            ? store_
                  .Put(write.key, write.value->dump(), write.expected_revision)
                  .value()
            : store_.Remove(write.key, write.expected_revision);
    if (outcome.verdict != write_verdict::kWritten) {
      return write_answer{write_decision::kLostRace, StateOf(write.key)};
    }
    ++writes;
    if (answers_to_lose > 0) {
      --answers_to_lose;
      return UnavailableError();
    }
    return write_answer{write_decision::kAccepted, {outcome.revision, {}}};
  }

  result<std::vector<named_object>> List(std::string_view prefix) {
    if (ConsumeRefusal()) {
      return UnavailableError();
    }
    std::vector<named_object> objects;
    for (const stored_object& object : store_.Changes(kNoRevision)) {
      if (!object.deleted && object.key.starts_with(prefix)) {
        objects.push_back({object.key, StateOf(object.key)});
      }
    }
    return objects;
  }

  bool Wait() {
    if (on_wait) {
      on_wait();
    }
    return waits_left-- > 0;
  }

  /// Overwrites the object unconditionally, as a concurrent writer would.
  void Put(const std::string& key, const nlohmann::json& value) {
    const result<write_outcome> outcome =
        store_.Put(key, value.dump(), StateOf(key).revision);
    if (!outcome) {
      throw std::invalid_argument(outcome.error().Message());
    }
  }

  object_state StateOf(std::string_view key) const {
    const stored_object* found = store_.Get(key);
    if (found == nullptr) {
      return {};
    }
    return {found->revision, nlohmann::json::parse(found->value)};
  }

  uint64_t Revision() const { return store_.Revision(); }

  int calls_to_refuse =
      0;  ///< Next calls that fail as if the platform were down.
  int answers_to_lose = 0;  ///< Next writes that take effect without an answer.
  int waits_left = 10;      ///< Calls of Wait that return true.
  int writes = 0;           ///< Accepted calls of Write.
  std::function<void()> before_write;  ///< Runs once, in the next Write.
  std::function<void()> on_wait;       ///< Runs in each Wait.

 private:
  bool ConsumeRefusal() { return calls_to_refuse > 0 && calls_to_refuse-- > 0; }

  static error UnavailableError() {
    return error{error_code::kUnavailable, "", "the connection was closed",
                 "try again"};
  }

  object_store store_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_
