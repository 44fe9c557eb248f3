#pragma once

// An engine inside the test process that does not check fencing numbers. It
// records orders, and each change of role lasts until the test ends it.

#include <cstdint>
#include <string>
#include <vector>

#include "servers/http/http_server.h"

namespace firefly::testing {

class TestEngine
{
public:
  struct Order
  {
    std::uint64_t id = 0;
    std::uint64_t fence = 0;
    std::string role;
  };

  TestEngine(AsioExecutor& aExecutor, std::uint16_t aPort);

  // Ends the running change; the engine takes the ordered role.
  void FinishChange();

  // Forgets the running change, the last order and its fencing number.
  void Crash();

  // Whether the HTTP server could be started.
  bool isStarted = false;
  // Whether each change ends at once.
  bool finishesAtOnce = false;
  std::vector<Order> orders;
  int conflictingOrders = 0; // orders received during a change
  bool isChanging = false;
  std::string role = "mixed";

private:
  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);
  void HandleOrder(const std::string& aBody);

  std::uint64_t mLastOrder = 0;
  std::uint64_t mFence = 0;
  HttpServer mServer;
};

} // namespace firefly::testing
