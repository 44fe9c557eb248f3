#pragma once

// Runs libcurl's multi interface on an asio executor: watches its sockets, runs
// its timer and drives its transfers.

#include <memory>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>

#include "servers/http/asio_executor.h"

namespace firefly {

struct SocketWatch;

// A transfer that CurlMulti drives.
class CurlJob
{
public:
  virtual ~CurlJob() = default;

  [[nodiscard]] virtual CURL* EasyHandle() const = 0;

  // Called with the result when curl has completed the transfer.
  virtual void Finish(CURLcode aCode) = 0;

  // Ends the transfer without a callback.
  virtual void Cancel() = 0;
};

using CurlJobPtr = std::shared_ptr<CurlJob>;

class CurlMulti : public std::enable_shared_from_this<CurlMulti>
{
public:
  CurlMulti(AsioExecutor& aExecutor, long aMaxPooledConnections);
  ~CurlMulti();
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  // Add and remove a transfer. Both may be called inside curl's callbacks,
  // where curl accepts no calls; they then take effect after curl has returned.
  void Add(const CurlJobPtr& aJob);
  void Remove(const CurlJobPtr& aJob);

  // Unpauses a transfer; curl may deliver its pending bytes during this call.
  void Unpause(const CurlJobPtr& aJob);

  // Ends all transfers without a callback.
  void Shutdown();

  [[nodiscard]] AsioExecutor& GetExecutor() { return mExecutor; }

private:
  using WatchPtr = std::shared_ptr<SocketWatch>;

  static int OnSocket(CURL* aEasy,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void* aWatch);
  static int OnTimeout(CURLM* aMulti, long aMillis, void* aSelf);

  // Runs the actions of curl that are due, such as to start added transfers or
  // to continue unpaused ones.
  void HandleTimeout();
  void HandleSocketEvents(curl_socket_t aSocket, int aEvents);
  void FinishCompletedTransfers();
  void ApplyDeferred();
  void WaitForEvents(const WatchPtr& aWatch, curl_socket_t aSocket);
  void SetTimer(Duration aDelay);

  AsioExecutor& mExecutor;
  CURLM* mMulti;
  Timer mTimer;
  std::unordered_map<curl_socket_t, WatchPtr> mWatches;
  std::unordered_map<CURL*, CurlJobPtr> mJobs;
  std::vector<CurlJobPtr> mPendingAdds;
  std::vector<CurlJobPtr> mPendingRemovals;
  bool mIsInsideCurl = false;
};

} // namespace firefly
