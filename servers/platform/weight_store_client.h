#pragma once

// The platform's weight store. Its rate is limited: before an engine is
// ordered to load a model, a load is reserved here.

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "core/ids.h"
#include "servers/http/http_client.h"
#include "servers/platform/host_list_client.h"

namespace firefly {

// The store, as an interface for tests.
class WeightStore
{
public:
  using Callback = std::function<void(tl::expected<void, PlatformError>)>;

  virtual ~WeightStore() = default;

  // Reserves one load of the model; kLimited tells when to ask again. The
  // callback never runs inside the call.
  virtual void Reserve(const ModelId& aModel, Callback aCallback) = 0;
};

// The store over HTTP.
class WeightStoreClient : public WeightStore
{
public:
  struct Options
  {
    std::string url; // such as "http://10.0.0.1:9000/weights"
    Duration requestTimeout = std::chrono::seconds(5);
  };

  // The client must outlive this one.
  WeightStoreClient(HttpClient& aClient, Options aOptions);

  void Reserve(const ModelId& aModel, Callback aCallback) override;

private:
  HttpClient& mClient;
  Options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly
