#include "src/pg/protocol_error.hpp"

namespace tulipyoke::pg {

std::string_view ToText(ProtocolError error) {
  switch (error) {
    case ProtocolError::kInvalidMessageLength:
      return "a message has an impossible length";
    case ProtocolError::kMessageTooShort:
      return "a message is shorter than its fields";
    case ProtocolError::kUnterminatedString:
      return "a text in a message does not end";
    case ProtocolError::kUnsupportedProtocolVersion:
      return "only version 3 of the protocol is spoken here";
    case ProtocolError::kUnterminatedErrorFields:
      return "an error's fields do not end";
    case ProtocolError::kTrailingBytesAfterError:
      return "an error goes on behind its end";
    case ProtocolError::kTrailingBytesAfterParameter:
      return "a parameter goes on behind its end";
    case ProtocolError::kTrailingBytesAfterQuery:
      return "a query goes on behind its end";
    case ProtocolError::kDescriptionNotSingleColumn:
      return "not just one column is described";
    case ProtocolError::kDescriptionSizeMismatch:
      return "the column description does not match the length of its message";
    case ProtocolError::kRowNotSingleColumn:
      return "a row has not just one column";
    case ProtocolError::kRowSizeMismatch:
      return "a row's value does not fill it";
    case ProtocolError::kUnexpectedRowDescription:
      return "a description that does not begin an answer";
    case ProtocolError::kUnexpectedRow:
      return "a row that was not announced";
    case ProtocolError::kDuplicateEndOfResponse:
      return "a second end in one answer";
    case ProtocolError::kUnterminatedCommandTag:
      return "a tag that does not end";
    case ProtocolError::kErrorWithoutCode:
      return "an error without a code";
    case ProtocolError::kReadyWithoutResponse:
      return "ready again without an answer";
    case ProtocolError::kUnexpectedTransactionStatus:
      return "a state that no single statement leaves";
    case ProtocolError::kUnexpectedResponseMessage:
      return "a message that no simple query calls for";
    case ProtocolError::kPasswordRequested:
      return "the server requires authentication";
    case ProtocolError::kUnexpectedStartupMessage:
      return "unexpected message during startup";
    case ProtocolError::kUnknownRequestType:
      return "a message of a type that is not known";
  }
  return "";
}

}  // namespace tulipyoke::pg
