#include "servers/http/http_client.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace firefly {

namespace {

using Descriptor = asio::posix::stream_descriptor;

constexpr long kHttpHeadersBytes = 64L << 10U;

long
ToMillis(Duration aDuration)
{
  const auto n =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return std::max<long>(1, n);
}

std::string_view
TrimSpace(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r\n";
  const auto first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

// One socket of curl's, watched for curl through a duplicate descriptor, so
// that asio and curl each close their own.
struct Watch
{
  explicit Watch(Descriptor aDescriptor)
    : descriptor(std::move(aDescriptor))
  {
  }

  Descriptor descriptor;
  int wanted = 0; // CURL_POLL_IN, CURL_POLL_OUT or both
  bool reading = false;
  bool writing = false;
  bool removed = false;
};

using WatchPtr = std::shared_ptr<Watch>;

} // namespace

class CurlClient::Impl : public std::enable_shared_from_this<CurlClient::Impl>
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  class Transfer;
  class Handle;
  using TransferPtr = std::shared_ptr<Transfer>;

  // Both may be called inside curl's callbacks, where curl takes no calls:
  // there they are put off until curl has returned.
  void Add(const TransferPtr& aTransfer);
  void Remove(const TransferPtr& aTransfer);

  // Lets curl start what was added or resumed.
  void Kick();

  // Continues a held transfer; curl may hand over its bytes at once.
  void Continue(const TransferPtr& aTransfer);

  // Ends all transfers without a callback.
  void Shutdown();

  AsioExecutor& mExecutor;
  const Options mOptions;

private:
  static int OnSocket(CURL* aEasy,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void* aWatch);
  static int OnTimeout(CURLM* aMulti, long aMillis, void* aSelf);

  void Drive(curl_socket_t aSocket, int aEvents);
  void Collect();
  void CatchUp();
  void Arm(const WatchPtr& aWatch, curl_socket_t aSocket);
  void SetTimer(Duration aDelay);

  CURLM* mMulti;
  Timer mTimer;
  std::unordered_map<curl_socket_t, WatchPtr> mWatches;
  std::unordered_map<CURL*, TransferPtr> mTransfers;
  std::vector<TransferPtr> mToAdd;
  std::vector<TransferPtr> mToRemove;
  bool mInsideCurl = false;
};

// One call. It lives until curl has let go of it, even when its user has
// dropped the handle inside one of curl's callbacks.
class CurlClient::Impl::Transfer
  : public std::enable_shared_from_this<CurlClient::Impl::Transfer>
{
public:
  Transfer(std::shared_ptr<Impl> aOwner,
           HttpCall aCall,
           HttpStreamHandlers aHandlers);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  void Start();
  void Pause() { mPaused = true; }
  void Resume();

  // No handler is called any more.
  void Cancel();

  [[nodiscard]] CURL* Easy() const { return mEasy; }

  // Takes curl's verdict and reports it.
  void Finish(CURLcode aCode);

private:
  static int OnSocketMade(void* aSelf,
                          curl_socket_t aSocket,
                          curlsocktype aPurpose);
  static size_t OnHeader(char* aData, size_t aSize, size_t aCount, void* aSelf);
  static size_t OnBody(char* aData, size_t aSize, size_t aCount, void* aSelf);

  void Configure();
  void SetMethod();
  void WatchStall();
  void TakeHeaderLine(std::string_view aLine);
  size_t TakeBody(std::string_view aBytes);
  [[nodiscard]] HttpError ToError(CURLcode aCode) const;
  [[nodiscard]] bool NothingSent() const;

  std::shared_ptr<Impl> mOwner;
  HttpCall mCall;
  HttpStreamHandlers mHandlers;
  CURL* mEasy;
  curl_slist* mHeaderList = nullptr;
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::size_t mBodyBytes = 0;
  bool mPaused = false;
  bool mHeld = false; // curl was told to pause
  bool mTooLarge = false;
  bool mStalled = false;
  bool mCancelled = false;
  bool mFinished = false;
  Instant mLastBytes{};
  Timer mStallTimer;
};

CurlClient::Impl::Transfer::Transfer(std::shared_ptr<Impl> aOwner,
                                     HttpCall aCall,
                                     HttpStreamHandlers aHandlers)
  : mOwner(std::move(aOwner))
  , mCall(std::move(aCall))
  , mHandlers(std::move(aHandlers))
  , mEasy(curl_easy_init())
{
  Configure();
}

CurlClient::Impl::Transfer::~Transfer()
{
  curl_easy_cleanup(mEasy);
  curl_slist_free_all(mHeaderList);
}

