#include "load/checker.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace foxtailspread {
namespace {

constexpr size_t kMostShown = 20;

using runs_by_sum =
    std::unordered_map<uint64_t, std::vector<const observed_run*>>;

time_point AtMicroseconds(int64_t value) { return time_point(duration(value)); }

observed_run RunFromJson(std::string_view target, const nlohmann::json& json) {
  observed_run seen;
  seen.target = target;
  seen.run.attempt = json.at("attempt").get<std::string>();
  seen.run.key = json.at("key").get<std::string>();
  seen.run.range = json.at("range").get<std::string>();
  seen.run.epoch = json.at("epoch").get<uint64_t>();
  seen.run.bucket = json.at("bucket").get<int>();
  seen.run.body_sum = json.at("body_sum").get<uint64_t>();
  seen.run.started = AtMicroseconds(json.at("started_us").get<int64_t>());
  seen.run.ended = AtMicroseconds(json.at("ended_us").get<int64_t>());
  return seen;
}

std::string Describe(const observed_run& seen) {
  return seen.target + " at " +
         std::to_string(seen.run.started.time_since_epoch().count()) +
         " us (attempt " + seen.run.attempt + ", epoch " +
         std::to_string(seen.run.epoch) + ")";
}

std::string Describe(const request_record& request) {
  return request.service + " key " + request.key + " body " +
         std::to_string(request.body_sum);
}

class run_checker {
 public:
  run_checker(std::span<const observed_run> runs, bool all_targets_read)
      : all_targets_read_(all_targets_read) {
    for (const observed_run& seen : runs) {
      by_sum_[seen.run.body_sum].push_back(&seen);
    }
  }

  void CheckRequest(const request_record& request) {
    const auto found = by_sum_.find(request.body_sum);
    const std::span<const observed_run* const> runs =
        found == by_sum_.end() ? std::span<const observed_run* const>()
                               : found->second;
    CheckSecondRun(request, runs);
    CheckNotRun(request, runs);
    CheckDone(request, runs);
    CheckOrder(request);
    for (const std::string& foreign : request.foreign_answers) {
      Add(violation_kind::kForeignAnswer, Describe(request) + ": " + foreign);
    }
  }

  // Sorted by start, a run overlaps an earlier one of another target if and
  // only if the latest end among the other targets lies after its start.
  void CheckOwners(std::span<const observed_run> runs) {
    std::map<std::pair<std::string, int>, std::vector<const observed_run*>>
        buckets;
    for (const observed_run& seen : runs) {
      if (seen.run.bucket >= 0) {
        buckets[{seen.run.range, seen.run.bucket}].push_back(&seen);
      }
    }
    for (auto& [bucket, of_bucket] : buckets) {
      std::ranges::sort(of_bucket, {}, [](const observed_run* seen) {
        return seen->run.started;
      });
      CheckOwnersOf(of_bucket);
    }
  }

  std::vector<violation> Take() { return std::move(violations_); }

 private:
  void Add(violation_kind kind, std::string text) {
    violations_.push_back({kind, std::move(text)});
  }

  void CheckSecondRun(const request_record& request,
                      std::span<const observed_run* const> runs) {
    if (request.at_most_once && runs.size() > 1) {
      Add(violation_kind::kSecondRun, Describe(request) + " began on " +
                                          Describe(*runs[0]) + " and on " +
                                          Describe(*runs[1]));
    }
  }

  // A `not run` may be followed by a resend that runs. It was false if a run
  // had begun when it arrived, or if it was the last word and a run began
  // afterwards.
  void CheckNotRun(const request_record& request,
                   std::span<const observed_run* const> runs) {
    for (const answer_record& answer : request.answers) {
      if (answer.outcome != action_outcome::kNotRun) {
        continue;
      }
      const bool is_last = &answer == &request.answers.back();
      for (const observed_run* seen : runs) {
        if (is_last || seen->run.started <= answer.at) {
          Add(violation_kind::kFalseNotRun,
              Describe(request) + " began on " + Describe(*seen));
          return;
        }
      }
    }
  }

  void CheckDone(const request_record& request,
                 std::span<const observed_run* const> runs) {
    const bool said_done =
        std::ranges::any_of(request.answers, [](const answer_record& answer) {
          return answer.outcome == action_outcome::kDone;
        });
    if (said_done && runs.empty() && all_targets_read_) {
      Add(violation_kind::kDoneWithoutRun, Describe(request));
    }
  }

  void CheckOrder(const request_record& request) {
    bool unknown_said = false;
    for (const answer_record& answer : request.answers) {
      unknown_said |= answer.said && answer.outcome == action_outcome::kUnknown;
      if (unknown_said && answer.outcome == action_outcome::kNotRun &&
          request.at_most_once) {
        Add(violation_kind::kNotRunAfterUnknown, Describe(request));
        return;
      }
    }
  }

