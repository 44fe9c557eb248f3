#pragma once

// A simulated engine for tests on the virtual clock. It accepts orders, takes
// some time to carry out each change, and can lose an order or crash during a
// change.

#include <cstdint>
#include <vector>

#include "core/virtual_executor.h"
#include "servers/steward/engine_client.h"

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

  // Accepts an order and applies it after the duration of a change.
  void AcceptOrder(const coord::Order& aOrder)
  {
    orders.push_back(aOrder);
    conflicts += state.changing ? 1 : 0;
    runningAtOrder += state.running;
    state.changing = true;
    state.lastOrder = aOrder.id;
    state.fence = aOrder.fence;
    mChangeTimer = mExecutor.RunAfter(std::chrono::seconds(3), [this, aOrder] {
      state.changing = false;
      state.role = aOrder.wanted.role;
      state.model = aOrder.wanted.model;
    });
  }

  // Aborts the change in progress and forgets the last order.
  void Crash()
  {
    mChangeTimer.Cancel();
    state.changing = false;
    state.lastOrder = coord::OrderId(0);
    state.fence = FencingNumber(0);
  }

  EngineState state;
  std::vector<coord::Order> orders;
  std::uint64_t conflicts = 0;      // orders that arrived during a change
  std::uint64_t runningAtOrder = 0; // requests in flight when orders arrived
  bool losesOrders = false; // orders never arrive; the sender gets kUnknown

private:
  VirtualExecutor& mExecutor;
  Timer mChangeTimer;
};

// The connection of one steward to the simulated engine.
class FakeEngineClient : public EngineClient
{
public:
  FakeEngineClient(Executor& aExecutor, FakeEngine& aEngine)
    : mExecutor(aExecutor)
    , mEngine(aEngine)
  {
  }

  void SendOrder(const coord::Order& aOrder, OrderCallback aCallback) override
  {
    if (mEngine.losesOrders) {
      RunLater([callback = std::move(aCallback)] {
        callback(tl::make_unexpected(
          EngineError{ .kind = EngineErrorKind::kUnknown, .message = {} }));
      });
      return;
    }
    mEngine.AcceptOrder(aOrder);
    RunLater([callback = std::move(aCallback)] { callback({}); });
  }

  void ReadState(StateCallback aCallback) override
  {
    RunLater(
      [this, callback = std::move(aCallback)] { callback(mEngine.state); });
  }

  void Reset() override { mTimers.clear(); }

private:
  void RunLater(std::function<void()> aCallback)
  {
    mTimers.push_back(
      mExecutor.RunAfter(std::chrono::milliseconds(5), std::move(aCallback)));
  }

  Executor& mExecutor;
  FakeEngine& mEngine;
  std::vector<Timer> mTimers;
};

} // namespace firefly::testing
