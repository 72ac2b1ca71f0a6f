#ifndef FOXTAILSPREAD_SRC_LOAD_PLOTS_H_
#define FOXTAILSPREAD_SRC_LOAD_PLOTS_H_

/// @file
/// A load run as one HTML page with inline SVG, without scripts or links.

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "load/checker.h"
#include "load/statistics.h"

namespace foxtailspread {

/// One line of a plot; one value per step, equally spaced.
struct plot_line {
  std::string name;
  std::vector<double> values;
};

/// One bar of a bar chart.
struct plot_bar {
  std::string name;
  double value = 0;
};

/// Replaces the characters that have a meaning in HTML.
std::string EscapeHtml(std::string_view text);

/// Draws lines over time, a step being one second.
std::string DrawLines(std::string_view title, std::string_view unit,
                      std::span<const plot_line> lines);

/// Draws horizontal bars.
std::string DrawBars(std::string_view title, std::span<const plot_bar> bars);

/// Returns the page of a run; `check` may be null.
std::string DrawPage(std::string_view title, const load_statistics& statistics,
                     const check_report* check);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SRC_LOAD_PLOTS_H_
