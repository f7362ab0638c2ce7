// Parsers for the bodies of the messages that the router reads. They are pure functions; views in their
// results point into the body and are valid only as long as it is.
#ifndef TULIPYOKE_SRC_PG_MESSAGE_PARSER_HPP_
#define TULIPYOKE_SRC_PG_MESSAGE_PARSER_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/pg/result.hpp"

namespace tulipyoke::pg {

// What a client requests with a startup packet: a session, encryption (SSL or GSSAPI) or cancellation.
enum class StartupKind { kSession, kEncryption, kCancel };
Result<StartupKind> ParseStartup(std::string_view body);

// What a server's authentication message says: authentication is complete, or the server requires a method
// that the router does not support.
enum class Authentication { kDone, kRequired };
Result<Authentication> ParseAuthentication(std::string_view body);

// The fields of an error response that the router uses. `fatal`: the severity is FATAL or PANIC.
struct ErrorFields {
  std::string code, message;
  bool fatal = false;
};
Result<ErrorFields> ParseError(std::string_view body);

struct ParameterStatus {
  std::string_view name, value;
};
Result<ParameterStatus> ParseParameterStatus(std::string_view body);

// Returns an error unless the row description describes exactly one column and nothing follows it.
std::optional<ProtocolError> CheckSingleColumnDescription(std::string_view body);

// Returns the value of a row, which must have exactly one column that is not null.
Result<std::string_view> ParseSingleColumn(std::string_view body);

// Returns the text of a query without its terminating zero byte.
Result<std::string_view> ParseQuery(std::string_view body);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_MESSAGE_PARSER_HPP_
