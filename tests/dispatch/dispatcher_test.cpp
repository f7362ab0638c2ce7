#include "src/dispatch/dispatcher.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "tests/scene.hpp"

namespace tulipyoke {
namespace {

// The exchange with a fake clock; commands are kept as they come.
class Bench {
 public:
  explicit Bench(Settings settings = TestSettings()) : dispatcher({settings, 1, {"a", "b"}, {}, 250 * kMs}) {
    dispatcher.Start(now, EndpointList{7, true, {Listed("p"), Listed("q"), Listed("r")}});
    Collect();
  }
  static ListedServer Listed(const std::string& id, const std::string& address = "127.0.0.1:1") {
    ListedServer s;
    s.id = id;
    s.address = address;
    s.state = ServerState::kReady;
    s.leads = id == "p";
    return s;
  }
  RequestId Ask(int class_index, Micros wait = kSecond) {
    ClientRequest r;
    r.class_index = class_index;
    r.wait = wait;
    r.key = 5;
    const RequestId id = dispatcher.Submit(now, r);
    Collect();
    return id;
  }
  void End(OperationId operation_id, Outcome outcome) {
    dispatcher.OperationFinished(now, operation_id, std::move(outcome));
    Collect();
  }
  void Pass(Micros span) {
    const Micros end = now + span;
    for (auto due = dispatcher.NextTimer(); due && *due <= end; due = dispatcher.NextTimer()) {
      now = std::max(now, *due);
      dispatcher.Tick(now);
      Collect();
    }
    now = end;
  }
  void Collect() {
    for (Command& c : dispatcher.TakeCommands()) {
      if (const auto* a = std::get_if<StartAttempt>(&c)) attempts.push_back(*a);
      if (const auto* p = std::get_if<StartProbe>(&c)) probes.push_back(*p);
      if (const auto* e = std::get_if<CancelOperation>(&c)) ended.push_back(e->operation_id);
      if (const auto* f = std::get_if<RemoveServer>(&c)) forgotten.push_back(f->server);
      if (const auto* s = std::get_if<SetAddress>(&c)) addresses[s->server] = s->address;
      if (const auto* a = std::get_if<SendResponse>(&c)) answers[a->id].push_back(a->response);
    }
  }

