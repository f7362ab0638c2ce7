// A pool with one scripted server, for tests that bring about two events in a chosen order.
#ifndef TULIPYOKE_TESTS_UPSTREAM_UPSTREAM_POOL_FIXTURE_HPP_
#define TULIPYOKE_TESTS_UPSTREAM_UPSTREAM_POOL_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "tests/rig.hpp"

namespace tulipyoke::net {

class UpstreamPoolTest : public testing::Test {
 protected:
  // Leaves one idle connection, on which one request has been served.
  void OpenIdleConnection() {
    rig.Know({Rig::Listed("a", server.port())});
    const RequestId id = rig.Ask("first");
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    server.Greet(0);
    ASSERT_TRUE(rig.Until([&] { return server.Got(0, "first"); }));
    server.Say(0, Row("v"));
    ASSERT_TRUE(rig.Until([&] { return rig.Served(id); }));
    const Micros then = rig.clock.Now();
    rig.Until([&] { return rig.clock.Now() > then + 10'000; });
    rig.Settle();
  }
  // Serves the statement on the next connection that the server accepts; `which` is its number, from 0.
  void ServeOn(HeldServer& at, std::size_t which, const std::string& statement, RequestId id) {
    ASSERT_TRUE(rig.Until([&] { return at.Came(); }));
    at.Greet(which);
    ASSERT_TRUE(rig.Until([&] { return at.Got(which, statement); }));
    at.Say(which, Row("v"));
    EXPECT_TRUE(rig.Until([&] { return rig.Served(id); }));
  }
  // Expects that the connection has ended, and that the statement never came on it.
  void ExpectEndedWithout(std::size_t which, const std::string& statement) {
    EXPECT_TRUE(rig.Until([&] { return server.Drain(which); }));
    EXPECT_EQ(server.got[which].find(statement), std::string::npos);
  }
  // A statement waits for its connection when that complete list comes: the other server alone serves it.
  void ExpectServedElsewhereAfter(const std::vector<ListedServer>& list, HeldServer& other) {
    rig.Know({Rig::Listed("a", server.port())});
    const RequestId id = rig.Ask("statement");
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    rig.exchange.Heard(rig.clock.Now(), Listing{9, true, list});
    rig.Carry();
    server.Greet(0);  // late
    ServeOn(other, 0, "statement", id);
    ExpectEndedWithout(0, "statement");
  }

  HeldServer server;
  Rig rig;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_TESTS_UPSTREAM_UPSTREAM_POOL_FIXTURE_HPP_
