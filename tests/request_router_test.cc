#include "foxtailspread/request_router.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Action>
std::vector<Action> Only(const router_actions& actions) {
  std::vector<Action> found;
  for (const router_action& each : actions) {
    if (const auto* one = std::get_if<Action>(&each)) {
      found.push_back(*one);
    }
  }
  return found;
}

class RequestRouterTest : public ::testing::Test {
 protected:
  RequestRouterTest()
      : router_({.zone = "here",
                 .retries = {.ratio = 0.2, .slack = 40.0},
                 .seed = 3}) {
    router_.OnHostCount(1);
    AddService("orders", false);
    AddService("reports", true);
    AddRoute("/orders/", "orders", repeat_rule::kAtMostOnce);
    AddRoute("/looks/", "orders", repeat_rule::kIdempotent);
    AddRoute("/reports/", "reports", repeat_rule::kIdempotent);
    for (int i = 0; i < 3; ++i) {
      AddTarget("orders", "o" + std::to_string(i));
      AddTarget("reports", "r" + std::to_string(i));
    }
    Apply();
    OwnKeys("r0", true);
  }

  void AddService(const std::string& name, bool keyed) {
    service_settings settings;
    settings.name = name;
    settings.keyed = keyed;
    config_.services.push_back(settings);
  }

  void AddRoute(const std::string& prefix, const std::string& service,
                repeat_rule repeat) {
    route added;
    added.name = prefix;
    added.host = "shop.example";
    added.prefix = prefix;
    added.repeat = repeat;
    added.objective = milliseconds{400};
    added.timeout = seconds{2};
    added.max_attempts = 2;
    added.services = {{.service = service}};
    config_.routes.push_back(added);
  }

  void AddTarget(const std::string& service, const std::string& id) {
    target_entry entry;
    entry.life = {.id = id, .started = 1};
    entry.service = service;
    entry.address = "10.0.0.1:" + std::to_string(1000 + targets_.size());
    entry.zone = "here";
    entry.slots = 3;
    targets_.push_back(entry);
  }

  void Apply() {
    router_actions ignored;
    router_.OnConfig(route_table_ptr{new route_table(config_)}, now_, ignored);
    router_.OnTargets(targets_, false, now_, now_, ignored);
  }

  void OwnKeys(const std::string& id, bool granted) {
    key_map map;
    map.last_fence = ++fence_;
    map.ranges = {{.owner = {.id = id, .started = 1},
                   .fence = fence_,
                   .granted = granted}};
    actions_.clear();
    router_.OnKeyMap("reports", map, now_, actions_);
  }

  /// Sends a request in and returns what the router did.
  const router_actions& Ask(request_id id, std::string_view path) {
    actions_.clear();
    router_.OnRequest({.id = id,
                       .host = "shop.example",
                       .path = path,
                       .key = key_point{77},
                       .patience = seconds{3},
                       .content = content_},
                      now_, actions_);
    return actions_;
  }

  const router_actions& End(request_id id, attempt_verdict verdict) {
    actions_.clear();
    router_.OnAttemptEnded({.id = id, .verdict = verdict}, now_, actions_);
    return actions_;
  }

  const router_actions& Wait(duration time) {
    actions_.clear();
    const time_point until = now_ + time;
    while (router_.NextDue() <= until) {
      now_ = std::max(now_, router_.NextDue());
      router_.OnTime(now_, actions_);
    }
    now_ = until;
    return actions_;
  }

  request_router router_;
  routing_config config_;
  std::vector<target_entry> targets_;
  router_actions actions_;
  time_point now_{seconds{100}};
  fence_number fence_ = 0;
  uint64_t content_ = 0;
};

TEST_F(RequestRouterTest, RequestGoesToATargetOfItsRoutesService) {
  const auto sent = Only<send_action>(Ask(1, "/orders/7"));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].target.id.front(), 'o');
  EXPECT_EQ(sent[0].time_left, seconds{2});
  EXPECT_EQ(Only<deliver_action>(End(1, attempt_verdict::kServed)).size(), 1U);
}

TEST_F(RequestRouterTest, UnknownPathIsRefusedForGood) {
  const auto refused = Only<own_answer_action>(Ask(1, "/else/7"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].answer, own_answer::kNoRoute);
}

