#pragma once

// What the decision classes know of a request before it runs.

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/strong_type.h"

namespace firefly::policy {

// A number of tokens of a prompt or an output.
using Tokens = StrongType<struct TokensTag, std::uint32_t>;

// What an answer delivered whole and in time is worth; never negative.
using Worth = StrongType<struct WorthTag, double>;

// The hash of a request's content; the same request sent again has the same.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

// The number of a request's attempt, from 1; a hedge is an attempt too.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

// Lanes keep long work from blocking short work.
enum class Lane : std::uint8_t
{
  kShort,
  kNormal,
  kStraggler,
};

// An engine's order of work; smaller runs first.
using EngineUrgency = StrongType<struct EngineUrgencyTag, std::uint8_t>;

// The engine's order for a lane.
EngineUrgency
UrgencyOf(Lane aLane);

// One request, as the entry parsed it. The model is empty for plain services.
struct RequestInfo
{
  RequestId requestId;
  ServiceId service;
  RequestType requestType;
  CustomerId customer;
  ModelId model;
  Worth worth;
  Tokens promptTokens;
  // The caller's own bound on the output (max_tokens); 0 if it gave none.
  Tokens maxOutputTokens;
  // Hashes of the prompt's leading blocks, each over all blocks up to it.
  std::vector<std::uint64_t> prefixHashes;
  // Tokens in each of those blocks, where all are of one size.
  Tokens prefixBlockTokens{ 64 };
  // Tokens up to the end of each block, where their sizes differ; else empty.
  std::vector<Tokens> prefixEnds{};
  Instant arrival{};
  // A first token (or a plain answer) later than this after arrival is late.
  Duration lateAfter = std::chrono::seconds(1);
  // Whether a second run does no harm.
  bool idempotent = true;
  // The operators' order among the types of a service, 0 the most urgent; none
  // leaves it to the lanes.
  std::optional<std::uint32_t> rank{};
  // Attempts at most, the first one included; 0 leaves it to the router.
  std::uint32_t maxAttempts = 0;
  // The operators' weight of the request's row; 1 is usual.
  double weight = 1.0;
  Fingerprint fingerprint;

  // When the first token is due.
  [[nodiscard]] Instant FirstTokenDeadline() const
  {
    return arrival + lateAfter;
  }

  // Tokens of the prompt's first so many prefix blocks.
  [[nodiscard]] Tokens PrefixTokens(std::size_t aBlocks) const;

  // Whether a model engine answers it rather than a plain service.
  [[nodiscard]] bool NeedsEngine() const { return !model.Value().empty(); }
};

} // namespace firefly::policy
