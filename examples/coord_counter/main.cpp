// Three processes elect a leader over a log, and the leader's record of which
// counter runs survives its death. The log is the library's in-process fake on
// a virtual clock; a program of yours implements LogClient for its own log and
// Executor for its own event loop.

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "coord/lease.h"
#include "coord/order_journal.h"
#include "coord/testing/fake_log.h"
#include "coord/testing/fake_process.h"
#include "core/state_chart_loader.h"

using namespace std::chrono_literals;
using namespace firefly;
using namespace firefly::coord;

namespace {

struct Charts
{
  StateChart authority;
  StateChart backend;
};

// One process that wants to lead.
class Process : public LeaseObserver
{
public:
  Process(VirtualExecutor& aClock,
          FakeLog& aLog,
          const Charts& aCharts,
          const std::string& aName)
    : mName(aName)
    , mExecutor(aClock)
    , mStream(
        { .writer = WriterId(aName + "/1"), .backendChart = &aCharts.backend },
        mExecutor,
        aLog.MakeClient(aName, mExecutor))
    , mLease({ .host = HostId(aName),
               .incarnation = Incarnation(1),
               .chart = &aCharts.authority,
               .seed = std::hash<std::string>{}(aName) },
             mExecutor,
             mStream,
             *this)
    , mJournal({}, mExecutor, mStream)
  {
    mStream.Start();
    mLease.Start();
  }

  void OnAcquired(FencingNumber aFence) override
  {
    std::printf("%s leads with fence %llu\n",
                mName.c_str(),
                static_cast<unsigned long long>(aFence.Value()));
    mJournal.Advance(aFence, kCounter, "close", [this](const auto& aDone) {
      std::printf("%s: %s\n",
                  mName.c_str(),
                  aDone ? "the counter is closed" : "already closed");
    });
  }
  void OnLost() override { std::printf("%s stops\n", mName.c_str()); }
  void OnHolderChanged(const LeaseHolder&) override {}

  [[nodiscard]] bool Leads() const { return mLease.Held().has_value(); }
  void Kill() { mExecutor.Kill(); }

private:
  inline static const BackendId kCounter{ "counter-1" };

  std::string mName;
  FakeProcess mExecutor;
  AuthorityStream mStream;
  Lease mLease;
  OrderJournal mJournal;
};

} // namespace

int
main()
{
  const std::string charts = CHARTS_DIR;
  const auto authority = LoadStateChart(charts + "/authority.toml");
  const auto backend = LoadStateChart(charts + "/backend.toml");
  if (!authority || !backend) {
    std::fprintf(stderr, "no charts in %s\n", charts.c_str());
    return 1;
  }
  const Charts loaded{ .authority = *authority, .backend = *backend };
  VirtualExecutor clock;
  FakeLog log({ .seed = 7 }, clock);
  std::vector<std::unique_ptr<Process>> processes;
  for (const auto* name : { "red", "green", "blue" }) {
    processes.push_back(std::make_unique<Process>(clock, log, loaded, name));
  }
  clock.RunFor(15s);
  for (const auto& it : processes) {
    if (it->Leads()) {
      it->Kill();
      break;
    }
  }
  clock.RunFor(30s);
  int leaders = 0;
  for (const auto& it : processes) {
    leaders += it->Leads() ? 1 : 0;
  }
  std::printf("%d leader\n", leaders);
  return leaders == 1 ? 0 : 1;
}
