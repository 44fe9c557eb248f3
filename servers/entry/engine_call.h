#pragma once

// The calls that an entry makes to a model engine.

#include <string>

#include "servers/entry/caller_request.h"
#include "servers/http/http_client.h"

namespace firefly {

// Times and limits of the calls to engines.
struct EngineCallLimits
{
  Duration connectTimeout{};
  Duration requestTimeout{};
};

// The streamed request for one attempt. Attempts after the first use a fresh
// connection, in case the pooled ones are silently dead.
HttpCall
MakeEngineCall(const ModelCall& aCall,
               const std::string& aEngineUrl,
               const EngineExtension& aExtension,
               const EngineCallLimits& aLimits,
               bool aFreshConnection);

// Tells the engine that nobody waits for the attempt any more.
HttpCall
MakeCancelCall(const std::string& aEngineUrl,
               const std::string& aAttemptId,
               Duration aConnectTimeout);

} // namespace firefly
