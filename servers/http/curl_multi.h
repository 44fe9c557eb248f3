#pragma once

// libcurl's multi interface on an asio executor: its sockets, its timer, and
// the transfers that it drives.

#include <memory>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>

#include "servers/http/asio_executor.h"

namespace firefly {

struct CurlWatch;

// What the multi interface drives.
class CurlJob
{
public:
  virtual ~CurlJob() = default;

  [[nodiscard]] virtual CURL* Easy() const = 0;

  // Takes curl's verdict.
  virtual void Finish(CURLcode aCode) = 0;

  // Ends the job without a callback.
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

  // Both may be called inside curl's callbacks, where curl takes no calls:
  // there they are put off until curl has returned.
  void Add(const CurlJobPtr& aJob);
  void Remove(const CurlJobPtr& aJob);

  // Continues a held transfer; curl may hand over its bytes at once.
  void Continue(const CurlJobPtr& aJob);

  // Ends all transfers without a callback.
  void Shutdown();

  [[nodiscard]] AsioExecutor& GetExecutor() { return mExecutor; }

private:
  using WatchPtr = std::shared_ptr<CurlWatch>;

  static int OnSocket(CURL* aEasy,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void* aWatch);
  static int OnTimeout(CURLM* aMulti, long aMillis, void* aSelf);

  // Lets curl start what was added or resumed.
  void Kick();
  void Drive(curl_socket_t aSocket, int aEvents);
  void Collect();
  void CatchUp();
  void Arm(const WatchPtr& aWatch, curl_socket_t aSocket);
  void SetTimer(Duration aDelay);

  AsioExecutor& mExecutor;
  CURLM* mMulti;
  Timer mTimer;
  std::unordered_map<curl_socket_t, WatchPtr> mWatches;
  std::unordered_map<CURL*, CurlJobPtr> mJobs;
  std::vector<CurlJobPtr> mToAdd;
  std::vector<CurlJobPtr> mToRemove;
  bool mInsideCurl = false;
};

} // namespace firefly
