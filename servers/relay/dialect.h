#pragma once

// Translates between the messages of callers and backend servers and the
// relay's own types. Header names and their meaning are known only to
// implementations of Dialect, not to the relay.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/access/credentials.h"
#include "policy/fleet_view.h"
#include "policy/rate_limit/backend_rate_limiter.h"
#include "policy/request_info.h"
#include "servers/http1/caller_server.h"
#include "servers/http1/connection_reuse.h"

namespace firefly {

// A part of a prompt that other prompts may share, in the prompt's order.
struct PromptPart
{
  std::uint64_t hash = 0;
  policy::Tokens tokens;
};

// The prompt of a request to a model engine; ignored for plain services.
struct PromptInfo
{
  std::string model;
  policy::Tokens promptTokens;
  // The caller's limit on the output.
  policy::Tokens maxOutputTokens;
};

// A caller's request, independent of the wire format.
struct RelayRequest
{
  RequestId id;
  std::string method;
  // Path and query, as the caller sent them.
  std::string target;
  std::string path;
  std::string host;
  // The headers that are forwarded unchanged.
  HttpHeaders headers;
  // Attempts share it; null if there is none.
  std::shared_ptr<const std::string> body;
  // The memory of the body.
  MemoryReservation memory{};
  // How long the caller waits for the answer; none if the request does not say.
  std::optional<Duration> callerTimeout;
  // Id of the last event that the caller received of this stream; empty for a
  // new stream.
  std::string lastEventId;
  // Id of the request that began the stream, if the caller resumes one and
  // names it.
  RequestId resumes{};
  std::optional<PromptInfo> prompt;
  // The parts that other requests may share, also of a request that has no
  // prompt for an engine.
  std::vector<PromptPart> sharedParts;
  // Hash that a caller's repeat of the same request shares.
  policy::Fingerprint fingerprint;
  policy::Credentials credentials{};
};

// Reference to the KV cache of a prompt that one engine prefilled for another.
struct KvCacheRef
{
  // Address of the engine that holds the KV cache.
  std::string address;
  std::string handle;
};

// The parameters of one attempt, sent to the backend server with the request.
struct AttemptTerms
{
  // The intended backend server; any other one must not run the request.
  BackendId backend;
  std::string address{};
  // Time left until the request's deadline, at least 1 ms.
  Duration timeLeft{};
  // Priority in the engine's own queue, 0 runs first; none leaves the engine's
  // default.
  std::optional<int> enginePriority{};
  // Id of the event after which the stream resumes; empty starts a new stream.
  std::string resumeAfter{};
  // The engine only prefills the prompt and produces no output.
  bool promptOnly = false;
  // The KV cache of the prompt, prefilled by another engine, to decode from.
  std::optional<KvCacheRef> kvCache{};
  // Address of an engine from which to copy the KV cache of the prompt's shared
  // parts first; parts that cannot be copied are prefilled. Empty copies
  // nothing.
  std::string copyFrom{};
  // The customer to name to the backend server. The name that the caller sent
  // is removed with hidesKeys.
  std::optional<CustomerId> customer{};
  // Removes the caller's credentials and the customer that it named.
  bool hidesKeys = false;
};

// An order that changes the role of an engine.
struct RoleOrder
{
  BackendId backend;
  std::string address;
  policy::EngineRole role = policy::EngineRole::kMixed;
  HostId holder;
  FencingNumber fence;
};

// The result of a request according to the head of the answer.
enum class AnswerKind : std::uint8_t
{
  kSuccess,
  // The backend server ran the request and answered with a status that does not
  // mean success.
  kFailure,
  // The backend server did not run the request and never will.
  kNotRun,
  // The answer does not come unchanged from a backend server, for example
  // because it carries no signature.
  kForeign,
};

// Why the relay answers a request itself.
enum class OwnAnswerKind : std::uint8_t
{
  // The request cannot be parsed. It was not run.
  kMalformed,
  // No route matches the request. It was not run.
  kNoRoute,
  // The request needs the key of a customer and has none that is known. It was
  // not run.
  kUnauthenticated,
  // The relay has no routing table yet, can't confirm that its table is current
  // enough to check a key, or is stopping. The request was not run.
  kNotReady,
  // The relay refuses the request, for example for lack of capacity or time. It
  // was not run.
  kRefused,
  // The request was sent but not answered in time. It may have run.
  kTimedOut,
  // The request was sent and failed. It may have run.
  kFailed,
};

// What a backend server says in an answer about taking further requests.
struct AvailabilityNotice
{
  bool isLeaving = false;
  // It rejected the request and wants no others for this time.
  std::optional<Duration> wait{};
  // It took the request.
  bool hasAccepted = false;
  // The requests a second that it takes from all hosts together; empty if the
  // answer names no limit.
  std::optional<policy::RequestRate> rateLimit{};
};

struct OwnAnswer
{
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  std::string body;
};

// Why a request or an answer could not be decoded, for logs and error bodies.
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

  // Returns the id that a request names, or an empty one if it is invalid.
  [[nodiscard]] virtual RequestId ReadRequestId(
    const MessageHead& aHead) const = 0;

  // Returns the head of the request for one backend server. The body follows
  // unchanged.
  [[nodiscard]] virtual std::string ComposeRequest(
    const RelayRequest& aRequest,
    const AttemptTerms& aTerms) const = 0;

  // Which request the answer names.
  [[nodiscard]] virtual ResponseMatch MatchAnswer(
    const MessageHead& aHead,
    const RequestId& aId) const = 0;
  [[nodiscard]] virtual AnswerKind Classify(const MessageHead& aHead) const = 0;

  [[nodiscard]] virtual AvailabilityNotice ReadAvailability(
    const MessageHead& aHead) const = 0;

  // Decodes an engine's answer to a prefill request into a reference to the KV
  // cache at the engine with this address; fails if the prefill failed or the
  // answer is invalid.
  [[nodiscard]] virtual tl::expected<KvCacheRef, DialectError>
  ReadPrefillAnswer(const MessageHead& aHead,
                    const std::string& aBody,
                    const std::string& aAddress) const = 0;

  // Returns a request that frees a prompt's KV cache that no engine decodes
  // from.
  [[nodiscard]] virtual std::string ComposeKvCacheRelease(
    const KvCacheRef& aKvCache) const = 0;

  [[nodiscard]] virtual std::string ComposeOrder(
    const RoleOrder& aOrder) const = 0;

  // Returns the headers of an answer that are forwarded to the caller.
  [[nodiscard]] virtual HttpHeaders CallerHeaders(
    const MessageHead& aHead) const = 0;

  // Composes an answer of the relay itself. aRetryAfter is used only for the
  // kinds that ask the caller to retry, which promise that the request was not
  // run.
  [[nodiscard]] virtual OwnAnswer Compose(OwnAnswerKind aKind,
                                          const RequestId& aId,
                                          std::string_view aDetail,
                                          Duration aRetryAfter) const = 0;
};

} // namespace firefly
