#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_HOST_DAEMON_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_HOST_DAEMON_H_

/// @file
/// Connects the decisions of one entry host to its sockets: turns what
/// arrives into events and carries the actions out.

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "admin_pages.h"
#include "foxtailspread/entry_host.h"
#include "foxtailspread/host_settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "peer_transport.h"
#include "platform_client.h"
#include "trace_writer.h"

namespace foxtailspread {

/// One running entry host.
class host_daemon {
 public:
  /// `on_stop` runs when the host has handed everything over.
  host_daemon(const host_settings& settings, std::function<void()> on_stop);
  host_daemon(const host_daemon&) = delete;
  host_daemon& operator=(const host_daemon&) = delete;

  /// Binds the addresses and starts.
  status Start();
  /// Begins the graceful stop.
  void Leave();

 private:
  /// A caller's or another host's request that has no answer yet.
  struct pending_request {
    responder_ptr to;
    std::string body;
    bool internal = false;
  };
  /// An answer's body that waits for the decision about it.
  struct arrived_answer {
    std::string body;
    std::string content_type;
    std::vector<http_header> headers;
  };

  void Route();
  void OnServiceCall(const http_request& request, responder_ptr to);
  void OnMintCall(const http_request& request, responder_ptr to);
  void OnInternalCall(const http_request& request, responder_ptr to);
  uint64_t Keep(responder_ptr to, std::string body, bool internal);
  bool Overloaded(const http_request& request, const responder_ptr& to);

  void Handle(const host_event& event);
  void CarryOut(action_list& actions);
  void Do(const answer_action& action);
  void Do(const attempt_action& action);
  void Do(const cancel_attempt_action& action);
  void Do(const forward_action& action);
  void Do(const cancel_forward_action& action);
  void Do(const grant_action& action);
  void Do(const peer_action& action);
  void Do(const platform_action& action);
  void Do(const log_action& action);
  void Do(const stop_action& action);

  void OnAttemptResult(uint64_t attempt_id, bool keep_body,
                       http_call_result result);
  void OnForwardResult(uint64_t forward_id, http_call_result result);
  void OnGrantResult(const grant_action& order, const http_call_result& result);

  host_settings settings_;
  std::function<void()> on_stop_;
  http_server server_;
  http_client targets_;
  http_client hosts_;
  platform_client platform_;
  std::unique_ptr<peer_transport> peers_;
  std::unique_ptr<entry_host> host_;
  std::unique_ptr<trace_writer> trace_;
  std::unique_ptr<admin_pages> admin_;
  timer tick_;
  uint64_t next_request_ = 1;
  std::unordered_map<uint64_t, pending_request> requests_;
  std::unordered_map<uint64_t, http_call_ptr> attempts_;
  std::unordered_map<uint64_t, http_call_ptr> forwards_;
  std::unordered_map<uint64_t, arrived_answer> answers_;
  bool handling_ = false;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_HOST_DAEMON_H_
