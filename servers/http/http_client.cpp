#include "servers/http/http_client.h"

#include <utility>

namespace firefly {

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
