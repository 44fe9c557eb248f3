#include "servers/http/curl_multi.h"

#include <utility>

#include <asio/posix/stream_descriptor.hpp>

namespace firefly {

namespace {

using Descriptor = asio::posix::stream_descriptor;

} // namespace

// A socket that asio watches on behalf of curl. Curl owns and closes the
// socket, so asio releases the descriptor without closing it when curl no
// longer wants events.
struct SocketWatch
{
  explicit SocketWatch(Descriptor aDescriptor)
    : descriptor(std::move(aDescriptor))
  {
  }

  Descriptor descriptor;
  int wantedEvents = 0; // CURL_POLL_IN, CURL_POLL_OUT or both
  bool reading = false;
  bool writing = false;
  bool removed = false;
};

CurlMulti::CurlMulti(AsioExecutor& aExecutor, long aMaxPooledConnections)
  : mExecutor(aExecutor)
  , mMulti(curl_multi_init())
{
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &CurlMulti::OnSocket);
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &CurlMulti::OnTimeout);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, aMaxPooledConnections);
}

CurlMulti::~CurlMulti()
{
  curl_multi_cleanup(mMulti);
  for (auto& [socket, watch] : mWatches) {
    watch->removed = true;
    watch->descriptor.release();
  }
}

void
CurlMulti::Add(const CurlJobPtr& aJob)
{
  mPendingAdds.push_back(aJob);
  if (!mIsInsideCurl) {
    ApplyDeferred();
  }
}

void
CurlMulti::Remove(const CurlJobPtr& aJob)
{
  mPendingRemovals.push_back(aJob);
  if (!mIsInsideCurl) {
    ApplyDeferred();
  }
}

void
CurlMulti::ApplyDeferred()
{
  mIsInsideCurl = true;
  for (const auto& it : std::exchange(mPendingAdds, {})) {
    mJobs[it->EasyHandle()] = it;
    curl_multi_add_handle(mMulti, it->EasyHandle());
  }
  for (const auto& it : std::exchange(mPendingRemovals, {})) {
    if (mJobs.erase(it->EasyHandle()) > 0) {
      curl_multi_remove_handle(mMulti, it->EasyHandle());
    }
  }
  mIsInsideCurl = false;
}

void
CurlMulti::Shutdown()
{
  const auto transfers = mJobs;
  for (const auto& [easy, transfer] : transfers) {
    transfer->Cancel();
  }
}

void
CurlMulti::HandleTimeout()
{
  HandleSocketEvents(CURL_SOCKET_TIMEOUT, 0);
}

void
CurlMulti::Unpause(const CurlJobPtr& aJob)
{
  mIsInsideCurl = true;
  curl_easy_pause(aJob->EasyHandle(), CURLPAUSE_CONT);
  mIsInsideCurl = false;
  HandleTimeout();
}

int
CurlMulti::OnTimeout(CURLM* /*aMulti*/, long aMillis, void* aSelf)
{
  auto* self = static_cast<CurlMulti*>(aSelf);
  if (aMillis < 0) {
    self->mTimer.Cancel();
  } else {
    self->SetTimer(std::chrono::milliseconds(aMillis));
  }
  return 0;
}

void
CurlMulti::SetTimer(Duration aDelay)
{
  mTimer = mExecutor.RunAfter(aDelay, [this] { HandleTimeout(); });
}

int
CurlMulti::OnSocket(CURL* /*aEasy*/,
                    curl_socket_t aSocket,
                    int aWhat,
                    void* aSelf,
                    void* /*aWatch*/)
{
  auto* self = static_cast<CurlMulti*>(aSelf);
  const auto found = self->mWatches.find(aSocket);
  if (aWhat == CURL_POLL_REMOVE) {
    if (found != self->mWatches.end()) {
      found->second->removed = true;
      found->second->descriptor.release();
      self->mWatches.erase(found);
    }
    return 0;
  }
  WatchPtr watch;
  if (found != self->mWatches.end()) {
    watch = found->second;
  } else {
    watch = std::make_shared<SocketWatch>(
      Descriptor(self->mExecutor.Context(), aSocket));
    self->mWatches.emplace(aSocket, watch);
  }
  watch->wantedEvents = aWhat;
  self->WaitForEvents(watch, aSocket);
  return 0;
}

void
CurlMulti::WaitForEvents(const WatchPtr& aWatch, curl_socket_t aSocket)
{
  const auto wait = [&](Descriptor::wait_type aType,
                        int aInterest,
                        int aEvent,
                        bool SocketWatch::*aPending) {
    if ((aWatch->wantedEvents & aInterest) == 0 || (*aWatch).*aPending) {
      return;
    }
    (*aWatch).*aPending = true;
    aWatch->descriptor.async_wait(
      aType,
      [weak = weak_from_this(), aWatch, aSocket, aInterest, aEvent, aPending](
        const asio::error_code& aCode) {
        (*aWatch).*aPending = false;
        const auto self = weak.lock();
        if (!self || aWatch->removed ||
            (aWatch->wantedEvents & aInterest) == 0) {
          return;
        }
        self->HandleSocketEvents(aSocket, aCode ? CURL_CSELECT_ERR : aEvent);
        if (!aWatch->removed) {
          self->WaitForEvents(aWatch, aSocket);
        }
      });
  };
  wait(Descriptor::wait_read,
       CURL_POLL_IN,
       CURL_CSELECT_IN,
       &SocketWatch::reading);
  wait(Descriptor::wait_write,
       CURL_POLL_OUT,
       CURL_CSELECT_OUT,
       &SocketWatch::writing);
}

void
CurlMulti::HandleSocketEvents(curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  mIsInsideCurl = true;
  curl_multi_socket_action(mMulti, aSocket, aEvents, &running);
  mIsInsideCurl = false;
  ApplyDeferred();
  FinishCompletedTransfers();
}

void
CurlMulti::FinishCompletedTransfers()
{
  int left = 0;
  while (auto* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto code = message->data.result;
    const auto it = mJobs.find(message->easy_handle);
    if (it != mJobs.end()) {
      const auto transfer = it->second;
      transfer->Finish(code);
    }
  }
}

} // namespace firefly
