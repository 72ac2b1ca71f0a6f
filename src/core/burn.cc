#include "foxtailspread/burn.h"

#include <algorithm>

namespace foxtailspread {
namespace {

constexpr double kDefaultObjectiveTarget = 0.99;
constexpr size_t kRingSize = kBurnLongWindow / kBurnInterval;

int64_t IntervalNumber(time_point now) {
  return now.time_since_epoch() / kBurnInterval;
}

void AddCounts(const burn_counts& from, burn_counts& to) {
  to.good += from.good;
  to.total += from.total;
}

nlohmann::json WindowToJson(const burn_counts& counts, double target) {
  return {{"good", counts.good},
          {"total", counts.total},
          {"burn_rate", BurnRate(counts, target)}};
}

burn_counts WindowFromJson(const nlohmann::json& json) {
  return {json.at("good").get<uint64_t>(), json.at("total").get<uint64_t>()};
}

burn_row RowFromJson(const nlohmann::json& json) {
  burn_row row;
  row.organisation = json.at("organisation").get<std::string>();
  row.service = json.at("service").get<std::string>();
  row.target = json.at("target").get<double>();
  row.short_window = WindowFromJson(json.at("short_window"));
  row.long_window = WindowFromJson(json.at("long_window"));
  return row;
}

}  // namespace

double BurnRate(const burn_counts& counts, double target) {
  if (counts.total == 0) {
    return 0;
  }
  const auto bad = static_cast<double>(counts.total - counts.good);
  return bad / static_cast<double>(counts.total) / (1 - target);
}

double BudgetLeft(const burn_counts& counts, double target) {
  return 1 - BurnRate(counts, target);
}

std::vector<burn_row> MergeBurn(std::span<const std::vector<burn_row>> hosts) {
  std::map<std::pair<std::string, std::string>, burn_row> merged;
  for (const std::vector<burn_row>& rows : hosts) {
    for (const burn_row& row : rows) {
      const auto [merged_row, inserted] =
          merged.try_emplace({row.organisation, row.service}, row);
      if (inserted) {
        continue;
      }
      burn_row& sum = merged_row->second;
      sum.target = std::max(sum.target, row.target);
      AddCounts(row.short_window, sum.short_window);
      AddCounts(row.long_window, sum.long_window);
    }
  }
  std::vector<burn_row> rows;
  rows.reserve(merged.size());
  for (auto& [key, row] : merged) {
    rows.push_back(std::move(row));
  }
  return rows;
}

nlohmann::json BurnToJson(std::span<const burn_row> rows) {
  nlohmann::json list = nlohmann::json::array();
  for (const burn_row& row : rows) {
    list.push_back(
        {{"organisation", row.organisation},
         {"service", row.service},
         {"target", row.target},
         {"short_window", WindowToJson(row.short_window, row.target)},
         {"long_window", WindowToJson(row.long_window, row.target)},
         {"budget_left", BudgetLeft(row.long_window, row.target)}});
  }
  return {{"burn", std::move(list)}};
}

result<std::vector<burn_row>> BurnFromJson(const nlohmann::json& json) {
  try {
    std::vector<burn_row> rows;
    for (const nlohmann::json& item : json.at("burn")) {
      rows.push_back(RowFromJson(item));
    }
    return rows;
  } catch (const nlohmann::json::exception& e) {
    return error{error_code::kMalformed, "burn", e.what(),
                 "ask a host of the same release for its burn report"};
  }
}

void burn_ledger::SetTarget(std::string_view service, double target) {
  targets_.insert_or_assign(std::string(service), target);
}

void burn_ledger::Record(time_point now, std::string_view organisation,
                         std::string_view service, bool good) {
  const row_key key{organisation, service};
  auto row = rows_.find(key);
  if (row == rows_.end()) {
    if (rows_.size() >= max_rows_) {
      ++uncounted_requests_;
      return;
    }
    row = rows_.emplace(key, interval_ring(kRingSize)).first;
  }
  const int64_t number = IntervalNumber(now);
  interval_counts& current_interval =
      row->second[static_cast<size_t>(number) % kRingSize];
  if (current_interval.interval_number != number) {
    current_interval = {number, 0, 0};
  }
  ++current_interval.total;
  if (good) {
    ++current_interval.good;
  }
}

burn_counts burn_ledger::CountsWithin(const interval_ring& buckets,
                                      time_point now, duration window) {
  const int64_t newest = IntervalNumber(now);
  const int64_t oldest = newest - window / kBurnInterval + 1;
  burn_counts counts;
  for (const interval_counts& b : buckets) {
    if (b.interval_number >= oldest && b.interval_number <= newest) {
      AddCounts({b.good, b.total}, counts);
    }
  }
  return counts;
}

burn_row burn_ledger::MakeRow(time_point now, const row_key& key,
                              const interval_ring& buckets) const {
  burn_row row;
  row.organisation = key.first;
  row.service = key.second;
  const auto target = targets_.find(row.service);
  row.target =
      target == targets_.end() ? kDefaultObjectiveTarget : target->second;
  row.short_window = CountsWithin(buckets, now, kBurnShortWindow);
  row.long_window = CountsWithin(buckets, now, kBurnLongWindow);
  return row;
}

std::vector<burn_row> burn_ledger::RowsOf(time_point now,
                                          std::string_view organisation) const {
  std::vector<burn_row> rows;
  for (const auto& [key, buckets] : rows_) {
    if (key.first == organisation) {
      rows.push_back(MakeRow(now, key, buckets));
    }
  }
  return rows;
}

std::vector<burn_row> burn_ledger::AllRows(time_point now) const {
  std::vector<burn_row> rows;
  rows.reserve(rows_.size());
  for (const auto& [key, buckets] : rows_) {
    rows.push_back(MakeRow(now, key, buckets));
  }
  return rows;
}

}  // namespace foxtailspread
