#pragma once

// Encodes the messages and log records of the usage reports.

#include <optional>
#include <string>
#include <string_view>

#include "policy/usage/usage_counter.h"
#include "policy/usage/usage_journal.h"

namespace firefly {

// Values of the first field of a datagram, the kind of the message, which
// servers/relay/peer_update_channel.cpp continues.
constexpr std::uint64_t kHostUsageMessage = 7;
constexpr std::uint64_t kTimeMessage = 8;

std::string
EncodeHostUsage(const policy::HostUsage& aUsage);

// Returns nothing if the bytes are not valid counts.
std::optional<policy::HostUsage>
DecodeHostUsage(std::string_view aBytes);

// The uncorrected time of a host (policy/usage/true_time.h).
struct TimeMessage
{
  HostId host;
  WallTime time{};
};

std::string
EncodeTimeMessage(const TimeMessage& aMessage);

// Returns nothing if the bytes are not a valid time message.
std::optional<TimeMessage>
DecodeTimeMessage(std::string_view aBytes);

std::string
EncodeUsageRecord(const policy::UsageJournal::Record& aRecord);

// Returns nothing if the bytes are not a valid record.
std::optional<policy::UsageJournal::Record>
DecodeUsageRecord(std::string_view aBytes);

} // namespace firefly
