#include <gio/gio.h>
#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/loop.h"

namespace foxtailspread {
namespace {

using nlohmann::json;

constexpr int kNoExit = -1;

// The program against a server that plays an entry host and a target in one:
// it "runs" each action it is sent and keeps the log of that.
class LoadProgramTest : public ::testing::Test {
 protected:
  using work_handler =
      std::function<void(const http_request&, const responder_ptr&)>;

  void SetUp() override {
    server_.Route(
        "/v1/actions", [this](const http_request&, const responder_ptr& to) {
          const std::string action = "fa1.minted-" + std::to_string(minted_++);
          to->Answer({.body = json({{"action", action}}).dump()});
        });
    server_.Route("/v1/services/", [this](const http_request& request,
                                          const responder_ptr& to) {
      actions_.emplace_back(request.Header("Foxtail-Action").value_or(""));
      work_(request, to);
    });
    server_.Route("/admin/runs",
                  [this](const http_request&, const responder_ptr& to) {
                    to->Answer({.body = json({{"runs", runs_}}).dump()});
                  });
    address_ = server_.Listen("127.0.0.1:0").value();
  }

  static uint64_t SumOf(const http_request& request) {
    return XXH3_64bits(request.Body().data(), request.Body().size());
  }

  void LogRun(const http_request& request) {
    const int64_t now = Now().time_since_epoch().count();
    runs_.push_back({{"attempt", std::to_string(runs_.size())},
                     {"key", "key-0"},
                     {"range", "r"},
                     {"epoch", 1},
                     {"bucket", -1},
                     {"body_sum", SumOf(request)},
                     {"started_us", now},
                     {"ended_us", now}});
  }

  static void Answer(const http_request& request, const responder_ptr& to,
                     std::string_view outcome) {
    to->Answer(
        {.body = json({{"key", "key-0"}, {"sum", SumOf(request)}}).dump(),
         .headers = {{"Foxtail-Outcome", std::string(outcome)},
                     {"Foxtail-Next-Action", "fa1.next"}}});
  }

  // Runs the program for some requests and returns its exit status. The port
  // in the file's name keeps tests that run beside each other apart.
  int Run(const std::vector<std::string>& options = {"--check"}) {
    const std::string path = ::testing::TempDir() + "/load-" +
                             address_.substr(address_.find(':') + 1) + ".json";
    const json host = json::array({address_});
    const json organisation{{"name", "shop"}, {"token", "t"}};
    const json target{
        {"name", "t1"}, {"address", address_}, {"service", "orders"}};
    const json stream{{"organisation", "shop"},
                      {"service", "orders"},
                      {"rate", 50},
                      {"keys", 1},
                      {"at_most_once", true},
                      {"deadline_ms", 10000}};
    std::ofstream(path) << json({{"length_ms", 100},
                                 {"max_in_flight", 1},
                                 {"entry_hosts", host},
                                 {"organisations", {organisation}},
                                 {"targets", {target}},
                                 {"streams", {stream}},
                                 {"retries", {{"wait_ms", 1}}}});
    std::vector<const char*> argv{PROGRAM_DIR "/foxtail-load", path.c_str()};
    for (const std::string& option : options) {
      argv.push_back(option.c_str());
    }
    argv.push_back(nullptr);
    const gobject_ptr<GSubprocess> process{g_subprocess_newv(
        argv.data(),
        static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_SILENCE |
                                      G_SUBPROCESS_FLAGS_STDERR_SILENCE),
        nullptr)};
    bool ended = false;
    g_subprocess_wait_async(
        process.get(), nullptr,
        [](GObject*, GAsyncResult*, gpointer flag) {
          *static_cast<bool*>(flag) = true;
        },
        &ended);
    while (!ended) {
      g_main_context_iteration(nullptr, TRUE);
    }
    std::filesystem::remove(path);
    return g_subprocess_get_if_exited(process.get())
               ? g_subprocess_get_exit_status(process.get())
               : kNoExit;
  }

  http_server server_;
  std::string address_;
  std::vector<json> runs_;
  std::vector<std::string> actions_;
  int minted_ = 0;
  work_handler work_ = [this](const http_request& request,
                              const responder_ptr& to) {
    LogRun(request);
    Answer(request, to, "done");
  };
};

TEST_F(LoadProgramTest, SoundDeploymentPassesAndIdentifiersAreTakenUp) {
  EXPECT_EQ(Run(), 0);
  ASSERT_FALSE(actions_.empty());
  EXPECT_EQ(actions_.front(), "fa1.minted-0");
  // One request at a time, so each later one finds an identifier kept.
  EXPECT_EQ(std::ranges::count(actions_, "fa1.next"),
            static_cast<std::ptrdiff_t>(actions_.size()) - 1);
}

// Two hosts each hand one action to a target. The load run is where this must
// come to light, before a storefront pays twice.
TEST_F(LoadProgramTest, SecondRunMakesTheCheckFail) {
  work_ = [this](const http_request& request, const responder_ptr& to) {
    LogRun(request);
    LogRun(request);
    Answer(request, to, "done");
  };
  EXPECT_EQ(Run(), 1);
}

TEST_F(LoadProgramTest, FalseNotRunMakesTheCheckFail) {
  work_ = [this](const http_request& request, const responder_ptr& to) {
    LogRun(request);
    Answer(request, to, "not-run");
  };
  EXPECT_EQ(Run(), 1);
}

// An entry host is lost before it answers. A caller sends the action again
// with the same identifier; with another it would be a second order.
TEST_F(LoadProgramTest, BrokenConnectionIsFollowedByTheSameIdentifier) {
  work_ = [this](const http_request& request, const responder_ptr& to) {
    if (actions_.size() == 1) {
      to->Abort();
      return;
    }
    LogRun(request);
    Answer(request, to, "done");
  };
  EXPECT_EQ(Run(), 0);
  ASSERT_GE(actions_.size(), 2U);
  EXPECT_EQ(std::ranges::count(actions_, actions_.front()), 2);
}

TEST_F(LoadProgramTest, UnreadableLogIsSaidToBeIncomplete) {
  server_.Route("/admin/runs",
                [](const http_request&, const responder_ptr& to) {
                  to->Answer({.status = 404, .body = "{}"});
                });
  EXPECT_EQ(Run(), 3);
}

TEST_F(LoadProgramTest, UnknownOptionIsBadInput) {
  EXPECT_EQ(Run({"--chekc"}), 2);
}

}  // namespace
}  // namespace foxtailspread
