// A planned stop, and what may cross it: each request that comes has its answer, whatever else comes with it.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <asio.hpp>
#include <csignal>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/running.hpp"

namespace tulipyoke::net {
namespace {

// Deadlines that make the end come soon: by force at 1 s, all is answered by 0.7 s.
void Soon(Config& config) { config.settings.classes[0].deadline = 300'000; }

// A server that takes what comes and says nothing until the test is over.
class Stop : public testing::Test {
 protected:
  Stop()
      : server_([this](const std::string&) {
          const std::lock_guard wait(gate_);
          return Row("v");
        }) {
    gate_.lock();
  }
  ~Stop() override { gate_.unlock(); }

  std::mutex gate_;
  ScriptedServer server_;
};

// Guards against a request that has no answer by the end by force: its server hangs, its client waits for
// longer than there is, and other signals come between. What is sent on the same connection is answered too.
TEST_F(Stop, AllThatHangsAndAllThatComesLateIsAnswered) {
  Running node({server_.port()}, 256, 1, Soon);
  Peer busy = node.Session(), idle = node.Session();
  busy.Write(Ask("1"));
  while (server_.queries().empty()) std::this_thread::yield();
  kill(getpid(), SIGTERM);
  kill(getpid(), SIGTERM);
  kill(getpid(), SIGHUP);
  EXPECT_EQ(idle.Next().first, '\0');  // closed once the window is over
  busy.Write(Ask("2") + Ask("3"));
  for (int i = 0; i < 3; ++i) EXPECT_NE(CodeOf(busy.UntilReady()), "") << i;
  EXPECT_EQ(busy.Next().first, '\0');
}

// Guards against a request that is read in the turn of the signal, or was sent just before or behind it.
TEST_F(Stop, ARequestBesideTheSignalIsAnswered) {
  for (int round = 0; round < 3; ++round) {
    Running node({1}, 256, 1, Soon);
    std::vector<Peer> clients;
    for (int i = 0; i < 12; ++i) clients.push_back(node.Session());
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if (i == 6) kill(getpid(), SIGTERM);
      clients[i].Write(Ask(std::to_string(i)));
    }
    for (Peer& client : clients) EXPECT_NE(CodeOf(client.UntilReady()), "");
  }
}

// Guards against a half-read statement whose last byte crosses the end of the process.
TEST_F(Stop, AHalfReadStatementIsRefusedBeforeTheEnd) {
  Running node({server_.port()}, 256, 1, Soon);
  Peer half = node.Session(), idle = node.Session();
  half.Write(Ask("1").substr(0, 40));
  kill(getpid(), SIGTERM);
  EXPECT_EQ(idle.Next().first, '\0');
  EXPECT_EQ(CodeOf(half.UntilReady()), "57P03");
  EXPECT_EQ(half.Next().first, '\0');
}

// Guards against a request that is read behind the close of its idle connection and sent on: its client sends
// it once more elsewhere.
TEST_F(Stop, ARequestThatCrossesTheCloseOfItsConnectionIsNotSentOn) {
  Running node({server_.port()}, 256, 1, [](Config& config) {
    Soon(config);
    config.settings.classes[0].aim = 400'000;  // else there is no time to send it by the end
  });
  Peer idle = node.Session();
  kill(getpid(), SIGTERM);
  EXPECT_EQ(idle.Next().first, '\0');
  idle.Write(Ask("1"));
  node.Stop();
  EXPECT_TRUE(server_.queries().empty());
}

// Guards against a stop that waits for a list, or loses what came before the first one.
TEST_F(Stop, BeforeTheFirstListEachIsRefused) {
  Running node({}, 256, 1, Soon);
  Peer before = node.Session(), behind = node.Session();
  before.Write(Ask("1"));
  EXPECT_EQ(CodeOf(before.UntilReady()), "53300");
  kill(getpid(), SIGTERM);
  behind.Write(Ask("2"));
  EXPECT_NE(CodeOf(behind.UntilReady()), "");
  EXPECT_EQ(behind.Next().first, '\0');
}

// Guards against the half of an answer to a client that reads slowly, though there is time for it.
TEST(StopSlow, AnAnswerThatIsHalfWrittenIsWrittenWhole) {
  ScriptedServer server([](const std::string&) { return Row(std::string(60'000, 'v')); });
  Running node({server.port()});
  Peer slow = node.Session(), idle = node.Session();
  const int small = 32768;
  setsockopt(slow.socket().native_handle(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  std::string asked;
  for (int i = 0; i < 30; ++i) asked += Ask(std::to_string(i));
  slow.Write(asked);
  while (server.queries().size() < 10) std::this_thread::yield();
  kill(getpid(), SIGTERM);
  EXPECT_EQ(idle.Next().first, '\0');
  for (int i = 0; i < 30; ++i) {
    const Messages m = slow.UntilReady();
    ASSERT_TRUE(m.size() == 4 || !CodeOf(m).empty()) << i;
  }
}

// Guards against clients in the kernel's queue when the listening socket closes: they have connected, and may
// have asked.
TEST(StopBacklog, WhoHasConnectedIsTakenIn) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const Service service;
  ClientFront front(io, clock, dispatcher, service, {Loopback(0), {100, 100, 100, 1 << 20}});
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 20; ++i) clients.emplace_back(io).connect(Loopback(front.port()));
  front.StopAccepting();
  EXPECT_EQ(front.clients(), 20u);
  front.Stop();
}

}  // namespace
}  // namespace tulipyoke::net
