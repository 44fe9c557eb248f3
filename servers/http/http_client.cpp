#include "servers/http/http_client.h"

#include <algorithm>
#include <utility>

namespace firefly {

namespace {

// For a response that never ends.
constexpr Duration kTransferTimeout = std::chrono::seconds(10);

} // namespace

void
BoundByProgress(HttpCall& aCall, Duration aStall)
{
  aCall.stallTimeout = aStall;
  aCall.totalTimeout = std::max(kTransferTimeout, 2 * aStall);
}

void
HttpClient::Fetch(HttpCall aCall, Callback aCallback)
{
  struct Pending
  {
    HttpResult result;
    HttpTransferPtr transfer;
  };
  auto pending = std::make_shared<Pending>();
  HttpStreamHandlers handlers;
  handlers.onHead = [pending](int aStatus, const HttpHeaders& aHeaders) {
    pending->result.status = aStatus;
    pending->result.headers = aHeaders;
  };
  handlers.onBody = [pending](std::string_view aBytes) {
    pending->result.body += aBytes;
  };
  handlers.onDone = [pending, callback = std::move(aCallback)](
                      tl::expected<void, HttpError> aDone) {
    auto transfer = std::move(pending->transfer);
    if (aDone) {
      callback(std::move(pending->result));
    } else {
      callback(tl::unexpected(aDone.error()));
    }
  };
  pending->transfer = Stream(std::move(aCall), std::move(handlers));
}

} // namespace firefly
