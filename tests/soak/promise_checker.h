#pragma once

// Checks the system's promises against the events that callers, backend servers
// and operators observe during a soak. It does not use the system's internal
// state.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly::soak {

// The index of a relay of the soak, starting at 0.
using RelayIndex = StrongType<struct RelayIndexTag, std::size_t>;

// Whether and how a request may be retried.
enum class RequestKind : std::uint8_t
{
  kIdempotent,
  kOnce,
  kStream,
  kResumableStream,
};

// A promise of the system, as named in docs/PROOFS.md.
enum class Promise : std::uint8_t
{
  // A caller receives the complete answer to its own request.
  kOwnWholeAnswer,
  // A request that was refused as "not run" never runs.
  kTrueRefusal,
  // A request that must not be repeated runs at most once.
  kAtMostOnce,
  // Backend servers receive only requests that a caller sent, unchanged, with a
  // deadline within the remaining time, and run them at most as often as the
  // route allows.
  kAsSent,
  // A leaving backend server receives no new requests.
  kNoWorkForLeaving,
  // An accepted configuration takes effect in time and is never rolled back.
  kConfiguration,
  // A planned stop interrupts no request.
  kUncutByPlannedStop,
  // Work is stopped after its caller has left.
  kStoppedForGoneCaller,
  // Engines receive orders from one holder of the authority at a time.
  kOneHolder,
  // No relay process ends without being stopped or killed.
  kStaysUp,
  // Requests are served again once faults are over.
  kRecovers,
};

// The name of the promise in reports, such as "at-most-once".
std::string_view
ToString(Promise aPromise);

struct Violation
{
  Promise promise = Promise::kOwnWholeAnswer;
  Instant at{};
  std::string what;
};

// A request as its caller sent it.
struct SentRequest
{
  RequestId id;
  RequestKind kind = RequestKind::kIdempotent;
  std::string route;
  std::string method;
  std::string target;
  std::string body;
  RelayIndex relay;
  Instant at{};
  Duration deadline{};
  // The maximum number of times that it may run.
  std::uint32_t maxAttempts = 1;
};

// How a request ended for its caller.
struct ObservedAnswer
{
  // 0 if there was none.
  int status = 0;
  // The stamp of the backend server that answered; empty if the system itself
  // answered.
  std::string stamp{};
  // Whether the body was received to its end.
  bool whole = false;
  std::string body{};
  // Whether the caller closed the connection before the end, also because its
  // deadline had passed.
  bool left = false;
};

// A request as a backend server received it.
struct ObservedArrival
{
  std::string backend;
  RequestId id;
  std::string method;
  std::string target;
  std::string body;
  std::optional<Duration> deadline;
};

struct ObservedOrder
{
  std::string backend;
  std::string holder;
  std::uint64_t fence = 0;
};

class PromiseChecker
{
public:
  struct Options
  {
    // Time limits from the documentation of the users' sites. A fault counts as
    // affecting a relay until `settleTime` after its end.
    Duration settleTime = std::chrono::milliseconds(3000);
    Duration drainTime = std::chrono::milliseconds(2000);
    Duration configApplyTime = std::chrono::milliseconds(2000);
    Duration rollbackSlack = std::chrono::milliseconds(250);
    Duration callerGoneTime = std::chrono::milliseconds(500);
    Duration leaseTime = std::chrono::milliseconds(3000);
    Duration deadlineSlack = std::chrono::milliseconds(500);
    // Requests that are sent at least this long after SIGTERM may be refused or
    // interrupted.
    Duration refuseAfterStop = std::chrono::milliseconds(3000);
    // A stopping relay may abandon requests that a backend server is still
    // processing this long after SIGTERM: five sixths of the stop grace.
    Duration abandonAfterStop = std::chrono::milliseconds(6667);
    // Added to time limits because the whole soak shares one loaded machine.
    Duration machineSlack = std::chrono::milliseconds(400);
  };

  PromiseChecker() = default;
  explicit PromiseChecker(Options aOptions);

  // A fault affects one relay, or all relays if none is given, in this period.
  // Checks of time limits and of planned stops ignore requests that overlap the
  // period or the `settleTime` after it. The checks of rollbacks, of leases and
  // of the recovery do not.
  void OnRelayDisturbed(std::optional<RelayIndex> aRelay,
                        Instant aFrom,
                        Instant aTo);
  // A fault affects the network to backend servers in this period; answers may
  // be interrupted there.
  void OnBackendNetworkDisturbed(Instant aFrom, Instant aTo);
  // A relay received SIGTERM for a planned stop.
  void OnStopSignal(RelayIndex aRelay, Instant aNow);
  void OnRelayStarted(RelayIndex aRelay, Instant aNow);
  void OnUnexpectedRelayExit(RelayIndex aRelay,
                             const std::string& aExitStatus,
                             Instant aNow);

