#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>

#include "ctl/host_commands.h"
#include "ctl/object_commands.h"
#include "fake_objects.h"

namespace foxtailspread {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

/// Hosts that answer with what a test puts here; all others are unreachable.
class fake_hosts {
 public:
  result<nlohmann::json> GetAdmin(std::string_view host,
                                  std::string_view path) {
    const auto found = answers.find(std::string(host) + std::string(path));
    if (found == answers.end()) {
      return error{error_code::kUnavailable, std::string(host), "no answer",
                   "ask another entry host"};
    }
    return found->second;
  }

  std::map<std::string, nlohmann::json> answers;
};

class CtlObjectsTest : public ::testing::Test {
 protected:
  static operator_act Act() {
    return {"ana", "disk swap", "2026-12-02T09:00:00Z", "mark", std::nullopt};
  }

  result<report> DrainTarget(const std::string& name) {
    return Drain(objects_, "target", name, {"archive-01", "archive-02"}, Act());
  }

  result<report> Reset(const std::string& range, const std::string& host,
                       bool yes) {
    return ResetRange(objects_, range, host, yes, Act());
  }

  void PutHost(const std::string& name, const std::string& address,
               uint64_t version) {
    objects_.Put("hosts/" + name, {{"http", address}});
    hosts_.answers[address + "/admin/status"] = {{"config_version", version}};
  }

  report Accepted() const {
    report done;
    done.data = {{"revision", 7}};
    return done;
  }

