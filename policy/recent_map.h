#pragma once

// A map by hash that forgets what was used least recently.

#include <cstdint>
#include <list>
#include <unordered_map>

namespace firefly::policy {

template<typename Value>
class RecentMap
{
public:
  // Keeps at most so many keys, of which there is at least one.
  explicit RecentMap(std::size_t aMost)
    : mMost(aMost)
  {
  }

  // The key's value, a fresh one if it is new. It is now the last used one.
  Value& Use(std::uint64_t aKey)
  {
    const auto [it, isNew] = mEntries.try_emplace(aKey);
    auto& entry = it->second;
    if (!isNew) {
      mOrder.splice(mOrder.begin(), mOrder, entry.place);
      return entry.value;
    }
    mOrder.push_front(aKey);
    entry.place = mOrder.begin();
    if (mOrder.size() > mMost) {
      mEntries.erase(mOrder.back());
      mOrder.pop_back();
    }
    return entry.value;
  }

  // Null if the key is not known; says nothing of its use.
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
    std::list<std::uint64_t>::iterator place;
  };

  std::size_t mMost;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  // The last used ones first.
  std::list<std::uint64_t> mOrder;
};

} // namespace firefly::policy
