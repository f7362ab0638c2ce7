// Tests operations whose client disconnects or whose deadline passes. Each test produces two events in the
// less expected order; see docs/design/crossings.md.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <variant>

#include "tests/dispatch/router_harness.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against sending the whole statement although its client has disconnected.
TEST_F(UpstreamPoolTest, StopsSendingAStatementWhenItsClientDisconnects) {
  OpenIdleConnection();
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = harness.Submit(statement);
  harness.RunUntilIdle();
  harness.Disconnect(id);
  EXPECT_TRUE(harness.RunUntil([&] { return server.ReadAvailable(0); }));
  EXPECT_LT(server.received[0].size(), statement.size());
  EXPECT_EQ(harness.attempt_outcomes(Status::kNotSent), 1u);
}

// Guards against sending a request in the event loop iteration in which its client disconnected.
TEST_F(UpstreamPoolTest, DoesNotSendARequestWhoseClientDisconnectsInTheSameIteration) {
  OpenIdleConnection();
  ClientRequest request;
  request.timeout = 20'000'000;
  request.payload = std::make_shared<const RequestPayload>(RequestPayload{"second", 6, 0});
  const RequestId id = harness.dispatcher.Submit(harness.clock.Now(), request);
  harness.Disconnect(id);
  const RequestId third = harness.Submit("third");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "third"); }));
  EXPECT_EQ(server.received[0].find("second"), std::string::npos);
  server.Send(0, Row("v"));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.IsServed(third); }));
}

// A completely sent statement that is not idempotent is not cancelled: its outcome shows whether it
// committed.
TEST_F(UpstreamPoolTest, CompletesASentStatementAfterItsClientDisconnects) {
  OpenIdleConnection();
  const RequestId id = harness.Submit("second");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "second"); }));
  harness.Disconnect(id);
  server.Send(0, Row("v"));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.attempt_outcomes(Status::kOk) == 2; }));
}

Settings ShortDeadlineSettings() {
  Settings settings = RouterHarness::SingleClassSettings(Idempotency::kNone);
  settings.classes[0].latency_objective = settings.classes[0].deadline = 300'000;
  return settings;
}

// Guards against reporting an attempt as possibly executed although its connection was never established: the
// client would be told that the statement failed, although a retry is safe.
TEST(UpstreamPoolDeadline, AnOperationPendingAtTheDeadlineIsReportedAsNotExecuted) {
  ManualServer server;
  RouterHarness harness(ShortDeadlineSettings());
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement", 300'000);
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.responses.contains(id); }));
  EXPECT_TRUE(std::holds_alternative<RejectedResponse>(harness.responses.at(id)));
  EXPECT_EQ(harness.attempt_outcomes(Status::kConnectFailed), 1u);
}

// Guards against sending two responses, or none, if the server's response is ready when the deadline passes,
// whichever of the two is handled first.
TEST(UpstreamPoolDeadline, AResponseReadyAtTheDeadlineLeadsToExactlyOneResponse) {
  for (const bool response_first : {true, false}) {
    ManualServer server;
    RouterHarness harness(ShortDeadlineSettings());
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit("statement", 300'000);
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    server.CompleteStartup(0);
    ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "statement"); }));
    server.Send(0, Row("v"));
    const auto deadline_passed = std::chrono::steady_clock::now() + std::chrono::milliseconds(320);
    while (std::chrono::steady_clock::now() < deadline_passed) {
    }
    harness.clock.BeginIteration();
    if (!response_first) harness.RunTimers();
    harness.RunUntilIdle();
    EXPECT_EQ(harness.IsServed(id), response_first);
    const DispatchCounters& counters = harness.dispatcher.counters();
    EXPECT_EQ(counters.served, response_first ? 1u : 0u);
    EXPECT_EQ(counters.rejected + counters.failed, response_first ? 0u : 1u);
    EXPECT_EQ(harness.pool.connections(), response_first ? 1u : 0u);
  }
}

}  // namespace
}  // namespace tulipyoke::net
