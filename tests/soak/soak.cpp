#include "tests/soak/soak.h"

#include <memory>
#include <utility>

#include "tests/soak/fake_backend.h"
#include "tests/soak/fake_store.h"
#include "tests/soak/relay_host.h"
#include "tests/soak/routing_table_writer.h"
#include "tests/soak/simulated_callers.h"
#include "tests/soak/untrusted_callers.h"

namespace firefly::soak {

namespace {

constexpr std::size_t kZones = 3;
constexpr std::size_t kSeedRelays = 3;
// Relays and engines start and engines get their stages before callers send
// requests, as in the users' deployments.
constexpr Duration kStartupTime = std::chrono::seconds(6);
constexpr Duration kCalmStart = std::chrono::seconds(2);
// The users' documentation allows this time for recovery after the last fault.
constexpr Duration kRecoveryTime = std::chrono::seconds(12);
// Requests are still sent for this time after the recovery time.
constexpr Duration kFinalPhase = std::chrono::seconds(3);
constexpr Duration kRollingInterval = std::chrono::milliseconds(1300);
constexpr Duration kBurstInterval = std::chrono::milliseconds(250);
constexpr int kBurstChanges = 6;
constexpr Duration kCrashDowntime = std::chrono::milliseconds(1500);
constexpr Duration kMaxCopyAge = std::chrono::seconds(8);
constexpr Duration kSlowStoreDelay = std::chrono::milliseconds(300);
constexpr Duration kCallersDelay = std::chrono::milliseconds(80);
// The interval of counts; also the length that is recorded for faults without
// a duration, such as a kill or a reset.
constexpr Duration kOneSecond = std::chrono::seconds(1);

std::string
ZoneOf(std::size_t aNumber)
{
  return "zone-" + std::to_string(aNumber % kZones);
}

} // namespace

// The processes, fakes and timers of one soak.
class SoakRun
{
public:
  explicit SoakRun(const SoakOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mClient(mExecutor, {})
    , mStore(mExecutor, mRandom.Next())
    , mTableWriter(mExecutor, mStore, mChecker, mRandom.Next())
    , mCallers(mExecutor,
               { .count = aOptions.callers, .seed = mRandom.Next() },
               mHosts,
               mTableWriter,
               mChecker)
    , mUntrustedCallers(mExecutor, { .seed = aOptions.seed }, mHosts)
  {
  }

  SoakResult Run()
  {
    SoakResult result;
    result.options = mOptions;
    result.faults =
      PlanFaults({ .seed = mOptions.seed,
                   .from = kStartupTime + kCalmStart,
                   .until = kStartupTime + kCalmStart + mOptions.faultPeriod,
                   .gap = mOptions.faultGap });
    result.error = Start();
    if (!result.error.empty()) {
      return result;
    }
    mStartedAt = mExecutor.Now();
    result.startedAt = mStartedAt;
    Duration last = kStartupTime + kCalmStart;
    for (const auto& it : result.faults) {
      ScheduleAfter(it.at, [this, it] { BeginFault(it); });
      last = std::max(last, it.at + it.length);
    }
    ScheduleAfter(kStartupTime, [this] {
      mCallers.Start();
      mUntrustedCallers.Start();
    });
    const auto recovered = last + kRecoveryTime;
    mChecker.OnLastFault(mStartedAt + recovered);
    ScheduleAfter(recovered + kFinalPhase, [this] {
      mCallers.Stop();
      mUntrustedCallers.Stop();
    });
    // The last requests have 6 s to end.
    ScheduleAfter(recovered + kFinalPhase + std::chrono::seconds(6),
                  [this] { mExecutor.Stop(); });
    CountEachSecond(result);
    mExecutor.Run();
    for (const auto& it : mHosts) {
      it->ShutDown();
    }
    mChecker.Finish(mExecutor.Now());
    result.violations = mChecker.Violations();
    result.counts = mChecker.Count();
    result.storeCalls = mStore.Calls();
    return result;
  }

private:
  std::string Start()
  {
    if (const auto started = mStore.Start(); !started) {
      return started.error().message;
    }
    for (std::size_t i = 0; i < mOptions.engines + mOptions.services; ++i) {
      const bool isEngine = i < mOptions.engines;
      mBackends.push_back(std::make_unique<FakeBackend>(
        mExecutor,
        FakeBackend::Options{ .service =
                                isEngine ? kEngineService : kPlainService,
                              .zone = ZoneOf(i),
                              .stage = !isEngine    ? ""
                                       : i % 3 == 0 ? "prefill"
                                                    : "decode",
                              .slots = isEngine ? 32U : 12U,
                              .seed = mRandom.Next() },
        mStore,
        mChecker,
        mBackendsByAddress));
      if (const auto started = mBackends.back()->Start(); !started) {
        return started.error().message;
      }
    }
    const HostPorts ports{ .callers = testing::FindFreePort(),
                           .status = testing::FindFreePort(),
                           .peers = testing::FindFreePort(),
                           .updates = testing::FindFreePort() };
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(kSeedRelays, mOptions.relays); ++i) {
      seeds.push_back(RelayHost::AddressOf(RelayIndex(i)));
    }
    for (std::size_t i = 0; i < mOptions.relays; ++i) {
      const auto directory =
        mOptions.directory / ("relay-" + std::to_string(i));
      std::error_code ec;
      std::filesystem::create_directories(directory, ec);
      if (ec) {
        return directory.string() + ": " + ec.message();
      }
      mHosts.push_back(std::make_unique<RelayHost>(mExecutor,
                                                   mClient,
                                                   RelayHost::Options{
                                                     .index = RelayIndex(i),
                                                     .zone = ZoneOf(i),
                                                     .ports = ports,
                                                     .seeds = seeds,
                                                     .storePort = mStore.Port(),
                                                     .directory = directory,
                                                     .seed = mRandom.Next(),
                                                   },
                                                   mChecker));
      mHosts.back()->Start();
    }
    mTableWriter.WriteNextVersion();
    return "";
  }

