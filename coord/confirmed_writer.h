#pragma once

// Appends records and reads them back, to report whether the fold accepted
// them.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "coord/stream_fold.h"
#include "coord/writer.h"

namespace firefly::coord {

// The result for a record that was read back.
struct Confirmation
{
  LogOffset offset{};
  bool accepted = false; // whether the fold's rules accepted the record
};

// Writes to the stream that a fold reads.
class ConfirmedWriter : private FoldObserver
{
public:
  using Callback = std::function<void(tl::expected<Confirmation, WriteError>)>;

  // The fold must outlive the writer and read the same stream.
  ConfirmedWriter(LogWriter::Options aOptions,
                  Executor& aExecutor,
                  LogClient& aLog,
                  StreamFold& aFold);
  ConfirmedWriter(const ConfirmedWriter&) = delete;
  ConfirmedWriter& operator=(const ConfirmedWriter&) = delete;
  ~ConfirmedWriter() override;

  // Appends the record. The callback runs once, at the deadline at the latest:
  // when the record was read back, when it is certain that it was not appended,
  // or with kUnknown. When it reports a record that was read back, the fold has
  // applied that record and none after it.
  RecordId Append(RecordKind aKind,
                  std::string aBody,
                  Instant aDeadline,
                  Callback aCallback);

  [[nodiscard]] const LogWriter& Writer() const { return mWriter; }

private:
  struct Pending
  {
    Callback callback;
    Timer timer;
  };

  void OnApplied(const RecordId& aId,
                 LogOffset aOffset,
                 bool aAccepted) override;
  void OnWritten(std::uint64_t aSequence,
                 const tl::expected<LogOffset, WriteError>& aResult);
  void Finish(std::uint64_t aSequence,
              tl::expected<Confirmation, WriteError> aResult);

  WriterId mWriterId;
  Executor& mExecutor;
  StreamFold& mFold;
  std::map<std::uint64_t, Pending> mPending; // by sequence
  LogWriter mWriter;
};

} // namespace firefly::coord
