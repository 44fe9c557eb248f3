#pragma once

// An entry's way to the ledgers. All entries ask the same ledger for the keys
// of one partition while they see the same ledgers alive, so that permits
// share appends; what is safe does not depend on that.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "coord/booking_ledger.h"
#include "servers/http/asio_executor.h"
#include "servers/link/link_client.h"

namespace firefly {

// Where a ledger is reached.
struct LedgerAddress
{
  HostId host;
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const LedgerAddress&) const = default;
};

enum class LedgerCallErrorKind
{
  kUnavailable, // of a permit: none is held, and the booking did not run
  kUnknown,     // of a record: it may not stand in the log
};

// Why no ledger could do what was asked.
struct LedgerCallError
{
  LedgerCallErrorKind kind = LedgerCallErrorKind::kUnavailable;
  std::string message;
};

// Asks the ledgers in turn until one answers or the time is over.
class LedgerClient
{
public:
  using PermitCallback =
    std::function<void(tl::expected<coord::Permit, LedgerCallError>)>;
  using RecordCallback =
    std::function<void(tl::expected<void, LedgerCallError>)>;
  using ShowCallback = std::function<void(
    tl::expected<std::optional<coord::BookingView>, LedgerCallError>)>;

  struct Options
  {
    // Unique for this process's life, such as "host-1/1764800000000".
    std::string attemptPrefix;
    std::uint32_t partitions = 16; // the same in all processes
    Duration tryTimeout = std::chrono::seconds(1);
    // For how long outcomes and abandonings are tried.
    Duration recordTimeout = std::chrono::seconds(60);
    Duration retryDelay = std::chrono::milliseconds(100);
    std::vector<LedgerAddress> ledgers = {};
  };

  // What an entry wants to run.
  struct Booking
  {
    BookingKey key;
    coord::RequestDigest digest;
    std::optional<WallTime> keyTime = {}; // see coord::PermitRequest
  };

  LedgerClient(AsioExecutor& aExecutor, Options aOptions);
  ~LedgerClient();
  LedgerClient(const LedgerClient&) = delete;
  LedgerClient& operator=(const LedgerClient&) = delete;

  // Replaces the ledgers that are seen alive.
  void SetLedgers(std::vector<LedgerAddress> aLedgers);

  // Asks for a permit. The callback comes once, within the timeout; a permit
  // that comes later is abandoned here. kGranted names this try's attempt as
  // the holder: use it once, or Abandon it.
  void RequestPermit(const Booking& aBooking,
                     Duration aTimeout,
                     PermitCallback aCallback);

  // Records the service's answer to the attempt that ran.
  void RecordOutcome(const BookingKey& aKey,
                     const AttemptId& aAttempt,
                     const coord::BookingOutcome& aOutcome,
                     RecordCallback aCallback);

  // Records that the attempt's permit was not used and never will be.
  void Abandon(const BookingKey& aKey,
               const AttemptId& aAttempt,
               RecordCallback aCallback);

  // What is known of a key.
  void Show(const BookingKey& aKey, Duration aTimeout, ShowCallback aCallback);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace firefly
