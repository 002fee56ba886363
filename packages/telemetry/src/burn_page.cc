#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "cowslip/telemetry/burn_rate.h"

namespace cowslip::telemetry {
namespace {

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 140;
/// The vertical axis reaches at least this burn rate.
constexpr double kMinAxisTop = 2;

constexpr std::string_view kPageHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>
body{font:16px/1.5 system-ui,sans-serif;max-width:48rem;margin:2rem auto;padding:0 1rem;color:#1c2733;background:#fff}
h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2rem}
table{border-collapse:collapse;width:100%}
th,td{text-align:right;padding:.3rem .6rem;border-bottom:1px solid #d8dee6}
th:first-child,td:first-child{text-align:left}
.ok{color:#1b6e3c}.warn{color:#8a5a00}.bad{color:#a11d1d;font-weight:600}
svg{width:100%;height:auto;background:#f5f7fa;border:1px solid #d8dee6}
p.note{color:#4a5866}
</style></head><body>
)";

std::string Escape(std::string_view text) {
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
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string_view CssClass(double rate) {
  if (rate <= 1) return "ok";
  return rate <= kMinAxisTop ? "warn" : "bad";
}

std::string Table(const BurnTracker& tracker, TimePoint now) {
  std::string html =
      "<table><thead><tr><th>Window</th><th>Covered</th><th>Good</th>"
      "<th>Bad</th><th>Burn rate</th></tr></thead><tbody>\n";
  for (const auto& burn : tracker.Report(now)) {
    html += fmt::format(
        "<tr><td>{} min</td><td>{} s</td><td>{}</td><td>{}</td>"
        "<td class=\"{}\">{:.2f}</td></tr>\n",
        burn.window.count(), burn.covered.count(), burn.events.good,
        burn.events.bad, CssClass(burn.rate), burn.rate);
  }
  return html + "</tbody></table>\n";
}

std::string Plot(const BurnTracker& tracker) {
  const auto series = tracker.PerMinuteRates();
  if (series.empty()) {
    return "<p class=\"note\">The plot starts after two minutes.</p>\n";
  }
  const double top =
      std::max(kMinAxisTop, *std::max_element(series.begin(), series.end()));
  const auto y = [&](double rate) {
    return kPlotHeight - rate / top * kPlotHeight;
  };
  const double step = kPlotWidth / static_cast<double>(series.size());
  std::string points;
  for (std::size_t i = 0; i < series.size(); ++i) {
    points += fmt::format("{:.1f},{:.1f} {:.1f},{:.1f} ",
                          static_cast<double>(i) * step, y(series[i]),
                          static_cast<double>(i + 1) * step, y(series[i]));
  }
  return fmt::format(
      "<svg viewBox=\"0 0 {0} {1}\" role=\"img\" aria-label=\"Burn rate per "
      "minute, highest {2:.2f}\">"
      "<line x1=\"0\" x2=\"{0}\" y1=\"{3:.1f}\" y2=\"{3:.1f}\" "
      "stroke=\"#8a5a00\" stroke-dasharray=\"4 4\"/>"
      "<text x=\"4\" y=\"{4:.1f}\" font-size=\"11\" fill=\"#8a5a00\">budget "
      "spent as allowed (1.0)</text>"
      "<text x=\"4\" y=\"12\" font-size=\"11\" fill=\"#4a5866\">{5:.1f}</text>"
      "<polyline fill=\"none\" stroke=\"#1f5fa8\" stroke-width=\"1.5\" "
      "points=\"{6}\"/></svg>\n"
      "<p class=\"note\">Burn rate per minute over the last {7} minutes.</p>\n",
      kPlotWidth, kPlotHeight, top, y(1), y(1) - 4, top, points, series.size());
}

}  // namespace

std::string FormatBurnPage(std::string_view instance,
                           const std::vector<BurnTracker>& trackers,
                           TimePoint now) {
  std::string html(kPageHead);
  html += "<h1>Service-level burn of " + Escape(instance) + "</h1>\n";
  html +=
      "<p>A burn rate of 1 spends the error budget of an objective exactly as "
      "fast as it allows. A short and a long window above 1 together call for "
      "action.</p>\n";
  if (trackers.empty()) {
    html += "<p class=\"note\">The settings contain no objectives.</p>\n";
  }
  for (const auto& tracker : trackers) {
    html += fmt::format("<h2>{}: {:.3f} % good</h2>\n",
                        Escape(tracker.objective().name),
                        tracker.objective().target * 100);
    html += Table(tracker, now);
    html += Plot(tracker);
  }
  return html + "</body></html>\n";
}

}  // namespace cowslip::telemetry
