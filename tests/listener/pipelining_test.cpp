// Clients that send several statements behind one another on one connection.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// Descriptors with which one connection may have just one open request, or several.
constexpr int kFewDescriptors = 64;
constexpr int kManyDescriptors = 512;

std::string AskWithin(const std::string& id, int milliseconds) {
  return Query("SELECT blob FROM rows WHERE handle = 'k' /* id=" + id +
               ",c=any,d=" + std::to_string(milliseconds) + ",cluster=0 */");
}
std::string ReadOf(const std::string& session, const std::string& id) {
  return Query("SELECT blob FROM rows WHERE handle = '" + session + "' /* id=" + id +
               ",c=own,d=20000,cluster=0 */");
}
std::string WriteOf(const std::string& session, const std::string& id) {
  return Query("INSERT INTO rows (handle, blob) VALUES ('" + session +
               "', '\\x01') RETURNING blob /* id=" + id + ",c=write,d=20000,k=" + id + ",cluster=0 */");
}
std::string ValueOf(const Messages& answer) {
  for (const auto& [type, body] : answer) {
    if (type == 'D') return std::string(*pg::ParseSingleColumn(body));
  }
  return "";
}
bool Contains(const std::vector<std::string>& queries, const std::string& id) {
  for (const std::string& query : queries) {
    if (query.find("id=" + id + ",") != std::string::npos) return true;
  }
  return false;
}

