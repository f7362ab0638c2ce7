#include <gtest/gtest.h>

#include <vector>

#include "tests/dispatch/dispatcher_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against missing a new address: an id may come back on another machine.
TEST(EndpointDirectory, AServerMayMoveToANewAddress) {
  DispatcherHarness harness;
  ASSERT_EQ(harness.addresses.size(), 3u);
  harness.dispatcher.UpdateEndpoints(harness.now,
                                     {8, false, {DispatcherHarness::Listed("q", "127.0.0.2:9")}});
  harness.CollectCommands();
  EXPECT_EQ(harness.addresses.size(), 3u);
  EXPECT_EQ(harness.addresses[2], "127.0.0.2:9");
}

// Guards against keeping the names and addresses of all servers that ever were.
TEST(EndpointDirectory, ARemovedServerComesBackUnderANewNumber) {
  DispatcherHarness harness;
  ListedServer server = DispatcherHarness::Listed("q");
  server.state = ServerState::kGone;
  harness.dispatcher.UpdateEndpoints(harness.now, {8, false, {server, server}});
  harness.CollectCommands();
  EXPECT_EQ(harness.removed, (std::vector<ServerId>{2}));
  harness.dispatcher.UpdateEndpoints(
      harness.now, {9, true, {DispatcherHarness::Listed("p"), DispatcherHarness::Listed("q")}});
  harness.CollectCommands();
  EXPECT_EQ(harness.removed, (std::vector<ServerId>{2, 3}));
  EXPECT_EQ(harness.addresses.count(4), 1u);  // "q" has a new number
}

}  // namespace
}  // namespace tulipyoke
