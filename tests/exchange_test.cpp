#include "src/exchange/exchange.hpp"

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
  explicit Bench(Settings settings = TestSettings()) : exchange({settings, 1, {"a", "b"}, {}, 250 * kMs}) {
    exchange.Start(now, Listing{7, true, {Listed("p"), Listed("q"), Listed("r")}});
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
    const RequestId id = exchange.Submit(now, r);
    Collect();
    return id;
  }
  void End(Ticket ticket, Outcome outcome) {
    exchange.Finished(now, ticket, std::move(outcome));
    Collect();
  }
  void Pass(Micros span) {
    const Micros end = now + span;
    for (auto due = exchange.NextDue(); due && *due <= end; due = exchange.NextDue()) {
      now = std::max(now, *due);
      exchange.Tick(now);
      Collect();
    }
    now = end;
  }
  void Collect() {
    for (Command& c : exchange.TakeCommands()) {
      if (const auto* a = std::get_if<StartAttempt>(&c)) attempts.push_back(*a);
      if (const auto* p = std::get_if<StartProbe>(&c)) probes.push_back(*p);
      if (const auto* e = std::get_if<EndTicket>(&c)) ended.push_back(e->ticket);
      if (const auto* f = std::get_if<ForgetServer>(&c)) forgotten.push_back(f->server);
      if (const auto* s = std::get_if<SetAddress>(&c)) addresses[s->server] = s->address;
      if (const auto* a = std::get_if<AnswerRequest>(&c)) answers[a->id].push_back(a->answer);
    }
  }

  Micros now = 1'767'225'600 * kSecond;
  Exchange exchange;
  std::vector<StartAttempt> attempts;
  std::vector<StartProbe> probes;
  std::vector<Ticket> ended;
  std::map<ServerId, std::string> addresses;
  std::vector<ServerId> forgotten;
  std::map<RequestId, std::vector<Answer>> answers;
};

TEST(Exchange, TheFirstValueIsTheOneAnswer) {
  Bench b;
  const RequestId id = b.Ask(kAnyRead);
  ASSERT_EQ(b.attempts.size(), 1u);
  EXPECT_EQ(b.attempts[0].give_up, b.now + 400 * kMs);  // worth nothing when late: only to its aim
  b.End(b.attempts[0].ticket, {.status = Status::kOk, .served = {"s", "value", "t"}});
  b.End(b.attempts[0].ticket, {.status = Status::kOk, .served = {"s", "other", "t"}});
  ASSERT_EQ(b.answers[id].size(), 1u);
  EXPECT_EQ(std::get<Served>(b.answers[id][0]).value.value, "value");
  b.Pass(5 * kSecond);
  EXPECT_EQ(b.answers[id].size(), 1u);
  EXPECT_EQ(b.exchange.live(), 0u);
}

// Guards against a silent server holding up the final answer, or its attempt being left out for ever.
TEST(Exchange, ASilentServerEndsInATimeOutAndAnAnswerByTheDeadline) {
  Bench b;
  const RequestId id = b.Ask(kAnyRead, 300 * kMs);
  ASSERT_EQ(b.attempts.size(), 1u);
  b.exchange.Written(b.attempts[0].ticket);  // else it could not have run, and would be no time-out
  b.Pass(310 * kMs);
  EXPECT_EQ(b.answers[id].size(), 1u);
  ASSERT_FALSE(b.ended.empty());
  EXPECT_EQ(b.ended[0], b.attempts[0].ticket);
  EXPECT_GE(b.exchange.counters().outcomes[static_cast<std::size_t>(Status::kTimeout)], 1u);
  EXPECT_EQ(b.exchange.counters().overdue, 0u);
}

