#pragma once

// Shows operators what the ledger knows about a booking key.

#include "servers/http/http_server.h"
#include "servers/ledger/ledger_client.h"

namespace firefly {

// Answers GET /admin/bookings/{key}. The key is either the ledger's full key or
// the caller's Idempotency-Key. For the latter, the query parameter service is
// required, and customer defaults to "anonymous".
void
ShowBooking(const HttpRequest& aRequest,
            const HttpResponderPtr& aResponder,
            LedgerClient& aLedger);

} // namespace firefly
