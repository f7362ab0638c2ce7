// The messages that a router writes, each appended to a buffer.
#ifndef TULIPYOKE_SRC_PG_MESSAGE_WRITER_HPP_
#define TULIPYOKE_SRC_PG_MESSAGE_WRITER_HPP_

#include <cstddef>
#include <string>
#include <string_view>

namespace tulipyoke::pg {

void AppendMessage(std::string& out, char type, std::string_view body);
// The header of a message whose body, of that size, the caller sends separately.
void AppendHeader(std::string& out, char type, std::size_t body_size);
void AppendStartup(std::string& out, std::string_view user, std::string_view database);
void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value);
void AppendReadyForQuery(std::string& out);
void AppendAuthenticationOk(std::string& out);
void AppendDataRow(std::string& out, std::string_view value);
// The header of a row whose value, of that size, the caller sends separately.
void AppendRowHeader(std::string& out, std::size_t value_size);
// An error response; `detail` is left out where it is empty.
void AppendError(std::string& out, std::string_view severity, std::string_view code, std::string_view message,
                 std::string_view detail = {});

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_MESSAGE_WRITER_HPP_