// A host that has just started knows no declarations yet. A refusal for good
// would tell callers that their route is gone.
TEST_F(RequestRouterTest, HostWithoutDeclarationsAsksCallersToComeBack) {
  request_router fresh({.zone = "here", .retries = {}, .seed = 1});
  fresh.OnRequest({.id = 1, .host = "shop.example", .path = "/orders/"}, now_,
                  actions_);
  const auto refused = Only<own_answer_action>(actions_);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].answer, own_answer::kNotRun);
  EXPECT_TRUE(refused[0].retry_after);
}

TEST_F(RequestRouterTest, KeyedRequestGoesToTheOwnerOnly) {
  for (request_id id = 1; id <= 4; ++id) {
    const auto sent = Only<send_action>(Ask(id, "/reports/7"));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].target.id, "r0");
  }
}

// Keys change hands while a request for them arrives. Sent to the former owner
// it would be refused, and its caller would have to come again.
TEST_F(RequestRouterTest, RequestForMovingKeysWaitsForTheNewOwner) {
  OwnKeys("r1", false);
  EXPECT_TRUE(Ask(1, "/reports/7").empty());
  now_ += milliseconds{50};
  OwnKeys("r1", true);
  const auto sent = Only<send_action>(actions_);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].target.id, "r1");
}

// Two requests for moving keys were refused, since that move took long. The
// next keys that move have a new owner in a moment; refused at once, their
// callers would come again for nothing.
TEST_F(RequestRouterTest, RefusalsInOneMoveDoNotEndTheWaitInTheNext) {
  OwnKeys("r1", false);
  Ask(1, "/reports/7");
  Ask(2, "/reports/7");
  ASSERT_EQ(Only<own_answer_action>(Wait(milliseconds{350})).size(), 2U);
  OwnKeys("r2", false);
  Ask(3, "/reports/7");
  EXPECT_TRUE(Wait(milliseconds{40}).empty());
  OwnKeys("r2", true);
  EXPECT_EQ(Only<send_action>(actions_).size(), 1U);
}

// A lost owner's keys wait for seconds until its grant ends. Callers that are
// held until then, to be refused, lose time that they need to come back.
TEST_F(RequestRouterTest, RequestForKeysOfALostOwnerIsRefusedAtOnce) {
  OwnKeys("r1", false);
  now_ += seconds{1};
  const auto refused = Only<own_answer_action>(Ask(1, "/reports/7"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, refusal_reason::kNoOwner);
  EXPECT_EQ(refused[0].answer, own_answer::kNotRun);
  ASSERT_TRUE(refused[0].retry_after);
  EXPECT_LE(*refused[0].retry_after, seconds{1});
}

// The answer to an order is lost. It may have been carried out: a second send
// could place it twice, and a word that it was not run would be a lie.
TEST_F(RequestRouterTest, BrokenOrderIsNeverSentAgain) {
  Ask(1, "/orders/7");
  const auto& actions = End(1, attempt_verdict::kBroken);
  EXPECT_TRUE(Only<send_action>(actions).empty());
  const auto refused = Only<own_answer_action>(actions);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].answer, own_answer::kUnknown);
  EXPECT_FALSE(refused[0].retry_after);
}

// A target says that it did not run the order for want of room. Another one
// may have room.
TEST_F(RequestRouterTest, ShedOrderIsSentToAnotherTarget) {
  const auto first = Only<send_action>(Ask(1, "/orders/7"));
  const auto second = Only<send_action>(End(1, attempt_verdict::kShed));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].target.id, first.at(0).target.id);
}

TEST_F(RequestRouterTest, ShedOrderStopsAtTheRoutesAttempts) {
  Ask(1, "/orders/7");
  End(1, attempt_verdict::kShed);
  const auto refused = Only<own_answer_action>(End(1, attempt_verdict::kShed));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].answer, own_answer::kNotRun);
  EXPECT_TRUE(refused[0].retry_after);
}

TEST_F(RequestRouterTest, BrokenLookupIsSentAgain) {
  Ask(1, "/looks/7");
  EXPECT_EQ(Only<send_action>(End(1, attempt_verdict::kBroken)).size(), 1U);
}

