#include "servers/entry/booking_report.h"

#include <nlohmann/json.hpp>

#include "servers/entry/booking_task.h"
#include "servers/status/status_server.h"

namespace firefly {

namespace {

using Json = nlohmann::json;
using LookupResult =
  tl::expected<std::optional<coord::BookingView>, LedgerCallError>;

constexpr Duration kLookupTimeout = std::chrono::seconds(3);
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

BookingKey
KeyOf(const HttpRequest& aRequest)
{
  const auto key = SplitPath(aRequest.path).back();
  const auto service = aRequest.QueryValue("service");
  const auto customer = aRequest.QueryValue("customer");
  if (service.empty()) {
    return BookingKey(key);
  }
  return MakeLedgerKey(ServiceId(service),
                       CustomerId(customer.empty() ? "anonymous" : customer),
                       key);
}

HttpResponse
ToResponse(const BookingKey& aKey, const LookupResult& aResult)
{
  if (!aResult) {
    return MakeProblem(
      kUnavailable, "No ledger answers", aResult.error().message);
  }
  if (!*aResult) {
    return MakeProblem(kNotFound, "No such key is known", aKey.Value());
  }
  const auto& view = **aResult;
  Json body{ { "key", aKey.Value() },
             { "state", view.outcome ? "done" : "unknown" },
             { "attempt", view.attempt.Value() } };
  if (view.outcome) {
    body["status"] = view.outcome->status;
  }
  return { .headers = {}, .body = body.dump() };
}

} // namespace

void
ShowBooking(const HttpRequest& aRequest,
            const HttpResponderPtr& aResponder,
            LedgerClient& aLedger)
{
  const auto key = KeyOf(aRequest);
  aLedger.Show(
    key, kLookupTimeout, [aResponder, key](const LookupResult& aResult) {
      aResponder->Send(ToResponse(key, aResult));
    });
}

} // namespace firefly
