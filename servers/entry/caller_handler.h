#pragma once

// Validates callers' HTTP requests and starts the task that answers each.

#include <cstdint>
#include <string>

#include "servers/entry/booking_task.h"
#include "servers/entry/caller_request.h"
#include "servers/entry/request_task.h"
#include "servers/http/http_server.h"

namespace firefly {

class CallerHandler
{
public:
  // The settings and everything that the context and the ledger point to must
  // outlive the handler.
  CallerHandler(const Settings& aSettings,
                const TaskContext& aContext,
                const BookingTask::Ledger& aLedger,
                Incarnation aIncarnation);

  // Starts a task for the request, or rejects it with a problem.
  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

  // While the handler is not open, requests are rejected as not ready and not
  // run. It is not open at first.
  void SetOpen(bool aIsOpen) { mIsOpen = aIsOpen; }

private:
  void HandleModel(const HttpRequest& aRequest,
                   const HttpResponderPtr& aResponder,
                   const CallerHead& aHead);
  void HandlePlain(const HttpRequest& aRequest,
                   const HttpResponderPtr& aResponder,
                   const CallerHead& aHead);
  void Reject(const Problem& aProblem,
              const CallerHead& aHead,
              HttpResponder& aResponder);
  RequestId NextId();

  TaskContext mContext;
  BookingTask::Ledger mLedger;
  CallerRequestReader mReader;
  std::string mIdPrefix;
  std::uint64_t mIdCount = 0;
  bool mIsOpen = false;
};

} // namespace firefly
