// Encoders for the messages that the router writes. Each appends to `out`.
#ifndef TULIPYOKE_SRC_PG_MESSAGE_WRITER_HPP_
#define TULIPYOKE_SRC_PG_MESSAGE_WRITER_HPP_

#include <cstddef>
#include <string>
#include <string_view>

namespace tulipyoke::pg {

void AppendMessage(std::string& out, char type, std::string_view body);
// Appends only the header of a message. The caller sends the body of `body_size` bytes separately.
void AppendHeader(std::string& out, char type, std::size_t body_size);
void AppendStartup(std::string& out, std::string_view user, std::string_view database);
void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value);
void AppendReadyForQuery(std::string& out);
void AppendAuthenticationOk(std::string& out);
void AppendDataRow(std::string& out, std::string_view value);
// Appends only the header of a row. The caller sends the value of `value_size` bytes separately.
void AppendRowHeader(std::string& out, std::size_t value_size);
// Appends an error response. An empty `detail` is omitted.
void AppendError(std::string& out, std::string_view severity, std::string_view code, std::string_view message,
                 std::string_view detail = {});

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_MESSAGE_WRITER_HPP_
