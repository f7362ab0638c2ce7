#include <gtest/gtest.h>

#include <variant>
#include <vector>

#include "tests/dispatch/dispatcher_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against a read that is considered fresher than it is: relative to the epoch, replica positions are
// rounded down and commits are rounded up.
TEST(SessionConsistency, ASessionReadWaitsForTheCommitRoundedUp) {
  Settings settings = TestSettings();
  settings.position_epoch = 1'767'225'000 * kSecond + 500;  // half a millisecond off a whole one
  settings.listed_role = ListedRole::kNever;
  DispatcherHarness harness(settings);
  const std::int64_t unix_ms = harness.now / 1000;
  const auto report_position = [&](ServerId server, Role role, std::int64_t x0) {
    for (std::size_t i = 0; i < harness.probes.size(); ++i) {
      if (harness.probes[i].server != server) continue;
      harness.Finish(
          harness.probes[i].operation_id,
          {.report = {{"x0", static_cast<double>(x0)}, {"x1", role == Role::kPrimary ? 1.0 : 0.0}}});
    }
  };
  harness.Submit(kKeyedWrite);  // no primary is known, so all servers are probed
  ASSERT_EQ(harness.probes.size(), 3u);
  report_position(2, Role::kReplica, unix_ms - 40);
  report_position(3, Role::kReplica, unix_ms - 40);
  report_position(1, Role::kPrimary, unix_ms);
  ASSERT_EQ(harness.attempts.size(), 1u);
  EXPECT_EQ(harness.attempts[0].server, 1u);
  harness.Finish(harness.attempts[0].operation_id, {.role = Role::kPrimary, .position_unix_ms = unix_ms});
  harness.Submit(kSessionRead);
  EXPECT_EQ(harness.attempts.size(), 1u);  // no replica has reported the commit
  harness.Submit(kAnyRead);
  ASSERT_EQ(harness.attempts.size(), 2u);
  // The replica reports the same millisecond as the commit. Rounded down, it is still before the commit,
  // which is rounded up.
  harness.now += 2 * kMs;
  harness.Finish(harness.attempts[1].operation_id, {.role = Role::kReplica, .position_unix_ms = unix_ms});
  EXPECT_EQ(harness.attempts.size(), 2u);
  harness.Submit(kAnyRead);
  harness.Finish(harness.attempts.back().operation_id,
                 {.role = Role::kReplica, .position_unix_ms = unix_ms + 1});
  EXPECT_EQ(harness.attempts.size(), 4u);
}

// Guards against a session read in one process that misses a write of the session in the other process: the
// commit is replicated before the response to the write is sent, and the read waits for it.
TEST(SessionConsistency, ASessionReadInThePeerProcessWaitsForTheReplicatedCommit) {
  Settings settings = TestSettings();
  settings.position_epoch = 1'767'225'000 * kSecond + 500;
  DispatcherHarness writer(settings), reader(settings);
  const std::int64_t unix_ms = writer.now / 1000;
  writer.dispatcher.SetReplicationEnabled(true);
  writer.Submit(kKeyedWrite);
  ASSERT_EQ(writer.attempts.size(), 1u);
  writer.dispatcher.OperationFinished(writer.now, writer.attempts[0].operation_id,
                                      {.role = Role::kPrimary, .position_unix_ms = unix_ms});
  const std::vector<Command> commands = writer.dispatcher.TakeCommands();
  std::vector<SessionUpdate> updates;
  bool responded = false;
  for (const Command& command : commands) {
    const auto* replicate = std::get_if<ReplicateToPeer>(&command);
    const auto* update = replicate ? std::get_if<SessionUpdate>(&replicate->update) : nullptr;
    if (update) updates.push_back(*update);
    EXPECT_FALSE(update && responded);
    responded = responded || std::holds_alternative<SendResponse>(command);
  }
  EXPECT_TRUE(responded);
  ASSERT_EQ(updates.size(), 1u);
  EXPECT_GE(updates[0].commit_unix_ms, unix_ms);
  ASSERT_EQ(writer.dispatcher.SessionSnapshot().size(), 1u);
  EXPECT_EQ(writer.dispatcher.SessionSnapshot()[0].session_key, updates[0].session_key);
  reader.dispatcher.ApplyPeerUpdate(reader.now, updates[0]);
  for (const char* id : {"q", "r"})
    reader.dispatcher.ApplyPeerUpdate(reader.now, ServerUpdate{id, Role::kReplica, reader.now, unix_ms - 40});
  EXPECT_EQ(reader.dispatcher.ServerSnapshot()[1].position_unix_ms, unix_ms - 41);  // rounded down twice
  reader.Submit(kSessionRead);
  EXPECT_TRUE(reader.attempts.empty());
  reader.Advance(9 * kMs);
  for (const char* id : {"q", "r"})
    reader.dispatcher.ApplyPeerUpdate(reader.now, ServerUpdate{id, Role::kReplica, reader.now, unix_ms + 9});
  reader.Advance(60 * kMs);
  EXPECT_EQ(reader.attempts.size(), 1u);
}

}  // namespace
}  // namespace tulipyoke
