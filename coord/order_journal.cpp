#include "coord/order_journal.h"

#include <utility>

namespace firefly::coord {

namespace {

JournalError
Translate(const WriteError& aError)
{
  const bool unknown = aError.kind == WriteErrorKind::kUnknown;
  return { .kind = unknown ? JournalErrorKind::kUnknown
                           : JournalErrorKind::kNotLogged,
           .message = aError.message };
}

} // namespace

OrderJournal::OrderJournal(const Options& aOptions,
                           Executor& aExecutor,
                           AuthorityStream& aStream)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mStream(aStream)
{
}

void
OrderJournal::Advance(FencingNumber aFence,
                      const BackendId& aBackend,
                      const std::string& aEvent,
                      DoneCallback aCallback)
{
  Write(RecordKind::kPlanEvent,
        AuthorityState::PlanEventBody(aFence, aBackend, aEvent),
        std::move(aCallback));
}

void
OrderJournal::Begin(FencingNumber aFence,
                    const BackendId& aBackend,
                    const WantedState& aWanted,
                    IntentCallback aCallback)
{
  if (mOrderFence != aFence) {
    mOrderFence = aFence;
    mOrders = 0;
  }
  Order order{ .backend = aBackend,
               .fence = aFence,
               .id = OrderId(++mOrders),
               .wanted = aWanted };
  auto body = AuthorityState::IntentBody(order);
  Write(RecordKind::kOrderIntent,
        std::move(body),
        [order = std::move(order), callback = std::move(aCallback)](
          const tl::expected<void, JournalError>& aResult) {
          if (!aResult) {
            callback(tl::unexpected(aResult.error()));
            return;
          }
          callback(order);
        });
}

void
OrderJournal::Finish(FencingNumber aFence,
                     const Order& aOrder,
                     OrderResult aResult,
                     DoneCallback aCallback)
{
  Write(RecordKind::kOrderOutcome,
        AuthorityState::OutcomeBody(aFence, aOrder, aResult),
        std::move(aCallback));
}

void
OrderJournal::Write(RecordKind aKind, std::string aBody, DoneCallback aCallback)
{
  mStream.Writer().Append(
    aKind,
    std::move(aBody),
    mExecutor.Now() + mOptions.timeout,
    mGuard.Wrap([callback = std::move(aCallback)](
                  const tl::expected<Confirmation, WriteError>& aResult) {
      if (!aResult) {
        callback(tl::unexpected(Translate(aResult.error())));
        return;
      }
      if (!aResult->accepted) {
        callback(tl::unexpected(JournalError{
          .kind = JournalErrorKind::kRejected,
          .message = "the rules of the plan rejected the record" }));
        return;
      }
      callback({});
    }));
}

} // namespace firefly::coord
