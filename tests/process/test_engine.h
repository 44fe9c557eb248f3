#pragma once

// An engine that does not check fencing numbers, inside the test: it counts
// orders, and its changes last until the test ends them.

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

  // Ends the change under way: the engine serves what was ordered.
  void FinishChange();

  // Loses the change under way and all memory of it.
  void Crash();

  // Whether the server could be started.
  bool started = false;
  // Ends each change at once.
  bool immediate = false;
  std::vector<Order> orders;
  int conflicts = 0; // orders that came during a change
  bool changing = false;
  std::string role = "mixed";

private:
  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);
  void Take(const std::string& aBody);

  std::uint64_t mLastOrder = 0;
  std::uint64_t mFence = 0;
  HttpServer mServer;
};

} // namespace firefly::testing
