#pragma once

// What a caller asks for, checked before anything else sees it.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/ids.h"
#include "servers/entry/problem.h"
#include "servers/http/http_message.h"
#include "servers/settings/settings.h"

namespace firefly {

// The parts that all requests have.
struct CallerHead
{
  std::string requestId; // the caller's X-Request-Id, or one made here
  CustomerId customer;
  const ServiceSettings* service = nullptr;
  const RequestTypeSettings* type = nullptr;
};

// A request for a model's answer.
struct ModelCall
{
  CallerHead head;
  std::string path; // at the engine
  bool chat = false;
  bool stream = false;
  std::string prompt;          // a chat's messages joined
  std::uint32_t maxTokens = 0; // 0: the caller gave none
  std::string body;            // the caller's JSON without the fields that
                               // the entry sets itself, open at its end
};

// A request for a plain service.
struct PlainCall
{
  CallerHead head;
  std::string query;
  std::string contentType;
  std::string body;
  std::string idempotencyKey; // empty: the caller gave none
};

// What the entry adds to a request for one engine.
struct EngineExtension
{
  std::string requestId; // of this attempt
  int priority = 1;
  std::uint32_t resumeFrom = 0; // tokens that the caller has already
};

// Reads callers' requests against the settings.
class CallerRequestReader
{
public:
  // The settings must outlive the reader.
  explicit CallerRequestReader(const Settings& aSettings);

  // The customer and, if it is sound, the caller's X-Request-Id.
  [[nodiscard]] CallerHead ReadHead(const HttpRequest& aRequest,
                                    const std::string& aGeneratedId) const;

  // POST /v1/completions or /v1/chat/completions.
  [[nodiscard]] tl::expected<ModelCall, Problem> ReadModelCall(
    const HttpRequest& aRequest,
    CallerHead aHead) const;

  // POST /services/{service}/{request_type}.
  [[nodiscard]] tl::expected<PlainCall, Problem> ReadPlainCall(
    const HttpRequest& aRequest,
    CallerHead aHead) const;

private:
  [[nodiscard]] const ServiceSettings* FindModelService(
    const std::string& aModel) const;

  const Settings& mSettings;
};

// The JSON body for an engine.
std::string
MakeEngineBody(const ModelCall& aCall, const EngineExtension& aExtension);

} // namespace firefly
