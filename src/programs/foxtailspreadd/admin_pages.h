#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_ADMIN_PAGES_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_ADMIN_PAGES_H_

/// @file
/// What operators and the balancer may read of an entry host over HTTP.

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "foxtailspread/burn.h"
#include "foxtailspread/entry_host.h"
#include "foxtailspread/host_settings.h"
#include "foxtailspread/metrics.h"
#include "net/http_server.h"

namespace foxtailspread {

/// The pages under /admin, /ready and /health, and what an organisation may
/// read of itself under /v1/burn and /v1/metrics.
class admin_pages {
 public:
  /// Both must outlive the pages.
  admin_pages(const entry_host& host, const host_settings& settings);

  void Route(http_server& server);

  /// Counts one ended request.
  void Count(const request_report& report, time_point now);

 private:
  /// What an organisation reads of its own: burn and metrics.
  void Own(const http_request& request, const responder_ptr& to) const;
  void Admin(const http_request& request, const responder_ptr& to);
  bool Authorised(const http_request& request) const;
  nlohmann::json Status() const;
  nlohmann::json Ownership() const;
  nlohmann::json Hosts() const;

  const entry_host& host_;
  const host_settings& settings_;
  burn_ledger burn_;
  metric_registry metrics_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_ADMIN_PAGES_H_
