#include "servers/http/curl_transfer.h"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace firefly {

namespace {

constexpr long kReceiveBufferBytes = 16L << 10U;

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

} // namespace

CurlTransfer::CurlTransfer(std::shared_ptr<CurlMulti> aMulti,
                           CurlClient::Options aOptions,
                           HttpCall aCall,
                           HttpStreamHandlers aHandlers)
  : mMulti(std::move(aMulti))
  , mOptions(aOptions)
  , mCall(std::move(aCall))
  , mHandlers(std::move(aHandlers))
  , mEasy(curl_easy_init())
{
  Configure();
}

CurlTransfer::~CurlTransfer()
{
  curl_easy_cleanup(mEasy);
  curl_slist_free_all(mHeaderList);
}

void
CurlTransfer::Start()
{
  mLastReceivedAt = mMulti->GetExecutor().Now();
  mMulti->Add(shared_from_this());
  CheckStall();
}

void
CurlTransfer::Cancel()
{
  mCancelled = true;
  mStallTimer.Cancel();
  mMulti->Remove(shared_from_this());
}

void
CurlTransfer::SetMethod()
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
CurlTransfer::Configure()
{
  curl_easy_setopt(mEasy, CURLOPT_URL, mCall.url.c_str());
  curl_easy_setopt(mEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(mEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(mEasy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(mEasy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(mEasy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(
    mEasy, CURLOPT_CONNECTTIMEOUT_MS, ToMillis(mCall.connectTimeout));
  curl_easy_setopt(mEasy, CURLOPT_TIMEOUT_MS, ToMillis(mCall.totalTimeout));
  if (mCall.freshConnection) {
    curl_easy_setopt(mEasy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(mEasy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (mCall.acceptsGzip) {
    curl_easy_setopt(mEasy, CURLOPT_ACCEPT_ENCODING, "gzip");
  }
  SetMethod();
  for (const auto& it : mCall.headers) {
    mHeaderList =
      curl_slist_append(mHeaderList, (it.name + ": " + it.value).c_str());
  }
  mHeaderList = curl_slist_append(mHeaderList, "Expect:");
  curl_easy_setopt(mEasy, CURLOPT_HTTPHEADER, mHeaderList);
  curl_easy_setopt(
    mEasy, CURLOPT_SOCKOPTFUNCTION, &CurlTransfer::OnSocketCreated);
  curl_easy_setopt(mEasy, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(mEasy, CURLOPT_HEADERFUNCTION, &CurlTransfer::OnHeader);
  curl_easy_setopt(mEasy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(mEasy, CURLOPT_WRITEFUNCTION, &CurlTransfer::OnBody);
  curl_easy_setopt(mEasy, CURLOPT_WRITEDATA, this);
}

int
CurlTransfer::OnSocketCreated(void* aSelf,
                              curl_socket_t aSocket,
                              curlsocktype /*aPurpose*/)
{
  const CurlClient::Options& options =
    static_cast<CurlTransfer*>(aSelf)->mOptions;
  bool set = true;
  if (options.userTimeout > Duration::zero()) {
    const auto limit = static_cast<unsigned>(ToMillis(options.userTimeout));
    set = setsockopt(
            aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit)) == 0;
  }
  if (options.keepAliveIdle.count() > 0) {
    const auto seconds = static_cast<int>(options.keepAliveIdle.count());
    const auto integer = [aSocket](int aLevel, int aName, int aValue) {
      return setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue)) == 0;
    };
    set = set && integer(SOL_SOCKET, SO_KEEPALIVE, 1) &&
          integer(IPPROTO_TCP, TCP_KEEPIDLE, seconds) &&
          integer(IPPROTO_TCP, TCP_KEEPINTVL, 1);
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
CurlTransfer::CheckStall()
{
  if (mCall.stallTimeout == Duration::zero()) {
    return;
  }
  const auto due = mLastReceivedAt + mCall.stallTimeout;
  const auto wait = due - mMulti->GetExecutor().Now();
  if (wait <= Duration::zero() && !mPaused) {
    mStalled = true;
    Finish(CURLE_OPERATION_TIMEDOUT);
    return;
  }
  const auto delay = std::max<Duration>(wait, std::chrono::milliseconds(1));
  mStallTimer = mMulti->GetExecutor().RunAfter(
    mPaused ? mCall.stallTimeout : delay, [this] { CheckStall(); });
}

void
CurlTransfer::Resume()
{
  mPaused = false;
  mLastReceivedAt = mMulti->GetExecutor().Now();
  if (!mIsCurlPaused) {
    return;
  }
  mIsCurlPaused = false;
  mMulti->GetExecutor().Post([self = shared_from_this(), multi = mMulti] {
    if (!self->mCancelled && !self->mFinished) {
      multi->Unpause(self);
    }
  });
}

size_t
CurlTransfer::OnHeader(char* aData, size_t aSize, size_t aCount, void* aSelf)
{
  auto* self = static_cast<CurlTransfer*>(aSelf);
  const auto n = aSize * aCount;
  self->HandleHeaderLine({ aData, n });
  return n;
}

void
CurlTransfer::HandleHeaderLine(std::string_view aLine)
{
  mLastReceivedAt = mMulti->GetExecutor().Now();
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
  constexpr long kFirstStatus = 100;
  constexpr long kFirstFinalStatus = 200;
  constexpr long kLastStatus = 599;
  if (!TrimSpace(aLine).empty()) {
    return;
  }
  mIsInvalid = status < kFirstStatus || status > kLastStatus;
  if (mIsInvalid || status < kFirstFinalStatus) {
    return;
  }
  mStatus = static_cast<int>(status);
  if (!mCancelled && mHandlers.onHead) {
    mHandlers.onHead(mStatus, mHeaders);
  }
}

size_t
CurlTransfer::OnBody(char* aData, size_t aSize, size_t aCount, void* aSelf)
{
  return static_cast<CurlTransfer*>(aSelf)->HandleBody(
    { aData, aSize * aCount });
}

size_t
CurlTransfer::HandleBody(std::string_view aBytes)
{
  if (mCancelled || mIsInvalid) {
    return 0;
  }
  mLastReceivedAt = mMulti->GetExecutor().Now();
  if (mPaused) {
    mIsCurlPaused = true;
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
CurlTransfer::NothingSent() const
{
  long sent = 0;
  curl_easy_getinfo(mEasy, CURLINFO_REQUEST_SIZE, &sent);
  return sent == 0 && mStatus == 0;
}

HttpError
CurlTransfer::ToError(CURLcode aCode) const
{
  HttpError error{ .kind = HttpErrorKind::kConnectionLost,
                   .message = curl_easy_strerror(aCode) };
  if (NothingSent()) {
    error.kind = HttpErrorKind::kNotSent;
  } else if (mTooLarge) {
    error.kind = HttpErrorKind::kTooLarge;
    error.message = "the response body is larger than the call allows";
  } else if (aCode == CURLE_OPERATION_TIMEDOUT) {
    error.kind = HttpErrorKind::kTimeout;
  }
  if (mIsInvalid) {
    error.message = "the response has an invalid status";
  } else if (aCode == CURLE_OK) {
    error.message = "the connection ended within the head of the response";
  }
  if (mStalled) {
    error.message = "no data received within the stall timeout";
  }
  return error;
}

void
CurlTransfer::Finish(CURLcode aCode)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mStallTimer.Cancel();
  // libcurl reports success if the connection ends after the status line or any
  // other line of the head.
  const bool isWhole = aCode == CURLE_OK && mStatus != 0 && !mIsInvalid;
  const auto error = ToError(aCode);
  const auto self = shared_from_this();
  mMulti->Remove(self);
  // Posted to the executor, so that onDone never runs inside Stream().
  mMulti->GetExecutor().Post([self, isWhole, error] {
    if (self->mCancelled || !self->mHandlers.onDone) {
      return;
    }
    const auto done = std::move(self->mHandlers.onDone);
    if (isWhole) {
      done({});
    } else {
      done(tl::unexpected(error));
    }
  });
}

} // namespace firefly
