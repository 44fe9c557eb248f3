#pragma once

// What entries tell each other about their own work, as compact bytes for the
// gossip between them.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/ids.h"
#include "policy/fleet_view.h"

namespace firefly::policy {

// What is wrong with a digest's bytes.
struct DigestError
{
  std::string message;
};

// One entry's own outstanding work at a backend server.
struct OutstandingWork
{
  // FleetView::HashAt of the backend server.
  std::uint64_t backend = 0;
  // Requests dispatched and not finished.
  std::uint32_t requests = 0;
  // Prompt tokens of those that had no first token yet.
  std::uint32_t prefillTokens = 0;
  // Thousandths of the usual speed, as this entry sees it.
  std::uint32_t speedPermille = 1000;
};

// One entry's recent demand under a row of the operators' table.
struct RowDemand
{
  // The row's key (LimitKeeper::RowKey).
  std::uint64_t row = 0;
  // Thousandths of requests a second, admitted or refused.
  std::uint32_t permillePerSecond = 0;
  // Requests running now.
  std::uint32_t running = 0;
};

// One entry's recent demand for a model, for the role controller.
struct ModelDemand
{
  // StableHash of the model's id.
  std::uint64_t model = 0;
  // Prompt tokens a second that no prefix cache was expected to hold.
  std::uint32_t promptTokensPerSecond = 0;
  // Expected output tokens a second.
  std::uint32_t outputTokensPerSecond = 0;
};

// All that one entry tells; the newer sequence of an incarnation replaces the
// older one.
struct Digest
{
  HostId host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::vector<OutstandingWork> work;
  std::vector<RowDemand> rows;
  std::vector<ModelDemand> models;
  // Fingerprints in quarantine, and those under suspicion; bounded.
  std::vector<std::uint64_t> quarantined;
  std::vector<std::uint64_t> suspects;

  // The bytes, in MessagePack.
  [[nodiscard]] std::string Encode() const;

  // The digest of the bytes, or why they are none.
  static tl::expected<Digest, DigestError> Decode(const std::string& aBytes);
};

} // namespace firefly::policy
