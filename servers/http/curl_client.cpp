#include "servers/http/http_client.h"

#include <utility>

#include "servers/http/curl_multi.h"
#include "servers/http/curl_transfer.h"

namespace firefly {

namespace {

// The caller's handle of a transfer; destroying it cancels the call.
class CurlTransferHandle : public HttpTransfer
{
public:
  explicit CurlTransferHandle(std::shared_ptr<CurlTransfer> aTransfer)
    : mTransfer(std::move(aTransfer))
  {
  }
  ~CurlTransferHandle() override { mTransfer->Cancel(); }
  CurlTransferHandle(const CurlTransferHandle&) = delete;
  CurlTransferHandle& operator=(const CurlTransferHandle&) = delete;

  void Pause() override { mTransfer->Pause(); }
  void Resume() override { mTransfer->Resume(); }

private:
  std::shared_ptr<CurlTransfer> mTransfer;
};

} // namespace

CurlClient::CurlClient(AsioExecutor& aExecutor, Options aOptions)
  : mOptions(aOptions)
  , mMulti(
      std::make_shared<CurlMulti>(aExecutor, aOptions.maxPooledConnections))
{
}

CurlClient::~CurlClient()
{
  mMulti->Shutdown();
}

HttpTransferPtr
CurlClient::Stream(HttpCall aCall, HttpStreamHandlers aHandlers)
{
  auto transfer = std::make_shared<CurlTransfer>(
    mMulti, mOptions, std::move(aCall), std::move(aHandlers));
  transfer->Start();
  return std::make_unique<CurlTransferHandle>(std::move(transfer));
}

} // namespace firefly
