// The bodies of the messages that a router reads, as pure functions. Views into a body are valid as long as
// the body is.
#ifndef TULIPYOKE_SRC_PG_MESSAGE_PARSER_HPP_
#define TULIPYOKE_SRC_PG_MESSAGE_PARSER_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/pg/result.hpp"

namespace tulipyoke::pg {

// What a client's startup packet asks for.
enum class StartupKind { kSession, kEncryption, kCancel };
Result<StartupKind> ParseStartup(std::string_view body);

// What a server asks of a router that connects.
enum class Authentication { kDone, kRequired };
Result<Authentication> ParseAuthentication(std::string_view body);

struct ErrorFields {
  std::string code, message;
  bool fatal = false;
};
Result<ErrorFields> ParseError(std::string_view body);

struct ParameterStatus {
  std::string_view name, value;
};
Result<ParameterStatus> ParseParameterStatus(std::string_view body);

// The error that a row description has where it does not describe just one column, or holds anything else.
std::optional<ProtocolError> CheckSingleColumnDescription(std::string_view body);

// The value of a row that has one column and is not null.
Result<std::string_view> ParseSingleColumn(std::string_view body);

// A query's text, without the zero byte that ends it.
Result<std::string_view> ParseQuery(std::string_view body);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_MESSAGE_PARSER_HPP_
