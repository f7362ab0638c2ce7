#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "src/pg/answer.hpp"
#include "src/pg/statement.hpp"
#include "src/pg/wire.hpp"

namespace tulipyoke::pg {
namespace {

using Seen = std::vector<std::pair<char, std::string>>;

std::string SampleStream() {
  std::string bytes;
  AppendAuthenticationOk(bytes);
  AppendParameterStatus(bytes, "replication_role", "standby");
  AppendError(bytes, "ERROR", "53300", "full", "250");
  AppendDataRow(bytes, std::string("\0\xff'x", 4));
  AppendMessage(bytes, 'C', std::string(70000, 'c'));
  AppendReady(bytes);
  return bytes;
}
Seen ReadAll(MessageReader& reader) {
  Seen seen;
  while (const auto message = reader.Next()) seen.emplace_back(message->type, message->body);
  return seen;
}

// Guards against framing that depends on how the network cuts the stream.
TEST(MessageReader, RandomCutsGiveTheSameMessages) {
  const std::string bytes = SampleStream();
  MessageReader whole(false);
  whole.Feed(bytes);
  const Seen expected = ReadAll(whole);
  ASSERT_EQ(expected.size(), 6u);
  for (unsigned seed = 0; seed < 50; ++seed) {
    std::mt19937 random(seed);
    MessageReader reader(false);
    Seen seen;
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t size = std::min<std::size_t>(bytes.size() - at, 1 + random() % (seed % 2 ? 9 : 9000));
      reader.Feed(std::string_view(bytes).substr(at, size));
      at += size;
      for (auto& message : ReadAll(reader)) seen.push_back(std::move(message));
    }
    EXPECT_EQ(seen, expected) << seed;
    EXPECT_EQ(reader.buffered(), 0u);
  }
}

// Guards against lengths that would make the reader wait for ever or take memory without end.
TEST(MessageReader, ImpossibleLengthsAreRefusedAtOnce) {
  for (const std::string_view bytes :
       {std::string_view("Q\0\0\0\3", 5), std::string_view("Q\x7f\xff\xff\xff", 5)}) {
    MessageReader reader(false);
    reader.Feed(bytes);
    EXPECT_THROW(reader.Next(), ProtocolError);
  }
  MessageReader startup(true);
  startup.Feed(std::string_view("\0\1\0\0", 4));
  EXPECT_THROW(startup.Next(), ProtocolError);
}

// Guards against any bytes at all that crash a parser or run past the end of what came.
TEST(Parsers, RandomGarbageEndsInAnErrorOrNothing) {
  int refused = 0;
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = SampleStream().substr(0, 160);
    for (int i = 0; i < 8; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    MessageReader reader(seed % 5 == 0, 4096);
    AnswerReader answer;
    reader.Feed(bytes);
    try {
      while (const auto message = reader.Next()) answer.Take(*message);
    } catch (const ProtocolError&) {
      ++refused;
    }
    try {
      ParseStartup(bytes);
    } catch (const ProtocolError&) {
      ++refused;
    }
    ParseLoadReport(bytes);
    HousekeepingOf(bytes);
  }
  EXPECT_GT(refused, 1000);
}

constexpr std::string_view kSelect =
    "SELECT blob FROM rows WHERE handle = '7f3a' /* "
    "id=9b1f,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";

TEST(Statement, FieldsAreTakenAndOnlyTheWaitIsRewritten) {
  const auto s = ParseStatement(kSelect);
  ASSERT_TRUE(s);
  EXPECT_EQ(s->class_name, "basket");
  EXPECT_EQ(s->tenant, "acme");
  EXPECT_EQ(s->key, "7f3a");
  EXPECT_EQ(s->wait_ms, 480);
  EXPECT_EQ(s->cluster, 2);
  EXPECT_EQ(s->after_ms, 1767225600123);
  EXPECT_FALSE(s->repeat);
  const RequestPayload payload{std::string(kSelect), s->wait_at, s->wait_size};
  std::string expected(kSelect);
  expected.replace(expected.find("480"), 3, "77");
  EXPECT_EQ(std::string(payload.BeforeTimeout()) + "77" + std::string(payload.AfterTimeout()), expected);
  const auto insert = ParseStatement(
      "INSERT INTO rows (handle, blob) VALUES ('k1', '\\x9f03') RETURNING blob /* id=1,c=w,t=,d=5,k=5c0f,r=1 "
      "*/ ; ");
  ASSERT_TRUE(insert);
  EXPECT_EQ(insert->key, "k1");
  EXPECT_EQ(insert->repeat_key, "5c0f");
  EXPECT_TRUE(insert->repeat);
}

// Guards against passing on a statement in a form that no client sends.
TEST(Statement, WhatLacksAFieldIsNoRequest) {
  const std::string select = "SELECT blob FROM rows WHERE handle = 'h' ";
  const std::string insert = "INSERT INTO rows (handle, blob) VALUES ('h', '\\x00') RETURNING blob ";
  const std::string facts = "/* id=1,c=a,d=5 */";
  EXPECT_TRUE(ParseStatement(select + facts));
  EXPECT_FALSE(ParseStatement(select + facts)->writes);
  EXPECT_TRUE(ParseStatement(insert + facts)->writes);
  for (const std::string& text :
       {std::string(),
        std::string("SELECT 1"),
        std::string("/* */"),
        std::string("/*/"),
        std::string("*/"),
        select,
        facts,
        "S " + facts,
        "DROP TABLE rows " + facts,
        select + "; DROP TABLE rows " + facts,
        "SELECT blob FROM rows WHERE handle = 'h " + facts,
        "SELECT blob FROM rows WHERE handle = '' " + facts,
        "INSERT INTO rows (handle, blob) VALUES ('h', 'zz') RETURNING blob " + facts,
        "INSERT INTO rows (handle, blob) VALUES ('h', '\\x0') RETURNING blob " + facts,
        select + "/* id=1,c=a */",
        select + "/* c=a,d=5 */",
        select + "/* id=,c=a,d=5 */",
        select + "/* id=1,d=5 */",
        select + "/* id=1,c=a,d=-5 */",
        select + "/* id=1,c=a,d= */",
        select + "/* id=1,c=a,d=99999999999999999999 */",
        select + "/* id=1,c=a,d=5x */",
        select + "/* id=1,c=a,d=5,cluster=x */",
        select + "/* id=1,id=2,c=a,d=5 */",
        select + "/* id=1\x01,c=a,d=5 */",
        select + "/* id=1,c=a,d=5 */ x"}) {
    EXPECT_FALSE(ParseStatement(text)) << text;
  }
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    std::string text(kSelect);
    for (int i = 0; i < 4; ++i) text[random() % text.size()] = static_cast<char>(random());
    const auto s = ParseStatement(text);
    EXPECT_TRUE(!s || s->wait_at + s->wait_size <= text.size()) << text;
  }
}

