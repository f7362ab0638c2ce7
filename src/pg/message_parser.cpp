#include "src/pg/message_parser.hpp"

#include "src/pg/byte_order.hpp"

namespace tulipyoke::pg {
namespace {

constexpr std::uint32_t kProtocolMajorVersion = 3;
constexpr std::uint32_t kAuthenticationOkCode = 0;
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::uint32_t kSslRequestCode = 80877103;
constexpr std::uint32_t kGssEncRequestCode = 80877104;
// The size of the fixed fields after the name in a column's description: table OID, column number, type OID,
// type size, type modifier and format code.
constexpr std::size_t kColumnFieldsSize = 18;

Result<std::uint32_t> ParseUint32(std::string_view bytes) {
  if (bytes.size() < kUint32Size) return ProtocolError::kMessageTooShort;
  return DecodeUint32(bytes);
}

// Removes a zero-terminated string and its terminator from the front of `bytes` and returns the string.
Result<std::string_view> TakeString(std::string_view& bytes) {
  const std::size_t end = bytes.find('\0');
  if (end == std::string_view::npos) return ProtocolError::kUnterminatedString;
  const std::string_view text = bytes.substr(0, end);
  bytes.remove_prefix(end + 1);
  return text;
}

}  // namespace

Result<StartupKind> ParseStartup(std::string_view body) {
  const Result<std::uint32_t> code = ParseUint32(body);
  if (!code) return code.error();
  switch (*code) {
    case kSslRequestCode:
    case kGssEncRequestCode:
      return StartupKind::kEncryption;
    case kCancelRequestCode:
      return StartupKind::kCancel;
    default:
      if (*code >> 16 != kProtocolMajorVersion) return ProtocolError::kUnsupportedProtocolVersion;
      return StartupKind::kSession;
  }
}

Result<Authentication> ParseAuthentication(std::string_view body) {
  const Result<std::uint32_t> method = ParseUint32(body);
  if (!method) return method.error();
  return *method == kAuthenticationOkCode ? Authentication::kDone : Authentication::kRequired;
}

Result<ErrorFields> ParseError(std::string_view body) {
  ErrorFields fields;
  for (;;) {
    if (body.empty()) return ProtocolError::kUnterminatedErrorFields;
    const char field = body[0];
    if (field == '\0') break;
    body.remove_prefix(1);
    const Result<std::string_view> text = TakeString(body);
    if (!text) return text.error();
    if (field == 'C') fields.code = *text;
    if (field == 'M') fields.message = *text;
    if (field == 'S') fields.fatal = *text == "FATAL" || *text == "PANIC";
  }
  if (body.size() != 1) return ProtocolError::kTrailingBytesAfterError;
  return fields;
}

Result<ParameterStatus> ParseParameterStatus(std::string_view body) {
  const Result<std::string_view> name = TakeString(body);
  if (!name) return name.error();
  const Result<std::string_view> value = TakeString(body);
  if (!value) return value.error();
  if (!body.empty()) return ProtocolError::kTrailingBytesAfterParameter;
  return ParameterStatus{*name, *value};
}

std::optional<ProtocolError> CheckSingleColumnDescription(std::string_view body) {
  if (!HasOneColumn(body)) return ProtocolError::kDescriptionNotSingleColumn;
  body.remove_prefix(kColumnCountSize);
  const Result<std::string_view> name = TakeString(body);
  if (!name) return name.error();
  if (body.size() != kColumnFieldsSize) return ProtocolError::kDescriptionSizeMismatch;
  return std::nullopt;
}

Result<std::string_view> ParseSingleColumn(std::string_view body) {
  constexpr std::size_t kHeaderSize = kColumnCountSize + kUint32Size;
  if (body.size() < kHeaderSize || !HasOneColumn(body)) return ProtocolError::kRowNotSingleColumn;
  const std::size_t size = DecodeUint32(body.substr(kColumnCountSize));
  if (size != body.size() - kHeaderSize) return ProtocolError::kRowSizeMismatch;
  return body.substr(kHeaderSize);
}

Result<std::string_view> ParseQuery(std::string_view body) {
  const Result<std::string_view> text = TakeString(body);
  if (!text) return text.error();
  if (!body.empty()) return ProtocolError::kTrailingBytesAfterQuery;
  return *text;
}

}  // namespace tulipyoke::pg
