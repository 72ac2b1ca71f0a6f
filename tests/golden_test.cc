#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "foxtailspread/declarations.h"
#include "foxtailspread/trace.h"
#include "program_runner.h"
#include "support/virtual_deployment.h"

// Whole sessions in virtual time, compared with the committed files of
// tests/golden. After an intended change, FOXTAIL_REWRITE_GOLDEN=1 in the
// environment writes them anew; the difference belongs into the review.
namespace foxtailspread {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::call_options;
using testing::deployment_options;
using testing::SmallConfig;
using testing::virtual_deployment;

constexpr char kRewrite[] = "FOXTAIL_REWRITE_GOLDEN";

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

fs::path GoldenPath(const std::string& name) {
  return fs::path(PROJECT_DIR) / "tests" / "golden" / name;
}

void ExpectGolden(const std::string& name, const std::string& text) {
  if (std::getenv(kRewrite) != nullptr) {
    std::ofstream(GoldenPath(name)) << text;
    return;
  }
  EXPECT_EQ(ReadFile(GoldenPath(name)), text);
}

deployment_config LoadExample(const std::string& name) {
  const fs::path root = fs::path(PROJECT_DIR) / "examples" / name;
  std::vector<declaration_file> files;
  for (const auto& entry : fs::recursive_directory_iterator(root)) {
    if (entry.is_regular_file()) {
      files.push_back(
          {fs::relative(entry.path(), root).string(), ReadFile(entry.path())});
    }
  }
  const auto merged = MergeDeclarations(files);
  EXPECT_TRUE(merged) << merged.error().Message();
  return merged.value();
}

/// The parts of a session's traffic.
struct day_part {
  std::string preset;
  duration pause{0};  ///< Between two calls.
  int calls = 0;
  bool drain_one = false;  ///< A target is drained meanwhile.
};

/// Sends the organisations' calls of one part through all hosts in turn.
void RunPart(virtual_deployment& world, deployment_config& config,
             const day_part& part) {
  if (config.preset != part.preset) {
    config.preset = part.preset;
    world.Apply(config);
    world.RunFor(seconds{1});
  }
  if (part.drain_one) {
    world.Drain(config.services[0].targets[0].name);
    world.RunFor(milliseconds{200});
  }
  const std::vector<std::string> hosts = world.HostNames();
  for (int i = 0; i < part.calls; ++i) {
    const auto& organisation =
        config.organisations[i % config.organisations.size()];
    const auto& services = organisation.services;
    const std::string& service =
        services[i / config.organisations.size() % services.size()];
    const std::string& host = hosts[i % hosts.size()];
    call_options call;
    call.token = "dev-" + organisation.name + "-token";
    call.body = part.preset + " " + std::to_string(i);
    if (config.FindService(service)->at_most_once) {
      call.action = world.Mint(host, service, call.token);
    }
    if (i % 7 == 6) {
      call.urgency = "archive";
    }
    world.Call(host, service, "key-" + std::to_string(i % 23), call);
    world.RunFor(part.pause);
  }
  world.RunFor(seconds{2});
}

class GoldenTest : public ::testing::TestWithParam<std::string> {};

INSTANTIATE_TEST_SUITE_P(Deployments, GoldenTest,
                         ::testing::Values("vlahovic", "prairie"),
                         [](const auto& info) { return info.param; });

TEST_P(GoldenTest, DayWithPeakAndMaintenanceGoesAsRecorded) {
  deployment_options options;
  options.config = LoadExample(GetParam());
  options.keep_traces = false;
  virtual_deployment world(options);
  world.RunFor(seconds{2});
  deployment_config config = options.config;
  RunPart(world, config, {"everyday", milliseconds{20}, 150});
  RunPart(world, config, {"peak", milliseconds{1}, 300});
  RunPart(world, config, {"maintenance", milliseconds{20}, 150, true});
  EXPECT_EQ(world.Violations(), "");
  ExpectGolden(GetParam() + ".transcript", world.Transcript());
}

class GoldenTraceTest : public ::testing::Test {
 protected:
  static std::string Record() {
    deployment_options options;
    options.config = SmallConfig(1, true);
    options.hosts_per_zone = 2;
    virtual_deployment world(options);
    world.RunFor(milliseconds{1500});
    for (int i = 0; i < 8; ++i) {
      world.Call("zone1-1", "history", "house-" + std::to_string(i));
      world.Call("zone1-1", "unknown", "house");
    }
    world.RunFor(milliseconds{200});
    return world.TraceOf("zone1-1");
  }
};

TEST_F(GoldenTraceTest, RecordedHostIsReplayedBitForBit) {
  ExpectGolden("host.trace", Record());
  const action_secret secret{"secret-of-the-tests", nullptr};
  const auto report = ReplayTrace(ReadFile(GoldenPath("host.trace")), secret);
  ASSERT_TRUE(report) << report.error().Message();
  EXPECT_TRUE(report.value().differences.empty());
  EXPECT_EQ(report.value().answers, 16u);
}

}  // namespace
}  // namespace foxtailspread
