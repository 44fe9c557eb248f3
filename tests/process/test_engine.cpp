#include "tests/process/test_engine.h"

#include <nlohmann/json.hpp>

namespace firefly::testing {

using nlohmann::json;

TestEngine::TestEngine(AsioExecutor& aExecutor, std::uint16_t aPort)
  : mServer(
      aExecutor,
      { .port = aPort },
      [this](const HttpRequest& aRequest, const HttpResponderPtr& aResponder) {
        Handle(aRequest, aResponder);
      })
{
  isStarted = mServer.Start().has_value();
}

void
TestEngine::Handle(const HttpRequest& aRequest,
                   const HttpResponderPtr& aResponder)
{
  if (aRequest.path == "/orders") {
    HandleOrder(aRequest.body);
  }
  const json state = {
    { "role", role },    { "model", "model" },
    { "running", 0 },    { "last_order", mLastOrder },
    { "fence", mFence }, { "changing", isChanging },
  };
  HttpResponse response;
  response.body = state.dump();
  aResponder->Send(std::move(response));
}

void
TestEngine::HandleOrder(const std::string& aBody)
{
  const json order = json::parse(aBody);
  conflictingOrders += isChanging ? 1 : 0;
  mLastOrder = order.at("order_id").get<std::uint64_t>();
  mFence = order.at("fence").get<std::uint64_t>();
  orders.push_back(
    { .id = mLastOrder,
      .fence = mFence,
      .role = order.at("wanted").at("role").get<std::string>() });
  isChanging = true;
  if (finishesAtOnce) {
    FinishChange();
  }
}

void
TestEngine::FinishChange()
{
  isChanging = false;
  role = orders.back().role;
}

void
TestEngine::Crash()
{
  isChanging = false;
  mLastOrder = 0;
  mFence = 0;
}

} // namespace firefly::testing
