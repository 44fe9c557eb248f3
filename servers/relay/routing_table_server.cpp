#include "servers/relay/routing_table_server.h"

#include "servers/http/gzip.h"
#include "servers/relay/routing_table_fetcher.h"
#include "servers/status/status_server.h"

namespace firefly {

namespace {

constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

} // namespace

RoutingTableServer::RoutingTableServer(const RoutingTableReplica& aReplica)
  : mReplica(aReplica)
{
}

HttpResponse
RoutingTableServer::Answer(const HttpRequest& aRequest, Instant aNow)
{
  if (aRequest.path != kRoutingPath || mReplica.Record().empty()) {
    return MakeProblem(kNotFound, "Not Found", aRequest.path);
  }
  const bool isCompressed = AcceptsGzip(aRequest.headers);
  const auto& body = isCompressed ? Compressed() : mReplica.Record();
  if (!mBudget.TrySend(body.size(), aNow)) {
    return MakeProblem(kServiceUnavailable,
                       "Service Unavailable",
                       "the routing table is being sent to other hosts");
  }
  HttpResponse response{ .contentType = "application/octet-stream",
                         .body = body };
  if (isCompressed) {
    response.headers.push_back({ "Content-Encoding", "gzip" });
  }
  return response;
}

std::size_t
RoutingTableServer::TransferBytes()
{
  return mReplica.Record().empty() ? 0 : Compressed().size();
}

const std::string&
RoutingTableServer::Compressed()
{
  if (mCompressedTable != mReplica.Current()) {
    mCompressedTable = mReplica.Current();
    mCompressed = Gzip(mReplica.Record());
  }
  return mCompressed;
}

} // namespace firefly
