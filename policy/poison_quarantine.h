#pragma once

// Prevents a request that crashes backend servers from crashing more than two
// of them.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

// Restrictions on a request because of earlier crashes.
enum class PoisonVerdict : std::uint8_t
{
  kClear,
  // The request was running at a crash. It runs isolated from other suspects
  // until its output is past the point of the crash.
  kSuspect,
  // The request was a suspect and was running at another crash. All entries
  // refuse it.
  kQuarantined,
};

class PoisonQuarantine
{
public:
  virtual ~PoisonQuarantine() = default;

  [[nodiscard]] virtual PoisonVerdict VerdictOf(Fingerprint aRequest,
                                                Instant aNow) const = 0;

  // Called when a backend server crashed while the request ran there. The
  // attempt was dispatched at aStarted and had produced aProgress output
  // tokens.
  virtual void OnCrash(Fingerprint aRequest,
                       Tokens aProgress,
                       Instant aStarted,
                       Instant aNow) = 0;

  // Called when the request has produced aProgress output tokens in total. A
  // suspect that is past the point of its crash is cleared.
  virtual void OnProgress(Fingerprint aRequest, Tokens aProgress) = 0;

  // Called when the request finished; clears the suspicion.
  virtual void OnFinish(Fingerprint aRequest) = 0;

  // Called with the quarantined and suspected requests that a peer reported.
  virtual void OnPeerReport(const std::vector<std::uint64_t>& aQuarantined,
                            const std::vector<std::uint64_t>& aSuspects,
                            Instant aNow) = 0;

  // All quarantined requests and the suspects found by this process, for the
  // digest. The number is bounded.
  [[nodiscard]] virtual std::vector<std::uint64_t> Quarantined(
    Instant aNow) const = 0;
  [[nodiscard]] virtual std::vector<std::uint64_t> Suspects(
    Instant aNow) const = 0;
};

// Treats each request that was running at a crash as a suspect, and quarantines
// a suspect at its second crash. If this process observed the first crash, a
// crash of an attempt that started before it counts as the same crash, so that
// two copies of a request that were running at the same crash are not
// quarantined. If a peer reported the suspicion, any crash here quarantines the
// request.
class SuspectPoisonQuarantine : public PoisonQuarantine
{
public:
  struct Options
  {
    // How long a request stays quarantined.
    Duration quarantineTime = std::chrono::minutes(30);
    // How long a request stays a suspect.
    Duration suspicionTime = std::chrono::minutes(5);
    // A suspect is cleared once its output is this many tokens past the crash.
    Tokens clearanceTokens{ 16 };
    // Maximum number of suspects, and of quarantined requests; the oldest are
    // removed first.
    std::size_t maxRecords = 256;
  };

  SuspectPoisonQuarantine() = default;
  explicit SuspectPoisonQuarantine(Options aOptions);

  [[nodiscard]] PoisonVerdict VerdictOf(Fingerprint aRequest,
                                        Instant aNow) const override;
  void OnCrash(Fingerprint aRequest,
               Tokens aProgress,
               Instant aStarted,
               Instant aNow) override;
  void OnProgress(Fingerprint aRequest, Tokens aProgress) override;
  void OnFinish(Fingerprint aRequest) override;
  void OnPeerReport(const std::vector<std::uint64_t>& aQuarantined,
                    const std::vector<std::uint64_t>& aSuspects,
                    Instant aNow) override;
  [[nodiscard]] std::vector<std::uint64_t> Quarantined(
    Instant aNow) const override;
  [[nodiscard]] std::vector<std::uint64_t> Suspects(
    Instant aNow) const override;

private:
  struct Record
  {
    Instant recordedAt{};
    Tokens progress;
    // Whether this process observed the crash, rather than a peer.
    bool isOwn = false;
  };
  using Records = std::unordered_map<std::uint64_t, Record>;

  void Add(Records& aRecords, std::uint64_t aRequest, Record aRecord) const;
  static std::vector<std::uint64_t> ActiveRequests(const Records& aRecords,
                                                   Duration aLifetime,
                                                   bool aOwnOnly,
                                                   Instant aNow);

  Options mOptions;
  Records mSuspects;
  Records mQuarantined;
};

// Restricts no requests.
class NoPoisonQuarantine : public PoisonQuarantine
{
public:
  [[nodiscard]] PoisonVerdict VerdictOf(Fingerprint aRequest,
                                        Instant aNow) const override;
  void OnCrash(Fingerprint aRequest,
               Tokens aProgress,
               Instant aStarted,
               Instant aNow) override;
  void OnProgress(Fingerprint aRequest, Tokens aProgress) override;
  void OnFinish(Fingerprint aRequest) override;
  void OnPeerReport(const std::vector<std::uint64_t>& aQuarantined,
                    const std::vector<std::uint64_t>& aSuspects,
                    Instant aNow) override;
  [[nodiscard]] std::vector<std::uint64_t> Quarantined(
    Instant aNow) const override;
  [[nodiscard]] std::vector<std::uint64_t> Suspects(
    Instant aNow) const override;
};

} // namespace firefly::policy
