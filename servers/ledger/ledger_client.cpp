#include "servers/ledger/ledger_client.h"

#include <algorithm>
#include <utility>

#include "coord/callback_guard.h"
#include "servers/ledger/ledger_messages.h"

namespace firefly {

namespace {

// A permit is tried once per ledger plus this many times.
constexpr std::size_t kExtraTries = 2;

LedgerCallError
Unavailable(std::string aMessage)
{
  return { .kind = LedgerCallErrorKind::kUnavailable,
           .message = std::move(aMessage) };
}

// The rank of a ledger for a partition. The ledger with the highest rank serves
// the partition (rendezvous hashing), so that adding or removing a ledger moves
// few partitions.
std::uint64_t
RankOf(const LedgerAddress& aLedger, coord::PartitionId aPartition)
{
  const std::string text =
    aLedger.host.Value() + "/" + std::to_string(aPartition.Value());
  return coord::DigestOf(text).Value();
}

} // namespace

class LedgerClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(AsioExecutor& aExecutor, Options aOptions)
    : mExecutor(aExecutor)
    , mOptions(std::move(aOptions))
  {
    SetLedgers(std::move(mOptions.ledgers));
  }

  void SetLedgers(std::vector<LedgerAddress> aLedgers);
  void RequestPermit(const Booking& aBooking,
                     Duration aTimeout,
                     PermitCallback aCallback);
  void SendRecord(const BookingKey& aKey,
                  std::string aPath,
                  std::string aBody,
                  RecordCallback aCallback);
  void Show(const BookingKey& aKey, Duration aTimeout, ShowCallback aCallback);

private:
  struct Peer
  {
    LedgerAddress address;
    std::shared_ptr<LinkClient> link;
  };

  // A request for a permit, which may take several tries.
  struct PermitCall
  {
    Booking booking;
    Instant deadline;
    PermitCallback callback;
    std::size_t tries = 0;
    std::vector<AttemptId> attempts; // one per try, the newest last
  };
  using PermitCallPtr = std::shared_ptr<PermitCall>;

  // A message that any ledger can process. It is sent again until a ledger
  // processes it or rejects it as malformed (status 400), until the deadline
  // passes, or until no ledger is known.
  struct RetriedCall
  {
    BookingKey key;
    std::string path;
    std::string body;
    Instant deadline;
    LinkCallback callback;
    std::size_t tries = 0;
    Timer timer;
  };
  using RetriedCallPtr = std::shared_ptr<RetriedCall>;

  std::shared_ptr<LinkClient> ChooseLedger(const BookingKey& aKey,
                                           std::size_t aTry) const;
  void TryPermit(const PermitCallPtr& aPermitCall);
  void OnPermitAnswer(const PermitCallPtr& aPermitCall,
                      const tl::expected<std::string, LinkError>& aResult);
  void OnPermitFailed(const PermitCallPtr& aPermitCall,
                      const LinkError& aError);
  void AbandonAndRetry(const PermitCallPtr& aPermitCall,
                       const AttemptId& aAttempt);
  void TryCall(const RetriedCallPtr& aRetriedCall);
  void OnCallFailed(const RetriedCallPtr& aRetriedCall,
                    const LinkError& aError);

  AsioExecutor& mExecutor;
  Options mOptions;
  std::vector<Peer> mPeers;
  std::uint64_t mAttempts = 0;
  coord::CallbackGuard mGuard;
};

void
LedgerClient::Impl::SetLedgers(std::vector<LedgerAddress> aLedgers)
{
  std::vector<Peer> peers;
  for (LedgerAddress& ledger : aLedgers) {
    const auto it = std::ranges::find(mPeers, ledger, &Peer::address);
    if (it != mPeers.end()) {
      peers.push_back(*it);
      continue;
    }
    auto link = std::make_shared<LinkClient>(
      mExecutor,
      LinkClient::Options{ .address = ledger.address, .port = ledger.port });
    peers.push_back({ .address = std::move(ledger), .link = std::move(link) });
  }
  mPeers = std::move(peers);
}

std::shared_ptr<LinkClient>
LedgerClient::Impl::ChooseLedger(const BookingKey& aKey, std::size_t aTry) const
{
  if (mPeers.empty()) {
    return nullptr;
  }
  const auto partition = coord::PartitionOf(aKey, mOptions.partitions);
  std::vector<const Peer*> ranked;
  for (const Peer& peer : mPeers) {
    ranked.push_back(&peer);
  }
  std::ranges::sort(ranked, [&](const Peer* aLeft, const Peer* aRight) {
    return RankOf(aLeft->address, partition) >
           RankOf(aRight->address, partition);
  });
  return ranked[aTry % ranked.size()]->link;
}