// Once an attempt may have run, no later refusal may say that it has not.
TEST_F(RequestRouterTest, LookupThatBrokeOnceIsNeverSaidNotToHaveRun) {
  Ask(1, "/looks/7");
  End(1, attempt_verdict::kBroken);
  const auto refused = Only<own_answer_action>(End(1, attempt_verdict::kShed));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].answer, own_answer::kUnknown);
}

TEST_F(RequestRouterTest, TargetsOwnFailureOfAnOrderIsPassedOn) {
  Ask(1, "/orders/7");
  EXPECT_EQ(Only<deliver_action>(End(1, attempt_verdict::kFailed)).size(), 1U);
}

// Nobody listens at a target's address. No byte was sent, so that even an
// order may go elsewhere, and it takes nothing off the retry budget.
TEST_F(RequestRouterTest, UnreachableTargetCostsNoAttempt) {
  Ask(1, "/orders/7");
  ASSERT_EQ(Only<send_action>(End(1, attempt_verdict::kUnreachable)).size(),
            1U);
  ASSERT_EQ(Only<send_action>(End(1, attempt_verdict::kUnreachable)).size(),
            1U);
  EXPECT_EQ(router_.counts().repeats, 0U);
}

// A service fails as a whole. Every repeat would only add to its load, so all
// together stay within the budget.
TEST_F(RequestRouterTest, RepeatsStayWithinTheBudget) {
  constexpr request_id kRequests = 400;
  for (request_id id = 1; id <= kRequests; ++id) {
    Ask(id, "/looks/7");
    for (int i = 0; i < 3; ++i) {
      End(id, attempt_verdict::kBroken);
    }
    now_ += milliseconds{10};
  }
  EXPECT_GT(router_.counts().repeats, 0U);
  EXPECT_LE(router_.counts().repeats, 0.2 * kRequests + 40.0);
}

// All targets of a service fail most requests. Leaving all of them alone would
// turn a bad service into none.
TEST_F(RequestRouterTest, ServiceWhoseTargetsAllFailIsStillTried) {
  for (request_id id = 1; id <= 40; ++id) {
    const auto sent = Only<send_action>(Ask(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U) << id;
    End(id, attempt_verdict::kFailed);
  }
}

// One target of several fails its requests, which it does faster than the
// others work. It would draw more and more of them.
TEST_F(RequestRouterTest, TargetThatFailsIsLeftAloneForAWhile) {
  int to_failing = 0;
  for (request_id id = 1; id <= 300; ++id) {
    now_ += milliseconds{10};
    const auto sent = Only<send_action>(Ask(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U);
    const bool failing = sent[0].target.id == "o0";
    to_failing += failing ? 1 : 0;
    now_ += milliseconds{failing ? 1 : 20};
    End(id, failing ? attempt_verdict::kFailed : attempt_verdict::kServed);
  }
  EXPECT_LT(to_failing, 60);
}

// The caller is gone. Work that goes on for nobody takes a slot from others.
TEST_F(RequestRouterTest, CallerThatLeavesEndsItsAttempt) {
  Ask(1, "/orders/7");
  actions_.clear();
  router_.OnCallerGone(1, now_, actions_);
  EXPECT_EQ(Only<cancel_action>(actions_).size(), 1U);
  EXPECT_EQ(router_.pending(), 0U);
}

TEST_F(RequestRouterTest, RequestPastItsTimeoutIsAnswered) {
  Ask(1, "/orders/7");
  const auto& actions = Wait(milliseconds{2001});
  EXPECT_EQ(Only<cancel_action>(actions).size(), 1U);
  const auto refused = Only<own_answer_action>(actions);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].answer, own_answer::kTimedOut);
}

// A target takes fifty connections from all hosts together and resets the
// rest; what was sent on those can neither be repeated nor called not run.
TEST_F(RequestRouterTest, RequestsAtATargetStayWithinItsConnections) {
  config_.services[0].max_connections = 50;
  Apply();
  router_.OnHostCount(12);
  std::map<std::string, int> sent;
  for (request_id id = 1; id <= 60; ++id) {
    for (const auto& each : Only<send_action>(Ask(id, "/orders/7"))) {
      ++sent[each.target.id];
    }
  }
  for (const auto& [id, count] : sent) {
    EXPECT_EQ(count, 3) << id;
  }
}

