#pragma once

// The reports of the stream "usage", as each reader of the stream sees them. A
// report is recorded there before it is sent. The record of a window is valid
// if the window is newer than that of all valid records before it; any other
// record, such as one of a former holder that arrived late, has no effect. So
// each window has at most one content, whoever wrote to the stream.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "policy/usage/usage_report.h"

namespace firefly::policy {

// The offset of a record in the stream.
using JournalOffset = StrongType<struct JournalOffsetTag, std::uint64_t>;

class UsageJournal
{
public:
  struct Record
  {
    UsageReport report;
    // The oldest valid record whose report may not have arrived when this one
    // was written; this record itself if there is none.
    std::optional<JournalOffset> oldestUnanswered{};
  };

  // Processes the next record of the stream. Returns whether it is valid.
  bool Apply(JournalOffset aOffset, const Record& aRecord);

  // The newest window with a valid record.
  [[nodiscard]] std::optional<UsageWindow> Newest() const { return mNewest; }

  // The oldest report that may not have arrived, or null.
  [[nodiscard]] const UsageReport* OldestUnanswered() const;
  [[nodiscard]] std::optional<JournalOffset> OldestUnansweredOffset() const;
  [[nodiscard]] std::size_t Unanswered() const { return mUnanswered.size(); }
  // Number of counts in these reports.
  [[nodiscard]] std::size_t UnansweredCounts() const { return mCounts; }

  // The oldest report has arrived or is given up.
  void Answered();

  // Where a process that begins with the last records of the stream has to
  // start, so that it resends all reports that may not have arrived.
  [[nodiscard]] std::optional<JournalOffset> StartOfUnanswered() const
  {
    return mStart;
  }

private:
  struct Entry
  {
    JournalOffset offset;
    UsageReport report;
  };

  std::optional<UsageWindow> mNewest;
  std::optional<JournalOffset> mStart;
  std::deque<Entry> mUnanswered;
  std::size_t mCounts = 0;
};

} // namespace firefly::policy
