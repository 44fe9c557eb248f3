#pragma once

// Reads foreign JSON without trusting its shape. Internal to this folder's
// source files, since the JSON library is a heavy header.

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "servers/control/control.h"

namespace firefly {

using Json = nlohmann::json;

// The object of a text, or nothing if it holds none.
std::optional<Json>
ParseObject(const std::string& aText);

// The member as text: "-" when it is absent or null.
std::string
TextOf(const Json& aObject, const std::string& aKey);

// The member as a number; 0 when it is none.
double
NumberOf(const Json& aObject, const std::string& aKey);

// The member as an array; empty when it is none.
Json
ArrayOf(const Json& aObject, const std::string& aKey);

// The elements of an array as one text, separated by commas.
std::string
JoinArray(const Json& aArray);

// The title of a problem document, or the status alone.
std::string
ProblemTitle(const HttpResult& aResult);

// The objects of all answers with status 200, each with its "url". Answers
// that hold no object count as away.
struct Objects
{
  std::vector<Json> objects;
  std::vector<AwayProcess> away;
};
Objects
ObjectsOf(const Answers& aAnswers);

// The away processes as JSON.
Json
AwayJson(const std::vector<AwayProcess>& aAway);

// One line of JSON with a line end.
std::string
DumpLine(const Json& aValue);

} // namespace firefly
