#pragma once

// Simulates one model engine on a virtual clock: continuous batching, in which
// prefill and decode share each step, a prefix cache in blocks, priorities,
// role changes and crashes.

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

// Identifies an attempt among those of all entries.
using AttemptKey = std::uint64_t;

// One attempt as it is submitted to an engine.
struct EngineRequest
{
  AttemptKey key = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  int priority = 1;
  // Whether the request crashes the engine once its prompt is prefilled.
  bool poison = false;
};

// Receives the events of an engine.
class EngineListener
{
public:
  virtual ~EngineListener() = default;
  virtual void OnFirstToken(AttemptKey aKey) = 0;
  // aCount more tokens were decoded since the last call for this attempt. The
  // first token is included.
  virtual void OnTokens(AttemptKey aKey, std::uint32_t aCount) = 0;
  virtual void OnFinish(AttemptKey aKey) = 0;
  // The engine crashed; OnConnectionLost follows for each of its attempts.
  virtual void OnCrash() = 0;
  // The attempt's connection was lost.
  virtual void OnConnectionLost(AttemptKey aKey) = 0;
  // A step begins that takes aGap, in which aOutputs requests decode one token
  // each.
  virtual void OnStep(Duration aGap, std::uint32_t aOutputs) = 0;
};

// The limits of an engine's batches in a role.
struct BatchLimits
{
  // Maximum prompt tokens prefilled in a step.
  std::uint32_t chunkTokens = 0;
  // Maximum requests in the batch.
  std::uint32_t slots = 0;
};

BatchLimits
BatchLimitsOf(policy::EngineRole aRole);

// The capacity of an engine in each role, computed from the role's batch
// limits.
policy::RoleCapacities
EngineCapacities();

// The duration of a step that prefills aPromptTokens and decodes one token for
// each of aOutputs requests, on an engine that is not slowed.
Duration
StepTime(std::uint32_t aPromptTokens, std::uint32_t aOutputs);

class EngineModel
{
public:
  // Tokens in a block of the KV cache, and blocks in an engine.
  static constexpr std::uint32_t kBlockTokens = 64;
  static constexpr std::uint32_t kBlocks = 2000;

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

  // Queues the request. Returns false if the engine is down.
  bool Submit(EngineRequest aRequest);
  // Drops the attempt without an event. Ignores an unknown attempt.
  void Cancel(AttemptKey aKey);

  // Multiplies the duration of each step that starts from now on.
  void SetStepTimeFactor(double aFactor) { mSlowness = aFactor; }

  // Drops all work and the cache. The engine is up again after RestartTime().
  void Crash();
  static Duration RestartTime();

  // Takes the engine down for kRoleChangeTime, after which it is up in the new
  // role with an empty cache, and then calls aDone. The engine must be idle.
  void ChangeRole(policy::EngineRole aRole, std::function<void()> aDone);

  // The queued and running requests and their prompt tokens that are not
  // prefilled yet.
  [[nodiscard]] policy::LoadReport Report() const;

  // Prefix tokens of all admitted requests, and those of them found in the
  // cache.
  [[nodiscard]] std::uint64_t PrefixTokens() const { return mPrefixTokens; }
  [[nodiscard]] std::uint64_t CachedPrefixTokens() const
  {
    return mCachedTokens;
  }

private:
  // A request in the batch.
  struct RunningRequest
  {
    EngineRequest request;
    std::uint32_t promptTokensLeft = 0;
    std::uint32_t outputTokensLeft = 0;
    std::uint32_t unreportedTokens = 0;
    std::uint32_t blocks = 0;
    bool started = false;
  };
  // Priority and sequence number; the smallest is admitted first.
  using QueueKey = std::pair<int, std::uint64_t>;

  void AdmitWaiting();
  void ScheduleStep();
  void FinishStep(std::map<QueueKey, std::uint32_t> aChunks);
  void FinishPrefill(RunningRequest& aRunning);
  [[nodiscard]] std::uint32_t CachedTokens(const EngineRequest& aRequest);
  void CachePrefix(const EngineRequest& aRequest);
  void EvictToFit();

  BackendId mId;
  policy::EngineRole mRole;
  Executor& mExecutor;
  EngineListener& mListener;
  bool mUp = true;
  double mSlowness = 1;
  std::uint64_t mSequence = 0;
  std::map<QueueKey, EngineRequest> mWaiting;
  std::map<QueueKey, RunningRequest> mActive;
  std::uint32_t mRunningBlocks = 0;
  std::uint64_t mPrefixTokens = 0;
  std::uint64_t mCachedTokens = 0;
  // Hashes of the cached prefix blocks, the most recently used first.
  std::list<std::uint64_t> mCache;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
    mCacheIndex;
  Timer mStepTimer;
  Timer mRestartTimer;
};

} // namespace firefly::bench
