// Framing: however the stream is cut, the same messages come out of it.
#include "src/pg/message_reader.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/pg/message_writer.hpp"
#include "tests/pg/sample_stream.hpp"

namespace tulipyoke::pg {
namespace {

struct SeenMessage {
  char type = 0;
  std::string body;
  bool operator==(const SeenMessage&) const = default;
};
using Seen = std::vector<SeenMessage>;

Seen ReadAll(MessageReader& reader) {
  Seen seen;
  while (const auto message = reader.Next()) seen.push_back({message->type, std::string(message->body)});
  return seen;
}

// Guards against framing that depends on how the network cuts the stream.
TEST(MessageReader, RandomCutsGiveTheSameMessages) {
  const std::string bytes = SampleStream();
  MessageReader whole(false);
  whole.Feed(bytes);
  const Seen expected = ReadAll(whole);
  ASSERT_EQ(expected.size(), 6u);
  for (unsigned seed = 0; seed < 50; ++seed) {
    std::mt19937 random(seed);
    MessageReader reader(false);
    Seen seen;
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t size = std::min<std::size_t>(bytes.size() - at, 1 + random() % (seed % 2 ? 9 : 9000));
      reader.Feed(std::string_view(bytes).substr(at, size));
      at += size;
      for (auto& message : ReadAll(reader)) seen.push_back(std::move(message));
    }
    EXPECT_EQ(seen, expected) << seed;
    EXPECT_EQ(reader.buffered(), 0u);
  }
}

// Guards against lengths that would make the reader wait for ever or take memory without end.
TEST(MessageReader, ImpossibleLengthsAreRefusedAtOnce) {
  for (const std::string_view bytes :
       {std::string_view("Q\0\0\0\3", 5), std::string_view("Q\x7f\xff\xff\xff", 5)}) {
    MessageReader reader(false);
    reader.Feed(bytes);
    EXPECT_FALSE(reader.Next());
    EXPECT_EQ(reader.error(), ProtocolError::kImpossibleMessageLength);
  }
  MessageReader startup(true);
  startup.Feed(std::string_view("\0\1\0\0", 4));
  EXPECT_FALSE(startup.Next());
  EXPECT_EQ(startup.error(), ProtocolError::kImpossibleMessageLength);
}

// Guards against a large value read otherwise because of where its bytes were cut, or taking what is behind
// it.
TEST(MessageReader, ALargeRowIsStreamed) {
  const std::string value(kMaxBufferedValue + 1, 'v');
  std::string bytes;
  AppendDataRow(bytes, value.substr(1));  // just small enough to be held
  AppendDataRow(bytes, value);
  AppendReadyForQuery(bytes);
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    MessageReader reader = MessageReader::ForResponses();
    std::string seen, taken;
    std::size_t left = 0;
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t size = std::min<std::size_t>(bytes.size() - at, 1 + random() % 9000);
      reader.Feed(std::string_view(bytes).substr(at, size));
      at += size;
      for (bool more = true; more;) {
        const std::string_view part = reader.TakeValue(left);
        taken += part;
        left -= part.size();
        if (left > 0) break;
        const auto large = reader.NextLargeRow();
        if (large) left = *large;
        const auto message = large ? std::nullopt : reader.Next();
        if (message) seen += message->type;
        more = large || message;
      }
    }
    EXPECT_EQ(seen, "DZ") << seed;
    EXPECT_TRUE(taken == value) << seed;
  }
}

// Guards against a header that does not fit the row: nothing of the value is forwarded then.
TEST(MessageReader, ALargeRowWithAWrongHeaderIsRefused) {
  const auto head = [](std::size_t length, char columns, std::size_t size) {
    std::string bytes = "D";
    for (const std::size_t number : {length, size}) {
      for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(number >> shift & 0xff));
      if (number == length && bytes.size() == 5) bytes += std::string("\0", 1) + columns;
    }
    return bytes;
  };
  struct ReadHead {
    std::optional<std::size_t> size;
    std::optional<ProtocolError> error;
    bool operator==(const ReadHead&) const = default;
  };
  const auto read = [](const std::string& bytes) {
    MessageReader reader = MessageReader::ForResponses();
    reader.Feed(bytes);
    const auto large = reader.NextLargeRow();
    if (!large && !reader.error()) {
      EXPECT_FALSE(reader.Next());
    }
    return ReadHead{large, reader.error()};
  };
  const auto size_of = [](std::size_t size) { return ReadHead{size, std::nullopt}; };
  const auto error_of = [](ProtocolError error) { return ReadHead{std::nullopt, error}; };
  EXPECT_EQ(read(head(100'010, 1, 100'000)), size_of(100'000));
  EXPECT_EQ(read(head(kMaxValueSize + kRowHeaderSize, 1, kMaxValueSize)), size_of(kMaxValueSize));
  EXPECT_EQ(read(head(100'010, 2, 100'000)), error_of(ProtocolError::kRowNotOfOneColumn));
  EXPECT_EQ(read(head(100'010, 1, 99'999)), error_of(ProtocolError::kRowSizeMismatch));
  EXPECT_EQ(read(head(kMaxValueSize + kRowHeaderSize + 1, 1, kMaxValueSize + 1)),
            error_of(ProtocolError::kImpossibleMessageLength));
  EXPECT_EQ(read(head(3'000'000'000, 1, 2'999'999'990)), error_of(ProtocolError::kImpossibleMessageLength));
  EXPECT_EQ(read(head(100'010, 1, 100'000).substr(0, 10)), ReadHead{});
  EXPECT_EQ(read("E" + head(100'010, 1, 100'000).substr(1)),
            error_of(ProtocolError::kImpossibleMessageLength));
}

}  // namespace
}  // namespace tulipyoke::pg
