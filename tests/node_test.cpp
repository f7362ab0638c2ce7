// The whole router on loopback, between a scripted server and clients made of plain sockets.
#include "src/net/node.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "src/pg/wire.hpp"
#include "tests/running.hpp"

namespace tulipyoke::net {
namespace {

TEST(Node, ServesWhatTheServerMadeAndAnswersInOrder) {
  ScriptedServer server(
      [](const std::string& query) { return Row("for " + query.substr(query.find("id="), 4)); });
  Running node({server.port()});
  Peer client = node.Session();
  client.Write(Ask("1") + Ask("2") + Query(""));
  for (const char* id : {"1", "2"}) {
    const Messages m = client.UntilReady();
    ASSERT_EQ(m.size(), 4u);
    EXPECT_EQ(m[0], (std::pair<char, std::string>{'T', kShape}));
    EXPECT_EQ(pg::ParseSingleColumn(m[1].second), std::string("for id=") + id);
  }
  EXPECT_EQ(client.UntilReady()[0].first, 'I');
  // The statement passes on as it came, but for the wait.
  const std::vector<std::string> queries = server.queries();
  ASSERT_EQ(queries.size(), 2u);
  EXPECT_EQ(queries[0].substr(0, queries[0].find(",d=") + 1),
            "SELECT blob FROM rows WHERE handle = 'k' /* id=1,c=any,");
  EXPECT_EQ(queries[0].substr(queries[0].find(",cluster")), ",cluster=0 */");
}

// Guards against one client's nonsense harming another, or ending without a clean word.
TEST(Node, NonsenseEndsInAnErrorForThatClientAlone) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  Running node({server.port()});
  Peer good = node.Session();
  Peer asks = node.Session();
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
    Peer bad = node.Connect();
    bad.Write(bytes);
    EXPECT_EQ(bad.UntilReady().back().first, '\0') << seed;
  }
  Peer encrypted = node.Connect();
  encrypted.Write(std::string("\0\0\0\10\4\xd2\x16\x2f", 8));
  char no = 0;
  EXPECT_EQ(::recv(encrypted.socket().native_handle(), &no, 1, 0), 1);
  EXPECT_EQ(no, 'N');
  good.Write(Ask("7"));
  EXPECT_EQ(good.UntilReady()[0].first, 'T');
}

// Guards against a client that says nothing, or half of something, holding its place for good.
TEST(Node, WhoSaysNothingWholeIsToldAndLetGo) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  Running node({server.port()});
  Peer silent = node.Connect();
  Peer half = node.Session();
  half.Write(Ask("1").substr(0, 40));
  Peer mute = node.Session();
  Peer usual = node.Session();
  usual.Write(Ask("2"));
  EXPECT_EQ(usual.UntilReady()[0].first, 'T');
  for (Peer* peer : {&silent, &half, &mute}) {
    EXPECT_EQ(CodeOf(peer->UntilReady()), "08P01");
    EXPECT_EQ(peer->Next().first, '\0');
  }
  usual.Write(Ask("3"));
  EXPECT_EQ(usual.UntilReady()[0].first, 'T');
}

// Guards against a client that asks in another's name harming that one, and one that never learns.
TEST(Node, AnothersOpenIdIsRefusedAndNonsenseWithoutEndEndsTheConnection) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  Running node({server.port()});
  Peer owner = node.Session();
  owner.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  Peer thief = node.Session();
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

// Guards against garbage or a break from a server reaching the client: another server's value does.
TEST(Node, GarbageAndBreaksEndTheAttemptAndAnotherServerServes) {
  for (const char* nonsense : {"", "\xff\xff\xff\xff\xff garbage"}) {
    ScriptedServer bad([&](const std::string&) { return std::string(nonsense); });
    // It keeps the first request until the other server has had one: the second goes there by its load.
    ScriptedServer sound([&](const std::string&) {
      while (bad.queries().empty()) std::this_thread::yield();
      return Row("sound");
    });
    Running node({bad.port(), sound.port()});
    Peer first = node.Session();
    Peer second = node.Session();
    first.Write(Ask("1"));
    second.Write(Ask("2"));
    for (Peer* client : {&first, &second}) {
      const Messages m = client->UntilReady();
      ASSERT_EQ(m.size(), 4u);
      EXPECT_EQ(pg::ParseSingleColumn(m[1].second), "sound");
    }
    EXPECT_EQ(bad.queries().size(), 1u);
  }
}

