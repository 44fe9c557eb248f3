#include "tests/soak/untrusted_callers.h"

#include <array>
#include <string>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "servers/http1/message_writer.h"

namespace firefly::soak {

namespace {

using asio::ip::tcp;

constexpr std::size_t kBodyBytes = 4U << 20U;
// What the caller leaves out at the end of its body.
constexpr std::size_t kMissingBytes = 10;
constexpr std::size_t kChunkBytes = 16U << 10U;
constexpr Duration kReconnectDelay = std::chrono::milliseconds(500);

std::string
ComposeIncompleteRequest(const std::string& aId, bool aIsChunked)
{
  const auto head = "POST /" + std::string(kOnceRoute) + "/" + aId +
                    " HTTP/1.1\r\nHost: " + kCallersHost +
                    "\r\nFireflyrouter-Request-Id: " + aId + "\r\n";
  const auto bytes = kBodyBytes - kMissingBytes;
  if (!aIsChunked) {
    return head + "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
           std::string(bytes, 'x');
  }
  auto request = head + "Transfer-Encoding: chunked\r\n\r\n";
  const auto chunk = ComposeChunk(std::string(kChunkBytes, 'x'));
  for (std::size_t n = 0; n + kChunkBytes <= bytes; n += kChunkBytes) {
    request += chunk;
  }
  return request;
}

} // namespace

class UntrustedCallers::Caller
  : public std::enable_shared_from_this<UntrustedCallers::Caller>
{
public:
  Caller(AsioExecutor& aExecutor, RelayHosts& aHosts, std::uint64_t aSeed)
    : mExecutor(aExecutor)
    , mHosts(aHosts)
    , mRandom(aSeed)
    , mSocket(aExecutor.Context())
  {
  }

  void Connect()
  {
    const auto& host = *mHosts[mRandom.Below(mHosts.size())];
    mSocket = tcp::socket(mExecutor.Context());
    mSocket.async_connect(
      { asio::ip::address_v4::loopback(), host.CallerPort() },
      [self = shared_from_this()](const asio::error_code& aCode) {
        if (aCode) {
          self->Reconnect();
          return;
        }
        self->Send();
        self->AwaitClose();
      });
  }

  void Stop()
  {
    mStopped = true;
    mTimer.Cancel();
    asio::error_code ec;
    mSocket.close(ec);
  }

private:
  void Send()
  {
    const auto id = "untrusted-" + std::to_string(mRandom.Next());
    mRequest = ComposeIncompleteRequest(id, mRandom.Chance(0.5));
    asio::async_write(
      mSocket,
      asio::buffer(mRequest),
      [self = shared_from_this()](const asio::error_code& /*aCode*/,
                                  std::size_t /*aBytes*/) {});
  }

  void AwaitClose()
  {
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](const asio::error_code& aCode,
                                  std::size_t /*aBytes*/) {
        if (aCode) {
          self->Reconnect();
        } else {
          self->AwaitClose();
        }
      });
  }

  void Reconnect()
  {
    if (mStopped) {
      return;
    }
    mTimer = mExecutor.RunAfter(kReconnectDelay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Connect();
      }
    });
  }

  AsioExecutor& mExecutor;
  RelayHosts& mHosts;
  Random mRandom;
  tcp::socket mSocket;
  std::string mRequest;
  std::array<char, 4096> mBuffer{};
  Timer mTimer;
  bool mStopped = false;
};

UntrustedCallers::UntrustedCallers(AsioExecutor& aExecutor,
                                   Options aOptions,
                                   RelayHosts& aHosts)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
  , mHosts(aHosts)
{
}

UntrustedCallers::~UntrustedCallers()
{
  Stop();
}

void
UntrustedCallers::Start()
{
  const auto n = mOptions.callersPerRelay * mHosts.size();
  for (std::size_t i = 0; i < n; ++i) {
    mCallers.push_back(
      std::make_shared<Caller>(mExecutor, mHosts, mOptions.seed + i));
    mCallers.back()->Connect();
  }
}

void
UntrustedCallers::Stop()
{
  for (const auto& it : mCallers) {
    it->Stop();
  }
}

} // namespace firefly::soak
