#include "servers/http/connection_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace firefly {

ConnectionGate::ConnectionGate(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
ConnectionGate::AdmitConnection()
{
  if (mEntries.size() - mClosing < mOptions.maxConnections) {
    return true;
  }
  CountRefusal(RefusalCause::kTooManyConnections);
  const auto idlest = std::ranges::find_if(
    mIdle, [this](Key aKey) { return !mEntries.at(aKey).isClosing; });
  if (idlest == mIdle.end()) {
    return false;
  }
  auto& entry = mEntries.at(*idlest);
  MarkClosing(entry);
  entry.connection->Close();
  return true;
}

ConnectionGate::Key
ConnectionGate::Add(GatedConnection& aConnection, Instant aNow)
{
  const auto key = mNextKey++;
  auto& entry = mEntries[key];
  entry.connection = &aConnection;
  entry.lastProgress = aNow;
  entry.idle = mIdle.insert(mIdle.end(), key);
  return key;
}

void
ConnectionGate::Remove(Key aKey)
{
  auto& entry = mEntries.at(aKey);
  if (entry.isClosing) {
    mClosing--;
    mClosingBytes -= entry.held;
  }
  if (entry.idle != mIdle.end()) {
    mIdle.erase(entry.idle);
  }
  if (entry.wanted > 0) {
    mWaiting.remove(aKey);
  }
  const auto held = entry.held;
  mEntries.erase(aKey);
  Release(held);
}

bool
ConnectionGate::Fits(const Entry& aEntry, std::size_t aBytes) const
{
  const auto others = mUsed - aEntry.held;
  const auto limit = aBytes <= mOptions.smallRequestBytes
                       ? mOptions.memoryBytes
                       : mOptions.memoryBytes / 4 * 3;
  return others == 0 || others + aBytes <= limit;
}

void
ConnectionGate::SetHeld(Entry& aEntry, std::size_t aBytes)
{
  mUsed = mUsed - aEntry.held + aBytes;
  if (aEntry.isClosing) {
    mClosingBytes = mClosingBytes - aEntry.held + aBytes;
  }
  aEntry.held = aBytes;
}

ConnectionGate::Admission
ConnectionGate::Reserve(Key aKey, std::size_t aBytes, Instant aNow)
{
  auto& entry = mEntries.at(aKey);
  if (aBytes <= entry.held || (!mIsStopped && Fits(entry, aBytes))) {
    SetHeld(entry, std::max(aBytes, entry.held));
    return Admission::kGranted;
  }
  entry.wanted = aBytes;
  entry.waitingSince = aNow;
  mWaiting.push_back(aKey);
  return Admission::kWaits;
}

void
ConnectionGate::MoveToBack(Entry& aEntry, Key aKey, Instant aNow)
{
  aEntry.lastProgress = aNow;
  if (aEntry.idle == mIdle.end()) {
    aEntry.idle = mIdle.insert(mIdle.end(), aKey);
  } else {
    mIdle.splice(mIdle.end(), mIdle, aEntry.idle);
  }
}

void
ConnectionGate::NoteProgress(Key aKey, Instant aNow)
{
  MoveToBack(mEntries.at(aKey), aKey, aNow);
}

std::size_t
ConnectionGate::StartRequest(Key aKey)
{
  auto& entry = mEntries.at(aKey);
  if (entry.idle != mIdle.end()) {
    mIdle.erase(entry.idle);
    entry.idle = mIdle.end();
  }
  if (entry.isClosing) {
    mClosingBytes -= entry.held;
  }
  return std::exchange(entry.held, 0);
}

void
ConnectionGate::StartReading(Key aKey, Instant aNow)
{
  MoveToBack(mEntries.at(aKey), aKey, aNow);
}

void
ConnectionGate::Release(std::size_t aBytes)
{
  mUsed -= aBytes;
  if (aBytes > 0) {
    GrantWaiting();
  }
}

void
ConnectionGate::GrantWaiting()
{
  for (auto it = mWaiting.begin(); !mIsStopped && it != mWaiting.end();) {
    auto& entry = mEntries.at(*it);
    if (!Fits(entry, entry.wanted)) {
      ++it;
      continue;
    }
    it = mWaiting.erase(it);
    SetHeld(entry, std::exchange(entry.wanted, 0));
    entry.connection->OnRoom();
  }
}

void
ConnectionGate::MarkClosing(Entry& aEntry)
{
  aEntry.isClosing = true;
  mClosing++;
  mClosingBytes += aEntry.held;
}

// Closes only as many as the first request that waits needs.
void
ConnectionGate::EvictStalled(Instant aNow)
{
  const auto& first = mEntries.at(mWaiting.front());
  for (const auto key : mIdle) {
    auto& entry = mEntries.at(key);
    if (aNow - entry.lastProgress < mOptions.stallTime ||
        mUsed - mClosingBytes - first.held + first.wanted <=
          mOptions.memoryBytes / 4 * 3) {
      return;
    }
    if (entry.held > 0 && entry.wanted == 0 && !entry.isClosing) {
      MarkClosing(entry);
      CountRefusal(RefusalCause::kStalled);
      entry.connection->Refuse(RefusalCause::kStalled);
    }
  }
}

void
ConnectionGate::Check(Instant aNow)
{
  const std::vector<Key> waiting(mWaiting.begin(), mWaiting.end());
  for (const auto key : waiting) {
    auto& entry = mEntries.at(key);
    if (!entry.isClosing && aNow - entry.waitingSince >= mOptions.maxWait) {
      mWaiting.remove(key);
      entry.wanted = 0;
      MarkClosing(entry);
      CountRefusal(RefusalCause::kNoMemory);
      entry.connection->Refuse(RefusalCause::kNoMemory);
    }
  }
  if (!mWaiting.empty()) {
    EvictStalled(aNow);
  }
}

void
ConnectionGate::Stop()
{
  mIsStopped = true;
  for (const auto key : std::exchange(mWaiting, {})) {
    auto& entry = mEntries.at(key);
    entry.wanted = 0;
    if (!entry.isClosing) {
      MarkClosing(entry);
      entry.connection->Close();
    }
  }
}

void
ConnectionGate::CountRefusal(RefusalCause aCause)
{
  mRefusals.at(static_cast<std::size_t>(aCause))++;
  if (mOptions.onRefusal) {
    mOptions.onRefusal(aCause);
  }
}

} // namespace firefly
