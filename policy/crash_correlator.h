#pragma once

// Finds what requests that crash backend servers have in common, although no
// two of them are alike, and holds back further requests that have it.

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

// The suspicion that each request with all of these traits crashes the backend
// server that runs it. The numbers only grow, so that of two records with the
// same traits the one with the larger numbers is newer, in this order.
struct CrashSuspicion
{
  CrashTraits traits;
  // How often the suspicion was disproved.
  std::uint32_t clearances = 0;
  // Crashes, one after the other, since it was last disproved.
  std::uint32_t crashes = 0;
  // Requests that were let through since the last crash to test it.
  std::uint32_t trials = 0;
  // Whether a request with only some of the traits was harmless since the first
  // crash. If none was, the traits tell nothing.
  bool isContrasted = false;

  // Whether it is newer than a record with the same traits.
  [[nodiscard]] bool IsNewerThan(const CrashSuspicion& aOther) const;
};

enum class CrashVerdict : std::uint8_t
{
  kClear,
  // The request must not run now.
  kHeld,
  // The request would be held, but may run as a test of the suspicion.
  kTrial,
};

struct CrashDecision
{
  CrashVerdict verdict = CrashVerdict::kClear;
  // With kHeld: the time until a request with these traits may run as a test.
  Duration retryAfter{};
};

class CrashCorrelator
{
public:
  virtual ~CrashCorrelator() = default;

  [[nodiscard]] virtual CrashDecision Decide(const RequestInfo& aRequest,
                                             Instant aNow) const = 0;

  // Whether Decide() may return anything but kClear.
  [[nodiscard]] virtual bool HoldsAny(Instant aNow) const = 0;

  // Called when a request with the verdict kTrial is admitted.
  virtual void OnTrial(const RequestInfo& aRequest, Instant aNow) = 0;

  // Called when a backend server crashed while it ran an attempt that was sent
  // at aSent and has not been shown to be harmless.
  virtual void OnCrash(const RequestInfo& aRequest,
                       Instant aSent,
                       Instant aNow) = 0;

  // Called when an attempt has shown to be harmless: its output, which began at
  // aBegun, is complete or long enough.
  virtual void OnHarmless(const RequestInfo& aRequest,
                          Instant aBegun,
                          Instant aNow) = 0;

  // Called with the suspicions of a peer.
  virtual void OnPeerReport(const std::vector<CrashSuspicion>& aSuspicions,
                            Instant aNow) = 0;

  // Returns the suspicions that changed here since the last call, for the
  // peers. Changes that a peer reported are not included.
  virtual std::vector<CrashSuspicion> TakeChanges() = 0;

  // The strongest suspicions and those that were disproved lately, for the
  // digest. The number is bounded.
  [[nodiscard]] virtual std::vector<CrashSuspicion> Strongest(
    Instant aNow) const = 0;

  // Number of suspicions for which requests are held back.
  [[nodiscard]] virtual std::size_t HeldCount(Instant aNow) const = 0;
};

// Intersects the traits of requests that ran at crashes. A set of traits is
// held back after several crashes in a row, each of an attempt that was sent
// after the crash before was known, and without a harmless request that has all
// of these traits in between. So a part of a prompt that crashes engines is
// told from the parts that it comes with, and backend servers that fail
// together for another reason count once.
class TraitCrashCorrelator : public CrashCorrelator
{
public:
  struct Options
  {
    // Different for each process; spreads the trials.
    std::uint64_t seed = 1;
    // Crashes after which traits are held back; more of them if a request with
    // these traits was harmless before.
    std::uint32_t crashesToHold = 3;
    std::uint32_t crashesToHoldAgain = 5;
    // Crashes are not counted against traits that were shown to be harmless
    // within this time.
    Duration proofValidFor = std::chrono::seconds(2);
    // The time from the last crash or trial until the next trial; doubles with
    // each further crash.
    Duration trialAfter = std::chrono::seconds(10);
    Duration maxTrialAfter = std::chrono::minutes(10);
    // Records that did not change for this long are forgotten, unless requests
    // are held back because of them.
    Duration suspicionTime = std::chrono::minutes(5);
    // Requests are held back for this long after the last crash at most.
    Duration holdTime = std::chrono::minutes(60);
    // Maximum number of sets of traits that are remembered.
    std::size_t maxRecords = 512;
    // Maximum number of suspicions in a digest.
    std::size_t maxReported = 4;
  };

