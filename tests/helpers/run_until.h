#pragma once

// Runs an asio executor in a test until a condition is true.

#include <chrono>
#include <functional>

#include "servers/http/asio_executor.h"

namespace firefly::testing {

// Returns true once the condition holds, or false after the limit.
inline bool
RunUntil(AsioExecutor& aExecutor,
         const std::function<bool()>& aCondition,
         std::chrono::seconds aLimit = std::chrono::seconds(30))
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    aExecutor.Context().restart();
    aExecutor.Context().run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

} // namespace firefly::testing
