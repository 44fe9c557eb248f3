#include "servers/burn/burn_format.h"

#include <cmath>

#include "servers/control/text_table.h"

namespace firefly {

namespace {

std::string
FormatCount(double aCount)
{
  return std::to_string(std::llround(aCount));
}

std::string
FormatLatency(const std::optional<double>& aSeconds,
              const std::optional<Duration>& aTarget)
{
  if (!aSeconds) {
    return "-";
  }
  std::string text = FormatNumber(*aSeconds * 1000);
  if (aTarget) {
    text += " of " + FormatNumber(ToSeconds(*aTarget) * 1000);
  }
  return text + " ms";
}

std::string
BudgetTable(const BurnReport& aReport)
{
  TextTable table({ "SERVICE",
                    "REQUEST TYPE",
                    "OBJECTIVE",
                    "IN TIME",
                    "LATE",
                    "REFUSED",
                    "FAILED",
                    "BUDGET USED",
                    "GONE IN",
                    "TREND",
                    "REFUNDS",
                    "WORTH LOST" });
  for (const auto& it : aReport.rows) {
    const auto& requests = it.counters.requests;
    table.Add({ it.key.service.Value(),
                it.key.type.Value(),
                FormatShare(it.objective.share),
                FormatCount(requests.inTime),
                FormatCount(requests.late),
                FormatCount(requests.refused),
                FormatCount(requests.failed),
                FormatShare(it.budgetUsed),
                it.exhaustedIn ? FormatSpan(*it.exhaustedIn) : "-",
                std::string(NameOf(it.trend)),
                FormatNumber(it.counters.refunds),
                FormatNumber(it.counters.worth.Bad()) });
  }
  return table.Text();
}

std::string
WindowTable(const BurnReport& aReport)
{
  TextTable table({ "SERVICE",
                    "REQUEST TYPE",
                    "WINDOWS",
                    "LONG",
                    "SHORT",
                    "ALERT FROM",
                    "COVERED",
                    "STATE" });
  for (const auto& row : aReport.rows) {
    for (const auto& it : row.windows) {
      table.Add({ row.key.service.Value(),
                  row.key.type.Value(),
                  std::string(it.window->name),
                  FormatNumber(it.longBurn),
                  FormatNumber(it.shortBurn),
                  FormatNumber(it.window->threshold),
                  FormatSpan(it.covered),
                  std::string(NameOf(it.state)) });
    }
  }
  return table.Text();
}

std::string
LatencyTable(const BurnReport& aReport)
{
  TextTable table(
    { "SERVICE", "REQUEST TYPE", "FIRST TOKEN 95 %", "TOKEN GAP 95 %" });
  for (const auto& it : aReport.rows) {
    if (it.firstToken95 || it.tokenGap95) {
      table.Add({ it.key.service.Value(),
                  it.key.type.Value(),
                  FormatLatency(it.firstToken95, it.objective.firstToken),
                  FormatLatency(it.tokenGap95, it.objective.tokenGap) });
    }
  }
  return table.Text();
}

std::string
EntryLines(const BurnReport& aReport)
{
  std::string text;
  for (const auto& it : aReport.entries) {
    if (it.state.error.empty()) {
      continue;
    }
    text += "away: " + it.url + ": " + it.state.error;
    text += it.state.lastSeen
              ? ", last seen " + FormatTime(*it.state.lastSeen) + '\n'
              : ", never seen\n";
  }
  return text;
}

std::string
AlertLines(const BurnReport& aReport)
{
  std::string text;
  for (const auto& it : aReport.alerts) {
    text += it.severity + ": " + it.key.service.Value() + ' ' +
            it.key.type.Value() + ' ' + it.text + "; " + it.action + '\n';
  }
  return text;
}

// The section preceded by an empty line; nothing if the text is empty.
std::string
Section(const std::string& aText)
{
  return aText.empty() ? "" : '\n' + aText;
}

} // namespace

std::string
FormatText(const BurnReport& aReport)
{
  std::string text = "service-level burn from " + FormatTime(aReport.from) +
                     " to " + FormatTime(aReport.to) + " (" +
                     FormatSpan(aReport.to - aReport.from) + ")\n";
  text += EntryLines(aReport);
  text += AlertLines(aReport);
  text += Section(BudgetTable(aReport));
  text += Section(WindowTable(aReport));
  text += Section(LatencyTable(aReport));
  return text;
}

} // namespace firefly
