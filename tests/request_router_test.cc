#include "foxtailspread/request_router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Action>
std::vector<Action> ActionsOf(const router_actions& actions) {
  std::vector<Action> matching;
  for (const router_action& action : actions) {
    if (const auto* typed_action = std::get_if<Action>(&action)) {
      matching.push_back(*typed_action);
    }
  }
  return matching;
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
    AddRoute("/orders/", "orders", retry_rule::kAtMostOnce);
    AddRoute("/looks/", "orders", retry_rule::kIdempotent);
    AddRoute("/reports/", "reports", retry_rule::kIdempotent);
    for (int i = 0; i < 3; ++i) {
      AddTarget("orders", "o" + std::to_string(i));
      AddTarget("reports", "r" + std::to_string(i));
    }
    ApplyConfig();
    SetKeyOwner("r0", true);
  }

  void AddService(const std::string& name, bool keyed) {
    service_settings settings;
    settings.name = name;
    settings.keyed = keyed;
    config_.services.push_back(settings);
  }

  void AddRoute(const std::string& prefix, const std::string& service,
                retry_rule repeat) {
    route new_route;
    new_route.name = prefix;
    new_route.host = "shop.example";
    new_route.prefix = prefix;
    new_route.retry = repeat;
    new_route.objective = milliseconds{400};
    new_route.timeout = seconds{2};
    new_route.max_attempts = 2;
    new_route.services = {{.service = service}};
    config_.routes.push_back(new_route);
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

  void ApplyConfig() {
    router_actions ignored_actions;
    router_.OnConfig(route_table_ptr{new route_table(config_)}, now_,
                     ignored_actions);
    router_.OnTargets(targets_, false, now_, now_, ignored_actions);
  }

  void SetKeyOwner(const std::string& id, bool granted) {
    key_map map;
    map.last_fence = ++fence_;
    map.ranges = {{.owner = {.id = id, .started = 1},
                   .fence = fence_,
                   .granted = granted}};
    actions_.clear();
    router_.OnKeyMap("reports", map, now_, actions_);
  }

  /// Passes a request to the router and returns the router's actions.
  const router_actions& SendRequest(request_id id, std::string_view path) {
    actions_.clear();
    router_.OnRequest({.id = id,
                       .host = "shop.example",
                       .path = path,
                       .key = key_point{77},
                       .caller_timeout = seconds{3},
                       .content_hash = content_},
                      now_, actions_);
    return actions_;
  }

  const router_actions& EndAttempt(request_id id, attempt_verdict verdict) {
    actions_.clear();
    router_.OnAttemptEnded({.id = id, .verdict = verdict}, now_, actions_);
    return actions_;
  }

  const router_actions& EndAttemptWithLimit(request_id id, limit_notice limit) {
    actions_.clear();
    router_.OnAttemptEnded(
        {.id = id, .verdict = attempt_verdict::kServed, .limit = limit}, now_,
        actions_);
    return actions_;
  }

  const router_actions& AdvanceTime(duration time) {
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
  const auto sent = ActionsOf<send_action>(SendRequest(1, "/orders/7"));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].target.id.front(), 'o');
  EXPECT_EQ(sent[0].time_left, seconds{2});
  EXPECT_EQ(
      ActionsOf<deliver_action>(EndAttempt(1, attempt_verdict::kServed)).size(),
      1U);
}

TEST_F(RequestRouterTest, UnknownPathIsRefusedAsNoRoute) {
  const auto refused = ActionsOf<local_reply_action>(SendRequest(1, "/else/7"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reply, local_reply::kNoRoute);
}

// A host that has just started has no configuration yet. A permanent error
// would tell callers that their route doesn't exist.
TEST_F(RequestRouterTest, HostWithoutConfigurationAsksCallersToRetry) {
  request_router new_router({.zone = "here", .retries = {}, .seed = 1});
  new_router.OnRequest({.id = 1, .host = "shop.example", .path = "/orders/"},
                       now_, actions_);
  const auto refused = ActionsOf<local_reply_action>(actions_);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reply, local_reply::kNotRun);
  EXPECT_TRUE(refused[0].retry_after);
}

TEST_F(RequestRouterTest, KeyedRequestGoesToTheOwnerOnly) {
  for (request_id id = 1; id <= 4; ++id) {
    const auto sent = ActionsOf<send_action>(SendRequest(id, "/reports/7"));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].target.id, "r0");
  }
}

// Keys are moving to a new owner when a request for them arrives. The former
// owner would refuse the request, and the caller would have to retry.
TEST_F(RequestRouterTest, RequestForMovingKeysWaitsForTheNewOwner) {
  SetKeyOwner("r1", false);
  EXPECT_TRUE(SendRequest(1, "/reports/7").empty());
  now_ += milliseconds{50};
  SetKeyOwner("r1", true);
  const auto sent = ActionsOf<send_action>(actions_);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].target.id, "r1");
}

// Two requests for moving keys are refused because the move takes long. These
// refusals must not count as overload: the next keys that move soon have a new
// owner, and requests for them must wait instead of being refused at once.
TEST_F(RequestRouterTest, RefusalsDuringOneMoveDoNotCountAsOverload) {
  SetKeyOwner("r1", false);
  SendRequest(1, "/reports/7");
  SendRequest(2, "/reports/7");
  ASSERT_EQ(
      ActionsOf<local_reply_action>(AdvanceTime(milliseconds{350})).size(), 2U);
  SetKeyOwner("r2", false);
  SendRequest(3, "/reports/7");
  EXPECT_TRUE(AdvanceTime(milliseconds{40}).empty());
  SetKeyOwner("r2", true);
  EXPECT_EQ(ActionsOf<send_action>(actions_).size(), 1U);
}

