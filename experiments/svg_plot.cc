#include "experiments/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>

namespace cowslip::experiments {
namespace {

// Layout, in pixels.
constexpr int kBarWidth = 18;
constexpr int kGroupGap = 40;
constexpr int kHeight = 300;
constexpr int kLeft = 60;
constexpr int kTop = 20;
constexpr int kLegendLine = 18;
// Range of the logarithmic axis.
constexpr double kLowestMs = 0.1;
constexpr int kDecades = 5;
constexpr std::array<const char*, 8> kColours{"#4e79a7", "#f28e2b", "#e15759",
                                              "#76b7b2", "#59a14f", "#edc948",
                                              "#b07aa1", "#9c755f"};

/// @return the height in pixels.
double BarHeight(Duration wait) {
  const auto ms = std::chrono::duration<double, std::milli>(wait).count();
  const auto decades = std::log10(std::max(ms, kLowestMs) / kLowestMs);
  return std::min<double>(decades, kDecades) / kDecades * kHeight;
}

void WriteAxis(std::ofstream& out) {
  for (int i = 0; i <= kDecades; ++i) {
    const auto y = kTop + kHeight - i * kHeight / kDecades;
    out << "<text x=\"5\" y=\"" << y + 4 << "\">" << kLowestMs * std::pow(10, i)
        << " ms</text><line x1=\"" << kLeft << "\" x2=\"900\" y1=\"" << y
        << "\" y2=\"" << y << "\" stroke=\"#ccc\"/>\n";
  }
}

void WriteLegend(std::ofstream& out, const Group& group) {
  int y = kTop + kHeight + 2 * kLegendLine;
  for (std::size_t i = 0; i < group.results.size(); ++i) {
    out << "<rect x=\"" << kLeft << "\" y=\"" << y - 10
        << "\" width=\"12\" height=\"12\" fill=\""
        << kColours[i % kColours.size()] << "\"/><text x=\"" << kLeft + 18
        << "\" y=\"" << y << "\">" << group.results[i].policy << "</text>\n";
    y += kLegendLine;
  }
}

}  // namespace

bool WriteWaitPlot(const std::string& file, const std::vector<Group>& groups) {
  std::ofstream out(file);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"920\" "
         "height=\"520\" font-family=\"sans-serif\" font-size=\"12\">\n";
  WriteAxis(out);
  int x = kLeft + kGroupGap / 2;
  for (const auto& group : groups) {
    out << "<text x=\"" << x << "\" y=\"" << kTop + kHeight + kLegendLine
        << "\">" << group.name << "</text>\n";
    for (std::size_t i = 0; i < group.results.size(); ++i) {
      const auto height = BarHeight(group.results[i].Wait(0.99));
      out << "<rect x=\"" << x << "\" y=\"" << kTop + kHeight - height
          << "\" width=\"" << kBarWidth - 2 << "\" height=\"" << height
          << "\" fill=\"" << kColours[i % kColours.size()] << "\"/>\n";
      x += kBarWidth;
    }
    x += kGroupGap;
  }
  if (!groups.empty()) WriteLegend(out, groups.front());
  out << "</svg>\n";
  return out.good();
}

}  // namespace cowslip::experiments
