#include <gtest/gtest.h>

#include "foxtailspread/action_id.h"
#include "foxtailspread/hash.h"
#include "foxtailspread/trace.h"
#include "net/glib_mac.h"
#include "support/virtual_deployment.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::call_options;
using testing::call_result;
using testing::deployment_options;
using testing::SmallConfig;
using testing::virtual_deployment;

constexpr char kFieldToken[] = "dev-field-token";
constexpr char kOfficeToken[] = "dev-office-token";

/// Two zones whose targets check grants. The organisation "office" has no
/// access to the service "history".
deployment_options IsolationOptions() {
  deployment_options options;
  options.config = SmallConfig(2, true);
  options.config.organisations[1].services = {"signing", "archive"};
  return options;
}

class IsolationProofTest : public ::testing::Test {
 protected:
  IsolationProofTest() { world_.RunFor(seconds{2}); }

  /// Sends a request through `host` and returns its result after one second.
  call_result CallAndWait(const std::string& host, const std::string& token,
                          const std::string& service, const std::string& key,
                          const std::string& action = "",
                          const std::string& body = "") {
    call_options options;
    options.token = token;
    options.action = action;
    options.body = body;
    const uint64_t call = world_.Call(host, service, key, options);
    world_.RunFor(seconds{1});
    return world_.Result(call);
  }
  /// Returns the log lines and refusals in the host's trace that contain
  /// `word`. Answers with the outcome "done" are skipped: their content comes
  /// from the targets.
  std::string OutputContaining(const std::string& host, std::string_view word) {
    std::string found;
    const std::string trace = world_.TraceOf(host);
    std::string_view remaining_steps = trace;
    remaining_steps.remove_prefix(remaining_steps.find('\n') + 1);
    while (!remaining_steps.empty()) {
      const size_t end = remaining_steps.find('\n');
      const auto step = ParseTraceStep(remaining_steps.substr(0, end));
      remaining_steps.remove_prefix(end + 1);
      EXPECT_TRUE(step) << step.error().Message();
      for (const host_action& action : step.value().actions) {
        const auto* answer = std::get_if<answer_action>(&action);
        const bool refusal =
            answer != nullptr && answer->outcome != request_outcome::kDone;
        const bool visible =
            std::holds_alternative<log_action>(action) || refusal;
        const std::string text = FormatAction(action);
        if (visible && text.find(word) != std::string::npos) {
          found += text + "\n";
        }
      }
    }
    return found;
  }

  virtual_deployment world_{IsolationOptions()};
};

// The token determines the organisation. A service that exists but isn't
// granted must get the same answer as one that doesn't exist; otherwise the
// names of other organisations' services could be found by guessing.
TEST_F(IsolationProofTest, UngrantedAndUnknownServicesGetTheSameAnswer) {
  for (const std::string& host : world_.HostNames()) {
    const call_result ungranted =
        CallAndWait(host, kOfficeToken, "history", "house");
    const call_result unknown =
        CallAndWait(host, kOfficeToken, "nothing", "house");
    EXPECT_EQ(ungranted.status, 404);
    EXPECT_EQ(ungranted.outcome, request_outcome::kNotRun);
    EXPECT_EQ(unknown.status, ungranted.status);
    EXPECT_EQ(unknown.code, ungranted.code);
    EXPECT_EQ(unknown.body, ungranted.body);
    EXPECT_TRUE(CallAndWait(host, kFieldToken, "history", "house").Done());
  }
  EXPECT_EQ(OutputContaining("zone1-1", "\"field\""), "");
}

// A caller without a valid token must not learn even which services exist.
TEST_F(IsolationProofTest, UnknownTokenGetsTheSameAnswerForEveryService) {
  const call_result known = CallAndWait("zone1-1", "guess", "history", "house");
  const call_result unknown =
      CallAndWait("zone1-1", "guess", "nothing", "house");
  EXPECT_EQ(known.status, 401);
  EXPECT_EQ(unknown.status, 401);
  EXPECT_EQ(known.code, unknown.code);
}

