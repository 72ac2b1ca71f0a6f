#include "net/stand_in.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include "net/log.h"
#include "net/loop.h"

namespace foxtailspread {
namespace {

constexpr duration kDrainCheck{std::chrono::milliseconds{20}};

}  // namespace

int ServeUntilStopped(http_server& server, std::string_view address) {
  event_loop loop;
  const result<std::string> bound = server.Listen(address);
  if (!bound) {
    LogEvent(event_id::kListenFailed, {{"reason", bound.error().Message()}});
    return EXIT_FAILURE;
  }
  timer finish;
  loop.OnStopRequest([&](stop_request how) {
    LogEvent(event_id::kStopRequested);
    if (how == stop_request::kImmediate) {
      loop.Stop();
      return;
    }
    server.Drain();
    finish = RunEvery(kDrainCheck, [&] {
      if (server.RequestsInFlight() == 0) {
        loop.Stop();
      }
    });
  });
  LogEvent(event_id::kListening, {{"address", bound.value()}});
  std::printf("listening %s\n", bound.value().c_str());
  std::fflush(stdout);
  loop.Run();
  LogEvent(event_id::kStopped);
  return EXIT_SUCCESS;
}

}  // namespace foxtailspread
