#pragma once

// Hears what callers, backend servers and operators see during a soak and
// checks the system's promises against it. It knows nothing of how the system
// works inside.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly::soak {

// The number of a relay of the soak, from 0.
using RelayIndex = StrongType<struct RelayIndexTag, std::size_t>;

// What may be repeated of a request.
enum class RequestKind : std::uint8_t
{
  kIdempotent,
  kOnce,
  kStream,
  kResumableStream,
};

// A promise of the system, named as in docs/PROOFS.md.
enum class Promise : std::uint8_t
{
  // An answer is the whole one to its own request.
  kOwnWholeAnswer,
  // What was refused as "not run" never ran.
  kTrueRefusal,
  // What may run once ran once at most.
  kAtMostOnce,
  // No backend server gets what no caller sent, or more of it than allowed.
  kAsSent,
  // A leaving backend server gets no new work.
  kNoWorkForLeaving,
  // An accepted configuration is in force in time and never reverts.
  kConfiguration,
  // A planned stop cuts no request.
  kUncutByPlannedStop,
  // Work whose caller left is stopped.
  kStoppedForGoneCaller,
  // Orders to engines come from one holder at a time.
  kOneHolder,
  // No process ends by itself.
  kStaysUp,
  // Requests are served again once faults are over.
  kRecovers,
};

// The promise as a word, such as "at-most-once".
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
  // Backend servers that it may be sent to.
  std::uint32_t maxAttempts = 1;
};

// How a request ended for its caller.
struct SeenAnswer
{
  // 0 if there was none.
  int status = 0;
  // A backend server's signature under it; empty for the system's own answers.
  std::string stamp{};
  // The body came to its end.
  bool whole = false;
  std::string body{};
  // The caller left by itself.
  bool left = false;
};

// What a backend server was handed.
struct SeenArrival
{
  std::string backend;
  RequestId id;
  std::string method;
  std::string target;
  std::string body;
  std::optional<Duration> deadline;
};

struct SeenOrder
{
  std::string backend;
  std::string holder;
  std::uint64_t fence = 0;
};

class Witness
{
public:
  struct Options
  {
    // From the pages of the users' sites.
    Duration contact = std::chrono::milliseconds(3000);
    Duration drain = std::chrono::milliseconds(2000);
    Duration configApply = std::chrono::milliseconds(2000);
    Duration rollbackSlack = std::chrono::milliseconds(250);
    Duration callerGone = std::chrono::milliseconds(500);
    Duration lease = std::chrono::milliseconds(3000);
    Duration deadlineSlack = std::chrono::milliseconds(500);
    // After SIGTERM, requests that are sent this much later may be turned away.
    Duration stopNotice = std::chrono::milliseconds(3000);
    // After so long a relay that was asked to stop may leave work that an
    // engine is still at; five sixths of the grace.
    Duration stopPatience = std::chrono::milliseconds(6667);
    // What one loaded machine adds to a bound.
    Duration machineSlack = std::chrono::milliseconds(400);
  };

  Witness() = default;
  explicit Witness(Options aOptions);

  // A fault touches a relay, or all of them, for that span; rules with a time
  // bound hold only a while after it.
  void OnDisturbed(std::optional<RelayIndex> aRelay,
                   Instant aFrom,
                   Instant aTo);
  // A fault touches the ways to backend servers: answers may be cut there.
  void OnBackendWaysDisturbed(Instant aFrom, Instant aTo);
  // A planned stop began.
  void OnStopSignal(RelayIndex aRelay, Instant aNow);
  void OnRelayStarted(RelayIndex aRelay, Instant aNow);
  void OnRelayEndedByItself(RelayIndex aRelay,
                            const std::string& aHow,
                            Instant aNow);

  void OnSent(const SentRequest& aRequest);
  void OnAnswer(const RequestId& aId, const SeenAnswer& aAnswer, Instant aNow);

  void OnArrival(const SeenArrival& aArrival, Instant aNow);
  void OnRunBegan(const std::string& aBackend,
                  const RequestId& aId,
                  Instant aNow);
  // The run is over; the backend server itself broke it off, or it did not.
  void OnRunEnded(const std::string& aBackend,
                  const RequestId& aId,
                  bool aBrokenOff,
                  Instant aNow);
  void OnForeignMemory(const RequestId& aId,
                       const RequestId& aOf,
                       Instant aNow);
  // The store acknowledged that the backend server leaves, or that it is gone.
  void OnLeaving(const std::string& aBackend, Instant aNow);
  void OnOrder(const SeenOrder& aOrder, Instant aNow);

  // The store acknowledged a configuration; these routes are in it.
  void OnConfiguration(std::uint64_t aVersion,
                       const std::set<std::string>& aRoutes,
                       Instant aNow);

  // After the last fault, from then on requests should be served.
  void OnLastFault(Instant aRecoveredBy);

  // Checks what can only be told at the end.
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
    std::uint64_t sentLast = 0;
    std::uint64_t servedLast = 0;
  };
  [[nodiscard]] const Counts& Count() const { return mCounts; }

  // The body that a run of a request makes, or one event of it.
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
    std::optional<SeenAnswer> answer;
    Instant answered{};
  };
  struct Span
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

  void Break(Promise aPromise, Instant aNow, std::string aWhat);
  // Whether the relay was untouched from then to then.
  [[nodiscard]] bool IsCalm(RelayIndex aRelay,
                            Instant aFrom,
                            Instant aTo) const;
  // Whether the ways to backend servers were untouched as well.
  [[nodiscard]] bool IsCalmBeyond(RelayIndex aRelay,
                                  Instant aFrom,
                                  Instant aTo) const;
  void CheckBody(const Request& aRequest, Instant aNow);
  void CheckRoute(const Request& aRequest, Instant aNow);
  void CheckPlannedStop(const Request& aRequest, Instant aNow);

  Options mOptions;
  std::map<RequestId, Request> mRequests;
  std::map<std::string, Instant> mLeaving;
  std::map<std::string, std::pair<SeenOrder, Instant>> mOrders;
  std::map<RelayIndex, Instant> mStops;
  std::map<RelayIndex, Instant> mStarts;
  std::vector<Span> mSpans;
  std::vector<Span> mBackendSpans;
  std::vector<Configuration> mConfigurations;
  // The newest version whose effect each relay has shown.
  std::map<RelayIndex, std::pair<std::uint64_t, Instant>> mShown;
  std::optional<Instant> mRecoveredBy;
  std::vector<Violation> mViolations;
  Counts mCounts;
};

} // namespace firefly::soak
