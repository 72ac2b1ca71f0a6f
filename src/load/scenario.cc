#include "load/scenario.h"

#include <algorithm>

#include "foxtailspread/json_reader.h"
#include "foxtailspread/nearest_name.h"

namespace foxtailspread {
namespace {

constexpr duration kNoTime{0};
constexpr duration kLongestRun{std::chrono::hours{1}};
constexpr duration kShortest{1};
constexpr double kHighestRate = 100'000;
constexpr double kHighestFactor = 100;
constexpr double kHighestSkew = 4;
constexpr double kHighestTarget = 0.99999;
constexpr int kMostKeys = 10'000'000;
constexpr int kMostInFlight = 200'000;
constexpr int kMostResends = 20;

void ReadOrganisation(object_reader& reader, load_organisation& out) {
  reader.Require({"name", "token"});
  reader.Read("name", out.name);
  reader.Read("token", out.token);
}

void ReadTarget(object_reader& reader, load_target& out) {
  reader.Require({"name", "address", "service"});
  reader.Read("name", out.name);
  reader.Read("address", out.address);
  reader.Read("service", out.service);
}

void ReadPhase(object_reader& reader, load_phase& out) {
  reader.Require({"from_ms", "until_ms", "rate_factor"});
  reader.ReadMilliseconds("from_ms", out.from, {kNoTime, kLongestRun});
  reader.ReadMilliseconds("until_ms", out.until, {kNoTime, kLongestRun});
  reader.Read("rate_factor", out.rate_factor, {0.0, kHighestFactor});
  if (out.until <= out.from) {
    reader.Fail(error_code::kOutOfRange, "until_ms",
                "the phase ends before it begins",
                "use a time later than from_ms");
  }
}

void ReadPoison(object_reader& reader, load_poison& out) {
  reader.Require({"text"});
  reader.Read("text", out.text);
  reader.ReadMilliseconds("at_ms", out.at, {kNoTime, kLongestRun});
}

void ReadKeys(object_reader& reader, load_stream& out) {
  reader.Read("keys", out.keys, {1, kMostKeys});
  reader.Read("key_prefix", out.key_prefix);
  reader.Read("zipf", out.zipf, {0.0, kHighestSkew});
  reader.Read("hot_keys", out.hot_keys, {0, kMostKeys});
  reader.Read("hot_part", out.hot_part, {0.0, 1.0});
  reader.ReadMilliseconds("hot_move_ms", out.hot_move, {kNoTime, kLongestRun});
  if (out.hot_keys > out.keys) {
    reader.Fail(error_code::kOutOfRange, "hot_keys",
                "there are fewer keys than hot ones", "raise keys");
  }
}

void ReadUrgency(object_reader& reader, load_stream& out) {
  reader.Read("urgent", out.urgent, {0.0, 1.0});
  reader.Read("archive", out.archive, {0.0, 1.0});
  if (out.urgent + out.archive > 1) {
    reader.Fail(error_code::kOutOfRange, "archive",
                "the parts of urgent and archive exceed the whole",
                "let them add up to at most 1");
  }
}

void ReadStream(object_reader& reader, load_stream& out) {
  reader.Require({"organisation", "service", "rate"});
  reader.Read("organisation", out.organisation);
  reader.Read("service", out.service);
  reader.Read("rate", out.rate, {0.0, kHighestRate});
  ReadKeys(reader, out);
  ReadUrgency(reader, out);
  reader.ReadMilliseconds("deadline_ms", out.deadline,
                          {kShortest, kLongestRun});
  reader.Read("at_most_once", out.at_most_once);
  reader.Read("caller_made_actions", out.caller_made_actions);
  reader.ReadMilliseconds("work_ms", out.work, {kNoTime, kLongestRun});
  reader.ReadMilliseconds("objective_ms", out.objective,
                          {kShortest, kLongestRun});
  reader.Read("objective_target", out.objective_target, {0.0, kHighestTarget});
  reader.ReadObject("poison", [&out](object_reader& poison) {
    ReadPoison(poison, out.poison);
  });
}

void ReadRetries(object_reader& reader, load_retries& out) {
  reader.Read("resends", out.resends, {0, kMostResends});
  reader.ReadMilliseconds("wait_ms", out.wait, {kNoTime, kLongestRun});
  reader.Read("honour_retry_after", out.honour_retry_after);
  reader.ReadMilliseconds("timeout_slack_ms", out.timeout_slack,
                          {kNoTime, kLongestRun});
}

template <typename T, typename Read>
void ReadItems(object_reader& reader, std::string_view name,
               std::vector<T>& out, const Read& read) {
  reader.ReadList(name, [&](object_reader& item) {
    out.emplace_back();
    read(item, out.back());
  });
}

// A stream of an organisation that is not listed would be sent without its
// token and only show refusals, which look like a fault of the system.
void CheckNames(const load_scenario& scenario, object_reader& reader) {
  std::vector<std::string> known;
  for (const load_organisation& organisation : scenario.organisations) {
    known.push_back(organisation.name);
  }
  for (size_t i = 0; i < scenario.streams.size(); ++i) {
    const std::string& name = scenario.streams[i].organisation;
    if (std::ranges::find(known, name) == known.end()) {
      reader.Fail(error_code::kUnknownName,
                  "streams[" + std::to_string(i) + "].organisation",
                  Quoted(name) + " is not among the organisations",
                  KnownNameRemedy(name, known));
    }
  }
}

void CheckNotEmpty(size_t count, std::string_view name, object_reader& reader) {
  if (count == 0) {
    reader.Fail(error_code::kMissingField, name, "the list is empty",
                "add at least one entry");
  }
}

}  // namespace

const load_organisation& load_scenario::Organisation(
    std::string_view name) const {
  return *std::ranges::find(organisations, name, &load_organisation::name);
}

double load_scenario::RateFactor(duration since) const {
  double factor = 1;
  for (const load_phase& phase : phases) {
    if (since >= phase.from && since < phase.until) {
      factor *= phase.rate_factor;
    }
  }
  return factor;
}

result<load_scenario> ParseScenario(std::string_view text) {
  const result<nlohmann::json> value = ParseJson(text);
  if (!value) {
    return value.error();
  }
  load_scenario out;
  object_reader reader(value.value());
  reader.Require({"entry_hosts", "organisations", "streams"});
  reader.Read("seed", out.seed);
  reader.ReadMilliseconds("length_ms", out.length, {kShortest, kLongestRun});
  reader.Read("max_in_flight", out.max_in_flight, {1, kMostInFlight});
  reader.Read("entry_hosts", out.entry_hosts);
  ReadItems(reader, "organisations", out.organisations, ReadOrganisation);
  ReadItems(reader, "targets", out.targets, ReadTarget);
  ReadItems(reader, "streams", out.streams, ReadStream);
  ReadItems(reader, "phases", out.phases, ReadPhase);
  reader.ReadObject("retries", [&out](object_reader& retries) {
    ReadRetries(retries, out.retries);
  });
  CheckNotEmpty(out.entry_hosts.size(), "entry_hosts", reader);
  CheckNotEmpty(out.streams.size(), "streams", reader);
  CheckNames(out, reader);
  if (const status done = reader.Finish(); !done) {
    return done.error();
  }
  return out;
}

}  // namespace foxtailspread
