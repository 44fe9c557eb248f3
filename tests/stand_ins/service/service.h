#pragma once

// A plain service for tests. It answers lookups and counts bookings.
//
//   GET  /items?...   returns the query
//   POST /bookings    makes one booking for each call; counts them by the
//                     header Idempotency-Key
//   GET  /counts      {"bookings": {key: n}, "lookups": n}
//   POST /control     {"lose_next": n, "refuse_next": n, "delay_ms": n}

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "core/executor.h"
#include "servers/http/http_server.h"

namespace firefly::testing {

class Service
{
public:
  explicit Service(Executor& aExecutor)
    : mExecutor(aExecutor)
  {
  }

  void Handle(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);

private:
  void Serve(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);
  void Book(const HttpRequest& aRequest, const HttpResponderPtr& aResponder);
  void HandleControl(const std::string& aBody, HttpResponder& aResponder);
  [[nodiscard]] std::string CountsBody() const;

  Executor& mExecutor;
  std::uint32_t mLoseNext = 0;   // bookings to run without an answer
  std::uint32_t mRefuseNext = 0; // calls to answer 503 without effect
  Duration mDelay{};
  std::map<std::string, std::uint32_t> mBookings;
  std::uint64_t mLookups = 0;
  std::list<Timer> mDelays;
};

} // namespace firefly::testing
