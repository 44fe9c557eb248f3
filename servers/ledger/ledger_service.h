#pragma once

// The ledger daemon's task: serves permits, outcomes and look-ups of booking
// keys to entries, and opens the partitions they ask for.

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
    // A partition that nobody asked for so long is closed.
    Duration idleClose = std::chrono::minutes(10);
    // Between two looks at a partition that is being read.
    Duration openPoll = std::chrono::milliseconds(10);
    // For look-ups, which carry no timeout of their own.
    Duration showTimeout = std::chrono::seconds(1);
    // Records that wait for a partition to be read.
    Duration recordTimeout = std::chrono::seconds(5);
  };

  // The log must outlive the service.
  LedgerService(AsioExecutor& aExecutor,
                Options aOptions,
                coord::LogClient& aLog);

  // Opens the port.
  tl::expected<void, LinkServerError> Start();

  // The port that is served.
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
  void WhenReady(const BookingKey& aKey,
                 Instant aDeadline,
                 Reply aReply,
                 std::function<void(Reply)> aAction);
  void CloseIdle();
  coord::BookingLedger::RecordCallback ReplyToRecord(Reply aReply) const;

  AsioExecutor& mExecutor;
  Options mOptions;
  coord::BookingLedger mLedger;
  std::map<coord::PartitionId, Instant> mUsed; // when it was last asked for
  Timer mIdleTimer;
  coord::CallbackGuard mGuard;
  LinkServer mServer;
};

} // namespace firefly
