// A pool with one scripted server, for tests that bring about two events in a chosen order.
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
  // Leaves one idle connection, on which one request has been served.
  void OpenIdleConnection() {
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit("first");
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    server.CompleteStartup(0);
    ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "first"); }));
    server.Send(0, Row("v"));
    ASSERT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
    const Micros then = harness.clock.Now();
    harness.RunUntil([&] { return harness.clock.Now() > then + 10'000; });
    harness.RunUntilIdle();
  }
  // Serves the statement on the next connection that the server accepts; `which` is its number, from 0.
  void ServeOn(ManualServer& at, std::size_t which, const std::string& statement, RequestId id) {
    ASSERT_TRUE(harness.RunUntil([&] { return at.Accept(); }));
    at.CompleteStartup(which);
    ASSERT_TRUE(harness.RunUntil([&] { return at.Received(which, statement); }));
    at.Send(which, Row("v"));
    EXPECT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
  }
  // Expects that the connection has ended, and that the statement never came on it.
  void ExpectEndedWithout(std::size_t which, const std::string& statement) {
    EXPECT_TRUE(harness.RunUntil([&] { return server.ReadAvailable(which); }));
    EXPECT_EQ(server.received[which].find(statement), std::string::npos);
  }
  // A statement waits for its connection when that complete list comes: the other server alone serves it.
  void ExpectServedElsewhereAfter(const std::vector<ListedServer>& list, ManualServer& other) {
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit("statement");
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    harness.dispatcher.UpdateEndpoints(harness.clock.Now(), EndpointList{9, true, list});
    harness.RunTimers();
    server.CompleteStartup(0);  // late
    ServeOn(other, 0, "statement", id);
    ExpectEndedWithout(0, "statement");
  }

  ManualServer server;
  RouterHarness harness;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_TESTS_UPSTREAM_UPSTREAM_POOL_FIXTURE_HPP_
