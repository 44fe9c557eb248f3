#pragma once

// Selection of a backend server for a request.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "policy/digest.h"
#include "policy/fleet_view.h"
#include "policy/handover_estimator.h"
#include "policy/plain_service_estimator.h"
#include "policy/prompt_queue_estimator.h"
#include "policy/rate_limit/backend_rate_limiter.h"
#include "policy/request_info.h"
#include "policy/size_estimator.h"

namespace firefly::policy {

// The selected backend server and its predicted performance for the request.
struct Choice
{
  BackendSlot slot;
  BackendId backend;
  // Time from dispatch to the first token, or to the answer of a plain service;
  // with kPrefill, to the end of the prefill.
  Duration expectedWait{};
  // Time between output tokens at the usual speed when all slots are taken.
  Duration expectedGap{};
  // Prompt tokens that are expected in its prefix cache, including those to be
  // copied there from `copyFrom`.
  Tokens cachedTokens;
  // Time to prefill the rest of the prompt at the engine's rated speed.
  Duration ratedPrefillTime{};
  // Priority by which the engine orders its work.
  EngineUrgency urgency{};
  // The part of the request's work that it was selected for.
  WorkPhase phase = WorkPhase::kWhole;
  // The engine to copy the KV cache of the shared prefix from, if copying
  // replaces prefilling it again.
  std::optional<BackendId> copyFrom{};
  // Time until the backend server's rate limit allows the request; part of
  // expectedWait.
  Duration startAfter{};
};

enum class SelectFailure : std::uint8_t
{
  // No open backend server has the model or the service.
  kNoBackend,
  // All candidates are at capacity; the request may be queued.
  kNoCapacity,
  // All candidates limit the rate of requests, and none takes this one soon
  // enough.
  kRateLimit,
};

struct SelectError
{
  SelectFailure failure = SelectFailure::kNoBackend;
  // With kNoCapacity: the shortest expected wait among the candidates. With
  // kRateLimit: the time until the first of them takes a request.
  Duration expectedWait{};
};

// Parameters of Select() in addition to the request.
struct SelectQuery
{
  // Expected output size.
  SizeEstimate size;
  Lane lane = Lane::kNormal;
  // Backend servers of earlier attempts, which must not be selected again.
  std::vector<BackendSlot> excluded;
  // Whether to select a backend server even if all are at capacity, as for a
  // retry or for the decode phase of a request that is already prefilled.
  bool ignoreCapacity = false;
  WorkPhase phase = WorkPhase::kWhole;
  // With kDecode: the failure domain of the engine that hands over the KV
  // cache. A handover to another domain takes longer and costs more.
  std::optional<DomainId> kvCacheDomain{};
};

// An engine's report of its own load; it is already out of date by the
// reporting delay when it arrives.
struct LoadReport
{
  BackendId backend;
  // Requests running or queued at the engine.
  std::uint32_t requests = 0;
  // Prompt tokens queued for prefill at the engine.
  std::uint32_t prefillTokens = 0;
};

// A notice about a backend server that a process sends to its peers at once,
// without waiting for the next digest.
struct BackendNotice
{
  enum class Kind : std::uint8_t
  {
    // The sender dispatched a prompt to it.
    kPromptDispatched,
    // The sender could not reach it, or its host no longer acknowledges
    // anything that is sent to it.
    kSilent,
    // The sender was told the limit, or took places in its schedule.
    kRateLimit,
  };
  Kind kind = Kind::kPromptDispatched;
  // FleetView::HashAt of the backend server.
  std::uint64_t backend = 0;
  // With kPromptDispatched: the prompt tokens that it is expected to prefill,
  // their urgency, and the hashes of the prompt's prefixes
  // (RequestInfo::prefixHashes), which it holds in its cache afterwards.
  Tokens uncached{};
  EngineUrgency urgency{};
  std::vector<std::uint64_t> prefixes{};
  // With kRateLimit: what the sender knows, and the number of places.
  RateLimitNews limit{};
  std::uint32_t places = 0;
};

// A dispatched attempt, as passed to the selector's feedback calls.
struct AttemptInfo
{
  BackendSlot slot;
  // Prompt tokens that count as backlog until the first token arrives.
  Tokens prefillTokens;
  Duration expectedWait{};
  Duration expectedGap{};
  Lane lane = Lane::kNormal;
  bool hadFirstToken = false;
  // The prompt's place in the estimated engine queue; empty if the attempt has
  // no prompt that is queued for prefill.
  std::optional<PromptQueueEstimator::Ticket> prompt{};
  // Hashes of the prefixes that the engine holds in its cache once the prompt
  // is prefilled.
  std::vector<std::uint64_t> prefixes{};
  // The handover of a KV cache to the engine; empty if there is none.
  std::optional<HandoverEstimator::Ticket> handover{};
  // The call of a plain service; empty for engines.
  std::optional<PlainServiceEstimator::Ticket> plainCall{};
  // The answer of a plain service is more likely lost than late after this
  // time; empty for engines.
  std::optional<Duration> overdueAfter{};
};

[[nodiscard]] bool
Contains(const std::vector<BackendSlot>& aSlots, BackendSlot aSlot);

// Whether the backend server is open and serves the queried phase of the
// request's work.
[[nodiscard]] bool
IsOpenFor(const RequestInfo& aRequest,
          const SelectQuery& aQuery,
          const Backend& aBackend);

// Selects backend servers for requests. The On...() calls report the progress
// of attempts and the load of backend servers; a selector overrides those that
// it learns from.
class BackendSelector
{
public:
  virtual ~BackendSelector() = default;

