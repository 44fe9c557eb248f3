#pragma once

// The identifiers that cross module borders.

#include <cstdint>
#include <string>

#include "core/strong_type.h"

namespace firefly {

// A service that operators created, such as "rota-assistant".
using ServiceId = StrongType<struct ServiceIdTag, std::string>;

// A request type of a service, such as "lookup".
using RequestType = StrongType<struct RequestTypeTag, std::string>;

// A customer, whose callers share limits.
using CustomerId = StrongType<struct CustomerIdTag, std::string>;

// A backend server: a model engine or a plain service's instance.
using BackendId = StrongType<struct BackendIdTag, std::string>;

// An entry host of the system.
using HostId = StrongType<struct HostIdTag, std::string>;

// A failure domain, such as a yard or a site.
using DomainId = StrongType<struct DomainIdTag, std::string>;

// One caller's request, unique across entries (X-Request-Id).
using RequestId = StrongType<struct RequestIdTag, std::string>;

// A model, adapter included, that engines load.
using ModelId = StrongType<struct ModelIdTag, std::string>;

// The caller's Idempotency-Key of a booking.
using BookingKey = StrongType<struct BookingKeyTag, std::string>;

// One attempt to run a booking, made unique by the entry that makes it.
using AttemptId = StrongType<struct AttemptIdTag, std::string>;

// A process's life: larger for each restart at the same address.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// The version of the operators' table; grows by one with each accepted edit.
using TableVersion = StrongType<struct TableVersionTag, std::uint64_t>;

// An authority's fencing number: the log offset of its claim.
using FencingNumber = StrongType<struct FencingNumberTag, std::uint64_t>;

} // namespace firefly
