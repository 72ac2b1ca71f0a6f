#include "foxtailspread/object_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ObjectStoreTest : public testing::Test {
 protected:
  uint64_t Write(std::string_view key, std::string_view value,
                 uint64_t expected) {
    const result<write_outcome> outcome = store_.Put(key, value, expected);
    EXPECT_TRUE(outcome);
    EXPECT_EQ(outcome.value().verdict, write_verdict::kWritten);
    return outcome.value().revision;
  }

  object_store store_;
};

// Two operators read the same revision and both write. Without the condition,
// the second write would silently overwrite the first.
TEST_F(ObjectStoreTest,
       WriteWithStaleRevisionConflictsAndReturnsCurrentRevision) {
  const uint64_t first = Write("config/main", "1", kNoRevision);
  const uint64_t second = Write("config/main", "2", first);
  const write_outcome conflict = store_.Put("config/main", "3", first).value();
  EXPECT_EQ(conflict.verdict, write_verdict::kConflict);
  EXPECT_EQ(conflict.revision, second);
  EXPECT_EQ(store_.Get("config/main")->value, "2");
  EXPECT_EQ(store_.Revision(), second);
}

TEST_F(ObjectStoreTest, CreatingAnExistingObjectConflicts) {
  Write("a", "1", kNoRevision);
  EXPECT_EQ(store_.Put("a", "2", kNoRevision).value().verdict,
            write_verdict::kConflict);
}

// A host has cached the revision of an object that was then removed and created
// again. Its write with that revision must not change the new object.
TEST_F(ObjectStoreTest, RevisionFromBeforeARemovalConflictsAfterwards) {
  const uint64_t old_revision = Write("a", "1", kNoRevision);
  EXPECT_EQ(store_.Remove("a", old_revision).verdict, write_verdict::kWritten);
  EXPECT_EQ(store_.Get("a"), nullptr);
  EXPECT_EQ(store_.Put("a", "2", old_revision).value().verdict,
            write_verdict::kConflict);
  EXPECT_GT(Write("a", "3", kNoRevision), old_revision);
  EXPECT_EQ(store_.Remove("a", old_revision).verdict, write_verdict::kConflict);
  EXPECT_EQ(store_.Remove("b", old_revision).verdict, write_verdict::kNotFound);
}

TEST_F(ObjectStoreTest,
       ChangesReturnTheLatestStateOfEachObjectInRevisionOrder) {
  const uint64_t a = Write("a", "1", kNoRevision);
  const uint64_t b = Write("b", "1", kNoRevision);
  Write("a", "2", a);
  store_.Remove("b", b);
  const std::vector<stored_object> changes = store_.Changes(b);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].key, "a");
  EXPECT_EQ(changes[0].value, "2");
  EXPECT_EQ(changes[1].key, "b");
  EXPECT_TRUE(changes[1].deleted);
  EXPECT_TRUE(store_.Changes(store_.Revision()).empty());
}

TEST_F(ObjectStoreTest, InvalidKeysAndValuesAreRefused) {
  for (const char* key : {"", "/a", "a/", "a//b", "A", "a b", "a/../%"}) {
    EXPECT_FALSE(store_.Put(key, "1", kNoRevision)) << key;
  }
  EXPECT_FALSE(store_.Put(std::string(kMaxObjectKeyBytes + 1, 'a'), "1", 0));
  EXPECT_FALSE(store_.Put("a", "{\"a\":1", kNoRevision));
  const std::string large = '"' + std::string(kMaxObjectValueBytes, 'x') + '"';
  EXPECT_EQ(store_.Put("a", large, kNoRevision).error().code,
            error_code::kTooLarge);
  EXPECT_EQ(store_.Revision(), kNoRevision);
}

// Compares a random sequence of writes, conflicting writes and removals with a
// model that holds the last written revision of each object.
RC_GTEST_PROP(ObjectStorePropertyTest, RevisionsGrowAndNothingIsMissed, ()) {
  object_store store;
  std::map<std::string, uint64_t> model;  // Live objects and their revisions.
  std::map<std::string, uint64_t> followed;  // The same, from Changes.
  uint64_t seen_revision = kNoRevision;
  const int steps = *rc::gen::inRange(0, 60);
  for (int i = 0; i < steps; ++i) {
    const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 4));
    const uint64_t previous_revision = store.Revision();
    const uint64_t current = model.contains(key) ? model[key] : kNoRevision;
    const uint64_t expected =
        *rc::gen::element(current, current, *rc::gen::inRange<uint64_t>(0, 30));
    const bool remove = *rc::gen::inRange(0, 3) == 0;
    const write_outcome outcome =
        remove ? store.Remove(key, expected)
               : store.Put(key, std::to_string(i), expected).value();
    const bool succeeds =
        expected == current && !(remove && current == kNoRevision);
    RC_ASSERT((outcome.verdict == write_verdict::kWritten) == succeeds);
    RC_ASSERT(store.Revision() == previous_revision + (succeeds ? 1 : 0));
    if (succeeds && remove) {
      model.erase(key);
    } else if (succeeds) {
      model[key] = outcome.revision;
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      for (const stored_object& change : store.Changes(seen_revision)) {
        RC_ASSERT(change.revision > seen_revision);
        seen_revision = change.revision;
        followed[change.key] = change.revision;
        if (change.deleted) {
          followed.erase(change.key);
        }
      }
      RC_ASSERT(followed == model);
    }
  }
}

