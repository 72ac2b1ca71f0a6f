#include "foxtailspread/host_settings.h"

#include <array>
#include <set>

#include "core/named_value.h"
#include "foxtailspread/address.h"
#include "foxtailspread/config.h"
#include "foxtailspread/json_reader.h"
#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t kShortestSecret = 16;
constexpr number_bounds<size_t> kMaxBodyBytes{1, size_t{1} << 30};
constexpr number_bounds<int> kMaxInFlight{1, 1'000'000};
constexpr number_bounds<duration> kLease{milliseconds(30), minutes(1)};
constexpr number_bounds<duration> kRenew{milliseconds(10), seconds(20)};
constexpr number_bounds<duration> kDrainReadyLag{milliseconds(0), minutes(5)};
constexpr number_bounds<duration> kDrainLimit{milliseconds(0), minutes(60)};
constexpr int kRenewalsPerLease = 3;

result<log_level> ParseLogLevel(std::string_view text) {
  return ParseByName(
      text, std::array{log_level::kTrace, log_level::kDebug, log_level::kInfo,
                       log_level::kWarn, log_level::kError});
}

void ReadName(object_reader& reader, std::string_view field, std::string& out) {
  reader.Require({field});
  reader.Read(field, out);
  reader.Check(field, CheckName(out));
}

void ReadReachable(object_reader& reader, std::string_view field,
                   std::string& out) {
  reader.Require({field});
  reader.Read(field, out);
  reader.Check(field, CheckReachableAddress(out));
}

void ReadPeer(object_reader& reader, peer_seed& out) {
  ReadName(reader, "name", out.name);
  ReadName(reader, "zone", out.zone);
  ReadReachable(reader, "http", out.http);
  ReadReachable(reader, "peer", out.peer);
}

bool IsWildcard(std::string_view address) {
  const result<socket_address> parsed = ParseAddress(address);
  return parsed &&
         (parsed.value().ip == "0.0.0.0" || parsed.value().ip == "::");
}

/// A host that told others to connect to 0.0.0.0 would send them to
/// themselves; they would see a host that answers with the wrong name.
void ReadListening(object_reader& reader, std::string_view field,
                   std::string_view advertise_field, std::string& listen,
                   std::string& advertise) {
  reader.Require({field});
  reader.Read(field, listen);
  reader.Check(field, CheckListenAddress(listen));
  reader.Read(advertise_field, advertise);
  if (!advertise.empty()) {
    reader.Check(advertise_field, CheckReachableAddress(advertise));
    return;
  }
  if (IsWildcard(listen)) {
    reader.Fail(
        error_code::kMissingField, advertise_field,
        "is missing while " + std::string(field) + " is on all interfaces",
        "give the IP:port by which others reach this host");
  }
  advertise = listen;
}

void ReadSecret(object_reader& reader, host_settings& out) {
  reader.Read("host_secret", out.host_secret);
  reader.Read("host_secret_file", out.host_secret_file);
  if (out.host_secret.empty() == out.host_secret_file.empty()) {
    reader.Fail(error_code::kMissingField, "host_secret",
                "exactly one of host_secret and host_secret_file is needed",
                "give the secret that all hosts of the deployment share");
    return;
  }
  if (!out.host_secret.empty()) {
    reader.Check("host_secret", CheckHostSecret(out.host_secret));
  }
}

void ReadOperators(object_reader& reader, host_settings& out) {
  reader.Read("operator_token_digests", out.operator_token_digests);
  for (const std::string& digest : out.operator_token_digests) {
    reader.Check("operator_token_digests", CheckTokenDigest(digest));
  }
}

void ReadLimits(object_reader& reader, host_limits& out) {
  reader.Read("max_body_bytes", out.max_body_bytes, kMaxBodyBytes);
  reader.Read("max_in_flight", out.max_in_flight, kMaxInFlight);
}

void ReadTiming(object_reader& reader, host_timing& out) {
  reader.ReadMilliseconds("lease_ms", out.lease, kLease);
  reader.ReadMilliseconds("renew_ms", out.renew, kRenew);
  reader.ReadMilliseconds("drain_ready_lag_ms", out.drain_ready_lag,
                          kDrainReadyLag);
  reader.ReadMilliseconds("drain_limit_ms", out.drain_limit, kDrainLimit);
  if (out.renew * kRenewalsPerLease > out.lease) {
    reader.Fail(error_code::kOutOfRange, "renew_ms",
                "is more than a third of lease_ms, so that one lost renewal "
                "could end the lease",
                "lower renew_ms or raise lease_ms");
  }
  if (out.drain_ready_lag > out.drain_limit) {
    reader.Fail(error_code::kOutOfRange, "drain_limit_ms",
                "is below drain_ready_lag_ms, so that requests which the "
                "balancer still sends would be cut off",
                "raise drain_limit_ms");
  }
}

void ReadLog(object_reader& reader, host_log& out) {
  reader.ReadWord("level", out.level, ParseLogLevel);
  reader.Read("file", out.file);
}

void ReadIdentity(object_reader& reader, host_settings& out) {
  ReadName(reader, "name", out.name);
  ReadName(reader, "zone", out.zone);
  ReadName(reader, "deployment", out.deployment);
  ReadListening(reader, "listen", "advertise", out.listen, out.advertise);
  ReadListening(reader, "peer_listen", "peer_advertise", out.peer_listen,
                out.peer_advertise);
  ReadReachable(reader, "platform", out.platform);
}

void CheckPeers(object_reader& reader, const host_settings& settings) {
  std::set<std::string> seen{settings.name};
  for (size_t i = 0; i < settings.peers.size(); ++i) {
    const std::string& name = settings.peers[i].name;
    if (!seen.insert(name).second) {
      reader.Fail(error_code::kDuplicateName,
                  "peers[" + std::to_string(i) + "].name",
                  Quoted(name) + " is this host or an earlier peer",
                  "list each other host once");
    }
  }
}

}  // namespace

std::string_view ToString(log_level value) {
  switch (value) {
    case log_level::kTrace:
      return "trace";
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarn:
      return "warn";
    case log_level::kError:
      return "error";
  }
  return "unknown";
}

status CheckHostSecret(std::string_view secret) {
  if (secret.size() >= kShortestSecret) {
    return OkStatus();
  }
  return error{error_code::kOutOfRange, "", "is too short to be a secret",
               "use at least " + std::to_string(kShortestSecret) +
                   " characters, for instance from openssl rand -hex 16"};
}

result<host_settings> ParseHostSettings(std::string_view text) {
  const result<nlohmann::json> document = ParseJson(text);
  if (!document) {
    return document.error();
  }
  host_settings settings;
  object_reader reader(document.value());
  ReadIdentity(reader, settings);
  reader.ReadList("peers", [&settings](object_reader& item) {
    ReadPeer(item, settings.peers.emplace_back());
  });
  ReadSecret(reader, settings);
  ReadOperators(reader, settings);
  reader.ReadObject("limits", [&settings](object_reader& nested) {
    ReadLimits(nested, settings.limits);
  });
  reader.ReadObject("timing", [&settings](object_reader& nested) {
    ReadTiming(nested, settings.timing);
  });
  reader.ReadObject("log", [&settings](object_reader& nested) {
    ReadLog(nested, settings.log);
  });
  reader.Read("trace_file", settings.trace_file);
  CheckPeers(reader, settings);
  if (const status read = reader.Finish(); !read) {
    return read.error();
  }
  return settings;
}

}  // namespace foxtailspread
