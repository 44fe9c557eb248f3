#include "servers/relay/backend_registry.h"

#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::BackendAddress;
using firefly::BackendId;
using firefly::BackendPool;
using firefly::BackendRecord;
using firefly::BackendRegistry;
using firefly::DomainId;
using firefly::ServiceId;
using firefly::VirtualExecutor;
using firefly::policy::BackendState;
using firefly::policy::FleetView;

TEST_GROUP(BackendRegistryTest)
{
  VirtualExecutor executor;
  AsioExecutor sockets;
  FleetView fleet;
  BackendPool pool{ sockets, {} };
  BackendRegistry backendRegistry{
    { .returnGrace = 1500ms }, executor, fleet, pool
  };

  static BackendRecord MakeRecord(const std::string& aId,
                                  bool aIsLeaving = false)
  {
    return { .id = BackendId(aId),
             .service = ServiceId("desk"),
             .address = BackendAddress("127.0.0.1:1"),
             .domain = {},
             .isLeaving = aIsLeaving };
  }

  [[nodiscard]] BackendState StateOf(const std::string& aId) const
  {
    return fleet.Find(BackendId(aId))->state;
  }
};

TEST(BackendRegistryTest, DrainsALeavingBackendAtOnce)
{
  backendRegistry.Apply(MakeRecord("b1"));
  CHECK(StateOf("b1") == BackendState::kOpen);
  backendRegistry.Apply(MakeRecord("b1", true));
  CHECK(StateOf("b1") == BackendState::kDraining);
}

TEST(BackendRegistryTest, ClosesABackendAtOnceWhenItsRecordIsRemoved)
{
  backendRegistry.Apply(MakeRecord("b1"));
  backendRegistry.Remove(BackendId("b1"));
  CHECK(StateOf("b1") == BackendState::kClosed);
  POINTERS_EQUAL(nullptr, backendRegistry.Find(BackendId("b1")));
}

TEST(BackendRegistryTest, KeepsABackendWhoseRecordReturnsWithinTheGracePeriod)
{
  backendRegistry.Apply(MakeRecord("b1"));
  backendRegistry.Apply(MakeRecord("b2"));
  backendRegistry.OnLogRegained();
  backendRegistry.Remove(BackendId("b1"));
  backendRegistry.Remove(BackendId("b2"));
  CHECK(StateOf("b1") == BackendState::kOpen);
  executor.RunFor(1s);
  backendRegistry.Apply(MakeRecord("b1"));
  executor.RunFor(1s);
  CHECK(StateOf("b1") == BackendState::kOpen);
  CHECK(StateOf("b2") == BackendState::kClosed);
}

// Only changes are sent to peers, which may have removed the backend server.
TEST(BackendRegistryTest, ReportsTheReturnOfARemovedRecordAsAChange)
{
  backendRegistry.Apply(MakeRecord("b1"));
  CHECK_FALSE(backendRegistry.Apply(MakeRecord("b1")));
  backendRegistry.OnLogRegained();
  CHECK_TRUE(backendRegistry.Remove(BackendId("b1")));
  CHECK_TRUE(backendRegistry.Apply(MakeRecord("b1")));
  CHECK_FALSE(backendRegistry.Apply(MakeRecord("b1")));
}

// Peers learn only of records that changed something.
TEST(BackendRegistryTest, ReportsAnotherServiceOrDomainAsAChange)
{
  auto record = MakeRecord("b1");
  backendRegistry.Apply(record);
  record.service = ServiceId("other");
  CHECK_TRUE(backendRegistry.Apply(record));
  record.domain = DomainId("elsewhere");
  CHECK_TRUE(backendRegistry.Apply(record));
  CHECK_FALSE(backendRegistry.Apply(record));
}

TEST(BackendRegistryTest, RemovesBackendsThatASnapshotDoesNotList)
{
  backendRegistry.Apply(MakeRecord("b1"));
  backendRegistry.Apply(MakeRecord("b2"));
  backendRegistry.RemoveAllExcept({ "b2" });
  CHECK(StateOf("b1") == BackendState::kClosed);
  CHECK(StateOf("b2") == BackendState::kOpen);
}

TEST(BackendRegistryTest, ALeavingServerStaysClosedUntilItsNextRun)
{
  auto record = MakeRecord("b1");
  record.startedAt = 1;
  backendRegistry.Apply(record);
  backendRegistry.OnLeaving(backendRegistry.RunOf(record.id));
  CHECK(StateOf("b1") == BackendState::kDraining);
  backendRegistry.Apply(record);
  backendRegistry.Remove(record.id);
  backendRegistry.Apply(record);
  CHECK(StateOf("b1") == BackendState::kDraining);
  record.startedAt = 2;
  backendRegistry.Apply(record);
  CHECK(StateOf("b1") == BackendState::kOpen);
}

