#pragma once

// The executor of the daemons: one asio io_context, run by one thread.

#include <asio/io_context.hpp>

#include "core/executor.h"

namespace firefly {

// Counts time on CLOCK_BOOTTIME, so that a suspended host's leases lapse.
class AsioExecutor : public Executor
{
public:
  [[nodiscard]] Instant Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
  void Post(std::function<void()> aCallback) override;

  // Runs callbacks until Stop is called.
  void Run();

  // Lets Run return after the callback that is running now.
  void Stop();

  // For the tasks that own sockets.
  [[nodiscard]] asio::io_context& Context() { return mContext; }

protected:
  void Schedule(Duration aDelay, std::function<void()> aCallback) override;

private:
  asio::io_context mContext{ 1 };
};

} // namespace firefly
