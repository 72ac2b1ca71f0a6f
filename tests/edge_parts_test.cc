// Tests of small building blocks of a host: the retry budget, graceful
// shutdown, datagrams between hosts, and copies of the store.

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "foxtailspread/graceful_stop.h"
#include "foxtailspread/host_messages.h"
#include "foxtailspread/json_depth.h"
#include "foxtailspread/kind_follower.h"
#include "foxtailspread/retry_budget.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryBudgetTest : public ::testing::Test {
 protected:
  /// Makes `attempts` attempts to retry and returns how many were allowed.
  int AllowedRetries(int attempts) {
    int allowed = 0;
    for (int i = 0; i < attempts; ++i) {
      allowed += budget_.TryRetry(now_) ? 1 : 0;
    }
    return allowed;
  }

  retry_budget budget_{{.ratio = 0.2, .slack = 50.0, .window = seconds{10}}};
  time_point now_{seconds{100}};
};

TEST_F(RetryBudgetTest, SlackIsDividedAmongHosts) {
  budget_.SetHostCount(10);
  EXPECT_EQ(AllowedRetries(100), 4);
}

TEST_F(RetryBudgetTest, RequestsRaiseTheBudget) {
  budget_.SetHostCount(10);
  for (int i = 0; i < 100; ++i) {
    budget_.OnRequest(now_);
  }
  EXPECT_EQ(AllowedRetries(100), 20);
}

// The limit applies to every window of the configured length. A budget that
// forgot retries too early would allow two bursts within one window.
TEST_F(RetryBudgetTest, RetriesCountForAWholeWindow) {
  EXPECT_EQ(AllowedRetries(100), 40);
  now_ += milliseconds{9900};
  EXPECT_EQ(AllowedRetries(100), 0);
  now_ += milliseconds{1200};
  EXPECT_EQ(AllowedRetries(100), 40);
}

class GracefulStopTest : public ::testing::Test {
 protected:
  stop_phase PhaseAfter(duration elapsed, bool has_pending_work) {
    return stop_.Phase(started_at_ + elapsed, has_pending_work);
  }

  void SetUp() override { stop_.Begin(started_at_); }

  time_point started_at_{seconds{100}};
  graceful_stop stop_{seconds{6}};
};

TEST_F(GracefulStopTest, HostServesUntilTheLoadBalancerHasNoticed) {
  EXPECT_EQ(PhaseAfter(milliseconds{100}, false), stop_phase::kUnready);
  EXPECT_EQ(PhaseAfter(milliseconds{2000}, false), stop_phase::kUnready);
  EXPECT_EQ(PhaseAfter(milliseconds{2500}, true), stop_phase::kClosing);
}

// If most hosts of a zone stop at once, the load balancer keeps sending
// connections to all of them. A request accepted late would be cut off at the
// exit, and its caller could not tell whether it had been executed.
TEST_F(GracefulStopTest, LateRequestsAreRefused) {
  EXPECT_EQ(PhaseAfter(milliseconds{3000}, true), stop_phase::kRefusing);
  EXPECT_EQ(PhaseAfter(milliseconds{5000}, true), stop_phase::kRefusing);
}

TEST_F(GracefulStopTest, HostExitsBeforeItIsKilled) {
  EXPECT_EQ(PhaseAfter(milliseconds{3300}, false), stop_phase::kDone);
  EXPECT_EQ(PhaseAfter(milliseconds{5650}, true), stop_phase::kDone);
}

TEST_F(GracefulStopTest, ShortGracePeriodRefusesBeforeTheExit) {
  graceful_stop stop(seconds{2});
  stop.Begin(started_at_);
  EXPECT_EQ(stop.Phase(started_at_ + milliseconds{1200}, true),
            stop_phase::kRefusing);
  EXPECT_EQ(stop.Phase(started_at_ + milliseconds{1700}, true),
            stop_phase::kDone);
}

// Guards against an exit while answers are on their way and there is time.
TEST_F(GracefulStopTest, ExitWaitsForAnswersOnTheirWay) {
  const time_point at = started_at_ + milliseconds{5650};
  EXPECT_EQ(stop_.Phase(at, true, true), stop_phase::kRefusing);
  EXPECT_EQ(stop_.Phase(started_at_ + milliseconds{5800}, true, true),
            stop_phase::kDone);
}