// The keys of a lost owner get a new one only when its grant expires, seconds
// later. Callers that are held until then and refused lose time that they need
// for a retry.
TEST_F(RequestRouterTest, RequestForKeysOfALostOwnerIsRefusedAtOnce) {
  SetKeyOwner("r1", false);
  now_ += seconds{1};
  const auto refused =
      ActionsOf<local_reply_action>(SendRequest(1, "/reports/7"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, refusal_reason::kNoOwner);
  EXPECT_EQ(refused[0].reply, local_reply::kNotRun);
  ASSERT_TRUE(refused[0].retry_after);
  EXPECT_LE(*refused[0].retry_after, seconds{1});
}

// The answer to an order is lost, and the order may have been executed. Sending
// it again could execute it twice, and the answer must not claim that it was
// not run.
TEST_F(RequestRouterTest, BrokenOrderIsNeverSentAgain) {
  SendRequest(1, "/orders/7");
  const auto& actions = EndAttempt(1, attempt_verdict::kBroken);
  EXPECT_TRUE(ActionsOf<send_action>(actions).empty());
  const auto refused = ActionsOf<local_reply_action>(actions);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reply, local_reply::kUnknown);
  EXPECT_FALSE(refused[0].retry_after);
}

// A target sheds an order without running it because it has no free slot.
// Another target may have one.
TEST_F(RequestRouterTest, ShedOrderIsSentToAnotherTarget) {
  const auto first = ActionsOf<send_action>(SendRequest(1, "/orders/7"));
  const auto second =
      ActionsOf<send_action>(EndAttempt(1, attempt_verdict::kShed));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].target.id, first.at(0).target.id);
}

TEST_F(RequestRouterTest, ShedOrderStopsAtTheRoutesAttempts) {
  SendRequest(1, "/orders/7");
  EndAttempt(1, attempt_verdict::kShed);
  const auto refused =
      ActionsOf<local_reply_action>(EndAttempt(1, attempt_verdict::kShed));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reply, local_reply::kNotRun);
  EXPECT_TRUE(refused[0].retry_after);
}

TEST_F(RequestRouterTest, BrokenLookupIsSentAgain) {
  SendRequest(1, "/looks/7");
  EXPECT_EQ(
      ActionsOf<send_action>(EndAttempt(1, attempt_verdict::kBroken)).size(),
      1U);
}

// Once an attempt may have run, no later refusal may claim that the request was
// not run.
TEST_F(RequestRouterTest, LookupThatBrokeOnceIsNeverReportedAsNotRun) {
  SendRequest(1, "/looks/7");
  EndAttempt(1, attempt_verdict::kBroken);
  const auto refused =
      ActionsOf<local_reply_action>(EndAttempt(1, attempt_verdict::kShed));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reply, local_reply::kUnknown);
}

TEST_F(RequestRouterTest, ErrorAnswerToAnOrderIsPassedOn) {
  SendRequest(1, "/orders/7");
  EXPECT_EQ(
      ActionsOf<deliver_action>(EndAttempt(1, attempt_verdict::kFailed)).size(),
      1U);
}

// Nothing listens at a target's address. No byte was sent, so that even an
// order may be sent to another target, without using the retry budget.
TEST_F(RequestRouterTest, UnreachableTargetUsesNoRetry) {
  SendRequest(1, "/orders/7");
  ASSERT_EQ(ActionsOf<send_action>(EndAttempt(1, attempt_verdict::kUnreachable))
                .size(),
            1U);
  ASSERT_EQ(ActionsOf<send_action>(EndAttempt(1, attempt_verdict::kUnreachable))
                .size(),
            1U);
  EXPECT_EQ(router_.counts().retries, 0U);
}

// Guards against targets that count as unreachable because this host has no
// descriptor to connect with, and against a request that uses the retry budget
// for it.
TEST_F(RequestRouterTest, ShortageOfDescriptorsIsNotHeldAgainstTheTarget) {
  constexpr request_id kRequests = 30;
  for (request_id id = 1; id <= kRequests; ++id) {
    ASSERT_EQ(ActionsOf<send_action>(SendRequest(id, "/reports/7")).size(), 1U);
    const auto refused = ActionsOf<local_reply_action>(
        EndAttempt(id, attempt_verdict::kNotSent));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reply, local_reply::kNotRun);
    EXPECT_EQ(refused[0].reason, refusal_reason::kNoDescriptor);
    EXPECT_TRUE(refused[0].retry_after);
    EXPECT_EQ(refused[0].summary.attempts, 0);
    now_ += milliseconds{200};
  }
  EXPECT_EQ(router_.counts().retries, 0U);
  EXPECT_EQ(router_.paths(), target_paths::kAll);
}

// All targets of a service break every attempt. Retries only add to the load,
// so that their total must stay within the retry budget.
TEST_F(RequestRouterTest, RetriesStayWithinTheBudget) {
  constexpr request_id kRequests = 400;
  for (request_id id = 1; id <= kRequests; ++id) {
    SendRequest(id, "/looks/7");
    for (int i = 0; i < 3; ++i) {
      EndAttempt(id, attempt_verdict::kBroken);
    }
    now_ += milliseconds{10};
  }
  EXPECT_GT(router_.counts().retries, 0U);
  EXPECT_LE(router_.counts().retries, 0.2 * kRequests + 40.0);
}