  fake_objects objects_;
  fake_hosts hosts_;
};

TEST_F(CtlObjectsTest, DrainRecordsWhoWhyAndWhen) {
  ASSERT_TRUE(DrainTarget("archive-01"));
  const nlohmann::json drain = objects_.StateOf("drains/archive-01").value;
  EXPECT_EQ(drain["by"], "ana");
  EXPECT_EQ(drain["why"], "disk swap");
  EXPECT_EQ(drain["at"], "2026-12-02T09:00:00Z");
}

TEST_F(CtlObjectsTest, DrainOfAnUnknownTargetNamesTheNearest) {
  const auto failed = DrainTarget("archve-01");
  ASSERT_FALSE(failed);
  EXPECT_THAT(failed.error().remedy, HasSubstr("archive-01"));
}

TEST_F(CtlObjectsTest, SecondDrainSaysWhoDrainsAlready) {
  ASSERT_TRUE(DrainTarget("archive-01"));
  const auto again = DrainTarget("archive-01");
  ASSERT_FALSE(again);
  EXPECT_EQ(ExitStatusOf(again.error().code), exit_status::kRefused);
  EXPECT_THAT(again.error().reason, HasSubstr("ana"));
}

// The removal takes effect and its answer is lost. Reading again finds nothing
// there, which is what was wanted; a second removal must not follow.
TEST_F(CtlObjectsTest, UndrainWithLostAnswerEndsTheDrainOnce) {
  ASSERT_TRUE(DrainTarget("archive-01"));
  objects_.answers_to_lose = 1;
  const auto ended = Undrain(objects_, "target", "archive-01");
  ASSERT_TRUE(ended) << ended.error().Message();
  EXPECT_EQ(objects_.StateOf("drains/archive-01").revision, 0U);
  EXPECT_EQ(objects_.writes, 2);
}

TEST_F(CtlObjectsTest, UndrainOfWhatDoesNotDrainListsWhatDoes) {
  ASSERT_TRUE(DrainTarget("archive-01"));
  const auto failed = Undrain(objects_, "target", "archive-02");
  ASSERT_FALSE(failed);
  EXPECT_THAT(failed.error().remedy, HasSubstr("archive-01"));
}

// An operator declares a paused host dead out of habit. When it wakes, keys
// have two owners; so the command must explain and ask for a deliberate word.
TEST_F(CtlObjectsTest, RangeResetWithoutYesExplainsTheDangerAndWritesNothing) {
  objects_.Put("ranges/r3", {{"steward", "entry-3"}, {"epoch", 4}});
  const auto refused = Reset("r3", "entry-3", false);
  ASSERT_FALSE(refused);
  EXPECT_EQ(ExitStatusOf(refused.error().code), exit_status::kRefused);
  EXPECT_THAT(refused.error().Message(), HasSubstr("two owners"));
  EXPECT_EQ(objects_.writes, 0);
}

TEST_F(CtlObjectsTest, RangeResetKeepsTheRestOfTheRange) {
  objects_.Put(
      "ranges/r3",
      {{"steward", "entry-3"}, {"epoch", 4}, {"declared_dead", {"entry-1"}}});
  ASSERT_TRUE(Reset("r3", "entry-3", true));
  const nlohmann::json range = objects_.StateOf("ranges/r3").value;
  EXPECT_EQ(range["epoch"], 4);
  EXPECT_EQ(range["declared_dead"], nlohmann::json({"entry-1", "entry-3"}));
  EXPECT_FALSE(Reset("r3", "entry-3", true));
}

// A successor takes the range over while the operator types. The word was
// given for the former state and must not be put into the new one.
TEST_F(CtlObjectsTest, RangeResetLosesAgainstATakeover) {
  objects_.Put("ranges/r3", {{"steward", "entry-3"}, {"epoch", 4}});
  objects_.before_write = [this] {
    objects_.Put("ranges/r3", {{"steward", "entry-2"}, {"epoch", 5}});
  };
  const auto lost = Reset("r3", "entry-3", true);
  ASSERT_FALSE(lost);
  EXPECT_EQ(ExitStatusOf(lost.error().code), exit_status::kLostRace);
  EXPECT_THAT(lost.error().reason, HasSubstr("entry-2"));
  EXPECT_FALSE(objects_.StateOf("ranges/r3").value.contains("declared_dead"));
}

TEST_F(CtlObjectsTest, RangeResetOfUnknownRangeOrHostWritesNothing) {
  objects_.Put("ranges/r3", {{"steward", "entry-3"}});
  EXPECT_FALSE(Reset("r4", "entry-3", true));
  EXPECT_FALSE(Reset("r3", "entry-4", true));
  EXPECT_EQ(objects_.writes, 0);
}

TEST_F(CtlObjectsTest, AwaitEndsOnceEveryHostReportsTheRevision) {
  PutHost("entry-1", "10.0.0.1:80", 7);
  PutHost("entry-2", "10.0.0.2:80", 6);
  objects_.on_wait = [this] { PutHost("entry-2", "10.0.0.2:80", 8); };
  const auto done = AwaitInForce(objects_, hosts_, Accepted());
  ASSERT_TRUE(done);
  EXPECT_EQ(done.value().status, exit_status::kOk);
}

// One host is cut off. "In force everywhere" would be untrue, and "failed"
// would make the operator apply again what was accepted.
TEST_F(CtlObjectsTest, AwaitNamesTheHostsThatLagAndSaysAccepted) {
  PutHost("entry-1", "10.0.0.1:80", 7);
  PutHost("entry-2", "10.0.0.2:80", 6);
  objects_.Put("hosts/entry-3", {{"http", "10.0.0.3:80"}});
  const auto done = AwaitInForce(objects_, hosts_, Accepted());
  ASSERT_TRUE(done);
  EXPECT_EQ(done.value().status, exit_status::kDiffers);
  EXPECT_THAT(done.value().text, HasSubstr("entry-2: reports revision 6"));
  EXPECT_THAT(done.value().text, HasSubstr("entry-3: no answer"));
  EXPECT_THAT(done.value().text, Not(HasSubstr("at entry-1")));
  EXPECT_THAT(done.value().text, HasSubstr("accepted"));
}

TEST_F(CtlObjectsTest, AwaitPassesOverHostsThatAreLeaving) {
  PutHost("entry-1", "10.0.0.1:80", 7);
  objects_.Put("hosts/entry-2", {{"http", "10.0.0.2:80"}, {"leaving", true}});
  const auto done = AwaitInForce(objects_, hosts_, Accepted());
  ASSERT_TRUE(done);
  EXPECT_EQ(done.value().status, exit_status::kOk);
}

TEST_F(CtlObjectsTest, OwnershipIsFilteredByServiceAndUnknownOnesAreNamed) {
  hosts_.answers["10.0.0.1:80/admin/ownership"] = {
      {"host", "entry-1"},
      {"ranges",
       {{{"range", "archive@trnje"},
         {"acting", true},
         {"order", {{{"host", "entry-1"}}, {{"host", "entry-2"}}}},
         {"owners", {{"archive-01", {3, 1, 0, 2, 8}}}}},
        {{"range", "deposits@trnje"}, {"acting", false}}}}};
  const auto shown = ShowOwnership(hosts_, "10.0.0.1:80", "archive");
  ASSERT_TRUE(shown);
  EXPECT_EQ(shown.value().data["ranges"].size(), 1U);
  EXPECT_THAT(shown.value().text, HasSubstr("entry-1 entry-2"));
  EXPECT_THAT(shown.value().text, HasSubstr("0-3,8"));
  const auto failed = ShowOwnership(hosts_, "10.0.0.1:80", "archiv");
  ASSERT_FALSE(failed);
  EXPECT_THAT(failed.error().remedy, HasSubstr("\"archive\""));
}

TEST(CtlReportTest, ListsBecomeTablesWithTheNameFirst) {
  const nlohmann::json value = {
      {"revision", 4},
      {"hosts", {{{"load", 0.5}, {"name", "entry-1"}}, {{"name", "e2"}}}}};
  EXPECT_EQ(
      RenderTable(value),
      "revision:  4\n\nhosts:\nname     load\nentry-1  0.5\ne2       -\n");
}

}  // namespace
}  // namespace foxtailspread
