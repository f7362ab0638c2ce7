// Two events that cross, each brought about in its bad order every time: see docs/design/crossings.md.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <asio.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/rig.hpp"
#include "tests/running.hpp"

namespace tulipyoke::net {
namespace {

class Crossing : public testing::Test {
 protected:
  // One connection that is up and rests no more: one request has been served on it.
  void Warm() {
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
  // Serves whatever is asked on the next connection.
  void ServeOn(std::size_t which, const std::string& statement, RequestId id) {
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    server.Greet(which);
    ASSERT_TRUE(rig.Until([&] { return server.Got(which, statement); }));
    server.Say(which, Row("v"));
    EXPECT_TRUE(rig.Until([&] { return rig.Served(id); }));
  }

  HeldServer server;
  Rig rig;
};

// Guards against a query that is sent on a connection whose end has come, and then said never to have been
// sent since the end is heard of before the write: where it may not be repeated it would run twice.
TEST_F(Crossing, AConnectionThatEndsAsItIsPickedTakesNoQuery) {
  Warm();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);  // it goes on reading, and would run what comes
  rig.Gather();
  const RequestId id = rig.Ask("second");
  ServeOn(1, "second", id);
  server.Drain(0);
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
  EXPECT_EQ(rig.outcomes(Status::kConnectFailed), 0u);
}

// Guards against the same where the loop has not been told of the end yet.
TEST_F(Crossing, AConnectionWhoseEndWasNotHeardOfYetTakesNoQuery) {
  Warm();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);
  const RequestId id = rig.Ask("second");
  ServeOn(1, "second", id);
  server.Drain(0);
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
}

// The socket of this process whose other end that is; -1: none.
int OtherEndOf(const tcp::socket& socket) {
  const tcp::endpoint wanted = socket.remote_endpoint();
  for (int fd = 3; fd < 1024; ++fd) {
    tcp::endpoint name;
    auto size = static_cast<socklen_t>(name.capacity());
    if (::getsockname(fd, name.data(), &size) == 0 && name == wanted) return fd;
  }
  return -1;
}

// Guards against an end heard of before the handler that would have told that the last byte is out: the
// attempt has run, and was said never to have. The rest of a statement goes out in several pieces once there
// is room, and the end is heard of behind the first of them.
TEST(CrossingWrite, AnEndBehindTheLastByteIsAnAttemptThatMayHaveRun) {
  std::size_t size = std::size_t{64} << 20;  // more than fits
  for (int round = 0; round < 8; ++round) {
    HeldServer server;
    Rig rig;
    rig.Know({Rig::Listed("a", server.port())});
    const RequestId id = rig.Ask(std::string(size, 'x'));
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    server.Greet(0);
    ASSERT_TRUE(rig.Until([&] { return rig.pool.connections() == 1 && server.Got(0, "ledger"); }));
    const int sends = OtherEndOf(server.sockets[0]);
    ASSERT_GE(sends, 0);
    ASSERT_TRUE(rig.Until([&] {  // it is full
      pollfd look{sends, POLLOUT, 0};
      return ::poll(&look, 1, 0) == 0;
    }));
    rig.Settle();
    pollfd look{sends, POLLOUT, 0};
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

// Guards against the next query's bytes behind half of another: the server answered before it had read all.
TEST_F(Crossing, AnAnswerBeforeTheStatementIsWholeEndsTheConnection) {
  Warm();
  const RequestId id = rig.Ask(std::string(std::size_t{64} << 20, 'x'));
  rig.Settle();
  std::string refusal;
  pg::AppendError(refusal, "ERROR", "53300", "not now");
  pg::AppendReady(refusal);
  server.Say(0, refusal);
  rig.Until([&] { return rig.outcomes(Status::kFull) == 1; });
  rig.Leave(id);
  EXPECT_TRUE(rig.Until([&] { return server.Drain(0); }));
  EXPECT_LT(server.got[0].size(), std::size_t{64} << 20);
}

// Guards against a sweep that comes round less often than connections go idle: the one that is picked may be
// past its time, and its close crosses the query.
TEST(CrossingIdle, AConnectionPastItsTimeIsNotPicked) {
  HeldServer server;
  Rig rig(Rig::OneClass(Effect::kUnsafe), 10);
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId first = rig.Ask("first");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  server.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "first"); }));
  server.Say(0, Row("v"));
  ASSERT_TRUE(rig.Until([&] { return rig.Served(first); }));
  const Micros then = rig.clock.Now();
  rig.Until([&] { return rig.clock.Now() > then + 10'000; });
  rig.Ask("second");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  server.Greet(1);
  EXPECT_TRUE(rig.Until([&] { return server.Got(1, "second"); }));
  server.Drain(0);
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
}

// Guards against a send after the grace: the attempt waited for its connection when its server began to
// drain, and that comes up whenever it does.
TEST_F(Crossing, WhatWaitsForAConnectionWhenItsServerDrainsGoesElsewhere) {
  HeldServer other;
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId id = rig.Ask("statement");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  rig.Tell(Rig::Listed("b", other.port()));
  rig.Tell(Rig::Listed("a", server.port(), ServerState::kDraining));
  server.Greet(0);  // late
  ASSERT_TRUE(rig.Until([&] { return other.Came(); }));
  other.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return other.Got(0, "statement"); }));
  other.Say(0, Row("v"));
  EXPECT_TRUE(rig.Until([&] { return rig.Served(id); }));
  EXPECT_TRUE(rig.Until([&] { return server.Drain(0); }));
  EXPECT_EQ(server.got[0].find("statement"), std::string::npos);
  // Back in service, it takes requests again.
  rig.Tell(Rig::Listed("b", other.port(), ServerState::kDraining));
  rig.Tell(Rig::Listed("a", server.port()));
  const RequestId next = rig.Ask("next");
  ServeOn(1, "next", next);
}

