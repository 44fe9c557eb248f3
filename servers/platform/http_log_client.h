#pragma once

// The client of the platform's log over HTTP with JSON.

#include <memory>
#include <string>

#include "coord/log_client.h"
#include "core/clock.h"
#include "servers/http/http_client.h"

namespace firefly {

// Reports for each failed call whether it may have taken effect. A call that
// was not sent or that the log refused is kUnavailable and had no effect;
// status 410 is kTrimmed. Every other failed call is kUnknown: it was sent and
// got no response, a malformed one or a server error other than 503.
class HttpLogClient : public coord::LogClient
{
public:
  struct Options
  {
    std::string url;               // such as "http://10.0.0.1:9000/log"
    std::string streamPrefix = {}; // prepended to the name of each stream
    Duration connectTimeout = std::chrono::seconds(1);
    Duration requestTimeout = std::chrono::seconds(5);
    // How long the log may delay a read at the end of a stream to wait for a
    // new record (long polling); zero reads without waiting.
    Duration readWait = Duration::zero();
  };

  // The HTTP client must outlive this object.
  HttpLogClient(HttpClient& aClient, Options aOptions);

  void Append(const coord::StreamName& aStream,
              std::vector<std::string> aPayloads,
              AppendCallback aCallback) override;

  void Read(const coord::StreamName& aStream,
            coord::LogOffset aFrom,
            std::size_t aLimit,
            ReadCallback aCallback) override;

private:
  [[nodiscard]] HttpCall MakeCall(const coord::StreamName& aStream) const;

  HttpClient& mClient;
  Options mOptions;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly
