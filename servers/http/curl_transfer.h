#pragma once

// One HTTP call on libcurl's easy interface.

#include <memory>
#include <string_view>

#include "servers/http/curl_multi.h"
#include "servers/http/http_client.h"

namespace firefly {

// One call. It lives until curl has released it, even if the caller destroys
// the handle inside one of curl's callbacks.
class CurlTransfer
  : public CurlJob
  , public std::enable_shared_from_this<CurlTransfer>
{
public:
  CurlTransfer(std::shared_ptr<CurlMulti> aMulti,
               CurlClient::Options aOptions,
               HttpCall aCall,
               HttpStreamHandlers aHandlers);
  ~CurlTransfer() override;
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  void Start();
  void Pause() { mPaused = true; }
  void Resume();

  // Ends the call; no handler is called any more.
  void Cancel() override;

  [[nodiscard]] CURL* EasyHandle() const override { return mEasy; }

  // Reports the result of curl to the handlers.
  void Finish(CURLcode aCode) override;

private:
  static int OnSocketCreated(void* aSelf,
                             curl_socket_t aSocket,
                             curlsocktype aPurpose);
  static size_t OnHeader(char* aData, size_t aSize, size_t aCount, void* aSelf);
  static size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aSelf);

  void Configure();
  void SetMethod();
  void CheckStall();
  void HandleHeaderLine(std::string_view aLine);
  size_t HandleBody(std::string_view aBytes);
  [[nodiscard]] HttpError ToError(CURLcode aCode) const;
  [[nodiscard]] bool NothingSent() const;

  std::shared_ptr<CurlMulti> mMulti;
  const CurlClient::Options mOptions;
  HttpCall mCall;
  HttpStreamHandlers mHandlers;
  CURL* mEasy;
  curl_slist* mHeaderList = nullptr;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::size_t mBodyBytes = 0;
  bool mPaused = false;
  bool mIsCurlPaused = false; // HandleBody told curl to pause
  // The status of the response is none.
  bool mIsInvalid = false;
  bool mTooLarge = false;
  bool mStalled = false;
  bool mCancelled = false;
  bool mFinished = false;
  Instant mLastReceivedAt{}; // data received, or Start or Resume called
  Timer mStallTimer;
};

} // namespace firefly