// Guards against a statement that goes on to its server after its client has gone, in the middle of it.
TEST_F(Crossing, AStatementWhoseClientLeavesWhileItIsSentIsNotSentToItsEnd) {
  Warm();
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = rig.Ask(statement);
  rig.Settle();
  rig.Leave(id);
  EXPECT_TRUE(rig.Until([&] { return server.Drain(0); }));
  EXPECT_LT(server.got[0].size(), statement.size());
  EXPECT_EQ(rig.outcomes(Status::kMoot), 1u);
}

// Guards against a request sent in the very turn in which its client's leaving was read behind it.
TEST_F(Crossing, ARequestAndItsClientsLeavingInOneTurnSendNothing) {
  Warm();
  ClientRequest request;
  request.wait = 20'000'000;
  request.payload = std::make_shared<const Payload>(Payload{"second", 6, 0});
  const RequestId id = rig.exchange.Submit(rig.clock.Now(), request);
  rig.Leave(id);
  const RequestId third = rig.Ask("third");
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "third"); }));
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
  server.Say(0, Row("v"));
  EXPECT_TRUE(rig.Until([&] { return rig.Served(third); }));
}

// What has been sent whole is let finish where it may not be repeated: its outcome tells a commit.
TEST_F(Crossing, WhatWasSentWholeIsNotEndedByItsClientsLeaving) {
  Warm();
  const RequestId id = rig.Ask("second");
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "second"); }));
  rig.Leave(id);
  server.Say(0, Row("v"));
  EXPECT_TRUE(rig.Until([&] { return rig.outcomes(Status::kOk) == 2; }));
}

// How clients leave.
void Reset(Peer& peer) {
  peer.socket().set_option(asio::socket_base::linger(true, 0));
  peer.socket().close();
}
void HalfClose(Peer& peer) { peer.socket().shutdown(tcp::socket::shutdown_send); }
void CloseWhole(Peer& peer) { peer.socket().close(); }