// The connection to a target hangs until the deadline. No byte was sent, so
// that even an order may be called not run, and its caller can try again.
TEST_F(RequestRouterTest, DeadlineWhileConnectingMayBeCalledNotRun) {
  Ask(1, "/orders/7");
  const auto refused = Only<own_answer_action>(Wait(milliseconds{2001}));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_TRUE(refused[0].not_run_if_unwritten);
  Ask(2, "/looks/7");
  End(2, attempt_verdict::kBroken);
  const auto again = Only<own_answer_action>(Wait(milliseconds{2001}));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_FALSE(again[0].not_run_if_unwritten);
}

// A target says that it leaves: from then on it gets no new work.
TEST_F(RequestRouterTest, DrainingTargetGetsNothingNew) {
  for (target_entry& each : targets_) {
    each.draining = each.life.id == "o0" || each.life.id == "o1";
  }
  Apply();
  for (request_id id = 1; id <= 5; ++id) {
    const auto sent = Only<send_action>(Ask(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].target.id, "o2");
  }
}

// An order kills each target that begins it, and its caller sends it again as
// a new attempt. After two targets it must reach no third; its caller is told
// at once, and other orders go on.
TEST_F(RequestRouterTest, ContentThatCrashesItsTargetsReachesNoThird) {
  content_ = 5;
  for (request_id id = 1; id <= 2; ++id) {
    const auto sent = Only<send_action>(Ask(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U);
    End(id, attempt_verdict::kBroken);
    std::erase_if(targets_, [&](const target_entry& each) {
      return each.life == sent[0].target;
    });
    now_ += seconds{1};
    Apply();
  }
  const auto refused = Only<own_answer_action>(Ask(3, "/orders/7"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, refusal_reason::kCrashesTargets);
  EXPECT_EQ(refused[0].answer, own_answer::kNotRun);
  content_ = 6;
  EXPECT_EQ(Only<send_action>(Ask(4, "/orders/8")).size(), 1U);
}

// A key has just changed hands, and the host's map is older. Its former owner
// refuses that request; callers of its other keys must not wait for that.
TEST_F(RequestRouterTest, OwnerWithoutOneKeyIsStillAskedForTheOthers) {
  Ask(1, "/reports/7");
  End(1, attempt_verdict::kMisdirected);
  EXPECT_EQ(Only<send_action>(Ask(2, "/reports/8")).size(), 1U);
}

// The owner has ended and a target of another service has its address: it
// refuses everything. Asking it again and again uses the retries up.
TEST_F(RequestRouterTest, AddressThatAnotherTargetTookIsLeftAlone) {
  int sends = 0;
  for (request_id id = 1; id <= 20; ++id) {
    sends += static_cast<int>(Only<send_action>(Ask(id, "/reports/7")).size());
    End(id, attempt_verdict::kMisdirected);
  }
  EXPECT_LE(sends, 5);
}

// A host learns late that the owner of a key leaves: its copy of the list was
// old. The owner must get nothing two seconds after it said so, however late
// the host heard of it; what comes later would be cut off with it.
TEST_F(RequestRouterTest, DrainingOwnerIsLeftInTimeAlsoWhenHeardOfLate) {
  const time_point said = now_;
  for (target_entry& each : targets_) {
    each.draining = each.life.id == "r0";
  }
  now_ += milliseconds{1400};
  router_actions ignored;
  router_.OnTargets(targets_, false, said, now_, ignored);
  EXPECT_EQ(Only<send_action>(Ask(1, "/reports/7")).size(), 1U)
      << "its keys have no other owner yet";
  now_ = said + milliseconds{1700};
  EXPECT_TRUE(Only<send_action>(Ask(2, "/reports/7")).empty());
}

// The store was away and all entries lapsed, although the targets live. They
// are back within two seconds; refusing everything until then helps nobody.
TEST_F(RequestRouterTest, TargetsThatVanishWithTheStoreAreUsedForAWhile) {
  router_actions ignored;
  router_.OnTargets({}, true, now_, now_, ignored);
  EXPECT_EQ(Only<send_action>(Ask(1, "/orders/7")).size(), 1U);
  now_ += seconds{1};
  router_.OnTargets({}, true, now_, now_, ignored);
  EXPECT_TRUE(Only<send_action>(Ask(2, "/orders/7")).empty());
}

// More comes than can be done within the objective. What would be late anyway
// is told so at once, with the time to come back.
TEST_F(RequestRouterTest, OverloadIsRefusedAtOnceAndSpread) {
  request_id id = 0;
  std::vector<own_answer_action> refused;
  for (int i = 0; i < 300; ++i) {
    const auto now_refused = Only<own_answer_action>(Ask(++id, "/orders/7"));
    refused.insert(refused.end(), now_refused.begin(), now_refused.end());
  }
  ASSERT_GT(refused.size(), 100U);
  duration least = seconds{10};
  duration most{0};
  for (const own_answer_action& each : refused) {
    EXPECT_EQ(each.reason, refusal_reason::kQueueFull);
    EXPECT_EQ(each.account.age, duration{0});
    least = std::min(least, each.retry_after.value_or(duration{0}));
    most = std::max(most, each.retry_after.value_or(duration{0}));
  }
  EXPECT_GT(most, least * 2);
  EXPECT_LE(most, seconds{1});
}

// Urgent work arrives behind a queue of work that can wait.
TEST_F(RequestRouterTest, UrgentRequestsGoBeforeOthersThatWait) {
  config_.routes[0].rank = 0;
  config_.routes[1].rank = 2;
  Apply();
  request_id id = 0;
  std::vector<request_id> in_work;
  while (router_.pending() < 26) {
    for (const auto& sent : Only<send_action>(Ask(++id, "/looks/7"))) {
      in_work.push_back(sent.id);
    }
  }
  const request_id urgent = ++id;
  ASSERT_TRUE(Ask(urgent, "/orders/7").empty());
  const auto next =
      Only<send_action>(End(in_work.at(0), attempt_verdict::kServed));
  ASSERT_FALSE(next.empty());
  EXPECT_EQ(next[0].id, urgent);
}

// One of three targets answers ten times as slowly as the others. Dealing
// evenly would make a third of all requests late.
TEST_F(RequestRouterTest, SlowTargetGetsLessThanItsShare) {
  std::map<std::string, int> served;
  std::multimap<time_point, std::pair<request_id, std::string>> running;
  for (request_id id = 1; id <= 600; ++id) {
    now_ += milliseconds{10};
    while (!running.empty() && running.begin()->first <= now_) {
      End(running.begin()->second.first, attempt_verdict::kServed);
      running.erase(running.begin());
    }
    for (const auto& sent : Only<send_action>(Ask(id, "/looks/7"))) {
      ++served[sent.target.id];
      const duration work =
          sent.target.id == "o0" ? milliseconds{350} : milliseconds{35};
      running.emplace(now_ + work, std::pair{sent.id, sent.target.id});
    }
  }
  EXPECT_LT(served["o0"], 60);
}

TEST(SplitDealerTest, SharesFollowTheWeightsAtAnyMoment) {
  split_dealer dealer;
  const std::vector<weighted_service> parts = {{"a", 90}, {"b", 10}};
  int to_b = 0;
  for (int i = 1; i <= 200; ++i) {
    to_b += dealer.Next(parts) == 1 ? 1 : 0;
    EXPECT_NEAR(to_b, i * 0.1, 1.0) << i;
  }
}

TEST(RouteTableTest, LongestPrefixOfTheHostWins) {
  routing_config config;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    route each;
    each.name = prefix;
    each.host = "Shop.Example";
    each.prefix = prefix;
    each.services = {{.service = "s"}};
    config.routes.push_back(each);
  }
  const route_table table(config);
  EXPECT_EQ(table.Find("shop.example:8080", "/a/b/c?x=/a/")->prefix, "/a/b/");
  EXPECT_EQ(table.Find("SHOP.example", "/a/bc")->prefix, "/a/");
  EXPECT_EQ(table.Find("shop.example", "/x")->prefix, "/");
  EXPECT_EQ(table.Find("other.example", "/a/"), nullptr);
}

}  // namespace
}  // namespace foxtailspread