void
LedgerClient::Impl::RequestPermit(const Booking& aBooking,
                                  Duration aTimeout,
                                  PermitCallback aCallback)
{
  auto permitCall = std::make_shared<PermitCall>();
  permitCall->booking = aBooking;
  permitCall->deadline = mExecutor.Now() + aTimeout;
  permitCall->callback = std::move(aCallback);
  mExecutor.Post(mGuard.Wrap([this, permitCall] { TryPermit(permitCall); }));
}

void
LedgerClient::Impl::TryPermit(const PermitCallPtr& aPermitCall)
{
  const auto link = ChooseLedger(aPermitCall->booking.key, aPermitCall->tries);
  const Duration left = aPermitCall->deadline - mExecutor.Now();
  const std::size_t maxTries = mPeers.size() + kExtraTries;
  if (!link || left <= Duration::zero() || aPermitCall->tries >= maxTries) {
    aPermitCall->callback(tl::make_unexpected(
      Unavailable("no ledger answered the request for a permit")));
    return;
  }
  ++aPermitCall->tries;
  const Duration limit = std::min(left, mOptions.tryTimeout);
  aPermitCall->attempts.emplace_back(mOptions.attemptPrefix + "/" +
                                     std::to_string(++mAttempts));
  const PermitMessage message{ .key = aPermitCall->booking.key,
                               .attempt = aPermitCall->attempts.back(),
                               .digest = aPermitCall->booking.digest,
                               .timeout = limit * 3 / 4,
                               .keyTime = aPermitCall->booking.keyTime };
  link->Call(
    kPermitPath,
    Encode(message),
    limit,
    mGuard.Wrap([this, link, aPermitCall](
                  const tl::expected<std::string, LinkError>& aResult) {
      OnPermitAnswer(aPermitCall, aResult);
    }));
}

void
LedgerClient::Impl::OnPermitAnswer(
  const PermitCallPtr& aPermitCall,
  const tl::expected<std::string, LinkError>& aResult)
{
  if (!aResult) {
    OnPermitFailed(aPermitCall, aResult.error());
    return;
  }
  auto permit = DecodePermit(*aResult);
  if (!permit) {
    OnPermitFailed(
      aPermitCall,
      { .kind = LinkErrorKind::kUnknown, .message = permit.error().message });
    return;
  }
  const bool ownAttempt =
    std::ranges::find(aPermitCall->attempts, permit->holder) !=
    aPermitCall->attempts.end();
  if (permit->verdict == coord::PermitVerdict::kOpen && ownAttempt) {
    AbandonAndRetry(aPermitCall, permit->holder);
    return;
  }
  aPermitCall->callback(std::move(*permit));
}

// An attempt that may have reached a ledger but got no usable answer is
// abandoned before the next try, because its permit would otherwise block that
// try.
void
LedgerClient::Impl::OnPermitFailed(const PermitCallPtr& aPermitCall,
                                   const LinkError& aError)
{
  if (aError.kind != LinkErrorKind::kUnknown) {
    TryPermit(aPermitCall);
    return;
  }
  AbandonAndRetry(aPermitCall, aPermitCall->attempts.back());
}

void
LedgerClient::Impl::AbandonAndRetry(const PermitCallPtr& aPermitCall,
                                    const AttemptId& aAttempt)
{
  const AbandonMessage message{ .key = aPermitCall->booking.key,
                                .attempt = aAttempt };
  auto answered = std::make_shared<bool>(false);
  SendRecord(message.key,
             kAbandonPath,
             Encode(message),
             [this, aPermitCall, answered](
               const tl::expected<void, LedgerCallError>& aRecorded) {
               if (std::exchange(*answered, true)) {
                 return;
               }
               if (!aRecorded) {
                 aPermitCall->callback(tl::make_unexpected(aRecorded.error()));
                 return;
               }
               TryPermit(aPermitCall);
             });
  // The caller gets an error at its deadline even if the record is still
  // pending.
  const Duration left = aPermitCall->deadline - mExecutor.Now();
  auto timer = std::make_shared<Timer>();
  *timer = mExecutor.RunAfter(
    std::max(left, Duration::zero()), [aPermitCall, answered, timer] {
      if (!std::exchange(*answered, true)) {
        aPermitCall->callback(tl::make_unexpected(Unavailable(
          "no ledger recorded the abandoned attempt before the deadline")));
      }
    });
}

