// Tests responses that are malformed, endless, or errors. Each test produces two events in the less expected
// order; see docs/design/crossings.md.
#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "src/pg/message_writer.hpp"
#include "tests/dispatch/router_harness.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against an endless response that keeps its request open or exhausts the memory.
TEST(UpstreamPoolMalformed, AnEndlessResponseTimesOut) {
  Settings settings = RouterHarness::SingleClassSettings(Idempotency::kIdempotent);
  settings.classes[0].latency_objective = 300'000;
  ManualServer server;
  RouterHarness harness(settings);
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  server.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "statement"); }));
  std::string extra_data;
  pg::AppendParameterStatus(extra_data, "more", std::string(1000, 'x'));
  ASSERT_TRUE(harness.RunUntil([&] {
    server.Send(0, extra_data);
    return harness.responses.contains(id);
  }));
  EXPECT_TRUE(std::holds_alternative<RejectedResponse>(harness.responses.at(id)));
  EXPECT_EQ(harness.pool.connections(), 0u);
}

// Guards against taking a valid response that follows a malformed one for that of the next query, and against
// two concurrent attempts: the first connection is closed before the next server receives anything.
TEST(UpstreamPoolMalformed, AResponseAfterAMalformedOneIsIgnored) {
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
  EXPECT_TRUE(first.ReadAvailable(0));  // in the same event loop iteration
  second.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return second.Received(0, "statement"); }));
  second.Send(0, Row("v"));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
  EXPECT_EQ(std::get<ServedResponse>(harness.responses.at(id)).result.value, "v");
  EXPECT_EQ(harness.attempt_outcomes(Status::kError), 1u);
}

// Guards against one attempt more than max_attempts if each attempt fails and another server is available.
TEST(UpstreamPoolRetries, DoesNotExceedMaxAttempts) {
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
