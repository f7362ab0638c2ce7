// Clients that pipeline several statements on one connection.
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

// Descriptor limits with which one connection may have only one open request, or several.
constexpr int kFewDescriptors = 64;
constexpr int kManyDescriptors = 512;

std::string ReadWithDeadline(const std::string& id, int milliseconds) {
  return Query("SELECT blob FROM rows WHERE handle = 'k' /* id=" + id +
               ",c=any,d=" + std::to_string(milliseconds) + ",cluster=0 */");
}
std::string SessionRead(const std::string& session, const std::string& id) {
  return Query("SELECT blob FROM rows WHERE handle = '" + session + "' /* id=" + id +
               ",c=own,d=20000,cluster=0 */");
}
std::string SessionWrite(const std::string& session, const std::string& id) {
  return Query("INSERT INTO rows (handle, blob) VALUES ('" + session +
               "', '\\x01') RETURNING blob /* id=" + id + ",c=write,d=20000,k=" + id + ",cluster=0 */");
}
std::string ValueOf(const Messages& response) {
  for (const auto& [type, body] : response) {
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

// The server responds to each statement with its id. Statements whose ids begin with "held" wait for
// ReleaseResponses.
class Pipelining : public testing::Test {
 protected:
  Pipelining()
      : server_([this](const std::string& query) {
          const std::string id = IdOf(query);
          if (id.starts_with("held")) const std::lock_guard guard(response_mutex_);
          return Row(id.starts_with("large") ? id + std::string(32'000, 'v') : id);
        }) {
    response_mutex_.lock();
  }
  ~Pipelining() override { ReleaseResponses(); }

  static std::string IdOf(const std::string& query) {
    const std::size_t from = query.find("id=") + 3;
    return query.substr(from, query.find(',', from) - from);
  }
  void ReleaseResponses() {
    if (released_) return;
    released_ = true;
    response_mutex_.unlock();
  }
  void WaitForQuery(const std::string& id) {
    while (!Contains(server_.queries(), id)) std::this_thread::yield();
  }
  static bool HasInProgress(RunningServer& router, int requests) {
    return router.Call("GET", "/control/counters").find("in_progress=" + std::to_string(requests) + "\n") !=
           std::string::npos;
  }

  std::mutex response_mutex_;
  bool released_ = false;
  ScriptedServer server_;
};

// Guards against a slow request that delays the statements after it: they run concurrently. The responses are
// sent in the order of the statements.
TEST_F(Pipelining, IndependentStatementsRunConcurrentlyWithOrderedResponses) {
  RunningServer router({server_.port()}, kManyDescriptors);
  Peer client = router.Session();
  client.Write(Ask("held") + Ask("second") + Query("SET a = 1") + Ask("third"));
  WaitForQuery("second");
  WaitForQuery("third");
  while (!HasInProgress(router, 1)) std::this_thread::yield();  // both are complete and wait for the first
  ReleaseResponses();
  EXPECT_EQ(ValueOf(client.UntilReady()), "held");
  EXPECT_EQ(ValueOf(client.UntilReady()), "second");
  const Messages set = client.UntilReady();
  ASSERT_EQ(set.size(), 2u);
  EXPECT_EQ(set[0].second, std::string("SET\0", 4));
  EXPECT_EQ(ValueOf(client.UntilReady()), "third");
}

// Guards against counting a deadline from when a statement is processed. A statement that arrived while
// another was in progress, and whose deadline has passed meanwhile, is rejected without an attempt.
TEST_F(Pipelining, DeadlineCountsFromTheArrivalOfTheLastByte) {
  // A new statement has enough time for an attempt, so only the time spent waiting can prevent the attempt.
  RunningServer router({server_.port()}, kFewDescriptors, 1, [](Config& config) {
    config.settings.classes[0].latency_objective = 400'000;
    config.settings.classes[0].late_weight = 1;
  });
  Peer client = router.Session();
  client.Write(Ask("held") + ReadWithDeadline("late", 400) + Ask("next"));
  WaitForQuery("held");
  const auto started_at = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < started_at + std::chrono::milliseconds(450))
    std::this_thread::yield();
  ReleaseResponses();
  EXPECT_EQ(ValueOf(client.UntilReady()), "held");
  EXPECT_EQ(CodeOf(client.UntilReady()), "53300");
  EXPECT_EQ(ValueOf(client.UntilReady()), "next");
  EXPECT_FALSE(Contains(server_.queries(), "late"));
}

void AddSessionClasses(Config& config) {
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

// Guards against a read that overtakes its session's write, and against delaying a read outside the session.
TEST_F(Pipelining, AReadWaitsForAnEarlierWriteOfItsSession) {
  RunningServer router({server_.port()}, kManyDescriptors, 1, AddSessionClasses);
  Peer client = router.Session();
  client.Write(SessionWrite("a", "held-write") + SessionRead("a", "after") + Ask("other"));
  WaitForQuery("held-write");
  WaitForQuery("other");
  EXPECT_FALSE(Contains(server_.queries(), "after"));
  while (!HasInProgress(router, 2)) std::this_thread::yield();
  EXPECT_FALSE(Contains(server_.queries(), "after"));
  ReleaseResponses();
  EXPECT_EQ(ValueOf(client.UntilReady()), "held-write");
  client.UntilReady();
  EXPECT_EQ(ValueOf(client.UntilReady()), "other");
}

// Guards against statements that start or continue after their client has disconnected.
TEST_F(Pipelining, ADisconnectEndsAllStatementsOfTheClient) {
  const std::vector<std::function<void(Peer&)>> disconnects = {
      [](Peer& peer) { peer.socket().close(); },
      [](Peer& peer) { peer.socket().shutdown(tcp::socket::shutdown_send); },
      [](Peer& peer) {
        peer.socket().set_option(asio::socket_base::linger(true, 0));
        peer.socket().close();
      }};
  asio::io_context io;
  tcp::acceptor acceptor(io, Loopback(0));  // connections to it never become ready
  for (const auto& disconnect : disconnects) {
    RunningServer router({acceptor.local_endpoint().port()}, kManyDescriptors, 1, [](Config& config) {
      config.settings.classes[0].idempotency = Idempotency::kNone;
      config.connect_timeout = 20'000'000;
    });
    Peer client = router.Session();
    client.Write(Ask("1") + Ask("2") + Ask("3"));
    while (!HasInProgress(router, 3)) std::this_thread::yield();
    disconnect(client);
    while (!HasInProgress(router, 0)) std::this_thread::yield();
  }
}

// Guards against a client that keeps sending and never reads: its open requests and unread bytes are bounded,
// and other clients are still served.
TEST_F(Pipelining, AClientThatNeverReadsIsBoundedAndDelaysNoOther) {
  RunningServer router({server_.port()}, kManyDescriptors);
  Peer pipelining = router.Session(), other = router.Session();
  pipelining.socket().non_blocking(true);
  std::string statements;
  for (int i = 0; statements.size() < (std::size_t{1} << 20); ++i)
    statements += Ask("large" + std::to_string(i));
  std::size_t sent = 0;
  // Its writes block once the router stops reading from it.
  std::vector<std::string> previous_queries;
  for (std::size_t stalled = 0; stalled < 2;) {
    std::error_code error;
    const std::size_t size =
        pipelining.socket().write_some(asio::buffer(statements.data() + sent % statements.size(),
                                                    statements.size() - sent % statements.size()),
                                       error);
    sent += size;
    if (!error) continue;
    ASSERT_EQ(error, asio::error::would_block);
    other.Write(Ask("o" + std::to_string(sent) + "-" + std::to_string(stalled)));
    EXPECT_NE(ValueOf(other.UntilReady()), "");
    const std::vector<std::string> current_queries = server_.queries();
    stalled = current_queries.size() == previous_queries.size() + 1 ? stalled + 1 : 0;
    previous_queries = current_queries;
  }
  EXPECT_LT(sent, std::size_t{64} << 20);
}

// Guards against one connection that uses all open requests.
TEST_F(Pipelining, OneConnectionCannotUseAllOpenRequests) {
  RunningServer router({server_.port()}, kManyDescriptors);
  Peer pipelining = router.Session(), other = router.Session();
  std::string statements;
  for (int i = 0; i < 200; ++i) statements += Ask("held" + std::to_string(i));
  pipelining.Write(statements);
  WaitForQuery("held5");
  other.Write(Ask("other"));
  EXPECT_EQ(ValueOf(other.UntilReady()), "other");
  EXPECT_LT(server_.queries().size(), 40u);
  ReleaseResponses();
  for (int i = 0; i < 200; ++i) EXPECT_NE(pipelining.UntilReady().back().first, '\0');
}

// Guards against a final error that overtakes pending responses, and against a Terminate that discards them.
TEST_F(Pipelining, ConnectionEndsAfterPendingResponses) {
  RunningServer router({server_.port()}, kManyDescriptors);
  Peer malformed = router.Session(), terminates = router.Session();
  malformed.Write(Ask("held1") + Ask("2") + std::string("?\0\0\0\4", 5) + Ask("3"));
  terminates.Write(Ask("held4") + Ask("5") + std::string("X\0\0\0\4", 5));
  WaitForQuery("2");
  WaitForQuery("5");
  ReleaseResponses();
  EXPECT_EQ(ValueOf(malformed.UntilReady()), "held1");
  EXPECT_EQ(ValueOf(malformed.UntilReady()), "2");
  EXPECT_EQ(CodeOf(malformed.UntilReady()), "08P01");
  EXPECT_EQ(ValueOf(terminates.UntilReady()), "held4");
  EXPECT_EQ(ValueOf(terminates.UntilReady()), "5");
  EXPECT_EQ(terminates.Next().first, '\0');
  EXPECT_FALSE(Contains(server_.queries(), "3"));
}

// Guards against forwarding a large value before earlier responses have been sent.
TEST(PipeliningLargeValue, IsSentAfterEarlierResponses) {
  std::mutex response_mutex;
  response_mutex.lock();
  const std::string large(std::size_t{1} << 20, 'v');
  ScriptedServer server([&](const std::string& query) {
    if (query.find("id=large") != std::string::npos) return Row(large);
    if (query.find("id=held") != std::string::npos) const std::lock_guard guard(response_mutex);
    return Row("small");
  });
  RunningServer router({server.port()}, kManyDescriptors);
  Peer client = router.Session();
  client.Write(Ask("held") + Ask("large") + Ask("last"));
  while (server.queries().size() < 3) std::this_thread::yield();
  response_mutex.unlock();
  EXPECT_EQ(ValueOf(client.UntilReady()), "small");
  EXPECT_TRUE(ValueOf(client.UntilReady()) == large);
  EXPECT_EQ(ValueOf(client.UntilReady()), "small");
}

}  // namespace
}  // namespace tulipyoke::net
