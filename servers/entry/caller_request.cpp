#include "servers/entry/caller_request.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::uint32_t kMaxTokens = 1U << 20U;
constexpr int kMaxJsonDepth = 64;
constexpr const char* kAnonymous = "anonymous";
constexpr const char* kChatPath = "/v1/chat/completions";

Problem
MalformedRequest(const std::string& aDetail)
{
  return { .status = 400,
           .type = "malformed-request",
           .title = "The request is malformed",
           .detail = aDetail };
}

Problem
UnknownService(const std::string& aDetail)
{
  return { .status = 404,
           .type = "unknown-service",
           .title = "No such service or request type",
           .detail = aDetail };
}

// Ids appear in headers, JSON and logs, so they must be printable ASCII without
// spaces, double quotes and backslashes.
bool
IsValidId(std::string_view aText)
{
  const auto isPlain = [](char aChar) {
    return aChar > ' ' && aChar <= '~' && aChar != '"' && aChar != '\\';
  };
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::all_of(aText.begin(), aText.end(), isPlain);
}

// Returns the service's request type with that name, or its first one if the
// name is empty. Returns null if there is none.
const RequestTypeSettings*
FindType(const ServiceSettings& aService, std::string_view aName)
{
  for (const auto& it : aService.requestTypes) {
    if (aName.empty() || it.name.Value() == aName) {
      return &it;
    }
  }
  return nullptr;
}

// Parses JSON and drops values nested deeper than kMaxJsonDepth. Returns null
// if the text is not a JSON object.
Json
ParseObject(const std::string& aBody)
{
  const auto isWithinDepth = [](int aDepth, Json::parse_event_t, Json&) {
    return aDepth < kMaxJsonDepth;
  };
  auto body = Json::parse(aBody, isWithinDepth, false);
  return body.is_object() ? body : Json();
}

void
AppendContent(const Json& aContent, std::string& aPrompt)
{
  if (aContent.is_string()) {
    aPrompt += aContent.get_ref<const std::string&>();
    return;
  }
  if (!aContent.is_array()) {
    return;
  }
  for (const auto& part : aContent) {
    if (part.is_object() && part.contains("text") && part["text"].is_string()) {
      aPrompt += part["text"].get_ref<const std::string&>();
    }
  }
}

tl::expected<std::string, Problem>
ReadMessages(const Json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return tl::unexpected(
      MalformedRequest("messages must be a non-empty array"));
  }
  std::string prompt;
  for (const auto& it : *messages) {
    const bool isValid =
      it.is_object() && it.contains("role") && it["role"].is_string();
    if (!isValid) {
      return tl::unexpected(MalformedRequest("each message must have a role"));
    }
    prompt += it["role"].get_ref<const std::string&>() + ":";
    AppendContent(it.value("content", Json()), prompt);
    prompt += '\n';
  }
  return prompt;
}

tl::expected<std::string, Problem>
ReadPrompt(const Json& aBody)
{
  const auto prompt = aBody.find("prompt");
  if (prompt == aBody.end() || !prompt->is_string()) {
    return tl::unexpected(MalformedRequest("prompt must be a string"));
  }
  return prompt->get<std::string>();
}

tl::expected<std::uint32_t, Problem>
ReadMaxTokens(const Json& aBody)
{
  const char* key = aBody.contains("max_completion_tokens")
                      ? "max_completion_tokens"
                      : "max_tokens";
  const auto it = aBody.find(key);
  if (it == aBody.end() || it->is_null()) {
    return 0U;
  }
  const bool inRange = it->is_number_unsigned() &&
                       it->get<std::uint64_t>() > 0 &&
                       it->get<std::uint64_t>() <= kMaxTokens;
  if (!inRange) {
    return tl::unexpected(
      MalformedRequest(std::string(key) + " must be a whole number from 1 to " +
                       std::to_string(kMaxTokens)));
  }
  return it->get<std::uint32_t>();
}

// Returns the caller's object without the fields that the entry sets or does
// not forward and without its closing brace, so that MakeEngineBody() can
// append the fields that the entry sets.
std::string
MakeOpenBody(Json aBody)
{
  for (const char* it : { "request_id",
                          "priority",
                          "resume_from",
                          "request_type",
                          "stream",
                          "stream_options",
                          "firefly" }) {
    aBody.erase(it);
  }
  auto text = aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
  text.pop_back();
  return text;
}

} // namespace

CallerRequestReader::CallerRequestReader(const Settings& aSettings)
  : mSettings(aSettings)
{
}