  // A run that was cut off has no end; it counts as one moment.
  static time_point EndOf(const observed_run& seen) {
    return std::max(seen.run.started, seen.run.ended);
  }

  void CheckOwnersOf(std::span<const observed_run* const> of_bucket) {
    const observed_run* latest = nullptr;
    const observed_run* latest_elsewhere = nullptr;  // than latest's target
    for (const observed_run* seen : of_bucket) {
      const observed_run* other =
          latest != nullptr && latest->target != seen->target
              ? latest
              : latest_elsewhere;
      if (other != nullptr && EndOf(*other) > seen->run.started) {
        Add(violation_kind::kOwnerOverlap,
            seen->run.range + " bucket " + std::to_string(seen->run.bucket) +
                ": " + Describe(*seen) + " while " + Describe(*other));
        return;
      }
      if (latest == nullptr || EndOf(*seen) >= EndOf(*latest)) {
        latest_elsewhere = other;
        latest = seen;
      } else if (other == latest) {
        latest_elsewhere = latest_elsewhere == nullptr ||
                                   EndOf(*seen) > EndOf(*latest_elsewhere)
                               ? seen
                               : latest_elsewhere;
      }
    }
  }

  bool all_targets_read_;
  runs_by_sum by_sum_;
  std::vector<violation> violations_;
};

}  // namespace

std::string_view ToString(violation_kind kind) {
  switch (kind) {
    case violation_kind::kSecondRun:
      return "second-run";
    case violation_kind::kFalseNotRun:
      return "false-not-run";
    case violation_kind::kNotRunAfterUnknown:
      return "not-run-after-unknown";
    case violation_kind::kDoneWithoutRun:
      return "done-without-run";
    case violation_kind::kForeignAnswer:
      return "foreign-answer";
    case violation_kind::kOwnerOverlap:
      return "owner-overlap";
  }
  return "unknown";
}

result<std::vector<observed_run>> ParseRuns(std::string_view target,
                                            std::string_view text) {
  try {
    std::vector<observed_run> runs;
    const nlohmann::json json = nlohmann::json::parse(text);
    for (const nlohmann::json& item : json.at("runs")) {
      runs.push_back(RunFromJson(target, item));
    }
    return runs;
  } catch (const nlohmann::json::exception& e) {
    return error{error_code::kMalformed, std::string(target), e.what(),
                 "check that the address is that of a stand-in target"};
  }
}

std::string FindForeignAnswer(std::string_view body, std::string_view key,
                              uint64_t body_sum) {
  const nlohmann::json json =
      nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return "the answer is not whole: " + std::string(body.substr(0, 80));
  }
  if (json.value("key", nlohmann::json()) != key) {
    return "the answer is for another key: " + std::string(body.substr(0, 200));
  }
  if (json.value("sum", nlohmann::json()) != body_sum) {
    return "the answer is for another body: " +
           std::string(body.substr(0, 200));
  }
  return "";
}

check_report CheckRuns(std::span<const request_record> requests,
                       std::span<const observed_run> runs,
                       std::vector<std::string> unread_targets) {
  check_report report;
  report.requests = requests.size();
  report.runs = runs.size();
  report.unread_targets = std::move(unread_targets);
  run_checker checker(runs, report.unread_targets.empty());
  for (const request_record& request : requests) {
    report.actions += request.at_most_once ? 1 : 0;
    checker.CheckRequest(request);
  }
  checker.CheckOwners(runs);
  report.violations = checker.Take();
  return report;
}

nlohmann::json CheckToJson(const check_report& report) {
  nlohmann::json violations = nlohmann::json::array();
  for (const violation& v : report.violations) {
    violations.push_back({{"kind", ToString(v.kind)}, {"text", v.text}});
  }
  return {{"requests", report.requests},
          {"actions", report.actions},
          {"runs", report.runs},
          {"unread_targets", report.unread_targets},
          {"violations", std::move(violations)}};
}

std::string CheckToText(const check_report& report) {
  std::string text =
      "check: " + std::to_string(report.requests) + " requests, " +
      std::to_string(report.actions) + " of them actions, against " +
      std::to_string(report.runs) +
      " runs: " + std::to_string(report.violations.size()) + " violations\n";
  for (const std::string& target : report.unread_targets) {
    text += "  incomplete: the log of " + target + " could not be read whole\n";
  }
  const size_t shown = std::min(report.violations.size(), kMostShown);
  for (size_t i = 0; i < shown; ++i) {
    const violation& v = report.violations[i];
    text += "  " + std::string(ToString(v.kind)) + ": " + v.text + '\n';
  }
  if (shown < report.violations.size()) {
    text += "  and " + std::to_string(report.violations.size() - shown) +
            " more (see --json)\n";
  }
  return text;
}

}  // namespace foxtailspread
