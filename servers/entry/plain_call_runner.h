#pragma once

// Runs one call to a plain service's backend server and buffers its whole
// answer.

#include <functional>
#include <string>

#include "servers/entry/caller_request.h"
#include "servers/entry/outstanding_attempts.h"
#include "servers/http/http_client.h"

namespace firefly {

// Builds the call to the backend server for a caller's request. It uses a
// connection of its own: services need not name the request in their responses,
// so that a late copy of an earlier response on a pooled connection could not
// be told from the response to this call.
HttpCall
MakePlainCall(const PlainCall& aCall,
              const std::string& aBackendUrl,
              const EntrySettings& aLimits);

// A running call. Destroying it cancels the call without a callback.
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

// Converts the service's answer to the response for the caller and adds the
// request id.
HttpResponse
ToCallerResponse(HttpResult aResult, const std::string& aRequestId);

} // namespace firefly
