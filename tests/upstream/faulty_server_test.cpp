// Responses that are malformed, never end, or are errors. Each brings two events about in the order that is
// not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "src/pg/message_writer.hpp"
#include "tests/dispatch/router_harness.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against a response without end that keeps its request open, or fills the memory.
TEST(UpstreamPoolMalformed, AResponseThatNeverEndsTimesOut) {
  Settings settings = RouterHarness::SingleClassSettings(Idempotency::kIdempotent);
  settings.classes[0].latency_objective = 300'000;
  ManualServer server;
  RouterHarness harness(settings);
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  server.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "statement"); }));
  std::string more;
  pg::AppendParameterStatus(more, "more", std::string(1000, 'x'));
  ASSERT_TRUE(harness.RunUntil([&] {
    server.Send(0, more);
    return harness.responses.contains(id);
  }));
  EXPECT_TRUE(std::holds_alternative<RejectedResponse>(harness.responses.at(id)));
  EXPECT_EQ(harness.pool.connections(), 0u);
}

// Guards against a valid response that follows a malformed one and is taken for the next query's, and against
// two attempts at once: the malformed one's connection is closed before the next server hears anything.
TEST(UpstreamPoolMalformed, AResponseBehindAMalformedOneIsIgnored) {
  ManualServer first, second;
  RouterHarness harness(RouterHarness::SingleClassSettings(Idempotency::kIdempotent));
  harness.Start({RouterHarness::ListedServerAt("a", first.port())});
  const RequestId id = harness.Submit("statement");
  ASSERT_TRUE(harness.RunUntil([&] { return first.Accept(); }));
  first.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return first.Received(0, "statement"); }));
  harness.UpdateServer(RouterHarness::ListedServerAt("b", second.port()));
  std::string malformed;
  pg::AppendMessage(malformed, 'W', "no such message");
  first.Send(0, malformed + Row("not asked for"));
  ASSERT_TRUE(harness.RunUntil([&] { return second.Accept(); }));
  EXPECT_TRUE(first.ReadAvailable(0));  // not a turn later
  second.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return second.Received(0, "statement"); }));
  second.Send(0, Row("v"));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
  EXPECT_EQ(std::get<ServedResponse>(harness.responses.at(id)).result.value, "v");
  EXPECT_EQ(harness.attempt_outcomes(Status::kError), 1u);
}

// Guards against one attempt more than the settings allow, where each fails and another server is available.
TEST(UpstreamPoolRetries, TheLastAllowedAttemptIsTheLast) {
  Settings settings = RouterHarness::SingleClassSettings(Idempotency::kIdempotent);
  settings.max_attempts = 2;
  ManualServer servers[3];
  RouterHarness harness(settings);
  harness.Start({RouterHarness::ListedServerAt("0", servers[0].port())});
  const RequestId id = harness.Submit("statement");
  std::string error;
  pg::AppendError(error, "ERROR", "XX000", "it may have run");
  pg::AppendReadyForQuery(error);
  for (std::size_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(harness.RunUntil([&] { return servers[i].Accept(); }));
    servers[i].CompleteStartup(0);
    ASSERT_TRUE(harness.RunUntil([&] { return servers[i].Received(0, "statement"); }));
    harness.UpdateServer(RouterHarness::ListedServerAt(std::to_string(i + 1), servers[i + 1].port()));
    EXPECT_FALSE(harness.responses.contains(id));
    servers[i].Send(0, error);
  }
  ASSERT_TRUE(harness.RunUntil([&] { return harness.responses.contains(id); }));
  EXPECT_TRUE(std::holds_alternative<RejectedResponse>(harness.responses.at(id)));
  harness.RunUntilIdle();
  EXPECT_FALSE(servers[2].Accept());
}

}  // namespace
}  // namespace tulipyoke::net
