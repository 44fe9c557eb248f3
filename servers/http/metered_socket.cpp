#include "servers/http/metered_socket.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

#include <sys/socket.h>

#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace firefly {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);

// A body is held by RESTinio, whose buffer doubles as it grows, and by the
// handler.
constexpr std::size_t kCopiesOfABody = 4;
// RESTinio keeps 16 bytes for each chunk in a vector that doubles as it grows.
constexpr std::size_t kBytesPerChunk = 48;
// A body of the largest size is served in chunks of this mean size whatever the
// budget. Smaller chunks take more memory than the body itself.
constexpr std::size_t kSmallestMeanChunk = 16;
// The part of a head that the constant cost of a connection covers.
constexpr std::size_t kFreeHeadBytes = 4U << 10U;
constexpr std::size_t kCopiesOfAHead = 2;
// Fewer bytes aren't progress, so that a client that sends single bytes can't
// hold the memory of a large body.
constexpr std::size_t kProgressBytes = 16U << 10U;

// Closing a socket with unread bytes resets the connection, and the client may
// not see the response. A refused connection is therefore read for a while.
constexpr std::chrono::seconds kLingerTime{ 1 };
constexpr std::size_t kMaxLingering = 32;

struct RefusalText
{
  int status;
  std::string_view reason;
  std::string_view detail;
};

RefusalText
TextOf(RefusalCause aCause)
{
  switch (aCause) {
    case RefusalCause::kBodyTooLarge:
      return { 413, "Body too large", "the body exceeds the limit" };
    case RefusalCause::kStalled:
      return { 408, "Request timeout", "the body made no progress" };
    case RefusalCause::kNoMemory:
    case RefusalCause::kTooManyConnections:
      break;
  }
  return { 503, "Out of memory", "no memory for the request" };
}

std::string
MakeRefusal(RefusalCause aCause, std::size_t aMaxBodyBytes)
{
  const auto text = TextOf(aCause);
  const auto status = std::to_string(text.status);
  std::string detail(text.detail);
  if (aCause == RefusalCause::kBodyTooLarge) {
    detail = "at most " + std::to_string(aMaxBodyBytes) + " bytes are allowed";
  }
  const auto body = R"({"type":"about:blank","title":")" +
                    std::string(text.reason) + R"(","status":)" + status +
                    R"(,"execution":"not-run","detail":")" + detail + R"("})";
  return "HTTP/1.1 " + status + " " + std::string(text.reason) +
         "\r\nConnection: close\r\nContent-Type: application/problem+json\r\n" +
         (text.status == 503 ? "Retry-After: 1\r\n" : "") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads a refused connection until the client closes it or a time has passed.
class LingeringConnection
  : public std::enable_shared_from_this<LingeringConnection>
{
public:
  LingeringConnection(std::shared_ptr<MeteredServer> aServer,
                      asio::ip::tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
    mServer->lingering++;
  }
  ~LingeringConnection() { mServer->lingering--; }
  LingeringConnection(const LingeringConnection&) = delete;
  LingeringConnection& operator=(const LingeringConnection&) = delete;

  void Start()
  {
    mTimer.expires_after(kLingerTime);
    mTimer.async_wait(
      [self = shared_from_this()](const asio::error_code& aCode) {
        asio::error_code ignored;
        if (!aCode) {
          self->mSocket.close(ignored);
        }
      });
    Read();
  }

private:
  void Read()
  {
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](const asio::error_code& aCode, std::size_t) {
        if (aCode) {
          self->mTimer.cancel();
        } else {
          self->Read();
        }
      });
  }

  std::shared_ptr<MeteredServer> mServer;
  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::array<char, 4096> mBuffer{};
};

} // namespace

void
MeteredServer::ScheduleCheck()
{
  if (checkTimer.IsPending()) {
    return;
  }
  checkTimer = executor->RunAfter(kCheckInterval, [this] {
    gate->Check(executor->Now());
    if (gate->HasWaiting()) {
      checkTimer = {};
      ScheduleCheck();
    }
  });
}

