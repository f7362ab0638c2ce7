// PostgreSQL's protocol v3 as bytes: framing and the few messages that a router reads or writes.
#ifndef TULIPYOKE_SRC_PG_WIRE_HPP_
#define TULIPYOKE_SRC_PG_WIRE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace tulipyoke::pg {

// The peer broke the protocol: what it sends cannot be read any further.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What is read of a client without room being set aside for it: a value of 64 KiB, which as hex digits in a
// statement takes twice that.
inline constexpr std::size_t kLargestMessage = std::size_t{192} << 10;
inline constexpr std::size_t kLargestStartup = 10000;
// A value up to this size is held until its answer is whole; a larger one is passed on as it comes.
inline constexpr std::size_t kLargestHeld = std::size_t{64} << 10;
inline constexpr std::size_t kLargestValue = std::size_t{4} << 20;
// The same for a statement that holds the largest value.
inline constexpr std::size_t kLargestStatement = 2 * kLargestValue + (std::size_t{8} << 10);
// What a row's length counts beside the value of its one column.
inline constexpr std::size_t kRowHead = 10;

struct Message {
  char type = 0;          // 0: a startup packet, which has none
  std::string_view body;  // valid until the next call of the reader
};

// Cuts a byte stream into messages, however the bytes are cut on the way.
class MessageReader {
 public:
  // A client's first packets carry no type byte.
  explicit MessageReader(bool startup_first, std::size_t largest = kLargestMessage)
      : startup_(startup_first), largest_(largest) {}
  // A server's: rows whose values are larger than kLargestHeld are not held but taken as they come.
  static MessageReader ForAnswers() {
    MessageReader reader(false, kLargestHeld + kRowHead);
    reader.passes_rows_ = true;
    return reader;
  }

  void Feed(std::string_view bytes);
  // The next whole message; throws ProtocolError where a length is impossible.
  std::optional<Message> Next();
  // How many bytes the message that is being gathered has in all; 0: its head is not there yet.
  std::size_t Wanted() const;
  void Reserve(std::size_t size) { bytes_.reserve(taken_ + size); }
  // The body of the message read last, taken out of the reader without a second copy where it is large.
  std::string TakeBody(std::string_view body);
  // Where the next message is a row whose value is not held: the size of that value. Its head is taken then,
  // and the value follows by TakeValue. Throws where the row has not just one column that fills it.
  std::optional<std::size_t> NextLargeRow();
  // What has come of a value of which `left` bytes are still to come.
  std::string_view TakeValue(std::size_t left);
  // Startup is over: from here on messages have a type.
  void ExpectTyped() { startup_ = false; }
  std::size_t buffered() const { return bytes_.size() - taken_; }

 private:
  bool startup_;
  std::size_t largest_;
  bool passes_rows_ = false;
  std::string bytes_;
  std::size_t taken_ = 0;
};

std::uint32_t ReadU32(std::string_view bytes, std::size_t at);

// What a startup packet asks for.
enum class StartupKind { kSession, kEncryption, kCancel };
StartupKind ParseStartup(std::string_view body);

struct ErrorFields {
  std::string code, message;
  bool fatal = false;
};
ErrorFields ParseError(std::string_view body);
std::pair<std::string_view, std::string_view> ParseParameterStatus(std::string_view body);
// Throws unless the body describes just one column, and nothing else stands in it.
void CheckSingleColumn(std::string_view body);
// The value of a row that has one column and is not null.
std::string_view ParseSingleColumn(std::string_view body);
// A query's text, without the zero byte that ends it.
std::string_view ParseQuery(std::string_view body);

void AppendMessage(std::string& out, char type, std::string_view body);
// Of a message whose body of that size follows by itself.
void AppendHead(std::string& out, char type, std::size_t body_size);
void AppendStartup(std::string& out, std::string_view user, std::string_view database);
void AppendParameterStatus(std::string& out, std::string_view name, std::string_view value);
void AppendReady(std::string& out);
void AppendAuthenticationOk(std::string& out);
void AppendDataRow(std::string& out, std::string_view value);
// Of a row whose value follows by itself.
void AppendRowHead(std::string& out, std::size_t value_size);
// `detail` fills the field D where it is not empty.
void AppendError(std::string& out, std::string_view severity, std::string_view code, std::string_view message,
                 std::string_view detail = {});

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_WIRE_HPP_