class Leaving : public testing::Test {
 protected:
  static bool NothingOut(Running& node) {
    return node.Call("GET", "/control/counters").find("in_progress=0\n") != std::string::npos;
  }
  static bool Out(Running& node, int requests) {
    return node.Call("GET", "/control/counters").find("in_progress=" + std::to_string(requests) + "\n") !=
           std::string::npos;
  }
  // So many clients each send a request that waits for a connection, and `more` behind it, and leave in that
  // way; then the connections come up. Nothing may come on them.
  static void LeaveWhileItWaits(int clients, const std::string& more,
                                const std::function<void(Peer&)>& leave) {
    asio::io_context io;
    tcp::acceptor acceptor(io, Loopback(0));
    std::vector<tcp::socket> held;
    {
      Running node({acceptor.local_endpoint().port()}, 512, 1, [](Config& config) {
        config.settings.classes[0].effect = Effect::kUnsafe;
        config.connect_timeout = 20'000'000;
      });
      std::vector<Peer> peers;
      for (int i = 0; i < clients; ++i) {
        peers.push_back(node.Session());
        peers.back().Write(Ask("w" + std::to_string(i)) + more);
      }
      for (int i = 0; i < clients; ++i) held.push_back(acceptor.accept());
      while (!Out(node, clients)) std::this_thread::yield();
      for (Peer& peer : peers) leave(peer);
      while (!NothingOut(node)) std::this_thread::yield();
      std::string hello;
      pg::AppendAuthenticationOk(hello);
      pg::AppendReady(hello);
      for (tcp::socket& socket : held) {
        std::error_code ignored;
        asio::write(socket, asio::buffer(hello), ignored);
      }
      while (node.Call("GET", "/control/counters").find("in_progress=0\nknown_readings_servers=1\n") ==
             std::string::npos) {
      }
    }
    for (tcp::socket& socket : held) {
      std::string all;
      std::error_code end;
      asio::read(socket, asio::dynamic_buffer(all), end);
      EXPECT_EQ(all.find("SELECT"), std::string::npos);
    }
  }
};

TEST_F(Leaving, ByAClose) { LeaveWhileItWaits(1, "", CloseWhole); }
TEST_F(Leaving, ByAReset) { LeaveWhileItWaits(1, "", Reset); }
TEST_F(Leaving, ByAHalfClose) { LeaveWhileItWaits(1, "", HalfClose); }
TEST_F(Leaving, AllAtOnce) { LeaveWhileItWaits(60, "", Reset); }
// Guards against a leaving that is not come upon, since nothing more is read of who has sent far ahead.
TEST_F(Leaving, WithFarMoreSentBehindIt) {
  std::string more;
  for (int i = 0; more.size() < 150'000; ++i) more += Ask("m" + std::to_string(i));
  LeaveWhileItWaits(1, more, CloseWhole);
  LeaveWhileItWaits(1, more, Reset);
  LeaveWhileItWaits(1, more, HalfClose);
}

// Guards against a request that waited behind another's answer and is begun then, long after its client left.
TEST_F(Leaving, ARequestBehindAnAnswerIsNotBegunForWhoHasLeft) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  {
    Running node({server.port()}, 256, 1,
                 [](Config& config) { config.settings.classes[0].effect = Effect::kUnsafe; });
    std::string more;
    for (int i = 0; more.size() < 150'000; ++i) more += Ask("m" + std::to_string(i));
    Peer client = node.Session();
    client.Write(Ask("first") + more);
    while (server.queries().empty()) std::this_thread::yield();
    HalfClose(client);
    gate.unlock();  // answered before the look at those that are not read
    while (!NothingOut(node)) std::this_thread::yield();
    EXPECT_TRUE(client.UntilReady().back().first != 's');
  }
  EXPECT_EQ(server.queries().size(), 1u);
}

}  // namespace
}  // namespace tulipyoke::net