TEST(Statement, HousekeepingIsToldApart) {
  EXPECT_EQ(HousekeepingOf("  ;\n"), Housekeeping::kEmpty);
  EXPECT_EQ(HousekeepingOf("set x to 1"), Housekeeping::kSet);
  EXPECT_EQ(HousekeepingOf("Reset ALL;"), Housekeeping::kReset);
  EXPECT_EQ(HousekeepingOf("DISCARD ALL"), Housekeeping::kDiscard);
  EXPECT_EQ(HousekeepingOf("SETTLE"), Housekeeping::kNone);
}

constexpr std::string_view kShape("\0\1blob\0\0\0\0\0\0\0\0\0\0\21\xff\xff\xff\xff\xff\xff\0\1", 25);

struct AnswerCase {
  const char* code;  // none: a row
  Status status;
};
class AnswerTest : public testing::TestWithParam<AnswerCase> {};

// The table of PROTOCOL: what proves that nothing ran, and what does not.
TEST_P(AnswerTest, CodesBecomeOutcomes) {
  AnswerReader reader;
  std::string error;
  if (GetParam().code) {
    AppendError(error, "ERROR", GetParam().code, "");
    reader.Take({'E', std::string_view(error).substr(5)});
  } else {
    reader.Take({'T', kShape});
    reader.Take({'D', std::string_view("\0\1\0\0\0\2\0v", 8)});
    EXPECT_FALSE(reader.Settled());
    reader.Take({'C', std::string_view("SELECT 1\0", 9)});
  }
  reader.Take({'S', std::string_view("replication_role\0primary\0", 25)});
  reader.Take({'S', std::string_view("log_position\0"
                                     "1767225600123\0",
                                     27)});
  EXPECT_TRUE(reader.Take({'Z', "I"}));
  const auto outcome = reader.Settled();
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->status, GetParam().status);
  EXPECT_EQ(outcome->role, Role::kPrimary);
  EXPECT_EQ(outcome->position_unix_ms, 1767225600123);
  EXPECT_EQ(outcome->result.value, GetParam().code ? "" : std::string("\0v", 2));
}
INSTANTIATE_TEST_SUITE_P(Table, AnswerTest,
                         testing::Values(AnswerCase{nullptr, Status::kOk}, AnswerCase{"25006", Status::kMiss},
                                         AnswerCase{"72000", Status::kMiss},
                                         AnswerCase{"XX000", Status::kError},
                                         AnswerCase{"53300", Status::kFull},
                                         AnswerCase{"57P03", Status::kError}));

