#pragma once

// Builds the HTTP calls that an entry makes to a model engine.

#include <string>

#include "servers/entry/caller_request.h"
#include "servers/http/http_client.h"

namespace firefly {

// Timeouts of calls to engines.
struct EngineCallLimits
{
  Duration connectTimeout{};
  Duration requestTimeout{};
};

// Builds the streaming request for one attempt. It uses a connection of its
// own: a late copy of an earlier response on a pooled one, such as a rejection,
// would be taken for the response to this attempt.
HttpCall
MakeEngineCall(const ModelCall& aCall,
               const std::string& aEngineUrl,
               const EngineExtension& aExtension,
               const EngineCallLimits& aLimits);

// Builds the request that cancels an attempt whose output is no longer used,
// because the attempt failed, or the router cancelled it or declined it.
HttpCall
MakeCancelCall(const std::string& aEngineUrl,
               const std::string& aAttemptId,
               Duration aConnectTimeout);

} // namespace firefly
