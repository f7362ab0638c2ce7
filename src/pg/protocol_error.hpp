// The ways in which a peer can break the PostgreSQL protocol. After any of them nothing more can be read on
// the connection.
#ifndef TULIPYOKE_SRC_PG_PROTOCOL_ERROR_HPP_
#define TULIPYOKE_SRC_PG_PROTOCOL_ERROR_HPP_

#include <string_view>

namespace tulipyoke::pg {

enum class ProtocolError {
  // Framing and fields.
  kImpossibleMessageLength,
  kMessageTooShort,
  kUnterminatedString,
  // Single messages.
  kUnsupportedProtocolVersion,
  kUnterminatedErrorFields,
  kTrailingBytesAfterError,
  kTrailingBytesAfterParameter,
  kTrailingBytesAfterQuery,
  kDescriptionNotOfOneColumn,
  kDescriptionSizeMismatch,
  kRowNotOfOneColumn,
  kRowSizeMismatch,
  // The order of messages in a response to a query.
  kUnexpectedRowDescription,
  kUnexpectedRow,
  kSecondEndOfResponse,
  kUnterminatedCommandTag,
  kErrorWithoutCode,
  kReadyWithoutResponse,
  kUnexpectedTransactionStatus,
  kUnexpectedResponseMessage,
  // The start of a connection.
  kPasswordRequested,
  kUnexpectedStartupMessage,
  // Requests of clients.
  kUnknownRequestType,
};

// The text that logs, and clients in the message of an error response, are given. Static storage.
std::string_view ToText(ProtocolError error);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_PROTOCOL_ERROR_HPP_
