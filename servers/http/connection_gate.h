#pragma once

// Decides which requests a server on RESTinio may receive, so that the memory
// of its requests and the number of its connections stay bounded. It uses no
// sockets and no clock.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>

#include "core/clock.h"

namespace firefly {

// Why the server refused a request or closed a connection.
enum class RefusalCause : std::uint8_t
{
  kBodyTooLarge,
  // The memory budget has no room for the request.
  kNoMemory,
  // The body made no progress while others needed its memory.
  kStalled,
  // The connection had been idle longest, or no connection was idle, at the
  // maximum number of connections.
  kTooManyConnections,
};

inline constexpr std::size_t kRefusalCauses = 4;

// A connection that the gate admits to memory. The calls must not call the gate
// before they return.
class GatedConnection
{
public:
  virtual ~GatedConnection() = default;

  // The memory for which the connection waited is reserved.
  virtual void OnRoom() = 0;
  // Sends the response for the cause and closes the connection.
  virtual void Refuse(RefusalCause aCause) = 0;
  // Closes the connection without a response.
  virtual void Close() = 0;
};

class ConnectionGate
{
public:
  struct Options
  {
    // The budget for requests that are received or answered.
    std::size_t memoryBytes = 0;
    std::size_t maxConnections = 0;
    // A request of at most this many bytes may use the whole budget, a larger
    // one three quarters, so that small requests don't wait for large ones.
    std::size_t smallRequestBytes = 256U << 10U;
    // A body without progress for this long may lose its memory to others.
    Duration stallTime = std::chrono::seconds(1);
    // A request that got no memory for this long is refused. It exceeds the
    // stall time, so that bodies which stopped when the request arrived are
    // closed first.
    Duration maxWait = std::chrono::milliseconds(1500);
    // Told of each refusal. Must not call the gate.
    std::function<void(RefusalCause)> onRefusal = {};
  };

  using Key = std::uint64_t;

  enum class Admission : std::uint8_t
  {
    kGranted,
    // OnRoom or Refuse is called later.
    kWaits,
  };

  explicit ConnectionGate(Options aOptions);

  // Whether a further connection may be opened. Closes the connection that has
  // been idle longest if the maximum is reached.
  bool AdmitConnection();

  // Adds an open connection. It must outlive its key.
  Key Add(GatedConnection& aConnection, Instant aNow);
  void Remove(Key aKey);

  // Sets the total number of bytes that the connection's request needs.
  Admission Reserve(Key aKey, std::size_t aBytes, Instant aNow);

  // The body made progress.
  void NoteProgress(Key aKey, Instant aNow);

  // The request was received completely. Returns its bytes, which remain
  // reserved until Release.
  std::size_t StartRequest(Key aKey);

  // The connection waits for its next request.
  void StartReading(Key aKey, Instant aNow);

  // Adds memory that can't be refused, as of a response, and frees memory.
  void Charge(std::size_t aBytes) { mUsed += aBytes; }
  void Release(std::size_t aBytes);

  // Closes stalled bodies in favour of requests that wait, and refuses those
  // that have waited too long. To be called regularly while HasWaiting().
  void Check(Instant aNow);
  [[nodiscard]] bool HasWaiting() const { return !mWaiting.empty(); }

  // Closes the connections that wait. Later ones are granted no memory.
  void Stop();

  void CountRefusal(RefusalCause aCause);

  [[nodiscard]] const Options& Limits() const { return mOptions; }
  [[nodiscard]] std::size_t UsedBytes() const { return mUsed; }
  [[nodiscard]] std::size_t Connections() const { return mEntries.size(); }
  [[nodiscard]] const std::array<std::uint64_t, kRefusalCauses>& Refusals()
    const
  {
    return mRefusals;
  }

private:
  struct Entry
  {
    GatedConnection* connection = nullptr;
    std::size_t held = 0;
    // The bytes for which the connection waits; 0 if it doesn't.
    std::size_t wanted = 0;
    Instant waitingSince{};
    Instant lastProgress{};
    bool isClosing = false;
    // The position in mIdle, or its end while a request is being answered.
    std::list<Key>::iterator idle;
  };

  [[nodiscard]] bool Fits(const Entry& aEntry, std::size_t aBytes) const;
  void MoveToBack(Entry& aEntry, Key aKey, Instant aNow);
  void MarkClosing(Entry& aEntry);
  void SetHeld(Entry& aEntry, std::size_t aBytes);
  void GrantWaiting();
  void EvictStalled(Instant aNow);

  Options mOptions;
  std::map<Key, Entry> mEntries;
  // Connections without a running request, the one without progress for the
  // longest time first.
  std::list<Key> mIdle;
  std::list<Key> mWaiting;
  Key mNextKey = 1;
  std::size_t mUsed = 0;
  // Connections that are being closed, and the part of mUsed that they free.
  std::size_t mClosing = 0;
  std::size_t mClosingBytes = 0;
  bool mIsStopped = false;
  std::array<std::uint64_t, kRefusalCauses> mRefusals{};
};

// The memory of a request that was received. Frees it when it is destroyed.
class RequestMemory
{
public:
  RequestMemory(std::shared_ptr<ConnectionGate> aGate, std::size_t aBytes)
    : mGate(std::move(aGate))
    , mBytes(aBytes)
  {
  }
  ~RequestMemory() { mGate->Release(mBytes); }
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  // Adds and removes bytes of the response.
  void Add(std::size_t aBytes)
  {
    mBytes += aBytes;
    mGate->Charge(aBytes);
  }
  void Remove(std::size_t aBytes)
  {
    mBytes -= aBytes;
    mGate->Release(aBytes);
  }

private:
  std::shared_ptr<ConnectionGate> mGate;
  std::size_t mBytes;
};

} // namespace firefly
