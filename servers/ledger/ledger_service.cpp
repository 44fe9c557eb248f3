#include "servers/ledger/ledger_service.h"

#include <utility>

namespace firefly {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

void
ReplyError(const LinkServer::Reply& aReply, const MessageError& aError)
{
  aReply({ .status = kBadRequest, .body = aError.message });
}

void
ReplyError(const LinkServer::Reply& aReply, const coord::LedgerError& aError)
{
  const bool unknown = aError.kind == coord::LedgerErrorKind::kUnknown;
  aReply({ .status = unknown ? kGatewayTimeout : kUnavailable,
           .body = aError.message });
}

} // namespace

LedgerService::LedgerService(AsioExecutor& aExecutor,
                             Options aOptions,
                             coord::LogClient& aLog)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mLedger(mOptions.ledger, aExecutor, aLog)
  , mServer(aExecutor,
            mOptions.link,
            [this](const std::string& aPath,
                   const std::string& aBody,
                   Reply aReply) { Handle(aPath, aBody, std::move(aReply)); })
{
}

tl::expected<void, LinkServerError>
LedgerService::Start()
{
  CloseIdlePartitions();
  return mServer.Start();
}

void
LedgerService::AddMetrics(MetricRegistry& aRegistry)
{
  auto& events = aRegistry.Gauges(
    { .name = "firefly_ledger_events",
      .help = "What became of permits and records since the start.",
      .labelNames = { "event" } });
  auto& appends =
    aRegistry.Gauges({ .name = "firefly_ledger_appends",
                       .help = "Appends to the log since the start." });
  auto& keys = aRegistry.Gauges(
    { .name = "firefly_ledger_keys", .help = "Booking keys that are known." });
  auto& bytes = aRegistry.Gauges(
    { .name = "firefly_ledger_bytes", .help = "Memory of all keys." });
  auto& partitions = aRegistry.Gauges(
    { .name = "firefly_ledger_partitions", .help = "Open partitions." });
  aRegistry.OnExpose([&, this] {
    const coord::LedgerCounters& counters = mLedger.Counters();
    const auto set = [&](const char* aEvent, std::uint64_t aCount) {
      events.With({ aEvent }).Set(static_cast<double>(aCount));
    };
    set("granted", counters.granted);
    set("refused", counters.refused);
    set("failed", counters.failed);
    set("outcome", counters.outcomes);
    set("abandoned", counters.abandoned);
    appends.With({}).Set(static_cast<double>(mLedger.Appends()));
    keys.With({}).Set(static_cast<double>(mLedger.Keys()));
    bytes.With({}).Set(static_cast<double>(mLedger.Bytes()));
    partitions.With({}).Set(static_cast<double>(mLastUsed.size()));
  });
}

void
LedgerService::Handle(const std::string& aPath,
                      const std::string& aBody,
                      Reply aReply)
{
  if (aPath == kPermitPath) {
    OnPermit(aBody, std::move(aReply));
  } else if (aPath == kOutcomePath) {
    OnOutcome(aBody, std::move(aReply));
  } else if (aPath == kAbandonPath) {
    OnAbandon(aBody, std::move(aReply));
  } else if (aPath == kShowPath) {
    OnShow(aBody, std::move(aReply));
  } else {
    aReply({ .status = kNotFound, .body = "no such path" });
  }
}

// Opens the key's partition if necessary and runs the action once the partition
// has been read to the end. Replies with an error at the deadline.
void
LedgerService::RunWhenReady(const BookingKey& aKey,
                            Instant aDeadline,
                            Reply aReply,
                            std::function<void(Reply)> aAction)
{
  const auto partition = coord::PartitionOf(aKey, mOptions.ledger.partitions);
  const Instant now = mExecutor.Now();
  if (!mLastUsed.contains(partition)) {
    mLedger.Open(partition);
  }
  mLastUsed[partition] = now;
  if (mLedger.Ready(partition)) {
    aAction(std::move(aReply));
    return;
  }
  if (now >= aDeadline) {
    aReply({ .status = kUnavailable,
             .body = "the partition has not been read to the end yet" });
    return;
  }
  auto timer = std::make_shared<Timer>();
  auto retry =
    mGuard.Wrap([this,
                 key = aKey,
                 aDeadline,
                 reply = std::move(aReply),
                 action = std::move(aAction),
                 timer] { RunWhenReady(key, aDeadline, reply, action); });
  *timer = mExecutor.RunAfter(mOptions.openPollInterval, std::move(retry));
}