  TraitCrashCorrelator() = default;
  explicit TraitCrashCorrelator(Options aOptions);

  [[nodiscard]] CrashDecision Decide(const RequestInfo& aRequest,
                                     Instant aNow) const override;
  [[nodiscard]] bool HoldsAny(Instant aNow) const override;
  void OnTrial(const RequestInfo& aRequest, Instant aNow) override;
  void OnCrash(const RequestInfo& aRequest,
               Instant aSent,
               Instant aNow) override;
  void OnHarmless(const RequestInfo& aRequest,
                  Instant aBegun,
                  Instant aNow) override;
  void OnPeerReport(const std::vector<CrashSuspicion>& aSuspicions,
                    Instant aNow) override;
  std::vector<CrashSuspicion> TakeChanges() override;
  [[nodiscard]] std::vector<CrashSuspicion> Strongest(
    Instant aNow) const override;
  [[nodiscard]] std::size_t HeldCount(Instant aNow) const override;

private:
  // What is known of a set of traits; without crashes it was only shown to be
  // harmless.
  struct Record
  {
    CrashSuspicion suspicion;
    Instant firstCrash = Instant::min();
    Instant lastCrash = Instant::min();
    Instant lastTrial = Instant::min();
    // When a request with all of the traits was last harmless.
    Instant lastProof = Instant::min();
    // The last change of any kind.
    Instant changed{};
  };
  using Records = std::map<CrashTraits, Record>;

  [[nodiscard]] bool IsHeld(const Record& aRecord, Instant aNow) const;
  [[nodiscard]] Duration TrialWait(const Record& aRecord, Instant aNow) const;
  // Whether a request with all of the traits was harmless after aSince.
  [[nodiscard]] bool WasHarmless(const CrashTraits& aTraits,
                                 Instant aSince) const;
  // The strongest record that holds back a request with the traits, or null.
  [[nodiscard]] const Record* FindHolder(const CrashTraits& aTraits,
                                         Instant aNow) const;
  // Number of crashes of other sets that also count against the traits.
  [[nodiscard]] std::uint32_t InheritedCrashes(const CrashTraits& aTraits,
                                               Instant aSent) const;
  void CountCrash(const CrashTraits& aTraits, Instant aSent, Instant aNow);
  Record& Insert(const CrashTraits& aTraits, Instant aNow);
  void Forget(Instant aNow);

  Options mOptions;
  Records mRecords;
  std::set<CrashTraits> mChanged;
};

// Holds back no requests.
class NoCrashCorrelator : public CrashCorrelator
{
public:
  [[nodiscard]] CrashDecision Decide(const RequestInfo& aRequest,
                                     Instant aNow) const override;
  [[nodiscard]] bool HoldsAny(Instant aNow) const override;
  void OnTrial(const RequestInfo& aRequest, Instant aNow) override;
  void OnCrash(const RequestInfo& aRequest,
               Instant aSent,
               Instant aNow) override;
  void OnHarmless(const RequestInfo& aRequest,
                  Instant aBegun,
                  Instant aNow) override;
  void OnPeerReport(const std::vector<CrashSuspicion>& aSuspicions,
                    Instant aNow) override;
  std::vector<CrashSuspicion> TakeChanges() override;
  [[nodiscard]] std::vector<CrashSuspicion> Strongest(
    Instant aNow) const override;
  [[nodiscard]] std::size_t HeldCount(Instant aNow) const override;
};

} // namespace firefly::policy