void
CurlClient::Impl::Transfer::Start()
{
  mLastBytes = mOwner->mExecutor.Now();
  mOwner->Add(shared_from_this());
  WatchStall();
}

void
CurlClient::Impl::Transfer::Cancel()
{
  mCancelled = true;
  mStallTimer.Cancel();
  mOwner->Remove(shared_from_this());
}

// What the user holds; dropping it cancels the call.
class CurlClient::Impl::Handle : public HttpTransfer
{
public:
  explicit Handle(TransferPtr aTransfer)
    : mTransfer(std::move(aTransfer))
  {
  }
  ~Handle() override { mTransfer->Cancel(); }
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;

  void Pause() override { mTransfer->Pause(); }
  void Resume() override { mTransfer->Resume(); }

private:
  TransferPtr mTransfer;
};

void
CurlClient::Impl::Transfer::SetMethod()
{
  if (mCall.method == "GET") {
    return;
  }
  if (mCall.method == "POST" || !mCall.body.empty()) {
    curl_easy_setopt(mEasy, CURLOPT_POST, 1L);
    curl_easy_setopt(mEasy, CURLOPT_POSTFIELDS, mCall.body.data());
    curl_easy_setopt(mEasy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(mCall.body.size()));
  }
  curl_easy_setopt(mEasy, CURLOPT_CUSTOMREQUEST, mCall.method.c_str());
}

