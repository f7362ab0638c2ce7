#include "src/pg/message_writer.hpp"

#include "src/pg/byte_order.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_types.hpp"

namespace tulipyoke::pg {
namespace {

constexpr std::size_t kProtocolVersion3 = 3 << 16;
constexpr std::string_view kIdleTransactionStatus = "I";
constexpr std::string_view kAuthenticationOk("\0\0\0\0", 4);
constexpr std::string_view kOneColumn("\0\1", 2);

void AppendString(std::string& out, std::string_view text) {
  out += text;
  out.push_back('\0');
}

}  // namespace

void AppendHeader(std::string& out, char type, std::size_t body_size) {
  out.push_back(type);
  AppendUint32(out, body_size + kUint32Size);
}

void AppendMessage(std::string& out, char type, std::string_view body) {
  AppendHeader(out, type, body.size());
  out += body;
}

void AppendStartup(std::string& out, std::string_view user, std::string_view database) {
  std::string body;
  AppendUint32(body, kProtocolVersion3);
  AppendString(body, "user");
  AppendString(body, user);
  AppendString(body, "database");
  AppendString(body, database);
  body.push_back('\0');
  AppendUint32(out, body.size() + kUint32Size);
  out += body;
}

void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value) {
  std::string body;
  AppendString(body, name);
  AppendString(body, value);
  AppendMessage(out, backend::kParameterStatus, body);
}

void AppendReadyForQuery(std::string& out) {
  AppendMessage(out, backend::kReadyForQuery, kIdleTransactionStatus);
}

void AppendAuthenticationOk(std::string& out) {
  AppendMessage(out, backend::kAuthentication, kAuthenticationOk);
}

void AppendRowHeader(std::string& out, std::size_t value_size) {
  out.push_back(backend::kDataRow);
  AppendUint32(out, value_size + kRowHeaderSize);
  out += kOneColumn;
  AppendUint32(out, value_size);
}

void AppendDataRow(std::string& out, std::string_view value) {
  AppendRowHeader(out, value.size());
  out += value;
}

void AppendError(std::string& out, std::string_view severity, std::string_view code, std::string_view message,
                 std::string_view detail) {
  std::string body;
  const auto append_field = [&](char name, std::string_view text) {
    body.push_back(name);
    AppendString(body, text);
  };
  append_field('S', severity);
  append_field('V', severity);
  append_field('C', code);
  append_field('M', message);
  if (!detail.empty()) append_field('D', detail);
  body.push_back('\0');
  AppendMessage(out, backend::kErrorResponse, body);
}

}  // namespace tulipyoke::pg
