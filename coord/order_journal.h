#pragma once

// Logs orders to backend servers: the intent before an order is sent, and its
// outcome afterwards. At most one order is outstanding for each backend server,
// regardless of who holds the authority, because the fold rejects a second
// intent.

#include <functional>
#include <string>
#include <vector>

#include "coord/authority_stream.h"

namespace firefly::coord {

enum class JournalErrorKind
{
  kRejected,  // stale fence, another order is open, or the wrong state
  kNotLogged, // the record was not appended: no effect
  kUnknown,   // not read back in time: it may still take effect
};

// Why a record was not accepted.
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
    // How long to wait for a record to be read back.
    Duration timeout = std::chrono::seconds(4);
  };

  // The stream must outlive the journal.
  OrderJournal(const Options& aOptions,
               Executor& aExecutor,
               AuthorityStream& aStream);

  // Logs an event of charts/backend.toml that moves a backend server through a
  // planned change: close, acknowledged, idle, cancel, withdraw, admit or lost.
  void Advance(FencingNumber aFence,
               const BackendId& aBackend,
               const std::string& aEvent,
               DoneCallback aCallback);

  // Logs an order. The backend server must be in the state ordering or out.
  // Send the order only after the callback, and only if the lease with the
  // order's fencing number is still held at that time.
  void Begin(FencingNumber aFence,
             const BackendId& aBackend,
             const WantedState& aWanted,
             IntentCallback aCallback);

  // Logs how an order ended. A new lease holder also uses this to close an
  // order of a former holder, after it read the backend server's state.
  void Finish(FencingNumber aFence,
              const Order& aOrder,
              OrderResult aResult,
              DoneCallback aCallback);

  // The orders whose outcome is not known yet.
  [[nodiscard]] std::vector<Order> OpenOrders() const
  {
    return mStream.State().OpenOrders();
  }

  // The folded state of the stream.
  [[nodiscard]] const AuthorityState& State() const { return mStream.State(); }

private:
  void Write(RecordKind aKind, std::string aBody, DoneCallback aCallback);

  Options mOptions;
  Executor& mExecutor;
  AuthorityStream& mStream;
  FencingNumber mOrderFence; // of the newest order of this journal
  std::uint64_t mOrders = 0; // the number of orders under that fence
  CallbackGuard mGuard;
};

} // namespace firefly::coord
