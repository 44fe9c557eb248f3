#pragma once

// The backend servers as one process sees them. The entry and the steward
// update the view when the plan or the host list changes.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "policy/request_info.h"

namespace firefly::policy {

// The index of a backend server in its FleetView; never reused for another id.
using BackendSlot = StrongType<struct BackendSlotTag, std::uint32_t>;

enum class BackendKind : std::uint8_t
{
  // Runs models and answers requests for them.
  kEngine,
  // Provides services that need no model.
  kPlain,
};

// What an engine's batching is configured for: large prompt chunks (prefill),
// many running outputs with small gaps between tokens (decode), or both
// (mixed).
enum class EngineRole : std::uint8_t
{
  kMixed,
  kPrefill,
  kDecode,
};

// The parts into which a request's work can be divided between engines.
enum class WorkPhase : std::uint8_t
{
  // The whole request at one backend server.
  kWhole,
  // Prefilling the prompt; another engine decodes the output from its KV cache.
  kPrefill,
  // Decoding the output of a prompt that another engine prefilled.
  kDecode,
};

enum class BackendState : std::uint8_t
{
  kOpen,
  // Running requests finish; new ones go to other backend servers.
  kDraining,
  kClosed,
};

// The capacity of a backend server at its usual speed; an engine sustains the
// prefill and the decode rate at the same time.
struct BackendCapacity
{
  // Prompt tokens a second, prefix cache misses only.
  double prefillTokensPerSecond = 15000;
  // Output tokens a second over all running requests.
  double decodeTokensPerSecond = 1200;
  // Maximum number of concurrent requests, or of concurrent calls of a plain
  // service.
  std::uint32_t slots = 32;
  // Time between the output tokens of a request when all slots are taken.
  double tokenGapSeconds = 0.028;
  // Tokens a second whose KV cache can be copied from another engine; 0 if
  // engines can't copy.
  double copyTokensPerSecond = 0;

  // The capacity that a prompt and an output use, as seconds of the whole
  // backend server.
  [[nodiscard]] double SecondsOf(Tokens aPrompt, Tokens aOutput) const
  {
    return aPrompt.Value() / prefillTokensPerSecond +
           aOutput.Value() / decodeTokensPerSecond;
  }
};

// The capacity of an engine in each role.
struct RoleCapacities
{
  BackendCapacity mixed;
  BackendCapacity prefill;
  BackendCapacity decode;

  [[nodiscard]] const BackendCapacity& Of(EngineRole aRole) const;
};

// The name of the phase, such as "prompt".
std::string_view
ToString(WorkPhase aPhase);

// The name of the role, such as "prefill".
std::string_view
ToString(EngineRole aRole);

struct Backend
{
  BackendId id;
  // Start time of its process, which identifies the run; 0 if unknown.
  std::uint64_t startedAt = 0;
  SoftwareVersion softwareVersion{};
  DomainId domain;
  BackendKind kind = BackendKind::kEngine;
  EngineRole role = EngineRole::kMixed;
  BackendState state = BackendState::kOpen;
  // When it is expected to be open again, if it asked for no requests until
  // then.
  std::optional<Instant> reopensAt{};
  // Models that an engine has loaded.
  std::vector<ModelId> models;
  // Services that a plain backend server provides.
  std::vector<ServiceId> services;
  BackendCapacity capacity;
  // Whether the engine only prefills prompts; another engine decodes the output
  // from its KV cache.
  bool isPrefillOnly = false;

  // Whether it has the model or the service that this phase of the request
  // needs, and the version that it requires. Does not check the state.
  [[nodiscard]] bool Serves(const RequestInfo& aRequest,
                            WorkPhase aPhase = WorkPhase::kWhole) const;
};

// A table of backend servers with stable slots.
class FleetView
{
public:
  // Adds the backend server, or replaces the one with the same id.
  BackendSlot Upsert(Backend aBackend);

  // Changes the state; false if the id is unknown.
  bool SetState(const BackendId& aId, BackendState aState);

  // Changes the role and the capacity; false if the id is unknown.
  bool SetRole(const BackendId& aId,
               EngineRole aRole,
               const BackendCapacity& aCapacity);

  // Marks the backend server as closed; its slot remains reserved for its id.
  // False if the id is unknown.
  bool Remove(const BackendId& aId);

  // The backend server with that id, or null.
  [[nodiscard]] const Backend* Find(const BackendId& aId) const;

  // The slot of the id, which must be in the view.
  [[nodiscard]] BackendSlot SlotOf(const BackendId& aId) const;

  // The slot whose id has that hash (see HashAt), if there is one.
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

SoftwareVersion
SoftwareVersionOf(const ServiceId& aService, const std::string& aVersion);

// Mixes two hashes into one.
std::uint64_t
MixHash(std::uint64_t aLeft, std::uint64_t aRight);

} // namespace firefly::policy
