#ifndef FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_
#define FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_

/// @file
/// The platform's objects for tests of writers: the object store in memory,
/// with the faults that writers meet.

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "ctl/object_api.h"
#include "foxtailspread/object_store.h"

namespace foxtailspread {

/// Satisfies object_api.
class fake_objects {
 public:
  result<object_state> Get(std::string_view key) {
    if (Refuses()) {
      return Down();
    }
    return At(key);
  }

  result<write_answer> Write(const conditional_write& write) {
    if (before_write) {
      std::exchange(before_write, nullptr)();
    }
    if (Refuses()) {
      return Down();
    }
    const write_outcome done =
        write.value
            ? store_
                  .Put(write.key, write.value->dump(), write.expected_revision)
                  .value()
            : store_.Remove(write.key, write.expected_revision);
    if (done.verdict != write_verdict::kWritten) {
      return write_answer{write_decision::kLostRace, At(write.key)};
    }
    ++writes;
    if (lose_answers > 0) {
      --lose_answers;
      return Down();
    }
    return write_answer{write_decision::kAccepted, {done.revision, {}}};
  }

  result<std::vector<named_object>> List(std::string_view prefix) {
    if (Refuses()) {
      return Down();
    }
    std::vector<named_object> listed;
    for (const stored_object& object : store_.Changes(kNoRevision)) {
      if (!object.deleted && object.key.starts_with(prefix)) {
        listed.push_back({object.key, At(object.key)});
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

  /// Puts a value over whatever stands there, as another writer would.
  void Put(const std::string& key, const nlohmann::json& value) {
    const result<write_outcome> done =
        store_.Put(key, value.dump(), At(key).revision);
    if (!done) {
      throw std::invalid_argument(done.error().Message());
    }
  }

  object_state At(std::string_view key) const {
    const stored_object* found = store_.Get(key);
    if (found == nullptr) {
      return {};
    }
    return {found->revision, nlohmann::json::parse(found->value)};
  }

  uint64_t Revision() const { return store_.Revision(); }

  int refuse_calls = 0;  ///< So many calls find the platform down.
  int lose_answers = 0;  ///< So many writes take effect unheard.
  int waits_left = 10;
  int writes = 0;                      ///< Accepted through Write.
  std::function<void()> before_write;  ///< Runs once.
  std::function<void()> on_wait;

 private:
  bool Refuses() { return refuse_calls > 0 && refuse_calls-- > 0; }

  static error Down() {
    return error{error_code::kUnavailable, "", "the connection was closed",
                 "try again"};
  }

  object_store store_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_FAKE_OBJECTS_H_
