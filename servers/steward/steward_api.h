#pragma once

// The operators' commands on the steward's HTTP port:
//
//   GET  /fleet              the holder and the plan
//   POST /drain/{backend}    out of service, once its work is done
//   POST /undrain/{backend}  back into service
//   POST /role/{backend}     {"role": "mixed" | "prefill" | "decode"}
//   POST /load/{backend}     {"model", "version", "adapter"}
//
// A command is answered with 202 once the holder has taken it on; /fleet shows
// its course. A steward that doesn't hold the authority answers 421 and names
// the holder.

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
    // The operators' port of each steward, by host.
    std::map<HostId, std::string> urls;
  };

  // The service must outlive this object.
  StewardApi(StewardService& aService, Options aOptions);

  // Answers one request.
  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

private:
  [[nodiscard]] HttpResponse ShowFleet() const;
  HttpResponse Command(const std::string& aVerb,
                       const BackendId& aBackend,
                       const std::string& aBody);
  [[nodiscard]] HttpResponse Misdirected() const;

  StewardService& mService;
  Options mOptions;
};

} // namespace firefly
