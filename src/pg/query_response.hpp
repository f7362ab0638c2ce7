// Reads a server's response to one query, message by message.
#ifndef TULIPYOKE_SRC_PG_QUERY_RESPONSE_HPP_
#define TULIPYOKE_SRC_PG_QUERY_RESPONSE_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "src/dispatch/outcome.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/result.hpp"

namespace tulipyoke::pg {

enum class QueryKind { kStatement, kHealthCheck };

// kComplete: the server sent ReadyForQuery and accepts the next query.
enum class ResponseProgress { kIncomplete, kComplete };

// Accepts the response to a simple query with one statement, which returns at most one row of one column.
// After an error the connection must be closed; outcome() still returns the outcome of the messages before
// it.
class QueryResponseReader {
 public:
  explicit QueryResponseReader(QueryKind kind = QueryKind::kStatement) : kind_(kind) {}

  Result<ResponseProgress> Read(const Message& message);
  // Called instead of Read for a row whose value is streamed without passing through this reader. Returns an
  // error if a row is not expected here.
  std::optional<ProtocolError> BeginRow();
  // The body of the row description, or empty if none was received yet.
  const std::string& row_description() const { return outcome_.result.row_description; }
  // The outcome of the messages read so far, or none if neither an error nor the end of the command was
  // received. It is also valid if the connection breaks before the response is complete.
  std::optional<Outcome> outcome() const;

 private:
  bool ended() const { return command_complete_ || !error_code_.empty(); }
  std::optional<ProtocolError> ReadMessage(const Message& message);
  std::optional<ProtocolError> ReadRowDescription(std::string_view body);
  std::optional<ProtocolError> ReadRow(std::string_view body);
  std::optional<ProtocolError> ReadCommandComplete(std::string_view body);
  std::optional<ProtocolError> ReadEmptyQueryResponse();
  std::optional<ProtocolError> ReadError(std::string_view body);
  std::optional<ProtocolError> ReadParameterStatus(std::string_view body);
  std::optional<ProtocolError> ReadReadyForQuery(std::string_view body) const;

  QueryKind kind_;
  Outcome outcome_;
  bool has_row_description_ = false;
  bool has_row_ = false;
  bool command_complete_ = false;
  std::string error_code_;
};

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_QUERY_RESPONSE_HPP_
