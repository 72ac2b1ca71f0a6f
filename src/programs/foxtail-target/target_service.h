#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAIL_TARGET_TARGET_SERVICE_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAIL_TARGET_TARGET_SERVICE_H_

/// @file
/// The HTTP side of the stand-in target.

#include <map>
#include <utility>
#include <vector>

#include "foxtailspread/target_machine.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace foxtailspread {

/// Serves docs/protocols/TARGET.md with one target_machine in real time.
class target_service {
 public:
  target_service(target_settings settings, int connections);

  http_server& Server() { return server_; }

 private:
  using answer_function = http_answer (target_service::*)(const http_request&);

  void RouteAnswer(const char* prefix, answer_function answer);
  void Handle(const http_handler& handler, const responder_ptr& to);
  http_answer Grant(const http_request& request);
  http_answer DescribeGrant(const http_request& request);
  http_answer GrantOrDescribe(const http_request& request);
  http_answer Health(const http_request& request);
  http_answer Load(const http_request& request);
  http_answer SetFaults(const http_request& request);
  http_answer Runs(const http_request& request);
  void Work(const http_request& request, const responder_ptr& to);
  void AnswerWork(const target_outcome& outcome);
  void Pump();

  target_machine machine_;
  std::map<target_ticket, responder_ptr> callers_;
  std::vector<std::pair<http_handler, responder_ptr>> held_back_;
  timer next_event_;
  http_server server_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAIL_TARGET_TARGET_SERVICE_H_
