#pragma once

// The HTTP API for operators on the steward's admin port:
//
//   GET  /fleet              shows the holder and the plan
//   POST /drain/{backend}    takes it out of service once its requests end
//   POST /undrain/{backend}  puts it back into service
//   POST /role/{backend}     {"role": "mixed" | "prefill" | "decode"}
//   POST /load/{backend}     {"model", "version", "adapter"}
//
// The holder of the authority answers a command with 202 when it has accepted
// the command; /fleet shows the progress. A steward that does not hold the
// authority answers a command with 421 and names the holder if it knows it.

#include <map>
#include <string>

#include "servers/http/http_server.h"
#include "servers/steward/steward_service.h"

namespace firefly {

class StewardApi
{
public:
  struct Options
  {
    // The URL of each steward's admin port, by host.
    std::map<HostId, std::string> urls;
  };

  // The service must outlive this object.
  StewardApi(StewardService& aService, Options aOptions);

  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

private:
  [[nodiscard]] HttpResponse FleetResponse() const;
  HttpResponse HandleCommand(const std::string& aVerb,
                             const BackendId& aBackend,
                             const std::string& aBody);
  [[nodiscard]] HttpResponse NotHolderResponse() const;

  StewardService& mService;
  Options mOptions;
};

} // namespace firefly