// Guards against what comes behind a good answer being taken for the next request's: that value is another's.
TEST(Node, WhatFollowsAnAnswerIsNoAnswerToTheNextRequest) {
  for (const std::string more : {"again", "S", "\xff\xff\xff\xff\xff noise"}) {
    ScriptedServer server([&](const std::string& query) {
      const std::string row = Row(query.substr(query.find("id="), 4));
      return row + (more == "again" ? row : more);
    });
    Running node({server.port()});
    Peer client = node.Session();
    for (const std::string id : {"1", "2", "3"}) {
      client.Write(Ask(id));
      const Messages m = client.UntilReady();
      ASSERT_EQ(m.size(), 4u);
      EXPECT_EQ(pg::ParseSingleColumn(m[1].second), "id=" + id);
    }
  }
}

// Guards against more clients than descriptors: idle ones go first, the busy ones are served.
TEST(Node, IdleClientsMakeRoomForNewOnes) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  Running node({server.port()}, 64);
  std::vector<Peer> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(node.Session());
  Peer client = node.Session();
  client.Write(Ask("1"));
  EXPECT_EQ(client.UntilReady()[0].first, 'T');
  EXPECT_EQ(idle[0].Next().first, '\0');
}

// Guards against a crowd of new clients that shed each other before they have asked anything.
TEST(Node, ANewClientIsNotShedForTheNextOneBeforeItHasAsked) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  Running node({server.port()}, 64);
  std::vector<Peer> idle;
  for (int i = 0; i < 17; ++i) {
    idle.push_back(node.Session());
    idle.back().Write(Ask(std::to_string(i)));
    EXPECT_EQ(idle.back().UntilReady()[0].first, 'T');
  }
  Peer first = node.Connect();
  Peer second = node.Session();  // both are in by the time that the second is answered
  std::string hello;
  pg::AppendStartup(hello, "api", "ledger");
  first.Write(hello + Ask("first"));
  EXPECT_EQ(first.UntilReady().back().first, 'Z');
  EXPECT_EQ(first.UntilReady()[0].first, 'T');
}

// Guards against a pooled connection being closed for one that its client keeps for nothing.
TEST(Node, WhoAskedOnceMakesRoomBeforeWhoAsksAgain) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  Running node({server.port()}, 64);
  Peer pooled = node.Session();
  for (const char* id : {"a", "b"}) {
    pooled.Write(Ask(id));
    EXPECT_EQ(pooled.UntilReady()[0].first, 'T');
  }
  std::vector<Peer> once;
  for (int i = 0; i < 16; ++i) {
    once.push_back(node.Session());
    once.back().Write(Ask(std::to_string(i)));
    EXPECT_EQ(once.back().UntilReady()[0].first, 'T');
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(250));  // then they have surely been idle
  Peer next = node.Session();
  EXPECT_EQ(once[0].Next().first, '\0');
  pooled.Write(Ask("c"));
  EXPECT_EQ(pooled.UntilReady()[0].first, 'T');
}

// Guards against open requests that take up all that clients may hold, so that nobody can even ask.
TEST(Node, MoreOpenRequestsThanClientsMayHoldAreTurnedAway) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  Running node({server.port()}, 64);
  std::vector<Peer> asking;
  for (int i = 0; i < 17; ++i) {
    asking.push_back(node.Session());
    asking.back().Write(Ask(std::to_string(i)));
  }
  EXPECT_EQ(CodeOf(asking.back().UntilReady()), "53300");
  gate.unlock();
  EXPECT_EQ(asking[0].UntilReady()[0].first, 'T');
}