// Guards against answers that say more, or less, than one row.
TEST(Answer, OutOfOrderIsGarbageAndAnUnfinishedOneIsNone) {
  EXPECT_THROW(AnswerReader().Take({'Z', "I"}), ProtocolError);
  EXPECT_THROW(AnswerReader().Take({'D', std::string_view("\0\1\0\0\0\0", 6)}), ProtocolError);
  EXPECT_THROW(AnswerReader().Take({'G', ""}), ProtocolError);
  EXPECT_FALSE(AnswerReader().Settled());
  AnswerReader empty;
  empty.Take({'C', std::string_view("SELECT 0\0", 9)});
  EXPECT_EQ(empty.Settled()->status, Status::kError);
}

// Guards against a healthy server taken for a dead one because too many routers asked it at once. For a
// statement the code proves nothing.
TEST(Answer, AProbeThatIsTurnedAwayIsNoFailure) {
  for (const auto query : {AnswerReader::Query::kProbe, AnswerReader::Query::kStatement}) {
    AnswerReader reader(query);
    reader.Take({'E', std::string_view("SFATAL\0C57P03\0Mbusy\0\0", 21)});
    const bool probe = query == AnswerReader::Query::kProbe;
    EXPECT_EQ(reader.Settled()->status, probe ? Status::kFull : Status::kError);
  }
}

// Guards against a spoilt answer that passes for the value: each part is read to its end before it counts.
TEST(Answer, WhatIsSpoiltIsNeverWhole) {
  const std::string_view row("\0\1\0\0\0\1v", 7), tag("SELECT 1\0", 9);
  const std::vector<Message> good = {{'T', kShape}, {'D', row}, {'C', tag}, {'Z', "I"}};
  const auto refuses = [&](std::size_t at, Message spoilt) {
    AnswerReader reader;
    for (std::size_t i = 0; i < at; ++i) reader.Take(good[i]);
    EXPECT_THROW(reader.Take(spoilt), ProtocolError) << at << spoilt.type << spoilt.body;
  };
  AnswerReader whole;
  for (const Message& m : good) EXPECT_EQ(whole.Take(m), m.type == 'Z');
  EXPECT_EQ(whole.Settled()->status, Status::kOk);
  refuses(0, {'T', kShape.substr(0, 24)});
  refuses(0, {'T', std::string_view("\0\2a\0", 4)});
  refuses(0, {'E', std::string_view("SERROR\0C53300\0", 14)});
  refuses(0, {'E', std::string_view("C53300\0\0x", 9)});
  refuses(0, {'E', std::string_view("SERROR\0\0", 8)});
  refuses(0, {'S', std::string_view("pressure\0x0=1", 13)});
  refuses(1, {'D', row.substr(0, 6)});
  refuses(1, {'D', std::string_view("\0\1\xff\xff\xff\xff", 6)});
  refuses(2, {'D', row});
  refuses(2, {'C', "SELECT 1"});
  refuses(3, {'T', kShape});
  refuses(3, {'D', row});
  refuses(3, {'C', tag});
  refuses(3, {'E', std::string_view("CXX000\0\0", 8)});
  refuses(3, {'Z', "T"});
}

