#include "servers/burn/burn_alerts.h"

#include <algorithm>

#include "servers/burn/burn_format.h"

namespace firefly {

namespace {

// Suggests an action for the outcome that most of the bad requests had. On
// equal counts, failed goes before refused and refused before late.
std::string
ActionFor(const OutcomeAmounts& aRequests)
{
  if (aRequests.failed >= aRequests.late &&
      aRequests.failed >= aRequests.refused) {
    return "see `fireflyctl fleet` for backend servers that crash or are gone, "
           "and drain a faulty one";
  }
  if (aRequests.refused >= aRequests.late) {
    return "see `fireflyctl status` for queues and limits; raise this row's "
           "limit or weight in the table, or lower those of types of less "
           "worth";
  }
  return "see `fireflyctl status` for slow backend servers and long queues; "
         "give this row more weight, or drain the slow one";
}

std::string
FiringText(const WindowBurn& aBurn)
{
  const auto& window = *aBurn.window;
  std::string text = "burns " + FormatNumber(aBurn.longBurn) +
                     " times its budget over the long and " +
                     FormatNumber(aBurn.shortBurn) +
                     " over the short window of " + std::string(window.name) +
                     " (alert from " + FormatNumber(window.threshold) + ')';
  if (aBurn.covered < window.longSpan) {
    text += "; samples cover " + FormatSpan(aBurn.covered) + " of the long one";
  }
  return text;
}

// The most urgent firing window, or null if none fires.
const WindowBurn*
FindFiring(const BurnRow& aRow)
{
  const auto found =
    std::ranges::find(aRow.windows, AlertState::kFiring, &WindowBurn::state);
  return found == aRow.windows.end() ? nullptr : &*found;
}

} // namespace

std::vector<BurnAlert>
MakeAlerts(const BurnReport& aReport)
{
  std::vector<BurnAlert> alerts;
  for (const auto& row : aReport.rows) {
    const auto* firing = FindFiring(row);
    if (firing != nullptr) {
      alerts.push_back({ std::string(firing->window->severity),
                         row.key,
                         FiringText(*firing),
                         ActionFor(row.counters.requests) });
    }
  }
  std::ranges::stable_sort(alerts, {}, [](const BurnAlert& aAlert) {
    return aAlert.severity == "page" ? 0 : 1;
  });
  return alerts;
}

} // namespace firefly
