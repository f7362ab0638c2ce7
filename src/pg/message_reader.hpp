// Framing of PostgreSQL's protocol version 3: splits a byte stream into messages, regardless of how the
// network splits the stream into reads.
#ifndef TULIPYOKE_SRC_PG_MESSAGE_READER_HPP_
#define TULIPYOKE_SRC_PG_MESSAGE_READER_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/pg/message_types.hpp"
#include "src/pg/protocol_error.hpp"

namespace tulipyoke::pg {

// All sizes are in bytes.
//
// The largest client message that is read without a reservation of memory. It has room for a statement with
// a value of 64 KiB, whose hex digits take twice as many bytes.
inline constexpr std::size_t kMaxMessageSize = std::size_t{192} << 10;
inline constexpr std::size_t kMaxStartupSize = 10000;
// A value up to this size is buffered until its response is complete. A larger one is streamed.
inline constexpr std::size_t kMaxBufferedValue = std::size_t{64} << 10;
inline constexpr std::size_t kMaxValueSize = std::size_t{4} << 20;
// The largest client message: a statement that holds the largest value as hex digits.
inline constexpr std::size_t kMaxStatementSize = 2 * kMaxValueSize + (std::size_t{8} << 10);
// The bytes that the length field of a row with one column counts in addition to the value: the length
// itself, the column count and the size of the value.
inline constexpr std::size_t kRowHeaderSize = 10;

struct Message {
  char type = kStartupPacket;
  std::string_view body;  // valid until the next call on the reader
};

// Not thread-safe. After an error the reader must not be used any more.
class MessageReader {
 public:
  // `startup_first`: the stream starts with a client's startup packets, which have no type byte.
  explicit MessageReader(bool startup_first, std::size_t max_size = kMaxMessageSize)
      : in_startup_(startup_first), max_size_(max_size) {}
  // Returns a reader for a server's messages. Rows with a value larger than kMaxBufferedValue are streamed.
  static MessageReader ForResponses();

  void Feed(std::string_view bytes);
  // Returns the next complete message, or none if more bytes are needed or error() is set.
  std::optional<Message> Next();
  // The error that Next or NextLargeRow found in the stream, if any.
  std::optional<ProtocolError> error() const { return error_; }
  // Returns the size of the message that is being read, including its header, or none if the header is
  // incomplete.
  std::optional<std::size_t> PendingMessageSize() const;
  // Allocates memory for the next message. `size` includes the header.
  void Reserve(std::size_t size) { bytes_.reserve(consumed_ + size); }
  // Returns `body`, a view into the message that Next returned last, as a string. A large body is moved out
  // of the reader instead of copied.
  std::string TakeBody(std::string_view body);
  // Frees the memory of consumed messages if nothing else is buffered and there is much of it. Invalidates
  // the bodies of earlier messages.
  void ReleaseConsumed();
  // The bytes of memory that the buffer occupies.
  std::size_t capacity() const { return bytes_.capacity(); }
  // If the next message is a row whose value is streamed, consumes the row's header and returns the size of
  // the value, which is then read with TakeValue. Returns none if the row's header is incomplete, for any
  // other message, and with error() set if the row does not have exactly one column that fills it.
  std::optional<std::size_t> NextLargeRow();
  // Returns the buffered bytes of a streamed value that has `remaining` bytes left, and consumes them. They
  // are valid until the next call on the reader.
  std::string_view TakeValue(std::size_t remaining);
  // Ends the startup phase: all further messages have a type byte.
  void EndStartup() { in_startup_ = false; }
  // The number of bytes that were passed to Feed and are not consumed yet.
  std::size_t buffered() const { return bytes_.size() - consumed_; }

 private:
  std::string_view unread() const { return std::string_view(bytes_).substr(consumed_); }
  std::size_t header_size() const;
  bool IsValidLength(std::size_t length, char type) const;

  bool in_startup_;
  std::size_t max_size_;
  bool streams_rows_ = false;
  std::optional<ProtocolError> error_;
  std::string bytes_;
  std::size_t consumed_ = 0;
};

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_MESSAGE_READER_HPP_
