#pragma once

// The platform's log over HTTP and JSON.

#include <memory>
#include <string>

#include "coord/log_client.h"
#include "core/clock.h"
#include "servers/http/http_client.h"

namespace firefly {

// Maps the transport's errors truthfully: a call that was not sent or that the
// log refused had no effect; one that was sent and got no answer is unknown.
class HttpLogClient : public coord::LogClient
{
public:
  struct Options
  {
    std::string url;               // such as "http://10.0.0.1:9000/log"
    std::string streamPrefix = {}; // put before the name of each stream
    Duration connectTimeout = std::chrono::seconds(1);
    Duration requestTimeout = std::chrono::seconds(5);
    // How long the log may hold a read at the end of a stream until a record
    // comes; zero reads without waiting.
    Duration readWait = Duration::zero();
  };

  // The client must outlive the log client.
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
