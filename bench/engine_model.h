#pragma once

// One model engine on a virtual clock: continuous batching in which prompts
// and outputs share each step, a prefix cache in pieces, priorities, role
// changes and crashes.

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/executor.h"
#include "policy/backend_selector.h"
#include "policy/fleet_view.h"

namespace firefly::bench {

// The number of an attempt over all entries.
using AttemptKey = std::uint64_t;

// What an engine is asked to run.
struct EngineRequest
{
  AttemptKey key = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  int priority = 1;
  // Crashes the engine once its prompt is read.
  bool poison = false;
};

// Hears of an engine's work.
class EngineListener
{
public:
  virtual ~EngineListener() = default;
  virtual void OnFirstToken(AttemptKey aKey) = 0;
  // More tokens since the last call for this attempt.
  virtual void OnTokens(AttemptKey aKey, std::uint32_t aCount) = 0;
  virtual void OnFinish(AttemptKey aKey) = 0;
  // The engine crashed; OnBroken follows for each of its attempts.
  virtual void OnCrash() = 0;
  // The attempt's connection broke.
  virtual void OnBroken(AttemptKey aKey) = 0;
  // Of so many running outputs each waited that long for its token.
  virtual void OnStep(Duration aGap, std::uint32_t aOutputs) = 0;
};

// How an engine's batching is set in a role.
struct RoleTuning
{
  // Prompt tokens in a step.
  std::uint32_t chunkTokens = 0;
  // Requests in the batch.
  std::uint32_t slots = 0;
};

// The tuning of a role.
RoleTuning
TuningOf(policy::EngineRole aRole);

// What an engine carries in each role, worked out from its tuning.
policy::RoleCapacities
EngineCapacities();

// A step's length.
Duration
StepTime(std::uint32_t aPromptTokens, std::uint32_t aOutputs);

class EngineModel
{
public:
  // Tokens in a piece of memory, and pieces in an engine.
  static constexpr std::uint32_t kPieceTokens = 64;
  static constexpr std::uint32_t kPieces = 2000;

  EngineModel(BackendId aId,
              policy::EngineRole aRole,
              Executor& aExecutor,
              EngineListener& aListener);

  [[nodiscard]] const BackendId& Id() const { return mId; }
  [[nodiscard]] policy::EngineRole Role() const { return mRole; }
  [[nodiscard]] bool IsUp() const { return mUp; }
  [[nodiscard]] bool IsIdle() const
  {
    return mActive.empty() && mWaiting.empty();
  }

  // Takes the request; false if the engine is down.
  bool Submit(EngineRequest aRequest);
  void Cancel(AttemptKey aKey);

  // Makes each step that many times longer.
  void SetSlowness(double aFactor) { mSlowness = aFactor; }

  // Loses all work and the cache, and comes back after RestartTime.
  void Crash();
  static Duration RestartTime();

  // Goes away for some seconds and comes back in the role, with its cache
  // empty. The engine must be idle.
  void ChangeRole(policy::EngineRole aRole, std::function<void()> aDone);

  // The load as of now.
  [[nodiscard]] policy::LoadReport Report() const;

  // Prefix tokens of all requests, and those of them found in the cache.
  [[nodiscard]] std::uint64_t PrefixTokens() const { return mPrefixTokens; }
  [[nodiscard]] std::uint64_t CachedPrefixTokens() const
  {
    return mCachedTokens;
  }

private:
  struct Running
  {
    EngineRequest request;
    std::uint32_t promptLeft = 0;
    std::uint32_t outputLeft = 0;
    std::uint32_t untold = 0;
    std::uint32_t pieces = 0;
    bool started = false;
  };
  using Order = std::pair<int, std::uint64_t>;

  void AdmitWaiting();
  void ScheduleStep();
  void EndStep(std::map<Order, std::uint32_t> aChunks);
  void EndPrompt(Running& aRunning);
  [[nodiscard]] std::uint32_t CachedTokens(const EngineRequest& aRequest);
  void Cache(const EngineRequest& aRequest);
  void Shrink();

  BackendId mId;
  policy::EngineRole mRole;
  Executor& mExecutor;
  EngineListener& mListener;
  bool mUp = true;
  double mSlowness = 1;
  std::uint64_t mSequence = 0;
  std::map<Order, EngineRequest> mWaiting;
  std::map<Order, Running> mActive;
  std::uint32_t mPiecesRunning = 0;
  std::uint64_t mPrefixTokens = 0;
  std::uint64_t mCachedTokens = 0;
  // Cached prefix pieces, the newest first.
  std::list<std::uint64_t> mCache;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
    mCachePlaces;
  Timer mStep;
  Timer mReturn;
};

} // namespace firefly::bench
