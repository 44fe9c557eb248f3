#pragma once

// Reads JSON from other processes without relying on its structure. For the
// source files of this folder only, since the JSON library's header is slow to
// compile.

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "servers/control/control.h"

namespace firefly {

using Json = nlohmann::json;

// Parses a JSON object; nothing if the text is anything else.
std::optional<Json>
ParseObject(const std::string& aText);

// The member as text: "yes" or "no" for a boolean, "-" if it is absent or null.
std::string
TextOf(const Json& aObject, const std::string& aKey);

// The member as a number; 0 if it is absent or of another type.
double
NumberOf(const Json& aObject, const std::string& aKey);

// The member as an array; empty if it is absent or of another type.
Json
ArrayOf(const Json& aObject, const std::string& aKey);

// The elements of an array as one text, separated by commas.
std::string
JoinArray(const Json& aArray);

// The title and status of a problem document; only the status if the body is
// something else.
std::string
ProblemTitle(const HttpResult& aResult);

// The JSON objects of all answers with status 200, each with its "url" added.
// All other answers count as failures.
struct ParsedAnswers
{
  std::vector<Json> objects;
  std::vector<ProcessFailure> failures;
};
ParsedAnswers
ParseAnswers(const QueryResults& aResults);

// The failures as a JSON array.
Json
FailuresToJson(const std::vector<ProcessFailure>& aFailures);

// The value as one line of JSON, with a line end.
std::string
DumpLine(const Json& aValue);

} // namespace firefly
