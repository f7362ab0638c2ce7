// A fixture with a pool and a server that the test controls, for tests that produce two events in a chosen
// order.
#ifndef TULIPYOKE_TESTS_UPSTREAM_UPSTREAM_POOL_FIXTURE_HPP_
#define TULIPYOKE_TESTS_UPSTREAM_UPSTREAM_POOL_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "tests/dispatch/router_harness.hpp"

namespace tulipyoke::net {

class UpstreamPoolTest : public testing::Test {
 protected:
  // Opens a connection, serves one request on it and leaves it idle.
  void OpenIdleConnection() {
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit("first");
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    server.CompleteStartup(0);
    ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "first"); }));
    server.Send(0, Row("v"));
    ASSERT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
    const Micros served_at = harness.clock.Now();
    harness.RunUntil([&] { return harness.clock.Now() > served_at + 10'000; });
    harness.RunUntilIdle();
  }
  // Serves the statement on the next connection that the server accepts; `connection` is its number, from 0.
  void ServeOn(ManualServer& target, std::size_t connection, const std::string& statement, RequestId id) {
    ASSERT_TRUE(harness.RunUntil([&] { return target.Accept(); }));
    target.CompleteStartup(connection);
    ASSERT_TRUE(harness.RunUntil([&] { return target.Received(connection, statement); }));
    target.Send(connection, Row("v"));
    EXPECT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
  }
  // Expects that the connection is closed without the statement having been received on it.
  void ExpectClosedWithoutReceiving(std::size_t connection, const std::string& statement) {
    EXPECT_TRUE(harness.RunUntil([&] { return server.ReadAvailable(connection); }));
    EXPECT_EQ(server.received[connection].find(statement), std::string::npos);
  }
  // Applies the complete endpoint list while a statement waits for its connection, and expects that only the
  // other server receives the statement.
  void ExpectServedByOtherServerAfter(const std::vector<ListedServer>& list, ManualServer& other) {
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit("statement");
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    harness.dispatcher.UpdateEndpoints(harness.clock.Now(), EndpointList{9, true, list});
    harness.RunTimers();
    server.CompleteStartup(0);  // late
    ServeOn(other, 0, "statement", id);
    ExpectClosedWithoutReceiving(0, "statement");
  }

  ManualServer server;
  RouterHarness harness;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_TESTS_UPSTREAM_UPSTREAM_POOL_FIXTURE_HPP_
