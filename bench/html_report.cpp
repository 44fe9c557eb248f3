#include "bench/html_report.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace firefly::bench {

namespace {

constexpr double kWidth = 560;
constexpr double kHeight = 240;
constexpr double kMargin = 40;
constexpr double kBarHeight = 16;

const std::array<const char*, 4> kColours{ "#1b6ca8",
                                           "#d1495b",
                                           "#edae49",
                                           "#66a182" };

std::vector<std::string>
PoliciesOf(const Comparison& aComparison)
{
  std::vector<std::string> names;
  for (const auto& cell : aComparison.cells) {
    if (std::find(names.begin(), names.end(), cell.policy) == names.end()) {
      names.push_back(cell.policy);
    }
  }
  return names;
}

std::string
ColourOf(const Comparison& aComparison, const std::string& aPolicy)
{
  const auto names = PoliciesOf(aComparison);
  const auto it = std::find(names.begin(), names.end(), aPolicy);
  return kColours.at(static_cast<std::size_t>(it - names.begin()) %
                     kColours.size());
}

std::string
Svg(double aHeight, const std::string& aBody)
{
  return fmt::format("<svg width='{0}' height='{1}' viewBox='0 0 {0} {1}' "
                     "role='img'>{2}</svg>\n",
                     kWidth,
                     aHeight,
                     aBody);
}

std::string
Label(double aX, double aY, const std::string& aText)
{
  return fmt::format("<text x='{:.1f}' y='{:.1f}'>{}</text>", aX, aY, aText);
}

// A bar for each policy and scenario: its length is the median, and a line
// marks the range.
std::string
GoodputBars(const Comparison& aComparison, const std::string& aDeployment)
{
  std::string body;
  double y = 4;
  const double width = kWidth - 220;
  for (const auto& cell : aComparison.cells) {
    if (cell.deployment != aDeployment || !cell.without.empty()) {
      continue;
    }
    const auto share = cell.GoodputShare();
    body += fmt::format("<rect x='200' y='{:.1f}' width='{:.1f}' height='{}' "
                        "fill='{}'/>",
                        y,
                        width * share.median,
                        kBarHeight - 4,
                        ColourOf(aComparison, cell.policy));
    body += fmt::format("<line x1='{:.1f}' x2='{:.1f}' y1='{:.1f}' "
                        "y2='{:.1f}' stroke='#222' stroke-width='2'/>",
                        200 + width * share.min,
                        200 + width * share.max,
                        y + 6,
                        y + 6);
    body += Label(0, y + 10, cell.scenario + " " + cell.policy);
    y += kBarHeight;
  }
  return Svg(y + 8, body);
}

// Worth per second over offered load, one line for each policy.
std::string
LoadCurve(const Comparison& aComparison, const std::string& aDeployment)
{
  double maxLoad = 0.1;
  double maxWorth = 0.1;
  for (const auto& point : aComparison.curve) {
    if (point.deployment == aDeployment) {
      maxLoad = std::max(maxLoad, point.load);
      maxWorth = std::max(maxWorth, point.goodput.max);
    }
  }
  const auto x = [&](double aLoad) {
    return kMargin + (kWidth - 2 * kMargin) * aLoad / maxLoad;
  };
  const auto y = [&](double aWorth) {
    return kHeight - kMargin - (kHeight - 2 * kMargin) * aWorth / maxWorth;
  };
  std::string body;
  for (const auto& policy : PoliciesOf(aComparison)) {
    std::string points;
    for (const auto& point : aComparison.curve) {
      if (point.deployment == aDeployment && point.policy == policy) {
        points +=
          fmt::format("{:.1f},{:.1f} ", x(point.load), y(point.goodput.median));
      }
    }
    body += fmt::format("<polyline points='{}' fill='none' stroke='{}' "
                        "stroke-width='2'/>",
                        points,
                        ColourOf(aComparison, policy));
  }
  body += Label(kMargin,
                kHeight - 8,
                "offered load, 0 to " + fmt::format("{:.1f}", maxLoad));
  body += Label(0, 14, fmt::format("worth per second, 0 to {:.0f}", maxWorth));
  return Svg(kHeight, body);
}

// Goodput of the shift scenario by time of arrival, of the first seed. A point
// is the mean of kStep seconds.
std::string
GoodputOverTime(const Comparison& aComparison, const std::string& aDeployment)
{
  constexpr std::size_t kStep = 4;
  std::string body;
  double maxWorth = 1;
  for (const auto& cell : aComparison.cells) {
    if (cell.scenario == "shift" && cell.deployment == aDeployment &&
        cell.without.empty() && !cell.runs.empty()) {
      for (const auto& second : cell.runs.front().seconds) {
        maxWorth = std::max(maxWorth, second.offeredWorth);
      }
    }
  }
  for (const auto& cell : aComparison.cells) {
    if (cell.scenario != "shift" || cell.deployment != aDeployment ||
        !cell.without.empty() || cell.runs.empty()) {
      continue;
    }
    const auto& seconds = cell.runs.front().seconds;
    std::string points;
    for (std::size_t i = 0; i + kStep <= seconds.size(); i += kStep) {
      double sum = 0;
      for (std::size_t j = i; j < i + kStep; ++j) {
        sum += seconds[j].goodputWorth / kStep;
      }
      const auto share =
        static_cast<double>(i) / static_cast<double>(seconds.size());
      points += fmt::format("{:.1f},{:.1f} ",
                            kMargin + (kWidth - 2 * kMargin) * share,
                            kHeight - kMargin -
                              (kHeight - 2 * kMargin) * sum / maxWorth);
    }
    body += fmt::format("<polyline points='{}' fill='none' stroke='{}' "
                        "stroke-width='1.5'/>",
                        points,
                        ColourOf(aComparison, cell.policy));
  }
  body += Label(0, 14, fmt::format("worth per second, 0 to {:.0f}", maxWorth));
  body += Label(kMargin, kHeight - 8, "time");
  return Svg(kHeight, body);
}

std::string
Legend(const Comparison& aComparison)
{
  std::string html = "<p>";
  for (const auto& policy : PoliciesOf(aComparison)) {
    html += fmt::format("<span style='color:{}'>&#9632;</span> {} &nbsp; ",
                        ColourOf(aComparison, policy),
                        policy);
  }
  return html + "</p>\n";
}

std::string
TargetTable(const Comparison& aComparison, const std::string& aDeployment)
{
  std::string html = "<table><tr><th>target</th><th>bound</th><th>median"
                     "</th><th>range</th><th></th></tr>\n";
  for (const auto& it : aComparison.targets) {
    if (it.deployment != aDeployment) {
      continue;
    }
    html += fmt::format("<tr><td>{}</td><td>{} {}</td><td>{:.3f}</td>"
                        "<td>{:.3f} to {:.3f}</td><td>{}</td></tr>\n",
                        it.target,
                        it.isMaximum ? "at most" : "at least",
                        it.bound,
                        it.measured.median,
                        it.measured.min,
                        it.measured.max,
                        it.IsMet() ? "hit" : "<b>missed</b>");
  }
  return html + "</table>\n";
}

} // namespace

std::string
ToHtml(const Comparison& aComparison)
{
  std::string html =
    "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'>"
    "<title>firefly-bench compare</title><style>"
    "body{font:14px sans-serif;margin:2em;max-width:60em}"
    "svg text{font:11px sans-serif}"
    "td,th{text-align:left;padding:2px 10px 2px 0}</style></head><body>\n"
    "<h1>Comparison of policies</h1>\n";
  html +=
    fmt::format("<p>Medians and ranges over {} seeds with {} entries.</p>",
                aComparison.options.seeds,
                aComparison.options.entries);
  html += Legend(aComparison);
  for (const auto& deployment : aComparison.options.deployments) {
    html += "<h2>" + deployment + "</h2>\n";
    html += TargetTable(aComparison, deployment);
    html += "<h3>Goodput as a fraction of the offered worth</h3>\n";
    html += GoodputBars(aComparison, deployment);
    html += "<h3>Goodput over load</h3>\n" + LoadCurve(aComparison, deployment);
    html += "<h3>Goodput over time in the shift scenario</h3>\n";
    html += GoodputOverTime(aComparison, deployment);
  }
  return html + "</body></html>\n";
}

} // namespace firefly::bench