// A target's work may be ended in the last sixth of the grace period only.
TEST_F(GracefulStopTest, AnswersAreDueInTheLastSixthBeforeTheExit) {
  const time_point due = *stop_.AnswerBy();
  EXPECT_GE(due, started_at_ + seconds{6} * 5 / 6);
  EXPECT_EQ(stop_.Phase(due + milliseconds{300}, true), stop_phase::kRefusing);
}

TEST_F(GracefulStopTest, NoAnswerIsDueWithoutAStop) {
  EXPECT_EQ(graceful_stop{seconds{6}}.AnswerBy(), std::nullopt);
}

class HostMessagesTest : public ::testing::Test {};

TEST_F(HostMessagesTest, MessagesRoundTrip) {
  const load_report report{
      .host = "a",
      .zone = "z",
      .address = "10.0.0.1:7000",
      .link_mbps = 12.5,
      .lease_revision = 77,
      .services = {{"keyed", {{3, 1}, {4095, 200}}}},
      .targets = {{"t", 90000, 12}},
      .crashes = {.marks = {{81, {.id = "t-1", .started = 5}, seconds{3}}}}};
  const assigner_heartbeat heartbeat{
      .host = "a",
      .lease_revision = 78,
      .successors = {"b", "c"},
      .view =
          store_view{
              .config_revision = 5, .targets_digest = 1, .owners_digest = 2},
      .crashes = {.marks = {{81, {.id = "t-1", .started = 5}, seconds{3}}}},
      .host_count = 12,
      .evacuated = evacuation_view{.zones = {"east", "west"}, .age_ms = 40}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(report)).value(),
            host_message{report});
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(heartbeat)).value(),
            host_message{heartbeat});
  const owners_record owners{.service = "keyed",
                             .base_revision = 11,
                             .revision = 12,
                             .content = R"({"last_fence":3})"};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(owners)).value(),
            host_message{owners});
}

TEST_F(HostMessagesTest, CrashesRoundTrip) {
  const target_life target{.id = "t-1", .started = 5};
  const crashes_record record{
      {.marks = {{.content_hash = 81, .target = target, .is_confirmed = true}},
       .survivors = {{.target = target, .age = milliseconds{70}}},
       .served = {{.content_hash = 82, .age = seconds{2}}}}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(record)).value(),
            host_message{record});
}

TEST_F(HostMessagesTest, RelaysRoundTrip) {
  load_report report;
  report.paths = target_paths::kSome;
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(report)).value(),
            host_message{report});
  const relays_record relays{{"10.0.0.1:7", "10.0.0.2:7"}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(relays)).value(),
            host_message{relays});
}

TEST_F(HostMessagesTest, LoadsRoundTrip) {
  const loads_record record{{{.target = 4'000'000'000,
                              .load = {.running = 6, .waiting = 2},
                              .age_ms = 70,
                              .latency_us = 310'000,
                              .served = 4},
                             {.target = 1, .load = {.slowness = 3.0}}}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(record)).value(),
            host_message{record});
}

TEST_F(HostMessagesTest, ActivityAndSumsRoundTrip) {
  const loads_record own{.host = "a",
                         .sequence = 4'000'000'000'000,
                         .activity = {{.target = 4'000'000'000,
                                       .in_flight = 3,
                                       .served = 2,
                                       .rejected = 1,
                                       .latency_us = 160'000,
                                       .unqueued = 2}}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(own)).value(),
            host_message{own});
  const loads_record all{.sums = {{.target = 4'000'000'000,
                                   .occupied = 3,
                                   .served_per_second = 21.5,
                                   .rejected_per_second = 0.5,
                                   .latency_us = 160'000,
                                   .age_ms = 20,
                                   .is_reported = true}}};
  EXPECT_EQ(ParseHostMessage(FormatHostMessage(all)).value(),
            host_message{all});
}

