// Golden tests of the PostgreSQL codec: the exact bytes of every encoded message, and the exact result of
// every parser for a fixed set of inputs. A change of one byte or of one error text fails a test.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "src/pg/query_response.hpp"
#include "src/pg/session_command.hpp"
#include "src/pg/statement.hpp"
#include "tests/pg/sample_stream.hpp"

namespace tulipyoke::pg {
namespace {

// Returns printable ASCII unchanged, and any other byte and the backslash as \xx.
std::string Escape(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    if (c >= ' ' && c <= '~' && c != '\\') {
      text.push_back(c);
      continue;
    }
    char escape[4];
    std::snprintf(escape, sizeof escape, "\\%02x", static_cast<unsigned char>(c));
    text += escape;
  }
  return text;
}

// FNV-1a hash, for results that are too long to write out in a test.
std::uint64_t Digest(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return hash;
}

// Returns a buffer that contained "|" after `write` appended to it.
template <typename Write>
std::string Encoded(const Write& write) {
  std::string out = "|";
  write(out);
  return Escape(out);
}

std::string ErrorText(ProtocolError error) { return "error: " + std::string(ToText(error)); }

// Returns the text that `describe` produces for the value, or the text of the error.
template <typename T, typename Describe>
std::string DescribeResult(const Result<T>& result, const Describe& describe) {
  return result ? std::string(describe(*result)) : ErrorText(result.error());
}
std::string DescribeResult(const Result<std::string_view>& result) {
  return DescribeResult(result, [](std::string_view text) { return text; });
}

TEST(GoldenBytes, EncodedMessages) {
  EXPECT_EQ(Encoded([](auto& out) { AppendMessage(out, 'C', std::string_view("SELECT 1\0", 9)); }),
            R"(|C\00\00\00\0dSELECT 1\00)");
  EXPECT_EQ(Encoded([](auto& out) { AppendMessage(out, 'I', {}); }), R"(|I\00\00\00\04)");
  EXPECT_EQ(Encoded([](auto& out) { AppendHeader(out, 'Q', 0x01020304 - 4); }), R"(|Q\01\02\03\04)");
  EXPECT_EQ(Encoded([](auto& out) { AppendStartup(out, "api", "ledger"); }),
            R"(|\00\00\00"\00\03\00\00user\00api\00database\00ledger\00\00)");
  EXPECT_EQ(Encoded([](auto& out) { AppendParameterStatus(out, "log_position", "17"); }),
            R"(|S\00\00\00\14log_position\0017\00)");
  EXPECT_EQ(Encoded([](auto& out) { AppendReadyForQuery(out); }), R"(|Z\00\00\00\05I)");
  EXPECT_EQ(Encoded([](auto& out) { AppendAuthenticationOk(out); }), R"(|R\00\00\00\08\00\00\00\00)");
  EXPECT_EQ(Encoded([](auto& out) { AppendDataRow(out, std::string_view("\0\xff'x", 4)); }),
            R"(|D\00\00\00\0e\00\01\00\00\00\04\00\ff'x)");
  EXPECT_EQ(Encoded([](auto& out) { AppendDataRow(out, ""); }), R"(|D\00\00\00\0a\00\01\00\00\00\00)");
  EXPECT_EQ(Encoded([](auto& out) { AppendRowHeader(out, 100'000); }), R"(|D\00\01\86\aa\00\01\00\01\86\a0)");
  EXPECT_EQ(Encoded([](auto& out) { AppendError(out, "ERROR", "53300", "full", "250"); }),
            R"(|E\00\00\00%SERROR\00VERROR\00C53300\00Mfull\00D250\00\00)");
  EXPECT_EQ(Encoded([](auto& out) { AppendError(out, "FATAL", "08P01", "no"); }),
            R"(|E\00\00\00\1eSFATAL\00VFATAL\00C08P01\00Mno\00\00)");
}

// Returns all complete messages in the reader, one per line, followed by the reader's error, if any.
std::string ReadAll(MessageReader& reader) {
  std::string actual;
  while (const auto message = reader.Next()) {
    actual += message->type == kStartupPacket ? std::string("startup") : std::string(1, message->type);
    actual += " " + Escape(message->body) + "\n";
  }
  if (reader.error()) actual += ErrorText(*reader.error());
  return actual;
}

TEST(GoldenBytes, SampleStreamInRandomChunks) {
  const std::string bytes = SampleStream();
  EXPECT_EQ(bytes.size(), 70103u);
  EXPECT_EQ(Digest(bytes), 7358882882331611043u);
  for (unsigned seed = 0; seed < 50; ++seed) {
    std::mt19937 random(seed);
    MessageReader reader(false);
    std::string actual;
    for (std::size_t offset = 0; offset < bytes.size();) {
      const std::size_t size =
          std::min<std::size_t>(bytes.size() - offset, 1 + random() % (seed % 2 ? 9 : 9000));
      reader.Feed(std::string_view(bytes).substr(offset, size));
      offset += size;
      actual += ReadAll(reader);
    }
    EXPECT_EQ(
        actual.substr(0, actual.find("C cc")),
        "R \\00\\00\\00\\00\nS replication_role\\00standby\\00\n"
        "E SERROR\\00VERROR\\00C53300\\00Mfull\\00D250\\00\\00\nD \\00\\01\\00\\00\\00\\04\\00\\ff'x\n");
    EXPECT_EQ(Digest(actual), 16447097299061910007u) << seed;
  }
}

TEST(GoldenBytes, FramingAndSizeLimits) {
  struct Case {
    bool startup;
    std::string bytes;
    std::string expected;
  };
  const auto bytes_of = [](std::string_view bytes) { return std::string(bytes); };
  const std::vector<Case> cases = {
      {false, bytes_of({"Q\0\0\0\4", 5}), "Q \n"},
      {false, bytes_of({"Q\0\0\0\3", 5}), "error: a message has an impossible length"},
      {false, bytes_of({"Q\0\0\0", 4}), ""},
      {false, bytes_of({"Q\0\0\0\5", 5}), ""},
      {false, bytes_of({"Q\0\3\0\0", 5}), ""},  // 192 KiB, the largest allowed
      {false, bytes_of({"Q\0\3\0\1", 5}), "error: a message has an impossible length"},
      {false, bytes_of({"Q\xff\xff\xff\xff", 5}), "error: a message has an impossible length"},
      {false, bytes_of({"Z\0\0\0\5IQ\0\0\0\2", 11}), "Z I\nerror: a message has an impossible length"},
      {true, bytes_of({"\0\0\0\10\0\3\0\0", 8}), "startup \\00\\03\\00\\00\n"},
      {true, bytes_of({"\0\0\0\7", 4}), "error: a message has an impossible length"},
      {true, bytes_of({"\0\0\x27\x10", 4}), ""},  // 10'000, the largest allowed
      {true, bytes_of({"\0\0\x27\x11", 4}), "error: a message has an impossible length"},
  };
  for (const Case& c : cases) {
    MessageReader reader(c.startup);
    reader.Feed(c.bytes);
    EXPECT_EQ(ReadAll(reader), c.expected) << Escape(c.bytes);
  }
}

TEST(GoldenBytes, ParsedBodies) {
  const auto startup = [](std::string_view body) {
    return DescribeResult(ParseStartup(body), [](StartupKind kind) {
      return kind == StartupKind::kSession      ? "session"
             : kind == StartupKind::kEncryption ? "encryption"
                                                : "cancel";
    });
  };
  EXPECT_EQ(startup({"\0\3\0\0user\0api\0\0", 14}), "session");
  EXPECT_EQ(startup({"\0\3\0\2", 4}), "session");
  EXPECT_EQ(startup({"\x04\xd2\x16\x2f", 4}), "encryption");
  EXPECT_EQ(startup({"\x04\xd2\x16\x30", 4}), "encryption");
  EXPECT_EQ(startup({"\x04\xd2\x16\x2e", 4}), "cancel");
  EXPECT_EQ(startup({"\0\2\0\0", 4}), "error: only version 3 of the protocol is spoken here");
  EXPECT_EQ(startup({"\0\3\0", 3}), "error: a message is shorter than its fields");

  const auto error = [](std::string_view body) {
    return DescribeResult(ParseError(body), [](const ErrorFields& fields) {
      return fields.code + "|" + fields.message + (fields.fatal ? "|fatal" : "");
    });
  };
  EXPECT_EQ(error({"SERROR\0C53300\0Mfull\0D1\0\0", 24}), "53300|full");
  EXPECT_EQ(error({"SFATAL\0C57P03\0\0", 15}), "57P03||fatal");
  EXPECT_EQ(error({"SPANIC\0\0", 8}), "||fatal");
  EXPECT_EQ(error({"\0", 1}), "|");
  EXPECT_EQ(error(""), "error: an error's fields do not end");
  EXPECT_EQ(error({"C53300\0", 7}), "error: an error's fields do not end");
  EXPECT_EQ(error("C53300"), "error: a text in a message does not end");
  EXPECT_EQ(error({"\0x", 2}), "error: an error goes on behind its end");

  const auto parameter = [](std::string_view body) {
    return DescribeResult(ParseParameterStatus(body), [](const ParameterStatus& status) {
      return std::string(status.name) + "=" + std::string(status.value);
    });
  };
  EXPECT_EQ(parameter({"a\0b\0", 4}), "a=b");
  EXPECT_EQ(parameter({"\0\0", 2}), "=");
  EXPECT_EQ(parameter({"a\0b", 3}), "error: a text in a message does not end");
  EXPECT_EQ(parameter({"a\0b\0c", 5}), "error: a parameter goes on behind its end");

  const auto description = [](std::string_view body) {
    const auto found = CheckSingleColumnDescription(body);
    return found ? ErrorText(*found) : "one column";
  };
  constexpr std::string_view kDescription("\0\1blob\0\0\0\0\0\0\0\0\0\0\21\xff\xff\xff\xff\xff\xff\0\1", 25);
  EXPECT_EQ(description(kDescription), "one column");
  EXPECT_EQ(description(kDescription.substr(0, 24)),
            "error: the column description does not match the length of its message");
  EXPECT_EQ(description({"\0\2a\0", 4}), "error: not just one column is described");
  EXPECT_EQ(description({"\0", 1}), "error: not just one column is described");
  EXPECT_EQ(description({"\0\1a", 3}), "error: a text in a message does not end");

  const auto row = [](std::string_view body) { return DescribeResult(ParseSingleColumn(body), Escape); };
  EXPECT_EQ(row({"\0\1\0\0\0\2\0v", 8}), "\\00v");
  EXPECT_EQ(row({"\0\1\0\0\0\0", 6}), "");
  EXPECT_EQ(row({"\0\2\0\0\0\0", 6}), "error: a row has not just one column");
  EXPECT_EQ(row({"\0\1\0\0\0", 5}), "error: a row has not just one column");
  EXPECT_EQ(row({"\0\1\xff\xff\xff\xff", 6}), "error: a row's value does not fill it");

  const auto query = [](std::string_view body) { return DescribeResult(ParseQuery(body)); };
  EXPECT_EQ(query({"SELECT 1\0", 9}), "SELECT 1");
  EXPECT_EQ(query("SELECT 1"), "error: a text in a message does not end");
  EXPECT_EQ(query({"a\0b", 3}), "error: a query goes on behind its end");
}

// Reads the messages of a response and returns a line for each: the progress, and the outcome after it.
std::string DescribeResponse(const std::vector<Message>& messages, QueryKind kind) {
  QueryResponseReader reader(kind);
  std::string actual;
  for (const Message& message : messages) {
    actual += DescribeResult(reader.Read(message), [](ResponseProgress progress) {
      return progress == ResponseProgress::kComplete ? "complete" : "more";
    });
    const auto outcome = reader.outcome();
    if (outcome) {
      actual += " status=" + std::to_string(static_cast<int>(outcome->status)) +
                " role=" + std::to_string(static_cast<int>(outcome->role)) +
                " position=" + std::to_string(outcome->position_unix_ms.value_or(-1)) +
                " report=" + std::to_string(outcome->report.size()) +
                " value=" + Escape(outcome->result.value) + " tag=" + Escape(outcome->result.command_tag) +
                " shape=" + std::to_string(outcome->result.row_description.size());
    }
    actual += "\n";
  }
  return actual;
}

TEST(GoldenBytes, ResponsesMessageByMessage) {
  constexpr std::string_view kDescription("\0\1blob\0\0\0\0\0\0\0\0\0\0\21\xff\xff\xff\xff\xff\xff\0\1", 25);
  const std::vector<Message> valid_response = {{'N', ""},
                                               {'T', kDescription},
                                               {'D', std::string_view("\0\1\0\0\0\1v", 7)},
                                               {'C', std::string_view("SELECT 1\0", 9)},
                                               {'S', std::string_view("replication_role\0standby\0", 25)},
                                               {'S', std::string_view("log_position\0"
                                                                      "12\0",
                                                                      16)},
                                               {'S', std::string_view("log_position\0"
                                                                      "12x\0",
                                                                      17)},
                                               {'S', std::string_view("pressure\0util=0.5\0", 18)},
                                               {'A', ""},
                                               {'Z', "I"}};
  const std::string result_text = "value=v tag=SELECT 1\\00 shape=25\n";
  EXPECT_EQ(DescribeResponse(valid_response, QueryKind::kStatement),
            "more\nmore\nmore\nmore status=0 role=0 position=-1 report=0 " + result_text +
                "more status=0 role=2 position=-1 report=0 " + result_text +
                "more status=0 role=2 position=12 report=0 " + result_text +
                "more status=0 role=2 position=12 report=0 " + result_text +
                "more status=0 role=2 position=12 report=1 " + result_text +
                "more status=0 role=2 position=12 report=1 " + result_text +
                "complete status=0 role=2 position=12 report=1 " + result_text);
  std::string combined;
  const std::vector<Message> next_messages = {{'T', kDescription},
                                              {'T', kDescription.substr(1)},
                                              {'D', std::string_view("\0\1\0\0\0\1w", 7)},
                                              {'D', std::string_view("\0\1\0\0\0\2w", 7)},
                                              {'C', std::string_view("SELECT 1\0", 9)},
                                              {'C', "SELECT 1"},
                                              {'I', ""},
                                              {'E', std::string_view("SERROR\0C25006\0\0", 15)},
                                              {'E', std::string_view("SERROR\0C72000\0\0", 15)},
                                              {'E', std::string_view("SERROR\0C53300\0\0", 15)},
                                              {'E', std::string_view("SERROR\0C57P03\0\0", 15)},
                                              {'E', std::string_view("SERROR\0CXX000\0\0", 15)},
                                              {'E', std::string_view("SERROR\0\0", 8)},
                                              {'S', "x"},
                                              {'S', std::string_view("replication_role\0primary\0", 25)},
                                              {'S', std::string_view("replication_role\0other\0", 23)},
                                              {'Z', "I"},
                                              {'Z', "T"},
                                              {'G', ""}};
  for (const auto kind : {QueryKind::kStatement, QueryKind::kHealthCheck}) {
    for (std::size_t prefix_size = 0; prefix_size <= valid_response.size(); ++prefix_size) {
      for (const Message& next_message : next_messages) {
        std::vector<Message> messages(valid_response.begin(),
                                      valid_response.begin() + static_cast<std::ptrdiff_t>(prefix_size));
        messages.push_back(next_message);
        combined += DescribeResponse(messages, kind);
      }
    }
  }
  EXPECT_EQ(Digest(combined), 2607862533572234615u);
}

std::string DescribeStatement(std::string_view text) {
  const auto statement = ParseStatement(text);
  if (!statement) return "none";
  const auto& s = *statement;
  return "id=" + Escape(s.request_id) + " class=" + Escape(s.class_name) + " tenant=" + Escape(s.tenant) +
         " key=" + Escape(s.key) + " repeat_key=" + Escape(s.idempotency_key) +
         " wait=" + std::to_string(s.timeout_ms) + "@" + std::to_string(s.timeout_offset) + "+" +
         std::to_string(s.timeout_size) + " after=" + std::to_string(s.last_write_unix_ms.value_or(-1)) +
         " cluster=" + std::to_string(s.cluster) + (s.is_write ? " writes" : "") +
         (s.is_retry ? " repeat" : "");
}

constexpr std::string_view kSelect =
    "SELECT blob FROM rows WHERE handle = '7f3a' /* "
    "id=9b1f,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";
constexpr std::string_view kInsert =
    "INSERT INTO rows (handle, blob) VALUES ('k1', '\\x9f03') RETURNING blob /* id=1,c=w,t=,d=5,k=5c0f,r=1 "
    "*/ ; ";

TEST(GoldenBytes, ParsedStatements) {
  EXPECT_EQ(
      DescribeStatement(kSelect),
      "id=9b1f class=basket tenant=acme key=7f3a repeat_key= wait=480@73+3 after=1767225600123 cluster=2");
  EXPECT_EQ(DescribeStatement(kInsert),
            "id=1 class=w tenant= key=k1 repeat_key=5c0f wait=5@88+1 after=-1 cluster=0 writes repeat");
  EXPECT_EQ(DescribeStatement(" select\tblob from rows where handle='a b'/*d=0,id=x,c=y,unknown=1,r=2*/"),
            "none");
  EXPECT_EQ(DescribeStatement("select BLOB from ROWS where handle='a b'/*d=0,id=x,c=y,unknown=1,r=2*/"),
            "id=x class=y tenant= key=a b repeat_key= wait=0@44+1 after=-1 cluster=0");
  EXPECT_EQ(DescribeStatement("SELECT blob FROM rows WHERE handle = 'h' /* id=1,c=a,d=86400000 */"),
            "id=1 class=a tenant= key=h repeat_key= wait=86400000@55+8 after=-1 cluster=0");
  EXPECT_EQ(DescribeStatement("SELECT blob FROM rows WHERE handle = 'h' /* id=1,c=a,d=86400001 */"), "none");
  EXPECT_EQ(DescribeStatement("SELECT blob FROM rows WHERE handle = 'h' /* id=1,c=a,d=1,after=-1 */"),
            "none");
  EXPECT_EQ(DescribeStatement("SELECT blob FROM rows WHERE handle = 'h' /* id=1,c=a,d=1,cluster=-1 */"),
            "none");
  EXPECT_EQ(DescribeStatement("SELECT blob FROM rows WHERE handle = 'h' /* id=1,c=a,d=1,k */"), "none");
  EXPECT_EQ(DescribeStatement("SELECT blob FROM rows WHERE handle = 'h' /* id=1,c=a,d=1,k= */"),
            "id=1 class=a tenant= key=h repeat_key= wait=1@55+1 after=-1 cluster=0");
  std::string combined;
  for (unsigned seed = 0; seed < 4000; ++seed) {
    std::mt19937 random(seed);
    std::string text(seed % 2 == 0 ? kSelect : kInsert);
    for (unsigned i = 0; i < seed % 5; ++i) {
      const std::size_t offset = random() % text.size();
      text[offset] = seed % 3 == 0 ? static_cast<char>(random()) : text[random() % text.size()];
    }
    combined += DescribeStatement(text) + "\n";
  }
  EXPECT_EQ(Digest(combined), 494648204008448262u);
}

TEST(GoldenBytes, SessionCommands) {
  std::string combined;
  for (const std::string_view text : {"", " ;\n", "SET", "set x to 1", "Reset ALL;", "DISCARD ALL", "SETTLE",
                                      "SET;x", "\tdiscard", "SELECT"}) {
    combined += std::to_string(static_cast<int>(ParseSessionCommand(text)));
  }
  EXPECT_EQ(combined, "1122340240");
}

// The result of each parser, or the text of its error, for thousands of inputs with random bytes changed.
TEST(GoldenBytes, CorruptedMessages) {
  std::string combined;
  for (unsigned seed = 0; seed < 3000; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = SampleStream().substr(0, 160);
    for (unsigned i = 0; i < 1 + seed % 8; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    MessageReader reader = seed % 3 == 0   ? MessageReader(true, 4096)
                           : seed % 3 == 1 ? MessageReader(false, 4096)
                                           : MessageReader::ForResponses();
    reader.Feed(bytes);
    const std::string messages = ReadAll(reader);
    combined += std::to_string(reader.PendingMessageSize().value_or(0)) + messages;
    const std::size_t from = random() % bytes.size();
    const std::size_t size = random() % 40;
    const std::string_view tail = std::string_view(bytes).substr(from, size);
    combined += DescribeResult(ParseStartup(tail),
                               [](StartupKind kind) { return std::to_string(static_cast<int>(kind)); });
    combined += DescribeResult(ParseError(tail), [](const ErrorFields& fields) { return fields.code; });
    combined +=
        DescribeResult(ParseParameterStatus(tail), [](const ParameterStatus& status) { return status.name; });
    combined += DescribeResult(ParseSingleColumn(tail));
    combined += DescribeResult(ParseQuery(tail));
    combined += std::to_string(ParseLoadReport(std::string(tail)).size());
  }
  EXPECT_EQ(Digest(combined), 15749585657316878885u);
}

// Rows that are too large to be buffered: the size of the value, and how many of its bytes are buffered.
TEST(GoldenBytes, LargeRows) {
  const auto describe_large_row = [](std::string_view bytes) {
    MessageReader reader = MessageReader::ForResponses();
    reader.Feed(bytes);
    const auto size = reader.NextLargeRow();
    if (reader.error()) return ErrorText(*reader.error());
    return size ? std::to_string(*size) + " " + std::to_string(reader.buffered()) : std::string("none");
  };
  EXPECT_EQ(describe_large_row({"D\0\1\0\x0a\0\1\0\1\0\0", 11}), "none");  // 64 KiB: buffered as a whole
  EXPECT_EQ(describe_large_row({"D\0\1\0\x0b\0\1\0\1\0\1", 11}), "65537 0");
  EXPECT_EQ(describe_large_row({"D\0\1\0\x0b\0\1\0\1\0\1vv", 13}), "65537 2");
  EXPECT_EQ(describe_large_row({"D\0\1\0\x0b\0\1\0\1\0", 10}), "none");
  EXPECT_EQ(describe_large_row({"C\0\1\0\x0b\0\1\0\1\0\1", 11}), "none");
  EXPECT_EQ(describe_large_row({"D\0\x40\0\x0a\0\1\0\x40\0\0", 11}),
            "4194304 0");  // 4 MiB, the largest allowed
  EXPECT_EQ(describe_large_row({"D\0\x40\0\x0b\0\1\0\x40\0\1", 11}), "none");
  EXPECT_EQ(describe_large_row({"D\0\1\0\x0b\0\2\0\1\0\1", 11}), "error: a row has not just one column");
  EXPECT_EQ(describe_large_row({"D\0\1\0\x0b\0\1\0\1\0\2", 11}), "error: a row's value does not fill it");
}

}  // namespace
}  // namespace tulipyoke::pg