void
CurlClient::Impl::Transfer::Configure()
{
  curl_easy_setopt(mEasy, CURLOPT_URL, mCall.url.c_str());
  curl_easy_setopt(mEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(mEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(mEasy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(mEasy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(mEasy, CURLOPT_BUFFERSIZE, kHttpHeadersBytes / 4);
  curl_easy_setopt(
    mEasy, CURLOPT_CONNECTTIMEOUT_MS, ToMillis(mCall.connectTimeout));
  curl_easy_setopt(mEasy, CURLOPT_TIMEOUT_MS, ToMillis(mCall.totalTimeout));
  if (mCall.freshConnection) {
    curl_easy_setopt(mEasy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(mEasy, CURLOPT_FORBID_REUSE, 1L);
  }
  SetMethod();
  for (const auto& it : mCall.headers) {
    mHeaderList =
      curl_slist_append(mHeaderList, (it.name + ": " + it.value).c_str());
  }
  mHeaderList = curl_slist_append(mHeaderList, "Expect:");
  curl_easy_setopt(mEasy, CURLOPT_HTTPHEADER, mHeaderList);
  curl_easy_setopt(mEasy, CURLOPT_SOCKOPTFUNCTION, &Transfer::OnSocketMade);
  curl_easy_setopt(mEasy, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(mEasy, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(mEasy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(mEasy, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(mEasy, CURLOPT_WRITEDATA, this);
}

int
CurlClient::Impl::Transfer::OnSocketMade(void* aSelf,
                                         curl_socket_t aSocket,
                                         curlsocktype /*aPurpose*/)
{
  const Options& options = static_cast<Transfer*>(aSelf)->mOwner->mOptions;
  bool set = true;
  if (options.userTimeout > Duration::zero()) {
    const auto limit = static_cast<unsigned>(ToMillis(options.userTimeout));
    set = setsockopt(
            aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit)) == 0;
  }
  if (options.resetOnClose) {
    const linger reset{ .l_onoff = 1, .l_linger = 0 };
    set =
      setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) == 0 &&
      set;
  }
  return set ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

void
CurlClient::Impl::Transfer::WatchStall()
{
  if (mCall.stallTimeout == Duration::zero()) {
    return;
  }
  const auto due = mLastBytes + mCall.stallTimeout;
  const auto wait = due - mOwner->mExecutor.Now();
  if (wait <= Duration::zero() && !mPaused) {
    mStalled = true;
    Finish(CURLE_OPERATION_TIMEDOUT);
    return;
  }
  const auto delay = std::max<Duration>(wait, std::chrono::milliseconds(1));
  mStallTimer = mOwner->mExecutor.RunAfter(mPaused ? mCall.stallTimeout : delay,
                                           [this] { WatchStall(); });
}

void
CurlClient::Impl::Transfer::Resume()
{
  mPaused = false;
  mLastBytes = mOwner->mExecutor.Now();
  if (!mHeld) {
    return;
  }
  mHeld = false;
  mOwner->mExecutor.Post([self = shared_from_this(), owner = mOwner] {
    if (!self->mCancelled && !self->mFinished) {
      owner->Continue(self);
    }
  });
}

size_t
CurlClient::Impl::Transfer::OnHeader(char* aData,
                                     size_t aSize,
                                     size_t aCount,
                                     void* aSelf)
{
  auto* self = static_cast<Transfer*>(aSelf);
  const auto n = aSize * aCount;
  self->TakeHeaderLine({ aData, n });
  return n;
}

void
CurlClient::Impl::Transfer::TakeHeaderLine(std::string_view aLine)
{
  mLastBytes = mOwner->mExecutor.Now();
  if (aLine.starts_with("HTTP/")) {
    mHeaders.clear();
    return;
  }
  const auto colon = aLine.find(':');
  if (colon != std::string_view::npos) {
    mHeaders.push_back({ std::string(TrimSpace(aLine.substr(0, colon))),
                         std::string(TrimSpace(aLine.substr(colon + 1))) });
    return;
  }
  long status = 0;
  curl_easy_getinfo(mEasy, CURLINFO_RESPONSE_CODE, &status);
  constexpr long kFirstFinalStatus = 200;
  if (!TrimSpace(aLine).empty() || status < kFirstFinalStatus) {
    return;
  }
  mStatus = static_cast<int>(status);
  if (!mCancelled && mHandlers.onHead) {
    mHandlers.onHead(mStatus, mHeaders);
  }
}

size_t
CurlClient::Impl::Transfer::OnBody(char* aData,
                                   size_t aSize,
                                   size_t aCount,
                                   void* aSelf)
{
  return static_cast<Transfer*>(aSelf)->TakeBody({ aData, aSize * aCount });
}

size_t
CurlClient::Impl::Transfer::TakeBody(std::string_view aBytes)
{
  if (mCancelled) {
    return 0;
  }
  mLastBytes = mOwner->mExecutor.Now();
  if (mPaused) {
    mHeld = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  mBodyBytes += aBytes.size();
  if (mBodyBytes > mCall.maxBodyBytes) {
    mTooLarge = true;
    return 0;
  }
  if (mHandlers.onBody) {
    mHandlers.onBody(aBytes);
  }
  return aBytes.size();
}

bool
CurlClient::Impl::Transfer::NothingSent() const
{
  long sent = 0;
  curl_easy_getinfo(mEasy, CURLINFO_REQUEST_SIZE, &sent);
  return sent == 0 && mStatus == 0;
}

HttpError
CurlClient::Impl::Transfer::ToError(CURLcode aCode) const
{
  HttpError error{ .kind = HttpErrorKind::kCut,
                   .message = curl_easy_strerror(aCode) };
  if (NothingSent()) {
    error.kind = HttpErrorKind::kNotSent;
  } else if (mTooLarge) {
    error.kind = HttpErrorKind::kTooLarge;
    error.message = "the answer is too large";
  } else if (aCode == CURLE_OPERATION_TIMEDOUT) {
    error.kind = HttpErrorKind::kTimeout;
  }
  if (mStalled) {
    error.message = "no byte within the stall timeout";
  }
  return error;
}

void
CurlClient::Impl::Transfer::Finish(CURLcode aCode)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mStallTimer.Cancel();
  const auto error = ToError(aCode);
  const auto self = shared_from_this();
  mOwner->Remove(self);
  // Reported from the executor, so that it never comes inside Stream().
  mOwner->mExecutor.Post([self, aCode, error] {
    if (self->mCancelled || !self->mHandlers.onDone) {
      return;
    }
    const auto done = std::move(self->mHandlers.onDone);
    if (aCode == CURLE_OK) {
      done({});
    } else {
      done(tl::unexpected(error));
    }
  });
}

CurlClient::Impl::Impl(AsioExecutor& aExecutor, Options aOptions)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
  , mMulti(curl_multi_init())
{
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &Impl::OnTimeout);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(
    mMulti, CURLMOPT_MAXCONNECTS, aOptions.maxPooledConnections);
}

CurlClient::Impl::~Impl()
{
  curl_multi_cleanup(mMulti);
  for (auto& [socket, watch] : mWatches) {
    watch->removed = true;
    watch->descriptor.close();
  }
}

void
CurlClient::Impl::Add(const TransferPtr& aTransfer)
{
  mToAdd.push_back(aTransfer);
  if (!mInsideCurl) {
    CatchUp();
  }
}

void
CurlClient::Impl::Remove(const TransferPtr& aTransfer)
{
  mToRemove.push_back(aTransfer);
  if (!mInsideCurl) {
    CatchUp();
  }
}

void
CurlClient::Impl::CatchUp()
{
  mInsideCurl = true;
  for (const auto& it : std::exchange(mToAdd, {})) {
    mTransfers[it->Easy()] = it;
    curl_multi_add_handle(mMulti, it->Easy());
  }
  for (const auto& it : std::exchange(mToRemove, {})) {
    if (mTransfers.erase(it->Easy()) > 0) {
      curl_multi_remove_handle(mMulti, it->Easy());
    }
  }
  mInsideCurl = false;
}

void
CurlClient::Impl::Shutdown()
{
  const auto transfers = mTransfers;
  for (const auto& [easy, transfer] : transfers) {
    transfer->Cancel();
  }
}

void
CurlClient::Impl::Kick()
{
  Drive(CURL_SOCKET_TIMEOUT, 0);
}

void
CurlClient::Impl::Continue(const TransferPtr& aTransfer)
{
  mInsideCurl = true;
  curl_easy_pause(aTransfer->Easy(), CURLPAUSE_CONT);
  mInsideCurl = false;
  Kick();
}

int
CurlClient::Impl::OnTimeout(CURLM* /*aMulti*/, long aMillis, void* aSelf)
{
  auto* self = static_cast<Impl*>(aSelf);
  if (aMillis < 0) {
    self->mTimer.Cancel();
  } else {
    self->SetTimer(std::chrono::milliseconds(aMillis));
  }
  return 0;
}

void
CurlClient::Impl::SetTimer(Duration aDelay)
{
  mTimer = mExecutor.RunAfter(aDelay, [this] { Kick(); });
}

int
CurlClient::Impl::OnSocket(CURL* /*aEasy*/,
                           curl_socket_t aSocket,
                           int aWhat,
                           void* aSelf,
                           void* /*aWatch*/)
{
  auto* self = static_cast<Impl*>(aSelf);
  const auto found = self->mWatches.find(aSocket);
  if (aWhat == CURL_POLL_REMOVE) {
    if (found != self->mWatches.end()) {
      found->second->removed = true;
      asio::error_code ec;
      found->second->descriptor.close(ec);
      self->mWatches.erase(found);
    }
    return 0;
  }
  WatchPtr watch;
  if (found != self->mWatches.end()) {
    watch = found->second;
  } else {
    const int copy = ::dup(aSocket);
    if (copy < 0) {
      return -1;
    }
    watch =
      std::make_shared<Watch>(Descriptor(self->mExecutor.Context(), copy));
    self->mWatches.emplace(aSocket, watch);
  }
  watch->wanted = aWhat;
  self->Arm(watch, aSocket);
  return 0;
}

void
CurlClient::Impl::Arm(const WatchPtr& aWatch, curl_socket_t aSocket)
{
  const auto wait = [&](Descriptor::wait_type aType,
                        int aInterest,
                        int aEvent,
                        bool Watch::*aPending) {
    if ((aWatch->wanted & aInterest) == 0 || (*aWatch).*aPending) {
      return;
    }
    (*aWatch).*aPending = true;
    aWatch->descriptor.async_wait(
      aType,
      [weak = weak_from_this(), aWatch, aSocket, aInterest, aEvent, aPending](
        const asio::error_code& aCode) {
        (*aWatch).*aPending = false;
        const auto self = weak.lock();
        if (!self || aWatch->removed || (aWatch->wanted & aInterest) == 0) {
          return;
        }
        self->Drive(aSocket, aCode ? CURL_CSELECT_ERR : aEvent);
        if (!aWatch->removed) {
          self->Arm(aWatch, aSocket);
        }
      });
  };
  wait(Descriptor::wait_read, CURL_POLL_IN, CURL_CSELECT_IN, &Watch::reading);
  wait(
    Descriptor::wait_write, CURL_POLL_OUT, CURL_CSELECT_OUT, &Watch::writing);
}

void
CurlClient::Impl::Drive(curl_socket_t aSocket, int aEvents)
{
  int running = 0;
  mInsideCurl = true;
  curl_multi_socket_action(mMulti, aSocket, aEvents, &running);
  mInsideCurl = false;
  CatchUp();
  Collect();
}

void
CurlClient::Impl::Collect()
{
  int left = 0;
  while (auto* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto code = message->data.result;
    const auto it = mTransfers.find(message->easy_handle);
    if (it != mTransfers.end()) {
      const auto transfer = it->second;
      transfer->Finish(code);
    }
  }
}

CurlClient::CurlClient(AsioExecutor& aExecutor, Options aOptions)
  : mImpl(std::make_shared<Impl>(aExecutor, aOptions))
{
}

CurlClient::~CurlClient()
{
  mImpl->Shutdown();
}

HttpTransferPtr
CurlClient::Stream(HttpCall aCall, HttpStreamHandlers aHandlers)
{
  auto transfer = std::make_shared<Impl::Transfer>(
    mImpl, std::move(aCall), std::move(aHandlers));
  transfer->Start();
  return std::make_unique<Impl::Handle>(std::move(transfer));
}

} // namespace firefly