// Guards against answers piling up for a client that asks on and on and reads nothing.
TEST(Node, AClientThatDoesNotReadIsHeldUp) {
  ScriptedServer server([](const std::string&) { return Row(std::string(60000, 'v')); });
  Running node({server.port()});
  Peer greedy = node.Session();
  std::string asked;
  for (int i = 0; i < 400; ++i) asked += Ask(std::to_string(i));
  greedy.Write(asked);
  Peer other = node.Session();
  other.Write(Ask("x"));
  EXPECT_EQ(other.UntilReady()[0].first, 'T');
  for (int i = 0; i < 400; ++i) ASSERT_EQ(greedy.UntilReady()[0].first, 'T') << i;
}

std::string Noise(std::size_t size) {
  std::mt19937 random(7);
  std::string bytes(size, '\0');
  for (char& c : bytes) c = static_cast<char>(random());
  return bytes;
}

// Guards against large values taken for garbage, held whole, or mixed up with what comes behind them.
TEST(Node, ALargeValueIsPassedOnWhole) {
  const std::string value = Noise(std::size_t{4} << 20);
  ScriptedServer server([&](const std::string& query) {
    return Row(query.find("id=1,") == std::string::npos ? "small" : value);
  });
  Running node({server.port()});
  Peer client = node.Session();
  const int small = 65536;
  setsockopt(client.socket().native_handle(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  client.Write(Ask("1") + Ask("2"));
  // Another one is served while this one does not read.
  Peer other = node.Session();
  other.Write(Ask("3"));
  EXPECT_EQ(other.UntilReady()[0].first, 'T');
  const Messages m = client.UntilReady();
  ASSERT_EQ(m.size(), 4u);
  EXPECT_EQ(m[0].second, kShape);
  EXPECT_TRUE(pg::ParseSingleColumn(m[1].second) == value);
  EXPECT_EQ(m[2].second, std::string("SELECT 1\0", 9));
  EXPECT_EQ(pg::ParseSingleColumn(client.UntilReady()[1].second), "small");
  EXPECT_NE(node.Call("GET", "/control/counters").find("passed.any=3\n"), std::string::npos);
}

// Guards against a value that breaks off and looks whole, or of which a second attempt sends more.
TEST(Node, ALargeValueThatBreaksOffEndsInACloseAndNoFurtherAttempt) {
  for (const bool garbage : {false, true}) {
    std::string answer = Row(Noise(300'000));
    if (garbage) answer[answer.size() - 50] = '\xff';  // behind the value
    const std::string sent = garbage ? answer : answer.substr(0, 200'000);
    ScriptedServer server([&](const std::string&) { return sent; }, !garbage);
    Running node({server.port()});
    Peer client = node.Session();
    client.Write(Ask("1") + Ask("2"));
    for (const auto& [type, body] : client.UntilReady())
      EXPECT_TRUE(type == 'T' || type == 'D' || type == '\0');
    EXPECT_EQ(server.queries().size(), 1u);
    EXPECT_NE(node.Call("GET", "/control/counters").find("bad_gateway.any=1\n"), std::string::npos);
  }
}

// Guards against large statements copied time and again, refused, changed on their way, or holding up small
// ones while there is no room for them.
TEST(Node, LargeStatementsWaitForRoomAndGoThroughUnchanged) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string& query) {
    if (query.starts_with("INSERT")) const std::lock_guard wait(gate);
    std::string answer = Row("for " + query.substr(query.find("id="), 4));
    return answer.replace(answer.find("standby"), 7, "primary");
  });
  // Room for two of them.
  Running node({server.port()}, 256, 1, [](Config& config) {
    config.settings.classes[0].freshness = Freshness::kAny;
    config.settings.classes.push_back(config.settings.classes[0]);
    config.settings.classes[1].name = "put";
    config.settings.classes[1].freshness = Freshness::kWrite;
    config.settings.listed_role = ListedRole::kStart;
    config.known.servers[0].leads = true;
    config.memory_bytes = std::size_t{48} << 20;
    config.connect_timeout = 5'000'000;  // the loop may be busy with these for longer than usual
  });
  const std::string digits(std::size_t{8} << 20, 'a');
  const auto statement = [&](const std::string& id) {
    return "INSERT INTO rows (handle, blob) VALUES ('k', '\\x" + digits + "') RETURNING blob /* id=" + id +
           ",c=put,d=20000,cluster=0 */";
  };
  std::vector<Peer> writers;
  std::vector<std::thread> sending;
  for (int i = 0; i < 4; ++i) writers.push_back(node.Session());
  for (int i = 0; i < 4; ++i) {
    sending.emplace_back(
        [&, i] { writers[static_cast<std::size_t>(i)].Write(Query(statement(std::to_string(i)))); });
  }
  while (server.queries().size() < 2) std::this_thread::yield();
  Peer reader = node.Session();
  reader.Write(Ask("r"));
  EXPECT_EQ(reader.UntilReady()[0].first, 'T');
  EXPECT_NE(node.Call("GET", "/control/counters").find("in_progress=2\n"), std::string::npos);
  gate.unlock();
  for (std::thread& t : sending) t.join();
  for (std::size_t i = 0; i < 4; ++i) {
    const Messages m = writers[i].UntilReady();
    ASSERT_EQ(m.size(), 4u) << CodeOf(m) << " " << i;
    EXPECT_EQ(pg::ParseSingleColumn(m[1].second), "for id=" + std::to_string(i));
  }
  for (const std::string& query : server.queries()) {
    if (!query.starts_with("INSERT")) continue;
    const std::string sent = statement(query.substr(query.find("id=") + 3, 1));
    EXPECT_TRUE(query.substr(0, query.find(",d=")) == sent.substr(0, sent.find(",d=")));
    EXPECT_EQ(query.substr(query.find(",cluster")), ",cluster=0 */");
  }
}

// Guards against a statement too large for all there is waiting for ever, and room that is never given back.
TEST(StatementBudget, GivesRoomBackAndLetsTheLargestPass) {
  int released = 0;
  StatementBudget::Room outlives;
  {
    StatementBudget budget(100);
    budget.OnRelease([&] { ++released; });
    StatementBudget::Room a = budget.Reserve(60);
    ASSERT_TRUE(a);
    EXPECT_FALSE(budget.Reserve(41));
    const StatementBudget::Room copy = a;
    a.reset();
    EXPECT_EQ(budget.held(), 60u);
    EXPECT_TRUE(budget.Reserve(40));
    EXPECT_EQ(released, 1);
    outlives = copy;
  }
  StatementBudget small(10);
  EXPECT_TRUE(small.Reserve(50));
  outlives.reset();
  EXPECT_EQ(released, 1);
}

// Discovery for one watch: keeps what was asked, tells the one server, in pieces, and stays open.
class Agent {
 public:
  explicit Agent(std::uint16_t server) : server_(server), acceptor_(io_, Loopback(0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~Agent() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Once the node has ended or turned away.
  std::string asked() {
    thread_.join();
    thread_ = std::thread([] {});
    return asked_.substr(0, asked_.find(" HTTP"));
  }

 private:
  void Serve() {
    std::error_code ignored;
    tcp::socket socket = acceptor_.accept(ignored);
    if (ignored) return;
    asio::read_until(socket, asio::dynamic_buffer(asked_), "\r\n\r\n", ignored);
    const std::string line =
        R"({"revision":9,"complete":true,"members":[{"id":"s1","host_port":"127.0.0.1:)" +
        std::to_string(server_) + "\"}]}\n";
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    asio::write(socket, asio::buffer(head + "a\r\n" + line.substr(0, 10) + "\r\n"), ignored);
    std::array<char, 8> size{};
    std::snprintf(size.data(), size.size(), "%zx", line.size() - 10);
    asio::write(socket, asio::buffer(size.data() + ("\r\n" + line.substr(10)) + "\r\n"), ignored);
    std::array<char, 1> end{};
    socket.read_some(asio::buffer(end), ignored);
  }

  std::uint16_t server_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string asked_;
  std::thread thread_;
};

// Asks until a server has answered: what the list tells takes its time.
std::string FirstValue(Running& node, const std::string& wanted) {
  Peer client = node.Session();
  std::string value;
  for (int i = 0; i < 3000 && value != wanted; ++i) {
    client.Write(Ask(std::to_string(i)));
    const Messages m = client.UntilReady();
    if (m.size() == 4) value = pg::ParseSingleColumn(m[1].second);
    if (value != wanted) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return value;
}

// Guards against a list that is not followed: an id comes back at a new address, told in pieces.
TEST(Node, FollowsDiscoveryToANewAddress) {
  ScriptedServer moved([](const std::string&) { return Row("moved"); });
  Agent agent(moved.port());
  {
    Running node({1}, 256, agent.port());  // the known address refuses
    EXPECT_EQ(FirstValue(node, "moved"), "moved");
  }
  EXPECT_EQ(agent.asked(), "GET /registry/instances?follow=1&since=1");
}

// Guards against a SIGHUP that ends the program, or after which the old address of discovery is still
// watched, by LB_DISCOVERY or for want of a new connection; and against a bad file harming what runs.
TEST(Node, ANewConfigurationMovesTheWatchAndABadOneChangesNothing) {
  ScriptedServer first([](const std::string&) { return Row("first"); });
  ScriptedServer second([](const std::string&) { return Row("second"); });
  Agent before(first.port()), after(second.port());
  const std::string path = testing::TempDir() + "tulipyoke_reload_test.json";
  setenv("LB_CONFIG", path.c_str(), 1);
  setenv("LB_DISCOVERY", ("127.0.0.1:" + std::to_string(before.port())).c_str(), 1);
  {
    Running node({1}, 256, before.port());
    EXPECT_EQ(FirstValue(node, "first"), "first");
    std::ofstream(path) << "{\"name\":";
    kill(getpid(), SIGHUP);
    EXPECT_EQ(FirstValue(node, "first"), "first");
    std::ofstream(path) << R"({"listen":"127.0.0.1:0","settings":{"services":[{"name":"any"}]},)"
                        << R"("discovery":"127.0.0.1:)" << after.port() << "\"}";
    kill(getpid(), SIGHUP);
    EXPECT_EQ(FirstValue(node, "second"), "second");
  }
  unsetenv("LB_CONFIG");
  unsetenv("LB_DISCOVERY");
  std::remove(path.c_str());
  EXPECT_EQ(before.asked(), "GET /registry/instances?follow=1&since=1");
  EXPECT_EQ(after.asked(), "GET /registry/instances?follow=1&since=0");
}

// Guards against figures that are not what went out, and calls that are guessed at.
TEST(Node, TheDoorShowsTheFiguresAndRefusesWhatIsNoCall) {
  ScriptedServer server([](const std::string& query) {
    return query.find("id=2") == std::string::npos ? Row("v") : std::string(kShape.size(), '\xff');
  });
  Running node({server.port()});
  Peer client = node.Session();
  client.Write(Ask("1") + Ask("2") + Query("INSERT /* id=3,c=any,d=5 */"));
  for (int i = 0; i < 3; ++i) client.UntilReady();
  client.Write(
      Query("INSERT INTO rows (handle, blob) VALUES ('k', '\\x00') RETURNING blob /* id=3,c=any,d=5 */"));
  EXPECT_EQ(CodeOf(client.UntilReady()), "42601");
  const std::string figures = node.Call("GET", "/control/counters");
  EXPECT_TRUE(figures.starts_with("HTTP/1.1 200 OK\r\n")) << figures;
  EXPECT_NE(figures.find("\r\n\r\npassed.any=1\ndropped.any=1\nbad_gateway.any=1\n"), std::string::npos)
      << figures;
  std::size_t sent = 0;
  for (const std::string& query : server.queries()) sent += query.starts_with("SELECT blob") ? 1 : 0;
  EXPECT_NE(
      figures.find("upstream_tries=" + std::to_string(sent) + "\nin_progress=0\nknown_readings_servers=1\n"),
      std::string::npos)
      << figures;
  EXPECT_TRUE(node.Call("GET", "/control/nothing").starts_with("HTTP/1.1 404 "));
  const std::string wrong = node.Call("GET", "/control/in-service");
  EXPECT_TRUE(wrong.starts_with("HTTP/1.1 405 "));
  EXPECT_NE(wrong.find("Allow: POST\r\n"), std::string::npos);
  EXPECT_TRUE(node.Call("garbage\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

// Guards against callers that say nothing keeping an operator out.
TEST(Node, SilentCallersDelayNobodyAtTheDoor) {
  Running node({1});
  std::vector<tcp::socket> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(node.CallDoor(i % 2 ? "" : "GET /control/re"));
  EXPECT_TRUE(node.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
}

// Guards against a router that cannot be emptied, that cuts off what it has taken, or that stays empty.
TEST(Node, OutOfServiceItSaysNoAndClosesBehindEachAnswer) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  Running node({server.port()});
  Peer busy = node.Session();
  Peer idle = node.Session();
  busy.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  EXPECT_TRUE(node.Call("POST", "/control/out-of-service").starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(node.Call("GET", "/control/ready").starts_with("HTTP/1.1 503 "));
  Peer front = node.Session();
  front.Write(Query(""));
  EXPECT_EQ(CodeOf(front.UntilReady()), "57P03");
  Peer late = node.Session();
  late.Write(Ask("2"));
  EXPECT_EQ(idle.Next().first, '\0');
  gate.unlock();
  for (Peer* taken : {&busy, &late}) {
    EXPECT_EQ(taken->UntilReady()[0].first, 'T');
    EXPECT_EQ(taken->Next().first, '\0');
  }
  EXPECT_TRUE(node.Call("POST", "/control/in-service").starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(node.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
  Peer again = node.Session();
  again.Write(Query("") + Ask("3") + Ask("4"));
  EXPECT_EQ(again.UntilReady()[0].first, 'I');
  for (int i = 0; i < 2; ++i) EXPECT_EQ(again.UntilReady()[0].first, 'T');
}

// Guards against losing what was taken before a planned restart.
TEST(Node, AStopFinishesWhatWasTaken) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("late");
  });
  Running node({server.port()});
  Peer busy = node.Session();
  Peer idle = node.Session();
  busy.Write(Ask("1"));
  while (server.queries().empty()) std::this_thread::yield();
  kill(getpid(), SIGTERM);
  EXPECT_EQ(idle.Next().first, '\0');  // closed once the window is over
  gate.unlock();
  EXPECT_EQ(busy.UntilReady()[0].first, 'T');
  EXPECT_EQ(busy.Next().first, '\0');
}

// Guards against an upgrade in which clients are turned back, or both processes take them, or neither.
TEST(Node, ANewerProcessTakesTheClientsAndTheOlderOneFinishes) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string& query) {
    if (query.find("id=slow") != std::string::npos) const std::lock_guard wait(gate);
    return Row("v");
  });
  asio::io_context io;
  tcp::acceptor held(io, Loopback(0));  // as the platform does
  const std::string folder = testing::TempDir() + "tulipyoke_upgrade";
  std::filesystem::create_directories(folder);
  const auto beside = [&](Config& config) {
    config.accept_fd = ::dup(held.native_handle());
    config.temporary = folder;
  };
  Running older({server.port()}, 256, 1, beside);
  EXPECT_TRUE(older.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
  Peer busy = older.Session();
  Peer kept = older.Session();
  busy.Write(Ask("slow"));
  while (server.queries().empty()) std::this_thread::yield();
  Running newer({server.port()}, 256, 1, beside);
  while (newer.Call("GET", "/control/ready").find(" 200 ") == std::string::npos) std::this_thread::yield();
  while (older.Call("GET", "/control/ready").find(" 503 ") == std::string::npos) std::this_thread::yield();
  for (int i = 0; i < 10; ++i) {
    Peer client = older.Session();
    client.Write(Ask(std::to_string(i)) + Query(""));
    EXPECT_EQ(client.UntilReady()[0].first, 'T');
    EXPECT_EQ(client.UntilReady()[0].first, 'I');
  }
  EXPECT_NE(newer.Call("GET", "/control/counters").find("passed.any=10\n"), std::string::npos);
  kept.Write(Query(""));  // the router takes clients, in another process
  EXPECT_EQ(kept.UntilReady()[0].first, 'I');
  EXPECT_EQ(kept.Next().first, '\0');
  gate.unlock();
  EXPECT_EQ(busy.UntilReady()[0].first, 'T');
  EXPECT_EQ(busy.Next().first, '\0');
  newer.Stop();  // the signal reaches both
  older.Stop();
  std::filesystem::remove_all(folder);
}

// Guards against a stop that waits for clients that only hold a connection, and so keeps its successor
// waiting.
TEST(Node, AStopStaysForNobodyWhoOnlyHoldsAConnection) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  Running node({server.port()});
  std::vector<Peer> holding;
  for (int i = 0; i < 8; ++i) {
    holding.push_back(node.Session());
    holding.back().Write(Ask(std::to_string(i)));
    EXPECT_EQ(holding.back().UntilReady()[0].first, 'T');
  }
  Peer half = node.Session();
  half.Write(Ask("x").substr(0, 30));
  const auto begin = std::chrono::steady_clock::now();
  node.Stop();  // the longest deadline is 20 s; nobody closes by himself
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(3300));
  // Guards against a loop that spins until it ends: what it owes then waits for the core, and is lost.
  EXPECT_LT(node.turns(), 2000u);
}

// Guards against being killed with a request unanswered: a deadline over 3 s is not waited for.
TEST(Node, AStopAnswersAllBeforeTheEndByForce) {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].deadline = 1'200'000;
  EXPECT_EQ(PlanStop(settings).answer_by, 1'600'000);
  settings.classes[1].deadline = 5'000'000;
  EXPECT_EQ(PlanStop(settings).answer_by, 3'400'000);
  EXPECT_LT(PlanStop(settings).exit_by, 3'700'000);
}

// Guards against a repeat that is begun after its time because its connection was long in coming up.
TEST(ServerPool, WhatIsTooLateIsNotBegun) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  asio::io_context io;
  LoopClock clock;
  Exchange exchange({Settings{}, 1, {}, {}, 1'000'000});
  ServerPool pool(io, clock, exchange, {30'000'000, 30'000'000, 8});
  pool.SetAddress(1, "127.0.0.1:" + std::to_string(server.port()));
  const auto payload = std::make_shared<const Payload>(Payload{"late", 0, 0});
  const auto in_time = std::make_shared<const Payload>(Payload{" is d", 0, 0});
  const Micros far = clock.Now() + 60'000'000;
  pool.Start(StartAttempt{1, 1, payload, far, clock.Now() - 1});
  pool.Start(StartAttempt{2, 1, in_time, far, far});
  while (server.queries().empty() && clock.Now() < far) {
    clock.NewTurn();
    io.run_one();
  }
  const std::vector<std::string> queries = server.queries();
  ASSERT_EQ(queries.size(), 1u);
  EXPECT_TRUE(queries[0].ends_with(" is d")) << queries[0];
  pool.Stop();
}

