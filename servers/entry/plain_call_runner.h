#pragma once

// One call to a plain service's backend server, collected whole.

#include <functional>
#include <string>

#include "servers/entry/caller_request.h"
#include "servers/entry/outstanding_attempts.h"
#include "servers/http/http_client.h"

namespace firefly {

// The call that a caller's request becomes at the backend server.
HttpCall
MakePlainCall(const PlainCall& aCall,
              const std::string& aBackendUrl,
              const EntrySettings& aLimits,
              bool aFreshConnection);

// A running call; dropping it cancels the call without a callback.
class PlainCallRunner
{
public:
  using Callback = std::function<void(tl::expected<HttpResult, HttpError>)>;

  PlainCallRunner(HttpClient& aClient,
                  HttpCall aCall,
                  OutstandingAttempts::Token aToken,
                  Callback aCallback);
  PlainCallRunner(const PlainCallRunner&) = delete;
  PlainCallRunner& operator=(const PlainCallRunner&) = delete;

private:
  OutstandingAttempts::Token mToken;
  Callback mCallback;
  HttpResult mResult;
  HttpTransferPtr mTransfer;
};

// The service's answer for the caller, with the request's id.
HttpResponse
ToCallerResponse(HttpResult aResult, const std::string& aRequestId);

} // namespace firefly
