#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

#include "load/plots.h"
#include "load/scenario.h"
#include "load/statistics.h"
#include "load/workload.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::HasSubstr;
using ::testing::Not;

std::string ScenarioText(const std::string& stream_fields,
                         const std::string& more = "") {
  return R"({"entry_hosts":["127.0.0.1:1"],
    "organisations":[{"name":"shop","token":"t"}],
    "targets":[{"name":"t1","address":"127.0.0.1:2","service":"proofs"},
               {"name":"t2","address":"127.0.0.1:3","service":"proofs"}],
    "streams":[{"organisation":"shop","service":"proofs","rate":100)" +
         stream_fields + "}]" + more + "}";
}

load_scenario Scenario(const std::string& stream_fields,
                       const std::string& more = "") {
  return ParseScenario(ScenarioText(stream_fields, more)).value();
}

std::string ErrorOf(const std::string& text) {
  const result<load_scenario> scenario = ParseScenario(text);
  return scenario ? "" : scenario.error().Message();
}

TEST(LoadScenarioTest, WrongScenariosNameThePathAndTheRemedy) {
  EXPECT_THAT(ErrorOf(ScenarioText(R"(,"zipff":1)")),
              HasSubstr("streams[0].zipff"));
  EXPECT_THAT(ErrorOf(ScenarioText(R"(,"urgent":0.7,"archive":0.7)")),
              HasSubstr("let them add up to at most 1"));
  EXPECT_THAT(ErrorOf(ScenarioText(R"(,"keys":2,"hot_keys":3)")),
              HasSubstr("streams[0].hot_keys"));
  EXPECT_THAT(ErrorOf(R"({"entry_hosts":[],"organisations":[],"streams":[]})"),
              HasSubstr("entry_hosts"));
  EXPECT_THAT(
      ErrorOf(ScenarioText("", R"(,"phases":[{"from_ms":9,"until_ms":3,)"
                               R"("rate_factor":2}])")),
      HasSubstr("phases[0].until_ms"));
}

TEST(LoadScenarioTest, StreamOfAnUnlistedOrganisationIsRefused) {
  std::string text = ScenarioText("");
  text.replace(text.find(R"("organisation":"shop")"), 21,
               R"("organisation":"shp!")");
  EXPECT_THAT(ErrorOf(text), HasSubstr("streams[0].organisation"));
}

TEST(LoadScenarioTest, ExamplesAreGood) {
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(
           std::string(PROJECT_DIR) + "/examples/load")) {
    std::ifstream file(entry.path());
    const std::string text(std::istreambuf_iterator<char>(file), {});
    EXPECT_EQ(ErrorOf(text), "") << entry.path();
    ++files;
  }
  EXPECT_GT(files, 0);
}

TEST(LoadGeneratorTest, RateFollowsThePhases) {
  const load_scenario scenario = Scenario(
      "", R"(,"phases":[{"from_ms":10000,"until_ms":20000,"rate_factor":3}])");
  load_generator generator(scenario, 0);
  EXPECT_NEAR(generator.Until(seconds(10)).size(), 1000, 100);
  EXPECT_NEAR(generator.Until(seconds(20)).size(), 3000, 170);
  EXPECT_NEAR(generator.Until(seconds(30)).size(), 1000, 100);
}

TEST(LoadGeneratorTest, SameScenarioGivesTheSameArrivals) {
  const load_scenario scenario = Scenario(R"(,"zipf":1,"urgent":0.5)");
  load_generator one(scenario, 0);
  load_generator two(scenario, 0);
  const auto first = one.Until(seconds(1));
  const auto second = two.Until(seconds(1));
  ASSERT_EQ(first.size(), second.size());
  for (size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].key, second[i].key);
    EXPECT_EQ(first[i].at, second[i].at);
  }
}

std::string HottestKey(const std::vector<load_arrival>& arrivals) {
  std::map<std::string, int> counts;
  for (const load_arrival& arrival : arrivals) {
    ++counts[arrival.key];
  }
  return std::ranges::max_element(
             counts, {}, [](const auto& entry) { return entry.second; })
      ->first;
}

