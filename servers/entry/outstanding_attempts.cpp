#include "servers/entry/outstanding_attempts.h"

#include <utility>

namespace firefly {

OutstandingAttempts::Token::Token(std::shared_ptr<Counts> aCounts,
                                  BackendId aBackend)
  : mCounts(std::move(aCounts))
  , mBackend(std::move(aBackend))
{
  ++(*mCounts)[mBackend];
}

OutstandingAttempts::Token&
OutstandingAttempts::Token::operator=(Token&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mCounts = std::move(aOther.mCounts);
    mBackend = std::move(aOther.mBackend);
  }
  return *this;
}

OutstandingAttempts::Token::~Token()
{
  Release();
}

void
OutstandingAttempts::Token::Release()
{
  if (!mCounts) {
    return;
  }
  const auto it = mCounts->find(mBackend);
  if (--it->second == 0) {
    mCounts->erase(it);
  }
  mCounts.reset();
}

OutstandingAttempts::Token
OutstandingAttempts::Begin(const BackendId& aBackend)
{
  return { mCounts, aBackend };
}

} // namespace firefly
