#pragma once

// A stand-in for the platform's API on the virtual clock. It may be down, slow,
// or execute a call long after the caller has given up, and it records all
// executed calls.

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/virtual_executor.h"
#include "servers/duties/duty_client.h"

namespace firefly::testing {

class FakeDutyApi
{
public:
  struct Call
  {
    DutyHolderId holder;
    policy::UsageReport report;
    Instant sent{};
    WallTime executed{};
    bool isAccepted = false;
  };

  FakeDutyApi(std::uint64_t aSeed, VirtualExecutor& aExecutor)
    : mExecutor(aExecutor)
    , mRandom(aSeed)
  {
  }

  // The client of one process; callbacks run on its executor.
  class Client : public DutyClient
  {
  public:
    Client(FakeDutyApi& aApi, Executor& aExecutor)
      : mApi(aApi)
      , mExecutor(aExecutor)
    {
    }

    void ReportUsage(const DutyHolderId& aHolder,
                     const policy::UsageReport& aReport,
                     Callback aCallback) override
    {
      mApi.OnCall(
        { .holder = aHolder, .report = aReport, .sent = mExecutor.Now() },
        mExecutor,
        aCallback);
    }
    void OrderServers(const DutyHolderId& /*aHolder*/,
                      const ServerOrder& /*aOrder*/,
                      Callback /*aCallback*/) override
    {
    }

  private:
    FakeDutyApi& mApi;
    Executor& mExecutor;
  };

  double noAnswer = 0;     // probability that a call gets no response
  double tooMany = 0;      // probability of 429
  std::vector<Call> calls; // executed
  std::vector<Call> sent;
  std::uint64_t received = 0;

private:
  void OnCall(const Call& aCall,
              Executor& aExecutor,
              const DutyClient::Callback& aCallback)
  {
    using namespace std::chrono_literals;
    received++;
    sent.push_back(aCall);
    if (mRandom.Chance(noAnswer)) {
      // Half of these calls are executed after the caller has given up.
      if (mRandom.Chance(0.5)) {
        RunAfter(2s + FromSeconds(mRandom.Uniform() * 10),
                 [this, aCall] { Execute(aCall); });
      }
      Answer(2s, aExecutor, DutyOutcome::kNoResponse, aCallback);
      return;
    }
    if (mRandom.Chance(tooMany)) {
      Answer(20ms, aExecutor, DutyOutcome::kTooManyCalls, aCallback);
      return;
    }
    RunAfter(10ms, [this, aCall, &aExecutor, aCallback] {
      Answer(10ms,
             aExecutor,
             Execute(aCall) ? DutyOutcome::kAnswered
                            : DutyOutcome::kRejectedForToken,
             aCallback);
    });
  }

  bool Execute(Call aCall)
  {
    aCall.executed = mExecutor.WallNow();
    aCall.isAccepted = aCall.holder.token >= mHighest;
    mHighest = std::max(mHighest, aCall.holder.token);
    calls.push_back(aCall);
    return aCall.isAccepted;
  }

  void Answer(Duration aDelay,
              Executor& aExecutor,
              DutyOutcome aOutcome,
              const DutyClient::Callback& aCallback)
  {
    RunAfter(aDelay, [&aExecutor, aOutcome, aCallback] {
      aExecutor.Post([aOutcome, aCallback] { aCallback(aOutcome); });
    });
  }

  void RunAfter(Duration aDelay, std::function<void()> aCallback)
  {
    mTimers.push_back(mExecutor.RunAfter(aDelay, std::move(aCallback)));
  }

  VirtualExecutor& mExecutor;
  Random mRandom;
  DutyToken mHighest;
  std::vector<Timer> mTimers;
};

} // namespace firefly::testing
