#pragma once

// Registry of the known backend servers and their addresses. It is kept current
// from the records that the backend servers write to the log, and updates the
// fleet view and the connection pool with each change.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/executor.h"
#include "policy/backend_holdoff.h"
#include "policy/fleet_view.h"
#include "policy/stream_origin/stream_origin_tracker.h"
#include "servers/http1/backend_pool.h"
#include "servers/log/log.h"

namespace firefly {

// The record that a backend server publishes about itself.
struct BackendRecord
{
  BackendId id;
  ServiceId service;
  BackendAddress address;
  DomainId domain;
  std::uint32_t slots = 1;
  // The backend server accepts no new work and shuts down soon.
  bool isLeaving = false;
  // Start time of the process. A different value under the same id means that
  // the backend server was restarted.
  std::uint64_t startedAt = 0;
  // Of its software. What two versions write does not fit together.
  std::string version{};
  // Set for model engines only.
  std::optional<policy::EngineRole> role{};
  std::vector<std::string> models{};
};

// Returns the id under which the policies know a service's model. It contains
// the service, since models of two services may have the same name.
ModelId
ScopedModel(const ServiceId& aService, const std::string& aModel);

class BackendRegistry
{
public:
  struct Options
  {
    // The capacity of an engine in each role.
    policy::RoleCapacities capacities{};
    // Removals that arrive within this time after the log becomes reachable
    // again take effect only at its end: records may have expired during the
    // outage although their backend servers still run.
    Duration returnGrace = std::chrono::milliseconds(1500);
    // The backend servers have written their records again within this time
    // after the log was restored from a copy.
    Duration restoreGrace = std::chrono::milliseconds(4000);
  };

  // The fleet view and the pool must outlive the registry.
  BackendRegistry(Options aOptions,
                  Executor& aExecutor,
                  policy::FleetView& aFleet,
                  BackendPool& aPool);

  // Adds or updates a backend server. Returns true if the record differs from
  // the previous one, or if it cancels a pending removal: peers may already
  // have removed the backend server.
  bool Apply(const BackendRecord& aRecord);

  // Removes a backend server whose record was deleted, or schedules the removal
  // if the log has just become reachable again. Returns false if the backend
  // server is unknown.
  bool Remove(const BackendId& aId);

  // Removes all backend servers except these, the only ones with a record.
  void RemoveAllExcept(const std::vector<std::string>& aIds);

  // Starts the grace period for removals; call it when the log that holds the
  // records is reachable again.
  void OnLogRegained();

  // The log was restored from a copy. For some time, records that are missing
  // may only be missing in the copy, and records of runs that are gone or were
  // replaced may only be left in it: they take effect at the end of that time.
  void OnLogRestored();

  // Reports which versions serve, and which of them have gone, to the tracker,
  // which must outlive the registry.
  void ReportVersionsTo(policy::StreamOriginTracker& aTracker)
  {
    mStreamOrigins = &aTracker;
  }

  // Sets the callback for a backend server whose version has changed under its
  // id.
  void OnVersionChange(std::function<void(const BackendId&)> aCallback)
  {
    mOnVersionChange = std::move(aCallback);
  }

  // A backend server said in an answer that it is leaving.
  void OnLeaving(const policy::BackendRun& aRun);

  // A backend server rejected a request and asked for no others for this time.
  void OnAskedToWait(const policy::BackendRun& aRun, Duration aWait);

  // A backend server took a request.
  void OnAccepted(const policy::BackendRun& aRun);

  // The run of the backend server that is known now.
  [[nodiscard]] policy::BackendRun RunOf(const BackendId& aId) const;

  // Returns null if the backend server is unknown or was removed.
  [[nodiscard]] const BackendRecord* Find(const BackendId& aId) const;
  [[nodiscard]] const std::map<BackendId, BackendRecord>& Records() const
  {
    return mRecords;
  }
  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }

private:
  void RemoveNow(const BackendId& aId, const std::string& aWhy);
  // Removes it now, or at that time.
  bool RemoveAt(const BackendId& aId, Instant aTime);
  // Removes those whose time has come, and waits for the next one.
  void RemovePending();
  // Whether the record may be an old one that is left in a restored log.
  [[nodiscard]] bool IsDoubtful(const BackendRecord& aRecord) const;
  void ApplyDoubtful();
  // Updates the fleet view from the record and from what the backend server
  // said in its answers.
  void Publish(const BackendRecord& aRecord);
  void PublishIfKnown(const policy::BackendRun& aRun);

  Options mOptions;
  Executor& mExecutor;
  policy::FleetView& mFleet;
  BackendPool& mPool;
  Log mLog{ "directory" };
  std::map<BackendId, BackendRecord> mRecords;
  policy::BackendHoldoff mHoldoff;
  // May be null.
  policy::StreamOriginTracker* mStreamOrigins = nullptr;
  std::function<void(const BackendId&)> mOnVersionChange;
  // End the time that a backend server asked for.
  std::map<BackendId, Timer> mReopenTimers;
  // Backend servers whose records were deleted or missing within a grace
  // period, and when they are removed.
  std::map<BackendId, Instant> mPendingRemovals;
  Instant mGraceEnd{};
  Instant mRestoreGraceEnd{};
  // The newest doubtful record of each backend server.
  std::map<BackendId, BackendRecord> mDoubtful;
  // When runs were removed, the latest ones.
  std::map<policy::BackendRun, Instant> mRemovedRuns;
  Timer mTimer;
  Timer mRestoreTimer;
};

} // namespace firefly
