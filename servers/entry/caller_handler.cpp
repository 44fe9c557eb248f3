#include "servers/entry/caller_handler.h"

#include <memory>
#include <utility>

#include "servers/entry/dispatcher.h"
#include "servers/entry/idempotent_request_task.h"
#include "servers/entry/model_request_task.h"

namespace firefly {

namespace {

constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kUnavailable = 503;

bool
IsModelPath(const std::string& aPath)
{
  return aPath == "/v1/completions" || aPath == "/v1/chat/completions";
}

bool
IsServicePath(const std::string& aPath)
{
  return aPath.starts_with("/services/");
}

Problem
TooManyRequestsProblem()
{
  return { .status = kUnavailable,
           .type = "queue-full",
           .title = "This entry runs as many requests as it may",
           .retryAfter = std::chrono::seconds(1) };
}

Problem
NotReadyProblem()
{
  return { .status = kUnavailable,
           .type = "not-ready",
           .title = "This entry takes no requests now",
           .retryAfter = std::chrono::seconds(1) };
}

} // namespace

CallerHandler::CallerHandler(const Settings& aSettings,
                             const TaskContext& aContext,
                             const BookingTask::Ledger& aLedger,
                             Incarnation aIncarnation)
  : mContext(aContext)
  , mLedger(aLedger)
  , mReader(aSettings)
  , mIdPrefix(aSettings.host.id.Value() + "-" +
              std::to_string(aIncarnation.Value()) + "-")
{
}

RequestId
CallerHandler::NextId()
{
  return RequestId(mIdPrefix + std::to_string(++mIdCount));
}

void
CallerHandler::Handle(const HttpRequest& aRequest,
                      const HttpResponderPtr& aResponder)
{
  const auto head = mReader.ReadHead(aRequest, NextId().Value());
  const bool model = IsModelPath(aRequest.path);
  if (!model && !IsServicePath(aRequest.path)) {
    Reject(
      { .status = kNotFound, .type = "unknown-path", .title = "No such path" },
      head,
      *aResponder);
    return;
  }
  if (aRequest.method != "POST") {
    Reject({ .status = kNotAllowed,
             .type = "method-not-allowed",
             .title = "Requests are made with POST" },
           head,
           *aResponder);
    return;
  }
  if (!mIsOpen) {
    Reject(NotReadyProblem(), head, *aResponder);
    return;
  }
  if (model) {
    HandleModel(aRequest, aResponder, head);
  } else {
    HandlePlain(aRequest, aResponder, head);
  }
}

void
CallerHandler::HandleModel(const HttpRequest& aRequest,
                           const HttpResponderPtr& aResponder,
                           const CallerHead& aHead)
{
  auto call = mReader.ReadModelCall(aRequest, aHead);
  if (!call) {
    Reject(call.error(), aHead, *aResponder);
    return;
  }
  const auto task = std::make_shared<ModelRequestTask>(
    mContext, std::move(*call), NextId(), aResponder);
  task->Start();
}

void
CallerHandler::HandlePlain(const HttpRequest& aRequest,
                           const HttpResponderPtr& aResponder,
                           const CallerHead& aHead)
{
  auto call = mReader.ReadPlainCall(aRequest, aHead);
  if (!call) {
    Reject(call.error(), aHead, *aResponder);
    return;
  }
  if (!mContext.dispatcher->HasRoom()) {
    Reject(TooManyRequestsProblem(), call->head, *aResponder);
    return;
  }
  if (!call->head.type->idempotent) {
    const auto task = std::make_shared<BookingTask>(
      mContext, mLedger, std::move(*call), NextId(), aResponder);
    task->Start();
    return;
  }
  const auto task = std::make_shared<IdempotentRequestTask>(
    mContext, std::move(*call), NextId(), aResponder);
  task->Start();
}

void
CallerHandler::Reject(const Problem& aProblem,
                      const CallerHead& aHead,
                      HttpResponder& aResponder)
{
  const auto status = std::to_string(aProblem.status);
  mContext.metrics->rejectedInput.With({ status }).Add();
  aResponder.Send(ToResponse(aProblem, aHead.requestId));
}

} // namespace firefly
