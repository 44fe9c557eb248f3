#pragma once

// A model engine for tests. It runs a limited number of requests at a time by
// priority, streams and cancels answers, obeys orders with or without a check
// of the fencing number, and simulates faults.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/executor.h"
#include "servers/http/http_server.h"
#include "tests/stand_ins/engine/engine_job.h"

namespace firefly::testing {

// An order that was received by POST /orders.
struct EngineOrder
{
  std::uint64_t fence = 0;
  std::uint64_t id = 0;
  std::string role;
  std::string model;
  std::string version;
  std::string adapter;
};

class Engine
{
public:
  struct Options
  {
    std::string model = "demo-model";
    std::string role = "mixed";
    std::size_t slots = 8;
    Duration firstToken = std::chrono::milliseconds(20);
    Duration tokenGap = std::chrono::milliseconds(5);
    Duration change = std::chrono::milliseconds(500);
    Duration reportLag = std::chrono::milliseconds(200);
    bool checksFencing = false;
  };

  Engine(Options aOptions, Executor& aExecutor);

  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

private:
  struct Job
  {
    EngineRequest request;
    HttpResponderPtr responder;
    std::uint32_t next = 0;
    Timer timer;
  };
  using JobPtr = std::shared_ptr<Job>;

  void HandleCompletion(const HttpRequest& aRequest,
                        const HttpResponderPtr& aResponder);
  void HandleControl(const std::string& aBody, HttpResponder& aResponder);
  void HandleOrder(const std::string& aBody, HttpResponder& aResponder);
  void Cancel(const std::string& aId);
  void BeginChange();

  void StartWaiting();
  void Start(const JobPtr& aJob);
  void Step(const JobPtr& aJob);
  bool ApplyFaults(const JobPtr& aJob);
  void WriteToken(Job& aJob);
  void CompleteAnswer(const JobPtr& aJob);
  void ReleaseSlot(const JobPtr& aJob);
  [[nodiscard]] Duration ApplySlowFactor(Duration aTime) const;

  [[nodiscard]] std::string StateBody() const;
  [[nodiscard]] std::string CountsBody() const;
  [[nodiscard]] std::string LoadBody() const;
  void SampleLoad();

  struct LoadSample
  {
    std::size_t requests = 0;
    std::uint32_t prefillTokens = 0;
  };

  Options mOptions;
  Executor& mExecutor;
  EngineFaults mFaults;
  std::deque<JobPtr> mWaiting;
  std::deque<JobPtr> mRunning;
  bool mChanging = false;
  EngineOrder mLastOrder;
  LoadSample mReportedLoad; // what GET /load returns; up to twice reportLag old
  LoadSample mSampledLoad;

  std::map<std::string, std::uint32_t> mExecutions;
  std::uint64_t mCancelled = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mConflicting = 0;
  std::uint64_t mInterruptedByChange = 0;
  std::uint64_t mTokens = 0;
  Timer mLoadTimer;
  Timer mChangeTimer;
};

} // namespace firefly::testing
