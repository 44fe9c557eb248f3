#include "servers/entry/engine_call.h"

namespace firefly {

HttpCall
MakeEngineCall(const ModelCall& aCall,
               const std::string& aEngineUrl,
               const EngineExtension& aExtension,
               const EngineCallLimits& aLimits)
{
  HttpCall call;
  call.method = "POST";
  call.url = aEngineUrl + aCall.path;
  call.headers = { { "Content-Type", "application/json" },
                   { "Accept", "text/event-stream" } };
  call.body = MakeEngineBody(aCall, aExtension);
  call.connectTimeout = aLimits.connectTimeout;
  call.totalTimeout = aLimits.requestTimeout;
  call.freshConnection = true;
  return call;
}

HttpCall
MakeCancelCall(const std::string& aEngineUrl,
               const std::string& aAttemptId,
               Duration aConnectTimeout)
{
  constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
  HttpCall call;
  call.method = "DELETE";
  call.url = aEngineUrl + "/requests/" + aAttemptId;
  call.connectTimeout = aConnectTimeout;
  call.totalTimeout = aConnectTimeout + kAnswerTimeout;
  return call;
}

} // namespace firefly
