#include "load/plots.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>

namespace foxtailspread {
namespace {

constexpr double kWidth = 760;
constexpr double kHeight = 220;
constexpr double kLeft = 60;
constexpr double kBottom = 30;
constexpr double kTop = 30;
constexpr double kRight = 170;  // for the legend
constexpr double kRowHeight = 20;
constexpr double kBarLeft = 260;
constexpr double kBarRight = 90;
constexpr int kGridLines = 4;
constexpr double kGridWidth = 0.5;
constexpr std::string_view kGridColour = "#bbb";
constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr std::array<std::string_view, 8> kColours{
    "#1b6ca8", "#d1495b", "#3b8b5a", "#c78b1e",
    "#6a4c93", "#2a9d8f", "#8d5524", "#555555"};

std::string_view ColourOf(size_t index) {
  return kColours[index % kColours.size()];
}

std::string Number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), value >= 100 ? "%.0f" : "%.2f",
                value);
  return text.data();
}

std::string Text(double x, double y, std::string_view anchor,
                 std::string_view text) {
  return "<text x=\"" + Number(x) + "\" y=\"" + Number(y) +
         "\" text-anchor=\"" + std::string(anchor) + "\">" + EscapeHtml(text) +
         "</text>\n";
}

std::string Rectangle(double x, double y, double width, double height,
                      std::string_view colour) {
  return "<rect x=\"" + Number(x) + "\" y=\"" + Number(y) + "\" width=\"" +
         Number(width) + "\" height=\"" + Number(height) + "\" fill=\"" +
         std::string(colour) + "\"/>\n";
}

std::string OpenSvg(std::string_view title, double height) {
  return "<h2>" + EscapeHtml(title) + "</h2>\n<svg viewBox=\"0 0 " +
         Number(kWidth) + " " + Number(height) + "\" width=\"" +
         Number(kWidth) + "\" role=\"img\" aria-label=\"" + EscapeHtml(title) +
         "\">\n";
}

// Where the values of a line plot lie on the page.
struct plot_area {
  double highest = 1;
  size_t steps = 1;

  double X(size_t step) const {
    const double part = static_cast<double>(step) /
                        static_cast<double>(std::max<size_t>(steps - 1, 1));
    return kLeft + part * (kWidth - kLeft - kRight);
  }
  double Y(double value) const {
    return kHeight - kBottom - value / highest * (kHeight - kBottom - kTop);
  }
};

plot_area AreaOf(std::span<const plot_line> lines) {
  plot_area area;
  area.highest = 0;
  for (const plot_line& line : lines) {
    area.steps = std::max(area.steps, line.values.size());
    for (const double value : line.values) {
      area.highest = std::max(area.highest, value);
    }
  }
  area.highest = area.highest > 0 ? area.highest : 1;
  return area;
}

std::string DrawGrid(const plot_area& area, std::string_view unit) {
  std::string svg;
  for (int i = 0; i <= kGridLines; ++i) {
    const double value = area.highest * i / kGridLines;
    svg += Rectangle(kLeft, area.Y(value), kWidth - kRight - kLeft, kGridWidth,
                     kGridColour);
    svg += Text(kLeft - 6, area.Y(value) + 4, "end", Number(value));
  }
  svg += Text(kLeft, kTop - 12, "start", unit);
  svg += Text(kLeft, kHeight - 8, "start", "0 s");
  svg += Text(area.X(area.steps - 1), kHeight - 8, "end",
              std::to_string(area.steps - 1) + " s");
  return svg;
}

std::string DrawLine(const plot_area& area, const plot_line& line,
                     size_t index) {
  std::string svg = "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
                    std::string(ColourOf(index)) + "\" points=\"";
  for (size_t step = 0; step < line.values.size(); ++step) {
    svg += Number(area.X(step)) + ',' + Number(area.Y(line.values[step])) + ' ';
  }
  svg += "\"/>\n";
  const double y = kTop + static_cast<double>(index) * kRowHeight;
  svg += Rectangle(kWidth - kRight + 10, y - 8, 10, 10, ColourOf(index));
  svg += Text(kWidth - kRight + 26, y + 1, "start", line.name);
  return svg;
}

