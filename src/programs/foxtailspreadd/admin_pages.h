#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_ADMIN_PAGES_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_ADMIN_PAGES_H_

/// @file
/// What operators and the balancer may read of an entry host over HTTP.

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "foxtailspread/entry_host.h"
#include "foxtailspread/host_settings.h"
#include "net/http_server.h"

namespace foxtailspread {

/// The pages under /admin, and /ready and /health.
class admin_pages {
 public:
  /// Both must outlive the pages.
  admin_pages(const entry_host& host, const host_settings& settings);

  void Route(http_server& server);

 private:
  void Admin(const http_request& request, const responder_ptr& to);
  bool Authorised(const http_request& request) const;
  nlohmann::json Status() const;
  nlohmann::json Ownership() const;
  nlohmann::json Hosts() const;

  const entry_host& host_;
  const host_settings& settings_;
};

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_ADMIN_PAGES_H_