// All targets of a service fail every request. If all of them were excluded,
// the service would be unavailable instead of degraded.
TEST_F(RequestRouterTest, ServiceWhoseTargetsAllFailStillGetsRequests) {
  for (request_id id = 1; id <= 40; ++id) {
    const auto sent = ActionsOf<send_action>(SendRequest(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U) << id;
    EndAttempt(id, attempt_verdict::kFailed);
  }
}

// One target of several fails its requests, and does so faster than the others
// serve theirs. Chosen by latency alone, it would attract more and more
// requests.
TEST_F(RequestRouterTest, FailingTargetGetsFewRequests) {
  int to_failing = 0;
  for (request_id id = 1; id <= 300; ++id) {
    now_ += milliseconds{10};
    const auto sent = ActionsOf<send_action>(SendRequest(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U);
    const bool is_failing = sent[0].target.id == "o0";
    to_failing += is_failing ? 1 : 0;
    now_ += milliseconds{is_failing ? 1 : 20};
    EndAttempt(
        id, is_failing ? attempt_verdict::kFailed : attempt_verdict::kServed);
  }
  EXPECT_LT(to_failing, 60);
}

// The caller disconnects. If its request kept running, it would use a slot that
// other requests need.
TEST_F(RequestRouterTest, DisconnectOfTheCallerCancelsItsAttempt) {
  SendRequest(1, "/orders/7");
  actions_.clear();
  router_.OnCallerGone(1, now_, actions_);
  EXPECT_EQ(ActionsOf<cancel_action>(actions_).size(), 1U);
  EXPECT_EQ(router_.pending(), 0U);
}

TEST_F(RequestRouterTest, RequestPastItsTimeoutIsCancelledAndAnswered) {
  SendRequest(1, "/orders/7");
  const auto& actions = AdvanceTime(milliseconds{2001});
  EXPECT_EQ(ActionsOf<cancel_action>(actions).size(), 1U);
  const auto refused = ActionsOf<local_reply_action>(actions);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reply, local_reply::kTimedOut);
}

// A target accepts 50 connections from all hosts together and resets the rest.
// Requests sent on a reset connection can neither be retried nor be reported as
// not run.
TEST_F(RequestRouterTest, RequestsAtATargetStayWithinItsConnectionLimit) {
  config_.services[0].max_connections = 50;
  ApplyConfig();
  router_.OnHostCount(12);
  std::map<std::string, int> sent;
  for (request_id id = 1; id <= 60; ++id) {
    for (const auto& action :
         ActionsOf<send_action>(SendRequest(id, "/orders/7"))) {
      ++sent[action.target.id];
    }
  }
  for (const auto& [id, count] : sent) {
    EXPECT_EQ(count, 3) << id;
  }
}

// Connecting to a target hangs until the deadline. No byte was sent, so that
// even an order may be reported as not run, and its caller can retry.
TEST_F(RequestRouterTest,
       RequestThatTimesOutWhileConnectingMayBeReportedAsNotRun) {
  SendRequest(1, "/orders/7");
  const auto first_refusal =
      ActionsOf<local_reply_action>(AdvanceTime(milliseconds{2001}));
  ASSERT_EQ(first_refusal.size(), 1U);
  EXPECT_TRUE(first_refusal[0].not_run_if_unwritten);
  SendRequest(2, "/looks/7");
  EndAttempt(2, attempt_verdict::kBroken);
  const auto second_refusal =
      ActionsOf<local_reply_action>(AdvanceTime(milliseconds{2001}));
  ASSERT_EQ(second_refusal.size(), 1U);
  EXPECT_FALSE(second_refusal[0].not_run_if_unwritten);
}

// A target that announces that it drains gets no new requests.
TEST_F(RequestRouterTest, DrainingTargetGetsNoNewRequests) {
  for (target_entry& entry : targets_) {
    entry.draining = entry.life.id == "o0" || entry.life.id == "o1";
  }
  ApplyConfig();
  for (request_id id = 1; id <= 5; ++id) {
    const auto sent = ActionsOf<send_action>(SendRequest(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].target.id, "o2");
  }
}

// An order crashes every target that starts it, and its caller retries it as a
// new request. After two crashes it must reach no third target and is refused
// at once, while other orders are still served.
TEST_F(RequestRouterTest, ContentThatCrashedTwoTargetsReachesNoThird) {
  content_ = 5;
  for (request_id id = 1; id <= 2; ++id) {
    const auto sent = ActionsOf<send_action>(SendRequest(id, "/orders/7"));
    ASSERT_EQ(sent.size(), 1U);
    EndAttempt(id, attempt_verdict::kBroken);
    std::erase_if(targets_, [&](const target_entry& entry) {
      return entry.life == sent[0].target;
    });
    now_ += seconds{1};
    ApplyConfig();
  }
  const auto refused =
      ActionsOf<local_reply_action>(SendRequest(3, "/orders/7"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, refusal_reason::kCrashesTargets);
  EXPECT_EQ(refused[0].reply, local_reply::kNotRun);
  content_ = 6;
  EXPECT_EQ(ActionsOf<send_action>(SendRequest(4, "/orders/8")).size(), 1U);
}

/// A content of which other hosts tell that two targets ended under it.
class CrashingContentRouterTest : public RequestRouterTest {
 protected:
  static constexpr uint64_t kContent = 77;

  CrashingContentRouterTest() { content_ = kContent; }

  void TellOfCrashes() {
    crash_evidence evidence;
    for (const char* target : {"gone-1", "gone-2"}) {
      const duration age = milliseconds{1000 + 300 * evidence.marks.size()};
      evidence.marks.push_back({kContent, {target, 1}, age, true});
    }
    router_.crashes().Import(evidence, false, now_);
  }

  std::vector<refusal_reason> RefusalReasons() const {
    std::vector<refusal_reason> reasons;
    for (const auto& reply : ActionsOf<local_reply_action>(actions_)) {
      reasons.push_back(reply.reason);
    }
    return reasons;
  }
};

// Guards against a request that waits for a target while its content comes to
// be refused, and then crashes the first target that is free.
TEST_F(CrashingContentRouterTest, WaitingRequestIsRefusedInsteadOfSent) {
  SetKeyOwner("r0", false);
  SendRequest(1, "/reports/1");
  ASSERT_TRUE(actions_.empty());
  TellOfCrashes();
  SetKeyOwner("r0", true);
  EXPECT_TRUE(ActionsOf<send_action>(actions_).empty());
  EXPECT_EQ(RefusalReasons(), std::vector{refusal_reason::kCrashesTargets});
}

// Guards against holding such a request until its maximum wait is over.
TEST_F(CrashingContentRouterTest, WaitingRequestIsRefusedSoon) {
  SetKeyOwner("r0", false);
  SendRequest(1, "/reports/1");
  TellOfCrashes();
  AdvanceTime(milliseconds{50});
  EXPECT_EQ(RefusalReasons(), std::vector{refusal_reason::kCrashesTargets});
}

TEST_F(CrashingContentRouterTest, OtherWaitingRequestsAreSent) {
  SetKeyOwner("r0", false);
  SendRequest(1, "/reports/1");
  content_ = kContent + 1;
  SendRequest(2, "/reports/2");
  TellOfCrashes();
  SetKeyOwner("r0", true);
  const auto sent = ActionsOf<send_action>(actions_);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].id, 2U);
}

