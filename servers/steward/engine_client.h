#pragma once

// Sends orders to one engine and reads the state that the engine reports.

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "coord/authority_state.h"
#include "servers/http/http_client.h"

namespace firefly {

// The state that an engine reports about itself.
struct EngineState
{
  coord::BackendRole role = coord::BackendRole::kMixed;
  ModelId model;
  std::optional<std::string> modelVersion; // if the engine reports it
  std::optional<std::string> adapter;      // if the engine reports it
  std::uint64_t running = 0; // requests that the engine is processing
  coord::OrderId lastOrder;  // zero before the first order
  FencingNumber fence;       // of the last order
  bool changing = false;     // an accepted order is still being carried out

  // Whether the engine serves the wanted state. A model version or an adapter
  // that the engine does not report counts as a match.
  [[nodiscard]] bool Serves(const coord::WantedState& aWanted) const;
};

enum class EngineErrorKind
{
  kNotSent, // the order cannot have reached the engine
  kRefused, // the engine refused the call, for example for a stale fence
  kUnknown, // the order may have arrived; there is no usable response
};

// Why a call to an engine failed.
struct EngineError
{
  EngineErrorKind kind = EngineErrorKind::kUnknown;
  std::string message;
};

// A client of one engine; an interface so that tests can replace it. Callbacks
// never run inside the call that registers them.
class EngineClient
{
public:
  using OrderCallback = std::function<void(tl::expected<void, EngineError>)>;
  using StateCallback =
    std::function<void(tl::expected<EngineState, EngineError>)>;

  virtual ~EngineClient() = default;

  // Sends the order. Success means that the engine has accepted the order, not
  // that it has carried it out.
  virtual void SendOrder(const coord::Order& aOrder,
                         OrderCallback aCallback) = 0;

  virtual void ReadState(StateCallback aCallback) = 0;

  // Cancels all pending calls without running their callbacks and closes their
  // connections.
  virtual void Reset() = 0;
};

// A client that reaches the engine over HTTP with JSON bodies: POST /orders
// and GET /state.
class HttpEngineClient : public EngineClient
{
public:
  struct Options
  {
    std::string url;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration requestTimeout = std::chrono::seconds(2);
  };

  // The HTTP client must outlive this object.
  HttpEngineClient(HttpClient& aClient, Options aOptions);

  void SendOrder(const coord::Order& aOrder, OrderCallback aCallback) override;
  void ReadState(StateCallback aCallback) override;
  void Reset() override { mCalls.clear(); }

private:
  using Callback = std::function<void(tl::expected<HttpResult, HttpError>)>;

  struct PendingCall
  {
    HttpResult result;
    Callback callback;
    HttpTransferPtr transfer;
  };

  void StartCall(HttpCall aCall, Callback aCallback);
  void FinishCall(std::list<PendingCall>::iterator aCall,
                  const tl::expected<void, HttpError>& aDone);

  HttpClient& mClient;
  Options mOptions;
  std::list<PendingCall> mCalls;
};

} // namespace firefly
