#pragma once

// Orders to backend servers. An order is logged before it is sent and its
// outcome after; at most one is outstanding for each backend server, whoever
// leads, because the fold refuses a second intent.

#include <functional>
#include <string>
#include <vector>

#include "coord/authority_stream.h"

namespace firefly::coord {

enum class JournalErrorKind
{
  kRejected,  // stale fence, another order is open, or the wrong phase
  kNotLogged, // the log is down: no effect
  kUnknown,   // not settled in time: it may come into effect
};

// Why a record was not taken into the journal.
struct JournalError
{
  JournalErrorKind kind = JournalErrorKind::kUnknown;
  std::string message;
};

// Writes orders and plan events as the holder of one fencing number.
class OrderJournal
{
public:
  using IntentCallback = std::function<void(tl::expected<Order, JournalError>)>;
  using DoneCallback = std::function<void(tl::expected<void, JournalError>)>;

  struct Options
  {
    // For how long a record may wait to be read back.
    Duration timeout = std::chrono::seconds(4);
  };

  // The stream must outlive the journal.
  OrderJournal(const Options& aOptions,
               Executor& aExecutor,
               AuthorityStream& aStream);

  // Moves a backend server through a planned change by an event of
  // charts/backend.toml: close, acknowledged, idle, cancel, withdraw, admit
  // or lost.
  void Advance(FencingNumber aFence,
               const BackendId& aBackend,
               const std::string& aEvent,
               DoneCallback aCallback);

  // Logs an order. The backend server must be in state ordering or out. Send
  // the order only after the callback, and only if the lease with the order's
  // fence still holds then.
  void Begin(FencingNumber aFence,
             const BackendId& aBackend,
             const WantedState& aWanted,
             IntentCallback aCallback);

  // Logs how an order ended. A new holder settles an older holder's order so,
  // after it read the backend server's state.
  void Finish(FencingNumber aFence,
              const Order& aOrder,
              OrderResult aResult,
              DoneCallback aCallback);

  // The orders whose outcome is not known yet.
  [[nodiscard]] std::vector<Order> OpenIntents() const
  {
    return mStream.State().OpenIntents();
  }

  // The plan as folded so far.
  [[nodiscard]] const AuthorityState& State() const { return mStream.State(); }

private:
  void Write(RecordKind aKind, std::string aBody, DoneCallback aCallback);

  Options mOptions;
  Executor& mExecutor;
  AuthorityStream& mStream;
  FencingNumber mOrderFence; // of the newest order of this journal
  std::uint64_t mOrders = 0; // under that fence
  CallbackGuard mGuard;
};

} // namespace firefly::coord
