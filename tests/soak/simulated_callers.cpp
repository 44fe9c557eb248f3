#include "tests/soak/simulated_callers.h"

#include <optional>
#include <utility>

#include "platform/wire_names.h"
#include "servers/http1/message_writer.h"

namespace firefly::soak {

namespace {

namespace wire = platform::wire;

constexpr Duration kPlainDeadline = std::chrono::milliseconds(2500);
constexpr Duration kStreamDeadline = std::chrono::milliseconds(5000);
constexpr std::uint64_t kDocuments = 12;
// The share of requests for a route that was recently added or removed.
constexpr double kRecentRouteShare = 0.12;

} // namespace

class SimulatedCallers::Caller : private BackendCallObserver
{
public:
  Caller(SimulatedCallers& aOwner, std::size_t aNumber, std::uint64_t aSeed)
    : mOwner(aOwner)
    , mNumber(aNumber)
    , mRandom(aSeed)
    , mPool(aOwner.mExecutor, {})
  {
    ScheduleNextRequest();
  }

private:
  void ScheduleNextRequest()
  {
    const double pause = mRandom.Exponential(ToSeconds(mOwner.mOptions.pause));
    mTimer =
      mOwner.mExecutor.RunAfter(FromSeconds(pause), [this] { SendRequest(); });
  }

  // Keeps the current relay while its connection may be open or it is ready;
  // otherwise chooses a random ready one. Null if no relay is ready.
  RelayHost* ChooseRelay()
  {
    if (mRelay != nullptr && (mConnectionKept || mRelay->IsReady())) {
      return mRelay;
    }
    std::vector<RelayHost*> ready;
    for (const auto& it : mOwner.mHosts) {
      if (it->IsReady()) {
        ready.push_back(it.get());
      }
    }
    mRelay = ready.empty() ? nullptr : ready[mRandom.Below(ready.size())];
    return mRelay;
  }

  void SendRequest()
  {
    auto* const relay = mOwner.mStopped ? nullptr : ChooseRelay();
    if (relay == nullptr) {
      ScheduleNextRequest();
      return;
    }
    auto& owner = mOwner;
    mSent = MakeRequest(*relay);
    mObserved = {};
    owner.mChecker.OnSent(mSent);
    mCall = mPool.Start(
      { .backend = BackendId("relay-" + std::to_string(relay->Index().Value())),
        .address =
          BackendAddress("127.0.0.1:" + std::to_string(relay->CallerPort())),
        .request = mSent.id,
        .bytes = ComposeRequest() },
      *this);
    auto timeout = mSent.deadline;
    if (mRandom.Chance(owner.mOptions.leaveRate)) {
      timeout = std::chrono::milliseconds(20 + mRandom.Below(200));
    }
    mTimer = owner.mExecutor.RunAfter(timeout, [this] {
      mObserved.left = true;
      End(false);
    });
  }

  SentRequest MakeRequest(const RelayHost& aRelay)
  {
    SentRequest sent;
    sent.id =
      RequestId(std::to_string(mNumber) + "-" + std::to_string(++mRequests) +
                "-" + std::to_string(mRandom.Below(1U << 20U)));
    sent.relay = aRelay.Index();
    sent.at = mOwner.mExecutor.Now();
    sent.deadline = kPlainDeadline;
    sent.method = "POST";
    sent.body = "body of " + sent.id.Value();
    const auto draw = mRandom.Uniform();
    if (draw < kRecentRouteShare) {
      sent.route = mOwner.mTableWriter.PickRecentRoute(mRandom);
      sent.maxAttempts = 2;
      sent.method = "GET";
      sent.body.clear();
    } else if (draw < 0.35) {
      sent.route = kOnceRoute;
      sent.kind = RequestKind::kOnce;
    } else if (draw < 0.55) {
      sent.route = kIdempotentRoute;
      sent.maxAttempts = 2;
    } else if (draw < 0.8) {
      sent.route = kStreamRoute;
      sent.kind = RequestKind::kStream;
      sent.deadline = kStreamDeadline;
    } else {
      sent.route = kResumableRoute;
      sent.kind = RequestKind::kResumableStream;
      sent.maxAttempts = 2;
      sent.deadline = kStreamDeadline;
    }
    sent.target = "/" + sent.route + "/" + sent.id.Value() + "?q=1";
    return sent;
  }

