// A server's response, from its messages to the outcome.
#include "src/pg/query_response.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/dispatch/outcome.hpp"
#include "src/pg/message_writer.hpp"

namespace tulipyoke::pg {
namespace {

constexpr std::string_view kShape("\0\1blob\0\0\0\0\0\0\0\0\0\0\21\xff\xff\xff\xff\xff\xff\0\1", 25);

// Reads a message that must be in order; whether it completes the response.
bool Completes(QueryResponseReader& reader, const Message& message) {
  const Result<ResponseProgress> progress = reader.Read(message);
  EXPECT_TRUE(progress.ok()) << message.type;
  return progress.ok() && *progress == ResponseProgress::kComplete;
}

// The error that the message ends in; none: it is in order.
std::optional<ProtocolError> ErrorOf(QueryResponseReader& reader, const Message& message) {
  const Result<ResponseProgress> progress = reader.Read(message);
  if (progress.ok()) return std::nullopt;
  return progress.error();
}
std::optional<ProtocolError> ErrorOfFirst(const Message& message) {
  QueryResponseReader reader;
  return ErrorOf(reader, message);
}

struct ResponseCase {
  const char* code;  // none: a row
  Status status;
};
class QueryResponseTest : public testing::TestWithParam<ResponseCase> {};

// Which codes prove that the statement did not run, and which do not.
TEST_P(QueryResponseTest, CodesBecomeOutcomes) {
  QueryResponseReader reader;
  std::string error;
  if (GetParam().code) {
    AppendError(error, "ERROR", GetParam().code, "");
    EXPECT_FALSE(Completes(reader, {'E', std::string_view(error).substr(5)}));
  } else {
    EXPECT_FALSE(Completes(reader, {'T', kShape}));
    EXPECT_FALSE(Completes(reader, {'D', std::string_view("\0\1\0\0\0\2\0v", 8)}));
    EXPECT_FALSE(reader.outcome());
    EXPECT_FALSE(Completes(reader, {'C', std::string_view("SELECT 1\0", 9)}));
  }
  EXPECT_FALSE(Completes(reader, {'S', std::string_view("replication_role\0primary\0", 25)}));
  EXPECT_FALSE(Completes(reader, {'S', std::string_view("log_position\0"
                                                        "1767225600123\0",
                                                        27)}));
  EXPECT_TRUE(Completes(reader, {'Z', "I"}));
  const auto outcome = reader.outcome();
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->status, GetParam().status);
  EXPECT_EQ(outcome->role, Role::kPrimary);
  EXPECT_EQ(outcome->position_unix_ms, 1767225600123);
  EXPECT_EQ(outcome->result.value, GetParam().code ? "" : std::string("\0v", 2));
}
INSTANTIATE_TEST_SUITE_P(
    Table, QueryResponseTest,
    testing::Values(ResponseCase{nullptr, Status::kOk}, ResponseCase{"25006", Status::kStaleOrWrongRole},
                    ResponseCase{"72000", Status::kStaleOrWrongRole}, ResponseCase{"XX000", Status::kError},
                    ResponseCase{"53300", Status::kOverloaded}, ResponseCase{"57P03", Status::kError}));

// Guards against responses of more, or less, than one row.
TEST(QueryResponse, MessagesOutOfOrderAreErrorsAndAnIncompleteResponseIsNone) {
  EXPECT_EQ(ErrorOfFirst({'Z', "I"}), ProtocolError::kReadyWithoutResponse);
  EXPECT_EQ(ErrorOfFirst({'D', std::string_view("\0\1\0\0\0\0", 6)}), ProtocolError::kUnexpectedRow);
  EXPECT_EQ(ErrorOfFirst({'G', ""}), ProtocolError::kUnexpectedResponseMessage);
  EXPECT_FALSE(QueryResponseReader().outcome());
  QueryResponseReader empty;
  EXPECT_FALSE(Completes(empty, {'C', std::string_view("SELECT 0\0", 9)}));
  EXPECT_EQ(empty.outcome()->status, Status::kError);
}

// Guards against a healthy server taken for a dead one because too many routers asked it at once. For a
// statement the code proves nothing.
TEST(QueryResponse, ARejectedProbeIsNoFailure) {
  for (const auto query : {QueryKind::kHealthCheck, QueryKind::kStatement}) {
    QueryResponseReader reader(query);
    EXPECT_FALSE(Completes(reader, {'E', std::string_view("SFATAL\0C57P03\0Mbusy\0\0", 21)}));
    const bool probe = query == QueryKind::kHealthCheck;
    EXPECT_EQ(reader.outcome()->status, probe ? Status::kOverloaded : Status::kError);
  }
}

// Guards against a malformed response that is taken for the value: each part is checked to its end first.
TEST(QueryResponse, AMalformedResponseIsNeverComplete) {
  const std::string_view row("\0\1\0\0\0\1v", 7), tag("SELECT 1\0", 9);
  const std::vector<Message> good = {{'T', kShape}, {'D', row}, {'C', tag}, {'Z', "I"}};
  const auto refuses = [&](std::size_t at, const Message& malformed, ProtocolError expected) {
    QueryResponseReader reader;
    for (std::size_t i = 0; i < at; ++i) EXPECT_FALSE(Completes(reader, good[i]));
    EXPECT_EQ(ErrorOf(reader, malformed), expected) << at << malformed.type << malformed.body;
  };
  QueryResponseReader whole;
  for (const Message& m : good) EXPECT_EQ(Completes(whole, m), m.type == 'Z');
  EXPECT_EQ(whole.outcome()->status, Status::kOk);
  refuses(0, {'T', kShape.substr(0, 24)}, ProtocolError::kDescriptionSizeMismatch);
  refuses(0, {'T', std::string_view("\0\2a\0", 4)}, ProtocolError::kDescriptionNotOfOneColumn);
  refuses(0, {'E', std::string_view("SERROR\0C53300\0", 14)}, ProtocolError::kUnterminatedErrorFields);
  refuses(0, {'E', std::string_view("C53300\0\0x", 9)}, ProtocolError::kTrailingBytesAfterError);
  refuses(0, {'E', std::string_view("SERROR\0\0", 8)}, ProtocolError::kErrorWithoutCode);
  refuses(0, {'S', std::string_view("pressure\0x0=1", 13)}, ProtocolError::kUnterminatedString);
  refuses(1, {'D', row.substr(0, 6)}, ProtocolError::kRowSizeMismatch);
  refuses(1, {'D', std::string_view("\0\1\xff\xff\xff\xff", 6)}, ProtocolError::kRowSizeMismatch);
  refuses(2, {'D', row}, ProtocolError::kUnexpectedRow);
  refuses(2, {'C', "SELECT 1"}, ProtocolError::kUnterminatedCommandTag);
  refuses(3, {'T', kShape}, ProtocolError::kUnexpectedRowDescription);
  refuses(3, {'D', row}, ProtocolError::kUnexpectedRow);
  refuses(3, {'C', tag}, ProtocolError::kSecondEndOfResponse);
  refuses(3, {'E', std::string_view("CXX000\0\0", 8)}, ProtocolError::kSecondEndOfResponse);
  refuses(3, {'Z', "T"}, ProtocolError::kUnexpectedTransactionStatus);
}

TEST(Report, NumbersByName) {
  const auto report = ParseLoadReport("x0=1767225600123.5,x1=1,util=0.61");
  ASSERT_EQ(report.size(), 3u);
  EXPECT_EQ(report[0], (LoadReportField{"x0", 1767225600123.5}));
  EXPECT_EQ(report[2], (LoadReportField{"util", 0.61}));
  for (const char* malformed :
       {"bad", "x0=1,bad", "x0=1,util=", "x0=1,y=0.5z", "x0=1,x1=nan", "x0=1,,x1=1"}) {
    EXPECT_TRUE(ParseLoadReport(malformed).empty()) << malformed;
  }
}

}  // namespace
}  // namespace tulipyoke::pg
