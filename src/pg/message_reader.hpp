// Framing of PostgreSQL's protocol version 3: cuts a byte stream into messages, however the bytes are cut on
// the way.
#ifndef TULIPYOKE_SRC_PG_MESSAGE_READER_HPP_
#define TULIPYOKE_SRC_PG_MESSAGE_READER_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/pg/message_types.hpp"
#include "src/pg/protocol_error.hpp"

namespace tulipyoke::pg {

// All sizes are in bytes. What is read of a client without memory being reserved for it: a value of 64 KiB,
// which as hex digits in a statement takes twice that.
inline constexpr std::size_t kMaxMessageSize = std::size_t{192} << 10;
inline constexpr std::size_t kMaxStartupSize = 10000;
// A value up to this size is buffered until its response is complete; a larger one is streamed.
inline constexpr std::size_t kMaxBufferedValue = std::size_t{64} << 10;
inline constexpr std::size_t kMaxValueSize = std::size_t{4} << 20;
// The largest message of a client: a statement that holds the largest value.
inline constexpr std::size_t kMaxStatementSize = 2 * kMaxValueSize + (std::size_t{8} << 10);
// What the length field of a row counts beside the value of its one column.
inline constexpr std::size_t kRowHeaderSize = 10;

struct Message {
  char type = kStartupPacket;
  std::string_view body;  // valid until the next call of the reader
};

// Not thread-safe. Once an error has been found, the reader must not be used any more.
class MessageReader {
 public:
  // With `startup_first` the first packets are a client's, which carry no type byte.
  explicit MessageReader(bool startup_first, std::size_t max_size = kMaxMessageSize)
      : in_startup_(startup_first), max_size_(max_size) {}
  // For a server's messages: rows whose values are larger than kMaxBufferedValue are streamed.
  static MessageReader ForResponses();

  void Feed(std::string_view bytes);
  // The next complete message; none where more bytes are needed, or where error() tells that the stream is
  // broken.
  std::optional<Message> Next();
  // The error that Next or NextLargeRow came upon.
  std::optional<ProtocolError> error() const { return error_; }
  // The size of the message that is being read, its header included; none: the header is not complete yet.
  std::optional<std::size_t> PendingMessageSize() const;
  // Allocates for a message of that size, header included.
  void Reserve(std::size_t size) { bytes_.reserve(consumed_ + size); }
  // Moves the body of the message that was read last out of the reader, without a second copy where it is
  // large.
  std::string TakeBody(std::string_view body);
  // Where the next message is a row whose value is to be streamed: the size of that value. Its header is
  // consumed then, and the value follows by TakeValue. None where it is not, or where error() is set since
  // the row has not just one column that fills it.
  std::optional<std::size_t> NextLargeRow();
  // What has come of a value of which `remaining` bytes are still to come. Valid until the next call.
  std::string_view TakeValue(std::size_t remaining);
  // Startup is over: from here on messages have a type.
  void EndStartup() { in_startup_ = false; }
  // Bytes that have come and were not read as messages yet.
  std::size_t buffered() const { return bytes_.size() - consumed_; }

 private:
  std::string_view unread() const { return std::string_view(bytes_).substr(consumed_); }
  std::size_t header_size() const;
  bool IsPossibleLength(std::size_t length, char type) const;

  bool in_startup_;
  std::size_t max_size_;
  bool streams_rows_ = false;
  std::optional<ProtocolError> error_;
  std::string bytes_;
  std::size_t consumed_ = 0;
};

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_MESSAGE_READER_HPP_
