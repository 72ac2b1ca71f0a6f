#include "foxtailspread/load/key_throttle.h"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

#include "foxtailspread/host_messages.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const target_life first_owner{.id = "a", .started = 1};
const target_life second_owner{.id = "b", .started = 1};
constexpr key_point kLastOwnKey = 655;
constexpr key_point kHotKey = 100;

key_map TwoOwners() {
  key_map map;
  map.last_fence = 1;
  map.ranges = {{.first = 0,
                 .last = kLastOwnKey,
                 .owner = first_owner,
                 .fence = 1,
                 .granted = true},
                {.first = kLastOwnKey + 1,
                 .owner = second_owner,
                 .fence = 1,
                 .granted = true}};
  return map;
}

/// An owner of 656 keys that serves 30 requests per second, of which its
/// ordinary keys ask for 8.
class KeyThrottleTest : public ::testing::Test {
 protected:
  KeyThrottleTest() {
    for (key_point key = 0; key <= kLastOwnKey; ++key) {
      rates_[key] = 8.0 / (kLastOwnKey + 1);
    }
  }

  std::vector<throttled_keys> Plan(double served = 30.0) {
    const owner_capacity capacity{
        .owner = first_owner, .per_second = served, .has_queue = has_queue_};
    return planner_.Plan(map_, rates_, {&capacity, 1});
  }

  bool has_queue_ = true;
  key_map map_ = TwoOwners();
  std::vector<double> rates_ = std::vector<double>(kKeyCount, 0.0);
  key_throttle planner_;
};

// Calm. Guards against throttling of keys that their owner can serve.
TEST_F(KeyThrottleTest, DemandThatIsServedIsNotThrottled) {
  EXPECT_TRUE(Plan().empty());
  rates_[kHotKey] = 15.0;
  EXPECT_TRUE(Plan().empty());
  EXPECT_TRUE(planner_.TakeNotes().empty());
}

// One key gets eight times what its owner serves. Guards against fair shares by
// request, by which the owner's other keys would be refused as often.
TEST_F(KeyThrottleTest, OnlyTheHotKeyIsCut) {
  rates_[kHotKey] = 250.0;
  const auto entries = Plan();
  ASSERT_EQ(entries.size(), 1U);
  EXPECT_EQ(entries[0].first, kHotKey);
  EXPECT_EQ(entries[0].last, kHotKey);
  EXPECT_EQ(entries[0].owner, ThrottleOwnerId(first_owner));
  const double admitted = 250.0 * entries[0].admitted_permille / 1000.0;
  EXPECT_GT(admitted, 12.0);
  EXPECT_LT(admitted, 30.0 - 8.0);
  const auto notes = planner_.TakeNotes();
  ASSERT_EQ(notes.size(), 1U);
  EXPECT_TRUE(notes[0].is_throttled);
  EXPECT_NEAR(notes[0].demand_per_second, 258.0, 0.1);
}

// Sixty neighbouring keys get five times what their owner serves, none of them
// much alone. Guards against a share by single keys, whose rates are not known
// within a second.
TEST_F(KeyThrottleTest, NeighbouringHotKeysAreCutTogether) {
  for (key_point key = kHotKey; key < kHotKey + 60; ++key) {
    rates_[key] = 2.5;
  }
  const auto entries = Plan();
  ASSERT_FALSE(entries.empty());
  EXPECT_LE(entries.size(), 3U);
  double admitted = std::accumulate(rates_.begin(), rates_.end(), 0.0);
  for (const throttled_keys& entry : entries) {
    EXPECT_LE(entry.first, kHotKey + 60);
    EXPECT_GE(entry.last, kHotKey);
    const double rate = std::accumulate(rates_.begin() + entry.first,
                                        rates_.begin() + entry.last + 1, 0.0);
    admitted -= rate * (1000.0 - entry.admitted_permille) / 1000.0;
  }
  EXPECT_LT(admitted, 30.0);
  EXPECT_GT(admitted, 22.0);
}

// A hot key among neighbours that have too much together. Guards against two
// cuts of the same request.
TEST_F(KeyThrottleTest, NarrowestEntryOfAKeyApplies) {
  for (key_point key = 64; key < 128; ++key) {
    rates_[key] = 1.0;
  }
  rates_[kHotKey] = 100.0;
  const time_point now{seconds{100}};
  throttle_gate gate;
  ASSERT_TRUE(
      gate.Update({.service = "board", .sequence = 1, .entries = Plan()}, now));
  EXPECT_LT(gate.AdmittedFraction(kHotKey, first_owner, now),
            gate.AdmittedFraction(kHotKey + 1, first_owner, now));
}

