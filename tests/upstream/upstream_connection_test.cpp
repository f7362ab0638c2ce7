// What was written when a connection ends, or the response comes early. Each brings two events about in the
// order that is not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstddef>
#include <optional>
#include <string>

#include "src/pg/message_writer.hpp"
#include "tests/rig.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against a query that is sent on a connection which has ended, and then reported as never sent since
// the end is handled before the write: a statement that is not idempotent would run twice.
TEST_F(UpstreamPoolTest, AConnectionThatEndsAsItIsPickedTakesNoQuery) {
  OpenIdleConnection();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);  // it goes on reading, and would run what comes
  rig.Gather();
  const RequestId id = rig.Ask("second");
  ServeOn(server, 1, "second", id);
  server.Drain(0);
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
  EXPECT_EQ(rig.outcomes(Status::kConnectFailed), 0u);
}

// Guards against the same where the loop has not been notified of the end yet.
TEST_F(UpstreamPoolTest, AConnectionWhoseEndIsUnreadTakesNoQuery) {
  OpenIdleConnection();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);
  const RequestId id = rig.Ask("second");
  ServeOn(server, 1, "second", id);
  server.Drain(0);
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
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
    HeldServer server;
    Rig rig;
    rig.Know({Rig::Listed("a", server.port())});
    const RequestId id = rig.Ask(std::string(size, 'x'));
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    server.Greet(0);
    ASSERT_TRUE(rig.Until([&] { return rig.pool.connections() == 1 && server.Got(0, "ledger"); }));
    const std::optional<int> sender = PeerDescriptorOf(server.sockets[0]);
    ASSERT_TRUE(sender);
    ASSERT_TRUE(rig.Until([&] {  // it is full
      pollfd look{*sender, POLLOUT, 0};
      return ::poll(&look, 1, 0) == 0;
    }));
    rig.Settle();
    pollfd look{*sender, POLLOUT, 0};
    while (::poll(&look, 1, 1) == 0) server.Drain(0);
    const std::size_t most = server.got[0].size();
    if (size > most + (std::size_t{1} << 20)) {
      size = most + 96'000;
      continue;
    }
    server.sockets[0].shutdown(tcp::socket::shutdown_send);
    rig.Until([&] { return server.Drain(0) || rig.answers.contains(id); });
    server.Drain(0);
    // What arrived whole has run, for all that is known.
    ASSERT_GT(server.got[0].size(), size);
    EXPECT_EQ(rig.outcomes(Status::kReset), 1u);
    EXPECT_EQ(rig.outcomes(Status::kConnectFailed), 0u);
  }
}

// Guards against the next query's bytes behind half of another: the server responded before it had read all.
TEST_F(UpstreamPoolTest, AResponseBeforeTheStatementIsSentClosesTheConnection) {
  OpenIdleConnection();
  const RequestId id = rig.Ask(std::string(std::size_t{64} << 20, 'x'));
  rig.Settle();
  std::string refusal;
  pg::AppendError(refusal, "ERROR", "53300", "not now");
  pg::AppendReadyForQuery(refusal);
  server.Say(0, refusal);
  rig.Until([&] { return rig.outcomes(Status::kFull) == 1; });
  rig.Leave(id);
  EXPECT_TRUE(rig.Until([&] { return server.Drain(0); }));
  EXPECT_LT(server.got[0].size(), std::size_t{64} << 20);
}

// Guards against a retry that began within the window in which servers drop it, and is completed after it:
// servers begin with the last byte, so that it would run a second time.
TEST(UpstreamConnection, ARetryWhoseLastByteWouldBeTooLateIsNotSentToItsEnd) {
  Settings settings = Rig::OneClass(Effect::kKeyed);
  settings.classes[0].repeat_window = 400'000;
  HeldServer first, second;
  Rig rig(settings);
  rig.Know({Rig::Listed("a", first.port())});
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = rig.Ask(statement);
  ASSERT_TRUE(rig.Until([&] { return first.Came(); }));
  first.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return first.Got(0, "xxx"); }));
  const Micros window_over = rig.clock.Now() + 400'000;
  rig.Tell(Rig::Listed("b", second.port()));
  std::string error;
  pg::AppendError(error, "ERROR", "XX000", "it may have run");
  pg::AppendReadyForQuery(error);
  first.Say(0, error);
  ASSERT_TRUE(rig.Until([&] { return second.Came(); }));
  second.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return second.Got(0, "xxx"); }));
  ASSERT_TRUE(rig.Until([&] { return rig.clock.Now() > window_over; }));
  EXPECT_TRUE(rig.Until([&] { return second.Drain(0) || second.got[0].size() > statement.size(); }));
  EXPECT_LT(second.got[0].size(), statement.size());
  EXPECT_EQ(rig.outcomes(Status::kMoot), 1u);
  EXPECT_TRUE(rig.Until([&] { return rig.answers.contains(id); }));
}

}  // namespace
}  // namespace tulipyoke::net