// Guards against a retry that is refused for a wrong reason, which would bring
// its caller back.
TEST_F(CrashingContentRouterTest, RetryIsRefusedForItsContent) {
  SendRequest(1, "/looks/1");
  TellOfCrashes();
  EndAttempt(1, attempt_verdict::kMisdirected);
  EXPECT_EQ(RefusalReasons(), std::vector{refusal_reason::kCrashesTargets});
}

// Guards against asking callers to return while their request is refused.
TEST_F(CrashingContentRouterTest, RefusalAsksForNoReturnWhileItLasts) {
  TellOfCrashes();
  const auto replies =
      ActionsOf<local_reply_action>(SendRequest(1, "/looks/1"));
  ASSERT_EQ(replies.size(), 1U);
  ASSERT_TRUE(replies[0].retry_after);
  EXPECT_GT(*replies[0].retry_after, seconds{60});
}

// A key has moved to another owner, and the host's map is out of date. The
// former owner refuses that request, but must still get requests for its other
// keys.
TEST_F(RequestRouterTest, OwnerThatRefusesOneKeyStillGetsRequestsForOthers) {
  SendRequest(1, "/reports/7");
  EndAttempt(1, attempt_verdict::kMisdirected);
  EXPECT_EQ(ActionsOf<send_action>(SendRequest(2, "/reports/8")).size(), 1U);
}

// The owner has ended, and a target of another service has taken over its
// address and refuses every request. Sending to it over and over would use up
// the retry budget.
TEST_F(RequestRouterTest, AddressTakenOverByAnotherTargetGetsFewRequests) {
  int sends = 0;
  for (request_id id = 1; id <= 20; ++id) {
    sends += static_cast<int>(
        ActionsOf<send_action>(SendRequest(id, "/reports/7")).size());
    EndAttempt(id, attempt_verdict::kMisdirected);
  }
  EXPECT_LE(sends, 5);
}

// A host learns late that the owner of a key drains, because its copy of the
// target list was out of date. The owner must get no request later than 2 s
// after its announcement, however late the host learns of it: a later request
// would be cut off when the owner exits.
TEST_F(RequestRouterTest, DrainingOwnerGetsNoLateRequestsEvenIfLearnedOfLate) {
  const time_point announced = now_;
  for (target_entry& entry : targets_) {
    entry.draining = entry.life.id == "r0";
  }
  now_ += milliseconds{1400};
  router_actions ignored_actions;
  router_.OnTargets(targets_, false, announced, now_, ignored_actions);
  EXPECT_EQ(ActionsOf<send_action>(SendRequest(1, "/reports/7")).size(), 1U)
      << "the keys have no other owner yet";
  now_ = announced + milliseconds{1700};
  EXPECT_TRUE(ActionsOf<send_action>(SendRequest(2, "/reports/7")).empty());
}

// The store was unavailable and all entries expired although the targets are
// alive. They are listed again within 2 s; refusing all requests until then
// would be a needless outage.
TEST_F(RequestRouterTest,
       TargetsMissingAfterAStoreOutageAreUsedForALimitedTime) {
  router_actions ignored_actions;
  router_.OnTargets({}, true, now_, now_, ignored_actions);
  EXPECT_EQ(ActionsOf<send_action>(SendRequest(1, "/orders/7")).size(), 1U);
  now_ += seconds{1};
  router_.OnTargets({}, true, now_, now_, ignored_actions);
  EXPECT_TRUE(ActionsOf<send_action>(SendRequest(2, "/orders/7")).empty());
}

// More requests arrive than the targets can answer within the objective.
// Requests that would be late anyway are refused at once, with Retry-After
// times that are spread out.
TEST_F(RequestRouterTest, OverloadIsRefusedAtOnceWithSpreadRetryAfter) {
  request_id id = 0;
  std::vector<local_reply_action> refused;
  for (int i = 0; i < 300; ++i) {
    const auto new_refusals =
        ActionsOf<local_reply_action>(SendRequest(++id, "/orders/7"));
    refused.insert(refused.end(), new_refusals.begin(), new_refusals.end());
  }
  ASSERT_GT(refused.size(), 100U);
  duration min_retry_after = seconds{10};
  duration max_retry_after{0};
  for (const local_reply_action& refusal : refused) {
    EXPECT_EQ(refusal.reason, refusal_reason::kQueueFull);
    EXPECT_EQ(refusal.summary.age, duration{0});
    min_retry_after =
        std::min(min_retry_after, refusal.retry_after.value_or(duration{0}));
    max_retry_after =
        std::max(max_retry_after, refusal.retry_after.value_or(duration{0}));
  }
  EXPECT_GT(max_retry_after, min_retry_after * 2);
  EXPECT_LE(max_retry_after, seconds{1});
}

// An urgent request arrives while less urgent ones are queued.
TEST_F(RequestRouterTest, UrgentRequestsAreSentBeforeOtherWaitingRequests) {
  config_.routes[0].rank = 0;
  config_.routes[1].rank = 2;
  ApplyConfig();
  request_id id = 0;
  std::vector<request_id> in_flight;
  while (router_.pending() < 26) {
    for (const auto& sent :
         ActionsOf<send_action>(SendRequest(++id, "/looks/7"))) {
      in_flight.push_back(sent.id);
    }
  }
  const request_id urgent = ++id;
  ASSERT_TRUE(SendRequest(urgent, "/orders/7").empty());
  const auto sent_after = ActionsOf<send_action>(
      EndAttempt(in_flight.at(0), attempt_verdict::kServed));
  ASSERT_FALSE(sent_after.empty());
  EXPECT_EQ(sent_after[0].id, urgent);
}

