// A server's response to one query, read message by message until it is complete.
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

// kComplete: the connection is ready for the next query.
enum class ResponseProgress { kIncomplete, kComplete };

// Accepts the response to a simple query of one statement that returns one row of one column. After an error
// the connection must be closed; outcome() still tells what came before.
class QueryResponseReader {
 public:
  explicit QueryResponseReader(QueryKind kind = QueryKind::kStatement) : kind_(kind) {}

  Result<ResponseProgress> Read(const Message& message);
  // In place of reading a row whose value is streamed past this reader. The error, if the row is out of
  // order.
  std::optional<ProtocolError> BeginRow();
  // The body of the row description; empty before it has come.
  const std::string& row_description() const { return outcome_.result.row_description; }
  // What the messages so far amount to where the connection goes no further; none: no response yet.
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
