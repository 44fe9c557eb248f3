#pragma once

// What the policies know about a request before it runs.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/strong_type.h"

namespace firefly::policy {

// A number of tokens in a prompt or an output.
using Tokens = StrongType<struct TokensTag, std::uint32_t>;

// The value of a complete answer that arrives in time; never negative.
using Worth = StrongType<struct WorthTag, double>;

// A hash of a request's content. A request that is sent again has the same
// fingerprint.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

// A hash of something that a request has in common with others and that may be
// why they crash backend servers, such as a part of its prompt or its model.
using CrashTrait = StrongType<struct CrashTraitTag, std::uint64_t>;

// The software of a backend server: a hash of its service and of the version
// that it states. 0 if versions are not known.
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::uint64_t>;

// Required by a request that no backend server may continue, because it is not
// known which version began its stream.
constexpr SoftwareVersion kNoVersion{ ~std::uint64_t{ 0 } };

// Sorted and without duplicates.
using CrashTraits = std::vector<CrashTrait>;

// Maximum number of traits of one request.
constexpr std::size_t kMaxCrashTraits = 16;

// What a value of a request means.
enum class CrashTraitKind : std::uint8_t
{
  kFingerprint,
  kService,
  kModel,
  kRequestType,
  kCustomer,
  kPath,
  kPromptPart,
};

CrashTrait
MakeCrashTrait(CrashTraitKind aKind, std::uint64_t aValue);

// The number of an attempt of a request, starting at 1. Hedges are attempts
// too.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

// Separate lanes prevent long requests from blocking short ones.
enum class Lane : std::uint8_t
{
  kShort,
  kNormal,
  kStraggler,
};

// A request's priority in an engine's queue; smaller values run first.
using EngineUrgency = StrongType<struct EngineUrgencyTag, std::uint8_t>;

// The engine priority for requests in the lane.
EngineUrgency
UrgencyOf(Lane aLane);

// One request as the entry parsed it. The model is empty for plain services.
struct RequestInfo
{
  RequestId requestId;
  ServiceId service;
  RequestType requestType;
  CustomerId customer;
  ModelId model;
  Worth worth;
  Tokens promptTokens;
  // The output limit that the caller set (max_tokens), or 0 if it set none.
  Tokens maxOutputTokens;
  // Hashes of the prompt's leading blocks. Each hash covers all blocks up to
  // and including its own.
  std::vector<std::uint64_t> prefixHashes;
  // Tokens in each of these blocks if all have the same size.
  Tokens prefixBlockTokens{ 64 };
  // Tokens up to the end of each block if the sizes differ, otherwise empty.
  std::vector<Tokens> prefixEnds{};
  Instant arrival{};
  // The request is late if its first token (or its plain answer) arrives more
  // than this after the request did.
  Duration lateAfter = std::chrono::seconds(1);
  // Time after the arrival at which the caller gives up; an answer that is late
  // is still worth something until then. No value counts as lateAfter.
  std::optional<Duration> answerTimeout{};
  // The longest pause between output tokens for which the answer is in time;
  // zero if there is no such objective.
  Duration gapObjective{};
  // Whether it is safe to run the request more than once.
  bool idempotent = true;
  // The priority that operators gave the request's type within its service; 0
  // is the most urgent, and no value counts as 0. It only has an effect if
  // peers announce prompts; otherwise the lane decides.
  std::optional<std::uint32_t> rank{};
  // Maximum number of attempts that may run the request, including the first
  // one. Separate prefills and attempts that were not sent do not count. The
  // router's limit applies too, and alone if this is 0.
  std::uint32_t maxAttempts = 0;
  // The only version that may run the request, because it began the stream that
  // the request continues; empty if all may.
  std::optional<SoftwareVersion> requiredVersion{};
  // The weight that operators gave the request's row; the default is 1.
  double weight = 1.0;
  Fingerprint fingerprint;
  CrashTraits crashTraits{};

  // The time by which the first token is due.
  [[nodiscard]] Instant FirstTokenDeadline() const
  {
    return arrival + lateAfter;
  }

  [[nodiscard]] Duration AnswerTimeout() const
  {
    return answerTimeout.value_or(lateAfter);
  }

  // The time by which the caller must have the answer.
  [[nodiscard]] Instant AnswerDeadline() const
  {
    return arrival + AnswerTimeout();
  }

  // Tokens in the first aBlocks prefix blocks of the prompt.
  [[nodiscard]] Tokens PrefixTokens(std::size_t aBlocks) const;

  // Sets the traits: the request's own values that name something, the path
  // unless it is empty, and the last of the shared parts of its prompt, as the
  // first ones are shared most.
  void SetCrashTraits(const std::string& aPath,
                      const std::vector<std::uint64_t>& aPromptParts);

  // Whether the request needs a model engine rather than a plain service.
  [[nodiscard]] bool NeedsEngine() const { return !model.Value().empty(); }
};

} // namespace firefly::policy