// One of three targets is ten times slower than the others. An even
// distribution would make a third of all requests late.
TEST_F(RequestRouterTest, SlowTargetGetsLessThanAnEqualShare) {
  std::map<std::string, int> sent_count;
  std::multimap<time_point, std::pair<request_id, std::string>> running;
  for (request_id id = 1; id <= 600; ++id) {
    now_ += milliseconds{10};
    while (!running.empty() && running.begin()->first <= now_) {
      EndAttempt(running.begin()->second.first, attempt_verdict::kServed);
      running.erase(running.begin());
    }
    for (const auto& sent :
         ActionsOf<send_action>(SendRequest(id, "/looks/7"))) {
      ++sent_count[sent.target.id];
      const duration work_time =
          sent.target.id == "o0" ? milliseconds{350} : milliseconds{35};
      running.emplace(now_ + work_time, std::pair{sent.id, sent.target.id});
    }
  }
  EXPECT_LT(sent_count["o0"], 60);
}

TEST(WeightedRoundRobinTest, SharesFollowTheWeightsAfterEveryRequest) {
  weighted_round_robin round_robin;
  const std::vector<weighted_service> parts = {{"a", 90}, {"b", 10}};
  int to_b = 0;
  for (int i = 1; i <= 200; ++i) {
    to_b += round_robin.Next(parts) == 1 ? 1 : 0;
    EXPECT_NEAR(to_b, i * 0.1, 1.0) << i;
  }
}

TEST(RouteTableTest, LongestPrefixOfTheHostWins) {
  routing_config config;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    route new_route;
    new_route.name = prefix;
    new_route.host = "Shop.Example";
    new_route.prefix = prefix;
    new_route.services = {{.service = "s"}};
    config.routes.push_back(new_route);
  }
  const route_table table(config);
  EXPECT_EQ(table.FindRoute("shop.example:8080", "/a/b/c?x=/a/")->prefix,
            "/a/b/");
  EXPECT_EQ(table.FindRoute("SHOP.example", "/a/bc")->prefix, "/a/");
  EXPECT_EQ(table.FindRoute("shop.example", "/x")->prefix, "/");
  EXPECT_EQ(table.FindRoute("other.example", "/a/"), nullptr);
}

TEST_F(RequestRouterTest, ChangesOfATargetsLimitAreReported) {
  SendRequest(1, "/reports/7");
  const auto changes = ActionsOf<limit_change_action>(
      EndAttemptWithLimit(1, {.per_second = 2.8}));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].target.id, "r0");
  EXPECT_EQ(changes[0].notice.per_second, 2.8);
}

// Guards against a log line for each answer of a target that states a limit
// that cannot be parsed.
TEST_F(RequestRouterTest, UnreadableLimitIsReportedOnce) {
  for (request_id id = 1; id <= 3; ++id) {
    SendRequest(id, "/reports/7");
    const auto changes = ActionsOf<limit_change_action>(
        EndAttemptWithLimit(id, {.is_readable = false}));
    EXPECT_EQ(changes.size(), id == 1 ? 1U : 0U);
  }
}

TEST_F(RequestRouterTest, LeavingTargetIsReportedOnce) {
  for (request_id id = 1; id <= 2; ++id) {
    SendRequest(id, "/reports/7");
    actions_.clear();
    router_.OnAttemptEnded(
        {.id = id, .verdict = attempt_verdict::kServed, .leaving = true}, now_,
        actions_);
    EXPECT_EQ(ActionsOf<leaving_action>(actions_).size(), id == 1 ? 1U : 0U);
  }
}

// Guards against a log line for each rejection of a target that states a
// backoff that cannot be parsed.
TEST_F(RequestRouterTest, UnreadableBackoffIsReportedOnce) {
  for (request_id id = 1; id <= 2; ++id) {
    SendRequest(id, "/orders/7");
    actions_.clear();
    router_.OnAttemptEnded({.id = id,
                            .verdict = attempt_verdict::kShed,
                            .backoff = {.is_readable = false}},
                           now_, actions_);
    EXPECT_LE(ActionsOf<backoff_action>(actions_).size(), 1U);
  }
}

class LeavingTargetRouterTest : public RequestRouterTest {
 protected:
  /// The target `id` has told another host that it shuts down.
  void TellThatItLeaves(const std::string& id) {
    actions_.clear();
    router_.OnStatements({.leaving = {{.target = {.id = id, .started = 1}}}},
                         now_, actions_);
  }
};

// Guards against a list of targets that takes a target's own word back.
TEST_F(LeavingTargetRouterTest, ListThatCallsItReadyDoesNotBringItBack) {
  for (const char* id : {"o0", "o1", "o2"}) {
    TellThatItLeaves(id);
  }
  router_.OnTargets({}, false, now_, now_, actions_);
  router_.OnTargets(targets_, false, now_, now_, actions_);
  const auto refused =
      ActionsOf<local_reply_action>(SendRequest(1, "/orders/7"));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, refusal_reason::kNoTarget);
}

TEST_F(LeavingTargetRouterTest, NextLifeUnderItsIdIsUsed) {
  for (const char* id : {"o0", "o1", "o2"}) {
    TellThatItLeaves(id);
  }
  for (target_entry& entry : targets_) {
    entry.life.started = 2;
  }
  router_.OnTargets(targets_, false, now_, now_, actions_);
  EXPECT_EQ(ActionsOf<send_action>(SendRequest(1, "/orders/7")).size(), 1U);
}