std::size_t
MeteredServer::BodyCost(std::size_t aBytes)
{
  return aBytes * kCopiesOfABody;
}

std::size_t
MeteredServer::MaxRequestBytes() const
{
  return std::max(gate->Limits().memoryBytes,
                  BodyCost(maxBodyBytes) +
                    maxBodyBytes / kSmallestMeanChunk * kBytesPerChunk +
                    HTTP_MAX_HEADER_SIZE * kCopiesOfAHead);
}

MeteredReader::MeteredReader(std::shared_ptr<MeteredServer> aServer,
                             asio::ip::tcp::socket& aSocket)
  : mServer(std::move(aServer))
  , mSocket(&aSocket)
  , mKey(mServer->gate->Add(*this, mServer->executor->Now()))
{
}

MeteredReader::~MeteredReader()
{
  mServer->gate->Remove(mKey);
}

MeteredReader&
MeteredReader::FromParser(http_parser* aParser)
{
  return *static_cast<MeteredReader*>(aParser->data);
}

const http_parser_settings&
MeteredReader::ParserSettings()
{
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_headers_complete = [](http_parser* aParser) {
      auto& reader = FromParser(aParser);
      reader.mHasHead = true;
      if (aParser->content_length !=
          std::numeric_limits<std::uint64_t>::max()) {
        reader.mDeclaredBytes = aParser->content_length;
      }
      return 0;
    };
    made.on_body = [](http_parser* aParser, const char*, std::size_t aCount) {
      FromParser(aParser).mBodyBytes += aCount;
      return 0;
    };
    made.on_chunk_header = [](http_parser* aParser) {
      FromParser(aParser).mChunks++;
      return 0;
    };
    made.on_message_complete = [](http_parser* aParser) {
      FromParser(aParser).mIsComplete = true;
      http_parser_pause(aParser, 1);
      return 0;
    };
    return made;
  }();
  return settings;
}

void
MeteredReader::BeginRequest()
{
  mServer->gate->StartReading(mKey, mServer->executor->Now());
  http_parser_init(&mParser, HTTP_REQUEST);
  mParser.data = this;
  mStartsRequest = false;
  mIsComplete = false;
  mHasHead = false;
  mHeadBytes = 0;
  mDeclaredBytes = 0;
  mBodyBytes = 0;
  mChunks = 0;
  mBytesSinceProgress = 0;
}

void
MeteredReader::Read(asio::mutable_buffer aBuffer, Done aDone)
{
  mBuffer = aBuffer;
  mDone = std::move(aDone);
  if (mStartsRequest) {
    BeginRequest();
  }
  if (mPending.empty()) {
    StartRead();
    return;
  }
  const auto count = std::min(mPending.size(), mBuffer.size());
  std::copy_n(mPending.data(), count, static_cast<char*>(mBuffer.data()));
  mPending.erase(0, count);
  asio::post(mSocket->get_executor(),
             [self = shared_from_this(), count] { self->OnBytes(count); });
}

void
MeteredReader::StartRead()
{
  mIsReading = true;
  mSocket->async_read_some(
    mBuffer,
    [self = shared_from_this()](const asio::error_code& aCode,
                                std::size_t aCount) {
      self->mIsReading = false;
      if (aCode) {
        self->Finish(aCode, aCount);
      } else {
        self->OnBytes(aCount);
      }
    });
}

void
MeteredReader::NoteBytes(std::size_t aCount)
{
  if (!mHasHead) {
    mHeadBytes += aCount;
  }
  mBytesSinceProgress += aCount;
  if (mBytesSinceProgress >= kProgressBytes) {
    mBytesSinceProgress = 0;
    mServer->gate->NoteProgress(mKey, mServer->executor->Now());
  }
}