  // Selects a backend server; never returns one that is not open.
  virtual tl::expected<Choice, SelectError> Select(const RequestInfo& aRequest,
                                                   const SelectQuery& aQuery,
                                                   const FleetView& aFleet,
                                                   Instant aNow) = 0;

  // A request is about to be passed to admission control, which may refuse it.
  // Requests that were refused before, as by a limit, are not reported.
  virtual void OnArrival(const RequestInfo& /*aRequest*/) {}

  // Prompt tokens of the request that are likely to be in the prefix cache of
  // some engine.
  [[nodiscard]] virtual Tokens ExpectedCached(
    const RequestInfo& /*aRequest*/) const
  {
    return Tokens(0);
  }

  // The request is dispatched to the selected backend server now. The caller
  // passes the returned attempt to the calls below.
  virtual AttemptInfo OnDispatch(const RequestInfo& aRequest,
                                 const Choice& aChoice,
                                 Lane aLane,
                                 Instant aNow) = 0;

  // The first token, or the answer of a plain service, arrived after aWait.
  virtual void OnFirstToken(AttemptInfo& aAttempt,
                            Duration aWait,
                            Instant aNow) = 0;

  // More tokens arrived, with aMeanGap between them on average.
  virtual void OnTokens(const AttemptInfo& /*aAttempt*/,
                        Duration /*aMeanGap*/,
                        Instant /*aNow*/)
  {
  }

  // The attempt finished or was cancelled.
  virtual void OnFinish(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/) {}

  // The backend server ran the attempt and answered with an error.
  virtual void OnErrorAnswer(const AttemptInfo& aAttempt, Instant aNow)
  {
    OnFinish(aAttempt, aNow);
  }

  // The backend server failed or the connection was lost.
  virtual void OnError(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/) {}

  // The backend server did not run the attempt.
  virtual void OnRejection(const AttemptInfo& aAttempt, Instant aNow)
  {
    OnError(aAttempt, aNow);
  }

  // The attempt ended because its backend server could not be reached or its
  // host no longer acknowledges anything.
  virtual void OnUnreachable(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/)
  {
  }

  // The first token has not arrived aWaited after the dispatch, which is longer
  // than expected. Called repeatedly while the attempt is waiting.
  virtual void OnFirstTokenOverdue(const AttemptInfo& /*aAttempt*/,
                                   Duration /*aWaited*/,
                                   Instant /*aNow*/)
  {
  }

  // A load report arrived; its figures are as old as the reporting delay.
  virtual void OnReport(const LoadReport& /*aReport*/,
                        const FleetView& /*aFleet*/,
                        Instant /*aNow*/)
  {
  }

  // A peer's digest of its own outstanding work arrived.
  virtual void OnPeerDigest(const Digest& /*aDigest*/,
                            const FleetView& /*aFleet*/,
                            Instant /*aNow*/)
  {
  }

  // A peer reported that it has just dispatched a prompt to an engine.
  virtual void OnPeerDispatched(BackendSlot /*aSlot*/,
                                const BackendNotice& /*aNotice*/,
                                const FleetView& /*aFleet*/,
                                Instant /*aNow*/)
  {
  }

  // A peer reported BackendNotice::Kind::kSilent for the backend server.
  virtual void OnPeerSilent(BackendSlot /*aSlot*/, Instant /*aNow*/) {}

  // Adds this process's own outstanding work to its digest.
  virtual void FillDigest(Digest& /*aDigest*/,
                          const FleetView& /*aFleet*/,
                          Instant /*aNow*/)
  {
  }
};

} // namespace firefly::policy
