#include "tests/stand_ins/engine/engine.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

#include <nlohmann/json.hpp>

#include "tests/stand_ins/engine/token_text.h"

namespace firefly::testing {

namespace {

using Json = nlohmann::json;

// The approximate number of prompt bytes per token.
constexpr std::size_t kBytesPerToken = 4;
// Once this many request ids have an execution count, counting stops.
constexpr std::size_t kMaxCountedIds = 100000;
// A stream with more unsent bytes than this waits before its next token.
constexpr std::size_t kMaxUnsentBytes = 65536;
constexpr Duration kBackpressureDelay = std::chrono::milliseconds(5);
constexpr int kCrashExitCode = 70;

HttpResponse
JsonAnswer(int aStatus, std::string aBody)
{
  return { .status = aStatus,
           .contentType = "application/json",
           .headers = {},
           .body = std::move(aBody) };
}

HttpResponse
ErrorAnswer(int aStatus, const std::string& aMessage)
{
  return JsonAnswer(aStatus, Json{ { "error", aMessage } }.dump());
}

} // namespace

Engine::Engine(Options aOptions, Executor& aExecutor)
  : mOptions(std::move(aOptions))
  , mExecutor(aExecutor)
{
  SampleLoad();
}

void
Engine::Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder)
{
  const auto path = SplitPath(aRequest.path);
  const auto name = path.empty() ? std::string() : path.front();
  if (name == "v1" && aRequest.method == "POST") {
    HandleCompletion(aRequest, aResponder);
  } else if (name == "requests" && path.size() == 2) {
    Cancel(path[1]);
    aResponder->Send(JsonAnswer(200, "{}"));
  } else if (name == "state") {
    aResponder->Send(JsonAnswer(200, StateBody()));
  } else if (name == "load") {
    aResponder->Send(JsonAnswer(200, LoadBody()));
  } else if (name == "counts") {
    aResponder->Send(JsonAnswer(200, CountsBody()));
  } else if (name == "orders" && aRequest.method == "POST") {
    HandleOrder(aRequest.body, *aResponder);
  } else if (name == "control" && aRequest.method == "POST") {
    HandleControl(aRequest.body, *aResponder);
  } else {
    aResponder->Send(ErrorAnswer(404, "no such path"));
  }
}

void
Engine::HandleCompletion(const HttpRequest& aRequest,
                         const HttpResponderPtr& aResponder)
{
  auto request = ParseEngineRequest(aRequest);
  if (!request) {
    aResponder->Send(ErrorAnswer(400, "malformed request"));
    return;
  }
  if (mChanging) {
    aResponder->Send(ErrorAnswer(503, "changing its role"));
    return;
  }
  if (mExecutions.size() < kMaxCountedIds) {
    ++mExecutions[request->id];
  }
  auto job = std::make_shared<Job>();
  job->next = request->resumeFrom;
  job->request = std::move(*request);
  job->responder = aResponder;
  const auto later = [](const JobPtr& aLeft, const JobPtr& aRight) {
    return aLeft->request.priority < aRight->request.priority;
  };
  mWaiting.insert(
    std::upper_bound(mWaiting.begin(), mWaiting.end(), job, later), job);
  StartWaiting();
}

void
Engine::HandleControl(const std::string& aBody, HttpResponder& aResponder)
{
  auto faults = ParseEngineFaults(aBody);
  if (!faults) {
    aResponder.Send(ErrorAnswer(400, "malformed faults"));
    return;
  }
  mFaults = std::move(*faults);
  aResponder.Send(JsonAnswer(200, "{}"));
}

void
Engine::HandleOrder(const std::string& aBody, HttpResponder& aResponder)
{
  EngineOrder order;
  try {
    const auto body = Json::parse(aBody);
    order.fence = body.at("fence").get<std::uint64_t>();
    order.id = body.at("order_id").get<std::uint64_t>();
    const auto& wanted = body.at("wanted");
    order.role = wanted.at("role").get<std::string>();
    order.model = wanted.at("model").get<std::string>();
    order.version = wanted.value("version", "");
    order.adapter = wanted.value("adapter", "");
  } catch (const Json::exception& e) {
    aResponder.Send(ErrorAnswer(400, e.what()));
    return;
  }
  const bool isOlder = std::pair(order.fence, order.id) <
                       std::pair(mLastOrder.fence, mLastOrder.id);
  if (isOlder && mOptions.checksFencing) {
    ++mRefused;
    aResponder.Send(ErrorAnswer(409, "older fencing number"));
    return;
  }
  mConflicting += isOlder || mChanging ? 1 : 0;
  ++mAccepted;
  mLastOrder = order;
  const bool changesEngine =
    order.role != mOptions.role || order.model != mOptions.model;
  mOptions.role = order.role;
  mOptions.model = order.model;
  if (changesEngine) {
    BeginChange();
  }
  aResponder.Send(JsonAnswer(202, StateBody()));
}

void
Engine::BeginChange()
{
  mChanging = true;
  for (const auto& jobs :
       { std::exchange(mRunning, {}), std::exchange(mWaiting, {}) }) {
    for (const auto& it : jobs) {
      ++mInterruptedByChange;
      it->timer.Cancel();
      it->responder->Abort();
    }
  }
  mChangeTimer =
    mExecutor.RunAfter(mOptions.change, [this] { mChanging = false; });
}