// Guards against hosts of two releases, side by side during an update, that
// refuse each other's loads.
TEST_F(HostMessagesTest, LoadsOfTheEarlierReleaseAreRead) {
  const auto earlier = nlohmann::json::array(
      {"loads", nlohmann::json::array({7, 6, 2, 100, 70, 310'000, 4})});
  const std::vector<uint8_t> packed = nlohmann::json::to_msgpack(earlier);
  const loads_record record{{{.target = 7,
                              .load = {.running = 6, .waiting = 2},
                              .age_ms = 70,
                              .latency_us = 310'000,
                              .served = 4}}};
  EXPECT_EQ(ParseHostMessage(std::string{packed.begin(), packed.end()}).value(),
            host_message{record});
  // The earlier release reads the first two elements and ignores others.
  loads_record now = record;
  now.host = "a";
  now.activity = {{.target = 7, .in_flight = 1}};
  const auto read = nlohmann::json::from_msgpack(FormatHostMessage(now));
  EXPECT_EQ(read.at(0), "loads");
  EXPECT_EQ(read.at(1), earlier.at(1));
}

TEST_F(HostMessagesTest, StatementsAndPermitsRoundTrip) {
  const limit_sample limited{.target = {.id = "t1", .started = 7},
                             .per_second = 2.8,
                             .sent_age_ms = 40,
                             .received_age_ms = 12};
  const limit_sample ended{.target = {.id = "t2"}};
  assigner_heartbeat heartbeat;
  heartbeat.statements = {
      .limits = {limited},
      .leaving = {{.target = {.id = "t3", .started = 8}, .age_ms = 70}}};
  for (const host_message& message : {
           host_message{statements_record{{.limits = {limited, ended}}}},
           host_message{permit_request{.address = "10.0.0.1:7",
           .sequence = 9,
           .limit = limited,
           .demand = {.count = 3, .max_delay = milliseconds{250}}}},
           host_message{permit_reply{.sequence = 9,
           .limit = ended,
           .grant = {.delays = {milliseconds{0}, milliseconds{30}},
                    .next_delay = milliseconds{400}}}},
           host_message{heartbeat},
       }) {
    const auto read = ParseHostMessage(FormatHostMessage(message));
    ASSERT_TRUE(read);
    EXPECT_TRUE(read.value() == message);
  }
}

TEST_F(HostMessagesTest, ObjectsAndRelayedMessagesRoundTrip) {
  const shared_object object{.kind = shared_kind::kDeclarations,
                             .name = "main",
                             .revision = 7,
                             .content = R"({"a":[1,2]})"};
  const auto parsed_object = ParseHostMessage(FormatHostMessage(object));
  ASSERT_TRUE(parsed_object);
  EXPECT_EQ(std::get<shared_object>(parsed_object.value()), object);
  const relayed_message relayed{.forward_to = {"1:1", "1:2"},
                                .payload = FormatHostMessage(object)};
  const auto parsed_relayed = ParseHostMessage(FormatHostMessage(relayed));
  ASSERT_TRUE(parsed_relayed);
  EXPECT_EQ(std::get<relayed_message>(parsed_relayed.value()), relayed);
}

// Anybody can send a datagram. Malformed input is rejected as a whole, never
// accepted in part.
TEST_F(HostMessagesTest, MalformedBytesAreRejected) {
  const std::string valid =
      FormatHostMessage(assigner_heartbeat{.host = "a", .successors = {"b"}});
  EXPECT_FALSE(ParseHostMessage(""));
  EXPECT_FALSE(ParseHostMessage("hello"));
  EXPECT_FALSE(ParseHostMessage(valid + "x"));
  for (size_t i = 1; i < valid.size(); ++i) {
    EXPECT_FALSE(ParseHostMessage(valid.substr(0, i))) << i;
  }
}

// Guards against a host that ends by a stack overflow at one datagram: the
// content of an object is written as text.
TEST_F(HostMessagesTest, DeeplyNestedMessageIsRejected) {
  constexpr char kListOfOne = '\x91';
  constexpr char kEmptyList = '\x90';
  constexpr size_t kDepth = 65'000;  // Some bytes less than a datagram has.
  std::string message = FormatHostMessage(
      shared_object{.name = "a", .revision = {1, 2}, .content = "[]"});
  ASSERT_TRUE(ParseHostMessage(message));
  message.insert(message.find(kEmptyList), std::string(kDepth, kListOfOne));
  EXPECT_FALSE(ParseHostMessage(message));
}

// Guards against the content of an object that a host takes from the store and
// refuses from another host, which would ask for it again and again.
TEST_F(HostMessagesTest, ContentOfAnObjectMayBeNestedAsInTheStore) {
  const auto parsed = [](size_t depth) {
    const shared_object object{
        .kind = shared_kind::kSystem,
        .name = "a",
        .revision = {1, 2},
        .content = std::string(depth, '[') + std::string(depth, ']')};
    return ParseHostMessage(FormatHostMessage(object));
  };
  EXPECT_TRUE(parsed(kMaxContentDepth));
  EXPECT_FALSE(parsed(kMaxContentDepth + 1));
}

std::string Packed(const nlohmann::json& value) {
  const std::vector<uint8_t> bytes = nlohmann::json::to_msgpack(value);
  return {bytes.begin(), bytes.end()};
}

// Guards against numbers of a message that are cut to size, or converted though
// no number of that type is near.
TEST_F(HostMessagesTest, NumberOutOfRangeIsRejected) {
  const auto load = [](const nlohmann::json& running,
                       const nlohmann::json& age) {
    return ParseHostMessage(Packed({"loads", {1, running, 0, 100, age, 5, 6}}));
  };
  EXPECT_TRUE(load(1, 5));
  EXPECT_FALSE(load(-1, 5));
  EXPECT_FALSE(load(4294967297, 5));
  EXPECT_FALSE(load(2147483647, 5)) << "with those that wait too many";
  EXPECT_FALSE(load(1, -5));
  EXPECT_FALSE(load(1, 4294967296));
  EXPECT_FALSE(load(1, 1e300));
  const auto host = [](const nlohmann::json& link_mbps) {
    return ParseHostMessage(
        Packed({"hosts", {{"a", "north", "10.0.0.1:1", link_mbps}}}));
  };
  EXPECT_TRUE(host(0.5));
  EXPECT_FALSE(host(std::numeric_limits<double>::quiet_NaN()));
  EXPECT_FALSE(host(std::numeric_limits<double>::infinity()));
  EXPECT_FALSE(host(-1.0));
}

// Guards against hosts that use an entry because another told of it, though
// none of them uses it when it reads it itself.
TEST_F(HostMessagesTest, SharedEntryThatNamesNoTargetIsLeftOut) {
  const auto shared = [](int slots, const char* address) {
    const targets_record record{
        .changes = {{.name = "i-1",
                     .revision = {0, 7},
                     .entry = target_entry{.life = {.id = "i-1", .started = 1},
                                           .service = "s",
                                           .address = address,
                                           .zone = "z",
                                           .slots = slots}}}};
    const auto read = ParseHostMessage(FormatHostMessage(record));
    return read && std::get<targets_record>(read.value()).changes.at(0).entry;
  };
  EXPECT_TRUE(shared(1, "10.0.0.1:80"));
  EXPECT_FALSE(shared(0, "10.0.0.1:80"));
  EXPECT_FALSE(shared(2'000'000'000, "10.0.0.1:80"));
  EXPECT_FALSE(shared(1, "10.0.0.1:70000"));
}

// Guards against a host that ends by an exception when it writes what another
// told it, such as the former holders of a lease, as JSON.
TEST_F(HostMessagesTest, TextThatIsNoUtf8IsRejected) {
  load_report report;
  EXPECT_TRUE(ParseHostMessage(FormatHostMessage(report)));
  report.host = "\xff";
  EXPECT_FALSE(ParseHostMessage(FormatHostMessage(report)));
  const relays_record relays{{"10.0.0.1:1", "\xc3"}};
  EXPECT_FALSE(ParseHostMessage(FormatHostMessage(relays)));
}

class KindFollowerTest : public ::testing::Test {
 protected:
  using page = list_page<int>;
  using changes = change_page<int>;

  /// Lists objects a and b at revision 10.
  void List() {
    ASSERT_TRUE(follower_.NextCall(now_)->is_list);
    follower_.OnListed({.objects = {{"a", 4, 1}, {"b", 5, 2}},
                        .has_more = false,
                        .revision = 10},
                       now_);
  }

  kind_follower<int> follower_{{.watch_timeout = seconds{1}}};
  time_point now_{seconds{100}};
};

TEST_F(KindFollowerTest, WatchStartsAtTheRevisionOfTheList) {
  List();
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_FALSE(call->is_list);
  EXPECT_EQ(call->since_revision, 10U);
  EXPECT_FALSE(follower_.NextCall(now_)) << "one call at a time";
}

TEST_F(KindFollowerTest, PagesAreJoinedAndWatchedFromTheirOldestRevision) {
  follower_.NextCall(now_);
  EXPECT_FALSE(follower_.OnListed(
      {.objects = {{"a", 4, 1}}, .has_more = true, .revision = 10}, now_));
  EXPECT_EQ(follower_.NextCall(now_)->after_name, "a");
  EXPECT_TRUE(follower_.OnListed(
      {.objects = {{"b", 12, 2}}, .has_more = false, .revision = 13}, now_));
  EXPECT_EQ(follower_.objects().size(), 2U);
  EXPECT_EQ(follower_.NextCall(now_)->since_revision, 10U);
}

// Guards against every host calling the store for content that the lease holder
// sends to all hosts.
TEST_F(KindFollowerTest, PushedContentNeedsNoListWhileCallsAreSuppressed) {
  kind_follower<int> pushed{
      {.watch_timeout = seconds{1}, .pushed_by_peer = true}};
  pushed.SuppressCalls(now_ + seconds{2});
  EXPECT_FALSE(pushed.NextCall(now_));
  now_ += seconds{2};
  const auto call = pushed.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_TRUE(call->is_list);
}

class FollowerInANewEraTest : public KindFollowerTest {
 protected:
  /// Lists a and b in the first era, and lets a watch wait.
  void SetUp() override {
    follower_.OnEra(1, now_);
    ASSERT_TRUE(follower_.NextCall(now_)->is_list);
    follower_.OnListed({.objects = {{"a", {1, 4}, 1}, {"b", {1, 50}, 2}},
                        .has_more = false,
                        .revision = {1, 60}},
                       now_);
    ASSERT_FALSE(follower_.NextCall(now_)->is_list);
  }

  void ListInSecondEra() {
    const auto call = follower_.NextCall(now_);
    ASSERT_TRUE(call && call->is_list);
    EXPECT_FALSE(call->allow_stale);
    EXPECT_TRUE(follower_.OnListed(
        {.objects = {{"a", {2, 4}, 1}}, .has_more = false, .revision = {2, 40}},
        now_));
  }
};

// Guards against a copy that stays wrong because the counter has passed its
// revision and the watch is answered out of another history.
TEST_F(FollowerInANewEraTest, AnsweredWatchOfTheFormerEraIsNotUsed) {
  follower_.OnEra(2, now_);
  EXPECT_FALSE(follower_.OnWatched(
      {.changes = {{{"c", {2, 70}, 3}, false}}, .revision = {2, 70}}, now_));
  EXPECT_EQ(follower_.objects().size(), 2U);
  ListInSecondEra();
  EXPECT_EQ(follower_.objects().size(), 1U);
  EXPECT_EQ(follower_.NextCall(now_)->since_revision, (store_revision{2, 40}));
}

// Guards against changes that are left aside because their revisions are lower
// than those of the former era.
TEST_F(FollowerInANewEraTest, LowerRevisionsAreTaken) {
  follower_.OnEra(2, now_);
  follower_.OnCancelled();
  ListInSecondEra();
  follower_.NextCall(now_);
  EXPECT_TRUE(follower_.OnWatched(
      {.changes = {{{"a", {2, 41}, 9}, false}}, .revision = {2, 41}}, now_));
  EXPECT_EQ(follower_.objects().at("a").item, 9);
}

// Guards against a host that another one spares all calls, and that therefore
// never lists the new era.
TEST_F(FollowerInANewEraTest, ConfirmationOfTheFormerEraDelaysNoList) {
  follower_.Confirm(now_, now_ + seconds{5});
  follower_.OnEra(2, now_);
  EXPECT_TRUE(follower_.drops_response());
  follower_.OnCancelled();
  ListInSecondEra();
}

// Guards against changes of another era that another host sends.
TEST_F(FollowerInANewEraTest, ChangesOfAnotherEraAreNotApplied) {
  EXPECT_FALSE(follower_.OnPeerChanges({{{"a", {2, 70}, 7}, false}}, now_));
  follower_.OnEra(2, now_);
  follower_.OnCancelled();
  ListInSecondEra();
  EXPECT_FALSE(follower_.OnPeerChanges({{{"a", {1, 70}, 7}, false}}, now_));
  EXPECT_TRUE(follower_.OnPeerChanges({{{"a", {2, 70}, 7}, false}}, now_));
}

// Guards against half of a list of one era joined with half of another.
TEST_F(FollowerInANewEraTest, PagesOfTwoErasAreNotJoined) {
  follower_.OnHistoryGone(now_);
  follower_.NextCall(now_);
  follower_.OnListed(
      {.objects = {{"a", {1, 4}, 1}}, .has_more = true, .revision = {1, 61}},
      now_);
  ASSERT_EQ(follower_.NextCall(now_)->after_name, "a");
  follower_.OnEra(2, now_);
  EXPECT_FALSE(follower_.OnListed(
      {.objects = {{"b", {2, 5}, 2}}, .has_more = false, .revision = {2, 40}},
      now_));
  EXPECT_EQ(follower_.NextCall(now_)->after_name, "");
}

class StaleListTest : public ::testing::Test {
 protected:
  /// Handles a stale list of a and b as of revision 10.
  void ListStale() {
    const auto call = follower_.NextCall(now_);
    ASSERT_TRUE(call && call->is_list);
    EXPECT_TRUE(call->allow_stale);
    EXPECT_FALSE(follower_.OnListed({.objects = {{"a", 4, 1}, {"b", 5, 2}},
                                     .has_more = false,
                                     .revision = 10},
                                    now_));
  }

  kind_follower<int> follower_{
      {.watch_timeout = seconds{1}, .stale_lists = true}};
  time_point now_{seconds{100}};
};

// A starting host reads a stale list. If it used the list without the later
// changes, it would send requests to a target that has left in the meantime.
TEST_F(StaleListTest, ListIsNotUsedBeforeLaterChangesAreApplied) {
  ListStale();
  EXPECT_FALSE(follower_.complete());
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_FALSE(call->is_list);
  EXPECT_EQ(call->since_revision, 10U);
  EXPECT_EQ(call->watch_timeout, duration{0})
      << "the response is needed immediately";
  EXPECT_TRUE(follower_.OnWatched(
      {.changes = {{{"b", 12, {}}, true}}, .revision = 15}, now_));
  EXPECT_TRUE(follower_.complete());
  EXPECT_FALSE(follower_.objects().contains("b"));
  EXPECT_EQ(follower_.NextCall(now_)->since_revision, 15U);
}

// Pages of a stale list may come from replicas of different ages. Watching from
// the newer revision would miss the changes between the two.
TEST_F(StaleListTest, PagesAreWatchedFromTheirOldestRevision) {
  follower_.NextCall(now_);
  follower_.OnListed(
      {.objects = {{"a", 4, 1}}, .has_more = true, .revision = 10}, now_);
  EXPECT_EQ(follower_.NextCall(now_)->after_name, "a");
  follower_.OnListed(
      {.objects = {{"b", 5, 2}}, .has_more = false, .revision = 8}, now_);
  EXPECT_EQ(follower_.NextCall(now_)->since_revision, 8U);
}

// Guards against a stale list of the former era, whose revision the store may
// have given out again.
TEST_F(StaleListTest, ListsAfterANewEraAreNotStale) {
  ListStale();
  follower_.NextCall(now_);
  follower_.OnWatched({.changes = {}, .revision = 15}, now_);
  ASSERT_TRUE(follower_.complete());
  follower_.OnEra(1, now_);
  follower_.OnCancelled();
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call && call->is_list);
  EXPECT_FALSE(call->allow_stale);
}

// The copy in use is newer than a stale list and must not revert to it.
TEST_F(StaleListTest, CopyInUseIsKeptUntilTheListIsCurrent) {
  ListStale();
  follower_.NextCall(now_);
  follower_.OnWatched({.changes = {{{"b", 12, 3}, false}}, .revision = 15},
                      now_);
  follower_.Refresh(now_, now_);
  ListStale();
  EXPECT_EQ(follower_.objects().at("b").item, 3);
  follower_.NextCall(now_);
  EXPECT_TRUE(follower_.OnWatched(
      {.changes = {{{"b", 12, 3}, false}}, .revision = 16}, now_));
  EXPECT_EQ(follower_.objects().at("b").item, 3);
}

// The store may keep its change history for less time than its stale data lags
// behind. Each further stale list could not be watched either, and the host
// would never become ready.
TEST_F(StaleListTest, ExpiredHistoryLeadsToAConsistentList) {
  ListStale();
  follower_.NextCall(now_);
  follower_.OnHistoryGone(now_);
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call && call->is_list);
  EXPECT_FALSE(call->allow_stale);
  EXPECT_TRUE(follower_.OnListed(
      {.objects = {{"a", 4, 1}}, .has_more = false, .revision = 20}, now_));
  EXPECT_TRUE(follower_.complete());
}

TEST_F(KindFollowerTest, NewerChangesAreAppliedAndOlderOnesAreIgnored) {
  List();
  follower_.NextCall(now_);
  EXPECT_TRUE(follower_.OnWatched(
      {.changes = {{{"a", 11, 7}, false}, {{"b", 12, {}}, true}},
       .revision = 12},
      now_));
  EXPECT_EQ(follower_.objects().at("a").item, 7);
  EXPECT_FALSE(follower_.objects().contains("b"));
  follower_.NextCall(now_);
  EXPECT_FALSE(follower_.OnWatched(
      {.changes = {{{"a", 4, 1}, false}}, .revision = 12}, now_));
  EXPECT_EQ(follower_.objects().at("a").item, 7);
}

// The store no longer has the changes since this host's copy. Only a new list
// shows which objects were deleted in the meantime.
TEST_F(KindFollowerTest, ExpiredHistoryLeadsToANewList) {
  List();
  follower_.NextCall(now_);
  follower_.OnHistoryGone(now_);
  EXPECT_EQ(follower_.objects().size(), 2U)
      << "the copy is used until the list is complete";
  ASSERT_TRUE(follower_.NextCall(now_)->is_list);
  EXPECT_TRUE(follower_.OnListed(
      {.objects = {{"b", 20, 3}}, .has_more = false, .revision = 21}, now_));
  EXPECT_FALSE(follower_.objects().contains("a"));
}

// Another host has confirmed the copy for half a minute. The store no longer
// has the changes since this host's own last call, so a watch would only report
// that.
TEST_F(KindFollowerTest, CopyOlderThanTheHistoryIsListedAgain) {
  List();
  follower_.Confirm(now_ + seconds{30}, now_ + seconds{31});
  const auto call = follower_.NextCall(now_ + seconds{31});
  ASSERT_TRUE(call);
  EXPECT_TRUE(call->is_list);
}

// The store rejects a host for many seconds, and each rejected call is billed.
// Afterwards, a draining target must still be discovered within its drain time.
TEST_F(KindFollowerTest, CallsBackOffWhileTheStoreRejectsAHost) {
  List();
  const time_point until = now_ + seconds{8};
  int calls = 0;
  duration max_pause{0};
  while (now_ < until) {
    if (follower_.NextCall(now_)) {
      ++calls;
      follower_.OnFailed(now_);
    }
    max_pause = std::max(max_pause, follower_.NextCallTime() - now_);
    now_ = follower_.NextCallTime();
  }
  EXPECT_LE(calls, 8) << "one per second";
  EXPECT_LE(max_pause, milliseconds{1600}) << "0.8 of the minimum drain time";
}

// The store answers calls for one kind again. Waiting for the backoff of each
// other kind would leave this host with outdated key owners.
TEST_F(KindFollowerTest, FailedCallIsRetriedWhenAnotherIsAnswered) {
  List();
  for (int i = 0; i < 6; ++i) {
    now_ = follower_.NextCallTime();
    ASSERT_TRUE(follower_.NextCall(now_));
    follower_.OnFailed(now_);
  }
  EXPECT_FALSE(follower_.NextCall(now_));
  follower_.RetryNow(now_);
  EXPECT_TRUE(follower_.NextCall(now_));
}

// Another host reads the store on behalf of this one. While it confirms the
// copy no call is made; when its confirmations stop, calls resume.
TEST_F(KindFollowerTest, ConfirmedCopyMakesNoCalls) {
  List();
  follower_.Confirm(now_, now_ + milliseconds{900});
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{800}));
  EXPECT_TRUE(follower_.NextCall(now_ + milliseconds{900}));
}

// This host begins to read the store on behalf of all others. A watch returns
// only when something changes, or after a second. Until then this host could
// confirm nothing, and all others would make their own calls.
TEST_F(KindFollowerTest, ReadNowRequestsAnImmediateResponse) {
  List();
  follower_.Confirm(now_, now_ + milliseconds{900});
  follower_.ReadNow(now_);
  const auto call = follower_.NextCall(now_);
  ASSERT_TRUE(call);
  EXPECT_FALSE(call->is_list);
  EXPECT_EQ(call->watch_timeout, duration{0});
  follower_.OnWatched({.changes = {}, .revision = 11}, now_);
  now_ = follower_.NextCallTime();
  const auto next_call = follower_.NextCall(now_);
  ASSERT_TRUE(next_call);
  EXPECT_GT(next_call->watch_timeout, duration{0});
}

// A confirmation arrives while a watch is in flight. The end of that watch must
// not start another one.
TEST_F(KindFollowerTest, ConfirmationDuringACallOutlastsTheCall) {
  List();
  ASSERT_TRUE(follower_.NextCall(now_));
  follower_.Confirm(now_, now_ + milliseconds{900});
  follower_.OnWatched({.changes = {}, .revision = 11}, now_);
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{500}));
}