// Guards against a keyed write that waits for a connection until past the window in which repeats are
// dropped.
TEST(Exchange, ARepeatOfAKeyedWriteStatesWhenItIsTooLate) {
  Bench b;
  for (int i = 0; i < 8; ++i) b.Ask(kAnyRead);  // each adds to what the module grants to further tries
  EXPECT_EQ(b.attempts[0].start_by, kNoLimit);
  b.attempts.clear();
  b.Ask(kKeyedWrite);
  ASSERT_EQ(b.attempts.size(), 1u);
  EXPECT_EQ(b.attempts[0].start_by, kNoLimit);
  b.End(b.attempts[0].ticket, {.status = Status::kOverloaded});  // never ran: no window has begun
  while (b.attempts.size() == 1 && b.exchange.live() > 0) b.Pass(kMs);
  ASSERT_EQ(b.attempts.size(), 2u);
  EXPECT_EQ(b.attempts[1].start_by, kNoLimit);
  const Micros sent = b.now;
  b.Pass(20 * kMs);
  b.End(b.attempts[1].ticket, {.status = Status::kError});  // it may have run
  while (b.attempts.size() == 2 && b.exchange.live() > 0) b.Pass(kMs);
  ASSERT_EQ(b.attempts.size(), 3u);
  EXPECT_EQ(b.attempts[2].start_by, sent + 600 * kMs);
}

// Guards against answering a client that has gone, and against an outcome for it being lost on the module.
TEST(Exchange, AClientThatLeavesIsOwedNothing) {
  Bench b;
  const RequestId id = b.Ask(kAnyRead);
  b.exchange.ClientLeft(b.now, id);
  b.Collect();
  ASSERT_EQ(b.ended.size(), 1u);  // a safe read is called off
  b.Pass(3 * kSecond);
  EXPECT_TRUE(b.answers[id].empty());
}

// Guards against more than one final answer, or none, whatever the order of outcomes, lists and clients'
// ends.
TEST(Exchange, RandomDaysGiveEachRequestExactlyOneAnswer) {
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
        b.exchange.ClientLeft(b.now, it->first);
        b.Collect();
      }
      for (std::size_t n = b.attempts.size(); handled < n; ++handled) {
        if (random() % 3 == 0) continue;  // nothing comes back
        const Ticket ticket = b.attempts[handled].ticket;
        b.End(ticket, {.status = static_cast<Status>(random() % 7),
                       .role = static_cast<Role>(random() % 3),
                       .position_unix_ms = b.now / 1000 - static_cast<std::int64_t>(random() % 900)});
      }
      if (random() % 40 == 0)
        b.exchange.Heard(b.now, {8, random() % 2 == 0, {Bench::Listed("p"), Bench::Listed("s")}});
      b.Pass(static_cast<Micros>(random() % 30) * kMs);
    }
    b.Pass(10 * kSecond);
    for (const auto& [id, gone] : left) EXPECT_EQ(b.answers[id].size(), gone ? 0u : 1u) << seed << " " << id;
    EXPECT_EQ(b.exchange.counters().overdue, 0u);
    EXPECT_EQ(b.exchange.live(), 0u);
  }
}

// Guards against a new address going unseen: an id may come back on another machine.
TEST(Exchange, AnIdMayComeBackAtANewAddress) {
  Bench b;
  ASSERT_EQ(b.addresses.size(), 3u);
  b.exchange.Heard(b.now, {8, false, {Bench::Listed("q", "127.0.0.2:9")}});
  b.Collect();
  EXPECT_EQ(b.addresses.size(), 3u);
  EXPECT_EQ(b.addresses[2], "127.0.0.2:9");
}

// Guards against keeping the names and addresses of all servers that ever were.
TEST(Exchange, AServerThatLeftIsForgottenAndComesBackAsAnother) {
  Bench b;
  ListedServer q = Bench::Listed("q");
  q.state = ServerState::kGone;
  b.exchange.Heard(b.now, {8, false, {q, q}});
  b.Collect();
  EXPECT_EQ(b.forgotten, (std::vector<ServerId>{2}));
  b.exchange.Heard(b.now, {9, true, {Bench::Listed("p"), Bench::Listed("q")}});
  b.Collect();
  EXPECT_EQ(b.forgotten, (std::vector<ServerId>{2, 3}));
  EXPECT_EQ(b.addresses.count(4), 1u);  // q under a number of its own
}

