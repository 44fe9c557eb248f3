#pragma once

// Prevents callbacks from running after their object was destroyed.

#include <memory>
#include <utility>

namespace firefly::coord {

// Make this a member of an object whose callbacks may outlive it. A wrapped
// callback does nothing once the guard has been destroyed.
class CallbackGuard
{
public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;
  ~CallbackGuard() = default;

  template<typename Callback>
  [[nodiscard]] auto Wrap(Callback aCallback) const
  {
    return [alive = std::weak_ptr<char>(mToken),
            callback = std::move(aCallback)](auto&&... aArgs) mutable {
      if (!alive.expired()) {
        callback(std::forward<decltype(aArgs)>(aArgs)...);
      }
    };
  }

private:
  std::shared_ptr<char> mToken = std::make_shared<char>();
};

} // namespace firefly::coord
