#pragma once

// The backend servers that this process believes in, with their addresses,
// kept up to date from the records that they write of themselves.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/executor.h"
#include "policy/fleet_view.h"
#include "servers/http1/backend_pool.h"
#include "servers/log/log.h"

namespace firefly {

// What a backend server says of itself.
struct BackendRecord
{
  BackendId id;
  ServiceId service;
  BackendAddress address;
  DomainId domain;
  std::uint32_t slots = 1;
  // It takes no new work and ends soon.
  bool leaving = false;
  // The moment of its start; another one under the same id is another life.
  std::uint64_t startedAt = 0;
  // Only of model engines.
  std::optional<policy::EngineRole> role{};
  std::vector<std::string> models{};
};

// The id under which a service's model is known to the policies: models of two
// services may share a name.
ModelId
ScopedModel(const ServiceId& aService, const std::string& aModel);

class BackendDirectory
{
public:
  struct Options
  {
    // What an engine carries in each role.
    policy::RoleCapacities capacities{};
    // After the log was away, a record that is gone is believed to be gone only
    // this long after the log's return.
    Duration returnGrace = std::chrono::milliseconds(1500);
  };

  // Fleet and pool must outlive the directory.
  BackendDirectory(Options aOptions,
                   Executor& aExecutor,
                   policy::FleetView& aFleet,
                   BackendPool& aPool);

  // Returns whether the record says something new, also to those who believed
  // an earlier one to be gone.
  bool Apply(const BackendRecord& aRecord);

  // The record is gone, and the backend server with it. Returns whether it was
  // known.
  bool Remove(const BackendId& aId);

  // Only these have records.
  void KeepOnly(const std::vector<std::string>& aIds);

  // The log of the records answers again.
  void OnLogRegained();

  // Where the backend server is reached; null if it is not known any more.
  [[nodiscard]] const BackendRecord* Find(const BackendId& aId) const;
  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }

private:
  void RemoveNow(const BackendId& aId, const std::string& aWhy);
  void RemoveLapsed();

  Options mOptions;
  Executor& mExecutor;
  policy::FleetView& mFleet;
  BackendPool& mPool;
  Log mLog{ "directory" };
  std::map<BackendId, BackendRecord> mRecords;
  // Records that went while the log had just come back.
  std::vector<BackendId> mLapsed;
  Instant mGraceEnd{};
  Timer mTimer;
};

} // namespace firefly
