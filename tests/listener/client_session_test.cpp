// Sessions of clients: requests, answers, and malformed input.
#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

TEST(ClientSession, ReturnsServerValuesInRequestOrder) {
  ScriptedServer server(
      [](const std::string& query) { return Row("for " + query.substr(query.find("id="), 4)); });
  RunningServer router({server.port()});
  Peer client = router.Session();
  client.Write(Ask("1") + Ask("2") + Query(""));
  for (const char* id : {"1", "2"}) {
    const Messages m = client.UntilReady();
    ASSERT_EQ(m.size(), 4u);
    EXPECT_EQ(m[0], (std::pair<char, std::string>{'T', kShape}));
    EXPECT_EQ(*pg::ParseSingleColumn(m[1].second), std::string("for id=") + id);
  }
  EXPECT_EQ(client.UntilReady()[0].first, 'I');
  // The statement is forwarded as it came, except for the stated deadline.
  const std::vector<std::string> queries = server.queries();
  ASSERT_EQ(queries.size(), 2u);
  EXPECT_EQ(queries[0].substr(0, queries[0].find(",d=") + 1),
            "SELECT blob FROM rows WHERE handle = 'k' /* id=1,c=any,");
  EXPECT_EQ(queries[0].substr(queries[0].find(",cluster")), ",cluster=0 */");
}

// Malformed input is answered by an error and affects no other client.
TEST(ClientSession, MalformedInputFailsOnlyThatClient) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()});
  Peer good = router.Session();
  Peer asks = router.Session();
  asks.Write(Query("SELECT 1") + Query("SELECT 1 /* id=1,c=none,d=5 */") + Query("SET x TO 1"));
  EXPECT_EQ(CodeOf(asks.UntilReady()), "42601");
  EXPECT_EQ(CodeOf(asks.UntilReady()), "42601");
  EXPECT_EQ(asks.UntilReady()[0].first, 'C');
  std::string extended;
  for (const char type : {'P', 'B', 'E', 'S'}) pg::AppendMessage(extended, type, "");
  asks.Write(extended);
  const Messages refused = asks.UntilReady();
  EXPECT_EQ(refused.size(), 2u);
  EXPECT_EQ(CodeOf(refused), "0A000");
  asks.Write(std::string("Q\x7f\xff\xff\xff", 5));
  EXPECT_EQ(CodeOf(asks.UntilReady()), "08P01");
  for (unsigned seed = 0; seed < 30; ++seed) {
    std::mt19937 random(seed);
    std::string bytes(200, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    Peer bad = router.Connect();
    bad.Write(bytes);
    EXPECT_EQ(bad.UntilReady().back().first, '\0') << seed;
  }
  Peer encrypted = router.Connect();
  encrypted.Write(std::string("\0\0\0\10\4\xd2\x16\x2f", 8));
  char no = 0;
  EXPECT_EQ(::recv(encrypted.socket().native_handle(), &no, 1, 0), 1);
  EXPECT_EQ(no, 'N');
  good.Write(Ask("7"));
  EXPECT_EQ(good.UntilReady()[0].first, 'T');
}

// A client that sends nothing, or an incomplete message, does not keep its place for good.
TEST(ClientSession, IncompleteMessagesTimeOutWithAnError) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()});
  Peer silent = router.Connect();
  Peer half = router.Session();
  half.Write(Ask("1").substr(0, 40));
  Peer mute = router.Session();
  Peer usual = router.Session();
  usual.Write(Ask("2"));
  EXPECT_EQ(usual.UntilReady()[0].first, 'T');
  for (Peer* peer : {&silent, &half, &mute}) {
    EXPECT_EQ(CodeOf(peer->UntilReady()), "08P01");
    EXPECT_EQ(peer->Next().first, '\0');
  }
  usual.Write(Ask("3"));
  EXPECT_EQ(usual.UntilReady()[0].first, 'T');
}

// An id that another client's open request has is rejected; a client that goes on sending invalid statements
// is disconnected.
TEST(ClientSession, RejectsAnIdInUseAndDisconnectsAfterRepeatedErrors) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  RunningServer router({server.port()});
  Peer owner = router.Session();
  owner.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  Peer thief = router.Session();
  thief.Write(Ask("1"));
  EXPECT_EQ(CodeOf(thief.UntilReady()), "42601");
  gate.unlock();
  EXPECT_EQ(owner.UntilReady()[0].first, 'T');
  owner.Write(Ask("1"));  // over by then: its own again
  EXPECT_EQ(owner.UntilReady()[0].first, 'T');
  std::string nonsense;
  for (int i = 0; i < 300; ++i) nonsense += Query("SELECT 1");
  thief.Write(nonsense);
  int refused = 0;
  for (auto message = thief.Next(); message.first != '\0'; message = thief.Next())
    refused += message.first == 'E';
  EXPECT_EQ(refused, 7);  // and the one before
}

// Answers do not pile up for a client that sends requests and reads nothing.
TEST(ClientSession, AClientThatDoesNotReadIsThrottled) {
  ScriptedServer server([](const std::string&) { return Row(std::string(60000, 'v')); });
  RunningServer router({server.port()});
  Peer greedy = router.Session();
  std::string asked;
  for (int i = 0; i < 400; ++i) asked += Ask(std::to_string(i));
  greedy.Write(asked);
  Peer other = router.Session();
  other.Write(Ask("x"));
  EXPECT_EQ(other.UntilReady()[0].first, 'T');
  for (int i = 0; i < 400; ++i) ASSERT_EQ(greedy.UntilReady()[0].first, 'T') << i;
}

}  // namespace
}  // namespace tulipyoke::net
