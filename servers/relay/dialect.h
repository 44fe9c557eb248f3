#pragma once

// The words that callers and backend servers use on the wire, decoded into
// the relay's own types. The relay knows no header by name; a dialect does.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fleet_view.h"
#include "policy/request_info.h"
#include "servers/http1/caller_server.h"

namespace firefly {

// A part of a prompt that other prompts may share, in the prompt's order.
struct PromptPart
{
  std::uint64_t hash = 0;
  policy::Tokens tokens;
};

// What a request says of its prompt; of no use for plain services.
struct PromptInfo
{
  std::string model;
  policy::Tokens promptTokens;
  // The caller's bound on the output.
  policy::Tokens maxOutputTokens;
  std::vector<PromptPart> sharedParts;
};

// A caller's request, free of any names of the wire.
struct RelayRequest
{
  RequestId id;
  std::string method;
  // Path and query, as the caller sent them.
  std::string target;
  std::string path;
  std::string host;
  // What is passed on as it is.
  HttpHeaders headers;
  std::string body;
  // For how long the caller waits; none if it did not say.
  std::optional<Duration> patience;
  // The last event of a stream that the caller has; empty for a new stream.
  std::string lastEventId;
  std::optional<PromptInfo> prompt;
  // Hash of what makes a request the same one when it is sent again.
  policy::Fingerprint fingerprint;
};

// What an engine keeps of a prompt that it read for another engine.
struct PromptMemory
{
  // Where the engine that keeps it is reached.
  std::string address;
  std::string handle;
};

// What is said to one backend server beside the request.
struct AttemptTerms
{
  // The backend server that is meant; any other must not run the request.
  BackendId backend;
  std::string address{};
  // What is left of the caller's time.
  Duration timeLeft{};
  // The engine's own order of work, 0 first; none leaves its default.
  std::optional<int> enginePriority{};
  // The stream goes on after this event; empty begins it.
  std::string resumeAfter{};
  // Only have the prompt read.
  bool promptOnly = false;
  // The memory of the prompt to go on from.
  std::optional<PromptMemory> memory{};
  // The address of an engine to copy the prompt's shared part from first; it
  // is read where it can't be copied. Empty copies nothing.
  std::string copyFrom{};
};

// An order that changes what an engine is used for.
struct RoleOrder
{
  BackendId backend;
  std::string address;
  policy::EngineRole role = policy::EngineRole::kMixed;
  HostId holder;
  FencingNumber fence;
};

// What an answer's head says of the request.
enum class AnswerKind : std::uint8_t
{
  kSuccess,
  // The backend server ran the request and answers with a failure of its own.
  kFailure,
  // The backend server did not run the request and never will.
  kNotRun,
  // Not the answer of a backend server to this request.
  kForeign,
};

// An answer of the relay's own.
enum class OwnAnswerKind : std::uint8_t
{
  // The request can't be understood. Not run.
  kMalformed,
  // No route matches. Not run.
  kNoRoute,
  // This process doesn't know the routes yet. Not run.
  kNotReady,
  // Refused for lack of room or time. Not run.
  kRefused,
  // It was sent, and no answer came in time; it may have run.
  kTimedOut,
  // It was sent, and failed; it may have run.
  kFailed,
};

struct OwnAnswer
{
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  std::string body;
};

// What is wrong with a request, as a line for the log.
struct DialectError
{
  std::string message;
};

class Dialect
{
public:
  virtual ~Dialect() = default;

  virtual tl::expected<RelayRequest, DialectError> ReadRequest(
    CallerRequest aRequest) const = 0;

  // The whole request for one backend server.
  [[nodiscard]] virtual std::string ComposeRequest(
    const RelayRequest& aRequest,
    const AttemptTerms& aTerms) const = 0;

  // Whether the answer is one to that request; a late answer to an earlier
  // request on the connection is not.
  [[nodiscard]] virtual bool Answers(const MessageHead& aHead,
                                     const RequestId& aId) const = 0;
  [[nodiscard]] virtual AnswerKind Classify(const MessageHead& aHead) const = 0;

  // Whether the head answers a reading of a prompt, and, from its body, where
  // the memory is kept.
  [[nodiscard]] virtual tl::expected<PromptMemory, DialectError>
  ReadPromptAnswer(const MessageHead& aHead,
                   const std::string& aBody,
                   const std::string& aAddress) const = 0;

  // A call that frees a prompt's memory that nobody goes on from.
  [[nodiscard]] virtual std::string ComposeRelease(
    const PromptMemory& aMemory) const = 0;

  [[nodiscard]] virtual std::string ComposeOrder(
    const RoleOrder& aOrder) const = 0;

  // What of an answer's headers goes on to the caller.
  [[nodiscard]] virtual HttpHeaders CallerHeaders(
    const MessageHead& aHead) const = 0;

  // The retry-after goes only with answers that say "not run".
  [[nodiscard]] virtual OwnAnswer Compose(OwnAnswerKind aKind,
                                          const RequestId& aId,
                                          std::string_view aDetail,
                                          Duration aRetryAfter) const = 0;
};

} // namespace firefly