std::size_t
MeteredReader::Cost() const
{
  const auto head =
    mHeadBytes > kFreeHeadBytes ? mHeadBytes - kFreeHeadBytes : 0;
  return head * kCopiesOfAHead +
         MeteredServer::BodyCost(std::max(mDeclaredBytes, mBodyBytes)) +
         mChunks * kBytesPerChunk;
}

bool
MeteredReader::IsTooLarge() const
{
  return mDeclaredBytes > mServer->maxBodyBytes ||
         mBodyBytes > mServer->maxBodyBytes ||
         Cost() > mServer->MaxRequestBytes();
}

void
MeteredReader::OnBytes(std::size_t aCount)
{
  if (!mDone) {
    return;
  }
  const auto* data = static_cast<const char*>(mBuffer.data());
  NoteBytes(aCount);
  const auto parsed =
    http_parser_execute(&mParser, &ParserSettings(), data, aCount);
  mOffered = aCount;
  const auto code = HTTP_PARSER_ERRNO(&mParser);
  if (code != HPE_OK && code != HPE_PAUSED) {
    // RESTinio finds the same error and closes the connection.
    Finish({}, aCount);
    return;
  }
  if (mIsComplete) {
    mPending.insert(0, data + parsed, aCount - parsed);
    mOffered = parsed;
  }
  if (IsTooLarge()) {
    mServer->gate->CountRefusal(RefusalCause::kBodyTooLarge);
    Refuse(RefusalCause::kBodyTooLarge);
    return;
  }
  const auto admission =
    mServer->gate->Reserve(mKey, Cost(), mServer->executor->Now());
  if (admission == ConnectionGate::Admission::kGranted) {
    Deliver();
  } else {
    mServer->ScheduleCheck();
  }
}

void
MeteredReader::Deliver()
{
  if (!mIsComplete) {
    Finish({}, mOffered);
    return;
  }
  mStartsRequest = true;
  const auto server = mServer;
  server->currentMemory = std::make_shared<RequestMemory>(
    server->gate, server->gate->StartRequest(mKey));
  server->currentReader = weak_from_this();
  Finish({}, mOffered);
  server->currentMemory.reset();
  server->currentReader.reset();
}

void
MeteredReader::Finish(const asio::error_code& aCode, std::size_t aCount)
{
  if (const auto done = std::exchange(mDone, nullptr)) {
    done(aCode, aCount);
  }
}

void
MeteredReader::PostFinish(const asio::error_code& aCode)
{
  if (mDone) {
    asio::post(
      mSocket->get_executor(),
      [done = std::exchange(mDone, nullptr), aCode] { done(aCode, 0); });
  }
}

void
MeteredReader::OnRoom()
{
  if (mSocket != nullptr && mDone) {
    asio::post(mSocket->get_executor(), [self = shared_from_this()] {
      if (self->mDone) {
        self->mServer->gate->NoteProgress(self->mKey,
                                          self->mServer->executor->Now());
        self->Deliver();
      }
    });
  }
}

void
MeteredReader::OnClosed()
{
  if (!mIsReading) {
    PostFinish(asio::error::operation_aborted);
  }
}

void
MeteredReader::Refuse(RefusalCause aCause)
{
  if (mSocket == nullptr || !mDone) {
    return;
  }
  // No response is being sent, so the send buffer has room for this one.
  const auto text = MakeRefusal(aCause, mServer->maxBodyBytes);
  ::send(mSocket->native_handle(),
         text.data(),
         text.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
  asio::error_code ignored;
  mSocket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  mSocket->cancel(ignored);
  if (mServer->lingering < kMaxLingering) {
    std::make_shared<LingeringConnection>(mServer, std::move(*mSocket))
      ->Start();
  }
  // RESTinio closes the connection and frees the request.
  PostFinish(asio::error::eof);
}

void
MeteredReader::Close()
{
  if (mSocket == nullptr) {
    return;
  }
  asio::error_code ignored;
  mSocket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  if (!mIsReading) {
    PostFinish(asio::error::eof);
  }
}

} // namespace firefly
