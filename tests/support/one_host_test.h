#ifndef FOXTAILSPREAD_TESTS_SUPPORT_ONE_HOST_TEST_H_
#define FOXTAILSPREAD_TESTS_SUPPORT_ONE_HOST_TEST_H_

/// @file
/// One entry host on loopback with sound targets of two services, to which a
/// test adds a target of its own.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "edge/edge_daemon.h"
#include "net/connection_pool.h"
#include "platform/stand_in/fleet.h"
#include "platform/wire.h"
#include "run_until.h"

namespace foxtailspread::testing {

/// `Base` is a fixture of GoogleTest. "reads" may be repeated, "orders" not.
template <typename Base>
class one_host_test : public Base {
 protected:
  void SetUp() override {
    ASSERT_TRUE(fleet_.Start("127.0.0.1:0"));
    platform::edge_settings settings;
    settings.name = "edge-north";
    settings.zone = "north";
    settings.callers = "127.0.0.1:0";
    settings.readiness = "127.0.0.1:0";
    settings.hosts = "127.0.0.1:0";
    settings.store = "127.0.0.1:" + std::to_string(fleet_.store_port());
    settings.memory_mb = 160;
    host_ = std::make_unique<edge_daemon>(settings, [] {});
    ASSERT_TRUE(host_->Start());
  }

  /// Lists a target at `address` among those of the service.
  void AddTarget(const std::string& service, const std::string& id,
                 const std::string& address) {
    const stand_in::platform_target target(
        {.life = {id, 1}, .service = service, .zone = "north"});
    fleet_.store().Put("servers", id, target.Entry(address, 1));
  }

  http_message Call(const std::string& service) {
    http_message request;
    request.method = service == "orders" ? "POST" : "GET";
    request.target = "/x/" + std::to_string(++calls_);
    last_attempt_ = "try-" + std::to_string(calls_);
    request.headers = {{"Host", service + ".example"},
                       {std::string{platform::kAttemptId}, last_attempt_},
                       {std::string{platform::kDeadline}, "1500"}};
    const std::string to = "127.0.0.1:" + std::to_string(host_->callers_port());
    std::optional<call_result> ended;
    callers_.Send({.address = to, .request = FormatRequest(request)},
                  [&](call_result result) { ended = std::move(result); });
    EXPECT_TRUE(RunUntil([&] { return ended.has_value(); }));
    return ended ? ended->answer : http_message{};
  }

  poller events_;
  stand_in::fleet fleet_{events_,
                         {.zones = {"north"},
                          .services = {{"reads", 3, false, true, 1},
                                       {"orders", 3, false, false, 0}}}};
  connection_pool callers_{events_, {}};
  std::unique_ptr<edge_daemon> host_;
  std::string last_attempt_;
  int calls_ = 0;
};

}  // namespace foxtailspread::testing

#endif  // FOXTAILSPREAD_TESTS_SUPPORT_ONE_HOST_TEST_H_