  Micros now = 1'767'225'600 * kSecond;
  Dispatcher dispatcher;
  std::vector<StartAttempt> attempts;
  std::vector<StartProbe> probes;
  std::vector<OperationId> ended;
  std::map<ServerId, std::string> addresses;
  std::vector<ServerId> forgotten;
  std::map<RequestId, std::vector<Response>> answers;
};

TEST(Dispatcher, TheFirstValueIsTheOneAnswer) {
  Bench b;
  const RequestId id = b.Ask(kAnyRead);
  ASSERT_EQ(b.attempts.size(), 1u);
  EXPECT_EQ(b.attempts[0].deadline, b.now + 400 * kMs);  // worth nothing when late: only to its aim
  b.End(b.attempts[0].operation_id, {.status = Status::kOk, .result = {"s", "value", "t"}});
  b.End(b.attempts[0].operation_id, {.status = Status::kOk, .result = {"s", "other", "t"}});
  ASSERT_EQ(b.answers[id].size(), 1u);
  EXPECT_EQ(std::get<ServedResponse>(b.answers[id][0]).result.value, "value");
  b.Pass(5 * kSecond);
  EXPECT_EQ(b.answers[id].size(), 1u);
  EXPECT_EQ(b.dispatcher.in_progress(), 0u);
}

// Guards against a silent server holding up the final answer, or its attempt being left out for ever.
TEST(Dispatcher, ASilentServerEndsInATimeOutAndAnAnswerByTheDeadline) {
  Bench b;
  const RequestId id = b.Ask(kAnyRead, 300 * kMs);
  ASSERT_EQ(b.attempts.size(), 1u);
  b.dispatcher.OperationWritten(
      b.attempts[0].operation_id);  // else it could not have run, and would be no time-out
  b.Pass(310 * kMs);
  EXPECT_EQ(b.answers[id].size(), 1u);
  ASSERT_FALSE(b.ended.empty());
  EXPECT_EQ(b.ended[0], b.attempts[0].operation_id);
  EXPECT_GE(b.dispatcher.counters().attempt_outcomes[static_cast<std::size_t>(Status::kTimeout)], 1u);
  EXPECT_EQ(b.dispatcher.counters().overdue, 0u);
}

// Guards against a keyed write that waits for a connection until past the window in which repeats are
// dropped.
TEST(Dispatcher, ARepeatOfAKeyedWriteStatesWhenItIsTooLate) {
  Bench b;
  for (int i = 0; i < 8; ++i) b.Ask(kAnyRead);  // each adds to what the module grants to further tries
  EXPECT_EQ(b.attempts[0].latest_start, kNoDeadline);
  b.attempts.clear();
  b.Ask(kKeyedWrite);
  ASSERT_EQ(b.attempts.size(), 1u);
  EXPECT_EQ(b.attempts[0].latest_start, kNoDeadline);
  b.End(b.attempts[0].operation_id, {.status = Status::kFull});  // never ran: no window has begun
  while (b.attempts.size() == 1 && b.dispatcher.in_progress() > 0) b.Pass(kMs);
  ASSERT_EQ(b.attempts.size(), 2u);
  EXPECT_EQ(b.attempts[1].latest_start, kNoDeadline);
  const Micros sent = b.now;
  b.Pass(20 * kMs);
  b.End(b.attempts[1].operation_id, {.status = Status::kError});  // it may have run
  while (b.attempts.size() == 2 && b.dispatcher.in_progress() > 0) b.Pass(kMs);
  ASSERT_EQ(b.attempts.size(), 3u);
  EXPECT_EQ(b.attempts[2].latest_start, sent + 600 * kMs);
}

// Guards against answering a client that has gone, and against an outcome for it being lost on the module.
TEST(Dispatcher, AClientThatLeavesIsOwedNothing) {
  Bench b;
  const RequestId id = b.Ask(kAnyRead);
  b.dispatcher.ClientDisconnected(b.now, id);
  b.Collect();
  ASSERT_EQ(b.ended.size(), 1u);  // a safe read is called off
  b.Pass(3 * kSecond);
  EXPECT_TRUE(b.answers[id].empty());
}

// Guards against more than one final answer, or none, whatever the order of outcomes, lists and clients'
// ends.
TEST(Dispatcher, RandomDaysGiveEachRequestExactlyOneAnswer) {
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    Bench b;
    std::map<RequestId, bool> left;
    std::size_t handled = 0;
    for (int step = 0; step < 400; ++step) {
      left[b.Ask(static_cast<int>(random() % 6), static_cast<Micros>(random() % 900) * kMs)] = false;
      if (random() % 10 == 0) {
        auto it = std::next(left.begin(), static_cast<std::ptrdiff_t>(random() % left.size()));
        if (b.answers[it->first].empty()) it->second = true;
        b.dispatcher.ClientDisconnected(b.now, it->first);
        b.Collect();
      }
      for (std::size_t n = b.attempts.size(); handled < n; ++handled) {
        if (random() % 3 == 0) continue;  // nothing comes back
        const OperationId operation_id = b.attempts[handled].operation_id;
        b.End(operation_id, {.status = static_cast<Status>(random() % 7),
                             .role = static_cast<Role>(random() % 3),
                             .position_unix_ms = b.now / 1000 - static_cast<std::int64_t>(random() % 900)});
      }
      if (random() % 40 == 0)
        b.dispatcher.UpdateEndpoints(b.now, {8, random() % 2 == 0, {Bench::Listed("p"), Bench::Listed("s")}});
      b.Pass(static_cast<Micros>(random() % 30) * kMs);
    }
    b.Pass(10 * kSecond);
    for (const auto& [id, gone] : left) EXPECT_EQ(b.answers[id].size(), gone ? 0u : 1u) << seed << " " << id;
    EXPECT_EQ(b.dispatcher.counters().overdue, 0u);
    EXPECT_EQ(b.dispatcher.in_progress(), 0u);
  }
}

// Guards against a new address going unseen: an id may come back on another machine.
TEST(Dispatcher, AnIdMayComeBackAtANewAddress) {
  Bench b;
  ASSERT_EQ(b.addresses.size(), 3u);
  b.dispatcher.UpdateEndpoints(b.now, {8, false, {Bench::Listed("q", "127.0.0.2:9")}});
  b.Collect();
  EXPECT_EQ(b.addresses.size(), 3u);
  EXPECT_EQ(b.addresses[2], "127.0.0.2:9");
}

// Guards against keeping the names and addresses of all servers that ever were.
TEST(Dispatcher, AServerThatLeftIsForgottenAndComesBackAsAnother) {
  Bench b;
  ListedServer q = Bench::Listed("q");
  q.state = ServerState::kGone;
  b.dispatcher.UpdateEndpoints(b.now, {8, false, {q, q}});
  b.Collect();
  EXPECT_EQ(b.forgotten, (std::vector<ServerId>{2}));
  b.dispatcher.UpdateEndpoints(b.now, {9, true, {Bench::Listed("p"), Bench::Listed("q")}});
  b.Collect();
  EXPECT_EQ(b.forgotten, (std::vector<ServerId>{2, 3}));
  EXPECT_EQ(b.addresses.count(4), 1u);  // q under a number of its own
}

// Guards against a read taken for newer than it is: positions are rounded down, commits up, to the origin.
TEST(Dispatcher, ACommitIsRoundedUpAndASessionReadWaitsForIt) {
  Settings settings = TestSettings();
  settings.origin = 1'767'225'000 * kSecond + 500;  // half a millisecond off
  settings.listed_role = ListedRole::kNone;
  Bench b(settings);
  const std::int64_t unix_ms = b.now / 1000;
  const auto show = [&](ServerId server, Role role, std::int64_t x0) {
    for (std::size_t i = 0; i < b.probes.size(); ++i) {
      if (b.probes[i].server != server) continue;
      b.End(b.probes[i].operation_id,
            {.report = {{"x0", static_cast<double>(x0)}, {"x1", role == Role::kPrimary}}});
    }
  };
  b.Ask(kKeyedWrite);  // nobody is known to be the primary: all are asked
  ASSERT_EQ(b.probes.size(), 3u);
  show(2, Role::kReplica, unix_ms - 40);
  show(3, Role::kReplica, unix_ms - 40);
  show(1, Role::kPrimary, unix_ms);
  ASSERT_EQ(b.attempts.size(), 1u);
  EXPECT_EQ(b.attempts[0].server, 1u);
  b.End(b.attempts[0].operation_id, {.role = Role::kPrimary, .position_unix_ms = unix_ms});
  b.Ask(kSessionRead);
  EXPECT_EQ(b.attempts.size(), 1u);  // no replica has shown the commit
  b.Ask(kAnyRead);
  ASSERT_EQ(b.attempts.size(), 2u);
  // The replica shows the very millisecond of the commit: rounded down it is still before the commit rounded
  // up.
  b.now += 2 * kMs;
  b.End(b.attempts[1].operation_id, {.role = Role::kReplica, .position_unix_ms = unix_ms});
  EXPECT_EQ(b.attempts.size(), 2u);
  b.Ask(kAnyRead);
  b.End(b.attempts.back().operation_id, {.role = Role::kReplica, .position_unix_ms = unix_ms + 1});
  EXPECT_EQ(b.attempts.size(), 4u);
}

// Guards against a session's read in the one process that misses its write in the other: the write is told
// before its answer goes out, and the read waits for it.
TEST(Dispatcher, WhatOneProcessWroteTheOtherReads) {
  Settings settings = TestSettings();
  settings.origin = 1'767'225'000 * kSecond + 500;
  Bench writer(settings), reader(settings);
  const std::int64_t unix_ms = writer.now / 1000;
  writer.dispatcher.EnableReplication(true);
  writer.Ask(kKeyedWrite);
  ASSERT_EQ(writer.attempts.size(), 1u);
  writer.dispatcher.OperationFinished(writer.now, writer.attempts[0].operation_id,
                                      {.role = Role::kPrimary, .position_unix_ms = unix_ms});
  const std::vector<Command> commands = writer.dispatcher.TakeCommands();
  std::vector<SessionUpdate> told;
  bool answered = false;
  for (const Command& command : commands) {
    const auto* tell = std::get_if<ReplicateToPeer>(&command);
    const auto* news = tell ? std::get_if<SessionUpdate>(&tell->update) : nullptr;
    if (news) told.push_back(*news);
    EXPECT_FALSE(news && answered);
    answered = answered || std::holds_alternative<SendResponse>(command);
  }
  EXPECT_TRUE(answered);
  ASSERT_EQ(told.size(), 1u);
  EXPECT_GE(told[0].commit_unix_ms, unix_ms);
  ASSERT_EQ(writer.dispatcher.SessionSnapshot().size(), 1u);
  EXPECT_EQ(writer.dispatcher.SessionSnapshot()[0].key, told[0].key);
  reader.dispatcher.ApplyPeerUpdate(reader.now, told[0]);
  for (const char* id : {"q", "r"})
    reader.dispatcher.ApplyPeerUpdate(reader.now, ServerUpdate{id, Role::kReplica, reader.now, unix_ms - 40});
  EXPECT_EQ(reader.dispatcher.ServerSnapshot()[1].position_unix_ms, unix_ms - 41);  // rounded down, twice
  reader.Ask(kSessionRead);
  EXPECT_TRUE(reader.attempts.empty());
  reader.Pass(9 * kMs);
  for (const char* id : {"q", "r"})
    reader.dispatcher.ApplyPeerUpdate(reader.now, ServerUpdate{id, Role::kReplica, reader.now, unix_ms + 9});
  reader.Pass(60 * kMs);
  EXPECT_EQ(reader.attempts.size(), 1u);
}

// Guards against a deadline that cuts off a value on its way, and one whose end is told twice or never.
TEST(Dispatcher, AValueOnItsWayIsEndedByItsServerOrItsClientAlone) {
  enum class End { kWhole, kBroken, kClientLeft };
  for (const End end : {End::kWhole, End::kBroken, End::kClientLeft}) {
    Bench b;
    const RequestId id = b.Ask(kAnyRead, 300 * kMs);
    const OperationId operation_id = b.attempts[0].operation_id;
    b.Pass(20 * kMs);
    const auto transfer = b.dispatcher.BeginStream(b.now, operation_id, "shape", 100'000);
    ASSERT_TRUE(transfer);
    EXPECT_EQ(transfer->size(), 100'000u);
    b.Collect();
    ASSERT_EQ(b.answers[id].size(), 1u);
    EXPECT_EQ(std::get<StreamingResponse>(b.answers[id][0]).stream, transfer);
    b.dispatcher.SetDrainDeadline(b.now + kSecond);
    b.Pass(5 * kSecond);
    EXPECT_TRUE(b.ended.empty());
    EXPECT_EQ(b.dispatcher.StatisticsAt(b.now).in_progress, 1u);
    if (end == End::kClientLeft) {
      b.dispatcher.ClientDisconnected(b.now, id);
      b.Collect();
      EXPECT_EQ(b.ended, (std::vector<OperationId>{operation_id}));
    } else {
      const Status status = end == End::kWhole ? Status::kOk : Status::kReset;
      b.End(operation_id, {.status = status, .result = {"", "", "tag"}});
      EXPECT_EQ(transfer->state(),
                end == End::kWhole ? ResponseStream::State::kComplete : ResponseStream::State::kAborted);
      EXPECT_EQ(b.dispatcher.in_progress(), 1u);  // until the client has it
      b.dispatcher.StreamDelivered(id);
    }
    b.End(operation_id, {.status = Status::kReset});
    b.dispatcher.StreamDelivered(id);
    EXPECT_EQ(b.dispatcher.in_progress(), 0u);
    EXPECT_EQ(b.answers[id].size(), 1u);
    EXPECT_EQ(b.attempts.size(), 1u);
    const ClassStatistics ends = b.dispatcher.StatisticsAt(b.now).classes[kAnyRead];
    EXPECT_EQ(ends.passed, end == End::kWhole ? 1u : 0u);
    EXPECT_EQ(ends.bad_gateway, end == End::kBroken ? 1u : 0u);
  }
}

// Guards against a value passed on to nobody, and against losing the write that it shows.
TEST(Dispatcher, AValueThatNobodyWaitsForIsNotPassedOn) {
  Bench b;
  const RequestId id = b.Ask(kKeyedWrite);
  b.dispatcher.OperationWritten(
      b.attempts[0].operation_id);  // else it would have been ended, and no server answers it
  b.dispatcher.ClientDisconnected(b.now, id);
  EXPECT_FALSE(b.dispatcher.BeginStream(b.now, b.attempts[0].operation_id, "shape", 100'000));
  EXPECT_EQ(b.dispatcher.SessionSnapshot().size(), 1u);
  EXPECT_FALSE(b.dispatcher.BeginStream(b.now, b.attempts[0].operation_id, "shape", 100'000));  // it is over
}

// Guards against a request that is sent on after its client has gone: held for a primary, for a connection,
// or in its last words to a server.
TEST(Dispatcher, WhatHasNotBeenSentWholeIsNotSentOnAfterItsClientHasLeft) {
  Bench b;
  for (const ServerId gone : {1, 2, 3}) {
    ListedServer drains = Bench::Listed(gone == 1 ? "p" : gone == 2 ? "q" : "r");
    drains.state = ServerState::kDraining;
    b.dispatcher.UpdateEndpoints(b.now, EndpointList{8, false, {drains}});
  }
  b.Collect();
  const RequestId held = b.Ask(kKeyedWrite);
  EXPECT_TRUE(b.attempts.empty());
  b.dispatcher.ClientDisconnected(b.now, held);
  b.dispatcher.UpdateEndpoints(
      b.now, EndpointList{9, true, {Bench::Listed("p"), Bench::Listed("q"), Bench::Listed("r")}});
  b.Pass(100 * kMs);
  EXPECT_TRUE(b.attempts.empty());
  const RequestId waits = b.Ask(kKeyedWrite);
  ASSERT_EQ(b.attempts.size(), 1u);
  b.ended.clear();
  b.dispatcher.ClientDisconnected(b.now, waits);
  b.Collect();
  EXPECT_EQ(b.ended, (std::vector<OperationId>{b.attempts[0].operation_id}));
  EXPECT_EQ(b.dispatcher.counters().attempt_outcomes[static_cast<std::size_t>(Status::kMoot)], 1u);
  b.Pass(kSecond);
  EXPECT_EQ(b.attempts.size(), 1u);
}

// Guards against an end that is counted twice, or not at all, where the answer and the client's leaving come
// in one turn, in either order.
TEST(Dispatcher, AnAnswerAndItsClientsLeavingInOneTurnEndItOnce) {
  for (const bool answer_first : {true, false}) {
    Bench b;
    const RequestId id = b.Ask(kKeyedWrite);
    const OperationId operation_id = b.attempts[0].operation_id;
    b.dispatcher.OperationWritten(operation_id);
    if (!answer_first) b.dispatcher.ClientDisconnected(b.now, id);
    b.dispatcher.OperationFinished(b.now, operation_id, {.role = Role::kPrimary});
    if (answer_first) b.dispatcher.ClientDisconnected(b.now, id);
    b.Collect();
    EXPECT_EQ(b.answers[id].size(), answer_first ? 1u : 0u);
    EXPECT_EQ(b.dispatcher.counters().served, answer_first ? 1u : 0u);
    EXPECT_EQ(b.dispatcher.counters().disconnected, answer_first ? 0u : 1u);
    EXPECT_EQ(b.dispatcher.SessionSnapshot().size(), 1u);  // the commit is known in both
    b.Pass(2 * kSecond);
    EXPECT_EQ(b.attempts.size(), 1u);
  }
}

// Guards against an attempt that is said to have run, perhaps, though its last byte never went out, and the
// other way round.
TEST(Dispatcher, OnlyWhatWasSentWholeMayHaveRunAtItsTimeOut) {
  for (const bool written : {true, false}) {
    Bench b;
    const RequestId id = b.Ask(kUnsafeWrite);
    ASSERT_EQ(b.attempts.size(), 1u);
    if (written) b.dispatcher.OperationWritten(b.attempts[0].operation_id);
    b.Pass(2 * kSecond);
    ASSERT_EQ(b.answers[id].size(), 1u);
    EXPECT_EQ(std::holds_alternative<FailedResponse>(b.answers[id][0]), written);
    EXPECT_EQ(b.ended[0], b.attempts[0].operation_id);
    EXPECT_EQ(b.attempts.size(), 1u);
  }
}

// Guards against a fast server filling the memory for a slow client.
TEST(ResponseStream, HoldsLittleAndSaysWhenThereIsRoom) {
  ResponseStream stream("shape", 1 << 20);
  int changes = 0, rooms = 0;
  stream.on_update = [&] { ++changes; };
  stream.on_writable = [&] { ++rooms; };
  const std::string piece(8192, 'v');
  EXPECT_TRUE(stream.Write(piece));
  EXPECT_EQ(stream.Read(), piece);
  EXPECT_EQ(rooms, 0);
  int given = 1;
  while (stream.Write(piece)) ++given;
  EXPECT_EQ(given, 4);
  EXPECT_TRUE(stream.full());
  EXPECT_EQ(stream.Read().size(), 4 * piece.size());
  EXPECT_EQ(rooms, 1);
  stream.Complete("tag");
  stream.Abort();  // too late
  EXPECT_EQ(stream.state(), ResponseStream::State::kComplete);
  EXPECT_EQ(changes, 6);
}

// Guards against a planned end that leaves a request without its answer, taken before or after it was told.
TEST(Dispatcher, AllIsAnsweredByAPlannedEnd) {
  Bench b;
  const RequestId before = b.Ask(kKeyedWrite, 5 * kSecond);
  b.dispatcher.SetDrainDeadline(b.now + 700 * kMs);
  b.Pass(300 * kMs);
  const RequestId after = b.Ask(kKeyedWrite, 5 * kSecond);
  ASSERT_EQ(b.attempts.size(), 2u);
  EXPECT_EQ(b.attempts[1].deadline, b.now + 400 * kMs);
  EXPECT_TRUE(b.answers[before].empty());
  b.Pass(401 * kMs);
  EXPECT_EQ(b.answers[before].size(), 1u);
  EXPECT_EQ(b.answers[after].size(), 1u);
  EXPECT_EQ(b.dispatcher.in_progress(), 0u);
  EXPECT_EQ(b.dispatcher.counters().overdue, 0u);
}

// Guards against a request that is held as a stop ends and told that it failed, though it was never sent and
// its client may ask elsewhere; and against one that may have run and is told that asking again is harmless.
TEST(Dispatcher, APlannedEndRefusesWhatWasNeverSent) {
  Bench b;
  const RequestId out = b.Ask(kUnsafeWrite, 5 * kSecond);
  ASSERT_EQ(b.attempts.size(), 1u);
  b.dispatcher.OperationWritten(b.attempts[0].operation_id);
  ListedServer drains = Bench::Listed("p");
  drains.state = ServerState::kDraining;
  b.dispatcher.UpdateEndpoints(b.now, EndpointList{8, false, {drains}});
  const RequestId held = b.Ask(kUnsafeWrite, 5 * kSecond);
  EXPECT_EQ(b.attempts.size(), 1u);
  b.dispatcher.SetDrainDeadline(b.now + 700 * kMs);
  b.Pass(701 * kMs);
  ASSERT_EQ(b.answers[out].size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailedResponse>(b.answers[out][0]));
  ASSERT_EQ(b.answers[held].size(), 1u);
  EXPECT_TRUE(std::holds_alternative<RejectedResponse>(b.answers[held][0]));
  EXPECT_EQ(b.dispatcher.counters().overdue, 0u);
}

// Guards against figures that count probes, or ends before or without their answer.
TEST(Dispatcher, FiguresCountEndsByClassAndAttemptsWrittenWhole) {
  Bench b;
  const RequestId first = b.Ask(kAnyRead);
  b.Ask(kKeyedWrite);
  ASSERT_EQ(b.attempts.size(), 2u);
  b.dispatcher.OperationWritten(b.attempts[0].operation_id);
  if (!b.probes.empty()) b.dispatcher.OperationWritten(b.probes[0].operation_id);
  EXPECT_EQ(b.dispatcher.StatisticsAt(b.now).in_progress, 2u);
  b.End(b.attempts[0].operation_id, {.status = Status::kOk});
  b.dispatcher.OperationWritten(b.attempts[0].operation_id);  // it is over
  EXPECT_EQ(b.answers[first].size(), 1u);
  b.dispatcher.CountLocalResponse(kAnyRead, RejectedResponse{});
  b.dispatcher.CountLocalResponse(kAnyRead, FailedResponse{});
  const DispatchStatistics statistics = b.dispatcher.StatisticsAt(b.now);
  EXPECT_EQ(statistics.classes[kAnyRead].passed, 1u);
  EXPECT_EQ(statistics.classes[kAnyRead].dropped, 1u);
  EXPECT_EQ(statistics.classes[kAnyRead].bad_gateway, 1u);
  EXPECT_EQ(statistics.classes[kKeyedWrite].passed, 0u);
  EXPECT_EQ(statistics.upstream_attempts, 1u);
  EXPECT_EQ(statistics.in_progress, 1u);
  EXPECT_EQ(statistics.known_servers, 3u);
  EXPECT_EQ(statistics.skipped_servers, 0u);
  ListedServer q = Bench::Listed("q");
  q.state = ServerState::kDraining;
  b.dispatcher.UpdateEndpoints(b.now, {8, false, {q}});
  EXPECT_EQ(b.dispatcher.StatisticsAt(b.now).known_servers, 3u);
  EXPECT_EQ(b.dispatcher.StatisticsAt(b.now).skipped_servers, 1u);
}

TEST(Counters, AreNamed) {
  DispatchCounters c;
  c.received = 3;
  c.attempt_outcomes[4] = 2;
  const std::string text = ToText(c);
  EXPECT_NE(text.find("taken=3 "), std::string::npos);
  EXPECT_NE(text.find("attempt_timeout=2"), std::string::npos);
}

}  // namespace
}  // namespace tulipyoke