  void OnSent(const SentRequest& aRequest);
  void OnAnswer(const RequestId& aId,
                const ObservedAnswer& aAnswer,
                Instant aNow);

  void OnArrival(const ObservedArrival& aArrival, Instant aNow);
  void OnRunBegan(const std::string& aBackend,
                  const RequestId& aId,
                  Instant aNow);
  // A run ended. aBrokenOff tells whether the backend server itself aborted it.
  // Ignores a request that no caller sent, like OnRunBegan().
  void OnRunEnded(const std::string& aBackend,
                  const RequestId& aId,
                  bool aBrokenOff,
                  Instant aNow);
  // A backend server decoded request aId from the KV cache of request aOwner.
  void OnForeignKvCache(const RequestId& aId,
                        const RequestId& aOwner,
                        Instant aNow);
  // The store acknowledged that the backend server is leaving or gone.
  void OnLeaving(const std::string& aBackend, Instant aNow);
  void OnOrder(const ObservedOrder& aOrder, Instant aNow);

  // The store acknowledged a configuration with these routes.
  void OnConfiguration(std::uint64_t aVersion,
                       const std::set<std::string>& aRoutes,
                       Instant aNow);

  // Requests that are sent from this time on count for Promise::kRecovers,
  // except those whose caller left and those that the system answered with 404.
  void OnLastFault(Instant aRecoveredBy);

  // Checks the promises that can only be judged at the end.
  void Finish(Instant aNow);

  [[nodiscard]] const std::vector<Violation>& Violations() const
  {
    return mViolations;
  }

  struct Counts
  {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0;
    std::uint64_t runs = 0;
    std::uint64_t sentAfterFaults = 0;
    std::uint64_t servedAfterFaults = 0;
  };
  [[nodiscard]] const Counts& Count() const { return mCounts; }

  // The expected answer of a request: its plain body, or one event of its
  // stream and the number of events.
  static std::string PlainBody(const RequestId& aId);
  static std::string Event(const RequestId& aId, std::uint32_t aNumber);
  static std::uint32_t EventCount(const RequestId& aId);

private:
  struct Run
  {
    std::string backend;
    Instant began{};
    std::optional<Instant> ended;
    bool brokenOff = false;
  };
  struct Request
  {
    SentRequest sent;
    std::vector<Run> runs;
    std::uint32_t arrivals = 0;
    std::optional<ObservedAnswer> answer;
    Instant answered{};
  };
  struct Disturbance
  {
    std::optional<RelayIndex> relay{};
    Instant from{};
    Instant to{};
  };
  struct Configuration
  {
    std::uint64_t version = 0;
    std::set<std::string> routes;
    Instant at{};
  };

  void ReportViolation(Promise aPromise, Instant aNow, std::string aWhat);
  // Whether no fault affected the relay in the period.
  [[nodiscard]] bool IsUndisturbed(RelayIndex aRelay,
                                   Instant aFrom,
                                   Instant aTo) const;
  // Whether additionally no fault affected the network to backend servers.
  [[nodiscard]] bool IsUndisturbedWithBackends(RelayIndex aRelay,
                                               Instant aFrom,
                                               Instant aTo) const;
  void CheckBody(const Request& aRequest, Instant aNow);
  void CheckRoute(const Request& aRequest, Instant aNow);
  void CheckPlannedStop(const Request& aRequest, Instant aNow);

  Options mOptions;
  std::map<RequestId, Request> mRequests;
  std::map<std::string, Instant> mLeaving;
  std::map<std::string, std::pair<ObservedOrder, Instant>> mOrders;
  std::map<RelayIndex, Instant> mStops;
  std::map<RelayIndex, Instant> mStarts;
  std::vector<Disturbance> mRelayDisturbances;
  std::vector<Disturbance> mBackendDisturbances;
  std::vector<Configuration> mConfigurations;
  // The newest version that the answers of each relay prove to be in force, and
  // when that was observed.
  std::map<RelayIndex, std::pair<std::uint64_t, Instant>> mObservedVersions;
  std::optional<Instant> mRecoveredBy;
  std::vector<Violation> mViolations;
  Counts mCounts;
};

} // namespace firefly::soak
