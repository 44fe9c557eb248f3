#include "bench/decision_cost.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bench/engine_model.h"
#include "core/random.h"
#include "policy/request_router.h"

namespace firefly::bench {

namespace {

using policy::AttemptNumber;
using WallClock = std::chrono::steady_clock;

// Backend servers with work from one entry, in that entry's digest.
constexpr std::uint32_t kBusyBackends = 40;
// Rows of the operators' table with demand at one entry, in its digest.
constexpr std::uint32_t kBusyRows = 20;
constexpr std::uint32_t kPrefixBlocks = 30;

// Receives the router's dispatch orders and keeps the last one.
class LastDispatchSink : public policy::RouterSink
{
public:
  void Dispatch(const policy::DispatchOrder& aOrder) override
  {
    order = aOrder;
    dispatched = true;
  }
  void Cancel(const RequestId& /*aId*/, AttemptNumber /*aAttempt*/) override {}
  void Refuse(const RequestId& /*aId*/,
              const policy::Refusal& /*aRefusal*/) override
  {
  }
  void Fail(const RequestId& /*aId*/,
            policy::FailureReason /*aReason*/) override
  {
  }

  policy::DispatchOrder order;
  bool dispatched = false;
};

std::size_t
ResidentKilobytes()
{
  std::ifstream file("/proc/self/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      std::istringstream words(line.substr(sizeof("VmRSS:") - 1));
      std::size_t kilobytes = 0;
      words >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

double
MicrosecondsSince(WallClock::time_point aBegin, double aCount)
{
  const std::chrono::duration<double, std::micro> spent =
    WallClock::now() - aBegin;
  return spent.count() / aCount;
}

policy::FleetView
MakeFleet(std::uint32_t aBackends)
{
  policy::FleetView fleet;
  for (std::uint32_t i = 0; i < aBackends; ++i) {
    policy::Backend backend;
    backend.id = BackendId("engine-" + std::to_string(i));
    backend.domain = DomainId("domain-" + std::to_string(i % 6));
    backend.role = static_cast<policy::EngineRole>(i % 3);
    backend.capacity = EngineCapacities().Of(backend.role);
    backend.models = { ModelId("m1") };
    fleet.Upsert(std::move(backend));
  }
  return fleet;
}

policy::Digest
MakeDigest(Random& aRandom,
           const policy::FleetView& aFleet,
           std::uint32_t aEntry,
           std::uint64_t aSequence)
{
  policy::Digest digest;
  digest.host = HostId("entry-" + std::to_string(aEntry));
  digest.incarnation = Incarnation(1);
  digest.sequence = aSequence;
  for (std::uint32_t i = 0; i < kBusyBackends; ++i) {
    const auto slot =
      static_cast<std::uint32_t>(aRandom.Below(aFleet.All().size()));
    digest.work.push_back({ .backend = aFleet.HashAt(policy::BackendSlot(slot)),
                            .requests = 1,
                            .prefillTokens = 200,
                            .speedPermille = 1000 });
  }
  for (std::uint32_t i = 0; i < kBusyRows; ++i) {
    digest.rows.push_back(
      { .row = aRandom.Next(), .permillePerSecond = 1000, .running = 2 });
  }
  digest.models.push_back({ 1, 1000, 1000 });
  return digest;
}

policy::RequestInfo
MakeRequest(Random& aRandom, std::uint32_t aNumber, Instant aNow)
{
  policy::RequestInfo info;
  info.requestId = RequestId("r" + std::to_string(aNumber));
  info.service = ServiceId("assistant");
  info.requestType = RequestType("lookup");
  info.customer = CustomerId("c" + std::to_string(aRandom.Below(2000)));
  info.model = ModelId("m1");
  info.worth = policy::Worth(1);
  info.promptTokens = policy::Tokens(2200);
  info.arrival = aNow;
  info.fingerprint = policy::Fingerprint(aRandom.Next());
  std::uint64_t hash = aRandom.Below(1000);
  for (std::uint32_t i = 0; i < kPrefixBlocks; ++i) {
    hash = policy::MixHash(hash, i);
    info.prefixHashes.push_back(hash);
  }
  return info;
}

nlohmann::ordered_json
ToObject(const CostResult& aCost)
{
  nlohmann::ordered_json json;
  json["arrival_us"] = aCost.arrivalMicroseconds;
  json["feedback_us"] = aCost.feedbackMicroseconds;
  json["digest_us"] = aCost.digestMicroseconds;
  json["digest_bytes"] = aCost.digestBytes;
  json["resident_kb"] = aCost.residentKilobytes;
  return json;
}

} // namespace

std::string
CostResult::ToJson() const
{
  return ToObject(*this).dump(2) + "\n";
}

std::string
CostResult::ToText() const
{
  return fmt::format("arrival to dispatch        {:.2f} us\n"
                     "feedback of one answer     {:.2f} us\n"
                     "merge of a peer's digest   {:.2f} us\n"
                     "digest                     {} bytes\n"
                     "memory with all peers      {} KB\n",
                     arrivalMicroseconds,
                     feedbackMicroseconds,
                     digestMicroseconds,
                     digestBytes,
                     residentKilobytes);
}

CostResult
MeasureCost(const CostOptions& aOptions)
{
  CostResult result;
  Random random(1);
  const auto before = ResidentKilobytes();
  const auto fleet = MakeFleet(aOptions.backends);
  LastDispatchSink sink;
  auto policies = policy::MakePolicySet("firefly", { .self = HostId("self") });
  policy::RequestRouter router(
    { .self = HostId("self"), .incarnation = Incarnation(1) },
    std::move(*policies),
    fleet,
    sink);
  Instant now(std::chrono::seconds(1));
  constexpr std::uint32_t kRounds = 3;
  std::vector<std::string> digests;
  for (std::uint32_t i = 0; i < aOptions.entries * kRounds; ++i) {
    digests.push_back(
      MakeDigest(random, fleet, i % aOptions.entries, 1 + i / aOptions.entries)
        .Encode());
  }
  result.digestBytes = digests.front().size();
  auto begin = WallClock::now();
  for (const auto& bytes : digests) {
    router.OnPeerDigest(*policy::Digest::Decode(bytes), now);
  }
  result.digestMicroseconds =
    MicrosecondsSince(begin, static_cast<double>(digests.size()));
  const auto digestKilobytes = digests.size() * result.digestBytes / 1024;
  double arrivals = 0;
  double feedback = 0;
  double answered = 0;
  for (std::uint32_t i = 0; i < aOptions.decisions; ++i) {
    now += std::chrono::microseconds(20);
    auto request = MakeRequest(random, i, now);
    const auto id = request.requestId;
    sink.dispatched = false;
    begin = WallClock::now();
    router.OnArrival(std::move(request), now);
    arrivals += MicrosecondsSince(begin, 1);
    if (!sink.dispatched) {
      continue;
    }
    const auto attempt = sink.order.attempt;
    begin = WallClock::now();
    router.OnFirstToken(id, attempt, now);
    router.OnTokens(id, attempt, policy::Tokens(1), now);
    router.OnTokens(id, attempt, policy::Tokens(4), now);
    router.OnFinish(id, attempt, now);
    feedback += MicrosecondsSince(begin, 1);
    answered++;
  }
  result.arrivalMicroseconds = arrivals / aOptions.decisions;
  result.feedbackMicroseconds = feedback / std::max(1.0, answered);
  const auto after = ResidentKilobytes();
  result.residentKilobytes = after - std::min(after, before + digestKilobytes);
  return result;
}

} // namespace firefly::bench
