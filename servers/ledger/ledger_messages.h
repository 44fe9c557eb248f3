#pragma once

// The messages between entries and ledgers and their msgpack encoding.

#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "coord/booking_ledger.h"

namespace firefly {

// The paths on which a ledger serves requests.
inline constexpr const char* kPermitPath = "/permit";
inline constexpr const char* kOutcomePath = "/outcome";
inline constexpr const char* kAbandonPath = "/abandon";
inline constexpr const char* kShowPath = "/show";

// Why a body cannot be decoded.
struct MessageError
{
  std::string message;
};

// A request of an entry to run a booking; see coord::PermitRequest.
struct PermitMessage
{
  BookingKey key;
  AttemptId attempt;
  coord::RequestDigest digest;
  Duration timeout{}; // starts when the ledger receives the message
  std::optional<WallTime> keyTime;
};

// Reports the service's answer to an attempt.
struct OutcomeMessage
{
  BookingKey key;
  AttemptId attempt;
  coord::BookingOutcome outcome;
};

// Reports that the attempt did not run and never will.
struct AbandonMessage
{
  BookingKey key;
  AttemptId attempt;
};

// Requests the recorded state of a booking key.
struct ShowMessage
{
  BookingKey key;
};

std::string
Encode(const PermitMessage& aMessage);
std::string
Encode(const OutcomeMessage& aMessage);
std::string
Encode(const AbandonMessage& aMessage);
std::string
Encode(const ShowMessage& aMessage);
std::string
Encode(const coord::Permit& aPermit);
std::string
Encode(const std::optional<coord::BookingView>& aView);

// Each function decodes a complete body; missing fields and extra bytes are
// errors.
tl::expected<PermitMessage, MessageError>
DecodePermitMessage(std::string_view aBody);
tl::expected<OutcomeMessage, MessageError>
DecodeOutcomeMessage(std::string_view aBody);
tl::expected<AbandonMessage, MessageError>
DecodeAbandonMessage(std::string_view aBody);
tl::expected<ShowMessage, MessageError>
DecodeShowMessage(std::string_view aBody);
tl::expected<coord::Permit, MessageError>
DecodePermit(std::string_view aBody);
tl::expected<std::optional<coord::BookingView>, MessageError>
DecodeView(std::string_view aBody);

} // namespace firefly
