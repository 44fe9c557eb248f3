#pragma once

// Reads and validates callers' requests before any other class handles them.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/ids.h"
#include "servers/entry/problem.h"
#include "servers/http/http_message.h"
#include "servers/settings/settings.h"

namespace firefly {

// The fields that all requests have.
struct CallerHead
{
  std::string requestId; // the caller's X-Request-Id, or a generated one
  CustomerId customer;
  const ServiceSettings* service = nullptr;
  const RequestTypeSettings* type = nullptr;
};

// A request for a completion by a model.
struct ModelCall
{
  CallerHead head;
  std::string path; // of the endpoint at the engine
  bool chat = false;
  bool stream = false;
  std::string prompt;          // for a chat, its messages joined
  std::uint32_t maxTokens = 0; // 0 if the caller gave none
  std::string body;            // the caller's JSON without the fields that
                               // the entry sets or does not forward, and
                               // without its last brace
};

// A request for a plain service.
struct PlainCall
{
  CallerHead head;
  std::string query;
  std::string contentType;
  std::string body;
  std::string idempotencyKey; // empty if the caller gave none
};

// The fields that the entry adds to a request for one engine.
struct EngineExtension
{
  std::string requestId; // of this attempt
  int priority = 1;
  std::uint32_t resumeFrom = 0; // tokens that the caller already has
};

// Reads requests and resolves their service and request type in the settings.
class CallerRequestReader
{
public:
  // The settings must outlive the reader.
  explicit CallerRequestReader(const Settings& aSettings);

  // Returns the customer and the caller's X-Request-Id, or aGeneratedId if that
  // is missing or invalid.
  [[nodiscard]] CallerHead ReadHead(const HttpRequest& aRequest,
                                    const std::string& aGeneratedId) const;

  // Reads POST /v1/completions or /v1/chat/completions.
  [[nodiscard]] tl::expected<ModelCall, Problem> ReadModelCall(
    const HttpRequest& aRequest,
    CallerHead aHead) const;

  // Reads POST /services/{service}/{request_type}.
  [[nodiscard]] tl::expected<PlainCall, Problem> ReadPlainCall(
    const HttpRequest& aRequest,
    CallerHead aHead) const;

private:
  // Finds a service by its id or else by its model. Returns null if there is
  // none.
  [[nodiscard]] const ServiceSettings* FindModelService(
    const std::string& aModel) const;

  const Settings& mSettings;
};

// Returns the JSON body to send to an engine.
std::string
MakeEngineBody(const ModelCall& aCall, const EngineExtension& aExtension);

} // namespace firefly