// Guards against a large value read otherwise because of where its bytes were cut, or taking what is behind
// it.
TEST(MessageReader, ALargeRowIsTakenAsItComes) {
  const std::string value(kLargestHeld + 1, 'v');
  std::string bytes;
  AppendDataRow(bytes, value.substr(1));  // just small enough to be held
  AppendDataRow(bytes, value);
  AppendReady(bytes);
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    MessageReader reader = MessageReader::ForAnswers();
    std::string seen, taken;
    std::size_t left = 0;
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t size = std::min<std::size_t>(bytes.size() - at, 1 + random() % 9000);
      reader.Feed(std::string_view(bytes).substr(at, size));
      at += size;
      for (bool more = true; more;) {
        const std::string_view part = reader.TakeValue(left);
        taken += part;
        left -= part.size();
        if (left > 0) break;
        const auto large = reader.NextLargeRow();
        if (large) left = *large;
        const auto message = large ? std::nullopt : reader.Next();
        if (message) seen += message->type;
        more = large || message;
      }
    }
    EXPECT_EQ(seen, "DZ") << seed;
    EXPECT_TRUE(taken == value) << seed;
  }
}

// Guards against a head that lies: of the value nothing is passed on then.
TEST(MessageReader, ALargeRowWhoseHeadDoesNotHoldIsRefused) {
  const auto head = [](std::size_t length, char columns, std::size_t size) {
    std::string bytes = "D";
    for (const std::size_t number : {length, size}) {
      for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(number >> shift & 0xff));
      if (number == length && bytes.size() == 5) bytes += std::string("\0", 1) + columns;
    }
    return bytes;
  };
  const auto read = [](const std::string& bytes) {
    MessageReader reader = MessageReader::ForAnswers();
    reader.Feed(bytes);
    const auto large = reader.NextLargeRow();
    if (!large) reader.Next();
    return large;
  };
  EXPECT_EQ(read(head(100'010, 1, 100'000)), 100'000u);
  EXPECT_EQ(read(head(kLargestValue + kRowHead, 1, kLargestValue)), kLargestValue);
  EXPECT_THROW(read(head(100'010, 2, 100'000)), ProtocolError);
  EXPECT_THROW(read(head(100'010, 1, 99'999)), ProtocolError);
  EXPECT_THROW(read(head(kLargestValue + kRowHead + 1, 1, kLargestValue + 1)), ProtocolError);
  EXPECT_THROW(read(head(3'000'000'000, 1, 2'999'999'990)), ProtocolError);
  EXPECT_FALSE(read(head(100'010, 1, 100'000).substr(0, 10)));
  EXPECT_THROW(read("E" + head(100'010, 1, 100'000).substr(1)), ProtocolError);
}

TEST(Report, NumbersByName) {
  const auto report = ParseLoadReport("x0=1767225600123.5,x1=1,util=0.61");
  ASSERT_EQ(report.size(), 3u);
  EXPECT_EQ(report[0], (LoadReportField{"x0", 1767225600123.5}));
  EXPECT_EQ(report[2], (LoadReportField{"util", 0.61}));
  for (const char* spoilt : {"bad", "x0=1,bad", "x0=1,util=", "x0=1,y=0.5z", "x0=1,x1=nan", "x0=1,,x1=1"}) {
    EXPECT_TRUE(ParseLoadReport(spoilt).empty()) << spoilt;
  }
}

}  // namespace
}  // namespace tulipyoke::pg
