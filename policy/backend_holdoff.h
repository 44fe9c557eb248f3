#pragma once

// Remembers what backend servers said in their answers about taking further
// requests. Their records tell it later, or never while the log is away.

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly::policy {

// Identifies one run of a backend server, which may be restarted under its id.
struct BackendRun
{
  BackendId id;
  std::uint64_t startedAt = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  auto operator<=>(const BackendRun&) const = default;
};

enum class HoldoffState : std::uint8_t
{
  kNone,
  // The time that it asked for is over, but it has not taken a request since.
  // It gets one at a time.
  kProbation,
  // It asked for no requests until a time.
  kWaiting,
  // It is leaving and gets no more requests.
  kLeaving,
};

class BackendHoldoff
{
public:
  struct Options
  {
    // Longer waits are shortened to this.
    Duration maxWait = std::chrono::minutes(10);
    // Maximum number of runs that are remembered; the oldest go first.
    std::size_t maxRecords = 4096;
  };

  BackendHoldoff() = default;
  explicit BackendHoldoff(Options aOptions);

  // The backend server said that it is leaving.
  void OnLeaving(const BackendRun& aRun, Instant aNow);

  // It rejected a request and asked for no others for this time. A wait that is
  // not positive is ignored, and so is one that ends before an earlier one.
  void OnAskedToWait(const BackendRun& aRun, Duration aWait, Instant aNow);

  // It took a request.
  void OnAccepted(const BackendRun& aRun, Instant aNow);

  // Another run of the same backend server is known by now, or it is gone.
  void Forget(const BackendId& aId);

  [[nodiscard]] HoldoffState StateOf(const BackendRun& aRun,
                                     Instant aNow) const;

  // With kWaiting: the end of the time that it asked for.
  [[nodiscard]] std::optional<Instant> WaitsUntil(const BackendRun& aRun) const;

private:
  struct Record
  {
    bool isLeaving = false;
    std::optional<Instant> waitsUntil{};
    Instant changed{};
  };

  Record& Insert(const BackendRun& aRun, Instant aNow);

  Options mOptions;
  std::map<BackendRun, Record> mRecords;
};

} // namespace firefly::policy
