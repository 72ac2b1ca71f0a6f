#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAIL_PLATFORM_PLATFORM_SERVICE_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAIL_PLATFORM_PLATFORM_SERVICE_H_

/// @file
/// The HTTP side of the stand-in platform.

#include <map>

#include "foxtailspread/object_store.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace foxtailspread {

/// Rates and lags of the platform.
struct platform_settings {
  double write_rate = 300;
  double read_rate = 2000;
  duration hosts_lag{0};
};

/// Serves docs/protocols/PLATFORM.md with one object_store in real time.
class platform_service {
 public:
  explicit platform_service(const platform_settings& settings);

  http_server& Server() { return server_; }

 private:
  using call_function = void (platform_service::*)(const http_request&,
                                                   const responder_ptr&);
  using admin_function = http_answer (platform_service::*)(const http_request&);

  struct waiting_watch {
    responder_ptr to;
    uint64_t since;
  };

  void RouteCall(const char* prefix, call_function call);
  void RouteAdmin(const char* prefix, admin_function call);
  bool Admit(call_kind kind, const responder_ptr& to);
  void Objects(const http_request& request, const responder_ptr& to);
  void Get(std::string_view key, const responder_ptr& to);
  void Put(std::string_view key, const http_request& request,
           const responder_ptr& to);
  void Remove(std::string_view key, const http_request& request,
              const responder_ptr& to);
  http_answer DescribeWrite(std::string_view key,
                            const write_outcome& outcome) const;
  void AnswerWrite(std::string_view key, const write_outcome& outcome,
                   const responder_ptr& to);
  void Changes(const http_request& request, const responder_ptr& to);
  void AnswerChanges(uint64_t since, const responder_ptr& to);
  void Hosts(const http_request& request, const responder_ptr& to);
  http_answer Calls(const http_request& request);
  http_answer SetFaults(const http_request& request);
  http_answer PutHost(const http_request& request);
  void Answer(const responder_ptr& to, http_answer answer);
  void AnswerDueWatches();

  object_store store_;
  watch_list watches_;
  call_meter meter_;
  host_list hosts_;
  platform_faults faults_;
  std::map<watch_ticket, waiting_watch> waiting_;
  std::map<uint64_t, timer> delayed_;  // Answers held back by slow_ms.
  uint64_t last_delayed_ = 0;
  timer next_watch_;
  http_server server_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAIL_PLATFORM_PLATFORM_SERVICE_H_
