#pragma once

// The HTTP and JSON interface of the platform's stand-in: the log, the host
// list and the weight store, with fault switches.
//
//   POST /log/{stream}   a JSON array of base64 payloads -> {"first": N}
//   GET  /log/{stream}?from=&limit=&wait_ms=
//                        -> {"records": [{"offset", "payload"}], "first",
//                        "end"}; 410 if from is older than the first kept
//                        record; waits up to wait_ms if there is none yet
//   GET  /hosts          -> {"hosts": [...]}, as it was hosts_lag_ms ago
//   PUT  /hosts/{id}     a JSON object: address, domain, leaving
//   DELETE /hosts/{id}
//   GET  /weights/{model} -> 200, or 429 with Retry-After, or 503 in an outage
//   POST /control        sets the fault switches; see platform_faults.h;
//                        returns the counters
//   GET  /control        counters

#include <deque>
#include <list>
#include <map>
#include <string>

#include "servers/http/http_server.h"
#include "tests/stand_ins/platform/platform_faults.h"
#include "tests/stand_ins/platform/platform_log.h"

namespace firefly::stand_ins {

class PlatformService
{
public:
  explicit PlatformService(AsioExecutor& aExecutor);

  void Handle(HttpRequest aRequest, HttpResponderPtr aResponder);

private:
  struct Counters
  {
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::uint64_t reads = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
  };

  // A read at the end of a stream that waits for the next record.
  struct Waiter
  {
    std::string stream;
    std::uint64_t from = 0;
    std::size_t limit = 0;
    HttpResponderPtr responder;
    Timer timer;
  };

  // A state of the host list and the time since when it is valid.
  struct HostList
  {
    Instant at{};
    std::map<std::string, std::string> hosts; // id to JSON object
  };

  void Serve(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);
  void Append(const std::string& aStream,
              const HttpRequest& aRequest,
              const HttpResponderPtr& aResponder);
  void Read(const std::string& aStream,
            const HttpRequest& aRequest,
            const HttpResponderPtr& aResponder);
  void Wait(Waiter aWaiter, Duration aLimit);
  void AnswerRead(const Waiter& aWaiter);
  void WakeReaders(const std::string& aStream);
  void ServeHosts(const HttpRequest& aRequest,
                  const std::string& aHost,
                  const HttpResponderPtr& aResponder);
  void ListHosts(const HttpResponderPtr& aResponder);
  void ServeWeights(const HttpResponderPtr& aResponder);
  void ServeControl(const HttpRequest& aRequest,
                    const HttpResponderPtr& aResponder);

  AsioExecutor& mExecutor;
  PlatformFaults mFaults;
  PlatformLog mLog;
  Counters mCounters;
  std::list<Waiter> mWaiters;
  std::deque<HostList> mHostListHistory;
  double mWeightLoadTokens = 1;
  Instant mTokensUpdatedAt{};
  std::list<Timer> mDelays;
};

} // namespace firefly::stand_ins
