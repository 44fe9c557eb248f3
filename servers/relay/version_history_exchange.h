#pragma once

// Asks other relays which versions of the backend servers' software they have
// known, after a start or a gap, and answers them. Only relays that ask cause
// messages.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/executor.h"
#include "policy/stream_origin/stream_origin_tracker.h"
#include "servers/log/log.h"

namespace firefly {

// Asks a relay for its history.
struct VersionHistoryQuery
{
  // IP address of the relay that asks.
  std::string host;
};

std::string
EncodeVersionHistoryQuery(const VersionHistoryQuery& aQuery);

// Returns nothing if the bytes are not a valid query.
std::optional<VersionHistoryQuery>
DecodeVersionHistoryQuery(std::string_view aBytes);

// Encodes a history, with ages instead of instants.
std::string
EncodeVersionHistory(const policy::VersionHistory& aHistory, Instant aNow);

// Returns nothing if the bytes are not a valid history. A message that was
// delayed tells a later beginning and later departures than there were.
std::optional<policy::VersionHistory>
DecodeVersionHistory(std::string_view aBytes, Instant aNow);

// Sends the messages of the exchange.
class VersionHistoryPeers
{
public:
  virtual ~VersionHistoryPeers() = default;

  // Asks a few other relays.
  virtual void AskForVersions() = 0;
  virtual void SendVersions(const policy::VersionHistory& aHistory,
                            const std::string& aHost) = 0;
};

class VersionHistoryExchange
{
public:
  // All of these must outlive the exchange.
  VersionHistoryExchange(Executor& aExecutor,
                         policy::StreamOriginTracker& aTracker,
                         VersionHistoryPeers& aPeers);

  // Asks other relays if their knowledge is needed; call it every half second.
  void AskIfNeeded();

  void OnQuery(const VersionHistoryQuery& aQuery);
  void OnHistory(const policy::VersionHistory& aHistory);

private:
  Executor& mExecutor;
  policy::StreamOriginTracker& mTracker;
  VersionHistoryPeers& mPeers;
  Log mLog{ "versions" };
};

} // namespace firefly