using second_value = std::function<double(const load_second&)>;

std::vector<plot_line> LinesOf(const load_statistics& statistics,
                               const second_value& value) {
  std::vector<plot_line> lines;
  for (const service_summary& s : statistics.Summaries()) {
    plot_line line{s.service, {}};
    for (const load_second& second : statistics.SecondsOf(s.service)) {
      line.values.push_back(value(second));
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

second_value QuantileInMilliseconds(double q) {
  return [q](const load_second& second) {
    return static_cast<double>(second.latency.Quantile(q).count()) /
           kMicrosecondsPerMillisecond;
  };
}

std::string DrawTargets(const load_statistics& statistics) {
  std::string html;
  for (const service_summary& s : statistics.Summaries()) {
    std::vector<plot_bar> bars;
    for (const auto& [target, count] : s.per_target) {
      bars.push_back({target, static_cast<double>(count)});
    }
    if (!bars.empty()) {
      html += DrawBars("Answers by target: " + s.service + " (max/mean " +
                           Number(s.imbalance) + ")",
                       bars);
    }
  }
  return html;
}

std::string DrawBurn(const load_statistics& statistics) {
  std::vector<plot_bar> bars;
  for (const burn_row& row : statistics.Burn()) {
    bars.push_back({row.organisation + " / " + row.service,
                    BurnRate(row.long_window, row.target)});
  }
  return DrawBars("Burn rate over the run (1 spends exactly the budget)", bars);
}

}  // namespace

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string DrawLines(std::string_view title, std::string_view unit,
                      std::span<const plot_line> lines) {
  const plot_area area = AreaOf(lines);
  std::string svg = OpenSvg(title, kHeight);
  svg += DrawGrid(area, unit);
  for (size_t i = 0; i < lines.size(); ++i) {
    svg += DrawLine(area, lines[i], i);
  }
  return svg + "</svg>\n";
}

std::string DrawBars(std::string_view title, std::span<const plot_bar> bars) {
  double highest = 0;
  for (const plot_bar& bar : bars) {
    highest = std::max(highest, bar.value);
  }
  std::string svg =
      OpenSvg(title, (static_cast<double>(bars.size()) + 1) * kRowHeight);
  for (size_t i = 0; i < bars.size(); ++i) {
    const double y = static_cast<double>(i) * kRowHeight;
    const double part = highest > 0 ? bars[i].value / highest : 0;
    const double width = part * (kWidth - kBarLeft - kBarRight);
    svg += Text(kBarLeft - 8, y + 14, "end", bars[i].name);
    svg += Rectangle(kBarLeft, y + 3, width, kRowHeight - 6, ColourOf(0));
    svg += Text(kBarLeft + width + 6, y + 14, "start", Number(bars[i].value));
  }
  return svg + "</svg>\n";
}

std::string DrawPage(std::string_view title, const load_statistics& statistics,
                     const check_report* check) {
  std::string html =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>" +
      EscapeHtml(title) +
      "</title>\n<style>body{font:14px sans-serif;max-width:60em;margin:2em "
      "auto}svg text{font:12px "
      "sans-serif}pre{overflow-x:auto}</style></head><body>\n<h1>" +
      EscapeHtml(title) + "</h1>\n<pre>" +
      EscapeHtml(SummariesToText(statistics)) + "</pre>\n";
  if (check != nullptr) {
    html += "<pre>" + EscapeHtml(CheckToText(*check)) + "</pre>\n";
  }
  html += DrawLines("Latency, median", "ms",
                    LinesOf(statistics, QuantileInMilliseconds(0.5)));
  html += DrawLines("Latency, 99 in 100", "ms",
                    LinesOf(statistics, QuantileInMilliseconds(0.99)));
  html += DrawLines("Goodput", "done per second",
                    LinesOf(statistics, [](const load_second& second) {
                      return static_cast<double>(second.done);
                    }));
  html +=
      DrawLines("Not run or unknown", "per second",
                LinesOf(statistics, [](const load_second& second) {
                  return static_cast<double>(second.not_run + second.unknown);
                }));
  html += DrawTargets(statistics);
  html += DrawBurn(statistics);
  return html + "</body></html>\n";
}

}  // namespace foxtailspread