// Guards against requests in a queue that are sent after the owner's drain
// timeout, or held until their own deadline.
TEST_F(LeavingTargetRouterTest, RequestsInItsQueueEndWithTheDrainTimeout) {
  TellThatItLeaves("r0");
  now_ += milliseconds{1590};
  size_t sent = 0;
  for (request_id id = 1; id <= 60; ++id) {
    sent += ActionsOf<send_action>(SendRequest(id, "/reports/7")).size();
  }
  ASSERT_GT(sent, 0U);
  ASSERT_LT(sent, 60U);
  const router_actions late = AdvanceTime(milliseconds{60});
  EXPECT_TRUE(ActionsOf<send_action>(late).empty());
  EXPECT_EQ(router_.pending(), sent);
}

// Guards against a retry that is sent to the owner after its drain timeout.
TEST_F(LeavingTargetRouterTest, RetryAfterTheDrainTimeoutIsRefused) {
  TellThatItLeaves("r0");
  now_ += milliseconds{1500};
  ASSERT_EQ(ActionsOf<send_action>(SendRequest(1, "/reports/7")).size(), 1U);
  now_ += milliseconds{200};
  EXPECT_EQ(ActionsOf<local_reply_action>(EndAttempt(1, attempt_verdict::kShed))
                .size(),
            1U);
}

class BackoffTargetRouterTest : public RequestRouterTest {
 protected:
  /// Ends an attempt with a rejection that asks for `backoff`.
  const router_actions& Reject(request_id id, duration backoff) {
    actions_.clear();
    router_.OnAttemptEnded({.id = id,
                            .verdict = attempt_verdict::kShed,
                            .backoff = {.time = backoff}},
                           now_, actions_);
    return actions_;
  }
};

// Guards against a rejected request that waits for, or is sent again to, an
// owner that backs off for longer than the caller can wait.
TEST_F(BackoffTargetRouterTest, RejectedRequestForItsKeysIsRefusedAtOnce) {
  SendRequest(1, "/reports/7");
  const auto refused = ActionsOf<local_reply_action>(Reject(1, seconds{3}));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].reason, refusal_reason::kTargetBackoff);
  EXPECT_EQ(refused[0].reply, local_reply::kNotRun);
}

// Guards against callers that all return at the same moment, or at one that
// lies beyond what they can wait.
TEST_F(BackoffTargetRouterTest,
       CallersAreAskedToRetrySpreadWithinAThirdOfTheirTime) {
  SendRequest(1, "/reports/7");
  Reject(1, milliseconds{500});
  std::set<duration> times;
  for (request_id id = 2; id <= 21; ++id) {
    const auto refused =
        ActionsOf<local_reply_action>(SendRequest(id, "/reports/7"));
    ASSERT_EQ(refused.size(), 1U);
    ASSERT_TRUE(refused[0].retry_after);
    EXPECT_GE(*refused[0].retry_after, milliseconds{500});
    EXPECT_LE(*refused[0].retry_after, seconds{1});
    times.insert(*refused[0].retry_after);
  }
  EXPECT_GT(times.size(), 15U);
}

TEST_F(BackoffTargetRouterTest, RequestWaitsForTheEndOfAShortBackoff) {
  SendRequest(1, "/reports/7");
  Reject(1, milliseconds{60});
  EXPECT_TRUE(ActionsOf<local_reply_action>(actions_).empty());
  EXPECT_TRUE(ActionsOf<send_action>(AdvanceTime(milliseconds{55})).empty());
  EXPECT_EQ(ActionsOf<send_action>(AdvanceTime(milliseconds{100})).size(), 1U);
}

TEST_F(BackoffTargetRouterTest, PooledRequestGoesToAnotherTargetAtOnce) {
  const auto first = ActionsOf<send_action>(SendRequest(1, "/orders/7"));
  ASSERT_EQ(first.size(), 1U);
  const auto second = ActionsOf<send_action>(Reject(1, seconds{30}));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].target.id, first[0].target.id);
}

// Guards against an owner that is listed again during its backoff, after its
// entry lapsed, and gets requests as if it had asked for none.
TEST_F(BackoffTargetRouterTest, ListThatOmitsItForAWhileDoesNotEndItsBackoff) {
  SendRequest(1, "/reports/7");
  Reject(1, seconds{3});
  router_.OnTargets({}, false, now_, now_, actions_);
  now_ += seconds{1};
  router_.OnTargets(targets_, false, now_, now_, actions_);
  EXPECT_TRUE(ActionsOf<send_action>(SendRequest(2, "/reports/7")).empty());
}

// Guards against an answer that was spoilt on its way and ends a limit.
TEST_F(RequestRouterTest, BrokenAnswerChangesNoLimit) {
  SendRequest(1, "/reports/7");
  EndAttemptWithLimit(1, {.per_second = 50.0});
  now_ += seconds{1};
  SendRequest(2, "/orders/7");
  actions_.clear();
  router_.OnAttemptEnded({.id = 2,
                          .verdict = attempt_verdict::kBroken,
                          .limit = limit_notice{.per_second = 1.0}},
                         now_, actions_);
  EXPECT_TRUE(ActionsOf<limit_change_action>(actions_).empty());
}

// Guards against hosts that never hear of a target's statement because the
// datagram that told the lease holder was lost.
TEST_F(LeavingTargetRouterTest, StatementThatAnotherHostMissesIsFound) {
  TellThatItLeaves("o1");
  SendRequest(1, "/reports/7");
  EndAttemptWithLimit(1, {.per_second = 2.8});
  const auto missing = router_.StatingTargetsMissingIn({}, now_);
  EXPECT_EQ(missing.size(), 2U);
  EXPECT_TRUE(
      router_.StatingTargetsMissingIn(router_.Statements(now_), now_).empty());
}

class StoppingRouterTest : public RequestRouterTest {
 protected:
  /// Answers are due sooner than the timeouts of all routes.
  void Stop() { router_.OnStop(now_ + kTimeLeft); }

  std::vector<local_reply_action> RepliesAfter(duration time) {
    return ActionsOf<local_reply_action>(AdvanceTime(time));
  }

  /// Fills the owner of the keys of reports with requests from 1 on. Returns
  /// the first one that waits.
  request_id FillOwner() {
    request_id last = 1;
    while (!ActionsOf<send_action>(SendRequest(last, "/reports/7")).empty()) {
      ++last;
    }
    EXPECT_TRUE(actions_.empty());
    return last;
  }

