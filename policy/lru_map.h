#pragma once

// A map by hash that evicts the least recently used entry when it is full.

#include <cstdint>
#include <list>
#include <unordered_map>

namespace firefly::policy {

template<typename Value>
class LruMap
{
public:
  // aMaxEntries must be at least 1.
  explicit LruMap(std::size_t aMaxEntries)
    : mMaxEntries(aMaxEntries)
  {
  }

  // Returns the key's value, default-constructed if the key is new, and makes
  // it the most recently used entry.
  Value& GetOrInsert(std::uint64_t aKey)
  {
    const auto [it, isNew] = mEntries.try_emplace(aKey);
    auto& entry = it->second;
    if (!isNew) {
      mOrder.splice(mOrder.begin(), mOrder, entry.position);
      return entry.value;
    }
    mOrder.push_front(aKey);
    entry.position = mOrder.begin();
    if (mOrder.size() > mMaxEntries) {
      mEntries.erase(mOrder.back());
      mOrder.pop_back();
    }
    return entry.value;
  }

  // Returns null if the key is unknown. Does not count as a use of the entry.
  [[nodiscard]] const Value* Find(std::uint64_t aKey) const
  {
    const auto it = mEntries.find(aKey);
    return it == mEntries.end() ? nullptr : &it->second.value;
  }
  [[nodiscard]] Value* Find(std::uint64_t aKey)
  {
    const auto it = mEntries.find(aKey);
    return it == mEntries.end() ? nullptr : &it->second.value;
  }

private:
  struct Entry
  {
    Value value;
    std::list<std::uint64_t>::iterator position;
  };

  std::size_t mMaxEntries;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  // Most recently used key first.
  std::list<std::uint64_t> mOrder;
};

} // namespace firefly::policy
