#pragma once

// Identifier types that several modules share.

#include <cstdint>
#include <string>

#include "core/strong_type.h"

namespace firefly {

// A service that operators created, such as "rota-assistant".
using ServiceId = StrongType<struct ServiceIdTag, std::string>;

// A request type of a service, such as "lookup".
using RequestType = StrongType<struct RequestTypeTag, std::string>;

// A customer. All callers of a customer share its limits.
using CustomerId = StrongType<struct CustomerIdTag, std::string>;

// A backend server: a model engine or an instance of a plain service.
using BackendId = StrongType<struct BackendIdTag, std::string>;

// A host that runs processes of the system, such as an entry.
using HostId = StrongType<struct HostIdTag, std::string>;

// A failure domain, such as a yard or a site.
using DomainId = StrongType<struct DomainIdTag, std::string>;

// A caller's request, unique across all entries (X-Request-Id).
using RequestId = StrongType<struct RequestIdTag, std::string>;

// A model that engines load, including its adapter.
using ModelId = StrongType<struct ModelIdTag, std::string>;

// The caller's Idempotency-Key of a booking.
using BookingKey = StrongType<struct BookingKeyTag, std::string>;

// One attempt to run a booking. The entry that makes the attempt assigns it a
// unique id.
using AttemptId = StrongType<struct AttemptIdTag, std::string>;

// Identifies one run of a process. Each restart at the same address has a
// larger value.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// The version of the table that operators edit; each accepted edit increments
// it by one.
using TableVersion = StrongType<struct TableVersionTag, std::uint64_t>;

// The fencing number of an authority: the log offset of its claim record.
using FencingNumber = StrongType<struct FencingNumberTag, std::uint64_t>;

} // namespace firefly
