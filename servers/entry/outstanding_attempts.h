#pragma once

// Counts this entry's running attempts at each backend server, whichever policy
// chose it. A planned change of a backend server waits until the counts of
// all entries are zero, so a count must never be too low.

#include <cstdint>
#include <map>
#include <memory>

#include "core/ids.h"

namespace firefly {

class OutstandingAttempts
{
public:
  using Counts = std::map<BackendId, std::uint64_t>;

  // Counts one attempt for the token's lifetime.
  class Token
  {
  public:
    Token() = default;
    Token(std::shared_ptr<Counts> aCounts, BackendId aBackend);
    Token(Token&&) noexcept = default;
    Token& operator=(Token&& aOther) noexcept;
    Token(const Token&) = delete;
    Token& operator=(const Token&) = delete;
    ~Token();

  private:
    void Release();

    std::shared_ptr<Counts> mCounts;
    BackendId mBackend;
  };

  // Starts counting an attempt. Call it before the first byte is sent.
  [[nodiscard]] Token Begin(const BackendId& aBackend);

  // The backend servers that have running attempts.
  [[nodiscard]] const Counts& Running() const { return *mCounts; }

private:
  std::shared_ptr<Counts> mCounts = std::make_shared<Counts>();
};

} // namespace firefly
