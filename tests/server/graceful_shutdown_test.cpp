// A graceful shutdown, and what may arrive together with it: each request has its answer.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/listener/client_listener.hpp"
#include "src/server/shutdown_plan.hpp"
#include "src/serving_state/serving_state.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// Deadlines for a short shutdown: all is answered by 0.7 s, and the process would be killed at 1 s.
void Soon(Config& config) { config.settings.classes[0].deadline = 300'000; }

// A server that accepts everything and answers nothing until the test is over.
class ShutdownWithHangingServer : public testing::Test {
 protected:
  ShutdownWithHangingServer()
      : server_([this](const std::string&) {
          const std::lock_guard wait(gate_);
          return Row("v");
        }) {
    gate_.lock();
  }
  ~ShutdownWithHangingServer() override { gate_.unlock(); }

  std::mutex gate_;
  ScriptedServer server_;
};

// Each request has its answer before the process is killed, although its server hangs, its client would wait
// for longer, and other signals come in between. So has a request sent later on the same connection.
TEST_F(ShutdownWithHangingServer, AnswersHangingAndLateRequests) {
  RunningServer router({server_.port()}, 256, 1, Soon);
  Peer busy = router.Session(), idle = router.Session();
  busy.Write(Ask("1"));
  while (server_.queries().empty()) std::this_thread::yield();
  kill(getpid(), SIGTERM);
  kill(getpid(), SIGTERM);
  kill(getpid(), SIGHUP);
  EXPECT_EQ(idle.Next().first, '\0');  // closed once the drain window is over
  busy.Write(Ask("2") + Ask("3"));
  for (int i = 0; i < 3; ++i) EXPECT_NE(CodeOf(busy.UntilReady()), "") << i;
  EXPECT_EQ(busy.Next().first, '\0');
}

// So has a request that is read in the same iteration as the signal, or was sent just before or after it.
TEST_F(ShutdownWithHangingServer, AnswersRequestsThatArriveWithTheSignal) {
  for (int round = 0; round < 3; ++round) {
    RunningServer router({1}, 256, 1, Soon);
    std::vector<Peer> clients;
    for (int i = 0; i < 12; ++i) clients.push_back(router.Session());
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if (i == 6) kill(getpid(), SIGTERM);
      clients[i].Write(Ask(std::to_string(i)));
    }
    for (Peer& client : clients) EXPECT_NE(CodeOf(client.UntilReady()), "");
  }
}

// The rest of an incomplete statement would arrive after the process has ended.
TEST_F(ShutdownWithHangingServer, RejectsIncompleteStatementsBeforeTheEnd) {
  RunningServer router({server_.port()}, 256, 1, Soon);
  Peer half = router.Session(), idle = router.Session();
  half.Write(Ask("1").substr(0, 40));
  kill(getpid(), SIGTERM);
  EXPECT_EQ(idle.Next().first, '\0');
  EXPECT_EQ(CodeOf(half.UntilReady()), "57P03");
  EXPECT_EQ(half.Next().first, '\0');
}

// The client sends the request again elsewhere: forwarding it as well would execute it twice.
TEST_F(ShutdownWithHangingServer, DoesNotForwardARequestThatCrossesTheClose) {
  RunningServer router({server_.port()}, 256, 1, [](Config& config) {
    Soon(config);
    config.settings.classes[0].latency_objective = 400'000;  // else there is no time to send it by the end
  });
  Peer idle = router.Session();
  kill(getpid(), SIGTERM);
  EXPECT_EQ(idle.Next().first, '\0');
  idle.Write(Ask("1"));
  router.Stop();
  EXPECT_TRUE(server_.queries().empty());
}

// A shutdown does not wait for the first list of servers, and does not lose requests that came before it.
TEST_F(ShutdownWithHangingServer, RejectsRequestsBeforeTheFirstList) {
  RunningServer router({}, 256, 1, Soon);
  Peer before = router.Session(), behind = router.Session();
  before.Write(Ask("1"));
  EXPECT_EQ(CodeOf(before.UntilReady()), "53300");
  kill(getpid(), SIGTERM);
  behind.Write(Ask("2"));
  EXPECT_NE(CodeOf(behind.UntilReady()), "");
  EXPECT_EQ(behind.Next().first, '\0');
}

// A client that reads slowly gets its answer completely, as long as there is time for it.
TEST(GracefulShutdown, CompletesPartlyWrittenAnswers) {
  ScriptedServer server([](const std::string&) { return Row(std::string(60'000, 'v')); });
  RunningServer router({server.port()});
  Peer slow = router.Session(), idle = router.Session();
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

// Clients in the kernel's queue when the listening socket closes have connected, and may have sent requests.
TEST(ListenerBacklog, AcceptsWhatIsInTheBacklog) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState service;
  ClientListener listener(io, clock, dispatcher, service, {Loopback(0), {100, 100, 100, 1 << 20}});
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 20; ++i) clients.emplace_back(io).connect(Loopback(listener.port()));
  listener.StopAccepting();
  EXPECT_EQ(listener.clients(), 20u);
  listener.Stop();
}

// Requests that were accepted before a shutdown are answered.
TEST(GracefulShutdown, FinishesAcceptedRequests) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("late");
  });
  RunningServer router({server.port()});
  Peer busy = router.Session();
  Peer idle = router.Session();
  busy.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  kill(getpid(), SIGTERM);
  EXPECT_EQ(idle.Next().first, '\0');  // closed once the drain window is over
  gate.unlock();
  EXPECT_EQ(busy.UntilReady()[0].first, 'T');
  EXPECT_EQ(busy.Next().first, '\0');
}

// A shutdown that waited for clients that only hold a connection would keep its successor waiting.
TEST(GracefulShutdown, DoesNotWaitForIdleConnections) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()});
  std::vector<Peer> holding;
  for (int i = 0; i < 8; ++i) {
    holding.push_back(router.Session());
    holding.back().Write(Ask(std::to_string(i)));
    EXPECT_EQ(holding.back().UntilReady()[0].first, 'T');
  }
  Peer half = router.Session();
  half.Write(Ask("x").substr(0, 30));
  const auto begin = std::chrono::steady_clock::now();
  router.Stop();  // the longest deadline is 20 s, and no client closes its connection
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(3300));
  // The loop sleeps meanwhile: spinning would take the core that pending answers need.
  EXPECT_LT(router.iterations(), 2000u);
}

// The process would be killed with requests unanswered if it waited for deadlines over 3 s.
TEST(ShutdownPlan, AnswersAllRequestsBeforeTheKill) {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].deadline = 1'200'000;
  EXPECT_EQ(PlanShutdown(settings).response_deadline, 1'600'000);
  settings.classes[1].deadline = 5'000'000;
  EXPECT_EQ(PlanShutdown(settings).response_deadline, 3'400'000);
  EXPECT_LT(PlanShutdown(settings).exit_deadline, 3'700'000);
}

}  // namespace
}  // namespace tulipyoke::net