TEST(LoadGeneratorTest, HotKeysMove) {
  const load_scenario scenario =
      Scenario(R"(,"hot_keys":1,"hot_part":0.5,"hot_move_ms":5000)");
  load_generator generator(scenario, 0);
  const auto before = generator.Until(seconds(5));
  const auto after = generator.Until(seconds(10));
  EXPECT_EQ(HottestKey(before), "key-0");
  EXPECT_NE(HottestKey(after), "key-0");
}

TEST(LoadGeneratorTest, PoisonIsSentOnce) {
  const load_scenario scenario =
      Scenario(R"(,"poison":{"text":"crash","at_ms":500})");
  load_generator generator(scenario, 0);
  int poisoned = 0;
  for (const load_arrival& arrival : generator.Until(seconds(5))) {
    poisoned += arrival.poisoned ? 1 : 0;
    EXPECT_FALSE(arrival.poisoned && arrival.at < milliseconds(500));
  }
  EXPECT_EQ(poisoned, 1);
}

TEST(LatencyHistogramTest, QuantilesAreWithinTheStatedError) {
  latency_histogram histogram;
  for (int i = 1; i <= 100'000; ++i) {
    histogram.Add(duration(i));
  }
  EXPECT_NEAR(histogram.Quantile(0.5).count(), 50'000, 50000 / 32.0);
  EXPECT_NEAR(histogram.Quantile(0.999).count(), 99'900, 99900 / 32.0);
  EXPECT_EQ(latency_histogram().Quantile(0.5), duration{});
  histogram.Add(seconds(100'000));
  EXPECT_GT(histogram.Quantile(1), seconds(60));
}

class LoadStatisticsTest : public ::testing::Test {
 protected:
  void Add(duration at, action_outcome outcome, std::string_view target = "",
           duration latency = milliseconds(1)) {
    statistics_.Add({"shop", "proofs", at, latency, outcome, target, ""});
  }
  service_summary Summary() const { return statistics_.Summaries().at(0); }

  const load_scenario scenario_ = Scenario("");
  load_statistics statistics_{scenario_};
};

TEST_F(LoadStatisticsTest, SlotsWithoutAnyAnswerAreUnavailable) {
  Add(milliseconds(50), action_outcome::kDone);
  Add(milliseconds(150), action_outcome::kNotRun);
  Add(milliseconds(250), action_outcome::kUnknown);
  Add(milliseconds(550), action_outcome::kUnknown);
  Add(milliseconds(560), action_outcome::kDone);
  EXPECT_EQ(Summary().unavailable, milliseconds(200));
  EXPECT_EQ(Summary().sent, 5U);
}

TEST_F(LoadStatisticsTest, TargetWithoutAnswersCountsForTheImbalance) {
  Add(milliseconds(1), action_outcome::kDone, "t1");
  EXPECT_DOUBLE_EQ(Summary().imbalance, 2.0);
  Add(milliseconds(2), action_outcome::kDone, "t2");
  EXPECT_DOUBLE_EQ(Summary().imbalance, 1.0);
}

TEST_F(LoadStatisticsTest, LateAndMissingAnswersBurnTheBudget) {
  Add(milliseconds(1), action_outcome::kDone, "t1", milliseconds(8));
  Add(milliseconds(2), action_outcome::kDone, "t1", milliseconds(9));
  Add(milliseconds(3), action_outcome::kNotRun);
  const std::vector<burn_row> rows = statistics_.Burn();
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0].long_window, (burn_counts{1, 3}));
}

TEST_F(LoadStatisticsTest, PageHoldsThePlotsAndEscapesNames) {
  Add(milliseconds(1), action_outcome::kDone, "<t1>");
  const std::string page = DrawPage("a <b> & c", statistics_, nullptr);
  EXPECT_THAT(page, HasSubstr("<polyline"));
  EXPECT_THAT(page, HasSubstr("&lt;t1&gt;"));
  EXPECT_THAT(page, Not(HasSubstr("<t1>")));
  EXPECT_THAT(page, Not(HasSubstr("<b>")));
  EXPECT_EQ(SummariesToJson(statistics_)["services"][0]["done"], 1);
}

}  // namespace
}  // namespace foxtailspread