// The demand wavers around what the owner serves. Guards against keys that are
// throttled and released every quarter of a second.
TEST_F(KeyThrottleTest, EndsOnlyClearlyBelowWhatTheOwnerServes) {
  rates_[kHotKey] = 40.0;
  EXPECT_FALSE(Plan().empty());
  rates_[kHotKey] = 20.0;
  EXPECT_FALSE(Plan().empty());
  rates_[kHotKey] = 10.0;
  EXPECT_TRUE(Plan().empty());
  const auto notes = planner_.TakeNotes();
  ASSERT_EQ(notes.size(), 2U);
  EXPECT_FALSE(notes[1].is_throttled);
}

// A few requests more than usual within a quarter of a second. Guards against
// cuts for random variation, which an owner's queue takes up.
TEST_F(KeyThrottleTest, BeginsOnlyForAnOwnerWithAQueue) {
  rates_[kHotKey] = 250.0;
  has_queue_ = false;
  EXPECT_TRUE(Plan().empty());
  has_queue_ = true;
  EXPECT_FALSE(Plan().empty());
  has_queue_ = false;
  EXPECT_FALSE(Plan().empty()) << "the throttling itself has ended the queue";
}

// Guards against throttling by a guess: an owner whose speed nobody has
// measured, or whose keys move, is not throttled.
TEST_F(KeyThrottleTest, OwnersWithoutAKnownCapacityAreNotThrottled) {
  rates_[kHotKey] = 250.0;
  EXPECT_TRUE(planner_.Plan(map_, rates_, {}).empty());
  map_.ranges[0].granted = false;
  EXPECT_TRUE(Plan().empty());
}

// Hundreds of owners are overloaded. Guards against messages that grow with
// them.
TEST_F(KeyThrottleTest, EntriesAreBounded) {
  for (key_point key = 0; key <= kLastOwnKey; key += 2) {
    rates_[key] = 10.0 + key;
  }
  EXPECT_EQ(Plan().size(), key_throttle::kMaxEntries);
}

class ThrottleGateTest : public ::testing::Test {
 protected:
  static key_throttles Throttles(uint64_t sequence, uint32_t permille) {
    return {.service = "board",
            .lease_revision = 7,
            .sequence = sequence,
            .entries = {{.first = kHotKey,
                         .last = kHotKey,
                         .owner = ThrottleOwnerId(first_owner),
                         .admitted_permille = permille}}};
  }

  time_point now_{seconds{100}};
  throttle_gate gate_{1};
};

// Hosts with a few requests per second each. Guards against rounding by which
// all of them admit none, or all of them one.
TEST_F(ThrottleGateTest, ManyHostsAdmitTheFractionInSum) {
  for (const size_t hosts : {size_t{9}, size_t{85}, size_t{300}}) {
    size_t admitted = 0;
    constexpr size_t kRequests = 6000;
    std::vector<throttle_gate> gates;
    for (size_t host = 0; host < hosts; ++host) {
      gates.emplace_back(host);
    }
    std::minstd_rand random(1);
    for (size_t i = 0; i < kRequests; ++i) {
      if (i % 75 == 0) {
        for (throttle_gate& gate : gates) {
          gate.Update(Throttles(i + 1, 80), now_);
        }
      }
      admitted += gates[random() % hosts].Decide(kHotKey, first_owner, now_) ==
                          throttle_gate::verdict::kAdmitted
                      ? 1
                      : 0;
    }
    EXPECT_NEAR(static_cast<double>(admitted), 0.08 * kRequests,
                0.02 * kRequests)
        << hosts << " hosts";
  }
}

TEST_F(ThrottleGateTest, OtherKeysAreNotThrottled) {
  gate_.Update(Throttles(1, 0), now_);
  EXPECT_EQ(gate_.Decide(kHotKey, first_owner, now_),
            throttle_gate::verdict::kRefused);
  EXPECT_EQ(gate_.Decide(kHotKey + 1, first_owner, now_),
            throttle_gate::verdict::kNotThrottled);
}

