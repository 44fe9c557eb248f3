#include "tests/soak/callers.h"

#include <optional>
#include <utility>

#include "platform/wire_names.h"
#include "servers/http1/answer_writer.h"

namespace firefly::soak {

namespace {

namespace wire = platform::wire;

constexpr Duration kPlainDeadline = std::chrono::milliseconds(2500);
constexpr Duration kStreamDeadline = std::chrono::milliseconds(5000);
constexpr std::uint64_t kDocuments = 12;
constexpr double kProbes = 0.12;

} // namespace

class Callers::Caller : private BackendCallObserver
{
public:
  Caller(Callers& aOwner, std::size_t aNumber, std::uint64_t aSeed)
    : mOwner(aOwner)
    , mNumber(aNumber)
    , mRandom(aSeed)
    , mPool(aOwner.mExecutor, {})
  {
    Think();
  }

private:
  void Think()
  {
    const double pause = mRandom.Exponential(ToSeconds(mOwner.mOptions.pause));
    mTimer = mOwner.mExecutor.RunAfter(FromSeconds(pause), [this] { Ask(); });
  }

  // The relay to ask: the same one while its connection lives.
  RelayHost* Choose()
  {
    if (mRelay != nullptr && (mKept || mRelay->IsReady())) {
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

  void Ask()
  {
    auto* const relay = mOwner.mStopped ? nullptr : Choose();
    if (relay == nullptr) {
      Think();
      return;
    }
    auto& owner = mOwner;
    mSent = MakeRequest(*relay);
    mSeen = {};
    owner.mWitness.OnSent(mSent);
    mCall = mPool.Start(
      { .backend = BackendId("relay-" + std::to_string(relay->Index().Value())),
        .address =
          BackendAddress("127.0.0.1:" + std::to_string(relay->CallersPort())),
        .bytes = Compose() },
      *this);
    auto patience = mSent.deadline;
    if (mRandom.Chance(owner.mOptions.leaving)) {
      patience = std::chrono::milliseconds(20 + mRandom.Below(200));
    }
    mTimer = owner.mExecutor.RunAfter(patience, [this] {
      mSeen.left = true;
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
    if (draw < kProbes) {
      sent.route = mOwner.mOperators.Probe(mRandom);
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

  std::string Compose()
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

  bool IsMine(const MessageHead& aHead) override
  {
    const auto id = FindHeader(aHead.headers, wire::kRequestId);
    return id.empty() || id == mSent.id.Value();
  }
  void OnHead(const MessageHead& aHead) override
  {
    mSeen.status = aHead.status;
    mSeen.stamp = std::string(FindHeader(aHead.headers, wire::kStamp));
  }
  void OnBody(std::string aBytes) override { mSeen.body += aBytes; }
  void OnEnd() override
  {
    mSeen.whole = true;
    End(true);
  }
  void OnFault(BackendCallFault /*aFault*/) override { End(false); }

  void End(bool aKept)
  {
    mKept = aKept;
    mOwner.mWitness.OnAnswer(mSent.id, mSeen, mOwner.mExecutor.Now());
    // The call may be the one that is being heard.
    mOwner.mExecutor.Post(
      [call = std::shared_ptr<BackendCall>(std::move(mCall))] {});
    Think();
  }

  Callers& mOwner;
  std::size_t mNumber;
  Random mRandom;
  BackendPool mPool;
  RelayHost* mRelay = nullptr;
  // The connection to it may still be open.
  bool mKept = false;
  std::unique_ptr<BackendCall> mCall;
  SentRequest mSent;
  SeenAnswer mSeen;
  std::uint64_t mRequests = 0;
  Timer mTimer;
};

Callers::Callers(AsioExecutor& aExecutor,
                 Options aOptions,
                 RelayHosts& aHosts,
                 const Operators& aOperators,
                 Witness& aWitness)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
  , mHosts(aHosts)
  , mOperators(aOperators)
  , mWitness(aWitness)
{
}

Callers::~Callers() = default;

void
Callers::Start()
{
  Random random(mOptions.seed);
  for (std::size_t i = 0; i < mOptions.count; ++i) {
    mCallers.push_back(std::make_unique<Caller>(*this, i, random.Next()));
  }
}

} // namespace firefly::soak