CallerHead
CallerRequestReader::ReadHead(const HttpRequest& aRequest,
                              const std::string& aGeneratedId) const
{
  CallerHead head;
  const auto id = FindHeader(aRequest.headers, "X-Request-Id");
  head.requestId = IsValidId(id) ? std::string(id) : aGeneratedId;
  const auto customer = FindHeader(aRequest.headers, "X-Customer");
  head.customer =
    CustomerId(IsValidId(customer) ? std::string(customer) : kAnonymous);
  return head;
}

const ServiceSettings*
CallerRequestReader::FindModelService(const std::string& aModel) const
{
  const ServiceSettings* byModel = nullptr;
  for (const auto& it : mSettings.services) {
    if (it.kind != ServiceKind::kModel) {
      continue;
    }
    if (it.id.Value() == aModel) {
      return &it;
    }
    if (it.model.Value() == aModel && byModel == nullptr) {
      byModel = &it;
    }
  }
  return byModel;
}

tl::expected<ModelCall, Problem>
CallerRequestReader::ReadModelCall(const HttpRequest& aRequest,
                                   CallerHead aHead) const
{
  auto body = ParseObject(aRequest.body);
  if (body.is_null()) {
    return tl::unexpected(MalformedRequest("the body must be a JSON object"));
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return tl::unexpected(MalformedRequest("model must be a string"));
  }
  if (body.contains("n") && body["n"] != 1) {
    return tl::unexpected(MalformedRequest("n must be 1"));
  }
  ModelCall call;
  call.head = std::move(aHead);
  call.chat = aRequest.path == kChatPath;
  call.path = aRequest.path;
  const auto name = body["model"].get<std::string>();
  call.head.service = FindModelService(name);
  if (call.head.service == nullptr) {
    return tl::unexpected(
      UnknownService("no service for model '" + name + "'"));
  }
  const auto type = FindHeader(aRequest.headers, "X-Request-Type");
  call.head.type = FindType(*call.head.service, type);
  if (call.head.type == nullptr) {
    return tl::unexpected(
      UnknownService("no request type '" + std::string(type) + "'"));
  }
  auto prompt = call.chat ? ReadMessages(body) : ReadPrompt(body);
  if (!prompt) {
    return tl::unexpected(prompt.error());
  }
  call.prompt = std::move(*prompt);
  const auto maxTokens = ReadMaxTokens(body);
  if (!maxTokens) {
    return tl::unexpected(maxTokens.error());
  }
  call.maxTokens = *maxTokens;
  const auto stream = body.find("stream");
  call.stream =
    stream != body.end() && stream->is_boolean() && stream->get<bool>();
  body["model"] = call.head.service->model.Value();
  call.body = MakeOpenBody(std::move(body));
  return call;
}

tl::expected<PlainCall, Problem>
CallerRequestReader::ReadPlainCall(const HttpRequest& aRequest,
                                   CallerHead aHead) const
{
  const auto path = SplitPath(aRequest.path);
  constexpr std::size_t kSegments = 3;
  if (path.size() != kSegments) {
    return tl::unexpected(
      UnknownService("expected /services/{service}/{type}"));
  }
  PlainCall call;
  call.head = std::move(aHead);
  call.head.service = mSettings.FindService(ServiceId(path[1]));
  if (call.head.service == nullptr ||
      call.head.service->kind != ServiceKind::kPlain) {
    return tl::unexpected(UnknownService("no plain service '" + path[1] + "'"));
  }
  call.head.type =
    mSettings.FindRequestType(call.head.service->id, RequestType(path[2]));
  if (call.head.type == nullptr) {
    return tl::unexpected(UnknownService("no request type '" + path[2] + "'"));
  }
  const auto type = FindHeader(aRequest.headers, "Content-Type");
  call.contentType = type.empty() ? "application/json" : std::string(type);
  if (call.contentType.starts_with("application/json") &&
      !aRequest.body.empty() && !Json::accept(aRequest.body)) {
    return tl::unexpected(MalformedRequest("the body is not JSON"));
  }
  const auto key = FindHeader(aRequest.headers, "Idempotency-Key");
  const bool hasInvalidKey =
    key.empty() ? !call.head.type->idempotent : !IsValidId(key);
  if (hasInvalidKey) {
    return tl::unexpected(MalformedRequest(
      "Idempotency-Key must be given for this request type, as at most " +
      std::to_string(kMaxIdBytes) + " printable characters"));
  }
  call.idempotencyKey = key;
  call.query = aRequest.query;
  call.body = aRequest.body;
  return call;
}

std::string
MakeEngineBody(const ModelCall& aCall, const EngineExtension& aExtension)
{
  return aCall.body + R"(,"request_id":")" + aExtension.requestId +
         R"(","priority":)" + std::to_string(aExtension.priority) +
         R"(,"resume_from":)" + std::to_string(aExtension.resumeFrom) +
         R"(,"stream":true})";
}

} // namespace firefly
