#include "src/pg/message_reader.hpp"

#include <utility>

#include "src/pg/byte_order.hpp"

namespace tulipyoke::pg {
namespace {

// Consumed bytes are erased only once there are more than this many, so that a long stream is not moved on
// every call of Feed.
constexpr std::size_t kCompactThreshold = 4096;
// An empty buffer with a larger capacity is released, and a larger body is moved out instead of copied.
constexpr std::size_t kMaxRetainedCapacity = 16384;
constexpr std::size_t kTypeSize = 1;
constexpr std::size_t kLengthSize = 4;  // the length field counts its own four bytes
constexpr std::size_t kStartupCodeSize = 4;

}  // namespace

MessageReader MessageReader::ForResponses() {
  MessageReader reader(false, kMaxBufferedValue + kRowHeaderSize);
  reader.streams_rows_ = true;
  return reader;
}

std::size_t MessageReader::header_size() const { return in_startup_ ? kLengthSize : kTypeSize + kLengthSize; }

void MessageReader::Feed(std::string_view bytes) {
  if (consumed_ == bytes_.size()) {
    ReleaseConsumed();
    bytes_.clear();
    consumed_ = 0;
  } else if (consumed_ > kCompactThreshold) {
    bytes_.erase(0, consumed_);
    consumed_ = 0;
  }
  bytes_ += bytes;
}

// Otherwise one large message would hold its memory until more arrives, or until the connection closes.
void MessageReader::ReleaseConsumed() {
  if (consumed_ < bytes_.size() || bytes_.capacity() <= kMaxRetainedCapacity) return;
  bytes_.clear();
  bytes_.shrink_to_fit();
  consumed_ = 0;
}

bool MessageReader::IsValidLength(std::size_t length, char type) const {
  if (in_startup_) return length >= kLengthSize + kStartupCodeSize && length <= kMaxStartupSize;
  const bool is_row = streams_rows_ && type == backend::kDataRow;
  return length >= kLengthSize && length <= (is_row ? kMaxValueSize + kRowHeaderSize : max_size_);
}

std::optional<Message> MessageReader::Next() {
  const std::string_view rest = unread();
  const std::size_t header = header_size();
  if (rest.size() < header) return std::nullopt;
  const std::size_t length = DecodeUint32(rest.substr(header - kLengthSize));
  if (!IsValidLength(length, rest[0])) {
    error_ = ProtocolError::kInvalidMessageLength;
    return std::nullopt;
  }
  const std::size_t size = header - kLengthSize + length;
  if (rest.size() < size) return std::nullopt;
  consumed_ += size;
  return Message{in_startup_ ? kStartupPacket : rest[0], rest.substr(header, size - header)};
}

std::optional<std::size_t> MessageReader::PendingMessageSize() const {
  const std::string_view rest = unread();
  const std::size_t header = header_size();
  if (rest.size() < header) return std::nullopt;
  return header - kLengthSize + DecodeUint32(rest.substr(header - kLengthSize));
}

std::string MessageReader::TakeBody(std::string_view body) {
  if (body.size() <= kMaxRetainedCapacity) return std::string(body);
  const auto offset = static_cast<std::size_t>(body.data() - bytes_.data());
  const std::size_t size = body.size();
  std::string taken = std::exchange(bytes_, bytes_.substr(consumed_));
  consumed_ = 0;
  taken.resize(offset + size);
  taken.erase(0, offset);
  return taken;
}

std::optional<std::size_t> MessageReader::NextLargeRow() {
  const std::string_view rest = unread();
  constexpr std::size_t kHeaderSize = kTypeSize + kRowHeaderSize;
  if (!streams_rows_ || rest.size() < kHeaderSize || rest[0] != backend::kDataRow) return std::nullopt;
  const std::size_t length = DecodeUint32(rest.substr(kTypeSize));
  if (length <= kMaxBufferedValue + kRowHeaderSize || length > kMaxValueSize + kRowHeaderSize)
    return std::nullopt;
  const std::string_view columns = rest.substr(kTypeSize + kLengthSize);
  if (!HasOneColumn(columns)) {
    error_ = ProtocolError::kRowNotSingleColumn;
    return std::nullopt;
  }
  const std::size_t value_size = DecodeUint32(columns.substr(kColumnCountSize));
  if (value_size != length - kRowHeaderSize) {
    error_ = ProtocolError::kRowSizeMismatch;
    return std::nullopt;
  }
  consumed_ += kHeaderSize;
  return value_size;
}

std::string_view MessageReader::TakeValue(std::size_t remaining) {
  const std::string_view bytes = unread().substr(0, remaining);
  consumed_ += bytes.size();
  return bytes;
}

}  // namespace tulipyoke::pg
