#pragma once

// Orders to one engine, and what it says of itself.

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "coord/authority_state.h"
#include "servers/http/http_client.h"

namespace firefly {

// An engine's own view of itself.
struct EngineState
{
  coord::BackendRole role = coord::BackendRole::kMixed;
  ModelId model;
  std::optional<std::string> modelVersion; // if it tells
  std::optional<std::string> adapter;      // if it tells
  std::uint64_t running = 0;               // requests
  coord::OrderId lastOrder;                // zero before the first order
  FencingNumber fence;                     // of that order
  bool changing = false; // an order was taken and is not done yet

  // Whether it serves what is wanted.
  [[nodiscard]] bool Serves(const coord::WantedState& aWanted) const;
};

enum class EngineErrorKind
{
  kNotSent, // the order can't have reached the engine
  kRefused, // the engine refused it, such as for an older fencing number
  kUnknown, // sent, and no answer that can be read
};

// Why a call to an engine failed.
struct EngineError
{
  EngineErrorKind kind = EngineErrorKind::kUnknown;
  std::string message;
};

// One engine, as an interface for tests. Callbacks never run inside the call.
class EngineLink
{
public:
  using OrderCallback = std::function<void(tl::expected<void, EngineError>)>;
  using StateCallback =
    std::function<void(tl::expected<EngineState, EngineError>)>;

  virtual ~EngineLink() = default;

  // Sends the order; success means that the engine has taken it.
  virtual void SendOrder(const coord::Order& aOrder,
                         OrderCallback aCallback) = 0;

  virtual void ReadState(StateCallback aCallback) = 0;

  // Drops all calls under way without their callbacks, and closes their
  // connections.
  virtual void Reset() = 0;
};

// An engine over HTTP and JSON: POST /orders and GET /state.
class HttpEngineLink : public EngineLink
{
public:
  struct Options
  {
    std::string url;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration requestTimeout = std::chrono::seconds(2);
  };

  // The client must outlive the link.
  HttpEngineLink(HttpClient& aClient, Options aOptions);

  void SendOrder(const coord::Order& aOrder, OrderCallback aCallback) override;
  void ReadState(StateCallback aCallback) override;
  void Reset() override { mCalls.clear(); }

private:
  using Callback = std::function<void(tl::expected<HttpResult, HttpError>)>;

  struct Call
  {
    HttpResult result;
    Callback callback;
    HttpTransferPtr transfer;
  };

  void Start(HttpCall aCall, Callback aCallback);
  void Finish(std::list<Call>::iterator aCall,
              const tl::expected<void, HttpError>& aDone);

  HttpClient& mClient;
  Options mOptions;
  std::list<Call> mCalls;
};

} // namespace firefly
