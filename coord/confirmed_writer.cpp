#include "coord/confirmed_writer.h"

#include <algorithm>
#include <utility>

namespace firefly::coord {

ConfirmedWriter::ConfirmedWriter(LogWriter::Options aOptions,
                                 Executor& aExecutor,
                                 LogClient& aLog,
                                 StreamFold& aFold)
  : mWriterId(aOptions.writer)
  , mExecutor(aExecutor)
  , mFold(aFold)
  , mWriter(std::move(aOptions), aExecutor, aLog)
{
  mFold.AddObserver(*this);
}

ConfirmedWriter::~ConfirmedWriter()
{
  mFold.RemoveObserver(*this);
}

RecordId
ConfirmedWriter::Append(RecordKind aKind,
                        std::string aBody,
                        Instant aDeadline,
                        Callback aCallback)
{
  // The writer never runs the callback inside Append(), so the sequence number
  // is set before the callback reads it.
  auto sequence = std::make_shared<std::uint64_t>(0);
  auto id = mWriter.Append(
    aKind,
    std::move(aBody),
    aDeadline,
    [this, sequence](const tl::expected<LogOffset, WriteError>& aResult) {
      OnWritten(*sequence, aResult);
    });
  *sequence = id.sequence;
  auto timer = mExecutor.RunAfter(
    std::max(aDeadline - mExecutor.Now(), Duration::zero()), [this, id] {
      mWriter.GiveUpLate();
      Finish(id.sequence,
             tl::unexpected(WriteError{ WriteErrorKind::kUnknown,
                                        "the record was not read back before "
                                        "its deadline" }));
    });
  mPending.emplace(
    id.sequence,
    Pending{ .callback = std::move(aCallback), .timer = std::move(timer) });
  return id;
}

void
ConfirmedWriter::OnWritten(std::uint64_t aSequence,
                           const tl::expected<LogOffset, WriteError>& aResult)
{
  if (aResult) {
    mFold.ReadNow();
    return;
  }
  Finish(aSequence, tl::unexpected(aResult.error()));
}

void
ConfirmedWriter::OnApplied(const RecordId& aId,
                           LogOffset aOffset,
                           bool aAccepted)
{
  if (aId.writer != mWriterId) {
    return;
  }
  Finish(aId.sequence,
         Confirmation{ .offset = aOffset, .accepted = aAccepted });
}

void
ConfirmedWriter::Finish(std::uint64_t aSequence,
                        tl::expected<Confirmation, WriteError> aResult)
{
  auto found = mPending.extract(aSequence);
  if (found.empty()) {
    return;
  }
  found.mapped().callback(std::move(aResult));
}

} // namespace firefly::coord
