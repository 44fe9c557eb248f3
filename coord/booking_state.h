#pragma once

// The state of one booking partition: which attempt may run for each key. The
// first intent of a key, in log order, that was not abandoned holds the permit,
// regardless of which ledger wrote it. An attempt with an outcome takes
// precedence, because it ran.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coord/stream_fold.h"
#include "core/ids.h"

namespace firefly::coord {

// A hash of a booking's request. Reusing a key with a different digest is an
// error.
using RequestDigest = StrongType<struct RequestDigestTag, std::uint64_t>;

// What the service answered.
struct BookingOutcome
{
  std::uint32_t status = 0; // the service's HTTP status
  std::string answer{};     // truncated to the ledger's limit
  bool truncated = false;

  bool operator==(const BookingOutcome&) const = default;
};

// The permit holder of a key and its outcome.
struct BookingView
{
  AttemptId attempt{}; // the attempt that holds the permit
  RequestDigest digest{};
  LogOffset offset{}; // of its intent
  std::optional<BookingOutcome> outcome{};
};

// Folds the records of one partition. A key is dropped one window after its
// last record was read here: at most one attempt of a key runs within that
// window. The window must be shorter than the log's retention time and longer
// than the longest call.
class BookingState : public Fold
{
public:
  struct Options
  {
    Duration window = std::chrono::minutes(10);
  };

  BookingState(const Options& aOptions, Executor& aExecutor);

  void Reset() override;
  bool Apply(LogOffset aOffset, const Envelope& aRecord) override;
  [[nodiscard]] bool NeedsHistory() const override { return false; }
  [[nodiscard]] std::string Save() const override { return {}; }
  bool Load(std::string_view) override { return false; }

  // The key's permit holder, or nothing if the key is free.
  [[nodiscard]] std::optional<BookingView> Find(const BookingKey& aKey) const;

  // Drops the keys whose window has passed.
  void Expire();

  [[nodiscard]] std::size_t Keys() const { return mKeys.size(); }
  // The estimated memory use of all keys, in bytes.
  [[nodiscard]] std::size_t Bytes() const { return mBytes; }
  // The number of outcomes recorded for abandoned attempts. Each one is a
  // violation of the protocol.
  [[nodiscard]] std::uint64_t Violations() const { return mViolations; }

  // Encode the bodies of the stream's records.
  static std::string IntentBody(const BookingKey& aKey,
                                const AttemptId& aAttempt,
                                RequestDigest aDigest,
                                WallTime aTime);
  static std::string AbandonBody(const BookingKey& aKey,
                                 const AttemptId& aAttempt);
  static std::string OutcomeBody(const BookingKey& aKey,
                                 const AttemptId& aAttempt,
                                 const BookingOutcome& aOutcome);

private:
  struct Attempt
  {
    AttemptId id{};
    RequestDigest digest{};
    LogOffset offset{};
    std::optional<BookingOutcome> outcome{};
    bool abandoned = false;
  };
  struct Entry
  {
    std::vector<Attempt> attempts; // in log order
    Instant touched{};             // when the newest record was read
  };
  // A key to be checked one window after it was touched.
  struct ExpiryCheck
  {
    Instant at;
    const std::string* key; // owned by the map
  };

  static bool ApplyIntent(Entry& aEntry,
                          LogOffset aOffset,
                          const std::string& aAttempt,
                          RequestDigest aDigest);
  static bool ApplyAbandon(Entry& aEntry, const std::string& aAttempt);
  bool ApplyOutcome(Entry& aEntry,
                    const std::string& aAttempt,
                    BookingOutcome aOutcome);
  Entry& Touch(const std::string& aKey);
  static Attempt* FindAttempt(Entry& aEntry, const std::string& aAttempt);
  static const Attempt* Holder(const Entry& aEntry);
  static std::size_t EstimateBytes(const std::string& aKey,
                                   const Entry& aEntry);

  Options mOptions;
  Executor& mExecutor;
  std::unordered_map<std::string, Entry> mKeys;
  std::deque<ExpiryCheck> mExpiryChecks; // ordered by time
  std::size_t mBytes = 0;
  std::uint64_t mViolations = 0;
};

} // namespace firefly::coord
