#pragma once

// The typed messages between entries and ledgers, and their msgpack bodies.

#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "coord/booking_ledger.h"

namespace firefly {

// The paths that a ledger serves.
inline constexpr const char* kPermitPath = "/permit";
inline constexpr const char* kOutcomePath = "/outcome";
inline constexpr const char* kAbandonPath = "/abandon";
inline constexpr const char* kShowPath = "/show";

// Why a body can't be read.
struct MessageError
{
  std::string message;
};

// An entry's wish to run a booking; see coord::PermitRequest.
struct PermitMessage
{
  BookingKey key;
  AttemptId attempt;
  coord::RequestDigest digest;
  Duration timeout{}; // counted from when the ledger gets the message
  std::optional<WallTime> keyTime;
};

// The service's answer to an attempt.
struct OutcomeMessage
{
  BookingKey key;
  AttemptId attempt;
  coord::BookingOutcome outcome;
};

// The attempt did not run and never will.
struct AbandonMessage
{
  BookingKey key;
  AttemptId attempt;
};

// What is known of a key?
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

// Each reads a whole body of its type; a longer or shorter one is an error.
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
