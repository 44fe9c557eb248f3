#pragma once

// The service of the ledger daemon. It serves permits, records of outcomes and
// look-ups of booking keys to entries, and opens partitions when they are
// requested.

#include <cstdint>
#include <map>
#include <string>

#include "coord/booking_ledger.h"
#include "servers/ledger/ledger_messages.h"
#include "servers/link/link_server.h"
#include "servers/metrics/metrics.h"

namespace firefly {

class LedgerService
{
public:
  struct Options
  {
    coord::BookingLedger::Options ledger;
    LinkServer::Options link;
    // A partition is closed when it has not been requested for this long.
    Duration idleTimeout = std::chrono::minutes(10);
    // How often a request checks whether its partition has been read to the
    // end.
    Duration openPollInterval = std::chrono::milliseconds(10);
    // How long a look-up may wait for its partition. Look-ups have no timeout
    // of their own.
    Duration showTimeout = std::chrono::seconds(1);
    // How long a record may wait for its partition.
    Duration recordTimeout = std::chrono::seconds(5);
  };

  // The log must outlive the service.
  LedgerService(AsioExecutor& aExecutor,
                Options aOptions,
                coord::LogClient& aLog);

  // Opens the link port.
  tl::expected<void, LinkServerError> Start();

  // The port on which the service listens.
  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }

  // Adds the ledger's metrics; the registry must not outlive the service.
  void AddMetrics(MetricRegistry& aRegistry);

private:
  using Reply = LinkServer::Reply;

  void Handle(const std::string& aPath, const std::string& aBody, Reply aReply);
  void OnPermit(const std::string& aBody, Reply aReply);
  void OnOutcome(const std::string& aBody, Reply aReply);
  void OnAbandon(const std::string& aBody, Reply aReply);
  void OnShow(const std::string& aBody, Reply aReply);
  void RunWhenReady(const BookingKey& aKey,
                    Instant aDeadline,
                    Reply aReply,
                    std::function<void(Reply)> aAction);
  void CloseIdlePartitions();
  coord::BookingLedger::RecordCallback ReplyToRecord(Reply aReply) const;

  AsioExecutor& mExecutor;
  Options mOptions;
  coord::BookingLedger mLedger;
  // When each open partition was last requested.
  std::map<coord::PartitionId, Instant> mLastUsed;
  Timer mIdleTimer;
  coord::CallbackGuard mGuard;
  LinkServer mServer;
};

} // namespace firefly
