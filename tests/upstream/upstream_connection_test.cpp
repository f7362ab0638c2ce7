// Tests how much of a statement counts as sent when its connection ends or its response comes early. Each
// test produces two events in the less expected order; see docs/design/crossings.md.
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

// Guards against sending a query on a connection that has ended and then reporting it as never sent because
// the end is handled before the write: a statement that is not idempotent would run twice.
TEST_F(UpstreamPoolTest, DoesNotSendAQueryOnAConnectionThatHasEnded) {
  OpenIdleConnection();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);  // it still reads, and would execute a statement
  harness.AwaitSocketEvents();
  const RequestId id = harness.Submit("second");
  ServeOn(server, 1, "second", id);
  server.ReadAvailable(0);
  EXPECT_EQ(server.received[0].find("second"), std::string::npos);
  EXPECT_EQ(harness.attempt_outcomes(Status::kConnectFailed), 0u);
}

// Guards against the same failure if the event loop has not been notified of the end yet.
TEST_F(UpstreamPoolTest, DoesNotSendAQueryOnAConnectionWithAnUnreadEnd) {
  OpenIdleConnection();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);
  const RequestId id = harness.Submit("second");
  ServeOn(server, 1, "second", id);
  server.ReadAvailable(0);
  EXPECT_EQ(server.received[0].find("second"), std::string::npos);
}

// Returns the descriptor of the socket in this process that is connected to `socket`, or none.
std::optional<int> FindPeerDescriptor(const tcp::socket& socket) {
  const tcp::endpoint remote_name = socket.remote_endpoint();
  for (int fd = 3; fd < 1024; ++fd) {
    tcp::endpoint name;
    auto size = static_cast<socklen_t>(name.capacity());
    if (::getsockname(fd, name.data(), &size) == 0 && name == remote_name) return fd;
  }
  return std::nullopt;
}

// Guards against handling the end of the connection before the handler that reports the last byte as sent: an
// attempt that had run was reported as not executed. The remainder of a statement is sent in several parts
// once the socket buffer has space, and the end is handled after the first of them.
TEST(UpstreamConnection, AnAttemptMayHaveRunIfTheConnectionEndsAfterTheLastByte) {
  std::size_t size = std::size_t{64} << 20;  // more than the socket buffers hold
  for (int round = 0; round < 8; ++round) {
    ManualServer server;
    RouterHarness harness;
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit(std::string(size, 'x'));
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    server.CompleteStartup(0);
    ASSERT_TRUE(
        harness.RunUntil([&] { return harness.pool.connections() == 1 && server.Received(0, "ledger"); }));
    const std::optional<int> sender = FindPeerDescriptor(server.sockets[0]);
    ASSERT_TRUE(sender);
    ASSERT_TRUE(harness.RunUntil([&] {  // until the send buffer is full
      pollfd poll_entry{*sender, POLLOUT, 0};
      return ::poll(&poll_entry, 1, 0) == 0;
    }));
    harness.RunUntilIdle();
    pollfd poll_entry{*sender, POLLOUT, 0};
    while (::poll(&poll_entry, 1, 1) == 0) server.ReadAvailable(0);
    const std::size_t bytes_received = server.received[0].size();
    if (size > bytes_received + (std::size_t{1} << 20)) {
      size = bytes_received + 96'000;
      continue;
    }
    server.sockets[0].shutdown(tcp::socket::shutdown_send);
    harness.RunUntil([&] { return server.ReadAvailable(0) || harness.responses.contains(id); });
    server.ReadAvailable(0);
    // A statement that arrived completely may have been executed.
    ASSERT_GT(server.received[0].size(), size);
    EXPECT_EQ(harness.attempt_outcomes(Status::kReset), 1u);
    EXPECT_EQ(harness.attempt_outcomes(Status::kConnectFailed), 0u);
  }
}

// Guards against sending the next query after an incomplete one, to which the server responded early.
TEST_F(UpstreamPoolTest, AResponseToAPartlySentStatementClosesTheConnection) {
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

// Guards against completing a retry after the window in which servers recognize and drop it, although it
// began within that window: servers execute a statement when its last byte arrives, so it would run a second
// time.
TEST(UpstreamConnection, DoesNotCompleteARetryAfterItsLatestStart) {
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
  const Micros window_end = harness.clock.Now() + 400'000;
  harness.UpdateServer(RouterHarness::ListedServerAt("b", second.port()));
  std::string error;
  pg::AppendError(error, "ERROR", "XX000", "it may have run");
  pg::AppendReadyForQuery(error);
  first.Send(0, error);
  ASSERT_TRUE(harness.RunUntil([&] { return second.Accept(); }));
  second.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return second.Received(0, "xxx"); }));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.clock.Now() > window_end; }));
  EXPECT_TRUE(harness.RunUntil(
      [&] { return second.ReadAvailable(0) || second.received[0].size() > statement.size(); }));
  EXPECT_LT(second.received[0].size(), statement.size());
  EXPECT_EQ(harness.attempt_outcomes(Status::kNotSent), 1u);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.responses.contains(id); }));
}

}  // namespace
}  // namespace tulipyoke::net
