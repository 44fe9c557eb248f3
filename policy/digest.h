#pragma once

// The digest of its own work that an entry gossips to its peers, in a compact
// encoding.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/ids.h"
#include "policy/crash_correlator.h"
#include "policy/fleet_view.h"

namespace firefly::policy {

// Why a digest could not be decoded.
struct DigestError
{
  std::string message;
};

// One entry's own outstanding work at a backend server.
struct OutstandingWork
{
  // FleetView::HashAt of the backend server.
  std::uint64_t backend = 0;
  // Requests that were dispatched and have not finished.
  std::uint32_t requests = 0;
  // Prompt tokens of those requests that have no first token yet.
  std::uint32_t prefillTokens = 0;
  // Speed that this entry has observed, in thousandths of the usual speed.
  std::uint32_t speedPermille = 1000;
};

// One entry's recent demand that falls under a row of the operators' table.
struct RowDemand
{
  // The row's key (see RequestLimiter::RowKey).
  std::uint64_t row = 0;
  // Request rate in thousandths of a request a second, including refused
  // requests.
  std::uint32_t permillePerSecond = 0;
  // Number of requests that are running now.
  std::uint32_t running = 0;
};

// One entry's recent demand for a model, for the role controller.
struct ModelDemand
{
  // StableHash of the model's id.
  std::uint64_t model = 0;
  // Prompt tokens a second that were not expected in any prefix cache.
  std::uint32_t promptTokensPerSecond = 0;
  // Expected output tokens a second.
  std::uint32_t outputTokensPerSecond = 0;
};

// One entry's recent load of the engines of a model by stage, in thousandths of
// an engine (see StageLoads).
struct StageDemand
{
  // StableHash of the model's id.
  std::uint64_t model = 0;
  std::uint32_t prefillWork = 0;
  std::uint32_t prefillWaiting = 0;
  std::uint32_t decodeWork = 0;
  std::uint32_t decodeWaiting = 0;
};

// The complete digest of one entry. Within an incarnation, a digest with a
// higher sequence replaces the earlier ones.
struct Digest
{
  HostId host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::vector<OutstandingWork> work;
  std::vector<RowDemand> rows;
  std::vector<ModelDemand> models;
  // Fingerprints of requests in quarantine and of suspected poison requests;
  // both lists are bounded.
  std::vector<std::uint64_t> quarantined;
  std::vector<std::uint64_t> suspects;
  std::vector<StageDemand> stages;
  // What requests that crash backend servers are suspected to have in common;
  // the list is bounded.
  std::vector<CrashSuspicion> crashSuspicions;

  // Encodes the digest as MessagePack.
  [[nodiscard]] std::string Encode() const;

  // Decodes a digest from MessagePack. Digests of older versions, which end
  // before the stages or the crash suspicions, are accepted.
  static tl::expected<Digest, DigestError> Decode(const std::string& aBytes);
};

} // namespace firefly::policy
