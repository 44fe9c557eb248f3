#include "coord/authority_state.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "coord/codec.h"

namespace firefly::coord {

namespace {

constexpr std::array<const char*, 4> kRoleNames = {
  "plain",
  "mixed",
  "prefill",
  "decode",
};

// Events of the chart that result from order records. Plan events must not name
// them.
constexpr const char* kOrderEvent = "order";
constexpr const char* kAppliedEvent = "applied";
constexpr const char* kFailedEvent = "failed";

void
WriteWanted(FieldWriter& aWriter, const WantedState& aWanted)
{
  aWriter.Number(static_cast<std::uint64_t>(aWanted.role))
    .Text(aWanted.model.Value())
    .Text(aWanted.modelVersion)
    .Text(aWanted.adapter);
}

WantedState
ReadWanted(FieldReader& aReader)
{
  WantedState wanted;
  wanted.role = static_cast<BackendRole>(aReader.Number());
  wanted.model = ModelId(aReader.Text());
  wanted.modelVersion = aReader.Text();
  wanted.adapter = aReader.Text();
  return wanted;
}

void
WriteOrder(FieldWriter& aWriter, const Order& aOrder)
{
  aWriter.Text(aOrder.backend.Value())
    .Number(aOrder.fence.Value())
    .Number(aOrder.id.Value());
  WriteWanted(aWriter, aOrder.wanted);
}

Order
ReadOrder(FieldReader& aReader)
{
  Order order;
  order.backend = BackendId(aReader.Text());
  order.fence = FencingNumber(aReader.Number());
  order.id = OrderId(aReader.Number());
  order.wanted = ReadWanted(aReader);
  return order;
}

void
WriteLease(FieldWriter& aWriter, const LeaseView& aLease)
{
  aWriter.Number(aLease.fence.Value())
    .Text(aLease.holder.Value())
    .Number(aLease.incarnation.Value())
    .Number(aLease.renewed.Value())
    .Flag(aLease.released)
    .Text(aLease.newest.writer.Value())
    .Number(aLease.newest.sequence);
}

LeaseView
ReadLease(FieldReader& aReader)
{
  LeaseView lease;
  lease.fence = FencingNumber(aReader.Number());
  lease.holder = HostId(aReader.Text());
  lease.incarnation = Incarnation(aReader.Number());
  lease.renewed = LogOffset(aReader.Number());
  lease.released = aReader.Flag();
  lease.newest.writer = WriterId(aReader.Text());
  lease.newest.sequence = aReader.Number();
  return lease;
}

// A claim, as its record states it.
struct Claim
{
  // Whether it names the lease that it replaces, with its newest renewal;
  // otherwise it names a silent span.
  bool expectsLease = false;
  FencingNumber fence{};
  LogOffset renewed{};
  HostId holder{};
  Incarnation incarnation{};
  SilentSpan silent{};
};

std::optional<Claim>
ReadClaim(const std::string& aBody)
{
  FieldReader reader(aBody);
  Claim claim;
  claim.expectsLease = reader.Flag();
  claim.fence = FencingNumber(reader.Number());
  claim.renewed = LogOffset(reader.Number());
  claim.holder = HostId(reader.Text());
  claim.incarnation = Incarnation(reader.Number());
  if (reader.Ok() && !reader.AtEnd()) {
    claim.silent.from = LogOffset(reader.Number());
    claim.silent.to = LogOffset(reader.Number());
  }
  return reader.Ok() ? std::optional(claim) : std::nullopt;
}

void
WriteEntry(FieldWriter& aWriter, const PlanEntry& aEntry)
{
  aWriter.Text(aEntry.state).Flag(aEntry.serving.has_value());
  if (aEntry.serving) {
    WriteWanted(aWriter, *aEntry.serving);
  }
  aWriter.Flag(aEntry.open.has_value());
  if (aEntry.open) {
    WriteOrder(aWriter, *aEntry.open);
  }
  aWriter.Number(aEntry.lastFence.Value())
    .Number(aEntry.lastOrder.Value())
    .Number(aEntry.version.Value());
}

PlanEntry
ReadEntry(FieldReader& aReader)
{
  PlanEntry entry;
  entry.state = aReader.Text();
  if (aReader.Flag()) {
    entry.serving = ReadWanted(aReader);
  }
  if (aReader.Flag()) {
    entry.open = ReadOrder(aReader);
  }
  entry.lastFence = FencingNumber(aReader.Number());
  entry.lastOrder = OrderId(aReader.Number());
  entry.version = LogOffset(aReader.Number());
  return entry;
}

} // namespace

std::string
ToString(BackendRole aRole)
{
  const auto n = static_cast<std::size_t>(aRole);
  return n < kRoleNames.size() ? kRoleNames.at(n) : "unknown";
}

std::optional<BackendRole>
ParseBackendRole(const std::string& aName)
{
  for (std::size_t n = 0; n < kRoleNames.size(); ++n) {
    if (aName == kRoleNames.at(n)) {
      return static_cast<BackendRole>(n);
    }
  }
  return std::nullopt;
}

AuthorityState::AuthorityState(const StateChart& aBackendChart)
  : mChart(&aBackendChart)
{
}

void
AuthorityState::Reset()
{
  mLease.reset();
  mPlan.clear();
  mPlanVersion = LogOffset(0);
}

bool
AuthorityState::Apply(LogOffset aOffset, const Envelope& aRecord)
{
  if (aRecord.kind == RecordKind::kClaim) {
    return ApplyClaim(aOffset, aRecord);
  }
  return ApplyUnderFence(aOffset, aRecord);
}

bool
AuthorityState::ConcernsLease(RecordKind aKind)
{
  return aKind == RecordKind::kClaim || aKind == RecordKind::kRenewal ||
         aKind == RecordKind::kRelease;
}

bool
AuthorityState::BeginsWith(const Envelope& aRecord,
                           LogOffset aFirst,
                           const std::vector<UndecidedRecord>& aEarlier) const
{
  if (aRecord.kind != RecordKind::kClaim) {
    return false;
  }
  const auto claim = ReadClaim(aRecord.body);
  if (!claim || claim->expectsLease || claim->silent.to < aFirst) {
    return false;
  }
  return std::ranges::none_of(aEarlier, [&](const UndecidedRecord& aIt) {
    return aIt.offset >= claim->silent.from && ConcernsLease(aIt.record.kind);
  });
}

bool
AuthorityState::ApplyClaim(LogOffset aOffset, const Envelope& aRecord)
{
  const auto claim = ReadClaim(aRecord.body);
  if (!claim) {
    return false;
  }
  const bool isNewest = claim->expectsLease
                          ? mLease && mLease->fence == claim->fence &&
                              mLease->renewed == claim->renewed
                          : !mLease || mLease->renewed < claim->silent.from;
  if (!isNewest) {
    return false;
  }
  mLease = LeaseView{ .fence = FencingNumber(aOffset.Value()),
                      .holder = claim->holder,
                      .incarnation = claim->incarnation,
                      .renewed = aOffset,
                      .released = false,
                      .newest = aRecord.id };
  return true;
}

bool
AuthorityState::ApplyUnderFence(LogOffset aOffset, const Envelope& aRecord)
{
  FieldReader reader(aRecord.body);
  const FencingNumber fence(reader.Number());
  if (!reader.Ok() || !mLease || mLease->fence != fence || mLease->released) {
    return false;
  }
  if (aRecord.id.writer != mLease->newest.writer ||
      aRecord.id.sequence <= mLease->newest.sequence) {
    return false;
  }
  mLease->newest.sequence = aRecord.id.sequence;
  switch (aRecord.kind) {
    case RecordKind::kRenewal:
      return ApplyRenewal(aOffset);
    case RecordKind::kRelease:
      return ApplyRelease(aOffset);
    case RecordKind::kOrderIntent:
      return ApplyIntent(aOffset, aRecord.body);
    case RecordKind::kOrderOutcome:
      return ApplyOutcome(aOffset, aRecord.body);
    case RecordKind::kPlanEvent:
      return ApplyPlanEvent(aOffset, aRecord.body);
    default:
      return false;
  }
}

bool
AuthorityState::ApplyRenewal(LogOffset aOffset)
{
  mLease->renewed = aOffset;
  return true;
}

bool
AuthorityState::ApplyRelease(LogOffset aOffset)
{
  mLease->renewed = aOffset;
  mLease->released = true;
  return true;
}

bool
AuthorityState::ApplyIntent(LogOffset aOffset, const std::string& aBody)
{
  FieldReader reader(aBody);
  const FencingNumber fence(reader.Number());
  auto order = ReadOrder(reader);
  if (!reader.Ok() || order.fence != fence) {
    return false;
  }
  const auto* next = NextState(order.backend, kOrderEvent);
  if (next == nullptr) {
    return false;
  }
  const auto* entry = Find(order.backend);
  if (entry != nullptr &&
      (entry->open || std::tie(order.fence, order.id) <=
                        std::tie(entry->lastFence, entry->lastOrder))) {
    return false;
  }
  auto& changed = Touch(order.backend, aOffset);
  changed.state = *next;
  changed.lastFence = order.fence;
  changed.lastOrder = order.id;
  changed.open = std::move(order);
  return true;
}

bool
AuthorityState::ApplyOutcome(LogOffset aOffset, const std::string& aBody)
{
  FieldReader reader(aBody);
  std::ignore = reader.Number(); // the fence, checked before
  const auto order = ReadOrder(reader);
  const auto result = static_cast<OrderResult>(reader.Number());
  const auto* entry = Find(order.backend);
  if (!reader.Ok() || entry == nullptr || entry->open != order) {
    return false;
  }
  const bool applied = result == OrderResult::kApplied;
  const auto* next =
    NextState(order.backend, applied ? kAppliedEvent : kFailedEvent);
  if (next == nullptr) {
    return false;
  }
  auto& changed = Touch(order.backend, aOffset);
  changed.state = *next;
  changed.open.reset();
  if (applied) {
    changed.serving = order.wanted;
  }
  return true;
}

bool
AuthorityState::ApplyPlanEvent(LogOffset aOffset, const std::string& aBody)
{
  FieldReader reader(aBody);
  std::ignore = reader.Number(); // the fence, checked before
  const BackendId backend(reader.Text());
  const auto event = reader.Text();
  if (!reader.Ok() || event == kOrderEvent || event == kAppliedEvent ||
      event == kFailedEvent) {
    return false;
  }
  const auto* next = NextState(backend, event);
  if (next == nullptr) {
    return false;
  }
  Touch(backend, aOffset).state = *next;
  return true;
}

const std::string*
AuthorityState::NextState(const BackendId& aBackend,
                          const std::string& aEvent) const
{
  const auto* entry = Find(aBackend);
  return mChart->Next(entry == nullptr ? mChart->Initial() : entry->state,
                      aEvent);
}

PlanEntry&
AuthorityState::Touch(const BackendId& aBackend, LogOffset aOffset)
{
  auto& entry = mPlan[aBackend];
  entry.version = aOffset;
  mPlanVersion = aOffset;
  return entry;
}

const PlanEntry*
AuthorityState::Find(const BackendId& aBackend) const
{
  const auto it = mPlan.find(aBackend);
  return it == mPlan.end() ? nullptr : &it->second;
}

std::vector<Order>
AuthorityState::OpenOrders() const
{
  std::vector<Order> open;
  for (const auto& [backend, entry] : mPlan) {
    if (entry.open) {
      open.push_back(*entry.open);
    }
  }
  return open;
}

std::string
AuthorityState::Save() const
{
  FieldWriter writer;
  writer.Flag(mLease.has_value());
  if (mLease) {
    WriteLease(writer, *mLease);
  }
  writer.Number(mPlanVersion.Value()).Number(mPlan.size());
  for (const auto& [backend, entry] : mPlan) {
    writer.Text(backend.Value());
    WriteEntry(writer, entry);
  }
  return writer.Take();
}

bool
AuthorityState::Load(std::string_view aState)
{
  Reset();
  FieldReader reader(aState);
  if (reader.Flag()) {
    mLease = ReadLease(reader);
  }
  mPlanVersion = LogOffset(reader.Number());
  const auto entries = reader.Number();
  for (std::uint64_t n = 0; n < entries && reader.Ok(); ++n) {
    const BackendId backend(reader.Text());
    mPlan[backend] = ReadEntry(reader);
  }
  return reader.Ok();
}

std::string
AuthorityState::ClaimBody(const std::optional<LeaseView>& aExpects,
                          const HostId& aHolder,
                          Incarnation aIncarnation,
                          const SilentSpan& aSilent)
{
  const auto expects = aExpects.value_or(LeaseView{});
  return FieldWriter()
    .Flag(aExpects.has_value())
    .Number(expects.fence.Value())
    .Number(expects.renewed.Value())
    .Text(aHolder.Value())
    .Number(aIncarnation.Value())
    .Number(aSilent.from.Value())
    .Number(aSilent.to.Value())
    .Take();
}

std::string
AuthorityState::RenewalBody(FencingNumber aFence)
{
  return FieldWriter().Number(aFence.Value()).Take();
}

std::string
AuthorityState::ReleaseBody(FencingNumber aFence)
{
  return FieldWriter().Number(aFence.Value()).Take();
}

std::string
AuthorityState::IntentBody(const Order& aOrder)
{
  FieldWriter writer;
  writer.Number(aOrder.fence.Value());
  WriteOrder(writer, aOrder);
  return writer.Take();
}

std::string
AuthorityState::OutcomeBody(FencingNumber aFence,
                            const Order& aOrder,
                            OrderResult aResult)
{
  FieldWriter writer;
  writer.Number(aFence.Value());
  WriteOrder(writer, aOrder);
  writer.Number(static_cast<std::uint64_t>(aResult));
  return writer.Take();
}

std::string
AuthorityState::PlanEventBody(FencingNumber aFence,
                              const BackendId& aBackend,
                              const std::string& aEvent)
{
  return FieldWriter()
    .Number(aFence.Value())
    .Text(aBackend.Value())
    .Text(aEvent)
    .Take();
}

} // namespace firefly::coord