// A server that answers each statement with its id; those whose ids begin with "held" once they are let go.
class Pipelining : public testing::Test {
 protected:
  Pipelining()
      : server_([this](const std::string& query) {
          const std::string id = IdOf(query);
          if (id.starts_with("held")) const std::lock_guard wait(gate_);
          return Row(id.starts_with("large") ? id + std::string(32'000, 'v') : id);
        }) {
    gate_.lock();
  }
  ~Pipelining() override { LetGo(); }

  static std::string IdOf(const std::string& query) {
    const std::size_t from = query.find("id=") + 3;
    return query.substr(from, query.find(',', from) - from);
  }
  void LetGo() {
    if (let_go_) return;
    let_go_ = true;
    gate_.unlock();
  }
  void UntilAsked(const std::string& id) {
    while (!Contains(server_.queries(), id)) std::this_thread::yield();
  }
  static bool InProgress(RunningServer& node, int requests) {
    return node.Call("GET", "/control/counters").find("in_progress=" + std::to_string(requests) + "\n") !=
           std::string::npos;
  }

  std::mutex gate_;
  bool let_go_ = false;
  ScriptedServer server_;
};

// Guards against a slow request that takes the time of those behind it: they run beside it. The answers come
// in the order of the statements.
TEST_F(Pipelining, IndependentStatementsRunSideBySideAndAreAnsweredInOrder) {
  RunningServer node({server_.port()}, kManyDescriptors);
  Peer client = node.Session();
  client.Write(Ask("held") + Ask("second") + Query("SET a = 1") + Ask("third"));
  UntilAsked("second");
  UntilAsked("third");
  while (!InProgress(node, 1)) std::this_thread::yield();  // both are answered, and wait for the first
  LetGo();
  EXPECT_EQ(ValueOf(client.UntilReady()), "held");
  EXPECT_EQ(ValueOf(client.UntilReady()), "second");
  const Messages set = client.UntilReady();
  ASSERT_EQ(set.size(), 2u);
  EXPECT_EQ(set[0].second, std::string("SET\0", 4));
  EXPECT_EQ(ValueOf(client.UntilReady()), "third");
}

// Guards against time that counts from when a statement is taken up: what came while another was being
// answered, and whose time is over since, is rejected without an attempt.
TEST_F(Pipelining, TimeCountsFromTheArrivalOfTheLastByte) {
  // A new statement has time enough for an attempt, so that only the time it has waited can be why there is
  // none.
  RunningServer node({server_.port()}, kFewDescriptors, 1, [](Config& config) {
    config.settings.classes[0].latency_objective = 400'000;
    config.settings.classes[0].late_weight = 1;
  });
  Peer client = node.Session();
  client.Write(Ask("held") + AskWithin("late", 400) + Ask("next"));
  UntilAsked("held");
  const auto then = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < then + std::chrono::milliseconds(450)) std::this_thread::yield();
  LetGo();
  EXPECT_EQ(ValueOf(client.UntilReady()), "held");
  EXPECT_EQ(CodeOf(client.UntilReady()), "53300");
  EXPECT_EQ(ValueOf(client.UntilReady()), "next");
  EXPECT_FALSE(Contains(server_.queries(), "late"));
}

void WithSessions(Config& config) {
  config.settings.classes[0].name = "any";
  ClassSettings own = config.settings.classes[0], write = config.settings.classes[0];
  own.name = "own";
  own.freshness = Freshness::kSession;
  write.name = "write";
  write.freshness = Freshness::kWrite;
  write.idempotency = Idempotency::kWithKey;
  write.retry_window = 20'000'000;
  config.settings.classes.push_back(own);
  config.settings.classes.push_back(write);
  config.settings.staleness_guard = StalenessGuard::kReject;
}

// Guards against a read that overtakes its session's write, and against one of another session that waits.
TEST_F(Pipelining, AReadBehindAWriteOfItsSessionSeesIt) {
  RunningServer node({server_.port()}, kManyDescriptors, 1, WithSessions);
  Peer client = node.Session();
  client.Write(WriteOf("a", "held-write") + ReadOf("a", "after") + Ask("other"));
  UntilAsked("held-write");
  UntilAsked("other");
  EXPECT_FALSE(Contains(server_.queries(), "after"));
  while (!InProgress(node, 2)) std::this_thread::yield();
  EXPECT_FALSE(Contains(server_.queries(), "after"));
  LetGo();
  EXPECT_EQ(ValueOf(client.UntilReady()), "held-write");
  client.UntilReady();
  EXPECT_EQ(ValueOf(client.UntilReady()), "other");
}

// Guards against statements that are begun, or go on, for a client that has left.
TEST_F(Pipelining, WhoLeavesEndsAllOfItsStatements) {
  const std::vector<std::function<void(Peer&)>> ways = {
      [](Peer& peer) { peer.socket().close(); },
      [](Peer& peer) { peer.socket().shutdown(tcp::socket::shutdown_send); },
      [](Peer& peer) {
        peer.socket().set_option(asio::socket_base::linger(true, 0));
        peer.socket().close();
      }};
  asio::io_context io;
  tcp::acceptor acceptor(io, Loopback(0));  // no connection to it ever gets ready
  for (const auto& leave : ways) {
    RunningServer node({acceptor.local_endpoint().port()}, kManyDescriptors, 1, [](Config& config) {
      config.settings.classes[0].idempotency = Idempotency::kNone;
      config.connect_timeout = 20'000'000;
    });
    Peer client = node.Session();
    client.Write(Ask("1") + Ask("2") + Ask("3"));
    while (!InProgress(node, 3)) std::this_thread::yield();
    leave(client);
    while (!InProgress(node, 0)) std::this_thread::yield();
  }
}

// Guards against a client that sends on for ever and reads nothing: what it may have open and unread is
// bounded, and others are served beside it.
TEST_F(Pipelining, WhoNeverReadsHoldsLittleAndStarvesNobody) {
  RunningServer node({server_.port()}, kManyDescriptors);
  Peer flood = node.Session(), other = node.Session();
  flood.socket().non_blocking(true);
  std::string more;
  for (int i = 0; more.size() < (std::size_t{1} << 20); ++i) more += Ask("large" + std::to_string(i));
  std::size_t sent = 0;
  // Its sending is held up once nothing is taken of it any more.
  std::vector<std::string> before;
  for (std::size_t stalled = 0; stalled < 2;) {
    std::error_code error;
    const std::size_t size = flood.socket().write_some(
        asio::buffer(more.data() + sent % more.size(), more.size() - sent % more.size()), error);
    sent += size;
    if (!error) continue;
    ASSERT_EQ(error, asio::error::would_block);
    other.Write(Ask("o" + std::to_string(sent) + "-" + std::to_string(stalled)));
    EXPECT_NE(ValueOf(other.UntilReady()), "");
    const std::vector<std::string> now = server_.queries();
    stalled = now.size() == before.size() + 1 ? stalled + 1 : 0;
    before = now;
  }
  EXPECT_LT(sent, std::size_t{64} << 20);
}

// Guards against one connection that takes all of what may be open.
TEST_F(Pipelining, OneConnectionHasButAPartOfTheOpenRequests) {
  RunningServer node({server_.port()}, kManyDescriptors);
  Peer flood = node.Session(), other = node.Session();
  std::string more;
  for (int i = 0; i < 200; ++i) more += Ask("held" + std::to_string(i));
  flood.Write(more);
  UntilAsked("held5");
  other.Write(Ask("other"));
  EXPECT_EQ(ValueOf(other.UntilReady()), "other");
  EXPECT_LT(server_.queries().size(), 40u);
  LetGo();
  for (int i = 0; i < 200; ++i) EXPECT_NE(flood.UntilReady().back().first, '\0');
}

// Guards against last words that overtake answers, and against an end that takes them along.
TEST_F(Pipelining, WhatEndsTheConnectionComesBehindTheAnswers) {
  RunningServer node({server_.port()}, kManyDescriptors);
  Peer nonsense = node.Session(), terminates = node.Session();
  nonsense.Write(Ask("held1") + Ask("2") + std::string("?\0\0\0\4", 5) + Ask("3"));
  terminates.Write(Ask("held4") + Ask("5") + std::string("X\0\0\0\4", 5));
  UntilAsked("2");
  UntilAsked("5");
  LetGo();
  EXPECT_EQ(ValueOf(nonsense.UntilReady()), "held1");
  EXPECT_EQ(ValueOf(nonsense.UntilReady()), "2");
  EXPECT_EQ(CodeOf(nonsense.UntilReady()), "08P01");
  EXPECT_EQ(ValueOf(terminates.UntilReady()), "held4");
  EXPECT_EQ(ValueOf(terminates.UntilReady()), "5");
  EXPECT_EQ(terminates.Next().first, '\0');
  EXPECT_FALSE(Contains(server_.queries(), "3"));
}

// Guards against a large value that is passed on before its turn.
TEST(PipeliningLarge, ALargeValueWaitsForItsTurn) {
  std::mutex gate;
  gate.lock();
  const std::string large(std::size_t{1} << 20, 'v');
  ScriptedServer server([&](const std::string& query) {
    if (query.find("id=large") != std::string::npos) return Row(large);
    if (query.find("id=held") != std::string::npos) const std::lock_guard wait(gate);
    return Row("small");
  });
  RunningServer node({server.port()}, kManyDescriptors);
  Peer client = node.Session();
  client.Write(Ask("held") + Ask("large") + Ask("last"));
  while (server.queries().size() < 3) std::this_thread::yield();
  gate.unlock();
  EXPECT_EQ(ValueOf(client.UntilReady()), "small");
  EXPECT_TRUE(ValueOf(client.UntilReady()) == large);
  EXPECT_EQ(ValueOf(client.UntilReady()), "small");
}

}  // namespace
}  // namespace tulipyoke::net
