#include "policy/usage/usage_journal.h"

namespace firefly::policy {

bool
UsageJournal::Apply(JournalOffset aOffset, const Record& aRecord)
{
  if (mNewest && aRecord.report.window <= *mNewest) {
    return false;
  }
  mNewest = aRecord.report.window;
  mStart = aRecord.oldestUnanswered.value_or(aOffset);
  // The writer knew that the reports before were answered.
  while (!mUnanswered.empty() && mUnanswered.front().offset < *mStart) {
    Answered();
  }
  mCounts += aRecord.report.counts.size();
  mUnanswered.push_back({ .offset = aOffset, .report = aRecord.report });
  return true;
}

const UsageReport*
UsageJournal::OldestUnanswered() const
{
  return mUnanswered.empty() ? nullptr : &mUnanswered.front().report;
}

std::optional<JournalOffset>
UsageJournal::OldestUnansweredOffset() const
{
  return mUnanswered.empty() ? std::nullopt
                             : std::optional(mUnanswered.front().offset);
}

void
UsageJournal::Answered()
{
  mCounts -= mUnanswered.front().report.counts.size();
  mUnanswered.pop_front();
}

} // namespace firefly::policy
