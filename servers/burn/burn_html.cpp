#include "servers/burn/burn_format.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "servers/http/html_text.h"

namespace firefly {

namespace {

constexpr double kPlotWidth = 640;
constexpr double kPlotHeight = 160;
constexpr double kPlotLeft = 44;
constexpr double kPlotTop = 8;
constexpr double kBarWidth = 640;
constexpr double kBarHeight = 18;

constexpr const char* kStyle = R"(
:root { color-scheme: light dark; --good: #2e7d32; --late: #ef6c00;
  --refused: #6a1b9a; --failed: #c62828; --line: #1565c0; --grid: #9996; }
body { font: 15px/1.5 system-ui, sans-serif; max-width: 64rem;
  margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; margin: .5rem 0 1rem; }
th, td { text-align: left; padding: .2rem .8rem .2rem 0;
  border-bottom: 1px solid var(--grid); font-variant-numeric: tabular-nums; }
.page, .away, .firing { color: var(--failed); font-weight: 600; }
.ticket { color: var(--late); font-weight: 600; }
.unknown { opacity: .7; font-style: italic; }
svg { max-width: 100%; height: auto; display: block; }
svg text { font-size: 11px; fill: currentColor; }
.key span { margin-right: 1rem; }
)";

void
WriteTableRow(std::ostream& aOut,
              const char* aTag,
              const std::vector<std::string>& aCells)
{
  aOut << "<tr>";
  for (const auto& it : aCells) {
    aOut << '<' << aTag << '>' << EscapeHtml(it) << "</" << aTag << '>';
  }
  aOut << "</tr>\n";
}

// The upper end of the plot's vertical axis: 10 % above the highest burn rate
// plotted, and not below 2.2.
double
AxisMax(const BurnRow& aRow)
{
  double highest = 2;
  for (const auto& it : aRow.points) {
    highest = std::max(highest, it.burn);
  }
  return highest * 1.1;
}

// Draws a horizontal line at the burn rate if it is within the axis.
void
WriteGridLine(std::ostream& aOut, double aBurn, double aAxisMax)
{
  if (aBurn > aAxisMax) {
    return;
  }
  const double y = kPlotTop + kPlotHeight * (1 - aBurn / aAxisMax);
  aOut << "<line x1='" << kPlotLeft << "' x2='" << kPlotLeft + kPlotWidth
       << "' y1='" << y << "' y2='" << y
       << "' stroke='var(--grid)' stroke-dasharray='4 3'/>"
       << "<text x='" << kPlotLeft - 4 << "' y='" << y + 4
       << "' text-anchor='end'>" << FormatNumber(aBurn) << "</text>\n";
}

void
WritePlot(std::ostream& aOut, const BurnReport& aReport, const BurnRow& aRow)
{
  if (aRow.points.empty()) {
    aOut << "<p class='unknown'>Too little time between samples to plot.</p>\n";
    return;
  }
  const double axisMax = AxisMax(aRow);
  const double span = static_cast<double>((aReport.to - aReport.from).count());
  aOut << "<svg viewBox='0 0 " << kPlotLeft + kPlotWidth + 8 << ' '
       << kPlotTop + kPlotHeight + 22
       << "' role='img' aria-label='Burn rate over time'>\n";
  WriteGridLine(aOut, 0, axisMax);
  WriteGridLine(aOut, 1, axisMax);
  for (const auto& it : kBurnWindows) {
    if (it.threshold > 1) {
      WriteGridLine(aOut, it.threshold, axisMax);
    }
  }
  aOut << "<polyline fill='none' stroke='var(--line)' stroke-width='2' "
          "points='";
  for (const auto& it : aRow.points) {
    const auto since = static_cast<double>((it.time - aReport.from).count());
    aOut << kPlotLeft + kPlotWidth * since / span << ','
         << kPlotTop + kPlotHeight * (1 - it.burn / axisMax) << ' ';
  }
  const double base = kPlotTop + kPlotHeight + 16;
  aOut << "'/>\n<text x='" << kPlotLeft << "' y='" << base << "'>"
       << FormatTime(aReport.from) << "</text><text x='"
       << kPlotLeft + kPlotWidth << "' y='" << base << "' text-anchor='end'>"
       << FormatTime(aReport.to) << "</text>\n</svg>\n";
}

// Draws the outcomes as fractions of one bar.
void
WriteBar(std::ostream& aOut, const OutcomeAmounts& aRequests)
{
  struct Part
  {
    const char* name;
    const char* color;
    double amount;
  };
  const std::vector<Part> parts{
    { "in time", "--good", aRequests.inTime },
    { "late", "--late", aRequests.late },
    { "refused", "--refused", aRequests.refused },
    { "failed", "--failed", aRequests.failed },
  };
  const double total = aRequests.Total();
  if (total <= 0) {
    aOut << "<p class='unknown'>No requests in this time.</p>\n";
    return;
  }
  aOut << "<svg viewBox='0 0 " << kBarWidth << ' ' << kBarHeight
       << "' role='img' aria-label='Outcomes'>";
  double x = 0;
  for (const auto& it : parts) {
    const double width = kBarWidth * it.amount / total;
    aOut << "<rect x='" << x << "' y='0' width='" << width << "' height='"
         << kBarHeight << "' fill='var(" << it.color << ")'/>";
    x += width;
  }
  aOut << "</svg>\n<p class='key'>";
  for (const auto& it : parts) {
    aOut << "<span><b style='color:var(" << it.color << ")'>&#9632;</b> "
         << it.name << ' ' << std::llround(it.amount) << " ("
         << FormatShare(it.amount / total) << ")</span>";
  }
  aOut << "</p>\n";
}

void
WriteWindows(std::ostream& aOut, const BurnRow& aRow)
{
  aOut << "<table>\n";
  WriteTableRow(
    aOut,
    "th",
    { "Windows", "Long", "Short", "Alert from", "Covered", "State" });
  for (const auto& it : aRow.windows) {
    aOut << "<tr><td>" << it.window->name << "</td><td>"
         << FormatNumber(it.longBurn) << "</td><td>"
         << FormatNumber(it.shortBurn) << "</td><td>"
         << FormatNumber(it.window->threshold) << "</td><td>"
         << FormatSpan(it.covered) << "</td><td class='" << NameOf(it.state)
         << "'>" << NameOf(it.state) << "</td></tr>\n";
  }
  aOut << "</table>\n";
}

std::string
FormatLatency(const std::optional<double>& aSeconds,
              const std::optional<Duration>& aTarget)
{
  if (!aSeconds) {
    return "no observations";
  }
  std::string text = FormatNumber(*aSeconds * 1000) + " ms";
  if (aTarget) {
    text += " (target " + FormatNumber(ToSeconds(*aTarget) * 1000) + " ms)";
  }
  return text;
}

void
WriteSection(std::ostream& aOut, const BurnReport& aReport, const BurnRow& aRow)
{
  aOut << "<h2>" << EscapeHtml(aRow.key.service.Value()) << " &middot; "
       << EscapeHtml(aRow.key.type.Value()) << "</h2>\n<table>\n";
  WriteTableRow(aOut,
                "th",
                { "Objective",
                  "Budget used",
                  "Gone in",
                  "Trend",
                  "Refunds",
                  "Worth lost" });
  WriteTableRow(aOut,
                "td",
                { FormatShare(aRow.objective.share),
                  FormatShare(aRow.budgetUsed),
                  aRow.exhaustedIn ? FormatSpan(*aRow.exhaustedIn) : "lasts",
                  std::string(NameOf(aRow.trend)),
                  FormatNumber(aRow.counters.refunds),
                  FormatNumber(aRow.counters.worth.Bad()) });
  aOut << "</table>\n";
  WriteBar(aOut, aRow.counters.requests);
  aOut << "<h3>Burn rate</h3>\n";
  WritePlot(aOut, aReport, aRow);
  WriteWindows(aOut, aRow);
  if (aRow.firstToken95 || aRow.tokenGap95) {
    aOut << "<p>For 95 in 100: first token within "
         << FormatLatency(aRow.firstToken95, aRow.objective.firstToken)
         << ", between tokens "
         << FormatLatency(aRow.tokenGap95, aRow.objective.tokenGap)
         << ".</p>\n";
  }
}

void
WriteAlerts(std::ostream& aOut, const BurnReport& aReport)
{
  for (const auto& it : aReport.entries) {
    if (!it.state.error.empty()) {
      aOut << "<p><span class='away'>away</span> " << EscapeHtml(it.url) << ": "
           << EscapeHtml(it.state.error) << ", "
           << (it.state.lastSeen ? "last seen " + FormatTime(*it.state.lastSeen)
                                 : "never seen")
           << "</p>\n";
    }
  }
  for (const auto& it : aReport.alerts) {
    aOut << "<p><span class='" << EscapeHtml(it.severity) << "'>"
         << EscapeHtml(it.severity) << "</span> "
         << EscapeHtml(it.key.service.Value()) << ' '
         << EscapeHtml(it.key.type.Value()) << ' ' << EscapeHtml(it.text)
         << "; " << EscapeHtml(it.action) << "</p>\n";
  }
}

} // namespace

std::string
FormatHtml(const BurnReport& aReport)
{
  std::ostringstream out;
  out << "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
      << "<meta name='viewport' content='width=device-width'>"
      << "<title>Service-level burn</title><style>" << kStyle
      << "</style></head><body>\n<h1>Service-level burn</h1>\n<p>From "
      << FormatTime(aReport.from) << " to " << FormatTime(aReport.to) << " ("
      << FormatSpan(aReport.to - aReport.from)
      << "). A burn rate of 1 uses up the error budget of "
      << FormatSpan(kBudgetPeriod) << " just at its end.</p>\n";
  WriteAlerts(out, aReport);
  for (const auto& it : aReport.rows) {
    WriteSection(out, aReport, it);
  }
  out << "</body></html>\n";
  return out.str();
}

} // namespace firefly
