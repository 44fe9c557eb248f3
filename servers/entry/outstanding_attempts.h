#pragma once

// This entry's attempts at each backend server, whatever policy chose it. A
// planned change waits for them, so that the count must never be short.

#include <cstdint>
#include <map>
#include <memory>

#include "core/ids.h"

namespace firefly {

class OutstandingAttempts
{
public:
  using Counts = std::map<BackendId, std::uint64_t>;

  // Counts one attempt for as long as it lives.
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

  // An attempt begins, before its first byte is sent.
  [[nodiscard]] Token Begin(const BackendId& aBackend);

  // Those with attempts.
  [[nodiscard]] const Counts& Running() const { return *mCounts; }

private:
  std::shared_ptr<Counts> mCounts = std::make_shared<Counts>();
};

} // namespace firefly