  static constexpr duration kTimeLeft{seconds{1}};
};

// Guards against a host that ends while a request is at a target, without an
// answer to it.
TEST_F(StoppingRouterTest, RequestAtATargetIsAnsweredBeforeTheEnd) {
  SendRequest(1, "/orders/7");
  Stop();
  EXPECT_TRUE(RepliesAfter(kTimeLeft - milliseconds{1}).empty());
  const auto replies = RepliesAfter(milliseconds{1});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reason, refusal_reason::kStopping);
  EXPECT_EQ(replies[0].reply, local_reply::kTimedOut);
  EXPECT_TRUE(replies[0].not_run_if_unwritten);
  EXPECT_EQ(ActionsOf<cancel_action>(actions_).size(), 1U);
  EXPECT_EQ(router_.pending(), 0U);
}

// Guards against a host that ends while a request waits for its turn.
TEST_F(StoppingRouterTest, WaitingRequestIsRefusedAsNotRunBeforeTheEnd) {
  SetKeyOwner("r1", false);
  ASSERT_TRUE(SendRequest(1, "/reports/7").empty());
  router_.OnStop(now_ + milliseconds{20});
  const auto replies = RepliesAfter(milliseconds{20});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kNotRun);
  EXPECT_EQ(replies[0].retry_after, duration{0});
}

// Guards against requests that come during the stop and outlast it.
TEST_F(StoppingRouterTest, LaterRequestHasTheTimeThatIsLeft) {
  Stop();
  now_ += milliseconds{300};
  const auto sent = ActionsOf<send_action>(SendRequest(1, "/looks/7"));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].time_left, kTimeLeft - milliseconds{300});
  EXPECT_EQ(RepliesAfter(kTimeLeft - milliseconds{300}).size(), 1U);
}

TEST_F(StoppingRouterTest, RetryHasTheTimeThatIsLeft) {
  SendRequest(1, "/looks/7");
  Stop();
  now_ += milliseconds{300};
  const auto again =
      ActionsOf<send_action>(EndAttempt(1, attempt_verdict::kBroken));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].time_left, kTimeLeft - milliseconds{300});
}

TEST_F(StoppingRouterTest, RequestWhoseDeadlineIsSoonerKeepsIt) {
  SendRequest(1, "/looks/7");
  now_ += milliseconds{1500};
  Stop();
  const auto replies = RepliesAfter(milliseconds{500});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reason, refusal_reason::kDeadline);
}

// Guards against callers of waiting requests who are told to wait for this
// host's targets, though it ends.
TEST_F(StoppingRouterTest, WaitingRequestEndsWithTheStopAsReason) {
  SetKeyOwner("r1", false);
  ASSERT_TRUE(SendRequest(1, "/reports/7").empty());
  router_.OnStop(now_ + milliseconds{60});
  const auto replies = RepliesAfter(milliseconds{60});
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kNotRun);
  EXPECT_EQ(replies[0].reason, refusal_reason::kStopping);
  EXPECT_EQ(replies[0].retry_after, duration{0});
}

// Guards against sending what cannot be answered before the end.
TEST_F(StoppingRouterTest, RequestLikelyToOutlastTheStopIsRefusedAtOnce) {
  for (request_id id = 1; id <= 60; ++id) {
    SendRequest(id, "/reports/7");
    now_ += milliseconds{380};
    EndAttempt(id, attempt_verdict::kServed);
  }
  router_.OnStop(now_ + milliseconds{100});
  const auto& actions = SendRequest(100, "/reports/7");
  EXPECT_TRUE(ActionsOf<send_action>(actions).empty());
  EXPECT_EQ(ActionsOf<local_reply_action>(actions).size(), 1U);
}

// Guards against an order that has not run ending as one that may have, though
// its caller could go to another host.
TEST_F(StoppingRouterTest, RejectedOrderIsRefusedNotTriedWithoutTime) {
  SendRequest(1, "/orders/7");
  router_.OnStop(now_ + milliseconds{60});
  now_ += milliseconds{30};
  EndAttempt(1, attempt_verdict::kShed);
  EXPECT_TRUE(ActionsOf<send_action>(actions_).empty());
  const auto replies = ActionsOf<local_reply_action>(actions_);
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kNotRun);
}

// Guards against running what waits once its time is over: a busy loop reads an
// answer before it looks at its timers.
TEST_F(StoppingRouterTest, SlotFreedAfterTheDeadlineGetsNoRequest) {
  FillOwner();
  router_.OnStop(now_ + milliseconds{60});
  now_ += milliseconds{100};
  EndAttempt(1, attempt_verdict::kServed);
  EXPECT_TRUE(ActionsOf<send_action>(actions_).empty());
}

// Guards against sending what waits to a slot that another request's deadline
// has just freed.
TEST_F(StoppingRouterTest, SlotFreedByTheStopGetsNoRequest) {
  const request_id waiting = FillOwner();
  router_.OnStop(now_ + milliseconds{60});
  now_ += milliseconds{100};
  actions_.clear();
  router_.OnTime(now_, actions_);
  EXPECT_TRUE(ActionsOf<send_action>(actions_).empty());
  EXPECT_EQ(ActionsOf<local_reply_action>(actions_).size(), waiting);
}

/// A host that reaches no target, and knows of two hosts that do.
class RelayingRouterTest : public RequestRouterTest {
 protected:
  RelayingRouterTest() {
    std::set<std::string> broken;
    for (request_id id = 1; broken.size() < 3 && id < 100; ++id) {
      for (const auto& sent :
           ActionsOf<send_action>(SendRequest(id, "/orders/1"))) {
        broken.insert(sent.target.id);
      }
      EndAttempt(id, attempt_verdict::kBroken);
    }
    FailProbes();
    router_.OnRelays(Relays(), now_, actions_);
    actions_.clear();
  }

