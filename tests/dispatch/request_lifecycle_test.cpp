#include <gtest/gtest.h>

#include <map>
#include <random>
#include <variant>
#include <vector>

#include "tests/dispatch/dispatcher_harness.hpp"

namespace tulipyoke {
namespace {

TEST(Dispatcher, TheFirstResultIsTheOnlyResponse) {
  DispatcherHarness harness;
  const RequestId id = harness.Submit(kAnyRead);
  ASSERT_EQ(harness.attempts.size(), 1u);
  EXPECT_EQ(harness.attempts[0].deadline, harness.now + 400 * kMs);  // late, it is worth nothing
  harness.Finish(harness.attempts[0].operation_id, {.status = Status::kOk, .result = {"s", "value", "t"}});
  harness.Finish(harness.attempts[0].operation_id, {.status = Status::kOk, .result = {"s", "other", "t"}});
  ASSERT_EQ(harness.responses[id].size(), 1u);
  EXPECT_EQ(std::get<ServedResponse>(harness.responses[id][0]).result.value, "value");
  harness.Advance(5 * kSecond);
  EXPECT_EQ(harness.responses[id].size(), 1u);
  EXPECT_EQ(harness.dispatcher.in_progress(), 0u);
}

// Guards against a silent server that delays the final response, and an attempt that stays in flight forever.
TEST(Dispatcher, ASilentServerEndsInATimeoutAndAResponseByTheDeadline) {
  DispatcherHarness harness;
  const RequestId id = harness.Submit(kAnyRead, 300 * kMs);
  ASSERT_EQ(harness.attempts.size(), 1u);
  // Otherwise it could not have run, and its status would not be a timeout.
  harness.dispatcher.OperationWritten(harness.attempts[0].operation_id);
  harness.Advance(310 * kMs);
  EXPECT_EQ(harness.responses[id].size(), 1u);
  ASSERT_FALSE(harness.cancelled.empty());
  EXPECT_EQ(harness.cancelled[0], harness.attempts[0].operation_id);
  EXPECT_GE(harness.dispatcher.counters().attempt_outcomes[IndexOf(Status::kTimeout)], 1u);
  EXPECT_EQ(harness.dispatcher.counters().overdue, 0u);
}

// Guards against a write with an idempotency key that waits for a connection until after the window in which
// servers recognise a retry.
TEST(Dispatcher, ARetryWithAnIdempotencyKeyStatesItsLatestStart) {
  DispatcherHarness harness;
  // Each adds to the retry budget.
  for (int i = 0; i < 8; ++i) harness.Submit(kAnyRead);
  EXPECT_EQ(harness.attempts[0].latest_start, kNoDeadline);
  harness.attempts.clear();
  harness.Submit(kKeyedWrite);
  ASSERT_EQ(harness.attempts.size(), 1u);
  EXPECT_EQ(harness.attempts[0].latest_start, kNoDeadline);
  harness.Finish(harness.attempts[0].operation_id,
                 {.status = Status::kOverloaded});  // never ran: no window has begun
  while (harness.attempts.size() == 1 && harness.dispatcher.in_progress() > 0) harness.Advance(kMs);
  ASSERT_EQ(harness.attempts.size(), 2u);
  EXPECT_EQ(harness.attempts[1].latest_start, kNoDeadline);
  const Micros sent = harness.now;
  harness.Advance(20 * kMs);
  harness.Finish(harness.attempts[1].operation_id, {.status = Status::kError});  // it may have run
  while (harness.attempts.size() == 2 && harness.dispatcher.in_progress() > 0) harness.Advance(kMs);
  ASSERT_EQ(harness.attempts.size(), 3u);
  EXPECT_EQ(harness.attempts[2].latest_start, sent + 600 * kMs);
}

// Guards against a response to a client that has disconnected.
TEST(Dispatcher, ADisconnectedClientGetsNoResponse) {
  DispatcherHarness harness;
  const RequestId id = harness.Submit(kAnyRead);
  harness.dispatcher.ClientDisconnected(harness.now, id);
  harness.CollectCommands();
  ASSERT_EQ(harness.cancelled.size(), 1u);  // a read is cancelled
  harness.Advance(3 * kSecond);
  EXPECT_TRUE(harness.responses[id].empty());
}

// Guards against more than one final response, or none, whatever the order of outcomes, lists and
// disconnects.
TEST(Dispatcher, RandomEventsGiveEachRequestExactlyOneResponse) {
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    DispatcherHarness harness;
    std::map<RequestId, bool> left;
    std::size_t handled = 0;
    for (int step = 0; step < 400; ++step) {
      left[harness.Submit(static_cast<int>(random() % 6), static_cast<Micros>(random() % 900) * kMs)] = false;
      if (random() % 10 == 0) {
        auto it = std::next(left.begin(), static_cast<std::ptrdiff_t>(random() % left.size()));
        if (harness.responses[it->first].empty()) it->second = true;
        harness.dispatcher.ClientDisconnected(harness.now, it->first);
        harness.CollectCommands();
      }
      for (std::size_t n = harness.attempts.size(); handled < n; ++handled) {
        if (random() % 3 == 0) continue;  // nothing comes back
        const OperationId operation_id = harness.attempts[handled].operation_id;
        harness.Finish(operation_id,
                       {.status = static_cast<Status>(random() % 7),
                        .role = static_cast<Role>(random() % 3),
                        .position_unix_ms = harness.now / 1000 - static_cast<std::int64_t>(random() % 900)});
      }
      if (random() % 40 == 0)
        harness.dispatcher.UpdateEndpoints(
            harness.now,
            {8, random() % 2 == 0, {DispatcherHarness::Listed("p"), DispatcherHarness::Listed("s")}});
      harness.Advance(static_cast<Micros>(random() % 30) * kMs);
    }
    harness.Advance(10 * kSecond);
    for (const auto& [id, gone] : left)
      EXPECT_EQ(harness.responses[id].size(), gone ? 0u : 1u) << seed << " " << id;
    EXPECT_EQ(harness.dispatcher.counters().overdue, 0u);
    EXPECT_EQ(harness.dispatcher.in_progress(), 0u);
  }
}

// Guards against a request that is forwarded after its client has disconnected: parked until there is a
// primary, waiting for a connection, or partly written.
TEST(Dispatcher, UnsentAttemptsAreCancelledWhenTheClientDisconnects) {
  DispatcherHarness harness;
  for (const ServerId gone : {1, 2, 3}) {
    ListedServer drains = DispatcherHarness::Listed(gone == 1 ? "p" : gone == 2 ? "q" : "r");
    drains.state = ServerState::kDraining;
    harness.dispatcher.UpdateEndpoints(harness.now, EndpointList{8, false, {drains}});
  }
  harness.CollectCommands();
  const RequestId held = harness.Submit(kKeyedWrite);
  EXPECT_TRUE(harness.attempts.empty());
  harness.dispatcher.ClientDisconnected(harness.now, held);
  harness.dispatcher.UpdateEndpoints(
      harness.now, EndpointList{9,
                                true,
                                {DispatcherHarness::Listed("p"), DispatcherHarness::Listed("q"),
                                 DispatcherHarness::Listed("r")}});
  harness.Advance(100 * kMs);
  EXPECT_TRUE(harness.attempts.empty());
  const RequestId waits = harness.Submit(kKeyedWrite);
  ASSERT_EQ(harness.attempts.size(), 1u);
  harness.cancelled.clear();
  harness.dispatcher.ClientDisconnected(harness.now, waits);
  harness.CollectCommands();
  EXPECT_EQ(harness.cancelled, (std::vector<OperationId>{harness.attempts[0].operation_id}));
  EXPECT_EQ(harness.dispatcher.counters().attempt_outcomes[IndexOf(Status::kNotSent)], 1u);
  harness.Advance(kSecond);
  EXPECT_EQ(harness.attempts.size(), 1u);
}

// Guards against a request counted twice, or not at all, where its response and the disconnect of its client
// come in one turn, in either order.
TEST(Dispatcher, AResponseAndADisconnectInOneTurnAreCountedOnce) {
  for (const bool answer_first : {true, false}) {
    DispatcherHarness harness;
    const RequestId id = harness.Submit(kKeyedWrite);
    const OperationId operation_id = harness.attempts[0].operation_id;
    harness.dispatcher.OperationWritten(operation_id);
    if (!answer_first) harness.dispatcher.ClientDisconnected(harness.now, id);
    harness.dispatcher.OperationFinished(harness.now, operation_id, {.role = Role::kPrimary});
    if (answer_first) harness.dispatcher.ClientDisconnected(harness.now, id);
    harness.CollectCommands();
    EXPECT_EQ(harness.responses[id].size(), answer_first ? 1u : 0u);
    EXPECT_EQ(harness.dispatcher.counters().served, answer_first ? 1u : 0u);
    EXPECT_EQ(harness.dispatcher.counters().disconnected, answer_first ? 0u : 1u);
    EXPECT_EQ(harness.dispatcher.SessionSnapshot().size(), 1u);  // the commit is known in both
    harness.Advance(2 * kSecond);
    EXPECT_EQ(harness.attempts.size(), 1u);
  }
}

// Guards against an attempt reported as possibly executed though its last byte was never sent, and the
// opposite.
TEST(Dispatcher, OnlyACompletelyWrittenAttemptMayHaveRunAtItsTimeout) {
  for (const bool written : {true, false}) {
    DispatcherHarness harness;
    const RequestId id = harness.Submit(kNonIdempotentWrite);
    ASSERT_EQ(harness.attempts.size(), 1u);
    if (written) harness.dispatcher.OperationWritten(harness.attempts[0].operation_id);
    harness.Advance(2 * kSecond);
    ASSERT_EQ(harness.responses[id].size(), 1u);
    EXPECT_EQ(std::holds_alternative<FailedResponse>(harness.responses[id][0]), written);
    EXPECT_EQ(harness.cancelled[0], harness.attempts[0].operation_id);
    EXPECT_EQ(harness.attempts.size(), 1u);
  }
}

}  // namespace
}  // namespace tulipyoke
