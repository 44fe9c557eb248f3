#pragma once

// Stand-ins for the users' backend servers: model engines that read prompts or
// make outputs, and plain services. They do what they are asked and tell the
// witness; a soak has them crash, leave, slow down or fail.

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/random.h"
#include "servers/http1/caller_server.h"
#include "tests/soak/store.h"
#include "tests/soak/tcp_proxy.h"
#include "tests/soak/witness.h"

namespace firefly::soak {

class Runner;

// The runners of a soak, by the address under which callers reach them.
using RunnerFleet = std::map<std::string, Runner*>;

struct RunnerFaults
{
  // The part of requests that it runs and answers with a failure of its own.
  double failing = 0;
  // The part whose answers are lost after the run.
  double lostAnswers = 0;
  // How many times longer all work takes.
  double slowness = 1;
};

class Runner : private CallerHandler
{
public:
  struct Options
  {
    std::string service;
    std::string zone;
    // Engines begin in this stage, "prefill" or "decode"; plain ones have none.
    std::string stage;
    std::uint32_t slots = 8;
    std::uint64_t seed = 1;
  };

  Runner(AsioExecutor& aExecutor,
         Options aOptions,
         Store& aStore,
         Witness& aWitness,
         RunnerFleet& aFleet);
  ~Runner() override;
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  tl::expected<void, CallerServerError> Start();

  // Tells the store that it leaves, goes on for a while, then ends.
  void Leave();

  // Ends at once and comes back under another id.
  void Crash(Duration aDown);

  // Its host goes dark: no byte comes or goes, and no record is written.
  void GoDark(Duration aFor);

  void SetFaults(const RunnerFaults& aFaults) { mFaults = aFaults; }
  [[nodiscard]] TcpProxy& Network() { return *mProxy; }
  [[nodiscard]] const std::string& Id() const { return mId; }
  [[nodiscard]] bool IsUp() const { return mUp; }
  [[nodiscard]] bool IsEngine() const { return !mOptions.stage.empty(); }

private:
  class Run;
  struct Memory
  {
    RequestId of;
    Timer expiry;
  };

  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override;
  void OnRejected(int /*aStatus*/, const std::string& /*aPeer*/) override {}

  void Begin();
  void Beat();
  void EndRuns();
  void OnOrder(const CallerRequest& aRequest, CallerAnswer& aAnswer);
  void ReadPrompt(const RequestId& aId,
                  const std::shared_ptr<CallerAnswer>& aAnswer);
  // Whether the memory that the request names could be taken.
  bool TakeMemory(std::string_view aSource, const RequestId& aId);
  void Refuse(CallerAnswer& aAnswer, int aStatus) const;
  [[nodiscard]] std::string Address() const;
  [[nodiscard]] Duration Work(Duration aMean);

  AsioExecutor& mExecutor;
  Options mOptions;
  Store& mStore;
  Witness& mWitness;
  RunnerFleet& mFleet;
  Random mRandom;
  CallerServer mServer;
  std::unique_ptr<TcpProxy> mProxy;
  RunnerFaults mFaults;
  std::string mId;
  std::uint64_t mBorn = 0;
  std::uint64_t mBeats = 0;
  bool mUp = false;
  bool mLeaving = false;
  bool mDark = false;
  std::uint64_t mFence = 0;
  std::map<std::string, Memory> mMemories;
  std::list<std::unique_ptr<Run>> mRuns;
  std::list<Timer> mLater;
  Timer mBeatTimer;
  Timer mLifeTimer;
  Timer mStageTimer;
};

} // namespace firefly::soak
