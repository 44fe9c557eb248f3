#pragma once

// Shows operators what is known of a booking key.

#include "servers/http/http_server.h"
#include "servers/ledger/ledger_client.h"

namespace firefly {

// Answers GET /admin/bookings/{key}. The key is the ledger's whole key, or the
// caller's own with the query parameters service and customer.
void
ShowBooking(const HttpRequest& aRequest,
            const HttpResponderPtr& aResponder,
            LedgerClient& aLedger);

} // namespace firefly
