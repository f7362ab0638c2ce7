// What was written when a connection ends, or the response comes early. Each brings two events about in the
// order that is not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstddef>
#include <optional>
#include <string>

#include "src/pg/message_writer.hpp"
#include "tests/dispatch/router_harness.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against a query that is sent on a connection which has ended, and then reported as never sent since
// the end is handled before the write: a statement that is not idempotent would run twice.
TEST_F(UpstreamPoolTest, AConnectionThatEndsAsItIsPickedTakesNoQuery) {
  OpenIdleConnection();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);  // it goes on reading, and would run what comes
  harness.AwaitSocketEvents();
  const RequestId id = harness.Submit("second");
  ServeOn(server, 1, "second", id);
  server.ReadAvailable(0);
  EXPECT_EQ(server.received[0].find("second"), std::string::npos);
  EXPECT_EQ(harness.attempt_outcomes(Status::kConnectFailed), 0u);
}

// Guards against the same where the loop has not been notified of the end yet.
TEST_F(UpstreamPoolTest, AConnectionWhoseEndIsUnreadTakesNoQuery) {
  OpenIdleConnection();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);
  const RequestId id = harness.Submit("second");
  ServeOn(server, 1, "second", id);
  server.ReadAvailable(0);
  EXPECT_EQ(server.received[0].find("second"), std::string::npos);
}

// The descriptor of this process's socket that is connected to `socket`; none: there is none.
std::optional<int> PeerDescriptorOf(const tcp::socket& socket) {
  const tcp::endpoint wanted = socket.remote_endpoint();
  for (int fd = 3; fd < 1024; ++fd) {
    tcp::endpoint name;
    auto size = static_cast<socklen_t>(name.capacity());
    if (::getsockname(fd, name.data(), &size) == 0 && name == wanted) return fd;
  }
  return std::nullopt;
}

// Guards against an end that is handled before the handler that would have reported the last byte as sent:
// the attempt has run, and was reported as one that did not. The rest of a statement is sent in several
// pieces once the socket has room, and the end is handled behind the first of them.
TEST(UpstreamConnection, AnEndBehindTheLastByteIsAnAttemptThatMayHaveRun) {
  std::size_t size = std::size_t{64} << 20;  // more than fits
  for (int round = 0; round < 8; ++round) {
    ManualServer server;
    RouterHarness harness;
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit(std::string(size, 'x'));
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    server.CompleteStartup(0);
    ASSERT_TRUE(
        harness.RunUntil([&] { return harness.pool.connections() == 1 && server.Received(0, "ledger"); }));
    const std::optional<int> sender = PeerDescriptorOf(server.sockets[0]);
    ASSERT_TRUE(sender);
    ASSERT_TRUE(harness.RunUntil([&] {  // it is full
      pollfd look{*sender, POLLOUT, 0};
      return ::poll(&look, 1, 0) == 0;
    }));
    harness.RunUntilIdle();
    pollfd look{*sender, POLLOUT, 0};
    while (::poll(&look, 1, 1) == 0) server.ReadAvailable(0);
    const std::size_t most = server.received[0].size();
    if (size > most + (std::size_t{1} << 20)) {
      size = most + 96'000;
      continue;
    }
    server.sockets[0].shutdown(tcp::socket::shutdown_send);
    harness.RunUntil([&] { return server.ReadAvailable(0) || harness.responses.contains(id); });
    server.ReadAvailable(0);
    // What arrived whole has run, for all that is known.
    ASSERT_GT(server.received[0].size(), size);
    EXPECT_EQ(harness.attempt_outcomes(Status::kReset), 1u);
    EXPECT_EQ(harness.attempt_outcomes(Status::kConnectFailed), 0u);
  }
}

// Guards against the next query's bytes behind half of another: the server responded before it had read all.
TEST_F(UpstreamPoolTest, AResponseBeforeTheStatementIsSentClosesTheConnection) {
  OpenIdleConnection();
  const RequestId id = harness.Submit(std::string(std::size_t{64} << 20, 'x'));
  harness.RunUntilIdle();
  std::string refusal;
  pg::AppendError(refusal, "ERROR", "53300", "not now");
  pg::AppendReadyForQuery(refusal);
  server.Send(0, refusal);
  harness.RunUntil([&] { return harness.attempt_outcomes(Status::kOverloaded) == 1; });
  harness.Disconnect(id);
  EXPECT_TRUE(harness.RunUntil([&] { return server.ReadAvailable(0); }));
  EXPECT_LT(server.received[0].size(), std::size_t{64} << 20);
}

// Guards against a retry that began within the window in which servers drop it, and is completed after it:
// servers begin with the last byte, so that it would run a second time.
TEST(UpstreamConnection, ARetryWhoseLastByteWouldBeTooLateIsNotSentToItsEnd) {
  Settings settings = RouterHarness::SingleClassSettings(Idempotency::kWithKey);
  settings.classes[0].retry_window = 400'000;
  ManualServer first, second;
  RouterHarness harness(settings);
  harness.Start({RouterHarness::ListedServerAt("a", first.port())});
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = harness.Submit(statement);
  ASSERT_TRUE(harness.RunUntil([&] { return first.Accept(); }));
  first.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return first.Received(0, "xxx"); }));
  const Micros window_over = harness.clock.Now() + 400'000;
  harness.UpdateServer(RouterHarness::ListedServerAt("b", second.port()));
  std::string error;
  pg::AppendError(error, "ERROR", "XX000", "it may have run");
  pg::AppendReadyForQuery(error);
  first.Send(0, error);
  ASSERT_TRUE(harness.RunUntil([&] { return second.Accept(); }));
  second.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return second.Received(0, "xxx"); }));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.clock.Now() > window_over; }));
  EXPECT_TRUE(harness.RunUntil(
      [&] { return second.ReadAvailable(0) || second.received[0].size() > statement.size(); }));
  EXPECT_LT(second.received[0].size(), statement.size());
  EXPECT_EQ(harness.attempt_outcomes(Status::kNotSent), 1u);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.responses.contains(id); }));
}

}  // namespace
}  // namespace tulipyoke::net
