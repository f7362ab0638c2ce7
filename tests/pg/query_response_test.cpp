// The outcome that is read from the messages of a server's response.
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

constexpr std::string_view kRowDescription("\0\1blob\0\0\0\0\0\0\0\0\0\0\21\xff\xff\xff\xff\xff\xff\0\1", 25);

// Reads a message that must not be an error. Returns whether it completes the response.
bool Completes(QueryResponseReader& reader, const Message& message) {
  const Result<ResponseProgress> progress = reader.Read(message);
  EXPECT_TRUE(progress.ok()) << message.type;
  return progress.ok() && *progress == ResponseProgress::kComplete;
}

// Reads a message and returns its error, if any.
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
  const char* code;  // null: the response is a row
  Status status;
};
class QueryResponseTest : public testing::TestWithParam<ResponseCase> {};

// Guards against a wrong status for an error code: only some codes prove that the statement did not run.
TEST_P(QueryResponseTest, SqlstateDeterminesStatus) {
  QueryResponseReader reader;
  std::string error;
  if (GetParam().code) {
    AppendError(error, "ERROR", GetParam().code, "");
    EXPECT_FALSE(Completes(reader, {'E', std::string_view(error).substr(5)}));
  } else {
    EXPECT_FALSE(Completes(reader, {'T', kRowDescription}));
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

// Guards against accepting messages out of order, or a response without a row as a success.
TEST(QueryResponse, OutOfOrderMessagesAreErrorsAndAResponseWithoutARowFails) {
  EXPECT_EQ(ErrorOfFirst({'Z', "I"}), ProtocolError::kReadyWithoutResponse);
  EXPECT_EQ(ErrorOfFirst({'D', std::string_view("\0\1\0\0\0\0", 6)}), ProtocolError::kUnexpectedRow);
  EXPECT_EQ(ErrorOfFirst({'G', ""}), ProtocolError::kUnexpectedResponseMessage);
  EXPECT_FALSE(QueryResponseReader().outcome());
  QueryResponseReader empty;
  EXPECT_FALSE(Completes(empty, {'C', std::string_view("SELECT 0\0", 9)}));
  EXPECT_EQ(empty.outcome()->status, Status::kError);
}

// Guards against treating a healthy server as failed because too many routers queried it at once. For a
// statement the same code does not prove that it did not run.
TEST(QueryResponse, RejectedHealthCheckMeansOverload) {
  for (const auto kind : {QueryKind::kHealthCheck, QueryKind::kStatement}) {
    QueryResponseReader reader(kind);
    EXPECT_FALSE(Completes(reader, {'E', std::string_view("SFATAL\0C57P03\0Mbusy\0\0", 21)}));
    const bool is_health_check = kind == QueryKind::kHealthCheck;
    EXPECT_EQ(reader.outcome()->status, is_health_check ? Status::kOverloaded : Status::kError);
  }
}

// Guards against forwarding the value of a malformed response: each message is checked completely first.
TEST(QueryResponse, MalformedResponseIsNeverComplete) {
  const std::string_view row("\0\1\0\0\0\1v", 7), tag("SELECT 1\0", 9);
  const std::vector<Message> valid_response = {{'T', kRowDescription}, {'D', row}, {'C', tag}, {'Z', "I"}};
  const auto expect_error = [&](std::size_t valid_messages, const Message& malformed,
                                ProtocolError expected) {
    QueryResponseReader reader;
    for (std::size_t i = 0; i < valid_messages; ++i) EXPECT_FALSE(Completes(reader, valid_response[i]));
    EXPECT_EQ(ErrorOf(reader, malformed), expected) << valid_messages << malformed.type << malformed.body;
  };
  QueryResponseReader valid_reader;
  for (const Message& m : valid_response) EXPECT_EQ(Completes(valid_reader, m), m.type == 'Z');
  EXPECT_EQ(valid_reader.outcome()->status, Status::kOk);
  expect_error(0, {'T', kRowDescription.substr(0, 24)}, ProtocolError::kDescriptionSizeMismatch);
  expect_error(0, {'T', std::string_view("\0\2a\0", 4)}, ProtocolError::kDescriptionNotSingleColumn);
  expect_error(0, {'E', std::string_view("SERROR\0C53300\0", 14)}, ProtocolError::kUnterminatedErrorFields);
  expect_error(0, {'E', std::string_view("C53300\0\0x", 9)}, ProtocolError::kTrailingBytesAfterError);
  expect_error(0, {'E', std::string_view("SERROR\0\0", 8)}, ProtocolError::kErrorWithoutCode);
  expect_error(0, {'S', std::string_view("pressure\0x0=1", 13)}, ProtocolError::kUnterminatedString);
  expect_error(1, {'D', row.substr(0, 6)}, ProtocolError::kRowSizeMismatch);
  expect_error(1, {'D', std::string_view("\0\1\xff\xff\xff\xff", 6)}, ProtocolError::kRowSizeMismatch);
  expect_error(2, {'D', row}, ProtocolError::kUnexpectedRow);
  expect_error(2, {'C', "SELECT 1"}, ProtocolError::kUnterminatedCommandTag);
  expect_error(3, {'T', kRowDescription}, ProtocolError::kUnexpectedRowDescription);
  expect_error(3, {'D', row}, ProtocolError::kUnexpectedRow);
  expect_error(3, {'C', tag}, ProtocolError::kDuplicateEndOfResponse);
  expect_error(3, {'E', std::string_view("CXX000\0\0", 8)}, ProtocolError::kDuplicateEndOfResponse);
  expect_error(3, {'Z', "T"}, ProtocolError::kUnexpectedTransactionStatus);
}

TEST(LoadReportParser, ParsesValuesByName) {
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
