#include "servers/relay/backend_directory.h"

#include "core/virtual_executor.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::BackendAddress;
using firefly::BackendDirectory;
using firefly::BackendId;
using firefly::BackendPool;
using firefly::BackendRecord;
using firefly::ServiceId;
using firefly::VirtualExecutor;
using firefly::policy::BackendState;
using firefly::policy::FleetView;

TEST_GROUP(BackendDirectoryTest)
{
  VirtualExecutor executor;
  AsioExecutor sockets;
  FleetView fleet;
  BackendPool pool{ sockets, {} };
  BackendDirectory directory{
    { .returnGrace = 1500ms }, executor, fleet, pool
  };

  static BackendRecord Record(const std::string& aId, bool aLeaving = false)
  {
    return { .id = BackendId(aId),
             .service = ServiceId("desk"),
             .address = BackendAddress("127.0.0.1:1"),
             .domain = {},
             .leaving = aLeaving };
  }

  [[nodiscard]] BackendState StateOf(const std::string& aId) const
  {
    return fleet.Find(BackendId(aId))->state;
  }
};

TEST(BackendDirectoryTest, ALeavingBackendGetsNoNewWorkAtOnce)
{
  directory.Apply(Record("b1"));
  CHECK(StateOf("b1") == BackendState::kOpen);
  directory.Apply(Record("b1", true));
  CHECK(StateOf("b1") == BackendState::kDraining);
}

TEST(BackendDirectoryTest, ARemovedRecordClosesItsBackendAtOnce)
{
  directory.Apply(Record("b1"));
  directory.Remove(BackendId("b1"));
  CHECK(StateOf("b1") == BackendState::kClosed);
  POINTERS_EQUAL(nullptr, directory.Find(BackendId("b1")));
}

TEST(BackendDirectoryTest, WhatLapsedWhileTheLogWasAwayMayComeBack)
{
  directory.Apply(Record("b1"));
  directory.Apply(Record("b2"));
  directory.OnLogRegained();
  directory.Remove(BackendId("b1"));
  directory.Remove(BackendId("b2"));
  CHECK(StateOf("b1") == BackendState::kOpen);
  executor.RunFor(1s);
  directory.Apply(Record("b1"));
  executor.RunFor(1s);
  CHECK(StateOf("b1") == BackendState::kOpen);
  CHECK(StateOf("b2") == BackendState::kClosed);
}

// Peers are told only of news, and may have dropped the backend server.
TEST(BackendDirectoryTest, ThatALapsedRecordIsBackIsNews)
{
  directory.Apply(Record("b1"));
  CHECK_FALSE(directory.Apply(Record("b1")));
  directory.OnLogRegained();
  CHECK_TRUE(directory.Remove(BackendId("b1")));
  CHECK_TRUE(directory.Apply(Record("b1")));
  CHECK_FALSE(directory.Apply(Record("b1")));
}

TEST(BackendDirectoryTest, OnlyWhatASnapshotNamesIsKept)
{
  directory.Apply(Record("b1"));
  directory.Apply(Record("b2"));
  directory.KeepOnly({ "b2" });
  CHECK(StateOf("b1") == BackendState::kClosed);
  CHECK(StateOf("b2") == BackendState::kOpen);
}
