#include "servers/relay/routing_table_replica.h"

#include <utility>

namespace firefly {

void
RoutingTableReplica::OnChange(
  std::function<void(const policy::RoutingTable&)> aCallback)
{
  mCallback = std::move(aCallback);
}

void
RoutingTableReplica::UpdateIfNewer(policy::RoutingTable aTable,
                                   const std::string& aSource,
                                   std::string aRecord)
{
  if (mCurrent && aTable.Version() <= mCurrent->Version()) {
    return;
  }
  const auto before = mCurrent ? mCurrent->Version().Value() : 0;
  mCurrent = std::make_shared<const policy::RoutingTable>(std::move(aTable));
  mRecord = std::move(aRecord);
  mSource = aSource;
  LogFields fields{ { "version", std::to_string(mCurrent->Version().Value()) },
                    { "before", std::to_string(before) },
                    { "routes", std::to_string(mCurrent->RouteCount()) },
                    { "source", aSource } };
  if (mCurrent->HasCustomers()) {
    fields.push_back(
      { "customers", std::to_string(mCurrent->CustomerCount()) });
    fields.push_back({ "keys", std::to_string(mCurrent->KeyCount()) });
    fields.push_back(
      { "ambiguous_keys", std::to_string(mCurrent->AmbiguousKeyCount()) });
  }
  mLog.Info("routing table in force", fields);
  if (mCallback) {
    mCallback(*mCurrent);
  }
}

} // namespace firefly
