#pragma once

// Issues permits for calls that must not be repeated. A ledger serves some
// partitions of the key space so that the records of many keys share appends.
// Safety does not depend on this ownership: it follows from the order of the
// log, even if two ledgers serve the same partition.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coord/booking_state.h"
#include "coord/confirmed_writer.h"
#include "core/ids.h"
#include "core/state_chart.h"

namespace firefly::coord {

// The index of a partition of the key space, starting at zero.
using PartitionId = StrongType<struct PartitionIdTag, std::uint32_t>;

// The partition of a key, the same in every process.
[[nodiscard]] PartitionId
PartitionOf(const BookingKey& aKey, std::uint32_t aPartitions);

// Hashes a request's bytes.
[[nodiscard]] RequestDigest
DigestOf(std::string_view aRequest);

// An entry's request for permission to run a booking.
struct PermitRequest
{
  BookingKey key{};
  // A new id that the entry creates for each attempt. It is sent once, to one
  // ledger, and never used for two calls.
  AttemptId attempt{};
  RequestDigest digest{};
  // No permit is granted after this.
  Instant deadline{};
  // When the caller created the key, if it states that. For a key older than
  // the window the ledger cannot tell whether an attempt ran.
  std::optional<WallTime> keyTime{};
};

enum class PermitVerdict
{
  kGranted,   // the attempt, and no other, may run once
  kCompleted, // another attempt ran: its outcome is returned
  kOpen,      // another attempt may be running or have run
  kMismatch,  // the key was used for another request
  kExpired,   // the key is older than the window
};

// The answer to a permit request. Every verdict except kGranted means that this
// attempt did not run and will not run.
struct Permit
{
  PermitVerdict verdict = PermitVerdict::kOpen;
  std::optional<BookingOutcome> outcome{}; // with kCompleted
  LogOffset offset{};                      // of the holder's intent
  // The attempt that holds the permit; empty with kExpired.
  AttemptId holder{};
};

enum class LedgerErrorKind
{
  // No permit was granted, and the attempt did not run and never will; an
  // outcome or abandonment was not recorded.
  kUnavailable,
  // The same, because the partition is not open here.
  kNotOwned,
  // Only for outcomes and abandonments, not for permits: it is uncertain
  // whether the record is in the log.
  kUnknown,
};

// Why the ledger could not answer.
struct LedgerError
{
  LedgerErrorKind kind = LedgerErrorKind::kUnavailable;
  std::string message{};
};

// Counters since the ledger was created.
struct LedgerCounters
{
  std::uint64_t granted = 0;
  std::uint64_t refused = 0; // all other verdicts
  std::uint64_t failed = 0;  // permit requests that ended with an error
  // Records that were to be written, regardless of whether that succeeded.
  std::uint64_t outcomes = 0;
  std::uint64_t abandoned = 0;
};

// Grants permits based on the streams of its partitions.
class BookingLedger
{
public:
  using PermitCallback = std::function<void(tl::expected<Permit, LedgerError>)>;
  using RecordCallback = std::function<void(tl::expected<void, LedgerError>)>;

  struct Options
  {
    WriterId writer{};
    const StateChart* chart = nullptr; // charts/booking.toml
    std::uint32_t partitions = 64;     // the same in all processes
    std::string streamPrefix = "booking-";
    // At most one attempt of a key runs within this time after the key's last
    // record was read. Must be shorter than the log's retention time.
    Duration window = std::chrono::minutes(10);
    // How long a record waits for others to share its append. Appends per
    // second are at most the number of partitions divided by the sum of this
    // and the duration of an append.
    Duration linger = std::chrono::milliseconds(80);
    Duration pollInterval = std::chrono::seconds(2);
    // How long the ledger retries to record an outcome or an abandonment.
    Duration recordTimeout = std::chrono::seconds(60);
    std::size_t maxAnswerBytes = 2048;
    // With this many keys of all partitions in memory, no more permits are
    // granted for free keys.
    std::size_t maxKeys = 60000;
    std::uint64_t seed = 1; // of the jitter
  };

  BookingLedger(const Options& aOptions, Executor& aExecutor, LogClient& aLog);
  BookingLedger(const BookingLedger&) = delete;
  BookingLedger& operator=(const BookingLedger&) = delete;
  ~BookingLedger();

  // Start and stop serving a partition. Records that are pending when it is
  // closed are finished first.
  void Open(PartitionId aPartition);
  void Close(PartitionId aPartition);

  // Whether the partition is open and its stream has been read to the end.
  [[nodiscard]] bool Ready(PartitionId aPartition) const;

  // Requests a permit. The callback runs once, at the deadline at the latest. A
  // permit that reaches the entry after the deadline must not be used.
  void RequestPermit(const PermitRequest& aRequest, PermitCallback aCallback);

  // Records the service's answer to the attempt that ran.
  void RecordOutcome(const BookingKey& aKey,
                     const AttemptId& aAttempt,
                     BookingOutcome aOutcome,
                     RecordCallback aCallback);

  // Records that the attempt did not run and never will. Only the entry that
  // created the attempt may call this, and it must not use its permit
  // afterwards.
  void Abandon(const BookingKey& aKey,
               const AttemptId& aAttempt,
               RecordCallback aCallback);

  // Looks up a key. The result is empty if the key is free, and an error if
  // the partition is not open here or its stream has not been read to the end.
  [[nodiscard]] tl::expected<std::optional<BookingView>, LedgerError> Show(
    const BookingKey& aKey) const;

  [[nodiscard]] const LedgerCounters& Counters() const { return mCounters; }
  // Totals over all partitions: appends sent, keys in memory, and the estimated
  // size of their state in bytes.
  [[nodiscard]] std::uint64_t Appends() const;
  [[nodiscard]] std::size_t Keys() const;
  [[nodiscard]] std::size_t Bytes() const;

private:
  struct Partition;
  struct PendingPermit;
  using PendingPermitPtr = std::shared_ptr<PendingPermit>;

  Partition* Find(const BookingKey& aKey) const;
  void Fail(const PendingPermitPtr& aPending,
            LedgerErrorKind aKind,
            const char* aMessage);
  void Answer(const PendingPermitPtr& aPending, Permit aPermit);
  std::optional<Permit> FindHolder(const Partition& aPartition,
                                   const PermitRequest& aRequest) const;
  void SendIntent(Partition& aPartition, const PendingPermitPtr& aPending);
  void OnIntent(Partition& aPartition,
                const PendingPermitPtr& aPending,
                const tl::expected<Confirmation, WriteError>& aResult);
  void AppendAbandonment(Partition& aPartition, const PermitRequest& aRequest);
  void AppendRecord(const BookingKey& aKey,
                    RecordKind aKind,
                    std::string aBody,
                    RecordCallback aCallback);
  void RemoveIfClosed(Partition& aPartition);
  void ScheduleExpiry();

  Options mOptions;
  Executor& mExecutor;
  LogClient& mLog;
  std::map<PartitionId, std::unique_ptr<Partition>> mPartitions;
  std::uint64_t mPartitionsOpened = 0;
  std::uint64_t mClosedAppends = 0;
  LedgerCounters mCounters;
  Timer mExpiryTimer;
  CallbackGuard mGuard;
};

} // namespace firefly::coord