// Guards against clients that keep a connection for each request using up all that they may hold.
TEST(ClientFront, IdleClientsGoBeforeAllPlacesAreTaken) {
  asio::io_context io;
  LoopClock clock;
  Exchange exchange({Settings{}, 1, {}, {}, 1'000'000});
  const Service service;
  ClientFront front(io, clock, exchange, service, {Loopback(0), {100, 100, 4, 1 << 20}});
  front.StartAccepting();
  std::vector<tcp::socket> clients;
  for (const unsigned wanted : {4u, 8u}) {
    while (clients.size() < wanted) clients.emplace_back(io).connect(Loopback(front.port()));
    while (front.counters().accepted < wanted) {
      clock.NewTurn();
      io.run_one();
    }
    if (wanted == 8) break;
    EXPECT_EQ(front.counters().shed, 0u);
    std::this_thread::sleep_for(std::chrono::milliseconds(250));  // then they have surely been idle
  }
  EXPECT_EQ(front.clients(), 4u);
  EXPECT_EQ(front.counters().shed, 4u);
  front.Stop();
}

// Guards against new clients turned away in a rush although idle ones hold the places: time stands still
// here.
TEST(ClientFront, InARushEachNewClientTakesThePlaceOfAnIdleOne) {
  asio::io_context io;
  LoopClock clock;
  Exchange exchange({Settings{}, 1, {}, {}, 1'000'000});
  const Service service;
  ClientFront front(io, clock, exchange, service, {Loopback(0), {4, 4, 4, 1 << 20}});
  front.StartAccepting();
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 40; ++i) clients.emplace_back(io).connect(Loopback(front.port()));
  while (front.counters().accepted < 40) io.run_one();
  EXPECT_EQ(front.counters().turned_away, 0u);
  EXPECT_EQ(front.counters().shed, 36u);
  front.Stop();
}

// Guards against a time to return that clients do not heed, or are not to be given: what the front refuses by
// itself is told as the module tells it.
TEST(ClientFront, TellsWhenToReturnAsTheSettingsAllow) {
  for (const bool told : {true, false}) {
    for (const bool out_of_service : {true, false}) {
      asio::io_context io;
      LoopClock clock;
      Settings settings;
      settings.classes.resize(1);
      settings.classes[0].name = "any";
      settings.classes[0].aim = settings.classes[0].deadline = 100'000;
      settings.retry_after = told;
      settings.max_retry_after = 500'000;
      Exchange exchange({settings, 1, {}, {}, 1'000'000});
      Service service;
      service.Start();
      if (out_of_service) service.TakeOut(0);  // long ago
      ClientFront front(io, clock, exchange, service, {Loopback(0), {100, 0, 100, 1 << 20}});
      front.StartAccepting();
      tcp::socket socket(io);
      socket.connect(Loopback(front.port()));
      Peer client(std::move(socket), false);
      std::string hello;
      pg::AppendStartup(hello, "api", "ledger");
      client.Write(hello + Ask("1"));
      while (exchange.FiguresAt(clock.Now()).classes[0].second.dropped == 0) io.run_one();
      client.UntilReady();
      const std::string error = client.UntilReady()[0].second;
      EXPECT_EQ(pg::ParseError(error).code, out_of_service ? "57P03" : "53300");
      const std::size_t at = error.find(std::string("\0D", 2));
      EXPECT_EQ(at != std::string::npos, told);
      const std::string told_ms = told ? error.c_str() + at + 2 : "";
      EXPECT_EQ(told_ms, !told ? "" : out_of_service ? "20" : "500");
      front.Stop();
    }
  }
}

// Guards against a list lost between chunks: lines come out whole, however the answer is cut.
TEST(WatchResponseParser, RandomCutsGiveTheSameLines) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string answer = head + "5\r\n{\"a\":\r\n4\r\n1}\n\n\r\n7\r\n{\"b\":2}\r\n1\r\n\n\r\n";
  for (unsigned seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    discovery::WatchResponseParser parser;
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < answer.size();) {
      const std::size_t size = std::min<std::size_t>(answer.size() - at, 1 + random() % 12);
      EXPECT_TRUE(parser.Feed(std::string_view(answer).substr(at, size), lines));
      at += size;
    }
    EXPECT_EQ(lines, (std::vector<std::string>{"{\"a\":1}", "", "{\"b\":2}"}));
    EXPECT_FALSE(parser.Feed("0\r\n\r\n", lines));
  }
  std::vector<std::string> lines;
  EXPECT_FALSE(discovery::WatchResponseParser().Feed("HTTP/1.1 503 Down\r\n\r\n", lines));
  EXPECT_FALSE(discovery::WatchResponseParser().Feed("garbage", lines));
}

}  // namespace
}  // namespace tulipyoke::net