// The owner is replaced, by another target or by its own next start. Guards
// against cutting what a new owner could serve.
TEST_F(ThrottleGateTest, EntriesOfAnotherLifeDoNotApply) {
  gate_.Update(Throttles(1, 0), now_);
  const target_life next_life{.id = first_owner.id, .started = 2};
  EXPECT_EQ(gate_.Decide(kHotKey, next_life, now_),
            throttle_gate::verdict::kNotThrottled);
  EXPECT_EQ(gate_.Decide(kHotKey, second_owner, now_),
            throttle_gate::verdict::kNotThrottled);
}

// The lease holder is lost, or this host is cut off from it. Guards against
// keys that stay cut for good.
TEST_F(ThrottleGateTest, EntriesExpireWithoutWordFromTheHolder) {
  gate_.Update(Throttles(1, 0), now_);
  EXPECT_EQ(gate_.size(now_), 1U);
  now_ += throttle_gate::kTtl;
  EXPECT_EQ(gate_.Decide(kHotKey, first_owner, now_),
            throttle_gate::verdict::kNotThrottled);
  EXPECT_EQ(gate_.size(now_), 0U);
}

// Datagrams come twice and out of order. Guards against a state of long ago
// that replaces a newer one.
TEST_F(ThrottleGateTest, DoubledAndOvertakenMessagesChangeNothing) {
  EXPECT_TRUE(gate_.Update(Throttles(2, 500), now_));
  EXPECT_FALSE(gate_.Update(Throttles(2, 500), now_));
  EXPECT_FALSE(gate_.Update(Throttles(1, 0), now_));
  EXPECT_EQ(gate_.AdmittedFraction(kHotKey, first_owner, now_), 0.5);
}

// Guards against a late message being counted as a fresh one.
TEST_F(ThrottleGateTest, LateMessagesLiveForTheRestOfTheirTime) {
  key_throttles late = Throttles(1, 0);
  constexpr milliseconds kLeft{100};
  late.age_ms =
      static_cast<uint32_t>((throttle_gate::kTtl - kLeft) / milliseconds{1});
  EXPECT_TRUE(gate_.Update(late, now_));
  EXPECT_EQ(gate_.size(now_), 1U);
  EXPECT_EQ(gate_.size(now_ + kLeft), 0U);
  late.sequence = 2;
  late.age_ms += 100;
  EXPECT_FALSE(gate_.Update(late, now_));
}

// A new holder counts from the beginning. Guards against a former holder that
// is heard on, and against a new one that isn't.
TEST_F(ThrottleGateTest, NewerLeaseWinsOverTheFormerOne) {
  gate_.Update(Throttles(90, 0), now_);
  key_throttles next = Throttles(1, 500);
  next.lease_revision = 8;
  EXPECT_TRUE(gate_.Update(next, now_));
  EXPECT_FALSE(gate_.Update(Throttles(91, 0), now_));
  EXPECT_EQ(gate_.AdmittedFraction(kHotKey, first_owner, now_), 0.5);
  now_ += throttle_gate::kTtl;
  EXPECT_TRUE(gate_.Update(Throttles(92, 0), now_));
}

// Each update comes after a request or two. Guards against a counter that each
// update sets back, so that a small fraction admits nothing.
TEST_F(ThrottleGateTest, UpdatesKeepTheCounter) {
  size_t admitted = 0;
  for (uint64_t i = 1; i <= 100; ++i) {
    gate_.Update(Throttles(i, 100), now_);
    admitted += gate_.Decide(kHotKey, first_owner, now_) ==
                        throttle_gate::verdict::kAdmitted
                    ? 1
                    : 0;
  }
  EXPECT_NEAR(static_cast<double>(admitted), 10.0, 1.0);
}

// Guards against fields that are lost on the way, and against a malformed
// message that is taken for an empty one, which would end the throttling.
TEST(KeyThrottlesMessageTest, IsReadAsItWasWritten) {
  const key_throttles sent{
      .service = "board",
      .lease_revision = {3, 7},
      .sequence = 12,
      .age_ms = 40,
      .entries = {{.first = 1,
                   .last = 65535,
                   .owner = 4000000000U,
                   .admitted_permille = 80},
                  {.first = 5, .last = 5, .owner = 9, .admitted_permille = 1}}};
  const std::string bytes = FormatHostMessage(sent);
  const auto read = ParseHostMessage(bytes);
  ASSERT_TRUE(read);
  EXPECT_EQ(std::get<key_throttles>(read.value()), sent);
  EXPECT_FALSE(ParseHostMessage(bytes.substr(0, bytes.size() - 4)));
}

}  // namespace
}  // namespace foxtailspread