void
LedgerService::OnPermit(const std::string& aBody, Reply aReply)
{
  const auto message = DecodePermitMessage(aBody);
  if (!message) {
    ReplyError(aReply, message.error());
    return;
  }
  const coord::PermitRequest request{ .key = message->key,
                                      .attempt = message->attempt,
                                      .digest = message->digest,
                                      .deadline =
                                        mExecutor.Now() + message->timeout,
                                      .keyTime = message->keyTime };
  RunWhenReady(
    request.key,
    request.deadline,
    std::move(aReply),
    [this, request](const Reply& aReady) {
      mLedger.RequestPermit(
        request,
        [aReady](
          const tl::expected<coord::Permit, coord::LedgerError>& aPermit) {
          if (!aPermit) {
            ReplyError(aReady, aPermit.error());
            return;
          }
          aReady({ .body = Encode(*aPermit) });
        });
    });
}

coord::BookingLedger::RecordCallback
LedgerService::ReplyToRecord(Reply aReply) const
{
  return [reply = std::move(aReply)](
           const tl::expected<void, coord::LedgerError>& aResult) {
    if (!aResult) {
      ReplyError(reply, aResult.error());
      return;
    }
    reply({});
  };
}

void
LedgerService::OnOutcome(const std::string& aBody, Reply aReply)
{
  auto message = DecodeOutcomeMessage(aBody);
  if (!message) {
    ReplyError(aReply, message.error());
    return;
  }
  const BookingKey key = message->key;
  RunWhenReady(key,
               mExecutor.Now() + mOptions.recordTimeout,
               std::move(aReply),
               [this, message = std::move(*message)](Reply aReady) {
                 mLedger.RecordOutcome(message.key,
                                       message.attempt,
                                       message.outcome,
                                       ReplyToRecord(std::move(aReady)));
               });
}

void
LedgerService::OnAbandon(const std::string& aBody, Reply aReply)
{
  auto message = DecodeAbandonMessage(aBody);
  if (!message) {
    ReplyError(aReply, message.error());
    return;
  }
  const BookingKey key = message->key;
  RunWhenReady(key,
               mExecutor.Now() + mOptions.recordTimeout,
               std::move(aReply),
               [this, message = std::move(*message)](Reply aReady) {
                 mLedger.Abandon(message.key,
                                 message.attempt,
                                 ReplyToRecord(std::move(aReady)));
               });
}

void
LedgerService::OnShow(const std::string& aBody, Reply aReply)
{
  const auto message = DecodeShowMessage(aBody);
  if (!message) {
    ReplyError(aReply, message.error());
    return;
  }
  RunWhenReady(message->key,
               mExecutor.Now() + mOptions.showTimeout,
               std::move(aReply),
               [this, key = message->key](const Reply& aReady) {
                 const auto view = mLedger.Show(key);
                 if (!view) {
                   ReplyError(aReady, view.error());
                   return;
                 }
                 aReady({ .body = Encode(*view) });
               });
}

void
LedgerService::CloseIdlePartitions()
{
  const Instant oldest = mExecutor.Now() - mOptions.idleTimeout;
  std::erase_if(mLastUsed, [&](const auto& aUse) {
    if (aUse.second >= oldest) {
      return false;
    }
    mLedger.Close(aUse.first);
    return true;
  });
  mIdleTimer = mExecutor.RunAfter(mOptions.idleTimeout / 2,
                                  [this] { CloseIdlePartitions(); });
}

} // namespace firefly
