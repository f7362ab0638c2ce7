#include "src/pg/query_response.hpp"

#include <charconv>
#include <cstdint>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_types.hpp"
#include "src/pg/sqlstate.hpp"

namespace tulipyoke::pg {
namespace {

// The parameters in which servers report their role, replication position and load.
constexpr std::string_view kReplicationRole = "replication_role";
constexpr std::string_view kLogPosition = "log_position";
constexpr std::string_view kPressure = "pressure";
constexpr std::string_view kIdleTransactionStatus = "I";

// The codes that map to a status other than kError prove that the statement did not run; after any other code
// it may have run. A health check has no effect, so for it kCannotConnectNow is overload as well: the server
// is alive but received too many queries at once.
Status StatusFromSqlstate(std::string_view code, QueryKind kind) {
  if (code == sqlstate::kReadOnlyTransaction || code == sqlstate::kSnapshotTooOld)
    return Status::kStaleOrWrongRole;
  if (code == sqlstate::kTooManyConnections) return Status::kOverloaded;
  if (code == sqlstate::kCannotConnectNow && kind == QueryKind::kHealthCheck) return Status::kOverloaded;
  return Status::kError;
}

Role ParseRole(std::string_view name) {
  if (name == "primary") return Role::kPrimary;
  if (name == "standby") return Role::kReplica;
  return Role::kUnknown;
}

// Returns milliseconds of Unix time, or none if the text is not a positive number.
std::optional<std::int64_t> ParsePosition(std::string_view text) {
  std::int64_t position = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, position);
  if (error != std::errc() || end != text_end || position <= 0) return std::nullopt;
  return position;
}

}  // namespace

Result<ResponseProgress> QueryResponseReader::Read(const Message& message) {
  if (const std::optional<ProtocolError> error = ReadMessage(message)) return *error;
  return message.type == backend::kReadyForQuery ? ResponseProgress::kComplete
                                                 : ResponseProgress::kIncomplete;
}

std::optional<ProtocolError> QueryResponseReader::ReadMessage(const Message& message) {
  switch (message.type) {
    case backend::kRowDescription:
      return ReadRowDescription(message.body);
    case backend::kDataRow:
      return ReadRow(message.body);
    case backend::kCommandComplete:
      return ReadCommandComplete(message.body);
    case backend::kEmptyQueryResponse:
      return ReadEmptyQueryResponse();
    case backend::kErrorResponse:
      return ReadError(message.body);
    case backend::kParameterStatus:
      return ReadParameterStatus(message.body);
    case backend::kNoticeResponse:
    case backend::kNotificationResponse:
      return std::nullopt;
    case backend::kReadyForQuery:
      return ReadReadyForQuery(message.body);
    default:
      return ProtocolError::kUnexpectedResponseMessage;
  }
}

std::optional<ProtocolError> QueryResponseReader::ReadRowDescription(std::string_view body) {
  if (has_row_description_ || ended()) return ProtocolError::kUnexpectedRowDescription;
  if (const std::optional<ProtocolError> error = CheckSingleColumnDescription(body)) return error;
  has_row_description_ = true;
  outcome_.result.row_description = body;
  return std::nullopt;
}

std::optional<ProtocolError> QueryResponseReader::BeginRow() {
  if (!has_row_description_ || has_row_ || ended()) return ProtocolError::kUnexpectedRow;
  has_row_ = true;
  return std::nullopt;
}

std::optional<ProtocolError> QueryResponseReader::ReadRow(std::string_view body) {
  if (const std::optional<ProtocolError> error = BeginRow()) return error;
  const Result<std::string_view> value = ParseSingleColumn(body);
  if (!value) return value.error();
  outcome_.result.value = *value;
  return std::nullopt;
}

std::optional<ProtocolError> QueryResponseReader::ReadCommandComplete(std::string_view body) {
  if (ended()) return ProtocolError::kDuplicateEndOfResponse;
  if (body.find('\0') + 1 != body.size()) return ProtocolError::kUnterminatedCommandTag;
  command_complete_ = true;
  outcome_.result.command_tag = body;
  return std::nullopt;
}

std::optional<ProtocolError> QueryResponseReader::ReadEmptyQueryResponse() {
  if (ended()) return ProtocolError::kDuplicateEndOfResponse;
  command_complete_ = true;
  return std::nullopt;
}

std::optional<ProtocolError> QueryResponseReader::ReadError(std::string_view body) {
  if (ended()) return ProtocolError::kDuplicateEndOfResponse;
  const Result<ErrorFields> fields = ParseError(body);
  if (!fields) return fields.error();
  if (fields->code.empty()) return ProtocolError::kErrorWithoutCode;
  error_code_ = fields->code;
  return std::nullopt;
}

std::optional<ProtocolError> QueryResponseReader::ReadParameterStatus(std::string_view body) {
  const Result<ParameterStatus> parameter = ParseParameterStatus(body);
  if (!parameter) return parameter.error();
  if (parameter->name == kReplicationRole) {
    outcome_.role = ParseRole(parameter->value);
  } else if (parameter->name == kLogPosition) {
    if (const auto position = ParsePosition(parameter->value)) outcome_.position_unix_ms = position;
  } else if (parameter->name == kPressure) {
    outcome_.report = ParseLoadReport(std::string(parameter->value));
  }
  return std::nullopt;
}

std::optional<ProtocolError> QueryResponseReader::ReadReadyForQuery(std::string_view body) const {
  if (!ended()) return ProtocolError::kReadyWithoutResponse;
  if (body != kIdleTransactionStatus) return ProtocolError::kUnexpectedTransactionStatus;
  return std::nullopt;
}

std::optional<Outcome> QueryResponseReader::outcome() const {
  Outcome outcome = outcome_;
  if (!error_code_.empty()) {
    outcome.status = StatusFromSqlstate(error_code_, kind_);
    outcome.result = {};
    return outcome;
  }
  if (!command_complete_) return std::nullopt;
  // Without a row there is no value to forward.
  if (!has_row_) outcome.status = Status::kError;
  return outcome;
}

}  // namespace tulipyoke::pg