  void ScheduleAfter(Duration aDelay, std::function<void()> aStep)
  {
    mTimers.push_back(mExecutor.RunAfter(aDelay, std::move(aStep)));
  }

  // Records a fault that affects one relay, or all relays if none is given.
  void RecordDisturbance(std::optional<RelayIndex> aRelay, Duration aDuration)
  {
    const auto now = mExecutor.Now();
    mChecker.OnRelayDisturbed(aRelay, now, now + aDuration);
  }

  void BeginFault(const Fault& aFault)
  {
    const bool isStoreFault = aFault.kind == FaultKind::kStoreRestored ||
                              (aFault.kind >= FaultKind::kStoreBusy &&
                               aFault.kind < FaultKind::kBackendCrash);
    if (isStoreFault) {
      BeginStoreFault(aFault);
    } else if (aFault.kind < FaultKind::kCallersDelay) {
      BeginRelayFault(aFault, Host(aFault));
    } else if (aFault.kind < FaultKind::kStoreBusy) {
      BeginNetworkFault(aFault, Host(aFault));
    } else if (aFault.kind < FaultKind::kTableChange) {
      BeginBackendFault(aFault, *mBackends[aFault.target % mBackends.size()]);
    } else {
      const int count =
        aFault.kind == FaultKind::kTableChangeBurst ? kBurstChanges : 1;
      for (int i = 0; i < count; ++i) {
        ScheduleAfter(i * kBurstInterval,
                      [this] { mTableWriter.WriteNextVersion(); });
      }
    }
  }

  RelayHost& Host(const Fault& aFault)
  {
    return *mHosts[aFault.target % mHosts.size()];
  }

  void BeginRelayFault(const Fault& aFault, RelayHost& aHost)
  {
    switch (aFault.kind) {
      case FaultKind::kRelayKill:
        RecordDisturbance(aHost.Index(), kOneSecond);
        aHost.Kill();
        break;
      case FaultKind::kRelayStop:
        aHost.Stop();
        break;
      case FaultKind::kRelayRollingStop:
        for (std::size_t i = 0; i < mHosts.size(); ++i) {
          ScheduleAfter(static_cast<int>(i) * kRollingInterval,
                        [this, i] { mHosts[i]->Stop(); });
        }
        break;
      case FaultKind::kRelayMassKill:
        for (const auto& it : mHosts) {
          if (mRandom.Chance(aFault.share)) {
            RecordDisturbance(it->Index(), kOneSecond);
            it->Kill();
          }
        }
        break;
      case FaultKind::kRelayFreeze:
        RecordDisturbance(aHost.Index(), aFault.length);
        aHost.Freeze(aFault.length);
        break;
      default:
        aHost.Reload();
        break;
    }
  }

  void BeginNetworkFault(const Fault& aFault, RelayHost& aHost)
  {
    auto* const callers = &aHost.CallerProxy();
    auto* const store = &aHost.StoreProxy();
    RecordDisturbance(aHost.Index(), aFault.length);
    switch (aFault.kind) {
      case FaultKind::kCallersDelay:
        callers->SetFaults({ .delay = kCallersDelay });
        break;
      case FaultKind::kCallersReset:
        callers->Reset(aFault.share);
        break;
      case FaultKind::kCallersBlackholed:
        callers->Blackhole(aFault.share);
        break;
      case FaultKind::kStoreNetworkSilent:
        store->SetFaults({ .silentToServer = true, .silentFromServer = true });
        break;
      case FaultKind::kStoreNetworkOneWay:
        store->SetFaults({ .silentFromServer = true });
        break;
      default:
        store->SetFaults({ .resetNewConnections = true });
        store->Reset(1);
        break;
    }
    // This also ends other faults of the two proxies that overlap.
    ScheduleAfter(aFault.length, [callers, store] {
      callers->SetFaults({});
      store->SetFaults({});
    });
  }

