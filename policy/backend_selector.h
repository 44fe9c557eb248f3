#pragma once

// The choice of a backend server for one request.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "policy/digest.h"
#include "policy/fleet_view.h"
#include "policy/prompt_queues.h"
#include "policy/request_info.h"
#include "policy/size_estimator.h"

namespace firefly::policy {

// A backend server that was chosen, and what is expected of it.
struct Choice
{
  BackendSlot slot;
  BackendId backend;
  // From the dispatch to the first token (or a plain service's answer).
  Duration expectedWait{};
  // Between tokens.
  Duration expectedGap{};
  // Prompt tokens that its prefix cache is expected to hold.
  Tokens cachedTokens;
  // Of reading the rest of the prompt at the engine's rated speed.
  Duration promptTime{};
  // The engine's order of work.
  EngineUrgency urgency{};
  // What it was chosen for.
  WorkPhase phase = WorkPhase::kWhole;
  // The engine to copy the shared part of the prompt's memory from, if that is
  // sooner than reading it again.
  std::optional<BackendId> copyFrom{};
};

enum class SelectFailure : std::uint8_t
{
  // No open backend server has the model or the service.
  kNoBackend,
  // All candidates are full; the request may wait.
  kNoRoom,
};

struct SelectError
{
  SelectFailure failure = SelectFailure::kNoBackend;
  // With kNoRoom: the least wait that a candidate promises.
  Duration expectedWait{};
};

// What Select is asked for beside the request.
struct SelectQuery
{
  // Expected output size.
  SizeEstimate size;
  Lane lane = Lane::kNormal;
  // Backend servers that must not be chosen: those of earlier attempts.
  std::vector<BackendSlot> excluded;
  // Whether room doesn't matter: a retry after a crash, a hedge.
  bool ignoreRoom = false;
  WorkPhase phase = WorkPhase::kWhole;
};

// An engine's own report of its load, some time old when it comes.
struct LoadReport
{
  BackendId backend;
  // Requests running and waiting there.
  std::uint32_t requests = 0;
  // Prompt tokens waiting there.
  std::uint32_t prefillTokens = 0;
};

// What a process tells the others at once of a backend server.
struct BackendNotice
{
  enum class Kind : std::uint8_t
  {
    // It was sent a prompt to read.
    kPlaced,
    // Its host acknowledges nothing any more.
    kSilent,
  };
  Kind kind = Kind::kPlaced;
  // FleetView::HashAt of the backend server.
  std::uint64_t backend = 0;
  // With kPlaced: what it is expected to read, and the hashes of the prompt's
  // prefixes (RequestInfo::prefixHashes), which it holds then.
  Tokens uncached{};
  EngineUrgency urgency{};
  std::vector<std::uint64_t> prefixes{};
};

// One dispatched attempt, told to the selector's feedback calls.
struct AttemptInfo
{
  BackendSlot slot;
  // Prompt tokens that count as backlog until the first token.
  Tokens prefillTokens;
  Duration expectedWait{};
  Duration expectedGap{};
  Lane lane = Lane::kNormal;
  bool hadFirstToken = false;
  // Its prompt in the engine's queue; none for other work.
  std::optional<PromptQueues::Ticket> prompt{};
  // The prefixes that its engine holds once the prompt is read.
  std::vector<std::uint64_t> prefixes{};
};

// Whether the slot is one of these.
[[nodiscard]] bool
Contains(const std::vector<BackendSlot>& aSlots, BackendSlot aSlot);

// Whether the backend server is open for that part of the request's work.
[[nodiscard]] bool
IsOpenFor(const RequestInfo& aRequest,
          const SelectQuery& aQuery,
          const Backend& aBackend);

// Chooses backend servers. What it hears of their work goes to the calls that
// begin with On; a selector overrides those that it learns from.
class BackendSelector
{
public:
  virtual ~BackendSelector() = default;

  // Chooses a backend server; it never returns one that is not open.
  virtual tl::expected<Choice, SelectError> Select(const RequestInfo& aRequest,
                                                   const SelectQuery& aQuery,
                                                   const FleetView& aFleet,
                                                   Instant aNow) = 0;

  // A request arrived, whether it will run or not.
  virtual void OnArrival(const RequestInfo& /*aRequest*/) {}

  // Prompt tokens of the request that some prefix cache is likely to hold.
  [[nodiscard]] virtual Tokens ExpectedCached(
    const RequestInfo& /*aRequest*/) const
  {
    return Tokens(0);
  }

  // The chosen backend server gets the request now. The result goes to the
  // calls below.
  virtual AttemptInfo OnDispatch(const RequestInfo& aRequest,
                                 const Choice& aChoice,
                                 Lane aLane,
                                 Instant aNow) = 0;

  // The first token (or a plain service's answer) came after that wait.
  virtual void OnFirstToken(AttemptInfo& aAttempt,
                            Duration aWait,
                            Instant aNow) = 0;

  // More tokens came, with that mean gap.
  virtual void OnTokens(const AttemptInfo& /*aAttempt*/,
                        Duration /*aMeanGap*/,
                        Instant /*aNow*/)
  {
  }

  // The attempt is over: finished or cancelled.
  virtual void OnFinish(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/) {}

  // The attempt is over by an error of the backend server.
  virtual void OnError(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/) {}

  // The attempt is over: its backend server could not be reached.
  virtual void OnUnreachable(const AttemptInfo& /*aAttempt*/, Instant /*aNow*/)
  {
  }

  // No token has come for longer than expected, and still none has.
  virtual void OnOverdue(const AttemptInfo& /*aAttempt*/,
                         Duration /*aWaited*/,
                         Instant /*aNow*/)
  {
  }

  // A load report came; it is as old as the reports' lag.
  virtual void OnReport(const LoadReport& /*aReport*/,
                        const FleetView& /*aFleet*/,
                        Instant /*aNow*/)
  {
  }

  // A peer told of its own outstanding work.
  virtual void OnPeerDigest(const Digest& /*aDigest*/,
                            const FleetView& /*aFleet*/,
                            Instant /*aNow*/)
  {
  }

  // A peer sent a prompt to an engine just now.
  virtual void OnPeerPlaced(BackendSlot /*aSlot*/,
                            const BackendNotice& /*aNotice*/,
                            const FleetView& /*aFleet*/,
                            Instant /*aNow*/)
  {
  }

  // A peer found that the backend server's host acknowledges nothing.
  virtual void OnPeerSilent(BackendSlot /*aSlot*/, Instant /*aNow*/) {}

  // Adds this process's own outstanding work to its digest.
  virtual void FillDigest(Digest& /*aDigest*/,
                          const FleetView& /*aFleet*/,
                          Instant /*aNow*/) const
  {
  }
};

} // namespace firefly::policy
