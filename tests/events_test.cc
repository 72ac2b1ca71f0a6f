#include "foxtailspread/events.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "net/log.h"

namespace foxtailspread {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file{path};
  return {std::istreambuf_iterator<char>{file}, {}};
}

std::string Row(const event_definition& event) {
  std::string row = "| " + std::to_string(static_cast<int>(event.id));
  for (const std::string_view cell :
       {event.name, ToString(event.level), event.meaning, event.remedy}) {
    row.append(" | ").append(cell);
  }
  return row + " |\n";
}

TEST(EventsTest, NumbersGrowSoThatNoneIsUsedTwice) {
  EXPECT_TRUE(std::is_sorted(
      std::begin(kEvents), std::end(kEvents),
      [](const auto& a, const auto& b) { return a.id <= b.id; }));
}

TEST(EventsTest, CatalogueInTheDocsEqualsTheTable) {
  std::string rows;
  for (const event_definition& event : kEvents) {
    rows += Row(event);
  }
  const std::string page = ReadFile(PROJECT_DIR "/docs/EVENTS.md");
  const size_t first = page.find("| 100 ");
  ASSERT_NE(first, std::string::npos);
  EXPECT_EQ(page.substr(first), rows);
}

// A caller puts a line break into its key to forge an event in the log. The
// operator would look for a fault that never was.
TEST(EventsTest, ValueWithLineBreakStaysOnItsLine) {
  const std::string line =
      FormatEvent(*FindEvent(event_id::kListening), "p",
                  {{"key", "a\n{\"event\":101}\xff"}, {"count", int64_t{3}}});
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const auto parsed = nlohmann::json::parse(line);
  EXPECT_EQ(parsed["event"], 100);
  EXPECT_EQ(parsed["count"], 3);
  EXPECT_EQ(parsed["key"], "a\n{\"event\":101}\xEF\xBF\xBD");
}

TEST(EventsTest, EventGoesToItsFileAsOneLineWithTime) {
  const std::string path = testing::TempDir() + "events_test.log";
  std::remove(path.c_str());
  OpenLog({.file = path, .program = "test"});
  LogEvent(event_id::kListening, {{"address", "127.0.0.1:1"}});
  LogEvent(event_id::kWorkCancelled);  // Below the level.
  const auto parsed = nlohmann::json::parse(ReadFile(path));
  EXPECT_EQ(parsed["address"], "127.0.0.1:1");
  EXPECT_EQ(parsed["time"].get<std::string>().back(), 'Z');
}

}  // namespace
}  // namespace foxtailspread
