#include "coord/booking_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coord/codec.h"

namespace firefly::coord {

namespace {

// Zero stands for an unknown digest.
constexpr RequestDigest kNoDigest{};

// The estimated memory overhead of a key in the containers, in bytes, excluding
// its strings.
constexpr std::size_t kKeyOverhead = 160;

} // namespace

BookingState::BookingState(const Options& aOptions, Executor& aExecutor)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
{
}

void
BookingState::Reset()
{
  mKeys.clear();
  mExpiryChecks.clear();
  mBytes = 0;
}

bool
BookingState::Apply(LogOffset aOffset, const Envelope& aRecord)
{
  FieldReader reader(aRecord.body);
  const auto key = reader.Text();
  const auto attempt = reader.Text();
  if (!reader.Ok()) {
    return false;
  }
  auto& entry = Touch(key);
  const auto before = EstimateBytes(key, entry);
  bool accepted = false;
  if (aRecord.kind == RecordKind::kBookingIntent) {
    const RequestDigest digest(reader.Number());
    accepted = reader.Ok() && ApplyIntent(entry, aOffset, attempt, digest);
  } else if (aRecord.kind == RecordKind::kBookingAbandon) {
    accepted = ApplyAbandon(entry, attempt);
  } else if (aRecord.kind == RecordKind::kBookingOutcome) {
    BookingOutcome outcome;
    outcome.status = static_cast<std::uint32_t>(reader.Number());
    outcome.answer = reader.Text();
    outcome.truncated = reader.Flag();
    accepted = reader.Ok() && ApplyOutcome(entry, attempt, std::move(outcome));
  }
  mBytes += EstimateBytes(key, entry) - before;
  return accepted;
}

bool
BookingState::ApplyIntent(Entry& aEntry,
                          LogOffset aOffset,
                          const std::string& aAttempt,
                          RequestDigest aDigest)
{
  if (FindAttempt(aEntry, aAttempt) != nullptr) {
    return false; // already abandoned, or a duplicate
  }
  const bool first = Holder(aEntry) == nullptr;
  aEntry.attempts.push_back(
    { .id = AttemptId(aAttempt), .digest = aDigest, .offset = aOffset });
  return first;
}

bool
BookingState::ApplyAbandon(Entry& aEntry, const std::string& aAttempt)
{
  auto* attempt = FindAttempt(aEntry, aAttempt);
  if (attempt == nullptr) {
    aEntry.attempts.push_back(
      { .id = AttemptId(aAttempt), .digest = kNoDigest, .offset = {} });
    attempt = &aEntry.attempts.back();
  }
  if (attempt->outcome || attempt->abandoned) {
    return false;
  }
  attempt->abandoned = true;
  return true;
}

bool
BookingState::ApplyOutcome(Entry& aEntry,
                           const std::string& aAttempt,
                           BookingOutcome aOutcome)
{
  auto* attempt = FindAttempt(aEntry, aAttempt);
  if (attempt == nullptr) {
    aEntry.attempts.push_back(
      { .id = AttemptId(aAttempt), .digest = kNoDigest, .offset = {} });
    attempt = &aEntry.attempts.back();
  }
  if (attempt->outcome) {
    return false;
  }
  if (attempt->abandoned) {
    ++mViolations;
    attempt->abandoned = false; // an outcome proves that the attempt ran
  }
  attempt->outcome = std::move(aOutcome);
  return true;
}

std::optional<BookingView>
BookingState::Find(const BookingKey& aKey) const
{
  const auto it = mKeys.find(aKey.Value());
  if (it == mKeys.end()) {
    return std::nullopt;
  }
  const auto* holder = Holder(it->second);
  if (holder == nullptr) {
    return std::nullopt;
  }
  return BookingView{ .attempt = holder->id,
                      .digest = holder->digest,
                      .offset = holder->offset,
                      .outcome = holder->outcome };
}

void
BookingState::Expire()
{
  const auto over = mExecutor.Now() - mOptions.window;
  while (!mExpiryChecks.empty() && mExpiryChecks.front().at <= over) {
    const auto* key = mExpiryChecks.front().key;
    mExpiryChecks.pop_front();
    const auto it = mKeys.find(*key);
    if (it->second.touched <= over) {
      mBytes -= EstimateBytes(it->first, it->second);
      mKeys.erase(it);
      continue;
    }
    mExpiryChecks.push_back({ .at = it->second.touched, .key = key });
  }
}

BookingState::Entry&
BookingState::Touch(const std::string& aKey)
{
  const auto now = mExecutor.Now();
  const auto [it, added] = mKeys.try_emplace(aKey);
  it->second.touched = now;
  if (added) {
    mExpiryChecks.push_back({ .at = now, .key = &it->first });
  }
  return it->second;
}

BookingState::Attempt*
BookingState::FindAttempt(Entry& aEntry, const std::string& aAttempt)
{
  const auto it = std::find_if(
    aEntry.attempts.begin(), aEntry.attempts.end(), [&](const Attempt& aIt) {
      return aIt.id.Value() == aAttempt;
    });
  return it == aEntry.attempts.end() ? nullptr : &*it;
}

// The first attempt with an outcome, or else the first that was not abandoned.
const BookingState::Attempt*
BookingState::Holder(const Entry& aEntry)
{
  const Attempt* holder = nullptr;
  for (const auto& it : aEntry.attempts) {
    if (it.outcome) {
      return &it;
    }
    if (holder == nullptr && !it.abandoned) {
      holder = &it;
    }
  }
  return holder;
}

std::size_t
BookingState::EstimateBytes(const std::string& aKey, const Entry& aEntry)
{
  if (aEntry.attempts.empty()) {
    return 0;
  }
  std::size_t bytes = kKeyOverhead + aKey.size();
  for (const auto& it : aEntry.attempts) {
    bytes += sizeof(Attempt) + it.id.Value().size();
    bytes += it.outcome ? it.outcome->answer.size() : 0;
  }
  return bytes;
}

std::string
BookingState::IntentBody(const BookingKey& aKey,
                         const AttemptId& aAttempt,
                         RequestDigest aDigest,
                         WallTime aTime)
{
  return FieldWriter()
    .Text(aKey.Value())
    .Text(aAttempt.Value())
    .Number(aDigest.Value())
    .Signed(aTime.time_since_epoch().count())
    .Take();
}

std::string
BookingState::AbandonBody(const BookingKey& aKey, const AttemptId& aAttempt)
{
  return FieldWriter().Text(aKey.Value()).Text(aAttempt.Value()).Take();
}

std::string
BookingState::OutcomeBody(const BookingKey& aKey,
                          const AttemptId& aAttempt,
                          const BookingOutcome& aOutcome)
{
  return FieldWriter()
    .Text(aKey.Value())
    .Text(aAttempt.Value())
    .Number(aOutcome.status)
    .Text(aOutcome.answer)
    .Flag(aOutcome.truncated)
    .Take();
}

} // namespace firefly::coord
