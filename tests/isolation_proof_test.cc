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

/// "office" may not call "history".
deployment_options Options() {
  deployment_options options;
  options.config = SmallConfig(2, true);
  options.config.organisations[1].services = {"signing", "archive"};
  return options;
}

class IsolationProofTest : public ::testing::Test {
 protected:
  IsolationProofTest() { world_.RunFor(seconds{2}); }

  call_result Ask(const std::string& host, const std::string& token,
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
  /// Returns each log line and refusal of the host that names `word`, from its
  /// record. Whole answers are the targets' own.
  std::string Mentions(const std::string& host, std::string_view word) {
    std::string found;
    const std::string trace = world_.TraceOf(host);
    std::string_view rest = trace;
    rest.remove_prefix(rest.find('\n') + 1);
    while (!rest.empty()) {
      const size_t end = rest.find('\n');
      const auto step = ParseTraceStep(rest.substr(0, end));
      rest.remove_prefix(end + 1);
      EXPECT_TRUE(step) << step.error().Message();
      for (const host_action& action : step.value().actions) {
        const auto* answer = std::get_if<answer_action>(&action);
        const bool refusal =
            answer != nullptr && answer->outcome != request_outcome::kDone;
        const bool told = std::holds_alternative<log_action>(action) || refusal;
        const std::string text = FormatAction(action);
        if (told && text.find(word) != std::string::npos) {
          found += text + "\n";
        }
      }
    }
    return found;
  }

  virtual_deployment world_{Options()};
};

// A token decides the organisation. With the other's token, a service that
// exists but is not granted must look like one that does not exist: else
// names of other organisations' services could be found by trying.
TEST_F(IsolationProofTest, ForeignAndUnknownServicesGetTheSameAnswer) {
  for (const std::string& host : world_.HostNames()) {
    const call_result foreign = Ask(host, kOfficeToken, "history", "house");
    const call_result unknown = Ask(host, kOfficeToken, "nothing", "house");
    EXPECT_EQ(foreign.status, 404);
    EXPECT_EQ(foreign.outcome, request_outcome::kNotRun);
    EXPECT_EQ(unknown.status, foreign.status);
    EXPECT_EQ(unknown.code, foreign.code);
    EXPECT_EQ(unknown.body, foreign.body);
    EXPECT_TRUE(Ask(host, kFieldToken, "history", "house").Done());
  }
  EXPECT_EQ(Mentions("zone1-1", "\"field\""), "");
}

// Somebody without a token must learn nothing, not even which services exist.
TEST_F(IsolationProofTest, UnknownTokenGetsTheSameAnswerForEveryService) {
  const call_result known = Ask("zone1-1", "guess", "history", "house");
  const call_result unknown = Ask("zone1-1", "guess", "nothing", "house");
  EXPECT_EQ(known.status, 401);
  EXPECT_EQ(unknown.status, 401);
  EXPECT_EQ(known.code, unknown.code);
}

// One organisation gets hold of another's identifier, or makes one up in the
// same form. Both are refused in the same way and before anything runs; the
// identifier's owner goes on to use it.
TEST_F(IsolationProofTest, ForeignAndForgedIdentifiersAreRefusedAlike) {
  const std::string own = world_.Mint("zone1-1", "signing", kFieldToken);
  ASSERT_NE(own, "");
  std::string forged = own;
  forged.back() = forged.back() == 'A' ? 'B' : 'A';
  const action_secret guessed{"another secret", &GlibMac};
  const auto origin = ParseActionId(own, "field", world_.secret());
  const minted_action& minted = origin.value().minted.value();
  const std::string made_up =
      MintActionId({"office", minted.range, minted.epoch, minted.sequence},
                   guessed)
          .value();
  for (const std::string& host : world_.HostNames()) {
    const call_result foreign =
        Ask(host, kOfficeToken, "signing", "report", own, "taken over");
    EXPECT_EQ(foreign.outcome, request_outcome::kNotRun);
    for (const std::string& other : {forged, made_up}) {
      const call_result answer =
          Ask(host, kOfficeToken, "signing", "report", other, "taken over");
      EXPECT_EQ(answer.status, foreign.status);
      EXPECT_EQ(answer.code, foreign.code);
      EXPECT_EQ(answer.outcome, foreign.outcome);
    }
  }
  EXPECT_TRUE(
      Ask("zone1-1", kFieldToken, "signing", "report", own, "own report")
          .Done());
  EXPECT_EQ(world_.Violations(), "");
}

// Two organisations choose the same identifier for different reports. Neither
// may be told of the other's, nor be kept from running its own.
TEST_F(IsolationProofTest, SameCallerMadeIdentifierIsTwoActions) {
  world_.RunFor(std::chrono::minutes{3});
  const call_result field = Ask("zone1-1", kFieldToken, "signing", "field-key",
                                "report-7", "report of field");
  const call_result office = Ask("zone2-1", kOfficeToken, "signing",
                                 "office-key", "report-7", "report of office");
  EXPECT_TRUE(field.Done()) << field.code;
  EXPECT_TRUE(office.Done()) << office.code;
  EXPECT_NE(field.body, office.body);
  EXPECT_EQ(office.body.find("field-key"), std::string::npos);
}

// What is logged is read by operators and shipped elsewhere. Keys, identifiers
// and tokens of organisations have no place there, nor in others' answers.
TEST_F(IsolationProofTest, LogsAndAnswersNameNoOrganisationKeyOrIdentifier) {
  const std::string action = world_.Mint("zone1-1", "signing", kFieldToken);
  Ask("zone1-1", kFieldToken, "signing", "secret-key", action, "report");
  Ask("zone1-2", kFieldToken, "history", "secret-key");
  world_.KillTarget("history-zone1-1");
  Ask("zone1-2", kFieldToken, "history", "secret-key");
  for (int i = 0; i < 5; ++i) {
    Ask("zone1-1", kOfficeToken, "archive", "house");
    Ask("zone2-1", kOfficeToken, "history", "house");
  }
  for (const std::string& host : world_.HostNames()) {
    EXPECT_EQ(Mentions(host, "secret-key"), "");
    EXPECT_EQ(Mentions(host, "\"field\""), "");
    EXPECT_EQ(Mentions(host, "\"office\""), "");
    EXPECT_EQ(Mentions(host, "dev-field-token"), "");
  }
}

// An entry host dies with archive searches in its queue. Nothing was promised
// for them: each caller sees its connection close, never "done", and the same
// search sent through another host is answered.
TEST_F(IsolationProofTest, QueuedArchiveWorkOfAKilledHostIsNeverClaimedDone) {
  call_options search;
  search.urgency = "archive";
  search.work = milliseconds{400};
  search.deadline = seconds{20};
  std::vector<uint64_t> calls;
  calls.reserve(30);
  for (int i = 0; i < 30; ++i) {
    calls.push_back(world_.Call("zone1-1", "archive",
                                "permit-" + std::to_string(i), search));
  }
  world_.RunFor(milliseconds{100});
  world_.KillHost("zone1-1");
  size_t lost = 0;
  for (const uint64_t call : calls) {
    EXPECT_FALSE(world_.Result(call).Done());
    lost += world_.Result(call).connection_lost ? 1 : 0;
  }
  EXPECT_EQ(lost, calls.size());
  // The targets give up what their lost caller had sent within a moment.
  world_.RunFor(seconds{2});
  std::vector<uint64_t> again;
  again.reserve(calls.size());
  for (size_t i = 0; i < calls.size(); ++i) {
    again.push_back(world_.Call("zone2-1", "archive",
                                "permit-" + std::to_string(i), search));
  }
  world_.RunFor(seconds{20});
  for (const uint64_t call : again) {
    EXPECT_TRUE(world_.Result(call).Done()) << world_.Result(call).code;
  }
  EXPECT_EQ(world_.Violations(), "");
}

}  // namespace
}  // namespace foxtailspread
