#include "tests/helpers/raw_callers.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "servers/http1/message_writer.h"

namespace firefly::testing {

namespace {

constexpr int kPollMilliseconds = 50;

} // namespace

RawCaller::RawCaller(std::uint16_t aPort, const std::atomic<bool>& aStop)
  : mFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
  , mStop(aStop)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // It is in progress until the socket is writable.
  (void)connect(
    mFd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

RawCaller::~RawCaller()
{
  close(mFd);
}

bool
RawCaller::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    if (!WaitFor(POLLOUT)) {
      return false;
    }
    const auto n = send(mFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN) {
      return false;
    }
    aBytes.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
  }
  return true;
}

void
RawCaller::Hold()
{
  std::array<char, 4096> buffer{};
  while (WaitFor(POLLIN) && recv(mFd, buffer.data(), buffer.size(), 0) > 0) {
  }
}

bool
RawCaller::WaitFor(std::int16_t aEvent)
{
  pollfd entry{ .fd = mFd, .events = aEvent, .revents = 0 };
  while (!mStop) {
    if (poll(&entry, 1, kPollMilliseconds) > 0) {
      return (entry.revents & (POLLERR | POLLHUP)) == 0;
    }
  }
  return false;
}

Crowd::Crowd(std::uint16_t aPort, int aCallers, const Script& aScript)
{
  for (int i = 0; i < aCallers; i++) {
    mThreads.emplace_back([this, aPort, i, aScript] {
      RawCaller caller(aPort, mStop);
      aScript(caller, i);
      mSettled++;
      caller.Hold();
    });
  }
}

void
Crowd::Leave()
{
  mStop = true;
  for (auto& it : mThreads) {
    if (it.joinable()) {
      it.join();
    }
  }
}

void
SendPieces(RawCaller& aCaller, std::size_t aBytes, std::size_t aPiece)
{
  const std::string piece(aPiece, 'x');
  for (std::size_t sent = 0; sent < aBytes; sent += aPiece) {
    const auto n = std::min(aPiece, aBytes - sent);
    if (!aCaller.Send(std::string_view(piece).substr(0, n))) {
      return;
    }
  }
}

void
SendChunks(RawCaller& aCaller, std::size_t aBytes, std::size_t aChunk)
{
  constexpr std::size_t kBatch = 64U << 10U;
  const auto chunk = ComposeChunk(std::string(aChunk, 'x'));
  std::string batch;
  for (std::size_t sent = 0; sent + aChunk <= aBytes; sent += aChunk) {
    batch += chunk;
    if (batch.size() >= kBatch && !aCaller.Send(std::exchange(batch, {}))) {
      return;
    }
  }
  aCaller.Send(batch);
}

} // namespace firefly::testing
