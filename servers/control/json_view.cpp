#include "servers/control/json_view.h"

namespace firefly {

std::optional<Json>
ParseObject(const std::string& aText)
{
  Json value = Json::parse(aText, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  return value;
}

std::string
TextOf(const Json& aObject, const std::string& aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end() || found->is_null()) {
    return "-";
  }
  if (found->is_string()) {
    return found->get<std::string>();
  }
  if (found->is_boolean()) {
    return found->get<bool>() ? "yes" : "no";
  }
  return DumpLine(*found).substr(0, DumpLine(*found).size() - 1);
}

double
NumberOf(const Json& aObject, const std::string& aKey)
{
  const auto found = aObject.find(aKey);
  const bool isNumber = found != aObject.end() && found->is_number();
  return isNumber ? found->get<double>() : 0;
}

Json
ArrayOf(const Json& aObject, const std::string& aKey)
{
  const auto found = aObject.find(aKey);
  const bool isArray = found != aObject.end() && found->is_array();
  return isArray ? *found : Json::array();
}

std::string
JoinArray(const Json& aArray)
{
  std::string text;
  for (const auto& it : aArray) {
    text += text.empty() ? "" : ", ";
    text += it.is_string() ? it.get<std::string>() : it.dump();
  }
  return text.empty() ? "-" : text;
}

std::string
ProblemTitle(const HttpResult& aResult)
{
  std::string status = "status " + std::to_string(aResult.status);
  const auto problem = ParseObject(aResult.body);
  if (!problem || !problem->contains("title")) {
    return status;
  }
  return TextOf(*problem, "title") + " (" + status + ')';
}

ParsedAnswers
ParseAnswers(const QueryResults& aResults)
{
  ParsedAnswers objects{ .objects = {}, .failures = aResults.failures };
  for (const auto& it : aResults.answers) {
    if (it.result.status != 200) {
      objects.failures.push_back({ it.url, ProblemTitle(it.result) });
      continue;
    }
    auto object = ParseObject(it.result.body);
    if (!object) {
      objects.failures.push_back({ it.url, "the answer is not a JSON object" });
      continue;
    }
    (*object)["url"] = it.url;
    objects.objects.push_back(std::move(*object));
  }
  return objects;
}

Json
FailuresToJson(const std::vector<ProcessFailure>& aFailures)
{
  Json list = Json::array();
  for (const auto& it : aFailures) {
    list.push_back({ { "url", it.url }, { "error", it.error } });
  }
  return list;
}

std::string
DumpLine(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

} // namespace firefly
