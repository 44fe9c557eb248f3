#pragma once

// Builders of backend servers and requests for the policy tests.

#include <string>

#include "policy/fleet_view.h"
#include "policy/request_info.h"

namespace firefly::policy::test {

inline Backend
MakeEngine(const std::string& aId,
           EngineRole aRole = EngineRole::kMixed,
           const std::string& aDomain = "d0")
{
  Backend backend;
  backend.id = BackendId(aId);
  backend.domain = DomainId(aDomain);
  backend.role = aRole;
  backend.models = { ModelId("m1") };
  return backend;
}

inline RequestInfo
MakeRequest(const std::string& aId, Instant aNow = {})
{
  RequestInfo info;
  info.requestId = RequestId(aId);
  info.service = ServiceId("assistant");
  info.requestType = RequestType("lookup");
  info.customer = CustomerId("council");
  info.model = ModelId("m1");
  info.worth = Worth(1);
  info.promptTokens = Tokens(500);
  info.arrival = aNow;
  info.fingerprint = Fingerprint(StableHash(aId));
  return info;
}

} // namespace firefly::policy::test
