#pragma once

// What a request carries to prove which customer sent it.

#include <variant>

#include "policy/access/customer.h"

namespace firefly::policy {

// The request carries no credentials.
struct AbsentCredentials
{};

// The request carries credentials that are not exactly one key of allowed
// length.
struct MalformedCredentials
{};

// The alternative with a digest holds that of the request's key.
using Credentials =
  std::variant<AbsentCredentials, MalformedCredentials, KeyDigest>;

} // namespace firefly::policy
