// Three processes elect a leader through a log. Each new leader records that a
// counter is closed. The record remains when the leader is killed, so that the
// next leader's record is rejected. The example uses the in-process fake log
// and the virtual clock of the library. A real program implements LogClient for
// its log and Executor for its event loop.

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

// A simulated process that is a candidate for the leadership.
class Candidate : public LeaseObserver
{
public:
  Candidate(VirtualExecutor& aClock,
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
    mJournal.Advance(aFence, kCounter, "close", [this](const auto& aResult) {
      std::printf("%s: %s\n",
                  mName.c_str(),
                  aResult ? "closed the counter"
                          : "the counter was closed already");
    });
  }
  void OnLost() override { std::printf("%s lost the lease\n", mName.c_str()); }
  void OnHolderChanged(const LeaseHolder&) override {}

  [[nodiscard]] bool IsLeader() const { return mLease.Held().has_value(); }
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
    std::fprintf(stderr,
                 "cannot load authority.toml and backend.toml from %s\n",
                 charts.c_str());
    return 1;
  }
  const Charts loaded{ .authority = *authority, .backend = *backend };
  VirtualExecutor clock;
  FakeLog log({ .seed = 7 }, clock);
  std::vector<std::unique_ptr<Candidate>> candidates;
  for (const auto* name : { "red", "green", "blue" }) {
    candidates.push_back(std::make_unique<Candidate>(clock, log, loaded, name));
  }
  clock.RunFor(15s);
  for (const auto& it : candidates) {
    if (it->IsLeader()) {
      it->Kill();
      break;
    }
  }
  clock.RunFor(30s);
  int leaders = 0;
  for (const auto& it : candidates) {
    leaders += it->IsLeader() ? 1 : 0;
  }
  std::printf("%d leader\n", leaders);
  return leaders == 1 ? 0 : 1;
}
