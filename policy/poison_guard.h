#pragma once

// Keeps a request that crashes backend servers from crashing more than two.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

// How a request may run with regard to past crashes.
enum class PoisonVerdict : std::uint8_t
{
  kClear,
  // Was in flight at a crash: runs apart from other suspects until it is past
  // the point where the crash came.
  kSuspect,
  // Was a suspect in flight at a second crash: refused everywhere.
  kQuarantined,
};

class PoisonGuard
{
public:
  virtual ~PoisonGuard() = default;

  [[nodiscard]] virtual PoisonVerdict VerdictOf(Fingerprint aRequest,
                                                Instant aNow) const = 0;

  // A backend server crashed while the request, dispatched at aStarted, ran
  // there and had brought that many output tokens.
  virtual void OnCrash(Fingerprint aRequest,
                       Tokens aProgress,
                       Instant aStarted,
                       Instant aNow) = 0;

  // The request has brought that many output tokens; a suspect past the point
  // of its crash is cleared.
  virtual void OnProgress(Fingerprint aRequest, Tokens aProgress) = 0;

  // The request finished.
  virtual void OnFinish(Fingerprint aRequest) = 0;

  // A peer tells of requests in quarantine and of suspects.
  virtual void OnPeer(const std::vector<std::uint64_t>& aQuarantined,
                      const std::vector<std::uint64_t>& aSuspects,
                      Instant aNow) = 0;

  // The requests in quarantine, and this process's own suspects, for the
  // digest; a bounded number.
  [[nodiscard]] virtual std::vector<std::uint64_t> Quarantined(
    Instant aNow) const = 0;
  [[nodiscard]] virtual std::vector<std::uint64_t> Suspects(
    Instant aNow) const = 0;
};

// Suspects whatever ran at a crash and quarantines a suspect at its second. A
// crash of an attempt that began before the suspicion is still the first one,
// so that twins in flight at one crash don't condemn each other.
class SuspectPoisonGuard : public PoisonGuard
{
public:
  struct Options
  {
    // How long a quarantine lasts.
    Duration quarantine = std::chrono::minutes(30);
    // How long a suspicion lasts.
    Duration suspicion = std::chrono::minutes(5);
    // A suspect is cleared so many tokens past the crash.
    Tokens margin{ 16 };
    // Requests of each kind kept at most; the oldest give way.
    std::size_t bound = 256;
  };

  SuspectPoisonGuard() = default;
  explicit SuspectPoisonGuard(Options aOptions);

  [[nodiscard]] PoisonVerdict VerdictOf(Fingerprint aRequest,
                                        Instant aNow) const override;
  void OnCrash(Fingerprint aRequest,
               Tokens aProgress,
               Instant aStarted,
               Instant aNow) override;
  void OnProgress(Fingerprint aRequest, Tokens aProgress) override;
  void OnFinish(Fingerprint aRequest) override;
  void OnPeer(const std::vector<std::uint64_t>& aQuarantined,
              const std::vector<std::uint64_t>& aSuspects,
              Instant aNow) override;
  [[nodiscard]] std::vector<std::uint64_t> Quarantined(
    Instant aNow) const override;
  [[nodiscard]] std::vector<std::uint64_t> Suspects(
    Instant aNow) const override;

private:
  struct Record
  {
    Instant since{};
    Tokens progress;
    // Seen by this process, not only told by a peer.
    bool own = false;
  };
  using Records = std::unordered_map<std::uint64_t, Record>;

  void Add(Records& aRecords, std::uint64_t aRequest, Record aRecord) const;
  static std::vector<std::uint64_t> Listed(const Records& aRecords,
                                           Duration aLifetime,
                                           bool aOwnOnly,
                                           Instant aNow);

  Options mOptions;
  Records mSuspects;
  Records mQuarantined;
};

// Suspects nobody.
class NoPoisonGuard : public PoisonGuard
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
  void OnPeer(const std::vector<std::uint64_t>& aQuarantined,
              const std::vector<std::uint64_t>& aSuspects,
              Instant aNow) override;
  [[nodiscard]] std::vector<std::uint64_t> Quarantined(
    Instant aNow) const override;
  [[nodiscard]] std::vector<std::uint64_t> Suspects(
    Instant aNow) const override;
};

} // namespace firefly::policy