// The host that reads the store on behalf of all is cut off from it, but its
// heartbeats still arrive and confirm an ever older copy. The others must
// discover a target that begins to drain right after that copy was read before
// its drain time, two seconds, is over. Otherwise they would still send
// requests to it.
TEST_F(KindFollowerTest, ConfirmationsByAHostWithoutTheStoreExpire) {
  List();
  const time_point read_at = now_;
  for (auto age = milliseconds{0}; age < seconds{4}; age += milliseconds{50}) {
    const store_view view{.config_revision = 1,
                          .age_ms = static_cast<uint32_t>(age.count())};
    if (const auto until = ViewValidUntil(view, seconds{2}, read_at + age)) {
      follower_.Confirm(read_at, *until);
    }
  }
  EXPECT_LE(follower_.NextCallTime(), read_at + milliseconds{1700});
  EXPECT_GE(follower_.NextCallTime(), read_at + milliseconds{1200})
      << "a single lost heartbeat should cost no call";
}

TEST_F(KindFollowerTest, CopyThatKeepsDifferingIsListedWithAPause) {
  List();
  follower_.Refresh(now_, now_ + milliseconds{900});
  ASSERT_TRUE(follower_.NextCall(now_)->is_list);
  follower_.OnListed({.objects = {}, .has_more = false, .revision = 30}, now_);
  follower_.Refresh(now_ + milliseconds{650}, now_ + milliseconds{1600});
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{650}));
  follower_.Refresh(now_ + milliseconds{950}, now_ + milliseconds{1900});
  EXPECT_TRUE(follower_.NextCall(now_ + milliseconds{950}));
}

