#include "coord/stream_fold.h"

#include <algorithm>
#include <utility>

#include "coord/codec.h"

namespace firefly::coord {

namespace {

// The state after all records before `next` were folded.
struct Checkpoint
{
  LogOffset next;
  std::string state;
};

std::string
EncodeCheckpoint(const Checkpoint& aCheckpoint)
{
  return FieldWriter()
    .Number(aCheckpoint.next.Value())
    .Text(aCheckpoint.state)
    .Take();
}

std::optional<Checkpoint>
DecodeCheckpoint(std::string_view aBody)
{
  FieldReader reader(aBody);
  Checkpoint checkpoint;
  checkpoint.next = LogOffset(reader.Number());
  checkpoint.state = reader.Text();
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return checkpoint;
}

} // namespace

StreamFold::StreamFold(StreamReader::Options aOptions,
                       Executor& aExecutor,
                       LogClient& aLog,
                       Fold& aFold)
  : mExecutor(aExecutor)
  , mFold(aFold)
  , mReader(std::move(aOptions), aExecutor, aLog, *this)
{
}

void
StreamFold::AddObserver(FoldObserver& aObserver)
{
  mObservers.push_back(&aObserver);
}

void
StreamFold::RemoveObserver(FoldObserver& aObserver)
{
  std::erase(mObservers, &aObserver);
}

StreamFold::Status
StreamFold::State() const
{
  if (!mReader.CaughtUp()) {
    return Status::kReading;
  }
  return mHasBase ? Status::kReady : Status::kLost;
}

std::string
StreamFold::MakeCheckpoint() const
{
  return EncodeCheckpoint(
    { .next = mReader.Position(), .state = mFold.Save() });
}

std::optional<std::string>
StreamFold::MakeCheckpointFromBefore() const
{
  if (!mStateBefore) {
    return std::nullopt;
  }
  return EncodeCheckpoint({ .next = mFirst, .state = *mStateBefore });
}

void
StreamFold::OnRestart(LogOffset aFirst)
{
  if (mHasBase) {
    mStateBefore = mFold.Save();
  }
  mFirst = aFirst;
  mHasBase = PositionOf(aFirst) == 0 || !mFold.NeedsHistory();
  mBufferedRecords.clear();
  mLastCheckpoint = mExecutor.Now();
  mFold.Reset();
}

void
StreamFold::OnRecord(const LogRecord& aRecord)
{
  auto record = DecodeEnvelope(aRecord.payload);
  if (!record) {
    return;
  }
  if (record->kind == RecordKind::kCheckpoint) {
    OnCheckpoint(*record);
  }
  if (!mHasBase && mFold.BeginsWith(*record, mFirst, mBufferedRecords)) {
    mHasBase = true;
    mBufferedRecords.clear();
  }
  if (mHasBase) {
    ApplyOne(aRecord.offset, *record);
    return;
  }
  const auto observers = mObservers;
  for (auto* it : observers) {
    it->OnUndecided(aRecord.offset, *record);
  }
  mBufferedRecords.push_back(
    { .offset = aRecord.offset, .record = std::move(*record) });
}

void
StreamFold::OnCheckpoint(const Envelope& aRecord)
{
  mLastCheckpoint = mExecutor.Now();
  if (mHasBase) {
    return;
  }
  const auto checkpoint = DecodeCheckpoint(aRecord.body);
  if (!checkpoint || checkpoint->next < mFirst) {
    return;
  }
  if (!mFold.Load(checkpoint->state)) {
    mFold.Reset();
    return;
  }
  mHasBase = true;
  const auto held = std::exchange(mBufferedRecords, {});
  for (const auto& it : held) {
    if (it.offset >= checkpoint->next) {
      ApplyOne(it.offset, it.record);
    }
  }
}

void
StreamFold::ApplyOne(LogOffset aOffset, const Envelope& aRecord)
{
  const bool accepted =
    aRecord.kind == RecordKind::kCheckpoint || mFold.Apply(aOffset, aRecord);
  const auto observers = mObservers;
  for (auto* it : observers) {
    it->OnApplied(aRecord.id, aOffset, accepted);
  }
}

void
StreamFold::OnCaughtUp(LogOffset)
{
  const auto observers = mObservers;
  for (auto* it : observers) {
    it->OnCaughtUp();
  }
}

} // namespace firefly::coord