  std::string ComposeRequest()
  {
    HttpHeaders headers{
      { "Host", kCallersHost },
      { std::string(wire::kRequestId), mSent.id.Value() },
      { std::string(wire::kDeadlineMs),
        std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(mSent.deadline)
            .count()) }
    };
    if (mSent.kind == RequestKind::kStream ||
        mSent.kind == RequestKind::kResumableStream) {
      const auto document = std::to_string(1 + mRandom.Below(kDocuments));
      headers.push_back({ std::string(wire::kModel), "m" });
      headers.push_back({ std::string(wire::kTokenCount), "1500,120" });
      headers.push_back(
        { std::string(wire::kPromptPrefix),
          document + ":1000,ff" + mSent.id.Value().substr(0, 1) + ":500" });
    }
    const bool hasBody = mSent.method == "POST";
    return ComposeRequestHead(
             mSent.method,
             mSent.target,
             headers,
             hasBody ? std::optional<std::uint64_t>(mSent.body.size())
                     : std::nullopt) +
           mSent.body;
  }

  ResponseMatch MatchResponse(const MessageHead& aHead) override
  {
    const auto id = FindHeader(aHead.headers, wire::kRequestId);
    if (id.empty()) {
      return ResponseMatch::kUnidentified;
    }
    return id == mSent.id.Value() ? ResponseMatch::kThisCall
                                  : ResponseMatch::kOtherCall;
  }
  void OnHead(const MessageHead& aHead) override
  {
    mObserved.status = aHead.status;
    mObserved.stamp = std::string(FindHeader(aHead.headers, wire::kStamp));
  }
  void OnBody(std::string aBytes) override { mObserved.body += aBytes; }
  void OnEnd() override
  {
    mObserved.whole = true;
    End(true);
  }
  void OnFault(BackendCallFault /*aFault*/) override { End(false); }

  void End(bool aConnectionKept)
  {
    mConnectionKept = aConnectionKept;
    mOwner.mChecker.OnAnswer(mSent.id, mObserved, mOwner.mExecutor.Now());
    // The call is destroyed later because this may run inside its callback.
    mOwner.mExecutor.Post(
      [call = std::shared_ptr<BackendCall>(std::move(mCall))] {});
    ScheduleNextRequest();
  }

  SimulatedCallers& mOwner;
  std::size_t mNumber;
  Random mRandom;
  BackendPool mPool;
  RelayHost* mRelay = nullptr;
  // Whether the last answer was complete, so that the connection may still be
  // open.
  bool mConnectionKept = false;
  std::unique_ptr<BackendCall> mCall;
  SentRequest mSent;
  ObservedAnswer mObserved;
  std::uint64_t mRequests = 0;
  Timer mTimer;
};

SimulatedCallers::SimulatedCallers(AsioExecutor& aExecutor,
                                   Options aOptions,
                                   RelayHosts& aHosts,
                                   const RoutingTableWriter& aTableWriter,
                                   PromiseChecker& aChecker)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
  , mHosts(aHosts)
  , mTableWriter(aTableWriter)
  , mChecker(aChecker)
{
}

SimulatedCallers::~SimulatedCallers() = default;

void
SimulatedCallers::Start()
{
  Random random(mOptions.seed);
  for (std::size_t i = 0; i < mOptions.count; ++i) {
    mCallers.push_back(std::make_unique<Caller>(*this, i, random.Next()));
  }
}

} // namespace firefly::soak