void
LedgerClient::Impl::SendRecord(const BookingKey& aKey,
                               std::string aPath,
                               std::string aBody,
                               RecordCallback aCallback)
{
  auto retriedCall = std::make_shared<RetriedCall>();
  retriedCall->key = aKey;
  retriedCall->path = std::move(aPath);
  retriedCall->body = std::move(aBody);
  retriedCall->deadline = mExecutor.Now() + mOptions.recordTimeout;
  retriedCall->callback =
    [callback = std::move(aCallback)](
      const tl::expected<std::string, LinkError>& aResult) {
      if (aResult) {
        callback({});
        return;
      }
      callback(tl::make_unexpected(
        LedgerCallError{ .kind = LedgerCallErrorKind::kUnknown,
                         .message = aResult.error().message }));
    };
  mExecutor.Post(mGuard.Wrap([this, retriedCall] { TryCall(retriedCall); }));
}

void
LedgerClient::Impl::Show(const BookingKey& aKey,
                         Duration aTimeout,
                         ShowCallback aCallback)
{
  auto retriedCall = std::make_shared<RetriedCall>();
  retriedCall->key = aKey;
  retriedCall->path = kShowPath;
  retriedCall->body = Encode(ShowMessage{ .key = aKey });
  retriedCall->deadline = mExecutor.Now() + aTimeout;
  retriedCall->callback =
    [callback = std::move(aCallback)](
      const tl::expected<std::string, LinkError>& aResult) {
      if (!aResult) {
        callback(tl::make_unexpected(Unavailable(aResult.error().message)));
        return;
      }
      auto view = DecodeView(*aResult);
      if (!view) {
        callback(tl::make_unexpected(Unavailable(view.error().message)));
        return;
      }
      callback(std::move(*view));
    };
  mExecutor.Post(mGuard.Wrap([this, retriedCall] { TryCall(retriedCall); }));
}

void
LedgerClient::Impl::TryCall(const RetriedCallPtr& aRetriedCall)
{
  const auto link = ChooseLedger(aRetriedCall->key, aRetriedCall->tries++);
  const Duration left = aRetriedCall->deadline - mExecutor.Now();
  if (!link || left <= Duration::zero()) {
    aRetriedCall->callback(tl::make_unexpected(LinkError{
      .kind = LinkErrorKind::kUnknown, .message = "no ledger answered" }));
    return;
  }
  link->Call(aRetriedCall->path,
             aRetriedCall->body,
             std::min(left, mOptions.tryTimeout),
             mGuard.Wrap([this, link, aRetriedCall](
                           tl::expected<std::string, LinkError> aResult) {
               if (!aResult) {
                 OnCallFailed(aRetriedCall, aResult.error());
                 return;
               }
               aRetriedCall->callback(std::move(aResult));
             }));
}

void
LedgerClient::Impl::OnCallFailed(const RetriedCallPtr& aRetriedCall,
                                 const LinkError& aError)
{
  constexpr int kBadRequest = 400;
  if (aError.status == kBadRequest) {
    aRetriedCall->callback(tl::make_unexpected(aError));
    return;
  }
  aRetriedCall->timer = mExecutor.RunAfter(
    mOptions.retryDelay,
    mGuard.Wrap([this, aRetriedCall] { TryCall(aRetriedCall); }));
}

LedgerClient::LedgerClient(AsioExecutor& aExecutor, Options aOptions)
  : mImpl(std::make_shared<Impl>(aExecutor, std::move(aOptions)))
{
}

LedgerClient::~LedgerClient() = default;

void
LedgerClient::SetLedgers(std::vector<LedgerAddress> aLedgers)
{
  mImpl->SetLedgers(std::move(aLedgers));
}

void
LedgerClient::RequestPermit(const Booking& aBooking,
                            Duration aTimeout,
                            PermitCallback aCallback)
{
  mImpl->RequestPermit(aBooking, aTimeout, std::move(aCallback));
}

void
LedgerClient::RecordOutcome(const BookingKey& aKey,
                            const AttemptId& aAttempt,
                            const coord::BookingOutcome& aOutcome,
                            RecordCallback aCallback)
{
  const OutcomeMessage message{ .key = aKey,
                                .attempt = aAttempt,
                                .outcome = aOutcome };
  mImpl->SendRecord(aKey, kOutcomePath, Encode(message), std::move(aCallback));
}

void
LedgerClient::Abandon(const BookingKey& aKey,
                      const AttemptId& aAttempt,
                      RecordCallback aCallback)
{
  const AbandonMessage message{ .key = aKey, .attempt = aAttempt };
  mImpl->SendRecord(aKey, kAbandonPath, Encode(message), std::move(aCallback));
}

void
LedgerClient::Show(const BookingKey& aKey,
                   Duration aTimeout,
                   ShowCallback aCallback)
{
  mImpl->Show(aKey, aTimeout, std::move(aCallback));
}

} // namespace firefly
