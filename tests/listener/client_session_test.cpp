// Client sessions: requests, responses, and malformed input.
#include <gtest/gtest.h>

#include <algorithm>
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
    const Messages messages = client.UntilReady();
    ASSERT_EQ(messages.size(), 4u);
    EXPECT_EQ(messages[0], (std::pair<char, std::string>{'T', kShape}));
    EXPECT_EQ(*pg::ParseSingleColumn(messages[1].second), std::string("for id=") + id);
  }
  EXPECT_EQ(client.UntilReady()[0].first, 'I');
  // The statements are forwarded unchanged, except for their deadlines. They run concurrently on two
  // connections, so the server may receive them in either order.
  std::vector<std::string> queries = server.queries();
  ASSERT_EQ(queries.size(), 2u);
  std::sort(queries.begin(), queries.end());
  for (const std::size_t i : {0u, 1u}) {
    EXPECT_EQ(queries[i].substr(0, queries[i].find(",d=") + 1),
              "SELECT blob FROM rows WHERE handle = 'k' /* id=" + std::to_string(i + 1) + ",c=any,");
    EXPECT_EQ(queries[i].substr(queries[i].find(",cluster")), ",cluster=0 */");
  }
}

// Malformed input gets an error and does not affect other clients.
TEST(ClientSession, MalformedInputFailsOnlyThatClient) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()});
  Peer good = router.Session();
  Peer invalid = router.Session();
  invalid.Write(Query("SELECT 1") + Query("SELECT 1 /* id=1,c=none,d=5 */") + Query("SET x TO 1"));
  EXPECT_EQ(CodeOf(invalid.UntilReady()), "42601");
  EXPECT_EQ(CodeOf(invalid.UntilReady()), "42601");
  EXPECT_EQ(invalid.UntilReady()[0].first, 'C');
  std::string extended;
  for (const char type : {'P', 'B', 'E', 'S'}) pg::AppendMessage(extended, type, "");
  invalid.Write(extended);
  const Messages errors = invalid.UntilReady();
  EXPECT_EQ(errors.size(), 2u);
  EXPECT_EQ(CodeOf(errors), "0A000");
  invalid.Write(std::string("Q\x7f\xff\xff\xff", 5));
  EXPECT_EQ(CodeOf(invalid.UntilReady()), "08P01");
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
  char encryption_reply = 0;
  EXPECT_EQ(::recv(encrypted.socket().native_handle(), &encryption_reply, 1, 0), 1);
  EXPECT_EQ(encryption_reply, 'N');
  good.Write(Ask("7"));
  EXPECT_EQ(good.UntilReady()[0].first, 'T');
}

// A client that sends nothing, or only an incomplete message, is disconnected.
TEST(ClientSession, IncompleteMessagesTimeOutWithAnError) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()});
  Peer silent = router.Connect();
  Peer incomplete = router.Session();
  incomplete.Write(Ask("1").substr(0, 40));
  Peer no_request = router.Session();
  Peer active = router.Session();
  active.Write(Ask("2"));
  EXPECT_EQ(active.UntilReady()[0].first, 'T');
  for (Peer* peer : {&silent, &incomplete, &no_request}) {
    EXPECT_EQ(CodeOf(peer->UntilReady()), "08P01");
    EXPECT_EQ(peer->Next().first, '\0');
  }
  active.Write(Ask("3"));
  EXPECT_EQ(active.UntilReady()[0].first, 'T');
}

// A request whose id belongs to another client's open request is rejected. A client that keeps sending
// invalid statements is disconnected.
TEST(ClientSession, RejectsADuplicateIdAndDisconnectsAfterRepeatedErrors) {
  std::mutex response_mutex;
  response_mutex.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard guard(response_mutex);
    return Row("v");
  });
  RunningServer router({server.port()});
  Peer owner = router.Session();
  owner.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  Peer duplicate = router.Session();
  duplicate.Write(Ask("1"));
  EXPECT_EQ(CodeOf(duplicate.UntilReady()), "42601");
  response_mutex.unlock();
  EXPECT_EQ(owner.UntilReady()[0].first, 'T');
  owner.Write(Ask("1"));  // the first request has finished, so its id is free again
  EXPECT_EQ(owner.UntilReady()[0].first, 'T');
  std::string invalid_statements;
  for (int i = 0; i < 300; ++i) invalid_statements += Query("SELECT 1");
  duplicate.Write(invalid_statements);
  // The duplicate id was the first rejection of eight. All statements arrive in one read, so each gets its
  // response before the connection is closed.
  for (int i = 0; i < 300; ++i) ASSERT_EQ(CodeOf(duplicate.UntilReady()), "42601") << i;
  const Messages last = duplicate.UntilReady();
  EXPECT_EQ(CodeOf(last), "08P01");
  EXPECT_EQ(last.size(), 2u);  // the error and the end of the stream
}

// Responses must not accumulate for a client that sends requests and does not read. Other clients are served
// meanwhile, and it still gets all responses in the end.
TEST(ClientSession, AClientThatDoesNotReadDoesNotBlockOthers) {
  ScriptedServer server([](const std::string&) { return Row(std::string(60000, 'v')); });
  RunningServer router({server.port()});
  Peer non_reading = router.Session();
  std::string requests;
  for (int i = 0; i < 400; ++i) requests += Ask(std::to_string(i));
  non_reading.Write(requests);
  Peer other = router.Session();
  other.Write(Ask("x"));
  EXPECT_EQ(other.UntilReady()[0].first, 'T');
  for (int i = 0; i < 400; ++i) ASSERT_EQ(non_reading.UntilReady()[0].first, 'T') << i;
}

}  // namespace
}  // namespace tulipyoke::net
