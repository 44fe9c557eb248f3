#pragma once

// A fake of the users' backend servers: a model engine that prefills prompts or
// decodes output, or a plain service. It reports to the PromiseChecker all runs
// and all requests that are addressed to its current instance. A soak makes it
// crash, leave, become slow or fail requests.

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/random.h"
#include "servers/http1/caller_server.h"
#include "tests/soak/fake_store.h"
#include "tests/soak/promise_checker.h"
#include "tests/soak/tcp_proxy.h"

namespace firefly::soak {

class FakeBackend;

// The fake backend servers of a soak by the address at which relays reach them.
using FakeBackendMap = std::map<std::string, FakeBackend*>;

struct FakeBackendFaults
{
  // The share of requests that run and are answered with status 500.
  double failureRate = 0;
  // The share of answer steps at which the connection is closed instead.
  double lostAnswerRate = 0;
  // The factor by which all work takes longer.
  double slowdownFactor = 1;
};

class FakeBackend : private CallerHandler
{
public:
  struct Options
  {
    std::string service;
    std::string zone;
    // The first stage of an engine, "prefill" or "decode"; empty for a plain
    // service.
    std::string stage;
    // The maximum number of concurrent runs; prefills are not counted.
    std::uint32_t slots = 8;
    std::uint64_t seed = 1;
  };

  FakeBackend(AsioExecutor& aExecutor,
              Options aOptions,
              FakeStore& aStore,
              PromiseChecker& aChecker,
              FakeBackendMap& aBackendsByAddress);
  ~FakeBackend() override;
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  tl::expected<void, CallerServerError> Start();

  // Announces in the store that the instance is leaving, continues to serve
  // for a while and then ends. A new instance starts 2 s later.
  void Leave();

  // Ends at once; a new instance with another id starts after the downtime.
  void Crash(Duration aDowntime);

  // Simulates an unreachable host: no bytes pass in either direction, and no
  // record is written to the store.
  void BecomeUnreachable(Duration aDuration);

  void SetFaults(const FakeBackendFaults& aFaults) { mFaults = aFaults; }
  [[nodiscard]] TcpProxy& Proxy() { return *mProxy; }
  [[nodiscard]] const std::string& Id() const { return mId; }
  [[nodiscard]] bool IsUp() const { return mIsUp; }
  [[nodiscard]] bool IsEngine() const { return !mOptions.stage.empty(); }

private:
  class Run;
  struct KvCache
  {
    RequestId owner;
    Timer expiry;
  };

  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override;
  void OnRejected(const CallerRejection& /*aRejection*/) override {}

  void StartInstance();
  void Heartbeat();
  void AbortRuns();
  void OnOrder(const CallerRequest& aRequest, CallerAnswer& aAnswer);
  void Prefill(const RequestId& aId,
               const std::shared_ptr<CallerAnswer>& aAnswer);
  // Removes the KV cache entry that the request names from the backend server
  // that holds it. Returns false if there is none. Reports an entry that
  // belongs to another request to the PromiseChecker.
  bool TakeKvCache(std::string_view aSource, const RequestId& aId);
  void RefuseAsNotRun(CallerAnswer& aAnswer,
                      int aStatus,
                      std::string_view aId) const;
  [[nodiscard]] std::string Address() const;
  [[nodiscard]] Duration DrawWorkTime(Duration aMean);

  AsioExecutor& mExecutor;
  Options mOptions;
  FakeStore& mStore;
  PromiseChecker& mChecker;
  FakeBackendMap& mBackendsByAddress;
  Random mRandom;
  CallerServer mServer;
  std::unique_ptr<TcpProxy> mProxy;
  FakeBackendFaults mFaults;
  std::string mId;
  std::uint64_t mStartedAt = 0;
  std::uint64_t mRecordSequence = 0;
  bool mIsUp = false;
  bool mIsLeaving = false;
  bool mIsUnreachable = false;
  std::uint64_t mFence = 0;
  std::map<std::string, KvCache> mKvCaches;
  std::list<std::unique_ptr<Run>> mRuns;
  std::list<Timer> mPendingTimers;
  Timer mHeartbeatTimer;
  Timer mLifecycleTimer;
  Timer mStageTimer;
};

} // namespace firefly::soak
