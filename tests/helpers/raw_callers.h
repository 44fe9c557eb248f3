#pragma once

// Callers that send raw bytes on connections of their own, for tests of servers
// under untrusted callers.

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>
#include <thread>
#include <vector>

namespace firefly::testing {

// One caller's connection. It sends until it is closed or the crowd ends.
class RawCaller
{
public:
  RawCaller(std::uint16_t aPort, const std::atomic<bool>& aStop);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  // Returns false once the connection was closed or the crowd ends.
  bool Send(std::string_view aBytes);

  // Keeps the connection open until it is closed or the crowd ends.
  void Hold();

private:
  bool WaitFor(std::int16_t aEvent);

  int mFd;
  const std::atomic<bool>& mStop;
};

// Callers on threads of their own. Each one runs the script and then holds its
// connection.
class Crowd
{
public:
  using Script = std::function<void(RawCaller&, int)>;

  Crowd(std::uint16_t aPort, int aCallers, const Script& aScript);
  ~Crowd() { Leave(); }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // The number of callers that sent all they wanted or were closed.
  [[nodiscard]] int Settled() const { return mSettled; }

  void Leave();

private:
  std::atomic<bool> mStop{ false };
  std::atomic<int> mSettled{ 0 };
  std::vector<std::thread> mThreads;
};

// Sends a body in pieces of a size, up to a number of bytes.
void
SendPieces(RawCaller& aCaller, std::size_t aBytes, std::size_t aPiece);

// Sends chunks of a size, up to a number of bytes, without the last chunk.
void
SendChunks(RawCaller& aCaller, std::size_t aBytes, std::size_t aChunk);

} // namespace firefly::testing