// An organisation sends another's action identifier, or a forged one in the
// same format. Both must get the same refusal, before anything runs, and the
// organisation to which the identifier belongs must still be able to use it.
TEST_F(IsolationProofTest, ForeignAndForgedIdentifiersGetTheSameRefusal) {
  const std::string field_action =
      world_.Mint("zone1-1", "signing", kFieldToken);
  ASSERT_NE(field_action, "");
  std::string forged = field_action;
  forged.back() = forged.back() == 'A' ? 'B' : 'A';
  const action_secret wrong_secret{"another secret", &GlibMac};
  const auto origin = ParseActionId(field_action, "field", world_.secret());
  const minted_action& minted = origin.value().minted.value();
  const std::string fabricated =
      MintActionId({"office", minted.range, minted.epoch, minted.sequence},
                   wrong_secret)
          .value();
  for (const std::string& host : world_.HostNames()) {
    const call_result foreign = CallAndWait(
        host, kOfficeToken, "signing", "report", field_action, "taken over");
    EXPECT_EQ(foreign.outcome, request_outcome::kNotRun);
    for (const std::string& invalid_action : {forged, fabricated}) {
      const call_result answer =
          CallAndWait(host, kOfficeToken, "signing", "report", invalid_action,
                      "taken over");
      EXPECT_EQ(answer.status, foreign.status);
      EXPECT_EQ(answer.code, foreign.code);
      EXPECT_EQ(answer.outcome, foreign.outcome);
    }
  }
  EXPECT_TRUE(CallAndWait("zone1-1", kFieldToken, "signing", "report",
                          field_action, "own report")
                  .Done());
  EXPECT_EQ(world_.Violations(), "");
}

// Two organisations choose the same identifier for different actions. Neither
// may get the other's result, and both actions must run.
TEST_F(IsolationProofTest, SameIdentifierOfTwoOrganisationsIsTwoActions) {
  world_.RunFor(std::chrono::minutes{3});
  const call_result field =
      CallAndWait("zone1-1", kFieldToken, "signing", "field-key", "report-7",
                  "report of field");
  const call_result office =
      CallAndWait("zone2-1", kOfficeToken, "signing", "office-key", "report-7",
                  "report of office");
  EXPECT_TRUE(field.Done()) << field.code;
  EXPECT_TRUE(office.Done()) << office.code;
  EXPECT_NE(field.body, office.body);
  EXPECT_EQ(office.body.find("field-key"), std::string::npos);
}

// Logs are read by operators and copied to other systems. They must
// not contain organisations' names, keys, identifiers or tokens, and neither
// may refusals.
TEST_F(IsolationProofTest, LogsAndRefusalsContainNoOrganisationKeyOrToken) {
  const std::string action = world_.Mint("zone1-1", "signing", kFieldToken);
  CallAndWait("zone1-1", kFieldToken, "signing", "secret-key", action,
              "report");
  CallAndWait("zone1-2", kFieldToken, "history", "secret-key");
  world_.KillTarget("history-zone1-1");
  CallAndWait("zone1-2", kFieldToken, "history", "secret-key");
  for (int i = 0; i < 5; ++i) {
    CallAndWait("zone1-1", kOfficeToken, "archive", "house");
    CallAndWait("zone2-1", kOfficeToken, "history", "house");
  }
  for (const std::string& host : world_.HostNames()) {
    EXPECT_EQ(OutputContaining(host, "secret-key"), "");
    EXPECT_EQ(OutputContaining(host, "\"field\""), "");
    EXPECT_EQ(OutputContaining(host, "\"office\""), "");
    EXPECT_EQ(OutputContaining(host, "dev-field-token"), "");
  }
}

// An entry host is killed with archive requests in its queue, to which it has
// sent no answer. Each caller must see its connection close, never the outcome
// "done", and the same request sent through another host must succeed.
TEST_F(IsolationProofTest,
       QueuedArchiveRequestsOfKilledHostAreNotAnsweredDone) {
  call_options archive_call;
  archive_call.urgency = "archive";
  archive_call.work = milliseconds{400};
  archive_call.deadline = seconds{20};
  std::vector<uint64_t> calls;
  calls.reserve(30);
  for (int i = 0; i < 30; ++i) {
    calls.push_back(world_.Call("zone1-1", "archive",
                                "permit-" + std::to_string(i), archive_call));
  }
  world_.RunFor(milliseconds{100});
  world_.KillHost("zone1-1");
  size_t lost_connections = 0;
  for (const uint64_t call : calls) {
    EXPECT_FALSE(world_.Result(call).Done());
    lost_connections += world_.Result(call).connection_lost ? 1 : 0;
  }
  EXPECT_EQ(lost_connections, calls.size());
  // Give the targets time to cancel the requests of the killed host.
  world_.RunFor(seconds{2});
  std::vector<uint64_t> resent_calls;
  resent_calls.reserve(calls.size());
  for (size_t i = 0; i < calls.size(); ++i) {
    resent_calls.push_back(world_.Call(
        "zone2-1", "archive", "permit-" + std::to_string(i), archive_call));
  }
  world_.RunFor(seconds{20});
  for (const uint64_t call : resent_calls) {
    EXPECT_TRUE(world_.Result(call).Done()) << world_.Result(call).code;
  }
  EXPECT_EQ(world_.Violations(), "");
}

}  // namespace
}  // namespace foxtailspread
