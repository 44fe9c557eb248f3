#include "servers/http/asio_executor.h"

#include <ctime>
#include <memory>
#include <utility>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace firefly {

Instant
AsioExecutor::Now() const
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::nanoseconds(time.tv_nsec));
}

WallTime
AsioExecutor::WallNow() const
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

void
AsioExecutor::Post(std::function<void()> aCallback)
{
  asio::post(mContext, std::move(aCallback));
}

void
AsioExecutor::Run()
{
  auto guard = asio::make_work_guard(mContext);
  mContext.run();
}

void
AsioExecutor::Stop()
{
  mContext.stop();
}

void
AsioExecutor::Schedule(Duration aDelay, std::function<void()> aCallback)
{
  auto timer = std::make_shared<asio::steady_timer>(mContext, aDelay);
  timer->async_wait(
    [timer, callback = std::move(aCallback)](const asio::error_code& aCode) {
      if (!aCode) {
        callback();
      }
    });
}

} // namespace firefly
