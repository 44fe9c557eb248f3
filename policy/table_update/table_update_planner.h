#pragma once

// Decides when a host that was told of a newer routing table fetches it, and
// from where.
//
// The load it answers: an operator writes a large table many times in quick
// succession, and each version is announced by several hosts. Only the newest
// announced version is fetched, one fetch at a time, so that the time until the
// last version is in force does not grow with the number of versions.
//
// A large table spreads from host to host: each host that has it announces it
// to some others, and a host that is busy sending it refuses, so that the one
// that asked tries another.

#include <cstdint>
#include <optional>

#include "policy/routing_table.h"

namespace firefly::policy {

enum class TableSource : std::uint8_t
{
  // The host that announced the newest version.
  kAnnouncer,
  kLog,
};

enum class TableFetchOutcome : std::uint8_t
{
  kReceived,
  // The host that was asked is sending its table to others.
  kBusy,
  kFailed,
};

class TableUpdatePlanner
{
public:
  struct Options
  {
    // Minimum time between the starts of two fetches. It doubles with each
    // further fetch of the same version, up to maxInterval.
    Duration minInterval = std::chrono::milliseconds(500);
    Duration maxInterval = std::chrono::milliseconds(4000);
    // Time from a refusal by a busy host to the next fetch.
    Duration busyRetry = std::chrono::milliseconds(100);
    // After this many refusals in a row, the log is read.
    std::uint32_t maxBusyAnswers = 12;
    // Maximum size of a table, as it is transferred, that comes from another
    // host. The smallest hosts have links of 10 Mbit/s, which take 0.5 s for
    // it; larger tables come from the log.
    std::uint64_t maxAnnouncerBytes = 600'000;
    // If all hosts that are told of a table fetch more than this from the one
    // that told them, those that have it announce it as well.
    std::uint64_t maxSingleSourceBytes = 250'000;
  };

  // What the host knows besides the announcements.
  struct Situation
  {
    Instant now{};
    RoutingVersion ownVersion;
    // Size of the host's own table as it is transferred; 0 if it has none.
    std::uint64_t ownBytes = 0;
    // Whether the log does not answer this host.
    bool isLogLost = false;
  };

  struct Decision
  {
    enum class Kind : std::uint8_t
    {
      // There is nothing to fetch, or a fetch is in progress.
      kNone,
      // Decide again after `wait`.
      kWait,
      // Fetch now from `source`.
      kFetch,
    };
    Kind kind = Kind::kNone;
    Duration wait{};
    TableSource source = TableSource::kAnnouncer;
  };

  explicit TableUpdatePlanner(Options aOptions);

  // Records that a host has a table that is newer than the one in force here.
  // Returns whether the next fetch should ask this host. aBytes is the size of
  // the table's record, 0 if unknown.
  bool OnAnnounced(RoutingVersion aVersion, std::uint64_t aBytes, Instant aNow);

  [[nodiscard]] Decision Decide(const Situation& aSituation) const;

  void OnFetchStarted(TableSource aSource, Instant aNow);
  void OnFetchEnded(TableFetchOutcome aOutcome);

  // Whether each host that has a table of this size announces it, if one host
  // announces it to aFetchers others.
  [[nodiscard]] bool SpreadsFromHostToHost(std::uint64_t aBytes,
                                           std::size_t aFetchers) const;

  [[nodiscard]] bool IsFetching() const { return mIsFetching; }

  // The time since the host learned that its table is not the newest; zero if
  // it knows of no newer one.
  [[nodiscard]] Duration BehindFor(RoutingVersion aOwn, Instant aNow) const;

  // Records that a table is in force. Returns the time since the host learned
  // that the one before was not the newest, if it had.
  std::optional<Duration> OnInForce(RoutingVersion aVersion, Instant aNow);

private:
  // The minimum time from the start of the last fetch to the next one.
  [[nodiscard]] Duration Interval() const;

  Options mOptions;
  RoutingVersion mNewest;
  std::uint64_t mNewestBytes = 0;
  // Fetches that were started since the newest version was announced.
  std::uint32_t mAttempts = 0;
  // Refusals by busy hosts since another outcome.
  std::uint32_t mBusyAnswers = 0;
  TableSource mLastSource = TableSource::kLog;
  bool mIsFetching = false;
  std::optional<Instant> mLastStart;
  // When the first announcement of a version arrived that is newer than the
  // table in force.
  std::optional<Instant> mBehindSince;
};

} // namespace firefly::policy