  void BeginStoreFault(const Fault& aFault)
  {
    auto faults = mStore.Faults();
    switch (aFault.kind) {
      case FaultKind::kStoreBusy:
        faults.isUnavailable = true;
        break;
      case FaultKind::kStoreSlow:
        faults.delay = kSlowStoreDelay;
        break;
      case FaultKind::kStoreLostAnswers:
        faults.lostAnswerRate = aFault.share;
        break;
      case FaultKind::kStoreLateAppends:
        faults.lateAppendRate = aFault.share / 2;
        break;
      case FaultKind::kStoreCompact:
        mStore.Compact();
        break;
      case FaultKind::kStoreRestored:
        faults.isUnavailable = true;
        ScheduleAfter(aFault.length, [this, share = aFault.share] {
          mStore.Restore(FromSeconds(ToSeconds(kMaxCopyAge) * share));
        });
        break;
      default:
        mStore.AppendGarbage("keyed.servers", "\xff not a record");
        mStore.Put("keyed.servers", "stranger", "{\"service\": 7");
        mStore.AppendGarbage("authority", "neither is this");
        break;
    }
    RecordDisturbance(std::nullopt, aFault.length);
    mStore.SetFaults(faults);
    // This also ends other faults of the store that overlap.
    ScheduleAfter(aFault.length, [this] { mStore.SetFaults({}); });
  }

  void BeginBackendFault(const Fault& aFault, FakeBackend& aBackend)
  {
    auto* const backend = &aBackend;
    const auto now = mExecutor.Now();
    // This also ends other faults of the backend server that overlap.
    const auto reset = [backend] { backend->SetFaults({}); };
    switch (aFault.kind) {
      case FaultKind::kBackendCrash:
        backend->Crash(kCrashDowntime);
        break;
      case FaultKind::kBackendUnreachable:
        mChecker.OnBackendNetworkDisturbed(now, now + aFault.length);
        backend->BecomeUnreachable(aFault.length);
        break;
      case FaultKind::kBackendLeave:
        backend->Leave();
        break;
      case FaultKind::kBackendRollingLeave:
        for (std::size_t i = 0; i < mBackends.size(); i += 2) {
          ScheduleAfter(static_cast<int>(i / 2) * kRollingInterval,
                        [this, i] { mBackends[i]->Leave(); });
        }
        break;
      case FaultKind::kBackendFailing:
        backend->SetFaults({ .failureRate = aFault.share });
        ScheduleAfter(aFault.length, reset);
        break;
      case FaultKind::kBackendLostAnswers:
        backend->SetFaults({ .lostAnswerRate = aFault.share / 2 });
        ScheduleAfter(aFault.length, reset);
        break;
      case FaultKind::kBackendSlow:
        backend->SetFaults({ .slowdownFactor = 1 + 8 * aFault.share });
        ScheduleAfter(aFault.length, reset);
        break;
      case FaultKind::kBackendReset:
        mChecker.OnBackendNetworkDisturbed(now, now + kOneSecond);
        backend->Proxy().Reset(aFault.share);
        break;
      default:
        mChecker.OnBackendNetworkDisturbed(now, now + kOneSecond);
        backend->Proxy().Blackhole(aFault.share);
        break;
    }
  }

  // Adds the outcomes of each second to the result.
  void CountEachSecond(SoakResult& aResult)
  {
    ScheduleAfter(kOneSecond, [this, result = &aResult] {
      const auto& now = mChecker.Count();
      result->seconds.push_back({ .served = now.served - mLast.served,
                                  .refused = now.refused - mLast.refused,
                                  .failed = now.failed - mLast.failed });
      mLast = now;
      CountEachSecond(*result);
    });
  }

  SoakOptions mOptions;
  Random mRandom;
  AsioExecutor mExecutor;
  CurlClient mClient;
  PromiseChecker mChecker;
  FakeStore mStore;
  FakeBackendMap mBackendsByAddress;
  std::vector<std::unique_ptr<FakeBackend>> mBackends;
  RelayHosts mHosts;
  RoutingTableWriter mTableWriter;
  SimulatedCallers mCallers;
  UntrustedCallers mUntrustedCallers;
  std::vector<Timer> mTimers;
  Instant mStartedAt{};
  PromiseChecker::Counts mLast;
};

SoakResult
RunSoak(const SoakOptions& aOptions)
{
  return SoakRun(aOptions).Run();
}

} // namespace firefly::soak
