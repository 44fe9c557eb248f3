#pragma once

// The backend servers as one process sees them; the entry and the steward keep
// it up to date as the plan and the host list change.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "policy/request_info.h"

namespace firefly::policy {

// A backend server's place in its FleetView; never reused for another id.
using BackendSlot = StrongType<struct BackendSlotTag, std::uint32_t>;

enum class BackendKind : std::uint8_t
{
  kEngine,
  kPlain,
};

// What an engine's batching is set for: large prompt chunks (prefill), many
// running outputs with small gaps (decode), or both (mixed).
enum class EngineRole : std::uint8_t
{
  kMixed,
  kPrefill,
  kDecode,
};

// The parts of a request's work that engines may share.
enum class WorkPhase : std::uint8_t
{
  // All of it, at one backend server.
  kWhole,
  // Reading the prompt, for another engine to go on from.
  kPrompt,
  // Making the output from a prompt that another engine read.
  kOutput,
};

enum class BackendState : std::uint8_t
{
  kOpen,
  // Running work ends, new work goes elsewhere.
  kDraining,
  kClosed,
};

// What a backend server can carry at its usual speed; an engine carries the
// prompt and the output rate at the same time.
struct BackendCapacity
{
  // Prompt tokens a second, prefix cache misses only.
  double prefillTokensPerSecond = 15000;
  // Output tokens a second over all running requests.
  double decodeTokensPerSecond = 1200;
  // Requests that run at once; for a plain service its concurrent calls.
  std::uint32_t slots = 32;
  // Between a running request's tokens when all slots are taken.
  double tokenGapSeconds = 0.028;
  // Tokens whose memory can be copied from another engine in a second; 0 if
  // engines can't copy.
  double copyTokensPerSecond = 0;

  // What a prompt and an output take of it, as seconds of all of it.
  [[nodiscard]] double SecondsOf(Tokens aPrompt, Tokens aOutput) const
  {
    return aPrompt.Value() / prefillTokensPerSecond +
           aOutput.Value() / decodeTokensPerSecond;
  }
};

// What an engine can carry in each role.
struct RoleCapacities
{
  BackendCapacity mixed;
  BackendCapacity prefill;
  BackendCapacity decode;

  // The capacity in that role.
  [[nodiscard]] const BackendCapacity& Of(EngineRole aRole) const;
};

// The part of the work as a word, such as "prompt".
std::string_view
ToString(WorkPhase aPhase);

// The role as a word, such as "prefill".
std::string_view
ToString(EngineRole aRole);

struct Backend
{
  BackendId id;
  DomainId domain;
  BackendKind kind = BackendKind::kEngine;
  EngineRole role = EngineRole::kMixed;
  BackendState state = BackendState::kOpen;
  // Models that an engine has loaded.
  std::vector<ModelId> models;
  // Services that a plain backend server answers.
  std::vector<ServiceId> services;
  BackendCapacity capacity;
  // An engine that only reads prompts; another one goes on from its memory.
  bool promptsOnly = false;

  // Whether it has what that part of the request's work needs, whatever its
  // state.
  [[nodiscard]] bool Serves(const RequestInfo& aRequest,
                            WorkPhase aPhase = WorkPhase::kWhole) const;
};

// A table of backend servers with stable slots.
class FleetView
{
public:
  // Adds the backend server, or replaces what was known of its id.
  BackendSlot Upsert(Backend aBackend);

  // Changes the state; false if the id is unknown.
  bool SetState(const BackendId& aId, BackendState aState);

  // Changes the role and what it can carry in it; false if the id is unknown.
  bool SetRole(const BackendId& aId,
               EngineRole aRole,
               const BackendCapacity& aCapacity);

  // Closes the backend server for good; its slot stays taken.
  bool Remove(const BackendId& aId);

  // The backend server of that id, or null.
  [[nodiscard]] const Backend* Find(const BackendId& aId) const;

  // The slot of that id; the view must know it.
  [[nodiscard]] BackendSlot SlotOf(const BackendId& aId) const;

  // The slot whose id has that hash (HashAt), if there is one.
  [[nodiscard]] std::optional<BackendSlot> SlotOfHash(
    std::uint64_t aHash) const;

  // The backend server in a slot of this view.
  [[nodiscard]] const Backend& At(BackendSlot aSlot) const
  {
    return mBackends[aSlot.Value()];
  }

  // The hash of the id in a slot, the same in all processes.
  [[nodiscard]] std::uint64_t HashAt(BackendSlot aSlot) const
  {
    return mHashes[aSlot.Value()];
  }

  // All backend servers in the order of their slots, closed ones included.
  [[nodiscard]] const std::vector<Backend>& All() const { return mBackends; }

private:
  Backend* FindMutable(const BackendId& aId);

  std::vector<Backend> mBackends;
  std::vector<std::uint64_t> mHashes;
  std::unordered_map<BackendId, BackendSlot> mSlots;
  std::unordered_map<std::uint64_t, BackendSlot> mSlotsByHash;
};

// A hash that is the same in all processes and on all platforms (FNV-1a, then
// mixed).
std::uint64_t
StableHash(const std::string& aText);

// Mixes two hashes into one.
std::uint64_t
MixHash(std::uint64_t aLeft, std::uint64_t aRight);

} // namespace firefly::policy
