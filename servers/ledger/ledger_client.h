#pragma once

// The client with which an entry calls the ledgers. As long as all entries
// know the same live ledgers, they call the same ledger for the keys of a
// partition, so that permits share appends to the log. Safety does not depend
// on this.

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

// The host and network address of a ledger.
struct LedgerAddress
{
  HostId host;
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const LedgerAddress&) const = default;
};

enum class LedgerCallErrorKind
{
  // For a permit: none was obtained and the booking did not run. For a look-up:
  // no state was read.
  kUnavailable,
  // For a record: it may be missing from the log. For a permit: none was
  // obtained, and an earlier attempt could not be recorded as abandoned.
  kUnknown,
};

// Why a call to the ledgers failed.
struct LedgerCallError
{
  LedgerCallErrorKind kind = LedgerCallErrorKind::kUnavailable;
  std::string message;
};

// Calls the ledgers one after the other until one serves the request or the
// timeout passes. A permit is also limited in its number of tries. Callbacks
// run on the executor, never inside the call that starts them.
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
    // Unique to this run of the process, such as "host-1/1764800000000".
    std::string attemptPrefix;
    std::uint32_t partitions = 16; // the same in all processes
    Duration tryTimeout = std::chrono::seconds(1);
    // How long recording an outcome or an abandoned attempt is retried.
    Duration recordTimeout = std::chrono::seconds(60);
    Duration retryDelay = std::chrono::milliseconds(100);
    std::vector<LedgerAddress> ledgers = {};
  };

  // The booking that an entry asks permission to run.
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

  // Replaces the list of ledgers that are considered alive.
  void SetLedgers(std::vector<LedgerAddress> aLedgers);

  // Requests a permit. The callback runs once, within the timeout; a permit
  // that arrives later is abandoned by the client. With kGranted the holder is
  // the attempt of this client: run that attempt once or call Abandon for it.
  void RequestPermit(const Booking& aBooking,
                     Duration aTimeout,
                     PermitCallback aCallback);

  // Records the service's answer to an attempt that ran.
  void RecordOutcome(const BookingKey& aKey,
                     const AttemptId& aAttempt,
                     const coord::BookingOutcome& aOutcome,
                     RecordCallback aCallback);

  // Records that the permit of the attempt was not used and never will be.
  void Abandon(const BookingKey& aKey,
               const AttemptId& aAttempt,
               RecordCallback aCallback);

  // Reads the recorded state of a booking key; nothing if the key is free.
  void Show(const BookingKey& aKey, Duration aTimeout, ShowCallback aCallback);

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace firefly