// Guards against a read taken for newer than it is: positions are rounded down, commits up, to the origin.
TEST(Exchange, ACommitIsRoundedUpAndASessionReadWaitsForIt) {
  Settings settings = TestSettings();
  settings.position_epoch = 1'767'225'000 * kSecond + 500;  // half a millisecond off
  settings.listed_role = ListedRole::kNever;
  Bench b(settings);
  const std::int64_t unix_ms = b.now / 1000;
  const auto show = [&](ServerId server, Role role, std::int64_t x0) {
    for (std::size_t i = 0; i < b.probes.size(); ++i) {
      if (b.probes[i].server != server) continue;
      b.End(b.probes[i].ticket,
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
  b.End(b.attempts[0].ticket, {.role = Role::kPrimary, .position_unix_ms = unix_ms});
  b.Ask(kSessionRead);
  EXPECT_EQ(b.attempts.size(), 1u);  // no replica has shown the commit
  b.Ask(kAnyRead);
  ASSERT_EQ(b.attempts.size(), 2u);
  // The replica shows the very millisecond of the commit: rounded down it is still before the commit rounded
  // up.
  b.now += 2 * kMs;
  b.End(b.attempts[1].ticket, {.role = Role::kReplica, .position_unix_ms = unix_ms});
  EXPECT_EQ(b.attempts.size(), 2u);
  b.Ask(kAnyRead);
  b.End(b.attempts.back().ticket, {.role = Role::kReplica, .position_unix_ms = unix_ms + 1});
  EXPECT_EQ(b.attempts.size(), 4u);
}

// Guards against a session's read in the one process that misses its write in the other: the write is told
// before its answer goes out, and the read waits for it.
TEST(Exchange, WhatOneProcessWroteTheOtherReads) {
  Settings settings = TestSettings();
  settings.position_epoch = 1'767'225'000 * kSecond + 500;
  Bench writer(settings), reader(settings);
  const std::int64_t unix_ms = writer.now / 1000;
  writer.exchange.TellOthers(true);
  writer.Ask(kKeyedWrite);
  ASSERT_EQ(writer.attempts.size(), 1u);
  writer.exchange.Finished(writer.now, writer.attempts[0].ticket,
                           {.role = Role::kPrimary, .position_unix_ms = unix_ms});
  const std::vector<Command> commands = writer.exchange.TakeCommands();
  std::vector<SessionNews> told;
  bool answered = false;
  for (const Command& command : commands) {
    const auto* tell = std::get_if<TellPartners>(&command);
    const auto* news = tell ? std::get_if<SessionNews>(&tell->news) : nullptr;
    if (news) told.push_back(*news);
    EXPECT_FALSE(news && answered);
    answered = answered || std::holds_alternative<AnswerRequest>(command);
  }
  EXPECT_TRUE(answered);
  ASSERT_EQ(told.size(), 1u);
  EXPECT_GE(told[0].commit_unix_ms, unix_ms);
  ASSERT_EQ(writer.exchange.Sessions().size(), 1u);
  EXPECT_EQ(writer.exchange.Sessions()[0].key, told[0].key);
  reader.exchange.Learn(reader.now, told[0]);
  for (const char* id : {"q", "r"})
    reader.exchange.Learn(reader.now, ServerNews{id, Role::kReplica, reader.now, unix_ms - 40});
  EXPECT_EQ(reader.exchange.Shown()[1].position_unix_ms, unix_ms - 41);  // rounded down, twice
  reader.Ask(kSessionRead);
  EXPECT_TRUE(reader.attempts.empty());
  reader.Pass(9 * kMs);
  for (const char* id : {"q", "r"})
    reader.exchange.Learn(reader.now, ServerNews{id, Role::kReplica, reader.now, unix_ms + 9});
  reader.Pass(60 * kMs);
  EXPECT_EQ(reader.attempts.size(), 1u);
}

// Guards against a deadline that cuts off a value on its way, and one whose end is told twice or never.
TEST(Exchange, AValueOnItsWayIsEndedByItsServerOrItsClientAlone) {
  enum class End { kWhole, kBroken, kClientLeft };
  for (const End end : {End::kWhole, End::kBroken, End::kClientLeft}) {
    Bench b;
    const RequestId id = b.Ask(kAnyRead, 300 * kMs);
    const Ticket ticket = b.attempts[0].ticket;
    b.Pass(20 * kMs);
    const auto transfer = b.exchange.Begin(b.now, ticket, "shape", 100'000);
    ASSERT_TRUE(transfer);
    EXPECT_EQ(transfer->size(), 100'000u);
    b.Collect();
    ASSERT_EQ(b.answers[id].size(), 1u);
    EXPECT_EQ(std::get<Begun>(b.answers[id][0]).transfer, transfer);
    b.exchange.EndBy(b.now + kSecond);
    b.Pass(5 * kSecond);
    EXPECT_TRUE(b.ended.empty());
    EXPECT_EQ(b.exchange.FiguresAt(b.now).in_progress, 1u);
    if (end == End::kClientLeft) {
      b.exchange.ClientLeft(b.now, id);
      b.Collect();
      EXPECT_EQ(b.ended, (std::vector<Ticket>{ticket}));
    } else {
      const Status status = end == End::kWhole ? Status::kOk : Status::kReset;
      b.End(ticket, {.status = status, .served = {"", "", "tag"}});
      EXPECT_EQ(transfer->state(), end == End::kWhole ? Transfer::State::kWhole : Transfer::State::kBroken);
      EXPECT_EQ(b.exchange.live(), 1u);  // until the client has it
      b.exchange.Delivered(id);
    }
    b.End(ticket, {.status = Status::kReset});
    b.exchange.Delivered(id);
    EXPECT_EQ(b.exchange.live(), 0u);
    EXPECT_EQ(b.answers[id].size(), 1u);
    EXPECT_EQ(b.attempts.size(), 1u);
    const ClassFigures ends = b.exchange.FiguresAt(b.now).classes[kAnyRead].second;
    EXPECT_EQ(ends.passed, end == End::kWhole ? 1u : 0u);
    EXPECT_EQ(ends.bad_gateway, end == End::kBroken ? 1u : 0u);
  }
}

// Guards against a value passed on to nobody, and against losing the write that it shows.
TEST(Exchange, AValueThatNobodyWaitsForIsNotPassedOn) {
  Bench b;
  const RequestId id = b.Ask(kKeyedWrite);
  b.exchange.Written(b.attempts[0].ticket);  // else it would have been ended, and no server answers it
  b.exchange.ClientLeft(b.now, id);
  EXPECT_FALSE(b.exchange.Begin(b.now, b.attempts[0].ticket, "shape", 100'000));
  EXPECT_EQ(b.exchange.Sessions().size(), 1u);
  EXPECT_FALSE(b.exchange.Begin(b.now, b.attempts[0].ticket, "shape", 100'000));  // it is over
}

// Guards against a request that is sent on after its client has gone: held for a primary, for a connection,
// or in its last words to a server.
TEST(Exchange, WhatHasNotBeenSentWholeIsNotSentOnAfterItsClientHasLeft) {
  Bench b;
  for (const ServerId gone : {1, 2, 3}) {
    ListedServer drains = Bench::Listed(gone == 1 ? "p" : gone == 2 ? "q" : "r");
    drains.state = ServerState::kDraining;
    b.exchange.Heard(b.now, Listing{8, false, {drains}});
  }
  b.Collect();
  const RequestId held = b.Ask(kKeyedWrite);
  EXPECT_TRUE(b.attempts.empty());
  b.exchange.ClientLeft(b.now, held);
  b.exchange.Heard(b.now, Listing{9, true, {Bench::Listed("p"), Bench::Listed("q"), Bench::Listed("r")}});
  b.Pass(100 * kMs);
  EXPECT_TRUE(b.attempts.empty());
  const RequestId waits = b.Ask(kKeyedWrite);
  ASSERT_EQ(b.attempts.size(), 1u);
  b.ended.clear();
  b.exchange.ClientLeft(b.now, waits);
  b.Collect();
  EXPECT_EQ(b.ended, (std::vector<Ticket>{b.attempts[0].ticket}));
  EXPECT_EQ(b.exchange.counters().outcomes[static_cast<std::size_t>(Status::kNotSent)], 1u);
  b.Pass(kSecond);
  EXPECT_EQ(b.attempts.size(), 1u);
}

// Guards against an end that is counted twice, or not at all, where the answer and the client's leaving come
// in one turn, in either order.
TEST(Exchange, AnAnswerAndItsClientsLeavingInOneTurnEndItOnce) {
  for (const bool answer_first : {true, false}) {
    Bench b;
    const RequestId id = b.Ask(kKeyedWrite);
    const Ticket ticket = b.attempts[0].ticket;
    b.exchange.Written(ticket);
    if (!answer_first) b.exchange.ClientLeft(b.now, id);
    b.exchange.Finished(b.now, ticket, {.role = Role::kPrimary});
    if (answer_first) b.exchange.ClientLeft(b.now, id);
    b.Collect();
    EXPECT_EQ(b.answers[id].size(), answer_first ? 1u : 0u);
    EXPECT_EQ(b.exchange.counters().served, answer_first ? 1u : 0u);
    EXPECT_EQ(b.exchange.counters().left, answer_first ? 0u : 1u);
    EXPECT_EQ(b.exchange.Sessions().size(), 1u);  // the commit is known in both
    b.Pass(2 * kSecond);
    EXPECT_EQ(b.attempts.size(), 1u);
  }
}

// Guards against an attempt that is said to have run, perhaps, though its last byte never went out, and the
// other way round.
TEST(Exchange, OnlyWhatWasSentWholeMayHaveRunAtItsTimeOut) {
  for (const bool written : {true, false}) {
    Bench b;
    const RequestId id = b.Ask(kUnsafeWrite);
    ASSERT_EQ(b.attempts.size(), 1u);
    if (written) b.exchange.Written(b.attempts[0].ticket);
    b.Pass(2 * kSecond);
    ASSERT_EQ(b.answers[id].size(), 1u);
    EXPECT_EQ(std::holds_alternative<Failed>(b.answers[id][0]), written);
    EXPECT_EQ(b.ended[0], b.attempts[0].ticket);
    EXPECT_EQ(b.attempts.size(), 1u);
  }
}

// Guards against a fast server filling the memory for a slow client.
TEST(Transfer, HoldsLittleAndSaysWhenThereIsRoom) {
  Transfer transfer("shape", 1 << 20);
  int changes = 0, rooms = 0;
  transfer.on_change = [&] { ++changes; };
  transfer.on_room = [&] { ++rooms; };
  const std::string piece(8192, 'v');
  EXPECT_TRUE(transfer.Give(piece));
  EXPECT_EQ(transfer.Take(), piece);
  EXPECT_EQ(rooms, 0);
  int given = 1;
  while (transfer.Give(piece)) ++given;
  EXPECT_EQ(given, 4);
  EXPECT_TRUE(transfer.full());
  EXPECT_EQ(transfer.Take().size(), 4 * piece.size());
  EXPECT_EQ(rooms, 1);
  transfer.Complete("tag");
  transfer.Break();  // too late
  EXPECT_EQ(transfer.state(), Transfer::State::kWhole);
  EXPECT_EQ(changes, 6);
}

// Guards against a planned end that leaves a request without its answer, taken before or after it was told.
TEST(Exchange, AllIsAnsweredByAPlannedEnd) {
  Bench b;
  const RequestId before = b.Ask(kKeyedWrite, 5 * kSecond);
  b.exchange.EndBy(b.now + 700 * kMs);
  b.Pass(300 * kMs);
  const RequestId after = b.Ask(kKeyedWrite, 5 * kSecond);
  ASSERT_EQ(b.attempts.size(), 2u);
  EXPECT_EQ(b.attempts[1].give_up, b.now + 400 * kMs);
  EXPECT_TRUE(b.answers[before].empty());
  b.Pass(401 * kMs);
  EXPECT_EQ(b.answers[before].size(), 1u);
  EXPECT_EQ(b.answers[after].size(), 1u);
  EXPECT_EQ(b.exchange.live(), 0u);
  EXPECT_EQ(b.exchange.counters().overdue, 0u);
}

// Guards against a request that is held as a stop ends and told that it failed, though it was never sent and
// its client may ask elsewhere; and against one that may have run and is told that asking again is harmless.
TEST(Exchange, APlannedEndRefusesWhatWasNeverSent) {
  Bench b;
  const RequestId out = b.Ask(kUnsafeWrite, 5 * kSecond);
  ASSERT_EQ(b.attempts.size(), 1u);
  b.exchange.Written(b.attempts[0].ticket);
  ListedServer drains = Bench::Listed("p");
  drains.state = ServerState::kDraining;
  b.exchange.Heard(b.now, Listing{8, false, {drains}});
  const RequestId held = b.Ask(kUnsafeWrite, 5 * kSecond);
  EXPECT_EQ(b.attempts.size(), 1u);
  b.exchange.EndBy(b.now + 700 * kMs);
  b.Pass(701 * kMs);
  ASSERT_EQ(b.answers[out].size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Failed>(b.answers[out][0]));
  ASSERT_EQ(b.answers[held].size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Refused>(b.answers[held][0]));
  EXPECT_EQ(b.exchange.counters().overdue, 0u);
}

// Guards against figures that count probes, or ends before or without their answer.
TEST(Exchange, FiguresCountEndsByClassAndAttemptsWrittenWhole) {
  Bench b;
  const RequestId first = b.Ask(kAnyRead);
  b.Ask(kKeyedWrite);
  ASSERT_EQ(b.attempts.size(), 2u);
  b.exchange.Written(b.attempts[0].ticket);
  if (!b.probes.empty()) b.exchange.Written(b.probes[0].ticket);
  EXPECT_EQ(b.exchange.FiguresAt(b.now).in_progress, 2u);
  b.End(b.attempts[0].ticket, {.status = Status::kOk});
  b.exchange.Written(b.attempts[0].ticket);  // it is over
  EXPECT_EQ(b.answers[first].size(), 1u);
  b.exchange.CountTurnedAway(kAnyRead, Refused{});
  b.exchange.CountTurnedAway(kAnyRead, Failed{});
  const Figures figures = b.exchange.FiguresAt(b.now);
  EXPECT_EQ(figures.classes[kAnyRead].second.passed, 1u);
  EXPECT_EQ(figures.classes[kAnyRead].second.dropped, 1u);
  EXPECT_EQ(figures.classes[kAnyRead].second.bad_gateway, 1u);
  EXPECT_EQ(figures.classes[kKeyedWrite].second.passed, 0u);
  EXPECT_EQ(figures.upstream_tries, 1u);
  EXPECT_EQ(figures.in_progress, 1u);
  EXPECT_EQ(figures.known_servers, 3u);
  EXPECT_EQ(figures.skipped_servers, 0u);
  ListedServer q = Bench::Listed("q");
  q.state = ServerState::kDraining;
  b.exchange.Heard(b.now, {8, false, {q}});
  EXPECT_EQ(b.exchange.FiguresAt(b.now).known_servers, 3u);
  EXPECT_EQ(b.exchange.FiguresAt(b.now).skipped_servers, 1u);
}

TEST(Counters, AreNamed) {
  ExchangeCounters c;
  c.taken = 3;
  c.outcomes[4] = 2;
  const std::string text = ToText(c);
  EXPECT_NE(text.find("taken=3 "), std::string::npos);
  EXPECT_NE(text.find("attempt_timeout=2"), std::string::npos);
}

}  // namespace
}  // namespace tulipyoke