TEST(BackendRegistryTest, LateNewsOfAnEarlierRunDoesNotCloseTheNextOne)
{
  auto record = MakeRecord("b1");
  record.startedAt = 1;
  backendRegistry.Apply(record);
  const auto earlier = backendRegistry.RunOf(record.id);
  record.startedAt = 2;
  backendRegistry.Apply(record);
  backendRegistry.OnLeaving(earlier);
  backendRegistry.OnAskedToWait(earlier, 10s);
  CHECK(StateOf("b1") == BackendState::kOpen);
}

TEST(BackendRegistryTest, OpensAServerByOneRequestAfterTheTimeThatItAskedFor)
{
  auto record = MakeRecord("b1");
  record.slots = 8;
  backendRegistry.Apply(record);
  const auto run = backendRegistry.RunOf(record.id);
  backendRegistry.OnAskedToWait(run, 2s);
  CHECK(StateOf("b1") == BackendState::kDraining);
  CHECK(fleet.Find(record.id)->reopensAt.has_value());
  executor.RunFor(1900ms);
  CHECK(StateOf("b1") == BackendState::kDraining);
  executor.RunFor(200ms);
  CHECK(StateOf("b1") == BackendState::kOpen);
  CHECK_FALSE(fleet.Find(record.id)->reopensAt.has_value());
  LONGS_EQUAL(1, fleet.Find(record.id)->capacity.slots);
  backendRegistry.OnAccepted(run);
  LONGS_EQUAL(8, fleet.Find(record.id)->capacity.slots);
}

// Guards against a restored log that returns a leaving run to service.
TEST(BackendRegistryTest, ARunThatIsLeavingStaysSoInARestoredLog)
{
  auto record = MakeRecord("b1");
  record.startedAt = 5;
  backendRegistry.Apply(record);
  record.isLeaving = true;
  backendRegistry.Apply(record);
  backendRegistry.OnLogRestored();
  record.isLeaving = false;
  backendRegistry.Apply(record);
  CHECK(StateOf("b1") == BackendState::kDraining);
  executor.RunFor(10s);
  CHECK(StateOf("b1") == BackendState::kDraining);
}

TEST(BackendRegistryTest, RecordsThatARestoredLogLacksMayBeWrittenAgain)
{
  auto record = MakeRecord("b1");
  record.startedAt = 5;
  backendRegistry.Apply(record);
  backendRegistry.Apply(MakeRecord("b2"));
  backendRegistry.OnLogRestored();
  backendRegistry.OnLogRegained();
  backendRegistry.RemoveAllExcept({});
  executor.RunFor(2s);
  CHECK(StateOf("b1") == BackendState::kOpen);
  CHECK_TRUE(backendRegistry.Apply(record));
  executor.RunFor(5s);
  CHECK(StateOf("b1") == BackendState::kOpen);
  CHECK(StateOf("b2") == BackendState::kClosed);
}

// Guards against work for a run that is gone and is left in a restored log.
TEST(BackendRegistryTest, ARunThatIsGoneReturnsFromARestoredLogOnlyIfItStays)
{
  auto old = MakeRecord("b1");
  old.startedAt = 5;
  backendRegistry.Apply(old);
  backendRegistry.Remove(BackendId("b1"));
  auto replaced = MakeRecord("b2");
  replaced.startedAt = 5;
  auto present = replaced;
  present.startedAt = 6;
  present.address = BackendAddress("127.0.0.1:2");
  backendRegistry.Apply(replaced);
  backendRegistry.Apply(present);
  backendRegistry.OnLogRestored();
  CHECK_FALSE(backendRegistry.Apply(old));
  CHECK_FALSE(backendRegistry.Apply(replaced));
  CHECK(StateOf("b1") == BackendState::kClosed);
  CHECK(backendRegistry.Find(BackendId("b2"))->startedAt == 6);
  // What a run writes again counts at once.
  backendRegistry.Apply(present);
  executor.RunFor(5s);
  CHECK(StateOf("b1") == BackendState::kOpen);
  CHECK(backendRegistry.Find(BackendId("b2"))->startedAt == 6);
}

TEST(BackendRegistryTest,
     ARemovalAfterARestoreIsNotDelayedLongerThanAfterAnOutage)
{
  backendRegistry.Apply(MakeRecord("b1"));
  backendRegistry.OnLogRestored();
  backendRegistry.OnLogRegained();
  executor.RunFor(500ms);
  backendRegistry.Remove(BackendId("b1"));
  CHECK(StateOf("b1") == BackendState::kOpen);
  executor.RunFor(1100ms);
  CHECK(StateOf("b1") == BackendState::kClosed);
}