  void FailProbes() {
    now_ += milliseconds{300};
    actions_.clear();
    router_.OnTime(now_, actions_);
    const size_t probes = ActionsOf<probe_action>(actions_).size();
    EXPECT_EQ(probes, 3U);
    for (size_t i = 0; i < probes; ++i) {
      router_.OnProbeEnded("o1", false, now_, actions_);
    }
    EXPECT_EQ(router_.paths(), target_paths::kNone);
  }

  std::vector<relay_action> Relay(request_id id, std::string_view path) {
    return ActionsOf<relay_action>(SendRequest(id, path));
  }

  const router_actions& EndRelay(request_id id, relay_end end) {
    actions_.clear();
    router_.OnRelayEnded(id, end, now_, actions_);
    return actions_;
  }

  static std::vector<std::string> Relays() {
    return {"10.0.0.8:1", "10.0.0.9:1"};
  }
};

TEST_F(RelayingRouterTest, RequestGoesToAnotherHostAtOnce) {
  const auto relayed = Relay(9, "/orders/1");
  ASSERT_EQ(relayed.size(), 1U);
  EXPECT_EQ(relayed[0].attempts_left, 2);
  EXPECT_FALSE(relayed[0].may_have_run);
  EXPECT_EQ(relayed[0].time_left, seconds{2});
  EXPECT_EQ(ActionsOf<deliver_action>(EndRelay(9, relay_end::kAnswered)).size(),
            1U);
}

// Guards against an order that runs twice, through two hosts.
TEST_F(RelayingRouterTest, OrderThatMayHaveRunIsNotRelayedAgain) {
  Relay(9, "/orders/1");
  const auto replies =
      ActionsOf<local_reply_action>(EndRelay(9, relay_end::kBroken));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kUnknown);
  EXPECT_TRUE(ActionsOf<relay_action>(actions_).empty());
}

TEST_F(RelayingRouterTest, RequestThatWasNotSentGoesToTheOtherHost) {
  const auto first = Relay(9, "/orders/1");
  const auto second = ActionsOf<relay_action>(EndRelay(9, relay_end::kNotSent));
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].address, second[0].address);
  const auto replies =
      ActionsOf<local_reply_action>(EndRelay(9, relay_end::kNotSent));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kNotRun);
}

// Guards against retries that two hosts count apart.
TEST_F(RelayingRouterTest, RepeatedLookupUsesTheBudgetAndTheAttempts) {
  const uint64_t retries = router_.counts().retries;
  Relay(9, "/looks/1");
  const auto again = ActionsOf<relay_action>(EndRelay(9, relay_end::kBroken));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_TRUE(again[0].may_have_run);
  EXPECT_EQ(again[0].attempts_left, 1);
  EXPECT_EQ(router_.counts().retries, retries + 1);
  EXPECT_TRUE(ActionsOf<relay_action>(EndRelay(9, relay_end::kBroken)).empty());
}

TEST_F(RelayingRouterTest, RelayedRequestIsNotRelayedOn) {
  actions_.clear();
  router_.OnRequest({.id = 9,
                     .host = "shop.example",
                     .path = "/orders/1",
                     .relayed_attempts = 1},
                    now_, actions_);
  EXPECT_TRUE(ActionsOf<relay_action>(actions_).empty());
  const auto replies = ActionsOf<local_reply_action>(actions_);
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reason, refusal_reason::kTargetsUnreachable);
}

TEST_F(RelayingRouterTest, CallerThatLeavesCancelsTheRelayedRequest) {
  Relay(9, "/orders/1");
  actions_.clear();
  router_.OnCallerGone(9, now_, actions_);
  EXPECT_EQ(ActionsOf<cancel_action>(actions_).size(), 1U);
}

// Guards against saying of an order that another host may have passed on that
// it did not run.
TEST_F(RelayingRouterTest, OrderPastItsDeadlineIsNotRunOnlyIfUnwritten) {
  Relay(9, "/orders/1");
  AdvanceTime(seconds{2});
  const auto replies = ActionsOf<local_reply_action>(actions_);
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kTimedOut);
  EXPECT_TRUE(replies[0].not_run_if_unwritten);
  EXPECT_EQ(ActionsOf<cancel_action>(actions_).size(), 1U);
}

// Guards against a host that ends while another host serves its request.
TEST_F(RelayingRouterTest, RelayedRequestIsAnsweredBeforeTheHostEnds) {
  Relay(9, "/orders/1");
  router_.OnStop(now_ + seconds{1});
  const auto replies = ActionsOf<local_reply_action>(AdvanceTime(seconds{1}));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kTimedOut);
  EXPECT_EQ(ActionsOf<cancel_action>(actions_).size(), 1U);
}

TEST_F(RelayingRouterTest, RequestsGoToTargetsAgainAfterAnAnsweredProbe) {
  router_.OnProbeEnded("o1", true, now_, actions_);
  EXPECT_EQ(router_.paths(), target_paths::kAll);
  EXPECT_EQ(ActionsOf<send_action>(SendRequest(9, "/orders/1")).size(), 1U);
}

TEST_F(RelayingRouterTest, RequestIsRefusedAtOnceWithoutAnotherHost) {
  router_.OnRelays({}, now_, actions_);
  const auto replies =
      ActionsOf<local_reply_action>(SendRequest(9, "/orders/1"));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply, local_reply::kNotRun);
}

/// Another host's request, with one attempt left.
TEST_F(RequestRouterTest, RelayedRequestMakesNoMoreAttemptsThanAreLeft) {
  router_.OnRequest({.id = 9,
                     .host = "shop.example",
                     .path = "/looks/1",
                     .relayed_attempts = 1},
                    now_, actions_);
  ASSERT_EQ(ActionsOf<send_action>(actions_).size(), 1U);
  EXPECT_TRUE(
      ActionsOf<send_action>(EndAttempt(9, attempt_verdict::kBroken)).empty());
}

}  // namespace
}  // namespace foxtailspread