TEST(WatchListTest, WatchEndsAtTheNextWriteOrItsTimeout) {
  const time_point start{seconds{1}};
  watch_list watches;
  const watch_ticket early = watches.Add(5, milliseconds{100}, start);
  const watch_ticket late = watches.Add(6, seconds{99}, start);
  const watch_ticket disconnected = watches.Add(5, milliseconds{1}, start);
  watches.Remove(disconnected);
  EXPECT_EQ(watches.NextTimeout(), start + milliseconds{100});
  EXPECT_TRUE(watches.TakeDue(5, start + milliseconds{99}).empty());
  EXPECT_EQ(watches.TakeDue(5, start + milliseconds{100}),
            std::vector<watch_ticket>{early});
  EXPECT_EQ(watches.NextTimeout(), start + kMaxWatchWait);
  EXPECT_EQ(watches.TakeDue(7, start + milliseconds{200}),
            std::vector<watch_ticket>{late});
  EXPECT_EQ(watches.NextTimeout(), time_point::max());
}

// After an outage, all hosts call the platform at the same time. It refuses the
// calls over its rate limit; a caller that retries later must be admitted.
TEST(CallMeterTest, CallsOverTheRateAreRefusedUntilTokensRefill) {
  const time_point start{seconds{1}};
  call_meter meter{2000, 3, start};
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(meter.Admit(call_kind::kWrite, start));
  }
  EXPECT_FALSE(meter.Admit(call_kind::kWrite, start));
  EXPECT_TRUE(meter.Admit(call_kind::kRead, start));
  EXPECT_FALSE(meter.Admit(call_kind::kWrite, start + milliseconds{300}));
  EXPECT_TRUE(meter.Admit(call_kind::kWrite, start + milliseconds{400}));
  meter.RecountReadAsWatch();
  EXPECT_EQ(meter.Counts().writes, 4U);
  EXPECT_EQ(meter.Counts().reads, 0U);
  EXPECT_EQ(meter.Counts().watches, 1U);
  EXPECT_EQ(meter.Counts().refused, 2U);
}

// A host reports that it is leaving. Readers of the list still see it as live
// until the lag has passed.
TEST(HostListTest, ChangeIsVisibleOnlyAfterTheLag) {
  const time_point start{seconds{1}};
  host_list hosts{seconds{5}};
  hosts.Put({"h1", "entry", "trnje"}, start);
  hosts.Put({"h1", "entry", "trnje", "leaving"}, start + seconds{10});
  EXPECT_TRUE(hosts.Visible(start + seconds{4}).empty());
  EXPECT_EQ(hosts.Visible(start + seconds{14}).at(0).state, "live");
  EXPECT_EQ(hosts.Visible(start + seconds{15}).at(0).state, "leaving");
}

TEST(PlatformFaultsTest, AbsentFieldsKeepTheirValues) {
  const platform_faults down =
      ParsePlatformFaults(R"({"down":true,"lose_write_answers":1})", {})
          .value();
  platform_faults both =
      ParsePlatformFaults(R"({"drop_clients":["trnje"]})", down).value();
  EXPECT_TRUE(both.DropsCallsFrom("dubrava"));
  both.down = false;
  EXPECT_TRUE(both.DropsCallsFrom("trnje"));
  EXPECT_FALSE(both.DropsCallsFrom("dubrava"));
  EXPECT_TRUE(both.ConsumeLostWriteAnswer());
  EXPECT_FALSE(both.ConsumeLostWriteAnswer());
  EXPECT_FALSE(ParsePlatformFaults(R"({"slow_ms":1e99})", {}));
  EXPECT_FALSE(ParsePlatformFaults(R"({"slow_ms":-1})", {}));
  EXPECT_FALSE(ParseListedHost("h", R"({"kind":"a","zone":"b","state":"x"})"));
}

}  // namespace
}  // namespace foxtailspread
