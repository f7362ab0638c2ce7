#include "src/pg/wire.hpp"

namespace tulipyoke::pg {
namespace {

constexpr std::uint32_t kVersion3 = 3 << 16;
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;
// Bytes already handed out are dropped once they are this many, so that a long stream is not moved each time.
constexpr std::size_t kCompactAt = 4096;
constexpr std::size_t kKeptCapacity = 16384;
// What follows the name in a column's description: its table, number, type, size, modifier and format.
constexpr std::size_t kColumnFields = 18;

void AppendU32(std::string& out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xff));
}
void AppendZeroEnded(std::string& out, std::string_view text) {
  out += text;
  out.push_back('\0');
}
// The text up to the next zero byte, which is taken too.
std::string_view TakeZeroEnded(std::string_view& bytes) {
  const std::size_t end = bytes.find('\0');
  if (end == std::string_view::npos) throw ProtocolError("a text in a message does not end");
  const std::string_view text = bytes.substr(0, end);
  bytes.remove_prefix(end + 1);
  return text;
}

}  // namespace

std::uint32_t ReadU32(std::string_view bytes, std::size_t at) {
  if (bytes.size() < 4 || at > bytes.size() - 4) throw ProtocolError("a message is shorter than its fields");
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

void MessageReader::Feed(std::string_view bytes) {
  if (taken_ == bytes_.size()) {
    bytes_.clear();
    // One large message must not keep its room for as long as the connection lives.
    if (bytes_.capacity() > kKeptCapacity) bytes_.shrink_to_fit();
    taken_ = 0;
  } else if (taken_ > kCompactAt) {
    bytes_.erase(0, taken_);
    taken_ = 0;
  }
  bytes_ += bytes;
}

std::optional<Message> MessageReader::Next() {
  const std::string_view rest = std::string_view(bytes_).substr(taken_);
  const std::size_t head = startup_ ? 4 : 5;
  if (rest.size() < head) return std::nullopt;
  const std::size_t length = ReadU32(rest, head - 4);
  const std::size_t row = passes_rows_ && rest[0] == 'D' ? kLargestValue + kRowHead : largest_;
  const std::size_t most = startup_ ? kLargestStartup : row;
  if (length < (startup_ ? 8u : 4u) || length > most)
    throw ProtocolError("a message has an impossible length");
  const std::size_t whole = length + head - 4;
  if (rest.size() < whole) return std::nullopt;
  taken_ += whole;
  return Message{startup_ ? '\0' : rest[0], rest.substr(head, whole - head)};
}

std::size_t MessageReader::Wanted() const {
  const std::string_view rest = std::string_view(bytes_).substr(taken_);
  const std::size_t head = startup_ ? 4 : 5;
  return rest.size() < head ? 0 : ReadU32(rest, head - 4) + head - 4;
}

std::string MessageReader::TakeBody(std::string_view body) {
  if (body.size() <= kKeptCapacity) return std::string(body);
  const auto from = static_cast<std::size_t>(body.data() - bytes_.data());
  const std::size_t size = body.size();
  std::string whole = std::exchange(bytes_, bytes_.substr(taken_));
  taken_ = 0;
  whole.resize(from + size);
  whole.erase(0, from);
  return whole;
}

std::optional<std::size_t> MessageReader::NextLargeRow() {
  const std::string_view rest = std::string_view(bytes_).substr(taken_);
  const std::size_t head = 1 + kRowHead;
  if (!passes_rows_ || rest.size() < head || rest[0] != 'D') return std::nullopt;
  const std::size_t length = ReadU32(rest, 1);
  if (length <= kLargestHeld + kRowHead || length > kLargestValue + kRowHead) return std::nullopt;
  if (rest[5] != 0 || rest[6] != 1) throw ProtocolError("a row has not just one column");
  const std::size_t size = ReadU32(rest, 7);
  if (size != length - kRowHead) throw ProtocolError("a row's value does not fill it");
  taken_ += head;
  return size;
}

std::string_view MessageReader::TakeValue(std::size_t left) {
  const std::string_view bytes = std::string_view(bytes_).substr(taken_, left);
  taken_ += bytes.size();
  return bytes;
}

StartupKind ParseStartup(std::string_view body) {
  switch (const std::uint32_t code = ReadU32(body, 0)) {
    case kSslRequest:
    case kGssRequest:
      return StartupKind::kEncryption;
    case kCancelRequest:
      return StartupKind::kCancel;
    default:
      if (code >> 16 != kVersion3 >> 16) throw ProtocolError("only version 3 of the protocol is spoken here");
      return StartupKind::kSession;
  }
}

ErrorFields ParseError(std::string_view body) {
  ErrorFields fields;
  for (;;) {
    if (body.empty()) throw ProtocolError("an error's fields do not end");
    const char field = body[0];
    if (field == '\0') break;
    body.remove_prefix(1);
    const std::string_view text = TakeZeroEnded(body);
    if (field == 'C') fields.code = text;
    if (field == 'M') fields.message = text;
    if (field == 'S') fields.fatal = text == "FATAL" || text == "PANIC";
  }
  if (body.size() != 1) throw ProtocolError("an error goes on behind its end");
  return fields;
}

std::pair<std::string_view, std::string_view> ParseParameterStatus(std::string_view body) {
  const std::string_view name = TakeZeroEnded(body), value = TakeZeroEnded(body);
  if (!body.empty()) throw ProtocolError("a parameter goes on behind its end");
  return {name, value};
}

void CheckSingleColumn(std::string_view body) {
  if (body.size() < 2 || body[0] != 0 || body[1] != 1)
    throw ProtocolError("not just one column is described");
  body.remove_prefix(2);
  TakeZeroEnded(body);
  if (body.size() != kColumnFields) throw ProtocolError("a column's description does not fill its message");
}

std::string_view ParseSingleColumn(std::string_view body) {
  if (body.size() < 6 || body[0] != 0 || body[1] != 1) throw ProtocolError("a row has not just one column");
  const std::size_t size = ReadU32(body, 2);
  if (size != body.size() - 6) throw ProtocolError("a row's value does not fill it");
  return body.substr(6);
}

std::string_view ParseQuery(std::string_view body) {
  const std::string_view text = TakeZeroEnded(body);
  if (!body.empty()) throw ProtocolError("a query goes on behind its end");
  return text;
}

void AppendHead(std::string& out, char type, std::size_t body_size) {
  out.push_back(type);
  AppendU32(out, body_size + 4);
}

void AppendMessage(std::string& out, char type, std::string_view body) {
  AppendHead(out, type, body.size());
  out += body;
}

void AppendStartup(std::string& out, std::string_view user, std::string_view database) {
  std::string body;
  AppendU32(body, kVersion3);
  for (const std::string_view text :
       {std::string_view("user"), user, std::string_view("database"), database}) {
    AppendZeroEnded(body, text);
  }
  body.push_back('\0');
  AppendU32(out, body.size() + 4);
  out += body;
}

void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value) {
  std::string body;
  AppendZeroEnded(body, name);
  AppendZeroEnded(body, value);
  AppendMessage(out, 'S', body);
}

void AppendReady(std::string& out) { AppendMessage(out, 'Z', "I"); }

void AppendAuthenticationOk(std::string& out) { AppendMessage(out, 'R', std::string_view("\0\0\0\0", 4)); }

void AppendRowHead(std::string& out, std::size_t value_size) {
  out.push_back('D');
  AppendU32(out, value_size + kRowHead);
  out += std::string_view("\0\1", 2);
  AppendU32(out, value_size);
}

void AppendDataRow(std::string& out, std::string_view value) {
  AppendRowHead(out, value.size());
  out += value;
}

void AppendError(std::string& out, std::string_view severity, std::string_view code, std::string_view message,
                 std::string_view detail) {
  std::string body;
  const auto field = [&](char name, std::string_view text) {
    body.push_back(name);
    AppendZeroEnded(body, text);
  };
  field('S', severity);
  field('V', severity);
  field('C', code);
  field('M', message);
  if (!detail.empty()) field('D', detail);
  body.push_back('\0');
  AppendMessage(out, 'E', body);
}

}  // namespace tulipyoke::pg
