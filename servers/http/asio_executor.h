#pragma once

// The executor of the daemons: one asio io_context that one thread runs.

#include <asio/io_context.hpp>

#include "core/executor.h"

namespace firefly {

// Measures time on CLOCK_BOOTTIME, which continues while the host is suspended,
// so that leases lapse during a suspension. Timers run on the steady clock,
// which stops during a suspension.
class AsioExecutor : public Executor
{
public:
  [[nodiscard]] Instant Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
  void Post(std::function<void()> aCallback) override;

  // Runs callbacks until Stop is called.
  void Run();

  // Makes Run return after the current callback.
  void Stop();

  // The io_context, for objects that own sockets.
  [[nodiscard]] asio::io_context& Context() { return mContext; }

protected:
  void Schedule(Duration aDelay, std::function<void()> aCallback) override;

private:
  asio::io_context mContext{ 1 };
};

} // namespace firefly