void
Engine::Cancel(const std::string& aId)
{
  const auto hasId = [&](const JobPtr& aJob) {
    return aJob->request.id == aId;
  };
  const auto running = std::find_if(mRunning.begin(), mRunning.end(), hasId);
  if (running != mRunning.end()) {
    const auto job = *running;
    ++mCancelled;
    job->responder->Abort();
    ReleaseSlot(job);
    return;
  }
  const auto waiting = std::find_if(mWaiting.begin(), mWaiting.end(), hasId);
  if (waiting != mWaiting.end()) {
    ++mCancelled;
    (*waiting)->responder->Abort();
    mWaiting.erase(waiting);
  }
}

void
Engine::StartWaiting()
{
  while (!mWaiting.empty() && mRunning.size() < mOptions.slots) {
    const auto job = mWaiting.front();
    mWaiting.pop_front();
    mRunning.push_back(job);
    Start(job);
  }
}

void
Engine::Start(const JobPtr& aJob)
{
  aJob->timer =
    mExecutor.RunAfter(ApplySlowFactor(mOptions.firstToken), [this, aJob] {
      if (aJob->request.stream) {
        aJob->responder->Begin(200,
                               { { "Content-Type", "text/event-stream" } });
      }
      Step(aJob);
    });
}

void
Engine::Step(const JobPtr& aJob)
{
  if (aJob->responder->IsLost()) {
    ++mCancelled;
    ReleaseSlot(aJob);
    return;
  }
  if (ApplyFaults(aJob)) {
    return;
  }
  if (aJob->responder->UnsentBytes() > kMaxUnsentBytes) {
    aJob->timer =
      mExecutor.RunAfter(kBackpressureDelay, [this, aJob] { Step(aJob); });
    return;
  }
  if (aJob->next >= aJob->request.maxTokens) {
    CompleteAnswer(aJob);
    return;
  }
  if (aJob->request.stream && mFaults.skipAt != aJob->next) {
    WriteToken(*aJob);
  }
  ++mTokens;
  ++aJob->next;
  const bool isLast = aJob->next >= aJob->request.maxTokens;
  const auto wait =
    isLast ? Duration::zero() : ApplySlowFactor(mOptions.tokenGap);
  aJob->timer = mExecutor.RunAfter(wait, [this, aJob] { Step(aJob); });
}

bool
Engine::ApplyFaults(const JobPtr& aJob)
{
  const auto next = aJob->next;
  const bool mustCrash =
    !mFaults.crashMarker.empty() && next >= mFaults.crashAfter &&
    aJob->request.prompt.find(mFaults.crashMarker) != std::string::npos;
  if (mustCrash) {
    _exit(kCrashExitCode);
  }
  if (mFaults.stallAfter && next >= *mFaults.stallAfter) {
    return true; // the request keeps its slot until it is cancelled
  }
  if (mFaults.cutAfter && next >= *mFaults.cutAfter) {
    aJob->responder->Abort();
    ReleaseSlot(aJob);
    return true;
  }
  if (mFaults.truncateAfter && next >= *mFaults.truncateAfter) {
    aJob->responder->End();
    ReleaseSlot(aJob);
    return true;
  }
  return false;
}

void
Engine::WriteToken(Job& aJob)
{
  const auto& request = aJob.request;
  const auto text = TokenAt(request.prompt, request.seed, aJob.next);
  const auto event = TokenEvent(request, request.id, aJob.next, text);
  std::string bytes;
  if (mFaults.crossAt == aJob.next) {
    bytes += TokenEvent(request, request.id + "-other", aJob.next, "foreign ");
  }
  bytes += event;
  if (mFaults.duplicateAt == aJob.next) {
    bytes += event;
  }
  aJob.responder->Write(bytes, {});
}

void
Engine::CompleteAnswer(const JobPtr& aJob)
{
  if (aJob->request.stream) {
    aJob->responder->Write(FinishEvent(aJob->request, aJob->next), {});
    aJob->responder->End();
  } else {
    aJob->responder->Send(JsonAnswer(200, WholeAnswer(aJob->request)));
  }
  ReleaseSlot(aJob);
}

void
Engine::ReleaseSlot(const JobPtr& aJob)
{
  aJob->timer.Cancel();
  std::erase(mRunning, aJob);
  StartWaiting();
}

Duration
Engine::ApplySlowFactor(Duration aTime) const
{
  return FromSeconds(ToSeconds(aTime) * mFaults.slowFactor);
}

std::string
Engine::StateBody() const
{
  return Json{
    { "role", mOptions.role },
    { "model", mOptions.model },
    { "version", mLastOrder.version },
    { "adapter", mLastOrder.adapter },
    { "running", mRunning.size() + mWaiting.size() },
    { "last_order", mLastOrder.id },
    { "fence", mLastOrder.fence },
    { "changing", mChanging }
  }.dump();
}

std::string
Engine::CountsBody() const
{
  return Json{
    { "executions", mExecutions },
    { "orders_accepted", mAccepted },
    { "orders_refused", mRefused },
    { "orders_conflicting", mConflicting },
    { "cut_by_change", mInterruptedByChange },
    { "cancelled", mCancelled },
    { "tokens", mTokens }
  }.dump();
}

std::string
Engine::LoadBody() const
{
  return Json{
    { "requests", mReportedLoad.requests },
    { "prefill_tokens", mReportedLoad.prefillTokens }
  }.dump();
}

void
Engine::SampleLoad()
{
  mReportedLoad = mSampledLoad;
  mSampledLoad = { .requests = mRunning.size() + mWaiting.size(),
                   .prefillTokens = 0 };
  for (const auto& it : mWaiting) {
    mSampledLoad.prefillTokens +=
      static_cast<std::uint32_t>(it->request.prompt.size() / kBytesPerToken);
  }
  mLoadTimer = mExecutor.RunAfter(mOptions.reportLag, [this] { SampleLoad(); });
}

} // namespace firefly::testing
