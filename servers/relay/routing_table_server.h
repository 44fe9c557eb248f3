#pragma once

// Serves the record of the routing table to peers, compressed, and to no more
// of them at a time than the link carries.

#include <cstddef>
#include <string>

#include "core/clock.h"
#include "policy/table_update/table_serving_budget.h"
#include "servers/http/http_message.h"
#include "servers/relay/routing_table_replica.h"

namespace firefly {

class RoutingTableServer
{
public:
  // The replica must outlive the server.
  explicit RoutingTableServer(const RoutingTableReplica& aReplica);

  // Answers a request on the status port: 200 with the record, 404 for another
  // path or without a table, or 503 if others are being served; the peer can
  // then ask another host at once.
  HttpResponse Answer(const HttpRequest& aRequest, Instant aNow);

  // The bytes that the table in force takes on the way to a peer; 0 without a
  // table.
  std::size_t TransferBytes();

private:
  const std::string& Compressed();

  const RoutingTableReplica& mReplica;
  policy::TableServingBudget mBudget{ {} };
  RoutingTableReplica::Table mCompressedTable;
  std::string mCompressed;
};

} // namespace firefly
