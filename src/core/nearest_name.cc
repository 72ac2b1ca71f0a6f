#include "foxtailspread/nearest_name.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace foxtailspread {
namespace {

/// Longer names are not compared: the distance costs the product of lengths.
constexpr size_t kLongestCompared = 64;
constexpr size_t kLongestPrinted = 80;
constexpr size_t kMostListed = 12;
constexpr size_t kShortestStem = 3;

size_t EditDistance(std::string_view from, std::string_view to) {
  std::vector<size_t> row(to.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < from.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i + 1;
    for (size_t j = 0; j < to.size(); ++j) {
      const size_t replaced = diagonal + (from[i] == to[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

/// Whether one is the other with something appended, as in "signing-v2".
bool Extends(std::string_view one, std::string_view other) {
  const std::string_view shorter = one.size() < other.size() ? one : other;
  return shorter.size() >= kShortestStem &&
         (one.starts_with(other) || other.starts_with(one));
}

}  // namespace

std::string_view NearestName(std::string_view name,
                             std::span<const std::string> known) {
  if (name.size() > kLongestCompared) {
    return "";
  }
  std::string_view nearest;
  size_t fewest = std::max<size_t>(1, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    if (candidate.size() > kLongestCompared) {
      continue;
    }
    const size_t edits = EditDistance(name, candidate);
    if (edits < fewest) {
      fewest = edits;
      nearest = candidate;
    }
  }
  if (!nearest.empty()) {
    return nearest;
  }
  const auto extended = std::find_if(
      known.begin(), known.end(),
      [name](const std::string& other) { return Extends(name, other); });
  return extended == known.end() ? std::string_view() : *extended;
}

std::string KnownNameRemedy(std::string_view name,
                            std::span<const std::string> known) {
  const std::string_view nearest = NearestName(name, known);
  if (!nearest.empty()) {
    return "did you mean " + Quoted(nearest) + "?";
  }
  if (known.empty()) {
    return "define it first; nothing of this kind is defined yet";
  }
  std::string remedy = "use one of ";
  for (size_t i = 0; i < std::min(known.size(), kMostListed); ++i) {
    remedy += (i == 0 ? "" : ", ") + known[i];
  }
  if (known.size() > kMostListed) {
    remedy += ", ...";
  }
  return remedy;
}

std::string Printable(std::string_view text) {
  std::string printable;
  for (const char c : text.substr(0, kLongestPrinted)) {
    const bool control = static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    printable += control ? '?' : c;
  }
  printable += text.size() > kLongestPrinted ? "..." : "";
  return printable;
}

std::string Quoted(std::string_view text) {
  return '"' + Printable(text) + '"';
}

}  // namespace foxtailspread
