#include "tests/stand_ins/service/service.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace firefly::testing {

namespace {

using Json = nlohmann::json;

void
Answer(HttpResponder& aResponder, int aStatus, const Json& aBody)
{
  aResponder.Send({ .status = aStatus, .headers = {}, .body = aBody.dump() });
}

} // namespace

void
Service::Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder)
{
  if (aRequest.path == "/control") {
    HandleControl(aRequest.body, *aResponder);
  } else if (aRequest.path == "/counts") {
    aResponder->Send({ .headers = {}, .body = CountsBody() });
  } else if (mDelay > Duration::zero()) {
    std::erase_if(mDelays,
                  [](const Timer& aTimer) { return !aTimer.IsPending(); });
    mDelays.push_back(mExecutor.RunAfter(
      mDelay, [this, aRequest, aResponder] { Serve(aRequest, aResponder); }));
  } else {
    Serve(aRequest, aResponder);
  }
}

void
Service::Serve(const HttpRequest& aRequest, const HttpResponderPtr& aResponder)
{
  if (mRefuseNext > 0) {
    --mRefuseNext;
    Answer(*aResponder, 503, { { "error", "refused" } });
  } else if (aRequest.path == "/items") {
    ++mLookups;
    Answer(*aResponder, 200, { { "items", aRequest.query } });
  } else if (aRequest.path == "/bookings" && aRequest.method == "POST") {
    Book(aRequest, aResponder);
  } else {
    Answer(*aResponder, 404, { { "error", "no such path" } });
  }
}

void
Service::Book(const HttpRequest& aRequest, const HttpResponderPtr& aResponder)
{
  const std::string key(FindHeader(aRequest.headers, "Idempotency-Key"));
  const auto count = ++mBookings[key];
  if (mLoseNext > 0) {
    --mLoseNext;
    aResponder->Abort();
    return;
  }
  Answer(*aResponder,
         201,
         { { "key", key }, { "run", count }, { "booked", aRequest.body } });
}

void
Service::HandleControl(const std::string& aBody, HttpResponder& aResponder)
{
  const auto body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    Answer(aResponder, 400, { { "error", "malformed" } });
    return;
  }
  mLoseNext = body.value("lose_next", mLoseNext);
  mRefuseNext = body.value("refuse_next", mRefuseNext);
  if (body.contains("delay_ms")) {
    mDelay = std::chrono::milliseconds(body["delay_ms"].get<int>());
  }
  Answer(aResponder, 200, Json::object());
}

std::string
Service::CountsBody() const
{
  return Json{ { "bookings", mBookings }, { "lookups", mLookups } }.dump();
}

} // namespace firefly::testing
