#pragma once

// An engine for tests on the virtual clock: takes orders, is busy with a
// change for a while, and may lose an order or crash in the middle of one.

#include <cstdint>
#include <vector>

#include "core/virtual_executor.h"
#include "servers/steward/engine_link.h"

namespace firefly::testing {

class FakeEngine
{
public:
  explicit FakeEngine(VirtualExecutor& aExecutor)
    : mExecutor(aExecutor)
  {
    state.role = coord::BackendRole::kMixed;
    state.model = ModelId("model");
  }

  // Applies an order after the time that a change takes.
  void Take(const coord::Order& aOrder)
  {
    orders.push_back(aOrder);
    conflicts += state.changing ? 1 : 0;
    runningAtOrder += state.running;
    state.changing = true;
    state.lastOrder = aOrder.id;
    state.fence = aOrder.fence;
    mChange = mExecutor.RunAfter(std::chrono::seconds(3), [this, aOrder] {
      state.changing = false;
      state.role = aOrder.wanted.role;
      state.model = aOrder.wanted.model;
    });
  }

  // Loses the change under way and all memory of its order.
  void Crash()
  {
    mChange.Cancel();
    state.changing = false;
    state.lastOrder = coord::OrderId(0);
    state.fence = FencingNumber(0);
  }

  EngineState state;
  std::vector<coord::Order> orders;
  std::uint64_t conflicts = 0;      // orders that came during a change
  std::uint64_t runningAtOrder = 0; // requests that an order cut
  bool losesOrders = false;         // they never arrive, unknown to the sender

private:
  VirtualExecutor& mExecutor;
  Timer mChange;
};

// One steward's link to it.
class FakeEngineLink : public EngineLink
{
public:
  FakeEngineLink(Executor& aExecutor, FakeEngine& aEngine)
    : mExecutor(aExecutor)
    , mEngine(aEngine)
  {
  }

  void SendOrder(const coord::Order& aOrder, OrderCallback aCallback) override
  {
    if (mEngine.losesOrders) {
      Later([callback = std::move(aCallback)] {
        callback(tl::make_unexpected(
          EngineError{ .kind = EngineErrorKind::kUnknown, .message = {} }));
      });
      return;
    }
    mEngine.Take(aOrder);
    Later([callback = std::move(aCallback)] { callback({}); });
  }

  void ReadState(StateCallback aCallback) override
  {
    Later([this, callback = std::move(aCallback)] { callback(mEngine.state); });
  }

  void Reset() override { mTimers.clear(); }

private:
  void Later(std::function<void()> aCallback)
  {
    mTimers.push_back(
      mExecutor.RunAfter(std::chrono::milliseconds(5), std::move(aCallback)));
  }

  Executor& mExecutor;
  FakeEngine& mEngine;
  std::vector<Timer> mTimers;
};

} // namespace firefly::testing