TEST_F(KindFollowerTest, CopyThatDiffersIsListedOnce) {
  List();
  follower_.Refresh(now_, now_ + milliseconds{900});
  ASSERT_TRUE(follower_.NextCall(now_)->is_list);
  follower_.OnListed(
      {.objects = {{"a", 30, 1}}, .has_more = false, .revision = 30}, now_);
  EXPECT_FALSE(follower_.NextCall(now_ + milliseconds{500}));
}

TEST_F(KindFollowerTest, FailedCallsAreRetriedWithAPause) {
  follower_.NextCall(now_);
  follower_.OnFailed(now_);
  EXPECT_FALSE(follower_.last_call_succeeded());
  EXPECT_FALSE(follower_.NextCall(now_));
  now_ = follower_.NextCallTime();
  EXPECT_TRUE(follower_.NextCall(now_));
}

TEST_F(KindFollowerTest, UnparsableObjectIsKeptWithoutContent) {
  follower_.NextCall(now_);
  follower_.OnListed(
      {.objects = {{"a", 4, std::nullopt}}, .has_more = false, .revision = 5},
      now_);
  ASSERT_TRUE(follower_.objects().contains("a"));
  EXPECT_FALSE(follower_.objects().at("a").item);
}

// Guards against a copy without the targets behind a page of the list on which
// nothing could be read.
TEST_F(KindFollowerTest, PageWithoutReadableObjectsDoesNotEndTheList) {
  follower_.NextCall(now_);
  follower_.OnListed(
      {.objects = {{"a", 4, 1}}, .has_more = true, .revision = 10}, now_);
  follower_.NextCall(now_);
  follower_.OnListed({.objects = {}, .has_more = true, .revision = 10}, now_);
  EXPECT_FALSE(follower_.complete());
}

}  // namespace
}  // namespace foxtailspread
