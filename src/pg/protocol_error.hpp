// Violations of the PostgreSQL protocol by a client or a server. After any of them the connection cannot be
// read any further.
#ifndef TULIPYOKE_SRC_PG_PROTOCOL_ERROR_HPP_
#define TULIPYOKE_SRC_PG_PROTOCOL_ERROR_HPP_

#include <string_view>

namespace tulipyoke::pg {

enum class ProtocolError {
  // Framing and fields of all messages.
  kInvalidMessageLength,
  kMessageTooShort,
  kUnterminatedString,
  // Contents of single messages.
  kUnsupportedProtocolVersion,
  kUnterminatedErrorFields,
  kTrailingBytesAfterError,
  kTrailingBytesAfterParameter,
  kTrailingBytesAfterQuery,
  kDescriptionNotSingleColumn,
  kDescriptionSizeMismatch,
  kRowNotSingleColumn,
  kRowSizeMismatch,
  // Messages of a query's response: their order and contents.
  kUnexpectedRowDescription,
  kUnexpectedRow,
  kDuplicateEndOfResponse,
  kUnterminatedCommandTag,
  kErrorWithoutCode,
  kReadyWithoutResponse,
  kUnexpectedTransactionStatus,
  kUnexpectedResponseMessage,
  // Startup of a connection to a server.
  kPasswordRequested,
  kUnexpectedStartupMessage,
  // Messages from clients.
  kUnknownRequestType,
};

// Returns the text that a client is sent in the message field of an error response. It has static storage.
std::string_view ToText(ProtocolError error);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_PROTOCOL_ERROR_HPP_
