#include "tests/soak/report.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

#include "servers/http/html_text.h"

namespace firefly::soak {

namespace {

// The layout of the timeline, in pixels.
constexpr double kPixelsPerSecond = 24;
constexpr int kRowHeight = 14;
constexpr double kPlotHeight = 90;
constexpr int kLabelWidth = 140;

double
SecondsOf(const SoakResult& aResult, Instant aAt)
{
  return ToSeconds(aAt - aResult.startedAt);
}

void
WriteBar(std::ostream& aOut,
         double aSecond,
         double aTop,
         double aHeight,
         const char* aColour)
{
  aOut << "<rect x='" << kLabelWidth + aSecond * kPixelsPerSecond << "' y='"
       << aTop << "' width='" << kPixelsPerSecond - 2 << "' height='" << aHeight
       << "' fill='" << aColour << "'/>";
}

void
WriteTimeline(std::ostream& aOut, const SoakResult& aResult)
{
  const auto rows = static_cast<int>(aResult.faults.size());
  const double width =
    kLabelWidth +
    static_cast<double>(aResult.seconds.size() + 2) * kPixelsPerSecond;
  const double plotTop = rows * kRowHeight + 10.0;
  aOut << "<svg width='" << width << "' height='" << plotTop + kPlotHeight + 20
       << "' font-size='10' font-family='sans-serif'>";
  for (int i = 0; i < rows; ++i) {
    const auto& fault = aResult.faults[static_cast<std::size_t>(i)];
    const double left = kLabelWidth + ToSeconds(fault.at) * kPixelsPerSecond;
    aOut << "<text x='0' y='" << (i + 1) * kRowHeight - 3 << "'>"
         << ToString(fault.kind) << "</text><rect x='" << left << "' y='"
         << i * kRowHeight + 2 << "' width='"
         << std::max(3.0, ToSeconds(fault.length) * kPixelsPerSecond)
         << "' height='" << kRowHeight - 4 << "' fill='#c60'/>";
  }
  std::uint64_t maxRequests = 1;
  for (const auto& it : aResult.seconds) {
    maxRequests = std::max(maxRequests, it.served + it.refused + it.failed);
  }
  for (std::size_t i = 0; i < aResult.seconds.size(); ++i) {
    const auto& it = aResult.seconds[i];
    double top = plotTop + kPlotHeight;
    const auto stack = [&](std::uint64_t aCount, const char* aColour) {
      const double height = static_cast<double>(aCount) * kPlotHeight /
                            static_cast<double>(maxRequests);
      top -= height;
      WriteBar(aOut, static_cast<double>(i), top, height, aColour);
    };
    stack(it.served, "#4a4");
    stack(it.refused, "#cc4");
    stack(it.failed, "#c44");
  }
  for (const auto& it : aResult.violations) {
    const double x = kLabelWidth + SecondsOf(aResult, it.at) * kPixelsPerSecond;
    aOut << "<line x1='" << x << "' y1='0' x2='" << x << "' y2='"
         << plotTop + kPlotHeight << "' stroke='#f0f'/>";
  }
  aOut << "</svg>";
}

} // namespace

std::string
FormatText(const SoakResult& aResult)
{
  std::ostringstream out;
  const auto& counts = aResult.counts;
  out << "seed " << aResult.options.seed << ": ";
  if (!aResult.error.empty()) {
    out << "could not start: " << aResult.error << '\n';
    return out.str();
  }
  out << aResult.faults.size() << " faults, " << counts.sent << " requests, "
      << counts.served << " served, " << counts.refused << " refused, "
      << counts.failed << " failed, " << counts.left << " left early; after "
      << "recovery " << counts.servedAfterFaults << " of "
      << counts.sentAfterFaults << "; " << aResult.violations.size()
      << " promises broken\n";
  for (const auto& it : aResult.violations) {
    out << "  " << ToString(it.promise) << " at " << SecondsOf(aResult, it.at)
        << " s: " << it.what << '\n';
  }
  return out.str();
}

std::string
FormatJson(const std::vector<SoakResult>& aResults)
{
  auto soaks = nlohmann::json::array();
  for (const auto& result : aResults) {
    auto faults = nlohmann::json::array();
    for (const auto& it : result.faults) {
      faults.push_back({ { "kind", ToString(it.kind) },
                         { "at_s", ToSeconds(it.at) },
                         { "for_s", ToSeconds(it.length) } });
    }
    auto broken = nlohmann::json::array();
    for (const auto& it : result.violations) {
      broken.push_back({ { "promise", ToString(it.promise) },
                         { "at_s", SecondsOf(result, it.at) },
                         { "what", it.what } });
    }
    const auto& counts = result.counts;
    soaks.push_back({ { "seed", result.options.seed },
                      { "error", result.error },
                      { "faults", faults },
                      { "broken", broken },
                      { "sent", counts.sent },
                      { "served", counts.served },
                      { "refused", counts.refused },
                      { "failed", counts.failed },
                      { "left", counts.left },
                      { "runs", counts.runs },
                      { "sent_after_faults", counts.sentAfterFaults },
                      { "served_after_faults", counts.servedAfterFaults },
                      { "store_calls", result.storeCalls } });
  }
  return soaks.dump(2) + "\n";
}

std::string
FormatHtml(const std::vector<SoakResult>& aResults)
{
  std::ostringstream out;
  out << "<!doctype html><meta charset='utf-8'><title>Fault soak</title>"
         "<body style='font-family:sans-serif'><h1>Fault soak</h1>"
         "<p>Faults over time and the requests that ended in each second: "
         "served (green), refused (yellow), failed (red). A vertical line "
         "marks a broken promise.</p>";
  for (const auto& result : aResults) {
    out << "<h2>Seed " << result.options.seed << "</h2><pre>"
        << EscapeHtml(FormatText(result)) << "</pre>";
    WriteTimeline(out, result);
  }
  return out.str();
}

} // namespace firefly::soak
