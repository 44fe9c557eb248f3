#include "servers/ledger/ledger_client.h"

#include <algorithm>
#include <utility>

#include "coord/callback_guard.h"
#include "servers/ledger/ledger_messages.h"

namespace firefly {

namespace {

// Tries of one permit beyond one for each ledger.
constexpr std::size_t kExtraTries = 2;

LedgerCallError
Unavailable(std::string aMessage)
{
  return { .kind = LedgerCallErrorKind::kUnavailable,
           .message = std::move(aMessage) };
}

// A ledger's rank for a partition: the highest one serves it (rendezvous
// hashing), so that a change of the ledgers moves few partitions.
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
  void Record(const BookingKey& aKey,
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

  // A permit that is asked for, over several tries.
  struct Wish
  {
    Booking booking;
    Instant deadline;
    PermitCallback callback;
    std::size_t tries = 0;
    std::vector<AttemptId> attempts; // the newest one last
  };
  using WishPtr = std::shared_ptr<Wish>;

  // A message that any ledger may take, over several tries.
  struct Errand
  {
    BookingKey key;
    std::string path;
    std::string body;
    Instant deadline;
    LinkCallback callback;
    std::size_t tries = 0;
    Timer timer;
  };
  using ErrandPtr = std::shared_ptr<Errand>;

  std::shared_ptr<LinkClient> Choose(const BookingKey& aKey,
                                     std::size_t aTry) const;
  void TryPermit(const WishPtr& aWish);
  void OnPermitAnswer(const WishPtr& aWish,
                      const tl::expected<std::string, LinkError>& aResult);
  void OnPermitLost(const WishPtr& aWish, const LinkError& aError);
  void AbandonAndTryAgain(const WishPtr& aWish, const AttemptId& aAttempt);
  void TryErrand(const ErrandPtr& aErrand);
  void OnErrandFailed(const ErrandPtr& aErrand, const LinkError& aError);

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
LedgerClient::Impl::Choose(const BookingKey& aKey, std::size_t aTry) const
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
  auto wish = std::make_shared<Wish>();
  wish->booking = aBooking;
  wish->deadline = mExecutor.Now() + aTimeout;
  wish->callback = std::move(aCallback);
  mExecutor.Post(mGuard.Wrap([this, wish] { TryPermit(wish); }));
}

void
LedgerClient::Impl::TryPermit(const WishPtr& aWish)
{
  const auto link = Choose(aWish->booking.key, aWish->tries);
  const Duration left = aWish->deadline - mExecutor.Now();
  const std::size_t maxTries = mPeers.size() + kExtraTries;
  if (!link || left <= Duration::zero() || aWish->tries >= maxTries) {
    aWish->callback(tl::make_unexpected(Unavailable("no ledger answers")));
    return;
  }
  ++aWish->tries;
  const Duration limit = std::min(left, mOptions.tryTimeout);
  aWish->attempts.emplace_back(mOptions.attemptPrefix + "/" +
                               std::to_string(++mAttempts));
  const PermitMessage message{ .key = aWish->booking.key,
                               .attempt = aWish->attempts.back(),
                               .digest = aWish->booking.digest,
                               .timeout = limit * 3 / 4,
                               .keyTime = aWish->booking.keyTime };
  link->Call(
    kPermitPath,
    Encode(message),
    limit,
    mGuard.Wrap(
      [this, link, aWish](const tl::expected<std::string, LinkError>& aResult) {
        OnPermitAnswer(aWish, aResult);
      }));
}

void
LedgerClient::Impl::OnPermitAnswer(
  const WishPtr& aWish,
  const tl::expected<std::string, LinkError>& aResult)
{
  if (!aResult) {
    OnPermitLost(aWish, aResult.error());
    return;
  }
  auto permit = DecodePermit(*aResult);
  if (!permit) {
    OnPermitLost(
      aWish,
      { .kind = LinkErrorKind::kUnknown, .message = permit.error().message });
    return;
  }
  const bool ownAttempt =
    std::ranges::find(aWish->attempts, permit->holder) != aWish->attempts.end();
  if (permit->verdict == coord::PermitVerdict::kOpen && ownAttempt) {
    AbandonAndTryAgain(aWish, permit->holder);
    return;
  }
  aWish->callback(std::move(*permit));
}

// An attempt whose answer did not come is abandoned before the next try, so
// that it can't stand in the way of that one.
void
LedgerClient::Impl::OnPermitLost(const WishPtr& aWish, const LinkError& aError)
{
  if (aError.kind != LinkErrorKind::kUnknown) {
    TryPermit(aWish);
    return;
  }
  AbandonAndTryAgain(aWish, aWish->attempts.back());
}

void
LedgerClient::Impl::AbandonAndTryAgain(const WishPtr& aWish,
                                       const AttemptId& aAttempt)
{
  const AbandonMessage message{ .key = aWish->booking.key,
                                .attempt = aAttempt };
  auto answered = std::make_shared<bool>(false);
  Record(message.key,
         kAbandonPath,
         Encode(message),
         [this, aWish, answered](
           const tl::expected<void, LedgerCallError>& aRecorded) {
           if (std::exchange(*answered, true)) {
             return;
           }
           if (!aRecorded) {
             aWish->callback(tl::make_unexpected(aRecorded.error()));
             return;
           }
           TryPermit(aWish);
         });
  // The caller isn't kept waiting for the record beyond its deadline.
  const Duration left = aWish->deadline - mExecutor.Now();
  auto timer = std::make_shared<Timer>();
  *timer = mExecutor.RunAfter(
    std::max(left, Duration::zero()), [aWish, answered, timer] {
      if (!std::exchange(*answered, true)) {
        aWish->callback(
          tl::make_unexpected(Unavailable("no ledger answers in time")));
      }
    });
}

void
LedgerClient::Impl::Record(const BookingKey& aKey,
                           std::string aPath,
                           std::string aBody,
                           RecordCallback aCallback)
{
  auto errand = std::make_shared<Errand>();
  errand->key = aKey;
  errand->path = std::move(aPath);
  errand->body = std::move(aBody);
  errand->deadline = mExecutor.Now() + mOptions.recordTimeout;
  errand->callback = [callback = std::move(aCallback)](
                       const tl::expected<std::string, LinkError>& aResult) {
    if (aResult) {
      callback({});
      return;
    }
    callback(tl::make_unexpected(
      LedgerCallError{ .kind = LedgerCallErrorKind::kUnknown,
                       .message = aResult.error().message }));
  };
  mExecutor.Post(mGuard.Wrap([this, errand] { TryErrand(errand); }));
}

void
LedgerClient::Impl::Show(const BookingKey& aKey,
                         Duration aTimeout,
                         ShowCallback aCallback)
{
  auto errand = std::make_shared<Errand>();
  errand->key = aKey;
  errand->path = kShowPath;
  errand->body = Encode(ShowMessage{ .key = aKey });
  errand->deadline = mExecutor.Now() + aTimeout;
  errand->callback = [callback = std::move(aCallback)](
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
  mExecutor.Post(mGuard.Wrap([this, errand] { TryErrand(errand); }));
}

void
LedgerClient::Impl::TryErrand(const ErrandPtr& aErrand)
{
  const auto link = Choose(aErrand->key, aErrand->tries++);
  const Duration left = aErrand->deadline - mExecutor.Now();
  if (!link || left <= Duration::zero()) {
    aErrand->callback(tl::make_unexpected(LinkError{
      .kind = LinkErrorKind::kUnknown, .message = "no ledger answers" }));
    return;
  }
  link->Call(aErrand->path,
             aErrand->body,
             std::min(left, mOptions.tryTimeout),
             mGuard.Wrap([this, link, aErrand](
                           tl::expected<std::string, LinkError> aResult) {
               if (!aResult) {
                 OnErrandFailed(aErrand, aResult.error());
                 return;
               }
               aErrand->callback(std::move(aResult));
             }));
}

void
LedgerClient::Impl::OnErrandFailed(const ErrandPtr& aErrand,
                                   const LinkError& aError)
{
  constexpr int kBadRequest = 400;
  if (aError.status == kBadRequest) {
    aErrand->callback(tl::make_unexpected(aError));
    return;
  }
  aErrand->timer = mExecutor.RunAfter(
    mOptions.retryDelay, mGuard.Wrap([this, aErrand] { TryErrand(aErrand); }));
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
  mImpl->Record(aKey, kOutcomePath, Encode(message), std::move(aCallback));
}

void
LedgerClient::Abandon(const BookingKey& aKey,
                      const AttemptId& aAttempt,
                      RecordCallback aCallback)
{
  const AbandonMessage message{ .key = aKey, .attempt = aAttempt };
  mImpl->Record(aKey, kAbandonPath, Encode(message), std::move(aCallback));
}

void
LedgerClient::Show(const BookingKey& aKey,
                   Duration aTimeout,
                   ShowCallback aCallback)
{
  mImpl->Show(aKey, aTimeout, std::move(aCallback));
}

} // namespace firefly
