#pragma once

// The client of the platform's weight store. The store limits the rate of
// loads, so a load is reserved here before an engine is ordered to load a
// model.

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "core/ids.h"
#include "servers/http/http_client.h"
#include "servers/platform/host_list_client.h"

namespace firefly {

// The weight store; an interface so that tests can replace it.
class WeightStore
{
public:
  using Callback = std::function<void(tl::expected<void, PlatformError>)>;

  virtual ~WeightStore() = default;

  // Reserves one load of the model. The error kLimited states when to retry.
  // The callback never runs inside this call.
  virtual void Reserve(const ModelId& aModel, Callback aCallback) = 0;
};

// The client that calls the weight store over HTTP.
class WeightStoreClient : public WeightStore
{
public:
  struct Options
  {
    std::string url; // such as "http://10.0.0.1:9000/weights"
    Duration requestTimeout = std::chrono::seconds(5);
  };

  // The HTTP client must outlive this object.
  WeightStoreClient(HttpClient& aClient, Options aOptions);

  void Reserve(const ModelId& aModel, Callback aCallback) override;

private:
  HttpClient& mClient;
  Options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly
