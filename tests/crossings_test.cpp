// Two events that cross, each brought about in its bad order every time: see docs/design/crossings.md.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "src/net/front.hpp"
#include "tests/rig.hpp"

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
  // Serves what is asked on the next connection there.
  void ServeOn(HeldServer& at, std::size_t which, const std::string& statement, RequestId id) {
    ASSERT_TRUE(rig.Until([&] { return at.Came(); }));
    at.Greet(which);
    ASSERT_TRUE(rig.Until([&] { return at.Got(which, statement); }));
    at.Say(which, Row("v"));
    EXPECT_TRUE(rig.Until([&] { return rig.Served(id); }));
  }
  // The connection has ended, and that never came on it.
  void EndedWithout(std::size_t which, const std::string& statement) {
    EXPECT_TRUE(rig.Until([&] { return server.Drain(which); }));
    EXPECT_EQ(server.got[which].find(statement), std::string::npos);
  }
  // A statement waits for its connection as that whole list comes; it is served by the other server alone.
  void GoesElsewhereOn(const std::vector<ListedServer>& list, HeldServer& other) {
    rig.Know({Rig::Listed("a", server.port())});
    const RequestId id = rig.Ask("statement");
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    rig.exchange.Heard(rig.clock.Now(), Listing{9, true, list});
    rig.Carry();
    server.Greet(0);  // late
    ServeOn(other, 0, "statement", id);
    EndedWithout(0, "statement");
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
  ServeOn(server, 1, "second", id);
  server.Drain(0);
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
  EXPECT_EQ(rig.outcomes(Status::kConnectFailed), 0u);
}

// Guards against the same where the loop has not been told of the end yet.
TEST_F(Crossing, AConnectionWhoseEndWasNotHeardOfYetTakesNoQuery) {
  Warm();
  server.sockets[0].shutdown(tcp::socket::shutdown_send);
  const RequestId id = rig.Ask("second");
  ServeOn(server, 1, "second", id);
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
  ServeOn(other, 0, "statement", id);
  EndedWithout(0, "statement");
  // Back in service, it takes requests again.
  rig.Tell(Rig::Listed("b", other.port(), ServerState::kDraining));
  rig.Tell(Rig::Listed("a", server.port()));
  const RequestId next = rig.Ask("next");
  ServeOn(server, 1, "next", next);
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

// Guards against a send to a server that is in a whole list no more: its connection comes up all the same.
TEST_F(Crossing, WhatWaitsForAConnectionWhenItsServerLeavesTheListGoesElsewhere) {
  HeldServer other;
  GoesElsewhereOn({Rig::Listed("b", other.port())}, other);
}

// Guards against a start from an old list: what it knew holds only until the first word of the watch, also
// for what waits for a connection by then.
TEST_F(Crossing, AnOldListAtTheStartHoldsUntilTheFirstWordOnly) {
  HeldServer other;
  GoesElsewhereOn({Rig::Listed("a", server.port(), ServerState::kDraining), Rig::Listed("b", other.port())},
                  other);
}

// Guards against a statement that goes to where its server no longer is.
TEST_F(Crossing, WhatWaitsForAConnectionWhenTheAddressMovesGoesToTheNewOne) {
  HeldServer moved;
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId id = rig.Ask("statement");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  rig.Tell(Rig::Listed("a", moved.port()));  // the old one never comes up
  ServeOn(moved, 0, "statement", id);
  EndedWithout(0, "statement");
}

// Guards against the next query on the connection that was busy as the address moved, and against that
// query's end.
TEST_F(Crossing, WhatIsOutWhenTheAddressMovesIsLetFinishAndNothingFollowsIt) {
  HeldServer moved;
  Warm();
  const RequestId id = rig.Ask("second");
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "second"); }));
  rig.Tell(Rig::Listed("a", moved.port()));
  server.Say(0, Row("v"));
  EXPECT_TRUE(rig.Until([&] { return rig.Served(id); }));
  const RequestId third = rig.Ask("third");
  ServeOn(moved, 0, "third", third);
  EndedWithout(0, "third");
}

// Guards against a server that starts anew under its id while one attempt is out and another waits for its
// connection: what may have run is not sent again, what has not goes to the new process.
TEST_F(Crossing, AServerThatRestartsUnderItsIdTakesWhatHasNotRun) {
  Warm();
  const RequestId out = rig.Ask("second");
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "second"); }));
  const RequestId waits = rig.Ask("third");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  server.sockets[0].close();
  server.sockets[1].close();
  ListedServer anew = Rig::Listed("a", server.port());
  anew.started_unix_ms = rig.clock.Now() / 1000;
  rig.Tell(anew);
  ServeOn(server, 2, "third", waits);
  EXPECT_TRUE(rig.Until([&] { return rig.answers.contains(out); }));
  EXPECT_TRUE(std::holds_alternative<Failed>(rig.answers.at(out)));
  EXPECT_EQ(server.got[2].find("second"), std::string::npos);
}

// Guards against a statement broken off in the middle, which began before its server drained.
TEST_F(Crossing, AStatementThatIsBeingWrittenWhenItsServerDrainsIsWrittenWhole) {
  Warm();
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = rig.Ask(statement);
  rig.Settle();
  rig.Tell(Rig::Listed("a", server.port(), ServerState::kDraining));
  ASSERT_TRUE(rig.Until([&] { return server.Drain(0) || server.got[0].size() > statement.size(); }));
  server.Say(0, Row("v"));
  EXPECT_TRUE(rig.Until([&] { return rig.Served(id); }));
}

// Guards against a repeat that began within its window and is whole after it: servers begin with the last
// byte, so that it would run a second time.
TEST(CrossingWindow, ARepeatWhoseLastByteWouldComeTooLateIsNotSentToItsEnd) {
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
  pg::AppendReady(error);
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

Settings Soon() {
  Settings settings = Rig::OneClass(Effect::kUnsafe);
  settings.classes[0].aim = settings.classes[0].deadline = 300'000;
  return settings;
}

// Guards against an attempt that is said to have run, perhaps, though its connection never came up: its
// client would be told that it failed, where trying again is harmless.
TEST(CrossingDeadline, WhatStillWaitsForItsConnectionAtTheDeadlineNeverRan) {
  HeldServer server;
  Rig rig(Soon());
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId id = rig.Ask("statement", 300'000);
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  ASSERT_TRUE(rig.Until([&] { return rig.answers.contains(id); }));
  EXPECT_TRUE(std::holds_alternative<Refused>(rig.answers.at(id)));
  EXPECT_EQ(rig.outcomes(Status::kConnectFailed), 1u);
}

// Guards against a second answer, or none, where the value lies ready as the deadline is over, whichever of
// the two is heard of first.
TEST(CrossingDeadline, AnAnswerThatLiesReadyAtTheDeadlineMakesOneAnswer) {
  for (const bool answer_first : {true, false}) {
    HeldServer server;
    Rig rig(Soon());
    rig.Know({Rig::Listed("a", server.port())});
    const RequestId id = rig.Ask("statement", 300'000);
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    server.Greet(0);
    ASSERT_TRUE(rig.Until([&] { return server.Got(0, "statement"); }));
    server.Say(0, Row("v"));
    const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(320);
    while (std::chrono::steady_clock::now() < over) {
    }
    rig.clock.BeginIteration();
    if (!answer_first) rig.Carry();
    rig.Settle();
    EXPECT_EQ(rig.Served(id), answer_first);
    const ExchangeCounters& counters = rig.exchange.counters();
    EXPECT_EQ(counters.served, answer_first ? 1u : 0u);
    EXPECT_EQ(counters.refused + counters.failed, answer_first ? 0u : 1u);
    EXPECT_EQ(rig.pool.connections(), answer_first ? 1u : 0u);
  }
}

// Guards against an answer without end that holds its request, or fills the memory.
TEST(CrossingSpoilt, AnAnswerThatNeverEndsIsEndedByItsTime) {
  Settings settings = Rig::OneClass(Effect::kSafe);
  settings.classes[0].aim = 300'000;
  HeldServer server;
  Rig rig(settings);
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId id = rig.Ask("statement");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  server.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "statement"); }));
  std::string more;
  pg::AppendParameterStatus(more, "more", std::string(1000, 'x'));
  ASSERT_TRUE(rig.Until([&] {
    server.Say(0, more);
    return rig.answers.contains(id);
  }));
  EXPECT_TRUE(std::holds_alternative<Refused>(rig.answers.at(id)));
  EXPECT_EQ(rig.pool.connections(), 0u);
}

// Guards against a good answer that lies behind a spoilt one and is taken for the next query's, and against
// two attempts out at once: the spoilt one's connection is closed before the next server hears anything.
TEST(CrossingSpoilt, AGoodAnswerBehindASpoiltOneIsNobodys) {
  HeldServer first, second;
  Rig rig(Rig::OneClass(Effect::kSafe));
  rig.Know({Rig::Listed("a", first.port())});
  const RequestId id = rig.Ask("statement");
  ASSERT_TRUE(rig.Until([&] { return first.Came(); }));
  first.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return first.Got(0, "statement"); }));
  rig.Tell(Rig::Listed("b", second.port()));
  std::string spoilt;
  pg::AppendMessage(spoilt, 'W', "no such message");
  first.Say(0, spoilt + Row("not asked for"));
  ASSERT_TRUE(rig.Until([&] { return second.Came(); }));
  EXPECT_TRUE(first.Drain(0));  // not a turn later
  second.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return second.Got(0, "statement"); }));
  second.Say(0, Row("v"));
  ASSERT_TRUE(rig.Until([&] { return rig.Served(id); }));
  EXPECT_EQ(std::get<Served>(rig.answers.at(id)).value.value, "v");
  EXPECT_EQ(rig.outcomes(Status::kError), 1u);
}

// Guards against accepting that goes on after it was paused: the pause behind an error was just over.
TEST(CrossingAccept, APauseThatIsOverAsAcceptingIsPausedStartsNothing) {
  asio::io_context io;
  LoopClock clock;
  Exchange exchange({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState service;
  tcp::acceptor held(io, Loopback(0));  // as the platform does
  FrontOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.accept_fd = ::dup(held.native_handle());
  ClientFront front(io, clock, exchange, service, options);
  front.StartAccepting();
  ASSERT_EQ(::shutdown(held.native_handle(), SHUT_RDWR), 0);  // accepting fails
  while (front.counters().accept_errors == 0) io.run_one();
  ASSERT_EQ(::listen(held.native_handle(), 8), 0);
  tcp::socket client(io);
  client.connect(Loopback(front.port()));
  const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(30);
  while (std::chrono::steady_clock::now() < over) {
  }
  bool ran = false;
  asio::post(io, [&] { ran = true; });
  while (!ran) io.poll_one();  // what is due now waits behind it
  front.PauseAccepting();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(front.counters().accepted, 0u);
  front.StartAccepting();
  while (front.counters().accepted == 0) io.run_one();
  front.Stop();
}

// Guards against one attempt more than the settings allow, where each is ended by an error and another server
// is free to take it.
TEST(CrossingRetries, TheLastAllowedAttemptIsTheLast) {
  Settings settings = Rig::OneClass(Effect::kSafe);
  settings.max_attempts = 2;
  HeldServer servers[3];
  Rig rig(settings);
  rig.Know({Rig::Listed("0", servers[0].port())});
  const RequestId id = rig.Ask("statement");
  std::string error;
  pg::AppendError(error, "ERROR", "XX000", "it may have run");
  pg::AppendReady(error);
  for (std::size_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(rig.Until([&] { return servers[i].Came(); }));
    servers[i].Greet(0);
    ASSERT_TRUE(rig.Until([&] { return servers[i].Got(0, "statement"); }));
    rig.Tell(Rig::Listed(std::to_string(i + 1), servers[i + 1].port()));
    EXPECT_FALSE(rig.answers.contains(id));
    servers[i].Say(0, error);
  }
  ASSERT_TRUE(rig.Until([&] { return rig.answers.contains(id); }));
  EXPECT_TRUE(std::holds_alternative<Refused>(rig.answers.at(id)));
  rig.Settle();
  EXPECT_FALSE(servers[2].Came());
}

// Guards against a client that is closed in the middle of its request: another process of this router tells
// that it has come, room is made for it, and who has just asked looks idle.
TEST(CrossingNews, WhatMakesRoomWhileARequestIsReadDoesNotCloseItsClient) {
  asio::io_context io;
  LoopClock clock;
  Exchange exchange({Rig::OneClass(Effect::kUnsafe), 1, {}, {}, 1'000'000});
  exchange.Start(clock.Now(), Listing{1, true, {}});
  const ServingState service;
  ClientFront* told = nullptr;
  FrontOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.before_request = [&] { told->Resize({0, 100, 100, 1 << 20}); };
  ClientFront front(io, clock, exchange, service, options);
  told = &front;
  front.StartAccepting();
  tcp::socket socket(io);
  socket.connect(Loopback(front.port()));
  Peer client(std::move(socket), false);
  std::string hello;
  pg::AppendStartup(hello, "api", "ledger");
  client.Write(hello + Ask("1"));
  while (exchange.counters().taken == 0) io.run_one();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(front.clients(), 1u);
  for (const Command& command : exchange.TakeCommands()) {
    if (const auto* answer = std::get_if<AnswerRequest>(&command)) front.Deliver(answer->id, answer->answer);
  }
  client.UntilReady();
  EXPECT_EQ(CodeOf(client.UntilReady()), "53300");
  front.Stop();
}

}  // namespace
}  // namespace tulipyoke::net
